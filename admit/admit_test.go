package admit

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestRateHoldsOverAllBoxes sends more requests than the rate to nine boxes that
// do not communicate. Together they must admit no more than the rate, whether the
// requests are spread over all boxes or all go to one. If the requests are spread at
// random over all boxes, the boxes must admit at least 90% of the rate.
func TestRateHoldsOverAllBoxes(t *testing.T) {
	const boxes, rate, seconds = 9, 90.0, 30
	for name, usedBoxes := range map[string]int{"all boxes": boxes, "one box": 1} {
		t.Run(name, func(t *testing.T) {
			limiters := make([]*Limiter, boxes)
			for index := range limiters {
				limiters[index] = &Limiter{}
				limiters[index].Configure([]shedkeel.Account{{ID: "a", Rate: rate}}, boxes, 0)
			}
			random := rand.New(rand.NewPCG(1, 1))
			admitted := 0
			// 1000 requests per second, more than ten times the rate.
			for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
				if limiters[random.IntN(usedBoxes)].Take("a", now) == nil {
					admitted++
				}
			}
			// The buckets start full, with the tokens of one second (burstTime).
			assert.Assert(t, admitted <= rate*(seconds+1), "%d requests admitted, more than the rate and the full buckets allow", admitted)
			if usedBoxes == boxes {
				assert.Assert(t, admitted >= rate*seconds*9/10, "%d requests admitted, less than 90%% of the rate", admitted)
			}
		})
	}
}

// TestTakeRetryAfter checks that a request is admitted after the RetryAfter of its
// refusal, that accounts without a rate are not limited, and that a new configuration
// does not refill a bucket.
func TestTakeRetryAfter(t *testing.T) {
	limiter := &Limiter{}
	limiter.Configure([]shedkeel.Account{{ID: "slow", Rate: 0.2}, {ID: "unlimited"}}, 1, 0) // one entry box, at time 0
	assert.NilError(t, limiter.Take("slow", 0))
	var notRun *shedkeel.NotRunError
	assert.Assert(t, errors.As(limiter.Take("slow", 0), &notRun))
	assert.Equal(t, notRun.RetryAfter, 5*time.Second) // 0.2 per second is a token every 5 s
	assert.Assert(t, notRun.Overloaded)
	assert.NilError(t, limiter.Take("slow", notRun.RetryAfter), "the request must be admitted after RetryAfter")
	for range 1000 {
		assert.NilError(t, limiter.Take("unlimited", 0))
	}
	limiter.Configure([]shedkeel.Account{{ID: "slow", Rate: 0.2}}, 1, 6*time.Second) // at time 6 s
	// 1 s after the last token was taken, the bucket has 0.2 tokens.
	assert.Assert(t, limiter.Take("slow", 6*time.Second) != nil, "a new configuration must not refill a bucket")
}

// enter offers a request with a deadline of 1 s to a gate, for a service whose
// targets together run 40 requests concurrently. load is the number of requests at
// the chosen target, which can run 10 concurrently: with a load of 10 or more the
// service counts as busy. The account heavy has weight 3 and all others weight 1.
func enter(gate *Gate, account shedkeel.AccountID, load int) error {
	weights := map[shedkeel.AccountID]int{"heavy": 3}
	return gate.Enter(Request{
		Service: "s", Account: account, Weight: func(id shedkeel.AccountID) int { return weights[id] },
		Deadline: time.Second, Capacity: 40, Load: load, TargetCapacity: 10,
	})
}

// TestFlood sends far more requests of one account than a busy service can run, and
// checks that the other accounts get their weighted shares. The weights 1 (light),
// 3 (heavy) and 1 (flood) divide 40 slots into 8, 24 and 8. The bounds allow flood one
// request more and light one less.
func TestFlood(t *testing.T) {
	gate := &Gate{}
	running := map[shedkeel.AccountID]int{}
	offer := func(account shedkeel.AccountID, count int) {
		for range count {
			if enter(gate, account, 10) == nil { // a load of 10: the service is busy
				running[account]++
			}
		}
	}
	offer("light", 1)
	offer("heavy", 1)
	offer("flood", 1000)
	offer("light", 1000)
	offer("heavy", 1000)
	assert.Assert(t, running["flood"] <= 40/5+1, "the account flood has %d requests in flight", running["flood"])
	assert.Assert(t, running["light"] >= 7, "the account light has %d requests in flight", running["light"])
	assert.Assert(t, running["heavy"] >= 3*running["light"]-3, "the account heavy has %d requests in flight, the account light %d", running["heavy"], running["light"])
	// After the requests of flood have ended, the account is admitted again. They end
	// without a run time (0), as requests do that do not complete.
	for range running["flood"] {
		gate.Leave("s", "flood", 0)
	}
	assert.NilError(t, enter(gate, "flood", 0)) // a load of 0: the chosen target is free
}

// TestOnlyAccountMayUseWholeService checks that an account is not limited to a share of a busy
// service while no other account uses it.
func TestOnlyAccountMayUseWholeService(t *testing.T) {
	gate := &Gate{}
	// Five times the service's capacity of 40, at a target that is full.
	for range 200 {
		assert.NilError(t, enter(gate, "alone", 10))
	}
}

// TestRefuseRequestsThatWouldMissDeadline checks that requests are refused if their estimated
// wait exceeds their deadline of 1 s, with the difference as RetryAfter. The mean
// run time is 2 s and the target runs 10 requests concurrently, so the estimated wait
// is 0.2 s times the number of requests beyond 10, this one included.
func TestRefuseRequestsThatWouldMissDeadline(t *testing.T) {
	gate := &Gate{}
	assert.NilError(t, enter(gate, "a", 0))
	gate.Leave("s", "a", 2*time.Second) // sets the mean run time
	cases := map[string]struct {
		load       int
		retryAfter time.Duration // expected RetryAfter; 0: admitted
	}{
		"one free slot":            {9, 0},
		"wait of 0.6 s":            {12, 0},
		"wait of 2.2 s":            {20, 1200 * time.Millisecond},
		"wait of 10.2 s":           {60, 9200 * time.Millisecond},
		"limited to maxRetryAfter": {1000, time.Minute},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := enter(gate, "a", test.load)
			if test.retryAfter == 0 {
				assert.NilError(t, err)
				gate.Leave("s", "a", 0) // 0: does not change the mean run time
				return
			}
			var notRun *shedkeel.NotRunError
			assert.Assert(t, errors.As(err, &notRun), "the error is not a NotRunError: %v", err)
			assert.Equal(t, notRun.RetryAfter, test.retryAfter)
		})
	}
}

// TestBudget checks that, if each request asks for two retries, the retries allowed stay
// within the budget and are at least 90% of those that the first attempts restore
// (retryRatio).
func TestBudget(t *testing.T) {
	budget := &RetryBudget{}
	retries := 0
	const firstAttempts = 10_000
	for range firstAttempts {
		budget.FirstAttempt()
		for range 2 {
			if budget.Retry() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= firstAttempts*retryRatio+initialRetries, "%d retries, more than the budget allows", retries)
	assert.Assert(t, retries >= firstAttempts*retryRatio*9/10, "%d retries, less than 90%% of what the first attempts restore", retries)
}
