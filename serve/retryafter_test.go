package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/timer"
)

// TestRetryAfter checks the range and the jitter of Retry-After for causes that do not depend on
// when a server accepts requests again. Unless a range is a single time, it begins at three
// quarters of its longest time (retryJitter). A longest time that is not a constant of this package
// is maxWaitFraction of the deadline, or the length of the outage if shorter.
func TestRetryAfter(t *testing.T) {
	const longOutage = 30 * time.Second
	cases := map[string]struct {
		cause    cause
		deadline time.Duration // the caller's; 0: defaultTimeout applies
		outage   time.Duration // its length so far; 0: there is none
		least    time.Duration // shortest Retry-After
		most     time.Duration // longest Retry-After
	}{
		"process is stopping":                      {causeStopping, 8 * time.Second, 0, retrySoon, retrySoon},
		"process is stopping, in an outage":        {causeStopping, 8 * time.Second, time.Second, retrySoon, retrySoon},
		"stale configuration without an outage":    {causeStaleConfig, 8 * time.Second, 0, retrySoon, retrySoon},
		"an outage has started":                    {causeStaleConfig, 8 * time.Second, 10 * time.Millisecond, retryOutage * 3 / 4, retryOutage},
		"an outage lasts":                          {causeStaleConfig, 8 * time.Second, 2 * time.Second, 1500 * time.Millisecond, 2 * time.Second},
		"an outage lasts long":                     {causeStaleConfig, 8 * time.Second, longOutage, 1800 * time.Millisecond, 2400 * time.Millisecond},
		"an outage, and an impatient caller":       {causeStaleConfig, time.Second, time.Second, 225 * time.Millisecond, 300 * time.Millisecond},
		"an outage, and a caller without deadline": {causeStaleConfig, 0, longOutage, 6750 * time.Millisecond, 9 * time.Second},
		"all slots are taken":                      {causeNoCapacity, 8 * time.Second, 0, retryRepair * 3 / 4, retryRepair},
		"servers refused the request":              {causeNotRun, 8 * time.Second, longOutage, retryRepair * 3 / 4, retryRepair},
		"the deadline is very near":                {causeNoCapacity, 20 * time.Millisecond, 0, retrySoon, retrySoon},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			timers := &timer.Manual{}
			timers.Advance(time.Minute) // so that the outages began after time 0
			handler := &Handler{Timers: timers, StoreOutage: func() (time.Duration, bool) { return timers.Now() - test.outage, test.outage > 0 }}
			got := map[time.Duration]bool{}
			for index := range 100 {
				exchange := &exchange{handler: handler, startedAt: timers.Now(), call: shedkeel.Call{ID: fmt.Sprint("r", index), Deadline: test.deadline}}
				wait := exchange.retryAfter(test.cause)
				assert.Assert(t, wait >= test.least && wait <= test.most, "%s", wait)
				got[wait] = true
			}
			// Over half of the 100 times must differ, unless the range is a single time.
			assert.Equal(t, len(got) > 50, test.most-test.least > 50*time.Millisecond, "%d different times", len(got))
		})
	}
}

// TestRetryAfterInStoreOutage checks the Retry-After of a process that has no configuration, as
// after it was started in an outage of the key-value service. In an outage, a Retry-After of
// retrySoon (50 ms) would make every caller retry only to be refused again.
func TestRetryAfterInStoreOutage(t *testing.T) {
	harness := newHarness(t)
	harness.CurrentConfig = func() ConfigState { return ConfigState{} }
	assert.Equal(t, harness.post("/safe/x", "", "Deadline", "8s").Header().Get("Retry-After"), "0.050")
	harness.StoreOutage = func() (time.Duration, bool) { return harness.clock.Now(), true } // an outage that begins now
	wait, err := time.ParseDuration(harness.post("/safe/x", "", "Deadline", "8s").Header().Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Assert(t, wait >= retryOutage*3/4 && wait <= retryOutage, "%s", wait)
}
