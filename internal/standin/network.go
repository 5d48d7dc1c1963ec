package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// defaultBuffer is the size of a connection's buffers if Network.Buffer is not set, in bytes.
	defaultBuffer = 256 << 10
	// acceptQueue is how many connections a listener keeps until they are accepted.
	acceptQueue = 1024
	// datagramQueue is how many datagrams a socket keeps until they are read. Further ones are lost.
	datagramQueue = 1024
)

// Network is a fake of the operating system's network: its sockets are in memory, and nothing takes
// time. In a synctest bubble, their deadlines use the fake clock. The zero value is ready for use.
type Network struct {
	Buffer int // bytes that a connection keeps in each direction until they are read; 0: defaultBuffer

	mutex     sync.Mutex
	ports     int // in use, or used before
	listeners map[string]*networkListener
	sockets   map[string]*datagramSocket
}

// nextAddress returns an address that no socket has had before. The caller must hold the mutex.
func (network *Network) nextAddress() net.IP {
	network.ports++
	return net.IPv4(10, byte(network.ports>>16), byte(network.ports>>8), byte(network.ports))
}

// Listen returns a listener at an address of its own.
func (network *Network) Listen() net.Listener {
	network.mutex.Lock()
	address := (&net.TCPAddr{IP: network.nextAddress(), Port: 80}).String()
	network.mutex.Unlock()
	listener, err := network.ListenAt(address)
	if err != nil {
		panic("address used twice: " + err.Error())
	}
	return listener
}

// ListenAt returns a listener at the address. The error wraps syscall.EADDRINUSE if there is one already.
func (network *Network) ListenAt(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: resolved, Err: syscall.EADDRINUSE}
	}
	if network.listeners == nil {
		network.listeners = map[string]*networkListener{}
	}
	listener := &networkListener{network: network, address: resolved, queue: make(chan net.Conn, acceptQueue), closed: make(chan struct{})}
	network.listeners[address] = listener
	return listener, nil
}

// DialContext opens a connection to the listener at the address. The error wraps
// syscall.ECONNREFUSED if there is none.
func (network *Network) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, dialError(kind, err)
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	listener := network.listeners[address]
	if listener == nil {
		return nil, dialError(kind, syscall.ECONNREFUSED)
	}
	buffer := network.Buffer
	if buffer == 0 {
		buffer = defaultBuffer
	}
	there, back := newDirection(buffer), newDirection(buffer)
	local := &net.TCPAddr{IP: network.nextAddress(), Port: 1024}
	near := &networkConn{in: back, out: there, local: local, remote: listener.address}
	far := &networkConn{in: there, out: back, local: listener.address, remote: local}
	select {
	case listener.queue <- far:
		return near, nil
	default:
		return nil, dialError(kind, syscall.ECONNREFUSED)
	}
}

// dialError returns the error of a dial that failed.
func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// networkListener is a listener of a Network.
type networkListener struct {
	network *Network
	address *net.TCPAddr
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection. The error is net.ErrClosed.
func (listener *networkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.queue:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses new connections and closes those that were not accepted.
func (listener *networkListener) Close() error {
	listener.once.Do(func() {
		listener.network.mutex.Lock()
		defer listener.network.mutex.Unlock()
		delete(listener.network.listeners, listener.address.String())
		close(listener.closed)
		for len(listener.queue) > 0 {
			_ = (<-listener.queue).Close()
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (listener *networkListener) Addr() net.Addr { return listener.address }

// direction holds the bytes of a connection that were written at one end and not yet read at the
// other.
type direction struct {
	mutex   sync.Mutex
	bytes   []byte
	limit   int
	changed chan struct{} // closed at the next change
	closed  bool          // by the writer: the reader gets what is left, and then io.EOF
	broken  bool          // by the reader: nothing is read any more
}

func newDirection(limit int) *direction {
	return &direction{limit: limit, changed: make(chan struct{})}
}

// update changes the direction and wakes those that wait for a change.
func (direction *direction) update(change func()) {
	direction.mutex.Lock()
	defer direction.mutex.Unlock()
	change()
	close(direction.changed)
	direction.changed = make(chan struct{})
}

// read reads what there is. It returns 0 bytes and a channel to wait for if there is nothing.
func (direction *direction) read(buffer []byte) (count int, changed <-chan struct{}, err error) {
	direction.mutex.Lock()
	empty, changed := len(direction.bytes) == 0, direction.changed
	closed, broken := direction.closed, direction.broken
	direction.mutex.Unlock()
	switch {
	case broken:
		return 0, nil, net.ErrClosed
	case empty && closed:
		return 0, nil, io.EOF
	case empty:
		return 0, changed, nil
	}
	direction.update(func() {
		count = copy(buffer, direction.bytes)
		direction.bytes = direction.bytes[count:]
	})
	return count, nil, nil
}

// write writes what fits. It returns 0 bytes and a channel to wait for if nothing fits.
func (direction *direction) write(data []byte) (count int, changed <-chan struct{}, err error) {
	direction.mutex.Lock()
	count, changed = min(len(data), direction.limit-len(direction.bytes)), direction.changed
	closed, broken := direction.closed, direction.broken
	direction.mutex.Unlock()
	switch {
	case closed:
		return 0, nil, net.ErrClosed
	case broken:
		return 0, nil, syscall.EPIPE
	case count == 0:
		return 0, changed, nil
	}
	direction.update(func() { direction.bytes = append(direction.bytes, data[:count]...) })
	return count, nil, nil
}

// networkConn is one end of a connection. One goroutine may read at a time, and one may write.
type networkConn struct {
	in, out       *direction
	local, remote net.Addr
	readEnd       deadline
	writeEnd      deadline
}

// Read waits for data, the end of the connection or the read deadline.
func (conn *networkConn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	for {
		ended := conn.readEnd.channel()
		select {
		case <-ended:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		count, changed, err := conn.in.read(buffer)
		if count > 0 || err != nil {
			return count, err
		}
		select {
		case <-changed:
		case <-ended:
		}
	}
}

// Write waits until all data fit into the buffer, or until the write deadline.
func (conn *networkConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		ended := conn.writeEnd.channel()
		select {
		case <-ended:
			return written, os.ErrDeadlineExceeded
		default:
		}
		count, changed, err := conn.out.write(data[written:])
		if err != nil {
			return written, err
		}
		if written += count; count > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ended:
		}
	}
	return written, nil
}

// Close ends both directions. The other end still reads what was written.
func (conn *networkConn) Close() error {
	conn.in.update(func() { conn.in.broken = true }) // first: whoever sees the end can't write any more
	conn.out.update(func() { conn.out.closed = true })
	_ = conn.SetDeadline(time.Time{}) // stops the timers
	return nil
}

// LocalAddr returns the address of this end.
func (conn *networkConn) LocalAddr() net.Addr { return conn.local }

// RemoteAddr returns the address of the other end.
func (conn *networkConn) RemoteAddr() net.Addr { return conn.remote }

// SetDeadline sets both deadlines. The zero time removes them.
func (conn *networkConn) SetDeadline(at time.Time) error {
	conn.readEnd.set(at)
	conn.writeEnd.set(at)
	return nil
}

// SetReadDeadline sets when Read fails.
func (conn *networkConn) SetReadDeadline(at time.Time) error {
	conn.readEnd.set(at)
	return nil
}

// SetWriteDeadline sets when Write fails.
func (conn *networkConn) SetWriteDeadline(at time.Time) error {
	conn.writeEnd.set(at)
	return nil
}

// deadline is the deadline of one kind of call. The zero value has none.
type deadline struct {
	mutex sync.Mutex
	ended chan struct{} // closed at the deadline, and when it is changed
	timer *time.Timer
}

// channel returns a channel that is closed at the deadline. A deadline that is set later wakes those
// that wait as well, which must call channel again.
func (deadline *deadline) channel() <-chan struct{} {
	deadline.mutex.Lock()
	defer deadline.mutex.Unlock()
	if deadline.ended == nil {
		deadline.ended = make(chan struct{})
	}
	return deadline.ended
}

// set replaces the deadline. The zero time removes it.
func (deadline *deadline) set(at time.Time) {
	deadline.mutex.Lock()
	defer deadline.mutex.Unlock()
	if deadline.timer != nil {
		deadline.timer.Stop()
		deadline.timer = nil
	}
	ended := make(chan struct{})
	if deadline.ended != nil {
		select {
		case <-deadline.ended:
		default:
			close(deadline.ended) // those that wait look for the new one
		}
	}
	deadline.ended = ended
	if at.IsZero() {
		return
	}
	remaining := time.Until(at)
	if remaining <= 0 {
		close(ended)
		return
	}
	deadline.timer = time.AfterFunc(remaining, func() {
		deadline.mutex.Lock()
		defer deadline.mutex.Unlock()
		if deadline.ended == ended {
			close(ended)
		}
	})
}

// ListenPacket returns a socket for datagrams at an address of its own.
func (network *Network) ListenPacket() net.PacketConn {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.sockets == nil {
		network.sockets = map[string]*datagramSocket{}
	}
	socket := &datagramSocket{network: network, address: &net.UDPAddr{IP: network.nextAddress(), Port: 80}, queue: make(chan datagram, datagramQueue), closed: make(chan struct{})}
	network.sockets[socket.address.String()] = socket
	return socket
}

// datagram is a datagram on its way.
type datagram struct {
	bytes []byte
	from  net.Addr
}

// datagramSocket is a socket for datagrams of a Network.
type datagramSocket struct {
	network *Network
	address *net.UDPAddr
	queue   chan datagram
	once    sync.Once
	closed  chan struct{}
}

// ReadFrom waits for the next datagram. The error is net.ErrClosed.
func (socket *datagramSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-socket.queue:
		return copy(buffer, datagram.bytes), datagram.from, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram, which is lost if nobody receives it at the address.
func (socket *datagramSocket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.network.mutex.Lock()
	defer socket.network.mutex.Unlock()
	if receiver := socket.network.sockets[to.String()]; receiver != nil {
		select {
		case receiver.queue <- datagram{bytes: append([]byte(nil), data...), from: socket.address}:
		default: // lost
		}
	}
	return len(data), nil
}

// Close closes the socket.
func (socket *datagramSocket) Close() error {
	socket.once.Do(func() {
		socket.network.mutex.Lock()
		defer socket.network.mutex.Unlock()
		delete(socket.network.sockets, socket.address.String())
		close(socket.closed)
	})
	return nil
}

// LocalAddr returns the address of the socket.
func (socket *datagramSocket) LocalAddr() net.Addr { return socket.address }

// errNoDeadlines is the error of deadlines of datagram sockets.
var errNoDeadlines = fmt.Errorf("datagram sockets in memory have no deadlines: %w", syscall.ENOTSUP)

// SetDeadline is not implemented.
func (*datagramSocket) SetDeadline(time.Time) error { return errNoDeadlines }

// SetReadDeadline is not implemented.
func (*datagramSocket) SetReadDeadline(time.Time) error { return errNoDeadlines }

// SetWriteDeadline is not implemented.
func (*datagramSocket) SetWriteDeadline(time.Time) error { return errNoDeadlines }
