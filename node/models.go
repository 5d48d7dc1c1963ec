package node

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
)

// modelKey names a model of a service.
type modelKey struct {
	service shedkeel.ServiceID
	model   shedkeel.ModelID
}

// ModelDump is the state of a model's replica groups for operators. Only the leader knows it.
type ModelDump struct {
	Service  shedkeel.ServiceID       `json:"service"`
	Model    shedkeel.ModelID         `json:"model"`
	Standing int                      `json:"standing"` // groups that serve
	Forming  int                      `json:"forming"`
	Wanted   int                      `json:"wanted"`           // the model's share of the servers, in groups
	Possible int                      `json:"possible"`         // groups that the usable servers could hold if they all worked for the model
	Prepared int                      `json:"prepared"`         // of these, the ones that need no load from the weight store
	Held     int                      `json:"held"`             // servers of lost groups that may not be used elsewhere yet
	Reason   formation.ShortageReason `json:"reason,omitempty"` // why fewer groups stand than wanted
	For      string                   `json:"for,omitempty"`    // how long fewer have stood
}

// logModels logs the state of a service's models if due, and at once when a model has lost its last
// group or has one again. The caller holds the mutex.
func (controller *controller) logModels(service shedkeel.ServiceID, statuses []formation.ModelStatus, due bool, now time.Duration) {
	for _, status := range statuses {
		key := modelKey{service, status.Model}
		since, unavailable := controller.unavailable[key]
		switch {
		case status.None() && (!unavailable || due):
			controller.unavailable[key] = status.Without
			controller.logModel(event.ModelUnavailable, service, status, now-status.Without)
		case status.None():
		case unavailable:
			delete(controller.unavailable, key)
			controller.logModel(event.ModelAvailable, service, status, now-since)
		case due:
			controller.logModel(event.ModelGroups, service, status, now-status.Since)
		}
	}
}

// logModel logs the state of a model; lasting is the value of the field "for".
func (controller *controller) logModel(kind event.Event, service shedkeel.ServiceID, status formation.ModelStatus, lasting time.Duration) {
	controller.node.Log.Write(kind, slog.String("service", string(service)), slog.String("model", string(status.Model)),
		slog.Int("standing", status.Standing), slog.Int("forming", status.Forming), slog.Int("wanted", status.Wanted), slog.Int("possible", status.Possible),
		slog.Int("prepared", status.Prepared), slog.Int("held", status.Held), slog.String("reason", string(status.Reason)), slog.Duration("for", lasting))
}

// modelDumps returns the state of the models' replica groups, or nothing while this node does not
// lead.
func (controller *controller) modelDumps(now time.Duration) []ModelDump {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	found := []ModelDump{}
	if !controller.leads {
		return found
	}
	for service, planner := range controller.planners {
		for _, status := range planner.Status() {
			dump := ModelDump{
				Service: service, Model: status.Model, Standing: status.Standing, Forming: status.Forming, Wanted: status.Wanted,
				Possible: status.Possible, Prepared: status.Prepared, Held: status.Held, Reason: status.Reason,
			}
			if status.Short() {
				dump.For = (now - status.Since).Round(time.Millisecond).String()
			}
			found = append(found, dump)
		}
	}
	return found
}

// reportModels exports the numbers of groups of each model and for how long it has had none. Nodes
// that don't lead export 0.
func (node *Node) reportModels(scope tally.Scope, now time.Duration) {
	controller := &node.controller
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	for service, planner := range controller.planners {
		for _, status := range planner.Status() {
			without := time.Duration(0)
			if status.None() {
				without = now - status.Without
			}
			if !controller.leads {
				status, without = formation.ModelStatus{Model: status.Model}, 0
			}
			tagged := scope.Tagged(map[string]string{"service": string(service), "model": string(status.Model)})
			for kind, count := range map[string]int{"standing": status.Standing, "forming": status.Forming, "wanted": status.Wanted, "possible": status.Possible, "prepared": status.Prepared} {
				tagged.Tagged(map[string]string{"kind": kind}).Gauge("model_groups").Update(float64(count))
			}
			tagged.Gauge("model_servers_held").Update(float64(status.Held))
			tagged.Gauge("model_unavailable_seconds").Update(without.Seconds())
		}
	}
}
