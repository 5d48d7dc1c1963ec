package node

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

// encodeNodeRecord returns the valid record of a node with this ID, encoded as JSON.
func encodeNodeRecord(t *testing.T, id shedkeel.NodeID) []byte {
	t.Helper()
	value, err := json.Marshal(nodeRecord{ID: id, Zone: "z", Callers: "10.0.0.1:1", Control: "10.0.0.1:2", Watched: true})
	assert.NilError(t, err)
	return value
}

// TestRegistrationsAreWrittenTogether makes many nodes ask one node at the same time to write
// their records. The node must write the records in as few calls as possible. Separate writes
// would be most of the calls to the key-value service when a fleet starts.
func TestRegistrationsAreWrittenTogether(t *testing.T) {
	cases := map[string]struct {
		nodes      int
		mismatched int  // nodes that send the record of another node, which is refused
		fails      bool // the key-value service fails
		wantWrites int  // calls to the key-value service, each with at most shedkeel.MaxTransactionEntries (32) records
	}{
		"one node":                             {1, 0, false, 1},
		"as many as fit in one write":          {32, 0, false, 1},
		"more than fit in two writes":          {70, 0, false, 3},
		"some send the record of another node": {33, 3, false, 1}, // 30 valid records
		"the key-value service fails":          {40, 0, true, 2},
		"all send the record of another node":  {5, 5, false, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			var mutex sync.Mutex
			writes, writesByKey := 0, map[string]int{}
			node.Store = &leaseStore{commit: func(change shedkeel.Transaction) (int64, error) {
				mutex.Lock()
				defer mutex.Unlock()
				writes++
				assert.Check(t, len(change.Put) <= shedkeel.MaxTransactionEntries)
				if test.fails {
					return 0, &shedkeel.UnavailableError{What: "key-value service"}
				}
				for _, put := range change.Put {
					writesByKey[put.Key]++
				}
				return 7, nil // the revision of the write
			}}
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}}) // a copy without records
			var asking sync.WaitGroup
			written := make([]bool, test.nodes)
			for index := range test.nodes {
				id := shedkeel.NodeID(fmt.Sprint("n-", index))
				record := encodeNodeRecord(t, id)
				if index < test.mismatched {
					record = encodeNodeRecord(t, "n-other")
				}
				asking.Go(func() {
					reply := node.registrar.handle(t.Context(), &wire.RegisterCall{Node: string(id), Record: record})
					written[index] = reply.GetRegister().GetWritten() && reply.GetRegister().GetRevision() == 7
				})
			}
			asking.Wait()
			assert.Equal(t, writes, test.wantWrites)
			for index, confirmed := range written {
				key := nodePrefix + fmt.Sprint("n-", index)
				assert.Equal(t, confirmed, !test.fails && index >= test.mismatched, key)
				assert.Equal(t, writesByKey[key] == 1, confirmed, "a write is confirmed if and only if the record was written: %s", key)
			}
		})
	}
}

// TestNodeIsListedWithoutRegistrar makes a node list itself in a fleet whose records have no
// leases, so that the followed node writes the node's record. If the followed node is down or
// fails to write the record, or if the node itself is stopping, the node must write its record
// itself. In each case the node must know within registerTimeout that it is listed.
func TestNodeIsListedWithoutRegistrar(t *testing.T) {
	cases := map[string]struct {
		handler       func(*Node) wire.Handler // of the followed node; nil: it is down
		stopping      bool                     // the node that lists itself is stopping
		wantOwnWrites int                      // writes by the node itself
	}{
		"the followed node writes":  {func(other *Node) wire.Handler { return &other.peers }, false, 0},
		"this node stops":           {func(other *Node) wire.Handler { return &other.peers }, true, 1},
		"the followed node is down": {nil, false, 1},
		"the followed node fails to write": {func(other *Node) wire.Handler {
			other.Store = &leaseStore{commit: func(shedkeel.Transaction) (int64, error) { return 0, &shedkeel.UnavailableError{What: "service"} }}
			return &other.peers
		}, false, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			other, _ := newTestNode(t)
			other.Store = &leaseStore{commit: func(shedkeel.Transaction) (int64, error) { return 9, nil }} // 9: the write's revision
			other.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}})
			listener := listenHere(t)
			address := listener.Addr().String()
			if test.handler == nil {
				assert.NilError(t, listener.Close())
			} else {
				defer serveWire(t, listener, test.handler(other))()
			}

			node, timers := newTestNode(t)
			node.Settings.Wire.Key = "k" // the key of serveWire
			node.Settings.Zone = "z"
			node.Settings.Listen.Callers, node.Settings.Listen.Control = "10.0.0.1:1", "10.0.0.1:2"
			node.Settings.Seeds = []string{address}
			node.peers.prepare()
			node.stopping.Store(test.stopping)
			ownWrites := 0
			node.Store = &leaseStore{commit: func(shedkeel.Transaction) (int64, error) {
				ownWrites++
				return 9, nil
			}}
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
			node.member.startedAt.Store(int64(timers.Now()))
			node.member.nodeCountHint.Store(unleasedFrom) // a followed node writes only records without a lease
			started := time.Now()
			assert.Assert(t, node.member.step(t.Context()))
			assert.Equal(t, ownWrites, test.wantOwnWrites)
			assert.Assert(t, node.member.isRecordCurrent(), "the node knows that it is listed")
			assert.Assert(t, time.Since(started) < registerTimeout)
		})
	}
}
