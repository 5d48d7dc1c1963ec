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

// evacuationSpreadTime is the time within which all nodes must know of the evacuation of
// an availability zone.
const evacuationSpreadTime = time.Second

// evacuatedZone is the availability zone that is evacuated in these tests. One of two
// domains of engines or one of two plain servers is there.
const evacuatedZone = "y"

// evacuate has an operator begin the evacuation of a zone, or end it if begin is false.
func (cluster *testCluster) evacuate(zone string, begin bool) {
	_, err := cluster.data.Commit(platform.EvacuationChange(shedkeel.ZoneID(zone), begin))
	assert.NilError(cluster.t, err)
}

// countArrivals counts the requests that have arrived at the servers.
func (cluster *testCluster) countArrivals(servers []string) int {
	count := 0
	for _, server := range servers {
		count += cluster.fleet.RequestCount(server)
	}
	return count
}

// TestEvacuatedZoneGetsNothing sends requests for engines or plain servers to three nodes
// while an operator evacuates an availability zone and ends the evacuation. Neither these
// nodes nor one that starts meanwhile may send the zone's servers any requests.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	const rate = 50 // requests a second, which half of the servers can handle
	cases := map[string]struct {
		path    string
		servers []string
	}{
		"replica groups": {"/copy/a", []string{"engine-4", "engine-5", "engine-6", "engine-7"}}, // the domain rack-1
		"plain servers":  {"/look/a", []string{"plain-1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newServingCluster(t)
			for _, server := range test.servers {
				cluster.fleet.SetZone(server, evacuatedZone)
			}
			cluster.sendLoad(cluster.nodes, test.path, rate, time.Second)
			assert.Assert(t, cluster.countArrivals(test.servers) > 0, "the zone got no requests before the evacuation")

			cluster.evacuate(evacuatedZone, true)
			time.Sleep(evacuationSpreadTime)
			before := cluster.countArrivals(test.servers)
			statuses := cluster.sendLoad(cluster.nodes, test.path, rate, time.Second)
			assert.Equal(t, cluster.countArrivals(test.servers), before, "the evacuated zone got requests")
			assert.Assert(t, statuses[http.StatusOK] > 0)
			delete(statuses, http.StatusOK)
			assert.Equal(t, len(statuses), 0, "the other zone must serve all requests: also got %v", statuses)

			cluster.start(3) // a fourth node
			cluster.eventually("a node that starts serves", func() bool {
				status, _ := cluster.send(cluster.nodes[3].callers, shedkeel.NewNonce(), test.path, "key-1", 50)
				return status == http.StatusOK
			})
			assert.Equal(t, cluster.countArrivals(test.servers), before, "a node that started sent the evacuated zone requests")

			cluster.evacuate(evacuatedZone, false)
			cluster.eventually("the zone serves again", func() bool {
				cluster.sendLoad(cluster.nodes, test.path, rate, evacuationSpreadTime)
				return cluster.countArrivals(test.servers) > before
			})
		})
	}
}

// TestAllZonesEvacuated checks that callers get status 503 and no server gets their
// request while the zone of all servers is evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	cluster := newServingCluster(t)
	cluster.evacuate("z", true) // the zone of stand-in servers that name none
	time.Sleep(evacuationSpreadTime)
	for index, node := range cluster.nodes {
		status, body := cluster.send(node.callers, fmt.Sprint("none-", index), "/look/a", "key-1", 0) // 0: no answer tokens
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Equal(t, cluster.fleet.RunCount(fmt.Sprint("none-", index)), 0)
	}
}
