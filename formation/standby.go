package formation

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// standbyRetryInterval is the time after which a spare that still has no model loaded is
// ordered to go on standby again: the order or its answer may have been lost. It is
// longer than a warm-up.
const standbyRetryInterval = 5 * time.Second

// orderStandbys orders each usable spare that has weights on its host, but no model loaded,
// to join a formation of its own, which is never opened (orderStandby). A server that has
// already joined a formation of a model joins another formation of the same model in a
// fraction of the time. A server ends its standby by joining another formation.
func (round *round) orderStandbys() {
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if round.reserved[instance.ID] || !round.usable(instance) || round.inActiveGroup(instance) {
			continue
		}
		round.orderStandby(instance)
	}
}

// orderStandby orders a spare that is not warm to go on standby for the model that it has loaded, or
// else for the first one on its host, unless the host is loading weights. For a server of a lost group,
// this shows to the next planner that it is free, and what it has loaded. The order is repeated after
// standbyRetryInterval.
func (round *round) orderStandby(spare *shedkeel.Instance) {
	if _, loads := round.planner.loading[spare.ID]; loads || round.isWarm(spare) || len(spare.Models)+len(spare.Staged) == 0 {
		return
	}
	model := slices.Concat(spare.Models, spare.Staged)[0]
	if round.input.Engine.Model(model) == nil {
		return
	}
	if at, ordered := round.planner.standbyOrderedAt[spare.ID]; ordered && round.input.Now-at < standbyRetryInterval {
		return
	}
	round.planner.standbyOrderedAt[spare.ID] = round.input.Now
	round.addOrder(shedkeel.GroupOrder{
		Kind: shedkeel.OrderJoin, To: spare.ID, Group: standbyName(model, spare.ID), Epoch: round.planner.newEpoch(),
		Model: model, Members: []shedkeel.InstanceID{spare.ID},
	}, "a spare warms up ahead of need")
}

// isWarm reports whether a spare is on standby, or is in no group and reports itself what it has
// loaded.
func (round *round) isWarm(spare *shedkeel.Instance) bool {
	if spare.Member == nil {
		return len(spare.Models) > 0 && round.planner.loadedModel[spare.ID] == ""
	}
	return isStandby(spare.Member.Group) && len(spare.Models) > 0
}
