// Package route chooses the backend server for each request: the group that
// likely holds the prompt's prefix if it is not overloaded, else the less
// loaded of two picked at random. A choice takes the same time whatever the
// number of groups.
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
	// DefaultBound is how much more than the mean load a group may have and
	// still get a request for its prefix.
	DefaultBound = 1.25
	// slotCount is how many parts the space of prefixes is cut into.
	slotCount = 1024
	// slotChoices is how many groups stand in for each other for one part.
	slotChoices = 2
	// drawLimit bounds how many draws look for a usable group.
	drawLimit = 16
)

// Target is one backend server, or one group behind its first member, that a
// request can be sent to.
type Target struct {
	Name       string // of the group or the server; stays the same over epochs
	Address    string
	Assignment shedkeel.Assignment
	Until      time.Duration // usable until then
	Reported   int           // load that it reported, with a lag
	AsOf       time.Duration // when it was reported
	Capacity   int           // requests that it runs at once
}

// Router holds the targets of all services. The zero value chooses among no
// targets; Random must be set before use. Its methods may be called at once.
type Router struct {
	Random shedkeel.Random
	Bound  float64 // zero: DefaultBound; negative: no prefix affinity

	mutex sync.Mutex
	pools map[shedkeel.ServiceID]*pool
}

// pool is the targets of one service.
type pool struct {
	targets  []*target
	usable   []*target
	slots    [slotCount][slotChoices]*target
	inFlight int
	reported int // sum over the usable
	capacity int // sum over the usable
}

type target struct {
	Target
	inFlight int
	changes  []change // since the report
	changed  int      // sum of the changes
}

// change is a request sent or ended, which a report may not have counted yet.
type change struct {
	at time.Duration
	by int
}

// Choice is a target that was chosen for a request. End must be called once.
type Choice struct {
	Target
	Load int // estimated on the target before this request

	router *Router
	pool   *pool
	target *target
}

// Update replaces the targets of a service. What is in flight to a target that
// stays is not forgotten.
func (router *Router) Update(service shedkeel.ServiceID, targets []Target, now time.Duration) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.pools == nil {
		router.pools = map[shedkeel.ServiceID]*pool{}
	}
	known := router.pools[service]
	if known == nil {
		known = &pool{}
		router.pools[service] = known
	}
	known.update(targets, now)
}

// Forget drops the services that are not in the list.
func (router *Router) Forget(keep []shedkeel.ServiceID) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for service := range router.pools {
		if !slices.Contains(keep, service) {
			delete(router.pools, service)
		}
	}
}

func (pool *pool) update(targets []Target, now time.Duration) {
	before := map[string]*target{}
	for _, known := range pool.targets {
		before[known.Name] = known
	}
	same := len(targets) == len(pool.targets)
	next := make([]*target, 0, len(targets))
	for _, described := range targets {
		known := before[described.Name]
		if known == nil {
			known = &target{}
			same = false
		}
		known.describe(described)
		next = append(next, known)
	}
	slices.SortFunc(next, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	pool.targets = next
	pool.usable = pool.usable[:0]
	pool.reported = 0
	pool.capacity = 0
	for _, target := range next {
		if target.Until > now {
			pool.usable = append(pool.usable, target)
			pool.reported += target.load()
			pool.capacity += target.Capacity
		}
	}
	if !same {
		pool.fillSlots()
	}
}

// describe takes a new report. Requests that went out before the report was
// made are counted in it.
func (target *target) describe(described Target) {
	if described.Assignment != target.Assignment || described.Address != target.Address {
		target.changes = nil
	}
	target.Target = described
	target.changes = slices.DeleteFunc(target.changes, func(change change) bool { return change.at <= described.AsOf })
	target.changed = 0
	for _, change := range target.changes {
		target.changed += change.by
	}
}

// note adds a change to what the report said.
func (target *target) note(now time.Duration, by int) {
	target.inFlight += by
	target.changes = append(target.changes, change{at: now, by: by})
	target.changed += by
}

// load estimates what the target has to do: what it reported, corrected by
// what was sent to it and what ended since, and no less than what is in flight
// from here.
func (target *target) load() int {
	return max(target.Reported+target.changed, target.inFlight)
}

// fillSlots gives each part of the space of prefixes its groups by rendezvous
// hashing, so that one group coming or going moves few prefixes.
func (pool *pool) fillSlots() {
	for slot := range pool.slots {
		pool.slots[slot] = [slotChoices]*target{}
		var best [slotChoices]uint64
		for _, candidate := range pool.targets {
			score := member.Score(candidate.Name, string([]byte{byte(slot), byte(slot >> 8)}))
			for place := range best {
				if pool.slots[slot][place] == nil || score > best[place] {
					copy(best[place+1:], best[place:])
					copy(pool.slots[slot][place+1:], pool.slots[slot][place:])
					best[place] = score
					pool.slots[slot][place] = candidate
					break
				}
			}
		}
	}
}

// Request is what a choice depends on.
type Request struct {
	Service  shedkeel.ServiceID
	Affinity uint64 // hash of the prompt's prefix; 0: none
	Now      time.Duration
	Avoid    []string // targets that were tried
}

// Choose returns a target for the request, or a NotRunError when there is none.
func (router *Router) Choose(request Request) (*Choice, error) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	pool := router.pools[request.Service]
	if pool == nil || len(pool.usable) == 0 {
		return nil, &shedkeel.NotRunError{Reason: fmt.Sprintf("service %s has no whole group or server", request.Service), RetryAfter: retryWhenNone}
	}
	chosen := router.byPrefix(pool, request)
	if chosen == nil {
		chosen = router.byDraw(pool, request)
	}
	if chosen == nil {
		return nil, &shedkeel.NotRunError{Reason: fmt.Sprintf("service %s has no other whole group or server", request.Service), RetryAfter: retryWhenNone}
	}
	choice := &Choice{Target: chosen.Target, Load: chosen.load(), router: router, pool: pool, target: chosen}
	chosen.note(request.Now, 1)
	pool.inFlight++
	return choice, nil
}

// retryWhenNone is when callers may come back if nothing can take a request: a
// group is seldom mended sooner.
const retryWhenNone = 2 * time.Second

func (request *Request) allows(target *target) bool {
	return target != nil && target.Until > request.Now && !slices.Contains(request.Avoid, target.Name)
}

func (router *Router) byPrefix(pool *pool, request Request) *target {
	bound := router.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	if request.Affinity == 0 || bound < 0 {
		return nil
	}
	mean := float64(pool.reported+pool.inFlight) / float64(len(pool.usable))
	limit := int(bound*mean) + 1
	for _, candidate := range pool.slots[request.Affinity%slotCount] {
		if request.allows(candidate) && candidate.load() <= limit {
			return candidate
		}
	}
	return nil
}

// byDraw returns the less loaded of two usable targets drawn at random.
func (router *Router) byDraw(pool *pool, request Request) *target {
	var first *target
	for range drawLimit {
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

// End tells that the request has ended.
func (choice *Choice) End(now time.Duration) {
	choice.router.mutex.Lock()
	defer choice.router.mutex.Unlock()
	choice.target.note(now, -1)
	choice.pool.inFlight--
}

// Load returns the requests in flight from here to a service, and what its
// usable targets can run at once.
func (router *Router) Load(service shedkeel.ServiceID) (inFlight, capacity, usable int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	pool := router.pools[service]
	if pool == nil {
		return 0, 0, 0
	}
	return pool.inFlight, pool.capacity, len(pool.usable)
}
