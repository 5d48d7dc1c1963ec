package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// server is an HTTP server that follows a script with one step per request. It
// counts the requests that it received completely, against which the tests check
// the errors of Send.
type server struct {
	listener net.Listener
	script   []string // one step per request, over all connections; "answer" when used up
	mutex    sync.Mutex
	runs     int // requests received completely
	conns    int // accepted connections
	running  sync.WaitGroup
}

// newServer starts a server on loopback, which the test's cleanup stops.
func newServer(t *testing.T, script ...string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &server{listener: listener, script: script}
	server.running.Go(server.run)
	t.Cleanup(func() {
		_ = listener.Close()
		server.running.Wait()
	})
	return server
}

func (server *server) run() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.running.Go(func() { server.serve(conn) })
	}
}

// serve follows the script on one connection until a step or an error closes it.
func (server *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	server.mutex.Lock()
	server.conns++
	server.mutex.Unlock()
	reader := bufio.NewReader(conn)
	for {
		step := server.peek()
		if step == "reset before reading" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			server.next()
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		server.mutex.Lock()
		server.runs++
		server.mutex.Unlock()
		switch server.next() {
		case "answer":
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		case "answer then close":
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		case "close":
			return
		case "half a header":
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Le")
			return
		case "hang":
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}

// peek returns the next step of the script without removing it.
func (server *server) peek() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.script) == 0 {
		return "answer"
	}
	return server.script[0]
}

// next removes and returns the next step of the script.
func (server *server) next() string {
	step := server.peek()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.script) > 0 {
		server.script = server.script[1:]
	}
	return step
}

// connections returns the number of accepted connections.
func (server *server) connections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.conns
}

// count returns the number of requests received completely.
func (server *server) count() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runs
}

// send sends a request with an Idempotency-Key, which would let net/http retry it, and
// reads the answer.
func send(t *testing.T, transport *Transport, address, method, body string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", "one")
	response, err := transport.Send(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// TestNotRunIsTrue checks the errors of Send against the requests that the server
// received. Send must return a NotRunError only for a request that did not arrive, and
// net/http must not send a failed request again.
func TestNotRunIsTrue(t *testing.T) {
	cases := map[string]struct {
		script  []string
		method  string
		body    string
		timeout time.Duration
		runs    int
		notRun  bool
	}{
		"closed after the request":            {[]string{"close"}, http.MethodPost, "x", time.Second, 1, false},
		"closed after a request without body": {[]string{"close"}, http.MethodGet, "", time.Second, 1, false},
		"closed within the answer's header":   {[]string{"half a header"}, http.MethodPost, "x", time.Second, 1, false},
		"no answer in time":                   {[]string{"hang"}, http.MethodPost, "x", 100 * time.Millisecond, 1, false},
		"deadline exceeded before sending":    {nil, http.MethodPost, "x", 0, 0, true},
		"reused connection closed on a POST":  {[]string{"answer", "close"}, http.MethodPost, "", time.Second, 2, false},
		"reused connection closed on a GET":   {[]string{"answer", "close"}, http.MethodGet, "", time.Second, 2, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := newServer(t, test.script...)
			transport := &Transport{}
			defer transport.Close()
			address := server.listener.Addr().String()
			if len(test.script) > 0 && test.script[0] == "answer" {
				assert.NilError(t, send(t, transport, address, test.method, test.body, time.Second))
			}
			err := send(t, transport, address, test.method, test.body, test.timeout)
			var notRun *shedkeel.NotRunError
			assert.Equal(t, errors.As(err, &notRun), test.notRun, "%v", err)
			assert.Assert(t, err != nil)
			assert.Equal(t, server.count(), test.runs, "runs at the server")
		})
	}
}

// TestRefusedDialIsNotRun checks that a refused connection gives a NotRunError.
func TestRefusedDialIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	err = send(t, &Transport{}, address, http.MethodPost, "x", time.Second)
	var notRun *shedkeel.NotRunError
	assert.Assert(t, errors.As(err, &notRun), "%v", err)
}

// TestResetBeforeReading checks that Send fails when the server resets the connection
// before the server reads the request, and that the request is not sent again. The test
// accepts a NotRunError and an UnknownRunError.
func TestResetBeforeReading(t *testing.T) {
	for range 50 {
		server := newServer(t, "reset before reading")
		transport := &Transport{}
		err := send(t, transport, server.listener.Addr().String(), http.MethodPost, "x", time.Second)
		assert.Assert(t, err != nil)
		assert.Equal(t, server.count(), 0)
		transport.Close()
	}
}

// TestIdleConnectionClosed sends requests to a server that closes the connection after
// each answer. A request that runs twice, or runs although it failed with a NotRunError,
// raises the number of runs above that of the requests without a NotRunError.
func TestIdleConnectionClosed(t *testing.T) {
	const requests = 300
	script := make([]string, requests)
	for index := range script {
		script[index] = "answer then close"
	}
	server := newServer(t, script...)
	transport := &Transport{}
	defer transport.Close()
	ran, notRun := 0, 0
	for range requests {
		err := send(t, transport, server.listener.Addr().String(), http.MethodPost, "", time.Second)
		var refused *shedkeel.NotRunError
		switch {
		case err == nil:
			ran++
		case errors.As(err, &refused):
			notRun++
		}
	}
	assert.Assert(t, server.count() >= ran)
	assert.Assert(t, server.count() <= requests-notRun, "%d of %d requests ran, although %d failed with a NotRunError", server.count(), requests, notRun)
}

// TestFreshConnection checks that each request with WithFreshConnection is sent
// over a new connection.
func TestFreshConnection(t *testing.T) {
	server := newServer(t)
	transport := &Transport{}
	defer transport.Close()
	for range 20 {
		ctx, cancel := context.WithTimeout(WithFreshConnection(t.Context()), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.listener.Addr().String()+"/", strings.NewReader("x"))
		assert.NilError(t, err)
		response, err := transport.Send(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		assert.NilError(t, response.Body.Close())
		cancel()
	}
	assert.Equal(t, server.count(), 20)
	assert.Equal(t, server.connections(), 20, "connections")
}

// TestSealedConnectionWritesNothing checks that a sealed connection writes no
// bytes.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := &countingConn{Conn: near}
	assert.Equal(t, conn.seal(), int64(0))
	_, err := conn.Write([]byte("late"))
	assert.ErrorIs(t, err, errConnSealed)
	assert.Equal(t, conn.bytesWritten(), int64(0))
}

// TestStopped checks that Stopped is true for a refused connection, and false for an
// accepted connection and a canceled dial.
func TestStopped(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	transport := &Transport{}
	assert.Assert(t, !transport.Stopped(t.Context(), address), "the server still listens")
	server.Close()
	assert.Assert(t, transport.Stopped(t.Context(), address))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !transport.Stopped(ctx, address), "a canceled dial does not prove that the server ended")
}

// slowDialer opens connections after a delay.
type slowDialer struct{ delay time.Duration }

func (dialer slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(dialer.delay)
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestConnNoticeChangesHeader checks that the notice is called after the dial, and that what it sets in the header is
// what the server gets, over new and reused connections.
func TestConnNoticeChangesHeader(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Header.Get("Remaining"))
	}))
	defer server.Close()
	const delay = 50 * time.Millisecond
	transport := &Transport{Dialer: slowDialer{delay: delay}}
	defer transport.Close()
	for _, wait := range []time.Duration{delay, 0} {
		began := time.Now()
		header := http.Header{"Remaining": {"all"}}
		ctx := WithConnNotice(t.Context(), func(info ConnInfo) {
			assert.Check(t, !info.Relayed)
			assert.Check(t, time.Since(began) >= wait)
			header.Set("Remaining", "less")
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("body"))
		assert.NilError(t, err)
		request.Header = header
		response, err := transport.Send(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), "less")
	}
}

// TestHeadCutShort guards against an answer whose head was cut at any byte and that passes for an answer, and against one that ends
// right after a head that states more.
func TestHeadCutShort(t *testing.T) {
	heads := map[string]struct {
		text    string
		bodyErr error // of the read of the body after the whole head
	}{
		"with a length":  {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 12\r\n\r\n", io.ErrUnexpectedEOF},
		"with chunks":    {"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", io.ErrUnexpectedEOF},
		"with neither":   {"HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n", nil},
		"of HTTP/1.0":    {"HTTP/1.0 200 OK\r\nSeal: s\r\n\r\n", nil},
		"after interims": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", io.ErrUnexpectedEOF},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head.text) + 1 {
				response, err := sendToCutServer(t, head.text[:cut])
				if cut < len(head.text) {
					assert.Assert(t, err != nil, "cut after %d bytes: an answer with status %d", cut, statusOf(response))
					continue
				}
				assert.NilError(t, err)
				_, err = io.ReadAll(response.Body)
				assert.Equal(t, err, head.bodyErr)
				assert.NilError(t, response.Body.Close())
			}
		})
	}
}

// statusOf returns the status of a response, or 0 for none.
func statusOf(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// sendToCutServer sends a request to a server that reads it, answers with the text and closes the connection.
func sendToCutServer(t *testing.T, text string) (*http.Response, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
	assert.NilError(t, err)
	return (&Transport{}).Send(request)
}
