package serve

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/overload"
	"shedkeel.org/shedkeel/timer"
)

// rejectedError reports that the overload control has rejected a request.
type rejectedError struct{ reason overload.Reason }

func (err *rejectedError) Error() string {
	switch err.reason {
	case overload.Late:
		return "it can no longer be answered in time, and all capacity is taken by requests that can"
	case overload.OverShare:
		return "the client account asks for more than its share, and no capacity is left over"
	default:
		return errFull.Error()
	}
}

// cause returns the cause of the refusal.
func (err *rejectedError) cause() cause {
	switch err.reason {
	case overload.Late:
		return causeLate
	case overload.OverShare:
		return causeOverShare
	default:
		return causeFull
	}
}

// admissionRequest returns what the overload control needs to know of the request, or nil if the control
// does not apply to its route.
func (exchange *exchange) admissionRequest() *overload.Request {
	if exchange.handler.AdmitAlone == nil || exchange.route.Objective <= 0 && !exchange.handler.ControlAllRoutes {
		return nil
	}
	request := &overload.Request{
		Rank: requestPriority(exchange.route, exchange.account), Digest: shortDigest(exchange.digest()), Objective: exchange.route.Objective,
		Waited: exchange.handler.deadlines.observe(exchange.route, exchange.call.Deadline, exchange.startedAt), Remaining: exchange.remaining(),
		MaxHold: min(maxHold, exchange.remaining()/3),
	}
	if exchange.account != nil {
		request.Account = exchange.account.ID
	}
	return request
}

// maxHold is how long the overload control may hold a request back. Callers give up a stream that has
// sent no event after some two seconds.
const maxHold = 1500 * time.Millisecond

// holdBack waits until the overload control is to be asked again. It returns an error if the caller
// leaves or the request's time ends first.
func (exchange *exchange) holdBack(ctx context.Context, query *dispatch.Query, decision *overload.Decision) error {
	timer.Sleep(ctx, decision.RetryAfter)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	query.Now = exchange.handler.Timers.Now()
	query.Admission.Waited = decision.Waited + decision.RetryAfter
	query.Admission.Held = query.Now - exchange.startedAt
	query.Admission.Remaining = exchange.remaining()
	return nil
}

// shortDigest returns the first 64 bits of a digest.
func shortDigest(digest shedkeel.RequestDigest) uint64 {
	var bytes [8]byte
	if _, err := hex.Decode(bytes[:], []byte(digest[:2*len(bytes)])); err != nil {
		return 0 // not reached: digests are hexadecimal
	}
	return binary.BigEndian.Uint64(bytes[:])
}

// applyDecision applies the decision of the overload control: it sets exchange.late and query.Due, or
// returns a rejectedError.
func (exchange *exchange) applyDecision(query *dispatch.Query, decision *overload.Decision) error {
	switch decision.Class {
	case overload.Reject:
		exchange.handler.deadlines.recordRefusal(exchange.route.ID, query.Now)
		exchange.retryIn = decision.RetryAfter
		return &rejectedError{decision.Reason}
	case overload.Leftover:
		exchange.late = true
	case overload.OnTime:
		if decision.Due > 0 { // without an objective, the outcome says nothing about the limit
			query.Due = exchange.startedAt + decision.Due
			query.Queueing = decision.Queueing
		}
	}
	return nil
}
