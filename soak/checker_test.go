package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// revokeBound is the time after which no request runs with a removed API key: the
// nodes' setting bounds.revoke, and 200 ms for the request to arrive.
const revokeBound = 5*time.Second + 200*time.Millisecond

// maxServersCrashed is how many servers one deadly request may crash: five before all
// nodes know of the crashes, and three by copies of the request that reach servers after
// that.
const maxServersCrashed = 8

// streamEvents is the number of events in a stream.
const streamEvents = 20

// checker sends requests and checks their answers and how often they ran.
type checker struct {
	cluster *cluster

	mutex      sync.Mutex
	removed    map[string]time.Time // when each API key was removed
	rejected   []string             // unsafe calls whose answer said that they did not run
	atMostOnce []string             // unsafe calls, which must run at most once
	violations []string
	outcomes   map[string]int
	sent       []platformstandin.Sent // requests on a route of configText
	calls      []call                 // the same, once they have ended
	planned    []plannedWork
	unplanned  []interval
}

// retryRules are the bounds that the settings of the nodes state, those of settingsText.
var retryRules = platformstandin.RetryRules{Ratio: 0.2, Slack: 136, Window: 10 * time.Second}

// callDeadline is the deadline that callers state.
const callDeadline = 8 * time.Second

// recordSent records a request that is about to be sent, as its route in configText says.
func (checker *checker) recordSent(path, id string) {
	sent := platformstandin.Sent{Request: id, Service: "plain", At: time.Now(), Deadline: callDeadline, MaxRuns: 2}
	switch {
	case strings.HasPrefix(path, "/copy/"):
		sent.Service, sent.Stream = "llm", true
	case strings.HasPrefix(path, "/fee/"):
		sent.MaxRuns = 1
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.sent = append(checker.sent, sent)
}

// checkRetries fails the test if the requests that reached servers exceed one of retryRules. The caller holds the mutex.
func (checker *checker) checkRetries() {
	t := checker.cluster.t
	traffic := platformstandin.Traffic{Sent: checker.sent, Arrivals: checker.cluster.fleet.RequestArrivals()}
	for _, violation := range retryRules.Check(traffic) {
		t.Error(violation)
	}
	for _, window := range retryRules.WorstWindows(traffic) {
		t.Logf("worst window of retries, %.2f of its bound: %s", window.Used(), window)
	}
	t.Logf("%d requests, %d arrivals, %d of them with over half a second more than remains", len(traffic.Sent), len(traffic.Arrivals), traffic.Overruns())
}

// keyRemoved records that the API key was removed just now. Its first call creates the
// checker's maps.
func (checker *checker) keyRemoved(key string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if checker.removed == nil {
		checker.removed = map[string]time.Time{}
		checker.outcomes = map[string]int{}
	}
	checker.removed[key] = time.Now()
}

// recordViolation records a violated guarantee, which fails the test at its end.
func (checker *checker) recordViolation(format string, args ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.violations = append(checker.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// caller is a client of the nodes. Only the callers of runCaller reuse their connections
// and look addresses up in the directory.
type caller struct {
	checker           *checker
	random            *rand.Rand
	client            *http.Client
	addresses         []string
	addressesExpireAt time.Time
}

// runCaller sends calls until stop is closed. Its client waits one second longer than the
// deadline of 8 s that post states.
func (checker *checker) runCaller(index int, stop <-chan struct{}) {
	caller := &caller{checker: checker, random: rand.New(rand.NewPCG(uint64(index), 5)), client: &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{}}}
	defer caller.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(caller.random.IntN(60)) * time.Millisecond):
		}
		caller.call()
	}
}

// address returns a node's address from the directory, or "" if no answer with an address
// came yet. Like the platform's callers it caches an answer for up to three times the
// answer's TTL, here once or three times, and for longer if it gets no new answer.
func (caller *caller) address() string {
	if time.Now().After(caller.addressesExpireAt) {
		node := caller.checker.cluster.nodes[caller.random.IntN(len(caller.checker.cluster.nodes))]
		if answer, ttl := caller.ask(node.directory); len(answer) > 0 {
			caller.addresses = answer
			caller.addressesExpireAt = time.Now().Add(ttl * time.Duration(1+2*caller.random.IntN(2)))
		}
	}
	if len(caller.addresses) == 0 {
		return ""
	}
	return caller.addresses[caller.random.IntN(len(caller.addresses))]
}

// ask returns the addresses and the TTL of a directory answer, or no addresses if none
// came.
func (caller *caller) ask(directory string) ([]string, time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory + "/shedkeel/resolve?name=h.example&zone=z")
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses  []string `json:"addresses"`
		TTLSeconds float64  `json:"ttl_s"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.TTLSeconds * float64(time.Second))
}

// call sends a call of a random kind: /copy/ is streaming, /look/ safe and /fee/ unsafe,
// as configText says. The API key is one that stays valid or the newest, which a fault may
// replace.
func (caller *caller) call() {
	address := caller.address()
	if address == "" {
		return
	}
	kind := []string{"/copy/", "/look/", "/fee/"}[caller.random.IntN(3)]
	key := []string{"stays", caller.checker.cluster.key()}[caller.random.IntN(2)]
	caller.send(address, kind, key)
}

// send sends one call and checks its answer. It reports whether a complete answer with
// status 200 came.
func (caller *caller) send(address, kind, key string) bool {
	cluster := caller.checker.cluster
	node := slices.IndexFunc(cluster.nodes, func(process *process) bool { return process.callers == address })
	id := platformstandin.RequestID(node, shedkeel.NewNonce())
	sending := &lateBody{Reader: strings.NewReader("x"), pause: caller.pause(kind)}
	sent := time.Now()
	status, body := caller.post(address, kind+id, id, key, sending)
	complete := sending.completedAt()
	caller.checker.recordOutcome(kind, id, status)
	caller.checker.recordCall(call{id: id, kind: kind, node: node, sent: sent, complete: complete, ended: time.Now(), status: status, whole: body != ""})
	if status != http.StatusOK || body == "" {
		return false
	}
	caller.checker.checkAnswer(kind, id, key, complete, body)
	return true
}

// pause returns how long a call's body is held back: a caller sends one call in four slowly, so that its servers have most of its
// time left. The calls that wait for a node's answer (waitServed) are sent at once.
func (caller *caller) pause(kind string) time.Duration {
	switch {
	case caller.random == nil || caller.random.IntN(4) > 0:
		return 0
	case kind == "/copy/":
		return between(caller.random, 1, 3000)
	}
	return between(caller.random, 1, 1000)
}

// lateBody is a body that is sent after a pause.
type lateBody struct {
	*strings.Reader
	pause time.Duration

	mutex sync.Mutex
	at    time.Time // when it was sent; zero: it was not
}

// Read waits for the pause, and records when the body was sent.
func (body *lateBody) Read(buffer []byte) (int, error) {
	if body.Len() > 0 {
		time.Sleep(body.pause)
		body.mutex.Lock()
		body.at = time.Now()
		body.mutex.Unlock()
	}
	return body.Reader.Read(buffer)
}

// completedAt returns when the body was sent, or the zero time.
func (body *lateBody) completedAt() time.Time {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	return body.at
}

// post sends one request, which asks for a stream of streamEvents events: a server sends
// one event for each five answer tokens. post returns the answer's status, or 0 if there
// is no answer, and its body, or "" if the body is incomplete.
func (caller *caller) post(address, path, id, key string, requestBody io.Reader) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, requestBody)
	if err != nil {
		caller.checker.recordViolation("request is invalid: %v", err)
		return 0, ""
	}
	request.Host = "h.example"
	if late, ok := requestBody.(*lateBody); ok {
		request.ContentLength = late.Size()
	}
	for name, value := range map[string]string{"X-Shedkeel-Attempt-Id": id, "X-Shedkeel-Key": key, "X-Shedkeel-Deadline-Ms": fmt.Sprint(callDeadline.Milliseconds()), "X-Shedkeel-Model": "m0", "X-Shedkeel-Token-Usage": fmt.Sprint("100,", 5*streamEvents)} {
		request.Header.Set(name, value)
	}
	caller.checker.recordSent(path, id)
	response, err := caller.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, ""
	}
	return response.StatusCode, string(body)
}

// recordOutcome records the status of a call's answer. For an unsafe call it also records
// the ID, and whether the status says that the call did not run.
func (checker *checker) recordOutcome(kind, id string, status int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.outcomes[fmt.Sprint(kind, " ", status)]++
	if kind == "/fee/" {
		checker.atMostOnce = append(checker.atMostOnce, id)
	}
	// With these statuses a node states that the call did not run.
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if kind == "/fee/" {
			checker.rejected = append(checker.rejected, id)
		}
	}
}

// checkAnswer checks the body of a complete answer, and that the call was sent within
// revokeBound of the removal of its API key, if the key was removed.
func (checker *checker) checkAnswer(kind, id, key string, sent time.Time, body string) {
	checker.mutex.Lock()
	removed, wasRemoved := checker.removed[key]
	checker.mutex.Unlock()
	if wasRemoved && sent.Sub(removed) > revokeBound {
		checker.recordViolation("%s ran with a key that was removed %s before it was sent", id, sent.Sub(removed))
	}
	if kind == "/copy/" {
		if fault := checker.streamFault(body); fault != "" {
			checker.recordViolation("%s%s: %s, in %q", kind, id, fault, body)
		}
		return
	}
	if want := "POST " + kind + id + " for shop"; body != want {
		checker.recordViolation("%s%s: got answer %q, want %q", kind, id, body, want)
	}
}

// streamFault returns what is wrong with a whole stream, or "": an event is missing, comes twice, or is of another
// run than the one before although its run did not begin right after that one.
func (checker *checker) streamFault(body string) string {
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	former := ""
	for index, event := range events {
		var id, token int
		var run string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: token %d of %s", &id, &token, &run); err != nil || id != index+1 || token != id {
			return fmt.Sprintf("event %d is %q", index+1, event)
		}
		after, known := checker.cluster.fleet.RunStart(run)
		if run != former && (!known || after != index) {
			return fmt.Sprintf("event %d of run %s, which began after event %d, follows one of run %s", id, run, after, former)
		}
		former = run
	}
	if len(events) != streamEvents {
		return fmt.Sprintf("it has %d events", len(events))
	}
	return ""
}

// waitServed waits until every node answers each kind of call. It records a violation if
// the wait takes longer than the limit.
func (checker *checker) waitServed(when string, limit time.Duration) {
	prober := &caller{checker: checker, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		served := true
		for _, node := range checker.cluster.nodes {
			for _, kind := range []string{"/copy/", "/look/", "/fee/"} {
				served = served && prober.send(node.callers, kind, "stays")
			}
		}
		if served {
			return
		}
		if time.Now().After(end) {
			checker.recordViolation("not all nodes answer all calls within %s, %s", limit, when)
			return
		}
	}
}

// check fails the test if a guarantee was violated or no call was answered.
func (checker *checker) check() {
	t := checker.cluster.t
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for _, id := range checker.atMostOnce {
		if runs := checker.cluster.fleet.RunCount(id); runs > 1 {
			t.Errorf("unsafe call %s ran %d times, want at most once", id, runs)
		}
	}
	for _, id := range checker.rejected {
		if checker.cluster.fleet.RunCount(id) > 0 {
			t.Errorf("%s ran, although its answer said that it did not", id)
		}
	}
	for body, crashed := range checker.cluster.fleet.CrashCounts() {
		if crashed > maxServersCrashed {
			t.Errorf("%d servers crashed on request %s", crashed, body)
		}
	}
	for _, violation := range append(checker.violations, checker.cluster.fleet.Violations()...) {
		t.Error(violation)
	}
	checker.checkRetries()
	checker.checkLost()
	answered := checker.outcomes["/copy/ 200"] + checker.outcomes["/look/ 200"] + checker.outcomes["/fee/ 200"]
	if answered == 0 {
		t.Error("no call was answered, so the test checked nothing")
	}
	t.Logf("outcomes: %v; servers crashed: %v", checker.outcomes, checker.cluster.fleet.CrashCounts())
}
