package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

// HeaderTimeout is how long the caller waits at most, such as "700ms". Without
// it the service's own timeout holds.
const HeaderTimeout = "Shedkeel-Timeout"

func (entry *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", entry.serveEntries)
	mux.HandleFunc("GET /v1/models", entry.serveModels)
	mux.HandleFunc("POST /v1/completions", entry.serveModel)
	mux.HandleFunc("POST /v1/chat/completions", entry.serveModel)
	mux.HandleFunc("/services/{service}/", entry.servePlain)
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		entry.writeError(writer, &refusal{status: http.StatusNotFound, text: "no such path; use /v1/entries, /v1/models, /v1/completions, /v1/chat/completions or /services/NAME/"})
	})
	return entry.guard(mux)
}

// guard bounds the requests in flight and keeps a failing handler from ending
// the process.
func (entry *Entry) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer entry.calls.Add(-1)
		if entry.calls.Add(1) > int64(entry.Settings.Entry.MaxCalls) {
			entry.writeError(writer, &shedkeel.NotRunError{Reason: "this entry box has too many requests in flight", RetryAfter: time.Second, Overloaded: true})
			return
		}
		defer func() {
			failure := recover()
			if failure == nil {
				return
			}
			if failure != http.ErrAbortHandler { //nolint:errorlint // recover gives the value itself
				entry.Log.Write(event.RequestPanic, slog.Any("failure", failure), slog.String("stack", string(debug.Stack())))
			}
			panic(http.ErrAbortHandler) // the caller must not take what it got for whole
		}()
		next.ServeHTTP(writer, request)
	})
}

// Addresses is the which-entry-box answer.
type Addresses struct {
	Entries     []Address `json:"entries"`      // nearest availability zone first
	KeepSeconds float64   `json:"keep_seconds"` // for how long it may be kept
}

// Address is one entry box that may be used.
type Address struct {
	Address string          `json:"address"`
	Zone    shedkeel.ZoneID `json:"zone"`
}

// serveEntries tells callers which entry boxes to use. An entry that has not
// heard from its keeper lately might name one that is stopping, so it refuses.
func (entry *Entry) serveEntries(writer http.ResponseWriter, request *http.Request) {
	view := entry.view.Load()
	now := entry.Timers.Now()
	if view.synced < 0 || now-view.synced > time.Duration(entry.Settings.Timing.Permit) {
		entry.writeError(writer, &shedkeel.NotRunError{Reason: "this entry box has no word from its keeper", RetryAfter: time.Second})
		return
	}
	answer := Addresses{Entries: []Address{}, KeepSeconds: time.Duration(entry.Settings.Entry.KeepFor).Seconds()}
	for _, node := range view.entries(shedkeel.ZoneID(request.URL.Query().Get("zone")), entry.Settings.Zone) {
		if node.ID == entry.Settings.Node {
			if entry.stopping.Load() {
				continue
			}
			entry.lastNamed.Store(int64(now))
		}
		answer.Entries = append(answer.Entries, Address{Address: node.Entry, Zone: node.Zone})
	}
	entry.writeJSON(writer, answer)
}

func (entry *Entry) writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	entry.setOutcome(writer, outcomeAnswered)
	_ = json.NewEncoder(writer).Encode(body)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     shedkeel.ServiceID `json:"id"`
	Object string             `json:"object"`
}

func (entry *Entry) serveModels(writer http.ResponseWriter, request *http.Request) {
	caller, err := entry.caller(request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range caller.view.config.Services {
		if service.Kind == shedkeel.KindModel && caller.may(service.ID) {
			list.Data = append(list.Data, modelItem{ID: service.ID, Object: "model"})
		}
	}
	entry.writeJSON(writer, list)
}

// caller is who sends a request, and what was in force when it came.
type caller struct {
	account *shedkeel.Account
	view    *view
}

// caller finds the client account of a request by its bearer key.
func (entry *Entry) caller(request *http.Request) (*caller, error) {
	view := entry.view.Load()
	if !view.known {
		return nil, &shedkeel.NotRunError{Reason: "this entry box does not know yet what is in force", RetryAfter: time.Second}
	}
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	account := view.accounts[hex.EncodeToString(sum[:])]
	if !found || account == nil {
		return nil, &refusal{status: http.StatusUnauthorized, text: "the bearer key belongs to no client account; send Authorization: Bearer KEY"}
	}
	return &caller{account: account, view: view}, nil
}

func (caller *caller) may(service shedkeel.ServiceID) bool {
	return len(caller.account.Services) == 0 || slices.Contains(caller.account.Services, service)
}

// service finds a service of the kind that the caller may use.
func (caller *caller) service(id shedkeel.ServiceID, kind shedkeel.ServiceKind) (*shedkeel.Service, error) {
	service := caller.view.config.Service(id)
	if service == nil || service.Kind != kind {
		return nil, &refusal{status: http.StatusNotFound, text: "there is no " + string(kind) + " service " + string(id) + "; GET /v1/models lists the model services"}
	}
	if !caller.may(id) {
		return nil, &refusal{status: http.StatusForbidden, text: "account " + string(caller.account.ID) + " may not call service " + string(id) + "; ask its operator"}
	}
	return service, nil
}

// timeout returns how long the caller waits for the service.
func timeout(request *http.Request, service *shedkeel.Service) (time.Duration, error) {
	longest := time.Duration(service.Timeout)
	text := request.Header.Get(HeaderTimeout)
	if text == "" {
		return longest, nil
	}
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return 0, &refusal{status: http.StatusBadRequest, text: HeaderTimeout + ` is no duration; write it as "700ms" or "5s"`}
	}
	return min(wanted, longest), nil
}

// readBody reads a request's body within the bounds of size and time.
func (entry *Entry) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, entry.Settings.Entry.MaxBody))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, &refusal{status: http.StatusBadRequest, text: "the body did not come whole within " + bodyTimeout.String() + "; send it again"}
	}
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	return body, err
}

func (entry *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", entry.serveReady)
	if entry.Metrics != nil {
		mux.Handle("GET /metrics", entry.Metrics.Page)
	}
	mux.HandleFunc("GET /v1/dump", entry.operator(entry.serveDump))
	mux.HandleFunc("GET /v1/requests/{id}", entry.operator(entry.serveRequest))
	return mux
}

func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	view := entry.view.Load()
	fresh := entry.Timers.Now()-view.synced <= time.Duration(entry.Settings.Timing.Permit)
	if !view.known || !fresh || entry.stopping.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(writer, "not ready: no configuration, no word from the keeper, or stopping\n")
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// Dump is the state of an entry, without secrets.
type Dump struct {
	Node        shedkeel.NodeID                   `json:"node"`
	Incarnation string                            `json:"incarnation"`
	Stopping    bool                              `json:"stopping"`
	Generation  uint64                            `json:"generation"`
	SyncedAgo   string                            `json:"synced_ago"`
	InFlight    int64                             `json:"in_flight"`
	Services    map[shedkeel.ServiceID]ServiceUse `json:"services"`
	Groups      []GroupUse                        `json:"groups"`
}

// ServiceUse is what an entry runs on a service.
type ServiceUse struct {
	InFlight int `json:"in_flight"`
	Capacity int `json:"capacity"`
	Usable   int `json:"usable_targets"`
}

// GroupUse is whether an entry may send to a group.
type GroupUse struct {
	Group     shedkeel.Assignment `json:"group"`
	PermitFor string              `json:"permit_for"`
	Reason    string              `json:"reason,omitempty"`
}

// operator lets only holders of the operators' key through.
func (entry *Entry) operator(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		presented, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(presented), []byte(entry.Settings.Keeper.OperatorKey)) != 1 {
			entry.writeError(writer, &refusal{status: http.StatusUnauthorized, text: "wrong operator key; give the one in keeper.operator_key"})
			return
		}
		next(writer, request)
	}
}

func (entry *Entry) serveDump(writer http.ResponseWriter, _ *http.Request) {
	view := entry.view.Load()
	now := entry.Timers.Now()
	dump := Dump{
		Node: entry.Settings.Node, Incarnation: entry.Incarnation, Stopping: entry.stopping.Load(), Generation: view.config.Generation,
		SyncedAgo: (now - view.synced).Round(time.Millisecond).String(), InFlight: entry.calls.Load(), Services: map[shedkeel.ServiceID]ServiceUse{},
	}
	for _, service := range view.config.Services {
		inFlight, capacity, usable := entry.router.Load(service.ID)
		dump.Services[service.ID] = ServiceUse{InFlight: inFlight, Capacity: capacity, Usable: usable}
	}
	for _, permit := range view.permits {
		dump.Groups = append(dump.Groups, GroupUse{
			Group: permit.Group.Assignment(), Reason: permit.Reason,
			PermitFor: max(permit.Until-now, 0).Round(time.Millisecond).String(),
		})
	}
	entry.writeJSON(writer, dump)
}

// Handle answers the keeper's questions about attempts.
func (entry *Entry) Handle(_ context.Context, call *wire.Call) *wire.Reply {
	question, ok := call.GetKind().(*wire.Call_Answer)
	if !ok {
		return &wire.Reply{Error: "an entry answers questions about attempts only; upgrade the keeper"}
	}
	if question.Answer.GetHolder() != entry.holder() {
		return &wire.Reply{Kind: &wire.Reply_Answer{Answer: &wire.AnswerReply{State: wire.AnswerReply_UNKNOWN}}}
	}
	return &wire.Reply{Kind: &wire.Reply_Answer{Answer: entry.attempts.toWire(question.Answer.GetAttempt())}}
}

// holder names this start of this entry in claims.
func (entry *Entry) holder() string { return shedkeel.HolderOf(entry.Settings.Node, entry.Incarnation) }
