package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
)

// TestSpreader checks which node is the spreader that a node asks where to send a request. The
// order of fourNodes is a, b, c, d. One of the first two (see reservedNodes) is asked in
// place of a partition's spreader if there are no other nodes, or if a call to that spreader has
// failed within the last spreaderBackoff. The spreaders of other partitions do not replace it.
func TestSpreader(t *testing.T) {
	cases := map[string]struct {
		own       shedkeel.NodeID
		nodes     []nodeRecord
		failed    []shedkeel.NodeID // nodes that did not answer a call within the last spreaderBackoff
		partition int
		asked     shedkeel.NodeID // own ID: the node is the spreader itself; "": none
	}{
		"only node":                      {"a", fourNodes[:1], nil, 0, "a"},
		"two nodes":                      {"a", fourNodes[:2], nil, 0, "b"},
		"the third spreads":              {"d", fourNodes, nil, 0, "c"},
		"this node is the third":         {"c", fourNodes, nil, 0, "c"},
		"the third does not answer":      {"d", fourNodes, []shedkeel.NodeID{"c"}, 0, "b"},
		"the second takes over":          {"b", fourNodes, []shedkeel.NodeID{"c"}, 0, "b"},
		"another partition":              {"a", fourNodes, nil, 1, "d"},
		"more partitions than spreaders": {"a", fourNodes, nil, 2, "c"},
		"none of the candidates answers": {"d", fourNodes, []shedkeel.NodeID{"a", "b", "c"}, 0, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newListedNode(t, test.own, test.nodes)
			for _, id := range test.failed {
				node.peers.known[id].spreadFailure.record(timers.Now())
			}
			peer, own := node.peers.spreader(test.partition, timers.Now())
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

// TestSpreadWithoutAnswer has a spreader that accepts connections and never answers. One request
// waits for its answer, for spreadTimeout. The next request is spread by the asking node, which
// replaces the spreader until spreaderBackoff is over. The test allows 50 times spreadTimeout,
// since the machine may be busy.
func TestSpreadWithoutAnswer(t *testing.T) {
	unresponsive := listenHere(t)
	defer func() { _ = unresponsive.Close() }()
	node, timers := newTestNode(t)
	node.Settings.Node = "b"
	node.peers.update([]nodeRecord{{ID: "a", Control: unresponsive.Addr().String()}, {ID: "b"}, {ID: "c", Control: unresponsive.Addr().String()}})
	defer node.peers.close()
	query := dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}
	// The spreader is c; this node, b, replaces c if c does not answer.
	began := time.Now()
	_, known := node.peers.recommendGroup(t.Context(), query, dispatch.Load{})
	assert.Assert(t, !known)
	assert.Assert(t, time.Since(began) < 50*spreadTimeout, "the request waited too long")

	// The node spreads requests itself now, until spreaderBackoff is over.
	node.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i"}})
	recommendation, known := node.peers.recommendGroup(t.Context(), query, dispatch.Load{RunningRequests: dispatch.RunningRequests{OnTime: 2}})
	assert.Assert(t, known)
	assert.DeepEqual(t, recommendation, dispatch.Recommendation{Head: "i", Running: dispatch.RunningRequests{OnTime: 2}})
	_, own := node.peers.spreader(0, timers.Now()+spreaderBackoff) // 0: the only partition
	assert.Assert(t, !own, "the spreader that gave no answer is not asked again after spreaderBackoff")
}

// TestSpreadIsAnswered has node a ask the spreader, c, over a network connection. The spreader
// recommends the group on which the asking node has no requests running.
func TestSpreadIsAnswered(t *testing.T) {
	listener := listenHere(t)
	spreaderNode, _ := newTestNode(t)
	spreaderNode.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "busy"}, {Service: "s", Model: "m", Instance: "idle"}})
	stop := serveWire(t, listener, &spreaderNode.peers)
	node, timers := newTestNode(t)
	node.Settings.Wire.Key = "k" // the key of serveWire
	node.Settings.Node = "a"
	node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: listener.Addr().String()}})
	load := dispatch.Load{RunningRequests: dispatch.RunningRequests{OnTime: 3, Late: 1}, Groups: map[shedkeel.InstanceID]int{"busy": 4}}
	recommendation, known := node.peers.recommendGroup(t.Context(), dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}, load)
	assert.Assert(t, known)
	assert.DeepEqual(t, recommendation, dispatch.Recommendation{Head: "idle", Running: dispatch.RunningRequests{OnTime: 3, Late: 1}})
	node.peers.close()
	stop()
}
