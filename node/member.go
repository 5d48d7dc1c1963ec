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
	// watchedFrom is from how many nodes on their records need no lease: others
	// find out who is dead, and renewals would be most of the calls to the service.
	watchedFrom = 48
	// watchedUntil is down to how many nodes it stays so.
	watchedUntil = watchedFrom * 3 / 4
	// renewals is how often a lease is renewed in its time.
	renewals = 3
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
	changed atomic.Bool  // the record must be written again
	hint    atomic.Int64 // how many nodes there are, as a seed told at the start
	listed  atomic.Bool  // the service answered, and the node is listed as it should be
	watched atomic.Bool  // the record needs no lease

	began atomic.Int64 // when the node started, as a time.Duration; 0: not noted yet

	tried time.Duration // when the service was called last; 0: never. Only the loop uses it
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

// tick does what is due.
func (membership *membership) tick(ctx context.Context) {
	now := membership.node.Timers.Now()
	membership.began.CompareAndSwap(0, int64(now))
	if !membership.due(now) {
		return
	}
	membership.tried = now
	membership.step(ctx)
}

// due reports whether it is time to call the service.
func (membership *membership) due(now time.Duration) bool {
	since := now - membership.tried
	state := membership.node.mirror.State()
	switch {
	case membership.tried == 0:
		return state.Known // callers are sent to no node that knows nothing
	case !membership.listed.Load():
		return since >= membership.retry(state.AsOf)
	case membership.changed.Load() || membership.fleetWatches() != membership.watched.Load():
		return true
	case membership.watched.Load():
		return !membership.stands() && since >= listedRetry
	}
	return since >= membership.lease.ttl/renewals
}

// retry is how long after a failure the service is called again, if it was seen
// to answer anybody then.
func (membership *membership) retry(answered time.Duration) time.Duration {
	if answered > membership.tried {
		return listedRetry
	}
	return maxListedRetry
}

// fleetWatches reports whether the fleet is so large that its nodes watch each
// other.
func (membership *membership) fleetWatches() bool {
	nodes := max(membership.node.fleet.nodeCount(), membership.expected())
	if membership.watched.Load() {
		return nodes > watchedUntil
	}
	return nodes >= watchedFrom
}

// expected returns how many nodes there are at least, as a seed told at the start: not
// all of them may be listed yet. It is 0 some time later.
func (membership *membership) expected() int {
	if membership.node.Timers.Now()-time.Duration(membership.began.Load()) >= hintTime {
		return 0
	}
	return int(membership.hint.Load())
}

// step makes the node listed, by what its fleet needs, and reports whether it is.
func (membership *membership) step(ctx context.Context) bool {
	watched := membership.fleetWatches()
	membership.watched.Store(watched)
	var listed bool
	if watched {
		listed = membership.stepWatched(ctx)
	} else {
		listed = membership.stepLeased(ctx)
	}
	membership.listed.Store(listed)
	return listed
}

// stepWatched writes the record unless it stands as it should, as after a
// restart. A former lease runs out when the record goes without it.
func (membership *membership) stepWatched(ctx context.Context) bool {
	membership.lease.id.Store(nil)
	membership.changed.Store(false)
	return membership.stands() || membership.write(ctx)
}

// stands reports whether the service has the record as it should be, as far as
// is known here.
func (membership *membership) stands() bool {
	record := membership.node.mirror.Get(membership.key())
	if !record.Revision.Exists() {
		return false
	}
	var listed nodeRecord
	return membership.node.fleet.read(record, &listed) == nil && listed.same(membership.node.record())
}

func (membership *membership) key() string {
	return nodePrefix + string(membership.node.Settings.Node)
}

// stepLeased renews the lease, or gets a new one, and writes the record if
// needed.
func (membership *membership) stepLeased(ctx context.Context) bool {
	lease := &membership.lease
	if lease.held() && !lease.renew(ctx) && lease.held() {
		return false // the service does not answer
	}
	if ttl := membership.ttl(); !lease.held() || lease.ttl != ttl {
		lease.ttl = ttl // the former lease runs out when the record goes with a new one
		if !lease.grant(ctx) {
			return false
		}
		membership.changed.Store(true)
	}
	return !membership.changed.Swap(false) || membership.write(ctx)
}

// ttl returns how long a node is to be listed without a renewal: as in a large
// fleet until it has found out how many there are.
func (membership *membership) ttl() time.Duration {
	if membership.lease.held() && membership.node.fleet.nodeCount() <= smallFleet {
		return shortTTL
	}
	return longTTL
}

// record returns how the node describes itself.
func (node *Node) record() nodeRecord {
	return nodeRecord{
		ID: node.Settings.Node, Incarnation: node.Incarnation, Zone: node.Settings.Zone, Capacity: node.Settings.Capacity,
		Callers: node.Settings.Listen.Callers, Control: node.Settings.Listen.Control, Gossip: node.Settings.Listen.Gossip, Stopping: node.stopping.Load(), Watched: node.member.watched.Load(),
	}
}

// commit writes the record: in a large fleet by the node that this one follows, which
// writes those of others with it, or itself where there is none or that fails. A node
// that stops can't wait.
func (membership *membership) commit(ctx context.Context, put shedkeel.Put) (shedkeel.Revision, error) {
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

// write writes the record and reports whether it was. One that was not is
// written again.
func (membership *membership) write(ctx context.Context) bool {
	node := membership.node
	value, err := json.Marshal(node.record())
	if err != nil {
		return true // it can never be written
	}
	put := shedkeel.Put{Key: membership.key(), Value: value, Lease: membership.lease.ID()}
	revision, err := membership.commit(ctx, put)
	if err != nil {
		membership.changed.Store(true)
		node.Log.Write(event.LeaseRenewFail, slog.String("error", err.Error()))
		return false
	}
	node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: put.Key, Value: value, Revision: revision}))
	return true
}
