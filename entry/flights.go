package entry

import (
	"context"
	"errors"
	"sync"

	"shedkeel.org/shedkeel"
)

// errGroupBroken ends requests whose group lost a member.
var errGroupBroken = errors.New("the group lost a member")

// flights are the requests that run on groups. The zero value works.
type flights struct {
	mutex sync.Mutex
	next  uint64
	open  map[uint64]flight
}

type flight struct {
	on  shedkeel.Assignment
	end context.CancelCauseFunc
}

// begin returns a context that ends when the group is given up, and a function
// to call when the request has ended.
func (flights *flights) begin(ctx context.Context, on shedkeel.Assignment) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	flights.mutex.Lock()
	defer flights.mutex.Unlock()
	if flights.open == nil {
		flights.open = map[uint64]flight{}
	}
	flights.next++
	number := flights.next
	flights.open[number] = flight{on: on, end: cancel}
	return ctx, func() {
		flights.mutex.Lock()
		defer flights.mutex.Unlock()
		delete(flights.open, number)
		cancel(nil)
	}
}

// endExcept ends the requests that run on any group but those that stand.
func (flights *flights) endExcept(standing map[shedkeel.Assignment]bool) {
	flights.mutex.Lock()
	defer flights.mutex.Unlock()
	for _, flight := range flights.open {
		if flight.on.Group != "" && !standing[flight.on] {
			flight.end(errGroupBroken)
		}
	}
}
