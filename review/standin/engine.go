package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// The times of an engine, as the configuration states them.
const (
	stepTime       = 6070 * time.Microsecond
	stepPerRequest = 241 * time.Microsecond
	stepsPerPass   = 5
	chunkTokens    = 2048
	tokensPerMS    = 46
	eventTokens    = 5
)

// engine is a model runner. The project's own stand-in carries out its orders. Requests run in passes
// over all that wait: each stream gets one event a pass, and a pass takes longer the more prompt
// tokens are read in it.
type engine struct {
	*platformstandin.Server

	site *site

	mutex   sync.Mutex
	pace    float64 // how many times as long the engine works
	active  bool    // the passes run
	runs    int     // requests begun so far
	streams map[*run]bool
}

// run is one request at an engine.
type run struct {
	id     string // unique: the engine and a number
	unread int    // prompt tokens that are not read yet
	next   int    // number of the next event
	last   int    // number of the last event
	events chan int
}

// setPace sets how many times as long the engine works.
func (engine *engine) setPace(pace float64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.pace = pace
}

// currentPace returns the pace of the engine itself.
func (engine *engine) currentPace() float64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.pace
}

// groupPace returns the pace of the group that the engine heads: that of its slowest member.
func (engine *engine) groupPace() float64 {
	slowest := engine.currentPace()
	for _, id := range engine.Members() {
		if member := engine.site.engines[id]; member != nil {
			slowest = max(slowest, member.currentPace())
		}
	}
	return slowest
}

// ServeHTTP serves reports, which state the pace, and the requests of an open head. The project's
// stand-in serves the rest.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/shedkeel/report":
		writer.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(writer, `{"stage":"both","busy":false,"queued":0,"active":%d,"pace":%g}`, engine.running(), engine.currentPace())
	case request.URL.Path == "/shedkeel/order", request.Header.Get("X-Shedkeel-Expect-Instance") != engine.ID, !engine.isOpenHead():
		engine.Server.ServeHTTP(writer, request)
	default:
		engine.serveStream(writer, request)
	}
}

// running returns how many requests the engine has.
func (engine *engine) running() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.streams)
}

// isOpenHead reports whether the engine is the head of an open group.
func (engine *engine) isOpenHead() bool {
	for _, heads := range engine.site.fleet.OpenHeads() {
		for _, head := range heads {
			if head == engine.Server {
				return true
			}
		}
	}
	return false
}

// serveStream runs a request and sends its events, each with the name of the run.
func (engine *engine) serveStream(writer http.ResponseWriter, request *http.Request) {
	prompt, answer, _ := strings.Cut(request.Header.Get("X-Shedkeel-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	wanted, _ := strconv.Atoi(answer)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	attempt := request.Header.Get("X-Shedkeel-Attempt-Id")
	running := engine.begin(tokens, after+1, wanted/eventTokens)
	defer engine.end(running)
	engine.site.record.addRun(attempt, running.id, after)
	writer.Header().Set("X-Shedkeel-Attempt-Id", attempt)
	writer.Header().Set("X-Shedkeel-Response-Seal", running.id)
	writer.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(writer).Flush() // the head goes at once
	for number := after + 1; number <= wanted/eventTokens; number++ {
		select {
		case <-request.Context().Done():
			return
		case made := <-running.events:
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", made, running.id)
			_ = http.NewResponseController(writer).Flush()
		}
	}
}

// begin adds a request to the passes.
func (engine *engine) begin(tokens, next, last int) *run {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.streams == nil {
		engine.streams = map[*run]bool{}
	}
	engine.runs++
	added := &run{id: fmt.Sprintf("%s.%d", engine.ID, engine.runs), unread: tokens, next: next, last: last, events: make(chan int, max(last-next+1, 1))}
	engine.streams[added] = true
	if !engine.active {
		engine.active = true
		go engine.runPasses()
	}
	return added
}

// end takes a request out of the passes.
func (engine *engine) end(ended *run) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	delete(engine.streams, ended)
}

// runPasses runs passes while there are requests.
func (engine *engine) runPasses() {
	for {
		length, due := engine.beginPass()
		if length == 0 {
			return
		}
		time.Sleep(time.Duration(float64(length) * engine.groupPace()))
		engine.mutex.Lock()
		for _, stream := range due {
			if engine.streams[stream] && stream.next <= stream.last {
				stream.events <- stream.next
				stream.next++
			}
		}
		engine.mutex.Unlock()
	}
}

// beginPass returns how long the next pass takes at pace 1, and the streams that get an event at its
// end. The length is 0 if there are no requests.
func (engine *engine) beginPass() (length time.Duration, due []*run) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if len(engine.streams) == 0 {
		engine.active = false
		return 0, nil
	}
	read, writers := 0, 0
	for stream := range engine.streams {
		if stream.unread == 0 {
			writers++
		} else {
			part := min(stream.unread, stepsPerPass*chunkTokens-read)
			read += part
			stream.unread -= part
		}
		if stream.unread == 0 {
			due = append(due, stream)
		}
	}
	reading := time.Duration(float64(read) / tokensPerMS * float64(time.Millisecond))
	return reading + stepsPerPass*(stepTime+time.Duration(writers)*stepPerRequest), due
}
