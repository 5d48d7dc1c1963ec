// Package route chooses the target of a request, a replica group or backend server. It
// chooses a target that likely has the prompt's prefix cached unless that target is overloaded,
// otherwise the less loaded of two targets drawn at random. The time of a choice does not
// depend on the number of targets, unless the random draws find none that the request allows.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/member"
)

const (
	// DefaultBound is the load, as a multiple of the mean load of the usable targets, up to
	// which a target gets requests for prefixes that it likely has cached.
	DefaultBound = 1.25
	// prefixSlots is the number of slots to which prefix hashes are mapped. Requests whose
	// prefixes share a slot prefer the same targets.
	prefixSlots = 1024
	// targetsPerSlot is how many targets a slot has, in order of preference: the second
	// target gets the requests for which the first is overloaded, unusable or excluded.
	targetsPerSlot = 2
	// maxDraws bounds the random draws that look for two targets that the request allows.
	maxDraws = 16
)

// Target is a backend server, or a replica group that is addressed by its first member.
type Target struct {
	Name         string // of the group or server; the same in all epochs
	Address      string
	Assignment   shedkeel.Assignment
	UsableUntil  time.Duration // time from which requests must not be sent to the target any more
	ReportedLoad int           // load that the target reported, in requests; lags behind
	ReportedAt   time.Duration // time of the report of ReportedLoad
	Capacity     int           // requests that the target runs concurrently
}

// Router holds the targets of all services. The zero value has none; Random must be set
// before use. Its methods may be called concurrently.
type Router struct {
	Random shedkeel.Random
	Bound  float64 // replaces DefaultBound; zero: DefaultBound applies; negative: no prefix affinity

	mutex sync.Mutex
	pools map[shedkeel.ServiceID]*targetPool
}

// targetPool holds the targets of one service.
type targetPool struct {
	targets  []*target
	usable   []*target // targets that were usable at the last update
	slots    [prefixSlots][targetsPerSlot]*target
	inFlight int // requests of this process in flight, also at targets that are not usable or were removed
	load     int // sum of the loads of the usable targets, as of the last update
	capacity int // sum of the capacities of the usable targets
}

// target is a Target with the changes that this process made to its load.
type target struct {
	Target
	inFlight  int      // requests of this process in flight
	changes   []change // changes that the last report may not include
	changeSum int      // sum of the changes' deltas
}

// change is a change of a target's load that the target's last report may not include: a request
// was sent or has ended.
type change struct {
	at    time.Duration // when the request was sent or ended
	delta int           // 1: a request was sent; -1: a request has ended
}

// Choice is the target chosen for a request. The caller must call End once.
type Choice struct {
	Target
	Load int // estimated load of the target without this request

	router *Router
	pool   *targetPool
	target *target
}

// Update replaces the targets of a service. A target with the name of a former target keeps
// the count of its requests in flight, and those changes of its load that applyReport keeps.
func (router *Router) Update(service shedkeel.ServiceID, targets []Target, now time.Duration) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.pools == nil {
		router.pools = map[shedkeel.ServiceID]*targetPool{}
	}
	pool := router.pools[service]
	if pool == nil {
		pool = &targetPool{}
		router.pools[service] = pool
	}
	pool.update(targets, now)
}

// RetainServices drops all services that are not in the list.
func (router *Router) RetainServices(services []shedkeel.ServiceID) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for service := range router.pools {
		if !slices.Contains(services, service) {
			delete(router.pools, service)
		}
	}
}

// update replaces the targets, and computes the usable targets and their total load and capacity.
// It reassigns the slots if any target was added or removed.
func (targetPool *targetPool) update(targets []Target, now time.Duration) {
	previous := map[string]*target{}
	for _, target := range targetPool.targets {
		previous[target.Name] = target
	}
	sameTargets := len(targets) == len(targetPool.targets)
	next := make([]*target, 0, len(targets))
	for _, reported := range targets {
		updated := previous[reported.Name]
		if updated == nil {
			updated = &target{}
			sameTargets = false
		}
		updated.applyReport(reported)
		next = append(next, updated)
	}
	slices.SortFunc(next, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	targetPool.targets = next
	targetPool.usable = targetPool.usable[:0]
	targetPool.load = 0
	targetPool.capacity = 0
	for _, target := range next {
		if target.UsableUntil > now {
			targetPool.usable = append(targetPool.usable, target)
			targetPool.load += target.load()
			targetPool.capacity += target.Capacity
		}
	}
	if !sameTargets {
		targetPool.fillSlots()
	}
}

// applyReport replaces the target's description and drops the changes up to the time of
// the report, because the reported load includes them. If the assignment or the address
// differs from the former one, it drops all changes.
func (target *target) applyReport(reported Target) {
	if reported.Assignment != target.Assignment || reported.Address != target.Address {
		target.changes = nil
	}
	target.Target = reported
	target.changes = slices.DeleteFunc(target.changes, func(change change) bool { return change.at <= reported.ReportedAt })
	target.changeSum = 0
	for _, change := range target.changes {
		target.changeSum += change.delta
	}
}

// recordChange records that delta requests were added to the target's load, or removed if
// delta is negative.
func (target *target) recordChange(now time.Duration, delta int) {
	target.inFlight += delta
	target.changes = append(target.changes, change{at: now, delta: delta})
	target.changeSum += delta
}

// load estimates the target's load: the reported load, corrected by the requests that were
// sent and have ended since the report. It is at least the number of requests in flight
// from this process.
func (target *target) load() int {
	return max(target.ReportedLoad+target.changeSum, target.inFlight)
}

// fillSlots assigns targets to each slot by rendezvous hashing, so that a target that is
// added or removed moves few prefixes.
func (targetPool *targetPool) fillSlots() {
	for slot := range targetPool.slots {
		targetPool.slots[slot] = [targetsPerSlot]*target{}
		var best [targetsPerSlot]uint64
		for _, candidate := range targetPool.targets {
			score := member.Score(candidate.Name, string([]byte{byte(slot), byte(slot >> 8)}))
			for rank := range best {
				if targetPool.slots[slot][rank] == nil || score > best[rank] {
					copy(best[rank+1:], best[rank:])
					copy(targetPool.slots[slot][rank+1:], targetPool.slots[slot][rank:])
					best[rank] = score
					targetPool.slots[slot][rank] = candidate
					break
				}
			}
		}
	}
}

// Request describes the request that a target is chosen for.
type Request struct {
	Service  shedkeel.ServiceID
	Affinity uint64 // hash of the prompt's prefix; 0: no affinity
	Now      time.Duration
	Exclude  []string // names of targets that must not be chosen, such as those already tried
}

// Choose returns a target for the request, or a NotRunError if no target is usable or the
// request excludes all usable targets. It counts the request as in flight at the target.
func (router *Router) Choose(request Request) (*Choice, error) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	pool := router.pools[request.Service]
	if pool == nil || len(pool.usable) == 0 {
		return nil, &shedkeel.NotRunError{Reason: fmt.Sprintf("service %s has no whole group or server", request.Service), RetryAfter: retryAfterNoTarget}
	}
	chosen := router.chooseByPrefix(pool, request)
	if chosen == nil {
		chosen = router.chooseRandom(pool, request)
	}
	if chosen == nil {
		return nil, &shedkeel.NotRunError{Reason: fmt.Sprintf("service %s has no other whole group or server", request.Service), RetryAfter: retryAfterNoTarget}
	}
	choice := &Choice{Target: chosen.Target, Load: chosen.load(), router: router, pool: pool, target: chosen}
	chosen.recordChange(request.Now, 1)
	pool.inFlight++
	return choice, nil
}

// retryAfterNoTarget is the time after which callers should retry if Choose finds no target. A
// group is rarely formed again sooner.
const retryAfterNoTarget = 2 * time.Second

// allows reports whether the target is usable at Now and not excluded by the request. It returns
// false for a nil target.
func (request *Request) allows(target *target) bool {
	return target != nil && target.UsableUntil > request.Now && !slices.Contains(request.Exclude, target.Name)
}

// chooseByPrefix returns the first target of the prefix's slot that the request allows and whose
// load is at most one request above the bound times the mean load. Requests in flight since before
// the last update count in both pool.load and pool.inFlight, which raises the limit. It returns nil
// if there is no such target, no affinity or a negative Bound.
func (router *Router) chooseByPrefix(pool *targetPool, request Request) *target {
	bound := router.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	if request.Affinity == 0 || bound < 0 {
		return nil
	}
	mean := float64(pool.load+pool.inFlight) / float64(len(pool.usable))
	limit := int(bound*mean) + 1
	for _, candidate := range pool.slots[request.Affinity%prefixSlots] {
		if request.allows(candidate) && candidate.load() <= limit {
			return candidate
		}
	}
	return nil
}

// chooseRandom returns the less loaded of two different targets that the request allows, drawn
// at random. If maxDraws draws find only one such target, it returns that target. If they find
// none, it returns the first usable target, by name, that the request allows, or nil.
func (router *Router) chooseRandom(pool *targetPool, request Request) *target {
	var first *target
	for range maxDraws {
		drawn := pool.usable[router.Random.Uint64()%uint64(len(pool.usable))]
		switch {
		case !request.allows(drawn) || drawn == first:
		case first == nil:
			first = drawn
		case drawn.load() < first.load():
			return drawn
		default:
			return first
		}
	}
	if first != nil {
		return first
	}
	for _, candidate := range pool.usable {
		if request.allows(candidate) {
			return candidate
		}
	}
	return nil
}

// End records that the request has ended and is no longer in flight.
func (choice *Choice) End(now time.Duration) {
	choice.router.mutex.Lock()
	defer choice.router.mutex.Unlock()
	choice.target.recordChange(now, -1)
	choice.pool.inFlight--
}

// Load returns the number of requests in flight from this process to a service, and the total
// capacity and number of the service's targets that were usable at the last update.
func (router *Router) Load(service shedkeel.ServiceID) (inFlight, capacity, usable int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	pool := router.pools[service]
	if pool == nil {
		return 0, 0, 0
	}
	return pool.inFlight, pool.capacity, len(pool.usable)
}
