// Package admit decides which requests are taken on: rate limits of client
// accounts, fair shares under overload, refusal of what cannot be answered in
// time, and the budget for retries.
package admit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// burst is for how long an unused rate is saved up.
	burst = time.Second
	// busyFraction is the part of a service's capacity in use from which
	// accounts are held to their fair shares.
	busyFraction = 0.9
	// smoothing is the weight of the newest run time in the mean.
	smoothing = 0.05
	// minRetry and maxRetry bound when callers are told to come back.
	minRetry = time.Second
	maxRetry = time.Minute
)

// Limiter holds client accounts to their rates on one entry box. Each box
// gets an equal part of a rate for each entry box that may ever run, so that
// the sum stays within the rate whatever becomes of the links between them.
// The zero value admits everything.
type Limiter struct {
	mutex   sync.Mutex
	buckets map[shedkeel.AccountID]*bucket
}

type bucket struct {
	rate   float64 // a second, on this box
	tokens float64
	filled time.Duration
}

// Configure sets the accounts' rates over all boxes and the number of boxes.
func (limiter *Limiter) Configure(accounts []shedkeel.Account, boxes int, now time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	before := limiter.buckets
	limiter.buckets = map[shedkeel.AccountID]*bucket{}
	for _, account := range accounts {
		if account.Rate <= 0 {
			continue
		}
		rate := account.Rate / float64(max(boxes, 1))
		known := before[account.ID]
		if known == nil {
			known = &bucket{tokens: depth(rate), filled: now}
		}
		known.rate = rate
		limiter.buckets[account.ID] = known
	}
}

// depth is how many requests a bucket of the rate holds; at least one, so that
// slow rates let anything through.
func depth(rate float64) float64 { return max(rate*burst.Seconds(), 1) }

// Take lets one request of the account through, or returns a NotRunError that
// tells when the next one may come.
func (limiter *Limiter) Take(account shedkeel.AccountID, now time.Duration) error {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket := limiter.buckets[account]
	if bucket == nil {
		return nil
	}
	bucket.tokens = min(bucket.tokens+bucket.rate*(now-bucket.filled).Seconds(), depth(bucket.rate))
	bucket.filled = now
	if bucket.tokens >= 1 {
		bucket.tokens--
		return nil
	}
	wait := time.Duration((1 - bucket.tokens) / bucket.rate * float64(time.Second))
	return &shedkeel.NotRunError{Reason: fmt.Sprintf("account %s is over its rate", account), RetryAfter: bound(wait), Overloaded: true}
}

func bound(wait time.Duration) time.Duration { return min(max(wait, minRetry), maxRetry) }

// Gate refuses what cannot be answered in time and holds accounts to fair
// shares when a service is busy. The zero value works.
type Gate struct {
	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*usage
}

// usage is what a service runs from this box.
type usage struct {
	accounts map[shedkeel.AccountID]int
	total    int
	mean     time.Duration // run time of a request
}

// Request is what a gate decides on.
type Request struct {
	Service  shedkeel.ServiceID
	Account  shedkeel.AccountID
	Weight   func(shedkeel.AccountID) int
	Deadline time.Duration // how long the caller still waits
	Capacity int           // what the service's usable targets run at once
	Load     int           // estimated on the chosen target before this request
	Room     int           // what the chosen target runs at once
}

// Enter lets a request in, or returns a NotRunError that tells when to come
// back. Leave must be called for each that was let in.
func (gate *Gate) Enter(request Request) error {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	usage := gate.usage(request.Service)
	wait := usage.wait(request.Load, request.Room)
	if wait > request.Deadline {
		return &shedkeel.NotRunError{
			Reason:     fmt.Sprintf("service %s would begin it in %s, after its deadline", request.Service, wait.Round(time.Millisecond)),
			RetryAfter: bound(wait - request.Deadline), Overloaded: true,
		}
	}
	busy := request.Load >= request.Room || float64(usage.total) >= busyFraction*float64(request.Capacity)
	if busy && float64(usage.accounts[request.Account]) >= usage.fairShare(request) {
		return &shedkeel.NotRunError{
			Reason:     fmt.Sprintf("service %s is busy and account %s has its fair share of it", request.Service, request.Account),
			RetryAfter: bound(usage.mean), Overloaded: true,
		}
	}
	usage.accounts[request.Account]++
	usage.total++
	return nil
}

// wait estimates how long a request waits on a target before it begins.
func (usage *usage) wait(load, room int) time.Duration {
	if room <= 0 || load < room {
		return 0
	}
	return time.Duration(float64(load-room+1) / float64(room) * float64(usage.mean))
}

// fairShare is how many requests the account may have in flight: its weighted
// part of what runs, counted with the accounts that have any.
func (usage *usage) fairShare(request Request) float64 {
	weights := 0
	for account := range usage.accounts {
		weights += max(request.Weight(account), 1)
	}
	own := max(request.Weight(request.Account), 1)
	if usage.accounts[request.Account] == 0 {
		weights += own
	}
	if weights == own {
		return math.Inf(1)
	}
	running := max(usage.total, request.Capacity)
	return max(float64(running)*float64(own)/float64(weights), 1)
}

// Leave tells that a request that was let in has ended, and how long it ran if
// it ran to its end.
func (gate *Gate) Leave(service shedkeel.ServiceID, account shedkeel.AccountID, ran time.Duration) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	usage := gate.usage(service)
	usage.total--
	usage.accounts[account]--
	if usage.accounts[account] <= 0 {
		delete(usage.accounts, account)
	}
	switch {
	case ran <= 0:
	case usage.mean == 0:
		usage.mean = ran
	default:
		usage.mean += time.Duration(smoothing * float64(ran-usage.mean))
	}
}

func (gate *Gate) usage(service shedkeel.ServiceID) *usage {
	if gate.services == nil {
		gate.services = map[shedkeel.ServiceID]*usage{}
	}
	known := gate.services[service]
	if known == nil {
		known = &usage{accounts: map[shedkeel.AccountID]int{}}
		gate.services[service] = known
	}
	return known
}

// Budget bounds retries to a part of first tries, so that a failing zone is
// not hit by more than its callers sent. The zero value holds a few retries.
type Budget struct {
	mutex sync.Mutex
	spent float64
}

const (
	retryShare = 0.1 // retries for each first try
	retryFloor = 10  // retries that a quiet box may make
)

// First notes a first try.
func (budget *Budget) First() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(budget.spent-retryShare, 0)
}

// Retry reports whether a retry may be made, and counts it.
func (budget *Budget) Retry() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spent+1 > retryFloor {
		return false
	}
	budget.spent++
	return true
}
