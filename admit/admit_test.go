package admit

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestRateHoldsOverAllBoxes floods nine boxes that cannot speak to each other
// and counts what they let through together.
func TestRateHoldsOverAllBoxes(t *testing.T) {
	const boxes, rate, seconds = 9, 90.0, 30
	for name, skew := range map[string]int{"all boxes": boxes, "one box": 1} {
		t.Run(name, func(t *testing.T) {
			limiters := make([]*Limiter, boxes)
			for index := range limiters {
				limiters[index] = &Limiter{}
				limiters[index].Configure([]shedkeel.Account{{ID: "a", Rate: rate}}, boxes, 0)
			}
			random := rand.New(rand.NewPCG(1, 1))
			admitted := 0
			for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
				if limiters[random.IntN(skew)].Take("a", now) == nil {
					admitted++
				}
			}
			assert.Assert(t, admitted <= rate*(seconds+1), "%d admitted", admitted)
			if skew == boxes {
				assert.Assert(t, admitted >= rate*seconds*9/10, "%d admitted", admitted)
			}
		})
	}
}

func TestTakeTellsWhenToComeBack(t *testing.T) {
	limiter := &Limiter{}
	limiter.Configure([]shedkeel.Account{{ID: "slow", Rate: 0.2}, {ID: "free"}}, 1, 0)
	assert.NilError(t, limiter.Take("slow", 0))
	var notRun *shedkeel.NotRunError
	assert.Assert(t, errors.As(limiter.Take("slow", 0), &notRun))
	assert.Equal(t, notRun.RetryAfter, 5*time.Second)
	assert.Assert(t, notRun.Overloaded)
	assert.NilError(t, limiter.Take("slow", notRun.RetryAfter), "it was told to come back then")
	for range 1000 {
		assert.NilError(t, limiter.Take("free", 0))
	}
	limiter.Configure([]shedkeel.Account{{ID: "slow", Rate: 0.2}}, 1, 6*time.Second)
	assert.Assert(t, limiter.Take("slow", 6*time.Second) != nil, "a new configuration must not refill a bucket")
}

func enter(gate *Gate, account shedkeel.AccountID, load int) error {
	weights := map[shedkeel.AccountID]int{"heavy": 3}
	return gate.Enter(Request{
		Service: "s", Account: account, Weight: func(id shedkeel.AccountID) int { return weights[id] },
		Deadline: time.Second, Capacity: 40, Load: load, Room: 10,
	})
}

// TestFlood lets one account flood a busy service, and checks that others keep
// their shares by weight.
func TestFlood(t *testing.T) {
	gate := &Gate{}
	running := map[shedkeel.AccountID]int{}
	offer := func(account shedkeel.AccountID, count int) {
		for range count {
			if enter(gate, account, 10) == nil {
				running[account]++
			}
		}
	}
	offer("light", 1)
	offer("heavy", 1)
	offer("flood", 1000)
	offer("light", 1000)
	offer("heavy", 1000)
	assert.Assert(t, running["flood"] <= 40/5+1, "the flood has %d", running["flood"])
	assert.Assert(t, running["light"] >= 7, "the light account has %d", running["light"])
	assert.Assert(t, running["heavy"] >= 3*running["light"]-3, "the heavy account has %d, the light one %d", running["heavy"], running["light"])
	for range running["flood"] {
		gate.Leave("s", "flood", 0)
	}
	assert.NilError(t, enter(gate, "flood", 0))
}

func TestAloneMayUseAll(t *testing.T) {
	gate := &Gate{}
	for range 200 {
		assert.NilError(t, enter(gate, "alone", 10))
	}
}

func TestRefusedWhatCannotBeInTime(t *testing.T) {
	gate := &Gate{}
	assert.NilError(t, enter(gate, "a", 0))
	gate.Leave("s", "a", 2*time.Second) // the mean run time
	cases := map[string]struct {
		load  int
		after time.Duration // 0: let in
	}{
		"a free slot":       {9, 0},
		"a short queue":     {12, 0},
		"too long a queue":  {20, 1200 * time.Millisecond},
		"far too long":      {60, 9200 * time.Millisecond},
		"longer than bound": {1000, time.Minute},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := enter(gate, "a", test.load)
			if test.after == 0 {
				assert.NilError(t, err)
				gate.Leave("s", "a", 0)
				return
			}
			var notRun *shedkeel.NotRunError
			assert.Assert(t, errors.As(err, &notRun), "%v", err)
			assert.Equal(t, notRun.RetryAfter, test.after)
		})
	}
}

// TestBudget bounds retries when everything fails.
func TestBudget(t *testing.T) {
	budget := &Budget{}
	retries := 0
	const firsts = 10_000
	for range firsts {
		budget.First()
		for range 2 {
			if budget.Retry() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= firsts*retryShare+retryFloor, "%d retries", retries)
	assert.Assert(t, retries >= firsts*retryShare*9/10, "%d retries", retries)
}
