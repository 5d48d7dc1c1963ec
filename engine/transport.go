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
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	retrySoon          = time.Second
)

// errSealed is what a write gets after the request it belongs to was given up.
var errSealed = errors.New("the request was given up before this was written")

// Transport sends requests to backend servers, each at most once. The zero
// value works.
//
// net/http resends a request by itself when a reused connection turns out to
// be closed and the request counts as replayable: it has no body or one that
// can be rewound, and is a GET or carries an Idempotency-Key. Transport gives
// every request a body that cannot be rewound, so that none is replayable.
type Transport struct {
	DialTimeout time.Duration // zero: one second
	IdleTimeout time.Duration // of a connection that is kept; zero: 30 seconds

	once   sync.Once
	shared *http.Transport
	fresh  *http.Transport
}

func (transport *Transport) init() {
	timeout := transport.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: timeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	idle := transport.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	transport.shared = &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idle,
		WriteBufferSize:     32 << 10,
		ReadBufferSize:      32 << 10,
	}
	transport.fresh = transport.shared.Clone()
	transport.fresh.DisableKeepAlives = true
}

type onceKey struct{}

// WithFreshConnection returns a context whose request is sent over a
// connection of its own. A reused connection may be closed by the server just
// as the request is written, which leaves its outcome unknown; calls that must
// not be repeated are spared that.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, onceKey{}, true)
}

// IsFresh reports whether the request of the context is sent over a connection of
// its own.
func IsFresh(ctx context.Context) bool {
	fresh, _ := ctx.Value(onceKey{}).(bool)
	return fresh
}

// Send sends the request. Its error is a NotRunError when not one byte of it
// was written or ever will be, else an UnknownRunError.
func (transport *Transport) Send(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	sent := &sentBytes{}
	trace := &httptrace.ClientTrace{GotConn: sent.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.Body = &plainBody{reader: request.Body}
	request.GetBody = nil
	through := transport.shared
	if IsFresh(request.Context()) {
		through = transport.fresh
	}
	response, err := through.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if sent.seal() == 0 {
		return nil, &shedkeel.NotRunError{Reason: "backend server " + request.URL.Host + " could not be reached: " + err.Error(), RetryAfter: retrySoon}
	}
	return nil, &shedkeel.UnknownRunError{Reason: "backend server " + request.URL.Host + " gave no answer", Cause: err}
}

// Ended reports whether the address refuses connections: no process listens
// there any more.
func (transport *Transport) Ended(ctx context.Context, address string) bool {
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes idle connections.
func (transport *Transport) Close() {
	transport.once.Do(transport.init)
	transport.shared.CloseIdleConnections()
	transport.fresh.CloseIdleConnections()
}

// plainBody hides from net/http that a body may be empty or rewound.
type plainBody struct {
	reader io.ReadCloser
}

// Read reads from the hidden body.
func (body *plainBody) Read(buffer []byte) (int, error) {
	if body.reader == nil {
		return 0, io.EOF
	}
	return body.reader.Read(buffer)
}

// Close closes the hidden body.
func (body *plainBody) Close() error {
	if body.reader == nil {
		return nil
	}
	return body.reader.Close()
}

// countedConn counts what was written and can be sealed against more.
type countedConn struct {
	net.Conn
	mutex   sync.Mutex
	written int64
	sealed  bool
}

// Write writes unless the connection is sealed. The lock is held across the
// write, so that after seal returns no byte leaves any more. A write into a
// full socket could hold the lock long; seal therefore closes first.
func (conn *countedConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.sealed {
		return 0, errSealed
	}
	count, err := conn.Conn.Write(data)
	conn.written += int64(count)
	return count, err
}

func (conn *countedConn) count() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.written
}

func (conn *countedConn) seal() int64 {
	_ = conn.Close()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.sealed = true
	return conn.written
}

// sentBytes finds out how much of one request was written.
type sentBytes struct {
	mutex  sync.Mutex
	conns  []*countedConn
	before []int64
}

func (sent *sentBytes) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.conns = append(sent.conns, conn)
	sent.before = append(sent.before, conn.count())
}

// seal stops all writing of the request and returns the bytes written.
func (sent *sentBytes) seal() int64 {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	var total int64
	for index, conn := range sent.conns {
		total += conn.seal() - sent.before[index]
	}
	return total
}
