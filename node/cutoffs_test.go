package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/internal/standin"
)

var (
	cutSeeds = flag.Int("cut-seeds", 2, "number of seeds of TestRandomCuts")
	firstCut = flag.Uint64("first-cut", 1, "the first seed of TestRandomCuts")

	fakeCutSeeds = flag.Int("fake-cut-seeds", 5, "number of seeds of TestRandomCutsInFakeTime")
	firstFakeCut = flag.Uint64("first-fake-cut", 21, "the first seed of TestRandomCutsInFakeTime")
)

const (
	// cutsPerSeed is the number of changes of the boxes' cuts in TestRandomCuts.
	cutsPerSeed = 12
	// settleTime is how long after the last cut all requests must be served again.
	settleTime = time.Second
)

// TestRandomCuts cuts boxes off at random, in all ways, for all servers or some, one after the other
// and overlapping. Whatever happens, no request runs more often than its route allows, a refusal
// with 503 is true, a stream that ends as whole is whole, and all boxes serve soon after the last
// cut.
//
//	go test ./node -run TestRandomCuts -cut-seeds 50
func TestRandomCuts(t *testing.T) {
	for offset := range *cutSeeds {
		seed := *firstCut + uint64(offset)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testRandomCuts(t, newTestCluster(t, 4), seed)
		})
	}
}

// TestRandomCutsInFakeTime does the same as TestRandomCuts with other seeds, on a network in memory.
//
//	go test ./node -run TestRandomCutsInFakeTime -first-fake-cut 1 -fake-cut-seeds 150
func TestRandomCutsInFakeTime(t *testing.T) {
	for offset := range *fakeCutSeeds {
		seed := *firstFakeCut + uint64(offset)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inFakeTime(t, func(t *testing.T) { testRandomCuts(t, newFakeTimeCluster(t, 4), seed) })
		})
	}
}

// testRandomCuts runs one seed of TestRandomCuts on the cluster.
func testRandomCuts(t *testing.T, cluster *testCluster, seed uint64) {
	cluster.ready()
	random := rand.New(rand.NewPCG(seed, 5))
	ended := time.Now().Add(cutsPerSeed*time.Second + settleTime)
	results := make([][]firstTry, len(cluster.nodes))
	var running sync.WaitGroup
	for index := range cluster.nodes {
		running.Go(func() { results[index] = cluster.tries(index, ended.Add(time.Second)) })
	}
	for range cutsPerSeed {
		cluster.randomCut(random)
		time.Sleep(time.Duration(random.IntN(int(2 * time.Second))))
		if time.Now().After(ended.Add(-settleTime)) {
			break
		}
	}
	for _, node := range cluster.nodes {
		node.servers.SetCut(standin.Cut{})
	}
	settled := time.Now().Add(settleTime)
	running.Wait()
	for index, tries := range results {
		for _, try := range tries {
			cluster.checkTry(index, &try, try.sent.After(settled))
		}
	}
	assert.Equal(t, len(cluster.fleet.Violations()), 0, "%v", cluster.fleet.Violations())
}

// randomCut changes the cut of a random box.
func (cluster *testCluster) randomCut(random *rand.Rand) {
	cut := standin.Cut{}
	if random.IntN(4) > 0 { // otherwise the box is connected again
		cut.Drop = random.IntN(2) == 0
		cut.Refuse = !cut.Drop
		cut.Reset = random.IntN(3) == 0
		cut.Silence = []standin.Direction{0, standin.Outgoing, standin.Incoming, standin.BothDirections}[random.IntN(4)]
	}
	if random.IntN(4) == 0 {
		for _, server := range cluster.fleet.Addresses() {
			if random.IntN(2) == 0 {
				cut.Addresses = append(cut.Addresses, server)
			}
		}
	}
	index := random.IntN(len(cluster.nodes))
	cluster.t.Logf("%s node %d: %+v", time.Now().Format("05.000"), index, cut)
	cluster.nodes[index].servers.SetCut(cut)
}

// checkTry checks what holds for every request, and, if it must be served, that it was.
func (cluster *testCluster) checkTry(index int, try *firstTry, mustBeServed bool) {
	t := cluster.t
	t.Helper()
	runs := cluster.fleet.RunCount(try.id)
	assert.Check(t, runs <= maxRuns(try.path), "node %d: %s ran %d times", index, try.path, runs)
	assert.Check(t, try.status != http.StatusServiceUnavailable || runs == 0, "node %d: %s ran and got 503: %s", index, try.path, try.body)
	if try.status == http.StatusOK && strings.HasPrefix(try.path, "/copy/") {
		assert.Check(t, try.body == completeStream(10), "node %d: a stream that ended as whole is not: %q", index, try.body)
	}
	known := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout, 0}
	assert.Check(t, slices.Contains(known, try.status), "node %d: %s got status %d", index, try.path, try.status)
	if mustBeServed {
		assert.Check(t, try.served(), "node %d, %s after the last cut: status %d after %s: %s", index, try.path, try.status, try.took, try.body)
	}
}
