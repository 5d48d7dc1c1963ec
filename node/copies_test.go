package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// fleetRecords returns the records of a fleet with the given numbers of servers and nodes, and a
// configuration with the given number of routes. All servers are members of groups.
func fleetRecords(servers, nodes, routes int) []shedkeel.Record {
	random := rand.New(rand.NewPCG(1, 2)) // the same records in each run
	var records []shedkeel.Record
	add := func(key string, value []byte) {
		records = append(records, shedkeel.Record{Key: key, Value: value, Revision: shedkeel.Revision{Number: int64(len(records) + 1)}})
	}
	for range servers {
		add(fmt.Sprintf("servers/i-%010x", random.Uint64()>>24), fmt.Appendf(nil, `{"service":"seny25a","address":"10.%d.64.%d:8580","zone":"ic-a","version":"v1","slots":22,"state":"ready",`+
			`"cold_remaining_ms":0,"seq":%d,"stage":"both","models":[{"name":"xada67d8ae","version":1,"adapters":[]}],"domain":"ic-a-d%d","staged":["jewu36007d"],`+
			`"group":{"name":"xada67d8ae/ic-a-d0/%d","epoch":%d,"rank":%d,"state":"ready"}}`,
			random.IntN(5), random.IntN(200), random.IntN(9), random.IntN(5), random.IntN(60), 1<<20+random.IntN(500), random.IntN(16)))
	}
	for index := range nodes {
		add(fmt.Sprint("nodes/", index), fmt.Appendf(nil, `{"id":"node-%d","incarnation":"%016x","zone":"ic-a","callers":"10.1.0.%d:8227","control":"10.1.0.%d:8229","capacity":0.192,"stopping":false}`, index, random.Uint64(), index, index))
	}
	config := []byte("[")
	for range routes {
		config = fmt.Appendf(config, `{"name":"r-%07x","host":"ficu95.example","path_prefix":"/%06x/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"huvo11a",`+
			`"max_attempts":2,"public":false,"sticky":true,"resume_streams":true,"gap_aim_ms":250},`, random.Uint32()>>4, random.Uint32()>>8)
	}
	add("routes", config)
	return records
}

// TestWholeCopyIsSmall transfers a complete copy of the records over a TCP connection to a
// node that has none. The copy must be so small that three boxes can each send it to a hundred
// other nodes in about half a second over links of 200 Mbit/s: at the test's limit of 160 kB, a
// hundred copies take 0.64 s. The copy must also take less than a fifth of the records' size.
func TestWholeCopyIsSmall(t *testing.T) {
	listener := listenHere(t)
	source, timers := newTestNode(t)
	stop := serveWire(t, listener, &source.peers)
	defer stop()
	records := fleetRecords(925, 295, 1520) // servers, nodes and routes
	own, _ := newTestNode(t)
	own.Settings.Wire.Key = "k" // the key of serveWire
	peer := own.peers.dial("source", listener.Addr().String())
	defer peer.close()
	known, err := peer.HasCopy(t.Context(), 0) // 0: without a wait
	assert.NilError(t, err)
	assert.Assert(t, !known, "the source reports a copy before it has one")
	time.AfterFunc(20*time.Millisecond, func() { // during the next call of HasCopy
		source.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 5000}, AsOf: timers.Now() - time.Second, Records: records})
	})
	known, err = peer.HasCopy(t.Context(), 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, known, "the wait for the copy ended without one")
	update, err := peer.Relay(t.Context(), shedkeel.Revision{}, 0) // the zero revision asks for a complete copy
	assert.NilError(t, err)
	assert.Equal(t, len(update.Records), len(records))
	assert.Assert(t, update.Full && update.At.Number == 5000 && update.AsOf < 0, "%v", update.AsOf) // AsOf is minus the age of the sender's copy
	own.mirror.Apply(update)
	for _, record := range records {
		assert.DeepEqual(t, own.mirror.Get(record.Key), record)
	}
	plainSize := 0
	for _, record := range records {
		plainSize += len(record.Key) + len(record.Value)
	}
	sentSize := proto.Size(source.peers.snapshots.Encode(source.mirror.UpdateSince(shedkeel.Revision{}), timers.Now()))
	t.Logf("%d bytes as records, %d as sent", plainSize, sentSize)
	assert.Assert(t, sentSize*5 < plainSize)
	assert.Assert(t, sentSize < 160_000)
}
