package group

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// reserveSilenceLimit is how long a reserve may be silent before its group gets
// another one.
const reserveSilenceLimit = time.Minute

// assignReserves gives each group a reserve if its domain has a free box. The placement names the
// reserve in advance, so that it can replace a lost member while the key-value service is not
// available and no placement can be committed. Draining groups, groups that span domains and groups
// of unfenced services get none.
func (round *round) assignReserves() {
	reserved := map[shedkeel.BoxID]bool{}
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Reserve != nil && !round.reserveAvailable(group) {
			group.Reserve = nil
			round.changed = true
		}
		if group.Reserve != nil {
			reserved[group.Reserve.Member.Box] = true
		}
	}
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		service := round.input.Config.Service(group.Service)
		// The engines of unfenced services do not check the epoch of orders and would carry out
		// those of a planner that another one has replaced.
		if group.Reserve != nil || group.Draining || service == nil || service.Unfenced {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(round.free[group.Domain]), func(view shedkeel.BoxView) bool { return reserved[view.Box.ID] })
		if len(candidates) == 0 {
			continue
		}
		sortWarmFirst(candidates, group.Service)
		group.Reserve = &shedkeel.Reserve{Member: memberFromView(candidates[0]), Epoch: round.nextEpoch()}
		reserved[candidates[0].Box.ID] = true
		round.changed = true
	}
}

// reserveAvailable reports whether the group keeps its reserve: the box is listed, in
// no group and not leaving, and, if it responds, it has not restarted since it became
// the reserve. A silent reserve is kept for reserveSilenceLimit, or longer while
// findSilentDomains marks the group's domain.
func (round *round) reserveAvailable(group *shedkeel.Group) bool {
	box := group.Reserve.Member.Box
	view, listed := round.input.Boxes[box]
	if !listed || round.assigned[box] || round.leaving(view) {
		return false
	}
	if round.planner.isResponding(view, round.input.Now) {
		return view.State.Boot == group.Reserve.Member.Boot
	}
	return round.silentDomains[group.Domain] || round.input.Now-round.planner.silentSince[box] < reserveSilenceLimit
}

// Fallback decides, while the key-value service is not available, which groups use their reserve,
// and returns the member that each reserve replaces. A group qualifies if it is not draining or in
// a silent domain (findSilentDomains), has lost exactly one member (lostMembers) and its reserve is
// ready (reserveReady). Having one reserve, a group is repaired at most once.
func (planner *Planner) Fallback(input shedkeel.PlanInput) map[shedkeel.GroupID]shedkeel.BoxID {
	planner.trackSilence(input)
	round := newRound(planner, input)
	lost := map[shedkeel.GroupID]shedkeel.BoxID{}
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Reserve == nil || group.Draining || round.silentDomains[group.Domain] || !round.reserveReady(group) {
			continue
		}
		if missing := round.lostMembers(group); len(missing) == 1 {
			lost[group.ID] = missing[0]
		}
	}
	return lost
}

// reserveReady reports whether the group's reserve can join at once: it is usable, has not
// restarted since it became the reserve and has the weights loaded.
func (round *round) reserveReady(group *shedkeel.Group) bool {
	view := round.input.Boxes[group.Reserve.Member.Box]
	return round.usable(view) && view.State.Boot == group.Reserve.Member.Boot && hasWeights(view, group.Service)
}

// lostMembers returns the boxes of the members that have lost their state, are no
// longer listed or have been silent for at least WarmReplaceAfter.
func (round *round) lostMembers(group *shedkeel.Group) []shedkeel.BoxID {
	var missing []shedkeel.BoxID
	for _, member := range group.Members {
		silent := round.input.Now - round.planner.silentSince[member.Box]
		switch round.condition(member) {
		case conditionLost:
			missing = append(missing, member.Box)
		case conditionSilent:
			if silent >= round.input.Parameters.WarmReplaceAfter {
				missing = append(missing, member.Box)
			}
		case conditionHealthy, conditionLeaving:
		}
	}
	return missing
}
