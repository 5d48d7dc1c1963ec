package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
)

const (
	// checkTimeout bounds the question whether a server has ended: a box that
	// lives answers or refuses within a round trip.
	checkTimeout = 100 * time.Millisecond
	// maxEndings bounds how many servers are remembered as ended.
	maxEndings = 1024
)

// endings are the servers that are known to have ended. Tens of requests break
// off when one does, and it is asked once.
type endings struct {
	mutex sync.Mutex
	known map[shedkeel.InstanceID]*ending
}

type ending struct {
	at    time.Duration // when the first request broke off
	once  sync.Once
	ended bool
}

// since returns when the first request broke off on a server that has ended, which
// ask finds out. That one has not is not remembered.
func (endings *endings) since(server shedkeel.InstanceID, now time.Duration, ask func() bool) (at time.Duration, ended bool) {
	ending := endings.of(server, now)
	ending.once.Do(func() { ending.ended = ask() })
	if !ending.ended {
		endings.forget(server, ending)
	}
	return ending.at, ending.ended
}

func (endings *endings) of(server shedkeel.InstanceID, now time.Duration) *ending {
	endings.mutex.Lock()
	defer endings.mutex.Unlock()
	if endings.known == nil || len(endings.known) >= maxEndings {
		endings.known = map[shedkeel.InstanceID]*ending{}
	}
	if endings.known[server] == nil {
		endings.known[server] = &ending{at: now}
	}
	return endings.known[server]
}

func (endings *endings) forget(server shedkeel.InstanceID, ending *ending) {
	endings.mutex.Lock()
	defer endings.mutex.Unlock()
	if endings.known[server] == ending {
		delete(endings.known, server)
	}
}

// noteEnd finds out whether the server that the request was sent to ended under
// it, and tells so. A server that said before that it would end proves nothing.
func (exchange *exchange) noteEnd(choice *dispatch.Choice, failure error) {
	now := exchange.front.Timers.Now()
	if exchange.front.Check == nil || !brokeOff(failure) || !choice.Listed() {
		return
	}
	at, ended := exchange.front.endings.since(choice.Instance, now, func() bool { return exchange.front.ended(choice.Address) })
	if !ended {
		return
	}
	exchange.fresh.Store(true)
	if choice.Began > at {
		return
	}
	exchange.log(event.ServerEnded, slog.String("server", string(choice.Instance)), slog.String("digest", string(exchange.digest())))
	if exchange.front.Guard != nil {
		exchange.front.Guard.Ended(exchange.digest(), choice.Instance)
	}
}

func (front *Front) ended(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return front.Check.Ended(ctx, address)
}

// brokeOff reports whether a sending ended without the server's own answer or
// refusal, and not because it was given up here.
func brokeOff(failure error) bool {
	var notRun *shedkeel.NotRunError
	var status *statusError
	switch {
	case failure == nil, errors.Is(failure, errStreamEnd), errors.Is(failure, errWrong), errors.Is(failure, context.Canceled):
		return false
	case errors.As(failure, &notRun), errors.As(failure, &status):
		return false
	}
	return true
}
