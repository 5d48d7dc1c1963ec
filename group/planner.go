// Package group plans the replica groups of one availability zone. It decides
// which boxes belong to which group, forms, repairs, drains and removes groups,
// and derives the orders that bring the boxes into line with the committed placement.
package group

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// DefaultMissAfter is the time after which a box counts as silent, from its
	// last answer to a probe.
	DefaultMissAfter = 3 * time.Second
	// DefaultDrainIdle is how long a group that receives no new requests must report no running or
	// queued ones before it is changed. It is longer than the delay of the engines' reports, and
	// than the time until all entries (the processes that send requests to groups) have stopped
	// sending new requests to the group.
	DefaultDrainIdle = 8 * time.Second
)

// Planner is the planner used in production, with the parameters that the policy returns. It
// replaces members that lost their state at once, silent ones after withinReplaceAfter and leaving
// ones when the group is drained (repairGroup). It neither repairs nor forms groups in failed
// domains (findSilentDomains). It keeps state and must not be used concurrently.
type Planner struct {
	MissAfter time.Duration // zero: DefaultMissAfter
	DrainIdle time.Duration // zero: DefaultDrainIdle

	silentSince map[shedkeel.BoxID]time.Duration // when each silent box was first found silent
	draining    map[shedkeel.GroupID]*drainState // groups that receive no new requests
}

// Plan returns the next placement of one availability zone, the decisions that
// led to it, and the orders for its boxes. Load and release orders follow the
// placement in the input, which is the committed one, not the one that Plan proposes.
func (planner *Planner) Plan(input shedkeel.PlanInput) shedkeel.PlanOutput {
	planner.trackSilence(input)
	round := newRound(planner, input)
	round.trackDraining()
	round.retire()
	round.repairGroups()
	if input.Parameters.Consolidate {
		round.consolidate()
	}
	round.formGroups()
	round.assignReserves()
	output := round.output()
	output.Orders = append(Reconcile(input), round.prefetchOrders()...)
	return output
}

// missAfter returns MissAfter or its default.
func (planner *Planner) missAfter() time.Duration {
	if planner.MissAfter == 0 {
		return DefaultMissAfter
	}
	return planner.MissAfter
}

// trackSilence records when each box became silent, and removes boxes that
// respond again or are no longer listed.
func (planner *Planner) trackSilence(input shedkeel.PlanInput) {
	if planner.silentSince == nil {
		planner.silentSince = map[shedkeel.BoxID]time.Duration{}
	}
	for id := range planner.silentSince {
		if _, listed := input.Boxes[id]; !listed {
			delete(planner.silentSince, id)
		}
	}
	for id, view := range input.Boxes {
		if planner.isResponding(view, input.Now) {
			delete(planner.silentSince, id)
			continue
		}
		if _, known := planner.silentSince[id]; !known {
			planner.silentSince[id] = input.Now
		}
	}
}

// isResponding reports whether the box answered a probe within the last MissAfter.
func (planner *Planner) isResponding(view shedkeel.BoxView, now time.Duration) bool {
	return view.LastReply >= 0 && now-view.LastReply <= planner.missAfter()
}

// condition is the health of a group member as the planner sees it.
type condition int

const (
	conditionHealthy condition = iota
	conditionLeaving           // responds, but its box is about to leave
	conditionSilent            // does not respond; may still have its state
	conditionLost              // restarted without its state, or is no longer listed
)

// round holds the working state of one call of Plan or Fallback.
type round struct {
	planner        *Planner
	input          shedkeel.PlanInput
	next           shedkeel.Placement                       // the placement that is proposed
	ids            []shedkeel.BoxID                         // of all boxes in the input, sorted
	assigned       map[shedkeel.BoxID]bool                  // members of any group of next
	operatorDrains map[shedkeel.BoxID]bool                  // boxes that operators drain
	free           map[shedkeel.DomainID][]shedkeel.BoxView // usable boxes in no group, sorted by ID
	silentDomains  map[shedkeel.DomainID]bool               // see findSilentDomains
	prefetch       map[shedkeel.BoxID]shedkeel.ServiceID    // for each box that must load weights before it joins a group: their service
	shortGroups    []shortage                               // groups that could not be repaired
	changed        bool                                     // next differs from the placement in the input
	decisions      []shedkeel.Decision
}

// shortage describes a short group: one for whose failed members there are too few
// substitutes.
type shortage struct {
	group  shedkeel.GroupID
	failed []int // indexes in Members of those that must be replaced
}

// newRound returns the state of a call that has changed nothing yet. The planner's
// trackSilence must have run on the input.
func newRound(planner *Planner, input shedkeel.PlanInput) *round {
	round := &round{
		planner:        planner,
		input:          input,
		next:           input.Placement.Clone(),
		ids:            slices.Sorted(maps.Keys(input.Boxes)),
		operatorDrains: map[shedkeel.BoxID]bool{},
		silentDomains:  map[shedkeel.DomainID]bool{},
		prefetch:       map[shedkeel.BoxID]shedkeel.ServiceID{},
	}
	for _, box := range input.Config.Drains {
		round.operatorDrains[box] = true
	}
	round.findSilentDomains()
	round.updateFreeBoxes()
	return round
}

// findSilentDomains marks the fabric domains in which at least two boxes, and at
// least the fraction DomainFailureFraction of all boxes, are silent. Such a domain is
// presumed to have failed as a whole. With a fraction of 0 the method marks none.
func (round *round) findSilentDomains() {
	total := map[shedkeel.DomainID]int{}
	silent := map[shedkeel.DomainID]int{}
	for id, view := range round.input.Boxes {
		total[view.Box.Domain]++
		if _, isSilent := round.planner.silentSince[id]; isSilent {
			silent[view.Box.Domain]++
		}
	}
	fraction := round.input.Parameters.DomainFailureFraction
	for domain, count := range total {
		if fraction > 0 && silent[domain] > 1 && float64(silent[domain]) >= fraction*float64(count) {
			round.silentDomains[domain] = true
		}
	}
}

// updateFreeBoxes recomputes which boxes are assigned to a group and which are
// free. It must be called after every change of the groups.
func (round *round) updateFreeBoxes() {
	round.assigned = make(map[shedkeel.BoxID]bool, len(round.ids))
	round.free = map[shedkeel.DomainID][]shedkeel.BoxView{}
	for _, group := range round.next.Groups {
		for _, member := range group.Members {
			round.assigned[member.Box] = true
		}
	}
	for _, id := range round.ids {
		view := round.input.Boxes[id]
		if !round.assigned[id] && round.usable(view) {
			round.free[view.Box.Domain] = append(round.free[view.Box.Domain], view)
		}
	}
}

// usable reports whether a box may join a group: it responds and is not leaving.
func (round *round) usable(view shedkeel.BoxView) bool {
	return round.planner.isResponding(view, round.input.Now) && !round.leaving(view)
}

// leaving reports whether a box is about to leave: the box list, the box itself
// or an operator's drain says so.
func (round *round) leaving(view shedkeel.BoxView) bool {
	return view.Box.Leaving || view.State.Leaving || round.operatorDrains[view.Box.ID]
}

// condition returns the condition of a group member. A box that answers under
// another boot than the member's has lost its state.
func (round *round) condition(member shedkeel.Member) condition {
	view, listed := round.input.Boxes[member.Box]
	switch {
	case !listed:
		return conditionLost
	case !round.planner.isResponding(view, round.input.Now):
		return conditionSilent
	case view.State.Boot != member.Boot:
		return conditionLost
	case round.leaving(view):
		return conditionLeaving
	}
	return conditionHealthy
}

// nextEpoch takes the next unused epoch of the placement. Epochs start at 1.
func (round *round) nextEpoch() uint64 {
	round.next.NextEpoch = max(round.next.NextEpoch, 1)
	epoch := round.next.NextEpoch
	round.next.NextEpoch++
	return epoch
}

// recordDecision adds a decision to the output. box is "" if it concerns the whole
// group.
func (round *round) recordDecision(group shedkeel.GroupID, box shedkeel.BoxID, action, reason string) {
	round.decisions = append(round.decisions, shedkeel.Decision{Group: group, Box: box, Action: action, Reason: reason})
}

func (round *round) output() shedkeel.PlanOutput {
	return shedkeel.PlanOutput{Changed: round.changed, Placement: round.next, Decisions: round.decisions}
}
