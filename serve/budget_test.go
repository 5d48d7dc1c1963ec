package serve

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryBudgetAcrossRestarts simulates a fleet whose nodes restart while every request
// fails and is retried if the budget allows it. In each sliding window, the retries of all
// nodes together must stay within the bound: ratio times the requests, plus fixedRetries.
func TestRetryBudgetAcrossRestarts(t *testing.T) {
	const (
		window       = 10 * time.Second
		simLength    = 60 * time.Second
		ratio        = 0.2
		fixedRetries = 134.0 // of all nodes together, per window
		safetyFactor = 0.7
		step         = 10 * time.Millisecond // by which virtual time advances
	)
	cases := map[string]struct {
		nodes        int
		requests     float64                     // per second, over all nodes
		fixedRetries float64                     // Budget.FixedRetries: of all nodes together, per window
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
			newBudget := func(now time.Duration) *Budget {
				return &Budget{Ratio: ratio, Window: window, FixedRetries: test.fixedRetries, SafetyFactor: safetyFactor, StartedAt: now, RandomOffset: random.Float64()}
			}
			nodes := make([]*Budget, test.nodes)
			for index := range nodes {
				nodes[index] = newBudget(0)
			}
			var requests, retries []time.Duration
			for now := time.Duration(0); now < simLength; now += step {
				for index := range nodes {
					if now%time.Second == 0 && test.restarts(index, int(now/time.Second)) {
						nodes[index] = newBudget(now) // the counts are lost
					}
				}
				for range int(test.requests*step.Seconds() + random.Float64()) { // the requests of a step, rounded up or down at random
					node := nodes[random.IntN(len(nodes))]
					requests = append(requests, now)
					node.CountRequest("s", now)
					if node.AllowRetry("s", len(nodes), now) {
						retries = append(retries, now)
					}
				}
				// Once a second, each node also sends all retries that its budget still
				// allows, as if further requests failed.
				if now%time.Second == 0 {
					for _, node := range nodes {
						for node.AllowRetry("s", len(nodes), now) {
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
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				random := rand.New(rand.NewPCG(1, uint64(phase)))
				nodes := make([]*Budget, test.nodes)
				for index := range nodes {
					nodes[index] = &Budget{Ratio: ratio, Window: window, FixedRetries: test.fixedRetries, SafetyFactor: 0.7, RandomOffset: random.Float64()}
				}
				var requests, retries []time.Duration
				for now := time.Duration(0); now < simLength; now += step {
					for range int(test.requests*step.Seconds() + random.Float64()) {
						node := nodes[random.IntN(len(nodes))]
						requests = append(requests, now)
						node.CountRequest("s", now)
						for range test.wanted {
							if now >= failure+phase && node.AllowRetry("s", test.listed(now), now) {
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
		})
	}
}
