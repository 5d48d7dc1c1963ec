package dispatch

import (
	"math"
	"time"

	"shedkeel.org/shedkeel"
)

// scheduleShare is the part of the time between two permits after which Spread names
// the server again: a permit that nobody asks for is lost.
const scheduleShare = 0.8

// limit is a server's rate limit, as choices heed it. The permits themselves are
// granted elsewhere.
type limit struct {
	rate     float64       // requests a second from all processes
	heldTill time.Duration // no permit is free before
	next     time.Duration // when Spread may name the server again
}

// SetLimit notes that a server limits its rate, in requests a second, or that it
// does no longer.
func (table *Table) SetLimit(server shedkeel.InstanceID, rate float64, limited bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.limits == nil {
		table.limits = map[shedkeel.InstanceID]*limit{}
	}
	known := table.limits[server]
	switch {
	case !limited:
		delete(table.limits, server)
	case known != nil:
		known.rate = rate
	default:
		table.limits[server] = &limit{rate: rate}
	}
	for _, state := range table.servers {
		if state.Instance == server {
			state.limit = table.limits[server]
		}
	}
}

// Hold has no request sent to a server before that time, since no permit is free.
func (table *Table) Hold(server shedkeel.InstanceID, until time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known := table.limits[server]; known != nil {
		known.heldTill = max(known.heldTill, until)
	}
}

// NextPermit returns the server that limits its rate and is likely to have a permit
// for the request first, and whether there is one.
func (table *Table) NextPermit(query Query) (shedkeel.InstanceID, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var first *state
	for _, candidate := range table.pools[pool{query.Service, query.Model}] {
		if candidate.limit == nil || !candidate.usable(query) {
			continue
		}
		if first == nil || candidate.limit.heldTill < first.limit.heldTill {
			first = candidate
		}
	}
	if first == nil {
		return "", false
	}
	return first.Instance, true
}

// Take returns the choice of that very server, or nil when it may not be sent to.
func (table *Table) Take(query Query, server shedkeel.InstanceID) *Choice {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, candidate := range table.pools[pool{query.Service, query.Model}] {
		if candidate.Instance == server && candidate.usable(query) {
			return candidate.take(table, query)
		}
	}
	return nil
}

// held reports whether the server's limit keeps a request from it.
func (state *state) held(query Query) bool {
	return state.limit != nil && (query.Free || state.limit.heldTill > query.Now)
}

// places is how many requests the server runs at once, by its limit too.
func (state *state) places() int {
	if state.limit == nil {
		return state.Slots
	}
	byRate := int(math.Ceil(state.limit.rate * recentTime.Seconds()))
	return min(state.Slots, byRate)
}

// schedule notes that a request was given to the server.
func (limit *limit) schedule(now time.Duration) {
	if limit == nil {
		return
	}
	each := time.Minute // of a server that takes none
	if limit.rate > 0 {
		each = time.Duration(scheduleShare * float64(time.Second) / limit.rate)
	}
	limit.next = max(limit.next, now) + each
}

// scheduled reports whether the server has been given as much as it takes.
func (limit *limit) scheduled(now time.Duration) bool { return limit != nil && limit.next > now }
