package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/wire"
)

// TestSlowGroupIsNoStall has a request of a node wait for its first event, while the node receives
// events of another group. A group that sends events to other nodes counts as stalled after 1.7 s, as
// late as callers allow; one that sends none, or of which the spreader does not tell, after the 860 ms
// that an idle group may take. The test allows the spreader 20 ms, as the node does, for each answer.
func TestSlowGroupIsNoStall(t *testing.T) {
	const own = "own"
	cases := map[string]struct {
		spreader string // node that spreads: "remote", "unresponsive" or own
		works    bool   // other nodes receive events of the group
		stalled  time.Duration
	}{
		"slow group":                        {"remote", true, 1700 * time.Millisecond},
		"slow group, the node spreads":      {own, true, 1700 * time.Millisecond},
		"dead group":                        {"remote", false, 860 * time.Millisecond},
		"dead group, the node spreads":      {own, false, 860 * time.Millisecond},
		"slow group, spreader is not heard": {"unresponsive", true, 860 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			groups := []dispatch.Server{{Service: "s", Model: "m", Instance: "slow"}, {Service: "s", Model: "m", Instance: "other"}}
			node, timers := newTestNode(t)
			node.Settings.Wire.Key = "k" // the key of serveWire
			node.table.Replace(groups)
			defer node.peers.close()
			spreader := node
			listener := listenHere(t)
			defer func() { _ = listener.Close() }()
			if test.spreader == "remote" {
				spreader, _ = newTestNode(t)
				spreader.table.Replace(groups)
				defer serveWire(t, listener, &spreader.peers)()
			}
			if test.spreader != own { // the third node spreads
				node.Settings.Node = "a"
				node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: listener.Addr().String()}})
			}
			choose := func(other shedkeel.InstanceID) *dispatch.Choice {
				return node.table.Choose(dispatch.Query{Service: "s", Model: "m", Exclude: []shedkeel.InstanceID{other}, Now: timers.Now()})
			}
			slow, other := choose("other"), choose("slow")
			if test.spreader == "remote" { // opens the connection
				_, known := node.peers.recommendGroup(t.Context(), dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}, dispatch.Load{})
				assert.Assert(t, known)
			}
			report := &wire.SpreadCall{Node: "elsewhere", Service: "s", Model: "m", Groups: []*wire.GroupLoad{{Instance: "slow", Running: 1}}}
			if test.works {
				report.Groups[0].IdleMs = 31 // 30 ms ago
			}
			began := timers.Now()
			for notified := false; !notified; {
				timers.Advance(silenceTick)
				spreader.peers.Handle(t.Context(), &wire.Call{Kind: &wire.Call_Spread{Spread: report}})
				other.RecordResponse(timers.Now())
				node.reportSilentServers(timers.Now())
				time.Sleep(spreadTimeout / 2) // for the answer, which must arrive within the next tick
				select {
				case <-slow.Stalled:
					notified = true
				default:
				}
			}
			assert.Equal(t, timers.Now()-began, test.stalled)
		})
	}
}

// TestReportsTellOfEvents checks that a node's report tells the spreader over the network when the
// node received the last event of a group, and that the spreader's answers tell it by its own clock.
func TestReportsTellOfEvents(t *testing.T) {
	listener := listenHere(t)
	spreader, spreaderTimers := newTestNode(t)
	spreader.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i"}, {Service: "s", Model: "m", Instance: "unheard"}})
	defer serveWire(t, listener, &spreader.peers)()
	node, timers := newTestNode(t)
	node.Settings.Wire.Key = "k" // the key of serveWire
	node.Settings.Node = "a"
	node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: listener.Addr().String()}})
	defer node.peers.close()
	load := dispatch.Load{Groups: map[shedkeel.InstanceID]int{"i": 1, "unheard": 1}, Heard: map[shedkeel.InstanceID]time.Duration{"i": timers.Now() - 70*time.Millisecond}}
	_, known := node.peers.recommendGroup(t.Context(), dispatch.Query{Service: "s", Model: "m", Now: timers.Now()}, load)
	assert.Assert(t, known)
	spreaderTimers.Advance(time.Second)
	reply := spreader.peers.Handle(t.Context(), &wire.Call{Kind: &wire.Call_Activity{Activity: &wire.ActivityCall{Service: "s", Model: "m", Instances: []string{"i", "unheard", "unknown"}}}})
	assert.DeepEqual(t, reply.GetActivity().GetAgeMs(), []uint32{1071, 0, 0})
}
