package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

const (
	// watchWait is how long a watch of the service waits when nothing
	// changes. Its end proves the copy's age, as of its beginning: just before
	// the next one ends, the copy is twice as old. A watch may hang in silence;
	// with its time-out and a follower's patience, a change must still reach
	// every node within the two seconds that the platform gives for a server
	// that leaves.
	watchWait = 350 * time.Millisecond
	// RelayWait is the same for a question to another mirror.
	RelayWait = 300 * time.Millisecond
	// staleAge is the age from which a follower of another mirror asks the
	// service itself: two watches of the other and two questions to it, which
	// come at any moment of the watch, and their answers. Where the other follows
	// a mirror too, one more question is under way. At rest no copy is older: if
	// it were, processes would leave whom they follow and call the service.
	staleAge = 2*watchWait + 2*RelayWait + 200*time.Millisecond
	// awayTime is for how long a process whose peer is out of the service's reach
	// asks the service and any other process, as if its copy were stale.
	upstreamDisconnectedTime = time.Second
	// proofWait is how long a watch waits that is to prove the age of a copy
	// that has become stale.
	ageProofWait = 50 * time.Millisecond
	// gatherEach, minGather and maxGather are how long changes are let gather after
	// some have come: each answer costs a call, and the more records there are, the
	// more often one changes. 260 records let them gather for 0.1 s. Among 3,300
	// records of 300 boxes a change of the configuration would wait 1.3 s by that,
	// of the 3 s in which it must be in force.
	batchDelayPerRecord = 400 * time.Microsecond
	minBatchDelay  = 25 * time.Millisecond
	maxBatchDelay  = 250 * time.Millisecond
	// askEach is how long after the question of one process to the service
	// the next one's may come on average, when many have nobody to follow:
	// without a bound, 79 of them cost 200 calls a second in an outage.
	// A process that finds its copy stale in a fleet of up to askFreely asks
	// at once.
	sourceQueryInterval   = 50 * time.Millisecond
	unpacedProcesses = 12
	// startPause is the same in startTime, while all processes of a fleet and
	// its backend servers may be recording themselves.
	startupBatchDelay = 150 * time.Millisecond
	startupTime  = 4 * time.Second
	// retryPause is the pause after a failed question; it doubles up to
	// maxRetryPause while they fail, once something is known.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Peer is the mirror of another process.
type Peer interface {
	// Name names the process.
	Name() string
	// Relay asks for what changed since the revision, and waits for a change
	// for as long as wait. The update's AsOf is the age of the other's copy,
	// counted back from zero.
	Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (Update, error)
	// Knows asks whether the other's copy has anything at all. While it has not,
	// the answer waits for as long as wait.
	Knows(ctx context.Context, wait time.Duration) (bool, error)
}

// Follower keeps a mirror up to date. Its exported fields are set before Run.
type Follower struct {
	Mirror *Mirror
	Source shedkeel.RecordSource
	Timers shedkeel.Timers
	Log    *event.Log
	// Choose returns the peer to follow, or nil to follow the service.
	Choose func() Peer
	// Others returns all peers. While the copy is stale any of them is asked,
	// whoever is to be followed; those that are known at the start are asked
	// until anything is known.
	Others func() []Peer
	// Advise reads from the service how a process that knows nothing is to begin.
	// nil: it lists the service's records at once.
	Advise func(ctx context.Context) (Advice, error)
	// Hops returns through how many other processes a copy may come here. nil: 1.
	Hops func() int
	// Processes returns how many processes follow the service or each other.
	Processes func() int
	Random    shedkeel.Random // is not used elsewhere

	health   health
	bootstrap    bootstrap
	upstreamDisconnectedUntil atomic.Int64 // until when the peer to follow counts as out of the service's reach
	randomMutex  sync.Mutex   // held while Random is used
	running  sync.WaitGroup
	upstream string        // whose copy was followed last, for the log
	sourceFailing     bool          // the service did not answer the last question
	nextQuery     time.Duration // when a process that is to follow a peer may ask the service; 0: not set
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	follower.bootstrap.begin(follower)
	follower.bootstrapFrom(ctx, follower.Others())
	follower.running.Go(func() { follower.runPeers(ctx) })
	follower.runSource(ctx)
	follower.running.Wait()
}

// runSource follows the service while no peer is to be followed, or while
// what peers tell is too old.
func (follower *Follower) runSource(ctx context.Context) {
	follower.runAdvice(ctx)
	failureDelay := retryDelay
	started := follower.Timers.Now()
	for ctx.Err() == nil {
		state := follower.Mirror.State()
		if !follower.mayQuerySource(state) {
			timer.Sleep(ctx, follower.sourceQueryPause(state))
			continue
		}
		more, err := follower.querySource(ctx, state)
		follower.health.endQuery(err)
		follower.logSourceState(ctx, err)
		if err != nil {
			if !state.Known {
				follower.bootstrap.noteFailedList(follower)
			}
			timer.Sleep(ctx, failureDelay)
			if state.Known { // a process that knows nothing can serve nobody
				failureDelay = min(2*failureDelay, maxRetryDelay)
			}
			continue
		}
		failureDelay = retryDelay
		if more || follower.Mirror.State().At == state.At {
			continue
		}
		delay := batchDelay(follower.Mirror.Len())
		if follower.Timers.Now()-started < startupTime {
			delay = startupBatchDelay
		}
		timer.Sleep(ctx, delay)
	}
}

// gatherPause is how long the changes of so many records are let gather.
func batchDelay(records int) time.Duration {
	return min(max(minBatchDelay, time.Duration(records)*batchDelayPerRecord), maxBatchDelay)
}

// fresh reports whether the copy is as new as it should be, and whom it comes from
// within reach of the service.
func (follower *Follower) fresh(state State) bool {
	now := follower.Timers.Now()
	return state.Known && now-state.AsOf < follower.staleAge() && now >= time.Duration(follower.upstreamDisconnectedUntil.Load())
}

// staleAge returns the age from which the copy of this process is stale.
func (follower *Follower) staleAge() time.Duration {
	if follower.Hops == nil {
		return staleAge
	}
	return staleAge + time.Duration(follower.Hops()-1)*RelayWait
}

// mayAsk reports whether this process may ask the service now: it follows the
// service itself, or the copy that it is to have from a peer is stale and it is
// its turn. The turns of all processes are spread at random.
func (follower *Follower) mayQuerySource(state State) bool {
	if !state.Known {
		return follower.bootstrap.mayList(follower)
	}
	if follower.Choose() == nil {
		return true
	}
	if follower.fresh(state) {
		follower.nextQuery = 0
		return false
	}
	now := follower.Timers.Now()
	if follower.nextQuery == 0 {
		follower.nextQuery = now + follower.randomQueryDelay()
	}
	if now < follower.nextQuery {
		return false
	}
	follower.nextQuery = now + follower.randomQueryDelay()
	return true
}

// askPause is how long a process waits that may not ask the service yet. One
// that knows nothing looks more often: its turn is a matter of milliseconds.
func (follower *Follower) sourceQueryPause(state State) time.Duration {
	if !state.Known {
		return bootstrapRetryDelay / 2
	}
	return retryDelay
}

// share returns a random time, of which the mean is askEach for each process.
func (follower *Follower) randomQueryDelay() time.Duration {
	processes := follower.Processes()
	if processes <= unpacedProcesses {
		return 0
	}
	return time.Duration(follower.randomBelow(uint64(2 * sourceQueryInterval * time.Duration(processes))))
}

// askSource asks the service once. It reports whether the answer was full, so
// that the next question must come at once: an answer holds some hundred
// changes, and 3,000 servers of 300 boxes make more of them in a second.
func (follower *Follower) querySource(ctx context.Context, state State) (more bool, err error) {
	sent := follower.Timers.Now()
	if !state.Known {
		follower.health.beginQuery(sent, 0)
		return false, follower.listSource(ctx, sent)
	}
	wait := watchWait
	if sent-state.AsOf > follower.staleAge() {
		wait = ageProofWait // prove the age first, then wait for changes
	}
	follower.health.beginQuery(sent, wait)
	changes, err := follower.Source.Changes(ctx, "", state.At, wait)
	var historyGone *shedkeel.HistoryGoneError
	if errors.As(err, &historyGone) {
		return false, follower.listSource(ctx, sent)
	}
	if err != nil {
		return false, err
	}
	update := Update{Records: changes.Records, At: changes.At, AsOf: sent}
	if changes.More {
		// What the service held when it was asked may not all be here. Taken for a
		// proof, a copy that was 8 s behind counted as fresh, and routes that had
		// been added were refused by it.
		update.AsOf = 0
	}
	follower.Mirror.Apply(update)
	return changes.More, nil
}

func (follower *Follower) listSource(ctx context.Context, sent time.Duration) error {
	records, at, err := follower.Source.List(ctx, "")
	if err != nil {
		return err
	}
	follower.Mirror.Apply(Update{Records: records, Whole: true, At: at, AsOf: sent})
	return nil
}

// note logs that the service went away or came back.
func (follower *Follower) logSourceState(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == follower.sourceFailing {
		return
	}
	follower.sourceFailing = err != nil
	state := follower.Mirror.State()
	fields := []slog.Attr{slog.String("revision", state.At.String()), slog.Duration("age", follower.Timers.Now()-state.AsOf)}
	if err != nil {
		follower.Log.Write(event.StoreAway, append(fields, slog.String("error", err.Error()))...)
		return
	}
	follower.Log.Write(event.StoreBack, fields...)
}

// runPeers follows another mirror while there is one to follow, and asks any
// other while the copy is stale.
func (follower *Follower) runPeers(ctx context.Context) {
	for ctx.Err() == nil {
		state := follower.Mirror.State()
		if !state.Known {
			timer.Sleep(ctx, retryDelay)
			continue
		}
		peer, wait := follower.Choose(), RelayWait
		stale := !follower.fresh(state) || follower.Away()
		if stale {
			// What reaches one process passes through all that wait on it at once.
			peer, wait = follower.randomPeer(), retryDelay
		}
		follower.logUpstream(peer, state, stale)
		sent := follower.Timers.Now()
		answered, disconnected := follower.relayFrom(ctx, peer, state, wait)
		if disconnected && !stale {
			follower.upstreamDisconnectedUntil.Store(int64(follower.Timers.Now() + upstreamDisconnectedTime))
		}
		if !answered || stale {
			timer.Sleep(ctx, retryDelay-(follower.Timers.Now()-sent))
		}
	}
}

// noteFollowed logs whose copy this process follows now, if it is another one than
// before.
func (follower *Follower) logUpstream(peer Peer, state State, stale bool) {
	name := "the service"
	switch {
	case stale:
		name = "any process"
	case peer != nil:
		name = peer.Name()
	}
	if name == follower.upstream {
		return
	}
	follower.upstream = name
	follower.Log.Write(event.Followed, slog.String("of", name), slog.Duration("age", follower.Timers.Now()-state.AsOf))
}

// draw returns a random number below the bound.
func (follower *Follower) randomBelow(bound uint64) uint64 {
	follower.randomMutex.Lock()
	defer follower.randomMutex.Unlock()
	return follower.Random.Uint64() % bound
}

// other returns a peer at random, or nil if there is none.
func (follower *Follower) randomPeer() Peer {
	others := follower.Others()
	if len(others) == 0 {
		return nil
	}
	return others[follower.randomBelow(uint64(len(others)))]
}

// relay asks a peer, if there is one, once. It reports whether it answered, and
// whether it is out of the service's reach though it is to follow it.
func (follower *Follower) relayFrom(ctx context.Context, peer Peer, state State, wait time.Duration) (answered, disconnected bool) {
	if peer == nil {
		return false, false
	}
	sent := follower.Timers.Now()
	update, err := peer.Relay(ctx, state.At, wait)
	if err == nil || errors.Is(err, ErrNothingKnown) {
		follower.health.notePeerResponse(follower.Timers.Now())
	}
	if err != nil {
		return false, false // the copy's age shows it, and the service or another peer is asked
	}
	update.AsOf += sent
	follower.Mirror.Apply(update)
	return true, update.Away
}
