package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// lostRules are the bounds on requests that end without a complete answer, as the platform's rules and
// settingsText state them.
var lostRules = struct{ grace, slack, contact, apply time.Duration }{grace: 6 * time.Second, slack: 200 * time.Millisecond, contact: 6 * time.Second, apply: 5 * time.Second}

// call is a request as its caller saw it.
type call struct {
	id          string
	kind        string
	node        int
	sent, ended time.Time
	complete    time.Time // when its last byte was sent; zero: never
	status      int       // 0: the connection ended without an answer
	whole       bool      // the body is complete
}

// answered reports whether the caller got a complete answer, of any status.
func (call *call) answered() bool { return call.status != 0 && call.whole }

// limit is the time that the call's route and its caller allow.
func (call *call) limit() time.Duration {
	if call.kind == "/copy/" {
		return callDeadline
	}
	return 2 * time.Second // timeout_ms of its route in configText
}

// reachedLimit reports whether the call ended because its time was over.
func (call *call) reachedLimit() bool {
	return call.ended.Sub(call.sent) >= call.limit()-lostRules.slack
}

// plannedWork is a signal to a node or a new configuration.
type plannedWork struct {
	signal syscall.Signal // 0: a configuration
	node   int
	at     time.Time
}

// covers reports whether the call counts as ended around the work.
func (work *plannedWork) covers(call *call) bool {
	switch work.signal {
	case syscall.SIGTERM:
		return call.node == work.node && !call.ended.Before(work.at) && call.ended.Before(work.at.Add(lostRules.grace+time.Second))
	case syscall.SIGHUP:
		return call.node == work.node && !call.ended.Before(work.at) && call.complete.Before(work.at.Add(lostRules.apply))
	}
	return !call.ended.Before(work.at) && call.ended.Before(work.at.Add(lostRules.apply+time.Second)) && call.ended.Sub(call.sent) < call.limit()*7/10
}

// excuses reports whether a server was at work on the call so late in the node's grace time that the node need not
// wait for it.
func (work *plannedWork) excuses(call *call, finished bool) bool {
	return work.signal == syscall.SIGTERM && !finished && !call.complete.After(work.at.Add(3*time.Second)) && call.ended.After(work.at.Add(lostRules.grace*5/6))
}

// interval is a time in which an unplanned fault lasted.
type interval struct{ from, to time.Time }

// recordCall records a call and what its caller saw.
func (checker *checker) recordCall(call call) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.calls = append(checker.calls, call)
}

// recordPlanned records planned work that begins now.
func (checker *checker) recordPlanned(signal syscall.Signal, node int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.planned = append(checker.planned, plannedWork{signal: signal, node: node, at: time.Now()})
}

// recordUnplanned records an unplanned fault.
func (checker *checker) recordUnplanned(from, to time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.unplanned = append(checker.unplanned, interval{from, to})
}

// lost returns how the call broke the rule on lost requests, or "". Configurations are judged by checkLost. The caller
// holds the mutex.
func (checker *checker) lost(call *call, passedOn bool) string {
	took := call.ended.Sub(call.sent)
	if call.answered() || call.complete.IsZero() || !passedOn && call.ended.Sub(call.complete) < lostRules.slack || call.reachedLimit() {
		return ""
	}
	for _, fault := range checker.unplanned {
		if fault.to.After(call.sent.Add(-lostRules.contact)) && fault.from.Before(call.ended) {
			return ""
		}
	}
	if checker.excused(call) {
		return ""
	}
	finished := len(checker.finishedBefore(call, call.ended)) > 0
	found := ""
	for _, work := range checker.planned {
		if work.signal == 0 || !work.covers(call) {
			continue
		}
		found = fmt.Sprintf("%s%s: no whole answer around %s to node %d: it ended %s after that and %s after it was sent, with status %d; a server had finished it: %t",
			call.kind, call.id, work.signal, call.node, call.ended.Sub(work.at).Round(time.Millisecond), took.Round(time.Millisecond), call.status, finished)
	}
	return found
}

// excused reports whether a node that stops need not have waited for the call. The caller holds the mutex.
func (checker *checker) excused(call *call) bool {
	finished := len(checker.finishedBefore(call, call.ended)) > 0
	for _, work := range checker.planned {
		if work.covers(call) && work.excuses(call, finished) {
			return true
		}
	}
	return false
}

// finishedBefore returns the complete answers to the call that servers had written by then. The caller holds the mutex.
func (checker *checker) finishedBefore(call *call, then time.Time) []platformstandin.Completion {
	var finished []platformstandin.Completion
	for _, completion := range checker.cluster.fleet.Completions(call.id) {
		if completion.At.Before(then) {
			finished = append(finished, completion)
		}
	}
	return finished
}

// checkLost fails the test for each call that broke the rule on lost requests around a signal, and for each
// node that cut calls more than three times as often beside configurations as at other times. The caller holds the mutex.
func (checker *checker) checkLost() {
	t := checker.cluster.t
	passedOn := map[string]bool{}
	for _, arrival := range checker.cluster.fleet.RequestArrivals() {
		passedOn[arrival.Request] = true
	}
	lost := 0
	beside, besideCut, otherwise, otherwiseCut := map[int]int{}, map[int]int{}, map[int]int{}, map[int]int{}
	for index := range checker.calls {
		call := &checker.calls[index]
		if fault := checker.lost(call, passedOn[call.id]); fault != "" {
			if lost++; lost <= maxListed {
				t.Error(fault)
			}
		}
		total, cut := otherwise, otherwiseCut
		for _, work := range checker.planned {
			if work.signal == 0 && work.covers(call) {
				total, cut = beside, besideCut
			}
		}
		total[call.node]++
		if !call.answered() && passedOn[call.id] && len(checker.unplanned) == 0 && !call.reachedLimit() && !checker.excused(call) {
			cut[call.node]++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d calls were lost", lost, len(checker.calls))
	}
	for node, count := range besideCut {
		if float64(count)*float64(otherwise[node]) > 3*float64(otherwiseCut[node])*float64(beside[node]) && otherwise[node] > 0 {
			t.Errorf("node %d cut %d of %d calls beside configurations, and %d of %d at other times", node, count, beside[node], otherwiseCut[node], otherwise[node])
		}
	}
}

// maxListed is how many calls that broke a rule are described.
const maxListed = 5

// checkFinished fails the test for each answer that a server had finished within seven tenths of the call's time and that its
// caller did not get whole. It logs how many calls servers finished more than once.
func (checker *checker) checkFinished() {
	t := checker.cluster.t
	finished, cut, again := 0, 0, 0
	for index := range checker.calls {
		call := &checker.calls[index]
		answers := checker.finishedBefore(call, call.sent.Add(call.limit()*7/10))
		if len(answers) > 0 {
			finished++
		}
		if len(answers) > 1 {
			again++
		}
		if len(answers) == 0 || call.status == http.StatusOK && call.whole {
			continue
		}
		if cut++; cut <= maxListed {
			t.Errorf("%s%s at node %d: %s finished it after %s, and its caller got status %d (whole: %t) after %s", call.kind, call.id, call.node,
				answers[0].Server, answers[0].At.Sub(call.sent).Round(time.Millisecond), call.status, call.whole, call.ended.Sub(call.sent).Round(time.Millisecond))
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d finished answers did not reach their callers", cut, finished)
	}
	t.Logf("%d calls, %d finished by servers, %d of them more than once; %d checks reached servers", len(checker.calls), finished, again, checker.cluster.fleet.CheckCount())
	if finished < 100 {
		t.Errorf("servers finished only %d answers, so the test checked little", finished)
	}
}

// finishingCase is a kind of server and what is done to the nodes.
type finishingCase struct {
	prepare func(fleet *platformstandin.Fleet)
	work    func(cluster *cluster)
}

// plannedWorkTime is for how long planned work lasts in a run.
const plannedWorkTime = 8 * time.Second

// signalNodes stops nodes in turn, has others read their settings again, and changes the configuration.
func (cluster *cluster) signalNodes() {
	random := rand.New(rand.NewPCG(7, 1))
	for end := time.Now().Add(plannedWorkTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		switch random.IntN(3) {
		case 0:
			cluster.sendHangup(random)
		case 1:
			cluster.configure()
		}
		cluster.stopNode(random)
	}
}

// silenceBesideStops makes all servers silent for 1.2 s while a node stops, several times.
func (cluster *cluster) silenceBesideStops() {
	random := rand.New(rand.NewPCG(7, 2))
	for range 3 {
		var stopping sync.WaitGroup
		stopping.Go(func() { cluster.stopNode(random) })
		time.Sleep(200 * time.Millisecond)
		cluster.fleet.Silence(1200 * time.Millisecond)
		stopping.Wait()
	}
}

// limitSlots gives servers so few slots that they are full, and slow answers.
func limitSlots(checks platformstandin.CheckHandling) func(fleet *platformstandin.Fleet) {
	return func(fleet *platformstandin.Fleet) {
		fleet.Slots, fleet.Checks, fleet.CloseDelimited, fleet.PartTime = 2, checks, true, 40*time.Millisecond
	}
}

// finishingCases are the runs of TestFinishedAnswersReachCallers. In all of them the servers' records state starts, and health checks and
// reports don't.
var finishingCases = map[string]finishingCase{
	"planned work":                         {func(fleet *platformstandin.Fleet) { fleet.CloseDelimited = true }, (*cluster).signalNodes},
	"planned work, all framings":           {func(*platformstandin.Fleet) {}, (*cluster).signalNodes},
	"full, health checks wait":             {limitSlots(platformstandin.CheckWaits), (*cluster).signalNodes},
	"full, health checks are rejected":     {limitSlots(platformstandin.CheckRejected), (*cluster).signalNodes},
	"full, new connections are reset":      {limitSlots(platformstandin.CheckConnReset), (*cluster).signalNodes},
	"full, health checks are reset":        {limitSlots(platformstandin.CheckReset), (*cluster).signalNodes},
	"silent servers beside stopping nodes": {func(fleet *platformstandin.Fleet) { fleet.Checks = platformstandin.CheckWaits }, (*cluster).silenceBesideStops},
}

// TestFinishedAnswersReachCallers guards against answers that servers have finished and whose callers get a part, since nothing
// that a node asked for in time showed that they were complete.
func TestFinishedAnswersReachCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute for each case")
	}
	binary := build(t)
	for name, test := range finishingCases {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			size := smallFleet()
			size.prepare = func(fleet *platformstandin.Fleet) {
				fleet.ExamplesOnly = true
				test.prepare(fleet)
			}
			cluster := newCluster(t, binary, 1, size)
			cluster.checker.cluster = cluster
			cluster.checker.waitServed("before any signal", 20*time.Second)
			stop := make(chan struct{})
			var calling sync.WaitGroup
			for index := range *callers {
				calling.Go(func() { cluster.checker.runCaller(index, stop) })
			}
			test.work(cluster)
			close(stop)
			calling.Wait()
			cluster.checker.check()
			cluster.checker.mutex.Lock()
			cluster.checker.checkFinished()
			cluster.checker.mutex.Unlock()
			if t.Failed() {
				t.Logf("logs: %s", cluster.keepLogs())
			}
		})
	}
}
