package formation

import (
	"cmp"
	"math"
	"slices"

	"shedkeel.org/shedkeel"
)

// free returns the usable backend servers of a domain that are neither reserved nor in an
// active group. It leaves out slow servers and those whose liveness probe is pending.
func (round *round) free(domain shedkeel.DomainID) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	for _, instance := range round.byDomain[domain] {
		if _, slow := round.input.Slow[instance.ID]; slow || round.isBeingProbed(instance) {
			continue
		}
		if round.usable(instance) && !round.reserved[instance.ID] && !round.inActiveGroup(instance) {
			found = append(found, instance)
		}
	}
	return found
}

// isBeingProbed reports whether a liveness probe of the server is pending and the server does not
// count as dead already.
func (round *round) isBeingProbed(instance *shedkeel.Instance) bool {
	return round.input.ProbePending[instance.ID] && !round.input.Dead[instance.ID]
}

// awaitsProbeResults reports whether a liveness probe is pending for any usable server of the
// domain that is in no group and not reserved. Results arrive within some tenths of a second.
func (round *round) awaitsProbeResults(domain shedkeel.DomainID) bool {
	return slices.ContainsFunc(round.byDomain[domain], func(instance *shedkeel.Instance) bool {
		return round.isBeingProbed(instance) && IsFree(instance) && !round.reserved[instance.ID] && round.usable(instance)
	})
}

// inActiveGroup reports whether the instance is in a formation, other than for standby, whose
// head may be serving.
func (round *round) inActiveGroup(instance *shedkeel.Instance) bool {
	if IsFree(instance) {
		return false
	}
	group := round.groupsByName[instance.Member.Group]
	if group.epoch == instance.Member.Epoch {
		return round.headMayServe(group)
	}
	return round.formerHeadMayServe(instance.Member.Assignment())
}

// substitutes returns up to count free backend servers, in order of joinCost. Under traffic it
// leaves out servers that have to load the weights first, because the other members of the group
// would be idle meanwhile.
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

// Costs of joining a model, by what the backend server already has of it.
const (
	costLoaded = iota // the server has loaded the model
	costStaged        // the weights are on the host
	costLoad          // the weights have to be loaded from the weight store
)

// joinCost returns the cost class of a server's join to a formation of the model.
func joinCost(instance *shedkeel.Instance, model shedkeel.ModelID) int {
	switch {
	case slices.Contains(instance.Models, model):
		return costLoaded
	case instance.HasStaged(model):
		return costStaged
	}
	return costLoad
}

// formNewGroups forms groups from free backend servers as long as nextGroup finds room,
// each for the model that needs a group most after the previous one. Then it orders the
// loads for further groups.
func (round *round) formNewGroups() {
	counts := round.groupCounts()
	for range len(round.input.Instances) {
		model, domain := round.nextGroup(counts, round.substitutes)
		if model == nil {
			break
		}
		members := round.substitutes(domain, model, model.Size)
		round.beginForming(round.newGroupName(model, domain), model, members)
		counts[model.ID]++
	}
	round.stageNewGroups(counts)
}

// stageNewGroups orders free servers to load weights for groups that can be formed once
// the weights are on their hosts. It reserves these servers for the rest of
// the round, so that they do not count as spares.
func (round *round) stageNewGroups(counts map[shedkeel.ModelID]int) {
	candidates := func(domain shedkeel.DomainID, model *shedkeel.Model, count int) []*shedkeel.Instance {
		return round.candidates(domain, model, count, counts)
	}
	for range len(round.input.Instances) {
		model, domain := round.nextGroup(counts, candidates)
		if model == nil {
			return
		}
		members := candidates(domain, model, model.Size)
		round.reserve(members)
		counts[model.ID]++
		for _, member := range members {
			if joinCost(member, model.ID) == costLoad {
				round.orderStage(member, model.ID, "it completes a group")
			}
		}
	}
}

// convertNeedRatio is the minimum ratio of another model's need (groupNeed) to that of the
// model on a spare's host at which the spare may load the other model for a new group. A
// spare is not available while it loads.
const convertNeedRatio = 1.5

// picker returns up to count free servers of a domain for a model.
type picker func(domain shedkeel.DomainID, model *shedkeel.Model, count int) []*shedkeel.Instance

// candidates returns up to count free servers that have the model's weights, are loading them, or
// could load them, in order of loadCost. A server whose host holds only the weights of other
// models counts if the model's need is at least convertNeedRatio times that of the first of these
// other models, or if the engine no longer has that first model.
func (round *round) candidates(domain shedkeel.DomainID, model *shedkeel.Model, count int, counts map[shedkeel.ModelID]int) []*shedkeel.Instance {
	found := slices.DeleteFunc(round.free(domain), func(instance *shedkeel.Instance) bool {
		if joinCost(instance, model.ID) < costLoad || len(instance.Staged) == 0 {
			return false
		}
		other := round.input.Engine.Model(instance.Staged[0])
		return other != nil && !onlyOneHasGroups(other, model, counts) && round.groupNeed(model, counts) < convertNeedRatio*round.groupNeed(other, counts)
	})
	slices.SortStableFunc(found, func(a, b *shedkeel.Instance) int {
		return cmp.Compare(round.loadCost(a, model.ID), round.loadCost(b, model.ID))
	})
	return found[:min(count, len(found))]
}

// onlyOneHasGroups reports whether a model has groups and the other one has none.
func onlyOneHasGroups(model, other *shedkeel.Model, counts map[shedkeel.ModelID]int) bool {
	return counts[model.ID] > 0 && counts[other.ID] == 0
}

// loadCost ranks servers as candidates for a group of the model. From the lowest cost: the
// server needs no load (joinCost), is loading the model, has no weights on its host, holds
// another model's weights, or is loading another model.
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

// groupCounts returns the number of groups of each model that serve or are expected to: the survivors
// of a group that has lost a member count only once it is being formed again.
func (round *round) groupCounts() map[shedkeel.ModelID]int {
	counts := map[shedkeel.ModelID]int{}
	names := map[shedkeel.GroupID]bool{}
	for _, group := range round.groups {
		if group.serving || round.isWhole(group) {
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

// isWhole reports whether all members of a group are listed and not dead, and its head has neither
// failed nor left.
func (round *round) isWhole(group *observedGroup) bool {
	if group.model == nil || len(group.members) == 0 || group.headState() == shedkeel.MemberBroken || round.headHasEnded(group.assignment()) {
		return false
	}
	return round.isIntact(group)
}

// nextGroup returns, of the models for which domainFor finds a domain, the one that needs another
// group most, models without a group first, and that domain. The model is nil if there is none. The
// donor of a reallocation gets no group beyond minGroups. A model with minGroups whose need is below
// minNeedRatio, or that takesFrom another one, gets groups only in domains without groups.
func (round *round) nextGroup(counts map[shedkeel.ModelID]int, pick picker) (*shedkeel.Model, shedkeel.DomainID) {
	var best *shedkeel.Model
	var bestDomain shedkeel.DomainID
	bestNeed, bestLacksAny := 0.0, false
	highestNeed := 0.0
	for index := range round.input.Engine.Models {
		highestNeed = max(highestNeed, round.groupNeed(&round.input.Engine.Models[index], counts))
	}
	for index := range round.input.Engine.Models {
		model := &round.input.Engine.Models[index]
		need := round.groupNeed(model, counts)
		if model.ID == round.donor && counts[model.ID] >= minGroups {
			continue
		}
		onlyEmpty := counts[model.ID] >= minGroups && (need < minNeedRatio*highestNeed || round.takesFrom(model, counts))
		domain, found := round.domainFor(model, pick, round.lacksGroups(model, counts), onlyEmpty)
		if !found {
			continue
		}
		lacksAny := counts[model.ID] == 0 && need > 0
		if lacksAny && !bestLacksAny || lacksAny == bestLacksAny && need > bestNeed {
			best, bestDomain, bestNeed, bestLacksAny = model, domain, need, lacksAny
		}
	}
	return best, bestDomain
}

// takesFrom reports whether a further group of a model that has its fair share would use servers of
// another model, which lacks a group or more of its own. Their replacements would find them in use.
func (round *round) takesFrom(model *shedkeel.Model, counts map[shedkeel.ModelID]int) bool {
	if !round.input.Traffic || float64(counts[model.ID]) < round.fairShare(model) {
		return false
	}
	return slices.ContainsFunc(round.input.Engine.Models, func(other shedkeel.Model) bool {
		return other.ID != model.ID && float64(counts[other.ID]) <= round.fairShare(&other)-1
	})
}

// groupNeed returns how much a model needs another group: its work (groupWork) per active or
// forming group. The 0.5 keeps the result finite for a model without groups.
func (round *round) groupNeed(model *shedkeel.Model, counts map[shedkeel.ModelID]int) float64 {
	return round.groupWork(model) / (float64(counts[model.ID]) + 0.5)
}

// minGroups is the number of groups that each model gets regardless of minNeedRatio and that
// no reallocation takes from it, so that the loss of one group leaves the model available.
const minGroups = 2

// groupWork returns a model's work in units of groups. Shares are in units of
// boxes, and a group does the work of all its members.
func (round *round) groupWork(model *shedkeel.Model) float64 {
	return round.shares[model.ID] / float64(max(model.Size, 1))
}

// domainFor returns the domain for a new group of the model, and whether there is one: of the
// settled domains (settleTime) with enough servers, the one with the fewest free servers left beyond
// its spares (minSparesOf), so that larger gaps remain for larger groups. With useSpares, no domain
// need keep spares; with onlyEmpty, only domains without groups count.
func (round *round) domainFor(model *shedkeel.Model, pick picker, useSpares, onlyEmpty bool) (shedkeel.DomainID, bool) {
	fewestFree := math.MaxInt
	var bestDomain shedkeel.DomainID
	for _, domain := range round.domains {
		if round.input.Now-round.planner.lastArrival[domain] < settleTime || round.isHeldFor(domain, model) {
			continue
		}
		spares := round.minSparesOf(domain)
		empty := !round.hasGroups(domain)
		// nextGroup sets onlyEmpty for a model that needs a group much less than another does. If
		// such a model could not use even an empty domain, three free servers there could stay
		// unused until another joins, kept for a model that has lost its groups everywhere and whose
		// groups are too large for the domain.
		if onlyEmpty && !empty {
			continue
		}
		if useSpares || empty {
			spares = 0 // with useSpares the group is worth the spares; without groups, spares have nothing to replace
		}
		room := len(round.free(domain)) - model.Size - spares
		if room >= 0 && room < fewestFree && len(pick(domain, model, model.Size)) == model.Size {
			fewestFree, bestDomain = room, domain
		}
	}
	return bestDomain, fewestFree < math.MaxInt
}

// isHeldFor reports whether a domain's free servers are kept for another model by an urgent
// reallocation.
func (round *round) isHeldFor(domain shedkeel.DomainID, model *shedkeel.Model) bool {
	reallocation := round.planner.reallocations[domain]
	return reallocation != nil && reallocation.urgent && reallocation.to != model.ID
}

// minSpares returns the minimum number of servers to keep free in a domain of that size. More stay
// free if the rest is too small for another group. An eighth (spareShare) is rounded up as far as
// pairLossSpares, because servers are lost in pairs: with one spare among ten servers, the second
// loss has no substitute.
func minSpares(servers int) int {
	part := float64(servers) * spareShare
	// Above pairLossSpares, an eighth is rounded down: rounded up to four of 27 servers, it leaves
	// no room for another group of 6 beside groups of 12 and of 6, and nine servers stay free.
	return max(int(part), min(int(math.Ceil(part)), pairLossSpares))
}

// minSparesOf returns the minimum number of spares of a domain.
func (round *round) minSparesOf(domain shedkeel.DomainID) int {
	return minSpares(len(round.byDomain[domain]))
}

// shortageRatio is the minimum ratio of a model's need (groupNeed) to another's at which a
// group of the model may be formed from a domain's last spares. If the needs were equal
// before, the ratio is 1.27 after the loss of two of nine groups and 1.46 after that of
// three, so the loss of three suffices.
const shortageRatio = 1.3

// lacksGroups reports whether the model's need is at least shortageRatio times another model's, so
// that one more group is worth the spares of a domain. It must be so by the shares of the work and
// by the configured shares, because spares are for losses, not for demand above the configured
// share.
func (round *round) lacksGroups(model *shedkeel.Model, counts map[shedkeel.ModelID]int) bool {
	if !round.input.Traffic {
		return false // while the first groups are formed, models lack groups only for the moment
	}
	for index := range round.input.Engine.Models {
		other := &round.input.Engine.Models[index]
		if other.ID == model.ID {
			continue
		}
		if onlyOneHasGroups(other, model, counts) {
			return true
		}
		measured := round.groupNeed(model, counts) / round.groupNeed(other, counts)
		configured := measured * (model.Share / round.shares[model.ID]) * (round.shares[other.ID] / other.Share)
		if min(measured, configured) >= shortageRatio {
			return true
		}
	}
	return false
}

// hasGroups reports whether the domain has active or forming groups. It takes any reserved
// server of the domain as one of their members.
func (round *round) hasGroups(domain shedkeel.DomainID) bool {
	return slices.ContainsFunc(round.byDomain[domain], func(instance *shedkeel.Instance) bool { return round.reserved[instance.ID] })
}

// newGroupName returns a new name for a group, different from those of the listed and
// forming groups.
func (round *round) newGroupName(model *shedkeel.Model, domain shedkeel.DomainID) shedkeel.GroupID {
	for {
		round.planner.lastGroupIndex++
		name := groupName(model.ID, domain, round.planner.lastGroupIndex)
		taken := slices.ContainsFunc(round.groups, func(group *observedGroup) bool { return group.id == name })
		if _, forming := round.planner.forming[name]; !taken && !forming {
			return name
		}
	}
}
