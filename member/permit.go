package member

import (
	"time"

	"shedkeel.org/shedkeel"
)

// Permit says whether entries may send new requests to a group, and until when. A
// whole finding is a watcher's digest with shedkeel.VerdictWhole on the group. Each
// newer one extends the permit.
type Permit struct {
	Group   shedkeel.Group
	Until   time.Duration // local time from which on no new requests may be sent; 0: no permit
	Broken  bool          // the group was found broken, or silent for too long: entries cancel the requests running there
	Load    int           // requests running and queued at the newest whole finding; 0 without a permit
	Reason  string        // why there is no permit
	WholeAt time.Duration // time of the newest whole finding; 0 without a permit
}

// PermitInput holds the input from which permits are computed.
type PermitInput struct {
	Now     time.Duration
	Window  time.Duration           // maximum age of a whole finding that grants a permit
	Drains  map[shedkeel.BoxID]bool // boxes that operators drain
	Digests []Digest
}

// leavingWindows is the age, in multiples of PermitInput.Window, up to which a
// digest's list of leaving boxes is used. By then, the permits from the verdicts in
// the same digest, which last for one Window, have long expired.
const leavingWindows = 10

// Permits returns the permit of every group of the placements. A permit lasts for the
// Window after the newest whole finding under the group's epoch, so Until may be in the
// past. A newer broken or draining finding revokes it at once; a silent one only stops the
// renewal. A group that is draining or has a member on a box in Leaving has no permit.
func (input *PermitInput) Permits(placements []shedkeel.Placement) []Permit {
	findings := input.findings()
	leaving := input.Leaving()
	var permits []Permit
	for _, placement := range placements {
		for _, group := range placement.Groups {
			permits = append(permits, input.permit(group, findings[group.Assignment()], leaving))
		}
	}
	return permits
}

// finding combines the verdicts of all watchers on a group under one epoch. For each
// kind of verdict it holds the AsOf of the newest digest with that verdict, or never if
// there is none.
type finding struct {
	wholeAt    time.Duration
	brokenAt   time.Duration
	drainingAt time.Duration
	silentAt   time.Duration
	load       int // Load of the newest whole verdict
}

// findings combines the verdicts of all digests by group and epoch.
func (input *PermitInput) findings() map[shedkeel.Assignment]*finding {
	findings := map[shedkeel.Assignment]*finding{}
	for _, digest := range input.Digests {
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

// add updates the finding with a verdict from a digest whose AsOf is asOf.
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
	case shedkeel.VerdictNoReply:
		finding.silentAt = max(finding.silentAt, asOf)
	}
}

// never is the time in a finding for a kind of verdict that no watcher has given.
const never = -1

// Leaving returns the boxes that operators drain and those that a watcher reported
// as leaving within the last leavingWindows times Window.
func (input *PermitInput) Leaving() map[shedkeel.BoxID]bool {
	leaving := map[shedkeel.BoxID]bool{}
	for _, digest := range input.Digests {
		if input.Now-digest.AsOf > leavingWindows*input.Window {
			continue
		}
		for _, box := range digest.Leaving {
			leaving[box] = true
		}
	}
	for box := range input.Drains {
		leaving[box] = true
	}
	return leaving
}

// permit computes the permit of one group. finding is nil if no watcher has reported
// on the group under its epoch.
func (input *PermitInput) permit(group shedkeel.Group, finding *finding, leaving map[shedkeel.BoxID]bool) Permit {
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
	case finding.silentAt > finding.wholeAt+input.Window:
		// The newest silent verdict came more than the window after the newest
		// whole one, or after the start of the local clock if there is none.
		permit.Broken = true
		permit.Reason = "a member does not answer"
	case finding.wholeAt == never:
		permit.Reason = "a member does not answer"
	default:
		permit.Until = finding.wholeAt + input.Window
		permit.WholeAt = finding.wholeAt
		permit.Load = finding.load
	}
	return permit
}
