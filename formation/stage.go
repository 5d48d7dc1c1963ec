package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// stageSpares orders free backend servers of settled domains (settleTime) to load weights
// ahead of need, so that each domain has spares for the models that its groups serve. It also
// repeats load orders that usable servers have not confirmed.
func (round *round) stageSpares() {
	for id, loading := range round.planner.loading {
		if !loading.confirmed && round.usable(round.byID[id]) {
			round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderStage, To: id, Model: loading.model}, "the answer to this order was lost")
		}
	}
	for _, domain := range round.domains {
		if round.input.Now-round.planner.lastArrival[domain] >= settleTime {
			round.stageDomain(domain)
		}
	}
}

// stageDomain orders servers of a domain to load weights ahead of need: first the free servers
// without weights on their hosts, then the servers that stageSecondModel selects.
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
		model := round.modelToStage(domain, staged)
		staged[model]++
		round.orderStage(instance, model, "a spare loads ahead of need")
	}
	round.stageSecondModel(domain, free, staged)
}

// stageSecondModel orders spares (candidates) for which hostCopyIsRedundant to load another model
// onto their hosts, as far as mayPrefetch allows, and before traffic also expendableMembers.
// Otherwise the second loss of a member of the same model in a domain waits 12 to 16 s for a load.
// staged is as for leastCovered.
func (round *round) stageSecondModel(domain shedkeel.DomainID, candidates []*shedkeel.Instance, staged map[shedkeel.ModelID]int) {
	if !round.input.Traffic {
		candidates = append(candidates, round.expendableMembers(domain)...)
	}
	for _, instance := range candidates {
		if !round.hostCopyIsRedundant(instance) || !round.mayPrefetch() {
			continue
		}
		others := slices.DeleteFunc(round.modelIDs(), func(model shedkeel.ModelID) bool { return slices.Contains(instance.Models, model) })
		if len(others) > 0 {
			round.orderStage(instance, round.leastCovered(others, domain, staged), "its host holds only what it has loaded")
		}
	}
}

// expendableMembers returns the members of a domain's open, fully listed groups, but for one group of
// each model if the domain keepsOwnWeights. With another model's weights on their hosts, they need no
// load to work for it. Before traffic starts, a load takes a tenth of the time.
func (round *round) expendableMembers(domain shedkeel.DomainID) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	keeps := round.keepsOwnWeights(domain)
	excepted := map[shedkeel.ModelID]bool{}
	for _, group := range round.groups {
		if group.domain != domain || !round.isExpendable(group) {
			continue
		}
		if keeps && !excepted[group.model.ID] {
			excepted[group.model.ID] = true
			continue
		}
		found = append(found, group.members...)
	}
	return found
}

// isExpendable reports whether a group is open and fully listed.
func (round *round) isExpendable(group *observedGroup) bool {
	return group.headState() == shedkeel.MemberOpen && !slices.Contains(group.members, nil)
}

// keepsOwnWeights reports whether the hosts of one group of each model of the domain keep their own
// weights, so that it can be formed without a load if all servers of the domain restart. Every second
// domain with groups does, or the only one: the servers of the others can all work for another model
// without a load.
func (round *round) keepsOwnWeights(domain shedkeel.DomainID) bool {
	var domains []shedkeel.DomainID
	for _, group := range round.groups {
		if round.isExpendable(group) && !slices.Contains(domains, group.domain) {
			domains = append(domains, group.domain)
		}
	}
	slices.Sort(domains)
	return len(domains) <= 1 || slices.Index(domains, domain)%2 == 1
}

// hostCopyIsRedundant reports whether a server has loaded a model and its host holds no model
// that the server has not loaded. The server joins a group of a loaded model in a fraction of
// a second with or without the weights on the host, so the host can hold another model
// instead: the server then replaces a member of either model within the duration of a warm-up.
func (round *round) hostCopyIsRedundant(instance *shedkeel.Instance) bool {
	if len(instance.Models) == 0 {
		return false
	}
	return !slices.ContainsFunc(instance.Staged, func(model shedkeel.ModelID) bool { return !slices.Contains(instance.Models, model) })
}

// prefetchShare is the share of the load limits (mayLoad) that loads ahead of need may use.
// The rest is left for groups that wait for a load.
const prefetchShare = 0.5

// mayPrefetch reports whether a load ahead of need may begin.
func (round *round) mayPrefetch() bool { return round.mayLoadWithin(prefetchShare) }

// mayLoad reports whether another load from the weight store may begin, within Engine.LoadsPerSecond
// and Engine.LoadsAtOnce. Twelve concurrent loads of 16 s, where six run at full speed, all finish
// after 32 s; in two batches, the first six servers are available after 16 s.
func (round *round) mayLoad() bool { return round.mayLoadWithin(1) }

// mayLoadWithin reports whether another load may begin if only a part, from 0 to 1, of the
// load limits may be used. Without traffic there is no limit.
func (round *round) mayLoadWithin(part float64) bool {
	if !round.input.Traffic {
		return true
	}
	engine := round.input.Engine
	if engine.LoadsAtOnce > 0 && float64(round.activeLoads()) >= part*float64(engine.LoadsAtOnce) {
		return false
	}
	return float64(len(round.planner.loadStarts)) < part*engine.LoadsPerSecond*loadWindow.Seconds()
}

// maxLoadWait returns the longest time that a domain may wait until one of its servers may
// load: the time that loads on all servers take, LoadsAtOnce at a time, if each takes
// slowLoadFactor times the longest load of any model.
func (round *round) maxLoadWait() time.Duration {
	longest := time.Duration(0)
	for index := range round.input.Engine.Models {
		longest = max(longest, round.input.Engine.Models[index].Load)
	}
	batches := 1 + len(round.input.Instances)/max(round.input.Engine.LoadsAtOnce, 1)
	return time.Duration(slowLoadFactor*batches) * longest
}

// activeLoads returns how many of the ordered loads may be running. It leaves out loads on
// dead or unlisted servers. If those counted until they expired, a planner whose loads are
// all on lost servers would order no others, and would form no group even if other servers
// are up.
func (round *round) activeLoads() int {
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

// orderStage orders a server to load a model's weights onto its host, unless a load onto the
// host was ordered and is not complete, or mayLoad allows none. In the latter case it records
// a wait. The load is tracked for twice its duration at full speed (Model.Load).
func (round *round) orderStage(instance *shedkeel.Instance, model shedkeel.ModelID, reason string) {
	if _, busy := round.planner.loading[instance.ID]; busy {
		return
	}
	if !round.mayLoad() {
		round.recordWait(Wait{Domain: instance.Domain, Reason: WaitLoadPermit, Bound: round.maxLoadWait()})
		return
	}
	round.planner.loadStarts = append(round.planner.loadStarts, round.input.Now)
	round.planner.loading[instance.ID] = loading{model: model, deadline: round.input.Now + 2*round.input.Engine.Model(model).Load}
	round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderStage, To: instance.ID, Model: model}, reason)
}

// memberCounts returns how many members the active and forming groups of each model have
// in a domain. It takes a group whose head is listed and reserved as active.
func (round *round) memberCounts(domain shedkeel.DomainID) map[shedkeel.ModelID]int {
	members := map[shedkeel.ModelID]int{}
	for _, group := range round.groups {
		if group.model != nil && group.domain == domain && group.headState() != "" && round.reserved[group.head().ID] {
			members[group.model.ID] += group.model.Size
		}
	}
	for id, forming := range round.planner.forming {
		if _, groupDomain := parseGroupName(id); groupDomain == domain {
			members[forming.model] += len(forming.members)
		}
	}
	return members
}

// modelToStage returns the model that a spare of the domain should load, by leastCovered.
func (round *round) modelToStage(domain shedkeel.DomainID, staged map[shedkeel.ModelID]int) shedkeel.ModelID {
	return round.leastCovered(round.modelIDs(), domain, staged)
}

// leastCovered returns the model, of those given, with the most members in the domain per spare;
// the spare that is to load the model counts too. Of models with the same ratio it returns the one
// with the fewest spares. staged holds, for each model, the number of the domain's free servers
// that have its weights on their hosts or load them.
func (round *round) leastCovered(models []shedkeel.ModelID, domain shedkeel.DomainID, staged map[shedkeel.ModelID]int) shedkeel.ModelID {
	members := round.memberCounts(domain)
	best := models[0]
	highestNeed := -1.0
	for _, model := range models {
		need := float64(members[model]) / float64(staged[model]+1)
		if need > highestNeed || need == highestNeed && staged[model] < staged[best] {
			best, highestNeed = model, need
		}
	}
	return best
}
