package entry

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strings"

	"shedkeel.org/shedkeel"
)

// affinityBytes is how many bytes of a prompt the affinity hash covers. Requests whose
// prompts begin with the same bytes go to groups that likely have these bytes in their
// prefix cache.
const affinityBytes = 512

// completionRequest has the fields of a completion request that an entry uses.
type completionRequest struct {
	Model    shedkeel.ServiceID `json:"model"`
	Stream   bool               `json:"stream"`
	Prompt   json.RawMessage    `json:"prompt"`
	Messages json.RawMessage    `json:"messages"`
}

// affinity returns a hash of the first affinityBytes of Messages or, if there are
// none, of Prompt, both as JSON. It returns 0 if there is neither. It sets the lowest
// bit of each hash, so that none is 0.
func (request *completionRequest) affinity() uint64 {
	text := request.Messages
	if len(text) == 0 {
		text = request.Prompt
	}
	if len(text) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(text[:min(len(text), affinityBytes)])
	return hash.Sum64() | 1
}

// serveModel serves a completion request, as a stream if the caller asks for one.
func (entry *Entry) serveModel(writer http.ResponseWriter, request *http.Request) {
	call, stream, err := entry.newModelCall(writer, request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	entry.assignID(writer, call)
	answered := false
	defer func() { entry.leaveGate(call, answered) }()
	if stream {
		answered = entry.stream(request.Context(), writer, call)
		return
	}
	complete, err := entry.completeAnswer(request.Context(), call)
	entry.recordRequest(call, err)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	answered = true
	entry.writeAnswer(writer, complete)
}

// newModelCall validates a completion request, charges it to the account's rate limit
// and builds its call. It also reports whether the caller asks for a stream.
func (entry *Entry) newModelCall(writer http.ResponseWriter, request *http.Request) (*call, bool, error) {
	caller, err := entry.authenticate(request)
	if err != nil {
		return nil, false, err
	}
	body, err := entry.readBody(writer, request)
	if err != nil {
		return nil, false, err
	}
	var wanted completionRequest
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, false, &refusal{status: http.StatusBadRequest, text: "the body is no completion request: " + err.Error() + "; send JSON with model and prompt or messages"}
	}
	service, err := caller.service(wanted.Model, shedkeel.KindModel)
	if err != nil {
		return nil, false, err
	}
	timeout, err := callTimeout(request, service)
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
		affinity: wanted.affinity(), timeout: timeout, began: now, repeatable: true, mustEchoAttempt: true,
	}, wanted.Stream, nil
}

// stream forwards a call with a streamed answer, and reports whether the answer was
// complete. It tries another server only as long as it has sent no part of an answer
// to the caller. If the answer breaks off later and cannot be resumed, stream panics
// with http.ErrAbortHandler, which aborts the connection.
func (entry *Entry) stream(ctx context.Context, writer http.ResponseWriter, call *call) bool {
	for {
		try, err := entry.nextTry(ctx, call)
		if err != nil {
			entry.recordRequest(call, err)
			entry.writeError(writer, err)
			return false
		}
		streamed := &relay{entry: entry, try: try, writer: writer}
		err = streamed.run()
		try.end()
		try.record(err)
		switch {
		case err == nil:
			entry.recordRequest(call, nil)
			return true
		case streamed.started:
			entry.recordRequest(call, err)
			// The caller has received part of the answer. Aborting the
			// connection lets every client library detect that the answer is
			// incomplete.
			panic(http.ErrAbortHandler)
		case !call.mayRetry(err) || ctx.Err() != nil:
			entry.recordRequest(call, err)
			entry.writeError(writer, err)
			return false
		}
	}
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}
