package overload

import (
	"math"
	"time"
)

// rateTime is the time constant of a rate.
const rateTime = 500 * time.Millisecond

// rate is an exponentially weighted rate of events.
type rate struct {
	sum float64
	at  time.Duration
}

// add counts events.
func (rate *rate) add(count float64, now time.Duration) {
	rate.decay(now)
	rate.sum += count
}

// perSecond returns the events per second.
func (rate *rate) perSecond(now time.Duration) float64 {
	rate.decay(now)
	return rate.sum / rateTime.Seconds()
}

func (rate *rate) decay(now time.Duration) {
	elapsed := max(now-rate.at, 0)
	rate.at = now
	rate.sum *= math.Exp(-elapsed.Seconds() / rateTime.Seconds())
}
