package entry

import (
	"net/http"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// HeaderRequest names a request in every answer to it; operators can ask
	// for its history by that name.
	HeaderRequest = "Shedkeel-Request"
	// historyLength is how many requests are remembered.
	historyLength = 4096
)

// TryRecord is what became of one try of a request.
type TryRecord struct {
	Server string `json:"server"`
	Load   int    `json:"load"`   // estimated on the server when it was chosen
	Result string `json:"result"` // "answered", or why there was no answer
}

// RequestRecord is what an entry decided on one request.
type RequestRecord struct {
	ID      string             `json:"id"`
	Account shedkeel.AccountID `json:"account"`
	Service shedkeel.ServiceID `json:"service"`
	Tries   []TryRecord        `json:"tries"`
	Result  string             `json:"result"`
	Took    string             `json:"took"`
}

// history remembers the latest requests. The zero value works.
type history struct {
	mutex sync.Mutex
	known map[string]RequestRecord
	order []string // oldest first
}

func (history *history) add(record RequestRecord) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if history.known == nil {
		history.known = map[string]RequestRecord{}
	}
	history.known[record.ID] = record
	history.order = append(history.order, record.ID)
	if len(history.order) > historyLength {
		delete(history.known, history.order[0])
		history.order = history.order[1:]
	}
}

func (history *history) find(id string) (RequestRecord, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	record, found := history.known[id]
	return record, found
}

// name gives a call its name and tells the caller of it.
func (entry *Entry) name(writer http.ResponseWriter, call *call) {
	call.id = entry.NewAttempt()
	writer.Header().Set(HeaderRequest, call.id)
}

// remember notes how a call ended.
func (entry *Entry) remember(call *call, err error) {
	entry.history.add(RequestRecord{
		ID: call.id, Account: call.caller.account.ID, Service: call.service.ID, Tries: call.tries,
		Result: resultOf(err), Took: (entry.Timers.Now() - call.began).Round(time.Microsecond).String(),
	})
}

func resultOf(err error) string {
	if err == nil {
		return string(outcomeAnswered)
	}
	return err.Error()
}

func (entry *Entry) serveRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	record, found := entry.history.find(id)
	if !found {
		entry.writeError(writer, &refusal{status: http.StatusNotFound, text: "request " + id + " is not remembered here; ask the entry that answered it, soon after"})
		return
	}
	entry.writeJSON(writer, record)
}
