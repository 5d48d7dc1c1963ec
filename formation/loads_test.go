package formation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// loadsOfLostServers returns loads of the large model on servers that are not listed.
func loadsOfLostServers(count int) map[shedkeel.InstanceID]shedkeel.ModelID {
	found := map[shedkeel.InstanceID]shedkeel.ModelID{}
	for index := range count {
		found[shedkeel.InstanceID("gone"+string(rune('a'+index)))] = "large"
	}
	return found
}

// TestLoadsOfLostServersBlockNoOthers checks that a planner forms a group from eight empty
// servers although it has adopted as many loads as may run at once, all on servers that are
// not listed. If such loads counted, the planner would order no load until they expire, 20 s
// later (AdoptLoads), and no group would serve in time.
func TestLoadsOfLostServersBlockNoOthers(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(7, 1, 8) // seed 7; one domain of eight servers
	planner := plannerOfTerm(2)
	planner.AdoptLoads(loadsOfLostServers(fleet.engine.LoadsAtOnce), fleet.engine, fleet.now)
	fleet.run(planner, settleTime+25*time.Second, underTraffic) // a load takes 12 or 16 s
	serving := fleet.serving()
	assert.Assert(t, serving["large"]+serving["small"] >= 1, "%v", serving)
	assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
}

// TestLoadsOfLostServersAreForgotten kills servers while they load weights. The planner must
// stop reporting their loads, because the next planner adopts all reported loads.
func TestLoadsOfLostServersAreForgotten(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(7, 1, 8) // seed 7; one domain of eight servers
	planner := plannerOfTerm(2)
	fleet.run(planner, settleTime+time.Second, underTraffic) // until loads are ordered; none is complete by then
	ordered := slices.Collect(maps.Keys(planner.Loading()))
	assert.Assert(t, len(ordered) > 0)
	for _, id := range ordered {
		fleet.servers[id].diedAt = fleet.now
	}
	fleet.run(planner, 40*time.Second, underTraffic) // longer than twice a load, after which its deadline passes
	for _, id := range ordered {
		_, known := planner.Loading()[id]
		assert.Assert(t, !known, "%s is still reported as loading", id)
	}
}
