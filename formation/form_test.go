package formation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestLastSparesServeTheModelThatLacksGroups checks that a domain with one group of the small
// model uses its last spares for a group of the large model if that model has lost most of its
// groups, and otherwise keeps them.
func TestLastSparesServeTheModelThatLacksGroups(t *testing.T) {
	cases := map[string]struct {
		large  int  // groups of the large model that serve in other domains, beside six of the small model
		formed bool // a group of the large model is formed from the spares
	}{
		"enough groups":  {6, false},
		"too few groups": {2, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var listed []shedkeel.Instance
			// add lists servers of a domain that have loaded the model: the members of an open
			// group, or spares if group is "". Otherwise group only makes the IDs unique. The number
			// of servers listed before is the index in the name of the group.
			add := func(model shedkeel.ModelID, domain string, group string, size int) {
				for rank := range size {
					instance := shedkeel.Instance{
						ID: shedkeel.InstanceID(fmt.Sprint(domain, group, rank)), Domain: shedkeel.DomainID(domain),
						Staged: []shedkeel.ModelID{model}, Models: []shedkeel.ModelID{model},
					}
					if group != "" {
						state := shedkeel.MemberReady
						if rank == 0 {
							state = shedkeel.MemberOpen
						}
						instance.Member = &shedkeel.Membership{Group: groupName(model, instance.Domain, len(listed)-rank), Epoch: 7, Rank: rank, State: state}
					}
					listed = append(listed, instance)
				}
			}
			for index := range test.large {
				add("large", fmt.Sprint("a", index), "l", 4)
			}
			for index := range 6 {
				add("small", fmt.Sprint("b", index), "s", 2)
			}
			add("small", "d", "s", 2)
			add("large", "d", "", 4) // four spares that have loaded the large model
			planner := plannerOfTerm(1)
			input := Input{Now: time.Minute, Engine: testEngine(), Instances: listed, Traffic: true}
			planner.Plan(input)
			input.Now += settleTime // the first plan recorded the arrival of all servers
			joins := 0
			for _, action := range planner.Plan(input) {
				if action.Order.Kind == shedkeel.OrderJoin && action.Order.Model == "large" {
					joins++
				}
			}
			assert.Equal(t, joins > 0, test.formed)
		})
	}
}
