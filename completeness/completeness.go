// Package completeness decides whether a backend server's answer is complete, while servers, boxes and
// links fail within answers. An answer with neither a length nor chunks ends with its connection, which
// the operating system closes for a process that dies as well: only a later sign of the same process
// shows that the process has ended the answer itself.
package completeness

import (
	"time"

	"shedkeel.org/shedkeel"
)

// Verdict says whether an answer is complete.
type Verdict int

// The verdicts. Only a Complete answer may reach a caller as a complete one.
const (
	Unknown    Verdict = iota // the answer ended regularly, and its server may have died in it
	Complete                  // the answer is what the server sent
	Incomplete                // a part of the answer is missing
)

var verdictNames = [...]string{"not_known", "complete", "incomplete"}

// String returns the name of the verdict in logs and metrics.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Process says what became of the process that sent an answer, judged after the end of the answer.
type Process int

// The states of a process.
const (
	ProcessUnknown Process = iota // nothing was heard of it after the end
	ProcessRuns                   // it has sent something after the end
	ProcessEnded                  // another process, or none, is at its address
)

var processNames = [...]string{"not_known", "runs", "ended"}

// String returns the name of the state in logs and metrics.
func (process Process) String() string { return processNames[process] }

// Judge returns the verdict on an answer. readErr is the error with which the read of its body ended;
// nil means that the end that the answer states, or else the end of its connection, was reached.
func Judge(closeDelimited bool, readErr error, process Process) Verdict {
	switch {
	case readErr != nil:
		return Incomplete
	case !closeDelimited, process == ProcessRuns:
		return Complete
	}
	return Unknown
}

// JudgeProcess returns what a health check, sent after an answer of the instance had ended, tells
// about the process that sent the answer. requestedAt is when the request for that answer was sent, or earlier.
func JudgeProcess(instance shedkeel.InstanceID, health shedkeel.Health, requestedAt time.Time) Process {
	switch {
	case health.Server != "" && health.Server != instance.Server(), health.Born != 0 && instance.Born() != 0 && health.Born != instance.Born():
		return ProcessEnded
	case !health.ConnectedAt.IsZero() && !health.ConnectedAt.After(requestedAt):
		return ProcessRuns // no connection outlives its process
	case health.Born != 0 && health.Born == instance.Born():
		return ProcessRuns // no two processes at an address have the same start
	case health.Server == "", health.Born != instance.Born():
		return ProcessUnknown // a server that restarts may keep its name
	}
	return ProcessRuns
}
