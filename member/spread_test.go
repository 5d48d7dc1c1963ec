package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

var allSizes = flag.Bool("sizes", false, "measure the gossip between keepers at all sizes, up to 380")

// gossip simulates keepers in virtual time that exchange their tables as
// keeper.tickExchange does.
type gossip struct {
	tables      []*Table // one for each keeper, which is a node
	random      *rand.Rand
	now         time.Duration
	loss        float64             // probability that an exchange is lost
	partitioned func(a, b int) bool // reports whether two nodes cannot reach each other
	groups      int                 // number of groups that the nodes watch
	bytes       int                 // size of all calls and replies
	calls       int                 // exchanges that were not lost
}

const (
	gossipTick      = 500 * time.Millisecond // the default of the tick setting
	maxFullExchange = 4                      // a node with more peers than this asks only sampledPeers of them in each tick; as in package keeper
	sampledPeers    = 3
)

// newGossip returns a simulation in which every node knows all others.
func newGossip(nodes, groups int, seed uint64) *gossip {
	gossip := &gossip{tables: newTables(nodes), random: rand.New(rand.NewPCG(seed, 9)), groups: groups, partitioned: func(int, int) bool { return false }}
	for _, table := range gossip.tables {
		for _, other := range gossip.tables {
			table.MergeNode(other.Self, 0)
		}
	}
	return gossip
}

// tick makes every node advance its heartbeat, store a new digest of its own and
// ask its peers once.
func (gossip *gossip) tick() {
	gossip.now += gossipTick
	for index, table := range gossip.tables {
		table.AdvanceHeartbeat(gossip.now)
		table.MergeDigest(gossip.digest(index))
	}
	for index := range gossip.tables {
		for _, peer := range gossip.peers(index) {
			gossip.exchange(index, peer)
		}
	}
}

// digest returns the digest of the node at index in this tick. Each group is watched
// by two nodes.
func (gossip *gossip) digest(index int) Digest {
	digest := Digest{Watcher: gossip.tables[index].Self.ID, Incarnation: "1", Sequence: uint64(gossip.now / gossipTick), AsOf: gossip.now}
	for group := range gossip.groups {
		if group%len(gossip.tables) == index || (group+1)%len(gossip.tables) == index {
			digest.Verdicts = append(digest.Verdicts, GroupVerdict{Group: shedkeel.GroupID(fmt.Sprintf("zone-%d-%d", index%7, group)), Epoch: uint64(group), Verdict: shedkeel.VerdictWhole, Load: 40})
		}
	}
	return digest
}

// peers returns the nodes that a node asks in this tick.
func (gossip *gossip) peers(index int) []int {
	var peers []int
	for peer := range gossip.tables {
		if peer != index {
			peers = append(peers, peer)
		}
	}
	if len(peers) > maxFullExchange {
		gossip.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:sampledPeers]
	}
	return peers
}

// exchange runs one exchange, unless it is lost or the nodes are partitioned.
func (gossip *gossip) exchange(caller, callee int) {
	if gossip.partitioned(caller, callee) || gossip.random.Float64() < gossip.loss {
		return
	}
	call := gossip.tables[caller].ExchangeCall(gossip.now)
	reply := gossip.tables[callee].HandleExchange(call, gossip.now)
	gossip.bytes += proto.Size(call) + proto.Size(reply)
	gossip.calls++
	gossip.tables[caller].MergeReply(reply, gossip.now, gossip.now)
}

// timeToAll stores a new configuration of 4 KB on node 0 and returns how long it takes
// to arrive at all nodes that node 0 can reach, or a minute if it takes longer.
func (gossip *gossip) timeToAll(generation uint64) time.Duration {
	start := gossip.now
	gossip.tables[0].MergeRecord(Record{Key: KeyConfig, Generation: generation, Value: make([]byte, 4096)})
	for gossip.now-start < time.Minute {
		gossip.tick()
		reachedAll := true
		for index, table := range gossip.tables {
			if !gossip.partitioned(0, index) && table.Record(KeyConfig).Generation != generation {
				reachedAll = false
			}
		}
		if reachedAll {
			return gossip.now - start
		}
	}
	return time.Minute
}

// digestAgeP99 returns the 99th percentile of the ages of all digests in all tables.
func (gossip *gossip) digestAgeP99() time.Duration {
	var ages []time.Duration
	for _, table := range gossip.tables {
		for _, digest := range table.Digests() {
			ages = append(ages, gossip.now-digest.AsOf)
		}
	}
	slices.Sort(ages)
	return ages[len(ages)*99/100]
}

// TestSpread measures how fast a configuration reaches all nodes, the age of the
// digests, and the bytes and calls sent. A configuration must reach all nodes
// within 12 s, without loss and if 20% of the exchanges are lost. The test prints
// the measurements with -v; -sizes adds more numbers of keepers, up to 380.
func TestSpread(t *testing.T) {
	counts := []int{9, 50}
	if *allSizes {
		counts = []int{9, 16, 17, 50, 100, 380}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "keepers\tgroups\tloss\ttime to all\tdigest age p99\tsent bytes/s a node\tcalls/s a node")
	for _, count := range counts {
		for _, loss := range []float64{0, 0.2} {
			// As many groups for each keeper as with 600 groups for 380 keepers,
			// but at least 50 in total.
			groups := max(50, count*600/380)
			gossip := newGossip(count, groups, uint64(count))
			gossip.loss = loss
			for range 12 {
				gossip.tick()
			}
			gossip.bytes, gossip.calls = 0, 0
			start := gossip.now
			worst := time.Duration(0)
			for generation := range uint64(2) {
				worst = max(worst, gossip.timeToAll(generation+1))
			}
			seconds := (gossip.now - start).Seconds()
			perNode := float64(count) * seconds
			_, _ = fmt.Fprintf(table, "%d\t%d\t%.0f%%\t%s\t%s\t%.0f\t%.1f\n", count, groups, loss*100, worst, gossip.digestAgeP99(), float64(gossip.bytes)/perNode, float64(gossip.calls)/perNode)
			assert.Assert(t, worst <= 12*time.Second, "%d keepers: a configuration took %s to reach all nodes, want at most 12s", count, worst)
		}
	}
	if testing.Verbose() {
		_ = table.Flush()
	}
}

// TestSpreadAcrossPartition checks that, while the 30 nodes are partitioned into
// two parts of 15, a configuration reaches all nodes of the part where it was
// stored within 12 s and none of the other part, and that it reaches the other part
// within 12 s after the partition ends.
func TestSpreadAcrossPartition(t *testing.T) {
	gossip := newGossip(30, 50, 1)
	partitionEnded := false
	gossip.partitioned = func(a, b int) bool { return !partitionEnded && (a < 15) != (b < 15) }
	for range 20 {
		gossip.tick()
	}
	assert.Assert(t, gossip.timeToAll(1) <= 12*time.Second)
	assert.Equal(t, gossip.tables[20].Record(KeyConfig).Generation, uint64(0))
	partitionEnded = true
	start := gossip.now
	for gossip.now-start < 12*time.Second {
		gossip.tick()
	}
	for index, table := range gossip.tables {
		assert.Equal(t, table.Record(KeyConfig).Generation, uint64(1), "node %d", index)
	}
}

// BenchmarkExchange measures one exchange in which the callee has a new digest of each
// node, with encoding and decoding on both sides.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{9, 50, 380} {
		b.Run(fmt.Sprintf("keepers=%d", count), func(b *testing.B) {
			gossip := newGossip(count, max(50, count*600/380), 1)
			for range 12 {
				gossip.tick()
			}
			for b.Loop() {
				b.StopTimer()
				gossip.now += gossipTick
				for index := range gossip.tables {
					gossip.tables[1].MergeDigest(gossip.digest(index))
				}
				b.StartTimer()
				call, err := proto.Marshal(gossip.tables[0].ExchangeCall(gossip.now))
				if err != nil {
					b.Fatal(err)
				}
				receivedCall := &wire.ExchangeCall{}
				if err := proto.Unmarshal(call, receivedCall); err != nil {
					b.Fatal(err)
				}
				reply, err := proto.Marshal(gossip.tables[1].HandleExchange(receivedCall, gossip.now))
				if err != nil {
					b.Fatal(err)
				}
				receivedReply := &wire.ExchangeReply{}
				if err := proto.Unmarshal(reply, receivedReply); err != nil {
					b.Fatal(err)
				}
				gossip.tables[0].MergeReply(receivedReply, gossip.now, gossip.now)
			}
		})
	}
}
