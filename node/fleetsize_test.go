package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// staleStore answers stale reads with a fixed record. The zero record does not exist.
type staleStore struct {
	leaseStore
	record shedkeel.Record
}

func (store *staleStore) GetStale(context.Context, string) (shedkeel.Record, error) {
	return store.record, nil
}

// withControlAddresses sets the control address of each of the nodes to its ID with port 1, and
// returns the nodes.
func withControlAddresses(nodes []nodeRecord) []nodeRecord {
	for index := range nodes {
		nodes[index].Control = string(nodes[index].ID) + ":1"
	}
	return nodes
}

// TestAdvice checks how a starting node gets its first copy of the records.
func TestAdvice(t *testing.T) {
	// A fleet of 300 nodes has relays, and a fleet of 9 has none (see hasRelays). In each zone, 3
	// nodes have large boxes. In the large fleet the node z3-000 is a relay, and z3-050 is
	// neither a relay nor a source.
	large, err := json.Marshal(newSizeRecord(withControlAddresses(fleetOf(300, 3))))
	assert.NilError(t, err)
	small, err := json.Marshal(newSizeRecord(withControlAddresses(fleetOf(9, 3))))
	assert.NilError(t, err)
	cases := map[string]struct {
		own       string   // control address of the node
		seeds     []string // control addresses
		value     []byte   // of the size record; nil: there is no record
		wantList  bool     // the node lists the key-value service's records itself
		wantPeers int      // number of relays to ask for a copy
		wantHint  int64    // number of nodes that the node learns from the record; 0: none
	}{
		"a fleet's first start":       {"z3-050:1", []string{"z0-000:1"}, nil, false, 0, 0},
		"a first start, of a seed":    {"z0-000:1", []string{"z0-000:1"}, nil, true, 0, 0},
		"a first start without seeds": {"z3-050:1", nil, nil, true, 0, 0},
		"a small fleet":               {"z3-050:1", []string{"z0-000:1"}, small, true, 0, 9},
		"a large fleet":               {"z3-050:1", []string{"z0-000:1"}, large, false, maxStartupRelays, 300},
		"a large fleet, a relay":      {"z3-000:1", []string{"z0-000:1"}, large, true, 0, 300},
		"the size record is invalid":  {"z3-050:1", []string{"z0-000:1"}, []byte("{"), true, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			node.Settings.Zone, node.Settings.Listen.Control, node.Settings.Seeds = "z3", test.own, test.seeds
			node.peers.prepare()
			store := &staleStore{}
			if test.value != nil {
				store.record = shedkeel.Record{Key: sizeKey, Value: test.value, Revision: shedkeel.Revision{Number: 7}}
			}
			node.Store = store
			advice, err := node.peers.advise(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, advice.ListSource, test.wantList)
			assert.Equal(t, len(advice.Peers), test.wantPeers)
			assert.Equal(t, node.member.nodeCountHint.Load(), test.wantHint)
			for index, peer := range advice.Peers {
				// The zone z3 has three relays.
				assert.Assert(t, index > 2 || peer.Name()[:2] == "z3", "%s of another zone is among the first three relays to ask", peer.Name())
			}
		})
	}
}

// TestSizeIsKept checks that the leader writes the fleet's size when the number of nodes has
// changed by more than sizeTolerance or the relays have changed, but not at its first check.
func TestSizeIsKept(t *testing.T) {
	node, timers := newTestNode(t)
	var written []sizeRecord
	revision := shedkeel.Revision{Number: 10}
	node.Store = &leaseStore{commit: func(change shedkeel.Transaction) (int64, error) {
		revision.Number++
		var size sizeRecord
		assert.NilError(t, json.Unmarshal(change.Put[0].Value, &size))
		written = append(written, size)
		node.mirror.Apply(mirror.Update{Full: true, At: revision, Records: []shedkeel.Record{{Key: sizeKey, Value: change.Put[0].Value, Revision: revision}}})
		return revision.Number, nil
	}}
	check := func(nodes []nodeRecord) {
		node.peers.update(nodes)
		timers.Advance(sizeCheckInterval)
		node.controller.maintainFleetSize(t.Context(), timers.Now())
	}
	check(fleetOf(200, 3)) // 200 nodes; in each zone, 3 of them have large boxes
	assert.Equal(t, len(written), 0, "the size was written at the first check, when other nodes may not be listed yet")
	check(withControlAddresses(fleetOf(300, 3)))
	check(withControlAddresses(fleetOf(295, 3)))
	assert.Equal(t, len(written), 1, "not one write: 300 nodes are the first size to write, and 295 differ too little")
	assert.Equal(t, len(written[0].Relays), 15)  // 13 relays and the two sources
	check(withControlAddresses(fleetOf(295, 2))) // one large box fewer in each zone
	assert.Equal(t, len(written), 2, "the change of the relays was not written")
	check(withControlAddresses(fleetOf(9, 2)))
	assert.Equal(t, len(written), 3)
	assert.Equal(t, len(written[2].Relays), 0) // a fleet of 9 has no relays
	timers.Advance(sizeCheckInterval - time.Millisecond)
	node.controller.maintainFleetSize(t.Context(), timers.Now())
	assert.Equal(t, len(written), 3)
}
