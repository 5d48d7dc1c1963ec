package serve

import (
	"context"
	"errors"
	"time"

	"shedkeel.org/shedkeel"
)

// errServersEnded is the cancellation cause of a request if servers have ended while they
// ran copies of it.
var errServersEnded = errors.New("backend servers have ended under this very request")

// guardActive reports whether the guard currently has records of servers that ended while
// they ran requests. While it has none, the handler computes no digests to ask it.
func (handler *Handler) guardActive() bool { return handler.Guard != nil && !handler.Guard.Idle() }

// checkGuard asks the guard whether the request may be sent. If it may, the caller must call
// done when the request is over; otherwise err is the refusal. It sets
// exchange.quarantined for a quarantined request, which may run on one server only.
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

// guardAllows reports whether the guard still allows another attempt. Servers may have ended
// while they ran the request since checkGuard was called.
func (exchange *exchange) guardAllows() bool {
	if !exchange.handler.guardActive() {
		return true
	}
	judgment := exchange.handler.Guard.Judge(exchange.digest())
	return judgment == shedkeel.Unblamed || exchange.quarantined && judgment == shedkeel.Quarantined
}

// reportAnswer reports to the guard that a server has answered the request completely.
func (exchange *exchange) reportAnswer() {
	if exchange.handler.guardActive() {
		exchange.handler.Guard.RequestAnswered(exchange.digest())
	}
}

// track adds the request to the active ones, so that CancelCopies and CancelOverdue find it.
func (handler *Handler) track(tracked *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if handler.exchanges == nil {
		handler.exchanges = map[*exchange]struct{}{}
	}
	handler.exchanges[tracked] = struct{}{}
}

// untrack removes the request from the active ones.
func (handler *Handler) untrack(exchange *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	delete(handler.exchanges, exchange)
}

// CancelCopies cancels the active copies of the request whose answers have not started:
// copies that are queued at servers would crash those servers too once they run. A copy
// whose answer has started goes on, because its complete answer clears the request. A
// quarantined copy goes on too: it is the one attempt that the guard has allowed.
func (handler *Handler) CancelCopies(request shedkeel.RequestDigest) {
	for _, exchange := range handler.activeExchanges() {
		if !exchange.quarantined && !exchange.answerStarted.Load() && exchange.digest() == request {
			exchange.abort(errServersEnded)
		}
	}
}

// CancelOverdue cancels the requests whose deadline has passed by the clock of Timers. Their
// contexts do not suffice: the timers of contexts stop while the box is suspended, and would
// end the requests too late by the duration of the suspension.
func (handler *Handler) CancelOverdue(now time.Duration) {
	for _, exchange := range handler.activeExchanges() {
		if now > exchange.deadline {
			exchange.abort(context.DeadlineExceeded)
		}
	}
}

// activeExchanges returns the requests that are being served.
func (handler *Handler) activeExchanges() []*exchange {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	var active []*exchange
	for exchange := range handler.exchanges {
		active = append(active, exchange)
	}
	return active
}
