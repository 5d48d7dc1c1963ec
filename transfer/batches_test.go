package transfer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// heartbeats returns the differences that heartbeats of so many servers make.
func heartbeats(t testing.TB, count int) []*wire.StoreRecord {
	t.Helper()
	const value = `{"service":"s","address":"10.0.0.1:1","zone":"z","slots":26,"state":"ready","version":"v1","cold_remaining_ms":0,"seq":%d}`
	var told []*wire.StoreRecord
	for index := range count {
		key := fmt.Sprintf("servers/i-%08x", uint32(index)*2654435761) // as random as names are
		former := shedkeel.Record{Key: key, Value: fmt.Appendf(nil, value, 100+index%7), Revision: shedkeel.Revision{Number: int64(5000 + index)}}
		beat := shedkeel.Record{Key: key, Value: fmt.Appendf(nil, value, 101+index%7), Revision: shedkeel.Revision{Number: int64(9000 + index)}}
		difference := Differ(beat, former)
		assert.Assert(t, difference != nil)
		told = append(told, difference)
	}
	return told
}

// TestBatchesAreCompressedOnce has several processes ask for the same changes.
func TestBatchesAreCompressedOnce(t *testing.T) {
	at := func(number int64) shedkeel.Revision { return shedkeel.Revision{Number: number} }
	first := Batch{Since: at(1), At: at(9), Differences: true}
	cases := map[string]struct {
		asked   []Batch
		encoded int
	}{
		"the same":               {[]Batch{first, first, first}, 1},
		"since another revision": {[]Batch{first, {Since: at(2), At: at(9), Differences: true}, first}, 2},
		"up to another revision": {[]Batch{first, {Since: at(1), At: at(10), Differences: true}}, 2},
		"of another era":         {[]Batch{first, {Since: at(1), At: shedkeel.Revision{Era: 1, Number: 9}, Differences: true}}, 2},
		"without differences":    {[]Batch{first, {Since: at(1), At: at(9)}}, 2},
		"long ago":               {[]Batch{first, {At: at(2)}, {At: at(3)}, {At: at(4)}, {At: at(5)}, first}, 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			batches := &Batches{}
			encoded := 0
			for _, batch := range test.asked {
				reply := &wire.RelayReply{}
				batches.Tell(reply, batch, func() []*wire.StoreRecord {
					encoded++
					return []*wire.StoreRecord{{Key: fmt.Sprint(batch), Revision: 7}}
				})
				records, err := Records(reply)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 1)
				assert.Equal(t, records[0].GetKey(), fmt.Sprint(batch), "each is told what it asked for")
			}
			assert.Equal(t, encoded, test.encoded)
		})
	}
}

// TestBatchIsSmall has the heartbeats of a quarter of a second of a large fleet told
// together.
func TestBatchIsSmall(t *testing.T) {
	told := heartbeats(t, 580)
	plain := proto.Size(&wire.RelayReply{Records: told})
	reply := &wire.RelayReply{}
	(&Batches{}).Tell(reply, Batch{}, func() []*wire.StoreRecord { return told })
	t.Logf("%d bytes as they are, %d together", plain, proto.Size(reply))
	assert.Assert(t, proto.Size(reply)*10 <= plain*6, "%d bytes of %d", proto.Size(reply), plain)
}

func BenchmarkBatch(b *testing.B) {
	told := heartbeats(b, 580)
	for b.Loop() {
		reply := &wire.RelayReply{}
		(&Batches{}).Tell(reply, Batch{}, func() []*wire.StoreRecord { return told })
		_, err := Records(reply)
		assert.NilError(b, err)
	}
}
