package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
)

// nonces counts the nonces of all committers in the tests, so that each is unique.
var nonces atomic.Int64

// newCommitter returns a committer with a batch interval of 1 ms.
func newCommitter(store shedkeel.Store) *Committer {
	committer := NewCommitter()
	committer.Store = store
	committer.Prefix = "claims/"
	committer.BatchInterval = time.Millisecond
	committer.Retention = time.Hour
	committer.Nonce = func() string { return fmt.Sprint(nonces.Add(1)) }
	committer.WallClock = func() time.Time { return time.Unix(1_000_000, 0) }
	return committer
}

// operation is the input of one call of Claim in a history.
type operation struct {
	key     string
	attempt string
}

// claimModel is the specification for the linearizability check: each key is held
// by at most one attempt. The state of a key is the ID of the attempt that holds it,
// or "". A call of Claim that ended with an error (status 0) may or may not have
// stored a claim.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operationOf(operation).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		holder := state.(string)
		requested := input.(operation)
		result := output.(Result)
		switch {
		case result.Status == 0 && holder == "":
			return []any{"", requested.attempt}
		case result.Status == 0:
			return []any{holder}
		case result.Status == Granted && (holder == "" || holder == requested.attempt):
			return []any{requested.attempt}
		case result.Status == Taken && holder == result.Claim.Attempt && holder != requested.attempt:
			return []any{holder}
		}
		return nil
	},
}

func operationOf(recorded porcupine.Operation) operation { return recorded.Input.(operation) }

// TestKeyIsGrantedToOneAttempt runs three committers on the same shard concurrently, while
// the key-value service loses replies and has outages. The history must be
// linearizable under claimModel: no key is granted to two attempts.
func TestKeyIsGrantedToOneAttempt(t *testing.T) {
	for seed := range uint64(40) {
		store := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		committers := make([]*Committer, 3)
		var running sync.WaitGroup
		for index := range committers {
			committers[index] = newCommitter(store)
			running.Go(func() { committers[index].Run(ctx) })
		}
		history := claimConcurrently(ctx, t, committers, store, seed)
		cancel()
		running.Wait()
		model := claimModel.ToModel()
		assert.Assert(t, porcupine.CheckOperations(model, history), "seed %d: the history is not linearizable, so some key was granted to two attempts", seed)
	}
}

// claimConcurrently runs 8 clients that call Claim 12 times each on 4 keys, with random
// faults of the store, and returns the history. The times in the history come from a
// counter, which orders all calls and returns.
func claimConcurrently(ctx context.Context, t *testing.T, committers []*Committer, store *standin.Store, seed uint64) []porcupine.Operation {
	t.Helper()
	var mutex sync.Mutex
	var history []porcupine.Operation
	var clock atomic.Int64
	var callers sync.WaitGroup
	for client := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		callers.Go(func() {
			for try := range 12 {
				if client == 0 && random.IntN(3) == 0 {
					store.SetFaults(standin.Faults{LoseReplies: random.IntN(3), Outage: random.IntN(6) == 0})
				}
				requested := operation{key: fmt.Sprintf("%02x", random.IntN(4)), attempt: fmt.Sprintf("%d-%d", client, try)}
				callTime := clock.Add(1)
				result, err := committers[random.IntN(len(committers))].Claim(ctx, Request{Key: requested.key, Attempt: requested.attempt})
				if err != nil {
					result = Result{}
				}
				returnTime := clock.Add(1)
				mutex.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: requested, Output: result, Call: callTime, Return: returnTime})
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	return history
}

// TestDecisions checks the decision on a second request, depending on how its key,
// attempt, digest and InsteadOf relate to a first request that was granted.
func TestDecisions(t *testing.T) {
	firstRequest := Request{Key: "aa", Attempt: "first", Holder: "box/1", Digest: "d"}
	cases := map[string]struct {
		request Request
		want    Status
	}{
		"another key":                           {Request{Key: "bb", Attempt: "second", Digest: "d"}, Granted},
		"the same attempt again":                {firstRequest, Granted},
		"another attempt":                       {Request{Key: "aa", Attempt: "second", Digest: "d"}, Taken},
		"another digest":                        {Request{Key: "aa", Attempt: "second", Digest: "other"}, Mismatch},
		"instead of the holder":                 {Request{Key: "aa", Attempt: "second", Digest: "d", InsteadOf: "first"}, Granted},
		"instead of a non-holder":               {Request{Key: "aa", Attempt: "second", Digest: "d", InsteadOf: "zeroth"}, Taken},
		"another digest, instead of the holder": {Request{Key: "aa", Attempt: "second", Digest: "x", InsteadOf: "first"}, Mismatch},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			committer := newCommitter(standin.NewStore())
			stop := runCommitter(t, committer)
			defer stop()
			first, err := committer.Claim(t.Context(), firstRequest)
			assert.NilError(t, err)
			assert.Equal(t, first.Status, Granted)
			second, err := committer.Claim(t.Context(), test.request)
			assert.NilError(t, err)
			assert.Equal(t, second.Status, test.want)
		})
	}
}

// runCommitter runs a committer until stop is called.
func runCommitter(t *testing.T, committer *Committer) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { committer.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// TestOutage checks that a new claim is refused with an UnavailableError during an
// outage of the key-value service, and that an earlier claim is still known after
// the outage.
func TestOutage(t *testing.T) {
	store := standin.NewStore()
	committer := newCommitter(store)
	defer runCommitter(t, committer)()
	_, err := committer.Claim(t.Context(), Request{Key: "aa", Attempt: "first"})
	assert.NilError(t, err)
	store.SetFaults(standin.Faults{Outage: true})
	_, err = committer.Claim(t.Context(), Request{Key: "bb", Attempt: "second"})
	var unavailable *shedkeel.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	store.SetFaults(standin.Faults{})
	again, err := committer.Claim(t.Context(), Request{Key: "aa", Attempt: "third"})
	assert.NilError(t, err)
	assert.Equal(t, again.Status, Taken)
}

// TestSealed checks that a new committer still knows claims that were moved to a
// segment.
func TestSealed(t *testing.T) {
	store := standin.NewStore()
	committer := newCommitter(store)
	stop := runCommitter(t, committer)
	var callers sync.WaitGroup
	// The claims have the keys 0000 to 09c3, in hexadecimal.
	for number := range sealThreshold + 500 {
		callers.Go(func() {
			_, err := committer.Claim(t.Context(), Request{Key: fmt.Sprintf("%04x", number), Attempt: "first"})
			assert.Check(t, err)
		})
	}
	callers.Wait()
	stop()
	head := committer.shard.head
	assert.Assert(t, len(head.Sealed) > 0, "no claims were moved to a segment")
	other := newCommitter(store)
	defer runCommitter(t, other)()
	// The first key, the one at sealThreshold and the last one.
	for _, key := range []string{"0000", "07d0", "09c3"} {
		again, err := other.Claim(t.Context(), Request{Key: key, Attempt: "second"})
		assert.NilError(t, err)
		assert.Equal(t, again.Status, Taken, key)
	}
}

// TestRestored checks that a committer writes its claims back to a key-value service
// that was restored from older data, so that other committers know them again.
func TestRestored(t *testing.T) {
	store := standin.NewStore()
	committer := newCommitter(store)
	defer runCommitter(t, committer)()
	claim := func(key, attempt string) Status {
		result, err := committer.Claim(t.Context(), Request{Key: key, Attempt: attempt})
		assert.NilError(t, err)
		return result.Status
	}
	assert.Equal(t, claim("aa", "first"), Granted)
	store.Snapshot()
	assert.Equal(t, claim("bb", "first"), Granted)
	store.Restore()
	assert.Equal(t, claim("cc", "first"), Granted)
	other := newCommitter(store)
	defer runCommitter(t, other)()
	result, err := other.Claim(t.Context(), Request{Key: "bb", Attempt: "second"})
	assert.NilError(t, err)
	assert.Equal(t, result.Status, Taken, "the claim that the restore lost must be written back")
}

// TestRetention checks that only segments whose newest claim is older than the
// retention time are dropped. Newest is in minutes; at minute 230, with a retention
// time of one hour, the limit is minute 170.
func TestRetention(t *testing.T) {
	head := Head{Sealed: []Segment{{Key: "old", Newest: 100}, {Key: "new", Newest: 200}}}
	dropped := head.expire(230, time.Hour)
	assert.DeepEqual(t, dropped, []Segment{{Key: "old", Newest: 100}})
	assert.DeepEqual(t, head.Sealed, []Segment{{Key: "new", Newest: 200}})
}

// BenchmarkClaims measures concurrent calls of Claim on one committer, and the writes
// to the store for each call.
func BenchmarkClaims(b *testing.B) {
	store := standin.NewStore()
	committer := newCommitter(store)
	committer.BatchInterval = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go committer.Run(ctx)
	var number atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			_, _ = committer.Claim(ctx, Request{Key: fmt.Sprintf("%08x", number.Add(1)), Attempt: "a"})
		}
	})
	b.ReportMetric(float64(store.Counts().Writes)/float64(b.N), "writes/claim")
}
