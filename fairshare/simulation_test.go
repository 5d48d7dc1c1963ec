package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

const (
	slotsPerGroup      = 20
	groupsPerPartition = 24
	reserve            = 0.1 // fraction of the slots that only requests within their share take
	minWork, maxWork   = 0.3, 1.6
	meanWork           = (minWork + maxWork) / 2
	maxDuration        = 1601 // of a request, in ms
)

// client is an account of a simulated overload.
type client struct {
	id     shedkeel.AccountID
	demand float64 // as a multiple of an equal split of the slots
}

func (client client) large() bool { return client.demand > 1.5 }

// clients returns 12 small, 8 medium and 4 large accounts with demands as multiples of an equal
// split of the slots.
func clients(small, medium, large float64) []client {
	var clients []client
	for index, demand := range slices.Concat(slices.Repeat([]float64{small}, 12), slices.Repeat([]float64{medium}, 8), slices.Repeat([]float64{large}, 4)) {
		clients = append(clients, client{shedkeel.AccountID(fmt.Sprint("account-", index)), demand})
	}
	return clients
}

// keeper is a node that admits requests to the slots of its partition.
type keeper struct {
	shares  Shares
	frozen  bool
	backlog []func() // requests that arrived while it was frozen
	slots   int
	running int
	ending  [maxDuration]int // requests by the millisecond in which they end
}

// cluster is a simulated deployment. Each keeper sees a random part of the requests.
type cluster struct {
	keepers []*keeper
	clients []client
	random  *rand.Rand
	now     time.Duration
	adjust  func(shares *Shares) // changes the shares before each use, in comparisons
	tally   *tally
}

func newCluster(boxes, keepers int, seed uint64) *cluster {
	cluster := &cluster{clients: clients(0.3, 1.2, 30), random: rand.New(rand.NewPCG(uint64(boxes), seed)), tally: &tally{}}
	for range keepers {
		cluster.keepers = append(cluster.keepers, &keeper{slots: groups(boxes) * slotsPerGroup / keepers})
	}
	return cluster
}

func groups(boxes int) int { return boxes / 3 }

func partitions(boxes int) int { return (groups(boxes) + groupsPerPartition - 1) / groupsPerPartition }

func (cluster *cluster) slots() float64 {
	return float64(len(cluster.keepers) * cluster.keepers[0].slots)
}

// run simulates a time in steps of 1 ms and counts what happens in a tally.
func (cluster *cluster) run(length time.Duration, tally *tally) {
	cluster.tally = tally
	tally.capacity += cluster.slots() * length.Seconds()
	clients, split := cluster.clients, cluster.slots()/float64(len(cluster.clients))
	for end := cluster.now + length; cluster.now < end; cluster.now += time.Millisecond {
		for _, keeper := range cluster.keepers {
			ended := &keeper.ending[cluster.now.Milliseconds()%maxDuration]
			keeper.running -= *ended
			*ended = 0
		}
		for _, index := range cluster.random.Perm(len(clients)) {
			for range poisson(cluster.random, clients[index].demand*split/meanWork/1000) {
				cluster.request(index, clients[index], cluster.keepers[cluster.random.IntN(len(cluster.keepers))])
			}
		}
	}
}

// request decides on one request as overload control does: within the share while slots are
// free, beyond it while more than the reserve is free.
func (cluster *cluster) request(index int, client client, keeper *keeper) {
	work := minWork + (maxWork-minWork)*cluster.random.Float64()
	if keeper.frozen {
		keeper.backlog = append(keeper.backlog, func() { keeper.shares.Ask(client.id, 0, work, cluster.now) })
		return
	}
	keeper.shares.Ask(client.id, 0, work, cluster.now)
	if cluster.adjust != nil {
		cluster.adjust(&keeper.shares)
	}
	covered := keeper.shares.Covered(client.id, 0, cluster.now)
	within := cluster.random.Float64() < covered
	limit := (1 - reserve) * float64(keeper.slots)
	if within {
		limit = float64(keeper.slots)
	}
	admitted := float64(keeper.running) < limit
	cluster.tally.count(index, client, work, covered, within && admitted)
	if !admitted {
		return
	}
	keeper.shares.Admitted(work, cluster.now)
	cluster.tally.admitted += work
	keeper.running++
	keeper.ending[(cluster.now.Milliseconds()+int64(work*1000))%maxDuration]++
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		count++
	}
	return count
}

// freeze stops the first keeper for a time. When it resumes, it reads the requests that have
// waited, if they were kept; their callers are gone.
func (cluster *cluster) freeze(length time.Duration, kept bool) {
	frozen := cluster.keepers[0]
	frozen.frozen = true
	cluster.run(length, &tally{})
	frozen.frozen = false
	for _, read := range frozen.backlog {
		if kept {
			read()
		}
	}
	frozen.backlog = nil
}

// tally counts requests. The accounts in it ask for less than their share.
type tally struct {
	accounts                   [24]struct{ asked, covered, admitted float64 }
	within, admitted, capacity float64 // work within shares, admitted work, work that the slots allow
}

func (tally *tally) count(index int, client client, work, covered float64, admitted bool) {
	tally.within += work * covered
	if client.large() {
		return
	}
	account := &tally.accounts[index]
	account.asked++
	account.covered += covered
	if admitted {
		account.admitted++
	}
}

// figures are the results of a tally.
type figures struct {
	lowest  float64 // lowest covered fraction of an account that asks for less than its share
	covered float64 // covered fraction of all such accounts
	placed  float64 // fraction of their requests that are admitted within their share
	within  float64 // work within the shares of all accounts, as a fraction of the capacity
	used    float64 // admitted work, as a fraction of the capacity
}

func (tally *tally) figures() figures {
	result := figures{lowest: 1, within: tally.within / tally.capacity, used: tally.admitted / tally.capacity}
	asked := 0.0
	for _, account := range tally.accounts {
		if account.asked > 0 {
			result.lowest = min(result.lowest, account.covered/account.asked)
		}
		asked += account.asked
		result.covered += account.covered
		result.placed += account.admitted
	}
	result.covered /= asked
	result.placed /= asked
	return result
}

func (figures figures) String() string {
	return fmt.Sprintf("lowest %.3f covered %.3f placed %.3f within %.3f used %.3f",
		figures.lowest, figures.covered, figures.placed, figures.within, figures.used)
}

// assertFair checks that accounts which ask for less than their share have it, and that the
// shares together stay within the capacity without leaving it unused.
func assertFair(t *testing.T, result figures) {
	t.Helper()
	assert.Assert(t, result.lowest >= 0.95, "an account that asks for less than its share: %s", result)
	assert.Assert(t, result.within <= 1, "work within the shares: %s", result)
	assert.Assert(t, result.used >= 1-reserve, "used capacity: %s", result)
}

// overload returns the figures of one minute, without the first 2 s, in which the slots fill.
func overload(cluster *cluster) figures {
	var result tally
	cluster.run(2*time.Second, &tally{})
	cluster.run(time.Minute, &result)
	return result.figures()
}

// TestOverload guards against accounts that lose their share to large ones, against shares
// that exceed the capacity, and against a capacity that shrinks by its own decisions.
func TestOverload(t *testing.T) {
	for _, boxes := range []int{9, 66, 300} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			result := overload(newCluster(boxes, partitions(boxes), 1))
			t.Log(result)
			assertFair(t, result)
		})
	}
}

// TestMildOverload guards against accounts that exceed their shares by little and are all
// covered, so that the shares together exceed the capacity.
func TestMildOverload(t *testing.T) {
	cases := map[string][]client{
		"half of the accounts, 1.3 times their share": clients(0.5, 2, 2),
		"all accounts, 1.3 times their share":         clients(1.3, 1.3, 1.3),
		"all accounts, 3 times their share":           clients(3, 3, 3),
	}
	for name, clients := range cases {
		for _, boxes := range []int{9, 66, 300} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				cluster := newCluster(boxes, partitions(boxes), 1)
				cluster.clients = clients
				result := overload(cluster)
				assert.Assert(t, result.within <= 1, "work within the shares: %s", result)
			})
		}
	}
}

// TestFailures guards against a keeper that loses or misreads its state and then, for more
// than 0.5 s, takes the share of accounts that ask for less.
func TestFailures(t *testing.T) {
	restart := func(keepers int) func(*cluster) {
		return func(cluster *cluster) {
			for _, keeper := range cluster.keepers[:min(keepers, len(cluster.keepers))] {
				keeper.shares = Shares{}
			}
		}
	}
	cases := map[string]func(cluster *cluster){
		"dead, the next keeper is new": restart(1),
		"two at once":                  restart(2),
		"cut off for 0.3 s":            func(cluster *cluster) { cluster.freeze(300*time.Millisecond, false) },
		"cut off for 2 s":              func(cluster *cluster) { cluster.freeze(2*time.Second, false) },
		"frozen for 0.3 s":             func(cluster *cluster) { cluster.freeze(300*time.Millisecond, true) },
		"frozen for 2 s":               func(cluster *cluster) { cluster.freeze(2*time.Second, true) },
	}
	for name, fail := range cases {
		for _, boxes := range []int{9, 66, 300} {
			t.Run(fmt.Sprint(name, " ", boxes, " boxes"), func(t *testing.T) {
				cluster, first, later := newCluster(boxes, partitions(boxes), 1), &tally{}, &tally{}
				for range 10 {
					cluster.run(3*time.Second, &tally{})
					fail(cluster)
					cluster.run(500*time.Millisecond, first)
					cluster.run(6*time.Second, later)
				}
				t.Logf("first 0.5 s: %s; then: %s", first.figures(), later.figures())
				assert.Assert(t, first.figures().covered >= 0.95, "first 0.5 s: %s", first.figures())
				assertFair(t, later.figures())
			})
		}
	}
}

// TestTwoKeepers guards against keepers that each see a random half of the requests and whose
// shares differ from those of one keeper that sees all, or drift apart.
func TestTwoKeepers(t *testing.T) {
	one, two := newCluster(66, 1, 1), newCluster(66, 2, 2)
	whole, halves := &tally{}, &tally{}
	one.run(2*time.Second, &tally{})
	two.run(2*time.Second, &tally{})
	furthest := 1.0
	for range 60 {
		one.run(time.Second, whole)
		two.run(time.Second, halves)
		apart := two.keepers[0].shares.average / two.keepers[1].shares.average
		furthest = max(furthest, apart, 1/apart)
	}
	t.Logf("one: %s; two: %s; capacities apart by a factor of up to %.2f", whole.figures(), halves.figures(), furthest)
	assertFair(t, halves.figures())
	assert.Assert(t, math.Abs(halves.figures().within-whole.figures().within) <= 0.05)
	assert.Assert(t, furthest <= 1.25)
}

// TestCompareWays logs what other ways give: an equal split of the capacity, and boxes that
// compute shares of their own. It guards against shares that lose their advantage over them.
func TestCompareWays(t *testing.T) {
	for _, boxes := range []int{9, 66, 300} {
		equal := newCluster(boxes, partitions(boxes), 1)
		equal.adjust = func(shares *Shares) {
			if len(shares.levels) > 0 {
				shares.levels[1].level = shares.levels[0].left / float64(len(shares.accounts))
				shares.averageLevels[1].level = shares.averageLevels[0].left / float64(len(shares.accounts))
			}
		}
		ways := map[string]*cluster{
			"max-min": newCluster(boxes, partitions(boxes), 1), "equal split": equal, "each box": newCluster(boxes, boxes, 1),
		}
		results := map[string]figures{}
		for name, cluster := range ways {
			results[name] = overload(cluster)
			t.Logf("%d boxes, %s: %s", boxes, name, results[name])
		}
		kept, split, own := results["max-min"], results["equal split"], results["each box"]
		assert.Assert(t, kept.lowest > split.lowest && kept.within > split.within)
		assert.Assert(t, kept.lowest > own.lowest && kept.placed > own.placed)
	}
}
