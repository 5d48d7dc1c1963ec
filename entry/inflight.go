package entry

import (
	"context"
	"errors"
	"sync"

	"shedkeel.org/shedkeel"
)

// errGroupBroken is the cancellation cause of requests whose group lost a member or is
// no longer in any placement.
var errGroupBroken = errors.New("the group lost a member")

// inFlightCalls tracks the requests sent to groups, so that they can be
// canceled. The zero value is usable.
type inFlightCalls struct {
	mutex  sync.Mutex
	nextID uint64
	byID   map[uint64]inFlightCall
}

// inFlightCall is one request in flight and the group assignment it was sent to.
type inFlightCall struct {
	assignment shedkeel.Assignment
	cancel     context.CancelCauseFunc
}

// begin adds a request. It returns a context that cancelExcept cancels with cause
// errGroupBroken when the assignment is no longer intact, and a function to call when
// the request has ended.
func (inFlightCalls *inFlightCalls) begin(ctx context.Context, assignment shedkeel.Assignment) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	inFlightCalls.mutex.Lock()
	defer inFlightCalls.mutex.Unlock()
	if inFlightCalls.byID == nil {
		inFlightCalls.byID = map[uint64]inFlightCall{}
	}
	inFlightCalls.nextID++
	number := inFlightCalls.nextID
	inFlightCalls.byID[number] = inFlightCall{assignment: assignment, cancel: cancel}
	return ctx, func() {
		inFlightCalls.mutex.Lock()
		defer inFlightCalls.mutex.Unlock()
		delete(inFlightCalls.byID, number)
		cancel(nil)
	}
}

// cancelExcept cancels the requests to all group assignments that are not in intact.
// It does not cancel requests to servers that belong to no group.
func (inFlightCalls *inFlightCalls) cancelExcept(intact map[shedkeel.Assignment]bool) {
	inFlightCalls.mutex.Lock()
	defer inFlightCalls.mutex.Unlock()
	for _, inFlightCall := range inFlightCalls.byID {
		if inFlightCall.assignment.Group != "" && !intact[inFlightCall.assignment] {
			inFlightCall.cancel(errGroupBroken)
		}
	}
}
