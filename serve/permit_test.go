package serve

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// scriptedLimits is a fake shedkeel.ServerLimits that records its calls.
type scriptedLimits struct {
	mutex    sync.Mutex
	waits    map[shedkeel.InstanceID]time.Duration // until a permit of the server is valid; not listed: granted at once
	asked    int                                   // calls of Acquire
	observed []shedkeel.StatedLimit                // limits passed to Observe
}

func (scriptedLimits *scriptedLimits) Observe(_ shedkeel.InstanceID, limit shedkeel.StatedLimit, _ time.Duration) {
	scriptedLimits.mutex.Lock()
	defer scriptedLimits.mutex.Unlock()
	scriptedLimits.observed = append(scriptedLimits.observed, limit)
}

func (scriptedLimits *scriptedLimits) Acquire(_ context.Context, server shedkeel.InstanceID, maxWait time.Duration) shedkeel.Permit {
	scriptedLimits.mutex.Lock()
	defer scriptedLimits.mutex.Unlock()
	scriptedLimits.asked++
	wait := scriptedLimits.waits[server]
	return shedkeel.Permit{Granted: wait <= maxWait, Wait: wait}
}

// TestPermits checks a request while servers limit their rate. The request is sent at once to
// a server that has no limit or a free permit, waits for a permit that becomes valid in
// time, or is refused at once with a Retry-After.
func TestPermits(t *testing.T) {
	// A request waits for a permit for at most permitWaitFraction of the objective of 100 ms, that
	// is 50 ms: soon is within that time, late is not.
	const soon, late = 20 * time.Millisecond, 300 * time.Millisecond
	cases := map[string]struct {
		waits         map[shedkeel.InstanceID]time.Duration // scriptedLimits.waits, for the servers that limit their rate
		status        int
		sent          int           // attempts that reach the backend
		minTime       time.Duration // shortest time until the answer
		minRetryAfter time.Duration // shortest Retry-After; 0: not stated
	}{
		"a permit is free":         {map[shedkeel.InstanceID]time.Duration{"p0": 0, "p1": 0, "p2": 0}, 200, 1, 0, 0},
		"one server without limit": {map[shedkeel.InstanceID]time.Duration{"p0": late, "p1": late}, 200, 1, 0, 0},
		"a permit comes in time":   {map[shedkeel.InstanceID]time.Duration{"p0": soon, "p1": soon, "p2": soon}, 200, 1, soon, 0},
		// late and a minute both reach the longest Retry-After, which is maxWaitFraction of the timeout
		// of 1 s: 300 ms, less a jitter of at most a quarter.
		"no permit comes in time": {map[shedkeel.InstanceID]time.Duration{"p0": late, "p1": late, "p2": late}, 503, 0, 0, 200 * time.Millisecond},
		"no permit for a minute":  {map[shedkeel.InstanceID]time.Duration{"p0": time.Minute, "p1": time.Minute, "p2": time.Minute}, 503, 0, 0, 200 * time.Millisecond},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t)
			harness.Limits = &scriptedLimits{waits: test.waits}
			view := NewView(testConfig())
			view.route("h", "/safe/x").Objective = 100 * time.Millisecond
			harness.CurrentConfig = func() ConfigState { return ConfigState{View: view, ProvenAt: harness.clock.Now()} }
			for server := range test.waits {
				harness.Table.SetLimit(server, 2, true) // 2 requests per second; scriptedLimits ignores the rate
			}
			began := time.Now()
			got := harness.post("/safe/x", "")
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, len(harness.backend.requests), test.sent)
			took := time.Since(began)
			assert.Assert(t, took >= test.minTime && took < 200*time.Millisecond, "answered after %s: too early, or not within 200 ms", took)
			wait, _ := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			assert.Assert(t, wait >= test.minRetryAfter.Seconds() && (test.minRetryAfter > 0) == (wait > 0), "Retry-After is %v s", wait)
		})
	}
}

// TestEveryAttemptNeedsPermit checks that retries, hedges and failovers ask for permits as
// first attempts do, while all servers limit their rate.
func TestEveryAttemptNeedsPermit(t *testing.T) {
	cases := map[string]struct {
		path  string
		steps []step
		asked int // calls of Acquire
	}{
		"answered":        {"/safe/x", []step{{body: "ok"}}, 1},
		"safe, retried":   {"/safe/x", []step{{status: 500}, {body: "ok"}}, 2},
		"once, refused":   {"/once/x", []step{{status: 503, notRun: true}, {body: "ok"}}, 2},
		"stream":          {"/s/x", []step{{events: 5}}, 1},
		"stream, cut off": {"/s/x", []step{{events: 5, cutAfter: 2}, {events: 5}}, 2},
		"stream, stalled": {"/s/x", []step{{events: 5, stallAfter: 2}, {events: 5}}, 2},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.steps...)
			permits := &scriptedLimits{}
			harness.Limits = permits
			for _, server := range []shedkeel.InstanceID{"p0", "p1", "p2", "g0", "g1", "g2"} {
				harness.Table.SetLimit(server, 100, true) // 100 requests per second; scriptedLimits grants all permits
			}
			got := harness.post(test.path, "", "Model", "m")
			assert.Equal(t, got.Code, 200, got.Body.String())
			assert.Equal(t, permits.asked, test.asked)
		})
	}
}

// TestLimitsAreObserved checks which answers are evidence of a server's rate limit or of
// its absence, and so are passed to ServerLimits.Observe.
func TestLimitsAreObserved(t *testing.T) {
	cases := map[string]struct {
		step step
		want []shedkeel.StatedLimit // limits passed to Observe; {}: none is stated
	}{
		"no limit":                  {step{body: "ok"}, []shedkeel.StatedLimit{{}}},
		"a limit":                   {step{body: "ok", limit: 2}, []shedkeel.StatedLimit{{Stated: true, Rate: 2}}},
		"in a refusal":              {step{status: 429, notRun: true, limit: 2}, []shedkeel.StatedLimit{{Stated: true, Rate: 2}}},
		"in a failure":              {step{status: 500, limit: 2}, []shedkeel.StatedLimit{{Stated: true, Rate: 2}}},
		"failure, no limit":         {step{status: 500}, nil},
		"unsigned answer":           {step{unsigned: true}, nil},
		"answer to another request": {step{wrongID: true, limit: 2}, nil},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			// Further attempts get answers to other requests, which are not observed.
			harness := newHarness(t, test.step, step{wrongID: true}, step{wrongID: true}, step{wrongID: true})
			permits := &scriptedLimits{}
			harness.Limits = permits
			harness.post("/once/x", "")
			assert.DeepEqual(t, permits.observed, test.want)
		})
	}
}
