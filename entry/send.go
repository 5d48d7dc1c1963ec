package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/admit"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/route"
)

const (
	// maxTries bounds how often one request is sent.
	maxTries = 3
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 32 << 20
)

// call is one request of a caller on its way to a backend server.
type call struct {
	caller     *caller
	service    *shedkeel.Service
	method     string
	path       string // with the query, as the backend server gets it
	header     http.Header
	body       []byte
	affinity   uint64
	deadline   time.Duration // how long the caller waits
	began      time.Duration
	repeatable bool   // may be sent again though it may have run
	fresh      bool   // sent over a connection of its own
	attempt    string // fixed name, or empty for a new one each try
	echo       bool   // the answer must name the attempt

	id       string // names the request to its caller and to operators
	tries    []TryRecord
	tried    []string
	mayHave  error // why an earlier try may have run
	admitted bool
}

// try is one sending of a call.
type try struct {
	call    *call
	choice  *route.Choice
	attempt string
	end     func()
	context context.Context //nolint:containedctx // it belongs to this one sending
	entry   *Entry
}

// finish turns the reason why there is no answer into what the caller may be
// told: "not run" only if no try may have run.
func (call *call) finish(err error) error {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) && call.mayHave != nil {
		return &shedkeel.UnknownRunError{Reason: "an earlier try may have run, and no other could be made", Cause: call.mayHave}
	}
	return err
}

// next begins the next try of a call, or returns why there is none.
func (entry *Entry) next(ctx context.Context, call *call) (*try, error) {
	now := entry.Timers.Now()
	left := call.deadline - (now - call.began)
	if left <= 0 {
		return nil, call.finish(&shedkeel.NotRunError{Reason: "the deadline has passed", RetryAfter: time.Second})
	}
	if len(call.tried) == 0 {
		entry.budget.First()
	} else if len(call.tried) >= maxTries || !entry.budget.Retry() {
		return nil, call.finish(&shedkeel.NotRunError{Reason: "no more tries may be made", RetryAfter: time.Second})
	}
	choice, err := entry.router.Choose(route.Request{Service: call.service.ID, Affinity: call.affinity, Now: now, Avoid: call.tried})
	if err != nil {
		return nil, call.finish(err)
	}
	if err := entry.admit(call, choice, left); err != nil {
		choice.End(now)
		return nil, call.finish(err)
	}
	call.tried = append(call.tried, choice.Name)
	ctx, landed := entry.flights.begin(ctx, choice.Assignment)
	ctx, cancel := context.WithTimeout(ctx, left)
	attempt := call.attempt
	if attempt == "" {
		attempt = entry.NewAttempt()
	}
	end := func() {
		cancel()
		landed()
		choice.End(entry.Timers.Now())
	}
	return &try{call: call, choice: choice, attempt: attempt, end: end, context: ctx, entry: entry}, nil
}

// admit asks the gate before the first try of a call.
func (entry *Entry) admit(call *call, choice *route.Choice, left time.Duration) error {
	if call.admitted {
		return nil
	}
	if wait := time.Duration(call.service.MaxWait); wait > 0 {
		left = min(left, wait)
	}
	_, capacity, _ := entry.router.Load(call.service.ID)
	err := entry.gate.Enter(admit.Request{
		Service: call.service.ID, Account: call.caller.account.ID, Deadline: left,
		Capacity: capacity, Load: choice.Load, Room: choice.Capacity,
		Weight: func(account shedkeel.AccountID) int { return call.caller.view.weights[account] },
	})
	call.admitted = err == nil
	return err
}

// leave tells the gate that a call has ended.
func (entry *Entry) leave(call *call, answered bool) {
	if !call.admitted {
		return
	}
	ran := time.Duration(0)
	if answered {
		ran = entry.Timers.Now() - call.began
	}
	entry.gate.Leave(call.service.ID, call.caller.account.ID, ran)
}

// send sends the try. Its error is a NotRunError when it did not run.
func (try *try) send() (*http.Response, error) {
	call := try.call
	request, err := http.NewRequestWithContext(try.context, call.method, "http://"+try.choice.Address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, text: "the request cannot be sent on: " + err.Error()}
	}
	copyHeader(request.Header, call.header)
	request.Header.Set(engine.HeaderAttempt, try.attempt)
	if try.choice.Assignment.Group != "" {
		request.Header.Set(engine.HeaderGroup, string(try.choice.Assignment.Group))
		request.Header.Set(engine.HeaderEpoch, fmt.Sprint(try.choice.Assignment.Epoch))
	}
	if call.fresh {
		request = request.WithContext(engine.WithFreshConnection(request.Context()))
	}
	// The permit is asked last, for the process may have been stopped since
	// the choice was made.
	if try.entry.Timers.Now() >= try.choice.Until {
		return nil, &shedkeel.NotRunError{Reason: "the proof that " + try.choice.Name + " is whole has run out", RetryAfter: time.Second}
	}
	response, err := try.entry.Backend.Send(request)
	if err != nil {
		return nil, try.because(err)
	}
	if err := try.check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// because adds to an error that the group was given up.
func (try *try) because(err error) error {
	var notRun *shedkeel.NotRunError
	if !errors.As(err, &notRun) && errors.Is(context.Cause(try.context), errGroupBroken) {
		return &shedkeel.UnknownRunError{Reason: "group " + try.choice.Name + " lost a member", Cause: err}
	}
	return err
}

// check finds out whether the response belongs to this try and whether it says
// that the request did not run.
func (try *try) check(response *http.Response) error {
	named := response.Header.Get(engine.HeaderAttempt)
	if named != try.attempt && (named != "" || try.call.echo) {
		try.entry.Log.Write(event.WrongAnswer, slog.String("server", try.choice.Name), slog.String("attempt", try.attempt), slog.String("answered", named))
		return &shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " answered for another request", Cause: errWrongAnswer}
	}
	if response.Header.Get(engine.HeaderNotRun) != "" {
		return &shedkeel.NotRunError{Reason: "backend server " + try.choice.Name + " refused it: " + response.Header.Get(engine.HeaderNotRun), RetryAfter: time.Second}
	}
	if response.StatusCode >= http.StatusInternalServerError && try.call.echo {
		return &shedkeel.UnknownRunError{Reason: fmt.Sprintf("group %s failed with status %d", try.choice.Name, response.StatusCode), Cause: errServerFailed}
	}
	return nil
}

var (
	errWrongAnswer  = errors.New("the answer names another attempt")
	errServerFailed = errors.New("the server failed")
	errNoEnd        = errors.New("nothing shows where the answer ends")
	errTooLong      = errors.New("the answer is too long to be held")
)

// whole reads a response to its end and returns it only if it is whole.
func (try *try) whole(response *http.Response) (answer, error) {
	defer func() { _ = response.Body.Close() }()
	// An answer that ends with its connection cannot be told from a cut one.
	noEnd := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && try.call.method != http.MethodHead
	if noEnd {
		return answer{}, &shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " gave an answer without length", Cause: errNoEnd}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	if err != nil {
		return answer{}, try.because(&shedkeel.UnknownRunError{Reason: "backend server " + try.choice.Name + " did not answer whole", Cause: err})
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// again reports whether another try may be made after this error.
func (call *call) again(err error) bool {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) {
		return true
	}
	var unknown *shedkeel.UnknownRunError
	if !errors.As(err, &unknown) {
		return false
	}
	call.mayHave = err
	return call.repeatable
}

// answerWhole runs a call until it has a whole answer or must give up.
func (entry *Entry) answerWhole(ctx context.Context, call *call) (answer, error) {
	for {
		try, err := entry.next(ctx, call)
		if err != nil {
			return answer{}, err
		}
		answered, err := try.once()
		try.note(err)
		if err == nil {
			return answered, nil
		}
		if !call.again(err) || ctx.Err() != nil {
			return answer{}, err
		}
	}
}

// note remembers what became of the try.
func (try *try) note(err error) {
	try.call.tries = append(try.call.tries, TryRecord{Server: try.choice.Name, Load: try.choice.Load, Result: resultOf(err)})
}

func (try *try) once() (answer, error) {
	defer try.end()
	response, err := try.send() //nolint:bodyclose // whole closes it
	if err != nil {
		return answer{}, err
	}
	return try.whole(response)
}
