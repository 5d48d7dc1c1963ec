package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// trialCost is what a server counts more after its backoff while the first request
	// to it is not answered: it may want another one.
	trialCost = 8
	// conditionKeep is for how long the condition of a server is remembered that is not
	// listed. Its record may lapse and come back while the server drains.
	conditionKeep = 10 * time.Minute
)

// condition is what one start of a backend server has said in its answers of whether
// it takes requests. It outlasts the groups that the server heads, and its record.
type condition struct {
	backoffTill time.Duration // it wants no request of this process before
	unproven    bool          // it has answered no request since its backoff
	trial       *Choice       // the first request since then, while it is under way
	draining    bool
	unlisted    time.Duration // since when the server is not listed; 0: it is
}

// drains reports whether the server has said that it drains.
func (condition *condition) drains() bool { return condition != nil && condition.draining }

// takes reports whether the server takes requests of this process.
func (condition *condition) takes(now time.Duration) bool {
	return condition == nil || !condition.draining && condition.backoffTill <= now
}

// cost is what the server counts more by what it has said.
func (condition *condition) cost() float64 {
	if condition == nil || condition.trial == nil {
		return 1
	}
	return trialCost
}

// begin notes that a request is sent to the server.
func (condition *condition) begin(choice *Choice) {
	if condition != nil && condition.unproven && condition.trial == nil {
		condition.trial = choice
	}
}

// sign notes that the server has answered a request.
func (condition *condition) sign(choice *Choice) {
	if condition != nil && choice.Began >= condition.backoffTill {
		condition.unproven, condition.trial = false, nil
	}
}

// end notes that a request is not under way any more.
func (condition *condition) end(choice *Choice) {
	if condition != nil && condition.trial == choice {
		condition.trial = nil
	}
}

// BackOff has no request of this process sent to a server before that time. It reports
// whether requests could be sent there until now.
func (table *Table) BackOff(server shedkeel.InstanceID, until, now time.Duration) (began bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	condition := table.condition(server)
	began = condition.takes(now)
	condition.backoffTill = max(condition.backoffTill, until)
	condition.unproven = true
	return began
}

// Drain has no request sent to a server any more, as it has said itself that it
// drains. It reports whether that is news.
func (table *Table) Drain(server shedkeel.InstanceID) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	condition := table.condition(server)
	news := !condition.draining
	condition.draining = true
	return news
}

// Draining returns the servers that have said in an answer that they drain.
func (table *Table) Draining() map[shedkeel.InstanceID]bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	found := map[shedkeel.InstanceID]bool{}
	for server, condition := range table.conditions {
		if condition.draining {
			found[server] = true
		}
	}
	return found
}

// Conditions returns how many servers back off, and how many have said that they
// drain.
func (table *Table) Conditions(now time.Duration) (backingOff, draining int) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, condition := range table.conditions {
		switch {
		case condition.draining:
			draining++
		case condition.backoffTill > now:
			backingOff++
		}
	}
	return backingOff, draining
}

// condition returns the condition of a server. The mutex is held.
func (table *Table) condition(server shedkeel.InstanceID) *condition {
	known := table.conditions[server]
	if known != nil {
		return known
	}
	if table.conditions == nil {
		table.conditions = map[shedkeel.InstanceID]*condition{}
	}
	known = &condition{}
	table.conditions[server] = known
	for _, state := range table.servers {
		if state.Instance == server {
			state.condition = known
		}
	}
	return known
}

// Retain forgets what servers have said that are not listed for long.
func (table *Table) Retain(listed func(shedkeel.InstanceID) bool, now time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for server, condition := range table.conditions {
		switch {
		case listed(server):
			condition.unlisted = 0
		case condition.unlisted == 0:
			condition.unlisted = now
		case now-condition.unlisted >= conditionKeep:
			delete(table.conditions, server)
		}
	}
}

// BackoffEnd returns when the first server of a pool takes requests again, if all that
// could be sent to back off.
func (table *Table) BackoffEnd(query Query) (end time.Duration, backsOff bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, known := range table.pools[pool{query.Service, query.Model}] {
		if known.avoidTill > query.Now || known.condition.drains() {
			continue
		}
		if known.condition.takes(query.Now) {
			return 0, false
		}
		if !backsOff || known.condition.backoffTill < end {
			end, backsOff = known.condition.backoffTill, true
		}
	}
	return end, backsOff
}
