package node

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// returnHold is for how long a server gets no requests whose record had gone and is
	// back since the key-value service came back from an older copy. The record goes
	// again within three heartbeats of a server that has ended.
	returnHold = 5 * time.Second
	// removalKeep is for how long a removed server is remembered.
	removalKeep = time.Minute
)

// removal is that the record of a server has gone.
type removal struct {
	era   int64 // of the key-value service
	until time.Duration
	held  bool // its record came back with an older copy, and it is not used until then
}

// removals are the backend servers whose records have gone lately. An older copy of the
// key-value service brings them back, though they have ended or are about to. The
// fleet's mutex guards them.
type removals map[shedkeel.InstanceID]removal

// note notes that the record of a server has gone.
func (removals *removals) note(server shedkeel.InstanceID, era int64, now time.Duration) {
	if *removals == nil {
		*removals = map[shedkeel.InstanceID]removal{}
	}
	(*removals)[server] = removal{era: era, until: now + removalKeep}
}

// returned notes that there is a record of the server in an era.
func (removals removals) returned(server shedkeel.InstanceID, era int64, now time.Duration) {
	known, removed := removals[server]
	switch {
	case !removed || known.held:
	case era > known.era:
		removals[server] = removal{era: era, until: now + returnHold, held: true}
	default:
		delete(removals, server) // it lives
	}
}

// withheld reports whether the server gets no requests, though it has a record.
func (removals removals) withheld(server shedkeel.InstanceID) bool { return removals[server].held }

// expire forgets what is over, and reports whether a server may be used again.
func (removals removals) expire(now time.Duration) (free bool) {
	for server, removal := range removals {
		if now >= removal.until {
			delete(removals, server)
			free = free || removal.held
		}
	}
	return free
}
