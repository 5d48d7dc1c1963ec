package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel/timer"
)

const (
	// startRetry is the first pause after a peer was asked in vain by a process
	// that knows nothing; it doubles up to maxRetryPause.
	bootstrapRetryDelay = 50 * time.Millisecond
	// startStagger is how much later each further peer is asked at the start: an
	// answer takes some milliseconds, so the next one is asked where a peer is
	// down.
	bootstrapStagger = 40 * time.Millisecond
	// startWait is how long a peer that knows nothing yet may wait with its
	// answer until it does.
	bootstrapWait = 300 * time.Millisecond
	// startTurn is after how long a process asks the service itself, if no peer
	// answers; up to as much again is drawn.
	listFallbackDelay = 100 * time.Millisecond
	// startPatience is the same where peers answer that they know nothing either, or
	// the fleet starts for the first time: those that list the service's records are
	// about to have them.
	extendedListFallbackDelay = 1500 * time.Millisecond
	// startWindow is within what time a process asks the service again that it
	// asked in vain; it doubles with each failure up to maxStartWindow. All lists
	// go through the service's one link: when 295 processes read 1.5 MB each and
	// gave up and began anew together, none came to its end in 20 s.
	listRetryWindow    = 400 * time.Millisecond
	maxListRetryWindow = 6400 * time.Millisecond
)

// Advice is how a process begins that knows nothing.
type Advice struct {
	// List says that it is one of those that list the service's records at once:
	// others ask it, or there are so few processes that all may.
	List bool
	// First says that the fleet starts for the first time: no caller waits, and the
	// peers may all be about to start.
	First bool
	// Peers are asked besides those that were known without the advice.
	Peers []Peer
}

// start is how a process comes to know anything. In a large fleet a few list the
// service's records at once and tell the others, which do so only when none can
// tell them: a fleet whose processes all start at one moment then lists them a
// few times, however many they are.
type bootstrap struct {
	startedAt   atomic.Int64 // when Run was called
	copyMutex sync.Mutex   // held while a whole copy is asked for
	listsSource   atomic.Bool  // it lists at once, as advised
	firstStart   atomic.Bool  // the fleet starts for the first time, as advised

	// Only the loop that asks the service uses these.
	jitter    float64       // from 0 to 1, the process's own
	nextList   time.Duration // when the service may be asked again that was asked in vain
	retryWindow time.Duration // within which the next turn is drawn; 0: no question has failed
}

// begin notes the start of the process.
func (bootstrap *bootstrap) begin(follower *Follower) {
	const steps = 1 << 20
	bootstrap.jitter = float64(follower.randomBelow(steps)) / steps
	bootstrap.startedAt.Store(int64(follower.Timers.Now()))
}

// runAdvice asks the service how to begin until it answers or anything is known.
func (follower *Follower) runAdvice(ctx context.Context) {
	if follower.Advise == nil {
		follower.bootstrap.listsSource.Store(true)
		return
	}
	delay := retryDelay
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		follower.health.beginQuery(follower.Timers.Now(), 0)
		advice, err := follower.Advise(ctx)
		follower.health.endQuery(err)
		follower.logSourceState(ctx, err)
		if err == nil {
			follower.bootstrap.listsSource.Store(advice.List)
			follower.bootstrap.firstStart.Store(advice.First)
			follower.bootstrapFrom(ctx, advice.Peers)
			return
		}
		timer.Sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// mayAsk reports whether a process that knows nothing may ask the service now.
func (bootstrap *bootstrap) mayList(follower *Follower) bool {
	if bootstrap.listsSource.Load() || len(follower.Others()) == 0 {
		return true
	}
	now := follower.Timers.Now()
	if bootstrap.retryWindow > 0 {
		return now >= bootstrap.nextList
	}
	delay := listFallbackDelay
	if follower.health.anyPeerResponded() || bootstrap.firstStart.Load() {
		delay = extendedListFallbackDelay
	}
	allowedAt := time.Duration(bootstrap.startedAt.Load()) + delay + time.Duration(bootstrap.jitter*float64(delay))
	return now >= allowedAt
}

// failed notes that the service was asked in vain.
func (bootstrap *bootstrap) noteFailedList(follower *Follower) {
	bootstrap.retryWindow = min(max(2*bootstrap.retryWindow, listRetryWindow), maxListRetryWindow)
	bootstrap.nextList = follower.Timers.Now() + time.Duration(follower.randomBelow(uint64(bootstrap.retryWindow)))
}

// askAtStart asks peers until anything is known: the service may be away, and
// the peer's copy is what others serve by. It is as old as the peer says.
func (follower *Follower) bootstrapFrom(ctx context.Context, peers []Peer) {
	for index, peer := range peers {
		follower.running.Go(func() {
			timer.Sleep(ctx, time.Duration(index)*bootstrapStagger)
			follower.runBootstrap(ctx, peer)
		})
	}
}

// runStartFrom asks one peer whether it knows anything, then for its copy. The
// copy is asked of one peer at a time: it is large.
func (follower *Follower) runBootstrap(ctx context.Context, peer Peer) {
	delay, wait := bootstrapRetryDelay, time.Duration(0) // the first answer shows at once whether it lives
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		knows, err := peer.Knows(ctx, wait)
		if err != nil {
			timer.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		follower.health.notePeerResponse(follower.Timers.Now())
		wait = bootstrapWait
		if knows && !follower.fetchCopy(ctx, peer) {
			timer.Sleep(ctx, delay)
		}
	}
}

// copyFrom takes over a peer's whole copy if nothing is known still, and reports
// whether anything is known then.
func (follower *Follower) fetchCopy(ctx context.Context, peer Peer) bool {
	follower.bootstrap.copyMutex.Lock()
	defer follower.bootstrap.copyMutex.Unlock()
	if follower.Mirror.State().Known {
		return true
	}
	answered, _ := follower.relayFrom(ctx, peer, State{}, 0)
	return answered
}

// starting returns since when this process knows nothing, as others do that it
// has asked.
func (follower *Follower) bootstrappingSince(now time.Duration) (since time.Duration, bootstrapping bool) {
	startedAt := time.Duration(follower.bootstrap.startedAt.Load())
	if startedAt == 0 || follower.bootstrap.listsSource.Load() || follower.Mirror.State().Known || now-startedAt < responseTimeout {
		return 0, false
	}
	return startedAt, true
}
