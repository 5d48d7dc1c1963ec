package ratelimit

import (
	"container/heap"
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

var allSizes = flag.Bool("sizes", false, "compare the schemes for sharing a limit at all sizes and rates")

// scheme is a way for the nodes to share the limit of a server.
type scheme interface {
	// ask requests a permit for the node. It calls answer once, either before it returns
	// or later in virtual time.
	ask(fleet *simFleet, node *simNode, answer func(permit shedkeel.Permit))
	// restart clears state of the node that the scheme keeps outside simNode. None of the present
	// schemes keeps any; simFleet.restart clears the state in simNode.
	restart(node *simNode)
}

// Parameters of the simulated fleet.
const (
	simDuration     = 24 * time.Second
	simWindow       = 4 * time.Second        // in which requests to the server are counted
	propagationTime = 3 * time.Second        // within which all nodes should have received a limit
	simBurst        = 5                      // requests allowed in a window in addition to one and a half times the limit (see allowed)
	linkDelay       = 2 * time.Millisecond   // of a message between two nodes
	callTimeout     = 30 * time.Millisecond  // after which a call to an unreachable node fails
	retryPause      = 200 * time.Millisecond // the Wait of a refusal that does not come from a token bucket
	answerDelay     = 100 * time.Millisecond // after which the server's answer states its limit
	// gossipDelay is how long a limit takes to reach all other nodes.
	gossipDelay = 60 * time.Millisecond
	// Failure detection finds a node dead suspectMin to suspectMax after the node becomes
	// unreachable, and alive again recoverMin to recoverMax after the node is reachable again.
	suspectMin, suspectMax = 400 * time.Millisecond, 1300 * time.Millisecond
	recoverMin, recoverMax = 50 * time.Millisecond, 600 * time.Millisecond
	// delistDelay is how long a node is down or frozen before its record is removed.
	delistDelay = 3 * time.Second
)

// interval is a half-open interval of virtual time.
type interval struct{ from, until time.Duration }

func (interval interval) contains(now time.Duration) bool {
	return now >= interval.from && now < interval.until
}

// scenario describes the faults and the changes of the limit in one simulation.
type scenario struct {
	kill      func(fleet *simFleet)                  // takes nodes down; they restart without state
	freeze    func(fleet *simFleet)                  // suspends nodes; they keep their state
	partition interval                               // the nodes with an even and those with an odd index cannot reach each other
	limit     func(at time.Duration) (float64, bool) // the server's limit as a fraction of simFleet.rate, and whether it states one; nil: always 1
}

// killInTurn takes a node down every 2 s from 3 s on, each for 1.5 s, in the order of
// simFleet.ranked, as long as the simulation lasts.
func killInTurn(fleet *simFleet) {
	for index, node := range fleet.ranked {
		from := 3*time.Second + time.Duration(index)*2*time.Second
		if from < simDuration {
			node.killed = append(node.killed, interval{from, from + 1500*time.Millisecond})
		}
	}
}

// killAll takes all nodes down at 6 s, each for 200 ms to a second.
func killAll(fleet *simFleet) {
	for _, node := range fleet.nodes {
		node.killed = append(node.killed, interval{6 * time.Second, 6*time.Second + fleet.randomBetween(200*time.Millisecond, time.Second)})
	}
}

// freezeThird suspends every third node of simFleet.ranked, from 5 s until a random time of 6 to
// 15 s that differs between the nodes.
func freezeThird(fleet *simFleet) {
	for index, node := range fleet.ranked {
		if index%3 == 0 {
			node.frozen = append(node.frozen, interval{5 * time.Second, fleet.randomBetween(6*time.Second, 15*time.Second)})
		}
	}
}

// changingLimit is the limit of a server that states its full rate until 6 s, a fifth of that rate
// until 12 s, no limit until 16 s, and then the full rate again.
func changingLimit(at time.Duration) (float64, bool) {
	switch {
	case at < 6*time.Second, at > 16*time.Second:
		return 1, true
	case at < 12*time.Second:
		return 0.2, true
	}
	return 0, false
}

var scenarios = map[string]scenario{
	"no faults":             {},
	"nodes killed in turn":  {kill: killInTurn},
	"all killed":            {kill: killAll},
	"partitioned":           {partition: interval{5 * time.Second, 14 * time.Second}}, // from 5 to 14 s
	"a third frozen":        {freeze: freezeThird},
	"the limit changes":     {limit: changingLimit},
	"killed, limit changes": {kill: killInTurn, limit: changingLimit},
}

// demand returns the fraction of all requests that arrives at a node now.
type demand func(fleet *simFleet, node *simNode, now time.Duration) float64

// demands are the ways in which the requests are distributed over the nodes: evenly, all to node 0,
// or all to one node, which changes every 5 s.
var demands = map[string]demand{
	"even": func(fleet *simFleet, _ *simNode, _ time.Duration) float64 { return 1 / float64(len(fleet.nodes)) },
	"one node": func(_ *simFleet, node *simNode, _ time.Duration) float64 {
		if node.index == 0 {
			return 1
		}
		return 0
	},
	"moving": func(fleet *simFleet, node *simNode, now time.Duration) float64 {
		if node.index == int(now/(5*time.Second))%len(fleet.nodes) {
			return 1
		}
		return 0
	},
}

// simFleet simulates, in virtual time, a fleet of nodes and one server that limits its
// rate.
type simFleet struct {
	scheme   scheme
	scenario scenario
	rate     float64 // the server's full rate, in requests per second
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	nodes    []*simNode
	ranked   []*simNode // in the order in which rendezvous hashing ranks them for the server
	attempts []attempt
	offered  int // requests that arrived at running nodes
	calls    int // calls between nodes
}

// attempt is one request that was sent to the server.
type attempt struct {
	at       time.Duration
	informed bool // the node had known for at least 500 ms that the server has a limit (see send)
}

// simNode is one node of the fleet.
type simNode struct {
	index          int
	hash           uint64        // order of the node in simFleet.ranked; detection delays depend on it too
	killed, frozen []interval    // when the node is down, and when it is suspended
	blockedUntil   time.Duration // until when the node asks for no permit, after a refusal
	knownSince     time.Duration // when the node learned that the server has a limit; below 0: it does not know of one

	granter       Granter       // for singleGranter
	bucket        *rate.Limiter // token bucket: in leasedBlocks, the granter's, from which it grants blocks; in evenShares, demandShares and twoSenders, the one that take uses
	leasedPermits int           // for leasedBlocks: permits of its block that it has not used
	leaseEnd      time.Duration // for leasedBlocks: when the permits of the block expire
	recentDemand  float64       // for demandShares: number of requests that arrived at the node, halved each second
}

// randomBetween returns a random duration of at least least and less than most.
func (fleet *simFleet) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(fleet.random.Int64N(int64(most-least)))
}

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(a, b int) bool { return queue[a].at < queue[b].at }
func (queue eventQueue) Swap(a, b int)      { queue[a], queue[b] = queue[b], queue[a] }
func (queue *eventQueue) Push(added any)    { *queue = append(*queue, added.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// schedule schedules do for the virtual time fleet.now plus after.
func (fleet *simFleet) schedule(after time.Duration, do func()) {
	heap.Push(&fleet.events, event{fleet.now + after, do})
}

// newSimFleet returns a fleet of size nodes in which the scenario's faults, the restarts of killed
// nodes, the first request and the first call of decayDemand are scheduled. rate is the server's
// full rate.
func newSimFleet(scheme scheme, scenario scenario, size int, rate float64, demand demand, seed uint64) *simFleet {
	fleet := &simFleet{scheme: scheme, scenario: scenario, rate: rate, random: rand.New(rand.NewPCG(seed, 1))}
	for index := range size {
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, seed, "-", index) // a hash never returns an error
		fleet.nodes = append(fleet.nodes, &simNode{index: index, hash: hash.Sum64(), knownSince: -1})
	}
	fleet.ranked = slices.Clone(fleet.nodes)
	slices.SortFunc(fleet.ranked, func(a, b *simNode) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for _, inject := range []func(*simFleet){scenario.kill, scenario.freeze} {
		if inject != nil {
			inject(fleet)
		}
	}
	for _, node := range fleet.nodes {
		for _, killed := range node.killed {
			heap.Push(&fleet.events, event{killed.until, func() { fleet.restart(node) }})
		}
	}
	// Demand is three times the server's full rate, and at least 8 requests per second.
	fleet.arrive(demand, max(3*rate, 8))
	heap.Push(&fleet.events, event{time.Second, fleet.decayDemand})
	return fleet
}

// arrive schedules the next request, which schedules the one after it.
func (fleet *simFleet) arrive(demand demand, perSecond float64) {
	fleet.schedule(time.Duration(fleet.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		point := fleet.random.Float64()
		for _, node := range fleet.nodes {
			if point -= demand(fleet, node, fleet.now); point < 0 {
				fleet.request(node)
				break
			}
		}
		fleet.arrive(demand, perSecond)
	})
}

// decayDemand halves the recent demand of all nodes, each second.
func (fleet *simFleet) decayDemand() {
	for _, node := range fleet.nodes {
		node.recentDemand /= 2
	}
	fleet.schedule(time.Second, fleet.decayDemand)
}

// restart clears the state that a node loses when it is killed.
func (fleet *simFleet) restart(node *simNode) {
	node.knownSince, node.blockedUntil = -1, 0
	node.granter = Granter{}
	node.bucket, node.leasedPermits, node.recentDemand = nil, 0, 0
	fleet.scheme.restart(node)
}

// running reports whether the node is neither down nor suspended.
func (node *simNode) running(now time.Duration) bool {
	for _, down := range append(slices.Clone(node.killed), node.frozen...) {
		if down.contains(now) {
			return false
		}
	}
	return true
}

// limit returns the limit that the server states now, and whether it states one. Nodes learn
// of a new limit later.
func (fleet *simFleet) limit() (float64, bool) {
	if fleet.scenario.limit == nil {
		return fleet.rate, true
	}
	fraction, limited := fleet.scenario.limit(fleet.now)
	return fleet.rate * fraction, limited
}

// request handles a request that arrives at a node: the node sends the request if the node knows
// of no limit or gets a permit. The node drops the request without asking before blockedUntil, and
// after a refusal. A request to a node that is not running is not counted as offered. A node learns
// without delay that the server no longer has a limit.
func (fleet *simFleet) request(node *simNode) {
	if !node.running(fleet.now) {
		return
	}
	fleet.offered++
	node.recentDemand++
	_, limited := fleet.limit()
	if !limited {
		node.knownSince = -1
	}
	switch {
	case node.knownSince < 0:
		fleet.send(node)
	case fleet.now >= node.blockedUntil:
		fleet.scheme.ask(fleet, node, func(permit shedkeel.Permit) {
			if permit.Granted {
				fleet.send(node)
				return
			}
			node.blockedUntil = max(node.blockedUntil, fleet.now+permit.Wait)
		})
	}
}

// send sends a request to the server. If the node does not know that the server has a limit, it
// learns so from the answer, after answerDelay.
func (fleet *simFleet) send(node *simNode) {
	informed := node.knownSince >= 0 && fleet.now-node.knownSince >= 500*time.Millisecond
	fleet.attempts = append(fleet.attempts, attempt{fleet.now, informed})
	if _, limited := fleet.limit(); limited && node.knownSince < 0 {
		fleet.schedule(answerDelay, func() { fleet.learn(node) })
	}
}

// learn makes the limit known to a node, unless it is known there, and after gossipDelay to all
// nodes that this node then reaches.
func (fleet *simFleet) learn(node *simNode) {
	if node.knownSince >= 0 {
		return
	}
	node.knownSince = fleet.now
	fleet.schedule(gossipDelay, func() {
		for _, other := range fleet.nodes {
			if other.knownSince < 0 && fleet.reaches(node, other) {
				other.knownSince = fleet.now
			}
		}
	})
}

// reaches reports whether a message that a sends to b now arrives: b is running, and no partition
// separates the two.
func (fleet *simFleet) reaches(a, b *simNode) bool {
	partitioned := fleet.scenario.partition.contains(fleet.now) && a.index%2 != b.index%2
	return b.running(fleet.now) && !partitioned
}

// call runs serve at callee after linkDelay, and passes the result to answer at caller after
// another linkDelay. If callee cannot be reached, answer gets a refusal after callTimeout. If
// caller and callee are the same node, there is no delay and the call is not counted.
func (fleet *simFleet) call(caller, callee *simNode, serve func() shedkeel.Permit, answer func(shedkeel.Permit)) {
	if caller == callee {
		answer(serve())
		return
	}
	fleet.calls++
	if !fleet.reaches(caller, callee) {
		fleet.schedule(callTimeout, func() { answer(shedkeel.Permit{Wait: retryPause}) })
		return
	}
	fleet.schedule(linkDelay, func() {
		permit := serve()
		fleet.schedule(linkDelay, func() { answer(permit) })
	})
}

// suspected returns the intervals in which node a believes that node b is dead: those in which
// b is down, frozen or partitioned from a, with a delay of detection that depends on the two nodes.
// Without a partition, a can suspect b at a time between suspectMin and recoverMax if one of their
// indexes is even and the other odd, because the delays also apply to the empty interval.
func (fleet *simFleet) suspected(a, b *simNode) []interval {
	// detectionDelay returns a delay between least and most, always the same for the two nodes.
	detectionDelay := func(least, most time.Duration) time.Duration {
		return least + time.Duration((a.hash^b.hash*31)%uint64(most-least))
	}
	down := append(slices.Clone(b.killed), b.frozen...)
	if a.index%2 != b.index%2 {
		down = append(down, fleet.scenario.partition)
	}
	for index := range down {
		down[index].from += detectionDelay(suspectMin, suspectMax)
		down[index].until += detectionDelay(recoverMin, recoverMax)
	}
	return down
}

// believesAlive reports whether node a believes that node b is alive.
func (fleet *simFleet) believesAlive(a, b *simNode) bool {
	for _, suspected := range fleet.suspected(a, b) {
		if suspected.contains(fleet.now) {
			return false
		}
	}
	return true
}

// stableSince returns since when the set of nodes that a node believes alive has not
// changed. The last restart of the node itself counts as a change.
func (fleet *simFleet) stableSince(node *simNode) time.Duration {
	last := time.Duration(0)
	for _, killed := range node.killed {
		if killed.until <= fleet.now {
			last = max(last, killed.until)
		}
	}
	for _, other := range fleet.nodes {
		for _, suspected := range fleet.suspected(node, other) {
			for _, at := range []time.Duration{suspected.from, suspected.until} {
				if at <= fleet.now {
					last = max(last, at)
				}
			}
		}
	}
	return last
}

// listed reports whether a node has a record in the key-value service. The record is missing from
// delistDelay after the node goes down or is frozen until the node runs again.
func (fleet *simFleet) listed(node *simNode) bool {
	for _, down := range append(slices.Clone(node.killed), node.frozen...) {
		if (interval{down.from + delistDelay, down.until}).contains(fleet.now) {
			return false
		}
	}
	return true
}

// aliveFraction returns the fraction of the listed nodes that a node believes alive.
func (fleet *simFleet) aliveFraction(node *simNode) float64 {
	alive, listed := 0, 0
	for _, other := range fleet.nodes {
		if !fleet.listed(other) {
			continue
		}
		listed++
		if fleet.believesAlive(node, other) {
			alive++
		}
	}
	return float64(alive) / float64(max(listed, 1))
}

// firstAlive returns up to count nodes, the first in the server's rendezvous order that a node
// believes alive. The node itself always counts as alive here, whatever believesAlive returns for
// it: believesAlive(node, node) can be false for some time after the node was down or frozen.
func (fleet *simFleet) firstAlive(node *simNode, count int) []*simNode {
	var found []*simNode
	for _, other := range fleet.ranked {
		if len(found) < count && (other == node || fleet.believesAlive(node, other)) {
			found = append(found, other)
		}
	}
	return found
}

// run simulates the scenario for simDuration and returns its outcome.
func (fleet *simFleet) run() outcome {
	for fleet.events.Len() > 0 {
		next, _ := heap.Pop(&fleet.events).(event)
		if next.at > simDuration {
			break
		}
		fleet.now = next.at
		next.do()
	}
	return fleet.evaluate()
}

// outcome is the result of one simulation.
type outcome struct {
	worst       float64 // highest ratio, over all windows, of the requests sent to the requests allowed
	utilization float64 // fraction of the limit that was used
	calls       float64 // calls between nodes, per second
}

// evaluate compares the requests that were sent with the limit. It counts only requests of nodes
// that had known of the limit for the time that send requires (see attempt.informed), in sliding
// windows of simWindow. The utilization leaves out the time before propagationTime and the times
// without a limit. evaluate changes fleet.now, at which the method limit looks the limit up.
func (fleet *simFleet) evaluate() outcome {
	var informed []time.Duration
	for _, attempt := range fleet.attempts {
		if attempt.informed {
			informed = append(informed, attempt.at)
		}
	}
	result := outcome{calls: float64(fleet.calls) / simDuration.Seconds()}
	first := 0
	for last, at := range informed {
		for at-informed[first] > simWindow {
			first++
		}
		result.worst = max(result.worst, float64(last-first+1)/fleet.allowed(at))
	}
	available := 0.0
	for at := propagationTime; at < simDuration; at += 100 * time.Millisecond { // in steps of a tenth of a second
		fleet.now = at
		if limit, limited := fleet.limit(); limited {
			available += limit / 10 // requests in a tenth of a second
		}
	}
	used := 0
	for _, attempt := range fleet.attempts {
		fleet.now = attempt.at
		if _, limited := fleet.limit(); limited && attempt.at >= propagationTime && attempt.informed {
			used++
		}
	}
	result.utilization = float64(used) / available
	return result
}

// allowed returns how many requests the server may get in the window that ends at end. It
// uses the highest limit stated in the window or within propagationTime before the window, or
// infinity if the server stated none at some moment of that time. It changes fleet.now, at
// which the method limit looks the limit up.
func (fleet *simFleet) allowed(end time.Duration) float64 {
	most := 0.0
	for at := max(end-simWindow-propagationTime, 0); at <= end; at += 100 * time.Millisecond {
		fleet.now = at
		limit, limited := fleet.limit()
		if !limited {
			return math.Inf(1)
		}
		most = max(most, limit)
	}
	return 1.5*most*simWindow.Seconds() + simBurst
}

// singleGranter is the scheme that the product uses: one node, the granter, grants permits to all
// nodes. The granter multiplies the limit by the fraction of the listed nodes that it believes
// alive, so that two granters in a partitioned fleet together keep the limit. With fullRate, the
// granter does not reduce the limit.
type singleGranter struct{ fullRate bool }

func (singleGranter singleGranter) ask(fleet *simFleet, node *simNode, answer func(shedkeel.Permit)) {
	granter := fleet.firstAlive(node, 1)[0]
	fleet.call(node, granter, func() shedkeel.Permit { return singleGranter.grant(fleet, granter) }, answer)
}

func (singleGranter singleGranter) grant(fleet *simFleet, granter *simNode) shedkeel.Permit {
	limit, limited := fleet.limit()
	if !limited {
		return shedkeel.Permit{Granted: true}
	}
	if fleet.firstAlive(granter, 1)[0] != granter {
		// Another node is the granter now. If this one takes over again, it starts with an
		// empty bucket and waits for handoverDelay.
		granter.granter.Retain(func(shedkeel.InstanceID) bool { return false })
		return shedkeel.Permit{Wait: retryPause}
	}
	if !singleGranter.fullRate {
		limit *= fleet.aliveFraction(granter)
	}
	return granter.granter.Grant(PermitRequest{Server: "s", Rate: limit, SettledSince: fleet.stableSince(granter)}, fleet.now)
}

func (singleGranter) restart(*simNode) {}

// evenShares gives each listed node an equal share of the limit, which the node uses without
// asking another node.
type evenShares struct{}

func (evenShares) ask(fleet *simFleet, node *simNode, answer func(shedkeel.Permit)) {
	limit, _ := fleet.limit()
	listed := 0
	for _, other := range fleet.nodes {
		if fleet.listed(other) {
			listed++
		}
	}
	answer(node.take(limit/float64(listed), fleet.now))
}

func (evenShares) restart(*simNode) {}

// take sets the rate of the node's own token bucket, which holds at most one permit, and takes a
// permit from the bucket. A refusal has no Wait.
func (node *simNode) take(perSecond float64, now time.Duration) shedkeel.Permit {
	if node.bucket == nil {
		node.bucket = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	node.bucket.SetLimitAt(instant(now), rate.Limit(perSecond))
	return shedkeel.Permit{Granted: node.bucket.AllowN(instant(now), 1)}
}

// demandShares gives each node a share of the limit in proportion to the node's recentDemand. Each
// node knows, without delay, the recentDemand of all nodes that it believes alive.
type demandShares struct{}

func (demandShares) ask(fleet *simFleet, node *simNode, answer func(shedkeel.Permit)) {
	limit, _ := fleet.limit()
	total := 0.0
	for _, other := range fleet.nodes {
		if fleet.believesAlive(node, other) {
			total += other.recentDemand
		}
	}
	answer(node.take(limit*node.recentDemand/max(total, 1), fleet.now))
}

func (demandShares) restart(*simNode) {}

// leasedBlocks lets one node grant blocks of permits, which expire after leaseDuration. A block
// has as many permits as the limit allows in that time, but at least one.
type leasedBlocks struct{}

const leaseDuration = 500 * time.Millisecond

func (leasedBlocks) ask(fleet *simFleet, node *simNode, answer func(shedkeel.Permit)) {
	if fleet.now < node.leaseEnd && node.leasedPermits > 0 {
		node.leasedPermits--
		answer(shedkeel.Permit{Granted: true})
		return
	}
	granter := fleet.firstAlive(node, 1)[0]
	limit, _ := fleet.limit()
	block := max(int(limit*leaseDuration.Seconds()), 1)
	fleet.call(node, granter, func() shedkeel.Permit {
		if granter.bucket == nil {
			granter.bucket = rate.NewLimiter(rate.Limit(limit), block)
			granter.bucket.AllowN(instant(fleet.now), block) // a new rate.Limiter is full: empty it
		}
		granter.bucket.SetLimitAt(instant(fleet.now), rate.Limit(limit))
		granter.bucket.SetBurstAt(instant(fleet.now), block)
		return shedkeel.Permit{Granted: granter.bucket.AllowN(instant(fleet.now), block), Wait: time.Duration(float64(time.Second) * float64(block) / limit)}
	}, func(permit shedkeel.Permit) {
		if permit.Granted {
			node.leasedPermits, node.leaseEnd = block-1, fleet.now+leaseDuration
		}
		answer(permit)
	})
}

func (leasedBlocks) restart(*simNode) {}

// twoSenders lets only the first two nodes that are alive send to the server, and divides the limit
// equally between the two.
type twoSenders struct{}

func (twoSenders) ask(fleet *simFleet, node *simNode, answer func(shedkeel.Permit)) {
	limit, _ := fleet.limit()
	senders := fleet.firstAlive(node, 2)
	if !slices.Contains(senders, node) {
		answer(shedkeel.Permit{Wait: retryPause})
		return
	}
	answer(node.take(limit/float64(len(senders)), fleet.now))
}

func (twoSenders) restart(*simNode) {}

// minUtilization is the fraction of a limit that must be used if there are no faults and the
// demand exceeds the limit: a limited server must still get requests at about its limit.
const minUtilization = 0.7

// TestSharingSchemes simulates the same scenarios with each scheme and logs the outcomes. The
// scheme that the product uses must keep the limit in all scenarios, and without faults must
// use at least minUtilization of it.
func TestSharingSchemes(t *testing.T) {
	// sizes are numbers of nodes, rates are full rates of the server in requests per second, and
	// seeds is how many simulations are run for each combination.
	sizes, rates, seeds := []int{9, 66}, []float64{0.5, 2, 20}, uint64(2)
	if *allSizes {
		sizes, rates, seeds = []int{9, 66, 300}, []float64{0.5, 2, 20, 200}, 5
	}
	schemes := map[string]scheme{
		"single granter": singleGranter{}, "single granter, full rate": singleGranter{fullRate: true},
		"even shares": evenShares{}, "shares by demand": demandShares{}, "leased blocks": leasedBlocks{}, "two senders": twoSenders{},
	}
	for name, scheme := range schemes {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				for scenarioName, scenario := range scenarios {
					total := summary{}
					for _, rate := range rates {
						for demandName, demand := range demands {
							for seed := range seeds {
								result := newSimFleet(scheme, scenario, size, rate, demand, seed).run()
								total.add(result)
								if scheme == (singleGranter{}) {
									assert.Assert(t, result.worst <= 1, "%d nodes, %s, %v a second, %s, seed %d: %.2f of the allowed requests", size, scenarioName, rate, demandName, seed, result.worst)
									assert.Assert(t, scenarioName != "no faults" || result.utilization >= minUtilization, "%d nodes, %v a second, %s, seed %d: %.2f of the limit used", size, rate, demandName, seed, result.utilization)
								}
							}
						}
					}
					t.Logf("%3d nodes, %-24s %s", size, scenarioName, total)
				}
			}
		})
	}
}

// summary adds up the outcomes of several simulations.
type summary struct {
	count, violated    int     // number of outcomes, and of those whose worst is above 1
	worst              float64 // the highest worst of all outcomes
	utilization, calls float64 // sums over all outcomes
}

func (summary *summary) add(result outcome) {
	summary.count++
	if result.worst > 1 {
		summary.violated++
	}
	summary.worst = max(summary.worst, result.worst)
	summary.utilization += result.utilization
	summary.calls += result.calls
}

func (summary summary) String() string {
	return fmt.Sprintf("%2d of %d over the limit, worst %.2f of what is allowed, %3.0f%% of the limit used, %.1f calls/s",
		summary.violated, summary.count, summary.worst, 100*summary.utilization/float64(summary.count), summary.calls/float64(summary.count))
}
