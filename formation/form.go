package formation

import (
	"cmp"
	"math"
	"slices"

	"shedkeel.org/shedkeel"
)

// free returns the usable backend servers of a domain that are in no group.
func (round *round) free(domain shedkeel.DomainID) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	for _, instance := range round.byDomain[domain] {
		if _, slow := round.input.Slow[instance.ID]; slow || round.isBeingProbed(instance) {
			continue
		}
		if round.usable(instance) && !round.used[instance.ID] && !round.inStandingGroup(instance) {
			found = append(found, instance)
		}
	}
	return found
}

// isBeingProbed reports whether it is being found out whether the server lives.
func (round *round) isBeingProbed(instance *shedkeel.Instance) bool {
	return round.input.Probed[instance.ID] && !round.input.Dead[instance.ID]
}

// awaitsProbes reports whether free servers of a domain are being probed: the
// answers come within some tenths of a second.
func (round *round) awaitsProbes(domain shedkeel.DomainID) bool {
	return slices.ContainsFunc(round.byDomain[domain], func(instance *shedkeel.Instance) bool {
		return round.isBeingProbed(instance) && IsFree(instance) && !round.used[instance.ID] && round.usable(instance)
	})
}

// inStandingGroup reports whether the instance is in a group that this round
// has not judged yet or that may be serving.
func (round *round) inStandingGroup(instance *shedkeel.Instance) bool {
	if IsFree(instance) {
		return false
	}
	group := round.byName[instance.Member.Group]
	if group.epoch == instance.Member.Epoch {
		return round.headMayServe(group)
	}
	return round.formerHeadMayServe(instance.Member.Assignment())
}

// substitutes returns up to count free backend servers, those that join the
// model fastest first. Once callers are served, none is taken that must load
// first: the others of its group would stand idle meanwhile.
func (round *round) substitutes(domain shedkeel.DomainID, model *shedkeel.Model, count int) []*shedkeel.Instance {
	if count <= 0 {
		return nil
	}
	found := round.free(domain)
	slices.SortStableFunc(found, func(a, b *shedkeel.Instance) int {
		return cmp.Compare(joinCost(a, model.ID), joinCost(b, model.ID))
	})
	if round.input.Traffic {
		found = slices.DeleteFunc(found, func(instance *shedkeel.Instance) bool { return joinCost(instance, model.ID) >= costLoad })
	}
	return found[:min(count, len(found))]
}

// The costs of a join, by what the backend server has of the model.
const (
	costLoaded = iota // it was in a group of the model
	costStaged        // the weights are on the host
	costLoad          // from the weight store
)

func joinCost(instance *shedkeel.Instance, model shedkeel.ModelID) int {
	switch {
	case slices.Contains(instance.Models, model):
		return costLoaded
	case instance.HasStaged(model):
		return costStaged
	}
	return costLoad
}

// formNew forms groups from free backend servers: again and again one of the
// model with the most work for each of its groups, as long as there is room.
func (round *round) formNew() {
	counts := round.counts()
	for range len(round.input.Instances) {
		model, domain := round.nextGroup(counts, round.substitutes)
		if model == nil {
			break
		}
		members := round.substitutes(domain, model, model.Size)
		round.form(round.newName(model, domain), model, members)
		counts[model.ID]++
	}
	round.prepare(counts)
}

// prepare has free servers load the weights of groups that could be formed if
// they had them. It takes them out of the round, so that they are no spares.
func (round *round) prepare(counts map[shedkeel.ModelID]int) {
	candidates := func(domain shedkeel.DomainID, model *shedkeel.Model, count int) []*shedkeel.Instance {
		return round.candidates(domain, model, count, counts)
	}
	for range len(round.input.Instances) {
		model, domain := round.nextGroup(counts, candidates)
		if model == nil {
			return
		}
		members := candidates(domain, model, model.Size)
		round.keep(members)
		counts[model.ID]++
		for _, member := range members {
			if joinCost(member, model.ID) == costLoad {
				round.stage(member, model.ID, "it completes a group")
			}
		}
	}
}

// convertNeed is how many times more a model must need a group for spares of
// another to load it: they are out for a whole load.
const convertNeed = 1.5

// picker returns up to count free servers of a domain for a model.
type picker func(domain shedkeel.DomainID, model *shedkeel.Model, count int) []*shedkeel.Instance

// candidates returns up to count free servers that have the model's weights,
// are loading them, or could load them. A server that has another model's is
// one only if that model needs groups far less.
func (round *round) candidates(domain shedkeel.DomainID, model *shedkeel.Model, count int, counts map[shedkeel.ModelID]int) []*shedkeel.Instance {
	found := slices.DeleteFunc(round.free(domain), func(instance *shedkeel.Instance) bool {
		if joinCost(instance, model.ID) < costLoad || len(instance.Staged) == 0 {
			return false
		}
		other := round.input.Engine.Model(instance.Staged[0])
		return other != nil && round.need(model, counts) < convertNeed*round.need(other, counts)
	})
	slices.SortStableFunc(found, func(a, b *shedkeel.Instance) int {
		return cmp.Compare(round.loadCost(a, model.ID), round.loadCost(b, model.ID))
	})
	return found[:min(count, len(found))]
}

// loadCost orders servers by how little is lost when they load the model.
func (round *round) loadCost(instance *shedkeel.Instance, model shedkeel.ModelID) int {
	cost := joinCost(instance, model)
	loading, busy := round.planner.loading[instance.ID]
	switch {
	case cost < costLoad:
		return cost
	case busy && loading.model == model:
		return costLoad
	case busy:
		return costLoad + 3
	case len(instance.Staged) > 0:
		return costLoad + 2
	}
	return costLoad + 1
}

// counts returns how many groups of each model stand or are forming.
func (round *round) counts() map[shedkeel.ModelID]int {
	counts := map[shedkeel.ModelID]int{}
	names := map[shedkeel.GroupID]bool{}
	for _, group := range round.groups {
		if group.model != nil && slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool { return member != nil && round.used[member.ID] }) {
			names[group.id] = true
		}
	}
	for id := range round.planner.forming {
		names[id] = true
	}
	for id := range names {
		counts[ModelOf(id)]++
	}
	return counts
}

// nextGroup returns the model that needs a group most among those for which a
// domain has room, and that domain.
func (round *round) nextGroup(counts map[shedkeel.ModelID]int, pick picker) (*shedkeel.Model, shedkeel.DomainID) {
	var best *shedkeel.Model
	var place shedkeel.DomainID
	most := 0.0
	neediest := 0.0
	for index := range round.input.Engine.Models {
		neediest = max(neediest, round.need(&round.input.Engine.Models[index], counts))
	}
	for index := range round.input.Engine.Models {
		model := &round.input.Engine.Models[index]
		need := round.need(model, counts)
		if model.ID == round.giver && counts[model.ID] >= minGroups {
			continue
		}
		domain, found := round.roomFor(model, pick, round.lacksGroups(model, counts), counts[model.ID] >= minGroups && need < enough*neediest)
		if !found {
			continue
		}
		if need > most {
			best, place, most = model, domain, need
		}
	}
	return best, place
}

// need returns how much a model needs one more group: its work for each.
func (round *round) need(model *shedkeel.Model, counts map[shedkeel.ModelID]int) float64 {
	return round.work(model) / (float64(counts[model.ID]) + 0.5)
}

// minGroups is how many groups of each model are formed if there is room, so
// that one loss leaves some.
const minGroups = 2

// work returns the part of all work that a model has, as groups do it: shares
// count boxes, so a group does as much more as it has members.
func (round *round) work(model *shedkeel.Model) float64 {
	return round.shares[model.ID] / float64(max(model.Size, 1))
}

// roomFor returns the settled domain with the fewest free backend servers that
// still keeps its spares after a new group of the model. Small groups so leave
// the room that larger ones need.
//
// What a model that others need more may have are the domains where no group
// stands: kept for a model that had lost its groups everywhere, and had no room
// there, three servers of a domain served nobody for as long as none came.
func (round *round) roomFor(model *shedkeel.Model, pick picker, useSpares, onlyEmpty bool) (shedkeel.DomainID, bool) {
	least := math.MaxInt
	var place shedkeel.DomainID
	for _, domain := range round.domains {
		if round.input.Now-round.planner.newest[domain] < settleTime {
			continue
		}
		spares := round.sparesOf(domain)
		empty := !round.hasGroups(domain)
		if onlyEmpty && !empty {
			continue
		}
		if useSpares || empty {
			spares = 0 // better one group than none
		}
		room := len(round.free(domain)) - model.Size - spares
		if room >= 0 && room < least && len(pick(domain, model, model.Size)) == model.Size {
			least, place = room, domain
		}
	}
	return place, least < math.MaxInt
}

// leastSpares returns how many of the servers of a domain are kept free at least.
// More stay free where they make no whole group.
//
// An eighth is rounded up as far as pairSpares: servers are lost in twos, and with
// one spare among ten servers, two of them lost each three seconds, 0.30 of the
// worth was earned in place of 0.60 (10 pairs of plays). From there on it is
// rounded down: rounded up, an eighth of 27 servers in groups of 12 and 6 left nine
// of them free, for it left nothing for the fourth group; 0.056 +- 0.007 of the
// worth (5 pairs of plays).
func leastSpares(servers int) int {
	part := float64(servers) * spareShare
	return max(int(part), min(int(math.Ceil(part)), pairSpares))
}

// sparesOf returns how many servers of a domain are kept free.
func (round *round) sparesOf(domain shedkeel.DomainID) int {
	return leastSpares(len(round.byDomain[domain]))
}

// shortNeed is how many times more than another model a model must need a
// group for it to be formed from the last spares of a domain. Two of nine
// groups lost give 1.2, three give 1.4.
const shortNeed = 1.3

// lacksGroups reports whether a model has lost so many groups, compared with
// others, that one more is worth the spares of a domain. That callers ask more
// of it than was stated is no reason: spares are for losses.
func (round *round) lacksGroups(model *shedkeel.Model, counts map[shedkeel.ModelID]int) bool {
	if !round.input.Traffic {
		return false // the first groups are formed one model after the other
	}
	for index := range round.input.Engine.Models {
		other := &round.input.Engine.Models[index]
		if other.ID == model.ID {
			continue
		}
		measured := round.need(model, counts) / round.need(other, counts)
		stated := measured * (model.Share / round.shares[model.ID]) * (round.shares[other.ID] / other.Share)
		if min(measured, stated) >= shortNeed {
			return true
		}
	}
	return false
}

// hasGroups reports whether the domain has groups that stand or are forming.
func (round *round) hasGroups(domain shedkeel.DomainID) bool {
	return slices.ContainsFunc(round.byDomain[domain], func(instance *shedkeel.Instance) bool { return round.used[instance.ID] })
}

// newName returns a name that no group bears now.
func (round *round) newName(model *shedkeel.Model, domain shedkeel.DomainID) shedkeel.GroupID {
	for {
		round.planner.indexes++
		name := groupName(model.ID, domain, round.planner.indexes)
		taken := slices.ContainsFunc(round.groups, func(group *observed) bool { return group.id == name })
		if _, forming := round.planner.forming[name]; !taken && !forming {
			return name
		}
	}
}
