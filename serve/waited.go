package serve

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// lowQuantile is the quantile of the callers' deadlines below which a caller counts as one that
	// has waited already.
	lowQuantile = 0.02
	// quantileStep is how far one request moves the estimate of the quantile, as a fraction of the
	// route's timeout.
	quantileStep = 0.002
	// minDeadlines is how many requests the estimate needs.
	minDeadlines = 500
	// refusalTime is how long after a refusal deadlines do not count, because callers that return
	// have less time left.
	refusalTime = 3 * time.Second
)

// deadlines estimates, for each route, the shortest time that callers wait when they come for the
// first time, as a fraction of the route's timeout.
type deadlines struct {
	mutex  sync.Mutex
	routes map[shedkeel.RouteID]*deadlineEstimate
}

// deadlineEstimate is the estimate for one route.
type deadlineEstimate struct {
	lowest  float64 // quantile lowQuantile of the deadlines, as a fraction of the timeout
	count   int     // deadlines in the estimate, at most minDeadlines
	refused time.Duration
}

// estimate returns the estimate of a route. The caller must hold the mutex.
func (deadlines *deadlines) estimate(route shedkeel.RouteID) *deadlineEstimate {
	if deadlines.routes == nil {
		deadlines.routes = map[shedkeel.RouteID]*deadlineEstimate{}
	}
	estimate := deadlines.routes[route]
	if estimate == nil {
		estimate = &deadlineEstimate{lowest: 1}
		deadlines.routes[route] = estimate
	}
	return estimate
}

// observe counts the deadline of a request, and returns how long its caller has waited at least: the
// part of the usual deadlines that is missing. Before minDeadlines requests it returns 0.
func (deadlines *deadlines) observe(route *shedkeel.Route, deadline, now time.Duration) time.Duration {
	if deadline <= 0 || route.Timeout <= 0 {
		return 0
	}
	deadlines.mutex.Lock()
	defer deadlines.mutex.Unlock()
	estimate := deadlines.estimate(route.ID)
	fraction := min(float64(deadline)/float64(route.Timeout), 1)
	if estimate.refused == 0 || now-estimate.refused > refusalTime {
		estimate.add(fraction)
	}
	if estimate.count < minDeadlines {
		return 0
	}
	return time.Duration(max(estimate.lowest-fraction, 0) * float64(route.Timeout))
}

// add moves the estimate by one deadline.
func (deadlineEstimate *deadlineEstimate) add(fraction float64) {
	if fraction < deadlineEstimate.lowest {
		deadlineEstimate.lowest -= quantileStep * (1 - lowQuantile)
	} else {
		deadlineEstimate.lowest = min(deadlineEstimate.lowest+quantileStep*lowQuantile, 1)
	}
	deadlineEstimate.count = min(deadlineEstimate.count+1, minDeadlines)
}

// recordRefusal records that a request of the route was refused.
func (deadlines *deadlines) recordRefusal(route shedkeel.RouteID, now time.Duration) {
	deadlines.mutex.Lock()
	defer deadlines.mutex.Unlock()
	deadlines.estimate(route).refused = now
}
