package transfer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// heartbeatDeltas returns the differences that one heartbeat of each of count servers
// makes.
func heartbeatDeltas(t testing.TB, count int) []*wire.StoreRecord {
	t.Helper()
	const value = `{"service":"s","address":"10.0.0.1:1","zone":"z","slots":26,"state":"ready","version":"v1","cold_remaining_ms":0,"seq":%d}`
	var deltas []*wire.StoreRecord
	for index := range count {
		key := fmt.Sprintf("servers/i-%08x", uint32(index)*2654435761) // spread like real server names
		old := shedkeel.Record{Key: key, Value: fmt.Appendf(nil, value, 100+index%7), Revision: shedkeel.Revision{Number: int64(5000 + index)}}
		heartbeat := shedkeel.Record{Key: key, Value: fmt.Appendf(nil, value, 101+index%7), Revision: shedkeel.Revision{Number: int64(9000 + index)}}
		delta := EncodeDifference(heartbeat, old)
		assert.Assert(t, delta != nil)
		deltas = append(deltas, delta)
	}
	return deltas
}

// TestBatchesAreCompressedOnce checks that a batch which several processes request is
// encoded once while it is cached, and that other batches are encoded by themselves.
func TestBatchesAreCompressedOnce(t *testing.T) {
	at := func(number int64) shedkeel.Revision { return shedkeel.Revision{Number: number} }
	first := Batch{Since: at(1), At: at(9), Differences: true}
	cases := map[string]struct {
		requests  []Batch
		encodings int
	}{
		"the same batch":         {[]Batch{first, first, first}, 1},
		"since another revision": {[]Batch{first, {Since: at(2), At: at(9), Differences: true}, first}, 2},
		"up to another revision": {[]Batch{first, {Since: at(1), At: at(10), Differences: true}}, 2},
		"of another era":         {[]Batch{first, {Since: at(1), At: shedkeel.Revision{Era: 1, Number: 9}, Differences: true}}, 2},
		"without differences":    {[]Batch{first, {Since: at(1), At: at(9)}}, 2},
		"evicted from the cache": {[]Batch{first, {At: at(2)}, {At: at(3)}, {At: at(4)}, {At: at(5)}, first}, 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			batches := &BatchCache{}
			encoded := 0
			for _, batch := range test.requests {
				reply := &wire.RelayReply{}
				batches.Encode(reply, batch, func() []*wire.StoreRecord {
					encoded++
					return []*wire.StoreRecord{{Key: fmt.Sprint(batch), Revision: 7}}
				})
				records, err := DecodeRecords(reply)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 1)
				assert.Equal(t, records[0].GetKey(), fmt.Sprint(batch), "the reply holds another batch")
			}
			assert.Equal(t, encoded, test.encodings)
		})
	}
}

// TestBatchIsSmall checks that the heartbeats that a large fleet sends in a quarter of a
// second compress to at most 60% of their size.
func TestBatchIsSmall(t *testing.T) {
	deltas := heartbeatDeltas(t, 580)
	uncompressed := proto.Size(&wire.RelayReply{Records: deltas})
	reply := &wire.RelayReply{}
	(&BatchCache{}).Encode(reply, Batch{}, func() []*wire.StoreRecord { return deltas })
	t.Logf("%d bytes uncompressed, %d compressed together", uncompressed, proto.Size(reply))
	assert.Assert(t, proto.Size(reply)*10 <= uncompressed*6, "%d bytes of %d", proto.Size(reply), uncompressed)
}

func BenchmarkBatch(b *testing.B) {
	deltas := heartbeatDeltas(b, 580)
	for b.Loop() {
		reply := &wire.RelayReply{}
		(&BatchCache{}).Encode(reply, Batch{}, func() []*wire.StoreRecord { return deltas })
		_, err := DecodeRecords(reply)
		assert.NilError(b, err)
	}
}
