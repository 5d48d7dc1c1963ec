package node

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/timer"
)

// countingBackend is a fake shedkeel.Backend that counts the requests, and answers none.
type countingBackend struct{ requests int }

func (backend *countingBackend) Send(*http.Request) (*http.Response, error) {
	backend.requests++
	return nil, &shedkeel.UnknownRunError{Reason: "no answer"}
}

// admissionSlots is the number of slots of the only group in the tests of admissions.
const admissionSlots = 100

// newAdmittingNode returns a node with a group of admissionSlots, which knows the nodes a, b and c. The
// spreader is c, at the address.
func newAdmittingNode(t *testing.T, own shedkeel.NodeID, timers *timer.Manual, control, spreader string) (*Node, *countingBackend) {
	t.Helper()
	log, err := event.NewLog(io.Discard, "info")
	assert.NilError(t, err)
	backend := &countingBackend{}
	node := &Node{Log: log, Timers: timers, Random: rand.NewPCG(1, 2), Decoder: keyDecoder{}, Engines: &fakeEngines{}, Protocol: platform.HeaderCodec{}, Backend: backend}
	node.Settings = config.DefaultNodeSettings()
	node.Settings.Node, node.Settings.Wire.Key, node.Settings.Overload.Control = own, "k", control // the key of serveWire
	node.Incarnation = "first"
	node.Prepare()
	view := serve.NewView(&shedkeel.ServingConfig{
		Version:  1,
		Limits:   shedkeel.Limits{BodyBytes: 1000},
		Routes:   []shedkeel.Route{{ID: "r", Host: "h", Prefix: "/", Kind: shedkeel.RequestSafe, Public: true, Objective: 100 * time.Millisecond, Timeout: 2 * time.Second, MaxRuns: 1, Targets: []shedkeel.Target{{Service: "s", Weight: 1}}}},
		Services: []shedkeel.RoutedService{{ID: "s", Engine: &shedkeel.Engine{Models: []shedkeel.Model{{ID: "m", Size: 1}}, Slots: admissionSlots}}},
	})
	node.handler.CurrentConfig = func() serve.ConfigState { return serve.ConfigState{View: view, ProvenAt: timers.Now()} }
	node.handler.MaxConfigAge = time.Minute
	node.table.Replace([]dispatch.Server{{Service: "s", Model: "m", Instance: "i", Address: "i:1", Slots: admissionSlots}})
	node.peers.update([]nodeRecord{{ID: "a"}, {ID: "b"}, {ID: "c", Control: spreader}})
	t.Cleanup(node.peers.close)
	return node, backend
}

// occupy has another node report running requests to the spreader.
func (node *Node) occupy(running int) {
	query := dispatch.Query{Service: "s", Model: "m", Now: node.Timers.Now()}
	node.table.Recommend(query, dispatch.Reporter{Process: "other", Groups: map[shedkeel.InstanceID]int{"i": running - 1}}) // it counts the request too
}

// call sends a caller's request to the node.
func (node *Node) call(body, attempt string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(body))
	request.Host = "h"
	for name, value := range map[string]string{"X-Shedkeel-Attempt-Id": attempt, "X-Shedkeel-Deadline-Ms": "2000", "X-Shedkeel-Model": "m", "X-Shedkeel-Token-Usage": "100,20"} {
		request.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	node.handler.ServeHTTP(answer, request)
	return answer
}

// TestSpreaderRejects guards against rejections that do not reach the caller with the spreader's time, and
// against callers that return at that time at another node and are rejected although new ones are.
func TestSpreaderRejects(t *testing.T) {
	timers := &timer.Manual{}
	timers.Advance(time.Minute)
	listener := listenHere(t)
	spreader, _ := newAdmittingNode(t, "c", timers, config.OverloadOn, "")
	defer serveWire(t, listener, &spreader.peers)()
	first, firstBackend := newAdmittingNode(t, "a", timers, config.OverloadOn, listener.Addr().String())
	second, secondBackend := newAdmittingNode(t, "b", timers, config.OverloadOn, listener.Addr().String())

	first.call("earliest", "r-earliest")
	timers.Advance(3 * time.Second) // a controller without history holds requests back instead
	for index := range 10 {         // admitted requests, by which the spreader knows what it can promise
		first.call("admitted", "r"+strconv.Itoa(index))
	}
	assert.Equal(t, firstBackend.requests, 11)
	spreader.occupy(92) // above the limit of 0.9, below it with the reserve for callers that return
	refused := first.call("refused", "r-refused")
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable, refused.Body.String())
	assert.Equal(t, refused.Header().Get("Retry-After"), "0.250", "the promised time is the earliest one")
	assert.Equal(t, firstBackend.requests, 11, "a rejected request ran")

	timers.Advance(250 * time.Millisecond)
	spreader.occupy(92)
	assert.Equal(t, second.call("new", "r-new").Code, http.StatusServiceUnavailable)
	assert.Equal(t, secondBackend.requests, 0)
	second.call("refused", "r-returned")
	assert.Equal(t, secondBackend.requests, 1, "the caller that returned as promised is not served")
}

// TestControlOff guards against an overload control that applies although it is switched off: the
// spreader makes no decision, and the slots decide at the node.
func TestControlOff(t *testing.T) {
	timers := &timer.Manual{}
	timers.Advance(time.Minute)
	listener := listenHere(t)
	spreader, _ := newAdmittingNode(t, "c", timers, config.OverloadOn, "")
	defer serveWire(t, listener, &spreader.peers)()
	node, backend := newAdmittingNode(t, "a", timers, config.OverloadOff, listener.Addr().String())
	spreader.occupy(92)
	node.call("x", "r1")
	assert.Equal(t, backend.requests, 1, "the overload control rejected the request")
	assert.Equal(t, len(spreader.admissions.dump(timers.Now())), 0, "the spreader decided")
}
