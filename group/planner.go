// Package group decides which boxes form which replica groups of one
// availability zone: it forms, mends, drains and breaks up groups, and says
// which orders the agreed placement calls for.
package group

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// DefaultMissAfter is how long after its last answer a box is silent.
	DefaultMissAfter = 3 * time.Second
	// DefaultQuiet is for how long a group that takes no new requests must
	// report that it runs none before it is changed: longer than entries
	// take to learn of it, and than engines lag with their reports.
	DefaultQuiet = 8 * time.Second
)

// Planner is the planner that shedkeel runs. Besides what the policy's table
// says it holds to four rules: a box that lost its state is replaced at once
// by one that has the weights; a silent box is given the table's patience while
// its substitute loads; a leaving box is replaced only when its substitute has
// the weights; and nothing is rebuilt while most of a fabric domain is gone.
type Planner struct {
	MissAfter time.Duration // zero: DefaultMissAfter
	Quiet     time.Duration // zero: DefaultQuiet

	silent  map[shedkeel.BoxID]time.Duration // since when
	closing map[shedkeel.GroupID]*closing    // groups that take no new requests
}

// Plan decides for one availability zone at one time.
func (planner *Planner) Plan(input shedkeel.PlanInput) shedkeel.PlanOutput {
	planner.watchSilence(input)
	round := newRound(planner, input)
	round.watchClosing()
	round.retire()
	round.mend()
	if input.Table.Consolidate {
		round.consolidate()
	}
	round.form()
	round.reserve()
	output := round.output()
	output.Orders = append(Reconcile(input), round.prefetches()...)
	return output
}

func (planner *Planner) missAfter() time.Duration {
	if planner.MissAfter == 0 {
		return DefaultMissAfter
	}
	return planner.MissAfter
}

// watchSilence notes since when each box is silent.
func (planner *Planner) watchSilence(input shedkeel.PlanInput) {
	if planner.silent == nil {
		planner.silent = map[shedkeel.BoxID]time.Duration{}
	}
	for id := range planner.silent {
		if _, listed := input.Boxes[id]; !listed {
			delete(planner.silent, id)
		}
	}
	for id, view := range input.Boxes {
		if planner.answers(view, input.Now) {
			delete(planner.silent, id)
			continue
		}
		if _, known := planner.silent[id]; !known {
			planner.silent[id] = input.Now
		}
	}
}

func (planner *Planner) answers(view shedkeel.BoxView, now time.Duration) bool {
	return view.Seen >= 0 && now-view.Seen <= planner.missAfter()
}

// condition is what is wrong with a member.
type condition int

const (
	conditionFine    condition = iota
	conditionLeaving           // works, but will go
	conditionSilent            // may come back as it was
	conditionLost              // came back without its state, or is off the list
)

// round is one run of Plan.
type round struct {
	planner  *Planner
	input    shedkeel.PlanInput
	next     shedkeel.Placement
	ids      []shedkeel.BoxID // of all boxes, sorted
	taken    map[shedkeel.BoxID]bool
	drained  map[shedkeel.BoxID]bool
	free     map[shedkeel.DomainID][]shedkeel.BoxView // usable, by name
	dark     map[shedkeel.DomainID]bool
	warming  map[shedkeel.BoxID]shedkeel.ServiceID
	short    []shortage
	changed  bool
	decision []shedkeel.Decision
}

// shortage is a group that could not be mended.
type shortage struct {
	group shedkeel.GroupID
	bad   []int // places of its members that must be replaced
}

func newRound(planner *Planner, input shedkeel.PlanInput) *round {
	round := &round{
		planner: planner,
		input:   input,
		next:    input.Placement.Clone(),
		ids:     slices.Sorted(maps.Keys(input.Boxes)),
		drained: map[shedkeel.BoxID]bool{},
		dark:    map[shedkeel.DomainID]bool{},
		warming: map[shedkeel.BoxID]shedkeel.ServiceID{},
	}
	for _, box := range input.Config.Drains {
		round.drained[box] = true
	}
	round.findDark()
	round.findFree()
	return round
}

// findDark finds the fabric domains of which so much is silent that the cause
// is the domain and not its boxes.
func (round *round) findDark() {
	total := map[shedkeel.DomainID]int{}
	silent := map[shedkeel.DomainID]int{}
	for id, view := range round.input.Boxes {
		total[view.Box.Domain]++
		if _, gone := round.planner.silent[id]; gone {
			silent[view.Box.Domain]++
		}
	}
	fraction := round.input.Table.StormFraction
	for domain, count := range total {
		if fraction > 0 && silent[domain] > 1 && float64(silent[domain]) >= fraction*float64(count) {
			round.dark[domain] = true
		}
	}
}

func (round *round) findFree() {
	round.taken = make(map[shedkeel.BoxID]bool, len(round.ids))
	round.free = map[shedkeel.DomainID][]shedkeel.BoxView{}
	for _, group := range round.next.Groups {
		for _, member := range group.Members {
			round.taken[member.Box] = true
		}
	}
	for _, id := range round.ids {
		view := round.input.Boxes[id]
		if !round.taken[id] && round.usable(view) {
			round.free[view.Box.Domain] = append(round.free[view.Box.Domain], view)
		}
	}
}

func (round *round) usable(view shedkeel.BoxView) bool {
	return round.planner.answers(view, round.input.Now) && !round.leaving(view)
}

func (round *round) leaving(view shedkeel.BoxView) bool {
	return view.Box.Leaving || view.State.Leaving || round.drained[view.Box.ID]
}

func (round *round) condition(member shedkeel.Member) condition {
	view, listed := round.input.Boxes[member.Box]
	switch {
	case !listed:
		return conditionLost
	case !round.planner.answers(view, round.input.Now):
		return conditionSilent
	case view.State.Boot != member.Boot:
		return conditionLost
	case round.leaving(view):
		return conditionLeaving
	}
	return conditionFine
}

func (round *round) epoch() uint64 {
	round.next.NextEpoch = max(round.next.NextEpoch, 1)
	epoch := round.next.NextEpoch
	round.next.NextEpoch++
	return epoch
}

func (round *round) decide(group shedkeel.GroupID, box shedkeel.BoxID, action, reason string) {
	round.decision = append(round.decision, shedkeel.Decision{Group: group, Box: box, Action: action, Reason: reason})
}

func (round *round) output() shedkeel.PlanOutput {
	return shedkeel.PlanOutput{Changed: round.changed, Placement: round.next, Decisions: round.decision}
}
