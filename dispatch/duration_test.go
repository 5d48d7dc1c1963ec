package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestAverageDuration guards against averages that include requests which tell nothing of a
// complete stream, leave the bounds, or mix the pools, and against decisions that ignore them.
func TestAverageDuration(t *testing.T) {
	first := at(time.Second)
	cases := map[string]struct {
		end  func(*Table, *Choice) // ends the choice made at time 1 s
		ends int
		want time.Duration
	}{
		"no stream":   {func(_ *Table, choice *Choice) { choice.Cancel() }, 1, time.Second},
		"no event":    {func(_ *Table, choice *Choice) { choice.End(false, 4*time.Second) }, 1, time.Second},
		"failed":      {func(_ *Table, choice *Choice) { choice.RecordResponse(time.Second); choice.End(true, 4*time.Second) }, 1, time.Second},
		"one of 3 s":  {func(_ *Table, choice *Choice) { choice.RecordResponse(time.Second); choice.End(false, 4*time.Second) }, 1, 2 * time.Second},
		"many of 2 s": {func(_ *Table, choice *Choice) { choice.RecordResponse(time.Second); choice.End(false, 3*time.Second) }, 200, 2 * time.Second},
		"many of 10 ms": {func(_ *Table, choice *Choice) {
			choice.RecordResponse(time.Second)
			choice.End(false, 1010*time.Millisecond)
		}, 200, minStreamDuration},
		"many of 1 hour": {func(_ *Table, choice *Choice) { choice.RecordResponse(time.Second); choice.End(false, time.Hour) }, 200, maxStreamDuration},
		"lost": {func(table *Table, choice *Choice) {
			choice.RecordResponse(time.Second)
			table.LoseRunning(2 * time.Second)
			choice.End(false, 4*time.Second)
		}, 1, time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := testTable("a")
			other := Server{Service: "llm", Model: "other", Instance: "b"}
			table.Replace(append(groups("a"), other))
			for range test.ends {
				test.end(table, table.Choose(first))
			}
			difference := table.durations[poolKey{"llm", "m"}].value() - test.want
			assert.Assert(t, difference.Abs() <= test.want/100, "%v", difference)
			assert.Equal(t, table.durations[poolKey{"llm", "other"}].value(), meanStreamDuration)
			// The limit of two requests per second and the queue of a full group depend on the average.
			table.SetLimit("a", 2, true)
			slots := int(math.Ceil(2 * test.want.Seconds()))
			assert.Equal(t, table.Load("llm", "m", time.Hour).Slots, min(slots, 4))
			state := table.pools[poolKey{"llm", "m"}][0]
			state.failureRate, state.latencyRatio, state.assigned = 0, 1, workload{at: time.Hour, running: 7}
			wait := (idleFirstEventTime + 7*defaultDelayPerRequest + test.want).Seconds() // a request for each slot is queued
			assert.Assert(t, math.Abs(state.expectedWait("z", 1, time.Hour)-wait) <= wait/100)
		})
	}
}

// estimateSimulation simulates the streams of many processes. Process 0, the spreader, recommends
// groups for the requests of all, until it fails in some way.
type estimateSimulation struct {
	processes int
	duration  time.Duration // mean duration of a stream
	learns    bool          // if false, the average durations are reset to meanStreamDuration
	failure   string        // of the spreader, at estimateFailure; see spreader
}

const (
	estimateGroups  = 9
	estimateSlots   = 20
	estimateFailure = 20 * time.Second
	estimateEnd     = 40 * time.Second
)

// spreader returns the process that recommends groups for the requests of a process.
func (estimateSimulation *estimateSimulation) spreader(process int, now time.Duration) int {
	if now < estimateFailure {
		return 0
	}
	switch failure := estimateSimulation.failure; {
	case failure == "dead", failure == "frozen for 5 s" && now < estimateFailure+5*time.Second, failure == "cut off" && process != 0:
		return 1
	case failure == "two dead":
		return 2
	}
	return 0
}

// run returns the mean difference between the estimated and the actual number of running requests
// of a group from estimateFailure on, as a share of the mean actual number. Only the requests of the processes that ask
// the same spreader count as actual.
func (estimateSimulation *estimateSimulation) run(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	var servers []Server
	for number := range estimateGroups {
		servers = append(servers, Server{Service: "s", Model: "m", Instance: shedkeel.InstanceID(fmt.Sprint(number)), Slots: estimateSlots})
	}
	tables := make([]*Table, estimateSimulation.processes)
	running := make([]map[shedkeel.InstanceID]int, estimateSimulation.processes)
	restart := func(process int) {
		tables[process] = &Table{Random: rand.NewPCG(seed, uint64(process))}
		tables[process].Replace(servers)
	}
	for process := range tables {
		restart(process)
		running[process] = map[shedkeel.InstanceID]int{}
	}
	ends := events{}
	if estimateSimulation.failure == "restarted" {
		heap.Push(&ends, simEvent{estimateFailure, func() { restart(0) }})
	}
	rate := 0.6 * estimateGroups * estimateSlots / estimateSimulation.duration.Seconds()
	deviation, actual := 0.0, 0.0
	for now := time.Duration(0); now < estimateEnd; now += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		for len(ends) > 0 && ends[0].at <= now {
			heap.Pop(&ends).(simEvent).run()
		}
		process := random.IntN(len(tables))
		spreader := estimateSimulation.spreader(process, now)
		for _, state := range tables[spreader].pools[poolKey{"s", "m"}] {
			if now < estimateFailure || random.IntN(10) > 0 {
				continue // a sample keeps the test short
			}
			estimate, count := state.assigned, 0
			estimate.decay(now, state.duration.value())
			for other := range running {
				if estimateSimulation.spreader(other, now) == spreader {
					count += running[other][state.Instance]
				}
			}
			deviation += math.Abs(estimate.running - float64(count))
			actual += float64(count)
		}
		query := Query{Service: "s", Model: "m", Now: now}
		query.Preferred = tables[spreader].Recommend(query, Reporter{Process: fmt.Sprint(process), Groups: running[process]}).Head
		choice := tables[process].Choose(query)
		running[process][choice.Instance]++
		end := now + time.Duration((0.5+random.Float64())*float64(estimateSimulation.duration))
		heap.Push(&ends, simEvent{end, func() {
			choice.RecordResponse(end)
			choice.End(false, end)
			running[process][choice.Instance]--
			if !estimateSimulation.learns {
				*choice.state.duration = averageDuration{}
			}
		}})
	}
	return deviation / actual
}

// TestLearnedDurationsImproveEstimates guards against estimates of the running requests that drift
// from the actual ones between the reports of the processes, because streams are shorter or longer
// than meanStreamDuration, also after a failure of the process that spreads the requests.
func TestLearnedDurationsImproveEstimates(t *testing.T) {
	for _, processes := range []int{9, 66, 300} {
		for _, duration := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			for _, failure := range []string{"none", "dead", "frozen for 5 s", "cut off", "two dead", "restarted"} {
				t.Run(fmt.Sprintf("%d processes, streams of %v, spreader's failure: %s", processes, duration, failure), func(t *testing.T) {
					t.Parallel()
					assumed := &estimateSimulation{processes: processes, duration: duration, failure: failure}
					learned := &estimateSimulation{processes: processes, duration: duration, failure: failure, learns: true}
					before, after := assumed.run(1), learned.run(1)
					t.Logf("deviation of the estimates: %.3f with streams assumed to last 1 s, %.3f with learned durations", before, after)
					assert.Assert(t, after < before)
				})
			}
		}
	}
}
