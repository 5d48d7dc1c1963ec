// Package returning decides when refused callers return. It handles the load pattern in which a
// model is short of capacity and many callers are refused together: without spread times they
// would return together and be refused again. Each refused caller is told its own time, and a
// caller that returns at a reserved time takes precedence over new ones.
package returning

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxReservations is the largest number of open reservations of a Ledger.
	MaxReservations = 20_000
	// maxScheduled bounds the entries of a schedule: the open reservations and those that were
	// redeemed within the last validAfter.
	maxScheduled = 2 * MaxReservations
	// validBefore is how long before its time a reservation can be redeemed. Callers measure the
	// wait from when the refusal reaches them, with clocks of their own.
	validBefore = 20 * time.Millisecond
	// validAfter is how long after its time a reservation can be redeemed. It allows for the
	// round trip of the refusal and for a new connection.
	validAfter = time.Second
	// maxInterval is the longest time between two reserved times, so that a rate close to 0 does
	// not overflow a time.
	maxInterval = time.Hour
	// maxDenied bounds the denied requests that a Ledger remembers.
	maxDenied = MaxReservations
	// sweepInterval is the time between two removals of the denied requests whose time has passed.
	sweepInterval = time.Second
)

// Ledger holds the reservations of refused callers. A request is identified by the digest of its
// content. A digest has at most one open reservation, which identical requests share: the first
// of them that returns at the reserved time redeems it, and the others count as new. All times
// are times of one monotonic clock, which does not go back. The zero value is empty. A Ledger
// must not be used concurrently.
type Ledger struct {
	open map[uint64]time.Duration // the time of each open reservation, by digest
	// schedule holds reserved times in ascending order, including redeemed ones, because a
	// redeemed time is not free again. It begins with the last expired one, if any, because the
	// next reserved time keeps its distance from that one too.
	schedule []reservation
	// denied holds, by digest, the time that a request was told when no time was free. Until then
	// it gets no reservation: those that retry often would otherwise get every time that comes
	// within their reach.
	denied    map[uint64]time.Duration
	nextSweep time.Duration // when to remove from denied next
}

type reservation struct {
	at     time.Duration
	digest uint64
}

// Promise makes a reservation for a request that is refused at the time now. It returns the
// reserved time and true. The time is the first one from earliest to latest, and not before now,
// that is at least 1/rate seconds away from all other reserved times, where rate is the number of
// reservations per second.
//
// If the request has an open reservation whose time has not passed, Promise returns that time
// again, even if it is outside of earliest to latest or rate is 0. If no time is free, rate is
// not above 0, or MaxReservations are open, it reserves nothing and returns false and a time in
// the later half of earliest to latest. These times are spread evenly by digest. A request that
// found no free time gets no reservation before the time that it was told. If latest is before
// earliest, it counts as earliest.
func (ledger *Ledger) Promise(digest uint64, earliest, latest time.Duration, rate float64, now time.Duration) (at time.Duration, promised bool) {
	ledger.expire(now)
	if at, found := ledger.open[digest]; found && at >= now {
		return at, true
	}
	earliest = max(earliest, now)
	latest = max(latest, earliest)
	later := spread(digest, latest-(latest-earliest)/2, latest)
	capacity := rate > 0 // false also if rate is not a number
	if !capacity || len(ledger.open) >= MaxReservations || len(ledger.schedule) >= maxScheduled || ledger.isDenied(digest, now) {
		return later, false
	}
	at, index := ledger.firstFree(earliest, latest, interval(rate))
	if at > latest {
		ledger.deny(digest, later)
		return later, false
	}
	ledger.reserve(index, reservation{at: at, digest: digest})
	return at, true
}

// Redeem uses the open reservation of a digest and returns true, if now is from 20 ms before the
// reserved time to 1 s after it. Otherwise it returns false and leaves the reservation as it is.
func (ledger *Ledger) Redeem(digest uint64, now time.Duration) bool {
	ledger.expire(now)
	at, found := ledger.open[digest]
	if !found || now < at-validBefore {
		return false
	}
	delete(ledger.open, digest)
	return true
}

// Len returns the number of open reservations, including those that have expired since the last
// call of Promise or Redeem.
func (ledger *Ledger) Len() int { return len(ledger.open) }

// expire drops the reservations that can no longer be redeemed at the time now. The last of them
// stays in the schedule. Every sweepInterval, it also removes the denied requests that are past.
func (ledger *Ledger) expire(now time.Duration) {
	expired := 0
	for _, entry := range ledger.schedule {
		if entry.at+validAfter >= now {
			break
		}
		if at, found := ledger.open[entry.digest]; found && at == entry.at {
			delete(ledger.open, entry.digest)
		}
		expired++
	}
	if expired > 1 {
		ledger.schedule = ledger.schedule[expired-1:]
	}
	if now >= ledger.nextSweep {
		maps.DeleteFunc(ledger.denied, func(_ uint64, until time.Duration) bool { return until <= now })
		ledger.nextSweep = now + sweepInterval
	}
}

// isDenied reports whether the request has been told a time after now because none was free.
func (ledger *Ledger) isDenied(digest uint64, now time.Duration) bool {
	until, found := ledger.denied[digest]
	return found && now < until
}

// deny remembers that a request was told a time because none was free. While maxDenied others are
// remembered, it does nothing.
func (ledger *Ledger) deny(digest uint64, until time.Duration) {
	if len(ledger.denied) >= maxDenied {
		return
	}
	if ledger.denied == nil {
		ledger.denied = map[uint64]time.Duration{}
	}
	ledger.denied[digest] = until
}

// firstFree returns the first time from earliest on that is at least interval away from all
// times of the schedule, and its index there. It stops at the first time after latest.
func (ledger *Ledger) firstFree(earliest, latest, interval time.Duration) (at time.Duration, index int) {
	at = earliest
	index, _ = slices.BinarySearchFunc(ledger.schedule, earliest, func(entry reservation, at time.Duration) int { return cmp.Compare(entry.at, at) })
	if index > 0 {
		at = max(at, ledger.schedule[index-1].at+interval)
	}
	for ; at <= latest && index < len(ledger.schedule) && ledger.schedule[index].at-at < interval; index++ {
		at = ledger.schedule[index].at + interval
	}
	return at, index
}

// reserve inserts a reservation into the schedule at index and opens it, in place of an
// unredeemed one of the same digest whose time has passed.
func (ledger *Ledger) reserve(index int, entry reservation) {
	if ledger.open == nil {
		ledger.open = map[uint64]time.Duration{}
	}
	ledger.open[entry.digest] = entry.at
	ledger.schedule = slices.Insert(ledger.schedule, index, entry)
}

// interval returns the time between two reserved times at a rate per second above 0. It is
// rounded up, so that rounding never exceeds the rate.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(min(float64(time.Second)/rate, float64(maxInterval))))
}

// spread returns a time from earliest to latest that is derived from the digest. The factor is
// 2^64 divided by the golden ratio, which also spreads digests that differ only in their low bits.
func spread(digest uint64, earliest, latest time.Duration) time.Duration {
	fraction := float64(digest*0x9e3779b97f4a7c15) / (1 << 64)
	return earliest + time.Duration(fraction*float64(latest-earliest))
}
