package timer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestManual checks the times and the order of ticks, and that none follows cancel.
func TestManual(t *testing.T) {
	clock := &Manual{}
	var calls []time.Duration
	record := func(now time.Duration) { calls = append(calls, now) }
	cancelFast := clock.Subscribe(2*time.Second, record)
	clock.Subscribe(3*time.Second, record)
	clock.Advance(6 * time.Second)
	assert.DeepEqual(t, calls, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 6 * time.Second})
	cancelFast()
	calls = nil
	clock.Advance(4 * time.Second)
	assert.DeepEqual(t, calls, []time.Duration{9 * time.Second})
	assert.Equal(t, clock.Now(), 10*time.Second)
}

// TestSystem checks that ticks occur with increasing times, that cancel may be called
// twice, and that no tick is recorded right after cancel has returned.
func TestSystem(t *testing.T) {
	system := &System{}
	ticks := make(chan time.Duration, 1000)
	cancel := system.Subscribe(time.Millisecond, func(now time.Duration) { ticks <- now })
	first, second := <-ticks, <-ticks
	assert.Assert(t, first < second)
	cancel()
	cancel() // a second call has no effect
	ticksBefore := len(ticks)
	assert.Assert(t, system.Now() >= second)
	assert.Equal(t, len(ticks), ticksBefore)
}
