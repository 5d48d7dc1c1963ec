package reach

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/timer"
)

// fakeNetwork is a shedkeel.ServerDialer whose dials end as err says after a time, or earlier with
// their context. nil: they succeed.
type fakeNetwork struct {
	after time.Duration
	err   error
}

func (network fakeNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(network.after):
	}
	if network.err != nil {
		return nil, network.err
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// TestDelayedDialsProveNothing dials four servers while this process is delayed from a moment of each
// dial on. A time-out in that time, or a relay that is served first, must not make a server count
// as unreachable, this box as cut off, or all servers as out of reach; a refusal proves what it says.
func TestDelayedDialsProveNothing(t *testing.T) {
	const ms = time.Millisecond
	never, refused := fakeNetwork{after: time.Hour}, fakeNetwork{err: syscall.ECONNREFUSED}
	relayed := fakeNetwork{after: 5 * ms}
	cases := map[string]struct {
		direct, relay fakeNetwork
		onTime        time.Duration // from the start of each dial until the process is delayed
		unreachable   int
		cutOff        bool
		noPath        bool
	}{
		"no delay, nothing answers":       {never, never, time.Hour, 4, false, true},
		"no delay, only relays do":        {never, relayed, time.Hour, 4, true, false},
		"no delay, all is refused":        {refused, refused, time.Hour, 4, false, true},
		"delayed, nothing answers":        {never, never, 20 * ms, 0, false, false},
		"delayed, only relays do":         {never, relayed, 20 * ms, 0, false, false},
		"delayed, all is refused":         {refused, refused, 0, 4, false, true},
		"delayed for under a quarter":     {never, never, 200 * ms, 4, false, true},
		"delayed at once, relays refused": {never, refused, 0, 0, false, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				delays := &liveness.Delays{}
				dialer := &Dialer{Timers: &standin.Clock{}, Timeout: 250 * ms, Network: test.direct, Relay: test.relay, Delays: delays}
				for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
					began := time.Now()
					cancel := dialer.Timers.Subscribe(liveness.TickInterval, func(time.Duration) {
						if time.Since(began) <= test.onTime {
							delays.Tick(dialer.Timers.Now())
						}
					})
					delays.Tick(dialer.Timers.Now())
					if conn, err := dialer.DialContext(t.Context(), "tcp", address); err == nil {
						assert.NilError(t, conn.Close())
					}
					time.Sleep(time.Until(began.Add(dialer.Timeout + ms))) // the direct dial has ended too
					synctest.Wait()
					cancel()
					delays.Tick(dialer.Timers.Now())
				}
				status := dialer.Status()
				assert.Equal(t, status.Unreachable, test.unreachable)
				assert.Equal(t, status.CutOff, test.cutOff)
				assert.Equal(t, status.NoPath, test.noPath)
			})
		})
	}
}

// TestDelayedProcessTrustsConnections checks that connections are trusted while this process was
// delayed for most of the time since it heard a server, and no longer once it has run for trustTime.
func TestDelayedProcessTrustsConnections(t *testing.T) {
	timers, delays := &timer.Manual{}, &liveness.Delays{}
	timers.Advance(time.Minute)
	dialer := &Dialer{Timers: timers, Delays: delays}
	delays.Tick(timers.Now())
	dialer.paths.direct.record(timers.Now())
	timers.Advance(10 * trustTime)
	direct, relayed := dialer.Trusted()
	assert.Assert(t, direct && !relayed)
	delays.Tick(timers.Now())
	assert.Assert(t, dialer.HearsServers())
	cancel := timers.Subscribe(liveness.TickInterval, func(now time.Duration) { delays.Tick(now) })
	timers.Advance(trustTime)
	cancel()
	assert.Assert(t, !dialer.HearsServers())
}
