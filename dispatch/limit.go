package dispatch

import (
	"math"
	"time"

	"shedkeel.org/shedkeel"
)

// permitIntervalShare is the share of the time between two permits of a server after which
// Recommend recommends the server again. It is below 1, because a permit that no process
// requests is lost.
const permitIntervalShare = 0.8

// limit is the part of a server's rate limit that choices depend on. Package ratelimit grants
// the permits.
type limit struct {
	rate           float64       // requests per second of all processes
	heldUntil      time.Duration // no permit is available before this time
	nextAssignment time.Duration // when Recommend may recommend the server again
}

// SetLimit sets a server's rate limit in requests per second, or removes it if limited is
// false.
func (table *Table) SetLimit(server shedkeel.InstanceID, rate float64, limited bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.limits == nil {
		table.limits = map[shedkeel.InstanceID]*limit{}
	}
	existing := table.limits[server]
	switch {
	case !limited:
		delete(table.limits, server)
	case existing != nil:
		existing.rate = rate
	default:
		table.limits[server] = &limit{rate: rate}
	}
	for _, state := range table.servers {
		if state.Instance == server {
			state.limit = table.limits[server]
		}
	}
}

// HoldUntil keeps requests from a rate-limited server until the given time, because no
// permit is available before then. It does nothing for a server without a rate limit.
func (table *Table) HoldUntil(server shedkeel.InstanceID, until time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if limit := table.limits[server]; limit != nil {
		limit.heldUntil = max(limit.heldUntil, until)
	}
}

// NextPermit returns the usable rate-limited server that is likely to have a permit for the
// request first, and whether there is such a server.
func (table *Table) NextPermit(query Query) (shedkeel.InstanceID, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var earliest *serverState
	for _, candidate := range table.pools[poolKey{query.Service, query.Model}] {
		if candidate.limit == nil || !candidate.usable(query) {
			continue
		}
		if earliest == nil || candidate.limit.heldUntil < earliest.limit.heldUntil {
			earliest = candidate
		}
	}
	if earliest == nil {
		return "", false
	}
	return earliest.Instance, true
}

// ChooseServer chooses the given server for the request. It returns nil if the server is
// not usable. It does not check the rate limit.
func (table *Table) ChooseServer(query Query, server shedkeel.InstanceID) *Choice {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, candidate := range table.pools[poolKey{query.Service, query.Model}] {
		if candidate.Instance == server && candidate.usable(query) {
			return candidate.startChoice(table, query)
		}
	}
	return nil
}

// rateLimited reports whether the server's rate limit rules it out for the request now.
func (serverState *serverState) rateLimited(query Query) bool {
	return serverState.limit != nil && (query.UnlimitedOnly || serverState.limit.heldUntil > query.Now)
}

// concurrency is how many requests the server runs at once: its slots, or fewer if its rate
// limit admits fewer within the mean duration of a stream.
func (serverState *serverState) concurrency() int {
	if serverState.limit == nil {
		return serverState.Slots
	}
	byRate := int(math.Ceil(serverState.limit.rate * meanStreamDuration.Seconds()))
	return min(serverState.Slots, byRate)
}

// recordAssignment records that Recommend recommended the server for a request.
func (limit *limit) recordAssignment(now time.Duration) {
	if limit == nil {
		return
	}
	interval := time.Minute // if the rate is zero
	if limit.rate > 0 {
		interval = time.Duration(permitIntervalShare * float64(time.Second) / limit.rate)
	}
	limit.nextAssignment = max(limit.nextAssignment, now) + interval
}

// saturated reports whether Recommend has recommended the server as often as its rate
// admits.
func (limit *limit) saturated(now time.Duration) bool {
	return limit != nil && limit.nextAssignment > now
}
