package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/liveness"
)

// TestLateWakeupsAreLogged checks that late wake-ups are logged with the longest delay, and others not.
func TestLateWakeupsAreLogged(t *testing.T) {
	cases := map[string]struct {
		delays []time.Duration
		want   string // part of the log; empty: nothing is logged
	}{
		"on time":       {[]time.Duration{0, time.Millisecond, lateWakeup - 1}, ""},
		"late":          {[]time.Duration{0, 860 * time.Millisecond, 100 * time.Millisecond}, `"delay":860000000`},
		"the first one": {nil, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			lines := &bytes.Buffer{}
			log, err := event.NewLog(lines, "info")
			assert.NilError(t, err)
			wakeups, now := &wakeups{}, time.Hour
			wakeups.tick(now)
			for _, delay := range test.delays {
				now += liveness.TickInterval + delay
				wakeups.tick(now)
			}
			wakeups.report(log, nil)
			assert.Equal(t, strings.Contains(lines.String(), "668"), test.want != "", lines.String())
			assert.Assert(t, strings.Contains(lines.String(), test.want), lines.String())
			lines.Reset()
			wakeups.report(log, nil)
			assert.Equal(t, lines.String(), "", "a delay was logged twice")
		})
	}
}
