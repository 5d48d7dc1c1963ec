package formation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

func TestFormsEveryGroupThatHasRoom(t *testing.T) {
	fleet := newFakeFleet(1, 6, 8)
	fleet.play(newPlanner(1), 30*time.Second, false)
	assert.DeepEqual(t, fleet.serving(), map[shedkeel.ModelID]int{"large": 6, "small": 6})
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

// TestRulesHoldUnderFaults kills members and planners while orders are lost or
// carried out late, and checks that no rule of the engines is ever broken and
// that the groups stand again afterwards.
func TestRulesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	seeds := 40
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.lag = seed % 4 // a list may be 150 ms late
		fleet.play(planner, 30*time.Second, false)
		for round := range 12 {
			fleet.loses = []float64{0, 0.3}[round%2]
			fleet.play(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			planner = fleet.mishap(planner, 3)
		}
		fleet.loses = 0
		fleet.standAgain(t, planner, seed, 4)
	}
}

// standAgain lets a minute of calm pass, after which no rule may have been broken
// and so many groups of each model must stand at least.
func (fleet *fakeFleet) standAgain(t *testing.T, planner *Planner, seed, least int) {
	t.Helper()
	fleet.play(planner, time.Minute, true)
	assert.Equal(t, len(fleet.broken), 0, "seed %d: %v", seed, fleet.broken)
	serving := fleet.serving()
	assert.Assert(t, serving["large"] >= least && serving["small"] >= least, "seed %d: %v", seed, serving)
}

// TestRulesHoldWhileServersAreOutOfReach has servers that serve look dead to
// the planner for a while: their groups are formed anew without them, and what
// they come back to is no longer theirs.
func TestRulesHoldWhileServersAreOutOfReach(t *testing.T) {
	t.Parallel()
	for seed := range 40 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.play(planner, 30*time.Second, false)
		for range 12 {
			for range 3 {
				ids := slices.Sorted(maps.Keys(fleet.servers))
				server := fleet.servers[ids[fleet.random.IntN(len(ids))]]
				server.mute = fleet.now + time.Duration(fleet.random.Int64N(int64(8*time.Second)))
			}
			fleet.play(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			planner = fleet.mishap(planner, 4)
		}
		fleet.standAgain(t, planner, seed, 4)
	}
}

// TestRulesHoldWhileServersAreCutOff cuts a third of all servers off from the
// planner and from the list for up to ten seconds, while they go on serving:
// there are no substitutes for so many, and the members of their groups that
// are left must not be used for others.
func TestRulesHoldWhileServersAreCutOff(t *testing.T) {
	t.Parallel()
	for seed := range 40 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		term := uint64(1)
		planner := newPlanner(term)
		fleet.play(planner, 30*time.Second, false)
		for range 6 {
			length := 2*time.Second + time.Duration(fleet.random.Int64N(int64(8*time.Second)))
			for _, id := range slices.Sorted(maps.Keys(fleet.servers)) {
				if fleet.random.IntN(3) == 0 {
					fleet.servers[id].cutAt, fleet.servers[id].cutTill = fleet.now, fleet.now+length
				}
			}
			fleet.play(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			if fleet.random.IntN(2) == 0 {
				term++
				planner = newPlanner(term)
			}
			fleet.play(planner, 15*time.Second, true)
		}
		fleet.standAgain(t, planner, seed, 5)
	}
}

// TestRulesHoldWhileServersStartAgain has servers start again under their names
// while orders are lost or carried out late, some by the next start of the server
// that they were meant for, and planners change.
func TestRulesHoldWhileServersStartAgain(t *testing.T) {
	t.Parallel()
	for seed := range 60 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.lag = seed % 4
		fleet.play(planner, 30*time.Second, false)
		for round := range 12 {
			fleet.loses = []float64{0, 0.3}[round%2]
			fleet.play(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			for range 3 {
				if living := fleet.living(); len(living) > 0 {
					fleet.restart(living[fleet.random.IntN(len(living))])
				}
			}
			if round%4 == 3 {
				planner = fleet.mishap(planner, 3)
			}
		}
		fleet.loses = 0
		fleet.standAgain(t, planner, seed, 4)
	}
}

// living returns the servers that live, by name.
func (fleet *fakeFleet) living() []shedkeel.InstanceID {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(fleet.servers)), func(id shedkeel.InstanceID) bool { return fleet.servers[id].diedAt != 0 })
}

// TestHeadThatStartsAgain covers the head of an open group that starts again
// under its name. Taken for the same server, its group was left alone for six
// seconds as one whose member is only not listed, and the members were held for
// twenty: a head that is out of reach may serve. One that has started again
// can't.
func TestHeadThatStartsAgain(t *testing.T) {
	t.Parallel()
	for name, rank := range map[string]int{"head": 0, "member": 1} {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(3, 1, 8)
			planner := newPlanner(1)
			fleet.play(planner, time.Minute, false)
			whole := fleet.serving()
			for _, id := range fleet.living() {
				if member := fleet.servers[id].Member; member != nil && member.Rank == rank && ModelOf(member.Group) == "large" {
					fleet.restart(id)
				}
			}
			fleet.play(planner, 3*time.Second, true)
			assert.DeepEqual(t, fleet.serving(), whole)
			assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
		})
	}
}

// TestWarmSparesJoinFast has a member of each group die in turn: with a spare
// that waits as a standby the group stands again before a cold one had even
// warmed up.
func TestWarmSparesJoinFast(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 6, 8)
	planner := newPlanner(1)
	fleet.play(planner, 30*time.Second, false)
	formed := fleet.serving()
	for range 4 {
		whole := fleet.serving() // a spare of either model may have formed one more
		assert.Assert(t, whole["large"] >= formed["large"] && whole["small"] >= formed["small"], "%v", whole)
		fleet.kill()
		fleet.play(planner, 600*time.Millisecond, true) // until probes have found it
		fleet.play(planner, time.Second, true)
		assert.DeepEqual(t, fleet.serving(), whole)
		fleet.add("d0")
		fleet.play(planner, 30*time.Second, true) // the spare is made up for
	}
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

// TestSparesReplaceMembersOfEitherModel has two members of one model die in a
// domain, which has a spare of each: with a spare that has only one model's
// weights, the second group waited 16 s for a load while the other model's
// spare stood beside it.
func TestSparesReplaceMembersOfEitherModel(t *testing.T) {
	t.Parallel()
	for _, model := range []shedkeel.ModelID{"large", "small"} {
		t.Run(string(model), func(t *testing.T) {
			fleet := newFakeFleet(3, 6, 8)
			planner := newPlanner(1)
			fleet.play(planner, time.Minute, false)
			whole := fleet.serving()
			for range 2 {
				fleet.killMember("d0", model)
				fleet.play(planner, 600*time.Millisecond, true) // until probes have found it
				fleet.play(planner, fleet.engine.Model(model).Warmup+time.Second, true)
				assert.DeepEqual(t, fleet.serving(), whole)
			}
			assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
		})
	}
}

// killMember ends a server that is a member, not the head, of a group of the
// model in the domain.
func (fleet *fakeFleet) killMember(domain shedkeel.DomainID, model shedkeel.ModelID) {
	for _, id := range slices.Sorted(maps.Keys(fleet.servers)) {
		server := fleet.servers[id]
		if server.diedAt == 0 && server.Domain == domain && server.Member != nil && server.Member.Rank > 0 && ModelOf(server.Member.Group) == model {
			server.diedAt = fleet.now
			return
		}
	}
}

// TestHostsKeepWhatTheyLoaded covers hosts that keep the weights of one model
// only, with three models: a spare must not load one after the other for ever.
func TestHostsKeepWhatTheyLoaded(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 6, 8)
	fleet.engine.Models = append(fleet.engine.Models, shedkeel.Model{ID: "third", Size: 2, Share: 0.2, Load: 12 * time.Second, Warmup: time.Second})
	planner := newPlanner(1)
	fleet.play(planner, 2*time.Minute, false)
	for end := fleet.now + time.Minute; fleet.now < end; {
		actions := planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true})
		assert.Equal(t, len(actions), 0, "%v", actions)
		fleet.tick()
	}
}

// TestRepairWithoutAnotherFormation covers a head that was once taken for its
// own substitute: the group was then ordered anew each quarter of a second and
// never stood.
func TestRepairWithoutAnotherFormation(t *testing.T) {
	fleet := newFakeFleet(3, 1, 4)
	fleet.engine.Models = fleet.engine.Models[1:] // groups of two
	planner := newPlanner(1)
	fleet.play(planner, 30*time.Second, false)
	for _, server := range fleet.servers {
		if server.Member != nil && server.Member.Rank == 1 {
			server.diedAt = fleet.now
			break
		}
	}
	formed := 0
	for end := fleet.now + 4*time.Second; fleet.now < end; {
		actions := planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Dead: fleet.dead(), Traffic: true})
		for _, action := range actions {
			if action.Order.Kind == shedkeel.OrderJoin {
				assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(action.Order.Members)))), 2, "a member twice: %v", action.Order.Members)
				formed++
			}
		}
		fleet.give(planner, actions)
		fleet.tick()
	}
	assert.Equal(t, formed, 2, "one join for each member")
	assert.Equal(t, fleet.serving()["small"], 1)
}

// TestSilentServerIsPassedOver covers a substitute that answers no order: the
// group must form with another one.
func TestSilentServerIsPassedOver(t *testing.T) {
	planner := newPlanner(1)
	fleet := newFakeFleet(4, 1, 8)
	fleet.play(planner, 30*time.Second, false)
	order := shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: "s001"}
	for range unansweredMax {
		planner.Unanswered(order, fleet.now)
	}
	round := &round{planner: planner, input: Input{Now: fleet.now}}
	assert.Assert(t, !round.usable(&fleet.servers["s001"].Instance))
	round.input.Now += unreachableTime
	assert.Assert(t, round.usable(&fleet.servers["s001"].Instance))
}

// TestMemberThatIsNoLongerListed covers servers that are cut off from the
// service alone: their groups work on, and must not be formed anew at once.
func TestMemberThatIsNoLongerListed(t *testing.T) {
	fleet := newFakeFleet(6, 1, 8)
	planner := newPlanner(1)
	fleet.play(planner, 30*time.Second, false)
	input := func(stalled map[shedkeel.Assignment]bool) Input {
		listed := slices.DeleteFunc(fleet.instances(), func(instance shedkeel.Instance) bool {
			return instance.Member != nil && instance.Member.Rank == 1 && ModelOf(instance.Member.Group) == "large"
		})
		return Input{Now: fleet.now, Engine: fleet.engine, Instances: listed, Stalled: stalled, Traffic: true}
	}
	var group shedkeel.Assignment
	for _, server := range fleet.servers {
		if server.Member != nil && ModelOf(server.Member.Group) == "large" {
			group = shedkeel.Assignment{Group: server.Member.Group, Epoch: server.Member.Epoch}
		}
	}
	assert.Equal(t, len(planner.Plan(input(nil))), 0, "a group that works was touched")
	fleet.now += absentTime
	actions := planner.Plan(input(nil))
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderClose, "it finishes what runs first")

	fleet.now += time.Second
	actions = planner.Plan(input(map[shedkeel.Assignment]bool{group: true}))
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderJoin, "a group that stands still is formed anew at once")
}

// TestLoadsAreAdopted covers a planner that ordered the loads of its forerunner
// anew, which began them again: with planners that changed every few seconds
// no spare was ever ready.
func TestLoadsAreAdopted(t *testing.T) {
	fleet := newFakeFleet(7, 1, 8)
	former := newPlanner(1)
	fleet.play(former, 30*time.Second, false)
	fleet.add("d0")
	fleet.add("d0")
	fleet.play(former, 2*time.Second, true)
	loading := former.Loading()
	assert.Equal(t, len(loading), 2)
	next := newPlanner(2)
	next.Adopt(loading, fleet.engine, fleet.now)
	for end := fleet.now + 10*time.Second; fleet.now < end; {
		actions := next.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Dead: fleet.dead(), Traffic: true})
		assert.Equal(t, len(actions), 0, "%v", actions)
		fleet.tick()
	}
}

// TestLostLoadIsOrderedAgain covers an order to load whose answer was lost:
// the server was taken for loading for half a minute and did nothing.
func TestLostLoadIsOrderedAgain(t *testing.T) {
	fleet := newFakeFleet(8, 1, 8)
	planner := newPlanner(1)
	fleet.play(planner, 30*time.Second, false)
	fleet.add("d0")
	fleet.loses = 1
	fleet.play(planner, 1500*time.Millisecond, true)
	fleet.loses, fleet.late = 0, nil
	fleet.play(planner, unreachableTime+17*time.Second, true)
	for _, server := range fleet.servers {
		assert.Assert(t, len(server.Staged) == 1, "%s has loaded nothing", server.ID)
	}
}

// TestReadyHeadMayBeOpening covers a head that was ordered to open and is
// still listed as ready: it was used as a substitute while it served (TWO).
// Its members are free only once it has confirmed that it left.
func TestReadyHeadMayBeOpening(t *testing.T) {
	member := func(id string, group shedkeel.GroupID, rank int, state shedkeel.MemberState) shedkeel.Instance {
		return shedkeel.Instance{
			ID: shedkeel.InstanceID(id), Domain: "d", Staged: []shedkeel.ModelID{"small"}, Models: []shedkeel.ModelID{"small"},
			Member: &shedkeel.Membership{Group: group, Epoch: 7, Rank: rank, State: state},
		}
	}
	listed := []shedkeel.Instance{
		member("a0", "small/d/1", 0, shedkeel.MemberReady), member("a1", "small/d/1", 1, shedkeel.MemberReady),
		member("b0", "small/d/2", 0, shedkeel.MemberOpen), member("b1", "small/d/2", 1, shedkeel.MemberReady),
	}
	planner := newPlanner(1)
	input := Input{Now: time.Minute, Engine: testEngine(), Instances: listed, Traffic: true}
	actions := planner.Plan(input)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderOpen)

	input.Now += testStep
	input.Dead = map[shedkeel.InstanceID]bool{"a1": true, "b1": true}
	actions = planner.Plan(input)
	for _, action := range actions {
		assert.Equal(t, action.Order.Kind, shedkeel.OrderLeave, "%v", action.Order)
		planner.Confirm(action.Order)
	}
	assert.Assert(t, len(actions) > 0)
	input.Now += testStep
	actions = planner.Plan(input)
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderJoin)
}

func TestLoadsAreBoundedUnderTraffic(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(5, 10, 8)
	planner := newPlanner(1)
	loads := []time.Duration{}
	for end := 80 * time.Second; fleet.now < end; {
		actions := planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Dead: fleet.dead(), Traffic: true})
		for _, action := range actions {
			if action.Order.Kind == shedkeel.OrderStage {
				loads = append(loads, fleet.now)
			}
		}
		fleet.give(planner, actions)
		fleet.tick()
		recent := 0
		for _, at := range loads {
			if fleet.now-at < loadWindow {
				recent++
			}
		}
		assert.Assert(t, recent <= 20, "%d loads within %s", recent, loadWindow)
		assert.Assert(t, len(planner.Loading()) <= fleet.engine.LoadsAtOnce, "%d loads at once", len(planner.Loading()))
	}
	assert.Assert(t, len(loads) > 20, "loads go on")
}

// TestLateJoinOfAServerThatStartedAgain has a member start again while an order to join
// its group may still be carried out, to which its former start gave no answer. The
// planner ordered the new start to wait as a standby when it had just taken the late
// order, and so took it out of a group whose head served.
func TestLateJoinOfAServerThatStartedAgain(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		unanswered bool
		wait       time.Duration // from the order to the start
		free       bool          // the new start may be used elsewhere
	}{
		"all orders were answered": {false, 0, true},
		"one may be under way":     {true, 0, false},
		"one may be, for long":     {true, lateTime - time.Second, false},
		"one is over":              {true, lateTime, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(3, 6, 8)
			planner := newPlanner(1)
			fleet.play(planner, time.Minute, false)
			member := fleet.servers["s002"]
			order := shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: member.ID, Group: member.Member.Group, Epoch: member.Member.Epoch, Model: "large", Members: member.list}
			if test.unanswered {
				planner.Unanswered(order, fleet.now)
			}
			fleet.play(planner, test.wait, true)
			fleet.restart(member.ID)
			ordered := slices.ContainsFunc(planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true}), func(action Action) bool {
				return action.Order.Kind == shedkeel.OrderJoin && action.Order.To == "s002@1" && action.Order.Group != order.Group
			})
			assert.Equal(t, ordered, test.free)
		})
	}
}
