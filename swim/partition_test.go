package swim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/swim"
)

// TestPartitions blocks links for a while. A node that is cut off must declare no other
// dead, and the others may declare only that node dead. Where the fleet is split into two
// large parts, each part may declare nodes of the other dead. Soon after the links are
// restored no node may count as dead.
func TestPartitions(t *testing.T) {
	for _, size := range []int{9, 66, 300} {
		oneNode := func(from, to *node) bool { return from.id == "node-0" || to.id == "node-0" }
		halves := func(from, to *node) bool { return (shedkeel.HashNode(from.id)^shedkeel.HashNode(to.id))&1 == 1 }
		cases := map[string]struct {
			blocked       func(from, to *node) bool
			otherDead     bool          // others declare node-0 dead
			mutuallyDead  bool          // others declare each other dead
			recoveryLimit time.Duration // how long after the links are restored nodes may still count as dead
		}{
			"one node, both directions": {oneNode, true, false, time.Second},
			"one node, outgoing only":   {func(from, _ *node) bool { return from.id == "node-0" }, true, false, time.Second},
			"a third from the rest": {func(from, to *node) bool {
				return (shedkeel.HashNode(from.id)%3 == 0) != (shedkeel.HashNode(to.id)%3 == 0)
			}, true, true, 4 * time.Second},
			"one half from the other": {halves, true, true, 4 * time.Second},
		}
		for name, test := range cases {
			t.Run(fmt.Sprint(size, " nodes, ", name), func(t *testing.T) {
				for seed := range seedCount(size) {
					fleet := newSettledFleet(t, seed, size)
					fleet.blocked = test.blocked
					fleet.run(6 * time.Second)
					if !test.mutuallyDead {
						cutOff := fleet.byName["node-0"]
						assert.Equal(t, fleet.countViews([]*node{cutOff}, shedkeel.Dead), size-1, "seed %d", seed)
						suspected := 0
						for _, seen := range fleet.nodes[1:] {
							if cutOff.detector.Liveness(seen.id) == shedkeel.Suspected {
								suspected++
							}
						}
						assert.Assert(t, suspected <= 8, "seed %d: the node that is cut off suspects %d others", seed, suspected)
						for _, viewer := range fleet.nodes[1:] {
							for _, seen := range fleet.nodes[1:] {
								assert.Assert(t, viewer.detector.Liveness(seen.id) != shedkeel.Dead, "seed %d", seed)
							}
						}
					}
					fleet.blocked = nil
					recovery := fleet.runUntil(20*time.Second, func() bool { return fleet.countViews(fleet.nodes, shedkeel.Dead) == 0 })
					assert.Assert(t, recovery <= test.recoveryLimit, "seed %d: recovered after %s", seed, recovery)
					fleet.run(4 * time.Second)
					assert.Equal(t, fleet.countViews(fleet.nodes, shedkeel.Dead), 0, "seed %d: declared dead after the links were back", seed)
				}
			})
		}
	}
}

// TestIsolated has all nodes but one fail. The remaining node receives no datagram and must
// take itself for cut off and declare nobody dead, unless the service responds to it: then
// it must declare the other nodes dead.
func TestIsolated(t *testing.T) {
	for name, connected := range map[string]bool{"nothing responds": false, "the service responds": true} {
		t.Run(name, func(t *testing.T) {
			fleet := newSettledFleet(t, 1, 9)
			survivor := fleet.nodes[0]
			for _, node := range fleet.nodes[1:] {
				node.dead = true
			}
			fleet.runUntil(6*time.Second, func() bool {
				if connected {
					survivor.detector.NoteContact(fleet.now)
				}
				return false
			})
			assert.Equal(t, survivor.detector.Isolated(fleet.now), !connected)
			expected := 0
			if connected {
				expected = 8
			}
			assert.Equal(t, fleet.countViews(fleet.nodes[1:], shedkeel.Dead), expected)
		})
	}
}

// TestLeaving has two nodes announce that they stop, and later start again under their names
// without any state. All other nodes must list them as left, and later as alive, within
// 1.5 s.
func TestLeaving(t *testing.T) {
	for _, size := range []int{9, 66, 300} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			for seed := range seedCount(size) {
				fleet := newSettledFleet(t, seed, size)
				leaving := fleet.pick(2)
				for _, node := range leaving {
					fleet.send(node, node.detector.Leave(fleet.now))
				}
				expectedViews := 2 * (size - 2)
				allSee := func(liveness shedkeel.Liveness) func() bool {
					return func() bool {
						count := 0
						for _, node := range fleet.nodes {
							for _, left := range leaving {
								if node != leaving[0] && node != leaving[1] && node.detector.Liveness(left.id) == liveness {
									count++
								}
							}
						}
						return count == expectedViews
					}
				}
				detection := fleet.runUntil(10*time.Second, allSee(shedkeel.Left))
				assert.Assert(t, detection <= 1500*time.Millisecond, "seed %d: known to all after %s", seed, detection)
				fleet.run(2 * time.Second)
				assert.Assert(t, allSee(shedkeel.Left)(), "seed %d: a node that has left and still answers no longer counts as left", seed)
				names := []shedkeel.NodeID{}
				for _, node := range fleet.nodes {
					names = append(names, node.id)
				}
				for _, node := range leaving {
					detector := &swim.Detector{Self: node.id, Random: fleet.random}
					detector.SetPeers(names)
					node.detector = detector
				}
				recovery := fleet.runUntil(10*time.Second, allSee(shedkeel.Alive))
				assert.Assert(t, recovery <= 1500*time.Millisecond, "seed %d: recovered after %s", seed, recovery)
			}
		})
	}
}
