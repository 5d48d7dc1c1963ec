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

// sharedLink is the network link of the service. Lists pass through it one after the
// other, including those whose caller has timed out.
type sharedLink struct {
	listTime      time.Duration // for which one list occupies the link
	clientTimeout time.Duration // after which a process abandons a list and drops what it has read

	mutex     sync.Mutex
	idleAt    time.Time // when the link will have transferred all lists requested so far
	listCount int
}

func (sharedLink *sharedLink) List(ctx context.Context, _ string) ([]shedkeel.Record, shedkeel.Revision, error) {
	sharedLink.mutex.Lock()
	sharedLink.listCount++
	now := time.Now()
	if sharedLink.idleAt.Before(now) {
		sharedLink.idleAt = now
	}
	sharedLink.idleAt = sharedLink.idleAt.Add(sharedLink.listTime)
	remaining := sharedLink.idleAt.Sub(now)
	sharedLink.mutex.Unlock()
	timer.Sleep(ctx, min(remaining, sharedLink.clientTimeout))
	if remaining > sharedLink.clientTimeout {
		return nil, shedkeel.Revision{}, errors.New("the list took longer than the client timeout")
	}
	return []shedkeel.Record{record("a", 7)}, shedkeel.Revision{Number: 7}, nil
}

func (sharedLink *sharedLink) Changes(ctx context.Context, _ string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	timer.Sleep(ctx, wait)
	return shedkeel.Changes{Revision: since}, nil
}

func (sharedLink *sharedLink) GetStale(ctx context.Context, key string) (shedkeel.Record, error) {
	timer.Sleep(ctx, 4*time.Millisecond)
	return shedkeel.Record{Key: key}, nil
}

// latePeer is a peer that refuses connections until openAt.
type latePeer struct {
	peer
	openAt time.Time
}

func (peer *latePeer) HasCopy(ctx context.Context, wait time.Duration) (bool, error) {
	if time.Now().Before(peer.openAt) {
		return false, errors.New("connection refused")
	}
	return peer.peer.HasCopy(ctx, wait)
}

// TestSimultaneousStart starts all processes of a fleet at one moment, as after a power
// failure. All must have a copy within the limit of the case, and may request at most
// maxLists lists of the service's records. A list occupies the service's link for 12 ms,
// so that only 58 of the lists that are requested together complete in 0.7 s.
func TestSimultaneousStart(t *testing.T) {
	const processes, seeds = 300, 3 // the seeds are advised to list
	cases := map[string]struct {
		seedsRun      bool
		seedsStart    time.Duration // when the seeds start
		firstStart    bool          // the advice that all processes get
		clientTimeout time.Duration
		limit         time.Duration
		maxLists      int
	}{
		"the seeds start at the same time":               {true, 0, false, 700 * time.Millisecond, 700 * time.Millisecond, 2 * seeds},
		"the seeds of a new fleet start last":            {true, 300 * time.Millisecond, true, 700 * time.Millisecond, time.Second, 2 * seeds},
		"the seeds are down and slow lists are accepted": {false, 0, false, 10 * time.Second, 5 * time.Second, processes},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			service := &sharedLink{listTime: 12 * time.Millisecond, clientTimeout: test.clientTimeout}
			clock := &timer.System{}
			began := time.Now()
			var mirrors []*Mirror
			var seedPeers []Peer
			for range processes {
				mirrors = append(mirrors, &Mirror{})
			}
			for _, mirror := range mirrors[:seeds] {
				seedPeers = append(seedPeers, Peer(unresponsivePeer{}))
				if test.seedsRun {
					seedPeers[len(seedPeers)-1] = &latePeer{peer{mirror: mirror, now: clock.Now}, began.Add(test.seedsStart)}
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for index, own := range mirrors {
				follower := &Follower{
					Mirror: own, Source: service, Timers: clock, Upstream: func() Peer { return seedPeers[0] }, Peers: func() []Peer { return seedPeers },
					RequestAdvice: func(context.Context) (Advice, error) {
						return Advice{ListSource: index < seeds, FirstStart: test.firstStart}, nil
					},
					Processes: func() int { return processes }, Random: rand.NewPCG(uint64(index), 8),
				}
				if index < seeds {
					follower.Upstream = func() Peer { return nil }
					if !test.seedsRun {
						continue
					}
				}
				running.Go(func() {
					if index < seeds {
						timer.Sleep(ctx, test.seedsStart)
					}
					follower.Run(ctx)
				})
			}
			withCopy := func() int {
				count := 0
				for _, own := range mirrors {
					if own.State().Known {
						count++
					}
				}
				return count
			}
			expected := processes
			if !test.seedsRun {
				expected -= seeds
			}
			for withCopy() < expected && time.Since(began) < test.limit {
				time.Sleep(5 * time.Millisecond)
			}
			took := time.Since(began)
			cancel()
			running.Wait()
			t.Logf("%d of %d processes have a copy after %s, %d lists requested", withCopy(), expected, took, service.listCount)
			assert.Equal(t, withCopy(), expected, "after %s", took)
			assert.Assert(t, service.listCount <= test.maxLists, "%d lists were requested", service.listCount)
		})
	}
}
