// Package retry bounds how many retries the processes of a fleet send to the servers of a service
// together. It answers servers that fail or refuse: each process then wants to send most of its
// requests again, at the same time as all others, and the servers would get several times the load
// that they already fail to serve.
//
// No process asks another one. Each counts its own requests and retries (Budget), and takes its part
// of what is fixed for the fleet by the list of processes that it knows (Sharing).
package retry

import (
	"math"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Budget is the retry budget of a process. In each sliding window it allows at most Ratio times the requests plus this
// process's share of FixedRetries, for each service. The requests are the weighted mean (see previousWeight) of those in the window
// and in the window before it. Added up over all processes, that is at most the bound of the fleet. Its methods are safe for concurrent use.
type Budget struct {
	Ratio        float64       // retries per request
	Window       time.Duration // over which requests and retries are counted
	FixedRetries float64       // retries of all processes together per window, independent of the number of requests
	// RandomOffset is a random number from 0 to 1, drawn once per process. In large fleets it is added to the bound of the
	// process, so that the bound rounded down is on average the bound itself. Otherwise no process could retry if there
	// were more processes than FixedRetries.
	RandomOffset float64

	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*usage
}

// Share is this process's share of FixedRetries.
type Share struct {
	Processes int     // that divide FixedRetries evenly, at least 1
	Part      float64 // of its even share that this process may use, from 0 to 1
}

// maxRoundedProcesses is the largest number of processes of which each rounds its bound down. The fleet
// loses half a retry a process by that. In larger fleets, where that is more than the reserve for the
// spread of RandomOffset, each process adds RandomOffset.
const maxRoundedProcesses = 16

// spreadReserve is by how many square roots of the number of processes FixedRetries is reduced in large fleets. The
// sum of that many random offsets has a standard deviation of at most half their square root, so the bound is four
// standard deviations above the mean.
const spreadReserve = 2

// Fixed returns how many retries per window the share allows.
func (budget *Budget) Fixed(share Share) float64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.fixed(share)
}

// fixed is Fixed for callers that hold the mutex.
func (budget *Budget) fixed(share Share) float64 {
	processes := float64(max(share.Processes, 1))
	if share.Processes <= maxRoundedProcesses {
		return share.Part * budget.FixedRetries / processes
	}
	return share.Part * max(budget.FixedRetries-spreadReserve*math.Sqrt(processes), 0) / processes
}

// offset returns what is added to the bound before it is rounded down.
func (budget *Budget) offset(share Share) float64 {
	if share.Processes <= maxRoundedProcesses {
		return 0
	}
	return budget.RandomOffset
}

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 100

// ringSlots is the number of slots that are kept: two windows, and the slot within which the earlier one may begin.
const ringSlots = 2*windowSlots + 1

// previousWeight is the weight of the requests in the window before the one whose retries are counted; those in the window itself
// have the rest. Both weights are the same in all processes, so that the sum over all processes is at most the bound by
// the window with more requests. The former requests allow retries at once when failures begin; the latter follow
// traffic that grows.
const previousWeight = 0.5

// usage counts the requests and retries of one service in the latest ringSlots slots.
type usage struct {
	slot     int64 // number of the current slot, counted from time 0
	requests [ringSlots]int
	retries  [ringSlots]int
	totals   Totals
}

// advance makes slot the current one and clears the slots that it replaces. It does nothing if slot is not later.
func (usage *usage) advance(slot int64) {
	for cleared := max(usage.slot+1, slot-ringSlots+1); cleared <= slot; cleared++ {
		usage.requests[cleared%ringSlots] = 0
		usage.retries[cleared%ringSlots] = 0
	}
	usage.slot = max(usage.slot, slot)
}

// index returns the index of the slot that was current so many slots ago.
func (usage *usage) index(age int64) int64 { return (usage.slot - age + 2*ringSlots) % ringSlots }

// allows reports whether one more retry now keeps every window that has begun in one of the slots: its retries until now are at
// most fixed more than ratio times the weighted requests. A window that begins within a slot may have all retries of that slot and
// none of its requests, and the window before it begins within a slot too.
func (usage *usage) allows(ratio, fixed float64) bool {
	previous := 0
	for age := int64(1); age < windowSlots; age++ {
		previous += usage.requests[usage.index(age)]
	}
	retries, requests := 1, 0
	for age := range int64(windowSlots + 1) {
		retries += usage.retries[usage.index(age)]
		weighted := (1-previousWeight)*float64(requests) + previousWeight*float64(previous)
		if float64(retries) > ratio*weighted+fixed {
			return false
		}
		requests += usage.requests[usage.index(age)]
		previous += usage.requests[usage.index(age+windowSlots)] - usage.requests[usage.index(age+1)]
	}
	return true
}

// slotAt returns the number of the slot of a time.
func (budget *Budget) slotAt(now time.Duration) int64 {
	return int64(now / (budget.Window / windowSlots))
}

// usage returns the counts of the service, advanced to now. The caller holds the mutex.
func (budget *Budget) usage(service shedkeel.ServiceID, now time.Duration) *usage {
	if budget.services == nil {
		budget.services = map[shedkeel.ServiceID]*usage{}
	}
	found := budget.services[service]
	if found == nil {
		found = &usage{slot: budget.slotAt(now)}
		budget.services[service] = found
	}
	found.advance(budget.slotAt(now))
	return found
}

// Set changes Ratio, Window and FixedRetries. If the window changes, all retries that still count do so as if they were
// made now, and no requests count.
func (budget *Budget) Set(ratio float64, window time.Duration, fixedRetries float64, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.Ratio = ratio
	budget.FixedRetries = fixedRetries
	if window == budget.Window {
		return
	}
	budget.Window = window
	for service, former := range budget.services {
		moved := &usage{slot: budget.slotAt(now), totals: former.totals}
		for age := range int64(windowSlots + 1) {
			moved.retries[moved.index(0)] += former.retries[former.index(age)]
		}
		budget.services[service] = moved
	}
}

// CountRequest counts a request for the service. The caller must call it once for each request,
// however many attempts are made.
func (budget *Budget) CountRequest(service shedkeel.ServiceID, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	usage.requests[usage.index(0)]++
}

// Charge is a retry that was allowed.
type Charge struct {
	service shedkeel.ServiceID
	slot    int64 // in which it counts
}

// Allow reports whether a request may be retried now, and charges the retry if so.
func (budget *Budget) Allow(service shedkeel.ServiceID, share Share, now time.Duration) (Charge, bool) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	fixed := budget.fixed(share)
	usage.totals.Share, usage.totals.Processes = fixed, share.Processes
	if !usage.allows(budget.Ratio, fixed+budget.offset(share)) {
		usage.totals.Denied++
		return Charge{}, false
	}
	usage.retries[usage.index(0)]++
	usage.totals.Allowed++
	return Charge{service: service, slot: usage.slot}, true
}

// Refund takes back a charge, because nothing was sent to any server.
func (budget *Budget) Refund(charge Charge, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(charge.service, now)
	usage.uncharge(charge)
	usage.totals.Refunded++
}

// uncharge removes a charge that still counts.
func (usage *usage) uncharge(charge Charge) {
	if charge.slot <= usage.slot && usage.slot-charge.slot < ringSlots && usage.retries[charge.slot%ringSlots] > 0 {
		usage.retries[charge.slot%ringSlots]--
	}
}

// Sent records that a charged retry is written to a connection only now: it counts from now on, since the server may get
// it long after it was allowed, when the connection took time to open or the process stood still.
// It returns the charge as it counts then.
func (budget *Budget) Sent(charge Charge, kind Kind, now time.Duration) Charge {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(charge.service, now)
	usage.uncharge(charge)
	usage.retries[usage.index(0)]++
	if usage.totals.Sent == nil {
		usage.totals.Sent = map[Kind]int64{}
	}
	usage.totals.Sent[kind]++
	return Charge{service: charge.service, slot: usage.slot}
}
