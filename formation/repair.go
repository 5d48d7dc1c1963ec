package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// continueForming reserves the members of formations in progress and orders them to join, the head
// first. It abandons formations that are complete or can't complete any more. An order without an
// answer is sent again after orderRetryInterval.
func (round *round) continueForming() {
	for id, forming := range round.planner.forming {
		if !round.stillForming(id, forming) {
			round.planner.abandonForming(id)
			continue
		}
		for _, member := range forming.members {
			round.reserved[member] = true
			round.inForming[member] = true
		}
		if model := round.input.Engine.Model(forming.model); model != nil {
			round.recordWait(Wait{Group: id, Domain: DomainOf(id), Reason: WaitJoin, Bound: joinTimeout(model)})
		}
		for rank, member := range forming.members {
			if rank > 0 && !forming.headConfirmed {
				break
			}
			instance := round.byID[member]
			// A confirmed order is sent again after listDelay, which is twice orderRetryInterval,
			// unless the list shows by then that the member has joined.
			if hasJoined(instance, id, forming.epoch) || forming.confirmed[member] && round.input.Now-round.planner.sentAt[orderKey{shedkeel.OrderJoin, member, forming.epoch}] < 2*orderRetryInterval {
				continue
			}
			round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: member, Group: id, Epoch: forming.epoch, Model: forming.model, Members: forming.members}, "forming")
		}
	}
}

// stillForming reports whether a formation is still in progress: some member has not joined
// or is still joining, and all members are usable and in no formation with a higher epoch. It
// sets headConfirmed if the head is listed in the formation.
func (round *round) stillForming(id shedkeel.GroupID, forming *formingGroup) bool {
	allReady := true
	for _, member := range forming.members {
		instance := round.byID[member]
		if !round.usable(instance) {
			return false
		}
		if hasJoined(instance, id, forming.epoch) {
			if instance.Member.Rank == 0 {
				forming.headConfirmed = true
			}
			allReady = allReady && instance.Member.State != shedkeel.MemberJoining
			continue
		}
		allReady = false
		if instance.Member != nil && instance.Member.Epoch > forming.epoch {
			return false // another planner has ordered a later formation
		}
	}
	return !allReady
}

// hasJoined reports whether the instance is listed in the given formation, in any state.
func hasJoined(instance *shedkeel.Instance, id shedkeel.GroupID, epoch uint64) bool {
	return instance != nil && instance.Member != nil && instance.Member.Group == id && instance.Member.Epoch == epoch
}

// reconcileGroups reconciles each observed group that is not forming, has members of valid
// ranks, and whose model the engine has. Before that it reserves the servers that may be
// members of a formation without being listed in it; afterwards it dismisses former heads.
func (round *round) reconcileGroups() {
	for id := range round.planner.reservedUntil {
		round.reserved[id] = true
	}
	round.reserveRestarted()
	round.observeLeavers()
	for _, group := range round.groups {
		if _, forming := round.planner.forming[group.id]; forming || group.model == nil || group.members == nil {
			continue
		}
		round.reconcile(group)
	}
	round.dismissFormerHeads()
}

// reserveRestarted reserves a restarted server while a join order to an earlier instance may be
// carried out and the head of that formation may serve. Engines check only the server name and
// forget their highest epoch on a restart, so the new instance may be in that group before it is
// listed there.
func (round *round) reserveRestarted() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		for _, join := range round.planner.pendingJoins[instance.ID.Server()] {
			if join.to != instance.ID && round.formerHeadMayServe(join.assignment) {
				round.reserved[instance.ID] = true
			}
		}
	}
}

// replaceSlow forms an open group again without its slow members, because the slowest member sets
// the speed of its group. It does nothing if there are not enough substitutes for all slow
// members. If the head is slow, it only orders the head to leave; once the head has left, the
// group is repaired.
func (round *round) replaceSlow(group *observedGroup) {
	fast := slices.DeleteFunc(slices.Clone(group.members), func(member *shedkeel.Instance) bool {
		_, slow := round.input.Slow[member.ID]
		return slow
	})
	_, slowHead := round.input.Slow[group.head().ID]
	missing := len(group.members) - len(fast)
	substitutes := round.substitutes(group.domain, group.model, missing)
	switch {
	case missing == 0 || len(substitutes) < missing:
		return // a slow group is better than none
	case slowHead:
		round.orderHead(group, shedkeel.OrderLeave, "it is slow, and its group is formed anew without it")
	default:
		round.beginForming(group.id, group.model, append(fast, substitutes...))
	}
}

// reconcile decides whether to leave a group unchanged, open it, close it, wait for it or repair
// it. Members that reconcile does not reserve are free for other groups unless the head may serve
// (inActiveGroup).
func (round *round) reconcile(group *observedGroup) {
	assignment := group.assignment()
	intact := round.isIntact(group)
	draining := slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool { return member != nil && member.Draining })
	if intact {
		delete(round.planner.memberUnlistedSince, assignment)
	}
	state := group.headState()
	if round.usable(group.head()) {
		delete(round.planner.headUnusableSince, assignment)
	} else {
		round.recordHeadMissing(assignment)
	}
	switch {
	case round.planner.released[assignment]:
		// Its members are free.
	case intact && !draining && round.isBeingReleased(group):
		round.reserveMembers(group) // until the head has left
	case intact && !draining && state == shedkeel.MemberOpen:
		round.reserveMembers(group)
		round.replaceSlow(group)
	case intact && draining && state == shedkeel.MemberOpen:
		round.reserveMembers(group)
		if round.canRepair(group) {
			round.orderHead(group, shedkeel.OrderClose, "a member drains")
		}
	case intact && state == shedkeel.MemberClosing:
		round.reserveMembers(group)
		round.recordGroupWait(group, WaitDrained, drainTimeout)
	case intact && !draining && state == shedkeel.MemberReady && allReady(group) && round.mayLoseMember(group):
		round.reserveMembers(group)
		round.beginForming(group.id, group.model, group.members) // engines refuse the earlier orders then
	case intact && !draining && state == shedkeel.MemberReady && allReady(group):
		round.reserveMembers(group)
		round.orderHead(group, shedkeel.OrderOpen, "all members are ready")
	case intact && !draining && anyJoining(group):
		round.reserveMembers(group)
		round.recordGroupWait(group, WaitJoin, joinTimeout(group.model))
	case round.hasProbePending(group):
		round.reserveMembers(group) // until it is known which members are lost
		round.recordGroupWait(group, WaitProbe, probeTimeout)
	case round.toleratesUnlisted(group, intact):
		round.reserveMembers(group)
		round.recordGroupWait(group, WaitUnlisted, unlistedGrace+drainTimeout)
	default:
		round.repair(group)
	}
}

// isIntact reports whether all members of a group are listed and not dead.
func (round *round) isIntact(group *observedGroup) bool {
	return !slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool { return member == nil || round.input.Dead[member.ID] })
}

// hasProbePending reports whether a liveness probe of a member is pending. Servers that share a
// fault are lost together, but their probes time out one after the other: a group formed again at
// the first result can include other lost servers, and waits 0.3 to 3 s for them.
func (round *round) hasProbePending(group *observedGroup) bool {
	return slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member != nil && round.isBeingProbed(member)
	})
}

// toleratesUnlisted reports whether a group that works is left unrepaired for now although a member
// is not listed. After unlistedGrace, if there are substitutes, it orders the head to close, so that
// the group finishes its requests before the repair.
func (round *round) toleratesUnlisted(group *observedGroup, intact bool) bool {
	assignment := group.assignment()
	if intact || round.input.Stalled[assignment] || !round.usable(group.head()) || group.headState() != shedkeel.MemberOpen {
		return false
	}
	for rank, member := range group.members {
		if member != nil && !round.usable(member) || member == nil && round.restarted(round.planner.lastMembers[assignment][rank]) {
			return false
		}
	}
	since, known := round.planner.memberUnlistedSince[assignment]
	if !known {
		since = round.input.Now
		round.planner.memberUnlistedSince[assignment] = since
	}
	if round.input.Now-since < unlistedGrace {
		return true
	}
	round.reserve(round.survivors(group))
	if round.canRepair(group) {
		round.orderHead(group, shedkeel.OrderClose, "a member is no longer listed")
	}
	return true
}

// allReady reports whether all members are ready. All must be listed.
func allReady(group *observedGroup) bool {
	return !slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member.Member.State != shedkeel.MemberReady
	})
}

// mayLoseMember reports whether a member may carry out an order to join another formation, which the head would
// not notice while it serves.
func (round *round) mayLoseMember(group *observedGroup) bool {
	return slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return round.planner.mayJoinLater(member.ID.Server(), group.epoch, round.input.Now)
	})
}

// anyJoining reports whether any member is joining. All must be listed.
func anyJoining(group *observedGroup) bool {
	return slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member.Member.State == shedkeel.MemberJoining
	})
}

// reserveMembers reserves the listed members of a group in this round.
func (round *round) reserveMembers(group *observedGroup) {
	for _, member := range group.members {
		if member != nil {
			round.reserved[member.ID] = true
		}
	}
}

// orderHead adds an order to the head of a group.
func (round *round) orderHead(group *observedGroup, kind shedkeel.GroupOrderKind, reason string) {
	round.addOrder(shedkeel.GroupOrder{Kind: kind, To: group.head().ID, Group: group.id, Epoch: group.epoch}, reason)
}

// survivors returns the usable members in order of rank, except those in a formation in progress.
// The list lags and may still show such a member here: if this group were formed again with it, the
// member could carry out the newer order late and so leave the other formation while that one
// serves.
func (round *round) survivors(group *observedGroup) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	for _, member := range group.members {
		// inForming includes formations begun in this round: when a head has restarted, its members
		// are free and may already be substitutes in another group.
		if round.usable(member) && !round.inForming[member.ID] {
			found = append(found, member)
		}
	}
	return found
}

// canRepair reports whether there are substitutes for all members of a group that are not
// survivors.
func (round *round) canRepair(group *observedGroup) bool {
	missing := group.model.Size - len(round.survivors(group))
	return len(round.substitutes(group.domain, group.model, missing)) == missing
}

// reserve reserves servers in this round.
func (round *round) reserve(members []*shedkeel.Instance) {
	for _, member := range members {
		round.reserved[member.ID] = true
	}
}

// repair forms the group again from its survivors and substitutes, under the same name and a new
// epoch. Without enough substitutes, it frees the members once the head can't be serving
// (headMayServe); until then it waits, or orders a usable head to leave.
func (round *round) repair(group *observedGroup) {
	members := round.survivors(group)
	round.reserve(members) // so that they are not chosen as substitutes
	substitutes := round.substitutes(group.domain, group.model, group.model.Size-len(members))
	if complete := append(members, substitutes...); len(complete) == group.model.Size { //nolint:gocritic // survivors returns a new slice
		round.beginForming(group.id, group.model, complete)
		return
	}
	for _, member := range members {
		delete(round.reserved, member.ID)
	}
	switch {
	case !round.headMayServe(group):
		// Its members are free.
	case round.awaitsProbeResults(group.domain):
		round.reserveMembers(group) // a probed server may be a substitute
		round.recordGroupWait(group, WaitProbe, probeTimeout)
	case round.usable(group.head()):
		round.reserveMembers(group)
		round.orderHead(group, shedkeel.OrderLeave, "a member is lost and there is no substitute")
	default:
		round.reserveMembers(group)
		round.dissolve(group)
		round.recordGroupWait(group, WaitHeadUnreachable, headTimeout)
	}
}

// headMayServe reports whether the head of a group may be serving: not if headHasEnded. A usable
// head may serve in every listed state but broken, because an order to open, even of a previous
// planner, may be in transit. An unusable head may serve until hasStalled or headTimeout has passed.
func (round *round) headMayServe(group *observedGroup) bool {
	if round.headHasEnded(group.assignment()) {
		return false
	}
	if round.usable(group.head()) {
		// An open head counts even if its requests are stalled.
		return group.headState() != shedkeel.MemberBroken
	}
	return !round.hasStalled(group.assignment()) && round.input.Now-round.recordHeadMissing(group.assignment()) < headTimeout
}

// headHasEnded reports whether the head of a formation has left it or its server has
// restarted. The engine then has no state of the formation.
func (round *round) headHasEnded(assignment shedkeel.Assignment) bool {
	return round.hasLeft(assignment) || round.restarted(round.planner.lastMembers[assignment][0])
}

// hasLeft reports whether the head of a formation has confirmed that it left and is not
// listed in the formation again more than listDelay later. A head that left can join again,
// by carrying out an earlier join order late.
func (round *round) hasLeft(assignment shedkeel.Assignment) bool {
	_, left := round.planner.leftAt[assignment]
	return left
}

// formerHeadMayServe is headMayServe for a formation that a later one of the same group
// has replaced. If the former head was considered lost, it is not a member of the later
// formation and may still serve. A head that is listed in another formation or in none does
// not serve.
func (round *round) formerHeadMayServe(former shedkeel.Assignment) bool {
	if round.headHasEnded(former) {
		return false
	}
	head := round.byID[round.planner.lastMembers[former][0]]
	switch {
	case head != nil && (head.Member == nil || head.Member.Assignment() != former):
		return false // the head is in another formation, or in none
	case round.usable(head):
		return head.Member.State != shedkeel.MemberBroken
	}
	return round.input.Now-round.recordHeadMissing(former) < headTimeout
}

// dismissFormerHeads orders heads to leave formations that were replaced without them, if
// they are usable and may still serve.
func (round *round) dismissFormerHeads() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		member := instance.Member
		if member == nil || member.Rank != 0 || member.Epoch == round.groupsByName[member.Group].epoch || round.reserved[instance.ID] || !round.usable(instance) {
			continue
		}
		if round.formerHeadMayServe(member.Assignment()) {
			round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderLeave, To: instance.ID, Group: member.Group, Epoch: member.Epoch}, "its group was formed anew without it")
		}
	}
}

// recordHeadMissing returns the time since which a formation's head is not usable. If no time
// is stored, it stores the current time and returns that.
func (round *round) recordHeadMissing(assignment shedkeel.Assignment) time.Duration {
	since, known := round.planner.headUnusableSince[assignment]
	if !known {
		since = round.input.Now
		round.planner.headUnusableSince[assignment] = since
	}
	return since
}

// beginForming starts a formation with a new epoch and orders its head, the first of the
// members, to join. It reserves the members. Each member that has to load the weights from
// the weight store counts as a load within loadWindow (mayLoad).
func (round *round) beginForming(id shedkeel.GroupID, model *shedkeel.Model, members []*shedkeel.Instance) {
	forming := &formingGroup{epoch: round.planner.newEpoch(), model: model.ID, began: round.input.Now, confirmed: map[shedkeel.InstanceID]bool{}}
	for _, member := range members {
		forming.members = append(forming.members, member.ID)
		round.reserved[member.ID] = true
		round.inForming[member.ID] = true
		if !member.HasStaged(model.ID) && !slices.Contains(member.Models, model.ID) {
			round.planner.loadStarts = append(round.planner.loadStarts, round.input.Now)
		}
	}
	round.planner.forming[id] = forming
	round.addOrder(shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: forming.members[0], Group: id, Epoch: forming.epoch, Model: model.ID, Members: forming.members}, "forming")
}
