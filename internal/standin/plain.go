package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Plain is a plain service. It answers every path and counts the runs of each
// request body, or of its path if it has none.
type Plain struct {
	RunTime time.Duration

	faults faultSwitch
	mutex  sync.Mutex
	runs   map[string]int
}

// Handler returns the service's HTTP side. GET /runs gives the counts.
func (plain *Plain) Handler() http.Handler {
	plain.runs = map[string]int{}
	mux := http.NewServeMux()
	mux.Handle("POST /fault", &plain.faults)
	mux.HandleFunc("GET /runs", func(writer http.ResponseWriter, _ *http.Request) {
		plain.mutex.Lock()
		defer plain.mutex.Unlock()
		writeJSON(writer, plain.runs)
	})
	mux.HandleFunc("/", plain.serve)
	return mux
}

func (plain *Plain) serve(writer http.ResponseWriter, request *http.Request) {
	if !plain.faults.applyCommon(writer, request) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	runKey := string(body)
	if runKey == "" {
		runKey = request.URL.Path
	}
	plain.mutex.Lock()
	plain.runs[runKey]++
	run := plain.runs[runKey]
	plain.mutex.Unlock()
	if plain.faults.consume(func(faults *Faults) *int { return &faults.ResetFirst }) {
		abort()
	}
	time.Sleep(plain.RunTime)
	text, _ := json.Marshal(struct {
		Done string `json:"done"`
		Run  int    `json:"run"`
	}{runKey, run})
	writeBody(writer, append(text, '\n'), plain.faults.get())
}

// BoxList is the platform's list of boxes. It tells of changes after its lag.
type BoxList struct {
	Lag   time.Duration
	Boxes []shedkeel.Box

	faults faultSwitch
	mutex  sync.Mutex
}

// Handler returns the list's HTTP side. POST /change takes a box and what
// becomes of it, as faults name them.
func (list *BoxList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", &list.faults)
	mux.HandleFunc("POST /change", func(writer http.ResponseWriter, request *http.Request) {
		var change Faults
		if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		time.AfterFunc(list.Lag, func() { list.change(change) })
	})
	mux.HandleFunc("GET /boxes", func(writer http.ResponseWriter, request *http.Request) {
		if !list.faults.applyCommon(writer, request) {
			return
		}
		list.mutex.Lock()
		defer list.mutex.Unlock()
		writeJSON(writer, list.Boxes)
	})
	return mux
}

func (list *BoxList) change(change Faults) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for index := range list.Boxes {
		if string(list.Boxes[index].ID) == change.Box {
			list.Boxes[index].Leaving = change.Leaving
		}
	}
	if change.Gone {
		list.Boxes = slices.DeleteFunc(list.Boxes, func(box shedkeel.Box) bool { return string(box.ID) == change.Box })
	}
}

// Relay passes connections on until it is cut. A cut relay takes connections
// and passes nothing, in either direction, as a broken link does.
type Relay struct {
	To string

	faults faultSwitch
}

// Control returns the relay's HTTP side, for faults: Hang cuts it.
func (relay *Relay) Control() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", &relay.faults)
	return mux
}

// SetFaults sets the faults in force.
func (relay *Relay) SetFaults(faults Faults) { relay.faults.set(faults) }

// Run passes on what comes in until the listener is closed.
func (relay *Relay) Run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go relay.loop(conn)
	}
}

func (relay *Relay) loop(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", relay.To)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go relay.pipe(near, far)
	relay.pipe(far, near)
}

func (relay *Relay) pipe(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		for relay.faults.get().Hang {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
