// Package ratelimit shares the rate limits of backend servers among processes:
// what is known of the limits, and the permits that one process grants for all.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
)

// Book holds what is known of the rate limits of backend servers. The zero value
// is empty. It is safe for concurrent use.
type Book struct {
	mutex  sync.RWMutex
	limits map[shedkeel.InstanceID]shedkeel.ServerLimit
	inUse  atomic.Int64 // limits that are not lifted
}

// Idle reports whether no server is known to limit its rate.
func (book *Book) Idle() bool { return book.inUse.Load() == 0 }

// Observe takes in what an answer that came now says. The request was sent at that
// time: an answer without a limit proves only that there was none then. It returns
// what is known now, and whether that differs from before.
func (book *Book) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent, now time.Duration) (shedkeel.ServerLimit, bool) {
	if !limit.Stated {
		if book.Idle() {
			return shedkeel.ServerLimit{}, false
		}
		return book.Merge(shedkeel.ServerLimit{Server: server, Lifted: true, At: sent})
	}
	return book.Merge(shedkeel.ServerLimit{Server: server, Rate: limit.Rate, At: now, Since: now})
}

// Merge takes in what is known elsewhere. The newer statement counts. It returns
// what is known now, and whether that differs from before.
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
		book.count()
	}
	return limit, changed
}

// Limit returns what is known of a server, and whether it limits its rate.
func (book *Book) Limit(server shedkeel.InstanceID) (shedkeel.ServerLimit, bool) {
	book.mutex.RLock()
	defer book.mutex.RUnlock()
	limit, known := book.limits[server]
	return limit, known && !limit.Lifted
}

// All returns the servers that limit their rate, by name.
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

// Retain forgets the servers that are not listed any more.
func (book *Book) Retain(listed func(shedkeel.InstanceID) bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for server := range book.limits {
		if !listed(server) {
			delete(book.limits, server)
		}
	}
	book.count()
}

// count counts the limits in use. The mutex is held.
func (book *Book) count() {
	inUse := int64(0)
	for _, limit := range book.limits {
		if !limit.Lifted {
			inUse++
		}
	}
	book.inUse.Store(inUse)
}
