package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/timer"
)

// These tests cover a fleet in which no record changes. When copies became up to 1.7 s old but
// counted as stale from 1.5 s on, all followers left their upstream during each watch and queried
// the service and each other in turn. If the service refused some of the followers, changes of the
// configuration then came late.

// followerPeer makes a follower available as a peer. It responds once its copy changes,
// or after the whole wait.
type followerPeer struct {
	*Follower
	requests atomic.Int64
}

func (*followerPeer) Name() string { return "followed" }

func (followerPeer *followerPeer) Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (Update, error) {
	followerPeer.requests.Add(1)
	changed := followerPeer.Mirror.Changed()
	if disconnected := followerPeer.SourceUnreachable(); !disconnected && !followerPeer.Mirror.State().At.After(since) {
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
	update := followerPeer.Mirror.UpdateSince(since)
	update.AsOf -= followerPeer.Timers.Now()
	update.SourceUnreachable = followerPeer.SourceUnreachable()
	return update, nil
}

func (followerPeer *followerPeer) HasCopy(context.Context, time.Duration) (bool, error) {
	return true, nil
}

// idleFleet is a follower of the service and the followers of this follower. None of
// their records change.
type idleFleet struct {
	first          *followerPeer
	source         *source // the service as the first follower reaches it
	followerSource *source // the same service as the others reach it
	followers      []*Follower
}

// newIdleFleet starts the fleet and waits until all have a copy.
func newIdleFleet(t *testing.T, followers int) *idleFleet {
	t.Helper()
	store := standin.NewStore()
	_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "a", Value: []byte("v")}}})
	assert.NilError(t, err)
	fleet := &idleFleet{source: &source{Store: store}, followerSource: &source{Store: store}}
	clock := &timer.System{}
	fleet.first = &followerPeer{Follower: &Follower{
		Mirror: &Mirror{}, Source: fleet.source, Timers: clock, Upstream: func() Peer { return nil }, Peers: func() []Peer { return nil },
		Processes: func() int { return followers + 1 }, Random: rand.NewPCG(1, 2),
	}}
	var peers []Peer
	for index := range followers {
		follower := &Follower{
			Mirror: &Mirror{}, Source: &refusingSource{RecordSource: fleet.followerSource}, Timers: clock, Upstream: func() Peer { return fleet.first },
			Processes: func() int { return followers + 1 }, Random: rand.NewPCG(uint64(index), 2),
		}
		fleet.followers = append(fleet.followers, follower)
		peers = append(peers, &followerPeer{Follower: follower})
	}
	for _, follower := range append(fleet.followers, fleet.first.Follower) {
		follower.Peers = func() []Peer { return peers }
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, follower := range append(fleet.followers, fleet.first.Follower) {
		running.Go(func() { follower.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, follower := range fleet.followers {
		eventually(t, "the service's records", func() bool { return follower.Mirror.State().Known })
	}
	time.Sleep(startupTime / 4)
	return fleet
}

// TestCopiesStayFreshWhenIdle checks that followers have no reason to leave their
// upstream while nothing changes.
func TestCopiesStayFreshWhenIdle(t *testing.T) {
	fleet := newIdleFleet(t, 20)
	queries := fleet.followerSource.callCount()
	oldest := time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, follower := range fleet.followers {
			oldest = max(oldest, follower.Timers.Now()-follower.Mirror.State().AsOf)
		}
	}
	assert.Assert(t, oldest < baseStaleAge, "a copy was %s old", oldest)
	assert.Equal(t, fleet.followerSource.callCount(), queries, "followers query the service")
}

// TestFollowersLeaveRefusedUpstream checks that followers receive a change before their
// copies become stale, though the service refuses their upstream, which still responds to
// them. The service may refuse a third of the followers as well.
func TestFollowersLeaveRefusedUpstream(t *testing.T) {
	cases := map[string]struct {
		followers int
		refused   int // of them, by the service
	}{
		"21 nodes":                  {20, 0},
		"66 nodes":                  {65, 0},
		"66 nodes, a third refused": {65, 22},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newIdleFleet(t, test.followers)
			fleet.source.setErr(errRefused)
			for _, follower := range fleet.followers[:test.refused] {
				follower.Source.(*refusingSource).startRefusing()
			}
			began := time.Now()
			time.Sleep(100 * time.Millisecond)
			_, err := fleet.source.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "a", Value: []byte("new")}}})
			assert.NilError(t, err)
			for _, follower := range fleet.followers {
				eventually(t, "the change", func() bool { return string(follower.Mirror.Get("a").Value) == "new" })
			}
			t.Logf("took %s", time.Since(began))
			assert.Assert(t, time.Since(began) < baseStaleAge-200*time.Millisecond, "it took %s", time.Since(began))
		})
	}
}

// TestRefusedUpstreamAsksPeers checks that a process which follows the service keeps its
// copy fresh from its peers while the service refuses this process alone.
func TestRefusedUpstreamAsksPeers(t *testing.T) {
	fleet := newIdleFleet(t, 20)
	fleet.source.setErr(errRefused)
	time.Sleep(baseStaleAge)
	oldest := time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		oldest = max(oldest, fleet.first.Timers.Now()-fleet.first.Mirror.State().AsOf)
	}
	assert.Assert(t, oldest < baseStaleAge, "the copy was %s old", oldest)
}

var errRefused = errors.New("refused by the service")

// refusingSource is the service as one of several processes reaches it: it can refuse this
// one alone.
type refusingSource struct {
	shedkeel.RecordSource
	refusing atomic.Bool
}

func (refusingSource *refusingSource) startRefusing() { refusingSource.refusing.Store(true) }

func (refusingSource *refusingSource) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	if refusingSource.refusing.Load() {
		return shedkeel.Changes{}, errRefused
	}
	return refusingSource.RecordSource.Changes(ctx, prefix, since, wait)
}
