package overload

import "time"

const (
	// initialFraction is the fraction of the slots that requests may use before any outcome
	// is known.
	initialFraction = 0.9
	// minFraction keeps the limit above the load at which engines idle between passes.
	minFraction = 0.6
	// maxFraction allows for requests that are counted but not yet, or no longer, in a slot. Misses
	// show only when an objective has passed, so that the limit would rise too far without a bound.
	maxFraction = 1.25
	// maxMissedShare is the share of requests admitted as on time that may miss their objective
	// before the limit falls, and minMissedShare the share below which it rises.
	maxMissedShare = 0.10
	minMissedShare = 0.05
	// decrease is the factor by which the limit falls, and increase the step by which it rises.
	decrease = 0.93
	increase = 0.02
	// bindingShare is the share of the limit that must be in use for outcomes to say anything
	// about the limit: below it, misses have another cause than load.
	bindingShare = 0.85
	// minOutcomes is how many outcomes a change of the limit needs.
	minOutcomes = 30
	// raiseInterval is the least time between two rises: outcomes show the effect of the last
	// one after about an objective.
	raiseInterval = 200 * time.Millisecond
	// settleTime is how long outcomes are ignored after a fall: first events that come meanwhile
	// were delayed by the load from before the fall.
	settleTime = 400 * time.Millisecond
	// outcomeExpiry is how long outcomes count that are too few for a change of the limit.
	outcomeExpiry = time.Second
)

// Load is what runs on the usable groups of a model, for all nodes.
type Load struct {
	Running float64 // requests
	Slots   float64 // requests that the groups run at once
}

// Limit is the number of requests of all nodes that may run on a model, as a fraction of its
// slots. It follows the share of requests admitted as on time that miss their objective. The zero
// value starts at initialFraction.
type Limit struct {
	fraction    float64       // 0: initialFraction
	met, missed int           // outcomes since countedFrom
	countedFrom time.Duration // when the outcomes began to count
	changed     time.Duration // when the limit last changed
}

// Fraction returns the fraction of the slots that may be in use.
func (limit *Limit) Fraction() float64 {
	if limit.fraction == 0 {
		return initialFraction
	}
	return limit.fraction
}

// Observe counts the outcomes of requests that were admitted as on time, met and missed since the
// last call, and adjusts the limit if they suffice.
func (limit *Limit) Observe(met, missed int, load Load, now time.Duration) {
	if now < limit.countedFrom {
		return // the load from before the limit's fall caused these
	}
	if now-limit.countedFrom > outcomeExpiry {
		limit.restart(now)
	}
	limit.met += met
	limit.missed += missed
	total := limit.met + limit.missed
	if total < minOutcomes {
		return
	}
	share := float64(limit.missed) / float64(total)
	binding := load.Running >= bindingShare*limit.Fraction()*load.Slots
	switch {
	case share > maxMissedShare && binding:
		limit.fraction = max(limit.Fraction()*decrease, minFraction)
		limit.changed = now
		limit.restart(now + settleTime)
	case share < minMissedShare && binding && now-limit.changed >= raiseInterval:
		limit.fraction = min(limit.Fraction()+increase, maxFraction)
		limit.changed = now
		limit.restart(now)
	case now-limit.countedFrom > raiseInterval:
		limit.restart(now)
	}
}

// restart forgets the outcomes so far, and ignores those before the given time.
func (limit *Limit) restart(from time.Duration) {
	limit.met, limit.missed, limit.countedFrom = 0, 0, from
}
