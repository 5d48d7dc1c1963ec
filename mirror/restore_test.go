package mirror

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/timer"
)

// sizes makes TestFollowRestore run all fleet sizes.
var sizes = flag.Bool("sizes", false, "measure how long all processes take to follow a restored service, at all fleet sizes")

// inEra returns the record with the era set.
func inEra(era int64, record shedkeel.Record) shedkeel.Record {
	record.Revision.Era = era
	return record
}

// fullUpdate returns a full update of an era.
func fullUpdate(era, at int64, asOf time.Duration, records ...shedkeel.Record) Update {
	update := Update{Full: true, At: shedkeel.Revision{Era: era, Number: at}, AsOf: asOf}
	for _, record := range records {
		update.Records = append(update.Records, inEra(era, record))
	}
	return update
}

// TestEras checks what a copy holds after the service was restored from an older copy.
func TestEras(t *testing.T) {
	before := fullUpdate(0, 9, 1, record("a", 3), record("b", 9))
	after := fullUpdate(1, 5, 2, record("a", 3))
	later := Update{At: shedkeel.Revision{Era: 1, Number: 6}, AsOf: 3, Records: []shedkeel.Record{inEra(1, record("c", 6))}}
	cases := map[string]struct {
		updates []Update
		want    map[string]string
		at      string
		asOf    time.Duration
		lost    int // records reported as lost
	}{
		"restored":                                         {[]Update{before, after}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"restored, then changed":                           {[]Update{before, after, later}, map[string]string{"a": "1:3", "c": "1:6"}, "1:6", 3, 1},
		"late response from the earlier era":               {[]Update{before, after, {At: shedkeel.Revision{Number: 12}, AsOf: 7, Records: []shedkeel.Record{record("b", 12)}}}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"late list from the earlier era":                   {[]Update{before, after, fullUpdate(0, 12, 7, record("b", 12))}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"late own write from the earlier era":              {[]Update{before, after, {Records: []shedkeel.Record{record("b", 12)}}}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"late own write of a new key from the earlier era": {[]Update{before, after, {Records: []shedkeel.Record{record("z", 12)}}}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"change of the new era before its list":            {[]Update{before, later}, map[string]string{"a": "3", "b": "9"}, "9", 1, 0},
		"own write in the new era before its list":         {[]Update{before, {Records: []shedkeel.Record{inEra(1, record("b", 4))}}, after}, map[string]string{"a": "1:3"}, "1:5", 2, 1},
		"own write in the new era after its list":          {[]Update{before, after, {Records: []shedkeel.Record{inEra(1, record("b", 6))}}}, map[string]string{"a": "1:3", "b": "1:6"}, "1:5", 2, 1},
		"restored twice":                                   {[]Update{before, after, fullUpdate(3, 2, 5, record("d", 1))}, map[string]string{"d": "3:1"}, "3:2", 5, 2},
		"the same revision numbers in both eras":           {[]Update{fullUpdate(0, 9, 1, record("a", 3), record("b", 9)), fullUpdate(1, 9, 2, record("a", 3), record("b", 9))}, map[string]string{"a": "1:3", "b": "1:9"}, "1:9", 2, 0},
		"the first update is of a later era":               {[]Update{after}, map[string]string{"a": "1:3"}, "1:5", 2, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			mirror := &Mirror{}
			lost, lostRecords := 0, 0
			mirror.ListenRestore(func(restore Restore) { lost += restore.Lost })
			mirror.Listen(func(records []shedkeel.Record) {
				for _, record := range records {
					if record.LostInRestore {
						lostRecords++
					}
				}
			})
			for _, update := range test.updates {
				mirror.Apply(update)
			}
			found := map[string]string{}
			for _, record := range mirror.ListPrefix("") {
				found[record.Key] = record.Revision.String()
			}
			assert.DeepEqual(t, found, test.want)
			assert.Equal(t, mirror.State().At.String(), test.at)
			assert.Equal(t, mirror.State().AsOf, test.asOf)
			assert.Equal(t, lostRecords, test.lost)
			assert.Equal(t, lost, test.lost)
		})
	}
}

// TestRelayAcrossEras lets mirrors follow the service and each other in random order while
// the service is restored from older copies. In the end each must hold what the service
// holds, and no record may go back within an era or to an earlier one.
func TestRelayAcrossEras(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		store := standin.NewStore()
		mirrors := []*Mirror{{}, {}, {}}
		newest := map[string]shedkeel.Revision{}
		mirrors[2].Listen(func(records []shedkeel.Record) {
			for _, record := range records {
				assert.Assert(t, record.Revision.After(newest[record.Key]), "seed %d: %s went back from %s to %s", seed, record.Key, newest[record.Key], record.Revision)
				newest[record.Key] = record.Revision
			}
		})
		for range 80 {
			commitRandomChange(t, store, random)
			switch random.IntN(8) {
			case 0:
				store.Snapshot()
			case 1:
				store.Restore()
			default:
				followOnce(t, store, mirrors, random)
			}
		}
		records, at := store.List("")
		mirrors[0].Apply(Update{Records: records, Full: true, At: at})
		for _, mirror := range mirrors[1:] {
			mirror.Apply(mirrors[0].UpdateSince(mirror.State().At))
			assert.DeepEqual(t, mirror.ListPrefix(""), records)
		}
	}
}

// followOnce lets a random mirror follow the service or another mirror once.
func followOnce(t *testing.T, store *standin.Store, mirrors []*Mirror, random *rand.Rand) {
	t.Helper()
	index, from := random.IntN(len(mirrors)), random.IntN(len(mirrors)+1)
	own := mirrors[index]
	if from < len(mirrors) {
		own.Apply(mirrors[from].UpdateSince(own.State().At))
		return
	}
	records, at, err := store.Changes(t.Context(), "", own.State().At, 0)
	if err == nil && at.Era == own.State().At.Era {
		own.Apply(Update{Records: records, At: at})
		return
	}
	records, at = store.List("")
	own.Apply(Update{Records: records, Full: true, At: at})
}

// TestFollowerListsNewEra restores the service from an older copy and writes until its
// revision numbers have passed those that the follower knows. By the numbers alone a watch
// of the follower is then still valid; the follower must notice the new era and list the
// records again.
func TestFollowerListsNewEra(t *testing.T) {
	store := standin.NewStore()
	put := func(key string) {
		_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: key, Value: []byte("v")}}})
		assert.NilError(t, err)
	}
	put("a")
	store.Snapshot()
	put("lost")
	clock := &timer.System{}
	own := &Mirror{}
	follower := &Follower{
		Mirror: own, Source: &eraSource{source: &source{Store: store}, lists: &atomic.Int64{}}, Timers: clock, Upstream: func() Peer { return nil }, Peers: func() []Peer { return nil },
		Processes: func() int { return 1 }, Random: rand.NewPCG(1, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	eventually(t, "the first copy", func() bool { return own.Get("lost").Revision.Exists() })
	store.Restore()
	put("below")
	for range 9 {
		put("above")
	}
	eventually(t, "a record written at a number below the known one", func() bool { return own.Get("below").Revision.Exists() })
	assert.Assert(t, !own.Get("lost").Revision.Exists())
	cancel()
	<-ended
}

// eraSource is a source that reports a new era to a watch as the client of the service
// does, by a CompactedError, and counts lists.
type eraSource struct {
	*source
	lists *atomic.Int64
}

func (source *eraSource) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) (shedkeel.Changes, error) {
	changes, err := source.source.Changes(ctx, prefix, since, wait)
	if err == nil && changes.Revision.Era != since.Era {
		err = &shedkeel.CompactedError{Since: since}
	}
	return changes, err
}

func (source *eraSource) List(ctx context.Context, prefix string) ([]shedkeel.Record, shedkeel.Revision, error) {
	source.lists.Add(1)
	return source.source.List(ctx, prefix)
}

// TestFollowRestore restores a service from an older copy during an outage, and checks how
// long the processes take to follow the restored service. Either each of them follows the
// service itself, or one does and passes its copy to the others, as in production.
func TestFollowRestore(t *testing.T) {
	type scenario struct {
		processes   int
		independent bool
		within      time.Duration
	}
	cases := map[string]scenario{"9, one passes its copy on": {9, false, 500 * time.Millisecond}}
	if *sizes {
		for _, processes := range []int{9, 66, 300} {
			cases[fmt.Sprintf("%d, each by itself", processes)] = scenario{processes, true, time.Second}
			cases[fmt.Sprintf("%d, one passes its copy on", processes)] = scenario{processes, false, time.Second}
		}
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for _, overtaken := range []bool{false, true} {
				took, lists, calls := measureRestore(t, test.processes, test.independent, overtaken)
				t.Logf("revisions overtaken: %t; all follow after %s; %d lists, %d calls", overtaken, took, lists, calls)
				assert.Assert(t, took < test.within, "it took %s", took)
			}
		})
	}
}

// measureRestore returns how long it takes from the end of the outage until all processes
// follow the restored service, and how often they list and call it meanwhile. If
// independent is set, each process follows the service itself. If overtaken is set, the
// service's revision numbers have passed those that the processes know when the outage ends.
func measureRestore(t *testing.T, processes int, independent, overtaken bool) (took time.Duration, lists, calls int64) {
	t.Helper()
	store := standin.NewStore()
	change := func(count int) {
		for index := range count {
			_, err := store.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: fmt.Sprint("servers/", index%100), Value: []byte("v")}}})
			assert.NilError(t, err)
		}
	}
	change(200)
	clock := &timer.System{}
	service := &eraSource{source: &source{Store: store}, lists: &atomic.Int64{}}
	var peers []Peer
	var followers []*Follower
	for index := range processes {
		follower := &Follower{
			Mirror: &Mirror{}, Source: service, Timers: clock, Processes: func() int { return processes }, Random: rand.NewPCG(uint64(index), 3),
			Upstream: func() Peer {
				if independent || index == 0 {
					return nil
				}
				return peers[0]
			},
			Peers: func() []Peer { return peers },
		}
		followers = append(followers, follower)
		peers = append(peers, &followerPeer{Follower: follower})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, follower := range followers {
		running.Go(func() { follower.Run(ctx) })
	}
	defer func() {
		cancel()
		running.Wait()
	}()
	reached := func(era int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(followers, func(follower *Follower) bool {
				state := follower.Mirror.State()
				return !state.Known || state.At.Era < era
			})
		}
	}
	eventually(t, "the first copy", reached(0))
	store.Snapshot()
	change(50)
	time.Sleep(time.Second)
	service.setErr(errors.New("service unavailable"))
	time.Sleep(500 * time.Millisecond)
	store.Restore()
	if overtaken {
		change(100)
	}
	callsBefore, listsBefore := service.callCount(), service.lists.Load()
	availableAt := clock.Now()
	service.setErr(nil)
	eventually(t, "all processes to follow the new era", reached(1))
	return clock.Now() - availableAt, service.lists.Load() - listsBefore, int64(service.callCount() - callsBefore)
}
