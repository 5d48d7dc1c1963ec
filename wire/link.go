package wire

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"shedkeel.org/shedkeel/quota"
)

// link is a yamux session that tracks its open streams, so that it can expire their
// deadlines before the session closes. Otherwise a blocked read on a stream spins until the
// closing session has ended, and on a single core without preemption the session never
// ends; see TestClosingWhileCallsWait.
type link struct {
	*yamux.Session
	conn net.Conn
	key  string      // shared secret of all processes of the fleet
	room *quota.Room // for messages that are read

	mutex   sync.Mutex
	streams map[*yamux.Stream]struct{}
	closed  bool // expireStreams was called
}

// linkConn is the connection of a link. A session that ends for any reason closes its
// connection before it waits for its goroutines, so Close can expire the deadlines of the
// streams in time.
type linkConn struct {
	net.Conn
	link *link
}

// Close expires the deadlines of the link's streams, then closes the connection.
func (linkConn *linkConn) Close() error {
	linkConn.link.expireStreams()
	return linkConn.Conn.Close()
}

// untrustedConn is a connection that is bounded until the other side has shown the key of the fleet.
type untrustedConn interface{ Trust() }

// trust records that the other side has shown the key.
func (link *link) trust() {
	conn := link.conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if untrusted, ok := conn.(untrustedConn); ok {
		untrusted.Trust()
	}
}

// newLink creates a link over the connection with newClientSession or
// newServerSession. It closes the connection on failure.
func newLink(conn net.Conn, newSession func(conn net.Conn) (*yamux.Session, error)) (*link, error) {
	link := &link{conn: conn, streams: map[*yamux.Stream]struct{}{}}
	session, err := newSession(&linkConn{Conn: conn, link: link})
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	link.Session = session
	return link, nil
}

// newClientSession creates the session of the side that dialed.
func newClientSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(conn, yamuxConfig())
}

// newServerSession creates the session of the side that accepted the connection.
func newServerSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(conn, yamuxConfig())
}

// open opens a stream. The caller must close it with link.close.
func (link *link) open() (*yamux.Stream, error) {
	return link.addStream(link.OpenStream())
}

// accept waits for a stream that the other side opens, until the session ends. The caller
// must close the stream with link.close.
func (link *link) accept() (*yamux.Stream, error) {
	return link.addStream(link.AcceptStream())
}

// addStream tracks a new stream and returns it, or returns err if that is set. If the link
// is already closed, the stream gets an expired deadline.
func (link *link) addStream(stream *yamux.Stream, err error) (*yamux.Stream, error) {
	if err != nil {
		return nil, err
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.streams[stream] = struct{}{}
	if link.closed {
		expireDeadline(stream)
	}
	return stream, nil
}

// setDeadline sets the deadline of a stream. On a closed link it leaves the deadline
// expired.
func (link *link) setDeadline(stream *yamux.Stream, deadline time.Time) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.closed {
		_ = stream.SetDeadline(deadline) // always succeeds
	}
}

// close closes a stream and stops tracking it.
func (link *link) close(stream *yamux.Stream) {
	link.mutex.Lock()
	delete(link.streams, stream)
	link.mutex.Unlock()
	_ = stream.Close()
}

// expireStreams marks the link as closed and expires the deadlines of its streams, which
// makes blocked reads and writes fail.
func (link *link) expireStreams() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.closed = true
	for stream := range link.streams {
		expireDeadline(stream)
	}
}

// expireDeadline sets a deadline of the stream that is in the past.
func expireDeadline(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0)) // always succeeds
}
