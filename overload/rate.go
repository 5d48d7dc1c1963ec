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
	rate.sum *= remainingShare(now-rate.at, rateTime)
	rate.at = now
}

// remainingShare returns the share of an amount that is left after the elapsed time, if it decays
// exponentially with the time constant. Times that go back count as none.
func remainingShare(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / constant.Seconds())
}
