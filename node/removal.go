package node

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// restoredServerHold is for how long a server gets no requests after its removed record
	// has come back with an older copy of the key-value service. If the server has
	// terminated, its record is removed again within three heartbeats.
	restoredServerHold = 5 * time.Second
	// removalRetention is for how long a removed server is remembered.
	removalRetention = time.Minute
)

// removal says that the record of a server was removed.
type removal struct {
	era      int64         // the era of the key-value service in which it was removed
	until    time.Duration // when the removal is forgotten
	withheld bool          // the record came back with an older copy; the server gets no requests until the removal is forgotten
}

// removals are the backend servers whose records were removed recently. An older copy
// of the key-value service brings such records back, although the servers have
// terminated or are about to. The fleet's mutex guards them.
type removals map[shedkeel.InstanceID]removal

// recordRemoval records that the record of a server was removed.
func (removals *removals) recordRemoval(server shedkeel.InstanceID, era int64, now time.Duration) {
	if *removals == nil {
		*removals = map[shedkeel.InstanceID]removal{}
	}
	(*removals)[server] = removal{era: era, until: now + removalRetention}
}

// recordReturn processes that a server has a record in the given era. If the record was
// removed in an earlier era, an older copy may have brought it back: the server is
// withheld for restoredServerHold. If it was removed in this era, the server has written
// it again, and the removal is forgotten.
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

// withheld reports whether the server gets no requests although it has a record.
func (removals removals) withheld(server shedkeel.InstanceID) bool { return removals[server].withheld }

// expire forgets the removals whose time is over, and reports whether any of their
// servers was withheld and may get requests again.
func (removals removals) expire(now time.Duration) (released bool) {
	for server, removal := range removals {
		if now >= removal.until {
			delete(removals, server)
			released = released || removal.withheld
		}
	}
	return released
}
