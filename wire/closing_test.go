package wire

import (
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// delayedErrorConn is a connection on which Read reports an error, such as that of a
// closed connection, only after a delay.
type delayedErrorConn struct {
	net.Conn
	delay time.Duration
}

// Read reads, and returns an error only after the delay.
func (delayedErrorConn *delayedErrorConn) Read(into []byte) (int, error) {
	count, err := delayedErrorConn.Conn.Read(into)
	if err != nil {
		time.Sleep(delayedErrorConn.delay)
	}
	return count, err
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestClosingWhileCallsWait closes a session while calls wait for their replies and the
// connection reports its closing late. Calls that spin until the session has ended use more
// than closeDelay of processor time, and on a single core without preemption the session
// would never end. The limit is a quarter of closeDelay, 100 ms.
func TestClosingWhileCallsWait(t *testing.T) {
	const closeDelay = 400 * time.Millisecond
	handler := &echo{release: make(chan struct{})}
	address, stop := serve(t, handler)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	link, err := newLink(&delayedErrorConn{Conn: conn, delay: closeDelay}, newClientSession)
	assert.NilError(t, err)
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			_, err := roundTrip(t.Context(), link, exchangeCall("a"))
			assert.Check(t, err != nil, "the handler sent no reply")
		})
	}
	time.Sleep(50 * time.Millisecond) // until the calls are in flight
	before := processorTime(t)
	began := time.Now()
	assert.NilError(t, link.Close())
	callers.Wait()
	took, work := time.Since(began), processorTime(t)-before
	t.Logf("closed in %s with %s of processor time", took, work)
	assert.Assert(t, took >= closeDelay, "the session ended in %s, too fast for a meaningful test", took)
	assert.Assert(t, work < closeDelay/4, "%s of processor time while the session closed", work)
	close(handler.release)
	stop()
}
