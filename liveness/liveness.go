// Package liveness decides what the silence of a replica group towards one process means. Under
// heavy load, requests wait in the engine's queue, and a process that has only waiting requests at
// a group receives nothing for longer than from an idle group. Other processes receive events of
// the group meanwhile if it works, and receive none if it is dead.
package liveness

import "time"

const (
	// AskAhead is how long before a silence would count as a stall other processes are asked
	// about the group. It allows for the interval of the check and for the answer, of 20 ms each.
	AskAhead = 40 * time.Millisecond
	// maxExcusedSilence is how long after a request was sent its missing first event can be
	// excused. Callers give up after 2 s, and a first event from another group takes up to
	// 240 ms.
	maxExcusedSilence = 1700 * time.Millisecond
	// eventMargin is added to the longest time between two events of a working group, for the
	// time that the report of an event takes to arrive.
	eventMargin = 100 * time.Millisecond
	// cutOffSilence is how long this process may receive nothing from any server of a service
	// before silence of the service's groups is no longer excused: this box may be cut off.
	cutOffSilence = 200 * time.Millisecond
)

// Verdict is what a silence means.
type Verdict int

const (
	// Normal silence is no longer than expected.
	Normal Verdict = iota
	// Ask means that the silence counts as a stall within AskAhead, unless other processes are
	// known to have received events of the group since.
	Ask
	// Excused silence is tolerated, because other processes receive events of the group.
	Excused
	// Stall means that the group has stopped responding, as far as this process can tell.
	Stall
)

// Silence describes how long a group with running requests of this process has sent no event.
type Silence struct {
	Elapsed   time.Duration // without an event for this process
	Limit     time.Duration // from this time on, the silence is longer than expected
	Responded bool          // a running request has received its first event
	Oldest    time.Duration // since the oldest running request was sent
	MaxGap    time.Duration // longest expected time between two events of the group
	// Elsewhere is the time since another process received an event of the group, and Own the time
	// since this process received anything from a server of the service. Negative: not known.
	Elsewhere time.Duration
	Own       time.Duration
}

// Judge returns what the silence means. It never returns Stall before Limit.
func (silence Silence) Judge() Verdict {
	overdue := silence.Elapsed >= silence.Limit
	if silence.Elapsed < silence.Limit-AskAhead || !silence.excusable() {
		if overdue {
			return Stall
		}
		return Normal
	}
	remaining := silence.MaxGap + eventMargin - silence.Elsewhere // for which the last event elsewhere excuses the silence
	switch {
	case silence.Elsewhere >= 0 && remaining > AskAhead:
		return Excused
	case !overdue || silence.Elsewhere >= 0 && remaining >= 0:
		return Ask
	default:
		return Stall
	}
}

// excusable reports whether events at other processes would excuse the silence.
func (silence Silence) excusable() bool {
	return !silence.Responded && silence.Oldest < maxExcusedSilence && silence.Own >= 0 && silence.Own < cutOffSilence
}
