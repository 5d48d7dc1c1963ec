package node

import (
	"log/slog"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
)

// WaitDump describes, for operators, something that the planner waits for.
type WaitDump struct {
	Group  shedkeel.GroupID     `json:"group,omitempty"`
	Server shedkeel.InstanceID  `json:"server,omitempty"`
	Domain shedkeel.DomainID    `json:"domain"`
	Reason formation.WaitReason `json:"reason"`
	For    string               `json:"for"`   // how long the wait has lasted
	Bound  string               `json:"bound"` // how long the wait should last at most
}

// waits returns what the planners of this node wait for, or nil while this node does not
// lead.
func (controller *controller) waits() []formation.Wait {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if !controller.leads {
		return nil
	}
	var found []formation.Wait
	for _, planner := range controller.planners {
		found = append(found, planner.Waits()...)
	}
	return found
}

// waitsForGroup returns, for operators, the waits that concern a group: those of the group,
// of the given members, and of the group's domain as a whole.
func (controller *controller) waitsForGroup(group shedkeel.GroupID, members []MemberDump, now time.Duration) []WaitDump {
	servers := map[shedkeel.InstanceID]bool{}
	for _, member := range members {
		servers[member.Server] = true
	}
	found := []WaitDump{}
	for _, wait := range controller.waits() {
		ofDomain := wait.Group == "" && wait.Server == "" && wait.Domain == formation.DomainOf(group)
		if wait.Group == group || servers[wait.Server] || ofDomain {
			found = append(found, newWaitDump(wait, now))
		}
	}
	return found
}

// newWaitDump describes a wait for operators.
func newWaitDump(wait formation.Wait, now time.Duration) WaitDump {
	return WaitDump{
		Group: wait.Group, Server: wait.Server, Domain: wait.Domain, Reason: wait.Reason,
		For: (now - wait.Since).Round(time.Millisecond).String(), Bound: wait.Bound.String(),
	}
}

// logOverdueWaits logs all waits that have exceeded their bounds, including the waits that
// earlier calls have logged.
func (controller *controller) logOverdueWaits(now time.Duration) {
	for _, wait := range controller.waits() {
		if !wait.Overdue(now) {
			continue
		}
		controller.node.Log.Write(event.WaitOverdue, slog.String("group", string(wait.Group)), slog.String("server", string(wait.Server)), slog.String("domain", string(wait.Domain)),
			slog.String("reason", string(wait.Reason)), slog.Duration("for", now-wait.Since), slog.Duration("bound", wait.Bound))
	}
}
