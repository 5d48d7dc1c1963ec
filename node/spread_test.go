package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
)

func TestSpreader(t *testing.T) {
	cases := map[string]struct {
		own   shedkeel.NodeID
		nodes []nodeRecord
		mute  []shedkeel.NodeID
		part  int
		asked shedkeel.NodeID // its own name: it spreads itself; "": none
	}{
		"alone":                  {"a", fourNodes[:1], nil, 0, "a"},
		"of two":                 {"a", fourNodes[:2], nil, 0, "b"},
		"the third spreads":      {"d", fourNodes, nil, 0, "c"},
		"it is the third":        {"c", fourNodes, nil, 0, "c"},
		"the third is mute":      {"d", fourNodes, []shedkeel.NodeID{"c"}, 0, "b"},
		"the second takes over":  {"b", fourNodes, []shedkeel.NodeID{"c"}, 0, "b"},
		"another part":           {"a", fourNodes, nil, 1, "d"},
		"more parts than nodes":  {"a", fourNodes, nil, 2, "c"},
		"all that may, are mute": {"d", fourNodes, []shedkeel.NodeID{"a", "b", "c"}, 0, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newListedNode(t, test.own, test.nodes)
			for _, id := range test.mute {
				node.peers.known[id].mute.note(timers.Now())
			}
			peer, own := node.peers.spreader(test.part, timers.Now())
			asked := shedkeel.NodeID("")
			switch {
			case own:
				asked = test.own
			case peer != nil:
				asked = peer.id
			}
			assert.Equal(t, asked, test.asked)
		})
	}
}

// TestSpreadWithoutAnswer has the node that spreads requests take calls and
// never answer: a request waits for it once, and others not at all.
func TestSpreadWithoutAnswer(t *testing.T) {
	frozen := listenHere(t)
	defer func() { _ = frozen.Close() }()
	node, timers := newTestNode(t)
	node.Settings.Node = "b"
	node.peers.update([]nodeRecord{{ID: "a", Control: frozen.Addr().String()}, {ID: "b"}, {ID: "c", Control: frozen.Addr().String()}})
	defer node.peers.close()
	query := dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}
	began := time.Now()
	_, known := node.peers.spread(t.Context(), query, dispatch.Load{})
	assert.Assert(t, !known)
	assert.Assert(t, time.Since(began) < 50*spreadTimeout, "the request was held")

	// It spreads itself now, until the pause is over.
	node.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i"}})
	advice, known := node.peers.spread(t.Context(), query, dispatch.Load{Running: dispatch.Running{OnTime: 2}})
	assert.Assert(t, known)
	assert.DeepEqual(t, advice, dispatch.Advice{Head: "i", Running: dispatch.Running{OnTime: 2}})
	_, own := node.peers.spreader(0, timers.Now()+spreaderBackoff)
	assert.Assert(t, !own, "it is asked again after a while")
}

// TestSpreadIsAnswered asks over a real connection.
func TestSpreadIsAnswered(t *testing.T) {
	listener := listenHere(t)
	spreading, _ := newTestNode(t)
	spreading.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "busy"}, {Service: "s", Model: "m", Instance: "idle"}})
	stop := serveWire(t, listener, &spreading.peers)
	node, timers := newTestNode(t)
	node.Settings.Wire.Key = "k"
	node.Settings.Node = "a"
	node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: listener.Addr().String()}})
	load := dispatch.Load{Running: dispatch.Running{OnTime: 3, Late: 1}, Groups: map[shedkeel.InstanceID]int{"busy": 4}}
	advice, known := node.peers.spread(t.Context(), dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}, load)
	assert.Assert(t, known)
	assert.DeepEqual(t, advice, dispatch.Advice{Head: "idle", Running: dispatch.Running{OnTime: 3, Late: 1}})
	node.peers.close()
	stop()
}
