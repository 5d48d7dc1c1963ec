package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// TestModelWithoutGroupIsReported plans for a model whose group has lost its head. The leader must log at
// once that no group serves, and why, log it again when due, and log how long it lasted. Only a leader
// has a status of the model.
func TestModelWithoutGroupIsReported(t *testing.T) {
	node, timers, planner, lines := newTestLeader(t)
	controller := &node.controller
	member := func(id string, rank int, state shedkeel.MemberState) shedkeel.Instance {
		return shedkeel.Instance{ID: shedkeel.InstanceID(id), Domain: "d", Member: &shedkeel.Membership{Group: "m/d/1", Epoch: 7, Rank: rank, State: state}}
	}
	engine := &shedkeel.Engine{Models: []shedkeel.Model{{ID: "m", Size: 2, Share: 1}}} // groups of two members
	plan := func(instances ...shedkeel.Instance) {
		planner.Plan(formation.Input{Now: timers.Now(), Engine: engine, Instances: instances, Traffic: true})
		controller.logModels("s", planner.Status(), false, timers.Now())
	}
	head, other := member("a", 0, shedkeel.MemberOpen), member("b", 1, shedkeel.MemberReady)
	plan(head, other)
	assert.Equal(t, lines.Len(), 0, lines.String())
	assert.Equal(t, controller.modelDumps(timers.Now())[0].Standing, 1)

	timers.Advance(time.Second)
	plan(other)
	assert.Assert(t, strings.Contains(lines.String(), `"event":672`) && strings.Contains(lines.String(), string(formation.ShortageNoServer)), lines.String())
	lines.Reset()
	timers.Advance(3 * time.Second)
	plan(other)
	assert.Equal(t, lines.Len(), 0, "not due: %s", lines.String())
	assert.Equal(t, controller.modelDumps(timers.Now())[0].For, "3s")
	controller.logModels("s", planner.Status(), true, timers.Now())
	assert.Assert(t, strings.Contains(lines.String(), `"event":672`), lines.String())

	lines.Reset()
	plan(head, other)
	assert.Assert(t, strings.Contains(lines.String(), `"event":673`) && strings.Contains(lines.String(), `"for":3000000000`), lines.String())
	controller.leads = false
	assert.Equal(t, len(controller.modelDumps(timers.Now())), 0)
}

// TestShortageOfFormerLeadIsForgotten checks that a node that leads again does not report how long a
// model has had no group since an earlier term of its own.
func TestShortageOfFormerLeadIsForgotten(t *testing.T) {
	node, timers, _ := newListedCandidate(t)
	node.controller.unavailable[modelKey{"s", "m"}] = timers.Now()
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	assert.Equal(t, len(node.controller.unavailable), 0)
}
