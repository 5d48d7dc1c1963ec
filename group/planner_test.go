package group

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// testParameters are the planner parameters that the tests run with, as a policy would
// return them.
var testParameters = map[string]shedkeel.PlannerParameters{
	"all zero":                     {},
	"one warm spare":               {Spares: 1, WarmSpares: true, ReplaceAfter: 5 * time.Second, WarmReplaceAfter: 5 * time.Second, Consolidate: true, DomainFailureFraction: 0.5},
	"no spares, cross-domain":      {WarmSpares: true, ReplaceAfter: 5 * time.Second, Consolidate: true, CrossDomain: true, DomainFailureFraction: 0.5},
	"two cold spares, no patience": {Spares: 2, CrossDomain: true},
}

// TestBoxIsInAtMostOneGroup runs random histories of losses, drains and changed
// group counts. Every placement must be valid (no box in two groups), epochs must
// not decrease, and members must not change within an epoch. A minimum number of whole
// groups (see isWhole) ensures that the planner does form groups in these histories.
func TestBoxIsInAtMostOneGroup(t *testing.T) {
	for name, table := range testParameters {
		t.Run(name, func(t *testing.T) {
			wholeCount := 0
			for seed := range uint64(30) {
				wholeCount += runHistory(t, table, seed)
			}
			assert.Assert(t, wholeCount > 1000, "got %d whole groups over all ticks, want more than 1000", wholeCount)
		})
	}
}

// runHistory runs one random history and returns the number of whole groups,
// summed over all ticks.
func runHistory(t *testing.T, table shedkeel.PlannerParameters, seed uint64) int {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 5))
	fleet := newFleet(&Planner{}, table, 3, 10, 6, 4)
	losses := generateTrace(random, rates{fail: 2, restart: 20, pause: 20, domain: 10, zone: 2}, len(fleet.boxes), 2*time.Hour)
	epochs := map[shedkeel.GroupID]uint64{}
	wholeCount := 0
	for fleet.now < 15*time.Minute {
		for len(losses) > 0 && losses[0].at <= fleet.now {
			fleet.applyLoss(losses[0])
			losses = losses[1:]
		}
		changeConfig(fleet, random)
		before := fleet.placement.Clone()
		fleet.advance()
		assert.NilError(t, fleet.placement.Validate(), "seed %d at %s", seed, fleet.now)
		for _, group := range fleet.placement.Groups {
			assert.Assert(t, group.Epoch >= epochs[group.ID], "seed %d: the epoch of %s decreased", seed, group.ID)
			epochs[group.ID] = group.Epoch
			assertSameMembers(t, before, group)
			if fleet.isWhole(group) {
				wholeCount++
			}
		}
	}
	return wholeCount
}

// assertSameMembers checks that the members of a group have not changed within
// its epoch. Engines, and the processes that send them requests, distinguish two
// memberships of a group by the epoch alone.
func assertSameMembers(t *testing.T, before shedkeel.Placement, group shedkeel.Group) {
	t.Helper()
	for _, previous := range before.Groups {
		if previous.ID == group.ID && previous.Epoch == group.Epoch {
			assert.Assert(t, slices.Equal(previous.Members, group.Members), "the members of %s changed within epoch %d", group.ID, group.Epoch)
		}
	}
}

// changeConfig changes the number of groups, drains a box or ends the drain, each
// with a probability of 1/200.
func changeConfig(fleet *fleet, random *rand.Rand) {
	switch random.IntN(200) {
	case 0:
		fleet.config.Services[0].Groups = random.IntN(8)
	case 1:
		fleet.config.Drains = []shedkeel.BoxID{fleet.boxes[random.IntN(len(fleet.boxes))].id}
	case 2:
		fleet.config.Drains = nil
	}
}

// newSteadyFleet returns a fleet with groups of 4 members that has run for 1500 s,
// after which all its groups must be whole.
func newSteadyFleet(t *testing.T, table shedkeel.PlannerParameters, domains, boxesEach, groups int) *fleet {
	t.Helper()
	fleet := newFleet(&Planner{}, table, domains, boxesEach, groups, 4)
	for range 1500 {
		fleet.advance()
	}
	assert.Equal(t, countWhole(fleet), groups)
	return fleet
}

// countWhole returns the number of groups that can serve requests (see isWhole).
func countWhole(fleet *fleet) int {
	count := 0
	for _, group := range fleet.placement.Groups {
		if fleet.isWhole(group) {
			count++
		}
	}
	return count
}

// timeToRecover runs the fleet until the wanted number of groups is whole, and
// returns how long that takes, or longest if it takes longer.
func timeToRecover(fleet *fleet, wanted int, longest time.Duration) time.Duration {
	start := fleet.now
	for fleet.now-start < longest {
		fleet.advance()
		if countWhole(fleet) == wanted {
			return fleet.now - start
		}
	}
	return longest
}

// TestRecoveryTime checks how long a group with a lost member takes to be whole
// again.
func TestRecoveryTime(t *testing.T) {
	// The two groups of 4 members take 8 boxes; a ninth box is a spare. The first 5 s of the bounds
	// with a warm spare are ReplaceAfter. The last 5 s or 6 s of each bound allow for
	// DefaultMissAfter and the ticks until the orders are carried out. In the case within
	// ReplaceAfter, 4 s are the pause and 1 s is a tick.
	cases := map[string]struct {
		table   shedkeel.PlannerParameters
		boxes   int // in the only domain
		loss    loss
		longest time.Duration // until all groups are whole again
	}{
		"a restart, with a warm spare":           {testParameters["one warm spare"], 9, loss{duration: 2 * time.Minute}, 5*time.Second + joinTime + 6*time.Second},
		"a restart, without spares":              {shedkeel.PlannerParameters{WarmSpares: true, ReplaceAfter: 5 * time.Second}, 8, loss{duration: 2 * time.Minute}, 2*time.Minute + loadTime + joinTime + 5*time.Second},
		"a pause within the patience":            {testParameters["one warm spare"], 9, loss{duration: 4 * time.Second, keepsState: true}, 5 * time.Second},
		"a pause, without patience":              {shedkeel.PlannerParameters{WarmSpares: true}, 9, loss{duration: 4 * time.Second, keepsState: true}, joinTime + 5*time.Second},
		"a failure for hours, with a warm spare": {testParameters["one warm spare"], 9, loss{duration: 4 * time.Hour}, 5*time.Second + joinTime + 6*time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newSteadyFleet(t, test.table, 1, test.boxes, 2)
			test.loss.box = boxIndex(fleet, fleet.placement.Groups[0].Members[1].Box)
			fleet.applyLoss(test.loss)
			elapsed := timeToRecover(fleet, 2, time.Hour)
			assert.Assert(t, elapsed <= test.longest, "all groups were whole only after %s", elapsed)
			assert.Assert(t, elapsed > 0)
		})
	}
}

// boxIndex returns the index of a box in the fleet, or -1.
func boxIndex(fleet *fleet, id shedkeel.BoxID) int {
	for index, box := range fleet.boxes {
		if box.id == id {
			return index
		}
	}
	return -1
}

// TestPauseWithinReplaceAfterChangesNoGroup checks that a member that is silent for
// less than ReplaceAfter and keeps its state causes no change of the groups.
func TestPauseWithinReplaceAfterChangesNoGroup(t *testing.T) {
	fleet := newSteadyFleet(t, testParameters["one warm spare"], 1, 9, 2)
	before := fleet.placement.Clone()
	fleet.applyLoss(loss{box: boxIndex(fleet, before.Groups[0].Members[0].Box), duration: 4 * time.Second, keepsState: true})
	for range 60 {
		fleet.advance()
	}
	assert.DeepEqual(t, fleet.placement.Groups, before.Groups)
}

// TestUnreachableDomainChangesNoGroup checks that a domain that is unreachable for
// 10 minutes and keeps its state causes no change of any group.
func TestUnreachableDomainChangesNoGroup(t *testing.T) {
	fleet := newSteadyFleet(t, testParameters["no spares, cross-domain"], 3, 9, 6)
	before := fleet.placement.Clone()
	fleet.applyLoss(loss{box: 0, duration: 10 * time.Minute, isDomain: true, keepsState: true})
	for range 700 {
		fleet.advance()
	}
	assert.DeepEqual(t, fleet.placement.Groups, before.Groups)
	assert.Equal(t, countWhole(fleet), 6)
}

// TestShortGroupsAreConsolidated checks that, with Consolidate, two groups that
// each lost a member become one whole group, and that without it both stay
// incomplete. No box is left over as a substitute.
func TestShortGroupsAreConsolidated(t *testing.T) {
	// The expected number of whole groups with each table. Only the table with 1 sets
	// Consolidate. The fields unset below would also affect repairs.
	for name, want := range map[string]int{"no spares, cross-domain": 1, "two cold spares, no patience": 0} {
		t.Run(name, func(t *testing.T) {
			table := testParameters[name]
			table.CrossDomain, table.Spares, table.DomainFailureFraction = false, 0, 0
			fleet := newSteadyFleet(t, table, 1, 8, 2)
			for _, group := range fleet.placement.Groups {
				fleet.applyLoss(loss{box: boxIndex(fleet, group.Members[0].Box), duration: time.Hour})
			}
			for range 200 {
				fleet.advance()
			}
			assert.Equal(t, countWhole(fleet), want)
		})
	}
}

// TestLeavingMemberIsReplacedWhenIdle checks that a leaving member is not replaced while the group
// may run requests or before its substitute has the weights, and that the group is then whole
// within joinTime and less than 3 s for ticks and orders. A cold spare has not loaded the weights
// before the member leaves.
func TestLeavingMemberIsReplacedWhenIdle(t *testing.T) {
	for name, warmSpares := range map[string]bool{"warm spare": true, "cold spare": false} {
		t.Run(name, func(t *testing.T) {
			table := testParameters["one warm spare"]
			table.WarmSpares = warmSpares
			fleet := newSteadyFleet(t, table, 1, 9, 2)
			group := fleet.placement.Groups[0]
			leavingBox := fleet.byID[group.Members[1].Box]
			first := fleet.byID[group.Members[0].Box]
			first.state.Running = 3
			leavingBox.leaving = true
			start := fleet.now
			for fleet.now-start < 20*time.Second {
				fleet.advance()
				assert.Equal(t, fleet.placement.Groups[0].Epoch, group.Epoch, "the group changed while it still runs requests")
			}
			first.state.Running = 0
			idleAt := fleet.now
			for fleet.placement.Groups[0].Epoch == group.Epoch {
				assert.Assert(t, fleet.now-start < 10*time.Minute, "the leaving member is not replaced within 10 minutes")
				fleet.advance()
			}
			assert.Assert(t, fleet.now-idleAt >= DefaultDrainIdle, "the group changed %s after it became idle, want at least DefaultDrainIdle", fleet.now-idleAt)
			assert.Assert(t, !fleet.placement.Groups[0].Has(leavingBox.id))
			replacedAt := fleet.now
			for countWhole(fleet) < 2 {
				assert.Assert(t, fleet.now-replacedAt < joinTime+3*time.Second, "the substitute had not loaded the weights before the replacement")
				fleet.advance()
			}
		})
	}
}

// TestBothPlannersKeepInvariants runs Planner and NaivePlanner on random losses. Both must
// keep each box in at most one group, and isWhole, which uses ProbeVerdict, must agree
// with referenceWhole for every group. The planners are not compared with each
// other.
func TestBothPlannersKeepInvariants(t *testing.T) {
	planners := map[string]func() shedkeel.Planner{
		"planner": func() shedkeel.Planner { return &Planner{} },
		"naive":   func() shedkeel.Planner { return &NaivePlanner{} },
	}
	for name, planner := range planners {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 6))
				fleet := newFleet(planner(), testParameters["one warm spare"], 2, 9, 4, 4)
				losses := generateTrace(random, rates{fail: 5, restart: 50, pause: 30, domain: 10}, len(fleet.boxes), time.Hour)
				for fleet.now < 15*time.Minute {
					for len(losses) > 0 && losses[0].at <= fleet.now {
						fleet.applyLoss(losses[0])
						losses = losses[1:]
					}
					fleet.advance()
					assert.NilError(t, fleet.placement.Validate())
					for _, group := range fleet.placement.Groups {
						assert.Equal(t, fleet.isWhole(group), referenceWhole(fleet, group), "seed %d at %s", seed, fleet.now)
					}
				}
			}
		})
	}
}

// referenceWhole is an independent implementation of isWhole that checks each
// member's state directly.
func referenceWhole(fleet *fleet, group shedkeel.Group) bool {
	if group.Draining {
		return false
	}
	for _, member := range group.Members {
		box := fleet.boxes[boxIndex(fleet, member.Box)]
		present := box.up(fleet.now) && !box.leaving && box.state.Boot == member.Boot
		joined := box.state.Phase == shedkeel.PhaseReady && box.state.Assigned.Group == group.ID && box.state.Assigned.Epoch == group.Epoch
		if !present || !joined {
			return false
		}
	}
	return true
}

// TestProbeVerdict checks the verdict of ProbeVerdict on a group of two for each state of the
// second member.
func TestProbeVerdict(t *testing.T) {
	group := shedkeel.Group{ID: "g", Epoch: 2, Members: []shedkeel.Member{{Box: "a", Boot: "1"}, {Box: "b", Boot: "1"}}}
	ready := shedkeel.BoxState{Boot: "1", Phase: shedkeel.PhaseReady, Assigned: group.Assignment()}
	with := func(change func(*shedkeel.BoxState)) shedkeel.BoxState {
		state := ready
		change(&state)
		return state
	}
	cases := map[string]struct {
		second  shedkeel.BoxState
		silent  bool // the second member does not answer
		refused bool // it refuses the connection
		want    shedkeel.Verdict
	}{
		"all ready":              {ready, false, false, shedkeel.VerdictWhole},
		"silent":                 {ready, true, false, shedkeel.VerdictNoReply},
		"connection refused":     {ready, true, true, shedkeel.VerdictBroken},
		"another boot":           {with(func(state *shedkeel.BoxState) { state.Boot = "2" }), false, false, shedkeel.VerdictBroken},
		"another epoch":          {with(func(state *shedkeel.BoxState) { state.Assigned.Epoch = 1 }), false, false, shedkeel.VerdictBroken},
		"another group":          {with(func(state *shedkeel.BoxState) { state.Assigned.Group = "h" }), false, false, shedkeel.VerdictBroken},
		"still loading":          {with(func(state *shedkeel.BoxState) { state.Phase = shedkeel.PhaseLoading }), false, false, shedkeel.VerdictBroken},
		"reports that it leaves": {with(func(state *shedkeel.BoxState) { state.Leaving = true }), false, false, shedkeel.VerdictDraining},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			answers := map[shedkeel.BoxID]shedkeel.BoxState{"a": ready}
			if !test.silent {
				answers["b"] = test.second
			}
			assert.Equal(t, ProbeVerdict(group, answers, map[shedkeel.BoxID]bool{"b": test.refused}), test.want)
		})
	}
}
