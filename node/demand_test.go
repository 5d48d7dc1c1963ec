package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/wire"
)

// TestDemandOfAllNodes checks that the demand is the sum over the requests that two nodes
// have spread, that is, assigned to groups (see peers.spreader): the leader, a, and the spreader,
// c. The leader also asks b, which is one of the first nodes and so replaces spreaders that do not
// answer (see peers.spreaders). In this test b does not answer the leader.
func TestDemandOfAllNodes(t *testing.T) {
	listener := listenHere(t)
	spreaderNode, _ := newTestNode(t)
	spreaderNode.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i"}})
	stop := serveWire(t, listener, &spreaderNode.peers)
	defer stop()
	leaderNode, timers := newTestNode(t)
	leaderNode.Settings.Wire.Key = "k" // the key of serveWire
	leaderNode.Settings.Node = "a"
	down := listenHere(t) // the address of b, at which nothing listens once it is closed
	assert.NilError(t, down.Close())
	leaderNode.peers.update([]nodeRecord{{ID: "a"}, {ID: "b", Control: down.Addr().String()}, {ID: "c", Control: listener.Addr().String()}})
	defer leaderNode.peers.close()
	spread := func(node *Node, model shedkeel.ModelID) {
		node.table.Recommend(dispatch.Query{Service: "s", Model: model, PromptTokens: 100, MaxAnswerTokens: 10, Now: timers.Now()}, dispatch.Reporter{Process: "x"}) // x: the node that asks for the recommendation
	}
	spread(spreaderNode, "m")
	spread(spreaderNode, "m")
	spread(spreaderNode, "n") // the model n has no group
	spread(leaderNode, "m")
	assert.DeepEqual(t, leaderNode.peers.demand("s"), map[shedkeel.ModelID]shedkeel.ModelDemand{
		"m": {Requests: 3, PromptTokens: 300, AnswerTokens: 30},
		"n": {Requests: 1, PromptTokens: 100, AnswerTokens: 10},
	})
	assert.Equal(t, len(leaderNode.peers.demand("other")), 0) // a service without requests
}

// TestDemandDecays checks that of a burst of 100 requests, fewer than 2 count after 20 s,
// which is four time constants of the decay.
func TestDemandDecays(t *testing.T) {
	call := &wire.DemandCall{Service: "s"}
	node, timers := newTestNode(t)
	for range 100 {
		node.table.Recommend(dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}, dispatch.Reporter{})
	}
	assert.Equal(t, node.peers.handleDemand(call).GetDemand().GetModels()[0].GetRequests(), 100.0)
	timers.Advance(4 * demandInterval * 5) // 20 s: four time constants of 5 s each (demandTimeConstant of package dispatch)
	assert.Assert(t, node.peers.handleDemand(call).GetDemand().GetModels()[0].GetRequests() < 2)
}
