package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// leaseSafetyMargin covers the drift between this node's clock and the clock of the key-value
// service over a lease, and the time from the check of the lease until an order has been sent.
const leaseSafetyMargin = 300 * time.Millisecond

// lease is a lease of the key-value service that a node renews. When the lease expires, the
// key-value service deletes the records that were written with the lease.
type lease struct {
	node *Node
	ttl  time.Duration // lease time to ask for; the key-value service may grant less

	current atomic.Pointer[heldLease] // replaced as a whole; nil: none
}

// heldLease is a lease that the key-value service has granted, and until when it is certainly in force.
type heldLease struct {
	id         shedkeel.LeaseID
	ttl        time.Duration // granted
	validUntil time.Duration // lower bound of its expiry on this node's clock
}

// valid reports whether the lease is certainly still in force. It returns false if no lease is
// held, from leaseSafetyMargin before the lease's expiry on, and for a lease of an earlier era
// of the key-value service: that service was then restored from a snapshot, which may lack the
// lease.
func (lease *lease) valid(now time.Duration) bool {
	held := lease.current.Load()
	if held == nil || held.id.Era < lease.node.mirror.State().At.Era {
		return false
	}
	return now < held.validUntil-leaseSafetyMargin
}

// ID returns the ID that the key-value service gave the lease, or the zero value if there is
// no lease.
func (lease *lease) ID() shedkeel.LeaseID {
	if held := lease.current.Load(); held != nil {
		return held.id
	}
	return shedkeel.LeaseID{}
}

// held reports whether there is a lease that is not known to have expired.
func (lease *lease) held() bool { return lease.current.Load() != nil }

// renew renews the lease, if one is held, and reports whether that succeeded. It logs an error. If the
// key-value service reports that the lease has expired, the lease is no longer held. An answer that comes after another
// lease was granted has no effect on that one.
func (lease *lease) renew(ctx context.Context) bool {
	held := lease.current.Load()
	if held == nil {
		return false
	}
	sent := lease.node.Timers.Now()
	err := lease.node.Store.Renew(ctx, held.id)
	if err == nil {
		lease.current.CompareAndSwap(held, &heldLease{id: held.id, ttl: held.ttl, validUntil: sent + held.ttl})
		return true
	}
	var ended *shedkeel.LeaseEndedError
	if errors.As(err, &ended) {
		lease.current.CompareAndSwap(held, nil)
	}
	lease.node.Log.Write(event.LeaseRenewalFailed, slog.String("error", err.Error()))
	return false
}

// grant requests a new lease from the key-value service and reports whether that succeeded.
// It logs an error.
func (lease *lease) grant(ctx context.Context) bool {
	sent := lease.node.Timers.Now()
	granted, ttl, err := lease.node.Store.Grant(ctx, lease.ttl)
	if err != nil {
		lease.node.Log.Write(event.LeaseRenewalFailed, slog.String("error", err.Error()))
		return false
	}
	ttl = min(ttl, lease.ttl)
	lease.current.Store(&heldLease{id: granted, ttl: ttl, validUntil: sent + ttl})
	return true
}

// release releases the lease, if there is one. It waits for the key-value service for at most
// leaseSafetyMargin. Afterwards no lease is held, even if the call failed.
func (lease *lease) release() {
	held := lease.current.Swap(nil)
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseSafetyMargin)
	defer cancel()
	_ = lease.node.Store.Release(ctx, held.id) // on an error the lease expires by itself
}
