package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/reach"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

const (
	// nextRelayDelay is how long a node may take to open a connection for this one before
	// another node is asked as well.
	nextRelayDelay = 40 * time.Millisecond
	// maxRelaysAsked is how many nodes are asked for one connection. If half of the nodes are
	// cut off, one of six is not in all but 1 of 64 cases; nodes that have said that they are
	// cut off are asked last.
	maxRelaysAsked = 6
	// relayBackoff is how long a node that did not open a connection, for a reason of its
	// own, is asked after all others.
	relayBackoff = time.Second
	// maxRelayed is how many connections a node relays for others at the same time. It
	// bounds their buffers to 64 MB and their descriptors to a quarter of what the platform
	// allows a process.
	maxRelayed = 1024
	// relayDialTimeout bounds a dial for another node. That node has waited for its own dial
	// before, and asks another one while it waits.
	relayDialTimeout = 150 * time.Millisecond
	// witnessDialTimeout bounds a dial that shows whether this box reaches any server.
	witnessDialTimeout = 60 * time.Millisecond
	// isolationTime is for how long a node that has reached no server does not try again for
	// others.
	isolationTime = 300 * time.Millisecond
)

// connector opens connections to backend servers through other nodes, and for them. A node
// opens them for others only over its own network path, so that they are not relayed twice.
type connector struct {
	node    *Node
	relayed atomic.Int64         // connections that are open for other nodes
	latest  atomic.Pointer[peer] // the node that last opened a connection for this one; nil: none, or it failed since
	// isolated is when this box last reached no server for another node.
	isolated failure
}

// DialContext opens a connection to the backend server at the address through another node. It
// implements shedkeel.ServerDialer. The error wraps syscall.ECONNREFUSED if another node was
// refused.
func (connector *connector) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	request := &relayRequest{connector: connector, address: address, candidates: connector.candidates(), results: make(chan relayResult, maxRelaysAsked)}
	conn, err := request.run(ctx)
	cancel()
	go request.runRest()
	return conn, err
}

// candidates returns the nodes to ask, in this order: the one that last opened a connection,
// then the others at random, and those last that have just failed.
func (connector *connector) candidates() []*peer {
	peers := connector.node.peers.alivePeers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	now, latest := connector.node.Timers.Now(), connector.latest.Load()
	rank := func(peer *peer) int {
		switch {
		case peer.relayFailure.isRecent(relayBackoff, now):
			return 2
		case peer == latest:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(peers, func(a, b *peer) int { return rank(a) - rank(b) })
	return peers[:min(len(peers), maxRelaysAsked)]
}

// relayRequest is one call of connector.DialContext.
type relayRequest struct {
	connector  *connector
	address    string
	candidates []*peer // not asked yet
	results    chan relayResult
	pending    int // asked nodes without a result so far
}

// relayResult is the answer of a node.
type relayResult struct {
	conn    net.Conn // nil unless outcome is CONNECTED
	outcome wire.ConnectReply_Outcome
}

// run asks one node after the other, each once those before have failed or taken nextRelayDelay,
// until one has opened the connection. It gives up if a node was refused, or if a second node
// does not reach the server though it reaches others.
func (request *relayRequest) run(ctx context.Context) (net.Conn, error) {
	next := time.NewTicker(nextRelayDelay)
	defer next.Stop()
	request.askNext(ctx)
	unreachable := 0
	for request.pending > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-next.C:
			request.askNext(ctx)
		case result := <-request.results:
			request.pending--
			switch result.outcome {
			case wire.ConnectReply_CONNECTED:
				return result.conn, nil
			case wire.ConnectReply_REFUSED:
				return nil, fmt.Errorf("dial of %s through another node: %w", request.address, syscall.ECONNREFUSED)
			case wire.ConnectReply_UNREACHABLE:
				unreachable++
			}
			if unreachable > 1 {
				return nil, &shedkeel.UnavailableError{What: "server at " + request.address + " for other nodes", RetryAfter: relayBackoff, Cause: syscall.EHOSTUNREACH}
			}
			request.askNext(ctx)
		}
	}
	return nil, &shedkeel.UnavailableError{What: "other node that reaches the server at " + request.address, RetryAfter: relayBackoff, Cause: syscall.EHOSTUNREACH}
}

// askNext asks the next candidate, if there is one.
func (request *relayRequest) askNext(ctx context.Context) {
	if len(request.candidates) == 0 {
		return
	}
	asked := request.candidates[0]
	request.candidates = request.candidates[1:]
	request.pending++
	go request.runAsk(ctx, asked)
}

// runAsk asks one node.
func (request *relayRequest) runAsk(ctx context.Context, asked *peer) {
	connector := request.connector
	call := &wire.ConnectCall{Node: string(connector.node.Settings.Node), Address: request.address, TimeoutMs: uint32(relayDialTimeout.Milliseconds())}
	conn, outcome, err := asked.relayWire.Connect(ctx, call)
	switch {
	case err != nil && ctx.Err() != nil, outcome == wire.ConnectReply_REFUSED, outcome == wire.ConnectReply_UNREACHABLE:
	case outcome == wire.ConnectReply_CONNECTED:
		connector.latest.Store(asked)
	default:
		asked.relayFailure.record(connector.node.Timers.Now())
		connector.latest.CompareAndSwap(asked, nil)
	}
	request.results <- relayResult{conn: conn, outcome: outcome}
}

// runRest closes the connections of nodes that answer too late.
func (request *relayRequest) runRest() {
	for ; request.pending > 0; request.pending-- {
		if result := <-request.results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}

// Connect opens a connection for another node. It implements wire.Connector.
func (connector *connector) Connect(ctx context.Context, call *wire.ConnectCall) (net.Conn, wire.ConnectReply_Outcome) {
	node := connector.node
	if node.Dialer == nil || node.stopping.Load() || !node.fleet.isServerAddress(call.GetAddress()) {
		return nil, wire.ConnectReply_BUSY
	}
	if connector.relayed.Add(1) > maxRelayed {
		connector.relayed.Add(-1)
		return nil, wire.ConnectReply_BUSY
	}
	conn, outcome := connector.dial(ctx, call)
	if conn == nil {
		connector.relayed.Add(-1)
		return nil, outcome
	}
	return &relayedConn{Conn: conn, connector: connector}, outcome
}

// dial opens a connection over this box's own network path, within the time that the call states
// and relayDialTimeout. A failure tells something of the server only if this box reaches others.
func (connector *connector) dial(ctx context.Context, call *wire.ConnectCall) (net.Conn, wire.ConnectReply_Outcome) {
	node := connector.node
	if connector.isolated.isRecent(isolationTime, node.Timers.Now()) && !node.Dialer.HearsServers() {
		return nil, wire.ConnectReply_CUT_OFF
	}
	dialCtx, cancel := context.WithTimeout(ctx, min(time.Duration(call.GetTimeoutMs())*time.Millisecond, relayDialTimeout))
	defer cancel()
	conn, err := node.Dialer.DialDirect(dialCtx, "tcp", call.GetAddress())
	switch {
	case err == nil:
		return conn, wire.ConnectReply_CONNECTED
	case !connector.reachesOthers(ctx, call.GetAddress()):
		connector.isolated.record(node.Timers.Now())
		return nil, wire.ConnectReply_CUT_OFF
	case reach.IsRefused(err):
		return nil, wire.ConnectReply_REFUSED
	}
	return nil, wire.ConnectReply_UNREACHABLE
}

// reachesOthers reports whether this box reaches any server. If it has not heard one just now, it
// dials some others than the one at the address.
func (connector *connector) reachesOthers(ctx context.Context, address string) bool {
	dialer := connector.node.Dialer
	if dialer.HearsServers() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, witnessDialTimeout)
	defer cancel()
	var dials sync.WaitGroup
	for _, witness := range connector.node.fleet.randomServers(witnessCount, address) {
		dials.Go(func() {
			if conn, err := dialer.DialDirect(ctx, "tcp", witness); err == nil {
				_ = conn.Close()
			}
		})
	}
	dials.Wait()
	return dialer.HearsServers()
}

// drain waits until no connections are open for other nodes, or until ctx ends.
func (connector *connector) drain(ctx context.Context) {
	for connector.relayed.Load() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, memberTick)
	}
}

// relayedConn is a connection that is open for another node.
type relayedConn struct {
	net.Conn
	connector *connector
	once      sync.Once
}

// Close closes the connection.
func (conn *relayedConn) Close() error {
	conn.once.Do(func() { conn.connector.relayed.Add(-1) })
	return conn.Conn.Close()
}
