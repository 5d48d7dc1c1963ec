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
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/overload"
)

// Reasons why no attempt can be made, or why one fails. Their texts are part of answers to
// callers.
var (
	errNoServer      = errors.New("no server may be sent to")                                                        // see noServerError and awaitPermit
	errLimited       = errors.New("all servers that may be sent to limit their rate, and no permit is free in time") // see awaitPermit
	errBackoff       = errors.New("all servers that may be sent to want no requests for a while")                    // see noServerError
	errFull          = errors.New("all servers have more requests than they can answer in time")                     // see admitToModel
	errNoBudget      = errors.New("no more repeats are allowed now")                                                 // the retry budget is used up
	errForeignAnswer = errors.New("the answer belongs to another request or is not the server's own")                // see checkAnswer
	errIncomplete    = errors.New("the answer did not come whole")                                                   // see errUnproven and errAnswerTooLong
	errServerFailed  = errors.New("the server failed")                                                               // its answer has a 5xx status
)

// choose picks the server for the next attempt. If an earlier attempt may have reached a
// server, it charges the retry budget, and returns errNoBudget if the budget allows no retry.
// Otherwise it applies admitToModel to a request for a model, and may wait for a permit. It
// refunds the retry if it finds no server.
func (exchange *exchange) choose(ctx context.Context) (*attempt, error) {
	now := exchange.handler.Timers.Now()
	created := &attempt{}
	again := exchange.attempts > 0
	if again {
		created.retry = exchange.retryReason
		charge, allowed := exchange.handler.Budget.Allow(exchange.service, exchange.handler.RetryShare(now), now)
		if !allowed {
			count(exchange.handler.meter().retriesDenied)
			return nil, errNoBudget
		}
		created.charge = charge
	}
	model := exchange.call.Model // ignored if the service has no engine and so no models
	service := exchange.view.Service(exchange.service)
	switch {
	case service == nil || service.Engine == nil:
		model = ""
	case model != "" && service.Engine.Model(model) == nil:
		return nil, errNoServer // nothing may be kept for a name that only a caller has chosen
	}
	query := dispatch.Query{Service: exchange.service, Model: model, Exclude: slices.Concat(exchange.tried, exchange.trial.Avoid), PromptTokens: exchange.call.PromptTokens, MaxAnswerTokens: exchange.call.AnswerTokens, Now: now}
	if model != "" && !again {
		if err := exchange.admitToModel(ctx, &query); err != nil {
			return nil, err
		}
	}
	query.Late = exchange.late
	choice, err := exchange.chooseWithPermit(ctx, query, !again)
	if err == nil && !exchange.mayPassOn() {
		choice.End(false, exchange.handler.Timers.Now())
		err = errLeaving
	}
	if err != nil {
		if again {
			exchange.handler.Budget.Refund(created.charge, exchange.handler.Timers.Now())
		}
		count(exchange.handler.meter().noServer)
		return nil, err
	}
	exchange.tried = append(exchange.tried, choice.Instance)
	exchange.latestServer.Store(&choice.Instance)
	if exchange.trial.Placed != nil {
		exchange.trial.Placed(choice.Instance)
	}
	exchange.attempts++
	if exchange.passedOnAt == 0 {
		exchange.passedOnAt = exchange.handler.Timers.Now()
	}
	created.Choice = choice
	return created, nil
}

// Limits on how far requests may fill a model's slots (see admitToModel).
const (
	// onTimeFraction is the fraction of the slots that requests on time may use. Further
	// requests are late: they get only slots that requests on time leave free, and wait
	// while there is none.
	onTimeFraction = 0.9
	// lateFraction is how many late requests may wait in addition, as a fraction of the
	// slots. Late requests only get the slots that requests on time leave free, and
	// callers give up after some two seconds without an event: more late requests would
	// get no slot before their callers give up.
	lateFraction = 0.5
	// latePriority is the priority of late requests at an engine: the least urgent that
	// engines accept. 0 is most urgent.
	latePriority = 9
)

// admitToModel is the admission control of a model. It sets exchange.late, and query.Preferred if
// Recommend answers. It returns a rejectedError if the overload control rejects the request, and the
// error of noServerError if no group is usable. It may hold the request back for up to maxHold.
func (exchange *exchange) admitToModel(ctx context.Context, query *dispatch.Query) error {
	for first := true; ; first = false {
		load := exchange.handler.Table.Load(query.Service, query.Model, query.Now)
		if first && load.Slots >= exchange.handler.MinControlledSlots {
			query.Admission = exchange.admissionRequest()
		}
		recommendation, known := exchange.recommend(query, load) // even if no group is usable, because Recommend also reports the demand for the model
		if load.Usable == 0 {
			return exchange.noServerError(*query)
		}
		if query.Admission == nil {
			return exchange.admitBySlots(recommendation, known, load)
		}
		decision := recommendation.Decision
		if decision == nil {
			alone := exchange.handler.AdmitAlone(*query, load)
			decision = &alone
		}
		if decision.Class != overload.Wait {
			return exchange.applyDecision(query, decision)
		}
		if err := exchange.holdBack(ctx, query, decision); err != nil {
			return err
		}
	}
}

// recommend asks Recommend for a group. If it answers, query.Preferred is set to that group.
func (exchange *exchange) recommend(query *dispatch.Query, load dispatch.Load) (recommendation dispatch.Recommendation, known bool) {
	if exchange.handler.Recommend == nil {
		return recommendation, false
	}
	recommendation, known = exchange.handler.Recommend(exchange.request.Context(), *query, load)
	if !known {
		count(exchange.handler.meter().noRecommendation)
	}
	query.Preferred = recommendation.Head
	return recommendation, known
}

// admitBySlots admits a request by the slots of its model. It returns errFull for a late request if
// the late requests reach lateFraction. Engines serve late requests last: if all waited in one
// queue under overload, all would be late. The requests are those of all processes, on all slots, if
// there is a recommendation; otherwise those of this process, on its equal share of the slots.
func (exchange *exchange) admitBySlots(recommendation dispatch.Recommendation, known bool, load dispatch.Load) error {
	running, capacity := recommendation.Running, float64(load.Slots)
	if !known {
		running, capacity = load.RunningRequests, float64(load.Slots)/float64(max(exchange.handler.ServingNodes(), 1))
	}
	// However few the slots are, one request on time and one late request are admitted.
	exchange.late = float64(running.OnTime) >= max(onTimeFraction*capacity, 1)
	if exchange.late && float64(running.Late) >= max(lateFraction*capacity, 1) {
		return errFull
	}
	return nil
}

// priority returns the request's priority at an engine: latePriority for a late request,
// otherwise that of the client account or route. 0 is most urgent.
func (exchange *exchange) priority() int {
	if exchange.late {
		return latePriority
	}
	return requestPriority(exchange.route, exchange.account)
}

// send sends the request to the chosen server once and checks the head of the answer. The
// caller of send must close the response's body. The error is a NotRunError if the request did not
// run at the server, and an UnknownRunError if it may have run.
func (exchange *exchange) send(ctx context.Context, attempt *attempt) (*http.Response, error) {
	remaining := exchange.callerDeadline - exchange.handler.Timers.Now()
	if remaining <= 0 {
		return nil, &shedkeel.NotRunError{Reason: "the deadline has passed"}
	}
	request, err := exchange.newRequest(ctx, attempt, remaining)
	if err != nil {
		return nil, &shedkeel.NotRunError{Reason: err.Error()}
	}
	attempt.sentAt = time.Now()
	attempt.SetDialing(true)
	response, err := exchange.handler.Backend.Send(request)
	if err != nil {
		return nil, err
	}
	attempt.SetDialing(false)
	if err := exchange.checkAnswer(response, attempt.Choice); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	exchange.handler.signs.observe(attempt.Address, attempt.connectedAt, attempt.sentAt)
	exchange.handler.framings.record(exchange.service, engine.CloseDelimited(exchange.request.Method, response), exchange.handler.Timers.Now())
	return response, nil
}

// newRequest builds the request to the chosen server. The server gets remaining as its
// deadline. Requests that may run at most once are sent over a new connection, as
// are requests for which exchange.freshConnection is set.
func (exchange *exchange) newRequest(ctx context.Context, attempt *attempt, remaining time.Duration) (*http.Request, error) {
	if exchange.route.Kind == shedkeel.RequestOnce || exchange.freshConnection.Load() {
		ctx = engine.WithFreshConnection(ctx)
	}
	header := engine.EndToEndHeaders(exchange.request.Header)
	ctx = engine.WithConnNotice(ctx, func(info engine.ConnInfo) {
		exchange.recordConn(attempt, info.Relayed)
		attempt.sentAt = time.Now()
		attempt.connectedAt = info.OpenedAt
		// The dial has taken time.
		exchange.handler.Protocol.WriteDeadline(header, exchange.callerDeadline-exchange.handler.Timers.Now())
	})
	request, err := http.NewRequestWithContext(ctx, exchange.request.Method, "http://"+attempt.Address+"/", exchange.body.Reader())
	if err != nil {
		return nil, err
	}
	request.URL = exchange.targetURL(attempt.Address)
	request.Host = exchange.request.Host
	request.ContentLength = exchange.body.Len()
	request.Header = header
	request.Header.Del("Content-Length")
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "") // net/http would add its own
	}
	stated := shedkeel.Attempt{Call: &exchange.call, Server: attempt.Instance, Deadline: remaining, LastEventID: attempt.resumeAfter, Priority: exchange.priority()}
	if exchange.account != nil {
		stated.Account = exchange.account.ID
	}
	exchange.handler.Protocol.Write(request.Header, stated)
	return request, nil
}

// targetURL returns the URL at the server, with path and query exactly as the caller sent
// them. For a target that does not begin with a single slash, it uses the URL as net/http has
// parsed it: net/http takes an opaque URL that begins with two slashes for an absolute URL.
func (exchange *exchange) targetURL(address string) *url.URL {
	if strings.HasPrefix(exchange.call.Target, "/") && !strings.HasPrefix(exchange.call.Target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: exchange.call.Target}
	}
	target := *exchange.request.URL
	target.Scheme = "http"
	target.Host = address
	return &target
}

// checkAnswer records what the answer states about the server. It returns a NotRunError for a
// refusal, and an UnknownRunError with errForeignAnswer for an answer without the request's ID, a success (a
// status below 300) without an ID or a signature, or an answer with a Content-Encoding. Only the ID shows
// that an answer is not a surplus one to an earlier call on the same connection, such as a health check.
func (exchange *exchange) checkAnswer(response *http.Response, choice *dispatch.Choice) error {
	answer := exchange.handler.Protocol.Answer(response)
	exchange.observeLimit(answer, response.StatusCode, choice)
	exchange.observeState(answer, choice)
	switch {
	case answer.ID != exchange.call.ID, answer.ID == "" && response.StatusCode < http.StatusMultipleChoices:
		return &shedkeel.UnknownRunError{Reason: "server " + string(choice.Instance) + " answered for " + answer.ID, Cause: errForeignAnswer}
	case answer.NotRun:
		return &shedkeel.NotRunError{Reason: fmt.Sprintf("server %s refused it with status %d", choice.Instance, response.StatusCode), RetryAfter: answer.Backoff, ReachedServer: true}
	case response.StatusCode < http.StatusMultipleChoices && !answer.Signed, response.Header.Get("Content-Encoding") != "":
		return &shedkeel.UnknownRunError{Reason: "the answer of server " + string(choice.Instance) + " is not its own", Cause: errForeignAnswer}
	}
	return nil
}

// observeLimit passes to Handler.Limits what the answer states about the server's rate limit, if
// the answer belongs to this request. It always passes a stated limit, also one that cannot be
// parsed, but the absence of a limit only for a signed success, which proves the absence.
func (exchange *exchange) observeLimit(answer shedkeel.BackendAnswer, status int, choice *dispatch.Choice) {
	if exchange.handler.Limits == nil || answer.ID != exchange.call.ID {
		return
	}
	proven := answer.Signed && status < http.StatusMultipleChoices
	if proven || answer.Limit.Stated || answer.Limit.Err != nil {
		exchange.handler.Limits.Observe(choice.Instance, answer.Limit, choice.ChosenAt)
	}
}

// observeState records whether the answer asks for a backoff or states that the server
// is draining, if the answer belongs to this request. It logs header fields that cannot be
// parsed.
func (exchange *exchange) observeState(answer shedkeel.BackendAnswer, choice *dispatch.Choice) {
	if answer.ID != exchange.call.ID {
		return
	}
	server := slog.String("server", string(choice.Instance))
	if answer.HeaderError != nil {
		exchange.log(event.HeaderInvalid, server, slog.String("error", answer.HeaderError.Error()))
	}
	if answer.Backoff > 0 {
		exchange.applyBackoff(choice.Instance, answer.Backoff)
	}
	if answer.Draining && exchange.handler.Table.Drain(choice.Instance) {
		exchange.log(event.DrainingStated, server)
		if exchange.handler.OnDraining != nil {
			exchange.handler.OnDraining(choice.Instance)
		}
	}
}

// applyBackoff keeps this process from sending requests to the server for the backoff that
// the server asked for, but at most for MaxBackoff if MaxBackoff is set. It logs the backoff if
// the server accepted requests until now.
func (exchange *exchange) applyBackoff(server shedkeel.InstanceID, length time.Duration) {
	handler := exchange.handler
	count(handler.meter().backoffs)
	if handler.MaxBackoff > 0 {
		length = min(length, handler.MaxBackoff)
	}
	now := handler.Timers.Now()
	if handler.Table.BackOff(server, now+length, now) {
		exchange.log(event.BackoffStated, slog.String("server", string(server)), slog.Duration("backoff", length))
	}
}

// noServerError returns the reason why no server was found for a request: errBackoff if there
// are servers that are neither avoided nor draining and all of them back off, otherwise
// errNoServer. With errBackoff, it sets exchange.retryIn to the time until the first backoff
// ends.
func (exchange *exchange) noServerError(query dispatch.Query) error {
	end, backsOff := exchange.handler.Table.BackoffEnd(query)
	if !backsOff {
		return errNoServer
	}
	exchange.retryIn = end - query.Now
	return errBackoff
}

// readWhole reads the body of a response completely and closes it. If ReaderBudget requires the
// answer to wait, it calls beforeWait first, and waits until ctx ends at most. It returns an
// UnknownRunError if the wait does not end in time, or if the body breaks off or is longer than
// maxAnswerBytes.
func (exchange *exchange) readWhole(ctx context.Context, response *http.Response, beforeWait func()) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	size, err := exchange.readStart(response, &body)
	if err != nil {
		return nil, &shedkeel.UnknownRunError{Reason: "the answer broke off", Cause: err}
	}
	if size > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	reserved, err := exchange.unread.reserveAnswer(ctx, size, beforeWait)
	if err != nil {
		return nil, &shedkeel.UnknownRunError{Reason: "the answer was not read, because other callers leave too many bytes unread", Cause: err}
	}
	defer func() { exchange.unread.keep(reserved, int64(body.Len())) }()
	body.Grow(int(size) - body.Len() + bytes.MinRead) // ReadFrom would double the buffer until it fits
	answer := io.LimitReader(response.Body, maxAnswerBytes+1-int64(body.Len()))
	if response.ContentLength < 0 {
		answer = &reservingReader{reader: answer, unread: &exchange.unread, reserved: &reserved, read: int64(body.Len())}
	}
	if _, err := body.ReadFrom(answer); err != nil {
		body.Reset()
		return nil, &shedkeel.UnknownRunError{Reason: "the answer broke off", Cause: err}
	}
	if body.Len() > maxAnswerBytes {
		body.Reset()
		return nil, errAnswerTooLong
	}
	return body.Bytes(), nil
}

// errAnswerTooLong is the UnknownRunError for an answer that is longer than maxAnswerBytes.
var errAnswerTooLong = &shedkeel.UnknownRunError{Reason: "the answer is too long to be held", Cause: errIncomplete}

// reservingReader reads an answer without a stated length, and reserves more of the budget as it grows.
// It returns errBudgetUsedUp if the budget has no more: the answer may have no end.
type reservingReader struct {
	reader   io.Reader
	unread   *unreadBytes
	reserved *int64 // bytes reserved for the answer
	read     int64  // bytes of the answer that were read
}

// errBudgetUsedUp reports that an answer without a stated length, or an event, takes up what ReaderBudget allows.
var errBudgetUsedUp = errors.New("the answer states no length and is too long for the memory that is left")

// Read reads from the answer.
func (reader *reservingReader) Read(buffer []byte) (int, error) {
	count, err := reader.reader.Read(buffer)
	reader.read += int64(count)
	for reader.read > *reader.reserved {
		if !reader.unread.reserveMore(unstatedAnswerBytes) {
			return count, errBudgetUsedUp
		}
		*reader.reserved += unstatedAnswerBytes
	}
	return count, err
}

// unstatedAnswerBytes is the size that is reserved for an answer without a stated length that is
// longer than smallAnswerBytes.
const unstatedAnswerBytes = 1 << 20

// readStart returns the size of the body in bytes. If the response does not state a length, it
// reads up to smallAnswerBytes into body, and returns unstatedAnswerBytes if that is not the whole
// body. The error is that of the connection.
func (exchange *exchange) readStart(response *http.Response, body *bytes.Buffer) (int64, error) {
	if exchange.request.Method == http.MethodHead {
		return 0, nil
	}
	if response.ContentLength >= 0 {
		return response.ContentLength, nil
	}
	size, err := io.CopyN(body, response.Body, smallAnswerBytes)
	if errors.Is(err, io.EOF) {
		return size, nil
	}
	return unstatedAnswerBytes, err
}

// writeHead writes the status and header of a backend server's answer to the caller. A
// length below 0 leaves Content-Length as the server sent it.
func (exchange *exchange) writeHead(response *http.Response, length int) {
	header := exchange.writer.Header()
	for name, values := range engine.EndToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // net/http would guess one
	}
	exchange.writer.WriteHeader(response.StatusCode)
}
