// Package admit is the admission control of an entry box: rate limits of client
// accounts, fair shares of the accounts under overload, load shedding of requests
// that would miss their deadline, and the retry budget. Times are durations on a
// monotonic clock.
package admit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// burstTime is the longest time for which the unused rate of an account
	// accumulates; it bounds how many requests are admitted in one burst.
	burstTime = time.Second
	// busyFraction is the fraction of a service's capacity that must be in use by
	// this box for the service to count as busy. The service also counts as busy if
	// the chosen target is full.
	busyFraction = 0.9
	// runTimeWeight is the weight of the newest run time in the exponential
	// moving average of run times.
	runTimeWeight = 0.05
	// minRetryAfter and maxRetryAfter bound the Retry-After times that callers receive.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limiter enforces the rate limits of client accounts on one entry box with token
// buckets. Each entry box enforces the rate divided by the configured number of entry
// boxes, so that all entry boxes together stay within the rate even if they cannot
// communicate. The zero value admits every request.
type Limiter struct {
	mutex   sync.Mutex
	buckets map[shedkeel.AccountID]*bucket
}

// bucket is the token bucket of an account on this box.
type bucket struct {
	rate    float64       // tokens per second
	tokens  float64       // requests that may be admitted now
	updated time.Duration // when tokens was last computed
}

// Configure sets the accounts and the number of entry boxes, which counts as 1 if it
// is lower. The rate of an account applies to all entry boxes together; a rate of 0 or
// less is no limit. An account that already had a rate limit keeps its tokens; the
// bucket of any other account starts full.
func (limiter *Limiter) Configure(accounts []shedkeel.Account, boxes int, now time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	previous := limiter.buckets
	limiter.buckets = map[shedkeel.AccountID]*bucket{}
	for _, account := range accounts {
		if account.Rate <= 0 {
			continue
		}
		rate := account.Rate / float64(max(boxes, 1))
		known := previous[account.ID]
		if known == nil {
			known = &bucket{tokens: bucketSize(rate), updated: now}
		}
		known.rate = rate
		limiter.buckets[account.ID] = known
	}
}

// bucketSize returns the maximum number of tokens in a bucket with the rate: what
// accumulates in burstTime, but at least 1, so that rates below one request per second
// admit requests at all.
func bucketSize(rate float64) float64 { return max(rate*burstTime.Seconds(), 1) }

// Take takes a token for one request of the account. If the bucket has no whole token,
// it returns a NotRunError whose RetryAfter is the time until the bucket has one, but at
// least minRetryAfter and at most maxRetryAfter. Accounts without a rate limit are
// always admitted.
func (limiter *Limiter) Take(account shedkeel.AccountID, now time.Duration) error {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket := limiter.buckets[account]
	if bucket == nil {
		return nil
	}
	bucket.tokens = min(bucket.tokens+bucket.rate*(now-bucket.updated).Seconds(), bucketSize(bucket.rate))
	bucket.updated = now
	if bucket.tokens >= 1 {
		bucket.tokens--
		return nil
	}
	wait := time.Duration((1 - bucket.tokens) / bucket.rate * float64(time.Second))
	return &shedkeel.NotRunError{Reason: fmt.Sprintf("account %s is over its rate", account), RetryAfter: clampRetryAfter(wait), Overloaded: true}
}

// clampRetryAfter limits a Retry-After time to the range from minRetryAfter to
// maxRetryAfter.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Gate refuses requests that are not expected to begin before their deadline, and
// limits accounts to their fair shares while a service is busy (see busyFraction). The
// zero value is ready to use.
type Gate struct {
	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*usage
}

// usage counts the requests of a service that this box has in flight.
type usage struct {
	inFlightByAccount map[shedkeel.AccountID]int // requests in flight of each account; accounts with none are not listed
	inFlight          int                        // requests in flight of all accounts
	meanRunTime       time.Duration              // moving average of the run times of completed requests; 0: none has completed
}

// Request is a request that asks for admission, with the data for Enter's decision.
type Request struct {
	Service        shedkeel.ServiceID
	Account        shedkeel.AccountID
	Weight         func(shedkeel.AccountID) int // weight of an account in fair shares; below 1 counts as 1
	Deadline       time.Duration                // maximum time from now until the request begins
	Capacity       int                          // requests that all usable targets of the service run concurrently
	Load           int                          // estimated requests on the target chosen for the request, without this request
	TargetCapacity int                          // requests that the chosen target runs concurrently
}

// Enter admits a request, or returns a NotRunError with the time after which to retry
// (minRetryAfter to maxRetryAfter). It refuses a request whose estimated wait exceeds its
// deadline and, while the service is busy, one whose account has its fair share in
// flight. The caller must call Leave for each admitted request.
func (gate *Gate) Enter(request Request) error {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	usage := gate.usage(request.Service)
	wait := usage.wait(request.Load, request.TargetCapacity)
	if wait > request.Deadline {
		return &shedkeel.NotRunError{
			Reason:     fmt.Sprintf("service %s would begin it in %s, after its deadline", request.Service, wait.Round(time.Millisecond)),
			RetryAfter: clampRetryAfter(wait - request.Deadline), Overloaded: true,
		}
	}
	busy := request.Load >= request.TargetCapacity || float64(usage.inFlight) >= busyFraction*float64(request.Capacity)
	if busy && float64(usage.inFlightByAccount[request.Account]) >= usage.fairShare(request) {
		return &shedkeel.NotRunError{
			Reason:     fmt.Sprintf("service %s is busy and account %s has its fair share of it", request.Service, request.Account),
			RetryAfter: clampRetryAfter(usage.meanRunTime), Overloaded: true,
		}
	}
	usage.inFlightByAccount[request.Account]++
	usage.inFlight++
	return nil
}

// wait estimates how long a request is queued at a target that has load other requests
// and runs capacity requests concurrently, each for the mean run time. It is 0 if the
// target has a free slot, the capacity is 0 or less, or no request has completed yet.
func (usage *usage) wait(load, capacity int) time.Duration {
	if capacity <= 0 || load < capacity {
		return 0
	}
	return time.Duration(float64(load-capacity+1) / float64(capacity) * float64(usage.meanRunTime))
}

// fairShare returns the number of requests that the request's account may have in
// flight: the larger of the service's capacity and the requests in flight, divided in
// proportion to weight among this account and the others with requests in flight.
// The share is at least 1, and infinite if no other account has requests in flight.
func (usage *usage) fairShare(request Request) float64 {
	weights := 0
	for account := range usage.inFlightByAccount {
		weights += max(request.Weight(account), 1)
	}
	own := max(request.Weight(request.Account), 1)
	if usage.inFlightByAccount[request.Account] == 0 {
		weights += own
	}
	if weights == own {
		return math.Inf(1)
	}
	running := max(usage.inFlight, request.Capacity)
	return max(float64(running)*float64(own)/float64(weights), 1)
}

// Leave records that an admitted request has ended. ran is the request's run time
// if it completed, and 0 otherwise.
func (gate *Gate) Leave(service shedkeel.ServiceID, account shedkeel.AccountID, ran time.Duration) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	usage := gate.usage(service)
	usage.inFlight--
	usage.inFlightByAccount[account]--
	if usage.inFlightByAccount[account] <= 0 {
		delete(usage.inFlightByAccount, account)
	}
	switch {
	case ran <= 0:
	case usage.meanRunTime == 0:
		usage.meanRunTime = ran
	default:
		usage.meanRunTime += time.Duration(runTimeWeight * float64(ran-usage.meanRunTime))
	}
}

// usage returns the usage of a service, which it creates if there is none. The
// caller must hold the mutex.
func (gate *Gate) usage(service shedkeel.ServiceID) *usage {
	if gate.services == nil {
		gate.services = map[shedkeel.ServiceID]*usage{}
	}
	known := gate.services[service]
	if known == nil {
		known = &usage{inFlightByAccount: map[shedkeel.AccountID]int{}}
		gate.services[service] = known
	}
	return known
}

// RetryBudget limits retries to the fraction retryRatio of first attempts, so that
// retries do not multiply the load on a failing zone. The zero value is a full budget:
// it allows initialRetries retries before any first attempt is recorded.
type RetryBudget struct {
	mutex   sync.Mutex
	charged float64 // retries made, less what first attempts have restored; at least 0, at most initialRetries
}

const (
	retryRatio     = 0.1 // retries that each first attempt restores to the budget
	initialRetries = 10  // size of the budget: retries allowed in a row without first attempts in between
)

// FirstAttempt records the first attempt of a request.
func (budget *RetryBudget) FirstAttempt() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.charged = max(budget.charged-retryRatio, 0)
}

// Retry reports whether a retry is allowed, and charges it to the budget if so.
func (budget *RetryBudget) Retry() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.charged+1 > initialRetries {
		return false
	}
	budget.charged++
	return true
}
