package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// warmFor has substitutes load for members that will go.
func (round *round) warmFor(group *shedkeel.Group, leaving []int) {
	for index, substitute := range round.substitutes(group, len(leaving)) {
		if warm(substitute, group.Service) {
			continue
		}
		round.warming[substitute.Box.ID] = group.Service
		round.decide(group.ID, group.Members[leaving[index]].Box, "prefetch", "it is leaving; box "+string(substitute.Box.ID)+" loads before the swap")
	}
}

// mend replaces the members that must be replaced, where it can.
func (round *round) mend() {
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Draining {
			continue
		}
		if round.dark[group.Domain] {
			if slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) != conditionFine }) {
				round.decide(group.ID, "", "wait", "most of its fabric domain is silent; its return would undo a rebuild")
			}
			continue
		}
		round.mendGroup(group)
	}
}

func (round *round) mendGroup(group *shedkeel.Group) {
	must, leaving := round.badMembers(group)
	if len(must) == 0 && len(leaving) == 0 {
		return
	}
	if len(must) == 0 && !round.closed(*group) {
		round.warmFor(group, leaving)
		return
	}
	substitutes := round.substitutes(group, len(must)+len(leaving))
	if len(substitutes) < len(must) {
		round.short = append(round.short, shortage{group: group.ID, bad: must})
		round.decide(group.ID, "", "short", fmt.Sprintf("%d members are missing and %d boxes are free in domain %q", len(must), len(substitutes), group.Domain))
		return
	}
	replace := must
	for index, place := range leaving {
		if len(must)+index >= len(substitutes) {
			break
		}
		substitute := substitutes[len(must)+index]
		if len(must) == 0 && !warm(substitute, group.Service) {
			round.warming[substitute.Box.ID] = group.Service
			continue
		}
		replace = append(replace, place)
	}
	if len(replace) > 0 {
		round.swap(group, replace, substitutes)
	}
}

// badMembers returns the places that must be replaced now and those that are
// leaving. Members that are silent within the table's patience are in neither;
// a substitute is warmed for them meanwhile.
func (round *round) badMembers(group *shedkeel.Group) (must, leaving []int) {
	for place, member := range group.Members {
		switch round.condition(member) {
		case conditionLost:
			must = append(must, place)
		case conditionLeaving:
			leaving = append(leaving, place)
		case conditionSilent:
			if round.patient(group, member) {
				round.decide(group.ID, member.Box, "wait", "it has been silent for less than the patience of the policy")
				continue
			}
			must = append(must, place)
		case conditionFine:
		}
	}
	return must, leaving
}

// patient reports whether a silent member is waited for. Its substitute loads
// meanwhile; once that has the weights, a swap costs little and waiting is
// rarely worth it.
func (round *round) patient(group *shedkeel.Group, member shedkeel.Member) bool {
	patience := round.input.Table.Patience
	for _, substitute := range round.substitutes(group, 1) {
		if warm(substitute, group.Service) {
			patience = round.input.Table.WarmPatience
			continue
		}
		round.warming[substitute.Box.ID] = group.Service
	}
	return round.input.Now-round.planner.silent[member.Box] < patience
}

// substitutes returns up to count free boxes for the group, those that have
// its weights first. The boxes that it lost but that answer again count as
// free, so that they come back when nothing better is there.
func (round *round) substitutes(group *shedkeel.Group, count int) []shedkeel.BoxView {
	candidates := slices.Clone(round.free[group.Domain])
	if group.Domain == "" || round.input.Table.CrossDomain && len(candidates) < count {
		candidates = round.allFree()
	}
	for _, member := range group.Members {
		view, listed := round.input.Boxes[member.Box]
		if listed && round.condition(member) == conditionLost && round.usable(view) {
			candidates = append(candidates, view)
		}
	}
	sortWarmFirst(candidates, group.Service)
	return candidates[:min(count, len(candidates))]
}

func (round *round) allFree() []shedkeel.BoxView {
	var all []shedkeel.BoxView
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		all = append(all, round.free[domain]...)
	}
	return all
}

// readiness orders boxes by how soon they can serve: weights loaded, weights
// loading, anything else.
func readiness(view shedkeel.BoxView, service shedkeel.ServiceID) int {
	switch {
	case warm(view, service):
		return 0
	case view.State.Weights == service && view.State.Phase == shedkeel.PhaseLoading:
		return 1
	}
	return 2
}

func sortWarmFirst(views []shedkeel.BoxView, service shedkeel.ServiceID) {
	slices.SortStableFunc(views, func(a, b shedkeel.BoxView) int {
		return cmp.Compare(readiness(a, service), readiness(b, service))
	})
}

func warm(view shedkeel.BoxView, service shedkeel.ServiceID) bool {
	return view.State.Weights == service && (view.State.Phase == shedkeel.PhaseWarm || view.State.Phase == shedkeel.PhaseReady)
}

// swap puts substitutes in the places and gives the group a new epoch.
func (round *round) swap(group *shedkeel.Group, places []int, substitutes []shedkeel.BoxView) {
	for index, place := range places {
		substitute := substitutes[index]
		round.decide(group.ID, group.Members[place].Box, "replace", "by box "+string(substitute.Box.ID))
		group.Members[place] = memberOf(substitute)
		if substitute.Box.Domain != group.Domain {
			group.Domain = ""
		}
	}
	group.Epoch = round.epoch()
	round.changed = true
	round.findFree()
}

func memberOf(view shedkeel.BoxView) shedkeel.Member {
	return shedkeel.Member{Box: view.Box.ID, Address: view.Box.Address, Boot: view.State.Boot}
}
