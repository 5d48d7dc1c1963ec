// Package standin holds small stand-ins for what shedkeel meets outside
// itself: model engines, plain services, the platform's key-value service and
// box list, and links that can be cut. They serve tests and the demo only.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are what a stand-in can be made to do wrong, by a POST of JSON to its
// path /fault. A POST replaces all of them.
type Faults struct {
	Outage      bool   `json:"outage"`       // refuse every call
	Hang        bool   `json:"hang"`         // take calls and never answer
	DelayMS     int    `json:"delay_ms"`     // answer late
	LoseReplies int    `json:"lose_replies"` // so many writes take effect and break the connection
	CutAfter    int    `json:"cut_after"`    // break the connection after so many events or bytes of each answer
	CutOnce     bool   `json:"cut_once"`     // only the first time
	WrongName   bool   `json:"wrong_name"`   // answer with another attempt's name
	ResetFirst  int    `json:"reset_first"`  // so many requests run and then break the connection without answer
	NoLength    bool   `json:"no_length"`    // end answers with the connection
	Refuse      bool   `json:"refuse"`       // refuse requests, saying that they did not run
	Leaving     bool   `json:"leaving"`      // report that the box is leaving
	Box         string `json:"box"`          // box list: the box that Leaving and Gone are about
	Gone        bool   `json:"gone"`         // box list: the box is no longer listed
}

// faultSwitch holds the faults in force. The zero value has none.
type faultSwitch struct {
	mutex  sync.Mutex
	faults Faults
}

func (faultSwitch *faultSwitch) get() Faults {
	faultSwitch.mutex.Lock()
	defer faultSwitch.mutex.Unlock()
	return faultSwitch.faults
}

// consume takes one of a counted fault, and reports whether there was one.
func (faultSwitch *faultSwitch) consume(count func(*Faults) *int) bool {
	faultSwitch.mutex.Lock()
	defer faultSwitch.mutex.Unlock()
	left := count(&faultSwitch.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// ServeHTTP takes the faults that are posted.
func (faultSwitch *faultSwitch) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	faultSwitch.set(faults)
}

func (faultSwitch *faultSwitch) set(faults Faults) {
	faultSwitch.mutex.Lock()
	defer faultSwitch.mutex.Unlock()
	faultSwitch.faults = faults
}

// applyCommon applies the faults that hold for any call, and reports whether the call
// may go on.
func (faultSwitch *faultSwitch) applyCommon(writer http.ResponseWriter, request *http.Request) bool {
	faults := faultSwitch.get()
	if faults.DelayMS > 0 {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if faults.Hang {
		// Only when the body has been read does the server notice that the
		// caller has gone.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return false
	}
	if faults.Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// abort breaks the connection.
func abort() { panic(http.ErrAbortHandler) }

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
