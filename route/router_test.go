package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// targetsOf returns that many targets with a capacity of 32 each, usable until the given time.
func targetsOf(count int, until time.Duration) []Target {
	var targets []Target
	for index := range count {
		targets = append(targets, Target{Name: fmt.Sprintf("g%03d", index), Address: fmt.Sprintf("a%03d", index), UsableUntil: until, Capacity: 32})
	}
	return targets
}

// newRouter returns a router with that many targets of the service s, which stay usable in all
// tests.
func newRouter(count int) *Router {
	router := &Router{Random: rand.NewPCG(1, 2)}
	router.Update("s", targetsOf(count, time.Hour), 0)
	return router
}

// TestChoose checks whether a target is chosen or an error returned, without affinity (0) and with
// affinity (77), and that the target g000 is not chosen if it is excluded.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		count   int           // number of targets
		until   time.Duration // UsableUntil of the targets
		now     time.Duration // time of the choice
		exclude []string
		want    bool // a target is chosen
	}{
		"one target":       {1, time.Second, 0, nil, true},
		"no targets":       {0, time.Second, 0, nil, false},
		"no longer usable": {3, time.Second, time.Second, nil, false},
		"all excluded":     {2, time.Second, 0, []string{"g000", "g001"}, false},
		"one not excluded": {3, time.Second, 0, []string{"g000", "g001"}, true},
	}
	for name, test := range cases {
		for _, affinity := range []uint64{0, 77} {
			t.Run(fmt.Sprint(name, " ", affinity), func(t *testing.T) {
				router := &Router{Random: rand.NewPCG(1, 2)}
				router.Update("s", targetsOf(test.count, test.until), 0)
				choice, err := router.Choose(Request{Service: "s", Affinity: affinity, Now: test.now, Exclude: test.exclude})
				assert.Equal(t, err == nil, test.want)
				if err == nil {
					assert.Assert(t, choice.Name != "g000" || len(test.exclude) == 0)
					choice.End(test.now)
				}
			})
		}
	}
}

// TestLoadIsCorrected checks that the load of a target is the reported load, corrected by the
// requests that were sent and have ended since the report.
func TestLoadIsCorrected(t *testing.T) {
	router := newRouter(1)
	choose := func(now time.Duration) *Choice {
		choice, err := router.Choose(Request{Service: "s", Now: now})
		assert.NilError(t, err)
		return choice
	}
	// The requests are sent at 1, 2 and 3 s. The report of 2 s includes the first two of them.
	first := choose(time.Second)
	choose(2 * time.Second)
	assert.Equal(t, choose(3*time.Second).Load, 2, "without a report, two requests in flight")
	report := targetsOf(1, time.Hour)
	report[0].ReportedLoad, report[0].ReportedAt = 10, 2*time.Second
	router.Update("s", report, 3*time.Second)
	first.End(4 * time.Second)
	assert.Equal(t, choose(5*time.Second).Load, 10, "10 reported, one sent and one ended since then")
}

// TestAffinity checks that a prefix keeps its group while the group is not overloaded, and
// that the loss of a group moves only the prefixes of that group.
func TestAffinity(t *testing.T) {
	const prefixes = 500
	// chooseAll returns the name of the target chosen for each prefix.
	chooseAll := func(router *Router) map[int]string {
		targets := map[int]string{}
		for prefix := range prefixes {
			choice, err := router.Choose(Request{Service: "s", Affinity: uint64(prefix)*2654435761 | 1}) // distributes the prefixes over the slots; never 0, which is no affinity
			assert.NilError(t, err)
			targets[prefix] = choice.Name
			choice.End(0)
		}
		return targets
	}
	router := newRouter(20)
	before := chooseAll(router)
	router.Update("s", targetsOf(20, time.Hour)[1:], 0) // without g000
	moved := 0
	for prefix, name := range chooseAll(router) {
		if before[prefix] != name {
			assert.Equal(t, before[prefix], "g000", "a prefix moved although its group remains")
			moved++
		}
	}
	// One of 20 groups has a twentieth of the prefixes on average; the bound is four times that.
	assert.Assert(t, moved > 0 && moved < prefixes/5, "%d prefixes moved", moved)
}

// TestHotPrefixSpills checks that a prefix shared by all requests does not overload the group
// that has it cached: of 1000 requests in flight at 10 groups, no group gets more than 180.
func TestHotPrefixSpills(t *testing.T) {
	router := newRouter(10)
	counts := map[string]int{}
	for range 1000 {
		choice, err := router.Choose(Request{Service: "s", Affinity: 5}) // any prefix, the same for all requests
		assert.NilError(t, err)
		counts[choice.Name]++
	}
	for name, count := range counts {
		assert.Assert(t, count <= 180, "%s got %d of 1000 requests", name, count)
	}
}

// BenchmarkChoose measures Choose and End without and with affinity. After every 1000 choices, it
// updates the targets outside the measured time, which keeps the lists of changes short.
func BenchmarkChoose(b *testing.B) {
	for _, groups := range []int{75, 600} {
		for _, affinity := range []uint64{0, 1} {
			b.Run(fmt.Sprintf("groups=%d/affinity=%d", groups, affinity), func(b *testing.B) {
				router := newRouter(groups)
				now := time.Duration(0)
				for index := range b.N {
					now += time.Microsecond
					// Without affinity, the product is 0; otherwise it differs between the requests.
					choice, err := router.Choose(Request{Service: "s", Affinity: affinity * uint64(index*2654435761|1), Now: now})
					if err != nil {
						b.Fatal(err)
					}
					choice.End(now)
					if index%1000 == 999 {
						b.StopTimer()
						targets := targetsOf(groups, time.Hour)
						for position := range targets {
							targets[position].ReportedAt = now
						}
						router.Update("s", targets, now)
						b.StartTimer()
					}
				}
			})
		}
	}
}

// BenchmarkUpdate measures an update in which no target is added or removed.
func BenchmarkUpdate(b *testing.B) {
	for _, groups := range []int{75, 600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			router := newRouter(groups)
			targets := targetsOf(groups, time.Hour)
			for b.Loop() {
				router.Update("s", targets, 0)
			}
		})
	}
}
