package formation

import (
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// reallocationNeedRatio is the minimum ratio of the recipient's need (groupNeed) to the
	// need that the donor will have without the released group. The servers of a released
	// group are not available for some seconds, and a smaller imbalance is corrected when
	// the next group is lost.
	reallocationNeedRatio = 1.3
	// excessGroups is how many groups more than its fair share (fairShare) the donor must
	// have to release one for a recipient whose demand is not raised (demandIsRaised). A
	// recipient that has only lost groups gets none from a donor with a smaller excess,
	// because the lost servers restart or are replaced.
	excessGroups = 1.5
	// imbalanceTime is how long an imbalance must have lasted before a group is released.
	imbalanceTime = 3 * time.Second
	// replacementTime is how long an imbalance must have lasted instead if the recipient has only
	// lost groups: lost servers restart or are replaced within that time.
	replacementTime = 20 * time.Second
	// reallocationPause is the minimum time from the end of a reallocation to the start of
	// the next one, so that the effect of the former is visible.
	reallocationPause = 6 * time.Second
	// releaseTimeout is the longest time that the release of one group may take before
	// the reallocation is given up. It includes the time in which the hosts of the group
	// load the other model while the group still serves.
	releaseTimeout = 40 * time.Second
)

// reallocation moves servers of a domain from one model, the donor, to another, the
// recipient: it releases groups of the donor, one after the other, to make room for a group
// of the recipient.
type reallocation struct {
	from       shedkeel.ModelID // the donor
	to         shedkeel.ModelID // the recipient
	domain     shedkeel.DomainID
	group      shedkeel.Assignment // the group being released
	groupsLeft int                 // groups to release, the current one included
	committed  bool                // the first group was ordered to close; the rest follow even if the imbalance ends
	since      time.Duration       // when the release of the current group began
	// urgent is set if the recipient has no group. All groups to release are then in groups, and
	// are released together; group and groupsLeft are not used.
	urgent bool
	groups []shedkeel.Assignment
}

// releases reports whether the reallocation releases a group.
func (reallocation *reallocation) releases(group shedkeel.Assignment) bool {
	return reallocation.group == group || slices.Contains(reallocation.groups, group)
}

// reallocateGroups continues the reallocations in progress and begins new ones. The hosts of
// a group load the recipient's weights while the group serves; then the group closes and its
// members are free. Each domain has at most one reallocation at a time. A reallocation that
// has ordered no group to close yet is canceled once imbalance returns no recipient.
func (round *round) reallocateGroups() {
	planner := round.planner
	counts := round.groupCounts()
	_, to := round.imbalance(counts)
	for domain, reallocation := range planner.reallocations {
		if !reallocation.committed && round.isObsolete(reallocation, to, counts) {
			delete(planner.reallocations, domain)
			continue
		}
		round.donor = reallocation.from
		if !round.continueReallocation(reallocation) {
			delete(planner.reallocations, domain)
			planner.lastReallocation = round.input.Now
		}
	}
	round.beginReallocations(counts)
}

// isObsolete reports whether a reallocation is canceled: the imbalance has ended, the recipient has
// got a group by other means, or it has lost its last group and an urgent reallocation takes less
// time. to is the current recipient; nil if the models are balanced.
func (round *round) isObsolete(reallocation *reallocation, to *shedkeel.Model, counts map[shedkeel.ModelID]int) bool {
	if reallocation.urgent {
		return counts[reallocation.to] > 0
	}
	return to == nil || counts[reallocation.to] == 0
}

// beginReallocations starts as many reallocations as restore the balance, mayPrefetch allows
// and groupToRelease finds groups for. It starts them only under traffic, once the models
// have been imbalanced for imbalanceTime or replacementTime and the last reallocation ended at least
// reallocationPause ago. It changes counts to the numbers of groups after all reallocations.
func (round *round) beginReallocations(counts map[shedkeel.ModelID]int) {
	planner := round.planner
	for _, reallocation := range planner.reallocations {
		counts[reallocation.from] -= reallocation.groupsLeft + len(reallocation.groups)
		counts[reallocation.to]++
	}
	if round.input.Traffic {
		round.beginUrgentReallocations(counts)
	}
	from, to := round.imbalance(counts)
	if to == nil || !round.input.Traffic {
		planner.imbalanceSince = 0
		return
	}
	if planner.imbalanceSince == 0 {
		planner.imbalanceSince = round.input.Now
	}
	lasting := imbalanceTime
	if !round.demandIsRaised(to) {
		lasting = replacementTime
	}
	if round.input.Now-planner.imbalanceSince < lasting || planner.lastReallocation > 0 && round.input.Now-planner.lastReallocation < reallocationPause {
		return
	}
	for to != nil && round.mayPrefetch() {
		group, groups := round.groupToRelease(from, to)
		if group == nil {
			return
		}
		reallocation := &reallocation{from: from.ID, to: to.ID, domain: group.domain, group: group.assignment(), groupsLeft: groups, since: round.input.Now}
		planner.reallocations[group.domain] = reallocation
		counts[from.ID] -= groups
		counts[to.ID]++
		round.continueReallocation(reallocation)
		from, to = round.imbalance(counts)
	}
}

// imbalance returns a donor and a recipient, or nil for both if the models are balanced. The donor
// keeps at least minGroups. Of several pairs that satisfy reallocationNeedRatio and excessGroups, it
// returns one with the recipient that needs a group most.
func (round *round) imbalance(counts map[shedkeel.ModelID]int) (from, to *shedkeel.Model) {
	models := round.input.Engine.Models
	for index := range models {
		donor := &models[index]
		if counts[donor.ID] <= minGroups {
			continue
		}
		excess := float64(counts[donor.ID]) >= round.fairShare(donor)+excessGroups
		counts[donor.ID]--
		needAfter := round.groupNeed(donor, counts)
		counts[donor.ID]++
		for other := range models {
			recipient := &models[other]
			need := round.groupNeed(recipient, counts)
			if recipient.ID == donor.ID || need < reallocationNeedRatio*needAfter || !excess && !round.demandIsRaised(recipient) {
				continue
			}
			if to == nil || need > round.groupNeed(to, counts) {
				from, to = donor, recipient
			}
		}
	}
	return from, to
}

// demandIsRaised reports whether a model's share of the work is at least sameDemandRatio
// times its configured share.
func (round *round) demandIsRaised(model *shedkeel.Model) bool {
	return round.shares[model.ID] >= sameDemandRatio*model.Share
}

// fairShare returns how many groups a model would have if all servers except the spares
// (minSparesOf) were divided in proportion to the models' work. It may be a fraction.
func (round *round) fairShare(model *shedkeel.Model) float64 {
	boxes := 0
	for _, domain := range round.domains {
		boxes += max(len(round.byDomain[domain])-round.minSparesOf(domain), 0)
	}
	total := 0.0
	for _, share := range round.shares {
		total += share
	}
	return float64(boxes) * round.shares[model.ID] / max(total, math.SmallestNonzeroFloat64) / float64(max(model.Size, 1))
}

// groupToRelease returns the donor's group to release first for a group of the recipient, and how
// many its domain has to release in total. The group is nil if no domain without a reallocation can
// release enough. Free servers beyond the spares become members of the new group too.
func (round *round) groupToRelease(from, to *shedkeel.Model) (group *observedGroup, groups int) {
	var best *observedGroup
	var lowestCost, groupCount int
	for _, group := range round.groups {
		if group.model != from || group.headState() != shedkeel.MemberOpen || slices.Contains(group.members, nil) || round.planner.reallocations[group.domain] != nil {
			continue
		}
		missing := to.Size + round.minSparesOf(group.domain) - len(round.free(group.domain))
		groups := max((missing+from.Size-1)/from.Size, 1)
		if groups > round.openGroups(from, group.domain) {
			continue
		}
		// The fewest releases take precedence over the fewest loads among domains of equal size.
		cost := groups*len(round.byDomain[group.domain]) + len(round.membersWithoutModel(group, to.ID))
		if best == nil || cost < lowestCost {
			best, lowestCost, groupCount = group, cost, groups
		}
	}
	return best, groupCount
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

// membersWithoutModel returns the listed members of a group that would have to load the
// weights of the other model from the weight store.
func (round *round) membersWithoutModel(group *observedGroup, to shedkeel.ModelID) []*shedkeel.Instance {
	return slices.DeleteFunc(slices.Clone(group.members), func(member *shedkeel.Instance) bool {
		return member == nil || joinCost(member, to) < costLoad
	})
}

// continueReallocation orders the next step of a reallocation: the members of the current group load
// the recipient's weights, then the head closes, then it leaves. It returns false when the
// reallocation is complete, no longer possible, or has taken releaseTimeout for the current group.
func (round *round) continueReallocation(reallocation *reallocation) bool {
	if reallocation.urgent {
		return round.continueUrgent(reallocation)
	}
	if round.hasLeft(reallocation.group) && !round.nextRelease(reallocation) {
		return false
	}
	group := round.groupsByName[reallocation.group.Group]
	if !round.canRelease(group, reallocation) || round.input.Now-reallocation.since > releaseTimeout {
		return false
	}
	lacking := round.membersWithoutModel(group, reallocation.to)
	switch state := group.headState(); {
	case state == shedkeel.MemberOpen && len(lacking) > 0:
		round.stageMembers(lacking, reallocation.to)
	case state == shedkeel.MemberOpen:
		reallocation.committed = true
		// The text is the same if only the recipient's demand is raised (imbalance).
		round.orderHead(group, shedkeel.OrderClose, "its model has more groups than its work needs")
	case state == shedkeel.MemberReady:
		round.orderHead(group, shedkeel.OrderLeave, "its model has more groups than its work needs")
	}
	return true
}

// nextRelease moves on to the next group to release: of the donor's open groups in the
// domain, the one that needs the fewest loads. It returns false if enough groups are
// released or none is open.
func (round *round) nextRelease(reallocation *reallocation) bool {
	reallocation.groupsLeft--
	if reallocation.groupsLeft <= 0 {
		return false
	}
	var best *observedGroup
	fewest := 0
	for _, group := range round.groups {
		if group.domain != reallocation.domain || group.model == nil || group.model.ID != reallocation.from || group.headState() != shedkeel.MemberOpen {
			continue
		}
		lacking := len(round.membersWithoutModel(group, reallocation.to))
		if best == nil || lacking < fewest {
			best, fewest = group, lacking
		}
	}
	if best == nil {
		return false
	}
	reallocation.group = best.assignment()
	reallocation.since = round.input.Now
	return true
}

// canRelease reports whether canReleaseAs is true of the current group of a reallocation, and the
// engine still has the recipient.
func (round *round) canRelease(group *observedGroup, reallocation *reallocation) bool {
	return round.canReleaseAs(group, reallocation.group) && round.input.Engine.Model(reallocation.to) != nil
}

// canReleaseAs reports whether a group has the same epoch as when it was selected, all its members
// are listed, and its head is usable.
func (round *round) canReleaseAs(group *observedGroup, selected shedkeel.Assignment) bool {
	return group != nil && group.assignment() == selected && !slices.Contains(group.members, nil) && round.usable(group.head())
}

// stageMembers orders members to load the weights of another model, as far as mayPrefetch
// allows.
func (round *round) stageMembers(members []*shedkeel.Instance, model shedkeel.ModelID) {
	for _, member := range members {
		if round.mayPrefetch() {
			round.orderStage(member, model, "its group makes room for another model")
		}
	}
}

// isBeingReleased reports whether a reallocation is currently releasing the group.
func (round *round) isBeingReleased(group *observedGroup) bool {
	reallocation := round.planner.reallocations[group.domain]
	return reallocation != nil && reallocation.releases(group.assignment())
}
