package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/internal/standin"
)

// TestSlowReadersAreDisconnected lets callers send requests and read nothing of the answers. It
// checks that each request ends soon after its write deadline. Without the write deadline,
// the state of each request would be kept until the operating system closes the connection.
func TestSlowReadersAreDisconnected(t *testing.T) {
	const callers, deadline = 20, 300 * time.Millisecond // the deadline is that of each request
	cases := map[string]struct {
		path string
		step step
	}{
		"a long answer": {"/safe/x", step{body: strings.Repeat("x", 512<<10)}}, // 512 KiB
		"a long stream": {"/s/x", step{events: 1 << 20}},                       // about a million events
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var steps []step
			// One step more than there are requests: if one request is sent twice, each attempt
			// still gets the long answer. After the last step, the fake backend answers "ok".
			for range callers + 1 {
				steps = append(steps, test.step)
			}
			harness := newHarness(t, steps...)
			began := time.Now()
			// open and ended count the requests that are being served and that have ended.
			// latest is the time from began to the latest arrival of a request, and longest the
			// longest time for which a request was served, in nanoseconds.
			var open, ended, latest, longest atomic.Int64
			server := startWithSmallBuffers(t, func(writer http.ResponseWriter, request *http.Request) {
				arrived := time.Now()
				latest.Store(max(latest.Load(), int64(arrived.Sub(began))))
				open.Add(1)
				defer func() {
					longest.Store(max(longest.Load(), int64(time.Since(arrived))))
					open.Add(-1)
					ended.Add(1)
				}()
				harness.ServeHTTP(writer, request)
			})
			for index := range callers {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
				assert.NilError(t, err)
				assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
				sendWithoutReading(t, conn, test.path, fmt.Sprint("r", index), deadline)
			}
			time.Sleep(deadline / 2) // the requests have not reached their deadline
			assert.Assert(t, open.Load() > 0, "no request is being served")
			// Wait until all requests have ended, but no longer than ten times the time that
			// the handler gives a caller to read.
			for end := time.Now().Add(10 * unreadTimeout); ended.Load() < callers && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			t.Logf("the last request arrived after %s, the longest took %s", time.Duration(latest.Load()), time.Duration(longest.Load()))
			assert.Equal(t, ended.Load(), int64(callers), "all requests must have ended")
			// The second unreadTimeout allows for delays of the machine.
			assert.Assert(t, time.Duration(longest.Load()) <= deadline+2*unreadTimeout, "a request was held for %s", time.Duration(longest.Load()))
			assert.Equal(t, len(harness.activeExchanges()), 0, "requests are still tracked")
		})
	}
}

// startWithSmallBuffers starts a server whose connections buffer less than the answers of the
// tests of slow readers.
func startWithSmallBuffers(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		assert.Check(t, conn.(*net.TCPConn).SetWriteBuffer(4096))
		return ctx
	}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server
}

// sendWithoutReading sends a request over the connection and reads nothing of the answer.
func sendWithoutReading(t *testing.T, conn net.Conn, path, id string, deadline time.Duration) {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() })
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k1\r\nModel: m\r\nDeadline: %s\r\nContent-Length: 1\r\n\r\nx", path, id, deadline)
	assert.NilError(t, err)
}

// startInMemory starts a server on the network. It returns the address.
func startInMemory(t *testing.T, network *standin.Network, handler http.HandlerFunc) string {
	t.Helper()
	listener := network.Listen()
	server := &http.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return listener.Addr().String()
}

// byCaller is a fake shedkeel.Backend that answers the requests with the ID prompt by one step
// and all others by another.
type byCaller struct{ slow, prompt step }

func (byCaller byCaller) Send(request *http.Request) (*http.Response, error) {
	step := byCaller.slow
	if request.Header.Get("Id") == "prompt" {
		step = byCaller.prompt
	}
	return step.response(request), nil
}

// TestUnreadBytesAreBounded lets callers send requests and read nothing of the answers; every
// second one closes its connection before its deadline. Without ReaderBudget, the answers would
// take several times the bound. A bound that made all requests wait would delay a caller that
// reads at once. A request that did not release its bytes would shrink the bound for good.
func TestUnreadBytesAreBounded(t *testing.T) {
	const (
		deadline    = 2 * time.Second
		answerBytes = 512 << 10
		promptBytes = 2    // of the small answer to the prompt reader, which never waits
		eventBytes  = 1100 // more than an event with its padding
	)
	long := step{body: strings.Repeat("x", answerBytes)}
	endless := step{events: 1 << 20, padding: strings.Repeat("x", 1<<10)}
	chunked := long
	chunked.unstated = true
	cases := map[string]struct {
		path     string
		slow     step
		callers  int
		limit    int64
		min, max int64 // bounds of the most bytes held at a time
	}{
		"streams": {"/s/x", endless, 1000, 1 << 20, 1<<20 - eventBytes, 1<<20 + 1000*eventBytes}, // each request may hold one event
		"answers": {"/safe/x", long, 1000, 8 << 20, 8 << 20, 8<<20 + promptBytes},
		// A request reserves unstatedAnswerBytes until its answer is read.
		"answers of no stated length": {"/safe/x", chunked, 200, 8 << 20, 7 << 20, 8<<20 + promptBytes},
		"no bound":                    {"/safe/x", long, 100, 0, 100 * answerBytes, 100*answerBytes + promptBytes},
		"no bound, streams":           {"/s/x", endless, 100, 0, 400 << 10, 100 * (updateBuffer + 2) * eventBytes},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t)
			harness.ReaderBudget.Limit = test.limit
			harness.Backend = byCaller{test.slow, step{body: "ok"}}
			if test.slow.events > 0 {
				harness.Backend = byCaller{test.slow, step{events: 20, padding: test.slow.padding}}
			}
			servers := []dispatch.Server{{Service: "plain", Instance: "p", Address: "plain:1", Slots: 4}}
			for index := range 50 { // groups with slots for all callers
				name := fmt.Sprint("g", index)
				servers = append(servers, dispatch.Server{Service: "llm", Model: "m", Instance: shedkeel.InstanceID(name), Address: "group:1", Slots: 34, Group: shedkeel.Assignment{Group: shedkeel.GroupID(name), Epoch: 1}})
			}
			harness.Table.Replace(servers)
			view := NewView(testConfig())
			view.route("h", "/safe/x").Timeout = deadline
			harness.CurrentConfig = func() ConfigState { return ConfigState{View: view, ProvenAt: harness.clock.Now()} }
			var arrived, ended atomic.Int64
			network := &standin.Network{Buffer: 4096}
			address := startInMemory(t, network, func(writer http.ResponseWriter, request *http.Request) {
				arrived.Add(1)
				defer ended.Add(1)
				harness.ServeHTTP(writer, request)
			})
			var most atomic.Int64 // bytes held at a time
			cancel := harness.clock.Subscribe(time.Millisecond, func(time.Duration) { most.Store(max(most.Load(), harness.ReaderBudget.Held())) })
			defer cancel()
			for index := range test.callers {
				conn, err := network.DialContext(t.Context(), "tcp", address)
				assert.NilError(t, err)
				sendWithoutReading(t, conn, test.path, fmt.Sprint("r", index), deadline)
				if index%2 == 0 {
					time.AfterFunc(deadline*3/4, func() { _ = conn.Close() })
				}
			}
			for arrived.Load() < int64(test.callers) || harness.ReaderBudget.Held() < test.min {
				assert.Assert(t, ended.Load() == 0, "a request ended before the least bytes were held, %d", harness.ReaderBudget.Held())
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			assert.NilError(t, readPromptly(t, network, address, test.path))
			took := time.Since(began)
			assert.Assert(t, harness.ReaderBudget.Held() > 0, "the slow readers have ended already")
			for end := time.Now().Add(10 * unreadTimeout); ended.Load() <= int64(test.callers) && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			assert.Equal(t, ended.Load(), int64(test.callers+1), "all requests must have ended")
			t.Logf("at most %d bytes held, the prompt reader took %s", most.Load(), took)
			assert.Equal(t, harness.ReaderBudget.Held(), int64(0))
			assert.Assert(t, most.Load() >= test.min && most.Load() <= test.max, "%d bytes held, want %d to %d", most.Load(), test.min, test.max)
			assert.Equal(t, took, time.Duration(0), "the prompt reader must not wait for the slow ones")
		})
	}
}

// readPromptly sends the request with the ID prompt and reads its answer at once. The error says
// why the answer is not a complete one of the server.
func readPromptly(t *testing.T, network *standin.Network, address, path string) error {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: network.DialContext}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header = http.Header{"Id": {"prompt"}, "Key": {"k1"}, "Model": {"m"}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestReservations checks which reservations wait while another request keeps 600 of 1,000 KiB, and
// what ends the wait. A request must not wait for what it keeps itself or after its end, and no
// byte may stay counted after the requests.
func TestReservations(t *testing.T) {
	otherEnds := func(_, other *unreadBytes, _ context.CancelFunc) { other.end() }
	ownIsRead := func(own, _ *unreadBytes, _ context.CancelFunc) { own.release(own.kept) }
	isCanceled := func(_, _ *unreadBytes, cancel context.CancelFunc) { cancel() }
	cases := map[string]struct {
		kept   int64                                                    // by the request itself, in KiB
		event  bool                                                     // for an event of a stream, otherwise for an answer
		size   int64                                                    // in KiB
		wakeUp func(own, other *unreadBytes, cancel context.CancelFunc) // ends the wait; nil: there is none
		err    error
	}{
		"first event of a stream":             {0, true, 900, nil, nil},
		"event that fits":                     {10, true, 390, nil, nil},
		"event that does not fit":             {10, true, 391, otherEnds, nil},
		"event after all others are read":     {10, true, 391, ownIsRead, nil},
		"event of a canceled source":          {10, true, 391, isCanceled, context.Canceled},
		"small answer above the bound":        {0, false, 64, nil, nil},
		"answer that fits":                    {0, false, 400, nil, nil},
		"answer that does not fit":            {0, false, 401, otherEnds, nil},
		"answer larger than the bound":        {0, false, 5000, otherEnds, nil},
		"answer to a caller that disconnects": {0, false, 401, isCanceled, context.Canceled},
		"answer of a further attempt":         {10, false, 900, nil, nil},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			budget := &ReaderBudget{Limit: 1000 << 10}
			own, other := &unreadBytes{budget: budget}, &unreadBytes{budget: budget}
			other.keep(0, 600<<10)
			own.keep(0, test.kept<<10)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := own.reserve(ctx, &readerWaiter{owner: own, size: test.size << 10, event: test.event}, func() {})
				result <- err
			}()
			synctest.Wait()
			assert.Equal(t, len(result) == 0, test.wakeUp != nil, "whether the reservation waits")
			if test.wakeUp != nil {
				// One that would fit waits behind those that came before, or large ones would wait for ever.
				behind := &unreadBytes{budget: budget}
				late, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				_, err := behind.reserveAnswer(late, smallAnswerBytes+1, func() {})
				assert.ErrorIs(t, err, context.DeadlineExceeded)
				test.wakeUp(own, other, cancel)
			}
			assert.ErrorIs(t, <-result, test.err)
			own.end()
			other.end()
			assert.Equal(t, budget.Held(), int64(0))
			assert.Equal(t, budget.waiters.Len(), 0)
			_, err := own.reserveEvent(ctx, 5000<<10) // of a source that still runs
			assert.NilError(t, err)
			own.keep(0, 10)
			assert.Equal(t, budget.Held(), int64(0))
		})
	}
}

// TestConnectionReusedAfterDeadline checks that a request succeeds that is sent after the write
// deadline of the request before it, over the connection that the client has kept open.
func TestConnectionReusedAfterDeadline(t *testing.T) {
	harness := newHarness(t)
	server := httptest.NewServer(harness)
	defer server.Close()
	for _, path := range []string{"/safe/x", "/none/x", "/safe/x"} { // no route matches /none/x
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, nil)
		assert.NilError(t, err)
		request.Host = "h"
		request.Header.Set("Id", "r1")
		request.Header.Set("Key", "k1")
		request.Header.Set("Deadline", "100ms")
		response, err := server.Client().Do(request)
		assert.NilError(t, err, "the connection must stay usable")
		assert.NilError(t, response.Body.Close())
		// The write deadline is the request's deadline plus unreadTimeout; 100 ms later it has passed.
		time.Sleep(100*time.Millisecond + unreadTimeout + 100*time.Millisecond)
	}
}
