// Package contain decides which requests are sent to no server any more because
// servers end under them. It has no clock and sends nothing: processes tell each
// other what their ledgers hold, and ledgers that were told the same agree,
// whatever the order.
package contain

import (
	"slices"
	"sync"
	"sync/atomic"

	"shedkeel.org/shedkeel"
)

const (
	// quarantinedFrom is under how many ended servers a request is quarantined. Under
	// one there are tens of requests when it ends.
	quarantinedFrom = 2
	// containedFrom is under how many it is contained. A request that ran beside
	// one that ends servers meets a second one that ends, and rarely a third.
	containedFrom = 3
	// maxRequests bounds how many requests are remembered.
	maxRequests = 4096
)

// Judge returns what becomes of a request by what is held against it.
func Judge(blame shedkeel.Blame) shedkeel.Judgment {
	switch count := len(blame.Servers); {
	case count >= containedFrom:
		return shedkeel.Contained
	case count >= quarantinedFrom:
		return shedkeel.Quarantined
	}
	return shedkeel.Unblamed
}

// Ledger holds what is held against requests. The zero value is empty.
type Ledger struct {
	mutex   sync.Mutex
	entries map[shedkeel.RequestDigest]*entry
	turn    uint64       // grows with each use
	blamed  atomic.Int64 // entries with servers
}

type entry struct {
	blame shedkeel.Blame
	used  uint64 // the turn in which it was last used
}

// Idle reports whether nothing is held against any request.
func (ledger *Ledger) Idle() bool { return ledger.blamed.Load() == 0 }

// Blame returns what is held against a request.
func (ledger *Ledger) Blame(request shedkeel.RequestDigest) shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known := ledger.entries[request]
	if known == nil {
		return shedkeel.Blame{Request: request}
	}
	ledger.use(known)
	return known.copy()
}

// All returns what is held against all requests, cleared ones among them.
func (ledger *Ledger) All() []shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var found []shedkeel.Blame
	for _, known := range ledger.entries {
		found = append(found, known.copy())
	}
	return found
}

// Ended notes that a server ended under a request. It returns what is held against
// it now, and whether that is news.
func (ledger *Ledger) Ended(request shedkeel.RequestDigest, server shedkeel.InstanceID) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known := ledger.entry(request)
	changed := ledger.add(known, []shedkeel.InstanceID{server})
	return known.copy(), changed
}

// Clear drops what is held against a request. It returns what was.
func (ledger *Ledger) Clear(request shedkeel.RequestDigest) (before, now shedkeel.Blame) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known := ledger.entries[request]
	if known == nil || len(known.blame.Servers) == 0 {
		return shedkeel.Blame{Request: request}, shedkeel.Blame{Request: request}
	}
	before = known.copy()
	ledger.raise(known, known.blame.Round+1)
	return before, known.copy()
}

// Merge takes in what another ledger holds against a request. It returns what is
// held against it now, and whether that is news.
func (ledger *Ledger) Merge(other shedkeel.Blame) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.entries[other.Request] == nil && other.Round == 0 && len(other.Servers) == 0 {
		return other, false
	}
	known := ledger.entry(other.Request)
	changed := false
	if other.Round > known.blame.Round {
		ledger.raise(known, other.Round)
		changed = true
	}
	if other.Round == known.blame.Round {
		changed = ledger.add(known, other.Servers) || changed
	}
	return known.copy(), changed
}

// add adds servers that ended, as many as are needed for a judgment. The mutex is
// held.
func (ledger *Ledger) add(known *entry, servers []shedkeel.InstanceID) bool {
	before := len(known.blame.Servers)
	for _, server := range servers {
		place, found := slices.BinarySearch(known.blame.Servers, server)
		if !found && len(known.blame.Servers) < containedFrom {
			known.blame.Servers = slices.Insert(known.blame.Servers, place, server)
		}
	}
	if before == 0 && len(known.blame.Servers) > 0 {
		ledger.blamed.Add(1)
	}
	return len(known.blame.Servers) != before
}

// raise begins a round in which nothing is held against the request. The mutex is
// held.
func (ledger *Ledger) raise(known *entry, round uint32) {
	if len(known.blame.Servers) > 0 {
		ledger.blamed.Add(-1)
	}
	known.blame.Round, known.blame.Servers = round, nil
}

// entry returns the entry of a request, a new one if there is none. The mutex is
// held.
func (ledger *Ledger) entry(request shedkeel.RequestDigest) *entry {
	known := ledger.entries[request]
	if known == nil {
		ledger.makeRoom()
		known = &entry{blame: shedkeel.Blame{Request: request}}
		ledger.entries[request] = known
	}
	ledger.use(known)
	return known
}

func (ledger *Ledger) use(known *entry) {
	ledger.turn++
	known.used = ledger.turn
}

// makeRoom forgets the request that was used longest ago of those with the mildest
// judgment, if there are too many. The mutex is held.
func (ledger *Ledger) makeRoom() {
	if ledger.entries == nil {
		ledger.entries = map[shedkeel.RequestDigest]*entry{}
	}
	if len(ledger.entries) < maxRequests {
		return
	}
	var oldest *entry
	for _, known := range ledger.entries {
		if oldest == nil || known.before(oldest) {
			oldest = known
		}
	}
	ledger.raise(oldest, oldest.blame.Round)
	delete(ledger.entries, oldest.blame.Request)
}

// before reports whether the entry is forgotten before another one.
func (known *entry) before(other *entry) bool {
	if own, others := len(known.blame.Servers), len(other.blame.Servers); own != others {
		return own < others
	}
	return known.used < other.used
}

func (known *entry) copy() shedkeel.Blame {
	blame := known.blame
	blame.Servers = slices.Clone(blame.Servers)
	return blame
}
