package formation

import (
	"cmp"
	"slices"

	"shedkeel.org/shedkeel"
)

// release is a way to make room for a group in a domain.
type release struct {
	groups []*observedGroup // groups to release
	loads  int              // servers of the new group that have to load its weights first
}

// beginUrgentReallocations starts a reallocation for each model that has no group and gets none from
// free servers, the one that needs a group most first. Donors keep one group: a model without a group
// refuses all its callers, while one with a single group serves a part of them.
func (round *round) beginUrgentReallocations(counts map[shedkeel.ModelID]int) {
	for range round.input.Engine.Models {
		to := round.unserved(counts)
		if to == nil {
			return
		}
		counts[to.ID]++ // also if nothing can be released: the next model may be luckier
		from, way := round.bestRelease(to, counts)
		if from == nil {
			continue
		}
		reallocation := &reallocation{from: from.ID, to: to.ID, domain: way.groups[0].domain, since: round.input.Now, urgent: true}
		for _, group := range way.groups {
			reallocation.groups = append(reallocation.groups, group.assignment())
		}
		counts[from.ID] -= len(way.groups)
		round.planner.reallocations[reallocation.domain] = reallocation
		round.continueUrgent(reallocation)
	}
}

// unserved returns the model without a group that needs one most, or nil if there is none.
func (round *round) unserved(counts map[shedkeel.ModelID]int) *shedkeel.Model {
	var found *shedkeel.Model
	for index := range round.input.Engine.Models {
		model := &round.input.Engine.Models[index]
		if counts[model.ID] == 0 && round.groupWork(model) > 0 && (found == nil || round.groupNeed(model, counts) > round.groupNeed(found, counts)) {
			found = model
		}
	}
	return found
}

// bestRelease returns the donor and the release that make room for a group of the model with the
// fewest loads, then with the fewest released groups, then from the donor that needs its groups
// least. The donor is nil if there is none, or if free servers suffice and a release saves no load.
func (round *round) bestRelease(to *shedkeel.Model, counts map[shedkeel.ModelID]int) (from *shedkeel.Model, best release) {
	for _, domain := range round.domains {
		if round.planner.reallocations[domain] != nil {
			continue
		}
		for index := range round.input.Engine.Models {
			donor := &round.input.Engine.Models[index]
			if donor.ID == to.ID || counts[donor.ID] < 2 {
				continue
			}
			way, possible := round.releaseIn(domain, donor, to, counts[donor.ID]-1)
			if !possible {
				continue
			}
			if from == nil || cmp.Or(cmp.Compare(way.loads, best.loads), cmp.Compare(len(way.groups), len(best.groups)), cmp.Compare(round.groupNeed(donor, counts), round.groupNeed(from, counts))) < 0 {
				from, best = donor, way
			}
		}
	}
	if from != nil && (len(best.groups) == 0 || best.loads > 0 && round.freeServersSuffice(to)) {
		return nil, release{}
	}
	return from, best
}

// freeServersSuffice reports whether a domain has enough free servers for a group of the model, with
// or without its weights.
func (round *round) freeServersSuffice(model *shedkeel.Model) bool {
	return slices.ContainsFunc(round.domains, func(domain shedkeel.DomainID) bool { return len(round.free(domain)) >= model.Size })
}

// releaseIn returns how a domain makes room for a group of a model from its free servers and at most
// limit groups of the donor, with the fewest loads and then the fewest released groups. It returns
// false if the domain is too small.
func (round *round) releaseIn(domain shedkeel.DomainID, donor, to *shedkeel.Model, limit int) (release, bool) {
	free := round.free(domain)
	total, prepared := len(free), countPrepared(free, to.ID)
	candidates := round.releasable(domain, donor, to)
	best, possible := release{}, false
	for count := 0; ; count++ {
		loads := max(to.Size-prepared, 0)
		if total >= to.Size && (!possible || loads < best.loads) {
			best, possible = release{slices.Clone(candidates[:count]), loads}, true
		}
		if count == min(limit, len(candidates)) {
			return best, possible
		}
		total += donor.Size
		prepared += countPrepared(candidates[count].members, to.ID)
	}
}

// releasable returns the donor's groups in a domain that are open and whole, those with the most
// members that need no load for the other model first.
func (round *round) releasable(domain shedkeel.DomainID, donor, to *shedkeel.Model) []*observedGroup {
	var found []*observedGroup
	for _, group := range round.groups {
		if group.domain == domain && group.model == donor && group.serving && !slices.Contains(group.members, nil) {
			found = append(found, group)
		}
	}
	slices.SortStableFunc(found, func(a, b *observedGroup) int {
		return cmp.Compare(countPrepared(b.members, to.ID), countPrepared(a.members, to.ID))
	})
	return found
}

// countPrepared counts the servers that join a group of the model without a load.
func countPrepared(instances []*shedkeel.Instance, model shedkeel.ModelID) int {
	count := 0
	for _, instance := range instances {
		if joinCost(instance, model) < costLoad {
			count++
		}
	}
	return count
}

// continueUrgent orders the next steps of an urgent reallocation: members load the recipient's weights
// as far as the new group lacks them, then the heads close, then they leave. It returns false when
// all have left, when a group can't be released any more, or after releaseTimeout.
func (round *round) continueUrgent(reallocation *reallocation) bool {
	var groups []*observedGroup
	for _, assignment := range reallocation.groups {
		if round.hasLeft(assignment) {
			continue
		}
		group := round.groupsByName[assignment.Group]
		if !round.canReleaseAs(group, assignment) {
			return false
		}
		groups = append(groups, group)
	}
	if len(groups) == 0 || round.input.Now-reallocation.since > releaseTimeout || round.input.Engine.Model(reallocation.to) == nil {
		return false
	}
	if !reallocation.committed && round.stageForUrgent(reallocation, groups) {
		return true
	}
	reallocation.committed = true
	for _, group := range groups {
		switch group.headState() {
		case shedkeel.MemberOpen:
			round.orderHead(group, shedkeel.OrderClose, "another model has no group")
		case shedkeel.MemberReady:
			round.orderHead(group, shedkeel.OrderLeave, "another model has no group")
		}
	}
	return true
}

// stageForUrgent orders as many members to load the recipient's weights as the new group lacks. It
// returns false if it lacks none.
func (round *round) stageForUrgent(reallocation *reallocation, groups []*observedGroup) bool {
	to := round.input.Engine.Model(reallocation.to)
	members := round.free(reallocation.domain)
	for _, group := range groups {
		members = append(members, group.members...)
	}
	lacking := to.Size - countPrepared(members, to.ID)
	if lacking <= 0 {
		return false
	}
	for _, loading := range round.planner.loading {
		if loading.model == to.ID {
			lacking--
		}
	}
	for _, member := range members {
		if _, busy := round.planner.loading[member.ID]; lacking > 0 && !busy && joinCost(member, to.ID) == costLoad {
			round.orderStage(member, to.ID, "another model has no group")
			lacking--
		}
	}
	return true
}
