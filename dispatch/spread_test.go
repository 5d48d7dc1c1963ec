package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// spreadSimulation simulates processes, each with a table of its own, that send requests for
// one model.
type spreadSimulation struct {
	processes int
	groups    int
	rate      float64 // requests per second of all processes
	spread    bool    // one process recommends groups for the requests of all processes
}

// countConcurrentPrefills simulates a minute. It returns how many requests were sent to a
// group that had received two or more others within prefillWindow before. The group prefills
// the prompts of all these requests at the same time.
func (spreadSimulation *spreadSimulation) countConcurrentPrefills(seed uint64) int {
	// In 80 ms a group can prefill one prompt of 1,400 tokens, which takes 61 ms at 23,000 tokens
	// per second, and run one step of its engine besides.
	const prefillWindow = 80 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	var servers []Server
	for number := range spreadSimulation.groups {
		servers = append(servers, Server{Service: "s", Model: "m", Instance: shedkeel.InstanceID(fmt.Sprint(number)), Zone: "z", Slots: 30, PrefillRate: 23_000})
	}
	tables := make([]*Table, spreadSimulation.processes)
	for number := range tables {
		tables[number] = &Table{Zone: "z", Random: rand.NewPCG(seed, uint64(number))}
		tables[number].Replace(servers)
	}
	running := make([]map[shedkeel.InstanceID]int, spreadSimulation.processes) // requests of each process, by group
	for number := range running {
		running[number] = map[shedkeel.InstanceID]int{}
	}
	owner := map[time.Duration]int{}                  // the process that sent the request, by the time of the request
	sent := map[shedkeel.InstanceID][]time.Duration{} // times of all requests, by group
	choices := map[time.Duration]*Choice{}            // of the running requests, by the time of the request
	count := 0
	for now := time.Minute; now < 2*time.Minute; now += time.Duration(random.ExpFloat64() / spreadSimulation.rate * float64(time.Second)) {
		for began, choice := range choices {
			if now-began > choice.expectedResponseTime() {
				choice.RecordResponse(now) // the group sends events from then on
			}
			if now-began > time.Second { // the stream ends after a second
				choice.End(false, now)
				delete(choices, began)
				running[owner[began]][choice.Instance]--
			}
		}
		query := Query{Service: "s", Model: "m", PromptTokens: 1400, Now: now}
		process := random.IntN(len(tables))
		if spreadSimulation.spread {
			query.Preferred = tables[0].Recommend(query, Reporter{Process: fmt.Sprint(process), Zone: "z", Groups: running[process]}).Head
		}
		choice := tables[process].Choose(query)
		choices[now] = choice
		owner[now] = process
		running[process][choice.Instance]++
		recent := 0
		for _, before := range sent[choice.Instance] {
			if now-before < prefillWindow {
				recent++
			}
		}
		if recent >= 2 {
			count++
		}
		sent[choice.Instance] = append(sent[choice.Instance], now)
	}
	return count
}

// TestSpreadKeepsPromptsApart compares 57 processes that follow the recommendations of a single
// process with 57 that choose on their own, each sending few of a group's requests. With
// recommendations, less than a tenth as many requests may have their prompts prefilled together
// with two or more others.
func TestSpreadKeepsPromptsApart(t *testing.T) {
	alone := &spreadSimulation{processes: 57, groups: 9, rate: 85}
	spread := &spreadSimulation{processes: 57, groups: 9, rate: 85, spread: true}
	for seed := range uint64(3) {
		before, after := alone.countConcurrentPrefills(seed), spread.countConcurrentPrefills(seed)
		t.Logf("of about 5,100 requests, prefilled with two or more others: %d on their own, %d with recommendations", before, after)
		assert.Assert(t, after*10 < before)
	}
}

// TestSpreadByReportedLoad checks that Recommend follows the reports of three processes,
// although it has assigned none of the requests that they report first: a group without a
// free slot gets no request while others have room, and requests that have ended stop
// counting.
func TestSpreadByReportedLoad(t *testing.T) {
	table := &Table{Zone: "z", Random: rand.NewPCG(1, 1)}
	var servers []Server
	for _, name := range []shedkeel.InstanceID{"full", "half", "empty"} {
		servers = append(servers, Server{Service: "s", Model: "m", Instance: name, Zone: "z", Slots: 26, PrefillRate: 46_000})
	}
	table.Replace(servers)
	// Running requests of each process, by group. In total, 26 requests run on the group "full"
	// and 13 on the group "half". Each group has 26 slots.
	running := []map[shedkeel.InstanceID]int{{"full": 9, "half": 4}, {"full": 9, "half": 5}, {"full": 8, "half": 4}}
	now := time.Minute
	ask := func(process int) shedkeel.InstanceID {
		now += 50 * time.Millisecond
		reporter := Reporter{Process: fmt.Sprint(process), Zone: "z", Groups: running[process]}
		return table.Recommend(Query{Service: "s", Model: "m", PromptTokens: 100, Now: now}, reporter).Head
	}
	for process := range running {
		ask(process) // each process reports its running requests
	}
	got := map[shedkeel.InstanceID]int{}
	for number := range 30 {
		process := number % len(running)
		head := ask(process)
		running[process][head]++
		got[head]++
	}
	assert.Equal(t, got["full"], 0, "%v", got)
	assert.Assert(t, got["half"] > 0 && got["empty"] > got["half"], "%v", got)

	for process := range running {
		running[process] = map[shedkeel.InstanceID]int{"half": 4, "empty": 4}
		ask(process)
	}
	assert.Equal(t, ask(0), shedkeel.InstanceID("full"), "the requests of the full group have ended")
}

// TestSpread checks how Recommend divides ten requests between two groups in different zones,
// of which the second may be slower, failing or avoided. A table without groups recommends
// none.
func TestSpread(t *testing.T) {
	const now = time.Minute
	cases := map[string]struct {
		alter    func(*Table, *Server) // changes the state of the second group
		zone     shedkeel.ZoneID       // of the reporter
		maxCount int                   // the second group gets at most this many of the ten requests
		minCount int                   // and at least this many
	}{
		"equal, and the reporter is in the first's zone": {func(*Table, *Server) {}, "z", 5, 5},
		"avoided":            {func(table *Table, server *Server) { table.AvoidGroup(server.Group, now, time.Second) }, "z", 0, 0},
		"four times as slow": {func(table *Table, server *Server) { table.servers[server.key()].latencyRatio = 4 }, "z", 4, 1},
		"both were slow in a traffic burst": {func(table *Table, server *Server) {
			for _, state := range table.servers {
				state.latencyRatio = 1.9
			}
			table.servers[server.key()].latencyRatio = 2.2
		}, "z", 5, 4},
		"failed recently": {func(table *Table, server *Server) { table.servers[server.key()].failureRate = 0.9 }, "z", 1, 0},
		"fails two of five, and the first has no free slot": {func(table *Table, server *Server) {
			for _, state := range table.servers {
				state.assigned = workload{at: now, running: float64(state.Slots)}
			}
			state := table.servers[server.key()]
			state.failureRate, state.assigned = 0.4, workload{at: now}
		}, "z", 5, 2},
		"the reporter is in the second's zone": {func(*Table, *Server) {}, "far", 5, 5},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Zone: "z", Random: rand.NewPCG(1, 1)}
			first := Server{Service: "s", Model: "m", Instance: "first", Zone: "z", Group: shedkeel.Assignment{Group: "m/d/1", Epoch: 1}, Slots: 26, PrefillRate: 23_000}
			second := Server{Service: "s", Model: "m", Instance: "second", Zone: "far", Group: shedkeel.Assignment{Group: "m/d/2", Epoch: 1}, Slots: 26, PrefillRate: 23_000}
			table.Replace([]Server{first, second})
			for _, state := range table.servers {
				state.scoresUpdated = now // so that decayPenalties leaves the altered ratios and rates as they are
			}
			test.alter(table, &second)
			got := map[shedkeel.InstanceID]int{}
			for range 10 {
				got[table.Recommend(Query{Service: "s", Model: "m", PromptTokens: 1400, Now: now}, Reporter{Zone: test.zone}).Head]++
			}
			assert.Assert(t, got["second"] <= test.maxCount && got["second"] >= test.minCount, "%v", got)
		})
	}
	empty := &Table{}
	assert.Equal(t, empty.Recommend(Query{Service: "s", Model: "m", Now: now}, Reporter{Zone: "z"}).Head, shedkeel.InstanceID(""))
}

// TestRunningOfAllProcesses checks the sum of the running requests that processes report for
// each of two models. The report of a process that sends no further reports expires.
func TestRunningOfAllProcesses(t *testing.T) {
	table := &Table{}
	ask := func(process string, onTime, late int, model shedkeel.ModelID, now time.Duration) RunningRequests {
		query := Query{Service: "s", Model: model, Now: now}
		return table.Recommend(query, Reporter{Process: process, Running: RunningRequests{OnTime: onTime, Late: late}}).Running
	}
	assert.DeepEqual(t, ask("a", 2, 0, "m", time.Second), RunningRequests{OnTime: 2})
	assert.DeepEqual(t, ask("b", 3, 1, "m", time.Second), RunningRequests{OnTime: 5, Late: 1})
	assert.DeepEqual(t, ask("c", 1, 0, "other", time.Second), RunningRequests{OnTime: 1})
	assert.DeepEqual(t, ask("a", 0, 2, "m", 2*time.Second), RunningRequests{OnTime: 3, Late: 3})
	// The report of b has expired.
	assert.DeepEqual(t, ask("a", 1, 0, "m", time.Second+reportExpiry+time.Millisecond), RunningRequests{OnTime: 1})
}

// TestPreferredServer checks in which states of the recommended group Choose follows the
// recommendation (Query.Preferred). The recommended group b is in another zone; the other group
// is idle and in the zone of the process. The group c is not in the table.
func TestPreferredServer(t *testing.T) {
	const now = time.Minute
	cases := map[string]struct {
		recommended shedkeel.InstanceID // the recommended group
		alter       func(*serverState)  // changes the state of the recommended group
		followed    bool
	}{
		"equal but for the zone":      {"b", func(*serverState) {}, true},
		"one request of this process": {"b", func(state *serverState) { state.running[&Choice{}] = struct{}{}; state.lastActivity = now }, true},
		"avoided here":                {"b", func(state *serverState) { state.avoidUntil = now + time.Second }, false},
		"slow here":                   {"b", func(state *serverState) { state.latencyRatio = 5; state.scoresUpdated = now }, false},
		"some failures here":          {"b", func(state *serverState) { state.failureRate = 0.3; state.scoresUpdated = now }, true},
		"mostly failures here":        {"b", func(state *serverState) { state.failureRate = 0.9; state.scoresUpdated = now }, false},
		"unknown here":                {"c", func(*serverState) {}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Zone: "z", Random: rand.NewPCG(1, 1)}
			table.Replace([]Server{{Service: "s", Model: "m", Instance: "a", Zone: "z"}, {Service: "s", Model: "m", Instance: "b", Zone: "far"}})
			for _, state := range table.servers {
				if state.Instance == test.recommended {
					test.alter(state)
				}
			}
			choice := table.Choose(Query{Service: "s", Model: "m", Preferred: test.recommended, Now: now})
			assert.Equal(t, choice.Instance == test.recommended, test.followed)
		})
	}
}

// TestPartitions checks the number of partitions and that each group is in exactly one
// partition, by asking Recommend for one partition after the other.
func TestPartitions(t *testing.T) {
	cases := map[string]struct {
		groups, partitions int
	}{
		"none": {0, 0},
		"few":  {groupsPerPartition, 1},
		"many": {4*groupsPerPartition - 1, 4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			var servers []Server
			for number := range test.groups {
				name := fmt.Sprint("m/d/", number)
				servers = append(servers, Server{Service: "s", Model: "m", Instance: shedkeel.InstanceID(name), Group: shedkeel.Assignment{Group: shedkeel.GroupID(name)}})
			}
			table.Replace(servers)
			assert.Equal(t, table.Partitions("s", "m"), test.partitions)
			partitionOf := map[shedkeel.InstanceID]int{}
			for part := range test.partitions {
				for range 3 * test.groups { // often enough for each group of the partition to be recommended
					head := table.Recommend(Query{Service: "s", Model: "m", PromptTokens: 100, Partition: part, Partitions: test.partitions, Now: time.Minute}, Reporter{}).Head
					before, found := partitionOf[head]
					assert.Assert(t, !found || before == part, "%s is in two partitions", head)
					partitionOf[head] = part
				}
			}
			assert.Equal(t, len(partitionOf), test.groups)
		})
	}
}

// BenchmarkSpread measures Recommend in a full partition with reports of 380 processes, as an
// example of a large fleet.
func BenchmarkSpread(b *testing.B) {
	table := &Table{}
	var servers []Server
	for number := range groupsPerPartition {
		name := fmt.Sprint("m/d/", number)
		servers = append(servers, Server{Service: "s", Model: "m", Instance: shedkeel.InstanceID(name), Group: shedkeel.Assignment{Group: shedkeel.GroupID(name)}})
	}
	table.Replace(servers)
	now := time.Minute
	for number := 0; b.Loop(); number++ {
		now += time.Millisecond
		table.Recommend(Query{Service: "s", Model: "m", PromptTokens: 1400, Now: now}, Reporter{Process: fmt.Sprint(number % 380)})
	}
}
