package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
)

// Engine is a fake of the model engine on one box. The exported fields must be set
// before Init and not change later.
type Engine struct {
	LoadTime         time.Duration // time to load weights
	JoinTime         time.Duration // time to join a group after the weights are loaded
	TokenTime        time.Duration // time per token
	ReportInterval   time.Duration // minimum interval between updates of the reported load
	Slots            int           // maximum number of concurrent requests
	Unfenced         bool          // accepts orders with an outdated planner epoch
	WeightStoreSlots chan struct{} // semaphore of the weight store, from which a load takes a slot at its end; nil: none
	BootPrefix       string        // prefix of the boot identifiers, of which each restart gets a new one

	faults              faultSwitch
	mutex               sync.Mutex
	boots               int
	state               shedkeel.BoxState
	highestPlannerEpoch uint64
	timer               *time.Timer
	runs                map[string]int // runs per prompt
	total               int            // runs of all prompts
	active              int            // requests that run or wait for a slot
	reportedLoad        int            // active as of reportedAt
	reportedAt          time.Time
	streams             map[string][]string // events per attempt identifier
	slots               chan struct{}       // semaphore of running requests
}

// Init initializes the engine. It must be called before Handler's handler serves.
func (model *Engine) Init() {
	model.runs = map[string]int{}
	model.streams = map[string][]string{}
	model.slots = make(chan struct{}, max(model.Slots, 1))
	model.restart()
}

// restart resets the state as a crash and a start of the engine do: the boot identifier is
// new, and weights, assignment and highest planner epoch are gone. Running requests go on,
// and the counts and streams, which tests read, stay.
func (model *Engine) restart() {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.boots++
	model.highestPlannerEpoch = 0
	model.state = shedkeel.BoxState{Boot: fmt.Sprintf("%s-%d", model.BootPrefix, model.boots), Phase: shedkeel.PhaseEmpty}
	if model.timer != nil {
		model.timer.Stop()
	}
}

// Handler returns the engine's HTTP handler: its control API, completions and, for
// tests, POST /fault, POST /restart and GET /runs.
func (model *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/state", model.serveState)
	mux.HandleFunc("POST /control/orders", model.serveOrder)
	mux.HandleFunc("POST /v1/completions", model.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", model.serveCompletion)
	mux.Handle("POST /fault", &model.faults)
	mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { model.restart() })
	mux.HandleFunc("GET /runs", func(writer http.ResponseWriter, _ *http.Request) {
		model.mutex.Lock()
		defer model.mutex.Unlock()
		writeJSON(writer, struct {
			Total int            `json:"total"`
			Runs  map[string]int `json:"runs"`
		}{model.total, model.runs})
	})
	return mux
}

// serveState returns the state, with a load that is up to ReportInterval old.
func (model *Engine) serveState(writer http.ResponseWriter, request *http.Request) {
	if !model.faults.applyCommon(writer, request) {
		return
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if time.Since(model.reportedAt) >= model.ReportInterval {
		model.reportedLoad = model.active
		model.reportedAt = time.Now()
	}
	state := model.state
	state.Leaving = model.faults.get().Leaving
	state.Running = min(model.reportedLoad, cap(model.slots))
	state.Queued = max(model.reportedLoad-cap(model.slots), 0)
	writeJSON(writer, state)
}

// serveOrder applies an order. It rejects an order whose planner epoch is lower than the
// highest epoch seen with status 409, unless the engine is unfenced.
func (model *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	if !model.faults.applyCommon(writer, request) {
		return
	}
	var order shedkeel.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if !model.Unfenced && order.PlannerEpoch < model.highestPlannerEpoch {
		http.Error(writer, fmt.Sprintf("planner epoch %d is older than %d", order.PlannerEpoch, model.highestPlannerEpoch), http.StatusConflict)
		return
	}
	model.highestPlannerEpoch = max(model.highestPlannerEpoch, order.PlannerEpoch)
	model.applyOrder(order)
}

// applyOrder carries out an order in place of an earlier order whose load has not finished.
// OrderRelease ends the assignment and sets the phase warm at once. OrderPrefetch and
// OrderLoad end in the phases warm and ready: after JoinTime if the weights are loaded, and
// after LoadTime and JoinTime if not. The caller holds the mutex.
func (model *Engine) applyOrder(order shedkeel.Order) {
	if model.timer != nil {
		model.timer.Stop()
	}
	loaded := model.state.Weights == order.Service && model.state.Phase != shedkeel.PhaseEmpty && model.state.Phase != shedkeel.PhaseLoading
	switch order.Kind {
	case shedkeel.OrderRelease:
		model.state.Assigned = shedkeel.Assignment{}
		model.state.Phase = shedkeel.PhaseWarm
		return
	case shedkeel.OrderPrefetch:
		model.state.Assigned = shedkeel.Assignment{}
	case shedkeel.OrderLoad:
		model.state.Assigned = order.Assignment
	}
	model.state.Weights = order.Service
	model.state.Phase = shedkeel.PhaseLoading
	next := shedkeel.PhaseReady
	if order.Kind == shedkeel.OrderPrefetch {
		next = shedkeel.PhaseWarm
	}
	boot := model.state.Boot
	assigned := model.state.Assigned
	wait := model.JoinTime
	if !loaded {
		wait += model.LoadTime
	}
	model.timer = time.AfterFunc(wait, func() { model.finishLoading(boot, assigned, next, !loaded) })
}

// finishLoading sets the phase that follows loading. It does nothing if the engine has
// restarted, has another assignment or is no longer loading. A load from the weight store
// holds one of WeightStoreSlots while the state changes, but not during LoadTime.
func (model *Engine) finishLoading(boot string, assigned shedkeel.Assignment, next shedkeel.Phase, fromStore bool) {
	if fromStore && model.WeightStoreSlots != nil {
		model.WeightStoreSlots <- struct{}{}
		defer func() { <-model.WeightStoreSlots }()
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if model.state.Boot == boot && model.state.Assigned == assigned && model.state.Phase == shedkeel.PhaseLoading {
		model.state.Phase = next
	}
}

// completion holds the fields of a completion request that the engine uses.
type completion struct {
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// defaultTokens is the length of an answer to a request without max_tokens.
const defaultTokens = 8

// serveCompletion runs a completion request, rejects it with status 409 and HeaderNotRun,
// or resumes an earlier stream if the request has the header Shedkeel-From. The prompt of a
// chat request is its last message. The answer echoes the attempt identifier, unless the
// fault WrongAttempt is set.
func (model *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	if !model.faults.applyCommon(writer, request) {
		return
	}
	var wanted completion
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(wanted.Messages) > 0 {
		wanted.Prompt = wanted.Messages[len(wanted.Messages)-1].Content
	}
	if wanted.MaxTokens == 0 {
		wanted.MaxTokens = defaultTokens
	}
	attempt := request.Header.Get(engine.HeaderAttempt)
	if model.faults.get().WrongAttempt {
		attempt = "another"
	}
	writer.Header().Set(engine.HeaderAttempt, attempt)
	from := request.Header.Get("Shedkeel-From")
	if reason := model.refusalReason(request); reason != "" {
		writer.Header().Set(engine.HeaderNotRun, reason)
		http.Error(writer, reason, http.StatusConflict)
		return
	}
	if from != "" {
		model.resume(writer, attempt, from)
		return
	}
	model.run(writer, request, attempt, wanted)
}

// refusalReason returns why the engine does not run the request, or "" if it does. Apart
// from the fault Refuse, the engine runs every request that names no group. It runs a
// request that names a group only if the engine is ready in that group at the epoch that
// the request names.
func (model *Engine) refusalReason(request *http.Request) string {
	if model.faults.get().Refuse {
		return "told to refuse"
	}
	group := request.Header.Get(engine.HeaderGroup)
	if group == "" {
		return "" // sent to the engine directly, without an entry
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	epoch := strconv.FormatUint(model.state.Assigned.Epoch, 10)
	if group != string(model.state.Assigned.Group) || request.Header.Get(engine.HeaderEpoch) != epoch || model.state.Phase != shedkeel.PhaseReady {
		return "not in that group at that epoch"
	}
	return ""
}

// run waits for a slot, runs the request and answers it. The request counts as run before
// it has a slot, and also if the fault ResetFirst then closes the connection. The events of
// a stream are stored under the attempt identifier, for resume.
func (model *Engine) run(writer http.ResponseWriter, request *http.Request, attempt string, wanted completion) {
	model.countRun(wanted.Prompt, 1)
	defer model.countRun("", -1)
	if model.faults.consume(func(faults *Faults) *int { return &faults.ResetFirst }) {
		abort()
	}
	model.slots <- struct{}{}
	defer func() { <-model.slots }()
	events := eventsOf(wanted)
	if !wanted.Stream {
		time.Sleep(model.TokenTime * time.Duration(wanted.MaxTokens))
		model.sendAnswer(writer, wanted)
		return
	}
	model.mutex.Lock()
	model.streams[attempt] = events
	model.mutex.Unlock()
	model.sendStream(writer, request, events, true)
}

// countRun adds by to the active requests: 1 at the start of a run, -1 at its end. A
// start also counts as a run of the prompt.
func (model *Engine) countRun(prompt string, by int) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.active += by
	if by > 0 {
		model.runs[prompt]++
		model.total++
	}
}

// wordsOf returns the words of the answer, one per token, and at least three.
func wordsOf(wanted completion) []string {
	words := []string{"answer", "to", wanted.Prompt}
	for len(words) < wanted.MaxTokens {
		words = append(words, fmt.Sprintf("word%d", len(words)))
	}
	return words
}

// eventsOf returns the answer as server-sent events, with the end mark as the last.
func eventsOf(wanted completion) []string {
	var events []string
	for _, word := range wordsOf(wanted) {
		text, _ := json.Marshal(word + " ")
		events = append(events, fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"text\":%s,\"delta\":{\"content\":%s}}]}\n\n", text, text))
	}
	return append(events, "data: [DONE]\n\n")
}

// sendAnswer sends the answer in one JSON body.
func (model *Engine) sendAnswer(writer http.ResponseWriter, wanted completion) {
	text, _ := json.Marshal(strings.Join(wordsOf(wanted), " "))
	body := fmt.Sprintf("{\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%s,\"message\":{\"role\":\"assistant\",\"content\":%s},\"finish_reason\":\"stop\"}]}\n", text, text)
	writeBody(writer, []byte(body), model.faults.get())
}

// writeBody sends a JSON body, subject to the faults NoLength and CutAfter. CutAfter has no
// effect together with NoLength, or if it is not less than the length of the body.
func writeBody(writer http.ResponseWriter, body []byte, faults Faults) {
	writer.Header().Set("Content-Type", "application/json")
	if faults.NoLength {
		writeWithoutLength(writer, body)
		return
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutAfter > 0 && faults.CutAfter < len(body) {
		_, _ = writer.Write(body[:faults.CutAfter])
		_ = http.NewResponseController(writer).Flush()
		abort()
	}
	_, _ = writer.Write(body)
}

// writeWithoutLength sends the answer as HTTP/1.0 without Content-Length: the end of
// the connection ends the body.
func writeWithoutLength(writer http.ResponseWriter, body []byte) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\n\r\n%s", engine.HeaderAttempt, writer.Header().Get(engine.HeaderAttempt), body)
	_ = buffer.Flush()
}

// sendStream sends the events at intervals of TokenTime, until the caller disconnects. If
// mayCut is true, the fault CutAfter closes the connection in the middle of the event that
// follows CutAfter complete events.
func (model *Engine) sendStream(writer http.ResponseWriter, request *http.Request, events []string, mayCut bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for index, event := range events {
		faults := model.faults.get()
		if mayCut && faults.CutAfter > 0 && index >= faults.CutAfter {
			_, _ = writer.Write([]byte(event[:len(event)/2]))
			_ = http.NewResponseController(writer).Flush()
			abort()
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(model.TokenTime):
		}
		_, _ = writer.Write([]byte(event))
		_ = http.NewResponseController(writer).Flush()
	}
}

// resume sends the events of the attempt's earlier stream from the given index on, without
// pauses. It answers with status 404 if there is no such stream, or if from is no number or
// exceeds the number of events.
func (model *Engine) resume(writer http.ResponseWriter, attempt, from string) {
	model.mutex.Lock()
	events := model.streams[attempt]
	model.mutex.Unlock()
	index, err := strconv.Atoi(from)
	if err != nil || index > len(events) || len(events) == 0 {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	writer.Header().Set("Shedkeel-From", from)
	writer.Header().Set("Content-Type", "text/event-stream")
	for _, event := range events[index:] {
		_, _ = writer.Write([]byte(event))
	}
}
