// Package ratelimit divides the rate limits of backend servers among the processes that send
// requests to them. Limits records the limits that servers state, and ColdServers the lower
// rates of servers that have started recently. Granter grants permits, each for one request:
// for each server, one process, the server's granter, grants the permits to all processes.
//
// Times are durations on the monotonic clock of shedkeel.Timers. Rates are in requests per
// second, over all processes together unless stated otherwise.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
)

// Limits holds the known rate limits of backend servers. The zero value is empty. It is
// safe for concurrent use.
type Limits struct {
	mutex  sync.RWMutex
	limits map[shedkeel.InstanceID]shedkeel.ServerLimit // including lifted ones
	inUse  atomic.Int64                                 // number of limits that are not lifted
}

// Idle reports whether no server is known to limit its rate.
func (limits *Limits) Idle() bool { return limits.inUse.Load() == 0 }

// Observe records what an answer received now states about the server's limit, and returns the
// known limit, and whether its Rate or Lifted changed. An answer without a limit only lifts one
// with an AsOf before sent, the time of the request; if no limit is in use, the result is empty.
// limit.Err must be nil: a limit that cannot be parsed would count as no limit.
func (limits *Limits) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent, now time.Duration) (shedkeel.ServerLimit, bool) {
	if !limit.Stated {
		if limits.Idle() {
			return shedkeel.ServerLimit{}, false
		}
		return limits.Merge(shedkeel.ServerLimit{Server: server, Lifted: true, AsOf: sent})
	}
	return limits.Merge(shedkeel.ServerLimit{Server: server, Rate: limit.Rate, AsOf: now, Since: now})
}

// Merge records a limit that may come from another process, in place of the known limit of the
// server. It ignores the limit if the known limit is as new or newer, or if the limit is lifted
// and none is known. If neither of the two limits is lifted, it keeps the earlier Since. It
// returns the limit that is known afterwards, and whether its Rate or Lifted changed.
func (limits *Limits) Merge(limit shedkeel.ServerLimit) (shedkeel.ServerLimit, bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	before, known := limits.limits[limit.Server]
	if !known && limit.Lifted || known && limit.AsOf <= before.AsOf {
		return before, false
	}
	if known && !before.Lifted && !limit.Lifted {
		limit.Since = min(limit.Since, before.Since)
	}
	if limits.limits == nil {
		limits.limits = map[shedkeel.InstanceID]shedkeel.ServerLimit{}
	}
	limits.limits[limit.Server] = limit
	changed := !known || before.Lifted != limit.Lifted || before.Rate != limit.Rate
	if changed {
		limits.updateInUse()
	}
	return limit, changed
}

// Limit returns the known limit of a server, and whether the limit is in use, that is, known
// and not lifted.
func (limits *Limits) Limit(server shedkeel.InstanceID) (shedkeel.ServerLimit, bool) {
	limits.mutex.RLock()
	defer limits.mutex.RUnlock()
	limit, known := limits.limits[server]
	return limit, known && !limit.Lifted
}

// All returns the limits in use, ordered by server.
func (limits *Limits) All() []shedkeel.ServerLimit {
	limits.mutex.RLock()
	defer limits.mutex.RUnlock()
	found := []shedkeel.ServerLimit{}
	for _, limit := range limits.limits {
		if !limit.Lifted {
			found = append(found, limit)
		}
	}
	slices.SortFunc(found, func(a, b shedkeel.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return found
}

// Retain removes the limits of the servers for which listed returns false.
func (limits *Limits) Retain(listed func(shedkeel.InstanceID) bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for server := range limits.limits {
		if !listed(server) {
			delete(limits.limits, server)
		}
	}
	limits.updateInUse()
}

// updateInUse recounts the limits in use. The caller must hold the mutex.
func (limits *Limits) updateInUse() {
	inUse := int64(0)
	for _, limit := range limits.limits {
		if !limit.Lifted {
			inUse++
		}
	}
	limits.inUse.Store(inUse)
}
