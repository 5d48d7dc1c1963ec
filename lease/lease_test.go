package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

const (
	ttl    = 6 * time.Second
	margin = 500 * time.Millisecond
	step   = 100 * time.Millisecond
)

// service is a key-value service with a single key and compare-and-swap.
type service struct {
	revision shedkeel.Revision
	value    []byte
}

// swap makes the write if the key is still at the revision that the write replaces.
func (service *service) swap(write Write) (shedkeel.Revision, bool) {
	if write.Revision != service.revision {
		return shedkeel.Revision{}, false
	}
	service.revision.Number++
	service.value = write.Value
	return service.revision, true
}

// contender is a node with its own clock and at most one write in flight.
type contender struct {
	lease     Lease
	offset    time.Duration // of its clock from the true time
	drift     float64       // relative error of its clock's rate
	resumesAt time.Duration // the node is frozen until then
	write     *Write        // in flight; nil: none
	arrivesAt time.Duration // when the write reaches the service
	loseReply bool          // the reply to the write is lost
}

// clock returns the contender's time at the true time now.
func (contender *contender) clock(now time.Duration) time.Duration {
	return contender.offset + time.Duration(float64(now)*(1+contender.drift))
}

// tick delivers the write in flight if it is due. Unless the node is frozen, it may
// then freeze, observe the record or begin a write.
func (contender *contender) tick(now time.Duration, service *service, random *rand.Rand) {
	if contender.write != nil && now >= contender.arrivesAt {
		revision, swapped := service.swap(*contender.write)
		switch {
		case swapped && !contender.loseReply:
			contender.lease.WriteSucceeded(revision, contender.write.Value)
		case swapped:
			contender.lease.WriteFailed()
		default:
			contender.lease.WriteFailed()
			_ = contender.lease.Reset(service.revision, service.value, contender.clock(now))
		}
		contender.write = nil
	}
	if now < contender.resumesAt {
		return
	}
	if random.IntN(100) == 0 {
		contender.resumesAt = now + time.Duration(random.IntN(20))*time.Second
		return
	}
	if random.IntN(3) > 0 {
		_ = contender.lease.Observe(service.revision, service.value, contender.clock(now))
	}
	if contender.write != nil {
		return
	}
	if write, wanted := contender.lease.NextWrite(contender.clock(now), 0); wanted {
		contender.write = &write
		contender.arrivesAt = now + time.Duration(random.IntN(3000))*time.Millisecond
		contender.loseReply = random.IntN(4) == 0
	}
}

// TestNeverTwoHolders simulates nodes that freeze during a write, lost replies and
// clock drift, and checks at each step that at most one node holds the lease and
// that no two nodes hold the same epoch.
func TestNeverTwoHolders(t *testing.T) {
	heldSteps := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		service := &service{}
		contenders := make([]*contender, 3)
		for index := range contenders {
			name := fmt.Sprintf("n%d", index)
			contenders[index] = &contender{
				offset: time.Duration(random.IntN(1000)) * time.Second,
				drift:  (random.Float64() - 0.5) * 2 * 0.02,
				lease:  Lease{Node: shedkeel.NodeID(name), Incarnation: name, TTL: ttl, Margin: margin, RenewInterval: ttl / 3},
			}
		}
		epochs := map[uint64]shedkeel.NodeID{}
		for now := time.Duration(0); now < 2*time.Minute; now += step {
			holders := 0
			for _, contender := range contenders {
				contender.tick(now, service, random)
				epoch, holds := contender.lease.Held(contender.clock(now), 0)
				if !holds {
					continue
				}
				holders++
				if before, known := epochs[epoch]; known && before != contender.lease.Node {
					t.Fatalf("seed %d: %s and %s both held epoch %d", seed, before, contender.lease.Node, epoch)
				}
				epochs[epoch] = contender.lease.Node
			}
			heldSteps += holders
			if holders > 1 {
				t.Fatalf("seed %d: %d holders at %s", seed, holders, now)
			}
		}
	}
	assert.Assert(t, heldSteps > 100_000, "the lease was held in only %d steps: too few for the test to be meaningful", heldSteps)
}

// TestServiceRestoredFromOlderData checks that a holder keeps the lease after the
// service is restored from a backup, and that its next write has a higher generation
// than the writes that the restore lost.
func TestServiceRestoredFromOlderData(t *testing.T) {
	service := &service{}
	first := &Lease{Node: "a", Incarnation: "1", TTL: ttl, Margin: margin, RenewInterval: time.Second}
	now := time.Duration(0)
	renew := func() {
		now += time.Second
		write, wanted := first.NextWrite(now, 0)
		assert.Assert(t, wanted)
		revision, swapped := service.swap(write)
		if !swapped {
			first.WriteFailed()
			assert.NilError(t, first.Reset(service.revision, service.value, now))
			return
		}
		first.WriteSucceeded(revision, write.Value)
	}
	assert.NilError(t, first.Observe(shedkeel.Revision{}, nil, now))
	renew()
	backup := *service
	for range 5 {
		renew()
	}
	newest := first.LastRecord().Generation
	*service = backup
	renew() // fails with a conflict and reads the older record
	renew()
	assert.Assert(t, first.LastRecord().Generation > newest, "the generation must exceed the one that other nodes saw before the restore")
	_, holds := first.Held(now, 0)
	assert.Assert(t, holds)
}

// TestHeldForAnOrder checks that Held requires the lease to stay valid for the duration
// atLeast, which is how long an order that the holder sends remains valid.
func TestHeldForAnOrder(t *testing.T) {
	cases := map[string]struct {
		after   time.Duration
		atLeast time.Duration
		want    bool
	}{
		"right after the write": {0, time.Second, true},
		"last possible moment":  {ttl - margin - time.Second - 1, time.Second, true},
		"expires too early":     {ttl - margin - time.Second, time.Second, false},
		"expired":               {ttl, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			lease := &Lease{Node: "a", Incarnation: "1", TTL: ttl, Margin: margin, RenewInterval: ttl / 3}
			assert.NilError(t, lease.Observe(shedkeel.Revision{}, nil, 0))
			write, wanted := lease.NextWrite(0, 0)
			assert.Assert(t, wanted)
			lease.WriteSucceeded(shedkeel.Revision{Number: 1}, write.Value)
			_, holds := lease.Held(test.after, test.atLeast)
			assert.Equal(t, holds, test.want)
		})
	}
}
