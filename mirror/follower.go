package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

const (
	// watchWait is how long a watch of the service waits when nothing
	// changes. Its end proves the copy's age. A watch may hang in silence;
	// with its time-out and a follower's patience, a change must still reach
	// every node within the two seconds that the platform gives for a server
	// that leaves.
	watchWait = 700 * time.Millisecond
	// relayWait is the same for a question to another mirror.
	relayWait = 300 * time.Millisecond
	// staleAge is the age from which a follower of another mirror asks the
	// service itself: a watch of the other and two questions to it, which come
	// at any moment of the watch, and their answers.
	staleAge = watchWait + 2*relayWait + 200*time.Millisecond
	// proofWait is how long a watch waits that is to prove the age of a copy
	// that has become stale.
	proofWait = 50 * time.Millisecond
	// gatherPause is how long changes are let gather after some have come:
	// they come in bursts, and each answer costs a call.
	gatherPause = 25 * time.Millisecond
	// startPause is the same in startTime, while all processes of a fleet and
	// its backend servers may be recording themselves.
	startPause = 150 * time.Millisecond
	startTime  = 4 * time.Second
	// retryPause is the pause after a failed question; it doubles up to
	// maxRetryPause while they fail.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Peer is the mirror of another process.
type Peer interface {
	// Name names the process.
	Name() string
	// Relay asks for what changed since the revision, and waits for a change
	// for as long as wait. The update's AsOf is the age of the other's copy,
	// counted back from zero.
	Relay(ctx context.Context, since int64, wait time.Duration) (Update, error)
}

// Follower keeps a mirror up to date. Its exported fields are set before Run.
type Follower struct {
	Mirror *Mirror
	Source shedkeel.RecordSource
	Timers shedkeel.Timers
	Log    *event.Log
	// Choose returns the peer to follow, or nil to follow the service.
	Choose func() Peer

	running sync.WaitGroup
	away    bool // the service did not answer the last question
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	follower.running.Go(func() { follower.runPeers(ctx) })
	follower.runSource(ctx)
	follower.running.Wait()
}

// runSource follows the service while no peer is to be followed, or while
// what peers tell is too old.
func (follower *Follower) runSource(ctx context.Context) {
	failPause := retryPause
	started := follower.Timers.Now()
	for ctx.Err() == nil {
		state := follower.Mirror.State()
		fresh := state.Known && follower.Timers.Now()-state.AsOf < staleAge
		if fresh && follower.Choose() != nil {
			timer.Sleep(ctx, retryPause)
			continue
		}
		err := follower.askSource(ctx, state)
		follower.note(ctx, err)
		if err != nil {
			timer.Sleep(ctx, failPause)
			failPause = min(2*failPause, maxRetryPause)
			continue
		}
		failPause = retryPause
		if follower.Mirror.State().At == state.At {
			continue
		}
		pause := gatherPause
		if follower.Timers.Now()-started < startTime {
			pause = startPause
		}
		timer.Sleep(ctx, pause)
	}
}

func (follower *Follower) askSource(ctx context.Context, state State) error {
	sent := follower.Timers.Now()
	if !state.Known {
		return follower.list(ctx, sent)
	}
	wait := watchWait
	if sent-state.AsOf > staleAge {
		wait = proofWait // prove the age first, then wait for changes
	}
	records, at, err := follower.Source.Changes(ctx, "", state.At, wait)
	var gone *shedkeel.HistoryGoneError
	if errors.As(err, &gone) {
		return follower.list(ctx, sent)
	}
	if err != nil {
		return err
	}
	follower.Mirror.Apply(Update{Records: records, At: at, AsOf: sent})
	return nil
}

func (follower *Follower) list(ctx context.Context, sent time.Duration) error {
	records, at, err := follower.Source.List(ctx, "")
	if err != nil {
		return err
	}
	follower.Mirror.Apply(Update{Records: records, Whole: true, At: at, AsOf: sent})
	return nil
}

// note logs that the service went away or came back.
func (follower *Follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == follower.away {
		return
	}
	follower.away = err != nil
	state := follower.Mirror.State()
	fields := []slog.Attr{slog.Int64("revision", state.At), slog.Duration("age", follower.Timers.Now()-state.AsOf)}
	if err != nil {
		follower.Log.Write(event.StoreAway, append(fields, slog.String("error", err.Error()))...)
		return
	}
	follower.Log.Write(event.StoreBack, fields...)
}

// runPeers follows another mirror while there is one to follow.
func (follower *Follower) runPeers(ctx context.Context) {
	for ctx.Err() == nil {
		peer := follower.Choose()
		state := follower.Mirror.State()
		if peer == nil || !state.Known {
			timer.Sleep(ctx, retryPause)
			continue
		}
		sent := follower.Timers.Now()
		update, err := peer.Relay(ctx, state.At, relayWait)
		if err != nil {
			timer.Sleep(ctx, retryPause)
			continue
		}
		update.AsOf += sent
		follower.Mirror.Apply(update)
	}
}
