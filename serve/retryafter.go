package serve

import (
	"hash/fnv"
	"time"
)

const (
	// retrySoon is the shortest Retry-After. It is used when another process can
	// serve the caller at once, or this one can within milliseconds.
	retrySoon = 50 * time.Millisecond
	// retryRepair is about the time in which a failed member of a replica group is
	// replaced, or in which full servers get free slots.
	retryRepair = 700 * time.Millisecond
	// retryOutage is the shortest wait, before jitter and the caller's own limit, in an
	// outage of the key-value service in which no process can serve the caller. An
	// outage that has lasted longer is assumed to go on for as long again.
	retryOutage = 1200 * time.Millisecond
	// maxWaitFraction is the largest fraction of the caller's remaining time that
	// Retry-After asks it to wait: callers honor at most a third, and need the rest
	// for the answer.
	maxWaitFraction = 0.3
	// retryJitter is the largest fraction by which Retry-After varies, so that
	// callers that were refused together do not retry at the same time.
	retryJitter = 0.25
)

// cause is why a valid request is refused with 503.
type cause int

const (
	causeStopping    cause = iota // this process is stopping; others serve
	causeStaleConfig              // this process has no configuration, or one that is out of date
	causeNoCapacity               // no server is available, or none has a free slot
	causeNotRun                   // all servers tried refused it or were unreachable
	causeQuarantined              // servers ended under it, and only one attempt at a time is allowed
	causeLimited                  // the servers limit their rate, and no permit is available in time
	causeBackoff                  // all servers have asked for a backoff
	causeContained                // too many servers ended under it; it is not sent again
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [...]string{"elsewhere", "no_proof", "no_place", "not_run", "quarantined", "limited", "backoff", "contained"}

// String returns the name of the cause in logs and metrics.
func (cause cause) String() string { return causeNames[cause] }

// retryAfter returns how long the caller should wait before it retries after a
// refusal. It returns 0 where a retry cannot succeed.
func (exchange *exchange) retryAfter(cause cause) time.Duration {
	wait := retryRepair
	switch cause {
	case causeContained:
		return 0
	case causeStopping:
		wait = retrySoon
	case causeLimited, causeBackoff:
		return exchange.retryWhenFree()
	case causeStaleConfig:
		wait = exchange.handler.retryStaleConfig(exchange.handler.Timers.Now())
	}
	wait = min(wait, time.Duration(maxWaitFraction*float64(exchange.remaining())))
	wait -= time.Duration(retryJitter * exchange.jitter() * float64(wait))
	return max(wait, retrySoon)
}

// retryWhenFree returns how long until a server accepts a request again, by retryIn.
// No caller can be served earlier, so the jitter is added. If retryIn exceeds what the
// caller honors, the result is the longest wait that it honors, less the jitter.
func (exchange *exchange) retryWhenFree() time.Duration {
	spread := retryJitter * exchange.jitter()
	longest := time.Duration(maxWaitFraction * float64(exchange.remaining()))
	if exchange.retryIn >= longest {
		return max(longest-time.Duration(spread*float64(longest)), retrySoon)
	}
	wait := exchange.retryIn + time.Duration(spread*float64(exchange.retryIn))
	return max(min(wait, longest), retrySoon)
}

// retryStaleConfig returns how long to wait when this process cannot prove that its
// configuration is current. It is retrySoon where only this process is cut off or has
// just started, and the expected rest of the outage where all processes have lost
// the key-value service.
func (handler *Handler) retryStaleConfig(now time.Duration) time.Duration {
	if handler.StoreOutage == nil {
		return retrySoon
	}
	since, unavailable := handler.StoreOutage()
	if !unavailable {
		return retrySoon
	}
	return max(retryOutage, now-since)
}

// remaining returns how long the caller still waits. Requests that are refused before
// they are matched to a route have no callerDeadline yet.
func (exchange *exchange) remaining() time.Duration {
	until := exchange.callerDeadline
	if until == 0 {
		until = exchange.startedAt + defaultTimeout
		if exchange.call.Deadline > 0 {
			until = exchange.startedAt + exchange.call.Deadline
		}
	}
	return until - exchange.handler.Timers.Now()
}

// jitter returns a number from 0 to 1 that is derived from the request's ID.
func (exchange *exchange) jitter() float64 {
	const steps = 1 << 10
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(exchange.call.ID)) // a hash never returns an error
	return float64(hash.Sum32()%steps) / steps
}
