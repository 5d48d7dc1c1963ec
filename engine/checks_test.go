package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkedServer is an HTTP server that answers checks, and records its connections.
type checkedServer struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	silent   bool
}

func newCheckedServer(t *testing.T) *checkedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &checkedServer{listener: listener}
	http := &http.Server{Handler: server, ConnState: server.track}
	go func() { _ = http.Serve(listener) }()
	t.Cleanup(func() { _ = http.Close() })
	return server
}

func (server *checkedServer) track(conn net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateNew {
		server.conns = append(server.conns, conn)
	}
}

func (server *checkedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	silent := server.silent
	server.mutex.Unlock()
	if silent {
		<-request.Context().Done()
		return
	}
	_, _ = io.WriteString(writer, "healthy")
}

func (server *checkedServer) setSilent(silent bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.silent = silent
}

// connCount returns how many connections were accepted.
func (server *checkedServer) connCount() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.conns)
}

// closeConns closes all connections.
func (server *checkedServer) closeConns() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, conn := range server.conns {
		_ = conn.Close()
	}
}

func (server *checkedServer) address() string { return server.listener.Addr().String() }

// check sends a check and returns its error.
func check(ctx context.Context, transport *CheckTransport, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return err
}

// eventually waits until the condition holds, for 5 s at most.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "it did not come to that in 5 s")
	}
}

// TestCheckConnections guards against a check connection that isn't open before a request is sent, is opened again and again, or
// stays in use although the server has closed it or doesn't answer over it.
func TestCheckConnections(t *testing.T) {
	type transportTest func(t *testing.T, transport *CheckTransport, server *checkedServer)
	cases := map[string]struct {
		run   transportTest
		conns int
	}{
		"a check uses the connection that was opened before": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			eventually(t, func() bool { return server.connCount() == 1 })
			assert.NilError(t, check(t.Context(), transport, server.address()))
		}, 1},
		"there is one already": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			for range 3 {
				transport.Connect(t.Context(), server.address())
				assert.NilError(t, check(t.Context(), transport, server.address()))
			}
		}, 1},
		"the server closes it unused": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			eventually(t, func() bool { return server.connCount() == 1 })
			server.closeConns()
			eventually(t, func() bool { return transport.openConns(server.address()) == 0 })
			transport.Connect(t.Context(), server.address())
			assert.NilError(t, check(t.Context(), transport, server.address()))
		}, 2},
		"the server closes it idle": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			assert.NilError(t, check(t.Context(), transport, server.address()))
			server.closeConns()
			eventually(t, func() bool { return transport.openConns(server.address()) == 0 })
			transport.Connect(t.Context(), server.address())
			assert.NilError(t, check(t.Context(), transport, server.address()))
		}, 2},
		"it gives no answer": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			server.setSilent(true)
			ctx, cancel := context.WithTimeout(t.Context(), 2*DeadConnTime)
			defer cancel()
			transport.Connect(ctx, server.address())
			failed := make(chan error, 1)
			go func() { failed <- check(ctx, transport, server.address()) }()
			time.Sleep(DeadConnTime + 50*time.Millisecond)
			transport.Connect(ctx, server.address())
			server.setSilent(false)
			assert.NilError(t, check(t.Context(), transport, server.address()))
			assert.ErrorIs(t, <-failed, context.DeadlineExceeded)
		}, 2},
		"it is closed after the last request": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			transport.Disconnect(server.address())
			eventually(t, func() bool { return transport.openConns(server.address()) == 0 })
			assert.NilError(t, check(t.Context(), transport, server.address()))
		}, 2},
		"a check over a fresh one": {func(t *testing.T, transport *CheckTransport, server *checkedServer) {
			assert.NilError(t, check(WithFreshConnection(t.Context()), transport, server.address()))
			assert.Equal(t, transport.openConns(server.address()), 1)
		}, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := newCheckedServer(t)
			transport := &CheckTransport{}
			defer transport.Close()
			transport.Connect(t.Context(), server.address())
			test.run(t, transport, server)
			assert.Equal(t, server.connCount(), test.conns)
		})
	}
}

// TestCheckConnectionIsGivenUp guards against connections that stay open for ever although nobody uses them.
func TestCheckConnectionIsGivenUp(t *testing.T) {
	server := newCheckedServer(t)
	transport := &CheckTransport{IdleTimeout: 30 * time.Millisecond}
	transport.Connect(t.Context(), server.address())
	assert.Equal(t, transport.openConns(server.address()), 1)
	eventually(t, func() bool { return transport.openConns(server.address()) == 0 })
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	assert.Equal(t, len(transport.servers), 0)
}

// relayedConn is a connection through another node.
type relayedConn struct{ net.Conn }

func (relayedConn) Relayed() bool { return true }

// relayedDialer dials through another node, which is stopping once leaving is set.
type relayedDialer struct{ leaving bool }

func (*relayedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return relayedConn{conn}, err
}

func (*relayedDialer) Relayed(string) bool { return true }

func (dialer *relayedDialer) Trusted() (direct, relayed bool) { return true, !dialer.leaving }

// TestCheckConnectionLeavesStoppingRelay guards against idle check connections for which a stopping node waits that relays them.
func TestCheckConnectionLeavesStoppingRelay(t *testing.T) {
	server, other := newCheckedServer(t), newCheckedServer(t)
	dialer := &relayedDialer{}
	transport := &CheckTransport{Dialer: dialer, Paths: dialer}
	defer transport.Close()
	transport.Connect(t.Context(), server.address())
	assert.NilError(t, check(t.Context(), transport, server.address()))
	assert.Equal(t, transport.openConns(server.address()), 1)
	dialer.leaving = true
	transport.Connect(t.Context(), other.address())
	assert.Equal(t, transport.openConns(server.address()), 0)
	assert.Equal(t, transport.openConns(other.address()), 1)
}

// openConns returns how many connections to the address are kept.
func (transport *CheckTransport) openConns(address string) int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if server := transport.servers[address]; server != nil {
		return len(server.open)
	}
	return 0
}

// TestCheckConnectionsAreClosed guards against connections, unused ones above all, that outlive their transport.
func TestCheckConnectionsAreClosed(t *testing.T) {
	server, other := newCheckedServer(t), newCheckedServer(t)
	transport := &CheckTransport{}
	transport.Connect(t.Context(), server.address())
	assert.NilError(t, check(t.Context(), transport, server.address()))
	transport.Connect(t.Context(), other.address())
	transport.Close()
	assert.Equal(t, transport.openConns(server.address())+transport.openConns(other.address()), 0)
	transport.Connect(t.Context(), server.address())
	assert.Equal(t, transport.openConns(server.address()), 0, "a connection was opened after the end")
}
