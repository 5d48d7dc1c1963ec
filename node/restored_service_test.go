package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
)

const (
	// maxApplyDelay is the time within which a change must take effect at all nodes.
	maxApplyDelay = 2 * time.Second
	// lostChanges is how many changes of unused records the restore of the key-value service
	// loses, in addition to one configuration.
	lostChanges = 300
)

// TestRestoredServiceIsFollowed guards against nodes that miss changes after a restore of the
// key-value service from an older snapshot: a new configuration and the drain of a server must
// take effect at all nodes within maxApplyDelay of the end of the outage. No order or request may
// have broken a rule of the stand-in servers.
func TestRestoredServiceIsFollowed(t *testing.T) {
	cases := map[string]struct {
		restores int // number of restores from the same snapshot, each after an outage
		// overtaken states that the restored key-value service makes so many changes before
		// any node reaches it that its revision numbers exceed the numbers that the nodes
		// know.
		overtaken bool
	}{
		"revisions below those known": {1, false},
		"revisions above those known": {1, true},
		"twice in a row":              {2, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newServingCluster(t)
			cluster.data.Snapshot()
			cluster.changeUnusedRecords(lostChanges)
			cluster.configure(2, `"key-1","key-lost"`)
			cluster.eventually("the lost configuration is active", func() bool { return cluster.acceptingNodes("key-lost") == len(cluster.nodes) })
			for range test.restores {
				cluster.data.SetFaults(standin.Faults{Outage: true})
				time.Sleep(time.Second) // the length of the outage
				cluster.data.Restore()
				if !test.overtaken {
					cluster.data.SetFaults(standin.Faults{})
					time.Sleep(500 * time.Millisecond) // in this time the nodes can reach the restored key-value service
				}
			}
			cluster.configure(3, `"key-3"`)
			cluster.fleet.Drain("plain-0")
			if test.overtaken {
				cluster.changeUnusedRecords(2 * lostChanges)
				cluster.data.SetFaults(standin.Faults{})
			}
			began := time.Now()
			cluster.eventually("the new key is known", func() bool { return cluster.acceptingNodes("key-3") == len(cluster.nodes) })
			assert.Assert(t, time.Since(began) < maxApplyDelay, "the new key took %s to be known at all nodes", time.Since(began))
			time.Sleep(maxApplyDelay - time.Since(began)) // from now on the drain must be in effect
			requests := cluster.fleet.RequestCount("plain-0")
			for range 20 { // a server that is not draining would get some of the requests
				for _, node := range cluster.nodes {
					status, body := cluster.send(node.callers, shedkeel.NewNonce(), "/look/x", "key-3", 0)
					assert.Equal(t, status, 200, body)
					status, _ = cluster.send(node.callers, shedkeel.NewNonce(), "/look/x", "key-1", 0)
					assert.Equal(t, status, 401, "the key was removed")
				}
			}
			assert.Equal(t, cluster.fleet.RequestCount("plain-0"), requests, "a draining server got requests")
			cluster.eventually("two groups serve", func() bool { return len(cluster.fleet.OpenHeads()["m0"]) >= 2 })
			assert.DeepEqual(t, cluster.fleet.Violations(), []string(nil))
		})
	}
}

// changeUnusedRecords makes count changes of seven records that no node uses.
func (cluster *testCluster) changeUnusedRecords(count int) {
	for index := range count {
		_, err := cluster.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: fmt.Sprint("other/", index%7), Value: fmt.Append(nil, index)}}})
		assert.NilError(cluster.t, err)
	}
}

// acceptingNodes returns how many nodes answer a request with the API key with status 200.
func (cluster *testCluster) acceptingNodes(key string) int {
	count := 0
	for _, node := range cluster.nodes {
		if status, _ := cluster.send(node.callers, shedkeel.NewNonce(), "/look/x", key, 0); status == 200 {
			count++
		}
	}
	return count
}
