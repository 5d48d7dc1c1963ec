// Package strict reads the answers of other processes. It tells the end of their data from a connection that was cut off, and
// accepts only answers that conform to HTTP/1.1, where net/http tolerates others.
package strict

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrCutOff reports that a connection has ended without the other side having ended its data.
var ErrCutOff = errors.New("the connection was cut off")

// Dialer opens connections of type Conn. It implements shedkeel.ServerDialer. The zero value is ready to use.
type Dialer struct {
	Timeout time.Duration // zero: none but that of the context
}

// DialContext opens a connection. The errors are those of net.Dialer.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialer.Timeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is a connection whose Read returns io.EOF only if the other side has ended its data. The kernel reports a reset
// once, to a read or to a write, and reports the end of the data to all reads after that. Conn remembers the report.
// Conn.Conn must be set before use.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a Write

	mutex   sync.Mutex
	failure error // the first error by which the connection has failed; nil: none
}

// Read reads. In place of an io.EOF that does not prove the end of the data, it returns the error by which the connection
// has failed, or ErrCutOff.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) {
		return count, conn.judgeEnd()
	}
	conn.record(err)
	return count, err
}

// Write writes.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil {
		conn.record(err)
	}
	return count, err
}

// SyscallConn returns the raw connection. The error is syscall.EINVAL if there is none.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}

// record remembers an error if it is the first one that the network has reported. A deadline of this process and a
// connection that it has closed tell nothing of the other side.
func (conn *Conn) record(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.failure == nil {
		conn.failure = err
	}
}

// judgeEnd returns io.EOF if the other side has ended its data, and otherwise the error by which the connection has failed.
func (conn *Conn) judgeEnd() error {
	if !conn.isClosed() {
		return io.EOF // only the end of the data gives io.EOF while the connection is open in the other direction
	}
	// A Write under way returns soon, and may have the only report of the reset.
	conn.writing.Lock()
	defer conn.writing.Unlock()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.failure == nil {
		conn.failure = conn.pendingFailure()
	}
	if conn.failure == nil || errors.Is(conn.failure, syscall.EPIPE) {
		return io.EOF // EPIPE is the report of a reset after the end of the data; a reset before it is ECONNRESET
	}
	return conn.failure
}

// tcpClose is the state TCP_CLOSE of Linux: a reset has come, both sides have ended their data, or a time-out has expired.
const tcpClose = 7

// isClosed reports whether the connection is closed in both directions. A connection that is no socket is not.
func (conn *Conn) isClosed() bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := true
	_ = raw.Control(func(descriptor uintptr) { // fails if this process has closed the connection
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose // there is no TCP_INFO of other sockets, which know no reset
	})
	return closed
}

// pendingFailure returns the error that the kernel has not reported yet, nil if there is none, or ErrCutOff if this process has
// closed the connection, so that nothing is known.
func (conn *Conn) pendingFailure() error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return ErrCutOff
	}
	pending := 0
	err = raw.Control(func(descriptor uintptr) {
		pending, _ = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR) // fails for no open socket
	})
	switch {
	case err != nil:
		return ErrCutOff
	case pending == 0:
		return nil
	}
	return syscall.Errno(pending)
}
