package serve

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/dispatch"
)

// TestBackoffAppliesToLaterRequests checks, for each kind of route, that a later request is
// not sent to a server that asked for a backoff, and that it is refused at once if all
// servers asked for one.
func TestBackoffAppliesToLaterRequests(t *testing.T) {
	backsOff := step{status: 503, notRun: true, backoff: time.Minute}
	cases := map[string]struct {
		path   string
		steps  []step
		first  int // attempts of the first request
		second int // attempts of the second request
		status int // status of the second request
	}{
		"one plain server":        {"/safe/x", []step{backsOff, {body: "ok"}}, 2, 1, 200},
		"all plain servers":       {"/safe/x", []step{backsOff, backsOff, backsOff}, 3, 0, 503},
		"all plain servers, once": {"/once/x", []step{backsOff, backsOff, backsOff}, 3, 0, 503},
		"one group":               {"/s/x", []step{backsOff, {events: 5}}, 2, 1, 200},
		"all groups":              {"/s/x", []step{backsOff, backsOff, backsOff}, 3, 0, 503},
		"two groups of three":     {"/s/x", []step{backsOff, backsOff, {status: 503, notRun: true}}, 3, 1, 200},
		"the group of a failover": {"/s/x", []step{{events: 5, cutAfter: 2}, backsOff, {events: 5}}, 3, 1, 200},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			// The last step answers the second request on each kind of route.
			harness := newHarness(t, append(test.steps, step{events: 5, body: "ok"})...)
			harness.post(test.path, "", "Model", "m")
			assert.Equal(t, len(harness.backend.requests), test.first)
			backingOff := map[string]bool{}
			for index, sent := range test.steps {
				if sent.backoff > 0 {
					backingOff[harness.backend.requests[index].Header.Get("To")] = true
				}
			}
			began := time.Now()
			got := harness.post(test.path, "", "Model", "m", "Deadline", "600s") // the route's timeout of 1 or 2 s applies, which is shorter
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, len(harness.backend.requests)-test.first, test.second)
			for _, request := range harness.backend.requests[test.first:] {
				assert.Assert(t, !backingOff[request.Header.Get("To")], "a request was sent to a server that backs off")
			}
			if test.status == 503 {
				assert.Assert(t, time.Since(began) < 50*time.Millisecond, "the request must be refused at once")
				wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				// The longest wait is maxWaitFraction of the timeout: 0.3 or 0.6 s, less the
				// jitter, which for the ID r1 leaves more than 0.25 s.
				assert.Assert(t, wait > 0.25, "Retry-After is %v s", wait)
			}
		})
	}
}

// TestServerStatements checks from which answers the handler applies a backoff or a draining
// state.
func TestServerStatements(t *testing.T) {
	cases := map[string]struct {
		step       step
		maxBackoff time.Duration // Handler.MaxBackoff; a backoff of a nanosecond has ended when the test reads the table
		backsOff   bool          // the table has a backoff of the server
		drains     bool          // the table lists the server as draining
	}{
		"no statement":                        {step{body: "ok"}, 0, false, false},
		"in a refusal":                        {step{status: 503, notRun: true, backoff: time.Minute}, 0, true, false},
		"in a failure":                        {step{status: 503, backoff: time.Minute}, 0, true, false},
		"above MaxBackoff":                    {step{status: 503, notRun: true, backoff: time.Minute}, time.Nanosecond, false, false},
		"in another request's answer":         {step{status: 503, notRun: true, wrongID: true, backoff: time.Minute}, 0, false, false},
		"drains, and answers":                 {step{body: "ok", drains: true}, 0, false, true},
		"drains, and refuses":                 {step{status: 503, notRun: true, drains: true}, 0, false, true},
		"drains, in another request's answer": {step{wrongID: true, drains: true}, 0, false, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, test.step)
			harness.MaxBackoff = test.maxBackoff
			harness.Table.Replace([]dispatch.Server{{Service: "plain", Instance: "p0", Slots: 4}})
			harness.post("/once/x", "")
			_, backsOff := harness.Table.BackoffEnd(dispatch.Query{Service: "plain", Now: harness.clock.Now()})
			assert.Equal(t, backsOff, test.backsOff)
			assert.Equal(t, harness.Table.Draining()["p0"], test.drains)
		})
	}
}

// TestRetryAfterABackoff checks that callers that are refused together get different times in
// Retry-After. The times are near the end of the backoff, or near the longest wait that
// maxWaitFraction allows if the backoff ends later.
func TestRetryAfterABackoff(t *testing.T) {
	cases := map[string]struct {
		length      time.Duration // of the backoff
		least, most float64       // Retry-After, in seconds
	}{
		"ends soon": {100 * time.Millisecond, 0.08, 0.13}, // the length, and up to a quarter more by retryJitter
		"ends late": {time.Minute, 0.2, 0.3},              // the longest wait is maxWaitFraction of the timeout of 1 s, less up to a quarter by retryJitter
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t)
			harness.Table.Replace([]dispatch.Server{{Service: "plain", Instance: "p0", Slots: 4}})
			now := harness.clock.Now()
			harness.Table.BackOff("p0", now+test.length, now)
			waits := map[float64]bool{}
			for index := range 20 {
				got := harness.post("/safe/x", "", "Id", fmt.Sprint("r", index))
				assert.Equal(t, got.Code, 503)
				wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, wait >= test.least && wait <= test.most, "Retry-After is %v s", wait)
				waits[wait] = true
			}
			assert.Assert(t, len(waits) > 10, "fewer than 11 of 20 callers got different times: %v", waits)
		})
	}
}
