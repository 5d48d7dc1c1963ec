package contain

import (
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// settleTime is how long after a server has terminated under a part no trial of the part starts:
	// requests with the part that had begun at other servers meanwhile terminate those first, and the
	// reports of all nodes arrive.
	settleTime = 150 * time.Millisecond
	// coverageTime is for how long before the first server terminated under a part the terminations
	// of other servers count against the part being the cause.
	coverageTime = time.Second
	// withdrawalTime is how long after a request was withdrawn from a server it may be the cause that
	// the server terminates.
	withdrawalTime = 300 * time.Millisecond
	// maxWithdrawals bounds the withdrawals that a PartDetector remembers.
	maxWithdrawals = 1024
	// maxEndings bounds the terminations that a PartDetector remembers.
	maxEndings = 256
	// trialExpiry is the age from which a trial whose end was not reported counts as ended.
	trialExpiry = 10 * time.Second
	// quarantineAge is the age of the latest evidence from which a quarantined part is cleared.
	quarantineAge = time.Minute
	// containAge is the age of the latest evidence from which a contained part is quarantined, so
	// that one request tries it. It doubles with each round, up to maxContainDoublings times.
	containAge          = 10 * time.Minute
	maxContainDoublings = 7
)

// Ending is what one node reports when a server has terminated: the parts of the requests that it
// ran there.
type Ending struct {
	Server   shedkeel.InstanceID
	Suspects []shedkeel.Blame   // parts that the node does not know to be harmless, with its records of them
	Harmless []shedkeel.Subject // parts that were proven harmless before
	Tried    shedkeel.Subject   // the suspect that the request was a trial of; "": it was on no trial, or of several
}

// PartDetector finds the parts of prompts that terminate servers. A part is suspected, that is,
// quarantined, when a server has terminated while it ran a request with the part, unless the part has
// been proven harmless: by an answer to another request with it. A suspected part is tried with one
// request at a time, on a server without another trial, until an answer clears it or three servers
// have terminated. It is then contained if one of them did so in a trial, or if no server
// terminated without it: many servers may terminate at once by a common cause.
//
// All nodes have a detector. Nodes report to one of them, the collector, which tells the resulting
// records to all; another one can take over at any time. Times are on one monotonic clock of the
// node. The zero value with a Ledger is ready to use, and its methods may be called
// concurrently.
type PartDetector struct {
	Ledger  *Ledger
	History History

	mutex   sync.Mutex
	endings []*ending // reported to this node, in the order in which their first reports came
	trials  map[shedkeel.Subject]trial
	// withdrawals holds those of the last withdrawalTime.
	withdrawals []withdrawal
}

// withdrawal is a request with a suspected part that a node has withdrawn from a server.
type withdrawal struct {
	part   shedkeel.Subject
	server shedkeel.InstanceID
	at     time.Duration // when the report came
}

// ending is a terminated server, as reported to this node.
type ending struct {
	server shedkeel.InstanceID
	at     time.Duration                 // when the first report came
	parts  map[shedkeel.Subject]presence // the parts that it ran
}

// presence says how a part was present at a server that terminated.
type presence struct {
	suspect bool   // the part was not known to be harmless
	tried   bool   // a request was a trial of the part
	round   uint32 // of the part's record
}

// others reports whether a server ran parts that were not known to be harmless, other than the given one.
func (ending *ending) others(part shedkeel.Subject) bool {
	for other, present := range ending.parts {
		if other != part && present.suspect {
			return true
		}
	}
	return false
}

// trial is an attempt that this node has allowed.
type trial struct {
	until  time.Duration       // when it counts as ended
	server shedkeel.InstanceID // where it runs; "": not known yet
}

// ServerEnded records at the node that ran a request that its server has terminated, and returns the
// report for the collector.
func (detector *PartDetector) ServerEnded(request shedkeel.GuardedRequest, server shedkeel.InstanceID, now time.Duration, clock time.Time) Ending {
	report := Ending{Server: server}
	for _, part := range request.Parts {
		if _, harmless := detector.History.HarmlessSince(part, now); harmless {
			report.Harmless = append(report.Harmless, part)
			continue
		}
		report.Suspects = append(report.Suspects, detector.record(part, server, clock))
		detector.History.ServerEnded(part, now)
	}
	if request.OnTrial {
		report.Tried = triedPart(report.Suspects)
	}
	return report
}

// triedPart returns the part that a trial of these suspects has tried: the one under which the most
// servers have terminated. It returns "" if two have as many: the trial does not show which is the cause.
func triedPart(suspects []shedkeel.Blame) shedkeel.Subject {
	tried, most := shedkeel.Subject(""), 0
	for _, suspect := range suspects {
		switch count := len(suspect.Servers); {
		case count > most:
			tried, most = suspect.Subject, count
		case count == most:
			tried = ""
		}
	}
	return tried
}

// record adds a server to the record of a part.
func (detector *PartDetector) record(part shedkeel.Subject, server shedkeel.InstanceID, clock time.Time) shedkeel.Blame {
	blame := detector.Ledger.Blame(part)
	blame.Servers = append(blame.Servers, server)
	if blame.Since.IsZero() {
		blame.Since = clock
	}
	blame, _ = detector.Ledger.Merge(blame)
	return blame
}

// Collect records a report at the collector. It returns the records that changed, for all nodes, and
// those that only the reporting node lacks: it does not know yet that these parts are harmless.
func (detector *PartDetector) Collect(report Ending, now time.Duration, clock time.Time) (changed, reply []shedkeel.Blame) {
	harmless := slices.Clone(report.Harmless)
	var suspects []shedkeel.Subject
	for _, suspect := range report.Suspects {
		if _, known := detector.History.HarmlessSince(suspect.Subject, now); known {
			harmless = append(harmless, suspect.Subject)
			reply = append(reply, detector.refute(suspect))
			continue
		}
		merged, isNew := detector.Ledger.Merge(suspect)
		if isNew {
			changed = append(changed, merged)
		}
		suspects = append(suspects, suspect.Subject)
		detector.History.ServerEnded(suspect.Subject, now)
	}
	for _, part := range detector.addEnding(report, suspects, harmless, now) {
		if blame, isNew := detector.Ledger.RecordFailure(part, report.Server); isNew {
			changed = append(changed, blame)
		}
	}
	for _, part := range harmless {
		if blame, isNew := detector.suspectHarmless(part, now, clock); isNew {
			changed = append(changed, blame)
		}
	}
	return changed, reply
}

// refute returns the record that clears a suspected part at nodes that do not know that it is harmless.
func (detector *PartDetector) refute(suspect shedkeel.Blame) shedkeel.Blame {
	if own := detector.Ledger.Blame(suspect.Subject); own.Round > suspect.Round {
		return own
	}
	cleared, _ := detector.Ledger.Merge(shedkeel.Blame{Subject: suspect.Subject, Round: suspect.Round + 1})
	return cleared
}

// suspectHarmless suspects a part that was harmless before, if since then containThreshold servers
// have terminated under it, not all at once, and none without it or with another suspect.
func (detector *PartDetector) suspectHarmless(part shedkeel.Subject, now time.Duration, clock time.Time) (shedkeel.Blame, bool) {
	provenAt, _ := detector.History.HarmlessSince(part, now)
	detector.mutex.Lock()
	var since []*ending
	for _, ending := range detector.endings {
		if ending.at > provenAt && now-ending.at <= quarantineAge {
			since = append(since, ending)
		}
	}
	exclusive := !slices.ContainsFunc(since, func(ending *ending) bool {
		_, ran := ending.parts[part]
		return !ran || ending.others(part)
	})
	detector.mutex.Unlock()
	if !exclusive || len(since) < containThreshold || since[len(since)-1].at-since[0].at < settleTime {
		return shedkeel.Blame{}, false
	}
	blame := detector.Ledger.Blame(part)
	blame.WasHarmless = true
	for _, ending := range since {
		blame.Servers = append(blame.Servers, ending.server)
	}
	if blame.Since.IsZero() {
		blame.Since = clock
	}
	detector.History.ServerEnded(part, now)
	return detector.Ledger.Merge(blame)
}

// addEnding adds a report to the endings. It returns the suspected parts that were withdrawn from the
// server shortly before, if the report is the first one about it.
func (detector *PartDetector) addEnding(report Ending, suspects, harmless []shedkeel.Subject, now time.Duration) (withdrawn []shedkeel.Subject) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	index := slices.IndexFunc(detector.endings, func(ending *ending) bool { return ending.server == report.Server })
	if index < 0 {
		if len(detector.endings) == maxEndings {
			detector.endings = slices.Delete(detector.endings, 0, 1)
		}
		index = len(detector.endings)
		ending := detector.newEnding(report.Server, now)
		detector.endings = append(detector.endings, ending)
		for part := range ending.parts {
			if detector.Ledger.Judge(part) != shedkeel.Unblamed {
				withdrawn = append(withdrawn, part)
			}
		}
	}
	ending := detector.endings[index]
	for _, part := range slices.Concat(suspects, harmless) {
		present := ending.parts[part]
		present.tried = present.tried || part == report.Tried
		present.suspect = present.suspect || slices.Contains(suspects, part)
		present.round = detector.Ledger.Blame(part).Round
		ending.parts[part] = present
	}
	return withdrawn
}

// newEnding returns the ending of a server that has just terminated, with the parts that were withdrawn
// from it shortly before. The caller must hold detector.mutex.
func (detector *PartDetector) newEnding(server shedkeel.InstanceID, now time.Duration) *ending {
	ending := &ending{server: server, at: now, parts: map[shedkeel.Subject]presence{}}
	for _, withdrawal := range detector.withdrawals {
		if withdrawal.server == server && now-withdrawal.at <= withdrawalTime {
			ending.parts[withdrawal.part] = presence{suspect: true, round: detector.Ledger.Blame(withdrawal.part).Round}
		}
	}
	return ending
}

// Withdrawn records that a node has withdrawn a request with a suspected part from a server, which
// may have begun to answer it already. If the server terminates shortly after, it does so under the part.
func (detector *PartDetector) Withdrawn(part shedkeel.Subject, server shedkeel.InstanceID, now time.Duration) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.withdrawals = slices.DeleteFunc(detector.withdrawals, func(earlier withdrawal) bool { return now-earlier.at > withdrawalTime })
	if len(detector.withdrawals) < maxWithdrawals {
		detector.withdrawals = append(detector.withdrawals, withdrawal{part, server, now})
	}
	for _, ending := range detector.endings {
		if ending.server == server && now-ending.at <= withdrawalTime {
			// The reports came first.
			ending.parts[part] = presence{suspect: true, tried: ending.parts[part].tried, round: detector.Ledger.Blame(part).Round}
		}
	}
}

// Conclude contains the parts that are shown to terminate servers, and returns their records.
func (detector *PartDetector) Conclude(now time.Duration) (contained []shedkeel.Blame) {
	for _, blame := range detector.Ledger.parts() {
		if blame.Contained || len(blame.Servers) < containThreshold || !detector.isConclusive(blame, now) {
			continue
		}
		if after, changed := detector.Ledger.Contain(blame.Subject); changed {
			contained = append(contained, after)
		}
	}
	return contained
}

// isConclusive reports whether the terminations reported to this node show that the part causes them:
// one happened in a trial of the part, or the part is the only suspect that they all have in common.
// A trial beside another suspect shows less, and needs one more server.
func (detector *PartDetector) isConclusive(blame shedkeel.Blame, now time.Duration) bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	known, first, last, tried := 0, time.Duration(0), time.Duration(0), false
	for _, ending := range detector.endings {
		present, ran := ending.parts[blame.Subject]
		if !ran || present.round != blame.Round {
			continue
		}
		if present.tried {
			tried = tried || len(blame.Servers) > containThreshold || !ending.others(blame.Subject)
		}
		if known == 0 {
			first = ending.at
		}
		known, last = known+1, ending.at
	}
	if known == 0 || now-last < settleTime {
		return false
	}
	if tried || known < containThreshold {
		return tried
	}
	common := detector.commonSuspects(first - coverageTime)
	return len(common) == 1 && common[0] == blame.Subject
}

// commonSuspects returns the suspected parts that all servers ran that have terminated after the given
// time. The caller must hold detector.mutex.
func (detector *PartDetector) commonSuspects(after time.Duration) (common []shedkeel.Subject) {
	isFirst := true
	for _, ending := range detector.endings {
		if ending.at <= after {
			continue
		}
		if isFirst {
			isFirst = false
			for part := range ending.parts {
				if detector.Ledger.Judge(part) != shedkeel.Unblamed {
					common = append(common, part)
				}
			}
			continue
		}
		common = slices.DeleteFunc(common, func(part shedkeel.Subject) bool {
			_, ran := ending.parts[part]
			return !ran
		})
	}
	return common
}

// Merge adds a record of another node. If the record suspects a part that this node knows to be
// harmless, and that was not known to be, Merge clears the part instead, and returns the record that
// says so with refuted.
func (detector *PartDetector) Merge(blame shedkeel.Blame, now time.Duration) (merged shedkeel.Blame, changed, refuted bool) {
	_, harmless := detector.History.HarmlessSince(blame.Subject, now)
	if own := detector.Ledger.Blame(blame.Subject); harmless && !blame.WasHarmless && len(blame.Servers) > 0 && blame.Round >= own.Round {
		return detector.refute(blame), true, true
	}
	merged, changed = detector.Ledger.Merge(blame)
	switch {
	case changed && len(merged.Servers) == 0:
		detector.History.Harmless(blame.Subject, now) // as another node knows
	case changed:
		detector.History.ServerEnded(blame.Subject, now)
	}
	return merged, changed, false
}

// PartsHarmless records that parts are harmless, as an answer has proven. It returns the records of
// those that were suspected.
func (detector *PartDetector) PartsHarmless(parts []shedkeel.Subject, now time.Duration) (cleared []shedkeel.Blame) {
	for _, part := range parts {
		detector.History.Harmless(part, now)
		if detector.Ledger.Idle() {
			continue
		}
		if before, after := detector.Ledger.Clear(part); len(before.Servers) > 0 {
			cleared = append(cleared, after)
		}
	}
	return cleared
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

// Review clears suspected parts and releases contained ones whose latest evidence is old, and returns
// their records. owns says of which parts this node decides.
func (detector *PartDetector) Review(owns func(shedkeel.Subject) bool, now time.Duration) (changed []shedkeel.Blame) {
	for _, blame := range detector.Ledger.parts() {
		endedAt, _ := detector.History.EndedAt(blame.Subject)
		age := now - endedAt
		switch {
		case blame.Contained && age >= containAge<<min(blame.Round, maxContainDoublings) && owns(blame.Subject):
			detector.History.ServerEnded(blame.Subject, now) // its quarantine lasts for quarantineAge from now on
			changed = append(changed, detector.Ledger.Release(blame.Subject))
		case !blame.Contained && age >= quarantineAge && owns(blame.Subject):
			_, after := detector.Ledger.Clear(blame.Subject)
			changed = append(changed, after)
		}
	}
	return changed
}
