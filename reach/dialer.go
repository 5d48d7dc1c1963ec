// Package reach opens connections to backend servers, directly or through another node, and
// records which servers this box reaches. Times are on the clock of a shedkeel.Timers.
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
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/strict"
)

const (
	// defaultTimeout bounds a dial if Dialer.Timeout is not set.
	defaultTimeout = time.Second
	// relayDelay is how long a direct dial may take before a relay is asked as well. A dial
	// takes milliseconds within a region.
	relayDelay = 60 * time.Millisecond
	// noPathTimeout bounds a dial while no server is reached, so that requests are refused
	// promptly.
	noPathTimeout = 100 * time.Millisecond
)

// Outcome is the result of a dial to a backend server.
type Outcome int

// The outcomes of a dial.
const (
	Connected Outcome = iota
	Refused           // the server's box, or the network, rejected the connection
	TimedOut          // nothing was received in time
	Failed            // any other error, such as a lack of descriptors
	Delayed           // timed out while this process was delayed, which proves nothing
	outcomeCount
)

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{"connected", "refused", "timed_out", "failed", "delayed"}

// String returns the name of the outcome in logs and metrics.
func (outcome Outcome) String() string { return outcomeNames[outcome] }

// outcomeOf classifies the error of a dial, or nil.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Connected
	case IsRefused(err):
		return Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return TimedOut
	}
	return Failed
}

// IsRefused reports whether a dial failed because the connection was rejected.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Dialer is a shedkeel.ServerDialer, ServerPaths and ServerCheck. It dials directly, and through
// Relay if the direct dial fails or takes long, or if dials to that server or of this box have
// failed before. Set its exported fields before its first use.
type Dialer struct {
	Timers  shedkeel.Timers
	Timeout time.Duration         // bounds a dial; 0: one second
	Network shedkeel.ServerDialer // nil: the operating system's
	// Relay dials through other nodes. Its errors wrap syscall.ECONNREFUSED if another node was
	// refused. nil: there are no other nodes.
	Relay shedkeel.ServerDialer
	// Delays holds the delays of this process, in which it may not notice an answer. nil: not known.
	Delays *liveness.Delays

	paths         paths
	relaysLeaving atomic.Bool // see SetRelaysLeaving
	counts        [outcomeCount]atomic.Int64
	relayCounts   [outcomeCount]atomic.Int64
}

// dialResult is the result of one of the two ways of a dial.
type dialResult struct {
	conn    net.Conn
	err     error
	relayed bool
}

// DialContext opens a connection to the backend server at the address. It implements
// shedkeel.ServerDialer. The error is a NoPathError if no server could be reached before either
// (see NoPath).
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	now := dialer.Timers.Now()
	timeout, noPath := dialer.timeout(), dialer.paths.noPath(now)
	if noPath {
		timeout = min(timeout, noPathTimeout)
	}
	// The way that is not used goes on for its evidence after the caller's context has ended.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(ctx, cancel)
	dial := &dial{dialer: dialer, network: network, address: address, began: now, results: make(chan dialResult, 2), relayDue: dialer.Relay != nil && dialer.paths.mayRelay(address, now)}
	conn, err := dial.run(bounded, dialer.relayDelay(address, now))
	stop()
	if dial.pending == 0 {
		cancel()
	} else {
		go dial.runRest(cancel)
	}
	if err != nil && noPath {
		return nil, &shedkeel.NoPathError{Cause: err}
	}
	return conn, err
}

// relayDelay returns how long a dial waits before it asks a relay as well.
func (dialer *Dialer) relayDelay(address string, now time.Duration) time.Duration {
	if dialer.prefersRelay(address, now) {
		return 0
	}
	return relayDelay
}

// dial is one call of Dialer.DialContext.
type dial struct {
	dialer   *Dialer
	network  string
	address  string
	began    time.Duration
	results  chan dialResult // of the ways that were begun
	pending  int             // ways without a result so far
	relayDue bool            // a relay is to be asked, and was not yet

	directEnded atomic.Bool // the direct dial has a result
}

// run returns the first connection that either way opens. It asks a relay after the delay, or
// once the direct dial has failed.
func (dial *dial) run(ctx context.Context, delay time.Duration) (net.Conn, error) {
	dial.pending = 1
	go dial.runDirect(ctx)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var refused, failed error
	for dial.pending > 0 {
		select {
		case <-timer.C:
			dial.startRelay(ctx)
		case result := <-dial.results:
			dial.pending--
			if result.err == nil {
				return result.conn, nil
			}
			if result.relayed && IsRefused(result.err) {
				return nil, result.err
			}
			if IsRefused(result.err) {
				refused = result.err
			} else {
				failed = result.err
			}
			if ctx.Err() == nil {
				dial.startRelay(ctx)
			}
		}
	}
	if failed == nil {
		return nil, refused
	}
	return nil, failed
}

// startRelay asks a relay, unless that was done or is not to be done.
func (dial *dial) startRelay(ctx context.Context) {
	if !dial.relayDue {
		return
	}
	dial.relayDue = false
	dial.pending++
	go dial.runRelay(ctx)
}

// runDirect dials over this box's own network path.
func (dial *dial) runDirect(ctx context.Context) {
	conn, err := dial.dialer.DialDirect(ctx, dial.network, dial.address)
	dial.directEnded.Store(true)
	dial.results <- dialResult{conn: conn, err: err}
}

// runRelay dials through another node.
func (dial *dial) runRelay(ctx context.Context) {
	dialer := dial.dialer
	began := dialer.Timers.Now()
	conn, err := dialer.Relay.DialContext(ctx, dial.network, dial.address)
	if errors.Is(ctx.Err(), context.Canceled) && err != nil {
		dial.results <- dialResult{err: err, relayed: true}
		return
	}
	now := dialer.Timers.Now()
	outcome := dialer.judge(err, began, now)
	dialer.relayCounts[outcome].Add(1)
	if err != nil {
		if outcome != Delayed {
			dialer.paths.relayMissed(dial.address, now)
		}
		dial.results <- dialResult{err: err, relayed: true}
		return
	}
	if !dial.directEnded.Load() && dialer.Delays.Proves(dial.began, now) {
		dialer.paths.failed(dial.address, now) // until the direct dial succeeds after all
	}
	dialer.paths.relayReached(dial.address, now)
	dial.results <- dialResult{conn: &heardConn{Conn: conn, timers: dialer.Timers, hearing: &dialer.paths.relayed, relayed: true}, relayed: true}
}

// runRest waits for the other way, whose outcome is evidence as well, and closes its
// connection.
func (dial *dial) runRest(cancel context.CancelFunc) {
	defer cancel()
	for ; dial.pending > 0; dial.pending-- {
		if result := <-dial.results; result.err == nil {
			_ = result.conn.Close()
		}
	}
}

// DialDirect opens a connection over this box's own network path. It records the outcome, unless
// ctx was canceled.
func (dialer *Dialer) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialer.timeout())
	defer cancel()
	var base shedkeel.ServerDialer = &net.Dialer{}
	if dialer.Network != nil {
		base = dialer.Network
	}
	began := dialer.Timers.Now()
	conn, err := base.DialContext(ctx, network, address)
	if errors.Is(ctx.Err(), context.Canceled) && err != nil {
		return nil, err
	}
	now := dialer.Timers.Now()
	outcome := dialer.judge(err, began, now)
	dialer.counts[outcome].Add(1)
	if err != nil {
		if outcome != Delayed {
			dialer.paths.failed(address, now)
		}
		return nil, err
	}
	dialer.paths.connected(address, now)
	return &heardConn{Conn: &strict.Conn{Conn: conn}, timers: dialer.Timers, hearing: &dialer.paths.direct}, nil
}

// judge returns the outcome of a dial that lasted from began until now.
func (dialer *Dialer) judge(err error, began, now time.Duration) Outcome {
	outcome := outcomeOf(err)
	if outcome == TimedOut && !dialer.Delays.Proves(began, now) {
		return Delayed
	}
	return outcome
}

func (dialer *Dialer) timeout() time.Duration {
	if dialer.Timeout == 0 {
		return defaultTimeout
	}
	return dialer.Timeout
}

// prefersRelay reports whether a relay is asked at once: the latest direct dial of the server has
// failed, or this box is cut off.
func (dialer *Dialer) prefersRelay(address string, now time.Duration) bool {
	return dialer.paths.isFailing(address, now) || dialer.paths.cutOff(now)
}

// Relayed implements shedkeel.ServerPaths.
func (dialer *Dialer) Relayed(address string) bool {
	return dialer.Relay != nil && dialer.prefersRelay(address, dialer.Timers.Now())
}

// Trusted implements shedkeel.ServerPaths: a server was heard just now over a connection of the kind.
func (dialer *Dialer) Trusted() (direct, relayed bool) {
	return dialer.hears(&dialer.paths.direct), dialer.hears(&dialer.paths.relayed) && !dialer.relaysLeaving.Load()
}

// SetRelaysLeaving sets whether a node that has opened connections for this one is stopping. These
// connections are then not used again, as with those that may be dead (see Trusted).
func (dialer *Dialer) SetRelaysLeaving(leaving bool) { dialer.relaysLeaving.Store(leaving) }

// Stopped reports whether connections to the address are refused, which proves that no process
// listens there. It implements shedkeel.ServerCheck. A refusal to this box alone proves nothing
// unless no other node can be asked and this box hears other servers.
func (dialer *Dialer) Stopped(ctx context.Context, address string) bool {
	conn, err := dialer.DialDirect(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if dialer.Relay == nil {
		return IsRefused(err)
	}
	conn, relayErr := dialer.Relay.DialContext(ctx, "tcp", address)
	if relayErr == nil {
		_ = conn.Close()
		return false
	}
	return IsRefused(relayErr) || IsRefused(err) && dialer.hears(&dialer.paths.direct)
}

// CutOff reports whether this box is cut off from servers that other nodes reach.
func (dialer *Dialer) CutOff() bool { return dialer.paths.cutOff(dialer.Timers.Now()) }

// NoPath reports whether neither this box nor other nodes for it reach any server.
func (dialer *Dialer) NoPath() bool { return dialer.paths.noPath(dialer.Timers.Now()) }

// HearsServers reports whether a server was heard just now over a direct connection.
func (dialer *Dialer) HearsServers() bool { return dialer.hears(&dialer.paths.direct) }

// hears reports whether a server was heard over a connection of the kind while this process ran for
// the last trustTime.
func (dialer *Dialer) hears(kind *hearing) bool {
	at := kind.time()
	return at != 0 && dialer.Delays.Running(at, dialer.Timers.Now()) < trustTime
}

// TrustedUntil returns until when open direct connections were trusted last (see Trusted).
func (dialer *Dialer) TrustedUntil() time.Duration { return dialer.paths.direct.time() + trustTime }

// Status describes which backend servers this box reaches.
type Status struct {
	Dials       map[Outcome]int64 // direct dials so far, by outcome
	RelayDials  map[Outcome]int64 // dials through other nodes so far, by outcome
	Unreachable int               // servers whose latest direct dial failed, within the last failureRetention
	CutOff      bool              // see Dialer.CutOff
	NoPath      bool              // see Dialer.NoPath
	// SinceHeard is the time since a server was last heard over a direct connection, by a
	// completed dial or by data; negative: never.
	SinceHeard time.Duration
}

// Status returns the present status.
func (dialer *Dialer) Status() Status {
	now := dialer.Timers.Now()
	status := Status{Dials: load(&dialer.counts), RelayDials: load(&dialer.relayCounts), Unreachable: dialer.paths.unreachable(now), CutOff: dialer.CutOff(), NoPath: dialer.NoPath(), SinceHeard: -1}
	if heard := dialer.paths.direct.time(); heard != 0 {
		status.SinceHeard = now - heard
	}
	return status
}

// load returns the counts by outcome.
func load(counts *[outcomeCount]atomic.Int64) map[Outcome]int64 {
	found := map[Outcome]int64{}
	for outcome := range outcomeCount {
		found[outcome] = counts[outcome].Load()
	}
	return found
}

// heardConn is a connection that records when the server is heard.
type heardConn struct {
	net.Conn
	timers  shedkeel.Timers
	hearing *hearing
	relayed bool
}

// Relayed reports whether the connection goes through another node.
func (conn *heardConn) Relayed() bool { return conn.relayed }

// Read reads from the connection.
func (conn *heardConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.hearing.record(conn.timers.Now())
	}
	return count, err
}
