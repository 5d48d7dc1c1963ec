// Package timer is the timer service that parts subscribe to: System runs on the
// machine's clock, Manual is moved by hand.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// System is the timer service of running programs. The zero value works.
type System struct{}

// Now returns the time since the machine started, with time spent suspended.
func (*System) Now() time.Duration {
	var spec unix.Timespec
	// CLOCK_BOOTTIME cannot fail on any Linux that Go runs on.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}

// Subscribe calls tick every interval until cancel is called. Cancel returns
// after the last call of tick has ended.
func (system *System) Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func()) {
	subscription := &subscription{clock: system, interval: interval, tick: tick, stop: make(chan struct{}), ended: make(chan struct{})}
	go subscription.run()
	return subscription.cancel
}

// Sleep waits for the length of time, or until the context ends.
func Sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

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

func (subscription *subscription) cancel() {
	subscription.once.Do(func() { close(subscription.stop) })
	<-subscription.ended
}

// Manual is a timer service that moves only by Advance. The zero value works
// and stands at time zero.
type Manual struct {
	mutex       sync.Mutex
	now         time.Duration
	subscribers []*manualSubscriber
}

type manualSubscriber struct {
	interval time.Duration
	due      time.Duration
	tick     func(now time.Duration)
	canceled bool
}

// Now returns the time that Advance has reached.
func (manual *Manual) Now() time.Duration {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	return manual.now
}

// Subscribe calls tick from within Advance.
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

// Advance moves the time on and makes all calls that fall due, in order of
// time and then of subscription.
func (manual *Manual) Advance(by time.Duration) {
	end := manual.Now() + by
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
