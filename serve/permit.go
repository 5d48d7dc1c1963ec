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
func (life *life) permitted(ctx context.Context, query dispatch.Query, patient bool) (*dispatch.Choice, error) {
	for asked := 0; ; asked++ {
		query.Free = asked >= mostAsked
		choice := life.front.Table.Choose(query)
		if choice == nil {
			break
		}
		if !choice.Limited || life.front.Limits == nil {
			return choice, nil
		}
		permit := life.front.Limits.Acquire(ctx, choice.Instance, 0)
		if permit.Granted {
			return choice, nil
		}
		choice.Cancel()
		life.front.Table.Hold(choice.Instance, life.front.Timers.Now()+permit.Wait)
	}
	if !patient {
		return nil, errNoServer
	}
	return life.await(ctx, query)
}

// await reserves the next permit and waits for it.
func (life *life) await(ctx context.Context, query dispatch.Query) (*dispatch.Choice, error) {
	server, found := life.front.Table.NextPermit(query)
	if !found || life.front.Limits == nil {
		return nil, errNoServer
	}
	patience := min(time.Duration(permitShare*float64(life.route.Objective)), life.limit-query.Now)
	permit := life.front.Limits.Acquire(ctx, server, patience)
	if !permit.Granted {
		life.permitWait = permit.Wait
		return nil, errLimited
	}
	timer.Sleep(ctx, permit.Wait)
	query.Now = life.front.Timers.Now()
	choice := life.front.Table.Take(query, server)
	if choice == nil || ctx.Err() != nil {
		if choice != nil {
			choice.Cancel()
		}
		return nil, errNoServer
	}
	return choice, nil
}
