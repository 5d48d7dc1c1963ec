package serve

import (
	"encoding/binary"
	"encoding/hex"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/overload"
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
	}
	if exchange.account != nil {
		request.Account = exchange.account.ID
	}
	return request
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
