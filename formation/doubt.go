package formation

import (
	"time"

	"shedkeel.org/shedkeel"
)

// doubtInterval is the time between two probes of the members of a formation that takes too long.
const doubtInterval = time.Second

// Doubtful returns the formations in progress that have taken longer than members without a load
// take, each once per doubtInterval. No caller notices a member that is lost while it joins, so its
// members are to be probed. It does not return formations with a member that loads weights.
func (planner *Planner) Doubtful() []shedkeel.Assignment {
	if planner.lastRound == nil {
		return nil
	}
	now, engine := planner.lastRound.input.Now, planner.lastRound.input.Engine
	var found []shedkeel.Assignment
	for id, forming := range planner.forming {
		model := engine.Model(forming.model)
		if model == nil || planner.lastRound.loadsToJoin(forming) || now-forming.began < model.Warmup+engine.FormTime+listDelay {
			continue
		}
		if forming.doubtedAt == 0 || now-forming.doubtedAt >= doubtInterval {
			forming.doubtedAt = now
			found = append(found, shedkeel.Assignment{Group: id, Epoch: forming.epoch})
		}
	}
	return found
}

// loadsToJoin reports whether a member of a formation in progress may have to load the weights.
func (round *round) loadsToJoin(forming *formingGroup) bool {
	for _, member := range forming.members {
		if instance := round.byID[member]; instance != nil && joinCost(instance, forming.model) == costLoad {
			return true
		}
	}
	return false
}
