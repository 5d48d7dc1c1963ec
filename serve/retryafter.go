package serve

import (
	"hash/fnv"
	"time"
)

const (
	// retrySoon is what callers are told where another process can serve them
	// at once, or this one will in some milliseconds.
	retrySoon = 50 * time.Millisecond
	// retryRepair is about the time in which a group is repaired with a
	// substitute, or in which some places of full servers become free.
	retryRepair = 700 * time.Millisecond
	// retryOutage is the least that callers are told in an outage of the
	// key-value service in which no process can serve them. An outage that has
	// lasted for longer is taken to last on for as long again.
	retryOutage = 1200 * time.Millisecond
	// waitShare is the part of the time that a caller has left that it may be
	// asked to wait: callers heed no more than a third, and need the rest to be
	// answered.
	waitShare = 0.3
	// retrySpread is the part by which the times of callers differ, so that
	// those who were refused together don't come back as one crowd.
	retrySpread = 0.25
)

// cause is why a request is refused though it is proper.
type cause int

const (
	causeElsewhere   cause = iota // this process takes no requests; others do
	causeNoProof                  // what this process knows is nothing, or out of date
	causeNoPlace                  // no server may be sent to, or none has a place
	causeNotRun                   // servers refused it or could not be reached
	causeQuarantined              // servers ended under it, and another try of it is made now
	causeLimited                  // the servers limit their rate, and no permit is free in time
	causeBackoff                  // the servers want no requests for a while
	causeContained                // so many servers ended under it that no try is made any more
)

// causeNames are the causes in logs and metrics.
var causeNames = [...]string{"elsewhere", "no_proof", "no_place", "not_run", "quarantined", "limited", "backoff", "contained"}

// String names the cause.
func (cause cause) String() string { return causeNames[cause] }

// retryAfter is when the caller should come back after a refusal; 0 where that would
// not help it.
func (exchange *exchange) retryAfter(cause cause) time.Duration {
	back := retryRepair
	switch cause {
	case causeContained:
		return 0
	case causeElsewhere:
		back = retrySoon
	case causeLimited, causeBackoff:
		return exchange.retryFree()
	case causeNoProof:
		back = exchange.front.retryProof(exchange.front.Timers.Now())
	}
	back = min(back, time.Duration(waitShare*float64(exchange.left())))
	back -= time.Duration(retrySpread * exchange.lot() * float64(back))
	return max(back, retrySoon)
}

// retryFree is when a server takes a request again: nobody can be served earlier, so
// these times differ upwards. Callers who heed no time so long come before it, and
// theirs differ downwards.
func (exchange *exchange) retryFree() time.Duration {
	spread := retrySpread * exchange.lot()
	most := time.Duration(waitShare * float64(exchange.left()))
	if exchange.freeIn >= most {
		return max(most-time.Duration(spread*float64(most)), retrySoon)
	}
	back := exchange.freeIn + time.Duration(spread*float64(exchange.freeIn))
	return max(min(back, most), retrySoon)
}

// retryProof is in how long a process that can't know what is in force is
// likely to: at once where it alone is cut off or has just started, when the
// outage is likely to end where all are in one.
func (front *Front) retryProof(now time.Duration) time.Duration {
	if front.Outage == nil {
		return retrySoon
	}
	since, away := front.Outage()
	if !away {
		return retrySoon
	}
	return max(retryOutage, now-since)
}

// left is how long the caller still waits.
func (exchange *exchange) left() time.Duration {
	until := exchange.untilOwn
	if until == 0 {
		until = exchange.began + defaultTimeout
		if exchange.call.Deadline > 0 {
			until = exchange.began + exchange.call.Deadline
		}
	}
	return until - exchange.front.Timers.Now()
}

// lot is a number from 0 to 1 that is the request's own.
func (exchange *exchange) lot() float64 {
	const lots = 1 << 10
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(exchange.call.ID)) // it never fails
	return float64(hash.Sum32()%lots) / lots
}
