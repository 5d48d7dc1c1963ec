package dispatch

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

const (
	placementServers = 3
	placementSlots   = 6
	placementQueue   = 24 // requests that wait at a server; it refuses others
	// placementMeanTime is the mean time in which a server serves a request. The times are
	// exponentially distributed above a quarter of it.
	placementMeanTime = 80 * time.Millisecond
	placementDuration = 40 * time.Second
	// reportsStop and reportsResume bound the time in which loadAge brings no news, in the
	// scenario of a failure of the process that collects the reports.
	reportsStop, reportsResume = 20 * time.Second, 22 * time.Second
)

// placementPolicy chooses a server of a plain service by load: that which load returns for the
// process, times the penalties of Table.Choose.
type placementPolicy struct {
	name       string
	messages   bool // the policy needs messages or headers that plain services do not have
	candidates int  // how many servers, drawn at random, the choice is among; 0: all
	load       func(placementSimulation *placementSimulation, process int, state *serverState) float64
	age        time.Duration // of the loads that the processes know of each server; 0: they know none
}

// placementPolicies lists the policies that are compared. Package dispatch implements the first one.
var placementPolicies = []placementPolicy{
	{name: "fewest running of this process"},
	{name: "at random", load: func(*placementSimulation, int, *serverState) float64 { return 0 }},
	{name: "two at random, running of this process", candidates: 2, load: (*placementSimulation).own},
	{name: "two at random, loads 200 ms old", messages: true, candidates: 2, load: (*placementSimulation).known, age: 200 * time.Millisecond},
	{name: "shortest queue, reports 200 ms old", messages: true, load: (*placementSimulation).known, age: 200 * time.Millisecond},
	{name: "shortest queue, reports 50 ms old", messages: true, load: (*placementSimulation).known, age: 50 * time.Millisecond},
	{name: "one process recommends", messages: true, load: (*placementSimulation).recommended},
}

// placementServer is a plain server of the simulation.
type placementServer struct {
	slowness float64 // factor of the time to serve a request
	fails    bool    // every request fails after 5 ms
	running  int
	waiting  []func() // starts the requests in its queue
	known    int      // load that the processes know: that of policy.age ago
}

// load is the number of requests at the server.
func (placementServer *placementServer) load() int {
	return placementServer.running + len(placementServer.waiting)
}

// placementSimulation runs processes that send the requests of a plain service in virtual time.
type placementSimulation struct {
	policy      placementPolicy
	reportsLost bool // loads are not reported from reportsStop to reportsResume
	random      *rand.Rand
	tables      []*Table
	servers     map[shedkeel.InstanceID]*placementServer
	events      events
	now         time.Duration
	preferred   shedkeel.InstanceID // for the request that is being sent, with recommendations

	waits      []time.Duration // of the requests that were served
	sent, lost int             // lost: failed or refused
	avoidable  int             // requests that waited although another server had a free slot
}

func (placementSimulation *placementSimulation) after(wait time.Duration, run func()) {
	heap.Push(&placementSimulation.events, simEvent{placementSimulation.now + wait, run})
}

// own returns the running requests of the process at the server.
func (placementSimulation *placementSimulation) own(_ int, state *serverState) float64 {
	return float64(state.expecting())
}

// known returns the known load of the server, and the requests that the process sent there since.
func (placementSimulation *placementSimulation) known(_ int, state *serverState) float64 {
	load := placementSimulation.servers[state.Instance].known
	for choice := range state.running {
		if choice.ChosenAt > placementSimulation.now-placementSimulation.policy.age {
			load++
		}
	}
	return float64(load)
}

// recommended prefers the server that process 0 recommends for the request.
func (placementSimulation *placementSimulation) recommended(_ int, state *serverState) float64 {
	if state.Instance == placementSimulation.preferred {
		return 0
	}
	return float64(placementSlots)
}

// report makes the load of the server known after the age of the policy's loads.
func (placementSimulation *placementSimulation) report(server *placementServer) {
	load := server.load()
	placementSimulation.after(placementSimulation.policy.age, func() {
		if now := placementSimulation.now; !placementSimulation.reportsLost || now < reportsStop || now >= reportsResume {
			server.known = load
		}
	})
}

// choose chooses the server for a request of the process by the policy.
func (placementSimulation *placementSimulation) choose(process int) *Choice {
	table, query := placementSimulation.tables[process], Query{Service: "s", Now: placementSimulation.now}
	table.FindStalled(query.Now)
	policy := placementSimulation.policy
	if policy.load == nil {
		return table.Choose(query)
	}
	running := map[shedkeel.InstanceID]int{}
	var usable []*serverState
	for _, state := range table.pools[poolKey{service: "s"}] {
		running[state.Instance] = len(state.running)
		if state.usable(query) {
			usable = append(usable, state)
		}
	}
	if policy.name == "one process recommends" {
		placementSimulation.preferred = placementSimulation.tables[0].Recommend(query, Reporter{Process: fmt.Sprint(process), Groups: running}).Head
	}
	placementSimulation.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if policy.candidates > 0 && len(usable) > policy.candidates {
		usable = usable[:policy.candidates]
	}
	var best *serverState
	lowest := 0.0
	for _, state := range usable {
		cost := (policy.load(placementSimulation, process, state) + 1) * table.cost(state, query.Now) / float64(state.expecting()+1)
		if best == nil || cost < lowest {
			best, lowest = state, cost
		}
	}
	if best == nil {
		return nil
	}
	return table.ChooseServer(query, best.Instance)
}

// send sends a request of the process, which may run only once.
func (placementSimulation *placementSimulation) send(process int) {
	placementSimulation.sent++
	choice := placementSimulation.choose(process)
	if choice == nil {
		placementSimulation.lost++
		return
	}
	server, sent := placementSimulation.servers[choice.Instance], placementSimulation.now
	serviceTime := time.Duration(server.slowness * (0.25 + 0.75*placementSimulation.random.ExpFloat64()) * float64(placementMeanTime))
	if server.fails {
		serviceTime = 5 * time.Millisecond
	}
	start := func() {
		server.running++
		wait := placementSimulation.now - sent
		placementSimulation.after(serviceTime, func() { placementSimulation.finish(choice, server, wait) })
	}
	switch {
	case server.running < placementSlots:
		start()
	case len(server.waiting) < placementQueue:
		server.waiting = append(server.waiting, start)
		if placementSimulation.hasFreeSlot() {
			placementSimulation.avoidable++
		}
	default:
		placementSimulation.lost++
		choice.RecordResponse(placementSimulation.now)
		choice.End(true, placementSimulation.now)
	}
	placementSimulation.report(server)
}

// finish ends a request at its server, which starts the next one.
func (placementSimulation *placementSimulation) finish(choice *Choice, server *placementServer, wait time.Duration) {
	server.running--
	if len(server.waiting) > 0 {
		start := server.waiting[0]
		server.waiting = server.waiting[1:]
		start()
	}
	placementSimulation.report(server)
	choice.RecordResponse(placementSimulation.now)
	choice.End(server.fails, placementSimulation.now)
	if server.fails {
		placementSimulation.lost++
	} else {
		placementSimulation.waits = append(placementSimulation.waits, wait)
	}
}

// hasFreeSlot reports whether any working server could start a request at once.
func (placementSimulation *placementSimulation) hasFreeSlot() bool {
	for _, server := range placementSimulation.servers {
		if !server.fails && server.running < placementSlots {
			return true
		}
	}
	return false
}

// placementResult is the outcome of simulations: shares of the requests sent, and the 99th
// percentile of the wait of the requests served.
type placementResult struct {
	avoidable, lost float64
	wait            time.Duration
}

func (placementResult placementResult) String() string {
	return fmt.Sprintf("waited beside a free slot %.3f, lost %.4f, p99 of the wait %v", placementResult.avoidable, placementResult.lost, placementResult.wait.Round(time.Millisecond))
}

// placementScenarios state what is wrong. One of the servers may be slow or fail.
var placementScenarios = []struct {
	name        string
	slowness    float64       // of the first server
	failsUntil  time.Duration // the first server fails every request before this time
	capacity    float64       // of all servers, in servers without a fault
	reportsLost bool
	restarts    bool // a third of the processes restart at reportsStop
}{
	{name: "no fault", slowness: 1, capacity: 3},
	{name: "one server three times slower", slowness: 3, capacity: 2 + 1.0/3},
	{name: "one server fails", slowness: 1, failsUntil: placementDuration, capacity: 2},
	{name: "one server fails for 5 s", slowness: 1, failsUntil: 5 * time.Second, capacity: 3},
	{name: "reports stop for 2 s", slowness: 1, capacity: 3, reportsLost: true},
	{name: "a third of the processes restart", slowness: 1, capacity: 3, restarts: true},
}

// simulatePlacement simulates a scenario with that number of processes. load is the share of the
// capacity that the requests need.
func simulatePlacement(policy placementPolicy, scenario int, processes int, load float64, seeds uint64) placementResult {
	faults := placementScenarios[scenario]
	var total placementSimulation
	for seed := range seeds {
		simulation := &placementSimulation{policy: policy, reportsLost: faults.reportsLost, random: rand.New(rand.NewPCG(seed, 3)), servers: map[shedkeel.InstanceID]*placementServer{}}
		var listed []Server
		for number := range placementServers {
			server := Server{Service: "s", Instance: shedkeel.InstanceID(fmt.Sprint(number)), Slots: placementSlots}
			listed = append(listed, server)
			simulation.servers[server.Instance] = &placementServer{slowness: 1}
		}
		first := simulation.servers[listed[0].Instance]
		first.slowness, first.fails = faults.slowness, faults.failsUntil > 0
		simulation.after(faults.failsUntil, func() { first.fails = false })
		simulation.tables = make([]*Table, processes)
		restart := func(process int) {
			simulation.tables[process] = &Table{Random: rand.NewPCG(seed, uint64(process))}
			simulation.tables[process].Replace(listed)
		}
		for process := range processes {
			restart(process)
			if faults.restarts && process%3 == 0 {
				simulation.after(reportsStop, func() { restart(process) })
			}
		}
		rate := load * faults.capacity * placementSlots / placementMeanTime.Seconds()
		for at := time.Duration(0); at < placementDuration; at += time.Duration(simulation.random.ExpFloat64() / rate * float64(time.Second)) {
			simulation.after(at, func() { simulation.send(simulation.random.IntN(processes)) })
		}
		for len(simulation.events) > 0 {
			event := heap.Pop(&simulation.events).(simEvent)
			simulation.now = event.at
			event.run()
		}
		total.sent += simulation.sent
		total.lost += simulation.lost
		total.avoidable += simulation.avoidable
		total.waits = append(total.waits, simulation.waits...)
	}
	slices.Sort(total.waits)
	sent := float64(total.sent)
	return placementResult{float64(total.avoidable) / sent, float64(total.lost) / sent, total.waits[len(total.waits)*99/100]}
}

// TestPlacementPolicies compares the policies for a plain service with few slots, whose requests
// come from many processes that each know only their own. It guards against keeping a policy in
// Choose although another one that needs no messages is better over the scenarios and loads.
func TestPlacementPolicies(t *testing.T) {
	for _, processes := range []int{9, 32, 66, 300} {
		t.Run(fmt.Sprint(processes, " processes"), func(t *testing.T) {
			t.Parallel()
			chosen := meanPlacement(t, placementPolicies[0], processes)
			for _, policy := range placementPolicies[1:] {
				if policy.messages && !*sizes {
					continue
				}
				other := meanPlacement(t, policy, processes)
				if !policy.messages {
					const margin = 1.1 // for chance
					assert.Assert(t, chosen.avoidable <= margin*other.avoidable, policy.name)
					assert.Assert(t, chosen.lost <= margin*other.lost, policy.name)
					assert.Assert(t, float64(chosen.wait) <= margin*float64(other.wait), policy.name)
				}
			}
		})
	}
}

// meanPlacement returns the mean outcome of a policy over all scenarios and loads.
func meanPlacement(t *testing.T, policy placementPolicy, processes int) placementResult {
	seeds := uint64(2)
	if *sizes {
		seeds = 10
	}
	var mean placementResult
	loads := []float64{0.3, 0.6, 0.9}
	runs := len(placementScenarios) * len(loads)
	for scenario, faults := range placementScenarios {
		for _, load := range loads {
			result := simulatePlacement(policy, scenario, processes, load, seeds)
			t.Logf("%3d processes, load %.1f, %s; %-39s %v", processes, load, faults.name, policy.name, result)
			mean.avoidable += result.avoidable / float64(runs)
			mean.lost += result.lost / float64(runs)
			mean.wait += result.wait / time.Duration(runs)
		}
	}
	t.Logf("%3d processes, mean of all; %-39s %v", processes, policy.name, mean)
	return mean
}
