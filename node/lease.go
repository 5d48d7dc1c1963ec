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

// leaseSafetyMargin is what two clocks may drift apart over a lease, and what an
// order takes to leave.
const leaseSafetyMargin = 300 * time.Millisecond

// lease is a lease of the key-value service that a node keeps. The records
// written with it go when it has not been renewed for its time.
type lease struct {
	node *Node
	ttl  time.Duration

	id         atomic.Pointer[shedkeel.LeaseID] // nil: none
	validUntil atomic.Int64                     // it lasts at least until then, on this node's clock
}

// valid reports whether the lease surely still lasts. It does not in another era of the
// service, whatever the clock says.
func (lease *lease) valid(now time.Duration) bool {
	if !lease.held() || lease.ID().Era < lease.node.mirror.State().At.Era {
		return false
	}
	return now < time.Duration(lease.validUntil.Load())-leaseSafetyMargin
}

// ID names the lease to the service.
func (lease *lease) ID() shedkeel.LeaseID {
	if id := lease.id.Load(); id != nil {
		return *id
	}
	return shedkeel.LeaseID{}
}

// held reports whether there is a lease that is not known to be over.
func (lease *lease) held() bool { return lease.id.Load() != nil }

// renew renews the lease and reports whether it lasts. One that is over is
// forgotten.
func (lease *lease) renew(ctx context.Context) bool {
	sent := lease.node.Timers.Now()
	err := lease.node.Store.Renew(ctx, lease.ID())
	if err == nil {
		lease.validUntil.Store(int64(sent + lease.ttl))
		return true
	}
	var gone *shedkeel.LeaseGoneError
	if errors.As(err, &gone) {
		lease.id.Store(nil)
	}
	lease.node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
	return false
}

// grant gets a new lease and reports whether it did.
func (lease *lease) grant(ctx context.Context) bool {
	sent := lease.node.Timers.Now()
	granted, ttl, err := lease.node.Store.Grant(ctx, lease.ttl)
	if err != nil {
		lease.node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
		return false
	}
	lease.validUntil.Store(int64(sent + min(ttl, lease.ttl)))
	lease.id.Store(&granted)
	return true
}

// end gives the lease up.
func (lease *lease) end() {
	if !lease.held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseSafetyMargin)
	defer cancel()
	_ = lease.node.Store.Release(ctx, lease.ID()) // it runs out by itself
	lease.id.Store(nil)
}
