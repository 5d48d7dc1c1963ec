package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestMemberLostWhileJoining loses a member while its group is being formed. No caller sends a request
// to that group, so nobody but the planner can ask whether its members live: the formation must become
// doubtful after the time that a join without a load takes, once per doubtInterval.
func TestMemberLostWhileJoining(t *testing.T) {
	fleet := newFakeFleet(3, 1, 8) // seed 3; one domain of eight servers
	planner := plannerOfTerm(1)
	fleet.run(planner, 30*time.Second, beforeTraffic)
	var head, member *fakeServer
	for _, server := range fleet.servers {
		if server.Member != nil && ModelOf(server.Member.Group) == "large" {
			switch server.Member.Rank {
			case 0:
				head = server
			case 3:
				member = server
			}
		}
	}
	planner.forming[head.Member.Group] = &formingGroup{
		epoch: head.Member.Epoch, model: "large", members: head.members, began: fleet.now, headConfirmed: true, confirmed: map[shedkeel.InstanceID]bool{},
	}
	group := head.Member.Assignment()
	member.Member.State, member.readyAt = shedkeel.MemberJoining, time.Hour
	plan := func() []shedkeel.Assignment {
		planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true})
		return planner.Doubtful()
	}
	assert.Equal(t, len(plan()), 0, "it may still be joining")
	fleet.now += fleet.engine.Models[0].Warmup + fleet.engine.FormTime + listDelay
	assert.DeepEqual(t, plan(), []shedkeel.Assignment{group})
	assert.Equal(t, len(plan()), 0, "its members are being probed")
	fleet.now += doubtInterval
	assert.DeepEqual(t, plan(), []shedkeel.Assignment{group})
}
