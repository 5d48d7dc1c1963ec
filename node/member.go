package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

const (
	// leaseTTL is how long a node counts as living without a renewal: long
	// enough for two renewals to fail, short enough that a successor of a
	// dead planner acts within two seconds.
	leaseTTL = 1500 * time.Millisecond
	// renewEvery is how often a lease is renewed.
	renewEvery = 500 * time.Millisecond
	// leaseMargin is what two clocks may drift apart over a lease, and what
	// an order takes to leave.
	leaseMargin = 300 * time.Millisecond
)

// membership keeps the node's record in the key-value service.
type membership struct {
	node    *Node
	lease   atomic.Int64 // 0: none
	until   atomic.Int64 // the lease lasts at least until then, on this node's clock
	changed atomic.Bool  // the record must be written again
}

// update has the record written again.
func (membership *membership) update() { membership.changed.Store(true) }

// valid reports whether the lease surely still lasts.
func (membership *membership) valid(now time.Duration) bool {
	return membership.lease.Load() != 0 && now < time.Duration(membership.until.Load())-leaseMargin
}

func (membership *membership) run(ctx context.Context) {
	next := time.Duration(0)
	for ctx.Err() == nil {
		now := membership.node.Timers.Now()
		if now >= next || membership.changed.Load() {
			next = now + renewEvery
			membership.step(ctx)
		}
		timer.Sleep(ctx, 20*time.Millisecond)
	}
	ending, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	if lease := membership.lease.Load(); lease != 0 {
		_ = membership.node.Store.Release(ending, shedkeel.LeaseID(lease)) // it runs out by itself
	}
}

// step renews the lease, or gets a new one, and writes the record if needed.
func (membership *membership) step(ctx context.Context) {
	lease := shedkeel.LeaseID(membership.lease.Load())
	sent := membership.node.Timers.Now()
	if lease != 0 {
		err := membership.node.Store.Renew(ctx, lease)
		var gone *shedkeel.LeaseGoneError
		switch {
		case err == nil:
			membership.until.Store(int64(sent + leaseTTL))
		case errors.As(err, &gone):
			membership.lease.Store(0)
			lease = 0
		default:
			membership.node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
			return
		}
	}
	if lease == 0 {
		granted, ttl, err := membership.node.Store.Grant(ctx, leaseTTL)
		if err != nil {
			membership.node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
			return
		}
		lease = granted
		membership.until.Store(int64(sent + min(ttl, leaseTTL)))
		membership.lease.Store(int64(granted))
		membership.changed.Store(true)
	}
	if membership.changed.Swap(false) && !membership.write(ctx, lease) {
		membership.changed.Store(true)
	}
}

// record returns how the node describes itself.
func (node *Node) record() nodeRecord {
	return nodeRecord{
		ID: node.Settings.Node, Incarnation: node.Incarnation, Zone: node.Settings.Zone, Capacity: node.Settings.Capacity,
		Callers: node.Settings.Listen.Callers, Control: node.Settings.Listen.Control, Stopping: node.stopping.Load(),
	}
}

func (membership *membership) write(ctx context.Context, lease shedkeel.LeaseID) bool {
	node := membership.node
	value, err := json.Marshal(node.record())
	if err != nil {
		return true // it can never be written
	}
	put := shedkeel.Put{Key: nodePrefix + string(node.Settings.Node), Value: value, Lease: lease}
	_, err = node.Store.Commit(ctx, shedkeel.Change{Put: []shedkeel.Put{put}})
	if err != nil {
		node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
	}
	return err == nil
}
