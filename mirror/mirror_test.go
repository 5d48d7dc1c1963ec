package mirror

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/timer"
)

func record(key string, revision int64) shedkeel.Record {
	return shedkeel.Record{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: shedkeel.Revision{Number: revision}}
}

func deleted(key string, revision int64) shedkeel.Record {
	return shedkeel.Record{Key: key, Revision: shedkeel.Revision{Number: revision}, Removed: true}
}

func TestApply(t *testing.T) {
	cases := map[string]struct {
		updates []Update
		want    map[string]int64
		at      int64
		asOf    time.Duration
	}{
		"newer replaces older": {
			updates: []Update{{Records: []shedkeel.Record{record("a", 1)}, At: shedkeel.Revision{Number: 1}, AsOf: 1}, {Records: []shedkeel.Record{record("a", 3)}, At: shedkeel.Revision{Number: 3}, AsOf: 2}},
			want:    map[string]int64{"a": 3}, at: 3, asOf: 2,
		},
		"older never replaces newer": {
			updates: []Update{{Records: []shedkeel.Record{record("a", 3)}, At: shedkeel.Revision{Number: 3}, AsOf: 2}, {Records: []shedkeel.Record{record("a", 1)}, At: shedkeel.Revision{Number: 1}, AsOf: 1}},
			want:    map[string]int64{"a": 3}, at: 3, asOf: 2,
		},
		"a deleted key is not restored by an older record": {
			updates: []Update{{Records: []shedkeel.Record{record("a", 1)}, At: shedkeel.Revision{Number: 1}}, {Records: []shedkeel.Record{deleted("a", 2)}, At: shedkeel.Revision{Number: 2}}, {Records: []shedkeel.Record{record("a", 1)}, At: shedkeel.Revision{Number: 1}}},
			want:    map[string]int64{}, at: 2,
		},
		"a deleted key may be created again": {
			updates: []Update{{Records: []shedkeel.Record{deleted("a", 2)}, At: shedkeel.Revision{Number: 2}}, {Records: []shedkeel.Record{record("a", 3)}, At: shedkeel.Revision{Number: 3}}},
			want:    map[string]int64{"a": 3}, at: 3,
		},
		"a full copy deletes the keys that it lacks": {
			updates: []Update{{Records: []shedkeel.Record{record("a", 1), record("b", 2)}, At: shedkeel.Revision{Number: 2}}, {Records: []shedkeel.Record{record("b", 2)}, Full: true, At: shedkeel.Revision{Number: 5}}},
			want:    map[string]int64{"b": 2}, at: 5,
		},
		"a full copy keeps newer records": {
			updates: []Update{{Records: []shedkeel.Record{record("a", 9)}, At: shedkeel.Revision{Number: 9}}, {Full: true, At: shedkeel.Revision{Number: 5}}},
			want:    map[string]int64{"a": 9}, at: 9,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			mirror := &Mirror{}
			for _, update := range test.updates {
				mirror.Apply(update)
			}
			found := map[string]int64{}
			for _, record := range mirror.ListPrefix("") {
				found[record.Key] = record.Revision.Number
			}
			assert.DeepEqual(t, found, test.want)
			assert.Equal(t, mirror.State().At.Number, test.at)
			assert.Equal(t, mirror.State().AsOf, test.asOf)
		})
	}
}

// TestLateCopyRestoresNothing guards against deleted records that a copy of another process, sent before their deletion,
// brings back: a copy may be seconds old, and only some of the deletions are remembered.
func TestLateCopyRestoresNothing(t *testing.T) {
	const first, count = 2, maxTombstones + 10 // revisions of the deletions
	late := Update{Records: []shedkeel.Record{record("a", 1)}, Full: true, At: shedkeel.Revision{Number: 1}}
	cases := map[string]Update{"whole": late, "changes": {Records: late.Records, At: late.At}}
	for name, update := range cases {
		t.Run(name, func(t *testing.T) {
			mirror := &Mirror{}
			mirror.Apply(late)
			for number := range int64(count) {
				key := fmt.Sprint("b", number)
				if number == 0 {
					key = "a"
				}
				mirror.Apply(Update{Records: []shedkeel.Record{deleted(key, first+number)}, At: shedkeel.Revision{Number: first + number}})
			}
			mirror.Apply(update)
			assert.Equal(t, mirror.Len(), 0)
		})
	}
}

// TestRelay lets one mirror follow the service and another one follow the first, in random
// order. In the end the second must hold what the service holds, and none of its records
// may go back to an older revision.
func TestRelay(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		store := standin.NewStore()
		first, second := &Mirror{}, &Mirror{}
		newest := map[string]shedkeel.Revision{}
		second.Listen(func(records []shedkeel.Record) {
			for _, record := range records {
				assert.Assert(t, record.Revision.After(newest[record.Key]), "seed %d: %s went back from %s to %s", seed, record.Key, newest[record.Key], record.Revision)
				newest[record.Key] = record.Revision
			}
		})
		for range 60 {
			commitRandomChange(t, store, random)
			switch random.IntN(4) {
			case 0:
				records, at := store.List("")
				first.Apply(Update{Records: records, Full: true, At: at})
			case 1:
				records, at, err := store.Changes(t.Context(), "", first.State().At, 0)
				assert.NilError(t, err)
				first.Apply(Update{Records: records, At: at})
			default:
				second.Apply(first.UpdateSince(second.State().At))
			}
		}
		records, at := store.List("")
		first.Apply(Update{Records: records, Full: true, At: at})
		second.Apply(first.UpdateSince(second.State().At))
		assert.DeepEqual(t, second.ListPrefix(""), records)
	}
}

// commitRandomChange commits a random change to the store.
func commitRandomChange(t *testing.T, store *standin.Store, random *rand.Rand) {
	t.Helper()
	key := fmt.Sprint("k", random.IntN(5))
	if random.IntN(3) == 0 {
		_, err := store.Commit(shedkeel.Transaction{Remove: []string{key}})
		assert.NilError(t, err)
		return
	}
	_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: key, Value: []byte("v")}}})
	assert.NilError(t, err)
}

// source is a service that can be made to fail.
type source struct {
	*standin.Store
	mutex      sync.Mutex
	failure    error
	calls      int
	maxRecords int // per response; 0: unlimited
}

// beginCall counts a call and returns the error with which it fails, if any.
func (source *source) beginCall() error {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.calls++
	return source.failure
}

func (source *source) callCount() int {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.calls
}

func (source *source) currentErr() error {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.failure
}

func (source *source) setErr(err error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.failure = err
}

func (source *source) List(_ context.Context, prefix string) ([]shedkeel.Record, shedkeel.Revision, error) {
	if err := source.beginCall(); err != nil {
		return nil, shedkeel.Revision{}, err
	}
	records, at := source.Store.List(prefix)
	return records, at, nil
}

func (source *source) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	if err := source.beginCall(); err != nil {
		return shedkeel.Changes{}, err
	}
	records, at, err := source.Store.Changes(ctx, prefix, since, wait)
	if failed := source.currentErr(); failed != nil {
		return shedkeel.Changes{}, failed // the connection was lost during the watch
	}
	if limit := source.maxRecords; limit > 0 && len(records) > limit {
		return shedkeel.Changes{Records: records[:limit], Revision: records[limit-1].Revision, More: true}, err
	}
	return shedkeel.Changes{Records: records, Revision: at}, err
}

func (source *source) GetStale(_ context.Context, key string) (shedkeel.Record, error) {
	return source.Record(key), source.beginCall()
}

// peer is the mirror of another process.
type peer struct {
	mirror *Mirror
	now    func() time.Duration
}

func (*peer) Name() string { return "peer" }

func (peer *peer) Relay(_ context.Context, since shedkeel.Revision, wait time.Duration) (Update, error) {
	time.Sleep(min(wait, 5*time.Millisecond))
	if peer.mirror == nil {
		return Update{}, errors.New("the peer has no copy yet")
	}
	update := peer.mirror.UpdateSince(since)
	update.AsOf -= peer.now()
	return update, nil
}

func (peer *peer) HasCopy(ctx context.Context, wait time.Duration) (bool, error) {
	for began := time.Now(); time.Since(began) < wait && !peer.hasCopy() && ctx.Err() == nil; {
		time.Sleep(5 * time.Millisecond)
	}
	return peer.hasCopy(), nil
}

func (peer *peer) hasCopy() bool { return peer.mirror != nil && peer.mirror.State().Known }

// eventually waits up to 5 s until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

// TestBootstrapDuringOutage starts a process while the service is down. Within 200 ms
// it must have the copy of a peer, with the age that the peer reports, though another
// peer has no copy and a third does not respond.
func TestBootstrapDuringOutage(t *testing.T) {
	service := &source{Store: standin.NewStore()}
	service.setErr(errors.New("service unavailable"))
	clock := &timer.System{}
	peerMirror, own := &Mirror{}, &Mirror{}
	provenAt := clock.Now() - 3*time.Second
	peerMirror.Apply(Update{Full: true, At: shedkeel.Revision{Number: 7}, AsOf: provenAt, Records: []shedkeel.Record{record("a", 7)}})
	others := []Peer{&peer{now: clock.Now}, &peer{mirror: peerMirror, now: clock.Now}, unresponsivePeer{}}
	follower := &Follower{
		Mirror: own, Source: service, Timers: clock, Upstream: func() Peer { return nil }, Peers: func() []Peer { return others },
		Processes: func() int { return 3 }, Random: rand.NewPCG(1, 2),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	began := clock.Now()
	running.Go(func() { follower.Run(ctx) })
	eventually(t, "the peer's copy", func() bool { return own.Get("a").Revision.Number == 7 })
	assert.Assert(t, clock.Now()-began < 200*time.Millisecond, "it took %s", clock.Now()-began)
	assert.Assert(t, own.State().AsOf <= provenAt, "the copy counts as newer than the peer's")
	cancel()
	running.Wait()
}

// unresponsivePeer never responds.
type unresponsivePeer struct{}

func (unresponsivePeer) Name() string { return "silent" }

func (unresponsivePeer) Relay(ctx context.Context, _ shedkeel.Revision, _ time.Duration) (Update, error) {
	<-ctx.Done()
	return Update{}, ctx.Err()
}

func (unresponsivePeer) HasCopy(ctx context.Context, _ time.Duration) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}

// TestStaleFollowers lets the copies of many processes become stale while the service
// is down. Together they may query it only at a limited rate, and the first process
// that receives a change must pass it on to the others though it is nobody's upstream.
func TestStaleFollowers(t *testing.T) {
	const processes = 40
	store := standin.NewStore()
	service := &source{Store: store}
	service.setErr(errors.New("service unavailable"))
	clock := &timer.System{}
	emptyPeer := &peer{mirror: &Mirror{}, now: clock.Now}
	var peers []Peer
	var followers []*Follower
	for index := range processes {
		own := &Mirror{}
		own.Apply(Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: clock.Now() - baseStaleAge})
		peers = append(peers, &peer{mirror: own, now: clock.Now})
		followers = append(followers, &Follower{
			Mirror: own, Source: service, Timers: clock, Upstream: func() Peer { return emptyPeer }, Peers: func() []Peer { return peers },
			Processes: func() int { return processes }, Random: rand.NewPCG(uint64(index), 4),
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, follower := range followers {
		running.Go(func() { follower.Run(ctx) })
	}
	const outage = 2 * time.Second
	time.Sleep(outage)
	assert.Assert(t, service.callCount() <= 2*int(outage/sourceQueryInterval), "%d queries", service.callCount())
	assert.Assert(t, service.callCount() > 0)

	followers[0].Mirror.Apply(Update{Records: []shedkeel.Record{record("a", 2)}, At: shedkeel.Revision{Number: 2}, AsOf: clock.Now()})
	eventually(t, "the change in all copies", func() bool {
		for _, follower := range followers {
			if follower.Mirror.Get("a").Revision.Number == 0 {
				return false
			}
		}
		return true
	})
	cancel()
	running.Wait()
}

// TestSmallFleetQueriesSourceAtOnce checks that a process of a small fleet, whose copy
// is stale and whose peers have nothing newer, queries the service without a delay.
func TestSmallFleetQueriesSourceAtOnce(t *testing.T) {
	store := standin.NewStore()
	_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "a", Value: []byte("v")}}})
	assert.NilError(t, err)
	clock := &timer.System{}
	own, emptyPeer := &Mirror{}, &peer{mirror: &Mirror{}, now: clock.Now}
	own.Apply(Update{Full: true, AsOf: clock.Now() - baseStaleAge})
	follower := &Follower{
		Mirror: own, Source: &source{Store: store}, Timers: clock, Upstream: func() Peer { return emptyPeer }, Peers: func() []Peer { return nil },
		Processes: func() int { return 9 }, Random: rand.NewPCG(1, 2),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	began := clock.Now()
	running.Go(func() { follower.Run(ctx) })
	eventually(t, "the newest record", func() bool { return own.Get("a").Revision.Number > 0 })
	assert.Assert(t, clock.Now()-began < 3*retryDelay, "it took %s", clock.Now()-began)
	cancel()
	running.Wait()
}

// TestFollower covers an outage of the service, changes that the service has dropped from
// its history, and a peer that becomes the upstream.
func TestFollower(t *testing.T) {
	store := standin.NewStore()
	service := &source{Store: store}
	clock := &timer.System{}
	own := &Mirror{}
	other := &Mirror{}
	var upstream Peer
	var mutex sync.Mutex
	choose := func() Peer {
		mutex.Lock()
		defer mutex.Unlock()
		return upstream
	}
	follower := &Follower{Mirror: own, Source: service, Timers: clock, Upstream: choose, Peers: func() []Peer { return nil }, Processes: func() int { return 1 }, Random: rand.NewPCG(1, 2)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	put := func(key string) {
		_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: key, Value: []byte("v")}}})
		assert.NilError(t, err)
	}
	put("a")
	eventually(t, "the first copy", func() bool { return own.Get("a").Revision.Number > 0 })

	service.setErr(errors.New("service unavailable"))
	put("b")
	store.DropHistory()
	time.Sleep(2 * retryDelay)
	service.setErr(nil)
	eventually(t, "changes from the outage, which the service dropped from its history", func() bool { return own.Get("b").Revision.Number > 0 })

	service.setErr(errors.New("service unavailable"))
	age := clock.Now() - own.State().AsOf
	records, at := store.List("")
	other.Apply(Update{Records: append(records, record("c", at.Number+1)), Full: true, At: shedkeel.Revision{Number: at.Number + 1}, AsOf: clock.Now()})
	mutex.Lock()
	upstream = &peer{mirror: other, now: clock.Now}
	mutex.Unlock()
	eventually(t, "the peer's records", func() bool { return own.Get("c").Revision.Number > 0 })
	assert.Assert(t, clock.Now()-own.State().AsOf < age+5*time.Second)
	assert.Assert(t, own.State().AsOf <= clock.Now(), "AsOf of the copy is in the future")
	cancel()
	running.Wait()
}

// TestCopyKeepsUpWithManyChanges writes the records of 3,000 servers while a response
// holds at most 50 changes. The copy must be complete within about one batch delay, and
// must not count as fresh before. When the follower waited for the batch delay after each
// response, a change of the configuration came 8 s late while the copy counted as fresh.
func TestCopyKeepsUpWithManyChanges(t *testing.T) {
	store := standin.NewStore()
	service := &source{Store: store, maxRecords: 50}
	clock := &timer.System{}
	own := &Mirror{}
	follower := &Follower{Mirror: own, Source: service, Timers: clock, Upstream: func() Peer { return nil }, Peers: func() []Peer { return nil }, Processes: func() int { return 1 }, Random: rand.NewPCG(1, 2)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	eventually(t, "the first copy", func() bool { return own.State().Known })
	const servers = 3000
	began := clock.Now()
	for index := range servers {
		_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: fmt.Sprint("servers/", index), Value: []byte("v")}}})
		assert.NilError(t, err)
	}
	last, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "config", Value: []byte("v")}}})
	assert.NilError(t, err)
	written := clock.Now()
	for last.After(own.State().At) {
		state := own.State()
		behind := last.Number - state.At.Number
		assert.Assert(t, behind <= 0 || state.AsOf <= written, "a copy that is %d changes behind counts as fresh", behind)
		assert.Assert(t, clock.Now()-began < 5*time.Second, "the copy is %d changes behind", behind)
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, clock.Now()-written < startupBatchDelay+maxBatchDelay+250*time.Millisecond, "it took %s", clock.Now()-written)
	cancel()
	running.Wait()
}

func TestBatchDelay(t *testing.T) {
	for name, test := range map[string]struct {
		records int
		delay   time.Duration
	}{
		"few records":   {10, minBatchDelay},
		"260 records":   {260, 104 * time.Millisecond},
		"3,300 records": {3300, maxBatchDelay},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, batchDelay(test.records), test.delay)
		})
	}
}
