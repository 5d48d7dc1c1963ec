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
	// tickInterval is how often a node of the emulated fleet calls Tick.
	tickInterval = 50 * time.Millisecond
	// datagramOverhead is the size of a datagram on the network without its updates,
	// and updateBytes the size of an update.
	datagramOverhead = 96
	updateBytes      = 18
)

// fleet is a fleet of nodes in virtual time. Its datagrams take a few milliseconds and
// may be lost.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	byName    map[shedkeel.NodeID]*node
	queue     events
	serial    int                       // of the last event that was queued; orders events of the same time
	loss      float64                   // the fraction of datagrams that is lost
	blocked   func(from, to *node) bool // whether a link drops all datagrams; nil: no link does
	bytesSent int                       // by all nodes
}

// node is one node of the fleet.
type node struct {
	id           shedkeel.NodeID
	detector     shedkeel.FailureDetector
	dead         bool
	stalled      bool
	disconnected bool                     // the network drops all datagrams to and from it
	inbox        []shedkeel.GossipMessage // received while it was stalled
}

// event is a tick of a node, or the arrival of a message.
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
func (events events) Swap(a, b int)  { events[a], events[b] = events[b], events[a] }
func (events *events) Push(item any) { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// newFleet returns a fleet of the given size whose nodes monitor each other. The nodes
// start after a second of virtual time.
func newFleet(seed uint64, size int, build func(id shedkeel.NodeID, random shedkeel.Random) shedkeel.FailureDetector) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 1)), byName: map[shedkeel.NodeID]*node{}}
	var names []shedkeel.NodeID
	for index := range size {
		names = append(names, shedkeel.NodeID(fmt.Sprintf("node-%d", index)))
	}
	for index, name := range names {
		added := &node{id: name, detector: build(name, rand.NewPCG(seed, uint64(index)+2))}
		added.detector.SetPeers(names)
		fleet.nodes = append(fleet.nodes, added)
		fleet.byName[name] = added
		fleet.push(event{at: time.Second + time.Duration(fleet.random.Int64N(int64(tickInterval))), node: added})
	}
	return fleet
}

func (fleet *fleet) push(event event) {
	fleet.serial++
	event.serial = fleet.serial
	heap.Push(&fleet.queue, event)
}

// run advances virtual time by the length and handles the events that are due by then.
func (fleet *fleet) run(length time.Duration) {
	end := fleet.now + length
	for fleet.queue[0].at <= end {
		due := heap.Pop(&fleet.queue).(event)
		fleet.now = due.at
		fleet.handle(due)
	}
	fleet.now = end
}

// handle runs an event.
func (fleet *fleet) handle(due event) {
	node := due.node
	switch {
	case node.dead:
	case due.message != nil && node.stalled:
		node.inbox = append(node.inbox, *due.message)
	case due.message != nil:
		fleet.send(node, node.detector.Receive(fleet.now, *due.message))
	default:
		if !node.stalled {
			fleet.send(node, node.detector.Tick(fleet.now))
		}
		fleet.push(event{at: fleet.now + tickInterval, node: node})
	}
}

// send schedules the arrival of datagrams, except those that are lost.
func (fleet *fleet) send(from *node, datagrams []shedkeel.GossipDatagram) {
	for _, datagram := range datagrams {
		fleet.bytesSent += datagramOverhead + updateBytes*len(datagram.Message.Updates)
		to := fleet.byName[datagram.To]
		lost := from.disconnected || to.disconnected || fleet.blocked != nil && fleet.blocked(from, to)
		if lost || fleet.random.Float64() < fleet.loss {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(fleet.random.Int64N(int64(3*time.Millisecond)))
		fleet.push(event{at: fleet.now + delay, node: to, message: &datagram.Message})
	}
}

// resume ends a node's stall. The node receives the messages that wait in its socket.
func (fleet *fleet) resume(node *node) {
	node.stalled = false
	for _, message := range node.inbox {
		fleet.send(node, node.detector.Receive(fleet.now, message))
	}
	node.inbox = nil
}

// living returns the nodes that are not dead.
func (fleet *fleet) living() []*node {
	return slices.DeleteFunc(slices.Clone(fleet.nodes), func(node *node) bool { return node.dead })
}

// pick returns count random nodes that are not dead.
func (fleet *fleet) pick(count int) []*node {
	found := fleet.living()
	fleet.random.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:count]
}

// runUntil runs the fleet until the condition holds, which is checked each 50 ms. It
// returns how long that took, or about the limit if the condition never held.
func (fleet *fleet) runUntil(limit time.Duration, condition func() bool) time.Duration {
	began := fleet.now
	for fleet.now-began < limit && !condition() {
		fleet.run(tickInterval)
	}
	return fleet.now - began
}

// countViews returns the number of pairs of a living node that is not stalled and another
// node, one of the given ones, to which the first assigns the liveness.
func (fleet *fleet) countViews(of []*node, liveness shedkeel.Liveness) int {
	count := 0
	for _, viewer := range fleet.living() {
		for _, seen := range of {
			if viewer != seen && !viewer.stalled && viewer.detector.Liveness(seen.id) == liveness {
				count++
			}
		}
	}
	return count
}

// add adds a node, which all nodes list from now on.
func (fleet *fleet) add(name shedkeel.NodeID, build func(id shedkeel.NodeID, random shedkeel.Random) shedkeel.FailureDetector) *node {
	added := &node{id: name, detector: build(name, rand.NewPCG(uint64(fleet.serial), 9))}
	fleet.nodes = append(fleet.nodes, added)
	fleet.byName[name] = added
	var names []shedkeel.NodeID
	for _, other := range fleet.nodes {
		names = append(names, other.id)
	}
	for _, other := range fleet.nodes {
		other.detector.SetPeers(names)
	}
	fleet.push(event{at: fleet.now, node: added})
	return added
}
