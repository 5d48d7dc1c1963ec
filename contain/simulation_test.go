package contain

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

var allSizes = flag.Bool("sizes", false, "compare strategies at all sizes and rates")

// strategy says how nodes share records of failed servers, and what they do about a request
// for which servers are recorded. "The first failure" and "the second failure" mean that one or
// two servers are recorded.
type strategy struct {
	keepsLedger      bool // nodes record failed servers in their ledgers
	decider          bool // after the first failure, a node sends the record to node 0, the decider, which combines the failures that different nodes record
	broadcast        bool // from the second failure on, a node sends the record to all nodes
	persisted        bool // from the second failure on, a node writes the record to the store, from which all nodes read it
	withdrawsQueued  bool // from the second failure on, a node withdraws the copies that it has sent
	oneAtATime       bool // from the second failure on, only one copy at a time is sent
	fromFirstFailure bool // what applies from the second failure on applies from the first
}

// current is the strategy that the product uses. A request is then quarantined from the second
// failure on and contained from the third on (see Judge).
var current = strategy{keepsLedger: true, decider: true, broadcast: true, persisted: true, withdrawsQueued: true, oneAtATime: true}

// fault is what happens to the fleet of nodes during the simulation, beside the failures of
// servers.
type fault int

const (
	noFault          fault = iota
	nodesKilled            // one after another, over faultDuration; each restarts immediately
	allNodesKilled         // at the same time, a second after faultStart; each restarts immediately
	partitioned            // two halves that do not reach each other, for faultDuration; partition 1 does not reach the store either
	storeUnavailable       // for faultDuration
	nodesFrozen            // a third of them, for faultDuration
	faultCount             // number of the values above
)

// simulation simulates, in virtual time, a fleet that gets copies of one request, that is,
// requests with the same digest. Each server that runs a copy fails, that is, terminates.
type simulation struct {
	strategy       strategy
	fault          fault
	random         *rand.Rand
	now            time.Duration
	events         queue
	nodes          []*simNode
	heads          []*head
	stored         shedkeel.Blame // the record in the store
	exclusiveUntil time.Duration  // no node sends a further exclusive copy before this time; all nodes know the time without delay

	failedServers int           // servers that failed
	thirdFailure  time.Duration // when the third server failed; 0: not yet
	lateAttempts  int           // attempts that connected nodes made more than convergenceTime after thirdFailure
}

const (
	request = shedkeel.Subject("deadly")
	// Copies of the request arrive until requestDuration. The simulation ends at simDuration.
	requestDuration = 10 * time.Second
	simDuration     = 20 * time.Second
	// convergenceTime is the time within which all connected nodes must know of the third
	// failure.
	convergenceTime = 3 * time.Second
	// recoveryTime is how long a group is not available after its server has failed.
	recoveryTime = 3 * time.Second
	// messageDelay is the delay of a message between nodes. storeDelay is the time from a
	// write to the store until all nodes have read it.
	messageDelay = 4 * time.Millisecond
	storeDelay   = 250 * time.Millisecond
	// The fault is in effect from faultStart for faultDuration, unless its own comment says
	// otherwise.
	faultStart    = 300 * time.Millisecond
	faultDuration = 4 * time.Second
)

// simNode is a node. Nodes with an even index are in partition 0, the others in partition 1.
type simNode struct {
	ledger    *Ledger
	partition int
	frozen    bool // suspended: it receives neither requests nor records, does not read the store and makes no second attempt
}

// head is the server that heads a replica group, and to which requests for the group are
// sent.
type head struct {
	incarnation int            // incremented with each failure
	unavailable bool           // for recoveryTime after each failure
	copies      []*requestCopy // sent to the current incarnation
}

// requestCopy is one copy of the request, as a caller sent it to a node.
type requestCopy struct {
	node      int  // index of the node
	attempts  int  // how often the node has sent it to a server
	mayRetry  bool // its caller sends it once more if it fails
	exclusive bool // with oneAtATime: sent while the request is quarantined; until this copy ends or exclusiveUntil passes, nodes that know of the quarantine send no other copy
	done      bool // failed or withdrawn
}

// simEvent is an action at a point in virtual time. Events of the same time run in ascending
// order of the field order, which is practically random (see the method after).
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// queue is a heap of events.
type queue []simEvent

func (queue queue) Len() int { return len(queue) }
func (queue queue) Less(a, b int) bool {
	return queue[a].at < queue[b].at || queue[a].at == queue[b].at && queue[a].order < queue[b].order
}
func (queue queue) Swap(a, b int)  { queue[a], queue[b] = queue[b], queue[a] }
func (queue *queue) Push(item any) { *queue = append(*queue, item.(simEvent)) }
func (queue *queue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// after schedules run for the virtual time simulation.now plus pause. The order of the event is a
// random number of 31 bits plus the number of queued events, which is far smaller.
func (simulation *simulation) after(pause time.Duration, run func()) {
	heap.Push(&simulation.events, simEvent{at: simulation.now + pause, order: simulation.events.Len() + int(simulation.random.Uint32()>>1), run: run})
}

// between returns a random duration of at least low and less than high.
func (simulation *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(simulation.random.Int64N(int64(high-low)))
}

// simulate runs a simulation with that many nodes and heads of replica groups, in which copies of
// the request arrive as a Poisson process with a rate of perSecond.
func simulate(strategy strategy, nodes, heads int, perSecond float64, fault fault, seed uint64) *simulation {
	simulation := &simulation{strategy: strategy, fault: fault, random: rand.New(rand.NewPCG(seed, uint64(nodes)))}
	simulation.stored.Subject = request
	for index := range nodes {
		simulation.nodes = append(simulation.nodes, &simNode{ledger: &Ledger{}, partition: index % 2})
	}
	for range heads {
		simulation.heads = append(simulation.heads, &head{})
	}
	for at := time.Duration(0); at < requestDuration; at += time.Duration(simulation.random.ExpFloat64() / perSecond * float64(time.Second)) {
		simulation.now = at
		simulation.after(0, func() { simulation.arrive(true) }) // the caller may send it once more
	}
	simulation.now = faultStart
	simulation.after(0, simulation.startFault)
	for simulation.events.Len() > 0 {
		next := heap.Pop(&simulation.events).(simEvent)
		if next.at > simDuration {
			break
		}
		simulation.now = next.at
		next.run()
	}
	return simulation
}

// startFault starts the fault. The faults partitioned and storeUnavailable need no action
// here, because the method during finds out from the time whether they are in effect.
func (simulation *simulation) startFault() {
	switch simulation.fault {
	case nodesKilled:
		for index := range simulation.nodes {
			simulation.after(time.Duration(index)*faultDuration/time.Duration(len(simulation.nodes)), func() { simulation.restart(index) })
		}
	case allNodesKilled:
		simulation.after(time.Second, func() {
			for index := range simulation.nodes {
				simulation.restart(index)
			}
		})
	case nodesFrozen:
		for index, node := range simulation.nodes {
			if index%3 == 0 {
				node.frozen = true
				simulation.after(faultDuration, func() {
					node.frozen = false
					simulation.readStore(index)
				})
			}
		}
	}
}

// restart clears the ledger of a node, which then reads the record in the store.
func (simulation *simulation) restart(index int) {
	simulation.nodes[index].ledger = &Ledger{}
	simulation.readStore(index)
}

// during reports whether the fault is the simulated one and is in effect now.
func (simulation *simulation) during(fault fault) bool {
	return simulation.fault == fault && simulation.now >= faultStart && simulation.now < faultStart+faultDuration
}

// storeReachable reports whether the store answers a node.
func (simulation *simulation) storeReachable(index int) bool {
	cutOff := simulation.during(partitioned) && simulation.nodes[index].partition == 1
	return !cutOff && !simulation.during(storeUnavailable)
}

// readStore merges the record in the store into the ledger of a node, with the strategy persisted
// and if the store answers the node.
func (simulation *simulation) readStore(index int) {
	if simulation.strategy.persisted && simulation.storeReachable(index) {
		simulation.mergeRecord(index, simulation.stored)
	}
}

// arrive delivers a copy of the request to a random node. The node sends the copy to a server,
// unless the node is frozen or the request is contained. With oneAtATime, the node sends a copy of
// a quarantined request as an exclusive copy, and none before exclusiveUntil.
func (simulation *simulation) arrive(mayRetry bool) {
	index := simulation.random.IntN(len(simulation.nodes))
	if simulation.nodes[index].frozen {
		return // the caller's retry at another node is not simulated
	}
	sent := &requestCopy{node: index, mayRetry: mayRetry}
	switch simulation.judge(index) {
	case shedkeel.Contained:
		return
	case shedkeel.Quarantined:
		if simulation.strategy.oneAtATime {
			if simulation.now < simulation.exclusiveUntil {
				return
			}
			sent.exclusive = true
			// An exclusive copy that has not ended by then no longer keeps other copies back.
			simulation.exclusiveUntil = simulation.now + convergenceTime
		}
	}
	simulation.send(sent)
}

// judge returns the judgment of the request at a node.
func (simulation *simulation) judge(index int) shedkeel.Judgment {
	if !simulation.strategy.keepsLedger {
		return shedkeel.Unblamed
	}
	return simulation.strategy.judge(simulation.nodes[index].ledger.Blame(request))
}

// judge returns the judgment that the strategy derives from a record.
func (strategy strategy) judge(blame shedkeel.Blame) shedkeel.Judgment {
	if strategy.fromFirstFailure && len(blame.Servers) == 1 {
		return shedkeel.Quarantined
	}
	return Judge(blame)
}

// send sends a copy to a random available head; if no head is available, the copy is dropped. The
// head queues the copy for 150 to 350 ms, then runs it and fails 40 to 100 ms later. A copy that
// is withdrawn while it is queued does not run. send counts in lateAttempts an attempt that
// a connected node makes more than convergenceTime after thirdFailure.
func (simulation *simulation) send(sent *requestCopy) {
	var available []*head
	for _, head := range simulation.heads {
		if !head.unavailable {
			available = append(available, head)
		}
	}
	if len(available) == 0 {
		return
	}
	head := available[simulation.random.IntN(len(available))]
	incarnation := head.incarnation
	sent.attempts++
	if simulation.thirdFailure != 0 && simulation.now > simulation.thirdFailure+convergenceTime && simulation.connected(sent.node) {
		simulation.lateAttempts++
	}
	head.copies = append(head.copies, sent)
	queueTime := simulation.between(150*time.Millisecond, 350*time.Millisecond)
	simulation.after(queueTime, func() {
		if sent.done || head.incarnation != incarnation || head.unavailable {
			return
		}
		simulation.after(simulation.between(40*time.Millisecond, 100*time.Millisecond), func() {
			if head.incarnation == incarnation && !head.unavailable {
				simulation.failServer(head)
			}
		})
	})
}

// connected reports whether the node is required to know the records of the others. If the
// fault is partitioned, nodes of partition 1 are not, until convergenceTime after the end of
// the fault.
func (simulation *simulation) connected(index int) bool {
	cutOff := simulation.fault == partitioned && simulation.nodes[index].partition == 1
	return !cutOff || simulation.now > faultStart+faultDuration+convergenceTime
}

// failServer lets a server fail: all copies that were sent to it are lost.
func (simulation *simulation) failServer(failed *head) {
	simulation.failedServers++
	if simulation.failedServers == containThreshold {
		simulation.thirdFailure = simulation.now
	}
	server := shedkeel.InstanceID(fmt.Sprintf("%p@%d", failed, failed.incarnation)) // differs between all instances of all heads
	copies := failed.copies
	failed.copies, failed.unavailable = nil, true
	failed.incarnation++
	simulation.after(recoveryTime, func() { failed.unavailable = false })
	for _, sent := range copies {
		if !sent.done {
			simulation.after(messageDelay, func() { simulation.copyLost(sent, server) })
		}
	}
}

// copyLost handles the loss of an unfinished copy at the node that sent it. The node sends the copy
// once more if the request is unblamed and the copy is not exclusive; otherwise the copy fails, and
// its caller retries it once if mayRetry is set. The loss of an exclusive copy ends the wait until
// exclusiveUntil, so that the next one can be sent.
func (simulation *simulation) copyLost(sent *requestCopy, server shedkeel.InstanceID) {
	if sent.done {
		return
	}
	if simulation.strategy.keepsLedger {
		blame, changed := simulation.nodes[sent.node].ledger.RecordFailure(request, server)
		simulation.recordUpdated(sent.node, blame, changed, true)
	}
	if sent.exclusive {
		simulation.exclusiveUntil = simulation.now
	}
	if sent.attempts < 2 && !sent.exclusive && simulation.judge(sent.node) == shedkeel.Unblamed && !simulation.nodes[sent.node].frozen {
		simulation.send(sent)
		return
	}
	sent.done = true
	if sent.mayRetry {
		simulation.after(2*messageDelay, func() { simulation.arrive(false) }) // the caller retries only once
	}
}

// recordUpdated handles the result of an update of a node's record; without a change it does
// nothing. If the request is then quarantined or contained, the node withdraws its copies, with
// withdrawsQueued. If unshared is set, there may be nodes without this record, and the node shares
// the record as the strategy says.
func (simulation *simulation) recordUpdated(index int, blame shedkeel.Blame, changed, unshared bool) {
	if !changed {
		return
	}
	blamed := simulation.strategy.judge(blame) != shedkeel.Unblamed
	if blamed && simulation.strategy.withdrawsQueued {
		simulation.withdrawQueued(index)
	}
	if !unshared {
		return
	}
	if simulation.strategy.decider && !blamed {
		simulation.notify(index, 0, blame) // node 0 is the decider
	}
	if blamed && simulation.strategy.broadcast {
		for other := range simulation.nodes {
			simulation.notify(index, other, blame)
		}
	}
	if blamed && simulation.strategy.persisted {
		simulation.writeStore(index, blame)
	}
}

// withdrawQueued withdraws all copies that a node has sent, except exclusive ones. A copy that
// its server already runs still makes the server fail.
func (simulation *simulation) withdrawQueued(index int) {
	for _, head := range simulation.heads {
		for _, sent := range head.copies {
			if sent.node == index && !sent.exclusive {
				sent.done = true
			}
		}
	}
}

// notify sends a record from one node to another. The record is lost if the nodes are partitioned
// or the receiver is frozen.
func (simulation *simulation) notify(from, to int, blame shedkeel.Blame) {
	if from == to || simulation.during(partitioned) && simulation.nodes[from].partition != simulation.nodes[to].partition {
		return
	}
	simulation.after(messageDelay, func() {
		if !simulation.nodes[to].frozen {
			simulation.mergeRecord(to, blame)
		}
	})
}

// mergeRecord merges a received record into the ledger of a node. The node shares the result
// if it has more servers than the received record.
func (simulation *simulation) mergeRecord(index int, received shedkeel.Blame) {
	blame, changed := simulation.nodes[index].ledger.Merge(received)
	simulation.recordUpdated(index, blame, changed, len(blame.Servers) > len(received.Servers))
}

// writeStore writes the record of a node to the store. After storeDelay, all nodes that are not
// frozen and reach the store read it. The written record replaces the stored one only if it has
// more servers. While the node does not reach the store, it tries again every 500 ms, with the
// record that it has by then.
func (simulation *simulation) writeStore(index int, blame shedkeel.Blame) {
	if !simulation.storeReachable(index) {
		simulation.after(500*time.Millisecond, func() { simulation.writeStore(index, simulation.nodes[index].ledger.Blame(request)) })
		return
	}
	simulation.after(storeDelay, func() {
		if len(blame.Servers) > len(simulation.stored.Servers) {
			simulation.stored = blame
		}
		for other, node := range simulation.nodes {
			if !node.frozen {
				simulation.readStore(other)
			}
		}
	})
}

// TestContainmentStrategies runs the same simulations with each strategy and logs the outcomes. For
// the strategy in use it checks that, from convergenceTime after the third failure on, connected
// nodes make at most three more attempts to send a copy, whatever the fault. The bound has the
// value of containThreshold, which otherwise is a number of servers.
func TestContainmentStrategies(t *testing.T) {
	strategies := map[string]strategy{
		"1 nothing recorded":             {}, // each copy has two attempts at most (see copyLost)
		"2 each node for itself":         {keepsLedger: true},
		"3 the store only":               {keepsLedger: true, persisted: true},
		"4 broadcast, no store":          {keepsLedger: true, decider: true, broadcast: true},
		"5 broadcast and stored":         {keepsLedger: true, decider: true, broadcast: true, persisted: true},
		"6 broadcast, stored, withdrawn": {keepsLedger: true, decider: true, broadcast: true, persisted: true, withdrawsQueued: true},
		"7 as 6, one at a time, current": current,
		"8 as 7, from the first failure": {keepsLedger: true, decider: true, broadcast: true, persisted: true, withdrawsQueued: true, oneAtATime: true, fromFirstFailure: true},
	}
	// sizes maps the number of nodes to that of heads. rates are copies of the request per second.
	sizes, rates := map[int]int{9: 12}, []float64{1, 10}
	if *allSizes {
		sizes, rates = map[int]int{9: 12, 66: 36, 300: 100}, []float64{1, 10, 50}
	}
	for nodes, heads := range sizes {
		for _, perSecond := range rates {
			for name, strategy := range strategies {
				lateAttempts := simulateAllFaults(t, fmt.Sprintf("%3d nodes, %2.0f per second, %-30s", nodes, perSecond, name), func(seed uint64) *simulation {
					return simulate(strategy, nodes, heads, perSecond, fault(seed%uint64(faultCount)), seed)
				})
				assert.Assert(t, strategy != current || lateAttempts <= containThreshold, "%d nodes, %.0f per second: %d late attempts", nodes, perSecond, lateAttempts)
			}
		}
	}
}

// simulateAllFaults runs simulations, in equal numbers for each fault, and logs their outcomes. It
// returns the maximum of lateAttempts over all of them. The fault of a simulation is its seed modulo
// faultCount.
func simulateAllFaults(t *testing.T, label string, simulate func(seed uint64) *simulation) int {
	t.Helper()
	const seeds = 20 * uint64(faultCount) // 20 simulations of each fault
	// contained counts the simulations in which at most containThreshold servers failed.
	// maxWithoutFault and maxFailed are the largest numbers of failed servers, over the simulations
	// without a fault and over all simulations. lateAttempts is its maximum over all simulations.
	contained, maxWithoutFault, maxFailed, lateAttempts := 0, 0, 0, 0
	for seed := range seeds {
		simulation := simulate(seed)
		if simulation.failedServers <= containThreshold {
			contained++
		}
		if simulation.fault == noFault {
			maxWithoutFault = max(maxWithoutFault, simulation.failedServers)
		}
		maxFailed, lateAttempts = max(maxFailed, simulation.failedServers), max(lateAttempts, simulation.lateAttempts)
	}
	t.Logf("%s at most three servers failed in %3d of %d; at most %3d servers failed without a fault, %3d in any simulation; at most %3d late attempts", label, contained, seeds, maxWithoutFault, maxFailed, lateAttempts)
	return lateAttempts
}
