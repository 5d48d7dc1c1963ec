package dispatch

import (
	"math"
	"time"

	"shedkeel.org/shedkeel"
)

// permitIntervalShare determines how often Recommend recommends a rate-limited server: once in
// this share of the time between two permits of the server. It is below 1, so that requests
// come slightly faster than permits, because a permit that no process requests is lost.
const permitIntervalShare = 0.8

// limit is the part of a server's rate limit that choices depend on. Package ratelimit grants
// the permits.
type limit struct {
	rate           float64       // requests per second of all processes
	heldUntil      time.Duration // no permit is available before this time, as HoldUntil has recorded
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

// HoldUntil keeps Choose from choosing a rate-limited server until the given time, because no
// permit is available before then. Of several calls, the latest time applies. HoldUntil does
// nothing for a server without a rate limit.
func (table *Table) HoldUntil(server shedkeel.InstanceID, until time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if limit := table.limits[server]; limit != nil {
		limit.heldUntil = max(limit.heldUntil, until)
	}
}

// NextPermit returns the usable rate-limited server that is likely to have a permit for the
// request first: the one whose time of HoldUntil is earliest. It returns false if no usable
// server of the query's service and model is rate-limited.
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

// ChooseServer chooses the given server for the request. It returns nil if the server is not
// usable or does not serve the query's service and model. It does not check the rate limit.
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

// rateLimited reports whether the server's rate limit rules the server out for the request:
// the request is only for servers without a limit, or HoldUntil holds the server now.
func (serverState *serverState) rateLimited(query Query) bool {
	return serverState.limit != nil && (query.UnlimitedOnly || serverState.limit.heldUntil > query.Now)
}

// concurrency is how many requests the server runs at once: its slots, or fewer if its rate
// limit admits fewer within the mean duration of a stream.
func (serverState *serverState) concurrency() int {
	if serverState.limit == nil {
		return serverState.Slots
	}
	byRate := int(math.Ceil(serverState.limit.rate * serverState.duration.value().Seconds()))
	return min(serverState.Slots, byRate)
}

// recordAssignment records that Recommend recommended the server for a request. It does
// nothing for a server without a rate limit.
func (limit *limit) recordAssignment(now time.Duration) {
	if limit == nil {
		return
	}
	interval := time.Minute // at a rate of zero: an occasional request shows whether the limit was lifted
	if limit.rate > 0 {
		interval = time.Duration(permitIntervalShare * float64(time.Second) / limit.rate)
	}
	limit.nextAssignment = max(limit.nextAssignment, now) + interval
}

// saturated reports whether Recommend has recommended the server as often as its rate limit
// and permitIntervalShare admit. A server without a rate limit is never saturated.
func (limit *limit) saturated(now time.Duration) bool {
	return limit != nil && limit.nextAssignment > now
}
