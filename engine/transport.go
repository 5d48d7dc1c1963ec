package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/strict"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultMaxIdle     = 256
	// unreachableRetryAfter is the RetryAfter of the NotRunError for a request of which
	// no byte was written.
	unreachableRetryAfter = time.Second
)

// errConnSealed is the error of a write to a connection after seal.
var errConnSealed = errors.New("write to a connection that was closed because its request failed")

// Transport sends each request to a backend server at most once: it gives each a body that
// cannot be rewound. net/http would retry a request without a body, or with one that GetBody
// rewinds, on a closed reused connection, if the method is GET, HEAD, OPTIONS or TRACE or
// the request has an Idempotency-Key. The zero value is ready to use.
type Transport struct {
	DialTimeout time.Duration         // zero means one second; ignored if Dialer is set
	IdleTimeout time.Duration         // after which an idle connection is closed; zero means 30 seconds
	Dialer      shedkeel.ServerDialer // nil: connections are dialed directly
	Paths       shedkeel.ServerPaths  // of Dialer; nil: open connections are always reused
	MaxIdle     int                   // idle connections kept per server; zero means 256

	once    sync.Once
	shared  *http.Transport // reuses connections
	relayed *http.Transport // as shared, for servers whose new connections go through another node
	fresh   *http.Transport // uses a new connection for each request
}

// init creates the HTTP transports.
func (transport *Transport) init() {
	timeout := transport.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	var dialer shedkeel.ServerDialer = &strict.Dialer{Timeout: timeout}
	if transport.Dialer != nil {
		dialer = transport.Dialer
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, openedAt: time.Now()}, nil
	}
	idle := transport.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	maxIdle := transport.MaxIdle
	if maxIdle == 0 {
		maxIdle = defaultMaxIdle
	}
	transport.shared = &http.Transport{
		DialContext:         dial,
		DisableCompression:  true, // forward answers as the backend server encodes them
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idle,
		WriteBufferSize:     32 << 10,
		ReadBufferSize:      32 << 10,

		MaxResponseHeaderBytes: strict.MaxHeadBytes,
	}
	transport.relayed = transport.shared.Clone()
	transport.fresh = transport.shared.Clone()
	transport.fresh.DisableKeepAlives = true
}

// freshConnectionKey is the context key that WithFreshConnection sets.
type freshConnectionKey struct{}

// WithFreshConnection returns a context with which Send uses a new connection. A
// server may close a reused connection just as the request is written, which leaves
// the outcome of the request unknown. A new connection avoids this unknown outcome for
// requests that must not be repeated.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnectionKey{}, true)
}

// NeedsFreshConnection reports whether WithFreshConnection applies to the context.
func NeedsFreshConnection(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshConnectionKey{}).(bool)
	return fresh
}

// connNoticeKey is the context key that WithConnNotice sets.
type connNoticeKey struct{}

// ConnInfo describes the connection that a request gets.
type ConnInfo struct {
	Relayed  bool      // it goes through another node
	OpenedAt time.Time // when it was opened
}

// WithConnNotice returns a context with which Send calls notice each time the request gets a
// connection, before anything of the request is written to it. The notice may change the request's header.
func WithConnNotice(ctx context.Context, notice func(ConnInfo)) context.Context {
	return context.WithValue(ctx, connNoticeKey{}, notice)
}

// NotifyConn calls the notice that WithConnNotice has set, if any. Only implementations of
// shedkeel.Backend call it.
func NotifyConn(ctx context.Context, info ConnInfo) {
	if notice, ok := ctx.Value(connNoticeKey{}).(func(ConnInfo)); ok {
		notice(info)
	}
}

// relayable is a connection that may go through another node.
type relayable interface{ Relayed() bool }

// Send sends the request and returns the response, whose body the caller closes.
// The error is a NotRunError if no byte of the request was written and none can be
// written later, else an UnknownRunError, whose cause is a strict.MalformedError for an
// answer that is none. On an error Send closes the connections
// that the request used.
func (transport *Transport) Send(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	writes := &requestWrites{context: request.Context()}
	check := &strict.Check{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { check.GotConn(info); writes.gotConn(info) }, Got1xxResponse: check.Got1xxResponse}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.Body = &nonReplayableBody{reader: request.Body}
	request.GetBody = nil
	response, err := transport.choose(request).RoundTrip(request)
	if err == nil {
		err = check.Accept(response)
	}
	if err == nil {
		return response, nil
	}
	var malformed *strict.MalformedError
	if errors.As(err, &malformed) {
		writes.seal()
		return nil, &shedkeel.UnknownRunError{Reason: "backend server " + request.URL.Host + " sent no answer that can be used", Cause: err}
	}
	if writes.seal() == 0 {
		var noPath *shedkeel.NoPathError
		return nil, &shedkeel.NotRunError{Reason: "backend server " + request.URL.Host + " could not be reached: " + err.Error(), RetryAfter: unreachableRetryAfter, NoPath: errors.As(err, &noPath)}
	}
	return nil, &shedkeel.UnknownRunError{Reason: "backend server " + request.URL.Host + " gave no answer", Cause: err}
}

// RoundTrip implements http.RoundTripper, for calls to servers that are not requests of callers. Like
// any HTTP client, it may send a call again that has no effect.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	return (&strict.Transport{Base: transport.choose(request)}).RoundTrip(request)
}

// choose returns the HTTP transport for a request. It first closes idle connections that may be
// dead: a request over one of them would wait in vain, while a dial shows whether the server can
// be reached.
func (transport *Transport) choose(request *http.Request) *http.Transport {
	if NeedsFreshConnection(request.Context()) {
		return transport.fresh
	}
	if transport.Paths == nil {
		return transport.shared
	}
	direct, relayed := transport.Paths.Trusted()
	if !direct {
		transport.shared.CloseIdleConnections()
	}
	if !relayed {
		transport.relayed.CloseIdleConnections()
	}
	if transport.Paths.Relayed(request.URL.Host) {
		return transport.relayed
	}
	return transport.shared
}

// Stopped reports whether the address refuses connections, which means that no
// process listens there. It returns false if the connection is accepted, and after a
// timeout or any other failure, because a process may then still listen.
func (transport *Transport) Stopped(ctx context.Context, address string) bool {
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes idle connections. Connections in use stay open.
func (transport *Transport) Close() {
	transport.once.Do(transport.init)
	transport.shared.CloseIdleConnections()
	transport.relayed.CloseIdleConnections()
	transport.fresh.CloseIdleConnections()
}

// nonReplayableBody wraps a body, or nil for none, so that net/http can neither
// see that the body is empty nor rewind the body.
type nonReplayableBody struct {
	reader io.ReadCloser
}

// Read reads from the wrapped body. Without one it returns io.EOF.
func (body *nonReplayableBody) Read(buffer []byte) (int, error) {
	if body.reader == nil {
		return 0, io.EOF
	}
	return body.reader.Read(buffer)
}

// Close closes the wrapped body.
func (body *nonReplayableBody) Close() error {
	if body.reader == nil {
		return nil
	}
	return body.reader.Close()
}

// countingConn counts the bytes written, over all requests on the connection.
// After seal every write fails.
type countingConn struct {
	net.Conn
	openedAt time.Time
	mutex    sync.Mutex
	written  int64
	sealed   bool
}

// OpenedAt returns when the connection was opened.
func (conn *countingConn) OpenedAt() time.Time { return conn.openedAt }

// Write writes, or returns errConnSealed if the connection is sealed. It holds the
// mutex during the write, so that no byte is written after seal has returned. A write
// to a full socket buffer can block for long with the mutex held. Closing the
// connection makes such a write fail, so seal closes the connection before it locks.
func (conn *countingConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.sealed {
		return 0, errConnSealed
	}
	count, err := conn.Conn.Write(data)
	conn.written += int64(count)
	return count, err
}

// bytesWritten returns the number of bytes written so far.
func (conn *countingConn) bytesWritten() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.written
}

// seal closes the connection, makes later writes fail and returns the number of
// bytes written.
func (conn *countingConn) seal() int64 {
	_ = conn.Close()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.sealed = true
	return conn.written
}

// requestWrites counts the bytes of one request that were written, over all
// connections on which net/http tried it.
type requestWrites struct {
	context       context.Context //nolint:containedctx // its scope is the request
	mutex         sync.Mutex
	conns         []*countingConn
	writtenBefore []int64 // bytes that earlier requests wrote, per connection
}

// gotConn records a connection that net/http chose for the request, and how many
// bytes earlier requests had written to that connection. It ignores a connection that
// is not a countingConn, such as the TLS connection of an https URL.
func (writes *requestWrites) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	relayable, known := conn.Conn.(relayable)
	NotifyConn(writes.context, ConnInfo{Relayed: known && relayable.Relayed(), OpenedAt: conn.openedAt})
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	writes.conns = append(writes.conns, conn)
	writes.writtenBefore = append(writes.writtenBefore, conn.bytesWritten())
}

// seal seals the connections of the request and returns how many of its bytes were
// written.
func (writes *requestWrites) seal() int64 {
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	var total int64
	for index, conn := range writes.conns {
		total += conn.seal() - writes.writtenBefore[index]
	}
	return total
}
