package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// dissolve orders a member of a group with a lost head to leave. A head that lacks a member can do no
// work and fails after StallTime, wherever it is, so the other members need not wait for headTimeout.
func (round *round) dissolve(group *observedGroup) {
	head := group.head()
	_, left := round.planner.memberLeftAt[group.assignment()]
	if round.planner.StallTime <= 0 || left || head != nil && !round.input.Dead[head.ID] {
		return
	}
	for _, member := range group.members[1:] {
		if round.usable(member) && !round.inForming[member.ID] && !round.mayRejoin(member, group.assignment()) {
			round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderLeave, To: member.ID, Group: group.id, Epoch: group.epoch}, "the head is lost and there are too few substitutes")
			return
		}
	}
}

// mayRejoin reports whether a server may still carry out an unanswered order to join the formation.
func (round *round) mayRejoin(instance *shedkeel.Instance, formation shedkeel.Assignment) bool {
	return slices.ContainsFunc(round.planner.pendingJoins[instance.ID.Server()], func(join pendingJoin) bool { return join.assignment == formation })
}

// hasStalled reports whether the head of a formation has lacked a member for so long that it has
// failed, if it runs at all.
func (round *round) hasStalled(formation shedkeel.Assignment) bool {
	at, left := round.planner.memberLeftAt[formation]
	return left && round.input.Now-at >= round.planner.stallBound()
}

// stallBound is the longest time from a member's leave until the head has failed, as far as the list
// or an answer shows the leave.
func (planner *Planner) stallBound() time.Duration { return planner.StallTime + listDelay }

// recordMemberLeft records that a member has left the formation. It reserves the member until the head
// has failed: its group may serve until then.
func (planner *Planner) recordMemberLeft(formation shedkeel.Assignment, member shedkeel.InstanceID) {
	if _, known := planner.memberLeftAt[formation]; !known {
		planner.memberLeftAt[formation] = planner.lastPlanTime()
	}
	planner.reservedUntil[member] = planner.lastPlanTime() + planner.stallBound()
}

// hasRejoined reports whether a member that left a formation is listed in it again, later than the
// list may lag behind.
func (planner *Planner) hasRejoined(instance *shedkeel.Instance, now time.Duration) bool {
	at, left := planner.memberLeftAt[instance.Member.Assignment()]
	_, leaver := planner.reservedUntil[instance.ID]
	return left && leaver && now-at > listDelay && now-at < planner.stallBound()
}

// observeLeavers records the members that were ordered to leave by an order whose answer was lost, or by
// a previous planner. A previous planner's order is known from the list only: a server in no group may
// have left a group with a lost head in its domain just before this planner took over.
func (round *round) observeLeavers() {
	planner := round.planner
	if planner.StallTime <= 0 {
		return
	}
	for _, group := range round.groups {
		if group.model == nil || group.members == nil || round.usable(group.head()) || round.headHasEnded(group.assignment()) {
			continue
		}
		for rank, member := range group.members {
			last := round.byID[planner.lastMembers[group.assignment()][rank]]
			if rank > 0 && member == nil && last != nil && last.Member == nil {
				if _, known := planner.memberLeftAt[group.assignment()]; !known {
					planner.recordMemberLeft(group.assignment(), last.ID)
					round.reserved[last.ID] = true
				}
			}
		}
		if round.input.Now-planner.startedAt < planner.stallBound() {
			round.reserveFormerMembers(group)
		}
	}
}

// reserveFormerMembers reserves the servers of a group's domain that are in no group.
func (round *round) reserveFormerMembers(group *observedGroup) {
	for _, instance := range round.byDomain[group.domain] {
		if instance.Member == nil {
			round.reserved[instance.ID] = true
		}
	}
}
