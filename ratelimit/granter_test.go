package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// pull asks for permits each so often for a while, and returns when one was granted.
func pull(granter *Granter, limit shedkeel.ServerLimit, from, every, length time.Duration) (granted []time.Duration) {
	for now := from; now < from+length; now += every {
		if granter.Grant(limit, 0, now).Granted {
			granted = append(granted, now)
		}
	}
	return granted
}

// TestGranterKeepsTheRate checks that a server gets its rate and no more, in each
// window of four seconds, from the first permit on.
func TestGranterKeepsTheRate(t *testing.T) {
	const start, length, window = time.Minute, 20 * time.Second, 4 * time.Second
	cases := map[string]float64{"a half": 0.5, "two": 2, "twenty": 20, "two hundred": 200}
	for name, rate := range cases {
		t.Run(name, func(t *testing.T) {
			limit := shedkeel.ServerLimit{Server: "s", Rate: rate, Since: start}
			granted := pull(&Granter{}, limit, start, time.Millisecond, length)
			total := rate * length.Seconds()
			assert.Assert(t, float64(len(granted)) >= 0.9*total-1, "%d of %.0f used", len(granted), total)
			first := 0
			for last := range granted {
				for granted[last]-granted[first] > window {
					first++
				}
				assert.Assert(t, float64(last-first+1) <= rate*window.Seconds()+burst+1)
			}
		})
	}
}

// TestGranterTakesOver checks that a process which takes the permits of a server over
// from another grants none for a while, and that nobody waits where the server has
// only just stated its limit.
func TestGranterTakesOver(t *testing.T) {
	cases := map[string]struct {
		since time.Duration
		first time.Duration
	}{
		"stated long ago": {0, time.Minute + handover},
		"stated just now": {time.Minute, time.Minute},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			limit := shedkeel.ServerLimit{Server: "s", Rate: 10, Since: test.since}
			granted := pull(&Granter{}, limit, time.Minute, 10*time.Millisecond, 3*time.Second)
			interval := 100 * time.Millisecond
			assert.Assert(t, granted[0] >= test.first+interval && granted[0] <= test.first+2*interval, "first at %s", granted[0])
		})
	}
}

// TestGranterWaits checks what a request is told that can wait, and that refused ones
// are told different times.
func TestGranterWaits(t *testing.T) {
	const now = time.Minute
	limit := shedkeel.ServerLimit{Server: "s", Rate: 2, Since: now}
	granter := &Granter{}
	assert.DeepEqual(t, granter.Grant(limit, time.Second, now), shedkeel.Permit{Granted: true, Wait: 500 * time.Millisecond})
	assert.DeepEqual(t, granter.Grant(limit, time.Second, now), shedkeel.Permit{Granted: true, Wait: time.Second})
	assert.DeepEqual(t, granter.Grant(limit, time.Second, now), shedkeel.Permit{Wait: 1500 * time.Millisecond})
	assert.DeepEqual(t, granter.Grant(limit, time.Second, now), shedkeel.Permit{Wait: 2 * time.Second})
	assert.DeepEqual(t, granter.Grant(limit, time.Second, now), shedkeel.Permit{Wait: mostWait})
}

// TestGranterFollowsTheLimit checks that a changed limit holds at once, and that a
// server which takes none is tried now and then.
func TestGranterFollowsTheLimit(t *testing.T) {
	granter := &Granter{}
	limit := shedkeel.ServerLimit{Server: "s", Rate: 5, Since: time.Minute}
	assert.Equal(t, len(pull(granter, limit, time.Minute, 10*time.Millisecond, 10*time.Second)), 49)
	limit.Rate = 1
	few := len(pull(granter, limit, 2*time.Minute, 10*time.Millisecond, 10*time.Second))
	assert.Assert(t, few >= 10 && few <= 10+burst, "%d", few)
	limit.Rate = 0
	trials := len(pull(granter, limit, 3*time.Minute, 10*time.Millisecond, time.Minute))
	assert.Assert(t, trials >= 6 && trials <= 6+burst, "%d", trials)
	granter.Retain(func(shedkeel.InstanceID) bool { return false })
	assert.Equal(t, len(granter.buckets), 0)
}
