package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/reach"
	"shedkeel.org/shedkeel/wire"
)

// simulatedRelay is a box in simulateRelays.
type simulatedRelay struct {
	cutOff   bool
	knownAt  time.Duration // when it last found out that it is cut off; 0: never
	relayed  int           // connections that it has opened for others
	latest   int           // the relay that last opened one for it; -1: none
	failedAt map[int]time.Duration
}

const (
	// simulatedRoundTrip is the time for a call to another box.
	simulatedRoundTrip = 3 * time.Millisecond
	// simulatedDials is how many connections each box that is cut off opens.
	simulatedDials = 50
	// simulatedInterval is the time between two of them at one box.
	simulatedInterval = 50 * time.Millisecond
)

// relayResults is what simulateRelays has counted.
type relayResults struct {
	opened  int // dials with a connection before a dial ends
	failed  int // the others
	asked   int // nodes asked, over all dials
	busiest int // connections that one node has opened
}

// relayWay is a way to choose the nodes to ask.
type relayWay struct {
	order func(nodes []int, latest int, failed func(int) bool) []int
	hints bool // a node that is cut off names the one that last opened a connection for it
}

// simulateRelays lets the boxes that are cut off open connections through others. A box that is cut off and idle finds out by the first dial that it makes for another.
func simulateRelays(boxes int, cutOff func(index int) bool, way relayWay) relayResults {
	relays := make([]simulatedRelay, boxes)
	for index := range relays {
		relays[index] = simulatedRelay{cutOff: cutOff(index), latest: -1, failedAt: map[int]time.Duration{}}
	}
	var results relayResults
	for round := range simulatedDials {
		for index := range relays {
			if relays[index].cutOff {
				now := time.Minute + time.Duration(round)*simulatedInterval + time.Duration(index)*simulatedInterval/time.Duration(boxes)
				results.dial(relays, index, now, way)
			}
		}
	}
	for index := range relays {
		results.busiest = max(results.busiest, relays[index].relayed)
	}
	return results
}

// dial simulates one dial of a box through others.
func (results *relayResults) dial(relays []simulatedRelay, index int, now time.Duration, way relayWay) {
	origin := &relays[index]
	var others []int
	for other := range relays {
		if other != index {
			others = append(others, other)
		}
	}
	failed := func(other int) bool {
		at, known := origin.failedAt[other]
		return known && now-at < relayBackoff
	}
	asked := now
	candidates := way.order(others, origin.latest, failed)
	for count := 0; count < maxRelaysAsked && len(candidates) > 0 && asked-now <= relayDialTimeout; count++ {
		other := candidates[0]
		candidates = candidates[1:]
		results.asked++
		relay := &relays[other]
		if !relay.cutOff {
			relay.relayed++
			origin.latest = other
			results.opened++
			return
		}
		if origin.latest == other {
			origin.latest = -1
		}
		if relay.knownAt != 0 && asked-relay.knownAt < isolationTime {
			asked += simulatedRoundTrip
			if way.hints && relay.latest >= 0 && relay.latest != index && !failed(relay.latest) {
				candidates = slices.Insert(candidates, 0, relay.latest)
			}
		} else {
			relay.knownAt = asked + relayDialTimeout + witnessDialTimeout
			asked += nextRelayDelay
		}
		origin.failedAt[other] = asked
	}
	results.failed++
}

// TestRelaysAreFoundAtAnySize checks that a box that is cut off finds another one that is not, within
// the time of a dial, at each size of the fleet and whichever part is cut off.
func TestRelaysAreFoundAtAnySize(t *testing.T) {
	parts := map[string]func(boxes, index int) bool{
		"a third":            func(boxes, index int) bool { return index < boxes/3 },
		"half":               func(boxes, index int) bool { return index < boxes/2 },
		"three of four":      func(_, index int) bool { return index%4 > 0 },
		"every one but four": func(_, index int) bool { return index >= 4 },
	}
	ways := map[string]relayWay{
		"kept":          {orderRelays[int], true},
		"without hints": {orderRelays[int], false},
		"at random": {func(nodes []int, _ int, _ func(int) bool) []int {
			rand.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
			return nodes[:min(len(nodes), maxRelaysAsked)]
		}, false},
		"in a fixed order": {func(nodes []int, _ int, failed func(int) bool) []int {
			slices.SortStableFunc(nodes, func(a, b int) int {
				return map[bool]int{true: 1}[failed(a)] - map[bool]int{true: 1}[failed(b)]
			})
			return nodes[:min(len(nodes), maxRelaysAsked)]
		}, false},
	}
	for _, boxes := range []int{9, 66, 300} {
		for part, cutOff := range parts {
			for name, way := range ways {
				t.Run(fmt.Sprint(boxes, " boxes, ", part, ", ", name), func(t *testing.T) {
					results := simulateRelays(boxes, func(index int) bool { return cutOff(boxes, index) }, way)
					dials := results.opened + results.failed
					t.Logf("%d dials, %d failed, %.2f nodes asked, %d connections at the busiest node", dials, results.failed, float64(results.asked)/float64(dials), results.busiest)
					if name == "kept" { // the others are compared only
						assert.Assert(t, results.failed*50 <= dials, "%d of %d dials failed", results.failed, dials)
					}
				})
			}
		}
	}
}

// TestHintedNodeIsAskedNext checks which node is asked next after a node that is cut off has named
// one.
func TestHintedNodeIsAskedNext(t *testing.T) {
	tests := map[string]struct {
		hint    string
		prepare func(*relayRequest, *peer) // the hinted node
		want    shedkeel.NodeID
	}{
		"a node among the candidates":   {"c", func(*relayRequest, *peer) {}, "c"},
		"a node that is no candidate":   {"d", func(*relayRequest, *peer) {}, "d"},
		"a node that was asked already": {"d", func(request *relayRequest, hinted *peer) { request.asked = append(request.asked, hinted) }, "b"},
		"a node that has just failed": {"d", func(_ *relayRequest, hinted *peer) {
			hinted.relayFailure.record(hinted.node.Timers.Now())
		}, "b"},
		"an unknown node": {"x", func(*relayRequest, *peer) {}, "b"},
		"none":            {"", func(*relayRequest, *peer) {}, "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			node, _ := newListedNode(t, "a", fourNodes)
			request := &relayRequest{connector: &node.connector, candidates: []*peer{node.peers.peer("b"), node.peers.peer("c")}}
			if hinted := node.peers.peer(shedkeel.NodeID(test.hint)); hinted != nil {
				test.prepare(request, hinted)
			}
			request.prefer(test.hint)
			assert.Equal(t, request.candidates[0].id, test.want)
			assert.Equal(t, len(slices.Compact(request.candidates)), len(request.candidates), "no node is asked twice")
		})
	}
}

// TestConnectIsDenied checks for which calls a node opens no connection for another one, without a
// dial.
func TestConnectIsDenied(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Node)
		want    wire.ConnectReply_Outcome
	}{
		"a server that is not listed": {func(node *Node) { node.fleet.instances = nil }, wire.ConnectReply_BUSY},
		"a node that stops":           {func(node *Node) { node.stopping.Store(true) }, wire.ConnectReply_BUSY},
		"too many are open":           {func(node *Node) { node.connector.relayed.Store(int64(node.gate.Ledger.Plan.Relays)) }, wire.ConnectReply_BUSY},
		"no dialer":                   {func(node *Node) { node.Dialer = nil }, wire.ConnectReply_BUSY},
		"a node that is cut off":      {func(node *Node) { node.connector.isolated.record(node.Timers.Now()) }, wire.ConnectReply_CUT_OFF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Dialer = &reach.Dialer{Timers: timers}
			node.fleet.instances = map[string]shedkeel.Instance{"a": {Address: "127.0.0.1:1"}}
			test.prepare(node)
			before := node.connector.relayed.Load()
			conn, reply := node.connector.Connect(t.Context(), &wire.ConnectCall{Address: "127.0.0.1:1", TimeoutMs: 100})
			assert.Assert(t, conn == nil)
			assert.Equal(t, reply.GetOutcome(), test.want)
			assert.Equal(t, node.connector.relayed.Load(), before, "a denied connection takes no place")
		})
	}
}
