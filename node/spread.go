package node

import (
	"context"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/wire"
)

const (
	// spreadTimeout is how long a request waits for the word of the node that
	// spreads all: a link there and back takes 2 to 4 ms. Without it, the
	// request goes where this node alone would send it.
	spreadTimeout = 20 * time.Millisecond
	// spreadPause is how long a node is not asked again that gave no answer, so
	// that few requests wait in vain.
	spreadPause = time.Second
)

// spreaders are the places of the nodes that spread the requests of all, the
// first that answers: those in the first two places plan and follow the store.
var spreaders = [...]int{2, 1, 0}

// failure is when something was last found to fail. The zero value is never.
type failure struct{ at atomic.Int64 }

func (failure *failure) note(now time.Duration) { failure.at.Store(int64(now)) }

// within reports whether it failed within the time before now.
func (failure *failure) within(span, now time.Duration) bool {
	at := time.Duration(failure.at.Load())
	return at != 0 && now-at < span
}

// spread returns the head of the group to which a request is best sent, by
// what all nodes send, or "" when nothing is known.
func (peers *peers) spread(ctx context.Context, query dispatch.Query) shedkeel.InstanceID {
	peer, own := peers.spreader(query.Now)
	if own {
		return peers.node.table.Spread(query, peers.node.Settings.Zone)
	}
	if peer == nil {
		return ""
	}
	asking, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	call := &wire.SpreadCall{Service: string(query.Service), Model: string(query.Model), Zone: string(peers.node.Settings.Zone), Prompt: uint32(max(query.Prompt, 0))}
	reply, err := peer.asked.Do(asking, &wire.Call{Kind: &wire.Call_Spread{Spread: call}})
	if err != nil && ctx.Err() == nil {
		peer.mute.note(peers.node.Timers.Now())
	}
	return shedkeel.InstanceID(reply.GetSpread().GetInstance())
}

// spreader returns the node to ask, or whether it is this one.
func (peers *peers) spreader(now time.Duration) (asked *peer, own bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes := peers.withOwn()
	for _, place := range spreaders {
		if place >= len(nodes) {
			continue
		}
		if nodes[place].ID == peers.node.Settings.Node {
			return nil, true
		}
		if peer := peers.known[nodes[place].ID]; !peer.mute.within(spreadPause, now) {
			return peer, false
		}
	}
	return nil, false
}

// takeSpread answers another node's question.
func (peers *peers) takeSpread(call *wire.SpreadCall) *wire.Reply {
	query := dispatch.Query{
		Service: shedkeel.ServiceID(call.GetService()), Model: shedkeel.ModelID(call.GetModel()), Prompt: int(call.GetPrompt()), Now: peers.node.Timers.Now(),
	}
	head := peers.node.table.Spread(query, shedkeel.ZoneID(call.GetZone()))
	return &wire.Reply{Kind: &wire.Reply_Spread{Spread: &wire.SpreadReply{Instance: string(head)}}}
}
