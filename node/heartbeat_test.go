package node

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/serve"
)

// heartbeatDecoder decodes instances that are written as JSON.
type heartbeatDecoder struct{ keyDecoder }

func (heartbeatDecoder) Instance(key string, value []byte) (shedkeel.Instance, error) {
	var instance shedkeel.Instance
	err := json.Unmarshal(value, &instance)
	instance.ID = shedkeel.InstanceID(strings.TrimPrefix(key, "servers/"))
	return instance, err
}

// heartbeats returns the records of the given number of servers of the service s, 37 in each
// domain, all with the given sequence number.
func heartbeats(t testing.TB, servers int, sequence int64) []shedkeel.Record {
	t.Helper()
	var records []shedkeel.Record
	for index := range servers {
		instance := shedkeel.Instance{Service: "s", Address: fmt.Sprint("10.0.0.1:", index), Zone: "z", Slots: 8, Sequence: sequence, Domain: shedkeel.DomainID(fmt.Sprint(index / 37))}
		value, err := json.Marshal(instance)
		assert.NilError(t, err)
		records = append(records, shedkeel.Record{Key: fmt.Sprint("servers/", index), Value: value, Revision: shedkeel.Revision{Number: sequence}})
	}
	return records
}

// newHeartbeatNode returns a node that has a configuration with the service s and knows the
// records that heartbeats returns for the given number of servers and sequence number 1.
func newHeartbeatNode(t testing.TB, servers int) *Node {
	t.Helper()
	node, _ := newTestNode(t)
	node.Decoder = heartbeatDecoder{}
	node.fleet.setView(serve.NewView(&shedkeel.ServingConfig{Services: []shedkeel.RoutedService{{ID: "s"}}}))
	node.fleet.applyChanges(heartbeats(t, servers, 1))
	return node
}

// TestHeartbeatsChangeNoTable checks that applyInstance does not ask for a new table of
// servers after a heartbeat, and that it does after a record that changes which servers may
// get requests. Thousands of heartbeats arrive per second in a large fleet.
func TestHeartbeatsChangeNoTable(t *testing.T) {
	const servers = 100
	node := newHeartbeatNode(t, servers)
	fleet := &node.fleet
	now := node.Timers.Now()
	for _, beat := range heartbeats(t, servers, 2) {
		assert.Assert(t, !fleet.applyInstance(beat, now), beat.Key)
	}
	assert.Equal(t, fleet.instances["servers/7"].Sequence, int64(2), "the heartbeat is applied")

	draining := heartbeats(t, 1, 3)[0] // of server 0; each further record has a later sequence number
	draining.Value = []byte(strings.Replace(string(draining.Value), `"Draining":false`, `"Draining":true`, 1))
	assert.Assert(t, fleet.applyInstance(draining, now), "a server that drains may get no new requests")
	fleet.markUnreadable("servers/1", now) // the record of this server has index 1 in the result of heartbeats
	assert.Assert(t, fleet.applyInstance(heartbeats(t, 2, 4)[1], now), "a server whose record can be read again may get requests")
	fleet.removeInstance("servers/2", 0, now) // in era 0
	assert.Assert(t, fleet.applyInstance(heartbeats(t, 3, 5)[2], now), "the server is listed again")
}

// BenchmarkHeartbeats applies about as many heartbeats as the 2,793 servers of a large fleet
// write in 0.25 s, if each server writes a heartbeat every 1.2 s.
func BenchmarkHeartbeats(b *testing.B) {
	const servers, heartbeatsPerRound = 2793, 580
	node := newHeartbeatNode(b, servers)
	for sequence := int64(2); b.Loop(); sequence++ {
		b.StopTimer()
		records := heartbeats(b, heartbeatsPerRound, sequence)
		b.StartTimer()
		node.fleet.applyChanges(records)
	}
}
