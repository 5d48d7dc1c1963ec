package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/timer"
)

// reply is what the scripted backend does with one request.
type reply struct {
	err       error  // returned instead of a response
	status    int    // 0: 200
	body      string // of the answer
	cutAfter  int    // fail after this many bytes of the body; 0: send it completely
	stream    bool
	attemptID string // attempt ID in the response; empty: that of the request
	notRun    bool   // the response says that the request did not run
	noLength  bool   // neither a length nor chunked encoding
	resumedAt string // value of headerFrom in the response; empty: none
}

// scriptedBackend is a backend that takes one reply per request from a list, and
// answers "ok" once the list is empty. It records the requests.
type scriptedBackend struct {
	mutex    sync.Mutex
	replies  []reply
	requests []*http.Request
	hosts    []string
}

// Send records the request and returns the next reply.
func (scriptedBackend *scriptedBackend) Send(request *http.Request) (*http.Response, error) {
	scriptedBackend.mutex.Lock()
	defer scriptedBackend.mutex.Unlock()
	scriptedBackend.requests = append(scriptedBackend.requests, request)
	scriptedBackend.hosts = append(scriptedBackend.hosts, request.URL.Host)
	next := reply{body: "ok"}
	if len(scriptedBackend.replies) > 0 {
		next = scriptedBackend.replies[0]
		scriptedBackend.replies = scriptedBackend.replies[1:]
	}
	if next.err != nil {
		return nil, next.err
	}
	return next.response(request), nil
}

// response builds the HTTP response to a request.
func (reply *reply) response(request *http.Request) *http.Response {
	header := http.Header{engine.HeaderAttempt: {request.Header.Get(engine.HeaderAttempt)}}
	if reply.attemptID != "" {
		header.Set(engine.HeaderAttempt, reply.attemptID)
	}
	if reply.notRun {
		header.Set(engine.HeaderNotRun, "busy")
	}
	if reply.resumedAt != "" {
		header.Set(headerFrom, reply.resumedAt)
	}
	response := &http.Response{StatusCode: max(reply.status, 200), Header: header, ContentLength: int64(len(reply.body))}
	body := io.Reader(strings.NewReader(reply.body))
	if reply.cutAfter > 0 {
		body = io.MultiReader(strings.NewReader(reply.body[:reply.cutAfter]), &failingReader{})
	}
	if reply.stream {
		header.Set("Content-Type", "text/event-stream")
		response.ContentLength = -1
		response.TransferEncoding = []string{"chunked"}
	}
	if reply.noLength {
		response.ContentLength = -1
	}
	response.Body = io.NopCloser(body)
	return response
}

// failingReader is a body that breaks off at once.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// harness is an entry without sockets, with a manual clock and a scripted backend.
type harness struct {
	*Entry
	clock           *timer.Manual
	scriptedBackend *scriptedBackend
}

const testKey = "clerk-key"

func newHarness(t *testing.T, replies ...reply) *harness {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	backend := &scriptedBackend{replies: replies}
	var attempts atomic.Int64
	settings := config.DefaultSettings()
	settings.Node = "node-1"
	entry := &Entry{
		Settings: settings, Incarnation: "1", Backend: backend, Timers: clock, Random: rand.NewPCG(1, 2),
		NewAttemptID: func() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) },
	}
	entry.Keeper = nil
	assert.NilError(t, entry.initialize())
	harness := &harness{Entry: entry, clock: clock, scriptedBackend: backend}
	harness.installConfig(t)
	return harness
}

// testConfig has one model service, one plain service with a path that requires
// an idempotency key, and one client account. The plain service is called "permits",
// which has nothing to do with the permits of groups.
func testConfig() shedkeel.Config {
	sum := sha256.Sum256([]byte(testKey))
	return shedkeel.Config{
		Generation: 1, EntryBoxes: 1,
		Services: []shedkeel.Service{
			{ID: "model", Kind: shedkeel.KindModel, Capacity: 4, Timeout: shedkeel.Duration(10 * time.Second)},
			{ID: "permits", Kind: shedkeel.KindPlain, Capacity: 4, Timeout: shedkeel.Duration(10 * time.Second), OncePaths: []string{"/fees"},
				Backends: []shedkeel.BackendServer{{ID: "p1", Address: "p1:1"}, {ID: "p2", Address: "p2:1"}}},
		},
		Accounts: []shedkeel.Account{{ID: "clerk", KeyHash: hex.EncodeToString(sum[:])}},
	}
}

// installConfig merges a configuration and a placement with three whole groups.
func (harness *harness) installConfig(t *testing.T) {
	t.Helper()
	value, err := json.Marshal(testConfig())
	assert.NilError(t, err)
	placement := shedkeel.Placement{Generation: 1, Zone: "z"}
	for _, id := range []string{"g1", "g2", "g3"} {
		placement.Groups = append(placement.Groups, shedkeel.Group{ID: shedkeel.GroupID(id), Service: "model", Epoch: 1, Members: []shedkeel.Member{{Box: shedkeel.BoxID(id), Address: id + ":1"}}})
	}
	placed, err := json.Marshal(placement)
	assert.NilError(t, err)
	harness.mutex.Lock()
	harness.table.MergeRecord(member.Record{Key: member.KeyConfig, Generation: 1, Value: value})
	harness.table.MergeRecord(member.Record{Key: member.KeyPlacements + "z", Generation: 1, Value: placed})
	harness.mutex.Unlock()
	harness.reportVerdict(1, shedkeel.VerdictWhole, "g1", "g2", "g3")
}

// reportVerdict merges a watcher's digest with a verdict on the groups, as of now.
func (harness *harness) reportVerdict(sequence uint64, verdict shedkeel.Verdict, groups ...shedkeel.GroupID) {
	now := harness.clock.Now()
	digest := member.Digest{Watcher: "w", Incarnation: "1", Sequence: sequence, AsOf: now}
	for _, id := range groups {
		digest.Verdicts = append(digest.Verdicts, member.GroupVerdict{Group: id, Epoch: 1, Verdict: verdict})
	}
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.table.MergeDigest(digest)
	harness.rebuildSnapshot(now, now)
}

// post sends a request with the test account's key. It sets the header "Aborted"
// on the result if the handler aborts the connection.
func (harness *harness) post(path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	recorder := httptest.NewRecorder()
	func() {
		defer func() {
			if failure := recover(); failure != nil {
				recorder.Header().Set("Aborted", "yes")
			}
		}()
		harness.callerHandler().ServeHTTP(recorder, request)
	}()
	return recorder
}

const (
	completionBody = `{"model":"model","prompt":"p"}`
	streamBody     = `{"model":"model","prompt":"p","stream":true}`
	events         = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
)

var (
	errNotRun  = &shedkeel.NotRunError{Reason: "refused", RetryAfter: time.Second}
	errUnknown = &shedkeel.UnknownRunError{Reason: "reset", Cause: io.ErrUnexpectedEOF}
)

// TestOutcomes checks the outcome that the caller receives, and how often the
// request is sent, for each kind of reply of the backend servers.
func TestOutcomes(t *testing.T) {
	model, plain, fees := "/v1/completions", "/services/permits/status", "/services/permits/fees"
	cases := map[string]struct {
		path    string
		body    string
		replies []reply
		status  int
		outcome outcome
		sent    int
	}{
		"model answers":                                      {model, completionBody, nil, 200, outcomeAnswered, 1},
		"model refuses, another answers":                     {model, completionBody, []reply{{notRun: true, status: 409}}, 200, outcomeAnswered, 2},
		"model cut, another answers":                         {model, completionBody, []reply{{body: "half", cutAfter: 2}}, 200, outcomeAnswered, 2},
		"model answer has wrong attempt ID, another answers": {model, completionBody, []reply{{body: "theirs", attemptID: "x"}}, 200, outcomeAnswered, 2},
		"model fails, another answers":                       {model, completionBody, []reply{{status: 500}}, 200, outcomeAnswered, 2},
		"model without length, another answers":              {model, completionBody, []reply{{body: "?", noLength: true}}, 200, outcomeAnswered, 2},
		"all refuse":                                         {model, completionBody, []reply{{notRun: true}, {err: errNotRun}, {notRun: true}}, 503, outcomeNotRun, 3},
		"one may have run, others refuse":                    {model, completionBody, []reply{{err: errUnknown}, {err: errNotRun}, {notRun: true}}, 502, outcomeUnknown, 3},
		"all may have run":                                   {model, completionBody, []reply{{err: errUnknown}, {err: errUnknown}, {err: errUnknown}}, 502, outcomeUnknown, 3},
		"plain answers":                                      {plain, "b", nil, 200, outcomeAnswered, 1},
		"plain error is its answer":                          {plain, "b", []reply{{status: 500, body: "no"}}, 500, outcomeAnswered, 1},
		"plain refused, another answers":                     {plain, "b", []reply{{err: errNotRun}}, 200, outcomeAnswered, 2},
		"plain POST is not repeated":                         {plain, "b", []reply{{err: errUnknown}}, 502, outcomeUnknown, 1},
		"plain POST cut is not repeated":                     {plain, "b", []reply{{body: "half", cutAfter: 1}}, 502, outcomeUnknown, 1},
		"missing idempotency key":                            {fees, "b", nil, 400, outcomeRefused, 0},
		"unknown service":                                    {model, `{"model":"none"}`, nil, 404, outcomeRefused, 0},
		"plain service asked for as model":                   {model, `{"model":"permits"}`, nil, 404, outcomeRefused, 0},
		"malformed body":                                     {model, `{"model":`, nil, 400, outcomeRefused, 0},
		"wrong type in body":                                 {model, `{"model":7}`, nil, 400, outcomeRefused, 0},
		"unknown path":                                       {"/v2/x", "", nil, 404, outcomeRefused, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, test.replies...)
			recorder := harness.post(test.path, test.body)
			assert.Equal(t, recorder.Code, test.status, recorder.Body.String())
			assert.Equal(t, outcome(recorder.Header().Get(HeaderOutcome)), test.outcome)
			assert.Equal(t, len(harness.scriptedBackend.requests), test.sent)
			if test.outcome == outcomeNotRun {
				assert.Assert(t, recorder.Header().Get("Retry-After") != "")
			}
			if test.sent > 1 {
				assert.Assert(t, harness.scriptedBackend.hosts[0] != harness.scriptedBackend.hosts[1], "the same server was tried again")
			}
			inFlight, _, _ := harness.router.Load("model")
			assert.Equal(t, inFlight, 0)
		})
	}
}

// TestStreams breaks streams off at different places and resumes them correctly
// or incorrectly. The caller must receive all events once and in order, or an
// aborted connection.
func TestStreams(t *testing.T) {
	rest := "data: two\n\ndata: [DONE]\n\n"
	cases := map[string]struct {
		replies []reply
		want    string
		aborted bool
		status  int
	}{
		"complete":                          {[]reply{{stream: true, body: events}}, events, false, 200},
		"cut before the first event":        {[]reply{{stream: true, body: events, cutAfter: 5}, {stream: true, body: events}}, events, false, 200},
		"cut between events, resumed":       {[]reply{{stream: true, body: events, cutAfter: 11}, {stream: true, body: rest, resumedAt: "1"}}, events, false, 200},
		"cut within an event, resumed":      {[]reply{{stream: true, body: events, cutAfter: 15}, {stream: true, body: rest, resumedAt: "1"}}, events, false, 200},
		"cut before the end mark, resumed":  {[]reply{{stream: true, body: events, cutAfter: 22}, {stream: true, body: "data: [DONE]\n\n", resumedAt: "2"}}, events, false, 200},
		"ends without end mark":             {[]reply{{stream: true, body: "data: one\n\n"}, {status: 404}}, "data: one\n\n", true, 200},
		"resumed at another event":          {[]reply{{stream: true, body: events, cutAfter: 11}, {stream: true, body: events, resumedAt: "0"}}, "data: one\n\n", true, 200},
		"resumed with wrong attempt ID":     {[]reply{{stream: true, body: events, cutAfter: 11}, {stream: true, body: rest, resumedAt: "1", attemptID: "x"}}, "data: one\n\n", true, 200},
		"resumed without event number":      {[]reply{{stream: true, body: events, cutAfter: 11}, {stream: true, body: events}}, "data: one\n\n", true, 200},
		"wrong attempt ID, another answers": {[]reply{{stream: true, body: events, attemptID: "x"}, {stream: true, body: events}}, events, false, 200},
		"refused by all":                    {[]reply{{notRun: true}, {notRun: true}, {notRun: true}}, "", false, 503},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, test.replies...)
			recorder := harness.post("/v1/chat/completions", streamBody)
			assert.Equal(t, recorder.Code, test.status)
			assert.Equal(t, recorder.Header().Get("Aborted") == "yes", test.aborted)
			if test.status == 200 {
				assert.Equal(t, recorder.Body.String(), test.want)
			}
		})
	}
}

// TestEveryCut truncates an answer and a stream after each byte. The response must
// never present a truncated answer as a complete one.
func TestEveryCut(t *testing.T) {
	body := strings.Repeat("x", 40)
	for cut := 1; cut < len(body); cut++ {
		broken := reply{body: body, cutAfter: cut}
		harness := newHarness(t, broken, broken, broken)
		recorder := harness.post("/v1/completions", completionBody)
		assert.Equal(t, outcome(recorder.Header().Get(HeaderOutcome)), outcomeUnknown, "cut after %d", cut)
	}
	for cut := 1; cut < len(events); cut++ {
		broken := reply{stream: true, body: events, cutAfter: cut}
		harness := newHarness(t, broken, broken, broken, broken, broken)
		recorder := harness.post("/v1/completions", streamBody)
		got := recorder.Body.String()
		complete := recorder.Code == 200 && recorder.Header().Get("Aborted") == ""
		assert.Assert(t, !complete, "cut after %d: %q was presented as complete", cut, got)
		assert.Assert(t, recorder.Code != 200 || strings.HasPrefix(events, got), "cut after %d: %q", cut, got)
	}
}

// TestPermits checks that requests are sent only to groups with a valid permit. A
// permit lasts for 3 s.
func TestPermits(t *testing.T) {
	cases := map[string]struct {
		change func(*harness)
		status int
	}{
		"valid permits":   {func(*harness) {}, 200},
		"expired permits": {func(harness *harness) { harness.clock.Advance(3 * time.Second) }, 503},
		"all broken":      {func(harness *harness) { harness.reportVerdict(2, shedkeel.VerdictBroken, "g1", "g2", "g3") }, 503},
		"all draining":    {func(harness *harness) { harness.reportVerdict(2, shedkeel.VerdictDraining, "g1", "g2", "g3") }, 503},
		"one permit renewed": {func(harness *harness) {
			harness.clock.Advance(9 * time.Second)
			harness.reportVerdict(2, shedkeel.VerdictWhole, "g2")
		}, 200},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			test.change(harness)
			recorder := harness.post("/v1/completions", completionBody)
			assert.Equal(t, recorder.Code, test.status, recorder.Body.String())
			if test.status == 503 {
				assert.Equal(t, len(harness.scriptedBackend.requests), 0)
				assert.Equal(t, outcome(recorder.Header().Get(HeaderOutcome)), outcomeNotRun)
			}
		})
	}
}

// suspendingRandom is a random source that advances the clock, as if the process
// were suspended while the router chooses a server.
type suspendingRandom struct {
	clock *timer.Manual
}

func (suspendingRandom *suspendingRandom) Uint64() uint64 {
	suspendingRandom.clock.Advance(4 * time.Second)
	return 0
}

// TestFrozenBetweenChoiceAndSend checks that the permit is checked again just
// before a request is sent: a process that is suspended after the choice must not
// send on an expired permit.
func TestFrozenBetweenChoiceAndSend(t *testing.T) {
	harness := newHarness(t)
	harness.router.Random = &suspendingRandom{clock: harness.clock}
	recorder := harness.post("/v1/completions", `{"model":"model"}`)
	assert.Equal(t, recorder.Code, 503, recorder.Body.String())
	assert.Equal(t, len(harness.scriptedBackend.requests), 0, "sent on an expired permit")
}

// hangingBackend is a backend that calls onSend and does not answer until the
// request is canceled.
type hangingBackend struct {
	onSend func()
}

func (hangingBackend *hangingBackend) Send(request *http.Request) (*http.Response, error) {
	hangingBackend.onSend()
	<-request.Context().Done()
	return nil, &shedkeel.UnknownRunError{Reason: "cut", Cause: context.Cause(request.Context())}
}

// TestBrokenGroupEndsItsRequests checks that the entry cancels the requests in flight
// on a group once a member is found lost, and that the caller then receives the error
// without waiting for the time limit of 10 s. The clock advances beyond the permit
// time of 3 s, after which a silent group counts as broken.
func TestBrokenGroupEndsItsRequests(t *testing.T) {
	cases := map[string]shedkeel.Verdict{"refused": shedkeel.VerdictBroken, "silent": shedkeel.VerdictNoReply}
	for name, verdict := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			sends := 0
			harness.Backend = &hangingBackend{onSend: func() {
				sends++
				harness.clock.Advance(4 * time.Second)
				harness.reportVerdict(uint64(1+sends), verdict, "g1", "g2", "g3")
			}}
			began := time.Now()
			recorder := harness.post("/v1/completions", completionBody)
			assert.Equal(t, recorder.Code, 502, recorder.Body.String())
			assert.Equal(t, sends, 1, "sent although no other group was whole")
			assert.Assert(t, time.Since(began) < 5*time.Second, "the error was delayed")
		})
	}
}

// TestAnswersAtOnce checks that an error is sent without waiting for the caller's
// time limit.
func TestAnswersAtOnce(t *testing.T) {
	for name, replies := range map[string][]reply{
		"refused": {{notRun: true}, {notRun: true}, {notRun: true}},
		"unknown": {{err: errUnknown}, {err: errUnknown}, {err: errUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, replies...)
			began := time.Now()
			recorder := harness.post("/v1/completions", completionBody, HeaderTimeout, "9s")
			assert.Assert(t, recorder.Code >= 500)
			assert.Assert(t, time.Since(began) < 2*time.Second)
			assert.Equal(t, harness.clock.Now(), time.Hour, "the clock advanced")
		})
	}
}

// TestBounds checks the limits on the request body, the idempotency key and the calls
// in flight, and that invalid bearer keys and time limits are refused.
func TestBounds(t *testing.T) {
	harness := newHarness(t)
	harness.Settings.Entry.MaxBody = 10
	assert.Equal(t, harness.post("/v1/completions", completionBody).Code, http.StatusRequestEntityTooLarge)
	harness.Settings.Entry.MaxBody = 1 << 20
	assert.Equal(t, harness.post("/v1/completions", completionBody, "Authorization", "Bearer wrong").Code, http.StatusUnauthorized)
	assert.Equal(t, harness.post("/v1/completions", completionBody, "Authorization", testKey).Code, http.StatusUnauthorized)
	assert.Equal(t, harness.post("/v1/completions", completionBody, HeaderTimeout, "soon").Code, http.StatusBadRequest)
	assert.Equal(t, harness.post("/services/permits/fees", "x", headerIdempotencyKey, strings.Repeat("k", 256)).Code, http.StatusBadRequest)
	harness.Settings.Entry.MaxCalls = 0
	recorder := harness.post("/v1/completions", completionBody)
	assert.Equal(t, recorder.Code, http.StatusTooManyRequests)
	assert.Equal(t, len(harness.scriptedBackend.requests), 0)
}

// TestKeyIsNotPassedOn checks that backend servers receive the account ID and the path
// without the service's prefix, but not the caller's bearer key.
func TestKeyIsNotPassedOn(t *testing.T) {
	harness := newHarness(t)
	assert.Equal(t, harness.post("/services/permits/status", "").Code, 200)
	assert.Equal(t, harness.scriptedBackend.requests[0].Header.Get("Authorization"), "")
	assert.Equal(t, harness.scriptedBackend.requests[0].Header.Get("Shedkeel-Account"), "clerk")
	assert.Equal(t, harness.scriptedBackend.requests[0].URL.Path, "/status")
}

// TestEntriesAnswer checks the order of /v1/entries answers, that stopping entries are
// left out, that the last answer expires 5 s (DirectoryTTL) after it was given, and
// that the entry refuses after its last sync has become too old.
func TestEntriesAnswer(t *testing.T) {
	harness := newHarness(t)
	harness.table.MergeNode(shedkeel.Node{ID: "node-1", Incarnation: "1", Zone: "a", Entry: "e1", Heartbeat: 1}, harness.clock.Now())
	harness.table.MergeNode(shedkeel.Node{ID: "node-2", Incarnation: "1", Zone: "b", Entry: "e2", Heartbeat: 1}, harness.clock.Now())
	harness.table.MergeNode(shedkeel.Node{ID: "node-3", Incarnation: "1", Zone: "b", Entry: "e3", Heartbeat: 1, Stopping: true}, harness.clock.Now())
	harness.reportVerdict(2, shedkeel.VerdictWhole, "g1")
	ask := func() (int, Addresses) {
		recorder := httptest.NewRecorder()
		harness.callerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/entries?zone=b", nil))
		var answer Addresses
		_ = json.Unmarshal(recorder.Body.Bytes(), &answer)
		return recorder.Code, answer
	}
	code, answer := ask()
	assert.Equal(t, code, 200)
	assert.DeepEqual(t, answer.Entries, []Address{{Address: "e2", Zone: "b"}, {Address: "e1", Zone: "a"}})
	listedAt := harness.clock.Now()
	assert.Equal(t, harness.addressExpiry(0), listedAt+5*time.Second, "the last answer must expire before the entry stops")
	harness.stopping.Store(true)
	_, answer = ask()
	assert.DeepEqual(t, answer.Entries, []Address{{Address: "e2", Zone: "b"}})
	harness.clock.Advance(4 * time.Second)
	code, _ = ask()
	assert.Equal(t, code, 503, "an entry without a recent sync might list one that is stopping")
}

// TestAttempts checks that a kept answer expires, that an attempt that is no longer
// remembered is reported as UNKNOWN, since it may have run, and that end ignores an
// attempt that was never begun.
func TestAttempts(t *testing.T) {
	clock := &timer.Manual{}
	attempts := &attempts{now: clock.Now}
	attempts.begin("a")
	state, _ := attempts.find("a")
	assert.Equal(t, state.String(), "RUNNING")
	attempts.end("a", 2, answer{status: 200, body: bytes.Repeat([]byte("x"), 10)}) // 2: KEPT
	kept, err := answerFromWire(attempts.answerReply("a"))
	assert.NilError(t, err)
	assert.Equal(t, len(kept.body), 10)
	clock.Advance(attemptRetention + time.Second)
	attempts.begin("b")
	state, _ = attempts.find("a")
	assert.Equal(t, state.String(), "UNKNOWN", "an attempt that is not remembered may have run")
	attempts.end("never begun", 3, answer{}) // 3: NEVER_SENT
	assert.Equal(t, attempts.bodyBytes, 0)
}

// TestNotRunOnlyIfNoTryMayHaveRun checks that an error after a try that may have
// run never says that the request did not run.
func TestNotRunOnlyIfNoTryMayHaveRun(t *testing.T) {
	call := &call{}
	var notRun *shedkeel.NotRunError
	assert.Assert(t, errors.As(call.finalError(errNotRun), &notRun))
	call.mayRetry(errUnknown)
	assert.Assert(t, !errors.As(call.finalError(errNotRun), &notRun))
}

// TestAnswersHaveRoom guards against an entry that holds long answers of many servers at once, each within the bound of one.
func TestAnswersHaveRoom(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	harness := newHarness(t, reply{body: long}, reply{body: long})
	harness.answers = &quota.Room{Limit: 64 << 10}
	assert.Equal(t, harness.post("/services/permits/list", "").Code, http.StatusBadGateway)
	assert.Assert(t, harness.answers.Reserve(64<<10), "room was not returned")
	harness.answers = &quota.Room{Limit: 1 << 20}
	assert.Equal(t, harness.post("/services/permits/list", "").Code, http.StatusOK)
	assert.Assert(t, harness.answers.Reserve(1<<20), "room was not returned")
}
