package serve

import (
	"hash/fnv"
	"time"
)

const (
	// soonBack is what callers are told where another process can serve them
	// at once, or this one will in some milliseconds.
	soonBack = 50 * time.Millisecond
	// repairBack is about the time in which a group is repaired with a
	// substitute, or in which some places of full servers become free.
	repairBack = 700 * time.Millisecond
	// outageBack is the least that callers are told in an outage of the
	// key-value service in which no process can serve them. An outage that has
	// lasted for longer is taken to last on for as long again. Callers come
	// back once or a few times: of 503 refusals after a loss of all processes
	// 480 were told 50 ms, and came back to be refused again; 0.032 of the worth
	// of such a day (paired plays).
	outageBack = 1200 * time.Millisecond
	// waitShare is the part of the time that a caller has left that it may be
	// asked to wait: callers heed no more than a third, and need the rest to be
	// answered.
	waitShare = 0.3
	// backSpread is the part by which the times of callers differ, so that
	// those who were refused together don't come back as one crowd.
	backSpread = 0.25
)

// cause is why a request is refused though it is proper.
type cause int

const (
	causeElsewhere   cause = iota // this process takes no requests; others do
	causeNoProof                  // what this process knows is nothing, or out of date
	causeNoPlace                  // no server may be sent to, or none has a place
	causeNotRun                   // servers refused it or could not be reached
	causeQuarantined              // servers ended under it, and another try of it is made now
	causeLimited                  // the servers limit their rate, and no permit is free in time
	causeContained                // so many servers ended under it that no try is made any more
)

// causeNames are the causes in logs and metrics.
var causeNames = [...]string{"elsewhere", "no_proof", "no_place", "not_run", "quarantined", "limited", "contained"}

// String names the cause.
func (cause cause) String() string { return causeNames[cause] }

// comeBack is when the caller should come back after a refusal; 0 where that would
// not help it.
func (life *life) comeBack(cause cause) time.Duration {
	back := repairBack
	switch cause {
	case causeContained:
		return 0
	case causeElsewhere:
		back = soonBack
	case causeLimited:
		// Nobody can be served earlier, so these times differ upwards.
		back = life.permitWait + time.Duration(backSpread*life.lot()*float64(life.permitWait))
		return max(min(back, time.Duration(waitShare*float64(life.left()))), soonBack)
	case causeNoProof:
		back = life.front.proofBack(life.front.Timers.Now())
	}
	back = min(back, time.Duration(waitShare*float64(life.left())))
	back -= time.Duration(backSpread * life.lot() * float64(back))
	return max(back, soonBack)
}

// proofBack is in how long a process that can't know what is in force is
// likely to: at once where it alone is cut off or has just started, when the
// outage is likely to end where all are in one.
func (front *Front) proofBack(now time.Duration) time.Duration {
	if front.Outage == nil {
		return soonBack
	}
	since, away := front.Outage()
	if !away {
		return soonBack
	}
	return max(outageBack, now-since)
}

// left is how long the caller still waits.
func (life *life) left() time.Duration {
	until := life.untilOwn
	if until == 0 {
		until = life.began + defaultTimeout
		if life.call.Deadline > 0 {
			until = life.began + life.call.Deadline
		}
	}
	return until - life.front.Timers.Now()
}

// lot is a number from 0 to 1 that is the request's own.
func (life *life) lot() float64 {
	const lots = 1 << 10
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(life.call.ID)) // it never fails
	return float64(hash.Sum32()%lots) / lots
}
