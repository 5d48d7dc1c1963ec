package dispatch

import "time"

const (
	// meanStreamDuration is the assumed mean duration of a pool's streams until this process has
	// recorded one.
	meanStreamDuration = time.Second
	// minStreamDuration and maxStreamDuration bound each duration that is recorded, so that a few
	// extreme ones do not dominate the average.
	minStreamDuration = 100 * time.Millisecond
	maxStreamDuration = 10 * time.Second
	// durationWeight is the minimum weight of the newest duration in the average: the average is
	// mostly over the last twenty streams.
	durationWeight = 0.05
)

// averageDuration is the moving average of how long the streams of a pool run, or its plain answers
// take, from the choice of the server to the end. It includes the time in the server's queue. The
// zero value and nil are averages without recorded durations.
type averageDuration struct {
	recorded int
	average  time.Duration
}

// value returns the average, or meanStreamDuration if no duration has been recorded.
func (averageDuration *averageDuration) value() time.Duration {
	if averageDuration == nil || averageDuration.recorded == 0 {
		return meanStreamDuration
	}
	return averageDuration.average
}

// record adds a duration to the average. Up to the twentieth duration, all weigh the same, and
// meanStreamDuration as much as one of them.
func (averageDuration *averageDuration) record(duration time.Duration) {
	duration = min(max(duration, minStreamDuration), maxStreamDuration)
	previous := averageDuration.value()
	averageDuration.recorded++
	weight := max(1/float64(averageDuration.recorded+1), durationWeight)
	averageDuration.average = previous + time.Duration(weight*float64(duration-previous))
}

// recordDuration adds the time since the choice to the average of the server's pool, as the request
// ends. Requests that failed, received no event, or are lost do not count: their time is not that
// of a complete stream. The caller must hold the table's mutex.
func (choice *Choice) recordDuration(failed bool, now time.Duration) {
	if !failed && choice.responded && !choice.lost {
		choice.state.duration.record(now - choice.ChosenAt)
	}
}
