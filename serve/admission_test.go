package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/overload"
)

// deadlineRoute is a route whose callers state deadlines of 0.85 to 1.0 of its timeout.
var deadlineRoute = shedkeel.Route{ID: "r", Timeout: 2 * time.Second}

func firstDeadline(random *rand.Rand) time.Duration {
	return time.Duration((0.85 + 0.15*random.Float64()) * float64(deadlineRoute.Timeout))
}

// observeFirst has callers arrive for the first time, 10 ms apart from a time on. It returns the time
// after the last one, and how many callers counted as having waited for over 1 in 100 of the timeout.
func observeFirst(deadlines *deadlines, random *rand.Rand, count int, now time.Duration) (after time.Duration, waited int) {
	for range count {
		if deadlines.observe(&deadlineRoute, firstDeadline(random), now) > deadlineRoute.Timeout/100 {
			waited++
		}
		now += 10 * time.Millisecond
	}
	return now, waited
}

// TestDeadlinesOfFirstAttempts guards against first attempts that count as late because their callers
// wait for less than the route's timeout.
func TestDeadlinesOfFirstAttempts(t *testing.T) {
	for seed := range uint64(20) {
		_, waited := observeFirst(&deadlines{}, rand.New(rand.NewPCG(seed, 1)), 5000, time.Minute)
		assert.Check(t, waited == 0, "%d of 5000 with seed %d", waited, seed)
	}
}

// TestDeadlinesOfLaterAttempts guards against callers that return with less time left and count as new,
// and against estimates that follow the deadlines of returning callers in a shortage.
func TestDeadlinesOfLaterAttempts(t *testing.T) {
	deadlines, random := &deadlines{}, rand.New(rand.NewPCG(1, 2))
	now, _ := observeFirst(deadlines, random, 1000, time.Minute)
	later := deadlineRoute.Timeout / 2
	lowest := deadlines.routes["r"].lowest
	for range 1000 { // a shortage, in which most attempts are later ones
		deadlines.recordRefusal("r", now)
		waited := deadlines.observe(&deadlineRoute, later, now)
		assert.Assert(t, waited >= deadlineRoute.Timeout*3/10, "a caller with half of the time left counts as having waited %s", waited)
		now += 10 * time.Millisecond
	}
	assert.Equal(t, deadlines.routes["r"].lowest, lowest, "the deadlines of a shortage moved the estimate")
	deadlines.observe(&deadlineRoute, deadlineRoute.Timeout, now+refusalTime+time.Millisecond)
	assert.Assert(t, deadlines.routes["r"].lowest > lowest, "the estimate does not move after a shortage")
}

// TestDeadlinesWithoutHistory guards against callers that count as having waited before enough is known.
func TestDeadlinesWithoutHistory(t *testing.T) {
	cases := map[string]struct {
		deadline, timeout time.Duration
	}{
		"no deadline":        {0, time.Second},
		"no timeout":         {time.Second, 0},
		"first of its route": {time.Millisecond, time.Second},
		"above the timeout":  {time.Minute, time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			route := &shedkeel.Route{ID: "r", Timeout: test.timeout}
			assert.Equal(t, (&deadlines{}).observe(route, test.deadline, time.Minute), time.Duration(0))
		})
	}
}

// newAdmissionExchange returns an exchange of a request for the model of testConfig, on a route with
// an objective.
func newAdmissionExchange(harness *harness) *exchange {
	route := &shedkeel.Route{ID: "stream", Objective: 500 * time.Millisecond, Timeout: 2 * time.Second}
	now := harness.clock.Now()
	admitted := &exchange{
		handler: harness.Handler, request: httptest.NewRequest(http.MethodPost, "/s/x", nil), service: "llm", route: route, call: shedkeel.Call{ID: "r1", Model: "m"}, account: &shedkeel.KeyedAccount{ID: "clerk"},
		view: harness.CurrentConfig().View, startedAt: now, callerDeadline: now + route.Timeout,
	}
	admitted.digest = sync.OnceValue(admitted.computeDigest)
	return admitted
}

// TestAdmitByDecision guards against decisions of the overload control that are not carried out: by the
// spreader or, without its answer, by this process alone.
func TestAdmitByDecision(t *testing.T) {
	const inTime = 200 * time.Millisecond
	cases := map[string]struct {
		decision overload.Decision
		cause    cause // of a rejected request
		priority int   // of an admitted request
		due      time.Duration
	}{
		"on time":              {overload.Decision{Class: overload.OnTime, Due: inTime}, 0, 0, inTime},
		"without an objective": {overload.Decision{Class: overload.OnTime}, 0, 0, 0},
		"leftover":             {overload.Decision{Class: overload.Leftover, Reason: overload.Late}, 0, latePriority, 0},
		"full":                 {overload.Decision{Reason: overload.Full, RetryAfter: 300 * time.Millisecond}, causeFull, 0, 0},
		"late":                 {overload.Decision{Reason: overload.Late, RetryAfter: 400 * time.Millisecond}, causeLate, 0, 0},
		"over its share":       {overload.Decision{Reason: overload.OverShare, RetryAfter: 500 * time.Millisecond}, causeOverShare, 0, 0},
	}
	for name, test := range cases {
		for _, alone := range []bool{false, true} {
			runFakeTime(t, name+map[bool]string{false: ", spreader", true: ", alone"}[alone], func(t *testing.T) {
				harness := newHarness(t)
				askedAlone := 0
				harness.AdmitAlone = func(dispatch.Query, dispatch.Load) overload.Decision {
					askedAlone++
					return test.decision
				}
				harness.Recommend = func(_ context.Context, query dispatch.Query, _ dispatch.Load) (dispatch.Recommendation, bool) {
					assert.Equal(t, query.Admission.Objective, 500*time.Millisecond)
					return dispatch.Recommendation{Decision: &test.decision}, !alone
				}
				if alone {
					harness.Recommend = func(context.Context, dispatch.Query, dispatch.Load) (dispatch.Recommendation, bool) {
						return dispatch.Recommendation{}, false
					}
				}
				exchange := newAdmissionExchange(harness)
				query := dispatch.Query{Service: "llm", Model: "m", Now: harness.clock.Now()}
				err := exchange.admitToModel(context.Background(), &query)
				assert.Equal(t, askedAlone > 0, alone)
				var rejected *rejectedError
				if test.decision.Class == overload.Reject {
					assert.Assert(t, errors.As(err, &rejected))
					assert.Equal(t, rejected.cause(), test.cause)
					assert.Equal(t, exchange.retryAfter(test.cause), test.decision.RetryAfter)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, exchange.priority(), test.priority)
				due := time.Duration(0)
				if test.due > 0 {
					due = exchange.startedAt + test.due
				}
				assert.Equal(t, query.Due, due)
			})
		}
	}
}

// TestAdmitWithoutControl guards against a control that applies although it is off or the route has no
// objective: the slots decide then, as in TestModelAdmission, and nothing is asked of the spreader.
func TestAdmitWithoutControl(t *testing.T) {
	reject := func(dispatch.Query, dispatch.Load) overload.Decision { return overload.Decision{} }
	cases := map[string]struct {
		alone     func(dispatch.Query, dispatch.Load) overload.Decision // nil: off
		objective time.Duration
	}{
		"off":          {nil, time.Second},
		"no objective": {reject, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.AdmitAlone = test.alone
			onTime, late, refused := 0, 0, 0
			for range 2 * 24 { // three groups of eight slots
				exchange := newAdmissionExchange(harness)
				exchange.route.Objective = test.objective
				_, err := exchange.choose(t.Context())
				switch {
				case errors.Is(err, errFull):
					refused++
				case exchange.late:
					late++
				default:
					onTime++
				}
				assert.Assert(t, exchange.admissionRequest() == nil)
			}
			assert.DeepEqual(t, []int{onTime, late, refused}, []int{22, 12, 14})
		})
	}
}

// TestUnknownModelLeavesNothing names a model that the configuration doesn't have: the request is refused, and nobody is
// asked about the name or keeps it.
func TestUnknownModelLeavesNothing(t *testing.T) {
	runFakeTime(t, "unknown", func(t *testing.T) {
		harness := newHarness(t)
		harness.Recommend = func(context.Context, dispatch.Query, dispatch.Load) (dispatch.Recommendation, bool) {
			t.Error("a process was asked about a model that the configuration doesn't have")
			return dispatch.Recommendation{}, false
		}
		result := harness.post("/s/x", "hello", "Model", "stranger")
		assert.Equal(t, result.Code, 503)
		assert.Assert(t, result.Header().Get("Retry-After") != "")
	})
}
