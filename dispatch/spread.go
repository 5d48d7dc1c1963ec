package dispatch

import (
	"math"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// readingShare is the part of its time in which a busy group reads prompts;
	// in the rest it writes tokens, so what waits to be read shrinks slower
	// than the clock goes.
	readingShare = 0.5
	// recentTime is how long a request that was given to a group counts as
	// running there, on average: about as long as a stream lasts.
	recentTime = time.Second
	// eachTime is how much longer a pass of a group takes for each request that
	// runs there, where the engine's times are not stated.
	eachTime = time.Millisecond
	// slowFrom is from where on a group counts as slow by the answers that this
	// process had of it. Each process sees few of them, and below it they
	// differ by chance.
	slowFrom = 2.0
	// farTime is what a group in another availability zone counts more: a link
	// of 1 to 2 ms there and back.
	farTime = 3 * time.Millisecond
)

// given is the work that was given to a group by Spread, as of a moment.
type given struct {
	at      time.Duration
	reading time.Duration // prompts that still wait to be read
	running float64       // requests that are likely to run still
}

// fade takes off what has been done since.
func (given *given) fade(now time.Duration) {
	passed := max(now-given.at, 0)
	given.at = now
	given.reading = max(given.reading-time.Duration(readingShare*float64(passed)), 0)
	given.running *= math.Exp(-passed.Seconds() / recentTime.Seconds())
}

// Spread returns the group of a model that is likely to give the first event
// soonest, by the requests that were spread before, and counts this one as
// given to it. It returns "" when none may be sent to.
//
// One process spreads the requests of all: each alone knows few of those that
// run on a group, and prompts that are read at once hold each other up.
func (table *Table) Spread(query Query, zone shedkeel.ZoneID) shedkeel.InstanceID {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var best *state
	soonest := 0.0
	for _, candidate := range table.pools[pool{query.Service, query.Model}] {
		if candidate.avoidTill > query.Now {
			continue
		}
		wait := candidate.wait(zone, query.Now)
		if best == nil || wait < soonest {
			best, soonest = candidate, wait
		}
	}
	if best == nil {
		return ""
	}
	best.given.reading += best.reading(query.Prompt)
	best.given.running++
	return best.Instance
}

// wait is about how long a first event would take, in seconds.
func (state *state) wait(zone shedkeel.ZoneID, now time.Duration) float64 {
	state.forgive(now)
	state.given.fade(now)
	each := state.Each
	if each <= 0 {
		each = eachTime
	}
	wait := idleFirst + state.given.reading + time.Duration(state.given.running*float64(each))
	if state.Zone != zone {
		wait += farTime
	}
	cost := wait.Seconds() * (1 + failCost*state.failures)
	if state.slowness >= slowFrom {
		cost *= state.slowness
	}
	return cost
}
