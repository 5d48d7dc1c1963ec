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

// revokeBound is within which a removed key must not run any more, by the
// settings of the nodes, and what a request takes to arrive.
const revokeBound = 5*time.Second + 200*time.Millisecond

// mostEnded is how many servers one and the same request may end: five until all
// know of it, and three more.
const mostEnded = 8

// streamEvents is how long the streams of callers are.
const streamEvents = 20

// judge sends calls and checks what became of them.
type judge struct {
	world *world

	mutex    sync.Mutex
	removed  map[string]time.Time // keys
	refused  []string             // calls that were told that they did not run
	once     []string             // calls that may run once
	broken   []string
	outcomes map[string]int
}

func (judge *judge) keyRemoved(key string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if judge.removed == nil {
		judge.removed = map[string]time.Time{}
		judge.outcomes = map[string]int{}
	}
	judge.removed[key] = time.Now()
}

func (judge *judge) breaks(format string, args ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.broken = append(judge.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// caller is one caller with connections of its own, which it keeps.
type caller struct {
	judge     *judge
	random    *rand.Rand
	client    *http.Client
	addresses []string
	until     time.Time
}

// runCaller calls until stop is closed.
func (judge *judge) runCaller(index int, stop <-chan struct{}) {
	caller := &caller{judge: judge, random: rand.New(rand.NewPCG(uint64(index), 5)), client: &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{}}}
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

// address asks the directory as the platform's callers do: it keeps an answer,
// up to three times as long as it was told, and longer if no new one is had.
func (caller *caller) address() string {
	if time.Now().After(caller.until) {
		node := caller.judge.world.nodes[caller.random.IntN(len(caller.judge.world.nodes))]
		if answer, keep := caller.ask(node.directory); len(answer) > 0 {
			caller.addresses = answer
			caller.until = time.Now().Add(keep * time.Duration(1+2*caller.random.IntN(2)))
		}
	}
	if len(caller.addresses) == 0 {
		return ""
	}
	return caller.addresses[caller.random.IntN(len(caller.addresses))]
}

func (caller *caller) ask(directory string) ([]string, time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory + "/shedkeel/resolve?name=h.example&zone=z")
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		KeepS     float64  `json:"ttl_s"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.KeepS * float64(time.Second))
}

func (caller *caller) call() {
	address := caller.address()
	if address == "" {
		return
	}
	kind := []string{"/copy/", "/look/", "/fee/"}[caller.random.IntN(3)]
	key := []string{"stays", caller.judge.world.key()}[caller.random.IntN(2)]
	caller.send(address, kind, key)
}

// send sends one call and judges its answer. It returns whether it was
// answered as it should.
func (caller *caller) send(address, kind, key string) bool {
	world := caller.judge.world
	node := slices.IndexFunc(world.nodes, func(process *process) bool { return process.callers == address })
	id := platformstandin.RequestID(node, shedkeel.NewNonce())
	sent := time.Now()
	status, body := caller.post(address, kind+id, id, key, "x")
	caller.judge.note(kind, id, status)
	if status != http.StatusOK || body == "" {
		return false
	}
	caller.judge.answer(kind, id, key, sent, body)
	return true
}

// post sends one request. It returns the answer's status, 0 for none, and its
// body, empty if it did not come whole.
func (caller *caller) post(address, path, id, key, sent string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(sent))
	if err != nil {
		caller.judge.breaks("a request that can't be made: %v", err)
		return 0, ""
	}
	request.Host = "h.example"
	for name, value := range map[string]string{"X-Shedkeel-Attempt-Id": id, "X-Shedkeel-Key": key, "X-Shedkeel-Deadline-Ms": "8000", "X-Shedkeel-Model": "m0", "X-Shedkeel-Token-Usage": fmt.Sprint("100,", 5*streamEvents)} {
		request.Header.Set(name, value)
	}
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

// note remembers what a call was told.
func (judge *judge) note(kind, id string, status int) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.outcomes[fmt.Sprint(kind, " ", status)]++
	if kind == "/fee/" {
		judge.once = append(judge.once, id)
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if kind == "/fee/" {
			judge.refused = append(judge.refused, id)
		}
	}
}

// answer judges a whole answer.
func (judge *judge) answer(kind, id, key string, sent time.Time, body string) {
	judge.mutex.Lock()
	removed, was := judge.removed[key]
	judge.mutex.Unlock()
	if was && sent.Sub(removed) > revokeBound {
		judge.breaks("%s ran with a key that was removed %s before it was sent", id, sent.Sub(removed))
	}
	want := "POST " + kind + id + " for shop"
	if kind == "/copy/" {
		var text strings.Builder
		for number := 1; number <= streamEvents; number++ {
			fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", number, number)
		}
		want = text.String()
	}
	if body != want {
		judge.breaks("%s%s was answered %q, not %q", kind, id, body, want)
	}
}

// waitServed waits until every node answers each kind of call.
func (judge *judge) waitServed(when string, limit time.Duration) {
	prober := &caller{judge: judge, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		served := true
		for _, node := range judge.world.nodes {
			for _, kind := range []string{"/copy/", "/look/", "/fee/"} {
				served = served && prober.send(node.callers, kind, "stays")
			}
		}
		if served {
			return
		}
		if time.Now().After(end) {
			judge.breaks("not all is served %s, %s", limit, when)
			return
		}
	}
}

// check fails the test if a promise was broken.
func (judge *judge) check() {
	t := judge.world.t
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	for _, id := range judge.once {
		if runs := judge.world.fleet.RunCount(id); runs > 1 {
			t.Errorf("%s may run once and ran %d times", id, runs)
		}
	}
	for _, id := range judge.refused {
		if judge.world.fleet.RunCount(id) > 0 {
			t.Errorf("%s was told that it did not run, and ran", id)
		}
	}
	for body, ended := range judge.world.fleet.CrashCounts() {
		if ended > mostEnded {
			t.Errorf("%d servers ended under %s", ended, body)
		}
	}
	for _, broken := range append(judge.broken, judge.world.fleet.Violations()...) {
		t.Error(broken)
	}
	answered := judge.outcomes["/copy/ 200"] + judge.outcomes["/look/ 200"] + judge.outcomes["/fee/ 200"]
	if answered == 0 {
		t.Error("nothing was answered, so nothing was checked")
	}
	t.Logf("outcomes: %v; servers ended: %v", judge.outcomes, judge.world.fleet.CrashCounts())
}
