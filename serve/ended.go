package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/strict"
	"shedkeel.org/shedkeel/timer"
)

const (
	// endCheckTimeout bounds the check whether a server has terminated. A box that is alive
	// accepts or refuses a connection within a round trip, which is far shorter.
	endCheckTimeout = 100 * time.Millisecond
	// endRecheckTime is for how long a check without a result is repeated. Servers that restart do so
	// within a second.
	endRecheckTime = 2 * time.Second
	// minDrain is for how long at least a server that ends as planned serves on once it has left the list.
	minDrain = time.Second
	// withdrawnTime is for how long a request may still end the server that it was withdrawn from.
	withdrawnTime = 300 * time.Millisecond
	// maxRechecks bounds the checks that are repeated at a time, each of which keeps its request in memory.
	maxRechecks = 256
	// maxEndedServers bounds the number of checks that endedServers keeps.
	maxEndedServers = 1024
)

// endedServers caches which servers are known to have terminated. When a server terminates,
// tens of requests to it fail; the server is checked only once for all of them. The zero
// value is empty. It is safe for concurrent use.
type endedServers struct {
	mutex  sync.Mutex
	checks map[shedkeel.InstanceID]*endCheck
}

// endCheck is the check of one server.
type endCheck struct {
	firstFailure time.Duration // when the failure that led to the check was reported
	done         chan struct{} // closed when ended is known
	ended        bool          // the server is known to have terminated
}

// endedSince reports whether the server has terminated, and when the failure that led to the
// check was reported. If no positive result is cached, it calls probe to find out, once for all
// concurrent callers. Only a positive result is cached: after a negative result, the next call
// probes again.
func (endedServers *endedServers) endedSince(server shedkeel.InstanceID, now time.Duration, probe func() bool) (firstFailureAt time.Duration, ended bool) {
	check, isNew := endedServers.entry(server, now)
	if isNew {
		check.ended = probe()
		if !check.ended {
			endedServers.forget(server, check)
		}
		close(check.done)
	}
	<-check.done // probe returns within endCheckTimeout
	return check.firstFailure, check.ended
}

// entry returns the check of the server, and creates it if there is none, with isNew. If there are
// maxEndedServers checks already, it first drops all of them, also that of the server.
func (endedServers *endedServers) entry(server shedkeel.InstanceID, now time.Duration) (check *endCheck, isNew bool) {
	endedServers.mutex.Lock()
	defer endedServers.mutex.Unlock()
	if endedServers.checks == nil || len(endedServers.checks) >= maxEndedServers {
		endedServers.checks = map[shedkeel.InstanceID]*endCheck{}
	}
	check = endedServers.checks[server]
	if check == nil {
		check, isNew = &endCheck{firstFailure: now, done: make(chan struct{})}, true
		endedServers.checks[server] = check
	}
	return check, isNew
}

// forget removes the check unless a newer one has replaced it.
func (endedServers *endedServers) forget(server shedkeel.InstanceID, check *endCheck) {
	endedServers.mutex.Lock()
	defer endedServers.mutex.Unlock()
	if endedServers.checks[server] == check {
		delete(endedServers.checks, server)
	}
}

// checkServer checks whether the server of an attempt that has failed with the context given has
// terminated. It does nothing after a cancellation by others than CancelCopies.
func (exchange *exchange) checkServer(ctx context.Context, attempt *attempt, failure error) {
	var notRun *shedkeel.NotRunError
	switch {
	case ctx.Err() == nil:
		exchange.reportServerEnd(attempt, failure)
	case errors.Is(context.Cause(ctx), errServersEnded) && !errors.As(failure, &notRun):
		exchange.reportWithdrawn(attempt)
	}
}

// reportServerEnd checks, after an attempt has failed by a disconnect, whether the server has
// terminated, and records its end (recordServerEnd). A check without a result goes on in the
// background: it may have timed out, or the server's next process accepts connections already. Ends
// that are planned are ignored.
func (exchange *exchange) reportServerEnd(attempt *attempt, failure error) {
	handler := exchange.handler
	now := handler.Timers.Now()
	if handler.ServerCheck == nil || !isDisconnect(failure) || endIsPlanned(attempt.Choice, now) {
		return
	}
	firstFailureAt, ended := handler.endedServers.endedSince(attempt.Instance, now, func() bool { return handler.serverEnded(attempt.Address) })
	if ended {
		exchange.freshConnection.Store(true)
		exchange.recordServerEnd(attempt.Choice, firstFailureAt, "connections are refused")
		return
	}
	exchange.recheckEnd(attempt, now, 0)
}

// endIsPlanned reports whether a server that has been found terminated may have ended as planned: it
// drains, or it may have left the list more than minDrain ago. It was listed when it was chosen.
func endIsPlanned(choice *dispatch.Choice, now time.Duration) bool {
	return choice.Draining() || !choice.Listed() && now-choice.ChosenAt > minDrain
}

// recordServerEnd logs that the chosen server has terminated and reports it to the guard, unless it had
// already terminated when it was chosen.
func (exchange *exchange) recordServerEnd(choice *dispatch.Choice, firstFailureAt time.Duration, proof string) {
	count(exchange.handler.meter().endChecks[completeness.ProcessEnded])
	if choice.ChosenAt > firstFailureAt {
		return
	}
	exchange.log(event.ServerEnded, slog.String("server", string(choice.Instance)), slog.String("digest", string(exchange.digest())),
		slog.String("model", string(exchange.call.Model)), slog.Any("parts", exchange.call.SharedParts), slog.String("proof", proof))
	if exchange.handler.Guard != nil {
		exchange.handler.Guard.ServerEnded(exchange.guarded(), choice.Instance)
	}
}

// reportWithdrawn checks in the background whether the server of an attempt that CancelCopies has
// canceled has terminated, or does so within withdrawnTime: the server may have begun to run it.
func (exchange *exchange) reportWithdrawn(attempt *attempt) {
	now := exchange.handler.Timers.Now()
	if exchange.handler.ServerCheck != nil && !endIsPlanned(attempt.Choice, now) {
		exchange.recheckEnd(attempt, now, withdrawnTime)
	}
}

// recheckEnd repeats the check of a server in the background, where an attempt ended at endedAt, and at
// least for minTime while the server runs. The exchange's trial lasts until the check has ended. Nothing
// is checked if maxRechecks are under way.
func (exchange *exchange) recheckEnd(attempt *attempt, endedAt, minTime time.Duration) {
	rechecks := &exchange.handler.rechecks
	if rechecks.Add(1) > maxRechecks {
		rechecks.Add(-1)
		count(exchange.handler.meter().endChecks[completeness.ProcessUnknown])
		return
	}
	exchange.rechecking.Store(true)
	exchange.rechecks.Go(func() {
		defer rechecks.Add(-1)
		exchange.runRecheck(attempt, endedAt, minTime)
	})
}

// runRecheck checks a server until it is known whether it has terminated: for endRecheckTime at most, and
// for minTime while it runs.
func (exchange *exchange) runRecheck(attempt *attempt, endedAt, minTime time.Duration) {
	handler := exchange.handler
	ctx, cancel := context.WithTimeout(context.Background(), endRecheckTime)
	defer cancel()
	process, result := exchange.checkProcess(ctx, attempt, nil)
	for ctx.Err() == nil && (process == completeness.ProcessUnknown && result.err != nil && result.mayChange() || process == completeness.ProcessRuns && handler.Timers.Now()-endedAt < minTime) {
		timer.Sleep(ctx, healthRetryDelay)
		process, result = exchange.checkProcess(ctx, attempt, nil)
	}
	if process != completeness.ProcessEnded {
		count(handler.meter().endChecks[process])
		return
	}
	proof := "another process answers"
	if result.err != nil {
		proof = "connections are refused"
	}
	firstFailureAt, _ := handler.endedServers.endedSince(attempt.Instance, endedAt, func() bool { return true })
	exchange.recordServerEnd(attempt.Choice, firstFailureAt, proof)
}

// serverEnded reports whether it is proven within endCheckTimeout that no server listens at
// the address any more.
func (handler *Handler) serverEnded(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	return handler.ServerCheck.Stopped(ctx, address)
}

// isDisconnect reports whether an attempt may have failed because the connection to the server
// broke. That is not so if the server sent a complete stream, a refusal, a status other than
// 200 for a stream, an answer that checkAnswer rejects or one that is not valid HTTP, if the
// request was not sent, or if the attempt was canceled.
func isDisconnect(failure error) bool {
	var notRun *shedkeel.NotRunError
	var status *statusError
	var malformed *strict.MalformedError
	switch {
	case failure == nil, errors.Is(failure, errStreamEnd), errors.Is(failure, errForeignAnswer), errors.Is(failure, context.Canceled):
		return false
	case errors.As(failure, &notRun), errors.As(failure, &status), errors.As(failure, &malformed):
		return false
	}
	return true
}
