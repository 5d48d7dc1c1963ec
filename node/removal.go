package node

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// returnHold is for how long a server gets no requests after its removed record has
	// come back with an older copy of the key-value service. If the server has
	// terminated, its record is removed again within three heartbeats.
	returnHold = 5 * time.Second
	// removalKeep is for how long a removed server is remembered.
	removalKeep = time.Minute
)

// removal says that the record of a server was removed.
type removal struct {
	era   int64         // the era of the key-value service in which it was removed
	until time.Duration // when the removal is forgotten
	held  bool          // the record came back with an older copy; the server gets no requests until then
}

// removals are the backend servers whose records were removed recently. An older copy
// of the key-value service brings such records back, although the servers have
// terminated or are about to. The fleet's mutex guards them.
type removals map[shedkeel.InstanceID]removal

// note records that the record of a server was removed.
func (removals *removals) note(server shedkeel.InstanceID, era int64, now time.Duration) {
	if *removals == nil {
		*removals = map[shedkeel.InstanceID]removal{}
	}
	(*removals)[server] = removal{era: era, until: now + removalKeep}
}

// returned records that the server has a record in an era.
func (removals removals) returned(server shedkeel.InstanceID, era int64, now time.Duration) {
	known, removed := removals[server]
	switch {
	case !removed || known.held:
	case era > known.era:
		removals[server] = removal{era: era, until: now + returnHold, held: true}
	default:
		delete(removals, server) // the server is alive
	}
}

// withheld reports whether the server gets no requests although it has a record.
func (removals removals) withheld(server shedkeel.InstanceID) bool { return removals[server].held }

// expire forgets the removals whose time is over, and reports whether a server may get
// requests again.
func (removals removals) expire(now time.Duration) (free bool) {
	for server, removal := range removals {
		if now >= removal.until {
			delete(removals, server)
			free = free || removal.held
		}
	}
	return free
}
