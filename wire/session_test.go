package wire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// echo answers an exchange with the caller's own node.
type echo struct {
	release chan struct{}
}

// Handle answers at once if release is nil. Otherwise it waits until release is closed or
// the session ends.
func (echo *echo) Handle(ctx context.Context, call *Call) *Reply {
	if echo.release != nil {
		select {
		case <-echo.release:
		case <-ctx.Done():
		}
	}
	return &Reply{Kind: &Reply_Exchange{Exchange: &ExchangeReply{Nodes: []*Node{call.GetExchange().GetSelf()}}}}
}

// serve starts a server on loopback. The returned function stops it.
func serve(t *testing.T, handler Handler) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Key: "key", Handler: handler}
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, server.Run(listener)) })
	return listener.Addr().String(), func() {
		_ = listener.Close()
		running.Wait()
	}
}

// exchangeCall returns an exchange call of the node.
func exchangeCall(id string) *Call {
	return &Call{Kind: &Call_Exchange{Exchange: &ExchangeCall{Self: &Node{Id: id}}}}
}

// longPause is the length above which a scheduling pause of the machine may end a session.
// Both sides must be scheduled several times for one keepalive, so pauses of this length
// can add up to the keepalive's timeout of 2 s.
const longPause = 300 * time.Millisecond

// pauseMonitor measures the longest time for which the machine did not schedule the
// test.
type pauseMonitor struct {
	longestPause atomic.Int64
	stop         context.CancelFunc
	ended        sync.WaitGroup
}

// watchPauses starts a pauseMonitor, which its stop function ends.
func watchPauses(ctx context.Context) *pauseMonitor {
	ctx, cancel := context.WithCancel(ctx)
	pauseMonitor := &pauseMonitor{}
	pauseMonitor.ended.Go(func() { pauseMonitor.run(ctx) })
	pauseMonitor.stop = func() {
		cancel()
		pauseMonitor.ended.Wait()
	}
	return pauseMonitor
}

func (pauseMonitor *pauseMonitor) run(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(interval)
		pauseMonitor.longestPause.Store(max(pauseMonitor.longestPause.Load(), int64(time.Since(began)-interval)))
	}
}

// longest returns the longest pause so far.
func (pauseMonitor *pauseMonitor) longest() time.Duration {
	return time.Duration(pauseMonitor.longestPause.Load())
}

// TestCalls checks concurrent calls of one Peer, a wrong key and a stopped server. It
// ignores failed calls once the machine has paused for more than longPause.
func TestCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	address, stop := serve(t, &echo{})
	peer := &Peer{Address: address, Key: "key"}
	monitor := watchPauses(t.Context())
	var callers sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d"} {
		callers.Go(func() {
			for answered := 0; answered < 50; {
				reply, err := peer.Do(t.Context(), exchangeCall(id))
				if err != nil && monitor.longest() > longPause {
					continue // the pause may have ended the session
				}
				if !assert.Check(t, err) {
					return
				}
				assert.Check(t, reply.GetExchange().GetNodes()[0].GetId() == id, "reply belongs to another call")
				answered++
			}
		})
	}
	callers.Wait()
	monitor.stop()
	wrong := &Peer{Address: address, Key: "other"}
	_, err := wrong.Do(t.Context(), exchangeCall("a"))
	assert.ErrorContains(t, err, "wrong wire key")
	wrong.Close()
	peer.Close()
	stop()
	_, err = peer.Do(t.Context(), exchangeCall("a"))
	var unavailable *shedkeel.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "without a listener the call is not handled: %v", err)
}

// TestCallOutOfTime checks that a call whose context ends leaves the session open.
func TestCallOutOfTime(t *testing.T) {
	handler := &echo{release: make(chan struct{})}
	address, stop := serve(t, handler)
	peer := &Peer{Address: address, Key: "key"}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := peer.Do(ctx, exchangeCall("a"))
	var unknown *shedkeel.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	close(handler.release)
	reply, err := peer.Do(t.Context(), exchangeCall("b"))
	assert.NilError(t, err, "the session must still serve other calls")
	assert.Equal(t, reply.GetExchange().GetNodes()[0].GetId(), "b")
	peer.Close()
	stop()
}

// FuzzCall checks that readMessage, given any input, returns an error or a call that can
// be encoded again.
func FuzzCall(f *testing.F) {
	var good bytes.Buffer
	_, err := protodelim.MarshalTo(&good, exchangeCall("a"))
	assert.NilError(f, err)
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, message []byte) {
		call := &Call{}
		if _, err := readMessage(bytes.NewReader(message), call, nil); err != nil {
			return
		}
		_, err := protodelim.MarshalTo(&bytes.Buffer{}, call)
		assert.NilError(t, err)
	})
}
