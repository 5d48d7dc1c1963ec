package node

import (
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/overload"
	"shedkeel.org/shedkeel/wire"
)

// maxLoggedAccounts limits how many accounts over their share one log line names.
const maxLoggedAccounts = 8

// admissions decides on the admission of requests for models: as the spreader of a partition for the
// requests of all nodes, and for the requests of this node while no spreader answers.
type admissions struct {
	node *Node

	mutex  sync.Mutex
	models map[admissionKey]*modelAdmission
}

// admissionKey identifies the requests that one controller decides on.
type admissionKey struct {
	service   shedkeel.ServiceID
	model     shedkeel.ModelID
	partition int // ownRequests: those of this node, while no spreader answers
}

const ownRequests = -1

// modelAdmission is a controller with the outcomes that the nodes have reported.
type modelAdmission struct {
	overload.Controller
	outcomes map[shedkeel.NodeID]dispatch.Outcomes // totals as last reported
	load     overload.Load                         // as of the last decision
	logged   bool                                  // the shortage was logged
	before   overload.Counts                       // at the last report to metrics
}

// admissionReport is what a node reports with a request for admission.
type admissionReport struct {
	node     shedkeel.NodeID
	outcomes dispatch.Outcomes
}

// decide decides on a request that a node reports.
func (admissions *admissions) decide(key admissionKey, report admissionReport, request overload.Request, estimate dispatch.Estimate, now time.Duration) overload.Decision {
	admissions.mutex.Lock()
	defer admissions.mutex.Unlock()
	model := admissions.model(key)
	model.load = overload.Load{Running: estimate.Running, Slots: float64(estimate.Slots)}
	if outcomes, found := model.newOutcomes(report); found {
		model.Observe(outcomes, model.load, now)
	}
	request.Queueing, request.Work = estimate.Queueing, estimate.Work
	return model.Decide(request, model.load, now)
}

// model returns the controller with the key, which it creates if there is none. The caller holds the
// mutex.
func (admissions *admissions) model(key admissionKey) *modelAdmission {
	if admissions.models == nil {
		admissions.models = map[admissionKey]*modelAdmission{}
	}
	model := admissions.models[key]
	if model == nil {
		model = &modelAdmission{outcomes: map[shedkeel.NodeID]dispatch.Outcomes{}}
		admissions.models[key] = model
	}
	return model
}

// newOutcomes returns the outcomes since the node's last report, and whether there are any. Totals of less
// than half of those before are those of a node that has restarted; other lower ones come from a report
// that another one has overtaken. The first report of a node only sets the totals to compare with.
func (modelAdmission *modelAdmission) newOutcomes(report admissionReport) (outcomes overload.Outcomes, found bool) {
	before, known := modelAdmission.outcomes[report.node]
	total := report.outcomes
	overtaken := total.Met < before.Met || total.Missed < before.Missed
	restarted := overtaken && 2*(total.Met+total.Missed) < before.Met+before.Missed
	if !overtaken || restarted {
		modelAdmission.outcomes[report.node] = total
	}
	if !known || overtaken {
		return overload.Outcomes{}, false
	}
	outcomes = overload.Outcomes{
		Met: int(total.Met - before.Met), Missed: int(total.Missed - before.Missed),
		Expected: max(total.Expected-before.Expected, 0), Actual: max(total.Actual-before.Actual, 0),
	}
	return outcomes, outcomes.Met+outcomes.Missed > 0
}

// decideAlone decides on a request of this node while no spreader answers, by the load of this node
// on its share of the slots.
func (admissions *admissions) decideAlone(query dispatch.Query, load dispatch.Load) overload.Decision {
	node := admissions.node
	share := float64(load.Slots) / float64(max(node.fleet.servingCount(), 1))
	estimate := dispatch.Estimate{Running: float64(load.OnTime + load.Late), Slots: int(math.Ceil(share)), Work: 1}
	key := admissionKey{query.Service, query.Model, ownRequests}
	return admissions.decide(key, admissionReport{node.Settings.Node, load.Outcomes}, *query.Admission, estimate, query.Now)
}

// retain drops the controllers of models that the configuration no longer lists.
func (admissions *admissions) retain(listed func(shedkeel.ServiceID, shedkeel.ModelID) bool) {
	admissions.mutex.Lock()
	defer admissions.mutex.Unlock()
	for key := range admissions.models {
		if !listed(key.service, key.model) {
			delete(admissions.models, key)
		}
	}
}

// report logs the models that have become short of capacity, or no longer are, and exports the state of
// the controllers.
func (admissions *admissions) report(now time.Duration) {
	admissions.mutex.Lock()
	defer admissions.mutex.Unlock()
	for key, model := range admissions.models {
		status := model.Status(now)
		if status.Short != model.logged {
			model.logged = status.Short
			admissions.logShortage(key, model, status)
		}
		admissions.export(key, model, status)
	}
}

// logShortage logs that a shortage has begun or ended.
func (admissions *admissions) logShortage(key admissionKey, model *modelAdmission, status overload.Status) {
	kind := event.ShortageEnded
	if status.Short {
		kind = event.ShortageBegun
	}
	rejected := map[string]int64{}
	for reason, count := range status.Counts.Rejected {
		if count > 0 {
			rejected[overload.Reason(reason).String()] = count
		}
	}
	admissions.node.Log.Write(kind, slog.String("service", string(key.service)), slog.String("model", string(key.model)), slog.Int("partition", key.partition),
		slog.Float64("limit", status.Limit), slog.Float64("running", math.Round(model.load.Running)), slog.Float64("slots", model.load.Slots),
		slog.Int64("on_time", status.Counts.OnTime), slog.Int64("leftover", status.Counts.Leftover), slog.Int64("returned", status.Counts.Returned), slog.Int64("held", status.Counts.Held),
		slog.Any("rejected", rejected), slog.Int64("promised", status.Counts.Promised), slog.Any("over", overShare(status)))
}

// overShare returns the accounts that ask for more than their share, at most maxLoggedAccounts.
func overShare(status overload.Status) []shedkeel.AccountID {
	over := []shedkeel.AccountID{}
	for _, usage := range status.Usage {
		if usage.Asked > usage.Share && len(over) < maxLoggedAccounts {
			over = append(over, usage.Account)
		}
	}
	return over
}

// export exports the state of a controller as metrics, if the node has any.
func (admissions *admissions) export(key admissionKey, model *modelAdmission, status overload.Status) {
	if admissions.node.Metrics == nil {
		return
	}
	tags := map[string]string{"service": string(key.service), "model": string(key.model), "partition": strconv.Itoa(key.partition)}
	scope := admissions.node.Metrics.Scope.Tagged(tags)
	scope.Gauge("overload_limit").Update(status.Limit)
	scope.Gauge("overload_running").Update(model.load.Running)
	scope.Gauge("overload_promises").Update(float64(status.Promises))
	for reason, count := range status.Counts.Rejected {
		if count > 0 {
			scope.Tagged(map[string]string{"reason": overload.Reason(reason).String()}).Counter("overload_rejected").Inc(count - model.before.Rejected[reason])
		}
	}
	model.before = status.Counts
}

// OverloadDump is the admission of requests for a model at this node, for operators.
type OverloadDump struct {
	Service   shedkeel.ServiceID   `json:"service"`
	Model     shedkeel.ModelID     `json:"model"`
	Partition int                  `json:"partition"` // of the model's groups; -1: requests of this node while no spreader answers
	Limit     float64              `json:"limit"`     // fraction of the slots that may be in use
	Running   float64              `json:"running"`
	Slots     float64              `json:"slots"`
	Short     bool                 `json:"short"` // requests were rejected within the last second
	Rejected  map[string]int64     `json:"rejected"`
	Over      []shedkeel.AccountID `json:"over"` // accounts that ask for more than their share
}

// dump returns the state of the controllers.
func (admissions *admissions) dump(now time.Duration) []OverloadDump {
	admissions.mutex.Lock()
	defer admissions.mutex.Unlock()
	dumps := []OverloadDump{}
	for key, model := range admissions.models {
		status := model.Status(now)
		dump := OverloadDump{
			Service: key.service, Model: key.model, Partition: key.partition, Limit: status.Limit, Running: math.Round(model.load.Running),
			Slots: model.load.Slots, Short: status.Short, Rejected: map[string]int64{}, Over: overShare(status),
		}
		for reason, count := range status.Counts.Rejected {
			dump.Rejected[overload.Reason(reason).String()] = count
		}
		dumps = append(dumps, dump)
	}
	return dumps
}

// admissionCall returns the wire form of a request for admission.
func admissionCall(request *overload.Request, outcomes dispatch.Outcomes) *wire.Admission {
	return &wire.Admission{
		Account: string(request.Account), Rank: uint32(max(request.Rank, 0)), ObjectiveMs: milliseconds(request.Objective), WaitedMs: milliseconds(request.Waited),
		RemainingMs: milliseconds(request.Remaining), Digest: request.Digest, Met: outcomes.Met, Missed: outcomes.Missed,
		HeldMs: milliseconds(request.Held), MaxHoldMs: milliseconds(request.MaxHold),
		ExpectedMs: uint64(outcomes.Expected.Milliseconds()), ActualMs: uint64(outcomes.Actual.Milliseconds()),
	}
}

// milliseconds returns a duration in milliseconds, at least 0.
func milliseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), math.MaxUint32))
}

// parseAdmission returns the request that a node asks admission for.
func parseAdmission(admission *wire.Admission) overload.Request {
	return overload.Request{
		Account: shedkeel.AccountID(admission.GetAccount()), Rank: int(admission.GetRank()), Digest: admission.GetDigest(),
		Objective: time.Duration(admission.GetObjectiveMs()) * time.Millisecond, Waited: time.Duration(admission.GetWaitedMs()) * time.Millisecond,
		Remaining: time.Duration(admission.GetRemainingMs()) * time.Millisecond,
		Held:      time.Duration(admission.GetHeldMs()) * time.Millisecond, MaxHold: time.Duration(admission.GetMaxHoldMs()) * time.Millisecond,
	}
}

// parseOutcomes returns the outcomes that a node reports with a request for admission.
func parseOutcomes(admission *wire.Admission) dispatch.Outcomes {
	return dispatch.Outcomes{
		Met: admission.GetMet(), Missed: admission.GetMissed(),
		Expected: time.Duration(admission.GetExpectedMs()) * time.Millisecond, Actual: time.Duration(admission.GetActualMs()) * time.Millisecond,
	}
}

// admissionReply returns the wire form of a decision; nil stays nil.
func admissionReply(decision *overload.Decision) *wire.AdmissionReply {
	if decision == nil {
		return nil
	}
	return &wire.AdmissionReply{
		Class: wire.AdmissionReply_Class(decision.Class), Reason: uint32(decision.Reason),
		RetryAfterMs: milliseconds(decision.RetryAfter), Promised: decision.Promised, DueMs: milliseconds(decision.Due), QueueingMs: milliseconds(decision.Queueing), WaitedMs: milliseconds(decision.Waited),
	}
}

// parseDecision returns the decision of a spreader; nil stays nil.
func parseDecision(reply *wire.AdmissionReply) *overload.Decision {
	if reply == nil {
		return nil
	}
	return &overload.Decision{
		Class: overload.Class(reply.GetClass()), Reason: overload.Reason(reply.GetReason()),
		RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond, Promised: reply.GetPromised(),
		Due: time.Duration(reply.GetDueMs()) * time.Millisecond, Queueing: time.Duration(reply.GetQueueingMs()) * time.Millisecond,
		Waited: time.Duration(reply.GetWaitedMs()) * time.Millisecond,
	}
}
