package serve

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/event"
)

// TestRequestsOfLeavingProcess guards against requests that a stopping process passes on though they can't end in time, and refuses
// though they can.
func TestRequestsOfLeavingProcess(t *testing.T) {
	cases := map[string]struct {
		left       time.Duration // until the end of the process
		took       time.Duration // by earlier requests of the route; 0: there was none
		deadline   string        // that the caller states
		steps      []step
		wantStatus int
		wantSent   int
	}{
		"there is time": {time.Second, 500 * time.Millisecond, "", nil, 200, 1},
		"there is none": {100 * time.Millisecond, 500 * time.Millisecond, "", nil, 503, 0},
		"nothing is known, its time may be longer": {900 * time.Millisecond, 0, "", nil, 503, 0},
		"nothing is known, its time ends before":   {900 * time.Millisecond, 0, "300ms", nil, 200, 1},
		"its time ends before, whatever it takes":  {900 * time.Millisecond, 5 * time.Second, "300ms", nil, 200, 1},
		"no time for another attempt, it has run":  {300 * time.Millisecond, 200 * time.Millisecond, "", []step{{delay: 150 * time.Millisecond, err: errServerFailed}}, 502, 1},
		"no time for another attempt, it has not":  {300 * time.Millisecond, 200 * time.Millisecond, "", []step{{delay: 150 * time.Millisecond, status: 503, notRun: true}}, 503, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, test.steps...)
			if test.took > 0 {
				harness.answers.Record("safe", 0, test.took)
			}
			harness.Leave(harness.clock.Now() + test.left)
			var header []string
			if test.deadline != "" {
				header = []string{"Deadline", test.deadline}
			}
			got := harness.post("/safe/x", "", header...)
			assert.Equal(t, got.Code, test.wantStatus, got.Body.String())
			assert.Equal(t, len(harness.backend.requests), test.wantSent)
			assert.Equal(t, got.Header().Get("Retry-After") != "", test.wantStatus == http.StatusServiceUnavailable)
		})
	}
}

// TestRefusalOfLeavingProcessIsLogged guards against refusals in a planned stop that the log doesn't explain.
func TestRefusalOfLeavingProcessIsLogged(t *testing.T) {
	harness := newHarness(t)
	lines := &bytes.Buffer{}
	harness.Log = &event.Log{Logger: slog.New(slog.NewJSONHandler(lines, nil))}
	harness.answers.Record("safe", 0, time.Second)
	harness.Leave(harness.clock.Now() + 300*time.Millisecond)
	assert.Equal(t, harness.post("/safe/x", "").Code, http.StatusServiceUnavailable)
	var line struct {
		Cause       string
		ProcessLeft time.Duration `json:"process_left"`
		Expected    time.Duration
	}
	assert.NilError(t, json.Unmarshal(lines.Bytes(), &line))
	assert.Equal(t, line.Cause, "elsewhere")
	assert.Equal(t, line.Expected, time.Second)
	assert.Assert(t, line.ProcessLeft > 0 && line.ProcessLeft <= 300*time.Millisecond, "%s", line.ProcessLeft)
}

// TestEndOfLeavingProcess guards against callers whose connections are closed without an answer when their process ends.
func TestEndOfLeavingProcess(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/s/x"} {
		t.Run(path, func(t *testing.T) {
			harness := newHarness(t, step{delay: time.Second, status: 200, body: "late"}, step{delay: time.Second, status: 200, body: "late"})
			time.AfterFunc(100*time.Millisecond, harness.EndAll)
			began := time.Now()
			got := harness.post(path, "", "Model", "m")
			assert.Equal(t, got.Code, http.StatusBadGateway, got.Body.String())
			assert.Assert(t, !got.broken)
			assert.Assert(t, time.Since(began) < 500*time.Millisecond)
		})
	}
}
