package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/intake"
	"shedkeel.org/shedkeel/wire"
)

// HeaderTimeout is the request header with the caller's time limit, such as "700ms".
// The default is the service's timeout, to which a longer limit is reduced.
const HeaderTimeout = "Shedkeel-Timeout"

// callerHandler returns the handler of the callers' HTTP interface.
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
	return entry.limitCalls(mux)
}

// limitCalls refuses requests above the limit on those in flight.
func (entry *Entry) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer entry.activeCalls.Add(-1)
		if entry.activeCalls.Add(1) > int64(entry.Settings.Entry.MaxCalls) {
			entry.writeError(writer, &shedkeel.NotRunError{Reason: "this entry box has too many requests in flight", RetryAfter: time.Second, Overloaded: true})
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// Addresses is the answer to GET /v1/entries: the entry boxes to use.
type Addresses struct {
	Entries     []Address `json:"entries"`      // nearest availability zone first
	KeepSeconds float64   `json:"keep_seconds"` // how long callers may cache the answer
}

// Address is one entry box to which callers may send requests.
type Address struct {
	Address string          `json:"address"`
	Zone    shedkeel.ZoneID `json:"zone"`
}

// serveEntries lists the entry boxes for callers, without this one while it is
// stopping. It refuses if the last sync with the keeper is older than the permit time,
// because the list could contain an entry that is stopping. If it lists this entry, it
// stores the time in lastAdvertised.
func (entry *Entry) serveEntries(writer http.ResponseWriter, request *http.Request) {
	snapshot := entry.snapshot.Load()
	now := entry.Timers.Now()
	if snapshot.lastSync < 0 || now-snapshot.lastSync > time.Duration(entry.Settings.Timing.Permit) {
		entry.writeError(writer, &shedkeel.NotRunError{Reason: "this entry box has no word from its keeper", RetryAfter: time.Second})
		return
	}
	answer := Addresses{Entries: []Address{}, KeepSeconds: time.Duration(entry.Settings.Entry.DirectoryTTL).Seconds()}
	for _, node := range snapshot.entryNodes(shedkeel.ZoneID(request.URL.Query().Get("zone")), entry.Settings.Zone) {
		if node.ID == entry.Settings.Node {
			if entry.stopping.Load() {
				continue
			}
			entry.lastAdvertised.Store(int64(now))
		}
		answer.Entries = append(answer.Entries, Address{Address: node.Entry, Zone: node.Zone})
	}
	entry.writeJSON(writer, answer)
}

// writeJSON writes body as JSON with status 200 and outcome "answered".
func (entry *Entry) writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	entry.setOutcome(writer, outcomeAnswered)
	_ = json.NewEncoder(writer).Encode(body)
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model service in a modelList.
type modelItem struct {
	ID     shedkeel.ServiceID `json:"id"`
	Object string             `json:"object"`
}

// serveModels lists the model services that the client account may call.
func (entry *Entry) serveModels(writer http.ResponseWriter, request *http.Request) {
	caller, err := entry.authenticate(request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range caller.snapshot.config.Services {
		if service.Kind == shedkeel.KindModel && caller.mayCall(service.ID) {
			list.Data = append(list.Data, modelItem{ID: service.ID, Object: "model"})
		}
	}
	entry.writeJSON(writer, list)
}

// caller is the client account of a request, with the snapshot that was current
// when the request arrived.
type caller struct {
	account  *shedkeel.Account
	snapshot *snapshot
}

// authenticate finds the client account of a request by its bearer key. It returns a
// NotRunError if the entry has no configuration yet, and a refusal if no account has
// the key.
func (entry *Entry) authenticate(request *http.Request) (*caller, error) {
	snapshot := entry.snapshot.Load()
	if !snapshot.configured {
		return nil, &shedkeel.NotRunError{Reason: "this entry box does not know yet what is in force", RetryAfter: time.Second}
	}
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	account := snapshot.accounts[hex.EncodeToString(sum[:])]
	if !found || account == nil {
		return nil, &refusal{status: http.StatusUnauthorized, text: "the bearer key belongs to no client account; send Authorization: Bearer KEY"}
	}
	return &caller{account: account, snapshot: snapshot}, nil
}

// mayCall reports whether the account may call a service. An account without a
// list of services may call all.
func (caller *caller) mayCall(service shedkeel.ServiceID) bool {
	return len(caller.account.Services) == 0 || slices.Contains(caller.account.Services, service)
}

// service returns the service with the ID and kind, or a refusal if there is none
// or the account may not call it.
func (caller *caller) service(id shedkeel.ServiceID, kind shedkeel.ServiceKind) (*shedkeel.Service, error) {
	service := caller.snapshot.config.Service(id)
	if service == nil || service.Kind != kind {
		return nil, &refusal{status: http.StatusNotFound, text: "there is no " + string(kind) + " service " + string(id) + "; GET /v1/models lists the model services"}
	}
	if !caller.mayCall(id) {
		return nil, &refusal{status: http.StatusForbidden, text: "account " + string(caller.account.ID) + " may not call service " + string(id) + "; ask its operator"}
	}
	return service, nil
}

// callTimeout returns the time limit of a call, from its HeaderTimeout or the service,
// or a refusal if the header is not a positive duration.
func callTimeout(request *http.Request, service *shedkeel.Service) (time.Duration, error) {
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

// readBody reads the request body. The error is an http.MaxBytesError if the body is
// longer than the MaxBody setting, and a refusal if it does not arrive completely
// within bodyTimeout.
func (entry *Entry) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	body, err := intake.ReadBody(writer, request, entry.Settings.Entry.MaxBody, bodyTimeout)
	if err == nil {
		return body.Bytes(), nil
	}
	writer.Header().Set("Connection", "close") // the rest of the body may still arrive
	var tooLarge *http.MaxBytesError
	var noRoom *shedkeel.UnavailableError
	switch {
	case errors.As(err, &tooLarge):
		return nil, err
	case errors.As(err, &noRoom):
		return nil, &shedkeel.NotRunError{Reason: "this entry box has no room for the request's body", RetryAfter: noRoom.RetryAfter, Overloaded: true}
	}
	return nil, &refusal{status: http.StatusBadRequest, text: "the body did not come whole within " + bodyTimeout.String() + "; send it again"}
}

// adminHandler returns the handler for health checks, metrics and operators.
func (entry *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", entry.serveReady)
	if entry.Metrics != nil {
		mux.Handle("GET /metrics", entry.Metrics.Page)
	}
	mux.HandleFunc("GET /v1/dump", entry.requireOperatorKey(entry.serveDump))
	mux.HandleFunc("GET /v1/requests/{id}", entry.requireOperatorKey(entry.serveRequest))
	return mux
}

// serveReady reports whether this entry can serve requests: it has a
// configuration, its last sync is recent, and it is not stopping.
func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	snapshot := entry.snapshot.Load()
	fresh := entry.Timers.Now()-snapshot.lastSync <= time.Duration(entry.Settings.Timing.Permit)
	if !snapshot.configured || !fresh || entry.stopping.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(writer, "not ready: no configuration, no word from the keeper, or stopping\n")
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// Dump is the entry's state for debugging, without keys.
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

// ServiceUse is the load of a service as seen by this entry.
type ServiceUse struct {
	InFlight int `json:"in_flight"`
	Capacity int `json:"capacity"`
	Usable   int `json:"usable_targets"`
}

// GroupUse is the permit of one group: how much longer it lasts, or the reason why
// there is none.
type GroupUse struct {
	Group     shedkeel.Assignment `json:"group"`
	PermitFor string              `json:"permit_for"`
	Reason    string              `json:"reason,omitempty"`
}

// requireOperatorKey rejects requests without the operator key with status 401.
func (entry *Entry) requireOperatorKey(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		presented, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(presented), []byte(entry.Settings.Keeper.OperatorKey)) != 1 {
			entry.writeError(writer, &refusal{status: http.StatusUnauthorized, text: "wrong operator key; give the one in keeper.operator_key"})
			return
		}
		next(writer, request)
	}
}

// serveDump returns the Dump.
func (entry *Entry) serveDump(writer http.ResponseWriter, _ *http.Request) {
	snapshot := entry.snapshot.Load()
	now := entry.Timers.Now()
	dump := Dump{
		Node: entry.Settings.Node, Incarnation: entry.Incarnation, Stopping: entry.stopping.Load(), Generation: snapshot.config.Generation,
		SyncedAgo: (now - snapshot.lastSync).Round(time.Millisecond).String(), InFlight: entry.activeCalls.Load(), Services: map[shedkeel.ServiceID]ServiceUse{},
	}
	for _, service := range snapshot.config.Services {
		inFlight, capacity, usable := entry.router.Load(service.ID)
		dump.Services[service.ID] = ServiceUse{InFlight: inFlight, Capacity: capacity, Usable: usable}
	}
	for _, permit := range snapshot.permits {
		dump.Groups = append(dump.Groups, GroupUse{
			Group: permit.Group.Assignment(), Reason: permit.Reason,
			PermitFor: max(permit.Until-now, 0).Round(time.Millisecond).String(),
		})
	}
	entry.writeJSON(writer, dump)
}

// Handle serves the keeper's calls, which ask for the results of attempts. The state
// of an attempt is UNKNOWN if another entry or an earlier incarnation of this one made
// it.
func (entry *Entry) Handle(_ context.Context, call *wire.Call) *wire.Reply {
	question, ok := call.GetKind().(*wire.Call_Answer)
	if !ok {
		return &wire.Reply{Error: "an entry answers questions about attempts only; upgrade the keeper"}
	}
	if question.Answer.GetHolder() != entry.claimHolder() {
		return &wire.Reply{Kind: &wire.Reply_Answer{Answer: &wire.AnswerReply{State: wire.AnswerReply_UNKNOWN}}}
	}
	return &wire.Reply{Kind: &wire.Reply_Answer{Answer: entry.attempts.answerReply(question.Answer.GetAttempt())}}
}

// claimHolder identifies this entry and its incarnation as the holder of claims.
func (entry *Entry) claimHolder() string {
	return shedkeel.ClaimHolder(entry.Settings.Node, entry.Incarnation)
}
