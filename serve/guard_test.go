package serve

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/intake"
	"shedkeel.org/shedkeel/timer"
)

// fixedGuard is a fake shedkeel.RequestGuard that returns the same judgment for all requests,
// which changes only if worsens is set, and records its calls.
type fixedGuard struct {
	judgment shedkeel.Judgment
	refuses  bool // AcquireAttempt allows no attempt
	idle     bool // Idle returns true until a call of ServerEnded
	worsens  bool // Judge returns Quarantined after a call of ServerEnded

	mutex         sync.Mutex
	ended         []shedkeel.InstanceID // servers reported by ServerEnded
	answers       int                   // calls of RequestAnswered
	attempts      int                   // attempts that AcquireAttempt allowed
	endedAttempts int                   // calls of done
}

func (guard *fixedGuard) Idle() bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.idle && len(guard.ended) == 0
}

func (guard *fixedGuard) Judge(request shedkeel.GuardedRequest) shedkeel.Ruling {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.worsens && len(guard.ended) > 0 {
		return shedkeel.Ruling{Judgment: shedkeel.Quarantined, Subject: request.Digest}
	}
	return shedkeel.Ruling{Judgment: guard.judgment, Subject: request.Digest}
}

func (guard *fixedGuard) Refused(shedkeel.GuardedRequest, shedkeel.Subject) {}

func (guard *fixedGuard) PartsHarmless([]shedkeel.Subject) {}

func (guard *fixedGuard) ServerEnded(_ shedkeel.GuardedRequest, server shedkeel.InstanceID) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.ended = append(guard.ended, server)
}

func (guard *fixedGuard) RequestAnswered(shedkeel.GuardedRequest) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.answers++
}

func (guard *fixedGuard) AcquireAttempt(context.Context, shedkeel.GuardedRequest) (shedkeel.Trial, bool) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.refuses {
		return shedkeel.Trial{}, false
	}
	guard.attempts++
	return shedkeel.Trial{Placed: func(shedkeel.InstanceID) {}, Done: func() {
		guard.mutex.Lock()
		defer guard.mutex.Unlock()
		guard.endedAttempts++
	}}, true
}

// endedServers returns the servers that were reported by ServerEnded.
func (guard *fixedGuard) endedServers() []shedkeel.InstanceID {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return slices.Clone(guard.ended)
}

// endedTrials returns how often done was called.
func (guard *fixedGuard) endedTrials() int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.endedAttempts
}

// fixedCheck is a fake shedkeel.ServerCheck that reports all servers as stopped if its value is
// true, and none otherwise.
type fixedCheck bool

func (check fixedCheck) Stopped(context.Context, string) bool { return bool(check) }

// TestGuardedRequests checks requests with each judgment of the guard, and requests that a server
// ran when the server terminated: the status must say correctly whether the request may have run, a
// quarantined request must run on one server only, and servers must be reported to the guard if
// the connection to them broke and they have terminated.
func TestGuardedRequests(t *testing.T) {
	cut := step{events: 3, cutAfter: 1} // the connection breaks after the first of three events
	cases := map[string]struct {
		path         string
		guard        *fixedGuard
		serversEnded bool // servers whose connections fail have terminated
		steps        []step
		status       int
		broken       bool // the connection to the caller is aborted
		sent         int  // attempts that reach the backend
		ended        int  // servers reported to the guard as terminated
		retryAfter   bool // the answer has a Retry-After
	}{
		"contained":                          {"/s/x", &fixedGuard{judgment: shedkeel.Contained}, true, nil, 503, false, 0, 0, false},
		"contained, plain":                   {"/once/x", &fixedGuard{judgment: shedkeel.Contained}, true, nil, 503, false, 0, 0, false},
		"quarantined, attempt not allowed":   {"/s/x", &fixedGuard{judgment: shedkeel.Quarantined, refuses: true}, true, nil, 503, false, 0, 0, true},
		"quarantined, answered":              {"/s/x", &fixedGuard{judgment: shedkeel.Quarantined}, true, []step{{events: 3}}, 200, false, 1, 0, false},
		"quarantined, cut off":               {"/s/x", &fixedGuard{judgment: shedkeel.Quarantined}, true, []step{cut, {events: 3}}, 200, true, 1, 1, false},
		"quarantined, plain, lost":           {"/safe/x", &fixedGuard{judgment: shedkeel.Quarantined}, true, []step{{err: errAnswerLost}, {}}, 502, false, 1, 1, false},
		"quarantined, not run at one server": {"/s/x", &fixedGuard{judgment: shedkeel.Quarantined}, true, []step{{err: errConnRefused}, {events: 3}}, 200, false, 2, 0, false},
		"unblamed, cut off":                  {"/s/x", &fixedGuard{idle: true}, true, []step{cut, {events: 3}}, 200, false, 2, 1, false},
		"unblamed, cut off, server alive":    {"/s/x", &fixedGuard{idle: true}, false, []step{cut, {events: 3}}, 200, false, 2, 0, false},
		"unblamed, lost, then quarantined":   {"/s/x", &fixedGuard{idle: true, worsens: true}, true, []step{{err: errAnswerLost}, {events: 3}}, 502, false, 1, 1, false},
		"plain, lost, then quarantined":      {"/safe/x", &fixedGuard{idle: true, worsens: true}, true, []step{{err: errAnswerLost}, {}}, 502, false, 1, 1, false},
		"refused by a server":                {"/safe/x", &fixedGuard{idle: true}, true, []step{{status: 503, notRun: true}, {body: "ok"}}, 200, false, 2, 0, false},
		"failed by a server":                 {"/once/x", &fixedGuard{idle: true}, true, []step{{status: 500}}, 500, false, 1, 0, false},
		"answer to another request":          {"/once/x", &fixedGuard{idle: true}, true, []step{{wrongID: true}}, 502, false, 1, 0, false},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.steps...)
			harness.Guard, harness.ServerCheck = test.guard, fixedCheck(test.serversEnded)
			got := harness.post(test.path, "body", "Model", modelOf(test.path))
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, got.broken, test.broken)
			assert.Equal(t, len(harness.backend.requests), test.sent)
			assert.Equal(t, len(test.guard.ended), test.ended)
			assert.Equal(t, got.Header().Get("Retry-After") != "", test.retryAfter)
			assert.Equal(t, test.guard.endedAttempts, test.guard.attempts, "done must be called for each allowed attempt")
		})
	}
}

// modelOf returns the model for a request to the path; "" for a plain service.
func modelOf(path string) string {
	if path[:3] == "/s/" {
		return "m"
	}
	return ""
}

// TestFreshConnectionAfterServerEnd checks that a request that a server ran when it terminated is
// sent to the next server over a new connection. If that server has terminated too, an attempt over
// a pooled connection fails without an answer, and the request would be blamed for the termination
// of a server that never received it.
func TestFreshConnectionAfterServerEnd(t *testing.T) {
	for name, serverEnded := range map[string]bool{"server terminated": true, "server alive": false} {
		for _, path := range []string{"/s/x", "/safe/x"} {
			runFakeTime(t, name+path, func(t *testing.T) {
				harness := newHarness(t, step{err: errAnswerLost}, step{events: 3})
				harness.Guard, harness.ServerCheck = &fixedGuard{idle: true}, fixedCheck(serverEnded)
				assert.Equal(t, harness.post(path, "body", "Model", modelOf(path)).Code, 200)
				assert.Equal(t, len(harness.backend.requests), 2)
				assert.Assert(t, !engine.NeedsFreshConnection(harness.backend.requests[0].Context()))
				assert.Equal(t, engine.NeedsFreshConnection(harness.backend.requests[1].Context()), serverEnded)
			})
		}
	}
}

// laterCheck is a fake shedkeel.ServerCheck and shedkeel.HealthCheck of a server that changes at a given
// time.
type laterCheck struct {
	from    time.Time
	health  fakeHealth
	stopped bool       // connections are refused
	before  fakeHealth // until that time, with connections accepted
}

func (check laterCheck) Stopped(context.Context, string) bool {
	return check.stopped && !time.Now().Before(check.from)
}

func (check laterCheck) Health(ctx context.Context, _, _ string) (shedkeel.Health, error) {
	if time.Now().Before(check.from) {
		return check.before(ctx)
	}
	return check.health(ctx)
}

func (check laterCheck) Report(ctx context.Context, address string) (shedkeel.Health, error) {
	return check.Health(ctx, address, "")
}

func (check laterCheck) SharedHealth(ctx context.Context, address, path string) (shedkeel.Health, error) {
	return check.Health(ctx, address, path)
}

func (laterCheck) Connect(context.Context, string) {}

func (laterCheck) Disconnect(string) {}

// TestUnnoticedServerEndIsCounted guards against a server that counts as running because it could not be
// checked at once, or because its next process accepts connections already. An end that is proven
// later counts as well, and a trial lasts until then.
func TestUnnoticedServerEndIsCounted(t *testing.T) {
	cases := map[string]struct {
		after   time.Duration // from the failure until something can be found out
		health  fakeHealth
		stopped bool
		ended   int
	}{
		"nothing listens":                    {0, noProcess, true, 1},
		"nothing listens, after 1 s":         {time.Second, noProcess, true, 1},
		"another process answers":            {0, answersAs("another"), false, 1},
		"another process answers, after 1 s": {time.Second, answersAs("another"), false, 1},
		"another process answers, too late":  {endRecheckTime + time.Second, answersAs("another"), false, 0},
		"the process answers":                {0, survivor, false, 0},
		"the process answers, after 1 s":     {time.Second, survivor, false, 0},
		"the answer names no process":        {0, answersAs(""), false, 0},
		"nothing is ever found out":          {time.Hour, silent, false, 0},
	}
	for name, test := range cases {
		for path, model := range map[string]string{"/safe/x": "", "/s/x": "m"} {
			runFakeTime(t, name+path, func(t *testing.T) {
				harness := newHarness(t, step{err: errAnswerLost})
				guard := &fixedGuard{judgment: shedkeel.Quarantined}
				check := laterCheck{time.Now().Add(test.after), test.health, test.stopped, silent}
				harness.Guard, harness.ServerCheck, harness.Health = guard, check, check
				began := time.Now()
				assert.Equal(t, harness.post(path, "body", "Model", model).Code, 502)
				assert.Equal(t, time.Since(began), time.Duration(0), "the answer waited for the check")
				if test.after > 0 {
					time.Sleep(min(test.after, endRecheckTime) - time.Millisecond)
					assert.Equal(t, guard.endedTrials(), 0, "the trial ended before the check")
				}
				time.Sleep(healthTimeout + healthRetryDelay + time.Millisecond)
				assert.Equal(t, len(guard.endedServers()), test.ended)
				assert.Equal(t, guard.endedTrials(), 1)
			})
		}
	}
}

// TestWithdrawnCopyCounts guards against the end of a server under a copy of a request that was
// withdrawn from it, as other servers had ended under other copies, going uncounted: the request would
// end one server more.
func TestWithdrawnCopyCounts(t *testing.T) {
	cases := map[string]struct {
		after   time.Duration // from the withdrawal until something else can be found out than that the server runs
		health  fakeHealth
		stopped bool
		ended   int
	}{
		"nothing listens":                     {0, noProcess, true, 1},
		"another process answers":             {0, answersAs("another"), false, 1},
		"nothing listens, shortly after":      {withdrawnTime / 2, noProcess, true, 1},
		"nothing listens, long after":         {4 * withdrawnTime, noProcess, true, 0},
		"another process, shortly after":      {withdrawnTime / 2, answersAs("another"), false, 1},
		"nothing is ever found out":           {0, silent, false, 0},
		"the process answers, and goes on so": {0, survivor, false, 0},
	}
	for name, test := range cases {
		for path, model := range map[string]string{"/safe/x": "", "/s/x": "m"} {
			runFakeTime(t, name+path, func(t *testing.T) {
				harness := newHarness(t, step{delay: time.Second, events: 3})
				guard := &fixedGuard{idle: true}
				withdrawn := 50 * time.Millisecond
				check := laterCheck{from: time.Now().Add(withdrawn + test.after), health: test.health, stopped: test.stopped, before: survivor}
				harness.Guard, harness.ServerCheck, harness.Health = guard, check, check
				time.AfterFunc(withdrawn, func() {
					for _, exchange := range harness.activeExchanges() {
						harness.CancelCopies(shedkeel.DigestSubject(exchange.digest()))
					}
				})
				assert.Equal(t, harness.post(path, "body", "Model", model).Code, 502)
				time.Sleep(endRecheckTime + healthTimeout)
				assert.Equal(t, len(guard.endedServers()), test.ended)
			})
		}
	}
}

// TestEndOfUnlistedServer checks that the end of a server that leaves the list counts, unless the server
// may have served on for as long as one that ends as planned.
func TestEndOfUnlistedServer(t *testing.T) {
	for name, test := range map[string]struct {
		ran   time.Duration
		ended int
	}{"soon after it was chosen": {minDrain / 2, 1}, "later": {2 * minDrain, 0}} {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t)
			timers, guard := &timer.Manual{}, &fixedGuard{idle: true}
			harness.Timers, harness.Guard, harness.ServerCheck = timers, guard, fixedCheck(true)
			choice := harness.Table.Choose(dispatch.Query{Service: "plain", Now: timers.Now()})
			harness.Table.Replace(nil)
			timers.Advance(test.ran)
			exchange := newExchange()
			exchange.handler, exchange.digest = harness.Handler, exchange.computeDigest
			exchange.reportServerEnd(&attempt{Choice: choice}, errAnswerLost)
			assert.Equal(t, len(guard.endedServers()), test.ended)
		})
	}
}

// TestServerEndBlamesEarlierAttemptsOnly checks that the termination of a server is reported to
// the guard only for attempts that began before the first attempt failed there, and only while
// the server is listed. In fake time, the harness's search for stalled servers does not run meanwhile.
func TestServerEndBlamesEarlierAttemptsOnly(t *testing.T) {
	synctest.Test(t, checkEarlierAttemptsBlamed)
}

// checkEarlierAttemptsBlamed is the body of TestServerEndBlamesEarlierAttemptsOnly.
func checkEarlierAttemptsBlamed(t *testing.T) {
	harness := newHarness(t)
	timers := &timer.Manual{}
	guard := &fixedGuard{idle: true}
	harness.Timers, harness.Guard, harness.ServerCheck = timers, guard, fixedCheck(true)
	harness.Table.Replace([]dispatch.Server{{Service: "plain", Instance: "p", Address: "plain:1", Slots: 4}})
	// choose advances the clock first, so that each choice is made at another time.
	choose := func() *dispatch.Choice {
		timers.Advance(time.Second)
		return harness.Table.Choose(dispatch.Query{Service: "plain", Now: timers.Now()})
	}
	exchange := newExchange()
	exchange.handler, exchange.digest = harness.Handler, exchange.computeDigest
	first, second := choose(), choose() // both before an attempt fails
	exchange.reportServerEnd(&attempt{Choice: first}, errAnswerLost)
	afterFailure := choose()
	exchange.reportServerEnd(&attempt{Choice: afterFailure}, errAnswerLost)
	assert.Equal(t, len(guard.ended), 1, "the attempt that began after the first failure was reported")
	exchange.reportServerEnd(&attempt{Choice: second}, errAnswerLost)
	assert.Equal(t, len(guard.ended), 2, "the second attempt, which began before the first failure, was not reported")
	harness.Table.Replace(nil)
	exchange.reportServerEnd(&attempt{Choice: first}, errAnswerLost)
	assert.Equal(t, len(guard.ended), 2, "the termination of a server that is no longer listed was reported")
}

// TestAnswerReportedToGuard checks that the answers to a stream and to a plain request are both
// reported to the guard while it has records. While it has none, they must not both be reported,
// because a report needs the digest, which costs time to compute.
func TestAnswerReportedToGuard(t *testing.T) {
	for name, idle := range map[string]bool{"guard has records": false, "guard is idle": true} {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{events: 3}, step{body: "ok"})
			guard := &fixedGuard{idle: idle}
			harness.Guard = guard
			assert.Equal(t, harness.post("/s/x", "body", "Model", "m").Code, 200)
			assert.Equal(t, harness.post("/safe/x", "body").Code, 200)
			assert.Equal(t, guard.answers == 2, !idle)
		})
	}
}

// TestCancelCopies checks that CancelCopies cancels a request with the given digest
// that waits for its answer, and that a stream whose answer has started and a request with
// another digest go on. A canceled request gets 502, because it may have run.
func TestCancelCopies(t *testing.T) {
	cases := map[string]struct {
		path   string
		step   step
		status int
	}{
		"waits, stream":   {"/s/x", step{delay: 300 * time.Millisecond, events: 3}, 502},
		"waits, plain":    {"/safe/x", step{delay: 300 * time.Millisecond, body: "ok"}, 502},
		"stream started":  {"/s/x", step{events: 200}, 200}, // takes over 60 ms with slowBackend, which delays each read by 1 ms
		"another request": {"/s/y", step{delay: 300 * time.Millisecond, events: 3}, 200},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.step)
			digested := newExchange() // CancelCopies is called with the digest of this exchange
			digested.handler = harness.Handler
			digested.call.Target, digested.account, digested.body = test.path, &shedkeel.KeyedAccount{ID: "clerk"}, intake.NewBody([]byte("body"))
			if name == "another request" {
				digested.call.Target = "/s/x"
			}
			go func() {
				time.Sleep(60 * time.Millisecond) // until the request waits for its answer, or part of the stream has been forwarded
				harness.CancelCopies(shedkeel.DigestSubject(digested.computeDigest()))
			}()
			if name == "stream started" {
				harness.Backend = slowBackend{harness.backend} // otherwise the stream would end before CancelCopies is called
			}
			got := harness.post(test.path, "body", "Model", modelOf(test.path))
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, got.Header().Get("Retry-After"), "", "a request that may have run must not be retried")
			assert.Equal(t, len(harness.activeExchanges()), 0)
		})
	}
}

// TestCancelOverdueAfterBoxSuspension advances the handler's clock but not the timers of contexts, as
// after a suspension of the box, and calls CancelOverdue. Requests whose deadline has passed must
// end at once, and other requests go on until their answer after 400 ms. The timeouts of the
// routes are 1 and 2 s.
func TestCancelOverdueAfterBoxSuspension(t *testing.T) {
	cases := map[string]struct {
		path      string
		suspended time.Duration // by which the handler's clock advances while the request waits
		status    int
	}{
		"past deadline, plain":  {"/safe/x", 5 * time.Second, 504},
		"past deadline, stream": {"/s/x", 5 * time.Second, 504},
		"briefly, plain":        {"/safe/x", 100 * time.Millisecond, 200},
		"briefly, stream":       {"/s/x", 100 * time.Millisecond, 200},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{delay: 400 * time.Millisecond, events: 2})
			timers := &timer.Manual{}
			timers.Advance(harness.clock.Now()) // the time of harness.provenAt: the configuration counts as current
			harness.Timers = timers
			go func() {
				time.Sleep(50 * time.Millisecond) // until the request waits for its answer
				timers.Advance(test.suspended)
				harness.CancelOverdue(timers.Now())
			}()
			began := time.Now()
			got := harness.post(test.path, "body", "Model", modelOf(test.path))
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Assert(t, test.status == 200 || time.Since(began) < 300*time.Millisecond, "the overdue request did not end before its answer came")
		})
	}
}

// slowBackend is a backend whose response bodies delay each read by a millisecond.
type slowBackend struct{ shedkeel.Backend }

func (slowBackend slowBackend) Send(request *http.Request) (*http.Response, error) {
	response, err := slowBackend.Backend.Send(request)
	if err == nil {
		response.Body = &slowBody{response.Body}
	}
	return response, err
}

// slowBody is a response body that delays each read by a millisecond.
type slowBody struct{ io.ReadCloser }

func (body *slowBody) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return body.ReadCloser.Read(buffer)
}
