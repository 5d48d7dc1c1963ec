// Package standin implements fakes of the external systems that shedkeel depends on:
// model engines, plain services, the platform's key-value service and box list, and
// network links that can be cut. Only tests and the demo use it.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures that a fake can inject. A POST of JSON to its path /fault
// sets them and replaces all earlier ones. Fields that do not apply to a fake have no
// effect.
type Faults struct {
	Outage       bool   `json:"outage"`       // answer every call with status 503
	Hang         bool   `json:"hang"`         // accept calls and never answer
	DelayMS      int    `json:"delay_ms"`     // delay before each call is handled, in milliseconds
	LoseReplies  int    `json:"lose_replies"` // number of writes that take effect but whose reply is lost
	CutAfter     int    `json:"cut_after"`    // number of events of a stream, or bytes of another answer, after which the connection is closed; 0: never
	CutOnce      bool   `json:"cut_once"`     // accepted, but without effect
	WrongAttempt bool   `json:"wrong_name"`   // answer with another attempt's identifier
	ResetFirst   int    `json:"reset_first"`  // number of requests that run, but whose connection is closed without an answer
	NoLength     bool   `json:"no_length"`    // answer as HTTP/1.0 without Content-Length, so that the body ends with the connection
	Refuse       bool   `json:"refuse"`       // reject requests and report that they did not run
	Leaving      bool   `json:"leaving"`      // engine and POST /change to the box list: report that the box is about to be removed
	Box          string `json:"box"`          // POST /change to the box list: the box to which Leaving and Gone apply
	Gone         bool   `json:"gone"`         // POST /change to the box list: the box is no longer listed
}

// faultSwitch holds the faults of one fake. The zero value has none.
type faultSwitch struct {
	mutex  sync.Mutex
	faults Faults
}

func (faultSwitch *faultSwitch) get() Faults {
	faultSwitch.mutex.Lock()
	defer faultSwitch.mutex.Unlock()
	return faultSwitch.faults
}

// consume decrements the counter of a fault that occurs a limited number of times. It
// reports whether the counter was positive.
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

// ServeHTTP replaces the faults by those in the request's body. It rejects a body that is
// invalid or has unknown fields with status 400 and keeps the earlier faults.
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

// applyCommon applies the faults DelayMS, Hang and Outage, which any call can have. It
// reports whether the handler should go on with the call, which is false after Hang, once
// the caller has disconnected, and after Outage.
func (faultSwitch *faultSwitch) applyCommon(writer http.ResponseWriter, request *http.Request) bool {
	faults := faultSwitch.get()
	if faults.DelayMS > 0 {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if faults.Hang {
		// The HTTP server detects that the caller disconnected only after the
		// body has been read.
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

// abort closes the connection without an answer. It panics, as net/http requires.
func abort() { panic(http.ErrAbortHandler) }

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
