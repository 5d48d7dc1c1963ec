package node_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
)

// graceConfig is the format of a configuration whose only route may run requests once, for longer than a grace time.
// Its argument is the version.
const graceConfig = `{"version":%d,
 "routes":[{"name":"r1","host":"h.example","path_prefix":"/fee/","kind":"unsafe","timeout_ms":20000,"max_attempts":1,"service":"plain","public":true}],
 "services":[{"name":"plain","health_path":"/health","max_connections":500}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// graceCase is a planned stop of the node at which callers send requests.
type graceCase struct {
	grace    time.Duration
	body     time.Duration // a request's body takes up to as long
	work     time.Duration // a server takes as long for a request
	fresh    bool          // each request has a connection of its own
	relayed  bool          // the node reaches the servers only through other nodes
	callers  int
	variable bool // one request in four takes a server four times as long
}

// lateCall is a request at the node that stops.
type lateCall struct {
	id    string
	sent  time.Time // when its last byte was sent, or would have been after an earlier answer; zero: never
	ended time.Time
	work  time.Duration // that a server needs for it
	code  int           // 0: there was no complete answer
	text  string        // of the answer
}

// workOf returns how long a server takes for the request.
func (test graceCase) workOf(id string) time.Duration {
	if test.variable && id[0]%4 == 0 {
		return 4 * test.work
	}
	return test.work
}

// slowBody is a body whose last byte comes late.
type slowBody struct {
	until time.Time
	sent  atomic.Bool
	step  int
}

func (body *slowBody) Read(buffer []byte) (int, error) {
	body.step++
	switch body.step {
	case 1:
		buffer[0] = 'a'
		return 1, nil
	case 2:
		time.Sleep(time.Until(body.until))
		body.sent.Store(true)
		buffer[0] = 'b'
		return 1, nil
	}
	return 0, io.EOF
}

// graceOutcome counts the requests whose last byte was sent after the stop began.
type graceOutcome struct {
	answered, refused int
	failed            int // answered with 502 or 504
	cut               int // ended without an answer though a server had got them
	excused           int // of these, sent in the first 3 s and still at work in the last sixth of the grace
	untrue            int // refused though they have run
	early             int // refused for the stop though there was time left for their servers and half a second more
	unread            int // neither answered nor got by a server
}

// play stops the node while its callers go on, and returns what became of their requests.
func (test graceCase) play(t *testing.T) graceOutcome {
	t.Helper()
	cluster := startGraceCluster(t, 3, &standin.Network{}, test.grace)
	cluster.fleet.AnswerOf = test.workOf
	_, err := cluster.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: fmt.Appendf(nil, graceConfig, 2)}}})
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	stopping := cluster.nodes[0]
	if test.relayed {
		stopping.servers.SetCut(standin.Cut{Drop: true, Silence: standin.BothDirections})
		time.Sleep(2 * time.Second)
	}
	var mutex sync.Mutex
	var calls []lateCall
	done := make(chan struct{})
	var callers sync.WaitGroup
	for number := range test.callers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: test.fresh, DialContext: cluster.dial()}}
			defer client.CloseIdleConnections()
			random := rand.New(rand.NewPCG(uint64(number), 3))
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
				}
				called := test.call(client, stopping.callers, random)
				mutex.Lock()
				calls = append(calls, called)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(max(2*time.Second, 2*(test.body+test.work)))
	stopped := time.Now()
	stopping.stop()
	stopping.ended.Wait()
	ended := time.Now()
	assert.Assert(t, ended.Sub(stopped) <= test.grace, "the node ended after %s", ended.Sub(stopped))
	close(done)
	callers.Wait()
	arrived := map[string]int{}
	for _, arrival := range cluster.fleet.RequestArrivals() {
		arrived[arrival.Request]++
	}
	outcome := graceOutcome{}
	for _, called := range calls {
		if called.sent.After(stopped) {
			outcome.count(&called, arrived[called.id], stopped, test.grace)
		}
	}
	return outcome
}

// call sends one request.
func (test graceCase) call(client *http.Client, address string, random *rand.Rand) lateCall {
	called := lateCall{id: shedkeel.NewNonce()}
	called.work = test.workOf(called.id)
	body := &slowBody{until: time.Now().Add(time.Duration(random.Float64() * float64(test.body)))}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/fee/"+called.id, body)
	if err != nil {
		return called
	}
	request.Host = "h.example"
	request.ContentLength = 2
	request.Header.Set("X-Shedkeel-Attempt-Id", called.id)
	request.Header.Set("X-Shedkeel-Deadline-Ms", "20000")
	response, err := client.Do(request)
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(response.Body); err == nil {
			called.code, called.text = response.StatusCode, string(text)
		}
		_ = response.Body.Close()
	}
	called.ended = time.Now()
	if body.sent.Load() || called.code != 0 {
		called.sent = body.until
	}
	return called
}

// count counts a request. arrivals is how often it has come to a server.
func (outcome *graceOutcome) count(called *lateCall, arrivals int, stopped time.Time, grace time.Duration) {
	switch {
	case called.code == http.StatusOK:
		outcome.answered++
	case called.code == http.StatusServiceUnavailable:
		outcome.refused++
		if arrivals > 0 {
			outcome.untrue++
		}
		if strings.Contains(called.text, "stop") && called.sent.Add(called.work+500*time.Millisecond).Before(stopped.Add(grace-grace/8)) {
			outcome.early++
		}
	case called.code != 0:
		outcome.failed++
	case arrivals == 0:
		outcome.unread++
	default:
		outcome.cut++
		if called.sent.Before(stopped.Add(3*time.Second)) && called.ended.After(stopped.Add(grace-grace/6)) {
			outcome.excused++
		}
	}
}

// TestLateRequestsInGrace guards against requests that come late in the grace time of a planned stop and are cut at its end
// without an answer, though a server runs them; and against refusals of requests that have run, or that there was time for.
func TestLateRequestsInGrace(t *testing.T) {
	cases := map[string]graceCase{}
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		for name, test := range map[string]graceCase{
			"slow bodies, slow servers":  {body: grace / 2, work: grace * 7 / 16},
			"slow bodies, quick servers": {body: grace * 5 / 8, work: grace / 8},
			"whole at once":              {work: grace / 40},
			"servers of different pace":  {body: grace / 2, work: grace / 8, variable: true},
		} {
			for kind, set := range map[string]func(*graceCase){
				"kept": func(*graceCase) {}, "fresh": func(test *graceCase) { test.fresh = true },
				"kept, relayed": func(test *graceCase) { test.relayed = true }, "fresh, relayed": func(test *graceCase) { test.fresh, test.relayed = true, true },
			} {
				chosen := test
				set(&chosen)
				chosen.grace, chosen.callers = grace, 14                                                    // the servers have 16 slots
				chosen.body, chosen.work = min(chosen.body, 8*time.Second), min(chosen.work, 8*time.Second) // a body may take 10 s
				cases[fmt.Sprintf("%s, %s, %s", grace, name, kind)] = chosen
			}
		}
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFakeTime(t, func(t *testing.T) {
				outcome := test.play(t)
				t.Logf("GRACE %s: %+v", name, outcome)
				assert.Check(t, outcome.cut == 0, "requests were cut")
				assert.Check(t, outcome.untrue == 0, "refused requests have run")
				assert.Check(t, outcome.answered > 0)
			})
		})
	}
}
