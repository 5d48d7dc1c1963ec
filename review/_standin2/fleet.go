// Command standin2 plays the cases of the second review: it starts real nodes on loopback
// addresses, with a store, model runners, plain servers and clients that follow the users' pages,
// and writes what was sent, answered and run.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
)

// stallTime is stall_ms: for how long a head that lacks a member stands still before it is broken.
const stallTime = 5 * time.Second

// formTime is form_ms of the configuration: from the order to open until the head serves.
const formTime = 300 * time.Millisecond

// model holds the times of a model, as the configuration states them.
type model struct {
	size         int
	load, warmup time.Duration
}

// fleet is the set of runners, which keep their records in the store.
type fleet struct {
	record *record
	data   *standin.Store
	models map[string]model
	// late decides whether an order is left unanswered and carried out later. It is called with the
	// fleet's mutex held. nil: all orders are carried out at once.
	late func(runner *runner, received order) bool
	// lost decides whether a runner's write to the store gets no answer and is done so much later. It is
	// called with the mutex held. nil: all writes are done at once.
	lost func(runner *runner) (later time.Duration, isLost bool)
	// onAnswered is called with the mutex held after an order was answered. It may be nil.
	onAnswered func(runner *runner, received order, status int)

	mutex      sync.Mutex
	runners    []*runner
	work       time.Duration // that plain runners take; at least 60 ms
	traffic    bool          // the first request has come: loads take their whole time
	broken     []string
	ran        map[string][]time.Time // when plain runners began to run requests, by id
	orders     int                    // orders received
	unheard    int                    // of these, the ones left unanswered
	writes     int                    // writes of the runners to the store
	lostWrites int                    // of these, the ones that got no answer
}

// runner is one model runner.
type runner struct {
	fleet                *fleet
	id, service, address string
	zone, domain         string
	staged               string // the model on its host; "": none
	loaded               string // the model that it has loaded; "": none
	lastModel            string // the model of its last group since its start
	group                string
	epoch                uint64
	highest              uint64 // the highest epoch of a join that it has taken
	rank                 int
	state                string
	members              []string
	seq                  int64
	dead                 bool
	stillSince           time.Time // as an open head: since when a member is missing
	generation           int       // counts changes of the membership
	cut                  chan struct{}
	listener             net.Listener
	server               *http.Server
	runs                 int
	stageUntil           time.Time
	staging              string
	nextBeat             time.Time // when it writes its record again
}

// order is the body of POST /shedkeel/order.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	How     string   `json:"how"`
}

func (received order) String() string {
	switch received.Op {
	case "join":
		return fmt.Sprintf("join %s epoch %d of %s, members %v", received.Group, received.Epoch, received.Model, received.Members)
	case "stage":
		return "stage " + received.Model
	}
	return fmt.Sprintf("%s %s epoch %d", received.Op, received.Group, received.Epoch)
}

// add starts a runner at a loopback address.
func (fleet *fleet) add(id, service, host, domain, staged string) (*runner, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	added := &runner{fleet: fleet, id: id, service: service, address: listener.Addr().String(), zone: "ic-a", domain: domain, staged: staged, listener: listener, cut: make(chan struct{}), nextBeat: time.Now().Add(heartbeat)}
	added.server = &http.Server{Handler: added, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = added.server.Serve(listener) }()
	fleet.mutex.Lock()
	fleet.runners = append(fleet.runners, added)
	added.write()
	fleet.mutex.Unlock()
	go added.heartbeats()
	return added, nil
}

// heartbeat is heartbeat_ms.
const heartbeat = 1200 * time.Millisecond

// heartbeats writes the record about every heartbeat_ms.
func (runner *runner) heartbeats() {
	for {
		time.Sleep(20 * time.Millisecond)
		runner.fleet.mutex.Lock()
		if runner.dead {
			runner.fleet.mutex.Unlock()
			return
		}
		if now := time.Now(); now.After(runner.nextBeat) {
			runner.nextBeat = now.Add(heartbeat)
			runner.write()
		}
		runner.fleet.mutex.Unlock()
	}
}

// write writes the runner's record. The caller holds the mutex.
func (runner *runner) write() {
	entry := map[string]any{
		"service": runner.service, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": 26, "state": "ready",
		"cold_remaining_ms": 0, "seq": runner.seq,
	}
	if runner.domain != "" {
		entry["stage"], entry["domain"] = "both", runner.domain
		staged, models := []string{}, []map[string]any{}
		if runner.staged != "" {
			staged = append(staged, runner.staged)
		}
		if runner.loaded != "" {
			models = append(models, map[string]any{"name": runner.loaded, "version": 1, "adapters": []string{}})
		}
		entry["staged"], entry["models"] = staged, models
		if runner.group != "" {
			entry["group"] = map[string]any{"name": runner.group, "epoch": runner.epoch, "rank": runner.rank, "state": runner.state}
		}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	put := shedkeel.Transaction{Put: []shedkeel.Put{{Key: "servers/" + runner.id, Value: value}}}
	runner.fleet.writes++
	if runner.fleet.lost != nil {
		if later, isLost := runner.fleet.lost(runner); isLost {
			runner.fleet.lostWrites++
			runner.fleet.record.write("a write of runner %s gets no answer: %s", runner.id, value)
			time.AfterFunc(later, func() {
				_, _ = runner.fleet.data.Commit(put)
				runner.fleet.record.write("the store does this write of runner %s after %s: %s", runner.id, later, value)
			})
			return
		}
	}
	_, _ = runner.fleet.data.Commit(put)
}

// find returns the live runner with the id, or nil. The caller holds the mutex.
func (fleet *fleet) find(id string) *runner {
	for _, runner := range fleet.runners {
		if runner.id == id && !runner.dead {
			return runner
		}
	}
	return nil
}

// headOf returns the live head of a formation, or nil. The caller holds the mutex.
func (fleet *fleet) headOf(group string, epoch uint64) *runner {
	for _, runner := range fleet.runners {
		if !runner.dead && runner.group == group && runner.epoch == epoch && runner.rank == 0 {
			return runner
		}
	}
	return nil
}

// ServeHTTP answers orders, reports, health checks and requests.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	expected := request.Header.Get("X-Shedkeel-Expect-Instance")
	switch {
	case expected != "" && expected != runner.id:
		writer.Header().Set("X-Shedkeel-Instance-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/health":
		writer.Header().Set("X-Shedkeel-Instance-Id", runner.id)
	case request.URL.Path == "/shedkeel/report":
		runner.serveReport(writer)
	case request.URL.Path == "/shedkeel/order":
		runner.serveOrder(writer, request)
	case runner.domain == "":
		runner.servePlain(writer, request)
	default:
		runner.serveStream(writer, request)
	}
}

// servePlain runs a request at a runner of a plain service.
func (runner *runner) servePlain(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Shedkeel-Attempt-Id")
	fleet := runner.fleet
	fleet.mutex.Lock()
	if fleet.ran == nil {
		fleet.ran = map[string][]time.Time{}
	}
	fleet.ran[id] = append(fleet.ran[id], time.Now())
	fleet.mutex.Unlock()
	fleet.record.write("runner %s runs request %s for tenant %q", runner.id, id, request.Header.Get("X-Shedkeel-Tenant"))
	time.Sleep(max(fleet.work, 60*time.Millisecond))
	writer.Header().Set("X-Shedkeel-Attempt-Id", id)
	writer.Header().Set("X-Shedkeel-Response-Seal", runner.id+"."+id)
	_, _ = fmt.Fprintf(writer, "receipt of %s: %d bytes", id, len(body))
}

func (runner *runner) serveReport(writer http.ResponseWriter) {
	runner.fleet.mutex.Lock()
	report := map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": runner.seq, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1400000, "handles": 0, "pace": 1}
	runner.fleet.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(report)
}

// serveOrder takes an order: it carries it out and answers, or leaves it unanswered and carries it
// out later.
func (runner *runner) serveOrder(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	var received order
	if err != nil || json.Unmarshal(body, &received) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	fleet := runner.fleet
	fleet.mutex.Lock()
	fleet.orders++
	if fleet.late != nil && fleet.late(runner, received) {
		fleet.unheard++
		fleet.record.write("runner %s leaves unanswered: %s", runner.id, received)
		fleet.mutex.Unlock()
		<-request.Context().Done()
		return
	}
	status := runner.carryOut(received)
	fleet.record.write("runner %s answers %d: %s", runner.id, status, received)
	if fleet.onAnswered != nil {
		fleet.onAnswered(runner, received, status)
	}
	fleet.mutex.Unlock()
	writer.WriteHeader(status)
}

// carryOutLate carries out an order that was left unanswered. The caller does not hold the mutex.
func (runner *runner) carryOutLate(received order, taken time.Time) {
	runner.fleet.mutex.Lock()
	defer runner.fleet.mutex.Unlock()
	if runner.dead {
		return
	}
	status := runner.carryOut(received)
	runner.fleet.record.write("runner %s carries out late, after %.1f s (its answer would be %d): %s", runner.id, time.Since(taken).Seconds(), status, received)
}

// carryOut carries out an order and returns the status to answer with. The caller holds the mutex.
func (runner *runner) carryOut(received order) int {
	matches := runner.group == received.Group && runner.epoch == received.Epoch && runner.group != ""
	status := http.StatusAccepted
	switch {
	case received.Op == "stage":
		status = runner.stage(received.Model)
	case received.Op == "join":
		status = runner.join(received)
	case !matches:
		status = http.StatusConflict
	case received.Op == "open" && runner.rank == 0 && runner.state == "ready":
		runner.checkOpen()
		generation := runner.generation
		runner.state = "open"
		time.AfterFunc(formTime, func() { _ = generation })
	case received.Op == "open" && runner.state == "open":
		status = http.StatusOK
	case received.Op == "close" && runner.state == "open":
		runner.state = "ready"
	case received.Op == "leave":
		runner.dropMembership()
		runner.group, runner.state, runner.members, runner.loaded = "", "", nil, ""
	default:
		status = http.StatusConflict
	}
	if status == http.StatusAccepted {
		runner.seq++
		runner.write()
	}
	return status
}

// dropMembership ends the streams that the runner serves. The caller holds the mutex.
func (runner *runner) dropMembership() {
	runner.generation++
	close(runner.cut)
	runner.cut = make(chan struct{})
}

func (runner *runner) stage(name string) int {
	if runner.staged == name {
		return http.StatusOK
	}
	if time.Now().Before(runner.stageUntil) {
		return http.StatusConflict
	}
	takes := runner.fleet.loadTime(name)
	runner.staging, runner.stageUntil = name, time.Now().Add(takes)
	time.AfterFunc(takes, func() {
		runner.fleet.mutex.Lock()
		defer runner.fleet.mutex.Unlock()
		if !runner.dead {
			runner.staged = name
			runner.write()
		}
	})
	return http.StatusAccepted
}

// loadTime is how long a load takes: before the first request, a tenth.
func (fleet *fleet) loadTime(name string) time.Duration {
	if fleet.traffic {
		return fleet.models[name].load
	}
	return fleet.models[name].load / 10
}

// join takes a join, as the page on the wire says.
func (runner *runner) join(received order) int {
	same := runner.group == received.Group && runner.epoch == received.Epoch
	switch {
	case received.Epoch < runner.highest, same && !slices.Equal(runner.members, received.Members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	runner.checkJoin(received)
	takes := runner.fleet.loadTime(received.Model)
	switch received.Model {
	case runner.lastModel:
		takes = 200 * time.Millisecond
	case runner.staged:
		takes = runner.fleet.models[received.Model].warmup
	}
	if received.Model != runner.lastModel {
		if rest := time.Until(runner.stageUntil); rest > 0 {
			takes += rest // after any staging under way
		}
	}
	runner.dropMembership()
	runner.group, runner.epoch, runner.highest, runner.members = received.Group, received.Epoch, received.Epoch, received.Members
	runner.rank, runner.state, runner.lastModel, runner.stillSince = slices.Index(received.Members, runner.id), "joining", received.Model, time.Time{}
	generation := runner.generation
	time.AfterFunc(takes, func() {
		runner.fleet.mutex.Lock()
		defer runner.fleet.mutex.Unlock()
		if runner.dead || runner.generation != generation || runner.state != "joining" {
			return
		}
		runner.state, runner.loaded = "ready", received.Model
		if takes > 2*runner.fleet.models[received.Model].warmup {
			runner.staged = received.Model
		}
		runner.write()
	})
	return http.StatusAccepted
}

// checkJoin checks the rule TWO. The caller holds the mutex.
func (runner *runner) checkJoin(received order) {
	if runner.group == "" || runner.group == received.Group {
		return
	}
	head := runner.fleet.headOf(runner.group, runner.epoch)
	if head == nil || head.state != "open" && head.state != "closing" {
		return
	}
	still := ""
	if !head.complete() {
		still = ", which stands still and isn't yet broken,"
	}
	runner.fleet.breakRule("TWO: %s takes a join of %s (epoch %d) while the head %s of its group %s (epoch %d)%s is %s", runner.id, received.Group, received.Epoch, head.id, runner.group, runner.epoch, still, head.state)
}

// checkOpen checks that the head's members are there. The caller holds the mutex.
func (runner *runner) checkOpen() {
	if want := runner.fleet.models[runner.lastModel].size; len(runner.members) != want {
		runner.fleet.breakRule("PARTIAL: %s opens with %d members, its model needs %d", runner.group, len(runner.members), want)
	}
}

// breakRule records that a rule was broken. The caller holds the mutex.
func (fleet *fleet) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fleet.broken = append(fleet.broken, text)
	fleet.record.write("BROKEN %s", text)
}

// complete reports whether all members of a head's formation are alive and in it. The caller holds
// the mutex.
func (runner *runner) complete() bool {
	for _, id := range runner.members {
		member := runner.fleet.find(id)
		if member == nil || member.group != runner.group || member.epoch != runner.epoch {
			return false
		}
	}
	return true
}

// serveStream runs a request at the head of an open group.
func (runner *runner) serveStream(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Shedkeel-Attempt-Id")
	fleet := runner.fleet
	fleet.mutex.Lock()
	fleet.traffic = true
	writer.Header().Set("X-Shedkeel-Attempt-Id", id)
	open := runner.rank == 0 && runner.state == "open" && !strings.Contains(runner.group, "/standby/")
	cut, generation := runner.cut, runner.generation
	if !open {
		fleet.mutex.Unlock()
		writer.Header().Set("X-Shedkeel-Instance-Id", runner.id)
		writer.Header().Set("X-Shedkeel-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.runs++
	run := fmt.Sprintf("%s.%d", runner.id, runner.runs)
	fleet.record.write("runner %s (%s epoch %d) runs request %s as %s after event %q", runner.id, runner.group, runner.epoch, id, run, request.Header.Get("Last-Event-Id"))
	fleet.mutex.Unlock()
	_, tokens, _ := strings.Cut(request.Header.Get("X-Shedkeel-Token-Usage"), ",")
	wanted, _ := strconv.Atoi(strings.TrimSpace(tokens))
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.Header().Set("X-Shedkeel-Response-Seal", run)
	writer.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(100 * time.Millisecond)
	for number := last + 1; number <= wanted/5; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-cut:
			fleet.record.write("runner %s cuts request %s off: it has left its group", runner.id, id)
			panic(http.ErrAbortHandler)
		case <-time.After(40 * time.Millisecond):
		}
		for {
			fleet.mutex.Lock()
			moves := runner.generation == generation && runner.complete()
			fleet.mutex.Unlock()
			if moves {
				break
			}
			select {
			case <-request.Context().Done():
				return
			case <-cut:
				panic(http.ErrAbortHandler)
			case <-time.After(20 * time.Millisecond):
			}
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", number, number, run); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}
