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

// HeaderOutcome is the response header with the outcome of the request.
const HeaderOutcome = "Shedkeel-Outcome"

// outcome is the value of HeaderOutcome and the type in an error body.
type outcome string

// The outcomes. outcomeRefused is for invalid requests, which the entry does not send
// to a backend server.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
	outcomeRefused  outcome = "refused"
)

// apiError is the body of an error response, in the form that completion clients
// expect.
type apiError struct {
	Error apiErrorDetail `json:"error"`
}

// apiErrorDetail is the error in an apiError.
type apiErrorDetail struct {
	Message string  `json:"message"`
	Type    outcome `json:"type"`
	Code    int     `json:"code"`
}

// refusal is the error for an invalid request, with the HTTP status to send.
type refusal struct {
	status int
	text   string
}

// Error returns the message, which says how to correct the request.
func (refusal *refusal) Error() string { return refusal.text }

// writeError sends an error response. The outcome is refused for a refusal and a body
// that is too large; not-run for a NotRunError, with status 429 on overload and 503
// otherwise; and unknown for all other errors, with status 504 if the call still runs and
// 502 otherwise. Call it at once, without waiting for the caller's time limit.
func (entry *Entry) writeError(writer http.ResponseWriter, err error) {
	var refused *refusal
	var notRun *shedkeel.NotRunError
	var tooLarge *http.MaxBytesError
	var running *stillRunningError
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
	case errors.As(err, &running):
		setRetryAfter(writer, time.Second)
		entry.writeOutcome(writer, http.StatusGatewayTimeout, outcomeUnknown, err)
	default:
		entry.writeOutcome(writer, http.StatusBadGateway, outcomeUnknown, err)
	}
}

// setRetryAfter sets the Retry-After header, rounded up to at least one second.
func setRetryAfter(writer http.ResponseWriter, after time.Duration) {
	seconds := int(math.Ceil(after.Seconds()))
	writer.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
}

// writeOutcome writes an error response.
func (entry *Entry) writeOutcome(writer http.ResponseWriter, status int, outcome outcome, err error) {
	writer.Header().Set("Content-Type", "application/json")
	entry.setOutcome(writer, outcome)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(apiError{Error: apiErrorDetail{Message: err.Error(), Type: outcome, Code: status}})
}

// setOutcome sets the outcome header and counts the request. While the entry is
// stopping, it also asks the caller to close the connection.
func (entry *Entry) setOutcome(writer http.ResponseWriter, outcome outcome) {
	writer.Header().Set(HeaderOutcome, string(outcome))
	if entry.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	if entry.Metrics != nil {
		entry.Metrics.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("requests").Inc(1)
	}
}

// writeAnswer sends a complete answer to the caller.
func (entry *Entry) writeAnswer(writer http.ResponseWriter, answer answer) {
	copyHeader(writer.Header(), answer.header)
	entry.setOutcome(writer, outcomeAnswered)
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body)
}

// copyHeader copies the end-to-end headers, except Content-Length: a buffered answer
// gets its own length, and a stream has none.
func copyHeader(to, from http.Header) {
	maps.Copy(to, engine.EndToEndHeaders(from))
	to.Del("Content-Length")
}

// stillRunningError is the error when another attempt of the same idempotent call
// is still running.
type stillRunningError struct{}

// Error returns the message, which says how to get the answer.
func (*stillRunningError) Error() string {
	return "outcome unknown: the call is still running under an earlier try; ask again with the same Idempotency-Key"
}
