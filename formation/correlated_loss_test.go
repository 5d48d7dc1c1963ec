package formation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestServersLostTogether kills two members of a group, both of rank 2 or higher, at the same
// moment, as a fault of their domain does. The probe of the second member fails 50 ms after that
// of the first. Between these results, the planner must not form the group again with the second
// member, which would never answer the order to join.
func TestServersLostTogether(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 2, 16) // seed 3; two domains of 16 servers
	planner := plannerOfTerm(1)
	fleet.run(planner, time.Minute, beforeTraffic)
	before := fleet.serving()
	var lost []shedkeel.InstanceID
	for _, server := range fleet.listed() {
		member := server.Member
		if len(lost) < 2 && server.Domain == "d0" && member != nil && ModelOf(member.Group) == "large" && member.Rank > 1 {
			lost = append(lost, server.ID)
		}
	}
	for _, id := range lost {
		fleet.servers[id].diedAt = fleet.now
	}
	input := Input{
		Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true,
		Dead: map[shedkeel.InstanceID]bool{lost[0]: true}, ProbePending: map[shedkeel.InstanceID]bool{lost[0]: true, lost[1]: true},
	}
	for _, action := range planner.Plan(input) {
		assert.Assert(t, action.Order.Kind != shedkeel.OrderJoin, "%v", action.Order)
	}
	fleet.tick()
	input.Now = fleet.now
	input.Dead[lost[1]] = true
	actions := planner.Plan(input)
	assert.Equal(t, len(actions), 1, "%v", actions)
	assert.Assert(t, !slices.Contains(actions[0].Order.Members, lost[1]))
	fleet.deliver(planner, actions)
	fleet.run(planner, 2*time.Second, underTraffic)
	assert.DeepEqual(t, fleet.serving(), before)
	assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
}

// TestRepairWaitsForProbesOfSubstitutes has a group lose a member while the free servers of
// its domain are being probed too. The planner must wait for the results, then form the group
// with a live server. A planner that does not wait may form the group with a lost server, which
// takes 0.9 s longer, or release the group for lack of a substitute.
func TestRepairWaitsForProbesOfSubstitutes(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 2, 16) // seed 3; two domains of 16 servers
	planner := plannerOfTerm(1)
	fleet.run(planner, time.Minute, beforeTraffic)
	probed, dead := map[shedkeel.InstanceID]bool{}, map[shedkeel.InstanceID]bool{}
	var free []shedkeel.InstanceID
	for _, server := range fleet.listed() {
		switch {
		case server.Domain != "d0":
		case IsFree(&server):
			free = append(free, server.ID)
			probed[server.ID] = true
		case len(dead) == 0 && server.Member.Rank > 0:
			dead[server.ID] = true
			fleet.servers[server.ID].diedAt = fleet.now
		}
	}
	assert.Assert(t, len(free) >= 2, "%v", free)
	input := Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true, Dead: dead, ProbePending: probed}
	for _, action := range planner.Plan(input) {
		assert.Assert(t, action.Order.Kind != shedkeel.OrderJoin && action.Order.Kind != shedkeel.OrderLeave, "%v", action.Order)
	}
	fleet.tick()
	for _, id := range free[1:] {
		dead[id] = true
	}
	delete(probed, free[0]) // this server has answered
	input.Now, input.Instances = fleet.now, fleet.instances()
	actions := planner.Plan(input)
	assert.Equal(t, len(actions), 1, "%v", actions)
	assert.Assert(t, slices.Contains(actions[0].Order.Members, free[0]), "%v", actions[0].Order)
}
