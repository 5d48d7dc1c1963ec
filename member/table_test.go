package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// exchange makes the caller ask the callee and merge its reply, as keepers do.
// Each has its own clock.
func exchange(caller, callee *Table, callerNow, calleeNow time.Duration) {
	reply := callee.HandleExchange(caller.ExchangeCall(callerNow), calleeNow)
	caller.MergeReply(reply, callerNow, callerNow)
}

// newTables returns the tables of count nodes, which are spread over three zones.
func newTables(count int) []*Table {
	tables := make([]*Table, count)
	for index := range tables {
		tables[index] = &Table{Self: shedkeel.Node{ID: shedkeel.NodeID(fmt.Sprintf("n%02d", index)), Incarnation: "1", Zone: shedkeel.ZoneID(fmt.Sprintf("z%d", index%3))}}
	}
	return tables
}

// TestRecordGenerationNeverFalls exchanges versions of one record between 7 nodes in random
// order, with repeats, concurrent writers and a partition. The generation that a node knows
// may never fall, and after each node has exchanged with its neighbor in the list as many
// times as there are nodes, all must know the newest one.
func TestRecordGenerationNeverFalls(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		tables := newTables(7)
		known := make([]uint64, len(tables))
		var newest uint64
		checkNoneFell := func() {
			for index, table := range tables {
				generation := table.Record(KeyConfig).Generation
				assert.Assert(t, generation >= known[index], "seed %d: node %d went from %d back to %d", seed, index, known[index], generation)
				known[index] = generation
			}
		}
		for now := range 200 {
			if random.IntN(5) == 0 {
				newest++
				// An older record may arrive late, at a node that has a newer one.
				generation := newest - uint64(random.IntN(int(min(newest, 3))))
				tables[random.IntN(len(tables))].MergeRecord(Record{Key: KeyConfig, Generation: max(generation, 1), Value: []byte("{}")})
				tables[0].MergeRecord(Record{Key: KeyConfig, Generation: newest, Value: []byte("{}")})
			}
			a, b := random.IntN(len(tables)), random.IntN(len(tables))
			partitioned := now < 150 && (a < 3) != (b < 3)
			if a != b && !partitioned {
				exchange(tables[a], tables[b], time.Duration(now)*time.Second, time.Duration(now)*time.Second)
			}
			checkNoneFell()
		}
		for range len(tables) {
			for a := range tables {
				exchange(tables[a], tables[(a+1)%len(tables)], 0, 0)
			}
			checkNoneFell()
		}
		for index, table := range tables {
			assert.Equal(t, table.Record(KeyConfig).Generation, newest, "seed %d: node %d", seed, index)
		}
	}
}

// TestDigestNeverLooksYounger passes digests of one watcher between nodes with slow
// messages and unrelated clocks, which differ by the offsets. No node may take a digest
// for younger than it is, because the node would then keep a group's permit too long.
func TestDigestNeverLooksYounger(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		tables := newTables(6)
		offsets := make([]time.Duration, len(tables))
		for index := range offsets {
			offsets[index] = time.Duration(random.IntN(1_000_000)) * time.Millisecond
		}
		createdAt := map[uint64]time.Duration{}
		var sequence uint64
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(random.IntN(700)) * time.Millisecond
			sequence++
			createdAt[sequence] = now
			tables[0].MergeDigest(Digest{Watcher: "n00", Incarnation: "1", Sequence: sequence, AsOf: now + offsets[0]})
			a, b := random.IntN(len(tables)), random.IntN(len(tables))
			if a == b {
				continue
			}
			sent := now
			ask := tables[a].ExchangeCall(sent + offsets[a])
			now += time.Duration(random.IntN(2000)) * time.Millisecond
			reply := tables[b].HandleExchange(ask, now+offsets[b])
			now += time.Duration(random.IntN(5000)) * time.Millisecond // the caller is paused before it reads the reply
			tables[a].MergeReply(reply, sent+offsets[a], now+offsets[a])
			for index, table := range tables {
				for _, digest := range table.Digests() {
					assumedAge := now + offsets[index] - digest.AsOf
					trueAge := now - createdAt[digest.Sequence]
					assert.Assert(t, assumedAge >= trueAge, "seed %d: node %d has a digest that is %s old and takes it for %s old", seed, index, trueAge, assumedAge)
				}
			}
		}
	}
}

// TestLiveNodes checks which nodes count as live within DefaultLiveTime (6 s): a
// repeated heartbeat does not keep a node live, a new incarnation does, and an
// earlier process of this node is ignored.
func TestLiveNodes(t *testing.T) {
	table := &Table{Self: shedkeel.Node{ID: "self", Incarnation: "1"}}
	table.AdvanceHeartbeat(0)
	table.MergeNode(shedkeel.Node{ID: "other", Incarnation: "1", Heartbeat: 5}, 0)
	table.MergeNode(shedkeel.Node{ID: "other", Incarnation: "1", Heartbeat: 5}, 5*time.Second)
	assert.Equal(t, len(table.Live(5*time.Second)), 2)
	assert.Equal(t, len(table.Live(7*time.Second)), 1, "a repeated heartbeat must not keep a node live")
	table.MergeNode(shedkeel.Node{ID: "other", Incarnation: "2", Heartbeat: 1}, 7*time.Second)
	assert.Equal(t, len(table.Live(7*time.Second)), 2, "a new incarnation starts with a lower heartbeat and must count as live")
	table.MergeNode(shedkeel.Node{ID: "self", Incarnation: "0", Heartbeat: 99, Stopping: true}, 7*time.Second)
	assert.Assert(t, !table.Live(7 * time.Second)[1].Stopping, "an earlier incarnation of this node must not replace it")
}

// TestRemovedNodeMovesOnlyItsKeys checks that only the keys of a removed node
// change their first node, and that keys spread evenly: of 2000 keys, each of the
// 10 nodes has more than half and less than twice its equal share.
func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	var nodes []shedkeel.Node
	for index := range 10 {
		nodes = append(nodes, shedkeel.Node{ID: shedkeel.NodeID(fmt.Sprintf("n%d", index))})
	}
	counts := map[shedkeel.NodeID]int{}
	changed := 0
	const keys = 2000
	for key := range keys {
		name := fmt.Sprintf("group-%d", key)
		first := Rank(name, nodes)[0].ID
		counts[first]++
		if Rank(name, nodes[1:])[0].ID != first {
			changed++
		}
	}
	assert.Equal(t, changed, counts["n0"], "only the keys of the removed node may change")
	for id, count := range counts {
		assert.Assert(t, count > keys/10/2 && count < keys/10*2, "node %s is first for %d of %d keys", id, count, keys)
	}
}
