package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
)

const (
	// longTTL is how long a node of a large fleet is listed without a renewal.
	// Each renewal is a call to the service, and few callers are sent to a node
	// that is dead but still listed.
	longTTL = 4 * time.Second
	// shortTTL is the same in a small fleet, where the dead node's callers are
	// many: long enough for two renewals to fail.
	shortTTL = 1500 * time.Millisecond
	// smallFleet is up to how many nodes a fleet is small.
	smallFleet = 12
	// renewals is how often a lease is renewed in its time.
	renewals = 3
	// listedRetry is how long after a failed renewal the next one comes, if the
	// service has answered any node since; maxListedRetry is the same if it has
	// not. A call that fails costs ten times what a renewal does, and while the
	// service is away nothing is gained by it.
	listedRetry    = 500 * time.Millisecond
	maxListedRetry = 4 * time.Second
	// memberTick is how often a node looks whether its record has changed.
	memberTick = 20 * time.Millisecond
)

// membership keeps the node's record in the key-value service.
type membership struct {
	node    *Node
	lease   lease
	changed atomic.Bool // the record must be written again

	// Only the loop uses these.
	tried  time.Duration // when the service was called last; 0: never
	listed bool          // it answered, and the node is listed as it should be
}

// update has the record written again.
func (membership *membership) update() { membership.changed.Store(true) }

func (membership *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		membership.tick(ctx)
		timer.Sleep(ctx, memberTick)
	}
	membership.lease.end()
}

// tick renews what is due.
func (membership *membership) tick(ctx context.Context) {
	now := membership.node.Timers.Now()
	if !membership.due(now) {
		return
	}
	membership.tried = now
	membership.listed = membership.step(ctx)
}

// due reports whether it is time to call the service.
func (membership *membership) due(now time.Duration) bool {
	since := now - membership.tried
	switch {
	case membership.tried == 0:
		return true
	case membership.listed:
		return membership.changed.Load() || since >= membership.lease.ttl/renewals
	case membership.node.mirror.State().AsOf > membership.tried:
		return since >= listedRetry
	}
	return since >= maxListedRetry
}

// step renews the lease, or gets a new one, and writes the record if needed.
// It reports whether the node is listed as it should be.
func (membership *membership) step(ctx context.Context) bool {
	lease := &membership.lease
	if lease.ID() != 0 && !lease.renew(ctx) && lease.ID() != 0 {
		return false // the service does not answer
	}
	if ttl := membership.ttl(); lease.ID() == 0 || lease.ttl != ttl {
		lease.ttl = ttl // the former lease runs out when the record goes with a new one
		if !lease.grant(ctx) {
			return false
		}
		membership.changed.Store(true)
	}
	if !membership.changed.Swap(false) || membership.write(ctx) {
		return true
	}
	membership.changed.Store(true)
	return false
}

// ttl returns how long a node is to be listed without a renewal: as in a large
// fleet until it has found out how many there are.
func (membership *membership) ttl() time.Duration {
	if membership.lease.ID() != 0 && membership.node.fleet.nodeCount() <= smallFleet {
		return shortTTL
	}
	return longTTL
}

// record returns how the node describes itself.
func (node *Node) record() nodeRecord {
	return nodeRecord{
		ID: node.Settings.Node, Incarnation: node.Incarnation, Zone: node.Settings.Zone, Capacity: node.Settings.Capacity,
		Callers: node.Settings.Listen.Callers, Control: node.Settings.Listen.Control, Stopping: node.stopping.Load(),
	}
}

func (membership *membership) write(ctx context.Context) bool {
	node := membership.node
	value, err := json.Marshal(node.record())
	if err != nil {
		return true // it can never be written
	}
	put := shedkeel.Put{Key: nodePrefix + string(node.Settings.Node), Value: value, Lease: membership.lease.ID()}
	_, err = node.Store.Commit(ctx, shedkeel.Change{Put: []shedkeel.Put{put}})
	if err != nil {
		node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
	}
	return err == nil
}
