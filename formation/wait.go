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
	WaitJoin            WaitReason = "members join, or load weights to join"
	WaitProbe           WaitReason = "it is being found out who answers"
	WaitUnlisted        WaitReason = "a member is not listed, and its group works on"
	WaitHeadUnreachable WaitReason = "the head is out of reach and may still serve"
	WaitDrained         WaitReason = "the group finishes what runs"
	WaitAnswer          WaitReason = "the server has left orders unanswered"
	WaitLoad            WaitReason = "the host loads weights"
	WaitLoadPermit      WaitReason = "as many loads run as the weight store serves at full speed"
)

const (
	// probeTimeout is the longest wait for the result of a server's liveness probe. It
	// covers the time that the probe is queued, two queries of the server, and queries of
	// other servers that show whether this node reaches any server at all.
	probeTimeout = 2 * time.Second
	// drainTimeout is the longest time that a group takes to finish running requests.
	// Callers wait no longer for an answer.
	drainTimeout = 30 * time.Second
	// slowLoadFactor is how many times longer than at full speed (Model.Load) a load may
	// take.
	slowLoadFactor = 2
)

// Wait is a condition that a planner waits for.
type Wait struct {
	Group  shedkeel.GroupID    // "": a server or a domain
	Server shedkeel.InstanceID // "": the group or the domain as a whole
	Domain shedkeel.DomainID
	Reason WaitReason
	Since  time.Duration // time of the first of the consecutive plans that recorded the wait
	Bound  time.Duration // the longest expected duration; 0: not bounded
}

// Overdue reports whether the wait has lasted longer than its bound.
func (wait Wait) Overdue(now time.Duration) bool {
	return wait.Bound > 0 && now-wait.Since > wait.Bound
}

// waitKey identifies a wait across calls of Plan.
type waitKey struct {
	group  shedkeel.GroupID
	server shedkeel.InstanceID
	domain shedkeel.DomainID
	reason WaitReason
}

// Waits returns what the planner waits for as of the latest plan, the longest wait
// first.
func (planner *Planner) Waits() []Wait {
	if planner.lastRound == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(planner.lastRound.waits), func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reason, b.Reason))
	})
}

// recordWait records a wait. If the previous plan recorded the same wait, its Since is kept.
// Otherwise Since is set to the current time.
func (round *round) recordWait(wait Wait) {
	key := waitKey{wait.Group, wait.Server, wait.Domain, wait.Reason}
	wait.Since = round.input.Now
	if last := round.planner.lastRound; last != nil {
		if before, lasts := last.waits[key]; lasts {
			wait.Since = before.Since
		}
	}
	round.waits[key] = wait
}

// recordGroupWait records a wait that concerns a group as a whole.
func (round *round) recordGroupWait(group *observedGroup, reason WaitReason, bound time.Duration) {
	round.recordWait(Wait{Group: group.id, Domain: group.domain, Reason: reason, Bound: bound})
}

// recordServerWaits records the waits for single servers: for those that are skipped because
// they left orders unanswered, and for loads onto hosts.
func (round *round) recordServerWaits() {
	for id, until := range round.planner.skippedUntil {
		if instance := round.byID[id]; instance != nil && until > round.input.Now {
			round.recordWait(Wait{Server: id, Domain: instance.Domain, Reason: WaitAnswer, Bound: unreachableBackoff})
		}
	}
	for id, loading := range round.planner.loading {
		instance, model := round.byID[id], round.input.Engine.Model(loading.model)
		if instance != nil && model != nil {
			round.recordWait(Wait{Server: id, Domain: instance.Domain, Reason: WaitLoad, Bound: slowLoadFactor * model.Load})
		}
	}
}

// joinTimeout returns the longest time that a formation of a model may take: the time of a
// join that loads the weights slowly, plus unreachableBackoff for orders that are sent again.
func joinTimeout(model *shedkeel.Model) time.Duration {
	return slowLoadFactor*model.Load + unreachableBackoff
}
