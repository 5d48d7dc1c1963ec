package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// probeCost multiplies the cost of a server while its probe, the first request after
	// a backoff, is unanswered: the server may ask for another backoff.
	probeCost = 8
	// conditionRetention is how long the condition of an unlisted server is kept. The
	// record of a server in the platform's list may expire and be written again while the
	// server drains.
	conditionRetention = 10 * time.Minute
)

// condition is what one instance of a backend server has said in its answers about whether it
// accepts requests. Another process may have received the answer that said that the server drains.
// A condition is kept when the server's group is formed again, and for conditionRetention when the
// server is unlisted.
type condition struct {
	backoffUntil  time.Duration // the server accepts no requests of this process before this time
	needsProbe    bool          // the server has asked for a backoff and has answered no request sent since the backoff ended
	probe         *Choice       // the first request after the backoff, while it is unanswered; nil: none
	draining      bool
	unlistedSince time.Duration // when RetainConditions first found the server unlisted; 0: it is listed
}

// isDraining reports whether the server has said in an answer that it drains.
func (condition *condition) isDraining() bool { return condition != nil && condition.draining }

// accepts reports whether the server accepts requests of this process: the server does not
// drain, and the backoff that it asked this process for is over.
func (condition *condition) accepts(now time.Duration) bool {
	return condition == nil || !condition.draining && condition.backoffUntil <= now
}

// costFactor is the factor by which the condition raises the cost of the server.
func (condition *condition) costFactor() float64 {
	if condition == nil || condition.probe == nil {
		return 1
	}
	return probeCost
}

// requestSent records a request to the server. The request becomes the probe if the server
// needs a probe and no other probe is unanswered.
func (condition *condition) requestSent(choice *Choice) {
	if condition != nil && condition.needsProbe && condition.probe == nil {
		condition.probe = choice
	}
}

// responseReceived records an event or answer of the server to any of its requests. It ends
// the need for a probe, unless the server was chosen for that request before the backoff ended.
func (condition *condition) responseReceived(choice *Choice) {
	if condition != nil && choice.ChosenAt >= condition.backoffUntil {
		condition.needsProbe, condition.probe = false, nil
	}
}

// requestEnded records that a request no longer runs on the server. If that request was the
// unanswered probe, the next request becomes the probe.
func (condition *condition) requestEnded(choice *Choice) {
	if condition != nil && condition.probe == choice {
		condition.probe = nil
	}
}

// BackOff keeps this process from sending requests to a server until the given time, or
// until a later time that an earlier call gave. The first request after that is a probe
// (probeCost). began reports whether the server accepted requests before the call.
func (table *Table) BackOff(server shedkeel.InstanceID, until, now time.Duration) (began bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	condition := table.condition(server)
	began = condition.accepts(now)
	condition.backoffUntil = max(condition.backoffUntil, until)
	condition.needsProbe = true
	return began
}

// Drain keeps requests from a server that has said in an answer that it drains. It returns
// false if an earlier call has recorded the draining already.
func (table *Table) Drain(server shedkeel.InstanceID) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	condition := table.condition(server)
	changed := !condition.draining
	condition.draining = true
	return changed
}

// Draining returns the servers that have said in an answer that they drain.
func (table *Table) Draining() map[shedkeel.InstanceID]bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	draining := map[shedkeel.InstanceID]bool{}
	for server, condition := range table.conditions {
		if condition.draining {
			draining[server] = true
		}
	}
	return draining
}

// Conditions returns how many servers have asked for a backoff that has not ended, and
// how many have said that they drain. A server to which both apply counts as draining.
func (table *Table) Conditions(now time.Duration) (backingOff, draining int) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, condition := range table.conditions {
		switch {
		case condition.draining:
			draining++
		case condition.backoffUntil > now:
			backingOff++
		}
	}
	return backingOff, draining
}

// condition returns the condition of a server, and creates it if there is none. The
// caller must hold table.mutex.
func (table *Table) condition(server shedkeel.InstanceID) *condition {
	result := table.conditions[server]
	if result != nil {
		return result
	}
	if table.conditions == nil {
		table.conditions = map[shedkeel.InstanceID]*condition{}
	}
	result = &condition{}
	table.conditions[server] = result
	for _, state := range table.servers {
		if state.Instance == server {
			state.condition = result
		}
	}
	return result
}

// RetainConditions drops the conditions of servers that have been unlisted for
// conditionRetention, counted from the first of the consecutive calls in which listed returned
// false for the server. The caller must call RetainConditions repeatedly.
func (table *Table) RetainConditions(listed func(shedkeel.InstanceID) bool, now time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for server, condition := range table.conditions {
		switch {
		case listed(server):
			condition.unlistedSince = 0
		case condition.unlistedSince == 0:
			condition.unlistedSince = now
		case now-condition.unlistedSince >= conditionRetention:
			delete(table.conditions, server)
		}
	}
}

// BackoffEnd returns the time at which the first server of the query's service and model
// accepts requests again after a backoff. allBackedOff is false if some server accepts requests
// now, or if there is no server left to consider. Servers that are avoided or drain do not count.
func (table *Table) BackoffEnd(query Query) (end time.Duration, allBackedOff bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, state := range table.pools[poolKey{query.Service, query.Model}] {
		if state.avoidUntil > query.Now || state.condition.isDraining() {
			continue
		}
		if state.condition.accepts(query.Now) {
			return 0, false
		}
		if !allBackedOff || state.condition.backoffUntil < end {
			end, allBackedOff = state.condition.backoffUntil, true
		}
	}
	return end, allBackedOff
}
