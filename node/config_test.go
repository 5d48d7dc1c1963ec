package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/transfer"
)

// configRecord returns the record of a configuration with the version, as operators write it,
// at the revision of the key-value service that has the era and the number.
func configRecord(version, era, number int64) shedkeel.Record {
	value := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{}}`, version)
	return shedkeel.Record{Key: platform.ConfigKey, Value: value, Revision: shedkeel.Revision{Era: era, Number: number}}
}

// TestNodeThatStartsAfterARestore starts a node after the key-value service was restored from a
// snapshot with an older configuration. The node must get the newer one from another node, since
// with the older one it would accept API keys that were removed since. The other node no longer
// passes its configuration on once the key-value service has it.
func TestNodeThatStartsAfterARestore(t *testing.T) {
	cases := map[string]struct {
		// newNodeAsks says that the new node asks the old one for records. Otherwise the old node
		// asks the new one: the call states the old node's version, which makes the new node ask
		// for the configuration.
		newNodeAsks bool
	}{
		"the new node asks the old one": {true},
		"the old node asks the new one": {false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			nodes, peers := map[string]*Node{}, map[string]*peer{}
			// The old node has read version 7 in era 0. Then the key-value service is restored
			// with version 6, in era 1, which both nodes read.
			for _, id := range []string{"old", "new"} {
				node, timers := newTestNode(t)
				node.Decoder = platform.Decoder{}
				node.Settings.Node, node.Settings.Wire.Key = shedkeel.NodeID(id), "k" // the key of serveWire
				listener := listenHere(t)
				t.Cleanup(serveWire(t, listener, &node.peers))
				nodes[id] = node
				node.Settings.Listen.Control = listener.Addr().String()
				if id == "old" {
					node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 9}, AsOf: timers.Now(), Records: []shedkeel.Record{configRecord(7, 0, 9)}})
				}
				node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 5}, AsOf: timers.Now(), Records: []shedkeel.Record{configRecord(6, 1, 5)}})
			}
			for from, to := range map[string]string{"old": "new", "new": "old"} {
				record := nodeRecord{ID: shedkeel.NodeID(to), Control: nodes[to].Settings.Listen.Control}
				nodes[from].peers.update([]nodeRecord{record})
				peers[from] = nodes[from].peers.peer(record.ID)
				t.Cleanup(nodes[from].peers.close)
			}
			assert.Equal(t, nodes["new"].fleet.configVersion(), int64(6))
			from := "old"
			if test.newNodeAsks {
				from = "new"
			}
			_, err := peers[from].Relay(t.Context(), nodes[from].mirror.State().At, 0) // 0: without a wait for changes
			assert.NilError(t, err)
			// Wait until the configuration has arrived, for at most 5 s.
			for end := time.Now().Add(5 * time.Second); nodes["new"].fleet.configVersion() != 7 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, nodes["new"].fleet.configVersion(), int64(7))
			assert.Equal(t, nodes["old"].fleet.configVersion(), int64(7))
			assert.Assert(t, nodes["new"].fleet.newerConfig(6) != nil, "the new node does not pass the newer configuration on to nodes with version 6")

			rewritten := configRecord(7, 1, 8) // operators write version 7 again, in era 1
			nodes["old"].mirror.Apply(mirror.Update{At: rewritten.Revision, Records: []shedkeel.Record{rewritten}})
			assert.Assert(t, nodes["old"].fleet.newerConfig(6) == nil, "the key-value service has the newer configuration, but the old node passes it on")
		})
	}
}

// TestReceivedConfigurations checks that a configuration from another node becomes active
// only if it is valid and newer.
func TestReceivedConfigurations(t *testing.T) {
	pack := func(text string) []byte {
		packed, err := transfer.Deflate([]byte(text))
		assert.NilError(t, err)
		return packed
	}
	cases := map[string]struct {
		packed []byte
		want   int64 // version of the active configuration; it was 6 before
	}{
		"newer":          {pack(string(configRecord(8, 0, 0).Value)), 8},
		"the same":       {pack(string(configRecord(6, 0, 0).Value)), 6},
		"older":          {pack(string(configRecord(5, 0, 0).Value)), 6},
		"invalid JSON":   {pack("{"), 6},
		"not compressed": {[]byte("xyz"), 6},
		"empty":          {pack(""), 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			node.Decoder = platform.Decoder{}
			first := configRecord(6, 0, 3)
			node.mirror.Apply(mirror.Update{Full: true, At: first.Revision, Records: []shedkeel.Record{first}})
			node.fleet.receiveConfig(test.packed, "other")
			assert.Equal(t, node.fleet.configVersion(), test.want)
		})
	}
}

// slowDecoder calls decoding before it decodes a configuration.
type slowDecoder struct {
	Decoder
	decoding func()
}

func (decoder slowDecoder) Config(value []byte) (*shedkeel.ServingConfig, error) {
	decoder.decoding()
	return decoder.Decoder.Config(value)
}

// TestOldConfigHasNoNewProof reads the configuration while a newer one is decoded, which the copy of the records already
// has. The older one must not count as proven by that copy: a removed API key would be accepted again.
func TestOldConfigHasNoNewProof(t *testing.T) {
	node, timers := newTestNode(t)
	node.Decoder = platform.Decoder{}
	provenAt := timers.Now()
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: provenAt, Records: []shedkeel.Record{configRecord(1, 0, 1)}})
	timers.Advance(10 * time.Second)
	read := make(chan serve.ConfigState, 1)
	node.Decoder = slowDecoder{platform.Decoder{}, func() {
		go func() { read <- node.fleet.configState() }()
		time.Sleep(50 * time.Millisecond) // until the reader waits, or has read
	}}
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{configRecord(2, 0, 2)}})
	state := <-read
	if state.ProvenAt > provenAt {
		assert.Equal(t, state.View.Config.Version, int64(2), "the proof of version 2 counts for version 1")
	}
}

// TestNoRequestWaitsForDecoding guards against requests that wait while a large configuration is decoded, and against a
// configuration with the proof of another one, whichever is read first.
func TestNoRequestWaitsForDecoding(t *testing.T) {
	node, timers := newTestNode(t)
	node.Decoder = platform.Decoder{}
	provenAt := timers.Now()
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: provenAt, Records: []shedkeel.Record{configRecord(1, 0, 1)}})
	timers.Advance(time.Second)
	decoding, decoded := make(chan struct{}), make(chan struct{})
	node.Decoder = slowDecoder{platform.Decoder{}, func() { close(decoding); <-decoded }}
	var applied sync.WaitGroup
	applied.Go(func() {
		node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{configRecord(2, 0, 2)}})
	})
	<-decoding
	state := node.fleet.configState() // would wait for ever under the lock of the copy
	close(decoded)
	assert.Equal(t, state.View.Config.Version, int64(1))
	assert.Equal(t, state.ProvenAt, provenAt)
	applied.Wait()
	state = node.fleet.configState()
	assert.Equal(t, state.View.Config.Version, int64(2))
	assert.Equal(t, state.ProvenAt, timers.Now())
}
