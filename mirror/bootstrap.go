package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel/timer"
)

const (
	// bootstrapRetryDelay is the first delay after a process without a copy has
	// queried a peer without success; it doubles up to maxRetryDelay.
	bootstrapRetryDelay = 50 * time.Millisecond
	// bootstrapStagger is the delay between the queries to successive peers at the
	// start. A response takes some milliseconds, so the next peer is usually queried
	// only where the one before is down.
	bootstrapStagger = 40 * time.Millisecond
	// bootstrapWait is how long a peer that has no copy yet may delay its response
	// until it has one.
	bootstrapWait = 300 * time.Millisecond
	// listFallbackDelay is how long after its start a process lists the service's
	// records itself if no peer responds; up to as much again is added at random.
	listFallbackDelay = 100 * time.Millisecond
	// extendedListFallbackDelay replaces listFallbackDelay where peers respond that
	// they have no copy either, or where the fleet starts for the first time: the
	// processes that list the service's records are about to have them.
	extendedListFallbackDelay = 1500 * time.Millisecond
	// listRetryWindow is the time within which a process repeats a failed list, at a
	// random moment; it doubles with each failure up to maxListRetryWindow. All lists
	// share the network link of the service: when 295 processes read 1.5 MB each,
	// gave up and retried together, no list completed in 20 s.
	listRetryWindow    = 400 * time.Millisecond
	maxListRetryWindow = 6400 * time.Millisecond
)

// Advice says how a process without a copy gets one.
type Advice struct {
	// ListSource says that the process lists the service's records at once, because others
	// will query it or because there are so few processes that all may list.
	ListSource bool
	// FirstStart says that the fleet starts for the first time: no callers wait, and all
	// peers may still be starting.
	FirstStart bool
	// Peers are queried for a copy in addition to those of Follower.Peers.
	Peers []Peer
}

// bootstrap is how a process gets its first copy. In a large fleet a few processes
// list the service's records at once. The others copy from them, and list the records
// themselves only if no peer has a copy. A fleet whose processes all start at one
// moment then lists the records only a few times, whatever its size.
type bootstrap struct {
	startedAt   atomic.Int64 // when Run was called
	copyMutex   sync.Mutex   // held while a full copy is requested
	listsSource atomic.Bool  // the process lists the service's records at once (Advice.ListSource)
	firstStart  atomic.Bool  // the fleet starts for the first time (Advice.FirstStart)

	// Only the loop that queries the service uses these.
	jitter      float64       // random, from 0 to 1; fixed for the process
	nextList    time.Duration // when a failed list may be repeated
	retryWindow time.Duration // the failed list is repeated within this time; 0: no list has failed
}

// begin records the start of the process and draws its jitter.
func (bootstrap *bootstrap) begin(follower *Follower) {
	const steps = 1 << 20
	bootstrap.jitter = float64(follower.randomBelow(steps)) / steps
	bootstrap.startedAt.Store(int64(follower.Timers.Now()))
}

// runAdvice requests the advice until the service responds or the process has a copy.
func (follower *Follower) runAdvice(ctx context.Context) {
	if follower.RequestAdvice == nil {
		follower.bootstrap.listsSource.Store(true)
		return
	}
	delay := retryDelay
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		follower.health.beginQuery(follower.Timers.Now(), 0)
		advice, err := follower.RequestAdvice(ctx)
		follower.health.endQuery(err)
		follower.logSourceState(ctx, err)
		if err == nil {
			follower.bootstrap.listsSource.Store(advice.ListSource)
			follower.bootstrap.firstStart.Store(advice.FirstStart)
			follower.bootstrapFrom(ctx, advice.Peers)
			return
		}
		timer.Sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// mayList reports whether a process without a copy may list the service's records now.
func (bootstrap *bootstrap) mayList(follower *Follower) bool {
	if bootstrap.listsSource.Load() || len(follower.Peers()) == 0 {
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

// noteFailedList schedules the next list after a failed one.
func (bootstrap *bootstrap) noteFailedList(follower *Follower) {
	bootstrap.retryWindow = min(max(2*bootstrap.retryWindow, listRetryWindow), maxListRetryWindow)
	bootstrap.nextList = follower.Timers.Now() + time.Duration(follower.randomBelow(uint64(bootstrap.retryWindow)))
}

// bootstrapFrom queries the peers until the process has a copy, since the service may be
// down while a peer still has a recent copy. The age of the copy counts from when the
// peer's copy was proven, not from its receipt.
func (follower *Follower) bootstrapFrom(ctx context.Context, peers []Peer) {
	for index, peer := range peers {
		follower.running.Go(func() {
			timer.Sleep(ctx, time.Duration(index)*bootstrapStagger)
			follower.runBootstrap(ctx, peer)
		})
	}
}

// runBootstrap asks one peer whether it has a copy, and requests the copy once it has
// one. Since a copy is large, fetchCopy requests it from only one peer at a time.
func (follower *Follower) runBootstrap(ctx context.Context, peer Peer) {
	delay, wait := bootstrapRetryDelay, time.Duration(0) // the peer answers the first query at once, which shows that it is running
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		knows, err := peer.HasCopy(ctx, wait)
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

// fetchCopy requests a peer's full copy, unless the process already has a copy when its
// turn comes. It reports whether the process has a copy afterwards.
func (follower *Follower) fetchCopy(ctx context.Context, peer Peer) bool {
	follower.bootstrap.copyMutex.Lock()
	defer follower.bootstrap.copyMutex.Unlock()
	if follower.Mirror.State().Known {
		return true
	}
	responded, _ := follower.relayFrom(ctx, peer, State{}, 0)
	return responded
}

// bootstrappingSince returns when this process started, if it still has no copy after
// responseTimeout and leaves the listing of the service's records to other processes.
func (follower *Follower) bootstrappingSince(now time.Duration) (since time.Duration, bootstrapping bool) {
	startedAt := time.Duration(follower.bootstrap.startedAt.Load())
	if startedAt == 0 || follower.bootstrap.listsSource.Load() || follower.Mirror.State().Known || now-startedAt < responseTimeout {
		return 0, false
	}
	return startedAt, true
}
