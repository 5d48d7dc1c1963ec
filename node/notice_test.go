package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/wire"
)

// TestSuspicionIsNoLoss shows that only the word of the node that plans keeps
// requests from a group: a suspicion of any node has its members probed.
func TestSuspicionIsNoLoss(t *testing.T) {
	cases := map[string]struct {
		avoid     time.Duration
		avoided   bool
		suspected bool
	}{
		"suspected by another node": {0, false, true},
		"lost, says the planner":    {time.Second, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			group := shedkeel.Assignment{Group: "m/d/1", Epoch: 3}
			node.table.Replace([]dispatch.Server{{Service: "llm", Model: "m", Instance: "i", Group: group}})

			notice := &wire.NoticeCall{Node: "other", Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(test.avoid.Milliseconds())}
			node.peers.takeNotice(notice)
			chosen := node.table.Choose(dispatch.Query{Service: "llm", Model: "m", Now: timers.Now()})
			assert.Equal(t, chosen == nil, test.avoided)
			assert.Equal(t, len(node.controller.suspects) == 1, test.suspected)
		})
	}
}
