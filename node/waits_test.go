package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// TestWaitsAreExplainedAndLogged makes a planner wait for the unreachable head of a group whose
// other member is listed. The wait must be among the waits of the group, and must be logged
// only when the wait has lasted longer than its bound of 20 s (formation.headTimeout). A node that
// does not lead must report no waits.
func TestWaitsAreExplainedAndLogged(t *testing.T) {
	node, timers, planner, lines := newTestLeader(t)
	controller := &node.controller
	member := shedkeel.Instance{ID: "b", Domain: "d", Member: &shedkeel.Membership{Group: "m/d/1", Epoch: 7, Rank: 1, State: shedkeel.MemberReady}}
	engine := &shedkeel.Engine{Models: []shedkeel.Model{{ID: "m", Size: 2, Share: 1}}} // groups of two members
	plan := func() {
		// The head, of rank 0, is not among the instances.
		planner.Plan(formation.Input{Now: timers.Now(), Engine: engine, Instances: []shedkeel.Instance{member}, Traffic: true})
		controller.logOverdueWaits(timers.Now())
	}
	plan()
	timers.Advance(3 * time.Second)
	plan()
	waits := controller.waitsForGroup("m/d/1", nil, timers.Now())
	assert.Equal(t, len(waits), 1, "%+v", waits)
	assert.Equal(t, waits[0].Reason, formation.WaitHeadUnreachable)
	assert.Equal(t, waits[0].For, "3s")
	assert.Equal(t, waits[0].Bound, "20s")
	assert.Equal(t, len(controller.waitsForGroup("m/elsewhere/1", nil, timers.Now())), 0, "waits of a group of another domain")
	assert.Equal(t, lines.Len(), 0, lines.String())

	timers.Advance(18 * time.Second) // 21 s in all; without a planning round, the wait does not change
	controller.logOverdueWaits(timers.Now())
	assert.Assert(t, strings.Contains(lines.String(), string(formation.WaitHeadUnreachable)), lines.String())
	controller.leads = false
	assert.Equal(t, len(controller.waits()), 0, "a node that does not lead has no waits")
}
