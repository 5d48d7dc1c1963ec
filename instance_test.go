package shedkeel_test

import (
	"testing"

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
