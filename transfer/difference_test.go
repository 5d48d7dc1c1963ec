package transfer

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

func TestEncodeDifference(t *testing.T) {
	long := bytes.Repeat([]byte("server "), 20)
	cases := map[string]struct {
		base, value []byte
		encoded     bool
	}{
		"a number changes":   {append(long, "\"seq\":9,\"state\":\"ready\""...), append(long, "\"seq\":10,\"state\":\"ready\""...), true},
		"the same value":     {long, long, true},
		"the end is cut off": {long, long[:100], true},
		"more at the end":    {long, append(long, 'x'), true},
		"repeated letters":   {bytes.Repeat([]byte("a"), 50), bytes.Repeat([]byte("a"), 70), true},
		"nothing in common":  {long, []byte("other"), false},
		"empty base":         {nil, long, false},
		"empty value":        {long, nil, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			base := shedkeel.Record{Key: "k", Value: bytes.Clone(test.base), Revision: shedkeel.Revision{Number: 3}}
			record := shedkeel.Record{Key: "k", Value: bytes.Clone(test.value), Revision: shedkeel.Revision{Number: 8}}
			delta := EncodeDifference(record, base)
			assert.Equal(t, delta != nil, test.encoded)
			if delta == nil {
				return
			}
			restored, err := ApplyDifference(delta, 0, base)
			assert.NilError(t, err)
			assert.DeepEqual(t, restored, record)
			base.Revision.Number = 4
			_, err = ApplyDifference(delta, 0, base)
			assert.Assert(t, errors.Is(err, ErrBaseMismatch))
		})
	}
}

// TestEncodeDifferenceRandom checks on random values of two letters, which have much in common, that
// a difference restores the record.
func TestEncodeDifferenceRandom(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 9))
	for range 10_000 {
		value := func() []byte {
			text := make([]byte, random.IntN(80))
			for index := range text {
				text[index] = byte('a' + random.IntN(2))
			}
			return append(bytes.Repeat([]byte("a"), random.IntN(60)), text...)
		}
		base, record := shedkeel.Record{Value: value(), Revision: shedkeel.Revision{Number: 1}}, shedkeel.Record{Value: value(), Revision: shedkeel.Revision{Number: 2}}
		delta := EncodeDifference(record, base)
		if delta == nil {
			continue
		}
		restored, err := ApplyDifference(delta, 0, base)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(restored.Value, record.Value), "%q from %q", restored.Value, base.Value)
	}
}

// TestApplyDifferenceRefuses applies a difference whose prefix and suffix are longer than
// the base value.
func TestApplyDifferenceRefuses(t *testing.T) {
	_, err := ApplyDifference(&wire.StoreRecord{Base: 1, Prefix: 4, Suffix: 4}, 0, shedkeel.Record{Value: []byte("short"), Revision: shedkeel.Revision{Number: 1}})
	assert.Assert(t, errors.Is(err, ErrBaseMismatch))
}

// TestHeartbeatIsSmall compares the size of a server's heartbeat as a full record with
// its size as a difference.
func TestHeartbeatIsSmall(t *testing.T) {
	value := func(seq int) []byte {
		return fmt.Appendf(nil, `{"service":"seny25a","address":"10.3.64.51:8580","zone":"ic-a","version":"v1","slots":26,"state":"ready","cold_remaining_ms":0,"seq":%d,`+
			`"stage":"both","models":[{"name":"xada67d8ae","version":1,"adapters":[]}],"domain":"ic-a-d0","staged":["jewu36007d"],`+
			`"group":{"name":"xada67d8ae/ic-a-d0/6","epoch":1048604,"rank":1,"state":"ready"}}`, seq)
	}
	old := shedkeel.Record{Key: "servers/i-015bfff921", Value: value(41), Revision: shedkeel.Revision{Number: 1200}}
	record := shedkeel.Record{Key: "servers/i-015bfff921", Value: value(42), Revision: shedkeel.Revision{Number: 1251}}
	full := proto.Size((&Encoder{}).Encode(record))
	delta := proto.Size(EncodeDifference(record, old))
	t.Logf("%d bytes as a full record, %d as a difference", full, delta)
	assert.Assert(t, delta*8 < full)
}
