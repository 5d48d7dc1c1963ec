package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"shedkeel.org/shedkeel"
)

const (
	// A process that becomes the granter of a server grants no permits of the server until
	// handoverDelay after the last change of the set of live processes, because the previous
	// granter may still be granting them.
	handoverDelay = time.Second
	// probeRate is the lowest rate at which permits are granted, in requests per second,
	// even if the server states a rate of zero: only the answers to requests show that
	// the limit has been lifted.
	probeRate = 0.1
	// The capacity of a bucket is the number of permits that accumulate in burstDuration at
	// the server's rate, but at least minBurst (see burst).
	minBurst      = 2
	burstDuration = 50 * time.Millisecond
	// maxRetryWait bounds the Wait of a refusal, so that refused processes ask again
	// after at most this time.
	maxRetryWait = 2 * time.Second
)

// Granter grants permits of servers that limit their rate, with a token bucket for each
// server. Its callers must ensure that only one process at a time grants the permits of a
// server. The zero value is ready to use. It is safe for concurrent use.
type Granter struct {
	mutex   sync.Mutex
	buckets map[shedkeel.InstanceID]*bucket
}

// bucket is the token bucket of one server. It is empty until grantsFrom, and fills at the rate of
// the latest PermitRequest for the server.
type bucket struct {
	tokens     *rate.Limiter
	grantsFrom time.Duration // no permits are granted before this time
	nextRetry  time.Duration // earliest time at which the process that is refused next should ask again
	usage      Usage
}

// Usage counts the permits of a server that a process has granted and refused since it
// became the server's granter.
type Usage struct {
	Granted int64
	Refused int64
}

// PermitRequest is a request for one permit.
type PermitRequest struct {
	Server       shedkeel.InstanceID
	Rate         float64       // permits per second that this process may grant for the server
	MaxWait      time.Duration // how long the request can wait: a permit may be granted that becomes valid within this time
	SettledSince time.Duration // since when the set of live processes has not changed
}

// Grant grants or refuses a permit. A granted permit is valid after its Wait, which is at most
// request.MaxWait. Grant refuses a permit that would become valid later, and all permits before
// the grantsFrom of the server's bucket. The Wait of a refusal is how long the caller should
// wait before it asks again.
func (granter *Granter) Grant(request PermitRequest, now time.Duration) shedkeel.Permit {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	bucket := granter.bucket(request, now)
	if now < bucket.grantsFrom {
		return bucket.refuse(bucket.grantsFrom-now, now)
	}
	reservation := bucket.tokens.ReserveN(instant(now), 1)
	delay := reservation.DelayFrom(instant(now))
	if delay > request.MaxWait {
		reservation.CancelAt(instant(now))
		return bucket.refuse(delay, now)
	}
	bucket.usage.Granted++
	return shedkeel.Permit{Granted: true, Wait: delay}
}

// bucket returns the server's bucket, with its rate set to request.Rate, but at least to
// probeRate. It creates an empty bucket for a new server. The caller must hold the mutex.
func (granter *Granter) bucket(request PermitRequest, now time.Duration) *bucket {
	perSecond := rate.Limit(max(request.Rate, probeRate))
	known := granter.buckets[request.Server]
	if known != nil {
		if known.tokens.Limit() != perSecond {
			known.tokens.SetLimitAt(instant(now), perSecond)
			known.tokens.SetBurstAt(instant(now), burst(perSecond))
		}
		return known
	}
	known = &bucket{tokens: rate.NewLimiter(perSecond, burst(perSecond)), grantsFrom: max(now, request.SettledSince+handoverDelay)}
	known.tokens.AllowN(instant(known.grantsFrom), burst(perSecond)) // a new rate.Limiter is full: empty it
	if granter.buckets == nil {
		granter.buckets = map[shedkeel.InstanceID]*bucket{}
	}
	granter.buckets[request.Server] = known
	return known
}

// burst returns the capacity of a bucket, in permits.
func burst(perSecond rate.Limit) int {
	return max(minBurst, int(float64(perSecond)*burstDuration.Seconds()))
}

// refuse counts and returns a refusal. The Wait of the refusal is delay, or longer after other
// refusals, but at most maxRetryWait. The retry times of successive refusals are spaced at the
// server's rate, so that refused processes do not all ask again at the same time.
func (bucket *bucket) refuse(delay, now time.Duration) shedkeel.Permit {
	bucket.usage.Refused++
	bucket.nextRetry = max(bucket.nextRetry, now+delay)
	wait := min(bucket.nextRetry-now, maxRetryWait)
	bucket.nextRetry = now + wait + time.Duration(float64(time.Second)/float64(bucket.tokens.Limit()))
	return shedkeel.Permit{Wait: wait}
}

// Usage returns how many permits of a server this process has granted and refused since it
// became the server's granter, or zeros if it has granted and refused none.
func (granter *Granter) Usage(server shedkeel.InstanceID) Usage {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	if bucket := granter.buckets[server]; bucket != nil {
		return bucket.usage
	}
	return Usage{}
}

// Retain removes the buckets of the servers for which granted returns false, because this
// process no longer grants their permits.
func (granter *Granter) Retain(granted func(shedkeel.InstanceID) bool) {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	for server := range granter.buckets {
		if !granted(server) {
			delete(granter.buckets, server)
		}
	}
}

// instant converts a time on the monotonic clock of shedkeel.Timers to the time.Time that
// rate.Limiter takes.
func instant(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
