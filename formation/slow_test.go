package formation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestSlowMembersAreReplaced checks the order for an open group of two when one server is five times
// slower than normal: a join order with the spare replaces a slow member, and a slow head is first
// ordered to leave (replaceSlow). Without a fast spare, no order is sent.
func TestSlowMembersAreReplaced(t *testing.T) {
	// server returns a member of the group small/d/1, or a server without a membership if rank
	// is -1. Each server has loaded the model small.
	server := func(id string, rank int, state shedkeel.MemberState) shedkeel.Instance {
		instance := shedkeel.Instance{ID: shedkeel.InstanceID(id), Domain: "d", Staged: []shedkeel.ModelID{"small"}, Models: []shedkeel.ModelID{"small"}}
		if rank >= 0 {
			instance.Member = &shedkeel.Membership{Group: "small/d/1", Epoch: 7, Rank: rank, State: state}
		}
		return instance
	}
	group := []shedkeel.Instance{server("a0", 0, shedkeel.MemberOpen), server("a1", 1, shedkeel.MemberReady)}
	spare := server("s", -1, "")
	cases := map[string]struct {
		instances []shedkeel.Instance
		slow      shedkeel.InstanceID     // "": none
		kind      shedkeel.GroupOrderKind // of the only order; "": no order
		members   []shedkeel.InstanceID   // of the formation that the order is for; nil: the order states none
	}{
		"no slow server":  {append(slices.Clone(group), spare), "", "", nil},
		"slow member":     {append(slices.Clone(group), spare), "a1", shedkeel.OrderJoin, []shedkeel.InstanceID{"a0", "s"}},
		"slow head":       {append(slices.Clone(group), spare), "a0", shedkeel.OrderLeave, nil},
		"no substitute":   {group, "a1", "", nil},
		"slow substitute": {append(slices.Clone(group), spare), "s", "", nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			slow := map[shedkeel.InstanceID]float64{test.slow: 5}
			actions := plannerOfTerm(1).Plan(Input{Now: time.Minute, Engine: testEngine(), Instances: test.instances, Slow: slow, Traffic: true})
			if test.kind == "" {
				assert.Equal(t, len(actions), 0, "%v", actions)
				return
			}
			assert.Equal(t, len(actions), 1, "%v", actions)
			assert.Equal(t, actions[0].Order.Kind, test.kind)
			assert.DeepEqual(t, actions[0].Order.Members, test.members)
		})
	}
}
