package member

import (
	"time"

	"shedkeel.org/shedkeel"
)

// Permit says whether a group may be sent new requests, and until when unless
// it is renewed.
type Permit struct {
	Group   shedkeel.Group
	Until   time.Duration // no new request from then on; 0: none now
	Broken  bool          // known not to be whole: what runs there is given up
	Load    int           // as reported with the newest finding
	Reason  string        // why there is none
	Watched time.Duration // as of when it was last found whole
}

// Judge is what permits are worked out from.
type Judge struct {
	Now     time.Duration
	Window  time.Duration // how old a finding may be that lets requests through
	Drains  map[shedkeel.BoxID]bool
	Digests []Digest
}

// leavingLasts is for how many windows a watcher's word counts that a box is
// leaving. By then the permits that the same watcher gave have long run out.
const leavingLasts = 10

// Permits works out the permit of every group of the placements. A group has
// one while some watcher found every member present, under the group's epoch,
// within the window. A newer finding that it is broken or draining takes it
// away at once; a member's silence only stops its renewal.
func (judge *Judge) Permits(placements []shedkeel.Placement) []Permit {
	found := judge.findings()
	leaving := judge.Leaving()
	var permits []Permit
	for _, placement := range placements {
		for _, group := range placement.Groups {
			permits = append(permits, judge.permit(group, found[group.Assignment()], leaving))
		}
	}
	return permits
}

// finding is the newest word on a group under one epoch.
type finding struct {
	whole    time.Duration
	broken   time.Duration
	draining time.Duration
	silent   time.Duration
	load     int
}

func (judge *Judge) findings() map[shedkeel.Assignment]*finding {
	found := map[shedkeel.Assignment]*finding{}
	for _, digest := range judge.Digests {
		for _, verdict := range digest.Verdicts {
			key := shedkeel.Assignment{Group: verdict.Group, Epoch: verdict.Epoch}
			known := found[key]
			if known == nil {
				known = &finding{whole: never, broken: never, draining: never, silent: never}
				found[key] = known
			}
			known.add(verdict, digest.AsOf)
		}
	}
	return found
}

func (finding *finding) add(verdict GroupVerdict, asOf time.Duration) {
	switch verdict.Verdict {
	case shedkeel.VerdictWhole:
		if asOf > finding.whole {
			finding.whole = asOf
			finding.load = verdict.Load
		}
	case shedkeel.VerdictBroken:
		finding.broken = max(finding.broken, asOf)
	case shedkeel.VerdictDraining:
		finding.draining = max(finding.draining, asOf)
	case shedkeel.VerdictSilent:
		finding.silent = max(finding.silent, asOf)
	}
}

// never stands for the time of what was not found.
const never = -1

// Leaving returns the boxes that operators drain or that a watcher saw leaving.
func (judge *Judge) Leaving() map[shedkeel.BoxID]bool {
	leaving := map[shedkeel.BoxID]bool{}
	for _, digest := range judge.Digests {
		if judge.Now-digest.AsOf > leavingLasts*judge.Window {
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
	case finding.broken > finding.whole:
		permit.Broken = true
		permit.Reason = "a member is missing"
	case finding.draining > finding.whole:
		permit.Reason = "a member reports that it is leaving"
	case finding.silent > finding.whole+judge.Window:
		// Watchers have looked all the while and got no answer.
		permit.Broken = true
		permit.Reason = "a member does not answer"
	case finding.whole == never:
		permit.Reason = "a member does not answer"
	default:
		permit.Until = finding.whole + judge.Window
		permit.Watched = finding.whole
		permit.Load = finding.load
	}
	return permit
}
