package serve

import (
	"hash/fnv"
	"time"

	"shedkeel.org/shedkeel/quota"
)

const (
	// retrySoon is the shortest Retry-After. It applies when another process can serve
	// the caller at once, or this process can within milliseconds.
	retrySoon = 50 * time.Millisecond
	// retryRepair is the wait for causeNoCapacity, causeNotRun, causeQuarantined,
	// causePartQuarantined and causeNoPath. It is
	// about the time in which a failed member of a replica group is replaced, or in which
	// slots of full servers become free. maxWaitFraction and the jitter may shorten it.
	retryRepair = 700 * time.Millisecond
	// retryOutage is the shortest wait in an outage of the key-value service, because no
	// process can serve the caller then. maxWaitFraction and the jitter may still shorten
	// the wait. An outage that has lasted longer than retryOutage is assumed to
	// last as long again (see retryStaleConfig).
	retryOutage = 1200 * time.Millisecond
	// maxWaitFraction is the longest Retry-After, as a fraction of the time that the
	// caller still waits. Callers honor a Retry-After of at most a third of that time,
	// because they need the rest for the answer.
	maxWaitFraction = 0.3
	// retryJitter is the largest fraction by which Retry-After varies with the request's
	// ID, so that callers that were refused together do not retry at the same time.
	retryJitter = 0.25
)

// cause is why a valid request is refused with 503.
type cause int

const (
	causeStopping        cause = iota // this process is stopping; other processes serve
	causeStaleConfig                  // this process has no configuration, or one that is out of date
	causeNoCapacity                   // no server is available, or too many late requests wait for the model (errFull)
	causeNotRun                       // any other reason why no attempt ran, such as that all servers tried refused the request
	causeQuarantined                  // servers terminated while they ran the request, and the guard allows no attempt now
	causeLimited                      // the servers limit their rate, and no permit is available in time (errLimited)
	causeBackoff                      // all available servers have asked for a backoff (see noServerError)
	causeContained                    // too many servers terminated while they ran the request; it is not sent again
	causePartQuarantined              // servers terminated under a part of the prompt, and another request with it is being tried
	causePartContained                // a part of the prompt terminates servers; no request with it is sent
	causeNoPath                       // no node reaches a backend server (shedkeel.NoPathError)
	causeFull                         // the overload control rejected the request: the model has no capacity left for it
	causeLate                         // the overload control rejected the request: it cannot be on time, and no capacity is left over
	causeOverShare                    // the overload control rejected the request: its client account has its share
	causeNoRoom                       // this process has no room for the request's body
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [...]string{"elsewhere", "no_proof", "no_place", "not_run", "quarantined", "limited", "backoff", "contained", "part_quarantined", "part_contained", "no_path", "full", "late", "over_share", "no_room"}

// String returns the name of the cause in logs and metrics.
func (cause cause) String() string { return causeNames[cause] }

// retryAfter returns how long the caller should wait before it retries after a refusal, at
// least retrySoon. It returns 0 for causeContained and causePartContained, because a retry cannot succeed.
func (exchange *exchange) retryAfter(cause cause) time.Duration {
	wait := retryRepair
	switch cause {
	case causeContained, causePartContained:
		return 0
	case causeStopping:
		wait = retrySoon
	case causeNoRoom:
		wait = quota.RetryAfter
	case causeLimited, causeBackoff:
		return exchange.retryWhenFree()
	case causeFull, causeLate, causeOverShare: // the overload control has spread the times already
		return max(exchange.retryIn, retrySoon)
	case causeStaleConfig:
		wait = exchange.handler.retryStaleConfig(exchange.handler.Timers.Now())
	}
	wait = min(wait, time.Duration(maxWaitFraction*float64(exchange.remaining())))
	wait -= time.Duration(retryJitter * exchange.jitter() * float64(wait))
	return max(wait, retrySoon)
}

// retryWhenFree returns how long the caller should wait until a server accepts a request
// again: retryIn plus the jitter, because no caller can be served before retryIn, but at most
// the longest wait that maxWaitFraction allows. If retryIn is not below that longest wait, it
// returns the longest wait less the jitter. The result is at least retrySoon.
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
// configuration is current. If StoreOutage reports an outage, the wait is the expected rest of
// the outage, at least retryOutage. Otherwise the wait is retrySoon: this process alone cannot
// reach the key-value service, or has just started.
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

// remaining returns how long the caller still waits. While prepare has not set callerDeadline,
// the caller is taken to wait from startedAt for the timeout that it stated (call.Deadline), or
// for defaultTimeout if it stated none.
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
