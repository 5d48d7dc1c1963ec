package group

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// reservePause is for how long a silent reserve is kept.
const reservePause = time.Minute

// reserve sees to it that each group has a free box of its domain agreed ahead,
// as far as there are any, for the time when nothing can be agreed. Engines
// that check no fence get none: nothing would keep them from a former planner.
func (round *round) reserve() {
	reserved := map[shedkeel.BoxID]bool{}
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Reserve != nil && !round.stillFree(group) {
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
		if group.Reserve != nil || group.Draining || service == nil || service.Unfenced {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(round.free[group.Domain]), func(view shedkeel.BoxView) bool { return reserved[view.Box.ID] })
		if len(candidates) == 0 {
			continue
		}
		sortWarmFirst(candidates, group.Service)
		group.Reserve = &shedkeel.Reserve{Member: memberOf(candidates[0]), Epoch: round.epoch()}
		reserved[candidates[0].Box.ID] = true
		round.changed = true
	}
}

// stillFree reports whether the group's reserve is still what was agreed: in no
// group, staying, under the same boot. A pause does not end it.
func (round *round) stillFree(group *shedkeel.Group) bool {
	box := group.Reserve.Member.Box
	view, listed := round.input.Boxes[box]
	if !listed || round.taken[box] || round.leaving(view) {
		return false
	}
	if round.planner.answers(view, round.input.Now) {
		return view.State.Boot == group.Reserve.Member.Boot
	}
	return round.dark[group.Domain] || round.input.Now-round.planner.silent[box] < reservePause
}

// Fallback decides, while nothing can be agreed, which groups use their
// reserve, and for which lost member. It follows the rules of Plan, but a group
// is mended only once and only if its reserve has the weights.
func (planner *Planner) Fallback(input shedkeel.PlanInput) map[shedkeel.GroupID]shedkeel.BoxID {
	planner.watchSilence(input)
	round := newRound(planner, input)
	lost := map[shedkeel.GroupID]shedkeel.BoxID{}
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Reserve == nil || group.Draining || round.dark[group.Domain] || !round.reserveReady(group) {
			continue
		}
		if bad := round.lostInOutage(group); len(bad) == 1 {
			lost[group.ID] = bad[0]
		}
	}
	return lost
}

func (round *round) reserveReady(group *shedkeel.Group) bool {
	view := round.input.Boxes[group.Reserve.Member.Box]
	return round.usable(view) && view.State.Boot == group.Reserve.Member.Boot && warm(view, group.Service)
}

func (round *round) lostInOutage(group *shedkeel.Group) []shedkeel.BoxID {
	var bad []shedkeel.BoxID
	for _, member := range group.Members {
		silent := round.input.Now - round.planner.silent[member.Box]
		switch round.condition(member) {
		case conditionLost:
			bad = append(bad, member.Box)
		case conditionSilent:
			if silent >= round.input.Table.WarmPatience {
				bad = append(bad, member.Box)
			}
		case conditionFine, conditionLeaving:
		}
	}
	return bad
}
