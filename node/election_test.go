package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/timer"
)

// leaseStore is a key-value service that numbers its leases from one and leaves commits
// to the function commit.
type leaseStore struct {
	Store
	granted     shedkeel.LeaseID         // the lease granted last
	renewed     map[shedkeel.LeaseID]int // number of successful renewals of each lease
	released    []shedkeel.LeaseID       // in the order of the calls of Release
	unavailable bool                     // renewals fail
	renewCalls  int                      // calls of Renew, including those that failed
	// commit returns the number of the revision that the commit creates.
	commit func(shedkeel.Transaction) (int64, error)
}

func (store *leaseStore) Grant(_ context.Context, ttl time.Duration) (shedkeel.LeaseID, time.Duration, error) {
	store.granted.Number++
	return store.granted, ttl, nil
}

func (store *leaseStore) Renew(_ context.Context, lease shedkeel.LeaseID) error {
	store.renewCalls++
	if store.unavailable {
		return &shedkeel.UnavailableError{What: "key-value service"}
	}
	store.renewed[lease]++
	return nil
}

func (store *leaseStore) Release(_ context.Context, lease shedkeel.LeaseID) error {
	store.released = append(store.released, lease)
	return nil
}

func (store *leaseStore) Commit(_ context.Context, change shedkeel.Transaction) (shedkeel.Revision, error) {
	number, err := store.commit(change)
	return shedkeel.Revision{Number: number}, err
}

// newListedCandidate returns a node that is listed and knows that there is no leader. Its
// membership lease has the number 1 in the returned store, whose commits succeed at revision 2
// unless a test replaces the function commit.
func newListedCandidate(t *testing.T) (*Node, *timer.Manual, *leaseStore) {
	node, timers := newTestNode(t)
	store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}, commit: func(shedkeel.Transaction) (int64, error) { return 2, nil }}
	node.Store = store
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	assert.Assert(t, node.member.step(t.Context())) // lists the node, with lease number 1
	return node, timers, store
}

// elect makes a node stand for election. The node must know no other nodes. elect calls
// controller.elect twice, initialSettleTime apart: in the first election of a fleet, the node's
// electionDelay is over only at the second call. The clock then advances by electionStagger.
func elect(t *testing.T, node *Node, timers *timer.Manual) {
	for _, wait := range []time.Duration{initialSettleTime, electionStagger} {
		node.controller.elect(t.Context(), timers.Now())
		timers.Advance(wait)
	}
}

// changeUpdate returns the mirror update that a change causes at the revision with the number.
func changeUpdate(change shedkeel.Transaction, number int64, asOf time.Duration) mirror.Update {
	revision := shedkeel.Revision{Number: number}
	update := mirror.Update{At: revision, AsOf: asOf}
	for _, put := range change.Put {
		update.Records = append(update.Records, shedkeel.Record{Key: put.Key, Value: put.Value, Revision: revision})
	}
	return update
}

// TestLeadOfUnknownOutcome has a node write the record that makes it the leader. The outcome
// of the write is unknown, and the write takes effect later. If the lease of the record is still
// valid then, the node must lead: if it ignored the record, no node would lead until the lease
// ends. Otherwise the node must not lead.
func TestLeadOfUnknownOutcome(t *testing.T) {
	cases := map[string]struct {
		delay time.Duration // after which the write takes effect
		leads bool
	}{
		"effective at once":                   {0, true},
		"effective within the lease":          {leaderTTL / 2, true},
		"effective after the lease has ended": {2 * leaderTTL, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers, store := newListedCandidate(t)
			var pending shedkeel.Transaction
			store.commit = func(change shedkeel.Transaction) (int64, error) {
				pending = change
				return 0, &shedkeel.UnknownOutcomeError{What: "write"}
			}
			elect(t, node, timers)
			assert.Assert(t, !node.controller.leading(timers.Now()), "the node leads although no record names it")

			timers.Advance(test.delay)
			node.mirror.Apply(changeUpdate(pending, 2, timers.Now()))
			node.controller.elect(t.Context(), timers.Now())
			assert.Equal(t, node.controller.leading(timers.Now()), test.leads)
		})
	}
}

// TestLateWriteOfFormerLease has a node's first write of the leader record take effect only
// after the node has got another lease. The node must not lead by this record: it belongs to
// the first lease, which no node renews.
func TestLateWriteOfFormerLease(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	var first shedkeel.Transaction
	store.commit = func(change shedkeel.Transaction) (int64, error) {
		first = change
		return 0, &shedkeel.UnknownOutcomeError{What: "write"}
	}
	elect(t, node, timers)
	timers.Advance(2 * leaderTTL) // the first lease expires
	// The copy of the records is current again: with one older than maxMirrorAge, the node would not
	// stand for election.
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	store.commit = func(shedkeel.Transaction) (int64, error) { return 0, &shedkeel.ConflictError{What: "lead"} }
	elect(t, node, timers) // the node gets another lease, but its second write fails
	node.mirror.Apply(changeUpdate(first, 2, timers.Now()))
	elect(t, node, timers)
	assert.Assert(t, !node.controller.leading(timers.Now()), "the node leads by a record with another lease than its own")
}

// TestTermsEpochsAreUsedOnce has the leader record disappear from the leader's mirror
// for a moment and the node lead again in the same term. No epoch may be used twice.
func TestTermsEpochsAreUsedOnce(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	var lead shedkeel.Transaction
	store.commit = func(change shedkeel.Transaction) (int64, error) {
		lead = change
		return 2, nil
	}
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	before := node.controller.nextEpoch()
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 3}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: leaderKey, Revision: shedkeel.Revision{Number: 3}, Removed: true}}})
	assert.Assert(t, !node.controller.leading(timers.Now()))
	node.mirror.Apply(changeUpdate(lead, 4, timers.Now()))
	node.controller.elect(t.Context(), timers.Now())
	assert.Assert(t, node.controller.leading(timers.Now()))
	assert.Assert(t, node.controller.nextEpoch() > before)
}

// TestLeadersLease checks that a node leads no longer than the lease of its leader record lasts,
// even while its membership lease keeps it listed, and that a node that resigns releases the
// lease of its leader record.
func TestLeadersLease(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	assert.Assert(t, node.controller.lease.ID() != node.member.lease.ID())
	timers.Advance(leaderTTL)
	assert.Assert(t, node.member.lease.valid(timers.Now()), "the node is no longer listed")
	assert.Assert(t, !node.controller.leading(timers.Now()), "the node leads although its leader's lease was not renewed")
	assert.Assert(t, node.controller.lease.renew(t.Context()))
	assert.Assert(t, node.controller.leading(timers.Now()), "the node does not lead although it has renewed the lease")

	node.controller.resign()
	assert.DeepEqual(t, store.released, []shedkeel.LeaseID{{Number: 2}}) // the membership lease has number 1
	assert.Assert(t, !node.controller.leading(timers.Now()))
}

// TestOneNodeStandsInFirstElection has the nodes of a new fleet learn of each other within half a
// second. Only the first node in the order of compareNodes may stand for election. Without the
// wait of initialSettleTime, each node knows few of the nodes that precede it, so many stand: 88
// of 142 nodes, for example.
func TestOneNodeStandsInFirstElection(t *testing.T) {
	const (
		lag   = 250 * time.Millisecond // until other nodes see a write
		tick  = 50 * time.Millisecond  // between two calls of elect
		batch = 10                     // nodes that are listed per tick
	)
	all := fleetOf(100, 3) // 100 nodes, in each zone 3 of them on large boxes
	var nodes []*Node
	var clocks []*timer.Manual
	campaigns, elected := 0, shedkeel.NodeID("")
	var update mirror.Update // with the records that the winner has written
	for _, record := range all {
		node, timers := newListedNode(t, record.ID, nil) // nil: the node knows no nodes yet
		store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}}
		store.commit = func(change shedkeel.Transaction) (int64, error) {
			campaigns++
			if elected != "" {
				return 0, &shedkeel.ConflictError{}
			}
			elected, update = record.ID, changeUpdate(change, 2, 0)
			return 2, nil
		}
		node.Store = store
		node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
		node.member.listed.Store(true)
		nodes, clocks = append(nodes, node), append(clocks, timers)
	}
	// The nodes with the most capacity, which come first in the order of compareNodes, are listed
	// last.
	joinOrder := slices.Clone(all)
	slices.Reverse(joinOrder)
	wonAt := time.Duration(0)
	// The loop ends when the other nodes would see the leader's record, after 3 s at the latest.
	for now := time.Duration(0); now < 3*time.Second && (elected == "" || now < wonAt+lag); now += tick {
		known := slices.Clone(joinOrder[:min(len(joinOrder), batch*(1+int(now/tick)))])
		slices.SortFunc(known, compareNodes)
		for index, node := range nodes {
			if now < time.Duration(len(joinOrder)/batch)*tick { // the list of nodes still grows
				node.peers.update(known)
			}
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: clocks[index].Now()})
			node.controller.elect(t.Context(), clocks[index].Now())
			clocks[index].Advance(tick)
		}
		if elected != "" && wonAt == 0 {
			wonAt = now
		}
	}
	assert.Assert(t, len(update.Records) > 0)
	assert.Equal(t, elected, all[0].ID, "the first node in the order of compareNodes must lead")
	assert.Equal(t, campaigns, 1)
}
