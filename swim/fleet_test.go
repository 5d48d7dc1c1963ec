package swim_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// tickEach is how often a node of the emulated fleet calls Tick.
	tickEach = 50 * time.Millisecond
	// datagramBytes is what a datagram has beside its updates, and updateBytes
	// what an update takes, as they are sent.
	datagramBytes = 96
	updateBytes   = 18
)

// fleet is a fleet of nodes in virtual time, whose datagrams take a few
// milliseconds and may be lost.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*node
	byName map[shedkeel.NodeID]*node
	queue  events
	serial int
	loss   float64
	cut    func(from, to *node) bool // nil: none
	sent   int                       // bytes
}

// node is one node of the fleet.
type node struct {
	id       shedkeel.NodeID
	detector shedkeel.FailureDetector
	dead     bool
	frozen   bool
	cutOff   bool                     // reaches no other node
	inbox    []shedkeel.GossipMessage // came while it stood still
}

// event is a tick of a node, or a message that reaches it.
type event struct {
	at      time.Duration
	serial  int
	node    *node
	message *shedkeel.GossipMessage // nil: a tick
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(a, b int) bool {
	return events[a].at < events[b].at || events[a].at == events[b].at && events[a].serial < events[b].serial
}
func (events events) Swap(a, b int) { events[a], events[b] = events[b], events[a] }
func (events *events) Push(one any) { *events = append(*events, one.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// newFleet returns a fleet whose nodes know each other.
func newFleet(seed uint64, size int, build func(id shedkeel.NodeID, random shedkeel.Random) shedkeel.FailureDetector) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 1)), byName: map[shedkeel.NodeID]*node{}}
	var names []shedkeel.NodeID
	for index := range size {
		names = append(names, shedkeel.NodeID(fmt.Sprintf("node-%d", index)))
	}
	for index, name := range names {
		one := &node{id: name, detector: build(name, rand.NewPCG(seed, uint64(index)+2))}
		one.detector.SetPeers(names)
		fleet.nodes = append(fleet.nodes, one)
		fleet.byName[name] = one
		fleet.push(event{at: time.Second + time.Duration(fleet.random.Int64N(int64(tickEach))), node: one})
	}
	return fleet
}

func (fleet *fleet) push(one event) {
	fleet.serial++
	one.serial = fleet.serial
	heap.Push(&fleet.queue, one)
}

// run lets the fleet live for so long.
func (fleet *fleet) run(length time.Duration) {
	end := fleet.now + length
	for fleet.queue[0].at <= end {
		one := heap.Pop(&fleet.queue).(event)
		fleet.now = one.at
		fleet.take(one)
	}
	fleet.now = end
}

func (fleet *fleet) take(one event) {
	node := one.node
	switch {
	case node.dead:
	case one.message != nil && node.frozen:
		node.inbox = append(node.inbox, *one.message)
	case one.message != nil:
		fleet.send(node, node.detector.Receive(fleet.now, *one.message))
	default:
		if !node.frozen {
			fleet.send(node, node.detector.Tick(fleet.now))
		}
		fleet.push(event{at: fleet.now + tickEach, node: node})
	}
}

func (fleet *fleet) send(from *node, datagrams []shedkeel.GossipDatagram) {
	for _, datagram := range datagrams {
		fleet.sent += datagramBytes + updateBytes*len(datagram.Message.Updates)
		to := fleet.byName[datagram.To]
		lost := from.cutOff || to.cutOff || fleet.cut != nil && fleet.cut(from, to)
		if lost || fleet.random.Float64() < fleet.loss {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(fleet.random.Int64N(int64(3*time.Millisecond)))
		fleet.push(event{at: fleet.now + delay, node: to, message: &datagram.Message})
	}
}

// wake ends a node's standstill: it takes in what lay in its socket.
func (fleet *fleet) wake(node *node) {
	node.frozen = false
	for _, message := range node.inbox {
		fleet.send(node, node.detector.Receive(fleet.now, message))
	}
	node.inbox = nil
}

// living returns the nodes that are not dead.
func (fleet *fleet) living() []*node {
	return slices.DeleteFunc(slices.Clone(fleet.nodes), func(node *node) bool { return node.dead })
}

// pick returns so many living nodes at random.
func (fleet *fleet) pick(count int) []*node {
	found := fleet.living()
	fleet.random.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:count]
}

// until lets the fleet live until the condition holds, looked at each 50 ms, and
// returns how long that took, or most.
func (fleet *fleet) until(most time.Duration, holds func() bool) time.Duration {
	began := fleet.now
	for fleet.now-began < most && !holds() {
		fleet.run(tickEach)
	}
	return fleet.now - began
}

// views returns how the living nodes together see those: the number of views in
// which one stands so.
func (fleet *fleet) views(of []*node, liveness shedkeel.Liveness) int {
	count := 0
	for _, viewer := range fleet.living() {
		for _, seen := range of {
			if viewer != seen && !viewer.frozen && viewer.detector.Liveness(seen.id) == liveness {
				count++
			}
		}
	}
	return count
}

// add adds a node that all come to know now.
func (fleet *fleet) add(name shedkeel.NodeID, build func(id shedkeel.NodeID, random shedkeel.Random) shedkeel.FailureDetector) *node {
	one := &node{id: name, detector: build(name, rand.NewPCG(uint64(fleet.serial), 9))}
	fleet.nodes = append(fleet.nodes, one)
	fleet.byName[name] = one
	var names []shedkeel.NodeID
	for _, other := range fleet.nodes {
		names = append(names, other.id)
	}
	for _, other := range fleet.nodes {
		other.detector.SetPeers(names)
	}
	fleet.push(event{at: fleet.now, node: one})
	return one
}
