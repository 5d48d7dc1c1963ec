package formation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// stallTime is how long a fake head stays open after a member has left (fakeFleet.checkStalled).
const stallTime = 5 * time.Second

// gapBound is the longest time that a model may be without a serving group while servers that need no
// load could hold one: the fake fleet notices a loss after 0.5 s, the donor's group closes and leaves
// and the new one joins and opens within listDelay each, and its members warm up.
func gapBound(model *shedkeel.Model) time.Duration {
	return 500*time.Millisecond + 4*listDelay + model.Warmup
}

// lossDay is a fleet that loses servers of one domain after the other, members of groups first, while
// empty servers join other domains.
type lossDay struct {
	domains, servers int           // domains, and servers of each
	large, small     int           // members of a group of each model
	lost, joining    int           // servers lost at a time, and servers that join between two losses
	losses           int           // number of losses
	interval         time.Duration // between two losses
}

// newLossFleet returns the fleet before the first loss, with its planner.
func (day lossDay) newLossFleet(seed uint64) (*fakeFleet, *Planner) {
	fleet := newFakeFleet(seed, day.domains, day.servers)
	fleet.engine.Models[0].Size, fleet.engine.Models[0].Share = day.large, 0.5
	fleet.engine.Models[1].Size, fleet.engine.Models[1].Share = day.small, 0.5
	planner := plannerOfTerm(1)
	fleet.run(planner, 75*time.Second, beforeTraffic) // until all hosts have a second model
	return fleet, planner
}

// lose kills servers of a domain, members of groups before spares.
func (fleet *fakeFleet) lose(domain shedkeel.DomainID, count int) {
	alive := slices.DeleteFunc(fleet.living(), func(id shedkeel.InstanceID) bool { return fleet.servers[id].Domain != domain })
	fleet.random.Shuffle(len(alive), func(a, b int) { alive[a], alive[b] = alive[b], alive[a] })
	slices.SortStableFunc(alive, func(a, b shedkeel.InstanceID) int {
		return boolRank(IsFree(&fleet.servers[a].Instance)) - boolRank(IsFree(&fleet.servers[b].Instance))
	})
	for _, id := range alive[:min(count, len(alive))] {
		fleet.servers[id].diedAt = fleet.now
	}
}

// boolRank orders false before true.
func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// hasRoom reports whether the live servers can hold a group of the model without a load, beside one
// group of each other model.
func (fleet *fakeFleet) hasRoom(model *shedkeel.Model) bool {
	prepared := map[shedkeel.ModelID]map[shedkeel.DomainID]int{}
	alive := map[shedkeel.DomainID]int{}
	for index := range fleet.engine.Models {
		prepared[fleet.engine.Models[index].ID] = map[shedkeel.DomainID]int{}
	}
	for _, id := range fleet.living() {
		server := fleet.servers[id]
		if fleet.now < server.unreachableUntil || server.isPartitioned(fleet.now) || fleet.isHeld(server) {
			continue
		}
		alive[server.Domain]++
		for name, counts := range prepared {
			if joinCost(&server.Instance, name) < costLoad {
				counts[server.Domain]++
			}
		}
	}
	for domain, count := range prepared[model.ID] {
		if count >= model.Size && fleet.othersFit(model, domain, alive) {
			return true
		}
	}
	return false
}

// isHeld reports whether the head of a server's group is lost and may serve as far as a planner can
// know: until it has been without a member for stallTime, which it takes listDelay to arrange and to
// see.
func (fleet *fakeFleet) isHeld(server *fakeServer) bool {
	if server.Member == nil || len(server.members) == 0 {
		return false
	}
	head := fleet.servers[server.members[0]]
	return head.diedAt != 0 && fleet.now-head.diedAt < 500*time.Millisecond+stallTime+2*listDelay
}

// othersFit reports whether each model but the given one serves from another domain, or has room
// beside a group of the given model in the domain.
func (fleet *fakeFleet) othersFit(model *shedkeel.Model, domain shedkeel.DomainID, alive map[shedkeel.DomainID]int) bool {
	left := alive[domain] - model.Size
	for index := range fleet.engine.Models {
		other := &fleet.engine.Models[index]
		if other.ID == model.ID || fleet.servesOutside(other.ID, domain) {
			continue
		}
		left -= other.Size
	}
	return left >= 0
}

// servesOutside reports whether a group of the model serves in another domain.
func (fleet *fakeFleet) servesOutside(model shedkeel.ModelID, domain shedkeel.DomainID) bool {
	for _, server := range fleet.servers {
		if server.diedAt == 0 && server.Member != nil && server.Member.State == shedkeel.MemberOpen && server.stalledSince == 0 && server.Domain != domain && ModelOf(server.Member.Group) == model {
			return true
		}
	}
	return false
}

// gaps measures for how long models have no group that serves although they have room.
type gaps struct {
	since   map[shedkeel.ModelID]time.Duration
	longest map[shedkeel.ModelID]time.Duration
	without map[shedkeel.ModelID]time.Duration // total time without a group, with or without room
}

// observe adds the state after a step of the fleet.
func (gaps *gaps) observe(fleet *fakeFleet) {
	serving := fleet.serving()
	for index := range fleet.engine.Models {
		model := &fleet.engine.Models[index]
		since, open := gaps.since[model.ID]
		switch {
		case serving[model.ID] > 0:
			delete(gaps.since, model.ID)
			continue
		case !fleet.hasRoom(model):
			delete(gaps.since, model.ID)
		case !open:
			gaps.since[model.ID] = fleet.now
		default:
			gaps.longest[model.ID] = max(gaps.longest[model.ID], fleet.now-since)
		}
		gaps.without[model.ID] += testStep
	}
}

// runObserved is run with traffic, and observes each step.
func (gaps *gaps) runObserved(fleet *fakeFleet, planner *Planner, length time.Duration) {
	for end := fleet.now + length; fleet.now < end; {
		fleet.run(planner, testStep, underTraffic)
		gaps.observe(fleet)
	}
}

// play plays the losses of the day. Before each loss, replace may return another planner.
func (day lossDay) play(fleet *fakeFleet, planner *Planner, replace func(int, *Planner) *Planner) *gaps {
	gaps := &gaps{since: map[shedkeel.ModelID]time.Duration{}, longest: map[shedkeel.ModelID]time.Duration{}, without: map[shedkeel.ModelID]time.Duration{}}
	for loss := range day.losses {
		planner = replace(loss, planner)
		fleet.lose(shedkeel.DomainID(fmt.Sprintf("d%d", loss%day.domains)), day.lost)
		for range day.joining {
			fleet.addServer(shedkeel.DomainID(fmt.Sprintf("d%d", (loss+day.domains-2)%day.domains)))
			gaps.runObserved(fleet, planner, day.interval/time.Duration(day.joining+1))
		}
		gaps.runObserved(fleet, planner, day.interval/time.Duration(day.joining+1))
	}
	gaps.runObserved(fleet, planner, 20*time.Second)
	return gaps
}

// TestLossesLeaveAModelWithoutGroup loses most servers of one domain after the other. A model whose
// groups are all lost must be served again as soon as other servers can hold a group of it without a
// load, even if these serve another model that has more than one group.
func TestLossesLeaveAModelWithoutGroup(t *testing.T) {
	t.Parallel()
	twin := lossDay{domains: 5, servers: 11, large: 8, small: 4, lost: 6, joining: 4, losses: 9, interval: 3 * time.Second}
	for name, takeovers := range map[string]bool{"one planner": false, "planners are replaced": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 2 {
				fleet, planner := twin.newLossFleet(uint64(seed))
				gaps := twin.play(fleet, planner, func(loss int, planner *Planner) *Planner {
					if !takeovers || loss%2 == 0 {
						return planner
					}
					return fleet.takeOver(planner)
				})
				t.Logf("seed %d: longest gap %v, without a group %v, orders %v", seed, gaps.longest, gaps.without, fleet.orderCounts)
				assert.Equal(t, len(fleet.violations), 0, "seed %d: %v", seed, fleet.violations)
				for index := range fleet.engine.Models {
					model := &fleet.engine.Models[index]
					assert.Check(t, gaps.longest[model.ID] <= gapBound(model), "seed %d: model %s had no group for %s while servers could hold one", seed, model.ID, gaps.longest[model.ID])
				}
			}
		})
	}
}

// takeOver returns a planner of the next term, with the loads of the former one.
func (fleet *fakeFleet) takeOver(planner *Planner) *Planner {
	fleet.laterTerms++
	next := plannerOfTerm(1 + fleet.laterTerms)
	next.AdoptLoads(planner.Loading(), fleet.engine, fleet.now)
	return next
}

// fleetSizes are fleets of five domains with groups of 8 and 4, and of 25 domains with groups of 16
// and 8.
var fleetSizes = map[string]lossDay{
	"56 servers":  {domains: 5, servers: 11, large: 8, small: 4},
	"931 servers": {domains: 25, servers: 37, large: 16, small: 8},
}

// TestLossOfAllGroupsOfAModel loses all members of the groups of the model large at once. The other
// servers have been there since before the traffic, so each can hold both models, one of them loaded
// and the other on its host. Each domain of the smaller fleet that is left whole, and each domain of the
// larger one, holds a group of large: it must serve within gapBound, with or without a new planner.
func TestLossOfAllGroupsOfAModel(t *testing.T) {
	t.Parallel()
	for name, size := range fleetSizes {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeover), func(t *testing.T) {
				t.Parallel()
				fleet, planner := size.newLossFleet(5) // seed 5
				for _, server := range fleet.servers {
					if server.Member != nil && ModelOf(server.Member.Group) == "large" {
						server.diedAt = fleet.now
					}
				}
				assert.Equal(t, fleet.serving()["large"], 0)
				if takeover {
					planner = fleet.takeOver(planner)
				}
				fleet.run(planner, gapBound(fleet.engine.Model("large")), underTraffic)
				assert.Check(t, fleet.serving()["large"] > 0, "no group of large, %v", fleet.serving())
				assert.Check(t, fleet.serving()["small"] > 0, "no group of small, %v", fleet.serving())
				assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
			})
		}
	}
}

// TestSurvivorsOfLostHeads loses in each domain with two groups of the model small all but one member
// of each, and not the spares. No group has enough substitutes, but survivors and spares together are
// enough for one. The survivors must be used as soon as the lost heads have failed for lack of a member,
// which takes stallTime.
func TestSurvivorsOfLostHeads(t *testing.T) {
	t.Parallel()
	for name, takeover := range map[string]bool{"one planner": false, "a planner takes over": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, planner := lossDay{domains: 1, servers: 10, large: 8, small: 4}.newLossFleet(5) // seed 5
			fleet.engine.Models = fleet.engine.Models[1:]
			fleet.run(planner, time.Minute, beforeTraffic)
			for _, server := range fleet.servers {
				if server.Member != nil && ModelOf(server.Member.Group) == "small" && server.Member.Rank != 2 {
					server.diedAt = fleet.now
				}
			}
			fleet.run(planner, 2*time.Second, underTraffic)
			if takeover {
				planner = fleet.takeOver(planner)
			}
			fleet.run(planner, stallTime+2*listDelay+gapBound(fleet.engine.Model("small")), underTraffic)
			assert.Check(t, fleet.serving()["small"] > 0, "%v", fleet.serving())
			assert.Equal(t, len(fleet.violations), 0, "%v", fleet.violations)
		})
	}
}
