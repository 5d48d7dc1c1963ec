package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
)

// The kinds of failure of one sending.
var (
	errNoServer  = errors.New("no server may be sent to")
	errLimited   = errors.New("all servers that may be sent to limit their rate, and no permit is free in time")
	errBackoff   = errors.New("all servers that may be sent to want no requests for a while")
	errFull      = errors.New("all servers have more requests than they can answer in time")
	errNoBudget  = errors.New("no more repeats are allowed now")
	errWrong     = errors.New("the answer belongs to another request or is not the server's own")
	errNotWhole  = errors.New("the answer did not come whole")
	errServerBad = errors.New("the server failed")
)

// choose picks the server for the next sending.
func (exchange *exchange) choose(ctx context.Context) (*dispatch.Choice, error) {
	now := exchange.front.Timers.Now()
	repeat := exchange.sendings > 0
	if repeat && !exchange.front.Budget.Repeat(exchange.service, exchange.front.Nodes(), now) {
		count(exchange.front.meter().noBudget)
		return nil, errNoBudget
	}
	model := exchange.call.Model
	if service := exchange.view.Service(exchange.service); service == nil || service.Engine == nil {
		model = ""
	}
	query := dispatch.Query{Service: exchange.service, Model: model, Avoid: exchange.tried, Prompt: exchange.call.PromptTokens, Answer: exchange.call.AnswerTokens, Now: now}
	if model != "" && !repeat {
		if err := exchange.admit(&query); err != nil {
			return nil, err
		}
	}
	query.Late = exchange.late
	choice, err := exchange.permitted(ctx, query, !repeat)
	if err != nil {
		if repeat {
			exchange.front.Budget.TakeBack(exchange.service, now)
		}
		count(exchange.front.meter().noServer)
		return nil, err
	}
	exchange.tried = append(exchange.tried, choice.Instance)
	exchange.sendings++
	return choice, nil
}

// The parts of a model's places that requests may fill.
const (
	// onTimeFill is up to where requests get in at once: beyond it they would
	// wait for a place and be late.
	onTimeFill = 0.9
	// lateFill is how many more may wait behind them: callers give up after
	// some two seconds without an event, and only the places that the others
	// leave are theirs.
	lateFill = 0.5
	// lateUrgency is how urgent requests are that can only be late.
	lateUrgency = 9
)

// admit finds out whether the groups of a model have a place for the request,
// and which is best. When there are more requests than places, some are served
// on time and some wait behind them: if all waited in one line, all would be
// late.
func (exchange *exchange) admit(query *dispatch.Query) error {
	load := exchange.front.Table.Load(query.Service, query.Model, query.Now)
	running, places := exchange.places(query, load) // a model without groups is asked for too
	if load.Usable == 0 {
		return exchange.noServer(*query)
	}
	exchange.late = float64(running.OnTime) >= max(onTimeFill*places, 1)
	if exchange.late && float64(running.Late) >= max(lateFill*places, 1) {
		return errFull
	}
	return nil
}

// places returns what runs on a model and how many requests may run there: of
// all processes if one of them knows, else of this one, which has an even part
// of the places.
func (exchange *exchange) places(query *dispatch.Query, load dispatch.Load) (dispatch.Running, float64) {
	if exchange.front.Spread != nil {
		if advice, known := exchange.front.Spread(exchange.request.Context(), *query, load); known {
			query.Wish = advice.Head
			return advice.Running, float64(load.Slots)
		}
		count(exchange.front.meter().notSpread)
	}
	return load.Running, float64(load.Slots) / float64(max(exchange.front.Serving(), 1))
}

// urgency is how urgent the request is to an engine; 0 is most urgent.
func (exchange *exchange) urgency() int {
	if exchange.late {
		return lateUrgency
	}
	return priorityOf(exchange.route, exchange.account)
}

// notSent takes back the count of a sending that reached no server, so that
// it draws on no budget.
func (exchange *exchange) notSent(err error) {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) && !notRun.Arrived {
		exchange.sendings--
	}
}

// send sends the request to the chosen server once. Its error is a NotRunError
// if the request did not run there.
func (exchange *exchange) send(ctx context.Context, choice *dispatch.Choice, lastEvent string) (*http.Response, error) {
	left := exchange.untilOwn - exchange.front.Timers.Now()
	if left <= 0 {
		return nil, &shedkeel.NotRunError{Reason: "the deadline has passed"}
	}
	request, err := exchange.outgoing(ctx, choice, left, lastEvent)
	if err != nil {
		return nil, &shedkeel.NotRunError{Reason: err.Error()}
	}
	response, err := exchange.front.Backend.Send(request)
	if err != nil {
		return nil, err
	}
	if err := exchange.check(response, choice); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (exchange *exchange) outgoing(ctx context.Context, choice *dispatch.Choice, left time.Duration, lastEvent string) (*http.Request, error) {
	if exchange.route.Kind == shedkeel.RequestOnce || exchange.fresh.Load() {
		ctx = engine.WithFreshConnection(ctx)
	}
	request, err := http.NewRequestWithContext(ctx, exchange.request.Method, "http://"+choice.Address+"/", bytes.NewReader(exchange.body))
	if err != nil {
		return nil, err
	}
	request.URL = exchange.targetURL(choice.Address)
	request.Host = exchange.request.Host
	request.ContentLength = int64(len(exchange.body))
	request.Header = engine.PassedOn(exchange.request.Header)
	request.Header.Del("Content-Length")
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "") // the HTTP library would add its own
	}
	sending := shedkeel.Sending{Call: &exchange.call, To: choice.Instance, Deadline: left, LastEvent: lastEvent, Priority: exchange.urgency()}
	if exchange.account != nil {
		sending.Account = exchange.account.ID
	}
	exchange.front.Protocol.Write(request.Header, sending)
	return request, nil
}

// targetURL names the server and leaves path and query as the caller wrote
// them.
func (exchange *exchange) targetURL(address string) *url.URL {
	if strings.HasPrefix(exchange.call.Target, "/") && !strings.HasPrefix(exchange.call.Target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: exchange.call.Target}
	}
	whole := *exchange.request.URL
	whole.Scheme = "http"
	whole.Host = address
	return &whole
}

// check finds out whether an answer is this request's own.
func (exchange *exchange) check(response *http.Response, choice *dispatch.Choice) error {
	answer := exchange.front.Protocol.Answer(response)
	exchange.observeLimit(answer, response.StatusCode, choice)
	exchange.observeState(answer, choice)
	switch {
	case answer.ID != "" && answer.ID != exchange.call.ID, answer.ID == "" && response.StatusCode < http.StatusMultipleChoices:
		return &shedkeel.UnknownRunError{Reason: "server " + string(choice.Instance) + " answered for " + answer.ID, Cause: errWrong}
	case answer.NotRun:
		return &shedkeel.NotRunError{Reason: fmt.Sprintf("server %s refused it with status %d", choice.Instance, response.StatusCode), RetryAfter: answer.Backoff, Arrived: true}
	case response.StatusCode < http.StatusMultipleChoices && !answer.Sealed, response.Header.Get("Content-Encoding") != "":
		return &shedkeel.UnknownRunError{Reason: "the answer of server " + string(choice.Instance) + " is not its own", Cause: errWrong}
	}
	return nil
}

// observeLimit notes what an answer of the request's own says of the server's rate
// limit. Only a signed success proves that there is none.
func (exchange *exchange) observeLimit(answer shedkeel.BackendAnswer, status int, choice *dispatch.Choice) {
	if exchange.front.Limits == nil || answer.ID != exchange.call.ID {
		return
	}
	proven := answer.Sealed && status < http.StatusMultipleChoices
	if proven || answer.Limit.Stated || answer.Limit.Err != nil {
		exchange.front.Limits.Observe(choice.Instance, answer.Limit, choice.Began)
	}
}

// observeState notes what an answer of the request's own says of whether the server
// takes requests.
func (exchange *exchange) observeState(answer shedkeel.BackendAnswer, choice *dispatch.Choice) {
	if answer.ID != exchange.call.ID {
		return
	}
	server := slog.String("server", string(choice.Instance))
	if answer.Invalid != nil {
		exchange.log(event.StatementBad, server, slog.String("error", answer.Invalid.Error()))
	}
	if answer.Backoff > 0 {
		exchange.backOff(choice.Instance, answer.Backoff)
	}
	if answer.Draining && exchange.front.Table.Drain(choice.Instance) {
		exchange.log(event.DrainingStated, server)
		if exchange.front.Draining != nil {
			exchange.front.Draining(choice.Instance)
		}
	}
}

// backOff has no request sent to a server for as long as it wants none.
func (exchange *exchange) backOff(server shedkeel.InstanceID, length time.Duration) {
	front := exchange.front
	count(front.meter().backoffs)
	if front.MaxBackoff > 0 {
		length = min(length, front.MaxBackoff)
	}
	now := front.Timers.Now()
	if front.Table.BackOff(server, now+length, now) {
		exchange.log(event.BackoffStated, slog.String("server", string(server)), slog.Duration("backoff", length))
	}
}

// noServer is why no server is found for a request: nobody may be sent to, or all that
// may want no requests now.
func (exchange *exchange) noServer(query dispatch.Query) error {
	end, backsOff := exchange.front.Table.BackoffEnd(query)
	if !backsOff {
		return errNoServer
	}
	exchange.freeIn = end - query.Now
	return errBackoff
}

// readWhole reads a response to its end.
func readWhole(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, &shedkeel.UnknownRunError{Reason: "the answer broke off", Cause: err}
	}
	if len(body) > maxAnswer {
		return nil, &shedkeel.UnknownRunError{Reason: "the answer is too long to be held", Cause: errNotWhole}
	}
	return body, nil
}

// writeHead passes the head of a backend server's answer on.
func (exchange *exchange) writeHead(response *http.Response, length int) {
	header := exchange.writer.Header()
	for name, values := range engine.PassedOn(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // the HTTP library would guess one
	}
	exchange.writer.WriteHeader(response.StatusCode)
}
