package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
)

const (
	// maxDecodeGap is the longest expected time between two events of a group whose
	// engine prefills no prompt. In that time the engine generates five tokens of about
	// 10 ms each.
	maxDecodeGap = 60 * time.Millisecond
	// defaultMaxEventGap is the longest expected time between two events of a group that
	// does not state its engine's times.
	defaultMaxEventGap = 120 * time.Millisecond
	// stallReportInterval is the time after which FindStalled reports a continuing stall
	// again and notifies the server's requests again. The process that investigates the
	// stall may have been replaced meanwhile, and other groups may have become available for
	// the requests.
	stallReportInterval = 500 * time.Millisecond
	// maxFirstEventTime is the longest expected time to the first event of a short prompt.
	// Requests queue in the engine under load: with 400 to 600 ms, half of the stalls
	// reported in a traffic burst are false alarms, and each false alarm causes a prompt to
	// be prefilled twice. Callers wait 2 s for the first event.
	maxFirstEventTime = 800 * time.Millisecond
	// stallMargin is added to the longest expected time without events or answers before a server
	// counts as stalled, for delays of links and timers. A smaller margin would rescue no further
	// stream, since a first event from another group takes 180 to 240 ms, and each false alarm
	// causes a prompt to be prefilled twice (docs/PLATFORM.md).
	stallMargin = 60 * time.Millisecond
	// plainStallTimeout is the longest time for which a plain server with running requests
	// is expected to send no answer. The server counts as stalled stallMargin later.
	plainStallTimeout = 500 * time.Millisecond
	// avoidDuration is how long a stalled server is avoided after the last call of
	// FindStalled that found the server stalled, unless the server responds before
	// (RecordResponse).
	avoidDuration = 1500 * time.Millisecond
	// defaultPrefillRate applies to servers that state no prefill rate, in tokens per second.
	defaultPrefillRate = 40_000
	// plainResponseTime is the expected response time of a plain server.
	plainResponseTime = 80 * time.Millisecond
	// idleFirstEventTime is the expected time to the first event of an idle group, without
	// the time for prefilling the prompt.
	idleFirstEventTime = 150 * time.Millisecond
)

// Stall reports a server that has stopped responding.
type Stall struct {
	Server  Server
	Elapsed time.Duration // time since the server's last event or answer, or since the first request after an idle period
	Running int           // requests of this process that run there
}

// prefillTime is the expected time to prefill the prompt of the request.
func (choice *Choice) prefillTime() time.Duration {
	return choice.Server.prefillTime(choice.promptTokens)
}

// prefillTime is the expected time to prefill a prompt of that many tokens.
func (server *Server) prefillTime(promptTokens int) time.Duration {
	rate := server.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(promptTokens) / rate * float64(time.Second))
}

// expectedResponseTime is the expected time to the first event or the answer of the
// request.
func (choice *Choice) expectedResponseTime() time.Duration {
	if choice.Model == "" {
		return plainResponseTime
	}
	return idleFirstEventTime + choice.prefillTime()
}

// maxEventGap is the longest expected time between two events while the group works:
// Server.MaxEventGap, or defaultMaxEventGap if the group does not state it.
func (serverState *serverState) maxEventGap() time.Duration {
	if serverState.MaxEventGap <= 0 {
		return defaultMaxEventGap
	}
	return serverState.MaxEventGap
}

// expectedMaxGap is the longest time that the server is expected to send no event and no
// answer, given the requests that this process has running there. For a plain server it is
// plainStallTimeout. For a group it is maxEventGap if any request has received an event, and
// otherwise maxFirstEventTime plus the time to prefill the prompts of all requests.
func (serverState *serverState) expectedMaxGap() time.Duration {
	if serverState.Model == "" {
		return plainStallTimeout
	}
	gap := maxFirstEventTime
	for choice := range serverState.running {
		if choice.lost {
			continue
		}
		if choice.responded {
			// Every step may take as long as one with prefill, because the engine may
			// prefill prompts of other processes.
			return serverState.maxEventGap()
		}
		gap += choice.prefillTime()
	}
	return gap
}

// FindStalled returns the servers that run requests of this process and have sent nothing while this
// process ran for expectedMaxGap plus stallMargin, unless their silence is excused (RecordActivity).
// It avoids them for avoidDuration from now, unless no request has a connection yet: a dial that fails is judged by itself. It returns a continuing stall again, and notifies the requests on the
// server again, after stallReportInterval; before, it notifies only those that have received no
// notice.
func (table *Table) FindStalled(now time.Duration) []Stall {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var stalls []Stall
	for _, state := range table.servers {
		if state.expecting() == 0 {
			continue
		}
		silence := table.silence(state, now)
		if silence.Judge() != liveness.Stall {
			continue
		}
		report := state.stallReported == 0 || now-state.stallReported >= stallReportInterval
		for choice := range state.running {
			choice.stallNotified = choice.stallNotified && !report
			choice.notifyStall()
		}
		if report {
			state.stallReported = now
			stalls = append(stalls, Stall{Server: state.Server, Elapsed: silence.Elapsed, Running: state.expecting()})
		}
		if state.wasSent() {
			state.avoidUntil = max(state.avoidUntil, now+avoidDuration)
		}
	}
	return stalls
}

// notifyStall sends a notice on Stalled, unless stallNotified is set or the last notice is
// unread. The caller must hold the table's mutex.
func (choice *Choice) notifyStall() {
	if choice.stallNotified {
		return
	}
	choice.stallNotified = true
	select {
	case choice.stalled <- struct{}{}:
	default: // the last notice is still unread
	}
}

// clearStall takes back an unread notice of a stall that is over, so that the request is
// notified of the next stall. The caller must hold the table's mutex.
func (choice *Choice) clearStall() {
	choice.stallNotified = false
	select {
	case <-choice.stalled:
	default: // the notice was read, or none was sent
	}
}

// LoseRunning records that this process has lost its direct connections to the servers, so that
// the answers to requests that run over them may not arrive: those chosen until the given time and
// not marked by SetRelayed. These requests are notified as of a stall, and tell nothing of their
// servers any more unless an event or answer arrives all the same. Servers that are avoided
// because of their silence may be chosen again.
func (table *Table) LoseRunning(until time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, state := range table.servers {
		lost := state.lost
		for choice := range state.running {
			if !choice.lost && !choice.relayed && choice.ChosenAt <= until {
				choice.setLost(true)
				choice.stallNotified = false
				choice.notifyStall()
			}
		}
		if state.lost > lost && state.stallReported != 0 {
			state.avoidUntil, state.stallReported = 0, 0
		}
	}
}

// SetDialing records whether the request waits for a connection, so that nothing was sent to the server yet.
func (choice *Choice) SetDialing(dialing bool) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	choice.dialing = dialing
}

// wasSent reports whether any request was sent to the server and is not lost.
func (serverState *serverState) wasSent() bool {
	for choice := range serverState.running {
		if !choice.lost && !choice.dialing {
			return true
		}
	}
	return false
}

// SetRelayed records that the request is sent through another node.
func (choice *Choice) SetRelayed() {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	choice.relayed = true
}

// setLost sets whether the choice is lost. The caller must hold the table's mutex.
func (choice *Choice) setLost(lost bool) {
	if choice.lost == lost {
		return
	}
	choice.lost = lost
	if lost {
		choice.state.lost++
	} else {
		choice.state.lost--
	}
}

// expecting returns how many requests run on the server that are not lost.
func (serverState *serverState) expecting() int { return len(serverState.running) - serverState.lost }

// AvoidGroup keeps new requests from the group of that epoch for the duration, or until the group
// responds to this process (RecordResponse), and notifies the requests that run there. It is called
// when a liveness probe or another node has found that the group has lost a member or stalls. It
// does nothing if the group's lastActivity is within the last maxDecodeGap.
func (table *Table) AvoidGroup(group shedkeel.Assignment, now, duration time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, state := range table.servers {
		if state.Group != group || table.sinceActivity(state, now) < maxDecodeGap {
			continue // another group, or a group that may be responding to this process
		}
		state.avoidUntil = max(state.avoidUntil, now+duration)
		for choice := range state.running {
			choice.notifyStall()
		}
	}
}
