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

// leaseStore is a key-value service of which the leases are numbered from one.
type leaseStore struct {
	Store
	granted shedkeel.LeaseID
	renewed map[shedkeel.LeaseID]int
	ended   []shedkeel.LeaseID
	away    bool // renewals fail
	calls   int  // renewals asked for
	commit  func(shedkeel.Change) (int64, error)
}

func (store *leaseStore) Grant(_ context.Context, ttl time.Duration) (shedkeel.LeaseID, time.Duration, error) {
	store.granted.Number++
	return store.granted, ttl, nil
}

func (store *leaseStore) Renew(_ context.Context, lease shedkeel.LeaseID) error {
	store.calls++
	if store.away {
		return &shedkeel.UnavailableError{What: "key-value service"}
	}
	store.renewed[lease]++
	return nil
}

func (store *leaseStore) Release(_ context.Context, lease shedkeel.LeaseID) error {
	store.ended = append(store.ended, lease)
	return nil
}

func (store *leaseStore) Commit(_ context.Context, change shedkeel.Change) (shedkeel.Revision, error) {
	number, err := store.commit(change)
	return shedkeel.Revision{Number: number}, err
}

// electedNode returns a node that is listed and knows that nobody leads.
func electedNode(t *testing.T) (*Node, *timer.Manual, *leaseStore) {
	node, timers := newTestNode(t)
	store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}, commit: func(shedkeel.Change) (int64, error) { return 2, nil }}
	node.Store = store
	node.mirror.Apply(mirror.Update{Whole: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	assert.Assert(t, node.member.step(t.Context()))
	return node, timers, store
}

// elect has the node try to lead as it does while nobody leads.
func elect(t *testing.T, node *Node, timers *timer.Manual) {
	for _, wait := range []time.Duration{initialSettleTime, electionStagger} {
		node.controller.elect(t.Context(), timers.Now())
		timers.Advance(wait)
	}
}

// written returns a change's records as a mirror of the service gets them.
func written(change shedkeel.Change, number int64, asOf time.Duration) mirror.Update {
	revision := shedkeel.Revision{Number: number}
	update := mirror.Update{At: revision, AsOf: asOf}
	for _, put := range change.Put {
		update.Records = append(update.Records, shedkeel.Record{Key: put.Key, Value: put.Value, Revision: revision})
	}
	return update
}

// TestLeadOfUnknownOutcome has the write that makes a node lead answered with
// nothing, and done later. A node that had given it up never led, and as it
// kept the record's lease, no other did either.
func TestLeadOfUnknownOutcome(t *testing.T) {
	cases := map[string]struct {
		late  time.Duration // when the write is done
		leads bool
	}{
		"done at once":                       {0, true},
		"done within the lease":              {leaderTTL / 2, true},
		"done when the node's lease is over": {2 * leaderTTL, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers, store := electedNode(t)
			var lost shedkeel.Change
			store.commit = func(change shedkeel.Change) (int64, error) {
				lost = change
				return 0, &shedkeel.UnknownOutcomeError{What: "write"}
			}
			elect(t, node, timers)
			assert.Assert(t, !node.controller.leading(timers.Now()), "nothing shows that it leads")

			timers.Advance(test.late)
			node.mirror.Apply(written(lost, 2, timers.Now()))
			node.controller.elect(t.Context(), timers.Now())
			assert.Equal(t, node.controller.leading(timers.Now()), test.leads)
		})
	}
}

// TestLateWriteOfFormerLease has a first try to lead done when the node has
// another lease: the record goes with the first one, which nobody renews.
func TestLateWriteOfFormerLease(t *testing.T) {
	node, timers, store := electedNode(t)
	var first shedkeel.Change
	store.commit = func(change shedkeel.Change) (int64, error) {
		first = change
		return 0, &shedkeel.UnknownOutcomeError{What: "write"}
	}
	elect(t, node, timers)
	timers.Advance(2 * leaderTTL)
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	store.commit = func(shedkeel.Change) (int64, error) { return 0, &shedkeel.ConflictError{What: "lead"} }
	elect(t, node, timers)
	node.mirror.Apply(written(first, 2, timers.Now()))
	elect(t, node, timers)
	assert.Assert(t, !node.controller.leading(timers.Now()), "the record's lease is not the one that the node keeps")
}

// TestTermsEpochsAreUsedOnce has a leader's record vanish from its copy for a
// moment: the epochs of its term must not be given out again.
func TestTermsEpochsAreUsedOnce(t *testing.T) {
	node, timers, store := electedNode(t)
	var lead shedkeel.Change
	store.commit = func(change shedkeel.Change) (int64, error) {
		lead = change
		return 2, nil
	}
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	before := node.controller.nextEpoch()
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 3}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: leadKey, Revision: shedkeel.Revision{Number: 3}, Gone: true}}})
	assert.Assert(t, !node.controller.leading(timers.Now()))
	node.mirror.Apply(written(lead, 4, timers.Now()))
	node.controller.elect(t.Context(), timers.Now())
	assert.Assert(t, node.controller.leading(timers.Now()))
	assert.Assert(t, node.controller.nextEpoch() > before)
}

// TestLeadersLease shows that a leader leads for no longer than its own lease,
// however long it is listed.
func TestLeadersLease(t *testing.T) {
	node, timers, store := electedNode(t)
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	assert.Assert(t, node.controller.lease.ID() != node.member.lease.ID())
	timers.Advance(leaderTTL)
	assert.Assert(t, node.member.lease.valid(timers.Now()), "it is listed")
	assert.Assert(t, !node.controller.leading(timers.Now()), "its lease was not renewed")
	assert.Assert(t, node.controller.lease.renew(t.Context()))
	assert.Assert(t, node.controller.leading(timers.Now()), "it has the lease again")

	node.controller.resign()
	assert.DeepEqual(t, store.ended, []shedkeel.LeaseID{{Number: 2}})
	assert.Assert(t, !node.controller.leading(timers.Now()))
}

// TestFirstElectionIsOfFew has the nodes of a new fleet come to know each other within
// half a second, while what one writes is known to the others a quarter of a second
// later. Each knew few that came before it, and 88 of 142 tried to plan.
func TestFirstElectionIsOfFew(t *testing.T) {
	const (
		lag   = 250 * time.Millisecond
		tick  = 50 * time.Millisecond
		batch = 10 // nodes that are listed within a tick
	)
	all := fleetOf(100, 3)
	var nodes []*Node
	var clocks []*timer.Manual
	tries, winner := 0, shedkeel.NodeID("")
	var won mirror.Update
	for _, record := range all {
		node, timers := newListedNode(t, record.ID, nil)
		store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}}
		store.commit = func(change shedkeel.Change) (int64, error) {
			tries++
			if winner != "" {
				return 0, &shedkeel.ConflictError{}
			}
			winner, won = record.ID, written(change, 2, 0)
			return 2, nil
		}
		node.Store = store
		node.mirror.Apply(mirror.Update{Whole: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
		node.member.listed.Store(true)
		nodes, clocks = append(nodes, node), append(clocks, timers)
	}
	// The largest boxes are listed last.
	order := slices.Clone(all)
	slices.Reverse(order)
	wonAt := time.Duration(0)
	for now := time.Duration(0); now < 3*time.Second && (winner == "" || now < wonAt+lag); now += tick {
		known := slices.Clone(order[:min(len(order), batch*(1+int(now/tick)))])
		slices.SortFunc(known, compareNodes)
		for index, node := range nodes {
			if now < time.Duration(len(order)/batch)*tick {
				node.peers.update(known)
			}
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: clocks[index].Now()})
			node.controller.elect(t.Context(), clocks[index].Now())
			clocks[index].Advance(tick)
		}
		if winner != "" && wonAt == 0 {
			wonAt = now
		}
	}
	assert.Assert(t, len(won.Records) > 0)
	assert.Equal(t, winner, all[0].ID, "the largest box plans")
	assert.Equal(t, tries, 1)
}
