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

// Plain is a fake of a plain service. It answers every path and counts the runs per
// request body, or per path for requests without a body.
type Plain struct {
	RunTime time.Duration // how long a request runs

	faults faultSwitch
	mutex  sync.Mutex
	runs   map[string]int
}

// Handler returns the service's HTTP handler and resets the counts. GET /runs returns the
// counts, and POST /fault sets the faults.
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

// serve counts the request and answers it after RunTime. A request whose connection the
// fault ResetFirst closes counts as run, one that Hang or Outage stops does not.
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

// BoxList is a fake of the platform's list of boxes. Its exported fields must be set
// before the handler serves.
type BoxList struct {
	Lag   time.Duration // delay until a change is visible
	Boxes []shedkeel.Box

	faults faultSwitch
	mutex  sync.Mutex
}

// Handler returns the list's HTTP handler. GET /boxes returns the list. POST /change
// takes Faults as JSON and applies their fields Box, Leaving and Gone after the lag. POST
// /fault sets the faults of the list itself.
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

// change sets Leaving of the box that the change names, and removes the box if Gone is
// set.
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

// Relay is a TCP proxy that can be cut. A cut relay accepts connections and forwards
// nothing in either direction, like a broken network link. Once the relay is no longer
// cut, it forwards the held data.
type Relay struct {
	To string // target address

	faults faultSwitch
}

// Control returns the HTTP handler that sets faults: Hang cuts the relay.
func (relay *Relay) Control() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", &relay.faults)
	return mux
}

// SetFaults replaces the faults.
func (relay *Relay) SetFaults(faults Faults) { relay.faults.set(faults) }

// Run forwards the listener's connections until the listener is closed.
func (relay *Relay) Run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go relay.loop(conn)
	}
}

// loop forwards one connection in both directions until either side closes. It closes the
// connection if the target cannot be dialed.
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

// pipe copies data in one direction until a read or a write fails, and then closes to. It
// holds the data while the relay is cut.
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
