package member

import (
	"time"

	"shedkeel.org/shedkeel"
)

// Permit says whether a group may be sent new requests, and until when. It is a
// lease that newer findings renew.
type Permit struct {
	Group   shedkeel.Group
	Until   time.Duration // no new requests from then on; 0: no permit
	Broken  bool          // the group is known not to be whole: requests running there are abandoned
	Load    int           // requests running and queued, from the newest whole finding
	Reason  string        // why there is no permit
	Watched time.Duration // time of the newest whole finding
}

// Judge holds the input from which permits are computed.
type Judge struct {
	Now     time.Duration
	Window  time.Duration           // maximum age of a whole finding that grants a permit
	Drains  map[shedkeel.BoxID]bool // boxes that operators drain
	Digests []Digest
}

// leavingWindows is for how many windows a digest's list of leaving boxes counts.
// After that time, permits from the same watcher's findings have long expired.
const leavingWindows = 10

// Permits returns the permit of every group of the placements. A group has a permit
// if a watcher found it whole, under its current epoch, within the window. A newer
// finding that it is broken or draining revokes the permit at once. A silent
// member only stops the renewal; a group counts as broken once it has been found
// silent for longer than the window since it was last whole. The permit's Until
// may be in the past.
func (judge *Judge) Permits(placements []shedkeel.Placement) []Permit {
	findings := judge.findings()
	leaving := judge.Leaving()
	var permits []Permit
	for _, placement := range placements {
		for _, group := range placement.Groups {
			permits = append(permits, judge.permit(group, findings[group.Assignment()], leaving))
		}
	}
	return permits
}

// finding holds the time of the newest verdict of each kind on a group under one
// epoch, over all watchers, or never.
type finding struct {
	wholeAt    time.Duration
	brokenAt   time.Duration
	drainingAt time.Duration
	silentAt   time.Duration
	load       int
}

// findings combines the verdicts of all digests by group and epoch.
func (judge *Judge) findings() map[shedkeel.Assignment]*finding {
	findings := map[shedkeel.Assignment]*finding{}
	for _, digest := range judge.Digests {
		for _, verdict := range digest.Verdicts {
			key := shedkeel.Assignment{Group: verdict.Group, Epoch: verdict.Epoch}
			known := findings[key]
			if known == nil {
				known = &finding{wholeAt: never, brokenAt: never, drainingAt: never, silentAt: never}
				findings[key] = known
			}
			known.add(verdict, digest.AsOf)
		}
	}
	return findings
}

// add takes in a verdict from a digest of the given time.
func (finding *finding) add(verdict GroupVerdict, asOf time.Duration) {
	switch verdict.Verdict {
	case shedkeel.VerdictWhole:
		if asOf > finding.wholeAt {
			finding.wholeAt = asOf
			finding.load = verdict.Load
		}
	case shedkeel.VerdictBroken:
		finding.brokenAt = max(finding.brokenAt, asOf)
	case shedkeel.VerdictDraining:
		finding.drainingAt = max(finding.drainingAt, asOf)
	case shedkeel.VerdictSilent:
		finding.silentAt = max(finding.silentAt, asOf)
	}
}

// never is the time of a verdict that no watcher has reported.
const never = -1

// Leaving returns the boxes that operators drain and those that a watcher reported
// as leaving within leavingWindows.
func (judge *Judge) Leaving() map[shedkeel.BoxID]bool {
	leaving := map[shedkeel.BoxID]bool{}
	for _, digest := range judge.Digests {
		if judge.Now-digest.AsOf > leavingWindows*judge.Window {
			continue
		}
		for _, box := range digest.Leaving {
			leaving[box] = true
		}
	}
	for box := range judge.Drains {
		leaving[box] = true
	}
	return leaving
}

// permit computes the permit of one group; finding is nil if no watcher has
// reported on it under its epoch.
func (judge *Judge) permit(group shedkeel.Group, finding *finding, leaving map[shedkeel.BoxID]bool) Permit {
	permit := Permit{Group: group}
	if group.Draining {
		permit.Reason = "the group is draining"
		return permit
	}
	for _, member := range group.Members {
		if leaving[member.Box] {
			permit.Reason = "box " + string(member.Box) + " is leaving"
			return permit
		}
	}
	switch {
	case finding == nil:
		permit.Reason = "no watcher has reported on it yet"
	case finding.brokenAt > finding.wholeAt:
		permit.Broken = true
		permit.Reason = "a member is missing"
	case finding.drainingAt > finding.wholeAt:
		permit.Reason = "a member reports that it is leaving"
	case finding.silentAt > finding.wholeAt+judge.Window:
		// Watchers have probed the group throughout the window and a member
		// did not answer. A group that was never whole counts from the start
		// of the local clock.
		permit.Broken = true
		permit.Reason = "a member does not answer"
	case finding.wholeAt == never:
		permit.Reason = "a member does not answer"
	default:
		permit.Until = finding.wholeAt + judge.Window
		permit.Watched = finding.wholeAt
		permit.Load = finding.load
	}
	return permit
}
