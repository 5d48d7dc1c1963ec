package entry

import (
	"net/http"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// HeaderRequest is a response header with the ID of the request, by which
	// operators can look up its history.
	HeaderRequest = "Shedkeel-Request"
	// maxHistory is how many requests are remembered.
	maxHistory = 4096
)

// TryRecord is the result of one try of a request.
type TryRecord struct {
	Server string `json:"server"`
	Load   int    `json:"load"`   // estimated requests at the server, without this one, when the server was chosen
	Result string `json:"result"` // "answered" or the error
}

// RequestRecord is the history of one request: where it was sent and its result.
type RequestRecord struct {
	ID      string             `json:"id"`
	Account shedkeel.AccountID `json:"account"`
	Service shedkeel.ServiceID `json:"service"`
	Tries   []TryRecord        `json:"tries"`
	Result  string             `json:"result"`
	Took    string             `json:"took"`
}

// history stores the newest requests by ID. The zero value is usable.
type history struct {
	mutex sync.Mutex
	byID  map[string]RequestRecord
	order []string // oldest first
}

// add stores a record and removes the oldest one above maxHistory.
func (history *history) add(record RequestRecord) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if history.byID == nil {
		history.byID = map[string]RequestRecord{}
	}
	history.byID[record.ID] = record
	history.order = append(history.order, record.ID)
	if len(history.order) > maxHistory {
		delete(history.byID, history.order[0])
		history.order = history.order[1:]
	}
}

// find returns the record of a request, if it is still stored.
func (history *history) find(id string) (RequestRecord, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	record, found := history.byID[id]
	return record, found
}

// assignID gives a call its request ID and sets it in the response header.
func (entry *Entry) assignID(writer http.ResponseWriter, call *call) {
	call.id = entry.NewAttemptID()
	writer.Header().Set(HeaderRequest, call.id)
}

// recordRequest adds a call that has ended, with or without an answer, to the history.
func (entry *Entry) recordRequest(call *call, err error) {
	entry.history.add(RequestRecord{
		ID: call.id, Account: call.caller.account.ID, Service: call.service.ID, Tries: call.tries,
		Result: resultText(err), Took: (entry.Timers.Now() - call.began).Round(time.Microsecond).String(),
	})
}

// resultText returns the result of a call as it appears in the history.
func resultText(err error) string {
	if err == nil {
		return string(outcomeAnswered)
	}
	return err.Error()
}

// serveRequest returns the history of one request to an operator. The status is 404 if
// the request is no longer remembered.
func (entry *Entry) serveRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	record, found := entry.history.find(id)
	if !found {
		entry.writeError(writer, &refusal{status: http.StatusNotFound, text: "request " + id + " is not remembered here; ask the entry that answered it, soon after"})
		return
	}
	entry.writeJSON(writer, record)
}
