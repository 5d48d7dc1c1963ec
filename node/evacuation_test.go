package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/platform"
)

// evacuateTime is within what time all nodes are to know that an availability zone is
// evacuated, while nothing else happens.
const evacuateTime = time.Second

// evacuated is the availability zone that is evacuated in these tests. One of two
// domains of engines and one of two plain servers stand there.
const evacuated = "y"

// evacuate has an operator ask that a zone's servers get nothing, or withdraw that.
func (world *world) evacuate(zone string, begin bool) {
	_, err := world.data.Commit(platform.Evacuation(shedkeel.ZoneID(zone), begin))
	assert.NilError(world.t, err)
}

// arrivedAt counts the requests that have come to the servers.
func (world *world) arrivedAt(servers []string) int {
	count := 0
	for _, server := range servers {
		count += world.fleet.Came(server)
	}
	return count
}

// TestEvacuatedZoneGetsNothing has requests for engines and plain servers come to
// three nodes while an availability zone is evacuated and taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	const rate = 50 // requests a second, which half of the servers can bear
	cases := map[string]struct {
		path    string
		servers []string
	}{
		"replica groups": {"/copy/a", []string{"engine-4", "engine-5", "engine-6", "engine-7"}},
		"plain servers":  {"/look/a", []string{"plain-1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newServingWorld(t)
			for _, server := range test.servers {
				world.fleet.Place(server, evacuated)
			}
			world.press(world.nodes, test.path, rate, time.Second)
			assert.Assert(t, world.arrivedAt(test.servers) > 0, "they serve before")

			world.evacuate(evacuated, true)
			time.Sleep(evacuateTime)
			before := world.arrivedAt(test.servers)
			statuses := world.press(world.nodes, test.path, rate, time.Second)
			assert.Equal(t, world.arrivedAt(test.servers), before, "nothing comes to the zone")
			assert.Equal(t, statuses[http.StatusOK], rate, "the other zone serves all: %v", statuses)

			world.start(3)
			world.eventually("a node that starts serves", func() bool {
				status, _ := world.send(world.nodes[3].callers, shedkeel.NewNonce(), test.path, "key-1", 50)
				return status == http.StatusOK
			})
			assert.Equal(t, world.arrivedAt(test.servers), before, "it knows of the evacuation")

			world.evacuate(evacuated, false)
			world.eventually("the zone serves again", func() bool {
				world.press(world.nodes, test.path, rate, evacuateTime)
				return world.arrivedAt(test.servers) > before
			})
		})
	}
}

// TestAllZonesEvacuated has callers refused truthfully while all servers are
// evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	world := newServingWorld(t)
	world.evacuate("z", true)
	time.Sleep(evacuateTime)
	for index, node := range world.nodes {
		status, body := world.send(node.callers, fmt.Sprint("none-", index), "/look/a", "key-1", 0)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Equal(t, world.fleet.Ran(fmt.Sprint("none-", index)), 0)
	}
}
