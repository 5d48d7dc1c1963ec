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
	startRetry = 50 * time.Millisecond
	// startStagger is how much later each further peer is asked at the start: an
	// answer takes some milliseconds, so the next one is asked where a peer is
	// down.
	startStagger = 40 * time.Millisecond
	// startWait is how long a peer that knows nothing yet may wait with its
	// answer until it does.
	startWait = 300 * time.Millisecond
	// startTurn is after how long a process asks the service itself, if no peer
	// answers; up to as much again is drawn.
	startTurn = 100 * time.Millisecond
	// startPatience is the same where peers answer that they know nothing either, or
	// the fleet starts for the first time: those that list the service's records are
	// about to have them.
	startPatience = 1500 * time.Millisecond
	// startWindow is within what time a process asks the service again that it
	// asked in vain; it doubles with each failure up to maxStartWindow. All lists
	// go through the service's one link: when 295 processes read 1.5 MB each and
	// gave up and began anew together, none came to its end in 20 s.
	startWindow    = 400 * time.Millisecond
	maxStartWindow = 6400 * time.Millisecond
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
type start struct {
	began   atomic.Int64 // when Run was called
	copying sync.Mutex   // held while a whole copy is asked for
	lists   atomic.Bool  // it lists at once, as advised
	first   atomic.Bool  // the fleet starts for the first time, as advised

	// Only the loop that asks the service uses these.
	lot    float64       // from 0 to 1, the process's own
	turn   time.Duration // when the service may be asked again that was asked in vain
	window time.Duration // within which the next turn is drawn; 0: no question has failed
}

// begin notes the start of the process.
func (start *start) begin(follower *Follower) {
	const lots = 1 << 20
	start.lot = float64(follower.draw(lots)) / lots
	start.began.Store(int64(follower.Timers.Now()))
}

// runAdvice asks the service how to begin until it answers or anything is known.
func (follower *Follower) runAdvice(ctx context.Context) {
	if follower.Advise == nil {
		follower.start.lists.Store(true)
		return
	}
	pause := retryPause
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		follower.outage.ask(follower.Timers.Now(), 0)
		advice, err := follower.Advise(ctx)
		follower.outage.take(err)
		follower.note(ctx, err)
		if err == nil {
			follower.start.lists.Store(advice.List)
			follower.start.first.Store(advice.First)
			follower.askAtStart(ctx, advice.Peers)
			return
		}
		timer.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// mayAsk reports whether a process that knows nothing may ask the service now.
func (start *start) mayAsk(follower *Follower) bool {
	if start.lists.Load() || len(follower.Others()) == 0 {
		return true
	}
	now := follower.Timers.Now()
	if start.window > 0 {
		return now >= start.turn
	}
	least := startTurn
	if follower.outage.answered() || start.first.Load() {
		least = startPatience
	}
	turn := time.Duration(start.began.Load()) + least + time.Duration(start.lot*float64(least))
	return now >= turn
}

// failed notes that the service was asked in vain.
func (start *start) failed(follower *Follower) {
	start.window = min(max(2*start.window, startWindow), maxStartWindow)
	start.turn = follower.Timers.Now() + time.Duration(follower.draw(uint64(start.window)))
}

// askAtStart asks peers until anything is known: the service may be away, and
// the peer's copy is what others serve by. It is as old as the peer says.
func (follower *Follower) askAtStart(ctx context.Context, peers []Peer) {
	for index, peer := range peers {
		follower.running.Go(func() {
			timer.Sleep(ctx, time.Duration(index)*startStagger)
			follower.runStartFrom(ctx, peer)
		})
	}
}

// runStartFrom asks one peer whether it knows anything, then for its copy. The
// copy is asked of one peer at a time: it is large.
func (follower *Follower) runStartFrom(ctx context.Context, peer Peer) {
	pause, wait := startRetry, time.Duration(0) // the first answer shows at once whether it lives
	for ctx.Err() == nil && !follower.Mirror.State().Known {
		knows, err := peer.Knows(ctx, wait)
		if err != nil {
			timer.Sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
			continue
		}
		follower.outage.hear(follower.Timers.Now())
		wait = startWait
		if knows && !follower.copyFrom(ctx, peer) {
			timer.Sleep(ctx, pause)
		}
	}
}

// copyFrom takes over a peer's whole copy if nothing is known still, and reports
// whether anything is known then.
func (follower *Follower) copyFrom(ctx context.Context, peer Peer) bool {
	follower.start.copying.Lock()
	defer follower.start.copying.Unlock()
	if follower.Mirror.State().Known {
		return true
	}
	answered, _ := follower.relay(ctx, peer, State{}, 0)
	return answered
}

// starting returns since when this process knows nothing, as others do that it
// has asked.
func (follower *Follower) starting(now time.Duration) (since time.Duration, alike bool) {
	began := time.Duration(follower.start.began.Load())
	if began == 0 || follower.start.lists.Load() || follower.Mirror.State().Known || now-began < answerTime {
		return 0, false
	}
	return began, true
}
