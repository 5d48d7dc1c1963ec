package node

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// fakeDetector is a failure detector with fixed results. Nodes without an entry in liveness
// are alive.
type fakeDetector struct {
	shedkeel.FailureDetector
	liveness map[shedkeel.NodeID]shedkeel.Liveness
	isolated bool
}

func (detector *fakeDetector) SetPeers([]shedkeel.NodeID)  {}
func (detector *fakeDetector) Isolated(time.Duration) bool { return detector.isolated }
func (detector *fakeDetector) Liveness(id shedkeel.NodeID) shedkeel.Liveness {
	return detector.liveness[id]
}
func (detector *fakeDetector) Tick(time.Duration) []shedkeel.GossipDatagram { return nil }

// TestRemovalTurns checks that the live nodes all have different ranks for the removal of a
// dead node's record, so that they attempt the removal one after the other.
func TestRemovalTurns(t *testing.T) {
	for name, nodes := range map[string][]nodeRecord{"9 boxes": fleetOf(9, 3), "300 boxes": fleetOf(300, 3), "300 boxes of one size": fleetOf(300, 0)} {
		t.Run(name, func(t *testing.T) {
			for _, dead := range []int{0, 1, len(nodes) / 2, len(nodes) - 1} { // both sources, a node in the middle, and the last node
				deadID := nodes[dead].ID
				nodesByRank := map[int]int{}
				for index, record := range nodes {
					if index == dead {
						continue
					}
					node, _ := newListedNode(t, record.ID, nodes)
					live := slices.DeleteFunc(slices.Clone(nodes), func(record nodeRecord) bool { return record.ID == deadID })
					nodesByRank[node.remover.removalRank(live, deadID)]++
				}
				for rank := range len(nodes) - 1 {
					assert.Equal(t, nodesByRank[rank], 1, "nodes with rank %d for the removal of %s", rank, deadID)
				}
			}
		})
	}
}

// TestRemoverRemovesDeadNodes checks which records a node removes: those records of dead nodes that have no
// lease, even if all other nodes are dead. It must remove each of these records once. A node
// that is cut off, or whose copy is older than outageAge, must remove none.
func TestRemoverRemovesDeadNodes(t *testing.T) {
	cases := map[string]struct {
		liveness    shedkeel.Liveness
		count       int           // how many of the five other nodes have this liveness
		watched     bool          // the records have no lease
		isolated    bool          // this node is cut off
		age         time.Duration // of the mirror's copy
		wantRemoved int           // number of records removed once this node has had every possible turn
	}{
		"all are alive":                    {shedkeel.Alive, 5, true, false, 0, 0},
		"one is suspected":                 {shedkeel.Suspected, 1, true, false, 0, 0},
		"one has left":                     {shedkeel.Left, 1, true, false, 0, 0},
		"one is dead":                      {shedkeel.Dead, 1, true, false, 0, 1},
		"all others are dead":              {shedkeel.Dead, 5, true, false, 0, 5},
		"one is dead, records have leases": {shedkeel.Dead, 1, false, false, 0, 0},
		"this node is cut off":             {shedkeel.Dead, 5, true, true, 0, 0},
		"this node's mirror is outdated":   {shedkeel.Dead, 5, true, false, outageAge + time.Second, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			nodes := fleetOf(6, 0) // this node and five others
			for index := range nodes {
				nodes[index].Watched = test.watched
			}
			node, timers := newListedNode(t, nodes[0].ID, nodes)
			detector := &fakeDetector{liveness: map[shedkeel.NodeID]shedkeel.Liveness{}, isolated: test.isolated}
			for _, record := range nodes[1 : test.count+1] {
				detector.liveness[record.ID] = test.liveness
			}
			node.gossip.detector = detector
			removed := map[string]int{}
			var mutex sync.Mutex
			node.Store = &leaseStore{commit: func(change shedkeel.Transaction) (int64, error) {
				mutex.Lock()
				defer mutex.Unlock()
				removed[change.Remove[0]]++
				return 9, nil // the revision of the write
			}}
			var records []shedkeel.Record
			for _, record := range nodes {
				records = append(records, shedkeel.Record{Key: nodePrefix + string(record.ID), Value: []byte("{}"), Revision: shedkeel.Revision{Number: 5}}) // a removal uses only the key and the revision
			}
			for range len(nodes) { // as many turns as there can be live nodes
				node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 5}, AsOf: timers.Now() - test.age, Records: records})
				node.remover.tick(timers.Now())
				timers.Advance(removalStagger)
			}
			time.Sleep(50 * time.Millisecond) // for the removals, which run in goroutines of their own
			mutex.Lock()
			defer mutex.Unlock()
			assert.Equal(t, len(removed), test.wantRemoved, "%v", removed)
			for key, times := range removed {
				assert.Equal(t, times, 1, "%s", key)
			}
		})
	}
}

// newNodeWithCountHint returns a node whose seed reported the given number of nodes, and the
// node's key-value service, in which renewCalls counts commits instead of renewals. The
// revisions of the commits are 1010, 1020 and so on.
func newNodeWithCountHint(t *testing.T, nodes int64) (*Node, *leaseStore) {
	t.Helper()
	node, timers := newTestNode(t)
	store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}}
	revision := int64(1000)
	store.commit = func(shedkeel.Transaction) (int64, error) {
		revision += 10
		store.renewCalls++
		return revision, nil
	}
	node.Store = store
	node.member.nodeCountHint.Store(nodes)
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	return node, store
}

// TestWatchedMembership checks the record of a node in a fleet so large that records have no
// lease. The node must write its record once without a lease, write the record again after
// another node has removed it, and write nothing after a restart if only the incarnation has
// changed.
func TestWatchedMembership(t *testing.T) {
	node, store := newNodeWithCountHint(t, 295) // nodes; more than unleasedFrom
	timers := node.Timers.(interface{ Advance(time.Duration) })
	advance := func(span time.Duration) {
		for range span / memberTick {
			timers.Advance(memberTick)
			node.member.tick(t.Context())
		}
	}
	advance(nodeCountHintTTL / 2) // the node still uses the reported number
	assert.Equal(t, store.renewCalls, 1, "the record is written once")
	assert.Equal(t, store.granted, shedkeel.LeaseID{}, "no lease is acquired")
	assert.Assert(t, node.member.listed.Load())
	written := node.mirror.Get(node.member.key())

	// Another node removes the record in revision 1015, between this node's commits.
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1015}, AsOf: node.Timers.Now(), Records: []shedkeel.Record{{Key: written.Key, Revision: shedkeel.Revision{Number: 1015}, Removed: true}}})
	advance(2 * registrationRetry)
	assert.Equal(t, store.renewCalls, 2, "the node is alive and writes its removed record again")

	restarted, restartedStore := newNodeWithCountHint(t, 295) // a fleet of the same size
	restarted.Incarnation = "second"
	restarted.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1030}, AsOf: restarted.Timers.Now(), Records: []shedkeel.Record{{Key: written.Key, Value: written.Value, Revision: shedkeel.Revision{Number: 1030}}}})
	restarted.member.tick(t.Context())
	assert.Equal(t, restartedStore.renewCalls, 0, "the record exists already")
	assert.Assert(t, restarted.member.listed.Load())
}

// TestSmallFleetIsLeased checks that a node acquires one lease for its record in the largest
// fleet whose records have leases.
func TestSmallFleetIsLeased(t *testing.T) {
	node, store := newNodeWithCountHint(t, unleasedFrom-1)
	node.member.tick(t.Context())
	assert.Equal(t, store.granted, shedkeel.LeaseID{Number: 1})
	assert.Assert(t, !node.member.unleased.Load())
}
