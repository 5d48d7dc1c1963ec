package entry

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
)

// HeaderOutcome says in every response which of the three outcomes it is.
const HeaderOutcome = "Shedkeel-Outcome"

// outcome is what a caller is told.
type outcome string

// The three outcomes, and refused for requests that are wrong in themselves
// and so did not run either.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
	outcomeRefused  outcome = "refused"
)

// apiError is the body of a response that is no answer, in the form that
// clients of completion services know.
type apiError struct {
	Error apiErrorDetail `json:"error"`
}

type apiErrorDetail struct {
	Message string  `json:"message"`
	Type    outcome `json:"type"`
	Code    int     `json:"code"`
}

// refusal is a request that is wrong in itself.
type refusal struct {
	status int
	text   string
}

// Error names the remedy.
func (refusal *refusal) Error() string { return refusal.text }

// writeError tells the caller why there is no answer. It is called at once
// when that is known, never held back.
func (entry *Entry) writeError(writer http.ResponseWriter, err error) {
	var refused *refusal
	var notRun *shedkeel.NotRunError
	var tooLarge *http.MaxBytesError
	var still *runningError
	switch {
	case errors.As(err, &refused):
		entry.writeOutcome(writer, refused.status, outcomeRefused, err)
	case errors.As(err, &tooLarge):
		entry.writeOutcome(writer, http.StatusRequestEntityTooLarge, outcomeRefused, &refusal{text: "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes; send less"})
	case errors.As(err, &notRun):
		setRetryAfter(writer, notRun.RetryAfter)
		status := http.StatusServiceUnavailable
		if notRun.Overloaded {
			status = http.StatusTooManyRequests
		}
		entry.writeOutcome(writer, status, outcomeNotRun, err)
	case errors.As(err, &still):
		setRetryAfter(writer, time.Second)
		entry.writeOutcome(writer, http.StatusGatewayTimeout, outcomeUnknown, err)
	default:
		entry.writeOutcome(writer, http.StatusBadGateway, outcomeUnknown, err)
	}
}

func setRetryAfter(writer http.ResponseWriter, after time.Duration) {
	seconds := int(math.Ceil(after.Seconds()))
	writer.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
}

func (entry *Entry) writeOutcome(writer http.ResponseWriter, status int, outcome outcome, err error) {
	writer.Header().Set("Content-Type", "application/json")
	entry.setOutcome(writer, outcome)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(apiError{Error: apiErrorDetail{Message: err.Error(), Type: outcome, Code: status}})
}

// setOutcome sets and counts the outcome of a request.
func (entry *Entry) setOutcome(writer http.ResponseWriter, outcome outcome) {
	writer.Header().Set(HeaderOutcome, string(outcome))
	if entry.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	if entry.Metrics != nil {
		entry.Metrics.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("requests").Inc(1)
	}
}

// writeAnswer gives the caller a whole answer.
func (entry *Entry) writeAnswer(writer http.ResponseWriter, answer answer) {
	copyHeader(writer.Header(), answer.header)
	entry.setOutcome(writer, outcomeAnswered)
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body)
}

// copyHeader copies the headers that travel along. The length is not among
// them: the answer may have been held, or go on in pieces.
func copyHeader(to, from http.Header) {
	maps.Copy(to, engine.PassedOn(from))
	to.Del("Content-Length")
}

// runningError says that another try of the same call is still running.
type runningError struct{}

// Error names the remedy.
func (*runningError) Error() string {
	return "outcome unknown: the call is still running under an earlier try; ask again with the same Idempotency-Key"
}
