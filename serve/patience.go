package serve

import (
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// patienceKept is how many callers' stated times a process remembers of a
	// route: at 20 requests a second to a process those of three seconds.
	patienceKept = 64
	// patienceLeast is how few say nothing yet.
	patienceLeast = 8
	// patienceShare is the part of them that must agree on the longest time for
	// it to be what a first try states. In the second after a blackout a third
	// of all requests are first tries.
	patienceShare = 0.125
	// patienceAlike is from which part of the longest time on they agree.
	patienceAlike = 0.98
)

// patience finds out for how long callers have waited already. They state how
// long they still wait; a first try of a route states the same time each time,
// and one that comes back states less.
type patience struct {
	mutex  sync.Mutex
	routes map[shedkeel.RouteID]*stated
}

// stated are the times that the latest callers of a route stated.
type stated struct {
	times []time.Duration
	next  int
}

// waited notes a caller's stated time and returns for how long it has waited
// already, 0 if that is not known.
func (patience *patience) waited(route shedkeel.RouteID, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	patience.mutex.Lock()
	defer patience.mutex.Unlock()
	if patience.routes == nil {
		patience.routes = map[shedkeel.RouteID]*stated{}
	}
	known := patience.routes[route]
	if known == nil {
		known = &stated{}
		patience.routes[route] = known
	}
	known.note(left)
	return max(known.first()-left, 0)
}

func (stated *stated) note(left time.Duration) {
	if len(stated.times) < patienceKept {
		stated.times = append(stated.times, left)
		return
	}
	stated.times[stated.next] = left
	stated.next = (stated.next + 1) % patienceKept
}

// first is the time that first tries state, 0 if callers don't agree on one.
func (stated *stated) first() time.Duration {
	if len(stated.times) < patienceLeast {
		return 0
	}
	longest := slices.Max(stated.times)
	alike := 0
	for _, time := range stated.times {
		if float64(time) >= patienceAlike*float64(longest) {
			alike++
		}
	}
	if float64(alike) < patienceShare*float64(len(stated.times)) {
		return 0
	}
	return longest
}

// forget drops the routes that a new configuration lacks.
func (patience *patience) forget(view *View) {
	patience.mutex.Lock()
	defer patience.mutex.Unlock()
	for id := range patience.routes {
		if !slices.ContainsFunc(view.Config.Routes, func(route shedkeel.Route) bool { return route.ID == id }) {
			delete(patience.routes, id)
		}
	}
}
