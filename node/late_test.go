package node

import (
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// storeRecord applies a change of a key to the node's copy, as the key-value service would send it.
func storeRecord(node *Node, number int64, key string, value []byte) {
	revision := shedkeel.Revision{Number: number}
	node.mirror.Apply(mirror.Update{At: revision, AsOf: node.Timers.Now(), Records: []shedkeel.Record{{Key: key, Value: value, Revision: revision, Removed: value == nil}}})
}

// TestOwnRecordIsWrittenAgain guards against a node that stays unlisted, or listed with what it has stated earlier,
// after the key-value service has done one of its writes late: with a lease that it renews no more, or from
// before its stop.
func TestOwnRecordIsWrittenAgain(t *testing.T) {
	cases := map[string]func(record *nodeRecord) bool{ // changes the record that is stored; false: none is
		"with an earlier lease":       func(record *nodeRecord) bool { record.Lease--; return true },
		"of before the stop":          func(record *nodeRecord) bool { record.Stopping = false; return true },
		"it went with its lease":      func(*nodeRecord) bool { return false },
		"of another capacity":         func(record *nodeRecord) bool { record.Capacity++; return true },
		"the same, written once more": nil,
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers, store := newListedCandidate(t)
			node.Settings.Zone, node.Settings.Listen.Callers, node.Settings.Listen.Control = "z", "10.0.0.1:1", "10.0.0.1:2"
			var written []nodeRecord
			store.commit = func(change shedkeel.Transaction) (int64, error) {
				var record nodeRecord
				assert.NilError(t, json.Unmarshal(change.Put[0].Value, &record))
				assert.Equal(t, change.Put[0].Lease, shedkeel.LeaseID{Era: record.Era, Number: record.Lease})
				written = append(written, record)
				return int64(10 * len(written)), nil
			}
			run := func() {
				for range 2 * largeFleetTTL / memberTick {
					timers.Advance(memberTick)
					node.member.tick(t.Context())
				}
			}
			node.stopping.Store(true)
			node.member.requestWrite()
			run() // until it has the lease for the size of its fleet
			settled := len(written)
			late := written[settled-1]
			var value []byte
			if change == nil || change(&late) {
				var err error
				value, err = json.Marshal(late)
				assert.NilError(t, err)
			}
			storeRecord(node, int64(10*settled+1), node.member.key(), value)
			run()
			if change == nil {
				assert.Equal(t, len(written), settled, "a current record was written again")
				return
			}
			// A node that isn't listed any more gets a lease for a fleet of unknown size first.
			assert.Assert(t, len(written) > settled && len(written) <= settled+2, "%d, then %d writes", settled, len(written))
			assert.Assert(t, written[len(written)-1].statesSame(node.ownRecord()))
		})
	}
}

// TestLateNodeRecordIsOutdated guards against callers that are sent to a node that stops, after an earlier write of its record was
// done late.
func TestLateNodeRecordIsOutdated(t *testing.T) {
	node, _ := newTestNode(t)
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}})
	record := nodeRecord{ID: "b", Incarnation: "x", Zone: "z", Callers: "10.0.0.2:1", Control: "10.0.0.2:2", Capacity: 0.5}
	apply := func(number int64, incarnation string, sequence uint64, stopping bool) {
		record.Incarnation, record.Sequence, record.Stopping = incarnation, sequence, stopping
		value, err := json.Marshal(record)
		assert.NilError(t, err)
		storeRecord(node, number, nodePrefix+"b", value)
	}
	stops := func() bool { return node.fleet.nodes[nodePrefix+"b"].Stopping }
	apply(2, "x", 4, false)
	apply(3, "x", 5, true)
	apply(4, "x", 4, false)
	assert.Assert(t, stops(), "an earlier record of the process is in use")
	apply(5, "y", 1, false)
	assert.Assert(t, !stops(), "the record of the next process is not in use")
}

// TestLoadsOfEarlierLeaderAreLate guards against the loads of an earlier leader that replace those of its successor: the
// next planner would order loads that run already, or wait for some that nobody has ordered.
func TestLoadsOfEarlierLeaderAreLate(t *testing.T) {
	node, _, store := newListedCandidate(t)
	storeRecord(node, 3, leaderKey, []byte(`{"node":"node-1"}`))
	storeRecord(node, 4, loadsPrefix+"s", []byte(`{"a":"m"}`))
	var changes []shedkeel.Transaction
	store.commit = func(change shedkeel.Transaction) (int64, error) {
		changes = append(changes, change)
		if len(changes) == 1 {
			return 0, errors.New("the answer is lost")
		}
		return 9, nil
	}
	loading := map[shedkeel.InstanceID]shedkeel.ModelID{"b": "m"}
	node.controller.storeLoads(t.Context(), "s", loading)
	node.controller.storeLoads(t.Context(), "s", loading)
	assert.Equal(t, len(changes), 2, "a write without an answer was not repeated")
	for _, change := range changes {
		assert.DeepEqual(t, change.If, []shedkeel.Condition{{Key: loadsPrefix + "s", Revision: shedkeel.Revision{Number: 4}}, {Key: leaderKey, Revision: shedkeel.Revision{Number: 3}}})
	}
	assert.Equal(t, string(node.mirror.Get(loadsPrefix+"s").Value), `{"b":"m"}`)
}
