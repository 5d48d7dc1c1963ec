package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// prefetchSubstitutes makes the substitutes of leaving members load the group's
// weights; leaving holds the indexes of these members.
func (round *round) prefetchSubstitutes(group *shedkeel.Group, leaving []int) {
	for index, substitute := range round.substitutes(group, len(leaving)) {
		if hasWeights(substitute, group.Service) {
			continue
		}
		round.prefetch[substitute.Box.ID] = group.Service
		round.recordDecision(group.ID, group.Members[leaving[index]].Box, "prefetch", "it is leaving; box "+string(substitute.Box.ID)+" loads before the swap")
	}
}

// repairGroups replaces failed and leaving members of all groups that are not
// draining. It skips groups in the fabric domains that findSilentDomains has marked.
func (round *round) repairGroups() {
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Draining {
			continue
		}
		if round.silentDomains[group.Domain] {
			if slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) != conditionHealthy }) {
				round.recordDecision(group.ID, "", "wait", "most of its fabric domain is silent; its return would undo a rebuild")
			}
			continue
		}
		round.repairGroup(group)
	}
}

// repairGroup replaces the failed members of a group, and its leaving members as far as substitutes
// are left. If no member has failed, leaving members are replaced only when the group is drained
// (isDrained) and only by boxes that have the weights. If there are too few substitutes for the
// failed members, it changes nothing and adds the group to shortGroups.
func (round *round) repairGroup(group *shedkeel.Group) {
	failed, leaving := round.membersToReplace(group)
	if len(failed) == 0 && len(leaving) == 0 {
		return
	}
	if len(failed) == 0 && !round.isDrained(*group) {
		round.prefetchSubstitutes(group, leaving)
		return
	}
	substitutes := round.substitutes(group, len(failed)+len(leaving))
	if len(substitutes) < len(failed) {
		round.shortGroups = append(round.shortGroups, shortage{group: group.ID, failed: failed})
		round.recordDecision(group.ID, "", "short", fmt.Sprintf("%d members are missing and %d boxes are free in domain %q", len(failed), len(substitutes), group.Domain))
		return
	}
	replace := failed
	for index, position := range leaving {
		if len(failed)+index >= len(substitutes) {
			break
		}
		substitute := substitutes[len(failed)+index]
		if len(failed) == 0 && !hasWeights(substitute, group.Service) {
			round.prefetch[substitute.Box.ID] = group.Service
			continue
		}
		replace = append(replace, position)
	}
	if len(replace) > 0 {
		round.replaceMembers(group, replace, substitutes)
	}
}

// membersToReplace returns the indexes of the members that have failed and of
// those that are leaving. A silent member counts as failed once withinReplaceAfter
// returns false for it. Until then that method makes a substitute load the weights.
func (round *round) membersToReplace(group *shedkeel.Group) (failed, leaving []int) {
	for position, member := range group.Members {
		switch round.condition(member) {
		case conditionLost:
			failed = append(failed, position)
		case conditionLeaving:
			leaving = append(leaving, position)
		case conditionSilent:
			if round.withinReplaceAfter(group, member) {
				round.recordDecision(group.ID, member.Box, "wait", "it has been silent for less than the patience of the policy")
				continue
			}
			failed = append(failed, position)
		case conditionHealthy:
		}
	}
	return failed, leaving
}

// withinReplaceAfter reports whether a silent member must not be replaced yet. The limit is
// ReplaceAfter, or WarmReplaceAfter if the best substitute has the weights, because a replacement
// is then cheap and waiting is rarely worth it. A substitute without the weights is made to load
// them.
func (round *round) withinReplaceAfter(group *shedkeel.Group, member shedkeel.Member) bool {
	replaceAfter := round.input.Parameters.ReplaceAfter
	for _, substitute := range round.substitutes(group, 1) {
		if hasWeights(substitute, group.Service) {
			replaceAfter = round.input.Parameters.WarmReplaceAfter
			continue
		}
		round.prefetch[substitute.Box.ID] = group.Service
	}
	return round.input.Now-round.planner.silentSince[member.Box] < replaceAfter
}

// substitutes returns up to count free boxes for the group, in the order of sortWarmFirst: those of
// its domain, or of all domains if the group spans several or its domain has too few and
// CrossDomain is set. The group's own boxes that restarted without their state and respond again
// come after the other boxes of the same loadRank.
func (round *round) substitutes(group *shedkeel.Group, count int) []shedkeel.BoxView {
	candidates := slices.Clone(round.free[group.Domain])
	if group.Domain == "" || round.input.Parameters.CrossDomain && len(candidates) < count {
		candidates = round.allFreeBoxes()
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

// allFreeBoxes returns the free boxes of all fabric domains.
func (round *round) allFreeBoxes() []shedkeel.BoxView {
	var all []shedkeel.BoxView
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		all = append(all, round.free[domain]...)
	}
	return all
}

// loadRank ranks a box by how soon it can serve: 0 with the service's weights
// loaded, 1 with them loading, 2 otherwise.
func loadRank(view shedkeel.BoxView, service shedkeel.ServiceID) int {
	switch {
	case hasWeights(view, service):
		return 0
	case view.State.Weights == service && view.State.Phase == shedkeel.PhaseLoading:
		return 1
	}
	return 2
}

// sortWarmFirst sorts boxes by loadRank, those with the service's weights first, and
// keeps the order of boxes of the same rank.
func sortWarmFirst(views []shedkeel.BoxView, service shedkeel.ServiceID) {
	slices.SortStableFunc(views, func(a, b shedkeel.BoxView) int {
		return cmp.Compare(loadRank(a, service), loadRank(b, service))
	})
}

// hasWeights reports whether the box has loaded the weights of the service.
func hasWeights(view shedkeel.BoxView, service shedkeel.ServiceID) bool {
	return view.State.Weights == service && (view.State.Phase == shedkeel.PhaseWarm || view.State.Phase == shedkeel.PhaseReady)
}

// replaceMembers replaces the members at the given positions by the substitutes, in
// order, and gives the group a new epoch. There must be a substitute for each
// position. A substitute from another domain makes the group span domains: its
// Domain is "" from then on.
func (round *round) replaceMembers(group *shedkeel.Group, positions []int, substitutes []shedkeel.BoxView) {
	for index, position := range positions {
		substitute := substitutes[index]
		round.recordDecision(group.ID, group.Members[position].Box, "replace", "by box "+string(substitute.Box.ID))
		group.Members[position] = memberFromView(substitute)
		if substitute.Box.Domain != group.Domain {
			group.Domain = ""
		}
	}
	group.Epoch = round.nextEpoch()
	round.changed = true
	round.updateFreeBoxes()
}

// memberFromView returns a group member for a box under its current boot.
func memberFromView(view shedkeel.BoxView) shedkeel.Member {
	return shedkeel.Member{Box: view.Box.ID, Address: view.Box.Address, Boot: view.State.Boot}
}
