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

// staleStore answers stale reads.
type staleStore struct {
	leaseStore
	record shedkeel.Record
}

func (store *staleStore) GetStale(context.Context, string) (shedkeel.Record, error) {
	return store.record, nil
}

// withControlAddresses gives the nodes of a fleet addresses.
func withControlAddresses(nodes []nodeRecord) []nodeRecord {
	for index := range nodes {
		nodes[index].Control = string(nodes[index].ID) + ":1"
	}
	return nodes
}

// TestAdvice covers how a node begins that knows nothing.
func TestAdvice(t *testing.T) {
	large, err := json.Marshal(newSizeRecord(withControlAddresses(fleetOf(300, 3))))
	assert.NilError(t, err)
	small, err := json.Marshal(newSizeRecord(withControlAddresses(fleetOf(9, 3))))
	assert.NilError(t, err)
	cases := map[string]struct {
		own   string
		seeds []string
		value []byte
		list  bool
		peers int
		hint  int64
	}{
		"a fleet's first start":          {"z3-050:1", []string{"z0-000:1"}, nil, false, 0, 0},
		"the same, a seed":               {"z0-000:1", []string{"z0-000:1"}, nil, true, 0, 0},
		"the same, there are no seeds":   {"z3-050:1", nil, nil, true, 0, 0},
		"a small fleet":                  {"z3-050:1", []string{"z0-000:1"}, small, true, 0, 9},
		"a large one":                    {"z3-050:1", []string{"z0-000:1"}, large, false, maxStartupRelays, 300},
		"a large one, a relay":           {"z3-000:1", []string{"z0-000:1"}, large, true, 0, 300},
		"what stands there is no record": {"z3-050:1", []string{"z0-000:1"}, []byte("{"), true, 0, 0},
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
			assert.Equal(t, advice.List, test.list)
			assert.Equal(t, len(advice.Peers), test.peers)
			assert.Equal(t, node.member.hint.Load(), test.hint)
			for place, peer := range advice.Peers {
				assert.Assert(t, place > 2 || peer.Name()[:2] == "z3", "%s is asked first", peer.Name())
			}
		})
	}
}

// TestSizeIsKept covers when the node that plans writes the size of the fleet.
func TestSizeIsKept(t *testing.T) {
	node, timers := newTestNode(t)
	var stands []sizeRecord
	revision := shedkeel.Revision{Number: 10}
	node.Store = &leaseStore{commit: func(change shedkeel.Change) (int64, error) {
		revision.Number++
		var size sizeRecord
		assert.NilError(t, json.Unmarshal(change.Put[0].Value, &size))
		stands = append(stands, size)
		node.mirror.Apply(mirror.Update{Whole: true, At: revision, Records: []shedkeel.Record{{Key: sizeKey, Value: change.Put[0].Value, Revision: revision}}})
		return revision.Number, nil
	}}
	look := func(nodes []nodeRecord) {
		node.peers.update(nodes)
		timers.Advance(sizeCheckInterval)
		node.controller.keepSize(t.Context(), timers.Now())
	}
	look(fleetOf(200, 3))
	assert.Equal(t, len(stands), 0, "others may not be listed yet")
	look(withControlAddresses(fleetOf(300, 3)))
	look(withControlAddresses(fleetOf(295, 3)))
	assert.Equal(t, len(stands), 1, "it is about as large")
	assert.Equal(t, len(stands[0].Relays), 15)
	look(withControlAddresses(fleetOf(295, 2)))
	assert.Equal(t, len(stands), 2, "there are other relays")
	look(withControlAddresses(fleetOf(9, 2)))
	assert.Equal(t, len(stands), 3)
	assert.Equal(t, len(stands[2].Relays), 0)
	timers.Advance(sizeCheckInterval - time.Millisecond)
	node.controller.keepSize(t.Context(), timers.Now())
	assert.Equal(t, len(stands), 3)
}
