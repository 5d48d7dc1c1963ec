package node

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// restoredServerHold is how long a server gets no requests after its removed record has
	// reappeared in a restored snapshot of the key-value service. The record of a terminated
	// server is removed again before the hold ends: within three heartbeats, which are at most
	// 1.2 s apart (see unreadableRecordHold).
	restoredServerHold = 5 * time.Second
	// removalRetention is how long the removal of a server's record is remembered.
	removalRetention = time.Minute
)

// removal describes the removal of a server's record.
type removal struct {
	era      int64         // the era of the key-value service in which the record was removed, or reappeared if withheld
	until    time.Duration // when the removal is forgotten, and a withheld server gets requests again
	withheld bool          // the record reappeared in a restored snapshot; the server gets no requests until the removal is forgotten
}

// removals are the recent removals of backend servers' records. If the key-value service
// is restored from a snapshot that is older than a removal, the record reappears although the
// server has terminated or is about to. The fleet's mutex guards the removals.
type removals map[shedkeel.InstanceID]removal

// recordRemoval records that the record of a server was removed.
func (removals *removals) recordRemoval(server shedkeel.InstanceID, era int64, now time.Duration) {
	if *removals == nil {
		*removals = map[shedkeel.InstanceID]removal{}
	}
	(*removals)[server] = removal{era: era, until: now + removalRetention}
}

// recordReturn handles the arrival of a server's record that was written or restored in the given
// era. If the record was removed in an earlier era, it may come from the restored snapshot, and
// the server is withheld for restoredServerHold. If it was removed in the same era, the server
// has written it again.
func (removals removals) recordReturn(server shedkeel.InstanceID, era int64, now time.Duration) {
	known, removed := removals[server]
	switch {
	case !removed || known.withheld:
	case era > known.era:
		removals[server] = removal{era: era, until: now + restoredServerHold, withheld: true}
	default:
		delete(removals, server) // the server is alive
	}
}

// withheld reports whether the server gets no requests although it is listed.
func (removals removals) withheld(server shedkeel.InstanceID) bool { return removals[server].withheld }

// expire forgets the removals that are due to be forgotten, and reports whether any of
// their servers was withheld and may now get requests again.
func (removals removals) expire(now time.Duration) (released bool) {
	for server, removal := range removals {
		if now >= removal.until {
			delete(removals, server)
			released = released || removal.withheld
		}
	}
	return released
}
