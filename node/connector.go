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
	// maxRelaysAsked is how many nodes are asked for one connection.
	maxRelaysAsked = 6
	// relayBackoff is how long a node that did not open a connection, for a reason of its
	// own, is asked after all others.
	relayBackoff = time.Second
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

	mutex sync.Mutex
	used  map[shedkeel.NodeID]bool // listed nodes that have opened connections for this one
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

// candidates returns the nodes to ask for a connection, in the order of orderRelays.
func (connector *connector) candidates() []*peer {
	now := connector.node.Timers.Now()
	failed := func(peer *peer) bool { return peer.relayFailure.isRecent(relayBackoff, now) }
	return orderRelays(connector.node.peers.alivePeers(), connector.latest.Load(), failed)
}

// orderRelays returns up to maxRelaysAsked of the nodes: the one that last opened a connection, then
// others at random, and those that have just failed last.
func orderRelays[Node comparable](nodes []Node, latest Node, failed func(Node) bool) []Node {
	rand.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
	rank := func(node Node) int {
		switch {
		case failed(node):
			return 2
		case node == latest:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(nodes, func(a, b Node) int { return rank(a) - rank(b) })
	return nodes[:min(len(nodes), maxRelaysAsked)]
}

// recordUse records that a node has opened a connection for this one.
func (connector *connector) recordUse(relay *peer) {
	connector.latest.Store(relay)
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if connector.used == nil {
		connector.used = map[shedkeel.NodeID]bool{}
	}
	connector.used[relay.id] = true
}

// relaysLeaving reports whether a node that has opened connections for this one is stopping. It
// forgets nodes that are not listed any more.
func (connector *connector) relaysLeaving() bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if len(connector.used) == 0 {
		return false
	}
	leaving := false
	listed := map[shedkeel.NodeID]bool{}
	for _, record := range connector.node.peers.listed() {
		if connector.used[record.ID] {
			listed[record.ID] = true
			leaving = leaving || record.Stopping || connector.node.gossip.liveness(record.ID) == shedkeel.Left
		}
	}
	connector.used = listed
	return leaving
}

// relayRequest is one call of connector.DialContext.
type relayRequest struct {
	connector  *connector
	address    string
	candidates []*peer // not asked yet
	asked      []*peer
	results    chan relayResult
	pending    int // asked nodes without a result so far
}

// relayResult is the answer of a node.
type relayResult struct {
	conn  net.Conn           // nil unless the outcome is CONNECTED
	reply *wire.ConnectReply // nil: none
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
			switch result.reply.GetOutcome() {
			case wire.ConnectReply_CONNECTED:
				return result.conn, nil
			case wire.ConnectReply_REFUSED:
				return nil, fmt.Errorf("dial of %s through another node: %w", request.address, syscall.ECONNREFUSED)
			case wire.ConnectReply_UNREACHABLE:
				unreachable++
			case wire.ConnectReply_CUT_OFF:
				request.prefer(result.reply.GetRelay())
			}
			if unreachable > 1 {
				return nil, &shedkeel.UnavailableError{What: "server at " + request.address + " for other nodes", RetryAfter: relayBackoff, Cause: syscall.EHOSTUNREACH}
			}
			request.askNext(ctx)
		}
	}
	return nil, &shedkeel.UnavailableError{What: "other node that reaches the server at " + request.address, RetryAfter: relayBackoff, Cause: syscall.EHOSTUNREACH}
}

// prefer makes the node the next to be asked, unless it was asked already or has just failed. Where
// most nodes are cut off, one that is not is found through those that have found one.
func (request *relayRequest) prefer(id string) {
	connector := request.connector
	preferred := connector.node.peers.peer(shedkeel.NodeID(id))
	if preferred == nil || slices.Contains(request.asked, preferred) || preferred.relayFailure.isRecent(relayBackoff, connector.node.Timers.Now()) {
		return
	}
	others := slices.DeleteFunc(request.candidates, func(candidate *peer) bool { return candidate == preferred })
	request.candidates = slices.Insert(others, 0, preferred)
}

// askNext asks the next candidate, if there is one and fewer than maxRelaysAsked were asked.
func (request *relayRequest) askNext(ctx context.Context) {
	if len(request.candidates) == 0 || len(request.asked) == maxRelaysAsked {
		return
	}
	asked := request.candidates[0]
	request.candidates = request.candidates[1:]
	request.asked = append(request.asked, asked)
	request.pending++
	go request.runAsk(ctx, asked)
}

// runAsk asks one node.
func (request *relayRequest) runAsk(ctx context.Context, asked *peer) {
	connector := request.connector
	call := &wire.ConnectCall{Node: string(connector.node.Settings.Node), Address: request.address, TimeoutMs: uint32(relayDialTimeout.Milliseconds())}
	conn, reply, err := asked.relayWire.Connect(ctx, call)
	outcome := reply.GetOutcome()
	switch {
	case err != nil && ctx.Err() != nil, outcome == wire.ConnectReply_REFUSED, outcome == wire.ConnectReply_UNREACHABLE:
	case outcome == wire.ConnectReply_CONNECTED:
		connector.recordUse(asked)
	default:
		asked.relayFailure.record(connector.node.Timers.Now())
		connector.latest.CompareAndSwap(asked, nil)
	}
	request.results <- relayResult{conn: conn, reply: reply}
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
func (connector *connector) Connect(ctx context.Context, call *wire.ConnectCall) (net.Conn, *wire.ConnectReply) {
	node := connector.node
	if node.Dialer == nil || node.stopping.Load() || !node.fleet.isServerAddress(call.GetAddress()) {
		return nil, &wire.ConnectReply{Outcome: wire.ConnectReply_BUSY}
	}
	if connector.relayed.Add(1) > int64(node.gate.Ledger.Plan.Relays) {
		connector.relayed.Add(-1)
		return nil, &wire.ConnectReply{Outcome: wire.ConnectReply_BUSY}
	}
	conn, outcome := connector.dial(ctx, call)
	if conn != nil {
		return &relayedConn{Conn: conn, connector: connector}, &wire.ConnectReply{Outcome: outcome}
	}
	connector.relayed.Add(-1)
	reply := &wire.ConnectReply{Outcome: outcome}
	if latest := connector.latest.Load(); outcome == wire.ConnectReply_CUT_OFF && latest != nil {
		reply.Relay = string(latest.id)
	}
	return nil, reply
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
