package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

// healthRetryDelay is the pause before a health check is repeated.
const healthRetryDelay = 50 * time.Millisecond

// errUnproven is the cause of an UnknownRunError for an answer that may be incomplete.
var errUnproven = &shedkeel.UnknownRunError{Reason: "nothing shows that the server has sent the whole answer", Cause: errIncomplete}

// judgeEnd returns the verdict on the answer that the chosen server has sent to its end without an
// error. For a close-delimited answer it sends a health check to the server. If the request may
// not run again, it repeats a check that got no answer until ctx ends.
func (exchange *exchange) judgeEnd(ctx context.Context, choice *dispatch.Choice, response *http.Response) completeness.Verdict {
	if !engine.CloseDelimited(exchange.request.Method, response) {
		return completeness.Complete
	}
	began := exchange.handler.Timers.Now()
	proof := endProof{server: choice.Instance, began: began}
	exchange.describeProof(&proof, healthResult{err: errPending})
	process, result := exchange.checkProcess(ctx, choice)
	exchange.describeProof(&proof, result)
	for !exchange.route.Repeatable() && process == completeness.ProcessUnknown && result.unanswered() && ctx.Err() == nil {
		timer.Sleep(ctx, healthRetryDelay)
		process, result = exchange.checkProcess(ctx, choice)
		exchange.describeProof(&proof, result)
	}
	verdict := completeness.Judge(true, nil, process)
	took := exchange.handler.Timers.Now() - began
	meter := exchange.handler.meter()
	count(meter.endsJudged[verdict])
	record(meter.endJudgment, took)
	fields := []slog.Attr{slog.String("server", string(choice.Instance)), slog.String("outcome", verdict.String()), slog.String("process", process.String()), slog.Duration("took", took)}
	if result.err != nil {
		fields = append(fields, slog.String("error", result.err.Error()))
	} else {
		fields = append(fields, slog.String("answered_by", string(result.health.Server)), slog.Duration("connection_age", result.health.ConnectionAge))
	}
	exchange.log(event.AnswerEndJudged, fields...)
	return verdict
}

// errPending is the error of a health check that is under way.
var errPending = errors.New("no answer yet")

// describeProof records for logs what the latest health check has brought.
func (exchange *exchange) describeProof(proof *endProof, result healthResult) {
	proof.asked = "a health check"
	if !errors.Is(result.err, errPending) {
		proof.checks++
	}
	proof.answered = result.String()
	latest := *proof
	exchange.proof.Store(&latest)
}

// errNoHealthCheck is the error of a health check that cannot be sent.
var errNoHealthCheck = errors.New("no health check is configured")

// checkProcess finds out whether the process of the chosen server runs on, after its answer has ended.
func (exchange *exchange) checkProcess(ctx context.Context, choice *dispatch.Choice) (completeness.Process, healthResult) {
	handler := exchange.handler
	service := exchange.view.Service(exchange.service)
	if handler.Health == nil || service == nil || service.HealthPath == "" {
		return completeness.ProcessUnknown, healthResult{err: errNoHealthCheck}
	}
	result := handler.healthChecks.check(ctx, handler, choice.Address, service.HealthPath)
	switch {
	case result.err == nil:
		return completeness.JudgeProcess(choice.Instance, result.health, result.sentAt-choice.ChosenAt), result
	case ctx.Err() == nil && handler.ServerCheck != nil && handler.serverEnded(choice.Address):
		return completeness.ProcessEnded, result
	}
	return completeness.ProcessUnknown, result
}
