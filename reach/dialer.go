// Package reach opens connections to backend servers and records which servers this box
// reaches. Times are on the clock of a shedkeel.Timers.
package reach

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
)

// defaultTimeout bounds a dial if Dialer.Timeout is not set.
const defaultTimeout = time.Second

// Outcome is the result of a dial to a backend server.
type Outcome int

// The outcomes of a dial.
const (
	Connected Outcome = iota
	Refused           // the server's box, or the network, rejected the connection
	TimedOut          // nothing was received in time
	Failed            // any other error, such as a lack of descriptors
	outcomeCount
)

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{"connected", "refused", "timed_out", "failed"}

// String returns the name of the outcome in logs and metrics.
func (outcome Outcome) String() string { return outcomeNames[outcome] }

// outcomeOf classifies the error of a dial, or nil.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return TimedOut
	}
	return Failed
}

// Dialer is a shedkeel.ServerDialer. Set its exported fields before its first use.
type Dialer struct {
	Timers  shedkeel.Timers
	Timeout time.Duration         // bounds a dial; 0: one second
	Network shedkeel.ServerDialer // nil: the operating system's

	paths  paths
	counts [outcomeCount]atomic.Int64
}

// DialContext opens a connection to the backend server at the address. It implements
// shedkeel.ServerDialer.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.dialDirect(ctx, network, address)
}

// dialDirect opens a connection over this box's own network path. It records the outcome
// unless ctx was canceled.
func (dialer *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialer.timeout())
	defer cancel()
	var base shedkeel.ServerDialer = &net.Dialer{}
	if dialer.Network != nil {
		base = dialer.Network
	}
	conn, err := base.DialContext(ctx, network, address)
	if errors.Is(ctx.Err(), context.Canceled) && err != nil {
		return nil, err
	}
	now := dialer.Timers.Now()
	outcome := outcomeOf(err)
	dialer.counts[outcome].Add(1)
	if err != nil {
		dialer.paths.failed(address, now)
		return nil, err
	}
	dialer.paths.connected(address, now)
	return &directConn{Conn: conn, dialer: dialer}, nil
}

func (dialer *Dialer) timeout() time.Duration {
	if dialer.Timeout == 0 {
		return defaultTimeout
	}
	return dialer.Timeout
}

// Status describes which backend servers this box reaches.
type Status struct {
	Dials       map[Outcome]int64 // direct dials so far, by outcome
	Unreachable int               // servers whose latest direct dial failed, within the last failureRetention
	// SinceHeard is the time since a server was last heard over a direct connection, by a
	// completed dial or by data; negative: never.
	SinceHeard time.Duration
}

// Status returns the present status.
func (dialer *Dialer) Status() Status {
	now := dialer.Timers.Now()
	status := Status{Dials: map[Outcome]int64{}, Unreachable: dialer.paths.unreachable(now), SinceHeard: -1}
	for outcome := range outcomeCount {
		status.Dials[outcome] = dialer.counts[outcome].Load()
	}
	if heard := dialer.paths.heardAt(); heard != 0 {
		status.SinceHeard = now - heard
	}
	return status
}

// directConn is a direct connection. It records when the server is heard.
type directConn struct {
	net.Conn
	dialer *Dialer
}

// Read reads from the connection.
func (conn *directConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.dialer.paths.heard(conn.dialer.Timers.Now())
	}
	return count, err
}
