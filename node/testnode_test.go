package node

import (
	"bytes"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

// keyDecoder uses a record's key as the ID of the backend server. The configuration has the
// key "config", and a record under "evacuated/" and a zone requests the zone's evacuation.
type keyDecoder struct{ Decoder }

func (keyDecoder) ConfigKey() string      { return "config" }
func (keyDecoder) InstancePrefix() string { return "servers/" }
func (keyDecoder) EvacuatedZone(key string) (shedkeel.ZoneID, bool) {
	zone, found := strings.CutPrefix(key, "evacuated/")
	return shedkeel.ZoneID(zone), found
}
func (keyDecoder) Instance(key string, _ []byte) (shedkeel.Instance, error) {
	return shedkeel.Instance{ID: shedkeel.InstanceID(key)}, nil
}

// newTestNode returns the node "node-1", which does not run, and its manual clock, which shows
// one minute. None of the node's backend servers answers.
func newTestNode(t testing.TB) (*Node, *timer.Manual) {
	t.Helper()
	log, err := event.NewLog(io.Discard, "info")
	assert.NilError(t, err)
	timers := &timer.Manual{}
	node := &Node{Log: log, Timers: timers, Random: rand.NewPCG(1, 2), Decoder: keyDecoder{}, Engines: &fakeEngines{}}
	node.Settings.Node = "node-1"
	node.Incarnation = "first"
	node.Prepare()
	timers.Advance(time.Minute)
	return node, timers
}

// newTestLeader returns a test node that leads, its clock, its planner of the service "s", whose next
// epoch is 9, and the lines that it logs.
func newTestLeader(t *testing.T) (*Node, *timer.Manual, *formation.Planner, *bytes.Buffer) {
	t.Helper()
	node, timers := newTestNode(t)
	lines := &bytes.Buffer{}
	node.Log = &event.Log{Logger: slog.New(slog.NewJSONHandler(lines, nil))}
	planner := &formation.Planner{NextEpoch: func() uint64 { return 9 }}
	node.controller.leads = true
	node.controller.planners["s"] = planner
	return node, timers, planner, lines
}

// newListedNode returns a test node with the ID own that knows the listed nodes. If one of
// their records has this ID, the node has the capacity that this record states.
func newListedNode(t *testing.T, own shedkeel.NodeID, listed []nodeRecord) (*Node, *timer.Manual) {
	t.Helper()
	node, timers := newTestNode(t)
	node.Settings.Node = own
	node.gossip.prepare(rand.NewPCG(3, 4))
	for _, record := range listed {
		if record.ID == own {
			node.Settings.Capacity = record.Capacity
		}
	}
	node.peers.update(listed)
	return node, timers
}

// listenHere returns a listener on a free port of the loopback interface.
func listenHere(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// serveWire answers other nodes' calls at the listener until stop is called. The calls must be
// authenticated with the key "k".
func serveWire(t *testing.T, listener net.Listener, handler wire.Handler) (stop func()) {
	t.Helper()
	server := &wire.Server{Key: "k", Handler: handler}
	ended := make(chan struct{})
	go func() {
		_ = server.Run(listener)
		close(ended)
	}()
	return func() {
		_ = listener.Close()
		<-ended
	}
}

// fourNodes are the records of four nodes in the order of compareNodes, so "b" is the first
// source and "a" the second (see sourceIndexes).
var fourNodes = []nodeRecord{{ID: "a", Capacity: 0.8}, {ID: "b", Capacity: 0.8}, {ID: "c", Capacity: 0.2}, {ID: "d", Capacity: 0.2}}
