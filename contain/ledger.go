// Package contain finds what terminates servers: requests that are sent again and again, by their
// digests, and parts of prompts that many requests share. It judges whether requests of such a
// subject may still be sent. It sends nothing: its users exchange the records of their ledgers, and
// ledgers that have merged the same records judge alike, whatever the order.
//
// A record is a shedkeel.Blame: the servers that have terminated (crashed or stopped) while they ran
// requests of a subject, and the round of the subject, which increases each time that it is cleared.
//
// A part is suspected when a server has terminated while it ran a request with the part, unless an
// answer to another request has proven the part harmless. Suspects are tried, one request at a time,
// until an answer clears them or they are shown to be the cause (see PartDetector.Conclude).
package contain

import (
	"slices"
	"sync"
	"sync/atomic"

	"shedkeel.org/shedkeel"
)

const (
	// quarantineThreshold is the number of terminated servers from which a digest is
	// quarantined. It is above 1 because a server runs tens of requests when it terminates,
	// most of which are harmless. Parts are quarantined from the first server on: nearly all of
	// them are known to be harmless, and are not recorded.
	quarantineThreshold = 2
	// containThreshold is the number of terminated servers from which a digest is contained.
	// A harmless request that runs beside a harmful one may by chance run on a second server
	// that terminates, but rarely on a third. Parts need as many, and the proof of
	// PartDetector.Conclude.
	containThreshold = 3
	// maxPartServers bounds the servers in the record of a part. It is above containThreshold,
	// so that the servers that a contained part explains do not count against others.
	maxPartServers = 8
	// maxSubjects bounds the number of entries in a ledger.
	maxSubjects = 4096
)

// Judge returns the judgment of a subject by its record alone.
func Judge(blame shedkeel.Blame) shedkeel.Judgment {
	return judge(blame, len(blame.Servers))
}

// judge returns the judgment of a subject if the given number of servers in its record count.
func judge(blame shedkeel.Blame, count int) shedkeel.Judgment {
	if _, _, isPart := blame.Subject.Part(); isPart {
		switch {
		case blame.Contained:
			return shedkeel.Contained
		case count > 0:
			return shedkeel.Quarantined
		}
		return shedkeel.Unblamed
	}
	switch {
	case count >= containThreshold:
		return shedkeel.Contained
	case count >= quarantineThreshold:
		return shedkeel.Quarantined
	}
	return shedkeel.Unblamed
}

// maxServers returns how many servers the record of a subject may have.
func maxServers(subject shedkeel.Subject) int {
	if _, _, isPart := subject.Part(); isPart {
		return maxPartServers
	}
	return containThreshold
}

// Ledger records for each subject which servers terminated while they ran its requests. The
// zero value is empty. Its methods may be called concurrently.
type Ledger struct {
	mutex       sync.Mutex
	entries     map[shedkeel.Subject]*entry
	explained   map[shedkeel.InstanceID]bool // servers in the records of contained parts
	useCount    uint64                       // incremented with each use of an entry; orders entries for eviction
	withServers atomic.Int64                 // number of entries with at least one terminated server recorded
}

// entry is the record of one subject.
type entry struct {
	blame    shedkeel.Blame
	lastUsed uint64 // useCount when the entry was last used
}

// Idle reports whether no subject has a terminated server recorded.
func (ledger *Ledger) Idle() bool { return ledger.withServers.Load() == 0 }

// Judge returns the judgment of a subject. Servers that a contained part has terminated do not
// count against other subjects. It counts as a use of the record.
func (ledger *Ledger) Judge(subject shedkeel.Subject) shedkeel.Judgment {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entries[subject]
	if entry == nil {
		return shedkeel.Unblamed
	}
	ledger.touch(entry)
	count := len(entry.blame.Servers)
	if len(ledger.explained) > 0 && !entry.blame.Contained {
		for _, server := range entry.blame.Servers {
			if ledger.explained[server] {
				count--
			}
		}
	}
	return judge(entry.blame, count)
}

// Blame returns the record of a subject, or an empty record if there is none. It counts as a
// use of the record, which delays the eviction of the record.
func (ledger *Ledger) Blame(subject shedkeel.Subject) shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entries[subject]
	if entry == nil {
		return shedkeel.Blame{Subject: subject}
	}
	ledger.touch(entry)
	return entry.copy()
}

// All returns the records of all subjects, including cleared ones.
func (ledger *Ledger) All() []shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var blames []shedkeel.Blame
	for _, entry := range ledger.entries {
		blames = append(blames, entry.copy())
	}
	return blames
}

// parts returns the records of the parts of prompts under which servers have terminated.
func (ledger *Ledger) parts() []shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var blames []shedkeel.Blame
	for subject, entry := range ledger.entries {
		if _, _, isPart := subject.Part(); isPart && len(entry.blame.Servers) > 0 {
			blames = append(blames, entry.copy())
		}
	}
	return blames
}

// RecordFailure records that a server terminated while it ran a request of a subject, unless
// that server or the maximum of servers are recorded already. It returns the record of the
// subject and whether the record changed.
func (ledger *Ledger) RecordFailure(subject shedkeel.Subject, server shedkeel.InstanceID) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entry(subject)
	changed := ledger.addServers(entry, []shedkeel.InstanceID{server})
	return entry.copy(), changed
}

// Contain records that a part of prompts terminates servers. It returns the record of the part and
// whether the record changed.
func (ledger *Ledger) Contain(part shedkeel.Subject) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entry(part)
	changed := !entry.blame.Contained
	entry.blame.Contained = true
	ledger.explain()
	return entry.copy(), changed
}

// Release starts a new round in which a contained part is quarantined, and one more server that
// terminates under it suffices to contain it again. It returns the record of the part.
func (ledger *Ledger) Release(part shedkeel.Subject) shedkeel.Blame {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entry(part)
	entry.blame.Round++
	entry.blame.Contained = false
	if len(entry.blame.Servers) >= containThreshold {
		entry.blame.Servers = entry.blame.Servers[:containThreshold-1]
	}
	ledger.explain()
	return entry.copy()
}

// Clear drops the servers recorded for a subject and starts a new round, so that records
// of earlier rounds that arrive late have no effect. It returns the record before and after
// the change. If no servers are recorded, it changes nothing; both returned records then have no
// servers and Round 0, even if the stored record has a later round.
func (ledger *Ledger) Clear(subject shedkeel.Subject) (before, after shedkeel.Blame) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	entry := ledger.entries[subject]
	if entry == nil || len(entry.blame.Servers) == 0 {
		return shedkeel.Blame{Subject: subject}, shedkeel.Blame{Subject: subject}
	}
	before = entry.copy()
	ledger.startRound(entry, entry.blame.Round+1)
	return before, entry.copy()
}

// Merge adds a record of another ledger. A record of a later round replaces the existing
// record, and a record of an earlier round is ignored. The servers of two records of the same
// round are combined, up to the maximum. Merge returns the resulting record and whether
// the record changed. For an unknown subject, it stores no record of round 0 without servers.
func (ledger *Ledger) Merge(other shedkeel.Blame) (shedkeel.Blame, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.entries[other.Subject] == nil && other.Round == 0 && len(other.Servers) == 0 {
		return other, false
	}
	entry := ledger.entry(other.Subject)
	changed := false
	if other.Round > entry.blame.Round {
		ledger.startRound(entry, other.Round)
		changed = true
	}
	if other.Round == entry.blame.Round {
		changed = ledger.addServers(entry, other.Servers) || changed
		if since := entry.blame.Since; since.IsZero() || !other.Since.IsZero() && other.Since.Before(since) {
			entry.blame.Since = other.Since
		}
		entry.blame.WasHarmless = entry.blame.WasHarmless || other.WasHarmless
		if other.Contained && !entry.blame.Contained {
			entry.blame.Contained, changed = true, true
		}
		if entry.blame.Contained && changed {
			ledger.explain()
		}
	}
	return entry.copy(), changed
}

// addServers adds terminated servers, up to maxServers in total, and reports whether the
// record changed. The caller must hold ledger.mutex.
func (ledger *Ledger) addServers(entry *entry, servers []shedkeel.InstanceID) bool {
	before := len(entry.blame.Servers)
	for _, server := range servers {
		place, found := slices.BinarySearch(entry.blame.Servers, server)
		if !found && len(entry.blame.Servers) < maxServers(entry.blame.Subject) {
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
	wasContained := entry.blame.Contained
	entry.blame = shedkeel.Blame{Subject: entry.blame.Subject, Round: round}
	if wasContained {
		ledger.explain()
	}
}

// explain recomputes the servers that contained parts have terminated. The caller must hold
// ledger.mutex.
func (ledger *Ledger) explain() {
	ledger.explained = nil
	for _, entry := range ledger.entries {
		if !entry.blame.Contained {
			continue
		}
		for _, server := range entry.blame.Servers {
			if ledger.explained == nil {
				ledger.explained = map[shedkeel.InstanceID]bool{}
			}
			ledger.explained[server] = true
		}
	}
}

// entry returns the entry of a subject, and creates it if there is none. It counts as a use of
// the entry. The caller must hold ledger.mutex.
func (ledger *Ledger) entry(subject shedkeel.Subject) *entry {
	result := ledger.entries[subject]
	if result == nil {
		ledger.evictIfFull()
		result = &entry{blame: shedkeel.Blame{Subject: subject}}
		ledger.entries[subject] = result
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
		ledger.entries = map[shedkeel.Subject]*entry{}
	}
	if len(ledger.entries) < maxSubjects {
		return
	}
	var victim *entry
	for _, entry := range ledger.entries {
		if victim == nil || entry.evictBefore(victim) {
			victim = entry
		}
	}
	delete(ledger.entries, victim.blame.Subject)
	ledger.startRound(victim, victim.blame.Round) // subtracts the entry from ledger.withServers
}

// evictBefore reports whether the entry is to be evicted rather than the other entry: it is the only
// one of both that is not contained, or has fewer servers, or as many and was used less recently.
func (entry *entry) evictBefore(other *entry) bool {
	own, others := Judge(entry.blame) == shedkeel.Contained, Judge(other.blame) == shedkeel.Contained
	if own != others {
		return others
	}
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
