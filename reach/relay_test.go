package reach

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/timer"
)

// fakeRelay is another node, which dials over a network of its own.
type fakeRelay struct {
	standin.Link
	asked atomic.Int64
}

func (relay *fakeRelay) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	relay.asked.Add(1)
	return relay.Link.DialContext(ctx, network, address)
}

// newRelayedDialer returns a dialer with its link, the node that it relays through and its clock.
func newRelayedDialer() (*Dialer, *standin.Link, *fakeRelay, *timer.Manual) {
	timers := &timer.Manual{}
	timers.Advance(time.Minute)
	link, relay := &standin.Link{}, &fakeRelay{}
	return &Dialer{Timers: timers, Timeout: 250 * time.Millisecond, Network: link, Relay: relay}, link, relay, timers
}

// dialOnce dials, closes the connection and returns how long the dial took.
func dialOnce(t *testing.T, dialer *Dialer, address string) (time.Duration, error) {
	t.Helper()
	began := time.Now()
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err == nil {
		assert.NilError(t, conn.Close())
	}
	return time.Since(began), err
}

// eventually waits for a condition that an outcome in the background brings about.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("condition did not hold: " + what)
}

// TestDialsGoThroughRelayWhenCutOff checks that a box that is cut off dials through another node,
// with a delay only before it knows, and dials directly again once it is connected.
func TestDialsGoThroughRelayWhenCutOff(t *testing.T) {
	tests := map[string]standin.Cut{"dropped": {Drop: true}, "refused": {Refuse: true}}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			dialer, link, relay, timers := newRelayedDialer()
			first, second := listenHere(t).Addr().String(), listenHere(t).Addr().String()
			_, err := dialOnce(t, dialer, first)
			assert.NilError(t, err)
			assert.Equal(t, relay.asked.Load(), int64(0), "no relay is asked while the direct path works")
			link.SetCut(cut)
			timers.Advance(time.Second)
			took, err := dialOnce(t, dialer, first)
			assert.NilError(t, err)
			assert.Assert(t, took < 2*relayDelay, "the first dial took %s", took)
			eventually(t, "the box is known to be cut off", dialer.CutOff)
			assert.Assert(t, dialer.Relayed(second), "servers that were not dialed yet are reached through the relay too")
			direct, relayed := dialer.Trusted()
			assert.Assert(t, !direct && relayed, "only the relay's connections are trusted")
			took, err = dialOnce(t, dialer, second)
			assert.NilError(t, err)
			assert.Assert(t, took < relayDelay, "a later dial took %s", took)

			link.SetCut(standin.Cut{})
			timers.Advance(time.Second)
			_, err = dialOnce(t, dialer, second)
			assert.NilError(t, err)
			eventually(t, "the box is connected again", func() bool { return !dialer.CutOff() })
		})
	}
}

// TestDeadServerIsNoCut checks that a server that nobody reaches does not make the box count as cut
// off, and that relays are not asked for it again at once.
func TestDeadServerIsNoCut(t *testing.T) {
	dialer, link, relay, timers := newRelayedDialer()
	up, dead := listenHere(t).Addr().String(), "127.0.0.1:1"
	cut := standin.Cut{Drop: true, Addresses: []string{dead}}
	link.SetCut(cut)
	relay.SetCut(cut)
	for range 5 {
		_, err := dialOnce(t, dialer, dead)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	}
	assert.Equal(t, relay.asked.Load(), int64(1))
	timers.Advance(relayRetryDelay)
	_, err := dialOnce(t, dialer, dead)
	assert.Assert(t, err != nil)
	assert.Equal(t, relay.asked.Load(), int64(2))
	assert.Assert(t, !dialer.CutOff() && !dialer.NoPath())
	_, err = dialOnce(t, dialer, up)
	assert.NilError(t, err)
}

// TestNoPathFailsPromptly checks that dials fail promptly with a NoPathError once no server was
// reached in any way, and that one server that is reached ends this.
func TestNoPathFailsPromptly(t *testing.T) {
	dialer, link, relay, timers := newRelayedDialer()
	cut := standin.Cut{Drop: true}
	link.SetCut(cut)
	relay.SetCut(cut)
	for range noPathServers {
		_, err := dialOnce(t, dialer, listenHere(t).Addr().String())
		var noPath *shedkeel.NoPathError
		assert.Assert(t, !errors.As(err, &noPath), "too few servers were tried to know")
	}
	address := listenHere(t).Addr().String()
	took, err := dialOnce(t, dialer, address)
	var noPath *shedkeel.NoPathError
	assert.Assert(t, errors.As(err, &noPath), "%v", err)
	assert.Assert(t, took < dialer.Timeout/2, "the dial took %s", took)
	relay.SetCut(standin.Cut{})
	timers.Advance(relayRetryDelay)
	_, err = dialOnce(t, dialer, address)
	assert.NilError(t, err)
	assert.Assert(t, !dialer.NoPath())
}

// TestHeardServerProvesAPath checks that this box counts as without a path to any server only while
// it hears none over its open connections either. Three servers that are down are no lack of paths.
func TestHeardServerProvesAPath(t *testing.T) {
	for _, hears := range []bool{false, true} {
		dialer, link, relay, timers := newRelayedDialer()
		listener := listenHere(t)
		open, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		server, err := listener.Accept()
		assert.NilError(t, err)
		down := standin.Cut{Refuse: true, Addresses: []string{"a:1", "b:1", "c:1", "d:1"}}
		link.SetCut(down)
		relay.SetCut(down)
		for _, address := range down.Addresses {
			timers.Advance(time.Millisecond)
			_, err := dialOnce(t, dialer, address)
			assert.Assert(t, err != nil)
			if hears {
				timers.Advance(time.Millisecond)
				_, err = server.Write([]byte("x"))
				assert.NilError(t, err)
				_, err = open.Read(make([]byte, 1))
				assert.NilError(t, err)
			}
		}
		assert.Equal(t, dialer.NoPath(), !hears)
		assert.NilError(t, open.Close())
		assert.NilError(t, server.Close())
	}
}

// TestRefusalToCutOffBoxProvesNothing checks when a server counts as stopped.
func TestRefusalToCutOffBoxProvesNothing(t *testing.T) {
	refuse, drop := standin.Cut{Refuse: true}, standin.Cut{Drop: true}
	tests := map[string]struct {
		own, relay standin.Cut
		hears      bool
		want       bool
	}{
		"refused to this box only":                     {refuse, standin.Cut{}, false, false},
		"refused to both":                              {refuse, refuse, false, true},
		"refused to another node, dropped here":        {drop, refuse, false, true},
		"refused here, no other node can tell":         {refuse, drop, false, false},
		"the same, but this box hears another server":  {refuse, drop, true, true},
		"dropped everywhere, though others are heard":  {drop, drop, true, false},
		"accepted here, whatever other nodes may find": {standin.Cut{}, refuse, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dialer, link, relay, _ := newRelayedDialer()
			if test.hears {
				_, err := dialOnce(t, dialer, listenHere(t).Addr().String())
				assert.NilError(t, err)
			}
			link.SetCut(test.own)
			relay.SetCut(test.relay)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			assert.Equal(t, dialer.Stopped(ctx, listenHere(t).Addr().String()), test.want)
		})
	}
}

// TestOutcomes checks how errors of dials are classified.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Outcome
	}{
		"none":      {nil, Connected},
		"refused":   {&net.OpError{Err: syscall.ECONNREFUSED}, Refused},
		"reset":     {&net.OpError{Err: syscall.ECONNRESET}, Refused},
		"timed out": {context.DeadlineExceeded, TimedOut},
		"other":     {syscall.EMFILE, Failed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, outcomeOf(test.err), test.want) })
	}
}
