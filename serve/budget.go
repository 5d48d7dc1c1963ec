package serve

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Budget bounds the repeats that all processes together send to a service: a
// part of the requests for it and a fixed number, in each window. Each process
// takes a part of its own requests and an even part of the fixed number, so
// the sum holds whatever becomes of the links between them.
type Budget struct {
	Ratio   float64
	Window  time.Duration
	Slack   float64
	Careful float64 // part of the bound that is used, for windows that slide
	// Began is when the process started. The fixed number grows over the window after
	// it: what was sent before is not known here.
	Began time.Duration
	// Lot is a number from 0 to 1 that is the process's own. What is left of its part
	// beyond whole repeats it has with that chance: where processes are more than
	// repeats, each would otherwise have none.
	Lot float64

	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*spending
}

// spending counts a service's requests and repeats in slots of a tenth of the
// window.
type spending struct {
	slot     int64
	requests [budgetSlots]float64
	repeats  [budgetSlots]float64
}

const budgetSlots = 10

func (spending *spending) move(slot int64) {
	if slot-spending.slot >= budgetSlots {
		*spending = spending.reset(slot)
		return
	}
	for spending.slot < slot {
		spending.slot++
		spending.requests[spending.slot%budgetSlots] = 0
		spending.repeats[spending.slot%budgetSlots] = 0
	}
}

func (*spending) reset(slot int64) spending { return spending{slot: slot} }

func sum(counts [budgetSlots]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}

func (budget *Budget) at(service shedkeel.ServiceID, now time.Duration) *spending {
	if budget.services == nil {
		budget.services = map[shedkeel.ServiceID]*spending{}
	}
	known := budget.services[service]
	if known == nil {
		known = &spending{}
		budget.services[service] = known
	}
	known.move(int64(now / (budget.Window / budgetSlots)))
	return known
}

// Set changes the bound. A new window starts the counts anew as spent.
func (budget *Budget) Set(ratio float64, window time.Duration, slack float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.Ratio = ratio
	budget.Slack = slack
	if window == budget.Window {
		return
	}
	budget.Window = window
	budget.services = nil
}

// First notes a request for the service.
func (budget *Budget) First(service shedkeel.ServiceID, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	spending := budget.at(service, now)
	spending.requests[spending.slot%budgetSlots]++
}

// Repeat reports whether a request may be sent once more, and notes it. Nodes
// is how many processes share the fixed number.
func (budget *Budget) Repeat(service shedkeel.ServiceID, nodes int, now time.Duration) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	spending := budget.at(service, now)
	known := min(float64(now-budget.Began)/float64(budget.Window), 1)
	slack := known * budget.Slack / float64(max(nodes, 1))
	bound := budget.Careful * (budget.Ratio*sum(spending.requests) + slack)
	if sum(spending.repeats)+1 > bound+budget.Lot {
		return false
	}
	spending.repeats[spending.slot%budgetSlots]++
	return true
}

// TakeBack takes back a repeat that was allowed just now and was sent nowhere.
func (budget *Budget) TakeBack(service shedkeel.ServiceID, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	spending := budget.at(service, now)
	slot := &spending.repeats[spending.slot%budgetSlots]
	*slot = max(*slot-1, 0)
}
