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
// called. Cancel waits for a tick in progress to return and may be called
// repeatedly; tick must not call it.
func (system *System) Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func()) {
	subscription := &subscription{clock: system, interval: interval, tick: tick, stop: make(chan struct{}), ended: make(chan struct{})}
	go subscription.run()
	return subscription.cancel
}

// Sleep waits for the duration or until the context is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// subscription is the goroutine that calls tick for one subscriber of System.
type subscription struct {
	clock    *System
	interval time.Duration
	tick     func(now time.Duration)
	once     sync.Once
	stop     chan struct{}
	ended    chan struct{}
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

// Subscribe has Advance call tick at each interval until cancel is called.
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

// Advance adds the duration to the time and calls every tick that becomes due, in the
// order of due times and, for equal ones, of subscription.
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

// next returns the subscriber with the earliest tick that is due by end, or nil. It
// sets the time to that tick and schedules the subscriber's next one.
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
