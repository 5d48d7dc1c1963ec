package serve

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/dispatch"
)

// TestRequestsWaitForTheStart has a process learn its configuration, or the
// first server, some time after a request has come. A request that was refused
// instead used up its caller's only repeat.
func TestRequestsWaitForTheStart(t *testing.T) {
	cases := map[string]struct {
		age    time.Duration // of the process
		view   time.Duration // until the configuration is known
		server time.Duration // until a server is
		status int
		held   time.Duration // at least
	}{
		"all is known":                       {time.Minute, 0, 0, 200, 0},
		"the configuration comes":            {0, 80 * time.Millisecond, 0, 200, 80 * time.Millisecond},
		"a server comes":                     {0, 0, 80 * time.Millisecond, 200, 80 * time.Millisecond},
		"one after the other":                {0, 50 * time.Millisecond, 100 * time.Millisecond, 200, 100 * time.Millisecond},
		"no configuration for long":          {0, time.Hour, 0, 503, startWait},
		"no server within the route's 0.2 s": {0, 0, time.Hour, 503, 180 * time.Millisecond},
		"an old process without a server":    {time.Minute, 0, time.Hour, 503, 0},
		"an old process without a view":      {time.Minute, time.Hour, 0, 503, 0},
		"the wait ends with the time of one": {startTime - 50*time.Millisecond, 0, time.Hour, 503, 50 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, step{body: "ok"})
			began := harness.clock.Now()
			harness.Began = began - test.age
			full, believe := harness.Table, harness.Believe
			empty := &dispatch.Table{}
			var known atomic.Bool
			known.Store(test.view == 0)
			if test.view > 0 {
				time.AfterFunc(test.view, func() { known.Store(true) })
			}
			harness.Believe = func() Belief {
				if !known.Load() {
					return Belief{}
				}
				return believe()
			}
			if test.server > 0 {
				harness.Table = empty
				time.AfterFunc(test.server, func() {
					empty.Replace([]dispatch.Server{{Service: "plain", Instance: "late", Address: "plain:1", Slots: 4}})
				})
			}
			answer := harness.post("/safe/open/x", "")
			held := harness.clock.Now() - began
			assert.Equal(t, answer.Code, test.status)
			assert.Assert(t, held >= test.held, "%s", held)
			assert.Assert(t, held < test.held+500*time.Millisecond, "%s", held)
			harness.Table = full
		})
	}
}
