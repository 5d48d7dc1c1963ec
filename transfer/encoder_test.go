package transfer

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

func TestEncode(t *testing.T) {
	var routes bytes.Buffer
	for index := range 1900 {
		fmt.Fprintf(&routes, `{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":8000}`, index, index%9, index)
	}
	cases := map[string]struct {
		record shedkeel.Record
		packed bool
	}{
		"small record":   {shedkeel.Record{Key: "a", Value: []byte("v"), Revision: shedkeel.Revision{Number: 3}}, false},
		"large record":   {shedkeel.Record{Key: "a", Value: routes.Bytes(), Revision: shedkeel.Revision{Number: 3}}, true},
		"deleted record": {shedkeel.Record{Key: "a", Revision: shedkeel.Revision{Number: 3}, Removed: true}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			encoder := &Encoder{}
			message := encoder.Encode(test.record)
			assert.Equal(t, message.GetPacked(), test.packed)
			if test.packed {
				assert.Assert(t, len(message.GetValue())*5 < len(test.record.Value), "%d bytes", len(message.GetValue()))
				assert.Assert(t, encoder.Encode(test.record) == message, "the same revision was compressed twice")
				newer := test.record
				newer.Revision.Number++
				assert.Equal(t, encoder.Encode(newer).GetRevision(), newer.Revision.Number)
			}
			record, err := Decode(message, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, record, test.record)
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	bomb, err := Deflate(make([]byte, MaxValueSize+1))
	assert.NilError(t, err)
	for name, value := range map[string][]byte{"not compressed data": []byte("xyz"), "exceeds the limit": bomb} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(&wire.StoreRecord{Key: "a", Value: value, Packed: true}, 0)
			assert.ErrorContains(t, err, "record a")
		})
	}
}
