package overload

import "time"

const (
	// correctionTime is the time constant with which observed delays are forgotten.
	correctionTime = time.Second
	// priorDelay is the weight of the estimate before anything is observed, in summed delays: those of
	// some tens of requests.
	priorDelay = 2 * time.Second
	// minCorrection and maxCorrection bound the factor, so that a few outliers do not decide alone.
	minCorrection = 0.2
	maxCorrection = 3.0
)

// correction is the factor by which actual delays of first events differ from expected ones.
type correction struct {
	expected, actual float64 // sums in seconds, decayed
	at               time.Duration
}

// observe adds sums of delays.
func (correction *correction) observe(expected, actual, now time.Duration) {
	correction.decay(now)
	correction.expected += expected.Seconds()
	correction.actual += actual.Seconds()
}

// apply corrects an expected delay.
func (correction *correction) apply(delay, now time.Duration) time.Duration {
	correction.decay(now)
	prior := priorDelay.Seconds()
	factor := (correction.actual + prior) / (correction.expected + prior)
	return time.Duration(float64(delay) * min(max(factor, minCorrection), maxCorrection))
}

func (correction *correction) decay(now time.Duration) {
	share := remainingShare(now-correction.at, correctionTime)
	correction.at = now
	correction.expected *= share
	correction.actual *= share
}
