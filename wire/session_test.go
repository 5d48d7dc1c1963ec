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

// echo answers an exchange with one node of the caller's.
type echo struct {
	slow chan struct{}
}

func (echo *echo) Handle(ctx context.Context, call *Call) *Reply {
	if echo.slow != nil {
		select {
		case <-echo.slow:
		case <-ctx.Done():
		}
	}
	return &Reply{Kind: &Reply_Exchange{Exchange: &ExchangeReply{Nodes: []*Node{call.GetExchange().GetSelf()}}}}
}

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

func ask(id string) *Call {
	return &Call{Kind: &Call_Exchange{Exchange: &ExchangeCall{Self: &Node{Id: id}}}}
}

// longPause is from how long a pause of the machine on a session may end
// because its keepalive, of two seconds, was not answered in time: each side
// has to run several times meanwhile.
const longPause = 300 * time.Millisecond

// pauses are how long the machine let the test wait for its turn.
type pauses struct {
	most  atomic.Int64
	stop  context.CancelFunc
	ended sync.WaitGroup
}

func watchPauses(ctx context.Context) *pauses {
	ctx, cancel := context.WithCancel(ctx)
	pauses := &pauses{}
	pauses.ended.Go(func() { pauses.run(ctx) })
	pauses.stop = func() {
		cancel()
		pauses.ended.Wait()
	}
	return pauses
}

func (pauses *pauses) run(ctx context.Context) {
	const turn = 10 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(turn)
		pauses.most.Store(max(pauses.most.Load(), int64(time.Since(began)-turn)))
	}
}

func (pauses *pauses) longest() time.Duration { return time.Duration(pauses.most.Load()) }

func TestCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	address, stop := serve(t, &echo{})
	peer := &Peer{Address: address, Key: "key"}
	watched := watchPauses(t.Context())
	var callers sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d"} {
		callers.Go(func() {
			for answered := 0; answered < 50; {
				reply, err := peer.Do(t.Context(), ask(id))
				if err != nil && watched.longest() > longPause {
					continue // the machine kept a session waiting for so long that it ended
				}
				if !assert.Check(t, err) {
					return
				}
				assert.Check(t, reply.GetExchange().GetNodes()[0].GetId() == id, "the answer of another call")
				answered++
			}
		})
	}
	callers.Wait()
	watched.stop()
	wrong := &Peer{Address: address, Key: "other"}
	_, err := wrong.Do(t.Context(), ask("a"))
	assert.ErrorContains(t, err, "wrong wire key")
	wrong.Close()
	peer.Close()
	stop()
	_, err = peer.Do(t.Context(), ask("a"))
	var unavailable *shedkeel.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "nothing listens, so nothing was handled: %v", err)
}

func TestCallOutOfTime(t *testing.T) {
	handler := &echo{slow: make(chan struct{})}
	address, stop := serve(t, handler)
	peer := &Peer{Address: address, Key: "key"}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := peer.Do(ctx, ask("a"))
	var unknown *shedkeel.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	close(handler.slow)
	reply, err := peer.Do(t.Context(), ask("b"))
	assert.NilError(t, err, "the session must still serve others")
	assert.Equal(t, reply.GetExchange().GetNodes()[0].GetId(), "b")
	peer.Close()
	stop()
}

// FuzzCall checks that no message makes the reader fail otherwise than by an
// error, and that what is read can be written again.
func FuzzCall(f *testing.F) {
	var good bytes.Buffer
	_, err := protodelim.MarshalTo(&good, ask("a"))
	assert.NilError(f, err)
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, message []byte) {
		call := &Call{}
		if read(bytes.NewReader(message), call) != nil {
			return
		}
		_, err := protodelim.MarshalTo(&bytes.Buffer{}, call)
		assert.NilError(t, err)
	})
}
