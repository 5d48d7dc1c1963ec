package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
)

// The kinds of failure of one sending.
var (
	errNoServer  = errors.New("no server may be sent to")
	errNoBudget  = errors.New("no more repeats are allowed now")
	errRuns      = errors.New("it has been tried on as many servers as its route allows")
	errWrong     = errors.New("the answer belongs to another request or is not the server's own")
	errNotWhole  = errors.New("the answer did not come whole")
	errServerBad = errors.New("the server failed")
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// passedOn returns the headers that travel along.
func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// choose picks the server for the next sending.
func (life *life) choose(now time.Duration) (*dispatch.Choice, error) {
	if life.sendings > 0 && !life.front.Budget.Repeat(life.service, life.front.Nodes(), now) {
		return nil, errNoBudget
	}
	model := life.call.Model
	if service := life.view.Service(life.service); service == nil || service.Engine == nil {
		model = ""
	}
	choice := life.front.Table.Choose(dispatch.Query{Service: life.service, Model: model, Avoid: life.tried, Prompt: life.call.PromptTokens, Now: now})
	if choice == nil {
		return nil, errNoServer
	}
	life.tried = append(life.tried, choice.Instance)
	life.sendings++
	return choice, nil
}

// notSent takes back the count of a sending that reached no server, so that
// it draws on no budget.
func (life *life) notSent(err error) {
	var notRun *shedkeel.NotRunError
	if errors.As(err, &notRun) && !notRun.Arrived {
		life.sendings--
	}
}

// send sends the request to the chosen server once. Its error is a NotRunError
// if the request did not run there.
func (life *life) send(ctx context.Context, choice *dispatch.Choice, lastEvent string) (*http.Response, error) {
	left := life.untilOwn - life.front.Timers.Now()
	if left <= 0 {
		return nil, &shedkeel.NotRunError{Reason: "the deadline has passed"}
	}
	request, err := life.outgoing(ctx, choice, left, lastEvent)
	if err != nil {
		return nil, &shedkeel.NotRunError{Reason: err.Error()}
	}
	response, err := life.front.Backend.Send(request)
	if err != nil {
		return nil, err
	}
	if err := life.check(response, choice); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (life *life) outgoing(ctx context.Context, choice *dispatch.Choice, left time.Duration, lastEvent string) (*http.Request, error) {
	if life.route.Kind == shedkeel.RequestOnce {
		ctx = engine.WithFreshConnection(ctx)
	}
	request, err := http.NewRequestWithContext(ctx, life.request.Method, "http://"+choice.Address+"/", bytes.NewReader(life.body))
	if err != nil {
		return nil, err
	}
	request.URL = life.targetURL(choice.Address)
	request.Host = life.request.Host
	request.ContentLength = int64(len(life.body))
	request.Header = passedOn(life.request.Header)
	request.Header.Del("Content-Length")
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "") // the HTTP library would add its own
	}
	sending := shedkeel.Sending{Call: &life.call, To: choice.Instance, Deadline: left, LastEvent: lastEvent, Priority: priorityOf(life.route, life.account)}
	if life.account != nil {
		sending.Account = life.account.ID
	}
	life.front.Protocol.Write(request.Header, sending)
	return request, nil
}

// targetURL names the server and leaves path and query as the caller wrote
// them.
func (life *life) targetURL(address string) *url.URL {
	if strings.HasPrefix(life.call.Target, "/") && !strings.HasPrefix(life.call.Target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: life.call.Target}
	}
	whole := *life.request.URL
	whole.Scheme = "http"
	whole.Host = address
	return &whole
}

// check finds out whether an answer is this request's own.
func (life *life) check(response *http.Response, choice *dispatch.Choice) error {
	answer := life.front.Protocol.Answer(response)
	switch {
	case answer.ID != "" && answer.ID != life.call.ID, answer.ID == "" && response.StatusCode < http.StatusMultipleChoices:
		return &shedkeel.UnknownRunError{Reason: "server " + string(choice.Instance) + " answered for " + answer.ID, Cause: errWrong}
	case answer.NotRun:
		return &shedkeel.NotRunError{Reason: fmt.Sprintf("server %s refused it with status %d", choice.Instance, response.StatusCode), Arrived: true}
	case response.StatusCode < http.StatusMultipleChoices && !answer.Sealed, response.Header.Get("Content-Encoding") != "":
		return &shedkeel.UnknownRunError{Reason: "the answer of server " + string(choice.Instance) + " is not its own", Cause: errWrong}
	}
	return nil
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
func (life *life) writeHead(response *http.Response, length int) {
	header := life.writer.Header()
	for name, values := range passedOn(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // the HTTP library would guess one
	}
	life.writer.WriteHeader(response.StatusCode)
}
