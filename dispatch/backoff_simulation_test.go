package dispatch

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

// sizes makes TestBackoffStrategies simulate 9 and 66 nodes with ten seeds each, instead of 9
// nodes with three seeds, and TestPlacementPolicies all policies with ten seeds instead of two.
var sizes = flag.Bool("sizes", false, "compare backoff strategies at all sizes, and all placement policies")

// strategy is how nodes act on a backoff that a server asks for. In all strategies, the
// request that was rejected is not sent to that server again.
type strategy struct {
	honors     bool // later requests of the node avoid the server
	broadcasts bool // the node informs all other nodes
	probes     bool // the first request after the backoff is a probe: until the probe is answered, the node prefers other servers
}

// strategies lists the strategies that are compared. Package dispatch implements the last one.
var strategies = []struct {
	name     string
	strategy strategy
}{
	{"ignored by later requests", strategy{}},
	{"broadcast to all nodes", strategy{honors: true, broadcasts: true}},
	{"each node for itself", strategy{honors: true}},
	{"broadcast to all nodes, with a probe", strategy{honors: true, broadcasts: true, probes: true}},
	{"each node for itself, with a probe", strategy{honors: true, probes: true}},
}

// simulation runs a fleet of nodes that send requests to servers which ask for backoffs, in
// virtual time.
type simulation struct {
	strategy strategy
	random   *rand.Rand
	nodes    []*Table
	servers  []*simServer
	events   events
	now      time.Duration

	sent, served, rejected, violations int // violations: see arrive
	retried                            int // served after more than one attempt
}

// simServer runs up to simSlots requests concurrently and rejects others. While it is
// overloaded it rejects all requests.
type simServer struct {
	id       shedkeel.InstanceID
	running  int
	from, to time.Duration           // period of the overload
	stated   map[int][]statedBackoff // the backoffs that the server has asked for, by index of the node
}

// statedBackoff is a backoff that a server asked a node for.
type statedBackoff struct {
	from, until time.Duration
	arrivals    int // requests of the node that arrived during the backoff, after its first 500 ms
}

const (
	// simSlots is how many requests a server runs concurrently, simRequestTime how long
	// each of them takes.
	simSlots       = 8
	simRequestTime = 150 * time.Millisecond
	// simDuration is how long requests arrive.
	simDuration = 20 * time.Second
	// simMaxAttempts is how many servers one request may be sent to.
	simMaxAttempts = 4
)

// simEvent is an action at a point in virtual time.
type simEvent struct {
	at  time.Duration
	run func()
}

// events is a heap of events by time.
type events []simEvent

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at < events[j].at }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(event any)    { *events = append(*events, event.(simEvent)) }
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

// after schedules run after a wait in virtual time.
func (simulation *simulation) after(wait time.Duration, run func()) {
	heap.Push(&simulation.events, simEvent{simulation.now + wait, run})
}

// newSimulation returns a simulation with that many nodes and servers. The parameter overloaded
// is how many of the servers become overloaded. Each of these has one overload, which begins 4 to
// 5 s after the start of the simulation and lasts 2 to 9 s.
func newSimulation(strategy strategy, seed uint64, nodes, servers, overloaded int) *simulation {
	simulation := &simulation{strategy: strategy, random: rand.New(rand.NewPCG(seed, 11))}
	var listed []Server
	for index := range servers {
		server := &simServer{id: shedkeel.InstanceID(fmt.Sprint("s", index)), stated: map[int][]statedBackoff{}}
		if index < overloaded {
			server.from = 4*time.Second + time.Duration(simulation.random.Int64N(int64(time.Second)))
			server.to = server.from + time.Duration(2+simulation.random.IntN(8))*time.Second
		}
		simulation.servers = append(simulation.servers, server)
		listed = append(listed, Server{Service: "s", Instance: server.id, Slots: simSlots})
	}
	for index := range nodes {
		table := &Table{Random: rand.NewPCG(seed, uint64(index))}
		table.Replace(listed)
		simulation.nodes = append(simulation.nodes, table)
	}
	return simulation
}

// run sends requests for simDuration as a Poisson process of that rate per second, and returns once
// every request has been served or lost.
func (simulation *simulation) run(rate float64) {
	for at := time.Duration(0); at < simDuration; at += time.Duration(simulation.random.ExpFloat64() / rate * float64(time.Second)) {
		heap.Push(&simulation.events, simEvent{at, func() { simulation.send(simulation.random.IntN(len(simulation.nodes)), nil) }})
		simulation.sent++
	}
	for len(simulation.events) > 0 {
		event := heap.Pop(&simulation.events).(simEvent)
		simulation.now = event.at
		event.run()
	}
}

// send sends a request of a node to a server that is not excluded. The excluded servers have
// rejected the request before. The request is lost if no other server is usable or the request was
// sent simMaxAttempts times.
func (simulation *simulation) send(node int, excluded []shedkeel.InstanceID) {
	choice := simulation.nodes[node].Choose(Query{Service: "s", Exclude: excluded, Now: simulation.now})
	if choice == nil || len(excluded) == simMaxAttempts {
		return
	}
	link := time.Millisecond + time.Duration(simulation.random.Int64N(int64(time.Millisecond))) // one-way delay
	simulation.after(link, func() { simulation.arrive(node, choice, excluded, link) })
}

// arrive delivers a request to its server, which runs or rejects it. A backoff counts as violated,
// once, when the third request of the node arrives during it. The first 500 ms do not count, so a
// backoff of 500 ms can practically not be violated. link is the delay after which the rejection
// reaches the node.
func (simulation *simulation) arrive(node int, choice *Choice, excluded []shedkeel.InstanceID, link time.Duration) {
	server := simulation.servers[0]
	for _, other := range simulation.servers {
		if other.id == choice.Instance {
			server = other
		}
	}
	for index := range server.stated[node] {
		stated := &server.stated[node][index]
		if simulation.now < stated.from+500*time.Millisecond || simulation.now > stated.until {
			continue
		}
		if stated.arrivals++; stated.arrivals == 3 {
			simulation.violations++
		}
	}
	if server.running >= simSlots || simulation.now >= server.from && simulation.now < server.to {
		length := 3 * time.Second
		if simulation.now >= server.to {
			length = 500 * time.Millisecond // the server isn't overloaded; its slots are taken
		}
		simulation.rejected++
		server.stated[node] = append(server.stated[node], statedBackoff{simulation.now, simulation.now + length, 0})
		simulation.after(link, func() { simulation.handleRejection(node, choice, length, excluded) })
		return
	}
	server.running++
	simulation.after(simRequestTime, func() {
		server.running--
		choice.RecordResponse(simulation.now)
		choice.End(false, simulation.now)
		simulation.served++
		if len(excluded) > 0 {
			simulation.retried++
		}
	})
}

// handleRejection applies the backoff of a server that rejected a request, at the nodes that the
// strategy says, and sends the request to another server. A broadcast reaches all nodes after
// 5 ms.
func (simulation *simulation) handleRejection(node int, choice *Choice, length time.Duration, excluded []shedkeel.InstanceID) {
	choice.End(true, simulation.now)
	until := simulation.now + length
	if simulation.strategy.honors {
		simulation.applyBackoff(node, choice.Instance, until)
	}
	if simulation.strategy.broadcasts {
		for other := range simulation.nodes {
			simulation.after(5*time.Millisecond, func() { simulation.applyBackoff(other, choice.Instance, until) })
		}
	}
	simulation.send(node, append(excluded[:len(excluded):len(excluded)], choice.Instance))
}

// applyBackoff applies a backoff at a node, without a probe after it if the strategy has none.
func (simulation *simulation) applyBackoff(node int, server shedkeel.InstanceID, until time.Duration) {
	table := simulation.nodes[node]
	table.BackOff(server, until, simulation.now)
	if !simulation.strategy.probes {
		table.conditions[server].needsProbe = false
	}
}

// TestBackoffStrategies compares the strategies while some or all of the servers are
// overloaded. The last strategy must violate no backoff, and serve as large a share of the
// requests as any other strategy that violates none, within 2 percentage points.
func TestBackoffStrategies(t *testing.T) {
	nodeCounts, seeds := []int{9}, 3
	if *sizes {
		nodeCounts, seeds = []int{9, 66}, 10
	}
	const servers = 12
	for _, nodes := range nodeCounts {
		for _, overloaded := range []int{2, 6, servers} {
			for _, load := range []float64{0.5, 0.9} { // share of the capacity of all servers
				// best is the highest share that a strategy without violations served; current and
				// violations are those of the last strategy, once the loop has ended.
				best, current, violations := 0.0, 0.0, 0
				for _, candidate := range strategies {
					var sum simulation
					for seed := range seeds {
						simulation := newSimulation(candidate.strategy, uint64(seed), nodes, servers, overloaded)
						simulation.run(load * servers * simSlots / simRequestTime.Seconds())
						sum.sent += simulation.sent
						sum.served += simulation.served
						sum.rejected += simulation.rejected
						sum.violations += simulation.violations
						sum.retried += simulation.retried
					}
					served := float64(sum.served) / float64(sum.sent)
					t.Logf("%2d nodes, %2d of %d overloaded, load %.1f, %-38s served %.3f (%.3f at the first attempt), rejected %6.1f/s, violations %d",
						nodes, overloaded, servers, load, candidate.name, served, float64(sum.served-sum.retried)/float64(sum.sent), float64(sum.rejected)/simDuration.Seconds()/float64(seeds), sum.violations)
					if sum.violations == 0 {
						best = max(best, served)
					}
					current, violations = served, sum.violations
				}
				assert.Equal(t, violations, 0)
				assert.Assert(t, current >= best-0.02, "%.3f served, %.3f with another strategy", current, best)
			}
		}
	}
}
