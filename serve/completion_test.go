package serve

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// fakeHealth is a fake shedkeel.HealthCheck.
type fakeHealth func(ctx context.Context) (shedkeel.Health, error)

func (fake fakeHealth) Health(ctx context.Context, _, _ string) (shedkeel.Health, error) {
	return fake(ctx)
}

func (fake fakeHealth) Report(ctx context.Context, _ string) (shedkeel.Health, error) {
	return fake(ctx)
}

func (fake fakeHealth) SharedHealth(ctx context.Context, _, _ string) (shedkeel.Health, error) {
	return fake(ctx)
}

func (fakeHealth) Connect(context.Context, string) {}

func (fakeHealth) Disconnect(string) {}

var (
	// survivor answers over a connection that is older than all requests.
	survivor = fakeHealth(func(context.Context) (shedkeel.Health, error) {
		return shedkeel.Health{ConnectedAt: time.Unix(1, 0)}, nil
	})
	// noProcess refuses connections.
	noProcess = fakeHealth(func(context.Context) (shedkeel.Health, error) { return shedkeel.Health{}, syscall.ECONNREFUSED })
	// silent answers nothing.
	silent = fakeHealth(func(ctx context.Context) (shedkeel.Health, error) {
		<-ctx.Done()
		return shedkeel.Health{}, ctx.Err()
	})
)

// answersAs returns a fake that answers over a new connection.
func answersAs(server shedkeel.ServerID) fakeHealth {
	return func(context.Context) (shedkeel.Health, error) {
		return shedkeel.Health{Server: server}, nil
	}
}

// TestPartOfKilledServerIsNoAnswer guards against the part of an answer that a server had sent
// when it was killed reaching a caller as a complete answer. The servers are p0 to p2.
func TestPartOfKilledServerIsNoAnswer(t *testing.T) {
	const part = "the first par"
	whole := step{body: "whole"}
	cases := map[string]struct {
		path    string
		health  fakeHealth
		stopped bool // connections to the server are refused
		first   step
		status  int
		body    string
		sent    int // attempts that reach the backend
	}{
		"safe":                         {"/safe/x", noProcess, true, step{unstated: true, body: part}, 200, "whole", 2},
		"once":                         {"/once/x", noProcess, true, step{unstated: true, body: part}, 502, "", 1},
		"once, failed by the server":   {"/once/x", noProcess, true, step{unstated: true, body: part, status: 500}, 502, "", 1},
		"safe, another server":         {"/safe/x", answersAs("another"), false, step{unstated: true, body: part}, 200, "whole", 2},
		"once, another server":         {"/once/x", answersAs("another"), false, step{unstated: true, body: part}, 502, "", 1},
		"safe, no reply":               {"/safe/x", silent, false, step{unstated: true, body: part}, 504, "", 1}, // it may be whole
		"safe, another server later":   {"/safe/x", afterDelay(300*time.Millisecond, answersAs("another")), false, step{unstated: true, body: part}, 200, "whole", 2},
		"once, no reply":               {"/once/x", silent, false, step{unstated: true, body: part}, 504, "", 1},
		"once, a reply without name":   {"/once/x", answersAs(""), false, step{unstated: true, body: part}, 502, "", 1},
		"safe, a reply without name":   {"/safe/x", answersAs(""), false, step{unstated: true, body: part}, 200, "whole", 2},
		"once, the process runs on":    {"/once/x", survivor, false, step{unstated: true, body: "whole"}, 200, "whole", 1},
		"safe, the process runs on":    {"/safe/x", survivor, false, step{unstated: true, body: "whole"}, 200, "whole", 1},
		"once, with a length":          {"/once/x", noProcess, true, whole, 200, "whole", 1},
		"once, the server has no body": {"/once/x", noProcess, true, step{status: 204}, 204, "", 1},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.first, whole)
			harness.ServerCheck, harness.Health = fixedCheck(test.stopped), test.health
			got := harness.post(test.path, "body")
			time.Sleep(endRecheckTime + healthTimeout) // checks may outlive their request
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, len(harness.backend.requests), test.sent)
			assert.Assert(t, !strings.Contains(got.Body.String(), part), "the caller got a part")
			if test.body != "" {
				assert.Equal(t, got.Body.String(), test.body)
			}
		})
	}
}

// TestHeadAloneIsNoAnswer guards against a server that stops after the head of its answer, and whose caller gets an empty answer as a
// whole one. The server lives on.
func TestHeadAloneIsNoAnswer(t *testing.T) {
	cases := map[string]struct {
		method, path string
		first        step
		status       int
		body         string
		sent         int
	}{
		"safe":                        {"POST", "/safe/x", step{unstated: true}, 200, "whole", 2},
		"once":                        {"POST", "/once/x", step{unstated: true}, 502, "", 1},
		"stream":                      {"POST", "/s/x", step{unstated: true}, 200, events(1, 2), 2},
		"once, length 0":              {"POST", "/once/x", step{}, 200, "", 1},
		"once, no content":            {"POST", "/once/x", step{status: 204}, 204, "", 1},
		"head request":                {"HEAD", "/safe/x", step{unstated: true}, 200, "", 1},
		"once, an error's head":       {"POST", "/once/x", step{unstated: true, status: 404}, 404, "", 1},
		"once, a body without length": {"POST", "/once/x", step{unstated: true, body: "whole"}, 200, "whole", 1},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			second := step{body: "whole"}
			if test.path == "/s/x" {
				second = step{events: 2}
			}
			harness := newHarness(t, test.first, second)
			got := harness.send(test.method, test.path, "body", "Model", "m")
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, len(harness.backend.requests), test.sent)
			if test.status == 200 {
				assert.Equal(t, got.Body.String(), test.body)
			}
		})
	}
}

// TestDrainingServersPartIsNoAnswer guards against parts that pass as complete because the end of
// a draining or unlisted server is planned, and so is not held against the request.
func TestDrainingServersPartIsNoAnswer(t *testing.T) {
	cases := map[string]struct {
		path     string
		first    step
		unlisted bool
		status   int
		broken   bool
	}{
		"stream, draining": {"/s/x", step{events: 3, unframed: true, drains: true}, false, 200, true},
		"stream, unlisted": {"/s/x", step{events: 3, unframed: true}, true, 200, true},
		"plain, draining":  {"/once/x", step{body: "part", unstated: true, drains: true}, false, 502, false},
		"plain, unlisted":  {"/once/x", step{body: "part", unstated: true}, true, 502, false},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			test.first.delay = 10 * time.Millisecond
			harness := newHarness(t, test.first)
			harness.ServerCheck, harness.Health = fixedCheck(true), noProcess
			config := testConfig()
			config.Routes[0].Resumable, config.Routes[0].MaxRuns = false, 1
			view := NewView(config)
			harness.CurrentConfig = func() ConfigState { return ConfigState{View: view, ProvenAt: harness.clock.Now()} }
			if test.unlisted {
				time.AfterFunc(time.Millisecond, func() { harness.Table.Replace(nil) })
			}
			got := harness.post(test.path, "prompt", "Model", "m")
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Equal(t, got.broken, test.broken)
		})
	}
}

// TestUnprovenAnswerClearsNothing guards against an answer of unknown completeness that clears a
// request or counts as a success of the server.
func TestUnprovenAnswerClearsNothing(t *testing.T) {
	for name, path := range map[string]string{"plain": "/once/x", "stream": "/s/x"} {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{body: "part", unstated: true}, step{err: errAnswerLost})
			if path == "/s/x" {
				harness = newHarness(t, step{events: 3, unframed: true}, step{err: errAnswerLost})
			}
			guard := &fixedGuard{judgment: shedkeel.Unblamed}
			harness.Guard, harness.ServerCheck, harness.Health = guard, fixedCheck(true), noProcess
			got := harness.post(path, "prompt", "Model", "m")
			assert.Assert(t, got.broken || got.Code == 502)
			assert.Equal(t, guard.answers, 0)
			assert.Equal(t, len(guard.ended) > 0, true, "the server's end must be reported")
		})
	}
}

// TestHealthCheckIsRepeatedForOnce guards against a 502 for a complete answer to a request that may not
// run again, because one health check was lost.
func TestHealthCheckIsRepeatedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t, step{unstated: true, body: "whole"})
		var checks atomic.Int64
		harness.Health = fakeHealth(func(ctx context.Context) (shedkeel.Health, error) {
			if checks.Add(1) == 1 {
				<-ctx.Done()
				return shedkeel.Health{}, ctx.Err()
			}
			return shedkeel.Health{ConnectedAt: time.Unix(1, 0)}, nil
		})
		got := harness.post("/once/x", "body")
		assert.Equal(t, got.Code, 200, got.Body.String())
		assert.Equal(t, checks.Load(), int64(2))
	})
}

// TestUnprovableAnswerIsRefusedAtOnce guards against a caller that waits until its deadline for a proof that
// cannot come: there is no health check, or the server's answer to it names no process.
func TestUnprovableAnswerIsRefusedAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(harness *harness){
		"no health check": func(harness *harness) { harness.Health = nil },
		"no path":         func(harness *harness) { harness.CurrentConfig().View.Service("plain").HealthPath = "" },
		"no name":         func(harness *harness) { harness.Health = answersAs("") },
	} {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{unstated: true, body: "whole"})
			prepare(harness)
			began := time.Now()
			assert.Equal(t, harness.post("/once/x", "body").Code, 502)
			assert.Equal(t, time.Since(began), time.Duration(0))
		})
	}
}

// TestHealthChecksAreShared guards against a health check for each of many answers that end at the same
// time, and against a check from before the end of an answer that passes for one from after it.
func TestHealthChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		handler := &Handler{Timers: newHarness(t).Timers}
		handler.Health = fakeHealth(func(context.Context) (shedkeel.Health, error) {
			sent.Add(1)
			time.Sleep(10 * time.Millisecond)
			return shedkeel.Health{}, errors.New("no answer")
		})
		const waiting = 50
		sentAt := make(chan time.Duration, waiting)
		for index := range waiting {
			time.AfterFunc(time.Duration(index)*time.Millisecond/10, func() {
				began := handler.Timers.Now()
				result := handler.healthChecks.check(t.Context(), handler, checkTarget{"a:1", "/health", false}, nil)
				assert.Check(t, result.sentAt >= began, "the check was sent before its answer had ended")
				sentAt <- result.sentAt
			})
		}
		for range waiting {
			<-sentAt
		}
		assert.Equal(t, sent.Load(), int64(2), "one check for the first, and one for all others")
		synctest.Wait()
		handler.healthChecks.mutex.Lock()
		defer handler.healthChecks.mutex.Unlock()
		assert.Equal(t, len(handler.healthChecks.servers), 0)
	})
}

// TestHeadIsNotCloseDelimited guards against a health check for an answer without a body.
func TestHeadIsNotCloseDelimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t, step{unstated: true})
		harness.Health = fakeHealth(func(context.Context) (shedkeel.Health, error) {
			t.Error("a health check was sent")
			return shedkeel.Health{}, syscall.ECONNREFUSED
		})
		assert.Equal(t, harness.send(http.MethodHead, "/safe/x", "").Code, 200)
	})
}
