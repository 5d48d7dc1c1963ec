package node

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// TestGrantersAgree checks that nodes which see the same nodes alive agree on the granter
// of a server, and that each node is the granter of some servers.
func TestGrantersAgree(t *testing.T) {
	counts := map[shedkeel.NodeID]int{}
	for range 40 { // about ten servers for each of the four nodes as the granter
		server := shedkeel.InstanceID(shedkeel.NewNonce())
		var agreed shedkeel.NodeID
		for _, record := range fourNodes {
			node, _ := newListedNode(t, record.ID, fourNodes)
			granter, known := node.peers.granter(server)
			assert.Assert(t, known)
			assert.Assert(t, agreed == "" || granter == agreed)
			agreed = granter
		}
		counts[agreed]++
	}
	assert.Equal(t, len(counts), len(fourNodes), "%v", counts)
}

// TestFractionOfLimitFollowsAliveNodes checks which fraction of the listed nodes a node sees
// alive, and when the set of alive nodes last changed. The node may grant that fraction of a
// limit: the other nodes may be alive on the other side of a network partition. Stopping nodes
// do not count.
func TestFractionOfLimitFollowsAliveNodes(t *testing.T) {
	node, timers := newListedNode(t, "a", fourNodes)
	fraction, settled := node.peers.aliveFraction()
	assert.Equal(t, fraction, 1.0)
	assert.Equal(t, settled, timers.Now())

	timers.Advance(time.Second)
	node.peers.setAlive(fourNodes)
	_, settled = node.peers.aliveFraction()
	assert.Equal(t, settled, timers.Now()-time.Second, "the time of the last change moved although the alive nodes are the same")
	node.peers.setAlive(fourNodes[:2])
	fraction, settled = node.peers.aliveFraction()
	assert.Equal(t, fraction, 0.5)
	assert.Equal(t, settled, timers.Now())

	node.peers.nodes = append([]nodeRecord{}, fourNodes...)
	node.peers.nodes[2].Stopping, node.peers.nodes[3].Stopping = true, true
	fraction, _ = node.peers.aliveFraction()
	assert.Equal(t, fraction, 1.0)
}

// newServerID returns the ID of a server. The server's granter is the given node if own is
// true, otherwise another node.
func newServerID(node *Node, own bool) string {
	for {
		server := shedkeel.InstanceID(shedkeel.NewNonce())
		if node.limits.isGranter(server) == own {
			return string(server)
		}
	}
}

// TestTakePermit checks the answers to calls for a permit that state the server's limit: the
// granter grants the permit, also if it knows that the limit was lifted, and a node that is not
// the granter refuses the permit. The granter ignores a limit that is no valid rate, and refuses
// the permit, since it knows no limit of the server then.
func TestTakePermit(t *testing.T) {
	cases := map[string]struct {
		own     bool    // the node grants the server's permits
		lifted  bool    // the node knows that the server no longer states a limit
		rate    float64 // the limit that the call states
		granted bool    // the permit is granted
	}{
		"the node is the granter":     {true, false, 50, true},
		"another node is the granter": {false, false, 50, false},
		"the limit was lifted":        {true, true, 50, true},
		"the limit is not a number":   {true, false, math.NaN(), false},
		"the limit is infinite":       {true, false, math.Inf(1), false},
		"the limit is negative":       {true, false, -1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newListedNode(t, "a", fourNodes)
			timers.Advance(time.Minute) // longer than handoverDelay of package ratelimit, in which a new granter grants nothing
			// The server stated the limit once, 100 ms ago.
			reported := &wire.ServerLimit{Server: newServerID(node, test.own), Rate: test.rate, AgeMs: 100, SinceMs: 100}
			ask := func() bool {
				call := &wire.PermitCall{Node: "b", Limit: reported, PatienceMs: 20} // the first permit at a rate of 50 becomes valid after 20 ms
				return node.limits.handlePermit(call).GetPermit().GetGranted()
			}
			if test.lifted {
				node.limits.merge(reported, "b")
				node.limits.merge(&wire.ServerLimit{Server: reported.GetServer(), Lifted: true}, "b") // of age 0, so newer than the reported limit
			}
			assert.Equal(t, ask(), test.granted)
		})
	}
}

// TestLimitsAreAnnounced checks which changed limits a node sends to other nodes: those that
// it saw in an answer itself, and those that another node reported, if it is the server's
// granter.
func TestLimitsAreAnnounced(t *testing.T) {
	node, _ := newListedNode(t, "a", fourNodes)
	own, other := newServerID(node, true), newServerID(node, false)
	// A limit without a server and a nil limit are ignored.
	node.limits.handleLimits(&wire.LimitCall{Node: "b", Limits: []*wire.ServerLimit{{Server: own, Rate: 2}, {Server: other, Rate: 2}, {Rate: 2}, nil}})
	assert.Equal(t, len(node.limits.pending), 1)
	assert.Assert(t, node.limits.pending[shedkeel.InstanceID(own)].Rate == 2)
	node.limits.Observe("seen", shedkeel.StatedLimit{Stated: true, Rate: 3}, 0) // 0: when the request was sent
	assert.Equal(t, len(node.limits.pending), 2)
	node.limits.handleLimits(&wire.LimitCall{Node: "c", Limits: []*wire.ServerLimit{{Server: own, Rate: 2}}})
	assert.Equal(t, len(node.limits.pending), 2, "a limit that was known already is sent again")
	assert.Equal(t, len(node.limits.known.All()), 3) // of own, other and "seen"
}

// TestNoPermitWithoutGranter checks that a node grants no permits in place of a granter
// that does not answer, and refuses them with a wait of permitRetryDelay.
func TestNoPermitWithoutGranter(t *testing.T) {
	node, timers := newListedNode(t, "a", fourNodes)
	server := shedkeel.InstanceID(newServerID(node, false)) // its granter is another node, which does not run
	// The request does not wait (0).
	assert.Assert(t, node.limits.Acquire(t.Context(), server, 0).Granted, "no permit for a server that states no limit")
	node.limits.Observe(server, shedkeel.StatedLimit{Stated: true, Rate: 2}, timers.Now())
	permit := node.limits.Acquire(t.Context(), server, time.Second) // the request can wait for a second
	assert.Equal(t, permit, shedkeel.Permit{Wait: permitRetryDelay})
}

// TestHalfOfTheFleetGrantsHalf checks that a node grants a server's full rate if it sees all
// nodes alive, and half of the rate if it sees half of them alive, give or take 2 permits in
// 10 s.
func TestHalfOfTheFleetGrantsHalf(t *testing.T) {
	cases := map[string]struct {
		alive []nodeRecord
		want  int // permits granted in 10 s at a limit of 10 a second
	}{
		"all":  {fourNodes, 100},
		"half": {fourNodes[:2], 50},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newListedNode(t, "a", fourNodes)
			server := newServerID(node, true)
			node.peers.setAlive(test.alive)
			timers.Advance(time.Minute) // longer than handoverDelay of package ratelimit, in which a new granter grants nothing
			node.limits.Observe(shedkeel.InstanceID(server), shedkeel.StatedLimit{Stated: true, Rate: 10}, timers.Now())
			granted := 0
			for range 1000 { // 10 s
				timers.Advance(10 * time.Millisecond)
				if node.limits.Acquire(t.Context(), shedkeel.InstanceID(server), 0).Granted { // 0: the request does not wait
					granted++
				}
			}
			assert.Assert(t, granted >= test.want-2 && granted <= test.want+2, "%d", granted)
		})
	}
}
