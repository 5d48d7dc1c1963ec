package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestFormerFormationsAreForgotten has a planner observe one formation after the other for
// an hour, each for 10 s and with a head that is unlisted after 5 s. The planner's state must
// not grow with time.
func TestFormerFormationsAreForgotten(t *testing.T) {
	engine := &shedkeel.Engine{Models: []shedkeel.Model{{ID: "m", Size: 2, Share: 1}}}
	planner := &Planner{NextEpoch: func() uint64 { return 1 << 40 }} // higher than the epochs in the list
	for second := range 3600 {
		now := time.Hour + time.Duration(second)*time.Second
		// Another formation every 10 s, with epochs from 1 on.
		listed := []shedkeel.Instance{{ID: "b", Domain: "d", Staged: []shedkeel.ModelID{"m"}, Member: &shedkeel.Membership{
			Group: "m/d/1", Epoch: uint64(second/10 + 1), Rank: 1, State: shedkeel.MemberReady,
		}}}
		if second%10 < 5 {
			listed = append(listed, shedkeel.Instance{ID: "a", Domain: "d", Member: &shedkeel.Membership{
				Group: "m/d/1", Epoch: uint64(second/10 + 1), Rank: 0, State: shedkeel.MemberOpen,
			}})
		}
		for _, action := range planner.Plan(Input{Now: now, Engine: engine, Instances: listed, Traffic: true}) {
			planner.Confirmed(action.Order)
		}
	}
	const maxEntries = 10 // six or seven formations within retentionTime, and some that are about to expire
	sizes := map[string]int{
		"lastMembers": len(planner.lastMembers), "headMissingSince": len(planner.headUnusableSince), "leftAt": len(planner.leftAt),
		"memberMissingSince": len(planner.memberUnlistedSince), "lastReported": len(planner.lastReported), "sentAt": len(planner.sentAt), "standbyOrderedAt": len(planner.standbyOrderedAt),
	}
	for name, size := range sizes {
		assert.Assert(t, size <= maxEntries, "%s has %d entries", name, size)
	}
}
