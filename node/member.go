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
	// largeFleetTTL is the lease time of a node's record in a fleet of more than
	// maxSmallFleet nodes, as long as its records have leases (see unleasedFrom). A long
	// lease saves renewals, each of which is a call to the key-value service. A dead node
	// that is still listed gets only few of the callers, as there are many nodes.
	largeFleetTTL = 4 * time.Second
	// smallFleetTTL is the lease time in a small fleet, where a dead node gets a large share of
	// the callers. A lease of this time outlasts two failed renewals (see renewalsPerTTL).
	smallFleetTTL = 1500 * time.Millisecond
	// maxSmallFleet is the largest number of nodes of a small fleet.
	maxSmallFleet = 12
	// unleasedFrom is the smallest number of nodes at which the nodes' records have no
	// lease, except in a shrinking fleet (see returnToLeasesAt). The failure detector then
	// finds dead nodes; renewals would be most of the calls to the key-value service.
	unleasedFrom = 48
	// returnToLeasesAt is the number of nodes at which a shrinking fleet uses leases
	// again.
	returnToLeasesAt = unleasedFrom * 3 / 4
	// renewalsPerTTL is how many times a lease is renewed within its lease time.
	renewalsPerTTL = 3
	// registrationRetry is the delay after a failed call to the key-value service if that service
	// has answered any node since, else maxRegistrationRetry: a failed call costs ten times as
	// much as a renewal, and retries in an outage are useless. It is also the minimum time between
	// attempts to write a record without a lease that is not current in this node's copy.
	registrationRetry    = 500 * time.Millisecond
	maxRegistrationRetry = 4 * time.Second
	// nodeCountHintTTL is how long after its start a node uses the number of nodes that a
	// seed node or the record of the fleet's size reported.
	nodeCountHintTTL = 10 * time.Second
	// memberTick is how often a node checks whether its record must be written or the
	// record's lease renewed.
	memberTick = 20 * time.Millisecond
)

// membership maintains the node's record in the key-value service. In a large fleet (see
// needsNoLease) the record has no lease, and other nodes remove the record if this node is
// dead.
type membership struct {
	node          *Node
	lease         lease
	dirty         atomic.Bool   // the record must be written again
	nodeCountHint atomic.Int64  // number of nodes that a seed or the record of the fleet's size reported at the start; 0: none
	listed        atomic.Bool   // the last call of step succeeded: the key-value service has the record
	sequence      atomic.Uint64 // of the record that was written last
	unleased      atomic.Bool   // the record needs no lease: other nodes remove it if this node is dead

	startedAt atomic.Int64 // when tick was first called, as a time.Duration; 0: not yet

	lastAttempt time.Duration // when step was last called; 0: never. Only the goroutine of run uses it
}

// requestWrite makes the next tick write the record again.
func (membership *membership) requestWrite() { membership.dirty.Store(true) }

// run maintains the record until the context is canceled, and then releases the lease.
func (membership *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		membership.tick(ctx)
		timer.Sleep(ctx, memberTick)
	}
	membership.lease.release()
}

// tick calls step if a step is due.
func (membership *membership) tick(ctx context.Context) {
	now := membership.node.Timers.Now()
	membership.startedAt.CompareAndSwap(0, int64(now))
	if !membership.due(now) {
		return
	}
	membership.lastAttempt = now
	membership.step(ctx)
}

// due reports whether it is time to call step: to list the node, to try again after a
// failure, to write the record again, with or without a lease, or to renew the lease.
func (membership *membership) due(now time.Duration) bool {
	sinceAttempt := now - membership.lastAttempt
	state := membership.node.mirror.State()
	switch {
	case membership.lastAttempt == 0:
		return state.Known // a node without a copy can't serve callers, so it is not listed
	case !membership.listed.Load():
		return sinceAttempt >= membership.retryDelay(state.AsOf)
	case membership.dirty.Load() || membership.needsNoLease() != membership.unleased.Load():
		return true
	case sinceAttempt >= registrationRetry && !membership.isRecordCurrent():
		return true
	}
	return !membership.unleased.Load() && sinceAttempt >= membership.lease.ttl/renewalsPerTTL
}

// retryDelay returns the delay after a failed call of step. The argument is the latest time
// as of which the mirror's copy is known to be current: the key-value service has answered
// some node then or later.
func (membership *membership) retryDelay(lastAnswer time.Duration) time.Duration {
	if lastAnswer > membership.lastAttempt {
		return registrationRetry
	}
	return maxRegistrationRetry
}

// needsNoLease reports whether the fleet is so large that records have no lease and the
// failure detector alone finds dead nodes. A fleet that shrinks uses leases again only at
// returnToLeasesAt, so that a fleet near unleasedFrom does not switch back and forth.
func (membership *membership) needsNoLease() bool {
	nodes := max(membership.node.fleet.nodeCount(), membership.expectedNodes())
	if membership.unleased.Load() {
		return nodes > returnToLeasesAt
	}
	return nodes >= unleasedFrom
}

// expectedNodes returns the number of nodes that was reported at this node's start, when
// some of those nodes may not be listed yet. It returns 0 if no number was reported, or once
// nodeCountHintTTL has passed.
func (membership *membership) expectedNodes() int {
	if membership.node.Timers.Now()-time.Duration(membership.startedAt.Load()) >= nodeCountHintTTL {
		return 0
	}
	return int(membership.nodeCountHint.Load())
}

// step makes one attempt to list the node, or to keep it listed, with or without a lease as the
// fleet's size requires. It reports whether the attempt succeeded.
func (membership *membership) step(ctx context.Context) bool {
	unleased := membership.needsNoLease()
	membership.unleased.Store(unleased)
	var listed bool
	if unleased {
		listed = membership.keepUnleased(ctx)
	} else {
		listed = membership.keepLeased(ctx)
	}
	membership.listed.Store(listed)
	return listed
}

// keepUnleased writes the record without a lease and reports whether the key-value service
// has the record. It writes nothing if that service already has the record, for example from
// before this node restarted. The node forgets its former lease. The record is written
// without that lease, so the record stays when the lease expires.
func (membership *membership) keepUnleased(ctx context.Context) bool {
	membership.lease.current.Store(nil)
	membership.dirty.Store(false)
	return membership.isRecordCurrent() || membership.writeRecord(ctx)
}

// isRecordCurrent reports whether the key-value service has the current record, with the lease that is renewed, as far as
// this node's copy shows. The incarnation may differ.
func (membership *membership) isRecordCurrent() bool {
	record := membership.node.mirror.Get(membership.key())
	if !record.Revision.Exists() {
		return false
	}
	var listed nodeRecord
	return membership.node.fleet.decodeRecord(record, &listed) == nil && listed.statesSame(membership.node.ownRecord())
}

// key returns the key of the node's record.
func (membership *membership) key() string {
	return nodePrefix + string(membership.node.Settings.Node)
}

// keepLeased renews the lease, or acquires a new one, and writes the record if the key-value service lacks it or has
// another one, for example because it has done an earlier write late. It reports whether the key-value service has the record with a lease in force.
func (membership *membership) keepLeased(ctx context.Context) bool {
	lease := &membership.lease
	if lease.held() && !lease.renew(ctx) && lease.held() {
		return false // the renewal failed, but the lease may still be in force
	}
	if ttl := membership.targetTTL(); !lease.held() || lease.ttl != ttl {
		lease.ttl = ttl // the record moves to the new lease, and the former lease expires
		if !lease.grant(ctx) {
			return false
		}
	}
	if !membership.dirty.Swap(false) && membership.isRecordCurrent() {
		return true
	}
	return membership.writeRecord(ctx)
}

// targetTTL returns the lease time to request. A node without a lease may not know the
// fleet's size yet, so it uses largeFleetTTL.
func (membership *membership) targetTTL() time.Duration {
	if membership.lease.held() && membership.node.fleet.nodeCount() <= maxSmallFleet {
		return smallFleetTTL
	}
	return largeFleetTTL
}

// ownRecord returns the record that this node publishes, in its present state, but for its sequence.
func (node *Node) ownRecord() nodeRecord {
	lease := node.member.lease.ID()
	return nodeRecord{
		ID: node.Settings.Node, Incarnation: node.Incarnation, Zone: node.Settings.Zone, Capacity: node.Settings.Capacity,
		Callers: node.Settings.Listen.Callers, Control: node.Settings.Listen.Control, Gossip: node.Settings.Listen.Gossip, Stopping: node.stopping.Load(), Watched: node.member.unleased.Load(), Lease: lease.Number, Era: lease.Era,
	}
}

// commitRecord writes the record and returns the revision of the write. If the record needs no
// lease, commitRecord first asks the node that this node follows to write it together with the
// records of other nodes. A stopping node always writes its record itself, because it can't wait
// for other nodes.
func (membership *membership) commitRecord(ctx context.Context, put shedkeel.Put) (shedkeel.Revision, error) {
	node := membership.node
	if membership.unleased.Load() && !node.stopping.Load() {
		if followed, _ := node.peers.choose().(*peer); followed != nil {
			if revision, err := followed.register(ctx, put.Value); err == nil {
				return revision, nil
			}
		}
	}
	return node.Store.Commit(ctx, shedkeel.Transaction{Put: []shedkeel.Put{put}})
}

// writeRecord writes the record and reports whether that succeeded. After a success it
// applies the record to the mirror, after a failure it logs the error and requests another
// write.
func (membership *membership) writeRecord(ctx context.Context) bool {
	node := membership.node
	record := node.ownRecord()
	record.Sequence = membership.sequence.Add(1)
	value, err := json.Marshal(record)
	if err != nil {
		return true // never happens: the record can always be encoded
	}
	put := shedkeel.Put{Key: membership.key(), Value: value, Lease: shedkeel.LeaseID{Era: record.Era, Number: record.Lease}}
	revision, err := membership.commitRecord(ctx, put)
	if err != nil {
		membership.dirty.Store(true)
		node.Log.Write(event.LeaseRenewalFailed, slog.String("error", err.Error()))
		return false
	}
	node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: put.Key, Value: value, Revision: revision}))
	return true
}
