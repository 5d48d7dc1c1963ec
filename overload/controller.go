// Package overload decides which requests for a model are sent to its replica groups, which only
// get what others leave, and which are rejected and when their callers should return. It answers
// traffic beyond the capacity of the groups for seconds or minutes, callers that return after a
// rejection, callers that return early and often, and crowds that arrive at once after a loss.
//
// The node that spreads the requests of all nodes holds one Controller for each model. Its state is
// soft: a Controller without history lets in what the slots allow. Times are on a monotonic clock.
package overload

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/fairshare"
	"shedkeel.org/shedkeel/returning"
)

const (
	// leftoverReserve is the fraction of the slots that requests which cannot be on time leave
	// free for those that can.
	leftoverReserve = 0.06
	// heldReserve is the same for requests that are held back.
	heldReserve = 0.04
	// uncoveredReserve is the fraction that requests beyond the share of their client account
	// leave free for those within their share.
	uncoveredReserve = 0.03
	// returningReserve is the fraction above the limit that callers with a promise may use.
	returningReserve = 0.05
	// minPromisedShare is the share of the admitted requests that promises may fill even while
	// requests that can be on time take all capacity: callers that return are late already.
	minPromisedShare = 0.02
	// minRetryAfter is the shortest Retry-After: the time in which slots become free for a
	// caller that is refused now.
	minRetryAfter = 250 * time.Millisecond
	// maxWaitFraction is the longest Retry-After, as a fraction of the time that the caller still
	// waits. Callers honor a Retry-After of at most a third of that time.
	maxWaitFraction = 0.3
	// maxHoldShortage is how long after the start of a shortage requests are held back. A longer
	// one does not end while they wait.
	maxHoldShortage = 4 * time.Second
	// historyTime is how long a controller cannot tell who returns, so that it holds back all
	// that it would reject. After a loss of all boxes most callers return for the last time.
	historyTime = 2 * time.Second
	// maxHeldFraction bounds the requests that are held back, as a fraction of the slots: more would
	// not be served before their callers give up.
	maxHeldFraction = 0.5
	// holdInterval is after what time a node asks again about a request that is held back, and
	// holdSpread the largest addition, by the request's digest.
	holdInterval = 250 * time.Millisecond
	holdSpread   = 150 * time.Millisecond
	// shortageHold is how long after the last rejection a model counts as short of capacity.
	shortageHold = time.Second
)

// Class says how a request is treated.
type Class int

// The classes.
const (
	Reject   Class = iota // refused at once
	Leftover              // sent, but engines serve it after requests that can be on time
	OnTime                // sent
	Wait                  // held back by the node that asks, which asks again
)

// Reason says why a request got its class.
type Reason int

// The reasons.
const (
	None      Reason = iota
	Late             // it cannot meet its objective any more
	OverShare        // its client account has its share, and no capacity is left
	Full             // the model has no capacity left
)

var reasonNames = [...]string{"none", "late", "over_share", "full"}

// String returns the name of the reason in logs and metrics.
func (reason Reason) String() string {
	if reason < 0 || int(reason) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[reason]
}

// Request is a request that asks to be sent to a model.
type Request struct {
	Account   shedkeel.AccountID // "" on public routes
	Rank      int                // 0 is most urgent
	Digest    uint64             // of the request's content, the same for all attempts of its caller
	Objective time.Duration      // from the caller's first attempt to the first event; 0: none
	Waited    time.Duration      // since the caller's first attempt, as far as is known
	Remaining time.Duration      // for which the caller still waits
	Queueing  time.Duration      // expected delay of the first event by requests that are sent already
	Work      float64            // expected slot time in seconds
	Held      time.Duration      // for how long the request has been held back; 0: this is its first decision
	MaxHold   time.Duration      // for how long it may be held back
}

// canBeOnTime reports whether the first event may still come within the objective: the caller has not
// waited that long, and other requests alone do not delay it that long. Whether engines are too slow
// shows in the outcomes, from which the limit follows.
func (request *Request) canBeOnTime() bool {
	return request.Objective <= 0 || request.Waited+request.Queueing < request.Objective
}

// due returns how long after the request's arrival the first event is due: when the objective ends or,
// for a caller that has used it up before it returned as promised, within another objective.
func (request *Request) due() time.Duration {
	if request.Waited < request.Objective {
		return request.Objective - request.Waited
	}
	return request.Objective
}

// Decision is what becomes of a request.
type Decision struct {
	Class      Class
	Reason     Reason
	RetryAfter time.Duration // of a rejected request: when its caller should return; on Wait, when to ask again
	Promised   bool          // capacity is reserved for the caller at that time
	Waited     time.Duration // since the caller's first attempt, as far as is known
	Queueing   time.Duration // Request.Queueing as the caller of Decide estimated it
	Due        time.Duration // of a request on time: how long after its arrival the first event is due
}

// Controller decides on the requests for one model. The zero value is ready to use. Its methods must
// not be called concurrently.
type Controller struct {
	limit    Limit
	delays   correction
	shares   fairshare.Shares
	returns  returning.Ledger
	memory   memory
	began    time.Duration // first decision; 0: none
	held     rate          // decisions to hold a request back
	admitted rate          // requests admitted
	fresh    rate          // requests that could be on time when they came, without returning callers
	shortage shortage
	counts   Counts
}

// shortage is the time in which requests are rejected.
type shortage struct {
	since, latest time.Duration // first and latest rejection; 0: none
}

// active reports whether a request was rejected within shortageHold.
func (shortage *shortage) active(now time.Duration) bool {
	return shortage.latest > 0 && now-shortage.latest < shortageHold
}

// extend records a rejection.
func (shortage *shortage) extend(now time.Duration) {
	if !shortage.active(now) {
		shortage.since = now
	}
	shortage.latest = now
}

// Counts are totals since the start, by class and, for rejected requests, by reason.
type Counts struct {
	OnTime   int64
	Leftover int64
	Returned int64 // of OnTime: callers that returned as promised
	Held     int64 // of Leftover: requests that were held back before
	Rejected [len(reasonNames)]int64
	Promised int64 // of Rejected: with a promise
}

// Outcomes are what became of requests that were admitted as on time.
type Outcomes struct {
	Met, Missed      int           // their objective
	Expected, Actual time.Duration // sums of the delays of their first events by other requests
}

// Observe processes the outcomes since the last call, at all nodes.
func (controller *Controller) Observe(outcomes Outcomes, load Load, now time.Duration) {
	controller.limit.Observe(outcomes.Met, outcomes.Missed, load, now)
	controller.delays.observe(outcomes.Expected, outcomes.Actual, now)
}

// Decide decides on a request under the load of the model.
func (controller *Controller) Decide(request Request, load Load, now time.Duration) Decision {
	if controller.began == 0 {
		controller.began = now
	}
	queueing := request.Queueing
	request.Queueing = controller.delays.apply(queueing, now)
	returned, rejected := false, request.Held > 0
	if request.Held == 0 {
		returned, rejected = controller.receive(&request, now)
	}
	decision := controller.classify(&request, returned, load, now)
	decision.Queueing, decision.Waited, decision.Due = queueing, request.Waited, request.due()
	if decision.Class == Reject && controller.mayHold(&request, rejected, load, now) {
		decision.Class = Wait
	}
	switch decision.Class {
	case OnTime, Leftover:
		controller.admit(&request, decision, returned, now)
	case Wait:
		controller.held.add(1, now)
		decision.RetryAfter = holdInterval + time.Duration(request.Digest%uint64(holdSpread))
	case Reject:
		controller.shortage.extend(now)
		controller.counts.Rejected[decision.Reason]++
		controller.memory.remember(request.Digest, now-request.Waited, now)
		controller.setRetry(&request, &decision, now)
	}
	return decision
}

// receive records a new request. It reports whether the caller returned as promised, and whether
// it was rejected before, and sets request.Waited if so.
func (controller *Controller) receive(request *Request, now time.Duration) (returned, rejected bool) {
	controller.shares.Ask(request.Account, request.Rank, request.Work, now)
	returned = controller.returns.Redeem(request.Digest, now)
	waited := controller.memory.recall(request.Digest, now)
	request.Waited = max(request.Waited, waited)
	if !returned && request.canBeOnTime() {
		controller.fresh.add(1, now)
	}
	return returned, waited > 0
}

// mayHold reports whether a request may be held back instead of being rejected: it was rejected before, so
// that its caller would not return, or that cannot be known; the shortage has begun recently, so that it may
// end in time; and few others wait.
func (controller *Controller) mayHold(request *Request, rejected bool, load Load, now time.Duration) bool {
	if !rejected && now-controller.began > historyTime {
		return false
	}
	waiting := controller.held.perSecond(now) * (holdInterval + holdSpread/2).Seconds()
	recent := !controller.shortage.active(now) || now-controller.shortage.since < maxHoldShortage
	return recent && request.Held < request.MaxHold && waiting < maxHeldFraction*load.Slots
}

// classify compares the running requests with the limit of the request's kind: callers that return as
// promised, requests within the share of their account, those beyond it, and late ones.
func (controller *Controller) classify(request *Request, returned bool, load Load, now time.Duration) Decision {
	fraction := controller.limit.Fraction()
	slots := max(load.Slots, 1)
	below := func(reserve float64) bool { return load.Running < max((fraction-reserve)*slots, 1) }
	if !returned && !request.canBeOnTime() {
		reserve := leftoverReserve
		if request.Held > 0 {
			reserve = heldReserve
		}
		if below(reserve) {
			return Decision{Class: Leftover, Reason: Late}
		}
		return Decision{Class: Reject, Reason: Late}
	}
	reserve, reason := 0.0, Full
	switch {
	case returned:
		reserve = -returningReserve
	case !below(uncoveredReserve) && !controller.covered(request, now):
		reserve, reason = uncoveredReserve, OverShare
	}
	if below(reserve) {
		return Decision{Class: OnTime}
	}
	return Decision{Class: Reject, Reason: reason}
}

// covered reports whether the request counts towards the part of its account's demand that the
// account's share covers. The digest decides, so that an account's requests are spread evenly.
func (controller *Controller) covered(request *Request, now time.Duration) bool {
	const steps = 1 << 16
	part := controller.shares.Covered(request.Account, request.Rank, now)
	return float64(request.Digest%steps) < part*steps
}

// admit records an admitted request.
func (controller *Controller) admit(request *Request, decision Decision, returned bool, now time.Duration) {
	controller.shares.Admitted(request.Work, now)
	controller.admitted.add(1, now)
	if decision.Class == Leftover {
		controller.counts.Leftover++
		if request.Held > 0 {
			controller.counts.Held++
		}
		return
	}
	controller.counts.OnTime++
	if returned {
		controller.counts.Returned++
	}
}

// setRetry sets when the caller of a rejected request should return.
func (controller *Controller) setRetry(request *Request, decision *Decision, now time.Duration) {
	latest := time.Duration(maxWaitFraction * float64(request.Remaining))
	earliest := min(minRetryAfter, latest)
	at, promised := controller.returns.Promise(request.Digest, now+earliest, now+latest, controller.spareRate(now), now)
	decision.RetryAfter, decision.Promised = max(at-now, 0), promised
	if promised {
		controller.counts.Promised++
	}
}

// spareRate returns how many requests per second can be promised capacity: what is admitted while capacity
// is short, less what can be on time.
func (controller *Controller) spareRate(now time.Duration) float64 {
	admitted := controller.admitted.perSecond(now)
	return max(admitted-controller.fresh.perSecond(now), minPromisedShare*admitted)
}

// Status describes a controller for operators.
type Status struct {
	Limit    float64 // fraction of the slots that may be in use
	Short    bool    // requests were rejected within the last second
	Promises int     // promises that are open
	Counts   Counts
	Usage    []fairshare.Usage
}

// Status returns the state of the controller.
func (controller *Controller) Status(now time.Duration) Status {
	return Status{
		Limit: controller.limit.Fraction(), Short: controller.shortage.active(now), Promises: controller.returns.Len(),
		Counts: controller.counts, Usage: controller.shares.Usage(now),
	}
}
