package node

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/wire"
)

func TestSpreader(t *testing.T) {
	order := []nodeRecord{{ID: "a", Capacity: 0.8}, {ID: "b", Capacity: 0.8}, {ID: "c", Capacity: 0.2}, {ID: "d", Capacity: 0.2}}
	cases := map[string]struct {
		own   shedkeel.NodeID
		nodes []nodeRecord
		mute  []shedkeel.NodeID
		asked shedkeel.NodeID // its own name: it spreads itself; "": none
	}{
		"alone":                  {"a", order[:1], nil, "a"},
		"of two":                 {"a", order[:2], nil, "b"},
		"the third spreads":      {"d", order, nil, "c"},
		"it is the third":        {"c", order, nil, "c"},
		"the third is mute":      {"d", order, []shedkeel.NodeID{"c"}, "b"},
		"the second takes over":  {"b", order, []shedkeel.NodeID{"c"}, "b"},
		"all that may, are mute": {"d", order, []shedkeel.NodeID{"a", "b", "c"}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Settings.Node = test.own
			for _, record := range order {
				if record.ID == test.own {
					node.Settings.Capacity = record.Capacity
				}
			}
			node.peers.update(test.nodes)
			for _, id := range test.mute {
				node.peers.known[id].mute.note(timers.Now())
			}
			peer, own := node.peers.spreader(timers.Now())
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
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = frozen.Close() }()
	node, timers := newTestNode(t)
	node.Settings.Node = "b"
	node.peers.update([]nodeRecord{{ID: "a", Control: frozen.Addr().String()}, {ID: "b"}, {ID: "c", Control: frozen.Addr().String()}})
	defer node.peers.close()
	query := dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}
	began := time.Now()
	assert.Equal(t, node.peers.spread(t.Context(), query), shedkeel.InstanceID(""))
	assert.Assert(t, time.Since(began) < 50*spreadTimeout, "the request was held")

	// It spreads itself now, until the pause is over.
	node.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i"}})
	assert.Equal(t, node.peers.spread(t.Context(), query), shedkeel.InstanceID("i"))
	_, own := node.peers.spreader(timers.Now() + spreadPause)
	assert.Assert(t, !own, "it is asked again after a while")
}

// TestSpreadIsAnswered asks over a real connection.
func TestSpreadIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	spreading, _ := newTestNode(t)
	spreading.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "head"}})
	server := &wire.Server{Key: "k", Handler: &spreading.peers}
	ended := make(chan struct{})
	go func() {
		_ = server.Run(listener)
		close(ended)
	}()
	node, timers := newTestNode(t)
	node.Settings.Wire.Key = "k"
	node.Settings.Node = "a"
	node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: listener.Addr().String()}})
	assert.Equal(t, node.peers.spread(t.Context(), dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}), shedkeel.InstanceID("head"))
	node.peers.close()
	_ = listener.Close()
	<-ended
}
