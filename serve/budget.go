package serve

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Budget is a retry budget. It bounds the retries of all processes for a service in each window to
// Ratio times the requests plus FixedRetries. Each process counts its own requests and an equal
// share of FixedRetries, so that the bound holds even when processes cannot reach each other. Its
// methods are safe for concurrent use.
type Budget struct {
	Ratio        float64       // retries per request
	Window       time.Duration // over which requests and retries are counted
	FixedRetries float64       // retries per window, independent of the number of requests
	// SafetyFactor is the fraction of the bound that is used. A retry can stay in the window
	// after the requests that allowed it have left the window. A fraction below 1 leaves a
	// reserve, so that the full bound holds in every sliding window then too.
	SafetyFactor float64
	// StartedAt is when the process started. The process's share of FixedRetries grows from
	// 0 to its full size over the window after StartedAt, because the process does not know
	// which retries it sent before a restart.
	StartedAt time.Duration
	// RandomOffset is a random number from 0 to 1, drawn once per process. It is added to
	// the bound, so that a process allows one retry more than its bound rounded down, with a
	// probability equal to the bound's fractional part. Without the offset, no process could
	// retry if there are more processes than allowed retries.
	RandomOffset float64

	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*serviceUsage
}

// serviceUsage counts the requests and retries of one service in a ring of budgetSlots slots,
// which together cover one window.
type serviceUsage struct {
	totals   RetryTotals
	slot     int64 // number of the current slot, counted from time 0
	requests [budgetSlots]float64
	retries  [budgetSlots]float64
}

// budgetSlots is the number of slots that a window is divided into.
const budgetSlots = 10

// advance makes slot the current slot. It clears all slots after the former current slot, up
// to and including the new one. It does nothing if slot is not later.
func (serviceUsage *serviceUsage) advance(slot int64) {
	if slot-serviceUsage.slot >= budgetSlots {
		*serviceUsage = serviceUsage.empty(slot)
		return
	}
	for serviceUsage.slot < slot {
		serviceUsage.slot++
		serviceUsage.requests[serviceUsage.slot%budgetSlots] = 0
		serviceUsage.retries[serviceUsage.slot%budgetSlots] = 0
	}
}

// empty returns the totals with empty counts, and slot as the current slot.
func (usage *serviceUsage) empty(slot int64) serviceUsage {
	return serviceUsage{slot: slot, totals: usage.totals}
}

// sum returns the total of all slots.
func sum(counts [budgetSlots]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}

// usage returns the counts of the service, advanced to now. The caller must hold the mutex.
func (budget *Budget) usage(service shedkeel.ServiceID, now time.Duration) *serviceUsage {
	if budget.services == nil {
		budget.services = map[shedkeel.ServiceID]*serviceUsage{}
	}
	usage := budget.services[service]
	if usage == nil {
		usage = &serviceUsage{}
		budget.services[service] = usage
	}
	usage.advance(int64(now / (budget.Window / budgetSlots)))
	return usage
}

// Set changes Ratio, Window and FixedRetries. If the window changes, all counts restart at
// zero, so that only FixedRetries allows retries until new requests are counted.
func (budget *Budget) Set(ratio float64, window time.Duration, fixedRetries float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.Ratio = ratio
	budget.FixedRetries = fixedRetries
	if window == budget.Window {
		return
	}
	budget.Window = window
	budget.services = nil
}

// CountRequest counts a request for the service. The caller must call it once for each request,
// however many attempts are made.
func (budget *Budget) CountRequest(service shedkeel.ServiceID, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	usage.requests[usage.slot%budgetSlots]++
}

// AllowRetry reports whether a request may be retried now, and counts the retry if so. The
// parameter nodes is the number of processes that share FixedRetries; 0 counts as 1.
func (budget *Budget) AllowRetry(service shedkeel.ServiceID, nodes int, now time.Duration) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	warmup := min(float64(now-budget.StartedAt)/float64(budget.Window), 1)
	fixedRetries := warmup * budget.FixedRetries / float64(max(nodes, 1))
	bound := budget.SafetyFactor * (budget.Ratio*sum(usage.requests) + fixedRetries)
	usage.totals.Share, usage.totals.Nodes = fixedRetries, nodes
	if sum(usage.retries)+1 > bound+budget.RandomOffset {
		usage.totals.Denied++
		return false
	}
	usage.retries[usage.slot%budgetSlots]++
	usage.totals.Allowed++
	return true
}

// Refund takes back a retry of the service that AllowRetry has just counted, because no server
// was found for the retry.
func (budget *Budget) Refund(service shedkeel.ServiceID, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	slot := &usage.retries[usage.slot%budgetSlots]
	*slot = max(*slot-1, 0)
	usage.totals.Refunded++
}
