package contain

import (
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

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
