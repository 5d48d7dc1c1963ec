package shedkeel_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestInstanceID checks the ID that is made from a server's name and the time at which its
// instance started, and that the ID splits into these two again, also if the name contains
// the separator.
func TestInstanceID(t *testing.T) {
	for name, test := range map[string]struct {
		server shedkeel.ServerID
		born   int64 // Unix milliseconds; 0: not reported
		id     shedkeel.InstanceID
	}{
		"time reported":                           {"i-1", 1764720000000, "i-1@1764720000000"},
		"time not reported":                       {"i-1", 0, "i-1"},
		"separator in the name":                   {"i@rack-1", 0, "i@rack-1"},
		"separator in the name and time reported": {"i@rack-1", 7, "i@rack-1@7"},
		"separator at the end of the name":        {"i@", 0, "i@"},
	} {
		t.Run(name, func(t *testing.T) {
			id := shedkeel.NewInstanceID(test.server, test.born)
			assert.Equal(t, id, test.id)
			assert.Equal(t, id.Server(), test.server)
			assert.Equal(t, id.Born(), test.born)
		})
	}
}

// TestEqualExceptSequence changes each field of a record in turn, and the Epoch in
// Member, and checks that EqualExceptSequence notices every change except that of
// Sequence. It finds the fields by reflection, to cover fields that are added later.
func TestEqualExceptSequence(t *testing.T) {
	record := func() shedkeel.Instance {
		return shedkeel.Instance{
			ID: "a", Service: "s", Address: "h:1", Zone: "z", Slots: 2, ColdFor: time.Second, Sequence: 7, Domain: "d",
			Staged: []shedkeel.ModelID{"m"}, Models: []shedkeel.ModelID{"m"}, Member: &shedkeel.Membership{Group: "g", Epoch: 1, Rank: 1, State: shedkeel.MemberReady},
		}
	}
	known := record()
	same := record()
	assert.Assert(t, known.EqualExceptSequence(&same))
	fields := reflect.TypeFor[shedkeel.Instance]()
	for index := range fields.NumField() {
		other := record()
		field := reflect.ValueOf(&other).Elem().Field(index)
		field.SetZero()
		if fields.Field(index).Name == "Draining" { // false in the record
			field.SetBool(true)
		}
		assert.Equal(t, known.EqualExceptSequence(&other), fields.Field(index).Name == "Sequence", "changed field: %s", fields.Field(index).Name)
		assert.Equal(t, other.EqualExceptSequence(&known), fields.Field(index).Name == "Sequence", "changed field: %s", fields.Field(index).Name)
	}
	other := record()
	other.Member.Epoch++
	assert.Assert(t, !known.EqualExceptSequence(&other), "another Epoch in Member must count as a difference")
}
