package node

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestRelayByDifferences makes a node follow another node, the source, over a real
// connection. The node must get the same records as the source has, even if the two nodes
// have different former values of a record. The difference for a server's heartbeat must be
// small.
func TestRelayByDifferences(t *testing.T) {
	listener := listenHere(t)
	source, timers := newTestNode(t)
	stop := serveWire(t, listener, &source.peers)
	defer stop()
	own, _ := newTestNode(t)
	own.Settings.Wire.Key = "k" // the key of serveWire
	peer := own.peers.dial("source", listener.Addr().String())
	defer peer.close()
	write := func(to *Node, number int64, full bool) { // number becomes the revision and part of the value; full: the update is a complete copy
		value := fmt.Appendf(nil, "%s\"seq\":%d}", bytes.Repeat([]byte("server "), 60), number)
		revision := shedkeel.Revision{Number: number}
		to.mirror.Apply(mirror.Update{Full: full, At: revision, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Value: value, Revision: revision}}})
	}
	follow := func() {
		update, err := peer.Relay(t.Context(), own.mirror.State().At, 0) // without a wait
		assert.NilError(t, err)
		own.mirror.Apply(update)
		assert.DeepEqual(t, own.mirror.Get("servers/a"), source.mirror.Get("servers/a"))
	}
	write(source, 1, true)
	follow()
	write(source, 2, false)
	follow()
	since := shedkeel.Revision{Number: 2}
	write(source, 9, false)
	sent := source.peers.encodeRecord(source.mirror.Get("servers/a"), since, true)
	// The base is the value of revision 2, from which only the number differs. The difference
	// is therefore shorter than 4 bytes, whereas the value has more than 400.
	assert.Assert(t, sent.GetBase() == 2 && len(sent.GetValue()) < 4, "%v", sent)
	write(own, 5, false) // the former value of the two nodes now differs: the key-value service has sent this node a value that the source never had
	follow()
	assert.Equal(t, source.peers.encodeRecord(source.mirror.Get("servers/a"), since, false).GetBase(), int64(0), "without differences the complete record is sent")
}
