package serve

import (
	"context"
	"time"

	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/timer"
)

const (
	// mostAsked is for how many servers a request asks for a permit before it goes
	// where it needs none.
	mostAsked = 3
	// permitShare is the part of its objective that a request may wait for a permit:
	// in the rest of it a server that is not full answers.
	permitShare = 0.5
)

// permitted returns the best server for which a permit is free, if it needs one.
// Where there is none, a patient request waits for one, but not beyond its
// objective.
func (exchange *exchange) permitted(ctx context.Context, query dispatch.Query, patient bool) (*dispatch.Choice, error) {
	for asked := 0; ; asked++ {
		query.Free = asked >= mostAsked
		choice := exchange.front.Table.Choose(query)
		if choice == nil {
			break
		}
		if !choice.Limited || exchange.front.Limits == nil {
			return choice, nil
		}
		permit := exchange.front.Limits.Acquire(ctx, choice.Instance, 0)
		if permit.Granted {
			return choice, nil
		}
		choice.Cancel()
		exchange.front.Table.Hold(choice.Instance, exchange.front.Timers.Now()+permit.Wait)
	}
	if !patient {
		return nil, exchange.noServer(query)
	}
	return exchange.await(ctx, query)
}

// await reserves the next permit and waits for it.
func (exchange *exchange) await(ctx context.Context, query dispatch.Query) (*dispatch.Choice, error) {
	server, found := exchange.front.Table.NextPermit(query)
	if !found || exchange.front.Limits == nil {
		return nil, exchange.noServer(query)
	}
	patience := min(time.Duration(permitShare*float64(exchange.route.Objective)), exchange.limit-query.Now)
	permit := exchange.front.Limits.Acquire(ctx, server, patience)
	if !permit.Granted {
		exchange.freeIn = permit.Wait
		return nil, errLimited
	}
	timer.Sleep(ctx, permit.Wait)
	query.Now = exchange.front.Timers.Now()
	choice := exchange.front.Table.Take(query, server)
	if choice == nil || ctx.Err() != nil {
		if choice != nil {
			choice.Cancel()
		}
		return nil, errNoServer
	}
	return choice, nil
}
