package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// backoffLength is the backoff that servers ask for.
const backoffLength = 2 * time.Second

// TestBackoffIsHeeded has servers refuse requests and ask for a backoff while three nodes receive
// requests. A node must send such a server no requests until the backoff is over; the fault is, for
// example, five within 3 s. The stand-in servers do not count requests that may have been in
// flight, and allow two later ones (see checkArrival in platform/standin).
func TestBackoffIsHeeded(t *testing.T) {
	const rate, length = 40, 3*backoffLength + time.Second // requests a second, and for how long
	cases := map[string]struct {
		path string
		all  bool // all servers ask for a backoff, not only one
	}{
		"replica group":      {path: "/copy/a"},
		"plain server":       {path: "/look/a"},
		"all replica groups": {path: "/copy/a", all: true},
		"all plain servers":  {path: "/look/a", all: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newServingCluster(t)
			servers := cluster.serversFor(test.path, test.all)
			for _, server := range servers {
				cluster.fleet.SetBackoff(server, backoffLength)
			}
			// From the middle of the load on, the servers accept requests again, while nodes
			// still remember the last backoff.
			time.AfterFunc(length/2, func() {
				for _, server := range servers {
					cluster.fleet.SetBackoff(server, 0)
				}
			})
			statuses := cluster.sendLoad(cluster.nodes, test.path, rate, length)
			t.Logf("statuses %v", statuses)
			assert.DeepEqual(t, cluster.fleet.Violations(), []string(nil)) // requests during a backoff
			assert.Equal(t, statuses[0], 0, "requests got no complete answer")
			// If all servers ask for backoffs, they do so for half of the time, and the nodes
			// remember the last backoffs for up to backoffLength more.
			assert.Assert(t, statuses[http.StatusOK] > statuses[http.StatusServiceUnavailable]/3, "too few requests were served after the backoff")
			if !test.all {
				assert.Equal(t, statuses[http.StatusServiceUnavailable], 0, "requests failed although other servers accept them")
			}
		})
	}
}

// TestDrainInAnswersIsHeeded has a server state in its answers that it drains, while its
// record still says that it is ready. The nodes must not send that server further requests. The
// stand-in server counts a request as a violation if it arrives more than 2 s after the node got
// the first such answer (drainTime in platform/standin).
func TestDrainInAnswersIsHeeded(t *testing.T) {
	const rate, length = 40, 4 * time.Second // requests a second, and for how long
	for name, path := range map[string]string{"replica group": "/copy/a", "plain server": "/look/a"} {
		t.Run(name, func(t *testing.T) {
			cluster := newServingCluster(t)
			cluster.fleet.AnnounceDraining(cluster.serversFor(path, false)[0]) // false: only the first server
			statuses := cluster.sendLoad(cluster.nodes, path, rate, length)
			t.Logf("statuses %v", statuses)
			assert.DeepEqual(t, cluster.fleet.Violations(), []string(nil)) // late requests to the draining server
			assert.Equal(t, statuses[http.StatusServiceUnavailable]+statuses[0], 0, "requests failed although other servers accept them")
		})
	}
}

// newServingCluster returns a test cluster of three nodes that serve.
func newServingCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, 3)
	cluster.fleet.Answer = 80 * time.Millisecond // the answer time that dispatch expects of plain servers (plainResponseTime)
	cluster.eventually("all nodes are in the directory", func() bool { return len(cluster.addresses(0)) == 3 })
	for index := range cluster.nodes {
		cluster.waitServing(index)
	}
	return cluster
}
