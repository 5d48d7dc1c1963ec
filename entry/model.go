package entry

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strings"

	"shedkeel.org/shedkeel"
)

// prefixBytes is how much of a prompt decides which groups likely hold it in
// their prefix caches.
const prefixBytes = 512

// modelRequest is what an entry reads of a completion request.
type modelRequest struct {
	Model    shedkeel.ServiceID `json:"model"`
	Stream   bool               `json:"stream"`
	Prompt   json.RawMessage    `json:"prompt"`
	Messages json.RawMessage    `json:"messages"`
}

// affinity is a hash of the beginning of the prompt.
func (request *modelRequest) affinity() uint64 {
	text := request.Messages
	if len(text) == 0 {
		text = request.Prompt
	}
	if len(text) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(text[:min(len(text), prefixBytes)])
	return hash.Sum64() | 1
}

func (entry *Entry) serveModel(writer http.ResponseWriter, request *http.Request) {
	call, stream, err := entry.modelCall(writer, request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	entry.name(writer, call)
	answered := false
	defer func() { entry.leave(call, answered) }()
	if stream {
		answered = entry.stream(request.Context(), writer, call)
		return
	}
	whole, err := entry.answerWhole(request.Context(), call)
	entry.remember(call, err)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	answered = true
	entry.writeAnswer(writer, whole)
}

// modelCall checks a completion request and makes it ready to be sent.
func (entry *Entry) modelCall(writer http.ResponseWriter, request *http.Request) (*call, bool, error) {
	caller, err := entry.caller(request)
	if err != nil {
		return nil, false, err
	}
	body, err := entry.readBody(writer, request)
	if err != nil {
		return nil, false, err
	}
	var wanted modelRequest
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, false, &refusal{status: http.StatusBadRequest, text: "the body is no completion request: " + err.Error() + "; send JSON with model and prompt or messages"}
	}
	service, err := caller.service(wanted.Model, shedkeel.KindModel)
	if err != nil {
		return nil, false, err
	}
	deadline, err := timeout(request, service)
	if err != nil {
		return nil, false, err
	}
	now := entry.Timers.Now()
	if err := entry.limiter.Take(caller.account.ID, now); err != nil {
		return nil, false, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return &call{
		caller: caller, service: service, method: http.MethodPost, path: request.URL.Path, header: header, body: body,
		affinity: wanted.affinity(), deadline: deadline, began: now, repeatable: true, echo: true,
	}, wanted.Stream, nil
}

// stream passes a streamed answer on, and reports whether it ended whole.
func (entry *Entry) stream(ctx context.Context, writer http.ResponseWriter, call *call) bool {
	for {
		try, err := entry.next(ctx, call)
		if err != nil {
			entry.remember(call, err)
			entry.writeError(writer, err)
			return false
		}
		passed := &passage{entry: entry, try: try, writer: writer}
		err = passed.run()
		try.end()
		try.note(err)
		switch {
		case err == nil:
			entry.remember(call, nil)
			return true
		case passed.begun:
			entry.remember(call, err)
			// The caller has part of the answer. Breaking the connection
			// keeps every client library from taking it for the whole.
			panic(http.ErrAbortHandler)
		case !call.again(err) || ctx.Err() != nil:
			entry.remember(call, err)
			entry.writeError(writer, err)
			return false
		}
	}
}

// isEventStream reports whether a response is a stream of events.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}
