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

// helpers is how many nodes in the first places have other work: to plan, and
// to follow the store. They spread requests only if no other does.
const helpers = 2

// failure is when something was last found to fail. The zero value is never.
type failure struct{ at atomic.Int64 }

func (failure *failure) note(now time.Duration) { failure.at.Store(int64(now)) }

// within reports whether it failed within the time before now.
func (failure *failure) within(span, now time.Duration) bool {
	at := time.Duration(failure.at.Load())
	return at != 0 && now-at < span
}

// spread returns what the node that spreads the requests of all says of one,
// or false when it says nothing. This node has so many others running on the
// model's groups.
func (peers *peers) spread(ctx context.Context, query dispatch.Query, load dispatch.Load) (dispatch.Advice, bool) {
	query.Parts = peers.node.table.Parts(query.Service, query.Model)
	if query.Parts > 1 {
		query.Part = peers.pick(query.Parts)
	}
	peer, own := peers.spreader(query.Part, query.Now)
	settings := &peers.node.Settings
	if own {
		return peers.node.table.Spread(query, dispatch.Reporter{Process: string(settings.Node), Zone: settings.Zone, Running: load.Running, Groups: load.Groups}), true
	}
	if peer == nil {
		return dispatch.Advice{}, false
	}
	asking, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	call := &wire.SpreadCall{
		Node: string(settings.Node), Zone: string(settings.Zone), Service: string(query.Service), Model: string(query.Model), Prompt: uint32(max(query.Prompt, 0)), Answer: uint32(max(query.Answer, 0)),
		Running: &wire.Running{OnTime: uint32(load.OnTime), Late: uint32(load.Late)},
		Part:    uint32(query.Part), Parts: uint32(query.Parts),
	}
	for head, running := range load.Groups {
		call.Groups = append(call.Groups, &wire.GroupLoad{Instance: string(head), Running: uint32(running)})
	}
	reply, err := peer.asked.Do(asking, &wire.Call{Kind: &wire.Call_Spread{Spread: call}})
	answer := reply.GetSpread()
	if err != nil || answer == nil {
		if ctx.Err() == nil {
			peer.mute.note(peers.node.Timers.Now())
		}
		return dispatch.Advice{}, false
	}
	return dispatch.Advice{Head: shedkeel.InstanceID(answer.GetInstance()), Running: runningOf(answer.GetRunning())}, true
}

func runningOf(running *wire.Running) dispatch.Running {
	return dispatch.Running{OnTime: int(running.GetOnTime()), Late: int(running.GetLate())}
}

// pick returns a part of groups at random.
func (peers *peers) pick(parts int) int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return int(peers.random.Uint64() % uint64(parts))
}

// spreader returns the node to ask for a part of a model's groups, or whether
// it is this one: each part has a node of its own, as far as there are enough.
func (peers *peers) spreader(part int, now time.Duration) (asked *peer, own bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, _, _ := peers.withOwn()
	places := []int{helpers - 1, helpers - 2}
	if rest := len(nodes) - helpers; rest > 0 {
		places = append([]int{helpers + part%rest}, places...)
	}
	for _, place := range places {
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
		Service: shedkeel.ServiceID(call.GetService()), Model: shedkeel.ModelID(call.GetModel()), Prompt: int(call.GetPrompt()), Answer: int(call.GetAnswer()), Now: peers.node.Timers.Now(),
		Part: int(call.GetPart()), Parts: int(call.GetParts()),
	}
	reporter := dispatch.Reporter{Process: call.GetNode(), Zone: shedkeel.ZoneID(call.GetZone()), Running: runningOf(call.GetRunning()), Groups: map[shedkeel.InstanceID]int{}}
	for _, group := range call.GetGroups() {
		reporter.Groups[shedkeel.InstanceID(group.GetInstance())] = int(group.GetRunning())
	}
	advice := peers.node.table.Spread(query, reporter)
	return &wire.Reply{Kind: &wire.Reply_Spread{Spread: &wire.SpreadReply{
		Instance: string(advice.Head), Running: &wire.Running{OnTime: uint32(advice.Running.OnTime), Late: uint32(advice.Running.Late)},
	}}}
}
