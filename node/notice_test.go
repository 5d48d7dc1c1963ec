package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

// TestSuspicionDoesNotAvoidGroup checks that a group which another node suspects is scheduled
// for probes and still gets requests. Only a loss that the leader reports keeps requests from a
// group.
func TestSuspicionDoesNotAvoidGroup(t *testing.T) {
	cases := map[string]struct {
		avoid     time.Duration // for how long the notice asks to avoid the group
		avoided   bool          // the group gets no requests
		suspected bool          // the group's members will be probed
	}{
		"suspected by another node":     {0, false, true},
		"lost, according to the leader": {time.Second, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			group := shedkeel.Assignment{Group: "m/d/1", Epoch: 3}
			node.table.Replace([]dispatch.Server{{Service: "llm", Model: "m", Instance: "i", Group: group}})

			notice := &wire.NoticeCall{Node: "other", Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(test.avoid.Milliseconds())}
			node.peers.handleNotice(notice)
			chosen := node.table.Choose(dispatch.Query{Service: "llm", Model: "m", Now: timers.Now()})
			assert.Equal(t, chosen == nil, test.avoided)
			assert.Equal(t, len(node.controller.suspects) == 1, test.suspected)
		})
	}
}

// TestDrainIsReportedToLeader has a head tell a node in an answer that it drains, while the
// head's record does not say so. The node must report the draining to the leader, which must
// count the head as draining and send it no more requests.
func TestDrainIsReportedToLeader(t *testing.T) {
	leader, apply := newGroupNode(t)
	apply(0)
	leader.Settings.Wire.Key = "k" // the key of serveWire
	listener := listenHere(t)
	defer serveWire(t, listener, &leader.peers)()
	node, timers := newTestNode(t)
	node.Settings.Wire.Key = "k"
	node.peers.update([]nodeRecord{{ID: "planner", Control: listener.Addr().String()}})
	defer node.peers.close()
	lead, err := json.Marshal(leadRecord{Node: "planner"})
	assert.NilError(t, err)
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: leaderKey, Value: lead, Revision: shedkeel.Revision{Number: 2}}}})
	head := leader.fleet.groupServices()["s"][0] // the head of the group comes first in the order of IDs
	assert.Assert(t, !head.Draining)
	node.handler.OnDraining(head.ID)
	// Wait until the leader has processed the notice, for at most 5 s.
	for end := time.Now().Add(5 * time.Second); !leader.table.Draining()[head.ID] && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, leader.fleet.groupServices()["s"][0].Draining)
	assert.Equal(t, leader.usableGroups(), 0)
}
