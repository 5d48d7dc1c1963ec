package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
)

// maxDials bounds to how many servers a connection is tried for one request.
const maxDials = 4

// kept is a whole answer of a backend server.
type kept struct {
	response *http.Response
	body     []byte
}

// plain serves a request with one whole answer.
func (exchange *exchange) plain(ctx context.Context) error {
	var worst kept // an answer that says that the server failed
	var reason error
	for len(exchange.tried) < maxDials && ctx.Err() == nil && (len(exchange.tried) == 0 || exchange.mayGoOn()) {
		choice, err := exchange.choose(ctx)
		if err != nil {
			reason = errors.Join(err, reason)
			break
		}
		answer, err := exchange.try(ctx, choice)
		if err == nil && (answer.response.StatusCode < http.StatusInternalServerError || !exchange.mayRepeat()) {
			exchange.answered()
			exchange.outcome = []slog.Attr{slog.String("server", string(choice.Instance))}
			exchange.pass(answer)
			return nil
		}
		if err == nil {
			worst, err = answer, errServerBad
		}
		count(exchange.front.meter().sendingFailed)
		exchange.log(event.SendingFailed, slog.String("server", string(choice.Instance)), slog.String("reason", err.Error()))
		reason = err
		exchange.notSent(err)
		var notRun *shedkeel.NotRunError
		if errors.As(err, &notRun) {
			continue
		}
		exchange.runs++
		exchange.mayRun = true
		if !exchange.mayRepeat() {
			break
		}
	}
	if worst.response != nil {
		exchange.pass(worst)
		return nil
	}
	return exchange.failed(ctx, firstOf(reason, errNoServer))
}

// mayRepeat reports whether the request may run on another server too.
func (exchange *exchange) mayRepeat() bool {
	return exchange.route.Repeatable() && exchange.runs < exchange.route.MaxRuns && !exchange.alone
}

func (exchange *exchange) try(ctx context.Context, choice *dispatch.Choice) (kept, error) {
	response, err := exchange.send(ctx, choice, "") //nolint:bodyclose // readWhole closes it
	if err != nil {
		choice.End(true, exchange.front.Timers.Now())
		if ctx.Err() == nil {
			exchange.noteEnd(choice, err)
		}
		return kept{}, err
	}
	choice.Sign(exchange.front.Timers.Now())
	body, err := readWhole(response)
	failed := err != nil || response.StatusCode >= http.StatusInternalServerError
	choice.End(failed, exchange.front.Timers.Now())
	if err != nil && ctx.Err() == nil {
		exchange.noteEnd(choice, err)
	}
	return kept{response, body}, err
}

// pass gives the caller a whole answer.
func (exchange *exchange) pass(answer kept) {
	length := len(answer.body)
	if exchange.request.Method == http.MethodHead {
		length = -1
	}
	exchange.writeHead(answer.response, length)
	_, _ = exchange.writer.Write(answer.body) // a caller that has gone needs no answer
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
