package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/strict"
)

const (
	// maxCheckConns is how many check connections to a server are kept.
	maxCheckConns = 2
	// DeadConnTime is the time without an answer to a check after which its connection may be dead.
	DeadConnTime = 400 * time.Millisecond
)

// CheckTransport is an http.RoundTripper for checks of backend servers. Its connections carry nothing else, so that
// one can be open before a request is sent and after its answer has ended. Set its exported fields before its first
// use; the zero value is ready to use.
type CheckTransport struct {
	DialTimeout time.Duration         // zero means one second
	IdleTimeout time.Duration         // after which an idle connection is closed; zero means 30 seconds
	Dialer      shedkeel.ServerDialer // nil: connections are dialed directly
	Paths       shedkeel.ServerPaths  // of Dialer; nil: idle connections through other nodes stay open

	once   sync.Once
	kept   *http.Transport // reuses connections
	single *http.Transport // uses a new connection for each call

	mutex   sync.Mutex
	servers map[string]*checkConns // by address
	relayed int                    // open connections through other nodes
	closed  bool
}

// checkConns are the connections to one server. The transport's mutex guards the fields.
type checkConns struct {
	open    map[*checkConn]struct{}
	unused  *checkConn    // opened by Connect and not used yet; nil: none
	dialing chan struct{} // closed when the dial of Connect has ended; nil: none is under way
}

// init creates the HTTP transport.
func (transport *CheckTransport) init() {
	if transport.DialTimeout == 0 {
		transport.DialTimeout = defaultDialTimeout
	}
	if transport.IdleTimeout == 0 {
		transport.IdleTimeout = defaultIdleTimeout
	}
	if transport.Dialer == nil {
		transport.Dialer = &strict.Dialer{Timeout: transport.DialTimeout}
	}
	transport.servers = map[string]*checkConns{}
	transport.single = &http.Transport{DialContext: transport.Dialer.DialContext, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: strict.MaxHeadBytes}
	transport.kept = transport.single.Clone()
	transport.kept.DisableKeepAlives = false
	transport.kept.DialContext = transport.dialOrReuse
	transport.kept.MaxIdleConnsPerHost = maxCheckConns
	transport.kept.IdleConnTimeout = transport.IdleTimeout
}

// RoundTrip implements http.RoundTripper. It uses an open connection, if there is an idle one, unless WithFreshConnection applies.
func (transport *CheckTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	transport.closeRelayed()
	if NeedsFreshConnection(request.Context()) {
		return (&strict.Transport{Base: transport.single}).RoundTrip(request)
	}
	var used *checkConn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used, _ = info.Conn.(*checkConn)
			transport.setBusy(used, time.Now())
		},
		PutIdleConn: func(error) { transport.setBusy(used, time.Time{}) },
	}
	return (&strict.Transport{Base: transport.kept}).RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// setBusy records since when the connection has been waiting for an answer; zero: it is idle.
func (transport *CheckTransport) setBusy(conn *checkConn, since time.Time) {
	if conn == nil {
		return
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	conn.busySince = since
}

// Connect opens a connection to the address for a later check, unless there is one that may be alive. It returns when the
// connection is open or could not be opened, or when ctx ends; the dial then goes on.
func (transport *CheckTransport) Connect(ctx context.Context, address string) {
	transport.once.Do(transport.init)
	transport.closeRelayed()
	transport.mutex.Lock()
	server := transport.server(address)
	if !server.needsConn(time.Now()) {
		transport.mutex.Unlock()
		return
	}
	dialing := server.dialing
	if dialing == nil {
		dialing = make(chan struct{})
		server.dialing = dialing
		go transport.runDial(address, dialing)
	}
	transport.mutex.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
	}
}

// needsConn reports whether another connection is needed: no open one is idle or waits for an answer only since lately.
func (server *checkConns) needsConn(now time.Time) bool {
	for conn := range server.open {
		if conn.busySince.IsZero() || now.Sub(conn.busySince) < DeadConnTime {
			return false
		}
	}
	return len(server.open) < maxCheckConns
}

// Disconnect closes all connections to the address.
func (transport *CheckTransport) Disconnect(address string) {
	transport.once.Do(transport.init)
	transport.closeConns(func(conn *checkConn) bool { return conn.address == address })
}

// closeRelayed closes idle connections through other nodes while these aren't trusted: the nodes may be stopping, and
// wait for the connections that they relay.
func (transport *CheckTransport) closeRelayed() {
	transport.mutex.Lock()
	none := transport.relayed == 0
	transport.mutex.Unlock()
	if transport.Paths == nil || none {
		return
	}
	if _, trusted := transport.Paths.Trusted(); !trusted {
		transport.closeConns(func(conn *checkConn) bool { return conn.relayed && conn.busySince.IsZero() })
	}
}

// closeConns closes the connections that the condition holds for. It calls the condition with the mutex held.
func (transport *CheckTransport) closeConns(condition func(*checkConn) bool) {
	transport.mutex.Lock()
	var conns []*checkConn
	for _, server := range transport.servers {
		for conn := range server.open {
			if condition(conn) {
				conns = append(conns, conn)
			}
		}
	}
	transport.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Close closes all connections, and those that are still being opened.
func (transport *CheckTransport) Close() {
	transport.once.Do(transport.init)
	transport.mutex.Lock()
	transport.closed = true
	transport.mutex.Unlock()
	transport.closeConns(func(*checkConn) bool { return true })
	transport.kept.CloseIdleConnections()
	transport.single.CloseIdleConnections()
}

// server returns the connections to the address. The caller holds the mutex.
func (transport *CheckTransport) server(address string) *checkConns {
	server := transport.servers[address]
	if server == nil {
		server = &checkConns{open: map[*checkConn]struct{}{}}
		transport.servers[address] = server
	}
	return server
}

// runDial dials for Connect.
func (transport *CheckTransport) runDial(address string, done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), transport.DialTimeout)
	defer cancel()
	conn, err := transport.dial(ctx, "tcp", address)
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	server := transport.server(address)
	server.dialing = nil
	if err != nil {
		transport.dropEmpty(address, server)
		return
	}
	server.unused = conn
	conn.expiry = time.AfterFunc(transport.IdleTimeout, func() { _ = conn.Close() })
	conn.watching = make(chan struct{})
	go conn.watch()
}

// dial opens a connection and adds it to the open ones.
func (transport *CheckTransport) dial(ctx context.Context, network, address string) (*checkConn, error) {
	raw, err := transport.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &checkConn{Conn: raw, transport: transport, address: address, openedAt: time.Now()}
	if way, known := raw.(relayable); known {
		conn.relayed = way.Relayed()
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	transport.server(address).open[conn] = struct{}{}
	if conn.relayed {
		transport.relayed++
	}
	return conn, nil
}

// dialOrReuse returns the connection that Connect has opened, or opens one.
func (transport *CheckTransport) dialOrReuse(ctx context.Context, network, address string) (net.Conn, error) {
	transport.mutex.Lock()
	var unused *checkConn
	if server := transport.servers[address]; server != nil {
		unused, server.unused = server.unused, nil
	}
	transport.mutex.Unlock()
	if unused != nil && unused.stopWatching() {
		return unused, nil
	}
	conn, err := transport.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// remove records that a connection is closed.
func (transport *CheckTransport) remove(conn *checkConn) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	server := transport.servers[conn.address]
	if server == nil {
		return
	}
	if _, open := server.open[conn]; open && conn.relayed {
		transport.relayed--
	}
	delete(server.open, conn)
	if server.unused == conn {
		server.unused = nil
	}
	transport.dropEmpty(conn.address, server)
}

// dropEmpty forgets a server without connections. The caller holds the mutex.
func (transport *CheckTransport) dropEmpty(address string, server *checkConns) {
	if len(server.open) == 0 && server.dialing == nil {
		delete(transport.servers, address)
	}
}

// checkConn is a connection of a CheckTransport.
type checkConn struct {
	net.Conn
	transport *CheckTransport
	address   string
	openedAt  time.Time
	relayed   bool          // it goes through another node
	busySince time.Time     // see setBusy; the transport's mutex guards it
	expiry    *time.Timer   // closes the connection while it is unused; nil: Connect didn't open it
	watching  chan struct{} // closed when watch has returned
	ended     bool          // the server has closed the connection, or sent something unasked; set by watch
}

// OpenedAt returns when the connection was opened.
func (conn *checkConn) OpenedAt() time.Time { return conn.openedAt }

// Close closes the connection.
func (conn *checkConn) Close() error {
	conn.transport.remove(conn)
	return conn.Conn.Close()
}

// watch closes an unused connection that the server has closed. It returns when stopWatching is called.
func (conn *checkConn) watch() {
	defer close(conn.watching)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	conn.ended = true
	_ = conn.Close()
}

// stopWatching ends watch, and reports whether the connection can be used.
func (conn *checkConn) stopWatching() bool {
	conn.expiry.Stop()
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails for a closed connection, which watch notices
	<-conn.watching
	return !conn.ended && conn.SetReadDeadline(time.Time{}) == nil
}
