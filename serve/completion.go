package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
)

const (
	// healthRetryDelay is the pause before a check is repeated. It doubles with each repetition.
	healthRetryDelay = 50 * time.Millisecond
	// maxHealthRetryDelay is the longest such pause.
	maxHealthRetryDelay = 400 * time.Millisecond
)

// errUnproven is the cause of an UnknownRunError for an answer that may be incomplete.
var errUnproven = &shedkeel.UnknownRunError{Reason: "nothing shows that the server has sent the whole answer", Cause: errIncomplete}

// errPending is the error of a check that is under way.
var errPending = errors.New("no answer yet")

// judgeEnd returns the verdict on the answer that the chosen server has sent to its end without an
// error. A close-delimited answer is complete once a sign of the same process comes that was sent after its end: the answer to
// a check, or to another request. judgeEnd waits for a sign until ctx ends, unless the answers to the checks show
// that no later one can tell more.
//
// empty states that nothing but the head has come. Such a success is no answer unless a server was to resume a stream: a server that
// stops after the head leaves the same, and one that has nothing to say states the length 0.
func (exchange *exchange) judgeEnd(ctx context.Context, attempt *attempt, response *http.Response, empty bool) completeness.Verdict {
	if !engine.CloseDelimited(exchange.request.Method, response) {
		return completeness.Complete
	}
	if empty && attempt.resumeAfter == "" && response.StatusCode < http.StatusMultipleChoices {
		return completeness.Unknown
	}
	handler := exchange.handler
	began := handler.Timers.Now()
	attempt.Received(began)
	wait := handler.signs.await(attempt.Address, attempt.sentAt, time.Now())
	defer handler.signs.remove(wait)
	process, result := exchange.awaitSign(ctx, attempt, wait)
	verdict := completeness.Judge(true, nil, process)
	took := handler.Timers.Now() - began
	meter := handler.meter()
	count(meter.endsJudged[verdict])
	record(meter.endJudgment, took)
	exchange.log(event.AnswerEndJudged, slog.String("server", string(attempt.Instance)), slog.String("outcome", verdict.String()), slog.String("process", process.String()),
		slog.Duration("took", took), slog.String("asked", result.asked.String()), slog.String("answered", result.String()))
	return verdict
}

// awaitSign checks the chosen server until it is known what became of the process that has sent the answer, or can't be known. It
// returns the last result of a check.
func (exchange *exchange) awaitSign(ctx context.Context, attempt *attempt, wait *endWait) (completeness.Process, healthResult) {
	proof := endProof{server: attempt.Instance, began: exchange.handler.Timers.Now()}
	exchange.describeProof(&proof, healthResult{err: errPending})
	for delay := healthRetryDelay; ; delay = min(2*delay, maxHealthRetryDelay) {
		process, result := exchange.checkProcess(ctx, attempt, wait.proven)
		if wait.isProven() {
			process = completeness.ProcessRuns
		}
		exchange.describeProof(&proof, result)
		if process != completeness.ProcessUnknown || !result.mayChange() || ctx.Err() != nil {
			return process, result
		}
		select {
		case <-wait.proven:
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// describeProof records for logs what the latest check has brought.
func (exchange *exchange) describeProof(proof *endProof, result healthResult) {
	proof.asked = result.asked.String()
	if !errors.Is(result.err, errPending) {
		proof.checks++
	}
	proof.answered = result.String()
	latest := *proof
	exchange.proof.Store(&latest)
}

// checkProcess finds out whether the process of the chosen server runs on, after its answer has ended. It asks a model engine for
// its load report first, which may state its start and needs no slot. It returns early, without a finding, once stop
// is closed.
func (exchange *exchange) checkProcess(ctx context.Context, attempt *attempt, stop <-chan struct{}) (completeness.Process, healthResult) {
	handler := exchange.handler
	result := healthResult{err: errNoHealthCheck}
	for _, target := range exchange.checkTargets(attempt.Address) {
		result = handler.healthChecks.check(ctx, handler, target, stop)
		switch {
		case result.err == nil:
			process := completeness.JudgeProcess(attempt.Instance, result.health, attempt.sentAt)
			if process != completeness.ProcessUnknown {
				return process, result
			}
		case errors.Is(result.err, errNothingListens):
			return completeness.ProcessEnded, result
		case ctx.Err() == nil && !errors.Is(result.err, errPending) && handler.ServerCheck != nil && handler.serverEnded(attempt.Address):
			return completeness.ProcessEnded, result
		default:
			return completeness.ProcessUnknown, result
		}
	}
	return completeness.ProcessUnknown, result
}

// checkTargets returns what a server of the request's service can be asked for, in this order.
func (exchange *exchange) checkTargets(address string) []checkTarget {
	service := exchange.view.Service(exchange.service)
	if exchange.handler.Health == nil || service == nil {
		return nil
	}
	var targets []checkTarget
	if service.Engine != nil {
		targets = append(targets, checkTarget{address: address})
	}
	if service.HealthPath != "" {
		targets = append(targets, checkTarget{address: address, path: service.HealthPath}, checkTarget{address: address, path: service.HealthPath, shared: true})
	}
	return targets
}
