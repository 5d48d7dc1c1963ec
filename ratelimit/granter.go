package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"shedkeel.org/shedkeel"
)

const (
	// handover is how long after a change of the processes that answer no permits are
	// granted of servers that are new to this one: another may have granted them.
	handover = time.Second
	// trialRate is the least rate at which a server is sent requests, in requests a
	// second: only its answers tell that its limit has ended.
	trialRate = 0.1
	// leastBurst is how many permits are kept at least for requests to come, and
	// burstTime for how long they are.
	leastBurst = 2
	burstTime  = 50 * time.Millisecond
	// mostWait is the longest time after which a refused process asks again.
	mostWait = 2 * time.Second
)

// Granter grants the permits of servers that limit their rate. At each moment one
// process grants those of a server. The zero value is ready. It is safe for
// concurrent use.
type Granter struct {
	mutex   sync.Mutex
	buckets map[shedkeel.InstanceID]*bucket
}

// bucket is the token bucket of one server. It begins empty.
type bucket struct {
	tokens *rate.Limiter
	from   time.Duration // permits are granted from then on
	turn   time.Duration // when the one that was refused last is to ask again
	usage  Usage
}

// Usage is how many permits of a server a process has granted and refused since it
// grants them.
type Usage struct {
	Granted int64
	Refused int64
}

// Ask is the question whether a request may be sent to a server.
type Ask struct {
	Server   shedkeel.InstanceID
	Rate     float64       // requests a second that this process may grant
	Patience time.Duration // how long the request can wait
	Settled  time.Duration // since when the same processes answer as now
}

// Grant answers a question.
func (granter *Granter) Grant(ask Ask, now time.Duration) shedkeel.Permit {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	bucket := granter.bucket(ask, now)
	if now < bucket.from {
		return bucket.refuse(bucket.from-now, now)
	}
	reservation := bucket.tokens.ReserveN(instant(now), 1)
	delay := reservation.DelayFrom(instant(now))
	if delay > ask.Patience {
		reservation.CancelAt(instant(now))
		return bucket.refuse(delay, now)
	}
	bucket.usage.Granted++
	return shedkeel.Permit{Granted: true, Wait: delay}
}

// bucket returns the server's bucket, filled at the rate that holds now. The mutex
// is held.
func (granter *Granter) bucket(ask Ask, now time.Duration) *bucket {
	perSecond := rate.Limit(max(ask.Rate, trialRate))
	known := granter.buckets[ask.Server]
	if known != nil {
		if known.tokens.Limit() != perSecond {
			known.tokens.SetLimitAt(instant(now), perSecond)
			known.tokens.SetBurstAt(instant(now), burst(perSecond))
		}
		return known
	}
	known = &bucket{tokens: rate.NewLimiter(perSecond, burst(perSecond)), from: max(now, ask.Settled+handover)}
	known.tokens.AllowN(instant(known.from), burst(perSecond))
	if granter.buckets == nil {
		granter.buckets = map[shedkeel.InstanceID]*bucket{}
	}
	granter.buckets[ask.Server] = known
	return known
}

// burst is how many permits are kept at the rate.
func burst(perSecond rate.Limit) int {
	return max(leastBurst, int(float64(perSecond)*burstTime.Seconds()))
}

// refuse tells when to ask again: each at a time of its own, at the server's rate.
func (bucket *bucket) refuse(delay, now time.Duration) shedkeel.Permit {
	bucket.usage.Refused++
	bucket.turn = max(bucket.turn, now+delay)
	wait := min(bucket.turn-now, mostWait)
	bucket.turn = now + wait + time.Duration(float64(time.Second)/float64(bucket.tokens.Limit()))
	return shedkeel.Permit{Wait: wait}
}

// Usage returns what has become of the questions for permits of a server.
func (granter *Granter) Usage(server shedkeel.InstanceID) Usage {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	if bucket := granter.buckets[server]; bucket != nil {
		return bucket.usage
	}
	return Usage{}
}

// Retain forgets the servers whose permits this process grants no longer.
func (granter *Granter) Retain(granted func(shedkeel.InstanceID) bool) {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	for server := range granter.buckets {
		if !granted(server) {
			delete(granter.buckets, server)
		}
	}
}

// instant is a time on the steady clock, as token buckets count it.
func instant(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
