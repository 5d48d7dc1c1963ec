package serve

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
)

const (
	// healthTimeout bounds a health check. It leaves time for one retransmission, and for a slot
	// of a server whose slots are all in use.
	healthTimeout = 400 * time.Millisecond
	// healthRetryDelay is the pause before a health check is repeated.
	healthRetryDelay = 50 * time.Millisecond
)

// errUnproven is the cause of an UnknownRunError for an answer that may be incomplete.
var errUnproven = &shedkeel.UnknownRunError{Reason: "nothing shows that the server has sent the whole answer", Cause: errIncomplete}

// judgeEnd returns the verdict on the answer that the chosen server has sent to its end without an
// error. For a close-delimited answer it sends a health check to the server. If the request may
// not run again, it repeats a check without a result until ctx ends.
func (exchange *exchange) judgeEnd(ctx context.Context, choice *dispatch.Choice, response *http.Response) completeness.Verdict {
	if !completeness.CloseDelimited(exchange.request.Method, response) {
		return completeness.Complete
	}
	began := exchange.handler.Timers.Now()
	process, result := exchange.checkProcess(ctx, choice)
	for process == completeness.ProcessUnknown && exchange.handler.Health != nil && !exchange.route.Repeatable() && wait(ctx, healthRetryDelay) {
		process, result = exchange.checkProcess(ctx, choice)
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

// wait returns true after the time, or false once ctx has ended.
func wait(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// healthChecks shares health checks: answers of one server that end while a check is under way wait for
// one common check after it. The zero value is ready for use. It is safe for concurrent use.
type healthChecks struct {
	mutex   sync.Mutex
	servers map[string]*serverHealth // by address; those without a check under way are missing
}

// serverHealth holds the checks of one server. The mutex of healthChecks guards it.
type serverHealth struct {
	handler *Handler
	address string
	path    string
	next    *sharedCheck // to be sent after the one under way; nil: none
}

// sharedCheck is a health check for which one or more requests wait.
type sharedCheck struct {
	done   chan struct{} // closed once result is set
	result healthResult
}

// healthResult is the result of a health check.
type healthResult struct {
	health shedkeel.Health
	err    error
	sentAt time.Duration
}

// check returns the result of a health check that is sent after the call. The error is that of ctx if
// it ends first.
func (checks *healthChecks) check(ctx context.Context, handler *Handler, address, path string) healthResult {
	shared := checks.join(handler, address, path)
	select {
	case <-shared.done:
		return shared.result
	case <-ctx.Done():
		return healthResult{err: ctx.Err()}
	}
}

// join returns the next check of the server, and starts it if none is under way.
func (checks *healthChecks) join(handler *Handler, address, path string) *sharedCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	server := checks.servers[address]
	if server == nil {
		server = &serverHealth{handler: handler, address: address, path: path}
		if checks.servers == nil {
			checks.servers = map[string]*serverHealth{}
		}
		checks.servers[address] = server
		first := &sharedCheck{done: make(chan struct{})}
		go checks.loop(server, first)
		return first
	}
	if server.next == nil {
		server.next = &sharedCheck{done: make(chan struct{})}
	}
	return server.next
}

// loop sends the checks of one server, one after the other, until nobody waits.
func (checks *healthChecks) loop(server *serverHealth, check *sharedCheck) {
	for check != nil {
		check.result = server.send()
		close(check.done)
		check = checks.takeNext(server)
	}
}

// takeNext returns the check to send next, or nil if nobody waits.
func (checks *healthChecks) takeNext(server *serverHealth) *sharedCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	next := server.next
	server.next = nil
	if next == nil {
		delete(checks.servers, server.address)
	}
	return next
}

// send sends one health check.
func (server *serverHealth) send() healthResult {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	result := healthResult{sentAt: server.handler.Timers.Now()}
	result.health, result.err = server.handler.Health.Health(ctx, server.address, server.path)
	return result
}
