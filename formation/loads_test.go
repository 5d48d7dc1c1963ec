package formation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// lostLoads are loads that were ordered from servers which are gone.
func lostLoads(count int) map[shedkeel.InstanceID]shedkeel.ModelID {
	found := map[shedkeel.InstanceID]shedkeel.ModelID{}
	for index := range count {
		found[shedkeel.InstanceID("gone"+string(rune('a'+index)))] = "large"
	}
	return found
}

// TestLoadsOfLostServersBlockNoOthers covers a planner that took over as many
// loads as may run at once, all of servers that were lost since: it waited for
// them for ever, and with eight empty servers in a domain no group stood.
func TestLoadsOfLostServersBlockNoOthers(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(7, 1, 8)
	planner := newPlanner(2)
	planner.Adopt(lostLoads(fleet.engine.LoadsAtOnce), fleet.engine, fleet.now)
	fleet.play(planner, settleTime+25*time.Second, true)
	serving := fleet.serving()
	assert.Assert(t, serving["large"]+serving["small"] >= 1, "%v", serving)
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

// TestLoadsOfLostServersAreForgotten has servers die while they load: what is
// remembered of them, and told to the next planner, must end.
func TestLoadsOfLostServersAreForgotten(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(7, 1, 8)
	planner := newPlanner(2)
	fleet.play(planner, settleTime+time.Second, true)
	ordered := slices.Collect(maps.Keys(planner.Loading()))
	assert.Assert(t, len(ordered) > 0)
	for _, id := range ordered {
		fleet.servers[id].diedAt = fleet.now
	}
	fleet.play(planner, 40*time.Second, true)
	for _, id := range ordered {
		_, known := planner.Loading()[id]
		assert.Assert(t, !known, "%s is still taken for loading", id)
	}
}
