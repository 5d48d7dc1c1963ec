package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestListedByFleetSize checks that the lease of a node's record depends on the size of the
// fleet once the node knows the size: records have short leases in a small fleet, long leases
// in a larger fleet, and no leases from unleasedFrom nodes on.
func TestListedByFleetSize(t *testing.T) {
	cases := map[string]struct {
		nodes      int
		wantTTL    time.Duration // lease time that the node asks for in the end
		wantLease  int64         // number of the record's lease in the end; 0: no lease
		wantGrants int64         // number of leases that the node acquires
	}{
		"no node is listed":                 {0, largeFleetTTL, 1, 1}, // the node then assumes assumedNodes (16), more than maxSmallFleet
		"a small fleet":                     {9, smallFleetTTL, 2, 2},
		"the largest fleet with leases":     {unleasedFrom - 1, largeFleetTTL, 1, 1},
		"the smallest fleet without leases": {unleasedFrom, largeFleetTTL, 0, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			var lease shedkeel.LeaseID
			store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}, commit: func(change shedkeel.Transaction) (int64, error) {
				lease = change.Put[0].Lease
				return 2, nil // the revision of the write
			}}
			node.Store = store
			assert.Assert(t, node.member.step(t.Context()))
			assert.Equal(t, node.member.lease.ttl, largeFleetTTL, "the node knows no other node yet")
			node.fleet.nodes = map[string]nodeRecord{}
			for number := range test.nodes {
				node.fleet.nodes[fmt.Sprint(number)] = nodeRecord{}
			}
			for range 3 { // more steps than the move to another lease, or to none, takes
				assert.Assert(t, node.member.step(t.Context()))
			}
			assert.Equal(t, node.member.lease.ttl, test.wantTTL)
			assert.Equal(t, lease.Number, test.wantLease)
			assert.Equal(t, store.granted.Number, test.wantGrants, "more or fewer leases were acquired than needed")
		})
	}
}

// TestRenewalsInAnOutage makes renewals fail. A node must retry after maxRegistrationRetry while
// the key-value service answers no node. Once that service has answered any node, the node must
// retry at once, but not earlier than registrationRetry after the failure.
func TestRenewalsInAnOutage(t *testing.T) {
	cases := map[string]struct {
		answeredAfter  time.Duration // time from the failure until another node got an answer; 0: never
		wantRetryAfter time.Duration // time from the failure until the retry
	}{
		"the key-value service answers no node":                     {0, maxRegistrationRetry},
		"the key-value service answers another node after 10 ms":    {10 * time.Millisecond, registrationRetry},
		"the key-value service answers another node after a second": {time.Second, time.Second},
		"the key-value service answers another node after 200 ms":   {200 * time.Millisecond, registrationRetry},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}, commit: func(shedkeel.Transaction) (int64, error) { return 2, nil }} // 2: the write's revision
			node.Store = store
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
			node.member.tick(t.Context())                  // lists the node
			timers.Advance(largeFleetTTL / renewalsPerTTL) // the next renewal is due
			store.unavailable = true
			node.member.tick(t.Context())
			failedAt := timers.Now()
			calls := store.renewCalls
			for store.renewCalls == calls && timers.Now() < failedAt+time.Minute { // far longer than any retry delay
				timers.Advance(memberTick)
				if answeredAt := failedAt + test.answeredAfter; test.answeredAfter > 0 && timers.Now() >= answeredAt {
					node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: answeredAt})
				}
				node.member.tick(t.Context())
			}
			assert.Equal(t, timers.Now()-failedAt, test.wantRetryAfter)
		})
	}
}
