// Package ratelimit shares the rate limits of backend servers among processes. It keeps
// the limits that servers state, and grants permits: for each server, one process
// grants the permits of all processes.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
)

// Book holds the known rate limits of backend servers. The zero value is empty. It is
// safe for concurrent use.
type Book struct {
	mutex  sync.RWMutex
	limits map[shedkeel.InstanceID]shedkeel.ServerLimit // lifted ones too
	inUse  atomic.Int64                                 // limits that are not lifted
}

// Idle reports whether no server is known to limit its rate.
func (book *Book) Idle() bool { return book.inUse.Load() == 0 }

// Observe records what an answer that is received now states. Sent is when its request
// was sent: an answer without a limit proves only that there was none at that time. It
// returns the limit that is known now, and whether it has changed.
func (book *Book) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent, now time.Duration) (shedkeel.ServerLimit, bool) {
	if !limit.Stated {
		if book.Idle() {
			return shedkeel.ServerLimit{}, false
		}
		return book.Merge(shedkeel.ServerLimit{Server: server, Lifted: true, At: sent})
	}
	return book.Merge(shedkeel.ServerLimit{Server: server, Rate: limit.Rate, At: now, Since: now})
}

// Merge records a limit, possibly from another process. The newest statement of a server
// wins. It returns the limit that is known now, and whether it has changed.
func (book *Book) Merge(limit shedkeel.ServerLimit) (shedkeel.ServerLimit, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	before, known := book.limits[limit.Server]
	if !known && limit.Lifted || known && limit.At <= before.At {
		return before, false
	}
	if known && !before.Lifted && !limit.Lifted {
		limit.Since = min(limit.Since, before.Since)
	}
	if book.limits == nil {
		book.limits = map[shedkeel.InstanceID]shedkeel.ServerLimit{}
	}
	book.limits[limit.Server] = limit
	changed := !known || before.Lifted != limit.Lifted || before.Rate != limit.Rate
	if changed {
		book.updateInUse()
	}
	return limit, changed
}

// Limit returns the known limit of a server, and whether it is in use, that is, known
// and not lifted.
func (book *Book) Limit(server shedkeel.InstanceID) (shedkeel.ServerLimit, bool) {
	book.mutex.RLock()
	defer book.mutex.RUnlock()
	limit, known := book.limits[server]
	return limit, known && !limit.Lifted
}

// All returns the limits in use, ordered by server.
func (book *Book) All() []shedkeel.ServerLimit {
	book.mutex.RLock()
	defer book.mutex.RUnlock()
	found := []shedkeel.ServerLimit{}
	for _, limit := range book.limits {
		if !limit.Lifted {
			found = append(found, limit)
		}
	}
	slices.SortFunc(found, func(a, b shedkeel.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return found
}

// Retain removes the servers for which listed returns false.
func (book *Book) Retain(listed func(shedkeel.InstanceID) bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for server := range book.limits {
		if !listed(server) {
			delete(book.limits, server)
		}
	}
	book.updateInUse()
}

// updateInUse recounts the limits in use. The caller holds the mutex.
func (book *Book) updateInUse() {
	inUse := int64(0)
	for _, limit := range book.limits {
		if !limit.Lifted {
			inUse++
		}
	}
	book.inUse.Store(inUse)
}
