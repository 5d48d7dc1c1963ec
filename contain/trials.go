package contain

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// trial is an attempt that this node has allowed.
type trial struct {
	until  time.Duration       // when it counts as ended
	server shedkeel.InstanceID // where it runs; "": not known yet
}

// TrialDecision is the decision on a trial.
type TrialDecision struct {
	Allowed bool
	Wait    time.Duration         // not allowed yet: ask again after this time; 0: another trial is running, or a part is contained
	Avoid   []shedkeel.InstanceID // servers on which other trials run
}

// AllowTrial decides whether a request with these parts may be sent to a server now, and records its
// trial. Parts that are not suspected need none.
func (detector *PartDetector) AllowTrial(parts []shedkeel.Subject, now time.Duration) TrialDecision {
	suspected := slices.DeleteFunc(slices.Clone(parts), func(part shedkeel.Subject) bool { return detector.Ledger.Judge(part) == shedkeel.Unblamed })
	wait := time.Duration(0)
	for _, part := range suspected {
		if detector.Ledger.Judge(part) == shedkeel.Contained {
			return TrialDecision{}
		}
		if endedAt, ended := detector.History.EndedAt(part); ended {
			wait = max(wait, endedAt+settleTime-now)
		}
	}
	if wait > 0 {
		return TrialDecision{Wait: wait}
	}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	decision := TrialDecision{Allowed: true}
	for part, running := range detector.trials {
		switch {
		case now >= running.until:
			delete(detector.trials, part)
		case slices.Contains(suspected, part):
			return TrialDecision{}
		case running.server != "":
			decision.Avoid = append(decision.Avoid, running.server)
		}
	}
	for _, part := range suspected {
		if detector.trials == nil {
			detector.trials = map[shedkeel.Subject]trial{}
		}
		detector.trials[part] = trial{until: now + trialExpiry}
	}
	return decision
}

// PlaceTrial records at which server a trial of these parts runs.
func (detector *PartDetector) PlaceTrial(parts []shedkeel.Subject, server shedkeel.InstanceID) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	for _, part := range parts {
		if running, found := detector.trials[part]; found {
			running.server = server
			detector.trials[part] = running
		}
	}
}

// EndTrial records that a trial of these parts has ended.
func (detector *PartDetector) EndTrial(parts []shedkeel.Subject) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	for _, part := range parts {
		delete(detector.trials, part)
	}
}
