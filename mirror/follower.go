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
	// watchWait is how long the service holds a watch while nothing changes. Just before the next
	// response, the copy is up to twice that old. The value is small, since a watch may get no
	// response: the watch, its time-out and the turn to other peers must still let a change reach
	// every node within the 2 s that the platform allows for a server that leaves.
	watchWait = 350 * time.Millisecond
	// RelayWait is how long a peer holds a request for changes while nothing changes.
	RelayWait = 300 * time.Millisecond
	// baseStaleAge is the age at which the copy of a process that follows a peer of the service
	// counts as stale. It covers two watches by the peer, two requests to it, which arrive at any
	// moment of a watch, and their responses; Follower.staleAge adds further peers. If copies got
	// this old while no record changes, processes would leave their upstream and query the service.
	baseStaleAge = 2*watchWait + 2*RelayWait + 200*time.Millisecond
	// upstreamDisconnectedTime is for how long a process treats its copy as stale,
	// and queries the service and random peers, after its upstream has reported that
	// it cannot reach the service.
	upstreamDisconnectedTime = time.Second
	// ageProofWait is how long the service holds a watch that is sent to prove the
	// age of a stale copy.
	ageProofWait = 50 * time.Millisecond
	// batchDelayPerRecord, minBatchDelay and maxBatchDelay set the wait after changes before the
	// next query: each response costs a call, and more records change more often. 260 records give
	// 0.1 s. Without the upper bound, the 3,300 records of 300 boxes would delay a change of the
	// configuration by 1.3 s of the 3 s within which it must be in force.
	batchDelayPerRecord = 400 * time.Microsecond
	minBatchDelay       = 25 * time.Millisecond
	maxBatchDelay       = 250 * time.Millisecond
	// sourceQueryInterval is the mean time between the queries of all processes to
	// the service while their copies are stale. Without this limit, 79 processes
	// made 200 calls a second in an outage.
	sourceQueryInterval = 50 * time.Millisecond
	// unpacedProcesses is the size of a fleet up to which a process with a stale
	// copy queries the service at once.
	unpacedProcesses = 12
	// startupBatchDelay replaces the batch delay during startupTime, while all
	// processes of a fleet and its backend servers may be registering.
	startupBatchDelay = 150 * time.Millisecond
	startupTime       = 4 * time.Second
	// retryDelay is the delay after a failed query. Once the process has a copy, the
	// delay doubles up to maxRetryDelay while queries fail.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Peer is the mirror of another process.
type Peer interface {
	// Name returns the name of the process.
	Name() string
	// Relay requests the changes after the revision, and waits up to wait for a
	// change. The AsOf of the update is relative to the time when the request was
	// sent: the negated age of the peer's copy.
	Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (Update, error)
	// HasCopy reports whether the peer has a copy. While it has none, the response is
	// delayed by up to wait.
	HasCopy(ctx context.Context, wait time.Duration) (bool, error)
}

// Follower keeps a mirror up to date. Its exported fields must be set before Run.
type Follower struct {
	Mirror *Mirror
	Source shedkeel.RecordSource
	Timers shedkeel.Timers
	Log    *event.Log
	// Upstream returns the peer to follow (this process's upstream), or nil to follow
	// the service.
	Upstream func() Peer
	// Peers returns all peers. A process with a stale copy queries any of them,
	// whatever its upstream is. The peers present at the start are queried until
	// the process has a copy.
	Peers func() []Peer
	// RequestAdvice reads from the service how a process without a copy is to get one. If
	// it is nil, the process lists the service's records at once.
	RequestAdvice func(ctx context.Context) (Advice, error)
	// Hops returns the largest number of other processes that a copy passes through
	// on its way from the service to this one. If it is nil, the number is 1.
	Hops func() int
	// Processes returns how many processes, including this one, follow the service or
	// each other. Queries by processes with stale copies are spread by this number.
	Processes func() int
	Random    shedkeel.Random // must not be shared

	health                    health
	bootstrap                 bootstrap
	upstreamDisconnectedUntil atomic.Int64 // until when the upstream counts as unable to reach the service
	randomMutex               sync.Mutex   // guards Random
	running                   sync.WaitGroup
	upstream                  string        // the process or service followed last, for the log
	sourceFailing             bool          // the last query to the service failed
	nextQuery                 time.Duration // when a process with a stale copy may query the service; 0: not set
}

// Run keeps the mirror up to date until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	follower.bootstrap.begin(follower)
	follower.bootstrapFrom(ctx, follower.Peers())
	follower.running.Go(func() { follower.runPeers(ctx) })
	follower.runSource(ctx)
	follower.running.Wait()
}

// runSource follows the service while there is no upstream or the copy is stale.
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
			if state.Known { // without a copy the process can serve nobody, so the delay stays short
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

// batchDelay returns how long a process whose copy has the given number of records waits
// for further changes before the next query.
func batchDelay(records int) time.Duration {
	return min(max(minBatchDelay, time.Duration(records)*batchDelayPerRecord), maxBatchDelay)
}

// fresh reports whether the copy is recent enough and the upstream can reach the
// service.
func (follower *Follower) fresh(state State) bool {
	now := follower.Timers.Now()
	return state.Known && now-state.AsOf < follower.staleAge() && now >= time.Duration(follower.upstreamDisconnectedUntil.Load())
}

// staleAge returns the age at which the copy of this process is stale.
func (follower *Follower) staleAge() time.Duration {
	if follower.Hops == nil {
		return baseStaleAge
	}
	return baseStaleAge + time.Duration(follower.Hops()-1)*RelayWait
}

// mayQuerySource reports whether this process may query the service now. It may if
// it has no upstream, or if its copy is stale and its randomly chosen time has
// come; the random times spread the queries of all processes.
func (follower *Follower) mayQuerySource(state State) bool {
	if !state.Known {
		return follower.bootstrap.mayList(follower)
	}
	if follower.Upstream() == nil {
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

// sourceQueryPause returns how long a process that may not query the service yet waits
// until it checks again. A process without a copy checks more often, as it may be
// allowed to query within milliseconds.
func (follower *Follower) sourceQueryPause(state State) time.Duration {
	if !state.Known {
		return bootstrapRetryDelay / 2
	}
	return retryDelay
}

// randomQueryDelay returns a random delay whose mean is sourceQueryInterval times
// the number of processes, or 0 in a small fleet.
func (follower *Follower) randomQueryDelay() time.Duration {
	processes := follower.Processes()
	if processes <= unpacedProcesses {
		return 0
	}
	return time.Duration(follower.randomBelow(uint64(2 * sourceQueryInterval * time.Duration(processes))))
}

// querySource sends one query to the service. It reports whether more changes are
// left, so that the next query must follow at once: a response holds some hundred
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
	var compacted *shedkeel.CompactedError
	if errors.As(err, &compacted) {
		return false, follower.listSource(ctx, sent)
	}
	if err != nil {
		return false, err
	}
	update := Update{Records: changes.Records, At: changes.Revision, AsOf: sent}
	if changes.More {
		// The response may lack changes that the service held when the query was sent,
		// so it does not prove the age of the copy. When it counted as a proof, a copy that
		// was 8 s behind counted as fresh, and requests for newly added routes were refused.
		update.AsOf = 0
	}
	follower.Mirror.Apply(update)
	return changes.More, nil
}

// listSource replaces the copy by a list of all records of the service.
func (follower *Follower) listSource(ctx context.Context, sent time.Duration) error {
	records, at, err := follower.Source.List(ctx, "")
	if err != nil {
		return err
	}
	follower.Mirror.Apply(Update{Records: records, Full: true, At: at, AsOf: sent})
	return nil
}

// logSourceState logs when queries to the service begin to fail or succeed again.
func (follower *Follower) logSourceState(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == follower.sourceFailing {
		return
	}
	follower.sourceFailing = err != nil
	state := follower.Mirror.State()
	fields := []slog.Attr{slog.String("revision", state.At.String()), slog.Duration("age", follower.Timers.Now()-state.AsOf)}
	if err != nil {
		follower.Log.Write(event.StoreUnavailable, append(fields, slog.String("error", err.Error()))...)
		return
	}
	follower.Log.Write(event.StoreAvailable, fields...)
}

// runPeers follows the upstream while there is one, and queries random peers while
// the copy is stale or this process itself cannot reach the service.
func (follower *Follower) runPeers(ctx context.Context) {
	for ctx.Err() == nil {
		state := follower.Mirror.State()
		if !state.Known {
			timer.Sleep(ctx, retryDelay)
			continue
		}
		peer, wait := follower.Upstream(), RelayWait
		stale := !follower.fresh(state) || follower.SourceUnreachable()
		if stale {
			// A peer that receives a change passes it at once to all processes whose
			// requests it holds.
			peer, wait = follower.randomPeer(), retryDelay
		}
		follower.logUpstream(peer, state, stale)
		sent := follower.Timers.Now()
		responded, disconnected := follower.relayFrom(ctx, peer, state, wait)
		if disconnected && !stale {
			follower.upstreamDisconnectedUntil.Store(int64(follower.Timers.Now() + upstreamDisconnectedTime))
		}
		if !responded || stale {
			timer.Sleep(ctx, retryDelay-(follower.Timers.Now()-sent))
		}
	}
}

// logUpstream logs when this process begins to follow another process, the service, or
// random peers.
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
	follower.Log.Write(event.MirrorSourceChanged, slog.String("of", name), slog.Duration("age", follower.Timers.Now()-state.AsOf))
}

// randomBelow returns a random number below the bound.
func (follower *Follower) randomBelow(bound uint64) uint64 {
	follower.randomMutex.Lock()
	defer follower.randomMutex.Unlock()
	return follower.Random.Uint64() % bound
}

// randomPeer returns a peer at random, or nil if there is none.
func (follower *Follower) randomPeer() Peer {
	others := follower.Peers()
	if len(others) == 0 {
		return nil
	}
	return others[follower.randomBelow(uint64(len(others)))]
}

// relayFrom sends one request to a peer, if it is not nil, and applies the response.
// It reports whether the peer responded with an update, and whether the peer reports
// that it follows the service and gets no response from it.
func (follower *Follower) relayFrom(ctx context.Context, peer Peer, state State, wait time.Duration) (responded, disconnected bool) {
	if peer == nil {
		return false, false
	}
	sent := follower.Timers.Now()
	update, err := peer.Relay(ctx, state.At, wait)
	if err == nil || errors.Is(err, ErrNoCopy) {
		follower.health.notePeerResponse(follower.Timers.Now())
	}
	if err != nil {
		return false, false // the copy becomes stale, and this process then queries the service or another peer
	}
	update.AsOf += sent
	follower.Mirror.Apply(update)
	return true, update.SourceUnreachable
}
