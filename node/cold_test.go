package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

const (
	// maxColdRate is how many requests a cold server may get in a second from all nodes
	// together: one and a half times coldRate, and a burst of 5.
	maxColdRate = coldRate*3/2 + 5
	// coldRate is the rate that a cold server accepts in the tests' configuration, in requests a
	// second.
	coldRate = 4
)

// TestColdServersGetLittle sends far more requests to three nodes than a cold server
// accepts. The server is cold because its record says so or because the evacuation of its
// zone has just ended. The server must get some requests, but no more than maxColdRate in a
// second, and more once it is warm.
func TestColdServersGetLittle(t *testing.T) {
	const rate, coldFor = 100, 3 * time.Second // requests a second, and for how long the server is cold
	cases := map[string]struct {
		path   string
		server func(*testCluster) string // returns the ID of the server to make cold
		// makeCold makes the server cold for coldFor. After an evacuation the server is cold for
		// the configured cold_start_s, which is therefore the same.
		makeCold func(*testCluster, string)
	}{
		"replica group, by its record": {"/copy/a", func(cluster *testCluster) string { return cluster.fleet.OpenHeads()["m0"][0].ID }, func(cluster *testCluster, server string) {
			cluster.fleet.SetCold(server, coldFor)
		}},
		"plain server, by its record": {"/look/a", func(*testCluster) string { return "plain-1" }, func(cluster *testCluster, server string) {
			cluster.fleet.SetCold(server, coldFor)
		}},
		"plain server, evacuated": {"/look/a", func(*testCluster) string { return "plain-1" }, func(cluster *testCluster, server string) {
			cluster.fleet.SetZone(server, evacuatedZone)
			cluster.evacuate(evacuatedZone, true)
			time.Sleep(evacuationSpreadTime)
			cluster.fleet.SetLimit(server, "") // clears the server's arrivals, so that only those after the evacuation count
			cluster.evacuate(evacuatedZone, false)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newServingCluster(t)
			server := test.server(cluster)
			test.makeCold(cluster, server)
			coldSince := time.Now()
			// The nodes must learn in this time that the server is cold: those that have not learned
			// it would send the server too many requests. The load ends half a second before the
			// server is warm.
			time.Sleep(evacuationSpreadTime / 2)
			statuses := cluster.sendLoad(cluster.nodes, test.path, rate, coldFor-time.Second)
			arrivals := cluster.fleet.Arrivals(server)
			most := platformstandin.MaxArrivals(arrivals, time.Second)
			t.Logf("statuses %v; %d arrivals in %s, most in a second %d, allowed %d", statuses, len(arrivals), time.Since(coldSince), most, maxColdRate)
			assert.Assert(t, most <= maxColdRate, "%d requests in a second, allowed %d", most, maxColdRate)
			assert.Assert(t, most > 0, "the cold server got no requests")
			assert.Equal(t, statuses[0], 0, "requests got no complete answer")
			assert.Assert(t, statuses[http.StatusOK] > 0)
			cluster.eventually("the server gets more requests once it is warm", func() bool {
				cluster.sendLoad(cluster.nodes, test.path, rate, time.Second)
				return platformstandin.MaxArrivals(cluster.fleet.Arrivals(server), time.Second) > maxColdRate
			})
		})
	}
}
