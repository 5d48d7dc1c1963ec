package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// reportTimeout is how long a read waits for a write that gets the report of a reset.
const reportTimeout = 5 * time.Second

// ResetReports dials TCP connections on which the kernel reports a reset to a write, as it does now and then while a
// request is sent: the read after it returns as after a regular end. The other side must send all that it sends at once,
// and reset the connection while this side still writes.
type ResetReports struct{}

// DialContext opens a connection. The errors are those of net.Dialer.
func (ResetReports) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &resetReportConn{TCPConn: conn.(*net.TCPConn), reported: make(chan struct{}), ended: make(chan struct{})}, nil //nolint:forcetypeassert // the network is tcp
}

// resetReportConn is a connection of ResetReports.
type resetReportConn struct {
	*net.TCPConn
	received  bool // something was read; one goroutine reads at a time
	reporting sync.Once
	reported  chan struct{} // closed when a write has got the report
	ending    sync.Once
	ended     chan struct{} // closed when a read has failed
}

// Read reads. Once something has come, it waits until a write has got the report.
func (conn *resetReportConn) Read(buffer []byte) (int, error) {
	if conn.received {
		select {
		case <-conn.reported:
		case <-time.After(reportTimeout):
		}
	}
	count, err := conn.TCPConn.Read(buffer)
	conn.received = conn.received || count > 0
	if err != nil {
		conn.ending.Do(func() { close(conn.ended) })
	}
	return count, err
}

// Write writes. With the report of a reset, it returns after the read that follows the report: its caller closes the connection.
func (conn *resetReportConn) Write(data []byte) (int, error) {
	count, err := conn.TCPConn.Write(data)
	if errors.Is(err, syscall.ECONNRESET) {
		conn.reporting.Do(func() { close(conn.reported) })
		select {
		case <-conn.ended:
		case <-time.After(reportTimeout):
		}
	}
	return count, err
}
