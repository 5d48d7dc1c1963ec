package serve

import (
	"hash/fnv"
	"time"
)

const (
	// retrySoon is the shortest Retry-After. It applies when another process can serve
	// the caller at once, or this process can within milliseconds.
	retrySoon = 50 * time.Millisecond
	// retryRepair is about the time in which a failed member of a replica group is
	// replaced, or in which slots of full servers become free.
	retryRepair = 700 * time.Millisecond
	// retryOutage is the shortest wait, before the jitter and the bound by
	// maxWaitFraction, in an outage of the key-value service in which no process can
	// serve the caller. An outage that has lasted longer is assumed to last as long
	// again.
	retryOutage = 1200 * time.Millisecond
	// maxWaitFraction is the longest Retry-After, as a fraction of the time that the
	// caller still waits: callers honor at most a third of it, and need the rest for
	// the answer.
	maxWaitFraction = 0.3
	// retryJitter is the largest fraction by which Retry-After varies, so that
	// callers that were refused together do not retry at the same time.
	retryJitter = 0.25
)

// cause is why a valid request is refused with 503.
type cause int

const (
	causeStopping    cause = iota // this process is stopping; other processes serve
	causeStaleConfig              // this process has no configuration, or one that is out of date
	causeNoCapacity               // no server is available, or none has a free slot
	causeNotRun                   // all servers tried refused the request or were unreachable
	causeQuarantined              // servers ended while they ran the request, and only one attempt at a time is allowed
	causeLimited                  // the servers limit their rate, and no permit is available in time
	causeBackoff                  // all servers have asked for a backoff
	causeContained                // too many servers ended while they ran the request; it is not sent again
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [...]string{"elsewhere", "no_proof", "no_place", "not_run", "quarantined", "limited", "backoff", "contained"}

// String returns the name of the cause in logs and metrics.
func (cause cause) String() string { return causeNames[cause] }

// retryAfter returns how long the caller should wait before it retries after a refusal. It
// returns 0 if a retry cannot succeed.
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

// retryWhenFree returns how long the caller should wait until a server accepts a request
// again: retryIn plus the jitter, because no caller can be served before retryIn. If retryIn
// is longer than the wait that maxWaitFraction allows, it returns the latter, less the jitter.
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
// configuration is current. The wait is retrySoon if only this process cannot reach the
// key-value service or has just started. If no process can reach the service, it is the
// expected rest of the outage.
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

// jitter returns a number of at least 0 and below 1 that is derived from the request's ID.
func (exchange *exchange) jitter() float64 {
	const steps = 1 << 10
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(exchange.call.ID)) // a hash never returns an error
	return float64(hash.Sum32()%steps) / steps
}
