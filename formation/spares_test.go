package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestMinSpares checks that an eighth of the servers is kept free, rounded up as far as
// pairLossSpares and otherwise rounded down.
func TestMinSpares(t *testing.T) {
	for name, test := range map[string]struct{ servers, spares int }{
		"no servers":               {0, 0},
		"one server":               {1, 1},
		"six servers, rounded up":  {6, 1},
		"eight servers":            {8, 1},
		"nine servers, rounded up": {9, 2},
		"ten servers, rounded up":  {10, 2},
		"16 servers":               {16, 2},
		"19 servers, rounded down": {19, 2},
		"27 servers, rounded down": {27, 3},
		"37 servers, rounded down": {37, 4},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, minSpares(test.servers), test.spares) })
	}
}

// TestSparesLeaveRoomForWholeGroups checks that in domains of 27 servers with groups of 12 and
// 6, 24 servers are in groups. If an eighth were rounded up (minSpares), nine servers of each
// domain would stay free.
func TestSparesLeaveRoomForWholeGroups(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(1, 3, 27)                                  // seed 1; three domains of 27 servers
	fleet.engine.Models[0].Size, fleet.engine.Models[1].Size = 12, 6 // large, small
	fleet.engine.Models[0].Share, fleet.engine.Models[1].Share = 0.5, 0.5
	fleet.run(plannerOfTerm(1), 30*time.Second, beforeTraffic)
	serving := fleet.serving()
	assert.Equal(t, 12*serving["large"]+6*serving["small"], 3*24, "%v", serving)
	assert.DeepEqual(t, serving, map[shedkeel.ModelID]int{"large": 3, "small": 6})
}

// TestPairsOfLossesAreReplaced kills two members at once in a domain of ten servers and checks
// that both are replaced within 3 s. With one spare, the second loss would be repaired only
// after a load of 12 s or more.
func TestPairsOfLossesAreReplaced(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 3, 10)                                 // seed 3; three domains of ten servers
	fleet.engine.Models[0].Size, fleet.engine.Models[1].Size = 6, 3 // large, small
	planner := plannerOfTerm(1)
	fleet.run(planner, time.Minute, beforeTraffic)
	before := fleet.serving()
	killed := 0
	for _, id := range fleet.living() {
		server := fleet.servers[id]
		if killed < 2 && server.Domain == "d0" && server.Member != nil && !isStandby(server.Member.Group) && server.Member.Rank > 0 {
			server.diedAt = fleet.now
			killed++
		}
	}
	fleet.run(planner, 3*time.Second, underTraffic)
	assert.DeepEqual(t, fleet.serving(), before)
	assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
}
