package node_test

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/node"
)

// deadPrefix is the prefix of the IDs of the nodes that do not run (see listDeadNodes).
const deadPrefix = "off-"

// exclusionDelay is how long after a node's loss the directory may still name it.
const exclusionDelay = 5 * time.Second

// TestDirectoryLeavesOutDeadNodes checks that the directories of live nodes name each other, but
// no dead node, from exclusionDelay after its loss on. The dead nodes' records may stay listed
// that long: in an outage of the key-value service (the store), while nodes retain records that
// were deleted in one, and while an isolated node removes no records.
func TestDirectoryLeavesOutDeadNodes(t *testing.T) {
	cases := map[string]struct {
		deadNodes int
		fault     func(cluster *testCluster, keys []string) // called once the dead nodes are listed; keys are those of their records
	}{
		"their records stay, and the store is unavailable": {2, func(cluster *testCluster, _ []string) {
			cluster.data.SetFaults(standin.Faults{Outage: true})
		}},
		"most nodes are dead, so that a live one may consider itself isolated": {8, func(*testCluster, []string) {}},
		"their records are deleted while nodes cannot reach the store": {2, func(cluster *testCluster, keys []string) {
			cluster.data.SetFaults(standin.Faults{Outage: true})
			go func() {
				// After 4 s, the nodes' copies of the records are older than outageAge (2.3 s), so the
				// nodes retain the records that are deleted now. Commit works in an outage, unlike calls
				// over HTTP.
				time.Sleep(4 * time.Second)
				_, err := cluster.data.Commit(shedkeel.Transaction{Remove: keys})
				assert.Check(cluster.t, err)
				cluster.data.SetFaults(standin.Faults{})
			}()
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 2)
			cluster.eventually("both nodes are named", func() bool { return len(cluster.addresses(0)) == 2 && len(cluster.addresses(1)) == 2 })
			keys, callerAddresses := cluster.listDeadNodes(test.deadNodes)
			test.fault(cluster, keys)
			time.Sleep(exclusionDelay)
			for range 10 {
				for index, running := range cluster.nodes {
					named := cluster.addresses(index)
					for _, address := range callerAddresses {
						assert.Assert(t, !slices.Contains(named, address), "%s names a dead node", running.Settings.Node)
					}
					other := cluster.nodes[1-index].callers
					assert.Assert(t, slices.Contains(named, other), "%s does not name the other living node", running.Settings.Node)
				}
				time.Sleep(100 * time.Millisecond)
			}
			cluster.checkExcluded()
		})
	}
}

// listDeadNodes adds the records of nodes that do not run, all in one transaction. It returns
// the keys of the records and the nodes' addresses for callers once all running nodes know the
// first record.
func (cluster *testCluster) listDeadNodes(count int) (keys, callerAddresses []string) {
	var change shedkeel.Transaction
	for index := range count {
		id := fmt.Sprint(deadPrefix, index)
		address := closedAddress(cluster.t)
		record := map[string]any{"id": id, "incarnation": "i", "zone": "z", "callers": address, "control": address, "gossip": address, "capacity": 0, "stopping": false, "watched": true}
		value, err := json.Marshal(record)
		assert.NilError(cluster.t, err)
		key := "shedkeel/nodes/" + id
		change.Put = append(change.Put, shedkeel.Put{Key: key, Value: value})
		keys, callerAddresses = append(keys, key), append(callerAddresses, address)
	}
	_, err := cluster.data.Commit(change)
	assert.NilError(cluster.t, err)
	for index := range cluster.nodes {
		cluster.eventually("the dead nodes are listed", func() bool { return slices.Contains(cluster.status(index).Nodes, shedkeel.NodeID(deadPrefix+"0")) })
	}
	return keys, callerAddresses
}

// checkExcluded checks that the status of node 0 has a reason for each dead node that is still
// listed, and for no other node.
func (cluster *testCluster) checkExcluded() {
	status := cluster.status(0)
	var listed, excluded []shedkeel.NodeID
	for _, id := range status.Nodes {
		if strings.HasPrefix(string(id), deadPrefix) {
			listed = append(listed, id)
		}
	}
	for _, dump := range status.ExcludedNodes {
		excluded = append(excluded, dump.Node)
		assert.Assert(cluster.t, dump.Reason != "")
	}
	assert.DeepEqual(cluster.t, excluded, listed)
}

// status returns the status that a node reports to operators.
func (cluster *testCluster) status(index int) node.Dump {
	response, err := cluster.client.Get("http://" + cluster.nodes[index].admin + "/v1/status")
	assert.NilError(cluster.t, err)
	defer func() { _ = response.Body.Close() }()
	var status node.Dump
	assert.NilError(cluster.t, json.NewDecoder(response.Body).Decode(&status))
	return status
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	return listener.Addr().String()
}
