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

// PartDetector finds the parts of prompts that terminate servers. All nodes have one. They report to the
// collector, one of the nodes, which tells the resulting records to all; another can take over at any
// time. The zero value with a Ledger is ready to use, its methods may be called concurrently, and
// times are on one monotonic clock of the node.
type PartDetector struct {
	Ledger  *Ledger
	History History

	mutex   sync.Mutex
	endings []*ending // reported to this node, in the order in which their first reports came
	trials  map[shedkeel.Subject]trial
	// withdrawals holds those of the last withdrawalTime.
	withdrawals []withdrawal
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
