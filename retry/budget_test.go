package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestRetryBudgetAcrossRestarts simulates a fleet whose nodes restart while every request
// fails and is retried if the budget allows it. In each sliding window, the retries of all
// nodes together must stay within the bound: ratio times the requests, plus fixedRetries.
func TestRetryBudgetAcrossRestarts(t *testing.T) {
	const (
		window       = 10 * time.Second
		simLength    = 60 * time.Second
		ratio        = 0.2
		fixedRetries = 134.0                 // of all nodes together, per window
		step         = 10 * time.Millisecond // by which virtual time advances
	)
	cases := map[string]struct {
		nodes        int
		requests     float64                     // per second, over all nodes
		fixedRetries float64                     // of all nodes together, per window
		restarts     func(node, second int) bool // whether the node restarts at the start of the second
		minUsed      float64                     // fraction of the bound that must be used in some window
	}{
		"no restart":                                  {9, 40, fixedRetries, func(int, int) bool { return false }, 0.5},
		"all restart twice":                           {9, 40, fixedRetries, func(_, second int) bool { return second == 25 || second == 30 }, 0.1},
		"all restart every 2 seconds":                 {66, 40, fixedRetries, func(_, second int) bool { return second > 20 && second%2 == 0 }, 0.1},
		"a tenth restarts each second":                {66, 40, fixedRetries, func(node, second int) bool { return second > 20 && node%10 == second%10 }, 0.1},
		"all restart twice, 300 nodes":                {300, 400, fixedRetries, func(_, second int) bool { return second == 25 || second == 30 }, 0.1},
		"more nodes than retries":                     {984, 58, 1040, func(int, int) bool { return false }, 0.5},
		"twice the nodes and requests":                {1968, 116, 1040, func(int, int) bool { return false }, 0.5},
		"more nodes than retries, half restart twice": {984, 58, 1040, func(node, second int) bool { return node%2 == 0 && (second == 25 || second == 30) }, 0.5},
		"many more nodes than retries":                {984, 58, fixedRetries, func(int, int) bool { return false }, 0.4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			fleet := &simFleet{random: random, slack: test.fixedRetries}
			nodes, names := make([]simBudget, test.nodes), namesOf(test.nodes)
			listed := setOf(names)
			for index := range nodes {
				nodes[index] = newLeased(names[index], fleet, true, 0)
			}
			var requests, retries []time.Duration
			for now := time.Duration(0); now < simLength; now += step {
				for index := range nodes {
					if now%time.Second == 0 && test.restarts(index, int(now/time.Second)) {
						nodes[index] = newLeased(names[index], fleet, false, now) // the counts are lost
					}
					if now%(5*time.Second) == 0 {
						nodes[index].update(listed, now+1, now)
					}
				}
				for range int(test.requests*step.Seconds() + random.Float64()) { // the requests of a step, rounded up or down at random
					node := nodes[random.IntN(len(nodes))]
					requests = append(requests, now)
					node.countRequest(now)
					if _, allowed := node.allow(now); allowed {
						retries = append(retries, now)
					}
				}
				// Once a second, each node also sends all retries that its budget still
				// allows, as if further requests failed.
				if now%time.Second == 0 {
					for _, node := range nodes {
						for {
							if _, allowed := node.allow(now); !allowed {
								break
							}
							retries = append(retries, now)
						}
					}
				}
			}
			maxUsed := 0.0 // highest fraction of the bound that was used in a window
			for end := window; end < simLength; end += step {
				bound := ratio*float64(countWithin(requests, end-window, end)) + test.fixedRetries
				maxUsed = max(maxUsed, float64(countWithin(retries, end-window, end))/bound)
			}
			t.Logf("%.2f of the bound used", maxUsed)
			assert.Assert(t, maxUsed <= 1, fmt.Sprintf("%.2f of the bound used", maxUsed))
			assert.Assert(t, maxUsed >= test.minUsed, "only %.2f of the bound used", maxUsed)
		})
	}
}

// namesOf returns the names of so many processes.
func namesOf(count int) []shedkeel.NodeID {
	var names []shedkeel.NodeID
	for index := range count {
		names = append(names, shedkeel.NodeID(fmt.Sprint(index)))
	}
	return names
}

// setOf returns the names as a set.
func setOf(names []shedkeel.NodeID) map[shedkeel.NodeID]bool {
	set := map[shedkeel.NodeID]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// countWithin counts the moments later than after, up to and including until.
func countWithin(moments []time.Duration, after, until time.Duration) int {
	count := 0
	for _, moment := range moments {
		if moment > after && moment <= until {
			count++
		}
	}
	return count
}

// TestRetryBudgetUnderFailures simulates nodes whose requests all fail from a moment on, and each want several retries. In
// each sliding window, the retries of all nodes together must stay within the bound. It guards against retries that are allowed
// again before those at the beginning of the failures have left the window, and against nodes that believe that they are few.
func TestRetryBudgetUnderFailures(t *testing.T) {
	const (
		window    = 10 * time.Second
		simLength = 60 * time.Second
		ratio     = 0.2
		step      = 10 * time.Millisecond
		failure   = 35 * time.Second // when failures begin, but for the phase
	)
	all := func(nodes int) func(time.Duration) int { return func(time.Duration) int { return nodes } }
	shrinks := func(nodes int) func(time.Duration) int {
		return func(now time.Duration) int { // to one node at 40 s, and back to all within 2 s
			if now < 40*time.Second || now > 42*time.Second {
				return nodes
			}
			return max(nodes*int((now-40*time.Second)/step)/200, 1)
		}
	}
	cases := map[string]struct {
		nodes        int
		requests     float64 // per second, over all nodes
		fixedRetries float64
		wanted       int                         // retries that each request wants
		listed       func(now time.Duration) int // nodes that each node knows of
	}{
		"failures begin":               {9, 135, 136, 3, all(9)},
		"failures begin, few requests": {9, 16, 136, 10, all(9)},
		"the list shrinks":             {9, 135, 136, 3, shrinks(9)},
		"the list shrinks, 66 nodes":   {66, 400, 696, 3, shrinks(66)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			worst := 0.0
			lists := map[[2]int]map[shedkeel.NodeID]bool{} // by number of listed nodes and node
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				random := rand.New(rand.NewPCG(1, uint64(phase)))
				fleet := &simFleet{random: random, slack: test.fixedRetries}
				nodes, names := make([]simBudget, test.nodes), namesOf(test.nodes)
				for index := range nodes {
					nodes[index] = newLeased(names[index], fleet, true, 0)
				}
				var requests, retries []time.Duration
				for now := time.Duration(0); now < simLength; now += step {
					for index := range nodes {
						if now%(100*time.Millisecond) == 0 {
							key := [2]int{test.listed(now), index}
							if lists[key] == nil {
								lists[key] = setOf(append(slices.Clone(names[:key[0]]), names[index]))
							}
							nodes[index].update(lists[key], now+1, now)
						}
					}
					for range int(test.requests*step.Seconds() + random.Float64()) {
						node := nodes[random.IntN(len(nodes))]
						requests = append(requests, now)
						node.countRequest(now)
						for range test.wanted {
							if now < failure+phase {
								continue
							}
							if _, allowed := node.allow(now); allowed {
								retries = append(retries, now)
							}
						}
					}
				}
				for end := window; end < simLength; end += step {
					bound := ratio*float64(countWithin(requests, end-window, end)) + test.fixedRetries
					worst = max(worst, float64(countWithin(retries, end-window, end))/bound)
				}
			}
			assert.Assert(t, worst <= 1, "%.2f of the bound used in the worst window of all phases", worst)
			assert.Assert(t, worst >= 0.9, "only %.2f of the bound used, though all requests fail", worst)
		})
	}
}

// TestBudget checks how many retries are allowed by FixedRetries and by Ratio, after the end
// of a window, and after a call of Set.
func TestBudget(t *testing.T) {
	budget := &Budget{Ratio: 0.5, Window: 10 * time.Second, FixedRetries: 4}
	now := time.Minute
	half := Share{Processes: 2, Part: 1}
	var last Charge
	// exhaust uses up the budget of one of two processes, and returns how many retries that took.
	exhaust := func() int {
		for allowed := 0; ; allowed++ {
			charge, found := budget.Allow("s", half, now)
			if !found {
				return allowed
			}
			last = charge
		}
	}
	assert.Equal(t, exhaust(), 2, "the share of FixedRetries of one of two processes")
	budget.Refund(last, now)
	assert.Equal(t, exhaust(), 1, "the refunded retry is allowed again")
	budget.Refund(Charge{service: "other", slot: last.slot}, now)
	assert.Equal(t, exhaust(), 0, "a refund to another service has no effect")
	now += 11 * time.Second
	for range 10 { // each allows half a retry (Ratio)
		budget.CountRequest("s", now)
		now += 100 * time.Millisecond
	}
	assert.Equal(t, exhaust(), 4, "half of Ratio times the requests right after them")
	now += 9 * time.Second
	assert.Equal(t, exhaust(), 0, "retries count for a whole window")
	now += 2 * time.Second
	assert.Equal(t, exhaust(), 2, "after a window, neither the retries nor the requests count")
	last = budget.Sent(last, Kind{}, now+8*time.Second)
	now += 10200 * time.Millisecond
	assert.Equal(t, exhaust(), 1, "a retry that was sent late counts from then on")
	budget.Set(0, 5*time.Second, 8, now)
	assert.Equal(t, exhaust(), 2, "half of the new FixedRetries, less those that still count")
	now += 6 * time.Second
	assert.Equal(t, exhaust(), 4, "half of the new FixedRetries")
	half.Part = 0
	now += 6 * time.Second
	assert.Equal(t, exhaust(), 0, "FixedRetries allow nothing without a share")
}
