// Package lease is the state machine of a lease that is stored as a record in the
// key-value service: who holds it, since when, and until when the holder may act.
// It does not depend on the service's clock: a holder measures the TTL from before
// it sent its write, a contender from when it first saw the record.
//
// Times are on the node's own monotonic clock, as durations since any fixed point.
package lease

import (
	"encoding/json"
	"time"

	"shedkeel.org/shedkeel"
)

// Record is the JSON value of the lease's key.
type Record struct {
	Holder      shedkeel.NodeID `json:"holder"`
	Incarnation string          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"`      // increases with each change of holder
	Generation  uint64          `json:"generation"` // increases by one with each write
}

// Lease is one node's view of one lease. It is not safe for concurrent use.
type Lease struct {
	Node          shedkeel.NodeID
	Incarnation   string
	TTL           time.Duration // how long a write keeps the lease
	Margin        time.Duration // largest drift between two nodes' clocks over a TTL
	RenewInterval time.Duration // interval between renewals by the holder

	revision          shedkeel.Revision
	record            Record
	known             bool          // the record was read or written at least once
	observedAt        time.Duration // when this node first saw the revision
	validUntil        time.Duration // this node may act as the holder before then
	sentAt            time.Duration // when the last write was sent
	inFlight          bool
	lastWriteSentAt   time.Duration // when the last completed write was sent; the next renewal follows RenewInterval later
	gainedAt          time.Duration // when the write that acquired the lease was sent
	gainedEpoch       uint64        // the epoch to which gainedAt belongs
	highestEpoch      uint64        // highest epoch seen, including any that the service has lost since
	highestGeneration uint64        // highest generation seen, including any that the service has lost since
}

// Write is a compare-and-swap that the caller makes on the lease's key: the new value
// replaces the one at the revision.
type Write struct {
	Revision shedkeel.Revision
	Value    []byte
}

// Observe updates the lease with the record's value at a revision that this node
// read, or received from another node, at now. It ignores a revision that is not
// newer than the known one. The zero revision means that there is no record. The
// error is an InvalidError if the value is not a record.
func (lease *Lease) Observe(revision shedkeel.Revision, value []byte, now time.Duration) error {
	if lease.known && !revision.After(lease.revision) {
		return nil
	}
	return lease.Reset(revision, value, now)
}

// Reset does what Observe does, for a read that follows a write conflict. It also
// accepts an older revision, since the service may have been restored from a backup.
func (lease *Lease) Reset(revision shedkeel.Revision, value []byte, now time.Duration) error {
	var record Record
	if revision.Exists() {
		if err := json.Unmarshal(value, &record); err != nil {
			return &shedkeel.InvalidError{Where: "lease record", What: err.Error(), Remedy: "delete the key or write a valid record"}
		}
	}
	if record.Holder != lease.Node || record.Incarnation != lease.Incarnation {
		lease.validUntil = 0
	}
	lease.known = true
	lease.revision = revision
	lease.record = record
	lease.observedAt = now
	lease.trackHighest(record)
	return nil
}

// NextWrite returns the write that this node should make now, if any: a renewal by the
// holder, or an attempt to take a lease that does not exist or has not changed for a TTL. A
// candidate waits one more renewal interval for each rank above 0, so that rank 0 tries
// first. The caller reports the outcome by WriteSucceeded or WriteFailed.
func (lease *Lease) NextWrite(now time.Duration, rank int) (Write, bool) {
	if !lease.known || lease.inFlight {
		return Write{}, false
	}
	next := Record{Holder: lease.Node, Incarnation: lease.Incarnation, Epoch: lease.record.Epoch, Generation: lease.highestGeneration + 1}
	switch {
	case lease.heldByThisIncarnation():
		if now-lease.lastWriteSentAt < lease.RenewInterval {
			return Write{}, false
		}
	default:
		quietPeriod := lease.TTL + time.Duration(rank)*lease.RenewInterval
		if !lease.revision.Exists() {
			quietPeriod = time.Duration(rank) * lease.RenewInterval
		}
		if now-lease.observedAt < quietPeriod {
			return Write{}, false
		}
		next.Epoch = lease.highestEpoch + 1
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Write{}, false
	}
	lease.inFlight = true
	lease.sentAt = now
	return Write{Revision: lease.revision, Value: value}, true
}

// WriteSucceeded records that the write in flight succeeded: the key now has the value at
// the revision. The lease is valid for the TTL less the margin, counted from when the
// write was sent.
func (lease *Lease) WriteSucceeded(revision shedkeel.Revision, value []byte) {
	lease.inFlight = false
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return
	}
	if record.Epoch != lease.gainedEpoch {
		lease.gainedAt = lease.sentAt
		lease.gainedEpoch = record.Epoch
	}
	lease.trackHighest(record)
	lease.known = true
	lease.revision = revision
	lease.record = record
	lease.lastWriteSentAt = lease.sentAt
	lease.observedAt = lease.sentAt
	lease.validUntil = lease.sentAt + lease.TTL - lease.Margin
}

// WriteFailed records that the write in flight failed or that its outcome is unknown. The
// lease keeps its last known record until the next Observe or Reset.
func (lease *Lease) WriteFailed() {
	lease.inFlight = false
	lease.lastWriteSentAt = lease.sentAt
}

// trackHighest updates the highest epoch and generation seen.
func (lease *Lease) trackHighest(record Record) {
	lease.highestEpoch = max(lease.highestEpoch, record.Epoch)
	lease.highestGeneration = max(lease.highestGeneration, record.Generation)
}

// heldByThisIncarnation reports whether the last known record names this node and
// this incarnation of it. The lease may have expired.
func (lease *Lease) heldByThisIncarnation() bool {
	return lease.revision.Exists() && lease.record.Holder == lease.Node && lease.record.Incarnation == lease.Incarnation
}

// Held reports whether this node may act as the holder for at least the duration
// atLeast from now, and returns the lease's epoch if so.
func (lease *Lease) Held(now, atLeast time.Duration) (uint64, bool) {
	if !lease.heldByThisIncarnation() || now+atLeast >= lease.validUntil {
		return 0, false
	}
	return lease.record.Epoch, true
}

// ExpiredFor reports whether the last known record names this node as the holder and
// its lease expired at least the duration atLeast ago.
func (lease *Lease) ExpiredFor(now, atLeast time.Duration) bool {
	return lease.heldByThisIncarnation() && now >= lease.validUntil+atLeast
}

// HeldSince returns when this node sent the write that acquired the lease for the
// latest epoch in which this node was the holder.
func (lease *Lease) HeldSince() time.Duration { return lease.gainedAt }

// LastRecord returns the last known record.
func (lease *Lease) LastRecord() Record { return lease.record }
