package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/liveness"
)

// lateWakeup is the delay from which the wake-ups of a process are logged as late: an appreciable
// part of the shortest time-outs, those of dials and probes.
const lateWakeup = 50 * time.Millisecond

// wakeups measures how late this process is woken by its own timers. A process that lacks processor
// time notices answers late; its delays tell how late.
type wakeups struct {
	delays  liveness.Delays
	mutex   sync.Mutex
	longest time.Duration // the longest delay since the last call of report
}

// tick records a wake-up that was due liveness.TickInterval after the last one.
func (wakeups *wakeups) tick(now time.Duration) {
	late := wakeups.delays.Tick(now)
	wakeups.mutex.Lock()
	defer wakeups.mutex.Unlock()
	wakeups.longest = max(wakeups.longest, late)
}

// report logs and exports the longest delay since the last call. scope may be nil.
func (wakeups *wakeups) report(log *event.Log, scope tally.Scope) {
	wakeups.mutex.Lock()
	longest := wakeups.longest
	wakeups.longest = 0
	wakeups.mutex.Unlock()
	if longest >= lateWakeup {
		log.Write(event.WokenLate, slog.Duration("delay", longest))
	}
	if scope != nil {
		scope.Gauge("wakeup_delay_seconds").Update(longest.Seconds())
	}
}
