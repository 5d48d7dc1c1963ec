package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunning checks for how long a process ran by the delays of its timers. It was last on time at
// 1 s. Delays that were counted twice, or not at all, would show as too long or too short a time.
func TestRunning(t *testing.T) {
	const ms = time.Millisecond
	onTime := func(from, to time.Duration) (ticks []time.Duration) {
		for at := from; at <= to; at += TickInterval {
			ticks = append(ticks, at)
		}
		return ticks
	}
	cases := map[string]struct {
		ticks    []time.Duration // after those on time until 1 s
		from, to time.Duration
		want     time.Duration
		proves   bool
	}{
		"no delay":                             {onTime(1020*ms, 1500*ms), 1000 * ms, 1500 * ms, 500 * ms, true},
		"normal delays":                        {[]time.Duration{1025 * ms, 1054 * ms}, 1000 * ms, 1054 * ms, 54 * ms, true},
		"a delay of 400 ms":                    {append([]time.Duration{1430 * ms}, onTime(1450*ms, 1600*ms)...), 1000 * ms, 1600 * ms, 190 * ms, false},
		"a delay that lasts":                   {nil, 1000 * ms, 1430 * ms, 20 * ms, false},
		"a time within the normal delay":       {nil, 1000 * ms, 1030 * ms, 30 * ms, true},
		"from within a delay":                  {append([]time.Duration{1430 * ms}, onTime(1450*ms, 1600*ms)...), 1200 * ms, 1600 * ms, 170 * ms, false},
		"until within a delay":                 {append([]time.Duration{1430 * ms}, onTime(1450*ms, 1600*ms)...), 980 * ms, 1200 * ms, 40 * ms, false},
		"within a delay":                       {[]time.Duration{1430 * ms}, 1100 * ms, 1200 * ms, 0, false},
		"between delays":                       {append(append([]time.Duration{1430 * ms}, onTime(1450*ms, 1650*ms)...), 1880*ms), 1430 * ms, 1650 * ms, 220 * ms, true},
		"over two delays":                      {append(append([]time.Duration{1430 * ms}, onTime(1450*ms, 1650*ms)...), 1880*ms), 1000 * ms, 1880 * ms, 260 * ms, false},
		"delayed for a quarter":                {append([]time.Duration{1120 * ms}, onTime(1140*ms, 1380*ms)...), 1000 * ms, 1400 * ms, 300 * ms, true},
		"delayed for over a quarter":           {append([]time.Duration{1121 * ms}, onTime(1141*ms, 1381*ms)...), 1000 * ms, 1400 * ms, 299 * ms, false},
		"delays of 30 ms again and again":      {[]time.Duration{1060 * ms, 1120 * ms, 1180 * ms, 1240 * ms}, 1000 * ms, 1240 * ms, 80 * ms, false},
		"after a delay that is long forgotten": {append([]time.Duration{1430 * ms}, onTime(1450*ms, 14000*ms)...), 13000 * ms, 13500 * ms, 500 * ms, true},
		"a suspension of an hour":              {append([]time.Duration{time.Hour}, onTime(time.Hour+20*ms, time.Hour+200*ms)...), 1000 * ms, time.Hour + 200*ms, 220 * ms, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			delays := &Delays{}
			for _, at := range append(onTime(500*ms, 1000*ms), test.ticks...) {
				delays.Tick(at)
			}
			assert.Equal(t, delays.Running(test.from, test.to), test.want)
			assert.Equal(t, delays.Proves(test.from, test.to), test.proves)
		})
	}
	var none *Delays
	assert.Equal(t, none.Running(time.Second, time.Minute), 59*time.Second)
	assert.Assert(t, (&Delays{}).Proves(time.Second, time.Minute), "no timer has called yet")
}

// TestDelaysAreBounded checks that a process that is always late keeps the delays of
// delayRetention at most, and that Tick returns each delay.
func TestDelaysAreBounded(t *testing.T) {
	delays, now := &Delays{}, time.Hour
	delays.Tick(now)
	for range 10_000 {
		now += TickInterval + 20*time.Millisecond
		assert.Equal(t, delays.Tick(now), 20*time.Millisecond)
	}
	assert.Assert(t, len(delays.delays) <= int(delayRetention/(TickInterval+20*time.Millisecond))+1, "%d delays are kept", len(delays.delays))
	assert.Equal(t, delays.Running(now-time.Second, now), 500*time.Millisecond)
}

// BenchmarkDelays measures a tick, and a question while 200 delays are kept.
func BenchmarkDelays(b *testing.B) {
	delays, now := &Delays{}, time.Hour
	for range 200 {
		now += 3 * TickInterval
		delays.Tick(now)
	}
	b.Run("question", func(b *testing.B) {
		for b.Loop() {
			delays.Running(now-time.Second, now)
		}
	})
	b.Run("tick on time", func(b *testing.B) {
		for b.Loop() {
			now += TickInterval
			delays.Tick(now)
		}
	})
}

// TestLateness checks for how long what a process notices may have waited, by the delays of its timers. It was last on
// time at 1 s.
func TestLateness(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		ticks []time.Duration // after those until 1 s
		now   time.Duration
		want  time.Duration
	}{
		"on time":                        {nil, 1015 * ms, 0},
		"within the normal delay":        {nil, 1030 * ms, 0},
		"a delay that lasts":             {nil, 1430 * ms, 410 * ms},
		"right after a delay":            {[]time.Duration{1430 * ms}, 1435 * ms, 410 * ms},
		"soon after a delay":             {[]time.Duration{1430 * ms, 1450 * ms, 1470 * ms, 1490 * ms, 1510 * ms}, 1520 * ms, 410 * ms},
		"long after a delay":             {[]time.Duration{1430 * ms, 1450 * ms, 1470 * ms, 1490 * ms, 1510 * ms, 1530 * ms}, 1540 * ms, 0},
		"after the second of two delays": {[]time.Duration{1430 * ms, 1500 * ms}, 1510 * ms, 50 * ms},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			delays := &Delays{}
			for at := 500 * ms; at <= 1000*ms; at += TickInterval {
				delays.Tick(at)
			}
			for _, at := range test.ticks {
				delays.Tick(at)
			}
			assert.Equal(t, delays.Lateness(test.now), test.want)
		})
	}
	var none *Delays
	assert.Equal(t, none.Lateness(time.Second), time.Duration(0))
}
