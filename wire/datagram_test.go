package wire

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestGossip checks that a message survives encoding and that forged datagrams are
// rejected.
func TestGossip(t *testing.T) {
	message := shedkeel.GossipMessage{
		Kind: shedkeel.GossipIndirectPing, Sequence: 7, From: "a", Incarnation: 3, Target: "b",
		Updates: []shedkeel.GossipUpdate{{Node: shedkeel.HashNode("c"), Liveness: shedkeel.Left, Incarnation: 9, Age: 1500 * time.Millisecond}, {Node: 1}},
	}
	sealed, err := SealGossip("k", message)
	assert.NilError(t, err)
	opened, err := OpenGossip("k", sealed)
	assert.NilError(t, err)
	assert.DeepEqual(t, opened, message)

	forged := map[string]struct {
		key  string
		text []byte
	}{
		"another key":   {"l", sealed},
		"a changed bit": {"k", append([]byte{sealed[0] ^ 1}, sealed[1:]...)},
		"truncated":     {"k", sealed[:len(sealed)-1]},
		"empty":         {"k", nil},
	}
	for name, test := range forged {
		t.Run(name, func(t *testing.T) {
			_, err := OpenGossip(test.key, test.text)
			assert.Assert(t, errors.Is(err, ErrForgedDatagram))
		})
	}
	for name, update := range map[string]shedkeel.GossipUpdate{"an unknown liveness": {Node: 1, Liveness: 99}} {
		t.Run(name, func(t *testing.T) {
			sealed, err := SealGossip("k", shedkeel.GossipMessage{Kind: shedkeel.GossipPing, From: "a", Updates: []shedkeel.GossipUpdate{update}})
			assert.NilError(t, err)
			opened, err := OpenGossip("k", sealed)
			assert.NilError(t, err)
			assert.Equal(t, opened.Updates[0].Liveness.String(), "unknown")
		})
	}
}

// FuzzGossip checks that OpenGossip, given any text with a valid tag, returns an error or
// a message that can be encoded again.
func FuzzGossip(f *testing.F) {
	sealed, err := SealGossip("k", shedkeel.GossipMessage{Kind: shedkeel.GossipAck, From: "a", Updates: []shedkeel.GossipUpdate{{Node: 1, Age: time.Second}}})
	assert.NilError(f, err)
	f.Add(sealed[:len(sealed)-tagBytes])
	f.Fuzz(func(t *testing.T, text []byte) {
		message, err := OpenGossip("k", append(text, computeTag("k", text)...))
		if err == nil {
			_, err = SealGossip("k", message)
			assert.NilError(t, err)
		}
	})
}
