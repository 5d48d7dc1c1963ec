package reach

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/timer"
)

// listenHere returns a listener on loopback that accepts and keeps all connections.
func listenHere(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestStatusTellsServersApart checks that the status counts dials by outcome and names how many
// servers were not reached.
func TestStatusTellsServersApart(t *testing.T) {
	timers := &timer.Manual{}
	timers.Advance(time.Minute)
	dialer := &Dialer{Timers: timers}
	assert.Equal(t, dialer.Status().SinceHeard, time.Duration(-1))
	up, down := listenHere(t), listenHere(t)
	assert.NilError(t, down.Close())
	for _, address := range []string{up.Addr().String(), down.Addr().String()} {
		if conn, err := dialer.DialContext(context.Background(), "tcp", address); err == nil {
			assert.NilError(t, conn.Close())
		}
	}
	timers.Advance(time.Second)
	status := dialer.Status()
	assert.Equal(t, status.Dials[Connected], int64(1))
	assert.Equal(t, status.Dials[Refused], int64(1))
	assert.Equal(t, status.Unreachable, 1)
	assert.Equal(t, status.SinceHeard, time.Second)
	timers.Advance(failureRetention)
	assert.Equal(t, dialer.Status().Unreachable, 0)
}
