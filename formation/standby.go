package formation

import (
	"time"

	"shedkeel.org/shedkeel"
)

// warmAgain is after how long a spare that is not warm yet is ordered again to
// become so; the order or its answer was lost. It is more than a warm-up takes.
const warmAgain = 5 * time.Second

// warmSpares has free servers that have weights on their hosts only join a
// formation of their own, which is never opened: a server that was in a
// formation of a model joins the next one of it in a fraction of the time. A
// server leaves its standby by joining another formation.
func (round *round) warmSpares() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if round.used[instance.ID] || !round.usable(instance) || round.inStandingGroup(instance) {
			continue
		}
		round.warm(instance)
	}
}

func (round *round) warm(spare *shedkeel.Instance) {
	if _, loads := round.planner.loading[spare.ID]; loads || len(spare.Staged) == 0 || len(spare.Models) > 0 {
		return // one that has a model loaded stands by for it
	}
	model := spare.Staged[0]
	if round.input.Engine.Model(model) == nil {
		return
	}
	if at, ordered := round.planner.warmed[spare.ID]; ordered && round.input.Now-at < warmAgain {
		return
	}
	round.planner.warmed[spare.ID] = round.input.Now
	round.give(shedkeel.GroupOrder{
		Kind: shedkeel.OrderJoin, To: spare.ID, Group: standbyName(model, spare.ID), Epoch: round.planner.NextEpoch(),
		Model: model, Members: []shedkeel.InstanceID{spare.ID},
	}, "a spare warms up ahead of need")
}
