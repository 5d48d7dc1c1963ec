package serve

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Meter counts what becomes of requests. The zero value counts nothing.
type Meter struct {
	answered      tally.Counter
	refused       [len(causeNames)]tally.Counter // by cause
	failed        tally.Counter
	broken        tally.Counter
	moves         tally.Counter
	sendingFailed tally.Counter
	noBudget      tally.Counter
	noServer      tally.Counter
	notSpread     tally.Counter
	backoffs      tally.Counter
	first         tally.Histogram
	pause         tally.Histogram
	took          tally.Histogram
}

// NewMeter returns a meter in the scope. Its buckets lie around the objectives
// of the users' sites, 150 to 500 ms, and end at their deadlines.
func NewMeter(scope tally.Scope) *Meter {
	buckets := tally.DurationBuckets{}
	for _, millis := range []int{20, 50, 100, 150, 200, 250, 300, 400, 500, 700, 1000, 1500, 2500, 4000, 8000} {
		buckets = append(buckets, time.Duration(millis)*time.Millisecond)
	}
	meter := &Meter{
		answered: scope.Counter("requests_answered"), failed: scope.Counter("requests_failed"),
		broken: scope.Counter("answers_broken_off"), moves: scope.Counter("streams_moved"), sendingFailed: scope.Counter("sendings_failed"),
		noBudget: scope.Counter("repeats_not_allowed"), noServer: scope.Counter("no_server_found"),
		notSpread: scope.Counter("requests_not_spread"), backoffs: scope.Counter("backoffs_stated"),
		first: scope.Histogram("first_event", buckets), pause: scope.Histogram("longest_pause", buckets), took: scope.Histogram("answer_time", buckets),
	}
	for cause, name := range causeNames {
		meter.refused[cause] = scope.Tagged(map[string]string{"cause": name}).Counter("requests_refused")
	}
	return meter
}

func count(counter tally.Counter) {
	if counter != nil {
		counter.Inc(1)
	}
}

func record(histogram tally.Histogram, length time.Duration) {
	if histogram != nil {
		histogram.RecordDuration(length)
	}
}
