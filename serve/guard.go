package serve

import (
	"context"
	"errors"
	"time"

	"shedkeel.org/shedkeel"
)

// errServersEnded is the cancellation cause of a request if servers have terminated while
// they ran requests with the same digest. Its text is part of refusals.
var errServersEnded = errors.New("backend servers have ended under this very request")

// guardActive reports whether there is a guard that has records of servers that terminated
// while they ran requests. Otherwise the handler does not ask the guard about requests, and so
// computes no digests for that.
func (handler *Handler) guardActive() bool { return handler.Guard != nil && !handler.Guard.Idle() }

// checkGuard asks the guard whether the request may be sent. If so, the caller must call done
// when the request is over; otherwise err is the refusal. A contained request may not be
// sent. A quarantined request may be sent if the guard allows an attempt now: checkGuard then
// sets exchange.quarantined, so that the request runs on one server only.
func (exchange *exchange) checkGuard(ctx context.Context) (done func(), err error) {
	if !exchange.handler.guardActive() {
		return func() {}, nil
	}
	switch exchange.handler.Guard.Judge(exchange.digest()) {
	case shedkeel.Contained:
		return nil, exchange.refuse(causeContained, errServersEnded.Error()+", so it is sent to none any more")
	case shedkeel.Quarantined:
		done, allowed := exchange.handler.Guard.AcquireAttempt(ctx, exchange.digest())
		if !allowed {
			return nil, exchange.refuse(causeQuarantined, errServersEnded.Error()+", and one try of it at a time is made")
		}
		exchange.quarantined = true
		return done, nil
	}
	return func() {}, nil
}

// guardAllows reports whether the guard still allows another attempt. Since checkGuard was
// called, servers may have terminated while they ran this request or others with the same
// digest.
func (exchange *exchange) guardAllows() bool {
	if !exchange.handler.guardActive() {
		return true
	}
	judgment := exchange.handler.Guard.Judge(exchange.digest())
	return judgment == shedkeel.Unblamed || exchange.quarantined && judgment == shedkeel.Quarantined
}

// reportAnswer reports to the guard that a server has answered the request completely, which
// clears all requests with the same digest. It reports nothing while the guard has no records.
func (exchange *exchange) reportAnswer() {
	if exchange.handler.guardActive() {
		exchange.handler.Guard.RequestAnswered(exchange.digest())
	}
}

// track adds the request to the active requests, so that CancelCopies and CancelOverdue find
// it.
func (handler *Handler) track(tracked *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if handler.exchanges == nil {
		handler.exchanges = map[*exchange]struct{}{}
	}
	handler.exchanges[tracked] = struct{}{}
}

// untrack removes the request from the active requests.
func (handler *Handler) untrack(exchange *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	delete(handler.exchanges, exchange)
}

// CancelCopies cancels the active requests with the given digest: requests that are queued at
// servers would crash these servers too when they run. It spares a stream whose answer has
// started, because a complete answer clears the digest, and a request with
// exchange.quarantined set, because the guard has allowed its attempt.
func (handler *Handler) CancelCopies(request shedkeel.RequestDigest) {
	for _, exchange := range handler.activeExchanges() {
		if !exchange.quarantined && !exchange.answerStarted.Load() && exchange.digest() == request {
			exchange.abort(errServersEnded)
		}
	}
}

// CancelOverdue cancels the active requests whose deadline has passed by the clock of Timers.
// Their contexts do not suffice: the timers of contexts stop while the box is suspended, and
// would end the requests too late by the duration of the suspension.
func (handler *Handler) CancelOverdue(now time.Duration) {
	for _, exchange := range handler.activeExchanges() {
		if now > exchange.deadline {
			exchange.abort(context.DeadlineExceeded)
		}
	}
}

// activeExchanges returns the requests that track has added and untrack has not removed.
func (handler *Handler) activeExchanges() []*exchange {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	var active []*exchange
	for exchange := range handler.exchanges {
		active = append(active, exchange)
	}
	return active
}
