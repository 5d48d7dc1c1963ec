package standin

import (
	"time"

	"shedkeel.org/shedkeel/timer"
)

// Clock is a shedkeel.Timers on the clock of package time, which is a fake inside a synctest bubble.
// The zero value is ready for use.
type Clock struct{ timer.System }

// Now returns the time since 1970.
func (*Clock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Subscribe does the same as timer.System.Subscribe, and passes the time of Now.
func (clock *Clock) Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func()) {
	return clock.System.Subscribe(interval, func(time.Duration) { tick(clock.Now()) })
}
