package liveness

import (
	"sort"
	"sync"
	"time"
)

const (
	// TickInterval is the time between two calls of Delays.Tick.
	TickInterval = 20 * time.Millisecond
	// normalDelay is how late timers may be without a delay: those of a machine with processor
	// time to spare are late by less.
	normalDelay = 10 * time.Millisecond
	// delayRetention is for how long delays are kept: longer than any silence or time-out lasts.
	delayRetention = 10 * time.Second
	// maxDelayedShare is the largest share of a time-out for which this process may have been
	// delayed if the time-out is to prove anything.
	maxDelayedShare = 0.25
)

// Delays records when this process was delayed: its timers were late, since it lacked processor
// time or was suspended. Meanwhile it cannot notice what a peer sends, and must not take the peer
// for silent. The zero value, and nil, record no delay. It is safe for concurrent use.
type Delays struct {
	mutex  sync.Mutex
	ticked time.Duration // when Tick was called last; 0: never
	delays []delay       // the latest, by end
	before time.Duration // total of the delays that are forgotten
}

// delay is a time in which this process was delayed.
type delay struct {
	end   time.Duration
	total time.Duration // of this delay and all before
}

// Tick records that a timer, which was due TickInterval after the last call, has called. It returns
// how late the timer was, at least 0.
func (delays *Delays) Tick(now time.Duration) time.Duration {
	delays.mutex.Lock()
	defer delays.mutex.Unlock()
	late := delays.overdue(now)
	if late > normalDelay {
		delays.delays = append(delays.delays, delay{end: now, total: delays.total() + late})
	}
	for len(delays.delays) > 0 && now-delays.delays[0].end > delayRetention {
		delays.before = delays.delays[0].total
		delays.delays = delays.delays[1:]
	}
	delays.ticked = now
	return late
}

// overdue returns for how long the next call of Tick has been due. The caller must hold the mutex.
func (delays *Delays) overdue(now time.Duration) time.Duration {
	if delays.ticked == 0 {
		return 0
	}
	return max(now-delays.ticked-TickInterval, 0)
}

// total returns the sum of all delays. The caller must hold the mutex.
func (delays *Delays) total() time.Duration {
	if len(delays.delays) == 0 {
		return delays.before
	}
	return delays.delays[len(delays.delays)-1].total
}

// Running returns for how long this process ran between two times: the time between them without its
// delays, also one that lasts until now.
func (delays *Delays) Running(from, to time.Duration) time.Duration {
	if delays == nil {
		return to - from
	}
	delays.mutex.Lock()
	defer delays.mutex.Unlock()
	return to - from - (delays.until(to) - delays.until(from))
}

// Proves reports whether a time-out proves that nothing arrived between two times: this process was
// delayed for no more than maxDelayedShare of it.
func (delays *Delays) Proves(from, to time.Duration) bool {
	return float64(delays.Running(from, to)) >= (1-maxDelayedShare)*float64(to-from)
}

// noticeTime is how long after a delay the process still handles what arrived in it.
const noticeTime = 100 * time.Millisecond

// Lateness returns for how long something that this process notices now may have waited to be noticed: the length of the
// delay that lasts, or that ended less than noticeTime ago.
func (delays *Delays) Lateness(now time.Duration) time.Duration {
	if delays == nil {
		return 0
	}
	delays.mutex.Lock()
	defer delays.mutex.Unlock()
	if late := delays.overdue(now); late > normalDelay {
		return late
	}
	count := len(delays.delays)
	if count == 0 || now-delays.delays[count-1].end > noticeTime {
		return 0
	}
	before := delays.before
	if count > 1 {
		before = delays.delays[count-2].total
	}
	return delays.delays[count-1].total - before
}

// until returns the sum of the delays before the time. The caller must hold the mutex.
func (delays *Delays) until(at time.Duration) time.Duration {
	if at > delays.ticked {
		late := delays.overdue(at)
		if late <= normalDelay {
			late = 0
		}
		return delays.total() + late
	}
	index := sort.Search(len(delays.delays), func(index int) bool { return delays.delays[index].end >= at })
	before := delays.before
	if index > 0 {
		before = delays.delays[index-1].total
	}
	if index == len(delays.delays) {
		return before
	}
	next := delays.delays[index]
	began := next.end - (next.total - before)
	return before + max(at-began, 0)
}
