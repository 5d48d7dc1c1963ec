package formation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestFormsEveryGroupThatHasRoom checks that each of six domains of eight servers gets a
// group of four and one of two, for which there is room beside its spares.
func TestFormsEveryGroupThatHasRoom(t *testing.T) {
	fleet := newFakeFleet(1, 6, 8)
	fleet.run(newPlanner(1), 30*time.Second, false)
	assert.DeepEqual(t, fleet.serving(), map[shedkeel.ModelID]int{"large": 6, "small": 6})
	assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
}

// TestRulesHoldUnderFaults kills members and replaces planners while answers to orders are
// lost and these orders are carried out late. It checks that no protocol rule is violated and
// that, a minute after the last fault, at least four groups of each model serve.
func TestRulesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	seeds := 40
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.lagSteps = seed % 4 // the list is 0 to 150 ms late
		fleet.run(planner, 30*time.Second, false)
		for round := range 12 {
			fleet.answerLoss = []float64{0, 0.3}[round%2]
			fleet.run(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			planner = fleet.injectLoss(planner, 3)
		}
		fleet.answerLoss = 0
		fleet.checkRecovery(t, planner, seed, 4)
	}
}

// checkRecovery simulates a minute without new faults, then checks that no rule was violated
// and that at least minServing groups of each model serve.
func (fleet *fakeFleet) checkRecovery(t *testing.T, planner *Planner, seed, minServing int) {
	t.Helper()
	fleet.run(planner, time.Minute, true)
	assert.Equal(t, len(fleet.violations), 0, "seed %d: %v", seed, fleet.violations)
	serving := fleet.serving()
	assert.Assert(t, serving["large"] >= minServing && serving["small"] >= minServing, "seed %d: %v", seed, serving)
}

// TestRulesHoldWhileServersAreUnreachable has random servers fail probes and leave orders
// unanswered for up to 8 s while they go on serving. Their groups may be formed again without
// them before they are reachable again.
func TestRulesHoldWhileServersAreUnreachable(t *testing.T) {
	t.Parallel()
	for seed := range 40 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.run(planner, 30*time.Second, false)
		for range 12 {
			for range 3 {
				ids := slices.Sorted(maps.Keys(fleet.servers))
				server := fleet.servers[ids[fleet.random.IntN(len(ids))]]
				server.unreachableUntil = fleet.now + time.Duration(fleet.random.Int64N(int64(8*time.Second)))
			}
			fleet.run(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			planner = fleet.injectLoss(planner, 4)
		}
		fleet.checkRecovery(t, planner, seed, 4)
	}
}

// TestRulesHoldWhileServersArePartitioned partitions a third of all servers from the planner
// and the list for up to ten seconds, while they go on serving. There are not enough
// substitutes, and the remaining members of their groups must not be used in other groups.
func TestRulesHoldWhileServersArePartitioned(t *testing.T) {
	t.Parallel()
	for seed := range 40 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		term := uint64(1)
		planner := newPlanner(term)
		fleet.run(planner, 30*time.Second, false)
		for range 6 {
			length := 2*time.Second + time.Duration(fleet.random.Int64N(int64(8*time.Second)))
			for _, id := range slices.Sorted(maps.Keys(fleet.servers)) {
				if fleet.random.IntN(3) == 0 {
					fleet.servers[id].partitionedAt, fleet.servers[id].partitionedUntil = fleet.now, fleet.now+length
				}
			}
			fleet.run(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			if fleet.random.IntN(2) == 0 {
				term++
				planner = newPlanner(term)
			}
			fleet.run(planner, 15*time.Second, true)
		}
		fleet.checkRecovery(t, planner, seed, 5)
	}
}

// TestRulesHoldWhileServersRestart restarts servers while planners change and orders are
// carried out late without an answer. The current instance of a server carries out late
// orders to earlier instances.
func TestRulesHoldWhileServersRestart(t *testing.T) {
	t.Parallel()
	for seed := range 60 {
		fleet := newFakeFleet(uint64(seed), 6, 8)
		planner := newPlanner(1)
		fleet.lagSteps = seed % 4
		fleet.run(planner, 30*time.Second, false)
		for round := range 12 {
			fleet.answerLoss = []float64{0, 0.3}[round%2]
			fleet.run(planner, time.Duration(fleet.random.Int64N(int64(4*time.Second))), true)
			for range 3 {
				if living := fleet.living(); len(living) > 0 {
					fleet.restart(living[fleet.random.IntN(len(living))])
				}
			}
			if round%4 == 3 {
				planner = fleet.injectLoss(planner, 3)
			}
		}
		fleet.answerLoss = 0
		fleet.checkRecovery(t, planner, seed, 4)
	}
}

// living returns the servers that are alive, sorted by name.
func (fleet *fakeFleet) living() []shedkeel.InstanceID {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(fleet.servers)), func(id shedkeel.InstanceID) bool { return fleet.servers[id].diedAt != 0 })
}

// TestMemberThatRestarts checks that a group recovers within 3 s when a member of the open
// group restarts. A planner that did not recognize the restart left the group unchanged for
// unlistedGrace, as if the member were only unlisted. If the member was the head, the planner
// reserved the other members for headTimeout, because an unreachable head may serve; a head
// that has restarted can't.
func TestMemberThatRestarts(t *testing.T) {
	t.Parallel()
	for name, rank := range map[string]int{"head": 0, "member": 1} {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(3, 1, 8)
			planner := newPlanner(1)
			fleet.run(planner, time.Minute, false)
			before := fleet.serving()
			for _, id := range fleet.living() {
				if member := fleet.servers[id].Member; member != nil && member.Rank == rank && ModelOf(member.Group) == "large" {
					fleet.restart(id)
				}
			}
			fleet.run(planner, 3*time.Second, true)
			assert.DeepEqual(t, fleet.serving(), before)
			assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
		})
	}
}

// TestWarmSparesJoinFast kills four members, one after the other, and checks that each group
// recovers with a spare on standby within 1 s of the detection. A spare that is not on
// standby takes 1.1 s or 1.6 s to warm up.
func TestWarmSparesJoinFast(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 6, 8)
	planner := newPlanner(1)
	fleet.run(planner, 30*time.Second, false)
	initial := fleet.serving()
	for range 4 {
		before := fleet.serving() // spares may have formed another group
		assert.Assert(t, before["large"] >= initial["large"] && before["small"] >= initial["small"], "%v", before)
		fleet.killRandom()
		fleet.run(planner, 600*time.Millisecond, true) // until probes detect the loss
		fleet.run(planner, time.Second, true)
		assert.DeepEqual(t, fleet.serving(), before)
		fleet.addServer("d0")
		fleet.run(planner, 30*time.Second, true) // until the added server is a spare on standby
	}
	assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
}

// TestSparesReplaceMembersOfEitherModel kills two members of one model in a domain with two
// spares, and checks that each is replaced within a warm-up and 1 s. When each spare had only
// the weights of a different model, the second group waited 16 s for a load although the
// other model's spare was free.
func TestSparesReplaceMembersOfEitherModel(t *testing.T) {
	t.Parallel()
	for _, model := range []shedkeel.ModelID{"large", "small"} {
		t.Run(string(model), func(t *testing.T) {
			fleet := newFakeFleet(3, 6, 8)
			planner := newPlanner(1)
			fleet.run(planner, time.Minute, false)
			before := fleet.serving()
			for range 2 {
				fleet.killMember("d0", model)
				fleet.run(planner, 600*time.Millisecond, true) // until probes detect the loss
				fleet.run(planner, fleet.engine.Model(model).Warmup+time.Second, true)
				assert.DeepEqual(t, fleet.serving(), before)
			}
			assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
		})
	}
}

// killMember kills a member, not the head, of a group of the model in the domain.
func (fleet *fakeFleet) killMember(domain shedkeel.DomainID, model shedkeel.ModelID) {
	for _, id := range slices.Sorted(maps.Keys(fleet.servers)) {
		server := fleet.servers[id]
		if server.diedAt == 0 && server.Domain == domain && server.Member != nil && server.Member.Rank > 0 && ModelOf(server.Member.Group) == model {
			server.diedAt = fleet.now
			return
		}
	}
}

// TestHostsKeepWhatTheyLoaded checks that spares load no more weights once the fleet has
// settled. There are three models, and each host keeps the weights of only one, so a spare
// could go on loading one model after the other.
func TestHostsKeepWhatTheyLoaded(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(3, 6, 8)
	fleet.engine.Models = append(fleet.engine.Models, shedkeel.Model{ID: "third", Size: 2, Share: 0.2, Load: 12 * time.Second, Warmup: time.Second})
	planner := newPlanner(1)
	fleet.run(planner, 2*time.Minute, false)
	for end := fleet.now + time.Minute; fleet.now < end; {
		actions := planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true})
		assert.Equal(t, len(actions), 0, "%v", actions)
		fleet.tick()
	}
}

// TestHeadDoesNotReplaceLostMember checks that a group that lost a member is formed again
// only once, with two different servers. When the head was chosen as the substitute for the
// lost member, the group was ordered to form again every 250 ms and never opened.
func TestHeadDoesNotReplaceLostMember(t *testing.T) {
	fleet := newFakeFleet(3, 1, 4)
	fleet.engine.Models = fleet.engine.Models[1:] // groups of two
	planner := newPlanner(1)
	fleet.run(planner, 30*time.Second, false)
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
				assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(action.Order.Members)))), 2, "duplicate member: %v", action.Order.Members)
				formed++
			}
		}
		fleet.deliver(planner, actions)
		fleet.tick()
	}
	assert.Equal(t, formed, 2, "one join for each member")
	assert.Equal(t, fleet.serving()["small"], 1)
}

// TestUnresponsiveServerIsSkipped checks that a server that leaves maxUnanswered orders
// unanswered is not usable for unreachableBackoff.
func TestUnresponsiveServerIsSkipped(t *testing.T) {
	planner := newPlanner(1)
	fleet := newFakeFleet(4, 1, 8)
	fleet.run(planner, 30*time.Second, false)
	order := shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: "s001"}
	for range maxUnanswered {
		planner.Unanswered(order, fleet.now)
	}
	round := &round{planner: planner, input: Input{Now: fleet.now}}
	assert.Assert(t, !round.usable(&fleet.servers["s001"].Instance))
	round.input.Now += unreachableBackoff
	assert.Assert(t, round.usable(&fleet.servers["s001"].Instance))
}

// TestMemberThatIsNoLongerListed removes a member that still works from the list. The group
// must not be formed again immediately: after unlistedGrace its head is ordered to close. Once
// the requests of the group receive no events, it is formed again immediately.
func TestMemberThatIsNoLongerListed(t *testing.T) {
	fleet := newFakeFleet(6, 1, 8)
	planner := newPlanner(1)
	fleet.run(planner, 30*time.Second, false)
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
	assert.Equal(t, len(planner.Plan(input(nil))), 0, "a working group received an order")
	fleet.now += unlistedGrace
	actions := planner.Plan(input(nil))
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderClose, "running requests finish first")

	fleet.now += time.Second
	actions = planner.Plan(input(map[shedkeel.Assignment]bool{group: true}))
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderJoin, "a stalled group is formed again immediately")
}

// TestLoadsAreAdopted checks that a new planner does not order the loads of its predecessor
// again. That would restart them: with a new planner every few seconds, no spare would ever
// have its weights.
func TestLoadsAreAdopted(t *testing.T) {
	fleet := newFakeFleet(7, 1, 8)
	former := newPlanner(1)
	fleet.run(former, 30*time.Second, false)
	fleet.addServer("d0")
	fleet.addServer("d0")
	fleet.run(former, 2*time.Second, true)
	loading := former.Loading()
	assert.Equal(t, len(loading), 2)
	next := newPlanner(2)
	next.AdoptLoads(loading, fleet.engine, fleet.now)
	for end := fleet.now + 10*time.Second; fleet.now < end; {
		actions := next.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Dead: fleet.dead(), Traffic: true})
		assert.Equal(t, len(actions), 0, "%v", actions)
		fleet.tick()
	}
}

// TestLostLoadIsOrderedAgain checks that an order to load weights is sent again if the order
// was lost. When it was not sent again, the planner counted the server as loading for half a
// minute. The servers must have their weights after unreachableBackoff and the longest load,
// 16 s, plus a second.
func TestLostLoadIsOrderedAgain(t *testing.T) {
	fleet := newFakeFleet(8, 1, 8)
	planner := newPlanner(1)
	fleet.run(planner, 30*time.Second, false)
	fleet.addServer("d0")
	fleet.answerLoss = 1
	fleet.run(planner, 1500*time.Millisecond, true)
	fleet.answerLoss, fleet.lateOrders = 0, nil
	fleet.run(planner, unreachableBackoff+17*time.Second, true)
	for _, server := range fleet.servers {
		assert.Assert(t, len(server.Staged) == 1, "%s has no weights on its host", server.ID)
	}
}

// TestReadyHeadMayBeOpening has two groups lose a member each. One head is open; the other was
// ordered to open and is still listed as ready. No server may be ordered to join a group
// before both heads have confirmed that they left. Without that rule, the head that was listed
// as ready was used as a substitute while it served.
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
		planner.Confirmed(action.Order)
	}
	assert.Assert(t, len(actions) > 0)
	input.Now += testStep
	actions = planner.Plan(input)
	assert.Equal(t, actions[0].Order.Kind, shedkeel.OrderJoin)
}

// TestLoadsAreBoundedUnderTraffic forms all groups of 80 servers under traffic. It checks that
// no more than LoadsPerSecond times loadWindow loads, 4 per second times 5 s, are ordered
// within loadWindow, and that no more than LoadsAtOnce run concurrently.
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
		fleet.deliver(planner, actions)
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
	assert.Assert(t, len(loads) > 20, "loads continue")
}

// TestLateJoinOfRestartedServer restarts a member while an order to join its group, which the
// previous instance did not answer, may still be carried out. It checks that the new instance
// is not ordered into another formation before lateOrderTime has passed. A planner once
// ordered a new instance to go on standby just after that instance had carried out the late
// order, and so took it out of a group whose head served.
func TestLateJoinOfRestartedServer(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		unanswered bool
		wait       time.Duration // from the order to the restart
		free       bool          // the new instance is ordered into another formation
	}{
		"all orders are answered":                          {false, 0, true},
		"an order is pending":                              {true, 0, false},
		"an order is pending near the end of its lifetime": {true, lateOrderTime - time.Second, false},
		"an order is no longer pending":                    {true, lateOrderTime, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(3, 6, 8)
			planner := newPlanner(1)
			fleet.run(planner, time.Minute, false)
			member := fleet.servers["s002"]
			order := shedkeel.GroupOrder{Kind: shedkeel.OrderJoin, To: member.ID, Group: member.Member.Group, Epoch: member.Member.Epoch, Model: "large", Members: member.members}
			if test.unanswered {
				planner.Unanswered(order, fleet.now)
			}
			fleet.run(planner, test.wait, true)
			fleet.restart(member.ID)
			ordered := slices.ContainsFunc(planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Traffic: true}), func(action Action) bool {
				return action.Order.Kind == shedkeel.OrderJoin && action.Order.To == "s002@1" && action.Order.Group != order.Group
			})
			assert.Equal(t, ordered, test.free)
		})
	}
}
