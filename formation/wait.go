package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// WaitReason says what a planner waits for before it acts on a group or server.
type WaitReason string

// The reasons for which a planner waits.
const (
	WaitJoin       WaitReason = "members join, or load weights to join"
	WaitProbe      WaitReason = "it is being found out who answers"
	WaitListed     WaitReason = "a member is not listed, and its group works on"
	WaitHead       WaitReason = "the head is out of reach and may still serve"
	WaitDrained    WaitReason = "the group finishes what runs"
	WaitAnswer     WaitReason = "the server has left orders unanswered"
	WaitLoad       WaitReason = "the host loads weights"
	WaitLoadPermit WaitReason = "as many loads run as the weight store serves at full speed"
)

const (
	// probeTime is the longest that a planner waits to learn who answers: two
	// probes and those of witnesses, with their queue.
	probeTime = 2 * time.Second
	// drainTime is the longest that a group takes to finish what runs: callers
	// wait no longer for an answer.
	drainTime = 30 * time.Second
	// slowLoads is how many times longer than at full speed loads may take.
	slowLoads = 2
)

// Wait is something that a planner waits for.
type Wait struct {
	Group  shedkeel.GroupID    // "": none
	Server shedkeel.InstanceID // "": it concerns the group as a whole
	Domain shedkeel.DomainID
	Reason WaitReason
	Since  time.Duration
	Bound  time.Duration // the longest that it may last; 0: none is stated
}

// Overdue reports whether the wait lasts for longer than it may.
func (wait Wait) Overdue(now time.Duration) bool {
	return wait.Bound > 0 && now-wait.Since > wait.Bound
}

// waitKey names a wait from one planning to the next.
type waitKey struct {
	group  shedkeel.GroupID
	server shedkeel.InstanceID
	domain shedkeel.DomainID
	reason WaitReason
}

// Waits returns what the planner waited for in the last plan, the longest wait
// first.
func (planner *Planner) Waits() []Wait {
	if planner.last == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(planner.last.waits), func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reason, b.Reason))
	})
}

// wait notes what is waited for, since when, and for how long at most.
func (round *round) wait(wait Wait) {
	key := waitKey{wait.Group, wait.Server, wait.Domain, wait.Reason}
	wait.Since = round.input.Now
	if last := round.planner.last; last != nil {
		if before, lasts := last.waits[key]; lasts {
			wait.Since = before.Since
		}
	}
	round.waits[key] = wait
}

// waitFor notes what is waited for about a group.
func (round *round) waitFor(group *observed, reason WaitReason, bound time.Duration) {
	round.wait(Wait{Group: group.id, Domain: group.domain, Reason: reason, Bound: bound})
}

// waitForServers notes what is waited for about single servers.
func (round *round) waitForServers() {
	for id, until := range round.planner.passed {
		if instance := round.byID[id]; instance != nil && until > round.input.Now {
			round.wait(Wait{Server: id, Domain: instance.Domain, Reason: WaitAnswer, Bound: unreachableTime})
		}
	}
	for id, loading := range round.planner.loading {
		instance, model := round.byID[id], round.input.Engine.Model(loading.model)
		if instance != nil && model != nil {
			round.wait(Wait{Server: id, Domain: instance.Domain, Reason: WaitLoad, Bound: slowLoads * model.Load})
		}
	}
}

// joinTime is how long a formation of a model may take: its longest join, and
// orders that are given again.
func joinTime(model *shedkeel.Model) time.Duration {
	return slowLoads*model.Load + unreachableTime
}
