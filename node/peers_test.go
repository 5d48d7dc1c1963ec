package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestChoose checks which node a node follows, given its position in the order of nodes and
// which nodes have failed. In the cases in which the node follows another node, it must follow
// the first source, "b", once followBackoff has passed.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		own          shedkeel.NodeID
		nodes        []nodeRecord      // listed nodes
		failed       []shedkeel.NodeID // nodes that peer.Relay found unfit to follow just now
		wantFollowed string            // ID of the followed node; "": the key-value service
	}{
		"the only listed node":                                           {"a", fourNodes[:1], nil, ""},
		"not listed yet, and no other node is":                           {"a", nil, nil, ""},
		"not listed yet, three others are":                               {"d", fourNodes[:3], nil, "b"},
		"the second follows the key-value service":                       {"b", fourNodes, nil, ""},
		"the first follows the second":                                   {"a", fourNodes, nil, "b"},
		"the third follows the second":                                   {"c", fourNodes, nil, "b"},
		"the second has failed: the third follows the first":             {"c", fourNodes, []shedkeel.NodeID{"b"}, "a"},
		"the second has failed: the first follows the key-value service": {"a", fourNodes, []shedkeel.NodeID{"b"}, ""},
		"both sources have failed: the first source is followed":         {"d", fourNodes, []shedkeel.NodeID{"a", "b"}, "b"},
		"a node that is no source has failed":                            {"d", fourNodes, []shedkeel.NodeID{"c"}, "b"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newListedNode(t, test.own, test.nodes)
			for _, id := range test.failed {
				node.peers.known[id].followFailure.record(timers.Now())
			}
			followed := ""
			if peer := node.peers.choose(); peer != nil {
				followed = peer.Name()
			}
			assert.Equal(t, followed, test.wantFollowed)

			timers.Advance(followBackoff)
			if peer := node.peers.choose(); peer != nil && test.wantFollowed != "" {
				assert.Equal(t, peer.Name(), "b", "a failed node is followed again after the backoff")
			}
		})
	}
}
