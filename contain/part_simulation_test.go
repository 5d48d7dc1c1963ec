package contain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// partStrategy says what nodes do about parts under which servers have terminated.
type partStrategy struct {
	detects   bool // parts are recorded; otherwise each request is bounded by its attempts alone
	history   bool // parts that are known to be harmless are not suspected
	threshold int  // number of terminated servers from which a part is quarantined
	trials    bool // quarantined parts are tried, one request at a time; otherwise their requests are refused
}

// partsCurrent is the strategy that the product uses.
var partsCurrent = partStrategy{detects: true, history: true, threshold: 1, trials: true}

const (
	// partFaultCount is the number of faults of the simulation of parts: those of fault without
	// nodesFrozen and allNodesKilled, and serversLost.
	partFaultCount = 5
	// serversLost is the loss of a third of the heads at the same time, by a common cause.
	serversLost = faultCount
	// partWarmup is for how long only harmless requests arrive.
	partWarmup = 4 * time.Second
	partEnd    = partWarmup + requestDuration
	// writingTime is how long an answer takes from its first event to its end.
	writingTime = 700 * time.Millisecond
	// reportTime is how long after the fifth termination requests with the part may still reach servers.
	reportTime = time.Second
	// harmlessPerHead is the number of harmless requests per second and head.
	harmlessPerHead = 4
)

var partFaults = [partFaultCount]fault{noFault, nodesKilled, partitioned, storeUnavailable, serversLost}

// partSimulation simulates, in virtual time, a fleet that gets requests with deadly parts beside
// harmless ones that share their first parts.
type partSimulation struct {
	simulation // clock, events, random numbers and faults

	strategy  partStrategy
	detectors []*PartDetector
	heads     []*partHead
	deadly    int
	records   map[shedkeel.Subject]shedkeel.Blame // in the store
	rare      int                                 // number of parts that only two requests each have

	ended        map[shedkeel.Subject][]time.Duration // when servers terminated, by deadly part
	late         int                                  // attempts later than reportTime after the fifth of these
	harmless     int                                  // harmless requests that arrived once the parts should be known
	refused      int                                  // of these, refused
	messages     int                                  // between nodes
	wronglyBlame map[shedkeel.Subject]bool            // harmless parts that were contained at any time
}

// partHead is the server that heads a replica group.
type partHead struct {
	name        string
	incarnation int
	unavailable bool
	running     []*partRequest
}

// partRequest is a request with a deadly part, or a harmless one.
type partRequest struct {
	node     int
	parts    []shedkeel.Subject
	deadly   bool
	counted  bool // in partSimulation.harmless
	attempts int
	asked    int // for trials
	onTrial  bool
	done     bool
}

func part(name string) shedkeel.Subject { return shedkeel.PartSubject("m", shedkeel.PartID(name)) }

// simulateParts runs a simulation with requests with deadly parts at a rate of perSecond in total.
func simulateParts(strategy partStrategy, nodes, heads, deadly int, perSecond float64, fault fault, seed uint64) *partSimulation {
	simulation := &partSimulation{strategy: strategy, deadly: deadly, records: map[shedkeel.Subject]shedkeel.Blame{}, ended: map[shedkeel.Subject][]time.Duration{}, wronglyBlame: map[shedkeel.Subject]bool{}}
	simulation.fault, simulation.random = fault, rand.New(rand.NewPCG(seed, uint64(nodes)))
	for index := range nodes {
		simulation.nodes = append(simulation.nodes, &simNode{partition: index % 2})
		simulation.detectors = append(simulation.detectors, &PartDetector{Ledger: &Ledger{}})
	}
	for index := range heads {
		simulation.heads = append(simulation.heads, &partHead{name: fmt.Sprint("h", index)})
	}
	simulation.poisson(0, partEnd, harmlessPerHead*float64(heads), simulation.arriveHarmless)
	if deadly > 0 {
		simulation.poisson(partWarmup, partEnd, perSecond, simulation.arriveDeadly)
	}
	simulation.now = partWarmup + faultStart
	simulation.after(0, simulation.startPartFault)
	for at := time.Duration(0); at < partEnd; at += 100 * time.Millisecond {
		simulation.now = at
		simulation.after(0, func() {
			for index := range simulation.detectors {
				simulation.tell(index, simulation.detectors[index].Conclude(simulation.now))
			}
		})
	}
	for simulation.events.Len() > 0 {
		next := heap.Pop(&simulation.events).(simEvent)
		if next.at > partEnd {
			break
		}
		simulation.now = next.at
		next.run()
	}
	return simulation
}

// poisson schedules run as a Poisson process with the rate perSecond.
func (simulation *partSimulation) poisson(from, to time.Duration, perSecond float64, run func()) {
	for at := from; at < to; at += time.Duration(simulation.random.ExpFloat64() / perSecond * float64(time.Second)) {
		simulation.now = at
		simulation.after(0, run)
	}
}

// startPartFault starts the fault.
func (simulation *partSimulation) startPartFault() {
	switch simulation.fault {
	case nodesKilled:
		for index := range simulation.nodes {
			simulation.after(time.Duration(index)*faultDuration/time.Duration(len(simulation.nodes)), func() {
				simulation.detectors[index] = &PartDetector{Ledger: &Ledger{}}
				for _, blame := range simulation.records {
					simulation.merge(index, blame)
				}
			})
		}
	case partitioned, storeUnavailable: // nodes tell again what the store does not have
		simulation.after(faultDuration+time.Second, func() {
			for index, detector := range simulation.detectors[:2] {
				for _, blame := range detector.Ledger.All() {
					if len(blame.Servers) >= 2 {
						simulation.tell(index, []shedkeel.Blame{blame})
					}
				}
			}
		})
	case serversLost:
		for index, head := range simulation.heads {
			if index%3 == 0 {
				simulation.end(head)
			}
		}
	}
}

// cut reports whether two nodes do not reach each other.
func (simulation *partSimulation) cut(from, to int) bool {
	began := partWarmup + faultStart
	return simulation.fault == partitioned && simulation.now >= began && simulation.now < began+faultDuration && simulation.nodes[from].partition != simulation.nodes[to].partition
}

// inTouch reports whether all nodes have reached each other throughout convergenceTime.
func (simulation *partSimulation) inTouch() bool {
	began := partWarmup + faultStart
	return simulation.fault != partitioned || simulation.now < began || simulation.now > began+faultDuration+convergenceTime
}

// collector returns the node to which a node reports.
func (simulation *partSimulation) collector(node int) int {
	if simulation.cut(node, 0) {
		return 1
	}
	return 0
}

// arriveHarmless delivers a harmless request: with one of 30 first parts, and one in 50 with a part
// that only one other request has.
func (simulation *partSimulation) arriveHarmless() {
	request := &partRequest{node: simulation.random.IntN(len(simulation.nodes)), parts: []shedkeel.Subject{simulation.firstPart()}}
	if simulation.random.IntN(50) == 0 {
		simulation.rare++
		request.parts = append(request.parts, part(fmt.Sprint("rare", simulation.rare/2)))
	}
	if simulation.now > partWarmup+faultStart+faultDuration {
		request.counted = true
		simulation.harmless++
	}
	simulation.admit(request)
}

// firstPart returns the first part of a prompt; some are much more common than others.
func (simulation *partSimulation) firstPart() shedkeel.Subject {
	return part(fmt.Sprint("first", int(30*simulation.random.Float64()*simulation.random.Float64())))
}

// arriveDeadly delivers a request with a deadly part.
func (simulation *partSimulation) arriveDeadly() {
	deadly := part(fmt.Sprint("deadly", simulation.random.IntN(simulation.deadly)))
	simulation.admit(&partRequest{node: simulation.random.IntN(len(simulation.nodes)), parts: []shedkeel.Subject{simulation.firstPart(), deadly}, deadly: true})
}

// judgePart returns the judgment of a part at a node.
func (simulation *partSimulation) judgePart(node int, part shedkeel.Subject) shedkeel.Judgment {
	ledger := simulation.detectors[node].Ledger
	judgment := ledger.Judge(part)
	if judgment == shedkeel.Quarantined && len(ledger.Blame(part).Servers) < simulation.strategy.threshold {
		return shedkeel.Unblamed
	}
	return judgment
}

// admit sends a request, asks for a trial, or refuses the request.
func (simulation *partSimulation) admit(request *partRequest) {
	worst := shedkeel.Unblamed
	for _, part := range request.parts {
		worst = max(worst, simulation.judgePart(request.node, part))
	}
	switch {
	case worst == shedkeel.Unblamed:
		simulation.send(request, nil)
	case worst == shedkeel.Quarantined && simulation.strategy.trials && request.asked < 3:
		request.asked++
		simulation.after(2*messageDelay, func() { simulation.askTrial(request) })
	default:
		simulation.refuse(request)
	}
}

// askTrial asks the collector for a trial.
func (simulation *partSimulation) askTrial(request *partRequest) {
	simulation.messages += 2
	collector := simulation.collector(request.node)
	for _, part := range request.parts {
		if blame := simulation.detectors[request.node].Ledger.Blame(part); len(blame.Servers) > 0 {
			simulation.merge(collector, blame)
		}
	}
	simulation.tell(collector, simulation.detectors[collector].Conclude(simulation.now))
	decision := simulation.detectors[collector].AllowTrial(request.parts, simulation.now)
	switch {
	case decision.Allowed:
		request.onTrial = true
		simulation.send(request, decision.Avoid)
	case decision.Wait > 0:
		simulation.after(decision.Wait, func() { simulation.admit(request) })
	default:
		simulation.refuse(request)
	}
}

func (simulation *partSimulation) refuse(request *partRequest) {
	request.done = true
	if request.counted {
		simulation.refused++
	}
}

// send sends a request to a random available head.
func (simulation *partSimulation) send(request *partRequest, avoid []shedkeel.InstanceID) {
	var available []*partHead
	for _, head := range simulation.heads {
		if !head.unavailable && !slices.Contains(avoid, head.instance()) {
			available = append(available, head)
		}
	}
	if len(available) == 0 {
		return
	}
	head := available[simulation.random.IntN(len(available))]
	if request.onTrial {
		simulation.detectors[simulation.collector(request.node)].PlaceTrial(request.parts, head.instance())
	}
	if request.deadly {
		ended := simulation.ended[request.parts[1]]
		if len(ended) >= 5 && simulation.now > ended[4]+reportTime && simulation.inTouch() {
			simulation.late++
		}
	}
	request.attempts++
	head.running = append(head.running, request)
	incarnation := head.incarnation
	simulation.after(simulation.between(150*time.Millisecond, 350*time.Millisecond), func() {
		if request.done || head.incarnation != incarnation {
			return
		}
		if request.deadly {
			simulation.after(simulation.between(40*time.Millisecond, 100*time.Millisecond), func() {
				if head.incarnation == incarnation {
					simulation.ended[request.parts[1]] = append(simulation.ended[request.parts[1]], simulation.now)
					simulation.end(head)
				}
			})
			return
		}
		simulation.after(writingTime, func() {
			if head.incarnation == incarnation && !request.done {
				simulation.answered(request, head)
			}
		})
	})
}

// instance returns the instance of the head.
func (head *partHead) instance() shedkeel.InstanceID {
	return shedkeel.InstanceID(fmt.Sprint(head.name, "@", head.incarnation))
}

// answered ends a request with a complete answer.
func (simulation *partSimulation) answered(request *partRequest, head *partHead) {
	request.done = true
	head.running = slices.DeleteFunc(head.running, func(other *partRequest) bool { return other == request })
	detector := simulation.detectors[request.node]
	if simulation.strategy.history {
		for _, blame := range detector.PartsHarmless(request.parts, simulation.now) {
			simulation.tellCleared(request.node, blame)
		}
	} else {
		for _, part := range request.parts {
			if before, after := detector.Ledger.Clear(part); len(before.Servers) > 0 {
				simulation.tell(request.node, []shedkeel.Blame{after})
			}
		}
	}
	simulation.endTrial(request)
}

// endTrial tells the collector that a trial has ended.
func (simulation *partSimulation) endTrial(request *partRequest) {
	if request.onTrial {
		request.onTrial = false
		simulation.messages++
		simulation.detectors[simulation.collector(request.node)].EndTrial(request.parts)
	}
}

// end lets a head terminate: all its requests are lost.
func (simulation *partSimulation) end(head *partHead) {
	server, lost := head.instance(), head.running
	head.running, head.unavailable = nil, true
	head.incarnation++
	simulation.after(recoveryTime, func() { head.unavailable = false })
	for _, request := range lost {
		if !request.done {
			simulation.after(messageDelay, func() { simulation.lost(request, server) })
		}
	}
}

// lost reports a lost request to the collector and sends it once more.
func (simulation *partSimulation) lost(request *partRequest, server shedkeel.InstanceID) {
	if request.done {
		return
	}
	if simulation.strategy.detects {
		report := simulation.detectors[request.node].ServerEnded(shedkeel.GuardedRequest{Parts: request.parts, OnTrial: request.onTrial}, server, simulation.now, time.Time{})
		collector := simulation.collector(request.node)
		simulation.messages++
		simulation.after(messageDelay, func() {
			changed, reply := simulation.detectors[collector].Collect(report, simulation.now, time.Time{})
			simulation.tell(collector, changed)
			for _, blame := range reply {
				simulation.after(messageDelay, func() { simulation.merge(request.node, blame) })
			}
		})
	}
	simulation.endTrial(request)
	if request.attempts < 2 {
		simulation.admit(request)
	}
}

// tell sends records from a node to all others, and to the store.
func (simulation *partSimulation) tell(from int, blames []shedkeel.Blame) {
	for _, blame := range blames {
		if blame.Contained && len(blame.Subject) > 0 && !isDeadly(blame.Subject) {
			simulation.wronglyBlame[blame.Subject] = true
		}
		simulation.withdraw(from, blame)
		for other := range simulation.nodes {
			if other != from && !simulation.cut(from, other) {
				simulation.messages++
				simulation.after(messageDelay, func() { simulation.merge(other, blame) })
			}
		}
		simulation.write(from, blame)
	}
}

// tellCleared tells the collector that a part is harmless. If that is new to it, it tells all nodes.
func (simulation *partSimulation) tellCleared(node int, blame shedkeel.Blame) {
	collector := simulation.collector(node)
	if collector == node {
		simulation.tell(node, []shedkeel.Blame{blame})
		return
	}
	simulation.messages++
	simulation.after(messageDelay, func() {
		if merged, changed, _ := simulation.detectors[collector].Merge(blame, simulation.now); changed {
			simulation.tell(collector, []shedkeel.Blame{merged})
		}
	})
}

func isDeadly(subject shedkeel.Subject) bool {
	_, id, _ := subject.Part()
	return len(id) > 6 && id[:6] == "deadly"
}

// write writes a record to the store, which all nodes read after storeDelay.
func (simulation *partSimulation) write(from int, blame shedkeel.Blame) {
	began := partWarmup + faultStart
	away := simulation.now >= began && simulation.now < began+faultDuration && (simulation.fault == storeUnavailable || simulation.fault == partitioned && simulation.nodes[from].partition == 1)
	if away || len(blame.Servers) < 2 {
		return // the node's later writes are not simulated
	}
	simulation.after(storeDelay, func() {
		simulation.records[blame.Subject] = blame
		for other := range simulation.nodes {
			simulation.merge(other, blame)
		}
	})
}

// merge merges a record into the ledger of a node.
func (simulation *partSimulation) merge(node int, blame shedkeel.Blame) {
	detector := simulation.detectors[node]
	merged, changed, refuted := detector.Merge(blame, simulation.now)
	if refuted {
		simulation.tellCleared(node, merged)
	} else if changed {
		simulation.withdraw(node, merged)
	}
}

// withdraw withdraws the requests of a node with a quarantined or contained part whose answers have
// not begun, unless they are on trial.
func (simulation *partSimulation) withdraw(node int, blame shedkeel.Blame) {
	if simulation.judgePart(node, blame.Subject) == shedkeel.Unblamed {
		return
	}
	for _, head := range simulation.heads {
		for _, request := range head.running {
			if request.node == node && !request.onTrial && !request.done && slices.Contains(request.parts, blame.Subject) {
				simulation.refuse(request)
				simulation.messages++
				collector, server := simulation.collector(node), head.instance()
				simulation.after(messageDelay, func() { simulation.detectors[collector].Withdrawn(blame.Subject, server, simulation.now) })
			}
		}
	}
}

// containedAtEnd returns how many harmless parts any node contains.
func (simulation *partSimulation) containedAtEnd() int {
	found := map[shedkeel.Subject]bool{}
	for _, detector := range simulation.detectors {
		for _, blame := range detector.Ledger.All() {
			if blame.Contained && !isDeadly(blame.Subject) {
				found[blame.Subject] = true
			}
		}
	}
	return len(found)
}

// TestPartStrategies runs the same simulations with each strategy and logs the outcomes. For the
// strategy in use it checks that no request is sent later than reportTime after the fifth server
// terminated, that no harmless part is contained if servers terminate by a common cause alone, nor for
// long otherwise, and that harmless requests go on.
func TestPartStrategies(t *testing.T) {
	strategies := map[string]partStrategy{
		"1 by whole request":        {},
		"2 counted from the second": {detects: true, threshold: 2, trials: true},
		"3 counted from the first":  {detects: true, threshold: 1, trials: true},
		"4 as 3, refused, no trial": {detects: true, threshold: 1},
		"5 history, from second":    {detects: true, history: true, threshold: 2, trials: true},
		"6 history, from first":     partsCurrent,
	}
	sizes, rates := map[int]int{9: 12}, []float64{1, 10}
	if *allSizes {
		sizes, rates = map[int]int{9: 12, 66: 36, 300: 100}, []float64{1, 5, 10, 50}
	}
	for nodes, heads := range sizes {
		for _, perSecond := range rates {
			for deadly := range 3 {
				for name, strategy := range strategies {
					checkPartStrategy(t, name, strategy, nodes, heads, deadly, perSecond)
				}
			}
		}
	}
}

// checkPartStrategy runs the simulations of one strategy and logs their outcome.
func checkPartStrategy(t *testing.T, name string, strategy partStrategy, nodes, heads, deadly int, perSecond float64) {
	t.Helper()
	const seeds = 8 * partFaultCount
	three, five, parts, most, late, wrong, stays, messages := 0, 0, 0, 0, 0, 0, 0, 0
	worstServed, total := 1.0, 0
	for seed := range uint64(seeds) {
		simulation := simulateParts(strategy, nodes, heads, deadly, perSecond, partFaults[seed%partFaultCount], seed)
		for _, ended := range simulation.ended {
			parts++
			if len(ended) <= 3 {
				three++
			}
			if len(ended) <= 5 {
				five++
			}
			most, total = max(most, len(ended)), total+len(ended)
		}
		late, wrong = max(late, simulation.late), max(wrong, len(simulation.wronglyBlame))
		stays = max(stays, simulation.containedAtEnd())
		worstServed = min(worstServed, 1-float64(simulation.refused)/float64(max(simulation.harmless, 1)))
		messages += simulation.messages
	}
	t.Logf("%3d nodes, %2.0f per second, %d parts, %-26s three or fewer ended %3d, five or fewer %3d of %3d; mean %.1f; most %3d; late %3d; harmless parts contained %d, at the end %d; harmless requests not refused %.3f; messages %d",
		nodes, perSecond, deadly, name, three, five, parts, float64(total)/float64(max(parts, 1)), most, late, wrong, stays, worstServed, messages/seeds)
	if strategy == partsCurrent {
		assert.Assert(t, late == 0 && stays == 0 && (deadly > 0 || wrong == 0), "%d late; %d harmless parts contained, %d of them at the end", late, wrong, stays)
		assert.Assert(t, worstServed >= 0.95, "%.3f of the harmless requests not refused", worstServed)
	}
}
