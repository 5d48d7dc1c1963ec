package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/retry"
)

// TestShareFollowsRecords checks which part of the retry budget a node has as the records of nodes change. A copy of the
// records confirms its part only while it has the node's own record.
func TestShareFollowsRecords(t *testing.T) {
	node, timers := newTestNode(t)
	node.Settings.Listen.Callers, node.Settings.Listen.Control, node.Settings.Zone = "127.0.0.1:1", "127.0.0.1:2", "z"
	number := int64(0)
	record := func(id shedkeel.NodeID) shedkeel.Record {
		value, err := json.Marshal(nodeRecord{ID: id, Callers: "127.0.0.1:1", Control: "127.0.0.1:2", Zone: "z"})
		assert.NilError(t, err)
		return shedkeel.Record{Key: nodePrefix + string(id), Value: value, Revision: shedkeel.Revision{Number: number}}
	}
	node.sharing.SetWindow(10 * time.Second)
	// follow has the node follow records with these nodes for some time.
	follow := func(length time.Duration, ids ...shedkeel.NodeID) {
		for range int(length / time.Second) {
			timers.Advance(time.Second)
			number++
			var records []shedkeel.Record
			for _, id := range ids {
				records = append(records, record(id))
			}
			node.mirror.Apply(mirror.Update{Full: true, Records: records, At: shedkeel.Revision{Number: number}, AsOf: timers.Now()})
			node.report(timers.Now())
		}
	}
	share := func() retry.Share { return node.handler.RetryShare(timers.Now()) }
	follow(15*time.Second, "node-1", "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 0}, "the node has just started")
	follow(10*time.Second, "node-1", "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 1})
	follow(5*time.Second, "node-1")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 1}, "two nodes are no longer listed, and may live")
	follow(8*time.Second, "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 1}, "the node's own record is missing")
	follow(4*time.Second, "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 0}, "it has been missing for shareHold")
	follow(15*time.Second, "node-1", "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 0}, "the node is listed again, but not for long")
	follow(10*time.Second, "node-1", "node-2", "node-3")
	assert.Equal(t, share(), retry.Share{Processes: 3, Part: 1})
}
