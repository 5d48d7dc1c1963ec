package formation

import (
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// yieldNeed is how many times more than another model, once that has given
	// up a group, a model must need one for it to be given up: a group is out
	// for some seconds, and less than that is made good by the next loss.
	yieldNeed = 1.3
	// overDue is how many groups more than due a model must have to give one up
	// for a model that is not asked for more than was stated. That the other has
	// lost groups is no reason: its servers come back.
	overDue = 1.5
	// yieldAfter is for how long that must have lasted.
	yieldAfter = 3 * time.Second
	// yieldPause is how long after a group was given up the next one may be, so
	// that what the first one gave is seen.
	yieldPause = 6 * time.Second
	// yieldTimeout is how long a group may take to be given up: its hosts load
	// the other model meanwhile, beside its work.
	yieldTimeout = 40 * time.Second
)

// yielding is how a model makes room for a group of another, by groups of one
// domain that are given up one after the other.
type yielding struct {
	from   shedkeel.ModelID
	to     shedkeel.ModelID
	domain shedkeel.DomainID
	group  shedkeel.Assignment // that is given up now
	left   int                 // groups to give up, this one among them
	begun  bool                // the first one was closed, so it is gone through with
	since  time.Duration
}

// yieldGroups has a model that has more groups than its work needs give some up
// for a model that lacks them: the hosts load the other model while the groups
// serve on, then they close and their members are free. A domain does so once
// at a time.
func (round *round) yieldGroups() {
	planner := round.planner
	counts := round.counts()
	_, to := round.unbalanced(counts)
	for domain, yielding := range planner.yieldings {
		if to == nil && !yielding.begun {
			delete(planner.yieldings, domain) // what was lost is back
			continue
		}
		round.giver = yielding.from
		if !round.continueYield(yielding) {
			delete(planner.yieldings, domain)
			planner.yielded = round.input.Now
		}
	}
	round.beginYields(counts)
}

// beginYields chooses groups to be given up once the models have been out of
// balance for long enough, as many as bring it about.
func (round *round) beginYields(counts map[shedkeel.ModelID]int) {
	planner := round.planner
	for _, yielding := range planner.yieldings {
		counts[yielding.from] -= yielding.left
		counts[yielding.to]++
	}
	from, to := round.unbalanced(counts)
	if to == nil || !round.input.Traffic {
		planner.unbalanced = 0
		return
	}
	if planner.unbalanced == 0 {
		planner.unbalanced = round.input.Now
	}
	if round.input.Now-planner.unbalanced < yieldAfter || planner.yielded > 0 && round.input.Now-planner.yielded < yieldPause {
		return
	}
	for to != nil && round.mayLoadAhead() {
		group, groups := round.dispensable(from, to)
		if group == nil {
			return
		}
		yielding := &yielding{from: from.ID, to: to.ID, domain: group.domain, group: group.assignment(), left: groups, since: round.input.Now}
		planner.yieldings[group.domain] = yielding
		counts[from.ID] -= groups
		counts[to.ID]++
		round.continueYield(yielding)
		from, to = round.unbalanced(counts)
	}
}

// unbalanced returns the model that could give up a group and the one that
// needs it far more, or nil.
func (round *round) unbalanced(counts map[shedkeel.ModelID]int) (from, to *shedkeel.Model) {
	models := round.input.Engine.Models
	for index := range models {
		giver := &models[index]
		if counts[giver.ID] <= minGroups {
			continue
		}
		excess := float64(counts[giver.ID]) >= round.due(giver)+overDue
		counts[giver.ID]--
		after := round.need(giver, counts)
		counts[giver.ID]++
		for other := range models {
			taker := &models[other]
			need := round.need(taker, counts)
			if taker.ID == giver.ID || need < yieldNeed*after || !excess && !round.wanted(taker) {
				continue
			}
			if to == nil || need > round.need(to, counts) {
				from, to = giver, taker
			}
		}
	}
	return from, to
}

// wanted reports whether callers ask for more of a model than was stated.
func (round *round) wanted(model *shedkeel.Model) bool {
	return round.shares[model.ID] >= sameDemand*model.Share
}

// due returns how many groups a model would have if all servers but the spares
// were in groups by the models' work.
func (round *round) due(model *shedkeel.Model) float64 {
	boxes := 0
	for _, domain := range round.domains {
		boxes += max(len(round.byDomain[domain])-round.sparesOf(domain), 0)
	}
	total := 0.0
	for _, share := range round.shares {
		total += share
	}
	return float64(boxes) * round.shares[model.ID] / max(total, math.SmallestNonzeroFloat64) / float64(max(model.Size, 1))
}

// dispensable returns an open group of a model in a domain where so many of its
// groups and the free servers, but for spares, are enough for a group of the
// other, or nil: of these the one that takes the fewest groups and loads, and
// how many groups.
func (round *round) dispensable(from, to *shedkeel.Model) (group *observed, groups int) {
	var best *observed
	var fewest, least int
	for _, group := range round.groups {
		if group.model != from || group.headState() != shedkeel.MemberOpen || slices.Contains(group.members, nil) || round.planner.yieldings[group.domain] != nil {
			continue
		}
		missing := to.Size + round.sparesOf(group.domain) - len(round.free(group.domain))
		groups := max((missing+from.Size-1)/from.Size, 1)
		if groups > round.openGroups(from, group.domain) {
			continue
		}
		cost := groups*len(round.byDomain[group.domain]) + len(round.lackingHosts(group, to.ID))
		if best == nil || cost < fewest {
			best, fewest, least = group, cost, groups
		}
	}
	return best, least
}

// openGroups returns how many open groups of a model a domain has.
func (round *round) openGroups(model *shedkeel.Model, domain shedkeel.DomainID) int {
	count := 0
	for _, group := range round.groups {
		if group.model == model && group.domain == domain && group.headState() == shedkeel.MemberOpen {
			count++
		}
	}
	return count
}

// lackingHosts returns the members of a group whose hosts don't hold the other
// model.
func (round *round) lackingHosts(group *observed, to shedkeel.ModelID) []*shedkeel.Instance {
	return slices.DeleteFunc(slices.Clone(group.members), func(member *shedkeel.Instance) bool {
		return member == nil || joinCost(member, to) < costLoad
	})
}

// continueYield loads, closes and leaves. It reports whether there is more to
// do.
func (round *round) continueYield(yielding *yielding) bool {
	if round.hasLeft(yielding.group) && !round.nextYield(yielding) {
		return false
	}
	group := round.byName[yielding.group.Group]
	if !round.mayYield(group, yielding) || round.input.Now-yielding.since > yieldTimeout {
		return false
	}
	lacking := round.lackingHosts(group, yielding.to)
	switch state := group.headState(); {
	case state == shedkeel.MemberOpen && len(lacking) > 0:
		round.stageAhead(lacking, yielding.to)
	case state == shedkeel.MemberOpen:
		yielding.begun = true
		round.giveHead(group, shedkeel.OrderClose, "its model has more groups than its work needs")
	case state == shedkeel.MemberReady:
		round.giveHead(group, shedkeel.OrderLeave, "its model has more groups than its work needs")
	}
	return true
}

// nextYield goes on to the next group that is to be given up, the one that
// takes the fewest loads, if there is one.
func (round *round) nextYield(yielding *yielding) bool {
	yielding.left--
	if yielding.left <= 0 {
		return false
	}
	var best *observed
	fewest := 0
	for _, group := range round.groups {
		if group.domain != yielding.domain || group.model == nil || group.model.ID != yielding.from || group.headState() != shedkeel.MemberOpen {
			continue
		}
		lacking := len(round.lackingHosts(group, yielding.to))
		if best == nil || lacking < fewest {
			best, fewest = group, lacking
		}
	}
	if best == nil {
		return false
	}
	yielding.group = best.assignment()
	yielding.since = round.input.Now
	return true
}

// mayYield reports whether a group is still as it was when it was to be given
// up.
func (round *round) mayYield(group *observed, yielding *yielding) bool {
	return group != nil && group.assignment() == yielding.group && round.input.Engine.Model(yielding.to) != nil &&
		!slices.Contains(group.members, nil) && round.usable(group.head())
}

func (round *round) stageAhead(members []*shedkeel.Instance, model shedkeel.ModelID) {
	for _, member := range members {
		if round.mayLoadAhead() {
			round.stage(member, model, "its group makes room for another model")
		}
	}
}

// yields reports whether the group is being given up.
func (round *round) yields(group *observed) bool {
	yielding := round.planner.yieldings[group.domain]
	return yielding != nil && yielding.group == group.assignment()
}
