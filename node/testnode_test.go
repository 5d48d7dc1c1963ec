package node

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

// listDecoder takes the keys of records for the names of backend servers.
type listDecoder struct{ Decoder }

func (listDecoder) ConfigKey() string      { return "config" }
func (listDecoder) InstancePrefix() string { return "servers/" }
func (listDecoder) Instance(key string, _ []byte) (shedkeel.Instance, error) {
	return shedkeel.Instance{ID: shedkeel.InstanceID(key)}, nil
}

// newTestNode returns a node that does not run, on a clock that stands at one
// minute. None of its backend servers answers.
func newTestNode(t *testing.T) (*Node, *timer.Manual) {
	t.Helper()
	log, err := event.NewLog(io.Discard, "info")
	assert.NilError(t, err)
	timers := &timer.Manual{}
	node := &Node{Log: log, Timers: timers, Random: rand.NewPCG(1, 2), Decoder: listDecoder{}, Engines: &answering{}}
	node.Settings.Node = "node-1"
	node.Incarnation = "first"
	node.Prepare()
	timers.Advance(time.Minute)
	return node, timers
}
