package wire

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/quota"
)

// longReplies answers each call with a long message once all calls have come.
type longReplies struct{ calls *sync.WaitGroup }

func (handler longReplies) Handle(context.Context, *Call) *Reply {
	handler.calls.Done()
	handler.calls.Wait()
	return &Reply{Kind: &Reply_Spread{Spread: &SpreadReply{Instance: strings.Repeat("x", 1<<20)}}}
}

// TestLongMessagesHaveNoRoom guards against a process that holds the largest messages of many others at once. Short ones get through
// meanwhile, and the room is free again afterwards.
func TestLongMessagesHaveNoRoom(t *testing.T) {
	const calls = 16
	var arrived sync.WaitGroup
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Key: "k", Handler: longReplies{&arrived}, Room: &quota.Room{Limit: 3 << 20}}
	go func() { _ = server.Run(listener) }()
	defer func() { _ = listener.Close() }()
	peer := &Peer{Address: listener.Addr().String(), Key: "k", Room: &quota.Room{Limit: 3 << 20}}
	defer peer.Close()
	long := &Call{Kind: &Call_Notice{Notice: &NoticeCall{Node: strings.Repeat("x", 2<<20)}}}
	_, err = peer.Do(t.Context(), long)
	assert.ErrorContains(t, err, "no room", "a call that needs more than the room")
	arrived.Add(calls)
	var running sync.WaitGroup
	errs := make([]error, calls)
	for index := range calls {
		running.Go(func() {
			_, errs[index] = peer.Do(t.Context(), &Call{Kind: &Call_Notice{Notice: &NoticeCall{Node: "n"}}})
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			assert.ErrorContains(t, err, "no room")
		}
	}
	assert.Assert(t, peer.Room.Reserve(3<<20) && server.Room.Reserve(3<<20), "room was not returned")
}
