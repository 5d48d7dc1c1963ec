package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				arrived := time.Now()
				latest.Store(max(latest.Load(), int64(arrived.Sub(began))))
				open.Add(1)
				defer func() {
					longest.Store(max(longest.Load(), int64(time.Since(arrived))))
					open.Add(-1)
					ended.Add(1)
				}()
				harness.ServeHTTP(writer, request)
			}))
			server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
				assert.Check(t, conn.(*net.TCPConn).SetWriteBuffer(4096)) // too small for the answers
				return ctx
			}
			server.Start()
			defer server.CloseClientConnections()
			for index := range callers {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r%d\r\nKey: k1\r\nModel: m\r\nDeadline: %s\r\nContent-Length: 1\r\n\r\nx", test.path, index, deadline)
				assert.NilError(t, err)
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
