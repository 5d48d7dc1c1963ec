package formation

import (
	"time"

	"shedkeel.org/shedkeel"
)

// standbyRetryInterval is the time after which a spare that has loaded no model is
// ordered to go on standby again, because the order or its answer was lost. It is
// longer than a warm-up.
const standbyRetryInterval = 5 * time.Second

// orderStandbys has free servers whose weights are only on their hosts join a
// formation of their own, which is never opened. A server that was in a formation
// of a model joins the next one of it in a fraction of the time. A server ends its
// standby by joining another formation.
func (round *round) orderStandbys() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if round.reserved[instance.ID] || !round.usable(instance) || round.inActiveGroup(instance) {
			continue
		}
		round.orderStandby(instance)
	}
}

// orderStandby orders a spare to go on standby for the model on its host, unless it
// is loading, has a model loaded already, or was ordered lately.
func (round *round) orderStandby(spare *shedkeel.Instance) {
	if _, loads := round.planner.loading[spare.ID]; loads || len(spare.Staged) == 0 || len(spare.Models) > 0 {
		return // a server with a loaded model is ready to substitute
	}
	model := spare.Staged[0]
	if round.input.Engine.Model(model) == nil {
		return
	}
	if at, ordered := round.planner.standbyOrderedAt[spare.ID]; ordered && round.input.Now-at < standbyRetryInterval {
		return
	}
	round.planner.standbyOrderedAt[spare.ID] = round.input.Now
	round.addOrder(shedkeel.GroupOrder{
		Kind: shedkeel.OrderJoin, To: spare.ID, Group: standbyName(model, spare.ID), Epoch: round.planner.NextEpoch(),
		Model: model, Members: []shedkeel.InstanceID{spare.ID},
	}, "a spare warms up ahead of need")
}
