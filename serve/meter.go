package serve

import (
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel/completeness"
)

// Meter holds the metrics of request handling. The zero value records nothing.
type Meter struct {
	answered         tally.Counter                  // requests for which a server's answer was forwarded, of any status
	refused          [len(causeNames)]tally.Counter // requests refused with 503, by cause
	failed           tally.Counter                  // requests that got another error status from the handler itself
	aborted          tally.Counter                  // requests that ended with errAborted
	hedges           tally.Counter                  // sources started beside a stalled source
	failedAttempts   tally.Counter                  // attempts that were logged as event.AttemptFailed
	retriesDenied    tally.Counter                  // retries that the retry budget did not allow
	noServer         tally.Counter                  // attempts for which chooseWithPermit found no server
	noRecommendation tally.Counter                  // calls of Handler.Recommend that returned false
	backoffs         tally.Counter                  // answers in which a server asked for a backoff
	firstEvent       tally.Histogram                // of completed streams: time from the request to the first event; 0: no event
	longestPause     tally.Histogram                // of completed streams: longest time between two forwarded events; 0: fewer than two
	answerTime       tally.Histogram                // of the requests in answered: time from the request to the end of the answer
	eventsDropped    tally.Counter                  // events of attempts that were not forwarded
	endsJudged       [3]tally.Counter               // close-delimited answers, by completeness.Verdict
	endChecks        [3]tally.Counter               // failed attempts after which was checked whether the server has terminated, by completeness.Process
	endJudgment      tally.Histogram                // of the answers in endsJudged: time that the judgment took
}

// NewMeter returns a meter that reports to the scope. Its histogram buckets are densest around
// the usual latency objectives, 150 to 500 ms, and end at the usual deadlines of callers.
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
	meter.eventsDropped = scope.Counter("events_dropped")
	meter.endJudgment = scope.Histogram("answer_end_judgment", buckets)
	for _, verdict := range []completeness.Verdict{completeness.Unknown, completeness.Complete, completeness.Incomplete} {
		meter.endsJudged[verdict] = scope.Tagged(map[string]string{"outcome": verdict.String()}).Counter("answer_ends_judged")
	}
	for _, process := range []completeness.Process{completeness.ProcessUnknown, completeness.ProcessRuns, completeness.ProcessEnded} {
		meter.endChecks[process] = scope.Tagged(map[string]string{"outcome": process.String()}).Counter("server_end_checks")
	}
	for cause, name := range causeNames {
		meter.refused[cause] = scope.Tagged(map[string]string{"cause": name}).Counter("requests_refused")
	}
	return meter
}

// count increments the counter, which may be nil.
func count(counter tally.Counter) { add(counter, 1) }

// add increases the counter, which may be nil.
func add(counter tally.Counter, increase int) {
	if counter != nil {
		counter.Inc(int64(increase))
	}
}

// record adds a duration to the histogram, which may be nil.
func record(histogram tally.Histogram, length time.Duration) {
	if histogram != nil {
		histogram.RecordDuration(length)
	}
}
