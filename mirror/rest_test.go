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

// In a fleet at rest, where no record changed, the copies of all followers were up
// to 1.7 s old, and counted as stale from 1.5 s on: each cycle of the watch all 65
// followers of 66 nodes left the one that they followed and asked the service and
// each other in turns, with "of":"any process" in their logs 60 times each half
// second. So a change of the configuration was late where the service then turned
// some of them away.

// followed is a follower as a peer: it answers once its copy changes, or after the
// whole wait.
type followed struct {
	*Follower
	asked atomic.Int64
}

func (*followed) Name() string { return "followed" }

func (followed *followed) Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (Update, error) {
	followed.asked.Add(1)
	changed := followed.Mirror.Changed()
	if away := followed.Away(); !away && !followed.Mirror.State().At.After(since) {
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
	update := followed.Mirror.Since(since)
	update.AsOf -= followed.Timers.Now()
	update.Away = followed.Away()
	return update, nil
}

func (followed *followed) Knows(context.Context, time.Duration) (bool, error) { return true, nil }

// restingFleet is a follower of the service and followers of it, none of whose
// records change.
type restingFleet struct {
	first     *followed
	source    *source // of the first
	others    *source // of its followers, the same service
	followers []*Follower
}

func newRestingFleet(t *testing.T, followers int) *restingFleet {
	t.Helper()
	store := standin.NewStore()
	_, err := store.Commit(shedkeel.Change{Put: []shedkeel.Put{{Key: "a", Value: []byte("v")}}})
	assert.NilError(t, err)
	fleet := &restingFleet{source: &source{Store: store}, others: &source{Store: store}}
	clock := &timer.System{}
	fleet.first = &followed{Follower: &Follower{
		Mirror: &Mirror{}, Source: fleet.source, Timers: clock, Choose: func() Peer { return nil }, Others: func() []Peer { return nil },
		Processes: func() int { return followers + 1 }, Random: rand.NewPCG(1, 2),
	}}
	var peers []Peer
	for index := range followers {
		follower := &Follower{
			Mirror: &Mirror{}, Source: &choosySource{RecordSource: fleet.others}, Timers: clock, Choose: func() Peer { return fleet.first },
			Processes: func() int { return followers + 1 }, Random: rand.NewPCG(uint64(index), 2),
		}
		fleet.followers = append(fleet.followers, follower)
		peers = append(peers, &followed{Follower: follower})
	}
	for _, follower := range append(fleet.followers, fleet.first.Follower) {
		follower.Others = func() []Peer { return peers }
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
		eventually(t, "what the service has", func() bool { return follower.Mirror.State().Known })
	}
	time.Sleep(startTime / 4)
	return fleet
}

// TestCopiesAreFreshAtRest checks that followers have no reason to leave whom they
// follow while nothing changes.
func TestCopiesAreFreshAtRest(t *testing.T) {
	fleet := newRestingFleet(t, 20)
	before := fleet.others.asked()
	oldest := time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, follower := range fleet.followers {
			oldest = max(oldest, follower.Timers.Now()-follower.Mirror.State().AsOf)
		}
	}
	assert.Assert(t, oldest < staleAge, "a copy was %s old", oldest)
	assert.Equal(t, fleet.others.asked(), before, "followers ask the service")
}

// TestFollowersLeaveOneThatIsTurnedAway checks that followers learn of a change
// soon though the one that they follow, which answers them, is turned away by the
// service: before their copies are stale. The service may turn a third of them
// away as well.
func TestFollowersLeaveOneThatIsTurnedAway(t *testing.T) {
	cases := map[string]struct {
		followers int
		refused   int // of them that the service turns away
	}{
		"21 nodes":                      {20, 0},
		"66 nodes":                      {65, 0},
		"66 nodes, a third turned away": {65, 22},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newRestingFleet(t, test.followers)
			fleet.source.set(errTurnedAway)
			for _, follower := range fleet.followers[:test.refused] {
				follower.Source.(*choosySource).refuse()
			}
			began := time.Now()
			time.Sleep(100 * time.Millisecond)
			_, err := fleet.source.Commit(shedkeel.Change{Put: []shedkeel.Put{{Key: "a", Value: []byte("new")}}})
			assert.NilError(t, err)
			for _, follower := range fleet.followers {
				eventually(t, "the change", func() bool { return string(follower.Mirror.Get("a").Value) == "new" })
			}
			t.Logf("took %s", time.Since(began))
			assert.Assert(t, time.Since(began) < staleAge-200*time.Millisecond, "it took %s", time.Since(began))
		})
	}
}

// TestTurnedAwayAsksOthers checks that a process which is to follow the service, and is
// turned away by it alone, keeps its copy fresh by the copies of others.
func TestTurnedAwayAsksOthers(t *testing.T) {
	fleet := newRestingFleet(t, 20)
	fleet.source.set(errTurnedAway)
	time.Sleep(staleAge)
	oldest := time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		oldest = max(oldest, fleet.first.Timers.Now()-fleet.first.Mirror.State().AsOf)
	}
	assert.Assert(t, oldest < staleAge, "the copy was %s old", oldest)
}

var errTurnedAway = errors.New("turned away")

// choosySource is the service to one of several that share it: it may turn this one
// away.
type choosySource struct {
	shedkeel.RecordSource
	refused atomic.Bool
}

func (source *choosySource) refuse() { source.refused.Store(true) }

func (source *choosySource) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	if source.refused.Load() {
		return shedkeel.Changes{}, errTurnedAway
	}
	return source.RecordSource.Changes(ctx, prefix, since, wait)
}
