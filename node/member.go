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
	// largeFleetTTL is how long a node of a large fleet is listed without a renewal.
	// Each renewal is a call to the service, and few callers are sent to a node
	// that is dead but still listed.
	largeFleetTTL = 4 * time.Second
	// smallFleetTTL is the same in a small fleet, where the dead node's callers are
	// many: long enough for two renewals to fail.
	smallFleetTTL = 1500 * time.Millisecond
	// maxSmallFleet is up to how many nodes a fleet is small.
	maxSmallFleet = 12
	// watchedFrom is from how many nodes on their records need no lease: others
	// find out who is dead, and renewals would be most of the calls to the service.
	watchedFrom = 48
	// returnToLeasesAt is down to how many nodes it stays so.
	returnToLeasesAt = watchedFrom * 3 / 4
	// renewalsPerTTL is how often a lease is renewed in its time.
	renewalsPerTTL = 3
	// listedRetry is how long after a failed renewal the next one comes, if the
	// service has answered any node since; maxListedRetry is the same if it has
	// not. A call that fails costs ten times what a renewal does, and while the
	// service is away nothing is gained by it.
	listedRetry    = 500 * time.Millisecond
	maxListedRetry = 4 * time.Second
	// hintTime is for how long after its start a node takes the word of a seed for
	// how many nodes there are.
	hintTime = 10 * time.Second
	// memberTick is how often a node looks whether its record has changed.
	memberTick = 20 * time.Millisecond
)

// membership keeps the node's record in the key-value service: with a lease, or
// in a large fleet without one, where others remove that of a dead node.
type membership struct {
	node    *Node
	lease   lease
	dirty   atomic.Bool  // the record must be written again
	hint    atomic.Int64 // how many nodes there are, as a seed told at the start
	listed  atomic.Bool  // the service answered, and the node is listed as it should be
	watched atomic.Bool  // the record needs no lease

	startedAt atomic.Int64 // when the node started, as a time.Duration; 0: not noted yet

	lastAttempt time.Duration // when the service was called last; 0: never. Only the loop uses it
}

// requestWrite has the record written again.
func (membership *membership) requestWrite() { membership.dirty.Store(true) }

func (membership *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		membership.tick(ctx)
		timer.Sleep(ctx, memberTick)
	}
	membership.lease.end()
}

// tick does what is due.
func (membership *membership) tick(ctx context.Context) {
	now := membership.node.Timers.Now()
	membership.startedAt.CompareAndSwap(0, int64(now))
	if !membership.due(now) {
		return
	}
	membership.lastAttempt = now
	membership.step(ctx)
}

// due reports whether it is time to call the service.
func (membership *membership) due(now time.Duration) bool {
	since := now - membership.lastAttempt
	state := membership.node.mirror.State()
	switch {
	case membership.lastAttempt == 0:
		return state.Known // callers are sent to no node that knows nothing
	case !membership.listed.Load():
		return since >= membership.retryDelay(state.AsOf)
	case membership.dirty.Load() || membership.needsNoLease() != membership.watched.Load():
		return true
	case membership.watched.Load():
		return !membership.isRecordCurrent() && since >= listedRetry
	}
	return since >= membership.lease.ttl/renewalsPerTTL
}

// retryDelay is how long after a failure the service is called again, if it was seen
// to answer anybody then.
func (membership *membership) retryDelay(answered time.Duration) time.Duration {
	if answered > membership.lastAttempt {
		return listedRetry
	}
	return maxListedRetry
}

// needsNoLease reports whether the fleet is so large that its nodes watch each
// other.
func (membership *membership) needsNoLease() bool {
	nodes := max(membership.node.fleet.nodeCount(), membership.expectedNodes())
	if membership.watched.Load() {
		return nodes > returnToLeasesAt
	}
	return nodes >= watchedFrom
}

// expectedNodes returns how many nodes there are at least, as a seed told at the start: not
// all of them may be listed yet. It is 0 some time later.
func (membership *membership) expectedNodes() int {
	if membership.node.Timers.Now()-time.Duration(membership.startedAt.Load()) >= hintTime {
		return 0
	}
	return int(membership.hint.Load())
}

// step makes the node listed, by what its fleet needs, and reports whether it is.
func (membership *membership) step(ctx context.Context) bool {
	watched := membership.needsNoLease()
	membership.watched.Store(watched)
	var listed bool
	if watched {
		listed = membership.keepUnleased(ctx)
	} else {
		listed = membership.keepLeased(ctx)
	}
	membership.listed.Store(listed)
	return listed
}

// keepUnleased writes the record unless it stands as it should, as after a
// restart. A former lease runs out when the record goes without it.
func (membership *membership) keepUnleased(ctx context.Context) bool {
	membership.lease.id.Store(nil)
	membership.dirty.Store(false)
	return membership.isRecordCurrent() || membership.writeRecord(ctx)
}

// isRecordCurrent reports whether the service has the record as it should be, as far as
// is known here.
func (membership *membership) isRecordCurrent() bool {
	record := membership.node.mirror.Get(membership.key())
	if !record.Revision.Exists() {
		return false
	}
	var listed nodeRecord
	return membership.node.fleet.read(record, &listed) == nil && listed.equalsExceptIncarnation(membership.node.ownRecord())
}

func (membership *membership) key() string {
	return nodePrefix + string(membership.node.Settings.Node)
}

// keepLeased renews the lease, or gets a new one, and writes the record if
// needed.
func (membership *membership) keepLeased(ctx context.Context) bool {
	lease := &membership.lease
	if lease.held() && !lease.renew(ctx) && lease.held() {
		return false // the service does not answer
	}
	if ttl := membership.targetTTL(); !lease.held() || lease.ttl != ttl {
		lease.ttl = ttl // the former lease runs out when the record goes with a new one
		if !lease.grant(ctx) {
			return false
		}
		membership.dirty.Store(true)
	}
	return !membership.dirty.Swap(false) || membership.writeRecord(ctx)
}

// targetTTL returns how long a node is to be listed without a renewal: as in a large
// fleet until it has found out how many there are.
func (membership *membership) targetTTL() time.Duration {
	if membership.lease.held() && membership.node.fleet.nodeCount() <= maxSmallFleet {
		return smallFleetTTL
	}
	return largeFleetTTL
}

// ownRecord returns how the node describes itself.
func (node *Node) ownRecord() nodeRecord {
	return nodeRecord{
		ID: node.Settings.Node, Incarnation: node.Incarnation, Zone: node.Settings.Zone, Capacity: node.Settings.Capacity,
		Callers: node.Settings.Listen.Callers, Control: node.Settings.Listen.Control, Gossip: node.Settings.Listen.Gossip, Stopping: node.stopping.Load(), Watched: node.member.watched.Load(),
	}
}

// commitRecord writes the record: in a large fleet by the node that this one follows, which
// writes those of others with it, or itself where there is none or that fails. A node
// that stops can't wait.
func (membership *membership) commitRecord(ctx context.Context, put shedkeel.Put) (shedkeel.Revision, error) {
	node := membership.node
	if membership.watched.Load() && !node.stopping.Load() {
		if followed, _ := node.peers.choose().(*peer); followed != nil {
			if revision, err := followed.register(ctx, put.Value); err == nil {
				return revision, nil
			}
		}
	}
	return node.Store.Commit(ctx, shedkeel.Change{Put: []shedkeel.Put{put}})
}

// writeRecord writes the record and reports whether it was. One that was not is
// written again.
func (membership *membership) writeRecord(ctx context.Context) bool {
	node := membership.node
	value, err := json.Marshal(node.ownRecord())
	if err != nil {
		return true // it can never be written
	}
	put := shedkeel.Put{Key: membership.key(), Value: value, Lease: membership.lease.ID()}
	revision, err := membership.commitRecord(ctx, put)
	if err != nil {
		membership.dirty.Store(true)
		node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
		return false
	}
	node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: put.Key, Value: value, Revision: revision}))
	return true
}
