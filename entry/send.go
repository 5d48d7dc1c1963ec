package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/admit"
	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/route"
)

const (
	// maxTries limits the tries of one call.
	maxTries = 3
	// maxAnswerBytes limits an answer that is buffered before it is forwarded.
	maxAnswerBytes = 32 << 20
)

// call is one request of a caller that is forwarded to a backend server.
type call struct {
	caller          *caller
	service         *shedkeel.Service
	method          string
	path            string // with the query, as sent to the backend server
	header          http.Header
	body            []byte
	affinity        uint64        // see completionRequest.affinity; 0: none
	timeout         time.Duration // time limit, counted from began
	began           time.Duration
	repeatable      bool   // may be sent again even if an earlier try may have run
	freshConnection bool   // sent over a new connection; see engine.WithFreshConnection
	attemptID       string // attempt ID for all tries, or empty for a new one each try
	mustEchoAttempt bool   // the response must carry the attempt ID, as those of model groups do

	id           string // request ID for the caller and operators
	tries        []TryRecord
	triedServers []string
	mayHaveRun   error    // error of the latest try that may have run; nil: none
	admitted     bool     // by the admission gate
	releases     []func() // return the room of the answers that were read
}

// try is one sending of a call to a backend server or group. If a stream breaks off
// and is resumed, that belongs to the same try. The entry must call its end function
// once.
type try struct {
	call      *call
	choice    *route.Choice
	attemptID string
	end       func()          // releases the context and the choice
	context   context.Context //nolint:containedctx // a try lasts as long as its context
	entry     *Entry
}

// finalError returns the error to report to the caller when the entry makes no more
// tries. It replaces a NotRunError by an UnknownRunError if an earlier try may have
// run.
func (call *call) finalError(err error) error {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) && call.mayHaveRun != nil {
		return &shedkeel.UnknownRunError{Reason: "an earlier try may have run, and no other could be made", Cause: call.mayHaveRun}
	}
	return err
}

// nextTry chooses an untried server for the next try of a call and, if the admission gate
// has not admitted the call yet, passes the call through it. The error is a NotRunError, or
// an UnknownRunError if an earlier try may have run. The caller must call end on the try.
func (entry *Entry) nextTry(ctx context.Context, call *call) (*try, error) {
	now := entry.Timers.Now()
	remaining := call.timeout - (now - call.began)
	if remaining <= 0 {
		return nil, call.finalError(&shedkeel.NotRunError{Reason: "the deadline has passed", RetryAfter: time.Second})
	}
	if len(call.triedServers) == 0 {
		entry.retryBudget.FirstAttempt()
	} else if len(call.triedServers) >= maxTries || !entry.retryBudget.Retry() {
		return nil, call.finalError(&shedkeel.NotRunError{Reason: "no more tries may be made", RetryAfter: time.Second})
	}
	choice, err := entry.router.Choose(route.Request{Service: call.service.ID, Affinity: call.affinity, Now: now, Exclude: call.triedServers})
	if err != nil {
		return nil, call.finalError(err)
	}
	if err := entry.admit(call, choice, remaining); err != nil {
		choice.End(now)
		return nil, call.finalError(err)
	}
	call.triedServers = append(call.triedServers, choice.Name)
	ctx, untrack := entry.inFlight.begin(ctx, choice.Assignment)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	attempt := call.attemptID
	if attempt == "" {
		attempt = entry.NewAttemptID()
	}
	end := func() {
		cancel()
		untrack()
		choice.End(entry.Timers.Now())
	}
	return &try{call: call, choice: choice, attemptID: attempt, end: end, context: ctx, entry: entry}, nil
}

// admit passes a call through the admission gate, unless the gate has admitted it
// already. The gate refuses a call that would wait for longer than the remaining time
// or the service's MaxWait, or that exceeds the account's fair share.
func (entry *Entry) admit(call *call, choice *route.Choice, remaining time.Duration) error {
	if call.admitted {
		return nil
	}
	if wait := time.Duration(call.service.MaxWait); wait > 0 {
		remaining = min(remaining, wait)
	}
	_, capacity, _ := entry.router.Load(call.service.ID)
	err := entry.gate.Enter(admit.Request{
		Service: call.service.ID, Account: call.caller.account.ID, Deadline: remaining,
		Capacity: capacity, Load: choice.Load, TargetCapacity: choice.Capacity,
		Weight: func(account shedkeel.AccountID) int { return call.caller.snapshot.weights[account] },
	})
	call.admitted = err == nil
	return err
}

// leaveGate reports to the admission gate that a call has ended, with its duration,
// or 0 if it was not answered.
func (entry *Entry) leaveGate(call *call, answered bool) {
	for _, release := range call.releases {
		release()
	}
	if !call.admitted {
		return
	}
	ran := time.Duration(0)
	if answered {
		ran = entry.Timers.Now() - call.began
	}
	entry.gate.Leave(call.service.ID, call.caller.account.ID, ran)
}

// send sends the request and checks the response. The error is a NotRunError if the
// request did not run, a refusal if no valid request can be built, and an
// UnknownRunError if the request may have run. The caller must close the response
// body.
func (try *try) send() (*http.Response, error) {
	call := try.call
	request, err := http.NewRequestWithContext(try.context, call.method, "http://"+try.choice.Address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, text: "the request cannot be sent on: " + err.Error()}
	}
	copyHeader(request.Header, call.header)
	request.Header.Set(engine.HeaderAttempt, try.attemptID)
	if try.choice.Assignment.Group != "" {
		request.Header.Set(engine.HeaderGroup, string(try.choice.Assignment.Group))
		request.Header.Set(engine.HeaderEpoch, fmt.Sprint(try.choice.Assignment.Epoch))
	}
	if call.freshConnection {
		request = request.WithContext(engine.WithFreshConnection(request.Context()))
	}
	// Check the permit last: the process may have been suspended since the
	// server was chosen, and the permit may have expired.
	if try.entry.Timers.Now() >= try.choice.UsableUntil {
		return nil, &shedkeel.NotRunError{Reason: "the proof that " + try.choice.Name + " is whole has run out", RetryAfter: time.Second}
	}
	response, err := try.entry.Backend.Send(request)
	if err != nil {
		return nil, try.withGroupLoss(err)
	}
	if err := try.checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// withGroupLoss returns an UnknownRunError that names the loss of a group member if
// the entry canceled the request because of that loss, and otherwise err. It returns a
// NotRunError unchanged.
func (try *try) withGroupLoss(err error) error {
	var notRun *shedkeel.NotRunError
	if !errors.As(err, &notRun) && errors.Is(context.Cause(try.context), errGroupBroken) {
		return &shedkeel.UnknownRunError{Reason: "group " + try.choice.Name + " lost a member", Cause: err}
	}
	return err
}

// checkResponse returns an UnknownRunError if the response names another attempt,
// lacks the attempt ID although a model group must repeat it, or is a server error of
// a model group. It returns a NotRunError if the response says that the request did
// not run.
func (try *try) checkResponse(response *http.Response) error {
	echoed := response.Header.Get(engine.HeaderAttempt)
	if echoed != try.attemptID && (echoed != "" || try.call.mustEchoAttempt) {
		try.entry.Log.Write(event.WrongAnswer, slog.String("server", try.choice.Name), slog.String("attempt", try.attemptID), slog.String("answered", echoed))
		return &shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " answered for another request", Cause: errWrongAnswer}
	}
	if response.Header.Get(engine.HeaderNotRun) != "" {
		return &shedkeel.NotRunError{Reason: "backend server " + try.choice.Name + " refused it: " + response.Header.Get(engine.HeaderNotRun), RetryAfter: time.Second}
	}
	if response.StatusCode >= http.StatusInternalServerError && try.call.mustEchoAttempt {
		return &shedkeel.UnknownRunError{Reason: fmt.Sprintf("group %s failed with status %d", try.choice.Name, response.StatusCode), Cause: errServerFailed}
	}
	return nil
}

// The causes of an UnknownRunError for a response that is not a complete answer.
var (
	errWrongAnswer  = errors.New("the answer names another attempt")
	errServerFailed = errors.New("the server failed")
	errNoEnd        = errors.New("nothing shows where the answer ends")
)

// readAnswer reads a response and returns it if it is complete. The error is an
// UnknownRunError if the response breaks off, shows no end, is longer than
// maxAnswerBytes or has no room. readAnswer closes the body.
func (try *try) readAnswer(response *http.Response) (answer, error) {
	defer func() { _ = response.Body.Close() }()
	// Servers of other services have no health check that names their process.
	if completeness.Judge(engine.CloseDelimited(try.call.method, response), nil, completeness.ProcessUnknown) != completeness.Complete {
		return answer{}, &shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " gave an answer without length", Cause: errNoEnd}
	}
	body, release, err := engine.ReadAnswer(response.Body, maxAnswerBytes, try.entry.answers)
	if err != nil {
		return answer{}, try.withGroupLoss(&shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " did not answer whole", Cause: err})
	}
	try.call.releases = append(try.call.releases, release)
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// mayRetry reports whether the call may be sent again after this error: always after a
// NotRunError, after an UnknownRunError if the call is repeatable, and never after any
// other error. It stores an UnknownRunError in mayHaveRun.
func (call *call) mayRetry(err error) bool {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) {
		return true
	}
	var unknown *shedkeel.UnknownRunError
	if !errors.As(err, &unknown) {
		return false
	}
	call.mayHaveRun = err
	return call.repeatable
}

// completeAnswer makes tries of a call, each on another server, until it has a
// complete answer, an error after which the call may not be sent again, or no more
// tries are allowed. It makes no further try once ctx has ended.
func (entry *Entry) completeAnswer(ctx context.Context, call *call) (answer, error) {
	for {
		try, err := entry.nextTry(ctx, call)
		if err != nil {
			return answer{}, err
		}
		answered, err := try.sendAndRead()
		try.record(err)
		if err == nil {
			return answered, nil
		}
		if !call.mayRetry(err) || ctx.Err() != nil {
			return answer{}, err
		}
	}
}

// record adds the result of the try to the tries of its call.
func (try *try) record(err error) {
	try.call.tries = append(try.call.tries, TryRecord{Server: try.choice.Name, Load: try.choice.Load, Result: resultText(err)})
}

// sendAndRead sends the request and reads the complete answer.
func (try *try) sendAndRead() (answer, error) {
	defer try.end()
	response, err := try.send() //nolint:bodyclose // readAnswer closes it
	if err != nil {
		return answer{}, err
	}
	return try.readAnswer(response)
}
