package group

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// drainState records since when a group has received no new requests, because it
// is draining or has a leaving member, and since when it has been idle.
type drainState struct {
	since     time.Duration // when the planner first found the group draining or with a leaving member
	idleSince time.Duration // start of the current idle period; negative while the group runs requests
}

// retire starts draining the groups that the configuration no longer asks for: the
// service was removed, its groups have a different number of members, or the
// groups before this one in the placement are enough for the zone. It removes
// groups that have finished draining. A draining group is never taken back into use.
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

// trackDraining updates the drainState of each group that receives no new requests,
// and removes the drainState of all other groups.
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

// hasLeavingMember reports whether a member of the group responds but is about to leave.
func (round *round) hasLeavingMember(group shedkeel.Group) bool {
	return slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) == conditionLeaving })
}

// isDrained reports whether a group that receives no new requests can be taken to
// have none in flight: either it has been idle for DrainIdle, or DrainIdle plus
// the service's request timeout has passed since the planner found that it
// receives no new requests.
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

// isIdle reports whether the group has no running or queued requests, as reported
// by its members. Lost and silent members are ignored.
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
