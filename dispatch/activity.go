package dispatch

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
)

// activity holds when a server last sent an event or answer, as far as this process knows.
// 0: not known.
type activity struct {
	own      time.Duration // to this process
	reported time.Duration // to any process that calls Recommend, by its reports
	answered time.Duration // to any process, by RecordActivity
	asked    time.Duration // when Inquiries last returned the group
}

// Inquiry names silent groups of a model, to ask when other processes last received events of them.
type Inquiry struct {
	Service   shedkeel.ServiceID
	Model     shedkeel.ModelID
	Instances []shedkeel.InstanceID // heads of the groups
}

// Inquiries returns an inquiry for each model with a group whose silence counts as a stall within
// liveness.AskAhead unless RecordActivity excuses it. To save inquiries, it includes the model's
// groups whose silence is excused already. It returns a group again after liveness.AskAhead at the
// earliest.
func (table *Table) Inquiries(now time.Duration) []*Inquiry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	silent := map[poolKey][]*serverState{}
	due := map[poolKey]bool{}
	for _, state := range table.servers {
		if state.Model == "" || !state.listed || state.expecting() == 0 {
			continue
		}
		verdict := table.silence(state, now).Judge()
		recent := state.activity.asked != 0 && now-state.activity.asked < liveness.AskAhead
		if recent || verdict != liveness.Ask && verdict != liveness.Excused {
			continue
		}
		key := poolKey{state.Service, state.Model}
		silent[key] = append(silent[key], state)
		due[key] = due[key] || verdict == liveness.Ask
	}
	var inquiries []*Inquiry
	for key, groups := range silent {
		if !due[key] {
			continue
		}
		inquiry := &Inquiry{Service: key.service, Model: key.model}
		for _, state := range groups {
			state.activity.asked = now
			inquiry.Instances = append(inquiry.Instances, state.Instance)
		}
		inquiries = append(inquiries, inquiry)
	}
	return inquiries
}

// Activity returns for each group of the inquiry when any process last received an event of it, as
// far as this process and the reports to Recommend tell; 0: not known.
func (table *Table) Activity(inquiry *Inquiry) []time.Duration {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	latest := make([]time.Duration, len(inquiry.Instances))
	for _, state := range table.pools[poolKey{inquiry.Service, inquiry.Model}] {
		if index := slices.Index(inquiry.Instances, state.Instance); index >= 0 {
			latest[index] = max(state.activity.own, state.activity.reported)
		}
	}
	return latest
}

// RecordActivity records the answer to an inquiry: for each of its groups, when any process last
// received an event of it; 0: not known.
func (table *Table) RecordActivity(inquiry *Inquiry, latest []time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, state := range table.pools[poolKey{inquiry.Service, inquiry.Model}] {
		if index := slices.Index(inquiry.Instances, state.Instance); index >= 0 && index < len(latest) {
			state.activity.answered = max(state.activity.answered, latest[index])
		}
	}
}

// silence describes how long the server has sent nothing. The caller must hold the table's mutex.
func (table *Table) silence(state *serverState, now time.Duration) liveness.Silence {
	silence := liveness.Silence{
		Elapsed: table.sinceActivity(state, now), Limit: state.expectedMaxGap() + stallMargin, MaxGap: state.maxEventGap(),
		Responded: state.Model == "", // the silence of plain servers is never excused
		Elsewhere: timeSince(state.activity.answered, now), Own: -1,
	}
	if heard := table.heard[state.Service]; heard != 0 {
		silence.Own = max(table.Delays.Running(heard, now), 0)
	}
	for choice := range state.running {
		if !choice.lost {
			silence.Responded = silence.Responded || choice.responded
			silence.Oldest = max(silence.Oldest, now-choice.ChosenAt)
		}
	}
	return silence
}

// sinceActivity returns for how long this process has run since the server's last event or answer.
// The caller must hold the table's mutex.
func (table *Table) sinceActivity(state *serverState, now time.Duration) time.Duration {
	return table.Delays.Running(state.lastActivity, now)
}

// timeSince returns the time since at, or -1 if at is 0, that is, not known.
func timeSince(at, now time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return max(now-at, 0)
}

// recordHeard records that a server of the service sent an event or answer over a direct
// connection. The caller must hold the table's mutex.
func (table *Table) recordHeard(service shedkeel.ServiceID, now time.Duration) {
	if table.heard == nil {
		table.heard = map[shedkeel.ServiceID]time.Duration{}
	}
	table.heard[service] = now
}

// recordHeard adds the time of the server's last event or answer to the load, if there was any.
func (load *Load) recordHeard(state *serverState) {
	if state.activity.own == 0 {
		return
	}
	if load.Heard == nil {
		load.Heard = map[shedkeel.InstanceID]time.Duration{}
	}
	load.Heard[state.Instance] = state.activity.own
}
