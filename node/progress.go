package node

import (
	"fmt"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// progressRetention is how long the progress of a server is remembered after its record was removed.
	progressRetention = time.Minute
	// maxWriteDelay is longer than the key-value service takes to do a write that it has not answered. A
	// server whose records have looked outdated for as long has started again under its name without stating so.
	maxWriteDelay = 10 * time.Second
)

// progress is how far a server has come, as its records tell. The key-value service may do a write late or return an older
// record in a restore, and other nodes hand on what they have. Records are therefore ordered by progress, not by
// arrival.
type progress struct {
	instance      shedkeel.InstanceID
	epoch         uint64               // the highest that the instance has stated
	sequence      int64                // orders that it had accepted
	member        *shedkeel.Membership // nil: it is in no group
	draining      bool
	removed       bool          // its record was removed since
	outdatedSince time.Duration // since when only outdated records have arrived; 0: none since the latest other one
}

// isAhead reports whether the record was written before this progress was made: by an earlier instance of the server, or
// before an order, a drain, the end of a join or a break of its group. If only one of the two states a start time, the record does not
// count as older.
func (known *progress) isAhead(record *shedkeel.Instance) bool {
	startedAt, knownStartedAt := record.ID.Born(), known.instance.Born()
	switch {
	case startedAt != knownStartedAt:
		return startedAt != 0 && startedAt < knownStartedAt
	case known.member != nil && epochOf(record) > known.epoch:
		return false // only a later order moves it from its group to one of a higher epoch
	case known.removed && (known.draining || record.Draining):
		return true // a server that drains ends
	case record.Sequence != known.sequence:
		return record.Sequence < known.sequence
	case known.draining != record.Draining:
		return known.draining
	case record.Member == nil:
		return false
	case known.member == nil:
		return known.epoch > 0 // it has left that group
	case record.Member.Epoch != known.member.Epoch:
		return record.Member.Epoch < known.member.Epoch
	}
	return isPassed(record.Member.State, known.member.State)
}

// isPassed reports whether a member in the later state can't come back to the earlier one without another order.
func isPassed(earlier, later shedkeel.MemberState) bool {
	return earlier != later && (earlier == shedkeel.MemberJoining || later == shedkeel.MemberBroken)
}

// advance records that the server has written the record, which is not older.
func (known *progress) advance(record *shedkeel.Instance) {
	epoch := epochOf(record)
	if known.instance == record.ID {
		epoch = max(epoch, known.epoch)
	}
	*known = progress{instance: record.ID, epoch: epoch, sequence: record.Sequence, member: record.Member, draining: record.Draining}
}

// epochOf returns the epoch of the server's membership, or 0 if it is in no group.
func epochOf(instance *shedkeel.Instance) uint64 {
	if instance.Member == nil {
		return 0
	}
	return instance.Member.Epoch
}

// checkProgress returns an error if a server's record is older than one that was applied before, unless no other
// records have arrived for maxWriteDelay. The caller holds the mutex.
func (fleet *fleet) checkProgress(key string, record *shedkeel.Instance, now time.Duration) error {
	known := fleet.progress[key]
	if known == nil || !known.isAhead(record) {
		return nil
	}
	if known.outdatedSince == 0 {
		known.outdatedSince = now
	}
	if now-known.outdatedSince >= maxWriteDelay {
		return nil
	}
	return &shedkeel.InvalidError{
		Where:  key,
		What:   fmt.Sprintf("it is older than the known record of the server: %s, order %d, epoch %d, after %s, order %d, epoch %d", record.ID, record.Sequence, epochOf(record), known.instance, known.sequence, known.epoch),
		Remedy: "none is needed: the server writes its record again",
	}
}

// recordProgress records what a server's record, which is not outdated, tells of its progress. The caller holds the mutex.
func (fleet *fleet) recordProgress(key string, record *shedkeel.Instance) {
	known := fleet.progress[key]
	if known == nil {
		known = &progress{}
		fleet.progress[key] = known
	}
	known.advance(record)
	delete(fleet.progressExpiry, key)
}

// recordEnd records that a server's record was removed. The caller holds the mutex.
func (fleet *fleet) recordEnd(key string, now time.Duration) {
	if known := fleet.progress[key]; known != nil {
		known.removed = true
		fleet.progressExpiry[key] = now + progressRetention
	}
}

// expireProgress forgets the progress of servers whose records were removed progressRetention ago. The caller holds the mutex.
func (fleet *fleet) expireProgress(now time.Duration) {
	for key, expiresAt := range fleet.progressExpiry {
		if now >= expiresAt {
			delete(fleet.progress, key)
			delete(fleet.progressExpiry, key)
		}
	}
}
