package serve

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Meter holds the metrics of request handling. The zero value records nothing.
type Meter struct {
	answered         tally.Counter
	refused          [len(causeNames)]tally.Counter // by cause
	failed           tally.Counter
	aborted          tally.Counter
	hedges           tally.Counter
	failedAttempts   tally.Counter
	retriesDenied    tally.Counter
	noServer         tally.Counter
	noRecommendation tally.Counter
	backoffs         tally.Counter
	firstEvent       tally.Histogram
	longestPause     tally.Histogram
	answerTime       tally.Histogram
}

// NewMeter returns a meter that reports to the scope. Its histogram buckets are densest around
// the latency objectives of the users' sites, 150 to 500 ms, and end at the sites' deadlines.
func NewMeter(scope tally.Scope) *Meter {
	buckets := tally.DurationBuckets{}
	for _, millis := range []int{20, 50, 100, 150, 200, 250, 300, 400, 500, 700, 1000, 1500, 2500, 4000, 8000} {
		buckets = append(buckets, time.Duration(millis)*time.Millisecond)
	}
	meter := &Meter{
		answered: scope.Counter("requests_answered"), failed: scope.Counter("requests_failed"),
		aborted: scope.Counter("answers_broken_off"), hedges: scope.Counter("streams_moved"), failedAttempts: scope.Counter("sendings_failed"),
		retriesDenied: scope.Counter("repeats_not_allowed"), noServer: scope.Counter("no_server_found"),
		noRecommendation: scope.Counter("requests_not_spread"), backoffs: scope.Counter("backoffs_stated"),
		firstEvent: scope.Histogram("first_event", buckets), longestPause: scope.Histogram("longest_pause", buckets), answerTime: scope.Histogram("answer_time", buckets),
	}
	for cause, name := range causeNames {
		meter.refused[cause] = scope.Tagged(map[string]string{"cause": name}).Counter("requests_refused")
	}
	return meter
}

// count increments the counter, which may be nil.
func count(counter tally.Counter) {
	if counter != nil {
		counter.Inc(1)
	}
}

// record adds a duration to the histogram, which may be nil.
func record(histogram tally.Histogram, length time.Duration) {
	if histogram != nil {
		histogram.RecordDuration(length)
	}
}
