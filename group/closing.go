package group

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// closing is what is known of a group that takes no new requests.
type closing struct {
	since time.Duration // it takes none
	idle  time.Duration // since then it reports that it runs none; negative: it does not
}

// retire drains the groups that no service wants and drops those that are done.
func (round *round) retire() {
	kept := map[shedkeel.ServiceID]int{}
	var groups []shedkeel.Group
	for _, group := range round.next.Groups {
		service := round.input.Config.Service(group.Service)
		wanted := service != nil && kept[group.Service] < Share(*service, round.input.Zone) && len(group.Members) == service.Members
		if wanted && !group.Draining {
			kept[group.Service]++
			groups = append(groups, group)
			continue
		}
		if group.Draining && round.closed(group) {
			round.changed = true
			round.decide(group.ID, "", "drop", "it was draining and runs nothing any more")
			continue
		}
		if !group.Draining {
			group.Draining = true
			round.changed = true
			round.decide(group.ID, "", "drain", "no service wants it any more")
		}
		groups = append(groups, group)
	}
	round.next.Groups = groups
	round.findFree()
}

// watchClosing notes since when groups take no new requests and run none.
func (round *round) watchClosing() {
	planner := round.planner
	if planner.closing == nil {
		planner.closing = map[shedkeel.GroupID]*closing{}
	}
	seen := map[shedkeel.GroupID]bool{}
	for _, group := range round.next.Groups {
		if !group.Draining && !round.hasLeaving(group) {
			continue
		}
		seen[group.ID] = true
		known := planner.closing[group.ID]
		if known == nil {
			known = &closing{since: round.input.Now, idle: -1}
			planner.closing[group.ID] = known
		}
		switch {
		case !round.idle(group):
			known.idle = -1
		case known.idle < 0:
			known.idle = round.input.Now
		}
	}
	maps.DeleteFunc(planner.closing, func(id shedkeel.GroupID, _ *closing) bool { return !seen[id] })
}

func (round *round) hasLeaving(group shedkeel.Group) bool {
	return slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) == conditionLeaving })
}

// closed reports whether a group that takes no new requests has none in
// flight: it has reported so for long enough, or no request lasts as long.
func (round *round) closed(group shedkeel.Group) bool {
	known := round.planner.closing[group.ID]
	if known == nil {
		return false
	}
	quiet := round.planner.Quiet
	if quiet == 0 {
		quiet = DefaultQuiet
	}
	longest := quiet
	if service := round.input.Config.Service(group.Service); service != nil {
		longest += time.Duration(service.Timeout)
	}
	now := round.input.Now
	return known.idle >= 0 && now-known.idle >= quiet || now-known.since >= longest
}

// idle reports whether the members that answer report that they run nothing.
func (round *round) idle(group shedkeel.Group) bool {
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
