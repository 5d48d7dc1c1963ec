package soak

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

var (
	allHistories = flag.Bool("histories", false, "run all histories of TestRetryBudget, not only the shortest")
	historySeed  = flag.Uint64("history-seed", 1, "seed of the histories of TestRetryBudget")
)

// history is what happens to a fleet whose callers send a steady load.
type history struct {
	always bool // runs without the flag too
	run    func(cluster *cluster, random *rand.Rand)
}

// histories are the histories of TestRetryBudget. Each begins with the load on a sound fleet.
var histories = map[string]history{
	"servers refuse at once": {true, func(cluster *cluster, _ *rand.Rand) {
		time.Sleep(4 * time.Second) // so that the fixed part of the budget is whole
		cluster.failAll(platformstandin.Failure{Share: 1, Kind: platformstandin.FailRefuse}, 14*time.Second)
	}},
	"servers fail in all ways": {false, func(cluster *cluster, _ *rand.Rand) {
		time.Sleep(4 * time.Second)
		cluster.failAll(platformstandin.Failure{Share: 0.9, Kind: platformstandin.FailMixed}, 14*time.Second)
	}},
	"store silent to four nodes": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() { cluster.cutStore(cluster.nodes[:4], stalled, 9*time.Second) })
	}},
	"store refuses four nodes": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() { cluster.cutStore(cluster.nodes[5:], refusing, 9*time.Second) })
	}},
	"store silent to seven nodes": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() { cluster.cutStore(cluster.nodes[:7], stalled, 9*time.Second) })
	}},
	"store silent to all": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() { cluster.cutStore(cluster.nodes, stalled, 14*time.Second) })
	}},
	"all killed in an outage": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() {
			cluster.data.SetFaults(standin.Faults{Outage: true})
			time.Sleep(2 * time.Second)
			cluster.restartAll(cluster.nodes)
			time.Sleep(2 * time.Second)
			cluster.data.SetFaults(standin.Faults{})
			time.Sleep(4 * time.Second)
			cluster.restartAll(cluster.nodes)
		})
	}},
	"half frozen": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() {
			for range 2 {
				cluster.freezeAll(cluster.nodes[:4], 3500*time.Millisecond)
				time.Sleep(2 * time.Second)
			}
		})
	}},
	"killed and added while cut": {false, func(cluster *cluster, _ *rand.Rand) {
		cluster.duringFailures(func() {
			cluster.cutStore(cluster.nodes[:3], stalled, 4*time.Second)
			cluster.restartAll(cluster.nodes[3:6])
			cluster.cutStore(cluster.nodes[6:], refusing, 4*time.Second)
		})
	}},
	"all troubles": {false, func(cluster *cluster, random *rand.Rand) {
		var injecting sync.WaitGroup
		for range 2 {
			each := rand.New(rand.NewPCG(random.Uint64(), 1))
			injecting.Go(func() { cluster.runFaults(each, 25*time.Second) })
		}
		injecting.Go(func() {
			time.Sleep(3 * time.Second)
			cluster.failAll(platformstandin.Failure{Share: 0.9, Kind: platformstandin.FailMixed}, 18*time.Second)
		})
		injecting.Wait()
	}},
}

// TestRetryBudget runs fleets of nine nodes with some 150 requests a second and checks what reaches the servers
// against retryRules. It guards against nodes that together retry more often than the budget allows: a count whose
// window was too short did when servers began to fail, and so did nodes that believed themselves to be few.
func TestRetryBudget(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute for each history")
	}
	binary := build(t)
	for name, history := range histories {
		if !history.always && !*allHistories {
			continue
		}
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			cluster := newCluster(t, binary, *historySeed, fleetSize{nodes: 9, engines: 48, domains: 6, plain: 3})
			cluster.checker.cluster = cluster
			cluster.checker.waitServed("before any fault", 30*time.Second)
			stop := make(chan struct{})
			calling := cluster.checker.runLoad(stop)
			history.run(cluster, cluster.random)
			close(stop)
			calling.Wait()
			cluster.checker.checkLoad()
			if t.Failed() {
				t.Logf("logs: %s", cluster.keepLogs())
			}
		})
	}
}

const (
	// loadCallers send some 150 requests a second together, each after a pause of loadPause on average.
	loadCallers = 150
	loadPause   = 650 * time.Millisecond
)

// kindShares are the parts of the kinds of requests in the load, one in a thousand each.
var kindShares = map[string]int{"/copy/": 893, "/fee/": 76, "/look/": 31}

// randomKind returns a kind of request, as often as kindShares says.
func randomKind(random *rand.Rand) string {
	drawn := random.IntN(1000)
	for _, kind := range []string{"/copy/", "/fee/"} {
		if drawn -= kindShares[kind]; drawn < 0 {
			return kind
		}
	}
	return "/look/"
}

// runLoad has callers send a steady load until stop is closed, and returns a group to wait for their end.
func (checker *checker) runLoad(stop <-chan struct{}) *sync.WaitGroup {
	var calling sync.WaitGroup
	for index := range loadCallers {
		caller := &caller{checker: checker, random: rand.New(rand.NewPCG(uint64(index), 6)), client: &http.Client{Timeout: callDeadline, Transport: &http.Transport{}}}
		calling.Go(func() { caller.runSteadily(stop) })
	}
	return &calling
}

// runSteadily sends requests until stop is closed.
func (caller *caller) runSteadily(stop <-chan struct{}) {
	defer caller.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(caller.random.ExpFloat64() * float64(loadPause))):
		}
		if address := caller.address(); address != "" {
			caller.send(address, randomKind(caller.random), "stays")
		}
	}
}

// checkLoad fails the test if a bound of retryRules was exceeded or the load was not that of the test.
func (checker *checker) checkLoad() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.checkRetries()
	if len(checker.sent) < 1000 {
		checker.cluster.t.Errorf("only %d requests were sent, so the test checked little", len(checker.sent))
	}
	checker.cluster.t.Logf("outcomes: %v", checker.outcomes)
}

// failAll makes all servers fail in the same way for some time.
func (cluster *cluster) failAll(failure platformstandin.Failure, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, id := range cluster.fleet.LiveServers() { // servers may have been added
			cluster.fleet.SetFailure(id, failure)
		}
	}
	for _, id := range cluster.fleet.LiveServers() {
		cluster.fleet.SetFailure(id, platformstandin.Failure{})
	}
}

// duringFailures makes most requests fail at all servers, and injects the fault meanwhile.
func (cluster *cluster) duringFailures(fault func()) {
	time.Sleep(4 * time.Second)
	var failing sync.WaitGroup
	failing.Go(func() {
		cluster.failAll(platformstandin.Failure{Share: 0.9, Kind: platformstandin.FailMixed}, 20*time.Second)
	})
	time.Sleep(3 * time.Second)
	fault()
	failing.Wait()
}

// cutStore puts the nodes' paths to the store into the mode for some time.
func (cluster *cluster) cutStore(nodes []*process, mode proxyMode, length time.Duration) {
	for _, node := range nodes {
		node.store.set(mode)
	}
	time.Sleep(length)
	for _, node := range nodes {
		node.store.set(passing)
	}
}

// restartAll kills the nodes at the same time and starts them again.
func (cluster *cluster) restartAll(nodes []*process) {
	var ending sync.WaitGroup
	for _, node := range nodes {
		ending.Go(func() { node.end(syscall.SIGKILL) })
	}
	ending.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, node := range nodes {
		cluster.startNode(node)
	}
}

// freezeAll suspends the nodes for some time.
func (cluster *cluster) freezeAll(nodes []*process, length time.Duration) {
	for _, node := range nodes {
		node.signal(syscall.SIGSTOP)
	}
	time.Sleep(length)
	for _, node := range nodes {
		node.signal(syscall.SIGCONT)
		cluster.recordResume(node)
	}
}
