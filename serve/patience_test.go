package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestPatience tells those who come back from first tries, if callers of a
// route state the same time.
func TestPatience(t *testing.T) {
	repeat := func(times ...time.Duration) []time.Duration {
		var all []time.Duration
		for range 16 {
			all = append(all, times...)
		}
		return all
	}
	const full = 8 * time.Second
	cases := map[string]struct {
		before []time.Duration
		left   time.Duration
		waited time.Duration
	}{
		"nothing is known":             {nil, 5 * time.Second, 0},
		"a first try":                  {repeat(full), full, 0},
		"a few milliseconds less":      {repeat(full), full - 7*time.Millisecond, 7 * time.Millisecond},
		"it comes back":                {repeat(full), full - 2*time.Second, 2 * time.Second},
		"most come back":               {repeat(full, 7*time.Second, 6500*time.Millisecond, 6*time.Second), 6 * time.Second, 2 * time.Second},
		"one caller waits much longer": {append(repeat(full), time.Hour), full, 0},
		"callers state what they like": {repeat(1*time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 5*time.Second, 6*time.Second, 7*time.Second, 8*time.Second, 9*time.Second), 3 * time.Second, 0},
		"no time is stated":            {repeat(full), 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var patience patience
			for _, left := range test.before {
				patience.waited("r", left)
			}
			patience.waited("other", time.Hour)
			assert.Equal(t, patience.waited("r", test.left), test.waited)
			patience.forget(NewView(&shedkeel.ServingConfig{Routes: []shedkeel.Route{{ID: "r"}}}))
			assert.Equal(t, len(patience.routes), min(1, len(test.before)+int(test.left)))
		})
	}
}

// TestThoseWhoCanBeOnTimeGoFirst has a caller come back that can't be on time
// any more: an engine must take those first that can.
func TestThoseWhoCanBeOnTimeGoFirst(t *testing.T) {
	harness := newHarness(t)
	priority := func(deadline string) string {
		harness.post("/s/x", "", "Model", "m", "Deadline", deadline)
		last := harness.backend.requests[len(harness.backend.requests)-1]
		return last.Header.Get("Priority")
	}
	for range patienceLeast {
		assert.Equal(t, priority("2s"), "1")
	}
	assert.Equal(t, priority("1.9s"), "1", "it may still be on time")
	assert.Equal(t, priority("1s"), "8")
	assert.Equal(t, priority("2s"), "1")
}
