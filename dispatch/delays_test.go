package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/liveness"
)

// delayedProcess simulates a process that is delayed again and again. Events that arrive during a
// delay are read by the first goroutine that runs afterwards, or by the last one, after the check for
// stalls.
type delayedProcess struct {
	period    time.Duration // from the beginning of one delay to that of the next
	delay     time.Duration
	readsLast bool
}

// runs returns the times at which the process runs, about a millisecond apart, until the end.
func (process delayedProcess) runs(end time.Duration) (times []time.Duration) {
	for now := time.Second; now < end; now += time.Millisecond {
		if process.period > 0 && now%process.period < process.delay {
			now += process.delay - now%process.period
		}
		times = append(times, now)
	}
	return times
}

// TestOwnDelaysAreNoSilence checks that a server that sends an event each 10 ms is never held for
// stalled by a process that reads late, and that one that has died still is: as soon as the
// process has run for the time of a stall.
func TestOwnDelaysAreNoSilence(t *testing.T) {
	const ms = time.Millisecond
	const limit = defaultMaxEventGap + stallMargin
	cases := map[string]delayedProcess{
		"never delayed":                               {},
		"stands still for 0.9 s":                      {period: 5 * time.Second, delay: 900 * ms},
		"stands still for 0.9 s, reads last":          {period: 5 * time.Second, delay: 900 * ms, readsLast: true},
		"suspended for 3 s":                           {period: 8 * time.Second, delay: 3 * time.Second, readsLast: true},
		"100 ms late, four times in five, reads last": {period: 125 * ms, delay: 100 * ms, readsLast: true},
		"300 ms late, nine times in ten, reads last":  {period: 330 * ms, delay: 300 * ms, readsLast: true},
		"200 ms late, every other time":               {period: 400 * ms, delay: 200 * ms},
		"190 ms late, runs for 10 ms, reads last":     {period: 200 * ms, delay: 190 * ms, readsLast: true},
	}
	for name, process := range cases {
		t.Run(name, func(t *testing.T) {
			for _, died := range []bool{false, true} {
				table, delays := testTable("a"), &liveness.Delays{}
				table.Delays = delays
				choice := table.Choose(at(time.Second))
				delays.Tick(time.Second)
				ticked, last, ran, found := time.Second, time.Second, time.Duration(0), time.Duration(0)
				choice.RecordResponse(time.Second) // the last event of the server that dies
				credit := time.Duration(0)         // for the last tick before each delay
				for _, now := range process.runs(20 * time.Second) {
					ran += min(now-last, ms)
					if now-last > ms {
						credit += liveness.TickInterval
					}
					last = now
					if !died && !process.readsLast {
						choice.RecordResponse(now)
					}
					if len(table.FindStalled(now)) > 0 {
						found = now
						break
					}
					if !died {
						choice.RecordResponse(now)
					}
					if now-ticked >= liveness.TickInterval {
						delays.Tick(now)
						ticked = now
					}
				}
				if !died {
					assert.Equal(t, found, time.Duration(0), "a server that sends events counts as stalled")
					continue
				}
				assert.Assert(t, found > 0, "a dead server is not found")
				assert.Assert(t, ran+credit >= limit, "found after the process ran for %s only", ran)
				assert.Assert(t, ran <= limit+ms, "found only after the process ran for %s", ran)
			}
		})
	}
}
