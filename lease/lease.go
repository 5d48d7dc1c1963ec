// Package lease is the core of leases that are kept as records of the
// key-value service: who holds one, since when, and until when the holder may
// act. It uses no clock of the service: a holder counts from before it sent
// its write, a contender from when it first saw the record.
package lease

import (
	"encoding/json"
	"time"

	"shedkeel.org/shedkeel"
)

// Record is the value of a lease's key.
type Record struct {
	Holder      shedkeel.NodeID `json:"holder"`
	Incarnation string          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"`      // grows with each change of holder
	Generation  uint64          `json:"generation"` // grows by one with each write
}

// Lease is one node's side of one lease. Methods must not be called at once.
type Lease struct {
	Node        shedkeel.NodeID
	Incarnation string
	TTL         time.Duration // how long a renewal lasts
	Margin      time.Duration // what clocks may drift apart over a TTL
	Renew       time.Duration // how often a holder renews

	revision shedkeel.Revision
	record   Record
	known    bool
	seen     time.Duration // when this revision was first seen here
	until    time.Duration // valid for this node until then
	sentAt   time.Duration // when the write in flight was sent
	inFlight bool
	renewed  time.Duration
	gained   time.Duration
	tenure   uint64 // the epoch that gained belongs to
	epoch    uint64 // highest ever seen, also when the service lost data
	newest   uint64 // highest generation ever seen
}

// Write is the compare-and-swap that a lease wants made.
type Write struct {
	Revision shedkeel.Revision
	Value    []byte
}

// Observe tells of the record's value at a revision, as read or spread at now.
// An older revision changes nothing. The zero value says that there is no record.
func (lease *Lease) Observe(revision shedkeel.Revision, value []byte, now time.Duration) error {
	if lease.known && !revision.After(lease.revision) {
		return nil
	}
	return lease.Reset(revision, value, now)
}

// Reset is Observe for a read that was made because a write met a conflict: it
// takes an older revision too, since the service may have been restored from
// older data.
func (lease *Lease) Reset(revision shedkeel.Revision, value []byte, now time.Duration) error {
	var record Record
	if revision.Exists() {
		if err := json.Unmarshal(value, &record); err != nil {
			return &shedkeel.InvalidError{Where: "lease record", What: err.Error(), Remedy: "delete the key or write a valid record"}
		}
	}
	if record.Holder != lease.Node || record.Incarnation != lease.Incarnation {
		lease.until = 0
	}
	lease.known = true
	lease.revision = revision
	lease.record = record
	lease.seen = now
	lease.remember(record)
	return nil
}

// Wanted returns the write that this node should make now, if any. A node of
// higher rank among the candidates tries sooner; rank 0 is the first.
func (lease *Lease) Wanted(now time.Duration, rank int) (Write, bool) {
	if !lease.known || lease.inFlight {
		return Write{}, false
	}
	next := Record{Holder: lease.Node, Incarnation: lease.Incarnation, Epoch: lease.record.Epoch, Generation: lease.newest + 1}
	switch {
	case lease.mine():
		if now-lease.renewed < lease.Renew {
			return Write{}, false
		}
	default:
		wait := lease.TTL + time.Duration(rank)*lease.Renew
		if !lease.revision.Exists() {
			wait = time.Duration(rank) * lease.Renew
		}
		if now-lease.seen < wait {
			return Write{}, false
		}
		next.Epoch = lease.epoch + 1
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Write{}, false
	}
	lease.inFlight = true
	lease.sentAt = now
	return Write{Revision: lease.revision, Value: value}, true
}

// Written tells that the write in flight took effect at the revision.
func (lease *Lease) Written(revision shedkeel.Revision, value []byte) {
	lease.inFlight = false
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return
	}
	if record.Epoch != lease.tenure {
		lease.gained = lease.sentAt
		lease.tenure = record.Epoch
	}
	lease.remember(record)
	lease.known = true
	lease.revision = revision
	lease.record = record
	lease.renewed = lease.sentAt
	lease.seen = lease.sentAt
	lease.until = lease.sentAt + lease.TTL - lease.Margin
}

// Failed tells that the write in flight did not take effect or may have. What
// holds is learned by the next Observe.
func (lease *Lease) Failed() {
	lease.inFlight = false
	lease.renewed = lease.sentAt
}

func (lease *Lease) remember(record Record) {
	lease.epoch = max(lease.epoch, record.Epoch)
	lease.newest = max(lease.newest, record.Generation)
}

// mine reports whether the record names this start of this node.
func (lease *Lease) mine() bool {
	return lease.revision.Exists() && lease.record.Holder == lease.Node && lease.record.Incarnation == lease.Incarnation
}

// Held reports whether this node may act as the holder for at least the given
// time from now on, and under which epoch.
func (lease *Lease) Held(now, atLeast time.Duration) (uint64, bool) {
	if !lease.mine() || now+atLeast >= lease.until {
		return 0, false
	}
	return lease.record.Epoch, true
}

// LapsedFor reports whether this node was the last holder that it knows of, and
// its lease ran out at least that long ago.
func (lease *Lease) LapsedFor(now, atLeast time.Duration) bool {
	return lease.mine() && now >= lease.until+atLeast
}

// HeldSince returns when the write was sent that first gained the lease.
func (lease *Lease) HeldSince() time.Duration { return lease.gained }

// Holder returns the record as last seen.
func (lease *Lease) Holder() Record { return lease.record }
