package keeper

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/policy"
)

// maxConfig bounds a configuration, in bytes: one value of the key-value
// service.
const maxConfig = 1 << 20

// Accepted is the answer to an operator whose configuration was accepted.
type Accepted struct {
	Generation uint64 `json:"generation"`
	Nodes      int    `json:"nodes"`    // live keepers
	InForce    int    `json:"in_force"` // of those, how many have said that they have it
}

// GroupStatus is one group as an operator sees it.
type GroupStatus struct {
	Group  shedkeel.Group  `json:"group"`
	Zone   shedkeel.ZoneID `json:"zone"`
	State  string          `json:"state"` // whole, short, loading or draining
	Reason string          `json:"reason,omitempty"`
}

// Status is the fleet as one keeper sees it.
type Status struct {
	Node       shedkeel.NodeID             `json:"node"`
	Settled    bool                        `json:"settled"`
	StoreAway  bool                        `json:"store_away"`
	Generation uint64                      `json:"generation"`
	Nodes      []shedkeel.Node             `json:"nodes"`
	Groups     []GroupStatus               `json:"groups"`
	Stranded   int                         `json:"stranded_accelerators"` // of boxes in no whole group
	BoxesKnown bool                        `json:"boxes_known"`           // whether this keeper reads the box list
	Down       map[shedkeel.GroupID]string `json:"down_since"`
}

func (keeper *Keeper) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", keeper.serveReady)
	mux.Handle("GET /metrics", keeper.Metrics.Page)
	mux.HandleFunc("GET /v1/config", keeper.operator(keeper.serveConfig))
	mux.HandleFunc("PUT /v1/config", keeper.operator(keeper.serveApply))
	mux.HandleFunc("GET /v1/status", keeper.operator(keeper.serveStatus))
	mux.HandleFunc("GET /v1/explain/{group}", keeper.operator(keeper.serveExplain))
	mux.HandleFunc("GET /v1/dump", keeper.operator(keeper.serveDump))
	return mux
}

// operator lets only holders of the operators' key through.
func (keeper *Keeper) operator(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		presented, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(presented), []byte(keeper.Settings.Keeper.OperatorKey)) != 1 {
			writeError(writer, http.StatusUnauthorized, errors.New("wrong operator key; give the one in keeper.operator_key"))
			return
		}
		next(writer, request)
	}
}

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

func writeError(writer http.ResponseWriter, status int, err error) {
	writeJSON(writer, status, ErrorBody{Error: err.Error()})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (keeper *Keeper) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !keeper.isSettled() {
		writeError(writer, http.StatusServiceUnavailable, errors.New("not settled; the key-value service or a majority of listed keepers must answer"))
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

func (keeper *Keeper) serveConfig(writer http.ResponseWriter, _ *http.Request) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	inForce, _ := keeper.table.Config()
	writeJSON(writer, http.StatusOK, inForce)
}

// serveApply accepts a configuration that builds on the generation in force.
func (keeper *Keeper) serveApply(writer http.ResponseWriter, request *http.Request) {
	var wanted shedkeel.Config
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxConfig))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		writeError(writer, http.StatusBadRequest, fmt.Errorf("configuration cannot be read: %w; send what `shedkeel apply` sends", err))
		return
	}
	if err := config.Check("configuration", &wanted); err != nil {
		keeper.Log.Write(event.ConfigRefused, slog.String("error", err.Error()))
		writeError(writer, http.StatusUnprocessableEntity, err)
		return
	}
	accepted, err := keeper.accept(request.Context(), wanted)
	var conflict *shedkeel.ConflictError
	var unavailable *shedkeel.UnavailableError
	switch {
	case errors.As(err, &conflict):
		keeper.Log.Write(event.ConfigRefused, slog.String("error", err.Error()))
		writeError(writer, http.StatusConflict, err)
	case errors.As(err, &unavailable):
		writer.Header().Set("Retry-After", "2")
		writeError(writer, http.StatusServiceUnavailable, err)
	case err != nil:
		writeError(writer, http.StatusGatewayTimeout, err)
	default:
		writeJSON(writer, http.StatusOK, accepted)
	}
}

// accept makes a configuration agreed. Its generation is the one that the
// operator built on; an operator who was slower than another gets a
// ConflictError and nothing changes.
func (keeper *Keeper) accept(ctx context.Context, wanted shedkeel.Config) (Accepted, error) {
	stored, err := keeper.Store.Get(ctx, member.KeyConfig)
	if err != nil {
		return Accepted{}, err
	}
	var current shedkeel.Config
	if stored.Revision.Exists() {
		if err := json.Unmarshal(stored.Value, &current); err != nil {
			return Accepted{}, &shedkeel.InvalidError{Where: "key " + stored.Key, What: err.Error(), Remedy: "restore the key"}
		}
	}
	keeper.mutex.Lock()
	inForce := keeper.table.Record(member.KeyConfig).Generation
	keeper.mutex.Unlock()
	if current.Generation < inForce {
		return Accepted{}, &shedkeel.ConflictError{What: fmt.Sprintf("the key-value service holds generation %d, older than %d in force; it is being written back", current.Generation, inForce)}
	}
	if wanted.Generation != current.Generation {
		return Accepted{}, &shedkeel.ConflictError{What: fmt.Sprintf("your change builds on generation %d and another operator made it %d", wanted.Generation, current.Generation)}
	}
	wanted.Generation++
	wanted.Nonce = shedkeel.NewNonce()
	value, err := json.Marshal(wanted)
	if err != nil {
		return Accepted{}, err
	}
	mine := func(stored []byte) bool {
		var there shedkeel.Config
		return json.Unmarshal(stored, &there) == nil && there.Nonce == wanted.Nonce
	}
	revision, err := platform.SettleSwap(ctx, keeper.Store, member.KeyConfig, stored.Revision, value, mine)
	if err != nil {
		return Accepted{}, err
	}
	keeper.merge(member.Record{Key: member.KeyConfig, Generation: wanted.Generation, Revision: revision, Value: value})
	keeper.Log.Write(event.ConfigAccepted, slog.Uint64("generation", wanted.Generation))
	return keeper.reach(wanted.Generation), nil
}

// reach tells how far a generation of the configuration has come.
func (keeper *Keeper) reach(generation uint64) Accepted {
	accepted := Accepted{Generation: generation}
	for _, node := range keeper.live(keeper.Timers.Now()) {
		accepted.Nodes++
		if node.Config >= generation || node.ID == keeper.Settings.Node {
			accepted.InForce++
		}
	}
	return accepted
}

func (keeper *Keeper) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, keeper.status())
}

func (keeper *Keeper) status() Status {
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	status := Status{
		Node: keeper.Settings.Node, Settled: keeper.settled, StoreAway: keeper.storeOut,
		Generation: keeper.table.Record(member.KeyConfig).Generation, Nodes: keeper.table.Live(now),
		BoxesKnown: len(keeper.boxes) > 0, Down: map[shedkeel.GroupID]string{},
	}
	zoneOf := map[shedkeel.GroupID]shedkeel.ZoneID{}
	for _, placement := range keeper.table.Placements() {
		for _, group := range placement.Groups {
			zoneOf[group.ID] = placement.Zone
		}
	}
	serving := map[shedkeel.BoxID]bool{}
	for _, permit := range keeper.judge(now) {
		state := stateOf(permit, now)
		status.Groups = append(status.Groups, GroupStatus{Group: permit.Group, Zone: zoneOf[permit.Group.ID], State: state, Reason: permit.Reason})
		for _, member := range permit.Group.Members {
			serving[member.Box] = state == "whole"
		}
		keeper.noteDown(permit.Group.ID, state == "whole", now)
		if since, down := keeper.downtime[permit.Group.ID]; down {
			status.Down[permit.Group.ID] = (now - since).Round(time.Second).String()
		}
	}
	for _, box := range keeper.boxes {
		if !serving[box.ID] {
			status.Stranded += box.Accelerators
		}
	}
	return status
}

// noteDown remembers since when a group is not whole. The mutex is held.
func (keeper *Keeper) noteDown(id shedkeel.GroupID, whole bool, now time.Duration) {
	_, down := keeper.downtime[id]
	switch {
	case whole:
		delete(keeper.downtime, id)
	case !down:
		keeper.downtime[id] = now
	}
}

func stateOf(permit member.Permit, now time.Duration) string {
	switch {
	case permit.Until > now:
		return "whole"
	case permit.Group.Draining || strings.Contains(permit.Reason, "leaving"):
		return "draining"
	case permit.Broken:
		return "short"
	}
	return "loading"
}

// Explanation is why a group is as it is.
type Explanation struct {
	Group     GroupStatus         `json:"group"`
	Watchers  []string            `json:"watchers"`
	Findings  []string            `json:"findings"`
	Decisions []shedkeel.Decision `json:"decisions"`
	Planner   string              `json:"planner"`
}

func (keeper *Keeper) serveExplain(writer http.ResponseWriter, request *http.Request) {
	id := shedkeel.GroupID(request.PathValue("group"))
	status := keeper.status()
	place := slices.IndexFunc(status.Groups, func(group GroupStatus) bool { return group.Group.ID == id })
	explanation := Explanation{}
	if place >= 0 {
		explanation.Group = status.Groups[place]
	}
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	for _, digest := range keeper.table.Digests() {
		for _, verdict := range digest.Verdicts {
			if verdict.Group == id {
				explanation.Watchers = append(explanation.Watchers, string(digest.Watcher))
				explanation.Findings = append(explanation.Findings, fmt.Sprintf("%s: %s at epoch %d, %s ago", digest.Watcher, verdict.Verdict, verdict.Epoch, (now-digest.AsOf).Round(time.Millisecond)))
			}
		}
	}
	for _, zone := range keeper.zones {
		for _, decision := range zone.decisions {
			if decision.Group == id {
				explanation.Decisions = append(explanation.Decisions, decision)
			}
		}
	}
	explanation.Planner = keeper.plannerOf(explanation.Group.Zone)
	keeper.mutex.Unlock()
	if place < 0 && len(explanation.Decisions) == 0 {
		writeError(writer, http.StatusNotFound, fmt.Errorf("group %q is not known; `shedkeel status` lists the groups", id))
		return
	}
	writeJSON(writer, http.StatusOK, explanation)
}

// plannerOf names the holder of a zone's lease. The mutex is held.
func (keeper *Keeper) plannerOf(zone shedkeel.ZoneID) string {
	var holder struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(keeper.table.Record(member.KeyLeases+string(zone)).Value, &holder)
	return holder.Holder
}

// Dump is the state of a keeper, without secrets.
type Dump struct {
	Status    Status                       `json:"status"`
	Config    shedkeel.Config              `json:"config"`
	Table     shedkeel.Table               `json:"policy_table"`
	Records   map[string]uint64            `json:"record_generations"`
	Digests   []member.Digest              `json:"digests"`
	Decisions []shedkeel.Decision          `json:"decisions"`
	Calls     map[shedkeel.StoreCall]int64 `json:"store_calls"`
	Placement []shedkeel.Placement         `json:"placements"`
}

func (keeper *Keeper) serveDump(writer http.ResponseWriter, _ *http.Request) {
	dump := Dump{Status: keeper.status(), Records: map[string]uint64{}, Calls: map[shedkeel.StoreCall]int64{}, Table: policy.DefaultTable()}
	keeper.mutex.Lock()
	dump.Config, _ = keeper.table.Config()
	dump.Config.Accounts = slices.Clone(dump.Config.Accounts)
	for index := range dump.Config.Accounts {
		dump.Config.Accounts[index].KeyHash = ""
	}
	for _, record := range keeper.table.Records(member.KeyPrefix) {
		dump.Records[record.Key] = record.Generation
	}
	dump.Digests = keeper.table.Digests()
	dump.Placement = keeper.table.Placements()
	for _, zone := range keeper.zones {
		dump.Decisions = append(dump.Decisions, zone.decisions...)
		dump.Table = zone.table
	}
	keeper.mutex.Unlock()
	if counter, ok := keeper.Store.(shedkeel.CallCounter); ok {
		dump.Calls = counter.Calls()
	}
	writeJSON(writer, http.StatusOK, dump)
}
