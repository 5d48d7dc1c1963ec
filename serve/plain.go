package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/event"
)

// maxServersTried is the number of servers chosen for one request, including those that refuse
// the connection, from which on a failed attempt is not replaced. The second source of a
// stalled stream (see hedge) counts too, but is started even if this number has been reached.
const maxServersTried = 4

// bufferedAnswer is a complete answer of a server.
type bufferedAnswer struct {
	response *http.Response
	body     []byte
}

// servePlain serves a request that has a single answer. After a failed attempt it tries another
// server, if the deadline, the guard, maxServersTried and, for an attempt that may have run,
// mayRetry allow that. It forwards the first answer with a status below 500, otherwise the latest
// 5xx answer; without any answer it returns an error.
func (exchange *exchange) servePlain(ctx context.Context) error {
	var serverFailure bufferedAnswer // the latest answer with a 5xx status
	var reason error
	// checkGuard has already allowed the first attempt.
	for len(exchange.tried) < maxServersTried && ctx.Err() == nil && (len(exchange.tried) == 0 || exchange.guardAllows()) {
		attempt, err := exchange.choose(ctx)
		if err != nil {
			reason = errors.Join(err, reason)
			break
		}
		answer, err := exchange.tryServer(ctx, attempt)
		// A 5xx answer is forwarded here if the route is not repeatable or the request is
		// quarantined. exchange.runs does not count this attempt yet, so the 5xx answer of the
		// last run that MaxRuns allows is forwarded after the loop.
		if err == nil && (answer.response.StatusCode < http.StatusInternalServerError || !exchange.mayRetry()) {
			exchange.reportPlainAnswer(answer.response.StatusCode)
			exchange.recordAnswer()
			exchange.answerAttrs = []slog.Attr{slog.String("server", string(attempt.Instance))}
			exchange.writeAnswer(answer)
			return nil
		}
		if err == nil {
			serverFailure, err = answer, errServerFailed
		}
		count(exchange.handler.meter().failedAttempts)
		fields := []slog.Attr{slog.String("server", string(attempt.Instance)), slog.String("reason", err.Error())}
		exchange.log(event.AttemptFailed, append(fields, exchange.circumstanceAttrs()...)...)
		reason = err
		exchange.retryReason = retryReasonOf(err)
		exchange.uncountUnsent(attempt, err)
		var notRun *shedkeel.NotRunError
		if errors.As(err, &notRun) && notRun.NoPath {
			break
		}
		if notRun != nil {
			continue
		}
		exchange.runs++
		exchange.mayHaveRun = true
		if !exchange.mayRetry() {
			break
		}
	}
	if serverFailure.response != nil {
		exchange.writeAnswer(serverFailure)
		return nil
	}
	return exchange.failure(ctx, firstError(reason, errNoServer))
}

// mayRetry reports whether the request may run on another server although it may have run
// already: the route allows a further run, and the request is not quarantined.
func (exchange *exchange) mayRetry() bool {
	return exchange.route.Repeatable() && exchange.runs < exchange.route.MaxRuns && !exchange.onTrial.Load()
}

// tryServer sends the request to the chosen server, reads the answer completely and ends the
// choice. An answer with a 5xx status is not an error, but counts as a failure of the server. An answer
// that is not known to be complete gives errUnproven.
// After an error, tryServer checks whether the server has terminated (checkServer).
func (exchange *exchange) tryServer(ctx context.Context, attempt *attempt) (bufferedAnswer, error) {
	choice := attempt.Choice
	release := exchange.holdCheckConn(ctx, choice)
	defer release()
	response, err := exchange.send(ctx, attempt) //nolint:bodyclose // readWhole closes it
	if err != nil {
		choice.End(true, exchange.handler.Timers.Now())
		exchange.checkServer(ctx, attempt, err)
		return bufferedAnswer{}, err
	}
	now := exchange.handler.Timers.Now()
	choice.RecordResponse(now)
	exchange.hear(now)
	ended := false
	end := func(failed bool) {
		if !ended {
			choice.End(failed, exchange.handler.Timers.Now())
		}
		ended = true
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	// While an answer waits to be read, its server must not count as stalled.
	body, err := exchange.readWhole(ctx, response, func() { end(failed) })
	if err == nil && exchange.judgeEnd(ctx, attempt, response, len(body) == 0) != completeness.Complete {
		exchange.unread.release(int64(len(body)))
		body, err = nil, errUnproven
	}
	end(failed || err != nil)
	if err != nil {
		exchange.checkServer(ctx, attempt, err)
	}
	return bufferedAnswer{response, body}, err
}

// writeAnswer writes a complete answer to the caller. The answer to a HEAD request keeps the
// Content-Length that the server sent.
func (exchange *exchange) writeAnswer(answer bufferedAnswer) {
	length := len(answer.body)
	if exchange.request.Method == http.MethodHead {
		length = -1
	}
	exchange.writeHead(answer.response, length)
	_, _ = exchange.writer.Write(answer.body) // an error means that the caller has disconnected
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
