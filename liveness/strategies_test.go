package liveness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// strategy decides for how long a server has been silent at a check. lastRead is when an event was read
// last, checked are the times of the checks so far.
type strategy func(delays *Delays, lastRead, now time.Duration, checked []time.Duration) time.Duration

// strategies are the ways weighed in docs/design/own-delays.md.
var strategies = map[string]strategy{
	"by the clock": func(_ *Delays, lastRead, now time.Duration, _ []time.Duration) time.Duration { return now - lastRead },
	"from the last late check on": func(_ *Delays, lastRead, now time.Duration, checked []time.Duration) time.Duration {
		for index := len(checked) - 1; index > 0 && checked[index] > lastRead; index-- {
			if checked[index]-checked[index-1] > 3*TickInterval {
				return now - checked[index]
			}
		}
		return now - lastRead
	},
	"limit times lateness": func(_ *Delays, lastRead, now time.Duration, checked []time.Duration) time.Duration {
		const multiplierWindow = 50 // checks
		recent := checked[max(len(checked)-multiplierWindow, 0):]
		span := recent[len(recent)-1] - recent[0]
		multiplier := max(float64(span)/float64(time.Duration(len(recent))*TickInterval), 1)
		return time.Duration(float64(now-lastRead) / min(multiplier, 8))
	},
	"by the time the process ran": func(delays *Delays, lastRead, now time.Duration, _ []time.Duration) time.Duration {
		return delays.Running(lastRead, now)
	},
}

// TestDelayStrategies compares ways to judge silence in a process that is delayed. Each history lasts
// 60 s of virtual time; the server sends an event each 10 ms, or dies after 30 s. The kept way must
// never take a server that sends for silent.
func TestDelayStrategies(t *testing.T) {
	const (
		limit    = 180 * time.Millisecond
		duration = 60 * time.Second
		diesAt   = 30 * time.Second
	)
	patterns := map[string]func(random *rand.Rand) (runs, delay time.Duration){
		"on time":            func(*rand.Rand) (time.Duration, time.Duration) { return time.Second, 0 },
		"0.9 s, once in 5 s": func(*rand.Rand) (time.Duration, time.Duration) { return 5 * time.Second, 900 * time.Millisecond },
		"20 to 130 ms, half of it": func(random *rand.Rand) (time.Duration, time.Duration) {
			return time.Duration(10+random.IntN(100)) * time.Millisecond, time.Duration(20+random.IntN(110)) * time.Millisecond
		},
		"130 to 860 ms, most of it": func(random *rand.Rand) (time.Duration, time.Duration) {
			return time.Duration(20+random.IntN(100)) * time.Millisecond, time.Duration(130+random.IntN(730)) * time.Millisecond
		},
		"100 ms of CPU quota a 0.2 s": func(*rand.Rand) (time.Duration, time.Duration) { return 100 * time.Millisecond, 100 * time.Millisecond },
	}
	for pattern, next := range patterns {
		for name, strategy := range strategies {
			random, delays := rand.New(rand.NewPCG(1, 2)), &Delays{}
			now, lastRead, falseStalls, found := time.Second, time.Second, 0, time.Duration(0)
			var checked []time.Duration
			tick := func() {
				checked = append(checked, now)
				silent := strategy(delays, lastRead, now, checked) >= limit
				if silent && now < diesAt {
					falseStalls++
				}
				if silent && now >= diesAt && found == 0 {
					found = now
				}
				delays.Tick(now)
				if now < diesAt {
					lastRead = now // the event is read after the check
				}
			}
			tick()
			for now < duration {
				runs, delay := next(random)
				for end := now + runs; now < end; now += TickInterval {
					tick()
				}
				now += delay
			}
			after := "never"
			if found > 0 {
				after = (found - diesAt).String()
			}
			t.Logf("%-28s %-28s %4d false stalls, death found after %s", pattern, name, falseStalls, after)
			if name == "by the time the process ran" {
				assert.Equal(t, falseStalls, 0, pattern)
				assert.Assert(t, found > 0, "a dead server is not found: %s", pattern)
			}
		}
	}
}
