package formation

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// recoveryTime is the time without faults after which a group must serve in each domain with
// enough servers for a group of the small model (TestGroupServesWhereverServersSuffice). The
// planner may have to wait headTimeout for an unreachable head; then weights are loaded, on at
// most six servers at a time.
const recoveryTime = headTimeout + 80*time.Second

// injectFault injects a random fault: a server dies, restarts, is unreachable or is
// partitioned, an empty server is added to one of six domains, or the planner is replaced. It
// returns the current planner. Without live servers it injects none.
func (fleet *fakeFleet) injectFault(planner *Planner) *Planner {
	living := fleet.living()
	if len(living) == 0 {
		return planner
	}
	id := living[fleet.random.IntN(len(living))]
	switch fleet.random.IntN(7) {
	case 0, 1: // twice as likely as each of the others
		fleet.servers[id].diedAt = fleet.now
	case 2:
		fleet.restart(id)
	case 3:
		fleet.servers[id].unreachableUntil = fleet.now + time.Duration(fleet.random.Int64N(int64(8*time.Second)))
	case 4:
		fleet.servers[id].partitionedAt, fleet.servers[id].partitionedUntil = fleet.now, fleet.now+time.Duration(fleet.random.Int64N(int64(10*time.Second)))
	case 5:
		fleet.addServer(shedkeel.DomainID([]string{"d0", "d1", "d2", "d3", "d4", "d5"}[fleet.random.IntN(6)]))
	default:
		fleet.laterTerms++
		next := plannerOfTerm(1 + fleet.laterTerms)
		next.AdoptLoads(planner.Loading(), fleet.engine, fleet.now) // as read from the stored record of loads
		return next
	}
	return planner
}

// TestGroupServesWhereverServersSuffice simulates histories with all faults that a planner waits
// for. In each domain with enough servers, a group must serve at some time in the 20 s after
// recoveryTime without faults; it may close to make room for another model. No wait may exceed its
// bound.
func TestGroupServesWhereverServersSuffice(t *testing.T) {
	t.Parallel()
	for seed := range *histories {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			runWaitHistory(t, seed)
		})
	}
}

// TestWaitsThatFailed repeats histories of TestGroupServesWhereverServersSuffice that have
// failed before. Each name states what happens in the history.
func TestWaitsThatFailed(t *testing.T) {
	t.Parallel()
	for name, seed := range map[string]int{
		"three servers are kept for a model that fits in no domain":                66,
		"a member whose head restarted is ordered into two groups in one plan":     174,
		"a member of an abandoned formation is ordered to go on standby":           87,
		"a restarted member of an abandoned formation is ordered to go on standby": 298,
		"a domain's only group closes at the end to make room for another model":   210,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWaitHistory(t, seed)
		})
	}
}

// runWaitHistory simulates one history of faults, then recoveryTime without faults, and makes
// the checks of TestGroupServesWhereverServersSuffice.
func runWaitHistory(t *testing.T, seed int) {
	t.Helper()
	fleet := newFakeFleet(uint64(seed), 6, 8) // six domains of eight servers
	planner := plannerOfTerm(1)
	fleet.lagSteps = seed % 4 // the planner sees the list of servers 0 to 150 ms late
	fleet.run(planner, 30*time.Second, beforeTraffic)
	for round := range 30 {
		fleet.answerLoss = []float64{0, 0.35}[round%2] // in every other round, 35% of the orders are not answered and are carried out late (deliver)
		fleet.run(planner, time.Duration(fleet.random.Int64N(int64(2*time.Second))), underTraffic)
		for range 2 {
			planner = fleet.injectFault(planner)
		}
	}
	fleet.answerLoss = 0
	fleet.run(planner, recoveryTime, underTraffic)
	served := map[shedkeel.DomainID]bool{}
	for range 20 {
		fleet.run(planner, time.Second, underTraffic)
		for domain := range fleet.livingPerDomain() {
			served[domain] = served[domain] || fleet.openGroups(domain) > 0
		}
	}
	assert.Equal(t, len(fleet.violations), 0, "seed %d: %v", seed, fleet.violations)
	for domain, count := range fleet.livingPerDomain() {
		if count >= 2+minSpares(count) { // enough for a group of the small model
			assert.Assert(t, served[domain], "seed %d: %d servers of %s are alive, but no group serves: %+v", seed, count, domain, planner.Waits())
		}
	}
	for _, wait := range planner.Waits() {
		assert.Assert(t, !wait.Overdue(fleet.now), "seed %d: %+v at %s", seed, wait, fleet.now)
	}
}

// livingPerDomain returns how many servers of each domain are alive.
func (fleet *fakeFleet) livingPerDomain() map[shedkeel.DomainID]int {
	found := map[shedkeel.DomainID]int{}
	for _, server := range fleet.servers {
		if server.diedAt == 0 {
			found[server.Domain]++
		}
	}
	return found
}

// openGroups returns how many groups of a domain have a live open head that does not stall.
func (fleet *fakeFleet) openGroups(domain shedkeel.DomainID) int {
	count := 0
	for _, server := range fleet.servers {
		if server.Domain == domain && server.diedAt == 0 && server.Member != nil && server.Member.State == shedkeel.MemberOpen && server.stalledSince == 0 {
			count++
		}
	}
	return count
}

// TestWaits has a planner wait for a head that is partitioned from it, in a domain without
// substitutes. It checks that the wait has ended 6 s plus headTimeout, the bound of the wait,
// after the partition began. It also checks Overdue for a wait with a bound and for one without.
func TestWaits(t *testing.T) {
	fleet := newFakeFleet(3, 1, 8) // seed 3; one domain of eight servers
	planner := plannerOfTerm(1)
	fleet.run(planner, time.Minute, beforeTraffic)
	assert.Equal(t, len(planner.Waits()), 0, "%+v", planner.Waits())
	var lost shedkeel.InstanceID
	for _, server := range fleet.listed() {
		if server.Member != nil && server.Member.Rank == 0 && ModelOf(server.Member.Group) == "large" {
			lost = server.ID
		}
	}
	for id, server := range fleet.servers {
		if server.Member == nil || isStandby(server.Member.Group) {
			fleet.servers[id].diedAt = fleet.now // leaves no substitute
		}
	}
	fleet.run(planner, 6*time.Second, underTraffic) // until the dead servers are no longer listed
	// The partition outlasts the test.
	fleet.servers[lost].partitionedAt, fleet.servers[lost].partitionedUntil = fleet.now, fleet.now+time.Hour
	fleet.run(planner, 6*time.Second, underTraffic) // until the head is no longer listed
	reasons := func() []WaitReason {
		var found []WaitReason
		for _, wait := range planner.Waits() {
			found = append(found, wait.Reason)
		}
		return found
	}
	assert.Assert(t, slices.Contains(reasons(), WaitHeadUnreachable), "%+v", planner.Waits())
	fleet.run(planner, headTimeout, underTraffic)
	assert.Assert(t, !slices.Contains(reasons(), WaitHeadUnreachable), "the wait for the head does not end: %+v", planner.Waits())
	assert.Assert(t, Wait{Since: time.Second, Bound: time.Second}.Overdue(2100*time.Millisecond))
	assert.Assert(t, !Wait{Since: time.Second}.Overdue(time.Hour), "a wait without a bound is overdue")
}
