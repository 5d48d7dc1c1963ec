package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// continueForming drives formations that were ordered: joins, head first.
func (round *round) continueForming() {
	for id, forming := range round.planner.forming {
		if !round.stillForming(id, forming) {
			round.planner.giveUp(id)
			continue
		}
		for _, member := range forming.members {
			round.used[member] = true
			round.promised[member] = true
		}
		if model := round.input.Engine.Model(forming.model); model != nil {
			round.wait(Wait{Group: id, Domain: DomainOf(id), Reason: WaitJoin, Bound: joinTime(model)})
		}
		for place, member := range forming.members {
			if place > 0 && !forming.headDone {
				break
			}
			instance := round.byID[member]
			if joined(instance, id, forming.epoch) || forming.done[member] && round.input.Now-round.planner.sent[orderKey{shedkeel.OrderJoin, member, forming.epoch}] < 2*orderRepeat {
				continue
			}
			round.give(shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: member, Group: id, Epoch: forming.epoch, Model: forming.model, Members: forming.members}, "forming")
		}
	}
}

// stillForming reports whether a formation can still come about.
func (round *round) stillForming(id shedkeel.GroupID, forming *formingGroup) bool {
	allReady := true
	for _, member := range forming.members {
		instance := round.byID[member]
		if !round.usable(instance) {
			return false
		}
		if joined(instance, id, forming.epoch) {
			if instance.Member.Rank == 0 {
				forming.headDone = true
			}
			allReady = allReady && instance.Member.State != shedkeel.MemberJoining
			continue
		}
		allReady = false
		if instance.Member != nil && instance.Member.Epoch > forming.epoch {
			return false // another planner was later
		}
	}
	return !allReady
}

func joined(instance *shedkeel.Instance, id shedkeel.GroupID, epoch uint64) bool {
	return instance != nil && instance.Member != nil && instance.Member.Group == id && instance.Member.Epoch == epoch
}

// mendGroups opens groups that are ready and repairs or gives up those that
// lost a member.
func (round *round) mendGroups() {
	for id := range round.planner.reserved {
		round.used[id] = true
	}
	round.reserveStartedAgain()
	for _, group := range round.groups {
		if _, forming := round.planner.forming[group.id]; forming || group.model == nil || group.members == nil {
			continue
		}
		round.mend(group)
	}
	round.dismissFormerHeads()
}

// reserveStartedAgain keeps servers from use that have started again while an order to
// a former start of them may still be carried out: engines know themselves by name and
// have forgotten higher epochs, so the server may be a member of a group that serves
// before the list tells.
func (round *round) reserveStartedAgain() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		for _, join := range round.planner.pending[instance.ID.Server()] {
			if join.to != instance.ID && round.formerHeadMayServe(join.assignment) {
				round.used[instance.ID] = true
			}
		}
	}
}

// replaceSlow forms an open group anew without its slow members, if there are
// substitutes: all of it works at the pace of the slowest.
func (round *round) replaceSlow(group *observed) {
	sound := slices.DeleteFunc(slices.Clone(group.members), func(member *shedkeel.Instance) bool {
		_, slow := round.input.Slow[member.ID]
		return slow
	})
	_, slowHead := round.input.Slow[group.head().ID]
	missing := len(group.members) - len(sound)
	substitutes := round.substitutes(group.domain, group.model, missing)
	switch {
	case missing == 0 || len(substitutes) < missing:
		return // better slow than not at all
	case slowHead:
		round.giveHead(group, shedkeel.OrderLeave, "it is slow, and its group is formed anew without it")
	default:
		round.form(group.id, group.model, append(sound, substitutes...))
	}
}

func (round *round) mend(group *observed) {
	assignment := group.assignment()
	intact, draining := true, false
	for _, member := range group.members {
		intact = intact && member != nil && !round.input.Dead[member.ID]
		draining = draining || member != nil && member.Draining
	}
	if intact {
		delete(round.planner.absent, assignment)
	}
	state := group.headState()
	if round.usable(group.head()) {
		delete(round.planner.headless, assignment)
	} else {
		round.headlessSince(assignment)
	}
	switch {
	case round.planner.givenUp[assignment]:
		// Its members are free.
	case intact && !draining && round.yields(group):
		round.hold(group) // until it has left
	case intact && !draining && state == shedkeel.MemberOpen:
		round.hold(group)
		round.replaceSlow(group)
	case intact && draining && state == shedkeel.MemberOpen:
		round.hold(group)
		if round.canMend(group) {
			round.giveHead(group, shedkeel.OrderClose, "a member drains")
		}
	case intact && state == shedkeel.MemberClosing:
		round.hold(group)
		round.waitFor(group, WaitDrained, drainTime)
	case intact && !draining && state == shedkeel.MemberReady && allReady(group):
		round.hold(group)
		round.giveHead(group, shedkeel.OrderOpen, "all members are ready")
	case intact && !draining && someJoining(group):
		round.hold(group)
		round.waitFor(group, WaitJoin, joinTime(group.model))
	case round.isProbed(group):
		round.hold(group) // until it is known who of them is lost
		round.waitFor(group, WaitProbe, probeTime)
	case round.worksOn(group, intact):
		round.hold(group)
		round.waitFor(group, WaitListed, absentTime+drainTime)
	default:
		round.repair(group)
	}
}

// isProbed reports whether it is being found out which members are lost.
//
// Servers that share a fault are lost at one moment, and the answers to their
// probes run out one after the other: a group that was formed anew by the first of
// them had others of the lost among its members, and waited 0.3 to 3 s for them.
func (round *round) isProbed(group *observed) bool {
	return slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member != nil && round.isBeingProbed(member)
	})
}

// worksOn reports whether an open group is to be left alone for now though
// members are no longer listed.
func (round *round) worksOn(group *observed, intact bool) bool {
	assignment := group.assignment()
	if intact || round.input.Stalled[assignment] || !round.usable(group.head()) || group.headState() != shedkeel.MemberOpen {
		return false
	}
	for rank, member := range group.members {
		if member != nil && !round.usable(member) || member == nil && round.startedAgain(round.planner.placed[assignment][rank]) {
			return false
		}
	}
	since, noted := round.planner.absent[assignment]
	if !noted {
		since = round.input.Now
		round.planner.absent[assignment] = since
	}
	if round.input.Now-since < absentTime {
		return true
	}
	round.keep(round.survivors(group))
	if round.canMend(group) {
		round.giveHead(group, shedkeel.OrderClose, "a member is no longer listed")
	}
	return true
}

func allReady(group *observed) bool {
	return !slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member.Member.State != shedkeel.MemberReady
	})
}

func someJoining(group *observed) bool {
	return slices.ContainsFunc(group.members, func(member *shedkeel.Instance) bool {
		return member.Member.State == shedkeel.MemberJoining
	})
}

// hold keeps the members of a group from being used elsewhere.
func (round *round) hold(group *observed) {
	for _, member := range group.members {
		if member != nil {
			round.used[member.ID] = true
		}
	}
}

func (round *round) giveHead(group *observed, kind shedkeel.GroupOrderKind, reason string) {
	round.give(shedkeel.GroupOrder{Kind: kind, To: group.head().ID, Group: group.id, Epoch: group.epoch}, reason)
}

// survivors returns the usable members, the head first if it is one of them, but
// for those that another formation has got, by this planning too: a member whose
// head had started again was free, became a substitute of one group, and was
// ordered into its own, formed anew, in the same moment.
//
// A list that lags still tells of members that have been ordered into another
// formation: taken for free, they were ordered into a third one, and an order of
// it that was carried out late took a server out of the second while it served.
func (round *round) survivors(group *observed) []*shedkeel.Instance {
	var found []*shedkeel.Instance
	for _, member := range group.members {
		if round.usable(member) && !round.promised[member.ID] {
			found = append(found, member)
		}
	}
	return found
}

func (round *round) canMend(group *observed) bool {
	missing := group.model.Size - len(round.survivors(group))
	return len(round.substitutes(group.domain, group.model, missing)) == missing
}

// keep marks servers as taken.
func (round *round) keep(members []*shedkeel.Instance) {
	for _, member := range members {
		round.used[member.ID] = true
	}
}

// repair forms the group anew with substitutes, under its own name and a new
// epoch, or gives it up when there are none.
func (round *round) repair(group *observed) {
	members := round.survivors(group)
	round.keep(members) // they are no substitutes for themselves
	substitutes := round.substitutes(group.domain, group.model, group.model.Size-len(members))
	if whole := append(members, substitutes...); len(whole) == group.model.Size { //nolint:gocritic // a list of its own
		round.form(group.id, group.model, whole)
		return
	}
	for _, member := range members {
		delete(round.used, member.ID)
	}
	switch {
	case !round.headMayServe(group):
		// Its members are free.
	case round.awaitsProbes(group.domain):
		round.hold(group) // a substitute may be among them
		round.waitFor(group, WaitProbe, probeTime)
	case round.usable(group.head()):
		round.hold(group)
		round.giveHead(group, shedkeel.OrderLeave, "a member is lost and there is no substitute")
	default:
		round.hold(group)
		round.waitFor(group, WaitHead, goneTime)
	}
}

// headMayServe reports whether the head of a group may be serving, or stand
// still, as far as its engine is concerned. One that is listed as ready may be
// opening by an order that is still under way, of a former planner too.
func (round *round) headMayServe(group *observed) bool {
	if round.headIsGone(group.assignment()) {
		return false
	}
	if round.usable(group.head()) {
		return group.headState() != shedkeel.MemberBroken
	}
	return round.input.Now-round.headlessSince(group.assignment()) < goneTime
}

// headIsGone reports whether the head of a formation knows nothing of it any
// more: it has left, or its server has started again.
func (round *round) headIsGone(assignment shedkeel.Assignment) bool {
	return round.hasLeft(assignment) || round.startedAgain(round.planner.placed[assignment][0])
}

// hasLeft reports whether the head of a formation has confirmed that it left, and
// is not listed in it again: an order to join of before may be carried out after
// the head has left.
func (round *round) hasLeft(assignment shedkeel.Assignment) bool {
	_, left := round.planner.left[assignment]
	return left
}

// formerHeadMayServe reports the same of a formation that has been replaced by
// a later one of the same name. Its head may be outside of the later one, and
// serve still: it was taken for lost.
func (round *round) formerHeadMayServe(former shedkeel.Assignment) bool {
	if round.headIsGone(former) {
		return false
	}
	head := round.byID[round.planner.placed[former][0]]
	switch {
	case head != nil && (head.Member == nil || head.Member.Assignment() != former):
		return false // it has gone on to something else
	case round.usable(head):
		return head.Member.State != shedkeel.MemberBroken
	}
	return round.input.Now-round.headlessSince(former) < goneTime
}

// dismissFormerHeads has heads leave formations that were replaced without
// them.
func (round *round) dismissFormerHeads() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		member := instance.Member
		if member == nil || member.Rank != 0 || member.Epoch == round.byName[member.Group].epoch || round.used[instance.ID] || !round.usable(instance) {
			continue
		}
		if round.formerHeadMayServe(member.Assignment()) {
			round.give(shedkeel.GroupOrder{Kind: shedkeel.OrderLeave, To: instance.ID, Group: member.Group, Epoch: member.Epoch}, "its group was formed anew without it")
		}
	}
}

// headlessSince returns since when the formation's head is missing, and notes
// it.
func (round *round) headlessSince(assignment shedkeel.Assignment) time.Duration {
	since, noted := round.planner.headless[assignment]
	if !noted {
		since = round.input.Now
		round.planner.headless[assignment] = since
	}
	return since
}

// form begins a formation.
func (round *round) form(id shedkeel.GroupID, model *shedkeel.Model, members []*shedkeel.Instance) {
	forming := &formingGroup{epoch: round.planner.NextEpoch(), model: model.ID, done: map[shedkeel.InstanceID]bool{}}
	for _, member := range members {
		forming.members = append(forming.members, member.ID)
		round.used[member.ID] = true
		round.promised[member.ID] = true
		if !member.HasStaged(model.ID) && !slices.Contains(member.Models, model.ID) {
			round.planner.loads = append(round.planner.loads, round.input.Now)
		}
	}
	round.planner.forming[id] = forming
	round.give(shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: forming.members[0], Group: id, Epoch: forming.epoch, Model: model.ID, Members: forming.members}, "forming")
}
