package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
)

// Direction is a set of directions in which a Link carries nothing.
type Direction int

// The directions, as seen from the box.
const (
	Outgoing Direction = 1 << iota
	Incoming
	BothDirections = Outgoing | Incoming
)

// Cut is a fault of a Link. The zero value is no fault.
type Cut struct {
	Refuse  bool      // new connections are refused
	Drop    bool      // new connections are never established
	Silence Direction // open connections carry nothing in these directions, and deliver it once the cut ends
	Reset   bool      // open connections are reset when the cut begins
	Lose    bool      // connections that are open when the cut begins carry nothing any more, also after it
	// Addresses limits the cut to these addresses of servers. nil: it affects all.
	Addresses []string
}

// affects reports whether the cut affects connections to the address.
func (cut *Cut) affects(address string) bool {
	return cut.Addresses == nil || slices.Contains(cut.Addresses, address)
}

// Link is a fake of the network between one box and the backend servers. It implements
// shedkeel.ServerDialer. The zero value has no fault.
type Link struct {
	Network *Network // nil: the operating system's

	mutex sync.Mutex
	cut   Cut
	ended chan struct{} // closed when the cut ends; nil: there is no cut
	conns map[*linkConn]struct{}

	dialing atomic.Int64
}

// Dialing returns the number of dials in progress.
func (link *Link) Dialing() int { return int(link.dialing.Load()) }

// SetCut replaces the cut. The zero Cut ends it.
func (link *Link) SetCut(cut Cut) {
	link.mutex.Lock()
	if link.ended != nil {
		close(link.ended)
	}
	link.cut, link.ended = cut, make(chan struct{})
	var affected []*linkConn
	for conn := range link.conns {
		affected = append(affected, conn)
	}
	link.mutex.Unlock()
	for _, conn := range affected {
		if cut.Reset && cut.affects(conn.address) {
			_ = conn.Close()
		}
		if cut.Lose && cut.affects(conn.address) {
			conn.lost.Store(true)
		}
		conn.flush()
	}
}

// state returns the cut as it affects the address, and the channel that is closed when the cut
// changes.
func (link *Link) state(address string) (Cut, <-chan struct{}) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.cut.affects(address) {
		return Cut{}, link.ended
	}
	return link.cut, link.ended
}

// DialContext opens a connection, unless the cut affects the address: then it is refused, or
// it waits until the cut or ctx ends.
func (link *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	link.dialing.Add(1)
	defer link.dialing.Add(-1)
	for {
		cut, changed := link.state(address)
		if cut.Refuse {
			return nil, dialError(network, syscall.ECONNREFUSED)
		}
		if !cut.Drop {
			break
		}
		select {
		case <-ctx.Done():
			return nil, dialError(network, ctx.Err())
		case <-changed:
		}
	}
	dial := (&net.Dialer{}).DialContext
	if link.Network != nil {
		dial = link.Network.DialContext
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	linked := &linkConn{Conn: conn, link: link, address: address, closed: make(chan struct{})}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.conns == nil {
		link.conns = map[*linkConn]struct{}{}
	}
	link.conns[linked] = struct{}{}
	return linked, nil
}

// linkConn is a connection over a Link.
type linkConn struct {
	net.Conn
	link    *Link
	address string
	once    sync.Once
	closed  chan struct{}
	lost    atomic.Bool // see Cut.Lose

	mutex sync.Mutex
	held  []byte // written, but not yet sent
}

// Read returns what the server sends, once the link carries it.
func (conn *linkConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	for {
		cut, changed := conn.link.state(conn.address)
		if conn.lost.Load() {
			<-conn.closed
			return 0, net.ErrClosed
		}
		if cut.Silence&Incoming == 0 {
			return count, err
		}
		select {
		case <-changed:
		case <-conn.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write sends the data, or holds them while the link does not carry them.
func (conn *linkConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	cut, _ := conn.link.state(conn.address)
	if conn.lost.Load() {
		return len(data), nil
	}
	if cut.Silence&Outgoing != 0 || len(conn.held) > 0 {
		conn.held = append(conn.held, data...)
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// flush sends the held data if the link carries them.
func (conn *linkConn) flush() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	cut, _ := conn.link.state(conn.address)
	if cut.Silence&Outgoing != 0 || len(conn.held) == 0 || conn.lost.Load() {
		return
	}
	_, _ = conn.Conn.Write(conn.held)
	conn.held = nil
}

// Close closes the connection and drops held data. Unlike over a real link, the server notices
// this even during a cut.
func (conn *linkConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	conn.link.mutex.Lock()
	delete(conn.link.conns, conn)
	conn.link.mutex.Unlock()
	return conn.Conn.Close()
}
