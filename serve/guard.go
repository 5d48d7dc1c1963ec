package serve

import (
	"context"
	"errors"
	"time"

	"shedkeel.org/shedkeel"
)

// errServersEnded is the cause of a canceled request: servers have ended while they
// served other attempts of it.
var errServersEnded = errors.New("backend servers have ended under this very request")

// guardActive reports whether the guard currently has a record of any request under
// which servers ended. Computing digests is skipped while it has none.
func (handler *Handler) guardActive() bool { return handler.Guard != nil && !handler.Guard.Idle() }

// checkGuard asks the guard whether the request may be sent. If it may, the caller
// must call done when the request is over; otherwise err is the refusal. It sets
// exchange.quarantined for a request that may run on one server only.
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

// guardAllows reports whether the guard still allows another attempt: servers may
// have ended under the request since checkGuard.
func (exchange *exchange) guardAllows() bool {
	if !exchange.handler.guardActive() {
		return true
	}
	judgment := exchange.handler.Guard.Judge(exchange.digest())
	return judgment == shedkeel.Unblamed || exchange.quarantined && judgment == shedkeel.Quarantined
}

// reportAnswer tells the guard that a server has answered the request completely.
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

// CancelCopies cancels all active copies of the request whose answers have not started:
// copies that wait at servers would end those servers too once they run. A copy
// whose answer has started goes on, since its complete answer clears the request,
// and so does a quarantined one.
func (handler *Handler) CancelCopies(request shedkeel.RequestDigest) {
	for _, exchange := range handler.activeExchanges() {
		if !exchange.quarantined && !exchange.answerStarted.Load() && exchange.digest() == request {
			exchange.abort(errServersEnded)
		}
	}
}

// CancelOverdue cancels the requests whose deadline has passed. It is needed because the
// timers of their contexts stop while the box is suspended, and would afterwards
// still hold the requests for the time that remained before.
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
