package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// renewStore answers renewals when told to.
type renewStore struct {
	leaseStore
	began  chan struct{}
	answer chan error
}

func (store *renewStore) Renew(context.Context, shedkeel.LeaseID) error {
	store.began <- struct{}{}
	return <-store.answer
}

// TestLateRenewalIsOfItsLease guards against the answer to a renewal that arrives after another lease was granted: it
// must neither end that lease nor prolong it. A node that counts as the leader for longer than its lease may give orders
// beside its successor.
func TestLateRenewalIsOfItsLease(t *testing.T) {
	for name, answer := range map[string]error{"renewed": nil, "ended": &shedkeel.LeaseEndedError{}} {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			store := &renewStore{began: make(chan struct{}), answer: make(chan error)}
			node.Store = store
			lease := &lease{node: node, ttl: time.Second}
			assert.Assert(t, lease.grant(t.Context()))
			done := make(chan bool)
			go func() { done <- lease.renew(t.Context()) }()
			<-store.began
			timers.Advance(100 * time.Millisecond)
			lease.ttl = 2 * time.Second
			assert.Assert(t, lease.grant(t.Context()))
			store.answer <- answer
			<-done
			assert.Equal(t, lease.ID().Number, int64(2))
			timers.Advance(2*time.Second - leaseSafetyMargin - 1)
			assert.Assert(t, lease.valid(timers.Now()))
			timers.Advance(1)
			assert.Assert(t, !lease.valid(timers.Now()))
		})
	}
}
