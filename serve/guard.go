package serve

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// harmlessAfter is how long after its first event a stream proves the parts of its prompt harmless.
const harmlessAfter = time.Second

// errServersEnded is the cancellation cause of a request if servers have terminated while
// they ran requests with the same digest, or with a part of its prompt. Its text is part of refusals.
var errServersEnded = errors.New("backend servers have ended under this very request, or under a part of its prompt")

// guardActive reports whether there is a guard that has records of servers that terminated
// while they ran requests. Otherwise the handler does not ask the guard about requests, and so
// computes no digests for that.
func (handler *Handler) guardActive() bool { return handler.Guard != nil && !handler.Guard.Idle() }

// servedModel returns the model that the request is for, or "" if the service does not have it: callers
// choose the names of models.
func (exchange *exchange) servedModel() shedkeel.ModelID {
	if exchange.call.Model == "" {
		return ""
	}
	service := exchange.view.Service(exchange.service)
	if service == nil || service.Engine == nil || service.Engine.Model(exchange.call.Model) == nil {
		return ""
	}
	return exchange.call.Model
}

// sharedParts returns the parts of the request's prompt that other requests may share, for the guard.
func (exchange *exchange) sharedParts() []shedkeel.Subject {
	if exchange.handler.Guard == nil || len(exchange.call.SharedParts) == 0 || exchange.servedModel() == "" {
		return nil
	}
	parts := make([]shedkeel.Subject, len(exchange.call.SharedParts))
	for index, part := range exchange.call.SharedParts {
		parts[index] = shedkeel.PartSubject(exchange.call.Model, part)
	}
	return parts
}

// guarded returns what the guard needs to know of the request.
func (exchange *exchange) guarded() shedkeel.GuardedRequest {
	guarded := shedkeel.GuardedRequest{Digest: shedkeel.DigestSubject(exchange.digest()), Parts: exchange.parts, Model: exchange.servedModel(), OnTrial: exchange.onTrial.Load()}
	if exchange.account != nil {
		guarded.Account = exchange.account.ID
	}
	return guarded
}

// checkGuard asks the guard whether the request may be sent; otherwise it returns the refusal.
// A contained request may not be sent. A quarantined request may be sent if the guard allows an
// attempt now.
func (exchange *exchange) checkGuard(ctx context.Context) error {
	if !exchange.handler.guardActive() {
		return nil
	}
	ruling := exchange.handler.Guard.Judge(exchange.guarded())
	switch {
	case ruling.Judgment == shedkeel.Contained:
		return exchange.refuseGuarded(ruling, "it is sent to none any more")
	case ruling.Judgment == shedkeel.Quarantined && !exchange.acquireTrial(ctx):
		return exchange.refuseGuarded(exchange.handler.Guard.Judge(exchange.guarded()), "one try of it at a time is made")
	}
	return nil
}

// refuseGuarded returns the refusal of a request that the guard does not allow.
func (exchange *exchange) refuseGuarded(ruling shedkeel.Ruling, consequence string) error {
	cause, reason := causeQuarantined, errServersEnded.Error()
	if ruling.Judgment == shedkeel.Contained {
		cause = causeContained
	}
	if _, part, isPart := ruling.Subject.Part(); isPart {
		cause, reason = partCause(ruling), "backend servers have ended under part "+string(part)+" of its prompt"
	}
	exchange.noteRefused(ruling)
	return exchange.refuse(cause, reason+", so "+consequence)
}

// guardCause returns the cause of the refusal of a request that the guard no longer allows.
func (exchange *exchange) guardCause() cause {
	ruling := exchange.handler.Guard.Judge(exchange.guarded())
	exchange.noteRefused(ruling)
	if _, _, isPart := ruling.Subject.Part(); isPart {
		return partCause(ruling)
	}
	return causeQuarantined
}

// partCause returns the cause of a refusal because of a part of the prompt.
func partCause(ruling shedkeel.Ruling) cause {
	if ruling.Judgment == shedkeel.Contained {
		return causePartContained
	}
	return causePartQuarantined
}

// noteRefused records for which subject the request is refused.
func (exchange *exchange) noteRefused(ruling shedkeel.Ruling) {
	exchange.refusedFor = ruling.Subject
	exchange.handler.Guard.Refused(exchange.guarded(), ruling.Subject)
}

// acquireTrial asks the guard to allow an attempt of the quarantined request. If so, it sets
// exchange.onTrial, so that the request runs on one server only.
func (exchange *exchange) acquireTrial(ctx context.Context) bool {
	trial, allowed := exchange.handler.Guard.AcquireAttempt(ctx, exchange.guarded())
	if allowed {
		exchange.trial = trial
		exchange.onTrial.Store(true)
	}
	return allowed
}

// endTrial ends the attempt that the guard has allowed, if any, once it is known whether its server has
// terminated or that cannot be found out.
func (exchange *exchange) endTrial() {
	switch {
	case exchange.trial.Done == nil:
	case exchange.rechecking.Load():
		go func() {
			exchange.rechecks.Wait()
			exchange.trial.Done()
		}()
	default:
		exchange.trial.Done()
	}
}

// guardAllows reports whether the guard still allows another attempt. Since checkGuard was
// called, servers may have terminated while they ran this request or others with the same
// digest or with a part of its prompt.
func (exchange *exchange) guardAllows() bool {
	return !exchange.handler.guardActive() || exchange.permits(exchange.handler.Guard.Judge(exchange.guarded()))
}

// permits reports whether a ruling allows another attempt without a further trial.
func (exchange *exchange) permits(ruling shedkeel.Ruling) bool {
	return ruling.Judgment == shedkeel.Unblamed || exchange.onTrial.Load() && ruling.Judgment == shedkeel.Quarantined
}

// reportAnswer reports to the guard that a server has answered the request completely, which
// clears all requests with the same digest. It reports no digest while the guard has no records.
func (exchange *exchange) reportAnswer() {
	if exchange.handler.guardActive() {
		exchange.handler.Guard.RequestAnswered(exchange.guarded())
	}
}

// reportPlainAnswer reports to the guard a complete answer that is no stream. Only a success shows that
// the server has read the prompt.
func (exchange *exchange) reportPlainAnswer(status int) {
	exchange.reportAnswer()
	if status < http.StatusMultipleChoices {
		exchange.reportHarmless()
	}
}

// reportHarmless reports to the guard that the parts of the prompt do not terminate servers, once for
// the request.
func (exchange *exchange) reportHarmless() {
	if len(exchange.parts) > 0 && !exchange.partsHarmless {
		exchange.partsHarmless = true
		exchange.handler.Guard.PartsHarmless(exchange.parts)
	}
}

// track adds the request to the active requests, so that CancelCopies and CancelOverdue find
// it.
func (handler *Handler) track(tracked *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if handler.exchanges == nil {
		handler.exchanges = map[*exchange]struct{}{}
	}
	handler.exchanges[tracked] = struct{}{}
}

// untrack removes the request from the active requests.
func (handler *Handler) untrack(exchange *exchange) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	delete(handler.exchanges, exchange)
}

// CancelCopies cancels the active requests of a subject: requests that are queued at
// servers would crash these servers too when they run. It spares a stream whose answer has
// started, because a complete answer clears the subject, and a request with
// exchange.onTrial set, because the guard has allowed its attempt. It returns the servers that
// the requests had been sent to last.
func (handler *Handler) CancelCopies(subject shedkeel.Subject) (servers []shedkeel.InstanceID) {
	_, _, isPart := subject.Part()
	for _, exchange := range handler.activeExchanges() {
		if exchange.onTrial.Load() || exchange.answerStarted.Load() {
			continue
		}
		concerned := isPart && slices.Contains(exchange.parts, subject) || !isPart && shedkeel.DigestSubject(exchange.digest()) == subject
		if !concerned {
			continue
		}
		exchange.abort(errServersEnded)
		if server := exchange.latestServer.Load(); server != nil {
			servers = append(servers, *server)
		}
	}
	return servers
}

// CancelOverdue cancels the active requests whose deadline has passed by the clock of Timers, and ends the reading of bodies that
// come too late for a process that stops.
// Their contexts do not suffice: the timers of contexts stop while the box is suspended, and
// would end the requests too late by the duration of the suspension.
func (handler *Handler) CancelOverdue(now time.Duration) {
	for _, exchange := range handler.activeExchanges() {
		if now > exchange.deadline {
			exchange.abort(context.DeadlineExceeded)
		}
	}
	handler.interruptBodies()
}

// activeExchanges returns the requests that track has added and untrack has not removed.
func (handler *Handler) activeExchanges() []*exchange {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	var active []*exchange
	for exchange := range handler.exchanges {
		active = append(active, exchange)
	}
	return active
}
