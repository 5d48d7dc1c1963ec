// Package intake is the way by which clients reach a process: all its listeners for HTTP and for calls.
// It applies a quota.Ledger to their connections, which bounds what clients that don't behave can make
// the process hold, and refuses those that exceed a bound. The limits of the configuration in force apply
// as soon as it changes, also to open connections.
package intake

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/wire"
)

const (
	// checkInterval is how often connections are checked for an expired time limit.
	checkInterval = 100 * time.Millisecond
	// reportInterval is how often refusals are logged at most.
	reportInterval = time.Second
	// acceptPause is how long a listener waits after accept has failed, for example for want of descriptors.
	acceptPause = 20 * time.Millisecond
	// trustTime is how long the other side may take to show the fleet's key.
	trustTime = 3 * time.Second
	// maxUntrustedBytes bounds what the other side may send before that: the largest call, with its frames.
	maxUntrustedBytes = wire.MaxMessage + 64<<10
	// untrustedCost is how often such bytes are held: in the stream's buffer, and in the call's.
	untrustedCost = 2
	// untimedWrite bounds the sending of an answer by handlers that set no deadline of their own.
	untimedWrite = 10 * time.Second
	// bodyTime bounds the time in which a body arrives where the handler sets no deadline of its own.
	bodyTime = 10 * time.Second
	// maxHeadBytes is the largest limit on heads that a configuration may state.
	maxHeadBytes = 1 << 20
)

// DefaultLimits hold where the configuration states none.
var DefaultLimits = shedkeel.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}

// retryAfterText is the Retry-After of refusals for want of room, in seconds.
var retryAfterText = strconv.FormatFloat(quota.RetryAfter.Seconds(), 'f', 3, 64)

// Gate applies the ledger to the clients of a process. Set its exported fields before use.
type Gate struct {
	Ledger *quota.Ledger
	Timers shedkeel.Timers
	Log    *event.Log
	Scope  tally.Scope // nil: nothing is counted
	// Limits returns the limits of the configuration in force. nil, and fields that are 0: those of
	// DefaultLimits.
	Limits func() shedkeel.Limits

	// clock is the time for which the process has run, to checkInterval, as a time.Duration. Time in
	// which it was suspended doesn't count against clients.
	clock atomic.Int64

	mutex      sync.Mutex
	listeners  []*listener
	tickedAt   time.Duration
	reportedAt time.Duration
}

// now returns the time on the gate's clock.
func (gate *Gate) now() time.Duration { return time.Duration(gate.clock.Load()) }

// New returns a gate for a process on the box.
func New(box quota.Box) *Gate { return &Gate{Ledger: &quota.Ledger{Plan: quota.NewPlan(box)}} }

// Run applies the limits on time and reports refusals until cancel is called.
func (gate *Gate) Run() (cancel func()) { return gate.Timers.Subscribe(checkInterval, gate.tick) }

// limits returns the limits that apply now.
func (gate *Gate) limits() shedkeel.Limits {
	limits := shedkeel.Limits{}
	if gate.Limits != nil {
		limits = gate.Limits()
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = DefaultLimits.HeaderBytes
	}
	limits.HeaderBytes = min(limits.HeaderBytes, maxHeadBytes)
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return limits
}

// tick ends connections that have met a limit on time, and reports refusals.
func (gate *Gate) tick(tickedAt time.Duration) {
	limits := gate.limits()
	gate.mutex.Lock()
	listeners := gate.listeners
	passed := min(tickedAt-gate.tickedAt, 2*checkInterval)
	gate.tickedAt = tickedAt
	now := time.Duration(gate.clock.Add(int64(passed)))
	report := now-gate.reportedAt >= reportInterval
	if report {
		gate.reportedAt = now
	}
	gate.mutex.Unlock()
	for _, listener := range listeners {
		times := quota.Times{Rest: limits.IdleTimeout, Head: limits.HeaderTimeout}
		if listener.calls {
			times = quota.Times{Rest: trustTime, Head: trustTime, Untrusted: true}
		}
		gate.Ledger.Expire(listener.place, times, now)
	}
	if report {
		gate.report()
	}
}

// report logs and counts the clients that have met a limit.
func (gate *Gate) report() {
	records := gate.Ledger.Take()
	if len(records) == 0 {
		return
	}
	usage := gate.Ledger.Usage()
	for _, record := range records {
		if gate.Scope != nil {
			scope := gate.Scope.Tagged(map[string]string{"listener": record.Listener, "limit": string(record.Limit)})
			scope.Counter("clients_refused").Inc(record.Refused)
			scope.Counter("clients_cut").Inc(record.Cut)
		}
		if record.Limit == quota.LimitRest {
			continue // clients leave their connections so as a rule
		}
		gate.Log.Write(event.ClientsRefused, slog.String("listener", record.Listener), slog.String("limit", string(record.Limit)), slog.Int64("refused", record.Refused), slog.Int64("cut", record.Cut),
			slog.String("address", record.Address), slog.Int64("times", record.Times), slog.Int("connections", usage.Connections[record.Listener]), slog.Int64("held", usage.Requests))
	}
}

// Listen applies the gate to a listener for HTTP.
func (gate *Gate) Listen(inner net.Listener, place quota.Listener) net.Listener {
	return gate.listen(inner, place, false)
}

// ListenCalls applies the gate to a listener for calls of the fleet's own processes. Its connections are
// bounded until Conn.Trust is called.
func (gate *Gate) ListenCalls(inner net.Listener, place quota.Listener) net.Listener {
	return gate.listen(inner, place, true)
}

// listen applies the gate to a listener.
func (gate *Gate) listen(inner net.Listener, place quota.Listener, calls bool) net.Listener {
	created := &listener{Listener: inner, gate: gate, place: place, calls: calls}
	if socket, ok := inner.(syscall.Conn); ok && !calls {
		setReceiveBuffer(socket, gate.Ledger.Plan.ReceiveBuffer)
	}
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.listeners = append(gate.listeners, created)
	return created
}

// TLSListener returns the listener with TLS, or as it is if config is nil. A gate applies to what it carries.
func TLSListener(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// setReceiveBuffer sets the receive buffer of the connections that the socket accepts from now on. A
// failure leaves the system's size, so that only the bytes that wait in the kernel are more.
func setReceiveBuffer(socket syscall.Conn, size int) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
}

// listener is a listener whose connections are bounded.
type listener struct {
	net.Listener
	gate  *Gate
	place quota.Listener
	calls bool // its connections carry calls, not HTTP
	// lingering is how many connections were refused at once and are still open.
	lingering atomic.Int64
}

// passingErrors are errors of accept after which it may succeed again.
var passingErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// Accept returns the next connection that the ledger admits. While the process or the system lacks
// descriptors or memory, it tries again.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		passing := slices.ContainsFunc(passingErrors, func(passing error) bool { return errors.Is(err, passing) })
		switch {
		case err != nil && !passing:
			return nil, err
		case passing:
			listener.gate.Log.Write(event.AcceptFailed, slog.String("listener", listener.place.Name), slog.String("error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		if conn := listener.admit(accepted); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the connection, or refuses it and returns nil.
func (listener *listener) admit(accepted net.Conn) net.Conn {
	conn := &Conn{Conn: accepted, gate: listener.gate, listener: listener}
	if listener.calls {
		conn.stage = unscanned
	}
	address, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		address = accepted.RemoteAddr().String()
	}
	conn.client = quota.Client{Listener: listener.place, Address: address, Owner: conn}
	if listener.gate.Ledger.Connect(&conn.client, listener.gate.now()) {
		return conn
	}
	if listener.calls {
		_ = accepted.Close()
		return nil
	}
	if lingering := listener.lingering.Add(1); listener.gate.Ledger.MayLinger(listener.place, lingering) {
		go conn.runRefusal()
		return nil
	}
	listener.lingering.Add(-1)
	conn.refuseAtOnce()
	return nil
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// Use is what a server's handler does.
type Use int

// The uses.
const (
	Queries  Use = iota // it reads no bodies; its answers are small
	Commands            // it reads bodies; its answers are small
	Requests            // it reads bodies by ReadBody, and bounds the time for its answers itself
)

// Server returns a server for listeners of the gate.
func (gate *Gate) Server(handler http.Handler, use Use) *http.Server {
	server := &http.Server{ //nolint:gosec // the ledger bounds the time of heads, by the configuration in force
		Handler:        &guard{gate: gate, next: handler, use: use},
		MaxHeaderBytes: maxHeadBytes,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if conn, ok := conn.(*Conn); ok && state == http.StateIdle {
				conn.rest()
			}
		},
	}
	if use != Requests {
		server.WriteTimeout = untimedWrite
	}
	return server
}

// endPanic is deferred by handlers. It logs and counts a panic, unless the handler has aborted the connection on purpose, and
// aborts the connection: the client must not take a part of an answer for the whole.
func (gate *Gate) endPanic() {
	failure := recover()
	if failure == nil {
		return
	}
	if failure != http.ErrAbortHandler { //nolint:errorlint // recover gives the value itself
		gate.Log.Write(event.RequestPanic, slog.String("failure", fmt.Sprint(failure)), slog.String("stack", string(debug.Stack())))
		if gate.Scope != nil {
			gate.Scope.Counter("handler_panics").Inc(1)
		}
	}
	panic(http.ErrAbortHandler)
}

// connOf returns the request's connection, or nil if it didn't come by a gate, as in tests of handlers.
func connOf(request *http.Request) *Conn {
	conn, _ := request.Context().Value(connKey{}).(*Conn)
	return conn
}

// guard is the handler of a server of a gate.
type guard struct {
	gate *Gate
	next http.Handler
	use  Use
}

// ServeHTTP serves the request if there is room for it. After an answer to a request whose body was not read, it lets
// the client read the answer before the connection is closed.
func (guard *guard) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer guard.gate.endPanic()
	conn := connOf(request)
	if conn == nil {
		guard.next.ServeHTTP(writer, request)
		return
	}
	controller := http.NewResponseController(writer)
	hasBody := request.ContentLength != 0
	if hasBody {
		_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
	}
	fits := conn.begin(request)
	if hasBody && (!fits || guard.use == Queries) {
		conn.refuseBody()
		writer.Header().Set("Connection", "close")
		_ = controller.EnableFullDuplex() // else net/http reads the body before it sends the answer
	}
	if fits {
		guard.next.ServeHTTP(writer, request)
	} else {
		writer.Header().Set("Retry-After", retryAfterText)
		http.Error(writer, "no room for the request now", http.StatusServiceUnavailable)
	}
	conn.endAnswer(controller, request)
}
