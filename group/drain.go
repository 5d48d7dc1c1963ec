package group

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// drainState tracks a group that receives no new requests, because it is
// draining or has a leaving member.
type drainState struct {
	since     time.Duration // when the planner first found the group draining or with a leaving member
	idleSince time.Duration // start of the current idle period; negative while the group runs requests
}

// retire starts draining the groups that the configuration no longer asks for:
// their service is gone, has a different number of members or has enough
// groups in this zone. It removes groups that have finished draining.
func (round *round) retire() {
	kept := map[shedkeel.ServiceID]int{}
	var groups []shedkeel.Group
	for _, group := range round.next.Groups {
		service := round.input.Config.Service(group.Service)
		wanted := service != nil && kept[group.Service] < GroupsInZone(*service, round.input.Zone) && len(group.Members) == service.Members
		if wanted && !group.Draining {
			kept[group.Service]++
			groups = append(groups, group)
			continue
		}
		if group.Draining && round.isDrained(group) {
			round.changed = true
			round.recordDecision(group.ID, "", "drop", "it was draining and runs nothing any more")
			continue
		}
		if !group.Draining {
			group.Draining = true
			round.changed = true
			round.recordDecision(group.ID, "", "drain", "no service wants it any more")
		}
		groups = append(groups, group)
	}
	round.next.Groups = groups
	round.updateFreeBoxes()
}

// trackDraining records since when each group that receives no new requests has
// been in that state, and since when it has been idle.
func (round *round) trackDraining() {
	planner := round.planner
	if planner.draining == nil {
		planner.draining = map[shedkeel.GroupID]*drainState{}
	}
	seen := map[shedkeel.GroupID]bool{}
	for _, group := range round.next.Groups {
		if !group.Draining && !round.hasLeavingMember(group) {
			continue
		}
		seen[group.ID] = true
		state := planner.draining[group.ID]
		if state == nil {
			state = &drainState{since: round.input.Now, idleSince: -1}
			planner.draining[group.ID] = state
		}
		switch {
		case !round.isIdle(group):
			state.idleSince = -1
		case state.idleSince < 0:
			state.idleSince = round.input.Now
		}
	}
	maps.DeleteFunc(planner.draining, func(id shedkeel.GroupID, _ *drainState) bool { return !seen[id] })
}

// hasLeavingMember reports whether a member of the group is responding and
// about to leave.
func (round *round) hasLeavingMember(group shedkeel.Group) bool {
	return slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) == conditionLeaving })
}

// isDrained reports whether a group that receives no new requests can be taken to
// have none in flight: either it has been idle for DrainIdle, or DrainIdle plus
// the service's request timeout has passed since it stopped receiving requests.
func (round *round) isDrained(group shedkeel.Group) bool {
	state := round.planner.draining[group.ID]
	if state == nil {
		return false
	}
	drainIdle := round.planner.DrainIdle
	if drainIdle == 0 {
		drainIdle = DefaultDrainIdle
	}
	limit := drainIdle
	if service := round.input.Config.Service(group.Service); service != nil {
		limit += time.Duration(service.Timeout)
	}
	now := round.input.Now
	return state.idleSince >= 0 && now-state.idleSince >= drainIdle || now-state.since >= limit
}

// isIdle reports whether no member that is responding reports running or queued
// requests. Members that are lost or silent are ignored.
func (round *round) isIdle(group shedkeel.Group) bool {
	for _, member := range group.Members {
		if round.condition(member) == conditionLost || round.condition(member) == conditionSilent {
			continue
		}
		state := round.input.Boxes[member.Box].State
		if state.Running > 0 || state.Queued > 0 {
			return false
		}
	}
	return true
}
