package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// stageSpares has free backend servers load weights ahead of need: each domain
// gets spares for the models that its groups serve, in turn.
func (round *round) stageSpares() {
	for id, loading := range round.planner.loading {
		if !loading.confirmed && round.usable(round.byID[id]) {
			round.give(shedkeel.GroupOrder{Kind: shedkeel.OrderStage, To: id, Model: loading.model}, "the answer to this order was lost")
		}
	}
	for _, domain := range round.domains {
		if round.input.Now-round.planner.newest[domain] >= settleTime {
			round.stageDomain(domain)
		}
	}
}

func (round *round) stageDomain(domain shedkeel.DomainID) {
	staged := map[shedkeel.ModelID]int{}
	var empty []*shedkeel.Instance
	free := round.free(domain)
	for _, instance := range free {
		if loading, busy := round.planner.loading[instance.ID]; busy {
			staged[loading.model]++
			continue
		}
		if len(instance.Staged) == 0 {
			empty = append(empty, instance)
		}
		for _, model := range instance.Staged {
			staged[model]++
		}
	}
	for _, instance := range empty {
		model := round.leastStaged(domain, staged)
		staged[model]++
		round.stage(instance, model, "a spare loads ahead of need")
	}
	round.stageOthers(domain, free, staged)
}

// stageOthers has hosts that hold only what their servers have loaded load
// another model: those of the candidates, which are spares, and before callers
// come some of members.
//
// A spare so replaces a member of either of two models. Without it the second
// loss of a model in a domain waits 12 to 16 s for a load: 0.013 of the worth of
// days on which a member is lost each three seconds (20 pairs of plays).
func (round *round) stageOthers(domain shedkeel.DomainID, candidates []*shedkeel.Instance, staged map[shedkeel.ModelID]int) {
	if !round.input.Traffic {
		candidates = append(candidates, round.cheapMembers(domain)...)
	}
	for _, instance := range candidates {
		if !round.hostIsSpent(instance) || !round.mayLoadAhead() {
			continue
		}
		others := slices.DeleteFunc(round.modelIDs(), func(model shedkeel.ModelID) bool { return slices.Contains(instance.Models, model) })
		if len(others) > 0 {
			round.stage(instance, round.neediest(others, domain, staged), "its host holds only what it has loaded")
		}
	}
}

// cheapMembers returns the members of a domain's open groups of the smallest
// model but one. A group of it is given up for least, and one keeps its own
// weights on its hosts, so that a domain that restarts can form it: without
// that 0.010 of the worth was lost on days when a domain goes dark. Before
// callers come, loads take a tenth of the time: what these hosts load then
// spares 12 to 16 s when callers ask for more of another model than was stated.
// With the stated shares of two models exchanged, 0.72 of the worth is earned in
// place of 0.59.
func (round *round) cheapMembers(domain shedkeel.DomainID) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	kept := false
	for _, group := range round.groups {
		if group.domain != domain || group.headState() != shedkeel.MemberOpen || slices.Contains(group.members, nil) || !round.isSmallest(group.model) {
			continue
		}
		if kept {
			found = append(found, group.members...)
		}
		kept = true
	}
	return found
}

// isSmallest reports whether no model has smaller groups.
func (round *round) isSmallest(model *shedkeel.Model) bool {
	return model != nil && !slices.ContainsFunc(round.input.Engine.Models, func(other shedkeel.Model) bool { return other.Size < model.Size })
}

// hostIsSpent reports whether the host of a server holds only what the server
// itself has loaded. A server joins the model that it has loaded in a fraction
// of a second, with or without a copy on its host, so the host can hold
// another model: such a spare replaces a member of either within a warm-up.
func (round *round) hostIsSpent(instance *shedkeel.Instance) bool {
	if len(instance.Models) == 0 {
		return false
	}
	return !slices.ContainsFunc(instance.Staged, func(model shedkeel.ModelID) bool { return !slices.Contains(instance.Models, model) })
}

// aheadShare is the part of the loads that may begin at once, or in a window,
// that loads without need may take: the rest is left for groups that wait.
const aheadShare = 0.5

// mayLoadAhead reports whether a load may begin that nothing waits for.
func (round *round) mayLoadAhead() bool { return round.mayLoadWithin(aheadShare) }

// mayLoad reports whether another load from the weight store may begin: neither
// too many in a span, nor more at once than the store serves at full speed.
// Twelve loads of 16 s at once where six run at full speed are all done after 32
// s; six by six, the first six servers are of use after 16 s.
func (round *round) mayLoad() bool { return round.mayLoadWithin(1) }

// mayLoadWithin reports whether another load may begin within a part of the
// bounds. Before callers come there are none.
func (round *round) mayLoadWithin(part float64) bool {
	if !round.input.Traffic {
		return true
	}
	engine := round.input.Engine
	if engine.LoadsAtOnce > 0 && float64(round.loadsUnderWay()) >= part*float64(engine.LoadsAtOnce) {
		return false
	}
	return float64(len(round.planner.loads)) < part*engine.LoadsPerSecond*loadWindow.Seconds()
}

// loadBound is how long a domain may wait until one of its servers may load: as
// long as all other servers take, with as many at once as may run.
func (round *round) loadBound() time.Duration {
	longest := time.Duration(0)
	for index := range round.input.Engine.Models {
		longest = max(longest, round.input.Engine.Models[index].Load)
	}
	rounds := 1 + len(round.input.Instances)/max(round.input.Engine.LoadsAtOnce, 1)
	return time.Duration(slowLoads*rounds) * longest
}

// loadsUnderWay returns how many of the loads that were ordered may be running.
// A server that is lost loads nothing: where its order counted for ever, a
// planner that had ordered as many loads as may run at once from servers that
// then were lost never ordered another, and no group stood again though eight
// servers of a domain were up.
func (round *round) loadsUnderWay() int {
	count := 0
	for id := range round.planner.loading {
		if round.byID[id] != nil && !round.input.Dead[id] {
			count++
		}
	}
	return count
}

// modelIDs returns the names of the engine's models.
func (round *round) modelIDs() []shedkeel.ModelID {
	var found []shedkeel.ModelID
	for index := range round.input.Engine.Models {
		found = append(found, round.input.Engine.Models[index].ID)
	}
	return found
}

// stage orders a load onto the host, unless one is under way or loads are
// bounded now.
func (round *round) stage(instance *shedkeel.Instance, model shedkeel.ModelID, reason string) {
	if _, busy := round.planner.loading[instance.ID]; busy {
		return
	}
	if !round.mayLoad() {
		round.wait(Wait{Domain: instance.Domain, Reason: WaitLoadPermit, Bound: round.loadBound()})
		return
	}
	round.planner.loads = append(round.planner.loads, round.input.Now)
	round.planner.loading[instance.ID] = loading{model: model, until: round.input.Now + 2*round.input.Engine.Model(model).Load}
	round.give(shedkeel.GroupOrder{Kind: shedkeel.OrderStage, To: instance.ID, Model: model}, reason)
}

// members returns how many members the groups of each model have in a domain.
func (round *round) members(domain shedkeel.DomainID) map[shedkeel.ModelID]int {
	members := map[shedkeel.ModelID]int{}
	for _, group := range round.groups {
		if group.model != nil && group.domain == domain && group.headState() != "" && round.used[group.head().ID] {
			members[group.model.ID] += group.model.Size
		}
	}
	for id, forming := range round.planner.forming {
		if _, place := parseGroup(id); place == domain {
			members[forming.model] += len(forming.members)
		}
	}
	return members
}

// leastStaged returns the model that a spare of the domain should load.
func (round *round) leastStaged(domain shedkeel.DomainID, staged map[shedkeel.ModelID]int) shedkeel.ModelID {
	return round.neediest(round.modelIDs(), domain, staged)
}

// neediest returns the one of the models whose members in the domain have the
// fewest spares for each.
func (round *round) neediest(models []shedkeel.ModelID, domain shedkeel.DomainID, staged map[shedkeel.ModelID]int) shedkeel.ModelID {
	members := round.members(domain)
	best := models[0]
	most := -1.0
	for _, model := range models {
		need := float64(members[model]) / float64(staged[model]+1)
		if need > most || need == most && staged[model] < staged[best] {
			best, most = model, need
		}
	}
	return best
}
