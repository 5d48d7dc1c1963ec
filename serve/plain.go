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
func (life *life) plain(ctx context.Context) error {
	var worst kept // an answer that says that the server failed
	var reason error
	for len(life.tried) < maxDials && ctx.Err() == nil && (len(life.tried) == 0 || life.mayGoOn()) {
		choice, err := life.choose(ctx)
		if err != nil {
			reason = firstOf(reason, err)
			break
		}
		answer, err := life.try(ctx, choice)
		if err == nil && (answer.response.StatusCode < http.StatusInternalServerError || !life.mayRepeat()) {
			life.answered()
			life.outcome = []slog.Attr{slog.String("server", string(choice.Instance))}
			life.pass(answer)
			return nil
		}
		if err == nil {
			worst, err = answer, errServerBad
		}
		count(life.front.meter().sendingFailed)
		life.log(event.SendingFailed, slog.String("server", string(choice.Instance)), slog.String("reason", err.Error()))
		reason = err
		life.notSent(err)
		var notRun *shedkeel.NotRunError
		if errors.As(err, &notRun) {
			continue
		}
		life.runs++
		life.mayRun = true
		if !life.mayRepeat() {
			break
		}
	}
	if worst.response != nil {
		life.pass(worst)
		return nil
	}
	return life.failed(ctx, firstOf(reason, errNoServer))
}

// mayRepeat reports whether the request may run on another server too.
func (life *life) mayRepeat() bool {
	return life.route.Repeatable() && life.runs < life.route.MaxRuns && !life.alone
}

func (life *life) try(ctx context.Context, choice *dispatch.Choice) (kept, error) {
	response, err := life.send(ctx, choice, "") //nolint:bodyclose // readWhole closes it
	if err != nil {
		choice.End(true, life.front.Timers.Now())
		if ctx.Err() == nil {
			life.noteEnd(choice, err)
		}
		return kept{}, err
	}
	choice.Sign(life.front.Timers.Now())
	body, err := readWhole(response)
	failed := err != nil || response.StatusCode >= http.StatusInternalServerError
	choice.End(failed, life.front.Timers.Now())
	if err != nil && ctx.Err() == nil {
		life.noteEnd(choice, err)
	}
	return kept{response, body}, err
}

// pass gives the caller a whole answer.
func (life *life) pass(answer kept) {
	length := len(answer.body)
	if life.request.Method == http.MethodHead {
		length = -1
	}
	life.writeHead(answer.response, length)
	_, _ = life.writer.Write(answer.body) // a caller that has gone needs no answer
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
