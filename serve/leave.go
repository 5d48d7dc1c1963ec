package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel/grace"
)

// errLeaving reports that this process ends before a server could answer the request.
var errLeaving = errors.New("this process stops before the request could be answered")

// Leave makes the handler refuse requests that can't be answered before the time at, by the clock of Timers, at which EndAll
// will be called. Requests are judged once their heads have come, while their bodies arrive, and before each attempt.
// Answers from now on ask their callers to close the connection.
func (handler *Handler) Leave(at time.Duration) {
	handler.stoppingSince.Store(max(int64(handler.Timers.Now()), 1))
	handler.leave.Store(&grace.Leave{At: at})
}

// EndAll ends all requests: those that have no answer yet get one that says whether they may have run.
func (handler *Handler) EndAll() {
	for _, exchange := range handler.activeExchanges() {
		exchange.abort(errLeaving)
	}
}

// mayPassOn reports whether a server can be expected to answer the request before this process ends, if the request is
// passed on now.
func (exchange *exchange) mayPassOn() bool {
	leave := exchange.handler.leave.Load()
	if leave == nil {
		return true
	}
	now := exchange.handler.Timers.Now()
	expected, known := exchange.expect()
	return now <= leave.Latest(expected, known, exchange.callerDeadline-now)
}

// expect returns how long the request is expected to take, or false if that is not known.
func (exchange *exchange) expect() (time.Duration, bool) {
	return exchange.handler.answers.Expect(string(exchange.route.ID), exchange.call.AnswerTokens)
}

// leaveAttrs returns, in a process that stops, the log attributes of the time that it has left, negative after its end, and of the time
// that the request was expected to take, if that is known.
func (exchange *exchange) leaveAttrs() []slog.Attr {
	leave := exchange.handler.leave.Load()
	if leave == nil || exchange.route == nil {
		return nil
	}
	attrs := []slog.Attr{slog.Duration("process_left", leave.At-exchange.handler.Timers.Now())}
	if expected, known := exchange.expect(); known {
		attrs = append(attrs, slog.Duration("expected", expected))
	}
	return attrs
}

// recordAnswer records how long a server took for the request.
func (exchange *exchange) recordAnswer() {
	exchange.handler.answers.Record(string(exchange.route.ID), exchange.call.AnswerTokens, exchange.handler.Timers.Now()-exchange.passedOnAt)
}

// readingBody adds the request to those whose bodies arrive. The caller must call the result once the body has come or failed.
func (handler *Handler) readingBody(reading *exchange) (done func()) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if handler.reading == nil {
		handler.reading = map[*exchange]struct{}{}
	}
	handler.reading[reading] = struct{}{}
	return func() {
		handler.mutex.Lock()
		defer handler.mutex.Unlock()
		delete(handler.reading, reading)
	}
}

// interruptBodies ends the reading of bodies whose requests can't be answered any more before this process ends.
func (handler *Handler) interruptBodies() {
	if handler.leave.Load() == nil {
		return
	}
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	for exchange := range handler.reading {
		if !exchange.mayPassOn() {
			_ = http.NewResponseController(exchange.writer).SetReadDeadline(time.Unix(1, 0)) // in the past
		}
	}
}

// isLeaving reports whether the context was canceled by EndAll.
func isLeaving(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLeaving) }
