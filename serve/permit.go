package serve

import (
	"context"
	"time"

	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/timer"
)

const (
	// maxPermitRequests is the number of servers for which an attempt asks for a permit that
	// is valid at once, before it considers only servers without a rate limit.
	maxPermitRequests = 3
	// permitWaitFraction is the longest wait for a permit, as a fraction of the route's
	// latency objective. The rest of the objective is enough for a server with free slots
	// to answer.
	permitWaitFraction = 0.5
)

// chooseWithPermit chooses the best server that needs no permit (with nil Limits, none does) or for
// which one is granted now. It asks for at most maxPermitRequests permits and sends no new requests
// to a server for the Wait of its refusal. If no server is found, it calls awaitPermit if mayWait
// is set, and otherwise returns the error of noServerError.
func (exchange *exchange) chooseWithPermit(ctx context.Context, query dispatch.Query, mayWait bool) (*dispatch.Choice, error) {
	for requested := 0; ; requested++ {
		query.UnlimitedOnly = requested >= maxPermitRequests
		choice := exchange.handler.Table.Choose(query)
		if choice == nil {
			break
		}
		if !choice.Limited || exchange.handler.Limits == nil {
			return choice, nil
		}
		permit := exchange.handler.Limits.Acquire(ctx, choice.Instance, 0)
		if permit.Granted {
			return choice, nil
		}
		choice.Cancel()
		exchange.handler.Table.HoldUntil(choice.Instance, exchange.handler.Timers.Now()+permit.Wait)
	}
	if !mayWait {
		return nil, exchange.noServerError(query)
	}
	return exchange.awaitPermit(ctx, query)
}

// awaitPermit waits for the next permit, for at most permitWaitFraction of the route's objective
// and until the deadline. It returns errLimited if no permit is granted in that time, and sets
// exchange.retryIn; the error of noServerError if no usable server limits its rate or Limits is
// nil; and errNoServer if the server is then no longer usable or the context has ended.
func (exchange *exchange) awaitPermit(ctx context.Context, query dispatch.Query) (*dispatch.Choice, error) {
	server, found := exchange.handler.Table.NextPermit(query)
	if !found || exchange.handler.Limits == nil {
		return nil, exchange.noServerError(query)
	}
	maxWait := min(time.Duration(permitWaitFraction*float64(exchange.route.Objective)), exchange.deadline-query.Now)
	permit := exchange.handler.Limits.Acquire(ctx, server, maxWait)
	if !permit.Granted {
		exchange.retryIn = permit.Wait
		return nil, errLimited
	}
	timer.Sleep(ctx, permit.Wait)
	query.Now = exchange.handler.Timers.Now()
	choice := exchange.handler.Table.ChooseServer(query, server)
	if choice == nil || ctx.Err() != nil {
		if choice != nil {
			choice.Cancel()
		}
		return nil, errNoServer
	}
	return choice, nil
}
