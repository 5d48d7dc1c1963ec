// Package contain finds requests that terminate servers: it records which servers have
// terminated (crashed or stopped) while they ran a request, and judges from the number of
// these servers whether the request may still be sent. It has no clock and sends nothing: its
// users exchange the records of their ledgers. Ledgers that have merged the same records reach
// the same judgments, whatever the order.
//
// A request stands for all requests with the same digest. A record is a shedkeel.Blame: the
// terminated servers of a request, each instance of a server separately, and the round of the
// request, which increases each time that the request is cleared.
package contain

import (
	"slices"
	"sync"
	"sync/atomic"

	"shedkeel.org/shedkeel"
)

const (
	// quarantineThreshold is the number of terminated servers from which a request is
	// quarantined. It is above 1 because a server runs tens of requests when it terminates,
	// most of which are harmless.
	quarantineThreshold = 2
	// containThreshold is the number of terminated servers from which a request is contained.
	// A harmless request that runs beside a harmful one may by chance run on a second server
	// that terminates, but rarely on a third.
	containThreshold = 3
	// maxRequests bounds the number of entries in a ledger.
	maxRequests = 4096
)

// Judge returns the judgment of a request by the number of servers that terminated while they
// ran the request.
func Judge(blame shedkeel.Blame) shedkeel.Judgment {
	switch count := len(blame.Servers); {
	case count >= containThreshold:
		return shedkeel.Contained
	case count >= quarantineThreshold:
		return shedkeel.Quarantined
	}
	return shedkeel.Unblamed
}

// Ledger records for each request which servers terminated while they ran the request. The
// zero value is empty. Its methods may be called concurrently.
type Ledger struct {
	mutex       sync.Mutex
	entries     map[shedkeel.RequestDigest]*entry
	useCount    uint64       // incremented with each use of an entry; orders entries for eviction
	withServers atomic.Int64 // number of entries with at least one terminated server recorded
}

// entry is the record of one request.
type entry struct {
	blame    shedkeel.Blame
	lastUsed uint64 // useCount when the entry was last used
}

// Idle reports whether no request has a terminated server recorded.
func (ledger *Ledger) Idle() bool { return ledger.withServers.Load() == 0 }

// Blame returns the record of a request, or an empty record if there is none. It counts as a
// use of the record, which delays the eviction of the record.
func (ledger *Ledger) Blame(request shedkeel.RequestDigest) shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entries[request]
	if entry == nil {
		return shedkeel.Blame{Request: request}
	}
	ledger.touch(entry)
	return entry.copy()
}

// All returns the records of all requests, including cleared ones.
func (ledger *Ledger) All() []shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var blames []shedkeel.Blame
	for _, entry := range ledger.entries {
		blames = append(blames, entry.copy())
	}
	return blames
}

// RecordFailure records that a server terminated while it ran a request, unless that server or
// containThreshold servers are recorded already. It returns the record of the request and
// whether the record changed.
func (ledger *Ledger) RecordFailure(request shedkeel.RequestDigest, server shedkeel.InstanceID) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entry(request)
	changed := ledger.addServers(entry, []shedkeel.InstanceID{server})
	return entry.copy(), changed
}

// Clear drops the servers recorded for a request and starts a new round, so that records
// of earlier rounds that arrive late have no effect. It returns the record before and after
// the change. If no servers are recorded, it changes nothing; both returned records then have no
// servers and Round 0, even if the stored record has a later round.
func (ledger *Ledger) Clear(request shedkeel.RequestDigest) (before, after shedkeel.Blame) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entries[request]
	if entry == nil || len(entry.blame.Servers) == 0 {
		return shedkeel.Blame{Request: request}, shedkeel.Blame{Request: request}
	}
	before = entry.copy()
	ledger.startRound(entry, entry.blame.Round+1)
	return before, entry.copy()
}

// Merge adds a record of another ledger. A record of a later round replaces the existing
// record, and a record of an earlier round is ignored. The servers of two records of the same
// round are combined, up to containThreshold. Merge returns the resulting record and whether
// the record changed. For an unknown request, it stores no record of round 0 without servers.
func (ledger *Ledger) Merge(other shedkeel.Blame) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.entries[other.Request] == nil && other.Round == 0 && len(other.Servers) == 0 {
		return other, false
	}
	entry := ledger.entry(other.Request)
	changed := false
	if other.Round > entry.blame.Round {
		ledger.startRound(entry, other.Round)
		changed = true
	}
	if other.Round == entry.blame.Round {
		changed = ledger.addServers(entry, other.Servers) || changed
	}
	return entry.copy(), changed
}

// addServers adds terminated servers, up to containThreshold in total, and reports whether the
// record changed. The caller must hold ledger.mutex.
func (ledger *Ledger) addServers(entry *entry, servers []shedkeel.InstanceID) bool {
	before := len(entry.blame.Servers)
	for _, server := range servers {
		place, found := slices.BinarySearch(entry.blame.Servers, server)
		if !found && len(entry.blame.Servers) < containThreshold {
			entry.blame.Servers = slices.Insert(entry.blame.Servers, place, server)
		}
	}
	if before == 0 && len(entry.blame.Servers) > 0 {
		ledger.withServers.Add(1)
	}
	return len(entry.blame.Servers) != before
}

// startRound sets the round of the entry and drops its servers. The caller must hold
// ledger.mutex.
func (ledger *Ledger) startRound(entry *entry, round uint32) {
	if len(entry.blame.Servers) > 0 {
		ledger.withServers.Add(-1)
	}
	entry.blame.Round, entry.blame.Servers = round, nil
}

// entry returns the entry of a request, and creates it if there is none. It counts as a use of
// the entry. The caller must hold ledger.mutex.
func (ledger *Ledger) entry(request shedkeel.RequestDigest) *entry {
	result := ledger.entries[request]
	if result == nil {
		ledger.evictIfFull()
		result = &entry{blame: shedkeel.Blame{Request: request}}
		ledger.entries[request] = result
	}
	ledger.touch(result)
	return result
}

// touch records a use of the entry. The caller must hold ledger.mutex.
func (ledger *Ledger) touch(entry *entry) {
	ledger.useCount++
	entry.lastUsed = ledger.useCount
}

// evictIfFull makes room for one entry: if the ledger is full, it evicts the least recently
// used of the entries with the fewest servers. It creates the map of entries at first use.
// The caller must hold ledger.mutex.
func (ledger *Ledger) evictIfFull() {
	if ledger.entries == nil {
		ledger.entries = map[shedkeel.RequestDigest]*entry{}
	}
	if len(ledger.entries) < maxRequests {
		return
	}
	var victim *entry
	for _, entry := range ledger.entries {
		if victim == nil || entry.evictBefore(victim) {
			victim = entry
		}
	}
	ledger.startRound(victim, victim.blame.Round) // subtracts the entry from ledger.withServers
	delete(ledger.entries, victim.blame.Request)
}

// evictBefore reports whether the entry is to be evicted rather than the other entry: it has
// fewer servers, or as many and was used less recently.
func (entry *entry) evictBefore(other *entry) bool {
	if own, others := len(entry.blame.Servers), len(other.blame.Servers); own != others {
		return own < others
	}
	return entry.lastUsed < other.lastUsed
}

// copy returns a copy of the record that shares no memory with the entry.
func (entry *entry) copy() shedkeel.Blame {
	blame := entry.blame
	blame.Servers = slices.Clone(blame.Servers)
	return blame
}
