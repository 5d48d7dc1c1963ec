// Package timer provides periodic callbacks. System uses the machine's clock. Manual
// is a fake for tests, whose time advances only on request.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// System is a timer on the machine's clock. The zero value is ready to use.
type System struct{}

// Now returns the time since the machine booted, including time spent suspended.
func (*System) Now() time.Duration {
	var spec unix.Timespec
	// CLOCK_BOOTTIME exists on every Linux that Go supports, so the call cannot fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}

// Subscribe calls tick at each interval, on a goroutine of its own, until cancel is
// called. Of the ticks that become due while tick runs, only one is kept. The interval
// must be positive. Cancel waits for a tick in progress to return, so tick must not call
// cancel. Cancel may be called repeatedly.
func (system *System) Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func()) {
	subscription := &subscription{clock: system, interval: interval, tick: tick, stop: make(chan struct{}), ended: make(chan struct{})}
	go subscription.run()
	return subscription.cancel
}

// Sleep waits for the duration or until the context is done, whichever comes first.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// subscription is one subscription to System. Its goroutine, run, calls tick.
type subscription struct {
	clock    *System
	interval time.Duration
	tick     func(now time.Duration)
	once     sync.Once
	stop     chan struct{} // closed by cancel
	ended    chan struct{} // closed when run returns
}

func (subscription *subscription) run() {
	defer close(subscription.ended)
	ticker := time.NewTicker(subscription.interval)
	defer ticker.Stop()
	for {
		select {
		case <-subscription.stop:
			return
		case <-ticker.C:
			subscription.tick(subscription.clock.Now())
		}
	}
}

// cancel stops run and waits until it has returned.
func (subscription *subscription) cancel() {
	subscription.once.Do(func() { close(subscription.stop) })
	<-subscription.ended
}

// Manual is a timer whose time changes only by Advance. The zero value is ready to
// use and starts at time zero.
type Manual struct {
	mutex       sync.Mutex
	now         time.Duration
	subscribers []*manualSubscriber
}

// manualSubscriber is one subscription to a Manual.
type manualSubscriber struct {
	interval time.Duration
	due      time.Duration // time of the next tick
	tick     func(now time.Duration)
	canceled bool
}

// Now returns the time that Advance has reached.
func (manual *Manual) Now() time.Duration {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	return manual.now
}

// Subscribe has Advance call tick at each interval, the first time one interval from now,
// until cancel is called. The interval must be positive. Unlike that of System, cancel does
// not wait for a tick in progress, and tick may call cancel.
func (manual *Manual) Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func()) {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	subscriber := &manualSubscriber{interval: interval, due: manual.now + interval, tick: tick}
	manual.subscribers = append(manual.subscribers, subscriber)
	return func() {
		manual.mutex.Lock()
		defer manual.mutex.Unlock()
		subscriber.canceled = true
	}
}

// Advance adds the duration to the time. It calls every tick that becomes due, on its own
// goroutine, in the order of due times and, for equal due times, in the order of
// subscription. During a tick the time is the tick's due time.
func (manual *Manual) Advance(duration time.Duration) {
	end := manual.Now() + duration
	for {
		subscriber := manual.next(end)
		if subscriber == nil {
			break
		}
		subscriber.tick(manual.Now())
	}
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	manual.now = end
}

// next returns the subscriber with the earliest tick that is due by end, or nil if no tick
// is. It sets the time to the due time of that tick and schedules the subscriber's next
// tick.
func (manual *Manual) next(end time.Duration) *manualSubscriber {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	var first *manualSubscriber
	for _, subscriber := range manual.subscribers {
		if subscriber.canceled || subscriber.due > end {
			continue
		}
		if first == nil || subscriber.due < first.due {
			first = subscriber
		}
	}
	if first == nil {
		return nil
	}
	manual.now = first.due
	first.due += first.interval
	return first
}
