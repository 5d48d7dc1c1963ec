package shedkeel_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

func TestInstanceID(t *testing.T) {
	for name, test := range map[string]struct {
		server shedkeel.ServerID
		born   int64
		id     shedkeel.InstanceID
	}{
		"a server that tells of its start": {"i-1", 1764720000000, "i-1@1764720000000"},
		"one that does not":                {"i-1", 0, "i-1"},
		"a name with the mark in it":       {"i@rack-1", 0, "i@rack-1"},
		"both":                             {"i@rack-1", 7, "i@rack-1@7"},
		"a name that ends with the mark":   {"i@", 0, "i@"},
	} {
		t.Run(name, func(t *testing.T) {
			id := shedkeel.NewInstanceID(test.server, test.born)
			assert.Equal(t, id, test.id)
			assert.Equal(t, id.Server(), test.server)
			assert.Equal(t, id.Born(), test.born)
		})
	}
}

// TestInstancesSame changes each field of a record in turn, also ones that are added
// later: only the sequence makes no difference.
func TestInstancesSame(t *testing.T) {
	record := func() shedkeel.Instance {
		return shedkeel.Instance{
			ID: "a", Service: "s", Address: "h:1", Zone: "z", Slots: 2, ColdFor: time.Second, Sequence: 7, Domain: "d",
			Staged: []shedkeel.ModelID{"m"}, Models: []shedkeel.ModelID{"m"}, Member: &shedkeel.Membership{Group: "g", Epoch: 1, Rank: 1, State: shedkeel.MemberReady},
		}
	}
	known := record()
	same := record()
	assert.Assert(t, known.Same(&same))
	fields := reflect.TypeFor[shedkeel.Instance]()
	for index := range fields.NumField() {
		other := record()
		field := reflect.ValueOf(&other).Elem().Field(index)
		field.SetZero()
		if fields.Field(index).Name == "Draining" {
			field.SetBool(true)
		}
		assert.Equal(t, known.Same(&other), fields.Field(index).Name == "Sequence", fields.Field(index).Name)
		assert.Equal(t, other.Same(&known), fields.Field(index).Name == "Sequence", fields.Field(index).Name)
	}
	other := record()
	other.Member.Epoch++
	assert.Assert(t, !known.Same(&other))
}
