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

// maxConfigBytes is the maximum size of a configuration in JSON. It is stored as one
// value of the key-value service, which can be about 1 MB long.
const maxConfigBytes = 1 << 20

// ApplyResult is the response to a configuration that was accepted.
type ApplyResult struct {
	Generation uint64 `json:"generation"`
	Nodes      int    `json:"nodes"`    // live keepers
	InForce    int    `json:"in_force"` // this keeper and the live keepers that report this generation or a newer one
}

// GroupStatus is the state of one group.
type GroupStatus struct {
	Group  shedkeel.Group  `json:"group"`
	Zone   shedkeel.ZoneID `json:"zone"`
	State  string          `json:"state"`            // whole, short, loading or draining; see groupState
	Reason string          `json:"reason,omitempty"` // why the group has no permit
}

// Status is the state of the fleet as known to one keeper.
type Status struct {
	Node                 shedkeel.NodeID             `json:"node"`
	Settled              bool                        `json:"settled"`
	StoreUnavailable     bool                        `json:"store_away"`
	Generation           uint64                      `json:"generation"`
	Nodes                []shedkeel.Node             `json:"nodes"`
	Groups               []GroupStatus               `json:"groups"`
	StrandedAccelerators int                         `json:"stranded_accelerators"` // accelerators of boxes in no whole group
	BoxesKnown           bool                        `json:"boxes_known"`           // whether this keeper has read a box list with any box
	DownFor              map[shedkeel.GroupID]string `json:"down_since"`            // for each group that is not whole: time since a status report first showed that
}

// operatorHandler returns the handler of the operators' HTTP interface.
func (keeper *Keeper) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", keeper.serveReady)
	mux.Handle("GET /metrics", keeper.Metrics.Page)
	mux.HandleFunc("GET /v1/config", keeper.requireOperatorKey(keeper.serveGetConfig))
	mux.HandleFunc("PUT /v1/config", keeper.requireOperatorKey(keeper.servePutConfig))
	mux.HandleFunc("GET /v1/status", keeper.requireOperatorKey(keeper.serveStatus))
	mux.HandleFunc("GET /v1/explain/{group}", keeper.requireOperatorKey(keeper.serveExplain))
	mux.HandleFunc("GET /v1/dump", keeper.requireOperatorKey(keeper.serveDump))
	return mux
}

// requireOperatorKey rejects requests without the operator key with status 401.
func (keeper *Keeper) requireOperatorKey(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		presented, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(presented), []byte(keeper.Settings.Keeper.OperatorKey)) != 1 {
			writeError(writer, http.StatusUnauthorized, errors.New("wrong operator key; give the one in keeper.operator_key"))
			return
		}
		next(writer, request)
	}
}

// ErrorBody is the JSON body of every error response.
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

// serveReady responds with status 200 if the keeper is settled, and 503 otherwise.
func (keeper *Keeper) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !keeper.isSettled() {
		writeError(writer, http.StatusServiceUnavailable, errors.New("not settled; the key-value service or a majority of listed keepers must answer"))
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// serveGetConfig returns the configuration in force, or an empty one if none is known.
func (keeper *Keeper) serveGetConfig(writer http.ResponseWriter, _ *http.Request) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	inForce, _ := keeper.table.Config()
	writeJSON(writer, http.StatusOK, inForce)
}

// servePutConfig replaces the configuration by the one in the request; see
// applyConfig. The status is 400 if the request cannot be decoded, 422 if the
// configuration is invalid, 409 for a ConflictError, 503 for an UnavailableError, and
// 504 for any other error, such as a write with an unknown outcome.
func (keeper *Keeper) servePutConfig(writer http.ResponseWriter, request *http.Request) {
	var wanted shedkeel.Config
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxConfigBytes))
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
	accepted, err := keeper.applyConfig(request.Context(), wanted)
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

// applyConfig stores a configuration by compare-and-swap. wanted.Generation is the
// generation that the operator edited. applyConfig returns a ConflictError and changes
// nothing if the stored configuration has another generation, or if it is older than
// the one in force because the key-value service was restored from older data.
func (keeper *Keeper) applyConfig(ctx context.Context, wanted shedkeel.Config) (ApplyResult, error) {
	stored, err := keeper.Store.Get(ctx, member.KeyConfig)
	if err != nil {
		return ApplyResult{}, err
	}
	var current shedkeel.Config
	if stored.Revision.Exists() {
		if err := json.Unmarshal(stored.Value, &current); err != nil {
			return ApplyResult{}, &shedkeel.InvalidError{Where: "key " + stored.Key, What: err.Error(), Remedy: "restore the key"}
		}
	}
	keeper.mutex.Lock()
	inForce := keeper.table.Record(member.KeyConfig).Generation
	keeper.mutex.Unlock()
	if current.Generation < inForce {
		return ApplyResult{}, &shedkeel.ConflictError{What: fmt.Sprintf("the key-value service holds generation %d, older than %d in force; it is being written back", current.Generation, inForce)}
	}
	if wanted.Generation != current.Generation {
		return ApplyResult{}, &shedkeel.ConflictError{What: fmt.Sprintf("your change builds on generation %d and another operator made it %d", wanted.Generation, current.Generation)}
	}
	wanted.Generation++
	wanted.Nonce = shedkeel.NewNonce()
	value, err := json.Marshal(wanted)
	if err != nil {
		return ApplyResult{}, err
	}
	isOurs := func(stored []byte) bool {
		var found shedkeel.Config
		return json.Unmarshal(stored, &found) == nil && found.Nonce == wanted.Nonce
	}
	revision, err := platform.SwapWithReadback(ctx, keeper.Store, member.KeyConfig, stored.Revision, value, isOurs)
	if err != nil {
		return ApplyResult{}, err
	}
	keeper.mergeRecord(member.Record{Key: member.KeyConfig, Generation: wanted.Generation, Revision: revision, Value: value})
	keeper.Log.Write(event.ConfigAccepted, slog.Uint64("generation", wanted.Generation))
	return keeper.configRollout(wanted.Generation), nil
}

// configRollout counts the live keepers, and among them this one and those that report
// at least the given generation of the configuration.
func (keeper *Keeper) configRollout(generation uint64) ApplyResult {
	accepted := ApplyResult{Generation: generation}
	for _, node := range keeper.liveNodes(keeper.Timers.Now()) {
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

// status builds the status report and updates downSince.
func (keeper *Keeper) status() Status {
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	status := Status{
		Node: keeper.Settings.Node, Settled: keeper.settled, StoreUnavailable: keeper.storeUnavailable,
		Generation: keeper.table.Record(member.KeyConfig).Generation, Nodes: keeper.table.Live(now),
		BoxesKnown: len(keeper.boxes) > 0, DownFor: map[shedkeel.GroupID]string{},
	}
	zoneOf := map[shedkeel.GroupID]shedkeel.ZoneID{}
	for _, placement := range keeper.table.Placements() {
		for _, group := range placement.Groups {
			zoneOf[group.ID] = placement.Zone
		}
	}
	serving := map[shedkeel.BoxID]bool{}
	for _, permit := range keeper.permits(now) {
		state := groupState(permit, now)
		status.Groups = append(status.Groups, GroupStatus{Group: permit.Group, Zone: zoneOf[permit.Group.ID], State: state, Reason: permit.Reason})
		for _, member := range permit.Group.Members {
			serving[member.Box] = state == "whole"
		}
		keeper.updateDownSince(permit.Group.ID, state == "whole", now)
		if since, down := keeper.downSince[permit.Group.ID]; down {
			status.DownFor[permit.Group.ID] = (now - since).Round(time.Second).String()
		}
	}
	for _, box := range keeper.boxes {
		if !serving[box.ID] {
			status.StrandedAccelerators += box.Accelerators
		}
	}
	return status
}

// updateDownSince stores when a status report first showed a group as not whole,
// and deletes the time once the group is whole again. The mutex must be held.
func (keeper *Keeper) updateDownSince(id shedkeel.GroupID, whole bool, now time.Duration) {
	_, down := keeper.downSince[id]
	switch {
	case whole:
		delete(keeper.downSince, id)
	case !down:
		keeper.downSince[id] = now
	}
}

// groupState returns the state of a group as it appears in GroupStatus: "whole" with a
// valid permit, "draining" if the group is draining or a member is leaving, "short" if
// the group is broken, and "loading" otherwise. Only the reasons that the package
// member gives for a leaving member contain "leaving".
func groupState(permit member.Permit, now time.Duration) string {
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

// Explanation lists what the keeper knows about one group: its state, the
// watchers' findings, recent planner decisions and the lease holder.
type Explanation struct {
	Group     GroupStatus         `json:"group"`
	Watchers  []string            `json:"watchers"`
	Findings  []string            `json:"findings"`
	Decisions []shedkeel.Decision `json:"decisions"`
	Planner   string              `json:"planner"`
}

// serveExplain serves the Explanation of a group. The status is 404 if the group is in
// no placement and no planner decision is kept for it.
func (keeper *Keeper) serveExplain(writer http.ResponseWriter, request *http.Request) {
	id := shedkeel.GroupID(request.PathValue("group"))
	status := keeper.status()
	index := slices.IndexFunc(status.Groups, func(group GroupStatus) bool { return group.Group.ID == id })
	explanation := Explanation{}
	if index >= 0 {
		explanation.Group = status.Groups[index]
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
	for _, zone := range keeper.planners {
		for _, decision := range zone.decisions {
			if decision.Group == id {
				explanation.Decisions = append(explanation.Decisions, decision)
			}
		}
	}
	explanation.Planner = keeper.leaseHolder(explanation.Group.Zone)
	keeper.mutex.Unlock()
	if index < 0 && len(explanation.Decisions) == 0 {
		writeError(writer, http.StatusNotFound, fmt.Errorf("group %q is not known; `shedkeel status` lists the groups", id))
		return
	}
	writeJSON(writer, http.StatusOK, explanation)
}

// leaseHolder returns the last known holder of a zone's lease, which may have expired,
// or "" if none is known. The mutex must be held.
func (keeper *Keeper) leaseHolder(zone shedkeel.ZoneID) string {
	var holder struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(keeper.table.Record(member.KeyLeases+string(zone)).Value, &holder)
	return holder.Holder
}

// Dump is the keeper's state for debugging, without the key hashes of client
// accounts.
type Dump struct {
	Status            Status                       `json:"status"`
	Config            shedkeel.Config              `json:"config"`
	PolicyTable       shedkeel.PlannerParameters   `json:"policy_table"` // of any one zone for which this keeper has a planner; the default table if there is none
	RecordGenerations map[string]uint64            `json:"record_generations"`
	Digests           []member.Digest              `json:"digests"`
	Decisions         []shedkeel.Decision          `json:"decisions"`
	StoreCalls        map[shedkeel.StoreCall]int64 `json:"store_calls"`
	Placements        []shedkeel.Placement         `json:"placements"`
}

// serveDump serves the Dump.
func (keeper *Keeper) serveDump(writer http.ResponseWriter, _ *http.Request) {
	dump := Dump{Status: keeper.status(), RecordGenerations: map[string]uint64{}, StoreCalls: map[shedkeel.StoreCall]int64{}, PolicyTable: policy.DefaultTable()}
	keeper.mutex.Lock()
	dump.Config, _ = keeper.table.Config()
	dump.Config.Accounts = slices.Clone(dump.Config.Accounts)
	for index := range dump.Config.Accounts {
		dump.Config.Accounts[index].KeyHash = ""
	}
	for _, record := range keeper.table.Records(member.KeyPrefix) {
		dump.RecordGenerations[record.Key] = record.Generation
	}
	dump.Digests = keeper.table.Digests()
	dump.Placements = keeper.table.Placements()
	for _, zone := range keeper.planners {
		dump.Decisions = append(dump.Decisions, zone.decisions...)
		dump.PolicyTable = zone.policyTable
	}
	keeper.mutex.Unlock()
	if counter, ok := keeper.Store.(shedkeel.CallCounter); ok {
		dump.StoreCalls = counter.Calls()
	}
	writeJSON(writer, http.StatusOK, dump)
}
