package node

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestWatchedByOne checks that each node of a fleet is watched by one other.
func TestWatchedByOne(t *testing.T) {
	for name, nodes := range map[string][]nodeRecord{"9 boxes": fleetOf(9, 3), "300 boxes": fleetOf(300, 3), "300 boxes of one size": fleetOf(300, 0)} {
		t.Run(name, func(t *testing.T) {
			watchers := map[int]int{}
			for own := range nodes {
				for _, place := range watchedBy(nodes, own) {
					watchers[place]++
				}
			}
			for place := range nodes {
				assert.Equal(t, watchers[place], 1, "%s", nodes[place].ID)
			}
		})
	}
}

// TestSilent covers which of the watched nodes are probed.
func TestSilent(t *testing.T) {
	watched := fleetOf(6, 0)
	cases := map[string]struct {
		quiet  int           // of the watched nodes say nothing
		after  time.Duration // since they came to be watched
		probed int
	}{
		"all ask":                              {0, time.Minute, 0},
		"one is silent for a short time":       {1, silentNode - 1, 0},
		"one is silent":                        {1, silentNode, 1},
		"four of six are silent":               {4, silentNode, 4},
		"five of six are: this one is cut off": {5, silentNode, 0},
		"all are":                              {6, silentNode, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			assert.Equal(t, len(node.watch.silent(watched, timers.Now())), 0, "nobody is silent at first")
			timers.Advance(test.after)
			for _, record := range watched[test.quiet:] {
				node.watch.hear(record.ID)
			}
			assert.Equal(t, len(node.watch.silent(watched, timers.Now())), test.probed)
			assert.Equal(t, len(node.watch.silent(watched, timers.Now())), 0, "they are being probed")
		})
	}
}

// TestDeadNodeIsRemoved has a node find another dead, and one that answers.
func TestDeadNodeIsRemoved(t *testing.T) {
	for name, lives := range map[string]bool{"it is dead": false, "it is only silent": true} {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Settings.Wire.Key = "k"
			other, _ := newTestNode(t)
			listener := listenHere(t)
			stop := func() { assert.NilError(t, listener.Close()) }
			if lives {
				stop = serveWire(t, listener, &other.peers)
			} else {
				stop()
			}
			var removed []string
			node.Store = &leaseStore{commit: func(change shedkeel.Change) (int64, error) {
				assert.DeepEqual(t, change.If, []shedkeel.Condition{{Key: nodePrefix + "b", Revision: 5}})
				removed = append(removed, change.Remove...)
				return 9, nil
			}}
			record := nodeRecord{ID: "b", Zone: "z", Callers: "127.0.0.1:1", Control: listener.Addr().String(), Watched: true}
			value, err := json.Marshal(record)
			assert.NilError(t, err)
			node.mirror.Apply(mirror.Update{Whole: true, At: 5, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: nodePrefix + "b", Value: value, Revision: 5}}})
			node.watch.runProbe(record)
			assert.Equal(t, slices.Contains(removed, nodePrefix+"b"), !lives)
			if lives {
				node.peers.close()
				stop()
			}
		})
	}
}

// watchedNode returns a node whose seed told it of so many nodes, and its
// service.
func watchedNode(t *testing.T, nodes int64) (*Node, *leaseStore) {
	t.Helper()
	node, timers := newTestNode(t)
	store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}}
	revision := int64(1000)
	store.commit = func(shedkeel.Change) (int64, error) {
		revision += 10
		store.calls++
		return revision, nil
	}
	node.Store = store
	node.member.hint.Store(nodes)
	node.mirror.Apply(mirror.Update{Whole: true, At: 1, AsOf: timers.Now()})
	return node, store
}

// TestWatchedMembership covers the record of a node in a large fleet: it is
// written once, without a lease, again when another node removed it, and not at
// all after a restart that finds it as it should be.
func TestWatchedMembership(t *testing.T) {
	node, store := watchedNode(t, 295)
	timers := node.Timers.(interface{ Advance(time.Duration) })
	live := func(span time.Duration) {
		for range span / memberTick {
			timers.Advance(memberTick)
			node.member.tick(t.Context())
		}
	}
	live(hintTime / 2)
	assert.Equal(t, store.calls, 1, "the record is written once")
	assert.Equal(t, store.granted, shedkeel.LeaseID(0))
	assert.Assert(t, node.member.listed.Load())
	standing := node.mirror.Get(node.member.key())

	node.mirror.Apply(mirror.Update{At: 1015, AsOf: node.Timers.Now(), Records: []shedkeel.Record{{Key: standing.Key, Revision: 1015, Gone: true}}})
	live(2 * listedRetry)
	assert.Equal(t, store.calls, 2, "it was removed, and lives")

	restarted, again := watchedNode(t, 295)
	restarted.Incarnation = "second"
	restarted.mirror.Apply(mirror.Update{At: 1030, AsOf: restarted.Timers.Now(), Records: []shedkeel.Record{{Key: standing.Key, Value: standing.Value, Revision: 1030}}})
	restarted.member.tick(t.Context())
	assert.Equal(t, again.calls, 0, "it stands already")
	assert.Assert(t, restarted.member.listed.Load())
}

// TestSmallFleetIsLeased has a seed tell of few nodes.
func TestSmallFleetIsLeased(t *testing.T) {
	node, store := watchedNode(t, watchedFrom-1)
	node.member.tick(t.Context())
	assert.Equal(t, store.granted, shedkeel.LeaseID(1))
	assert.Assert(t, !node.member.watched.Load())
}
