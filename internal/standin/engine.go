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

// Engine is a model engine on one box. Its exported fields are set before it
// serves.
type Engine struct {
	LoadTime   time.Duration // to load weights
	JoinTime   time.Duration // to join a group once they are loaded
	TokenTime  time.Duration // between two tokens
	LoadLag    time.Duration // how late it reports its load
	Slots      int           // requests that run at once
	Unfenced   bool          // obeys whoever orders it
	Weights    chan struct{} // the weight store: one element for each load at once
	BootPrefix string

	faults  faultSwitch
	mutex   sync.Mutex
	boots   int
	state   shedkeel.BoxState
	highestPlannerEpoch uint64
	timer   *time.Timer
	runs    map[string]int // by prompt
	total   int
	active  int
	reportedLoad    int
	reportedAt  time.Time
	streams map[string][]string
	slots   chan struct{}
}

// Begin readies an engine.
func (model *Engine) Begin() {
	model.runs = map[string]int{}
	model.streams = map[string][]string{}
	model.slots = make(chan struct{}, max(model.Slots, 1))
	model.restart()
}

// restart is what a crash and a start of the engine do to its state.
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

// Handler returns the engine's HTTP side.
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

func (model *Engine) serveState(writer http.ResponseWriter, request *http.Request) {
	if !model.faults.applyCommon(writer, request) {
		return
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if time.Since(model.reportedAt) >= model.LoadLag {
		model.reportedLoad = model.active
		model.reportedAt = time.Now()
	}
	state := model.state
	state.Leaving = model.faults.get().Leaving
	state.Running = min(model.reportedLoad, cap(model.slots))
	state.Queued = max(model.reportedLoad-cap(model.slots), 0)
	writeJSON(writer, state)
}

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

// applyOrder does what an order says. The mutex is held.
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
	after := shedkeel.PhaseReady
	if order.Kind == shedkeel.OrderPrefetch {
		after = shedkeel.PhaseWarm
	}
	boot := model.state.Boot
	assigned := model.state.Assigned
	wait := model.JoinTime
	if !loaded {
		wait += model.LoadTime
	}
	model.timer = time.AfterFunc(wait, func() { model.finishLoading(boot, assigned, after, !loaded) })
}

func (model *Engine) finishLoading(boot string, assigned shedkeel.Assignment, after shedkeel.Phase, fromStore bool) {
	if fromStore && model.Weights != nil {
		model.Weights <- struct{}{}
		defer func() { <-model.Weights }()
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if model.state.Boot == boot && model.state.Assigned == assigned && model.state.Phase == shedkeel.PhaseLoading {
		model.state.Phase = after
	}
}

// completion is what the engine reads of a request.
type completion struct {
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

const defaultTokens = 8

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
	name := request.Header.Get(engine.HeaderAttempt)
	if model.faults.get().WrongName {
		name = "another"
	}
	writer.Header().Set(engine.HeaderAttempt, name)
	from := request.Header.Get("Shedkeel-From")
	if reason := model.refusalReason(request); reason != "" {
		writer.Header().Set(engine.HeaderNotRun, reason)
		http.Error(writer, reason, http.StatusConflict)
		return
	}
	if from != "" {
		model.resume(writer, name, from)
		return
	}
	model.run(writer, request, name, wanted)
}

// refusalReason says why a request does not run, if so.
func (model *Engine) refusalReason(request *http.Request) string {
	if model.faults.get().Refuse {
		return "told to refuse"
	}
	group := request.Header.Get(engine.HeaderGroup)
	if group == "" {
		return "" // a caller that goes to the engine directly
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	epoch := strconv.FormatUint(model.state.Assigned.Epoch, 10)
	if group != string(model.state.Assigned.Group) || request.Header.Get(engine.HeaderEpoch) != epoch || model.state.Phase != shedkeel.PhaseReady {
		return "not in that group at that epoch"
	}
	return ""
}

func (model *Engine) run(writer http.ResponseWriter, request *http.Request, name string, wanted completion) {
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
	model.streams[name] = events
	model.mutex.Unlock()
	model.sendStream(writer, request, events, true)
}

// countRun notes a run that begins or ends.
func (model *Engine) countRun(prompt string, by int) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.active += by
	if by > 0 {
		model.runs[prompt]++
		model.total++
	}
}

func wordsOf(wanted completion) []string {
	words := []string{"answer", "to", wanted.Prompt}
	for len(words) < wanted.MaxTokens {
		words = append(words, fmt.Sprintf("word%d", len(words)))
	}
	return words
}

func eventsOf(wanted completion) []string {
	var events []string
	for _, word := range wordsOf(wanted) {
		text, _ := json.Marshal(word + " ")
		events = append(events, fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"text\":%s,\"delta\":{\"content\":%s}}]}\n\n", text, text))
	}
	return append(events, "data: [DONE]\n\n")
}

func (model *Engine) sendAnswer(writer http.ResponseWriter, wanted completion) {
	text, _ := json.Marshal(strings.Join(wordsOf(wanted), " "))
	body := fmt.Sprintf("{\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%s,\"message\":{\"role\":\"assistant\",\"content\":%s},\"finish_reason\":\"stop\"}]}\n", text, text)
	writeBody(writer, []byte(body), model.faults.get())
}

// writeBody answers, or breaks off as the faults say.
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

// writeWithoutLength answers as an HTTP/1.0 server does.
func writeWithoutLength(writer http.ResponseWriter, body []byte) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\n\r\n%s", engine.HeaderAttempt, writer.Header().Get(engine.HeaderAttempt), body)
	_ = buffer.Flush()
}

func (model *Engine) sendStream(writer http.ResponseWriter, request *http.Request, events []string, mayCut bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for index, event := range events {
		faults := model.faults.get()
		if mayCut && faults.CutAfter > 0 && index >= faults.CutAfter {
			_, _ = writer.Write([]byte(event[:len(event)/2])) // in the middle of an event
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

func (model *Engine) resume(writer http.ResponseWriter, name, from string) {
	model.mutex.Lock()
	events := model.streams[name]
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
