package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/timer"
)

// link is the service's link. Lists go through it one after the other, also
// those that nobody waits for any more.
type sharedLink struct {
	listTime     time.Duration // that one list takes
	clientTimeout time.Duration // after which a process gives a list up that does not come, and loses what it had

	mutex sync.Mutex
	idleAt  time.Time // when all that was asked for is through
	listed int
}

func (sharedLink *sharedLink) List(ctx context.Context, _ string) ([]shedkeel.Record, shedkeel.Revision, error) {
	sharedLink.mutex.Lock()
	sharedLink.listed++
	now := time.Now()
	if sharedLink.idleAt.Before(now) {
		sharedLink.idleAt = now
	}
	sharedLink.idleAt = sharedLink.idleAt.Add(sharedLink.listTime)
	remaining := sharedLink.idleAt.Sub(now)
	sharedLink.mutex.Unlock()
	timer.Sleep(ctx, min(remaining, sharedLink.clientTimeout))
	if remaining > sharedLink.clientTimeout {
		return nil, shedkeel.Revision{}, errors.New("it took too long")
	}
	return []shedkeel.Record{record("a", 7)}, shedkeel.Revision{Number: 7}, nil
}

func (sharedLink *sharedLink) Changes(ctx context.Context, _ string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	timer.Sleep(ctx, wait)
	return shedkeel.Changes{At: since}, nil
}

func (sharedLink *sharedLink) GetStale(ctx context.Context, key string) (shedkeel.Record, error) {
	timer.Sleep(ctx, 4*time.Millisecond)
	return shedkeel.Record{Key: key}, nil
}

// latePeer is a peer whose socket is not open until then.
type latePeer struct {
	peer
	openAt time.Time
}

func (peer *latePeer) Knows(ctx context.Context, wait time.Duration) (bool, error) {
	if time.Now().Before(peer.openAt) {
		return false, errors.New("connection refused")
	}
	return peer.peer.Knows(ctx, wait)
}

// TestStartOfAllAtOnce has all processes of a fleet start at one moment, as after
// a loss of power. Each list takes 12 ms of the service's link, so that 58 come
// through in 0.7 s of those that are asked for together.
func TestSimultaneousStart(t *testing.T) {
	const processes, seeds = 300, 3 // the seeds are advised to list
	cases := map[string]struct {
		seedsLive bool
		seedsFrom time.Duration // until then their sockets are not open
		first     bool          // as all processes are advised
		patience  time.Duration
		within    time.Duration
		asked     int // most lists
	}{
		"the seeds start too":                               {true, 0, false, 700 * time.Millisecond, 700 * time.Millisecond, 2 * seeds},
		"the seeds start last of a fleet that is new":       {true, 300 * time.Millisecond, true, 700 * time.Millisecond, time.Second, 2 * seeds},
		"the seeds are down, and lists that come are taken": {false, 0, false, 10 * time.Second, 5 * time.Second, processes},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			service := &sharedLink{listTime: 12 * time.Millisecond, clientTimeout: test.patience}
			clock := &timer.System{}
			began := time.Now()
			var mirrors []*Mirror
			var seedPeers []Peer
			for range processes {
				mirrors = append(mirrors, &Mirror{})
			}
			for _, mirror := range mirrors[:seeds] {
				seedPeers = append(seedPeers, Peer(silentPeer{}))
				if test.seedsLive {
					seedPeers[len(seedPeers)-1] = &latePeer{peer{mirror: mirror, now: clock.Now}, began.Add(test.seedsFrom)}
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for index, own := range mirrors {
				follower := &Follower{
					Mirror: own, Source: service, Timers: clock, Choose: func() Peer { return seedPeers[0] }, Others: func() []Peer { return seedPeers },
					Advise:    func(context.Context) (Advice, error) { return Advice{List: index < seeds, First: test.first}, nil },
					Processes: func() int { return processes }, Random: rand.NewPCG(uint64(index), 8),
				}
				if index < seeds {
					follower.Choose = func() Peer { return nil }
					if !test.seedsLive {
						continue
					}
				}
				running.Go(func() {
					if index < seeds {
						timer.Sleep(ctx, test.seedsFrom)
					}
					follower.Run(ctx)
				})
			}
			informed := func() int {
				count := 0
				for _, own := range mirrors {
					if own.State().Known {
						count++
					}
				}
				return count
			}
			expected := processes
			if !test.seedsLive {
				expected -= seeds
			}
			for informed() < expected && time.Since(began) < test.within {
				time.Sleep(5 * time.Millisecond)
			}
			took := time.Since(began)
			cancel()
			running.Wait()
			t.Logf("%d of %d informed after %s, %d lists asked for", informed(), expected, took, service.listed)
			assert.Equal(t, informed(), expected, "after %s", took)
			assert.Assert(t, service.listed <= test.asked, "%d lists were asked for", service.listed)
		})
	}
}
