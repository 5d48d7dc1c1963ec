package node

import (
	"context"
	"log/slog"
	"math"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

// askActivity asks about the silent groups of this node that would soon count as stalled. Each
// spreader of a model knows when any node last received events of them, from the reports in
// SpreadCalls. The partition is drawn at random, so that no node answers for the whole model.
func (peers *peers) askActivity(now time.Duration) {
	table := &peers.node.table
	for _, inquiry := range table.Inquiries(now) {
		partition := peers.randomPartition(max(table.Partitions(inquiry.Service, inquiry.Model), 1))
		spreader, own := peers.spreader(partition, now)
		switch {
		case own:
			table.RecordActivity(inquiry, table.Activity(inquiry))
		case spreader != nil:
			go spreader.runAskActivity(inquiry, now)
		}
	}
}

// runAskActivity asks the peer and records its answer. Without an answer within spreadTimeout,
// the groups count as stalled as if nobody had been asked.
func (peer *peer) runAskActivity(inquiry *dispatch.Inquiry, now time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	call := &wire.ActivityCall{Service: string(inquiry.Service), Model: string(inquiry.Model)}
	for _, instance := range inquiry.Instances {
		call.Instances = append(call.Instances, string(instance))
	}
	reply, err := peer.priorityWire.Do(ctx, &wire.Call{Kind: &wire.Call_Activity{Activity: call}})
	if err != nil {
		peer.node.Log.Write(event.ActivityUnknown, slog.String("from", string(peer.id)), slog.Int("groups", len(inquiry.Instances)), slog.String("error", err.Error()))
		return
	}
	var latest []time.Duration
	for _, age := range reply.GetActivity().GetAgeMs() {
		// Ages count from the time of the call: a delayed answer must not make events seem newer.
		latest = append(latest, parseAge(age, now))
	}
	peer.node.table.RecordActivity(inquiry, latest)
}

// handleActivity answers when any node last received events of a model's groups.
func (peers *peers) handleActivity(call *wire.ActivityCall) *wire.Reply {
	inquiry := &dispatch.Inquiry{Service: shedkeel.ServiceID(call.GetService()), Model: shedkeel.ModelID(call.GetModel())}
	for _, instance := range call.GetInstances() {
		inquiry.Instances = append(inquiry.Instances, shedkeel.InstanceID(instance))
	}
	answer := &wire.ActivityReply{}
	for _, at := range peers.node.table.Activity(inquiry) {
		answer.AgeMs = append(answer.AgeMs, formatAge(at, peers.node.Timers.Now()))
	}
	return &wire.Reply{Kind: &wire.Reply_Activity{Activity: answer}}
}

// formatAge returns the wire form of the time since at: milliseconds plus 1, or 0 if at is 0, that
// is, not known.
func formatAge(at, now time.Duration) uint32 {
	if at == 0 {
		return 0
	}
	return uint32(min(max(now-at, 0).Milliseconds()+1, math.MaxUint32))
}

// parseAge returns the time before now that formatAge has encoded, or 0 if it is not known or
// before the start of this node's clock.
func parseAge(age uint32, now time.Duration) time.Duration {
	if age == 0 {
		return 0
	}
	return max(now-time.Duration(age-1)*time.Millisecond, 0)
}
