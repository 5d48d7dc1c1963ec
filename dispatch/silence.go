package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// stepTime is the longest usual time between two events of a group whose
	// engine reads no prompts: five tokens of some 10 ms.
	stepTime = 60 * time.Millisecond
	// defaultPass is the longest time between two events of a group whose
	// engine's times are not stated.
	defaultPass = 120 * time.Millisecond
	// reportAgain is how often a silence that lasts is reported and its requests
	// are told: the process that is to look into it may be a new one by then, and
	// groups that no request could be sent to may be back.
	reportAgain = 500 * time.Millisecond
	// firstTime is the longest usual time to the first event of a short
	// prompt. Under load requests wait in the engine: on a day with a burst
	// half of the silences that were reported after 400 to 600 ms were no
	// loss, and each had a prompt read twice. Callers wait for two seconds.
	firstTime = 800 * time.Millisecond
	// silenceMargin is how much longer than usual the silence of a group lasts
	// that has lost a member: links and timers of this process. Noticing a
	// loss earlier saves no stream, since a first event elsewhere takes 180 to
	// 240 ms; each false alarm has a prompt read twice (docs/PLATFORM.md).
	silenceMargin = 60 * time.Millisecond
	// plainSilence is after how long without any answer a plain server with
	// requests running counts as silent.
	plainSilence = 500 * time.Millisecond
	// avoidTime is how long a server that was found silent is avoided without
	// further evidence. Evidence of a running request renews it.
	avoidTime = 1500 * time.Millisecond
	// defaultRate is assumed where no rate of reading prompts is stated, in
	// tokens a second.
	defaultRate = 40_000
	// plainTime is the expected time of a plain answer.
	plainTime = 80 * time.Millisecond
	// idleFirst is the expected time to the first event at rest.
	idleFirst = 150 * time.Millisecond
)

// Silence is a server that was found silent.
type Silence struct {
	Server  Server
	For     time.Duration
	Running int
}

func (choice *Choice) reading() time.Duration { return choice.Server.reading(choice.prompt) }

// reading is how long the server reads a prompt of so many tokens.
func (server *Server) reading(prompt int) time.Duration {
	rate := server.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	return time.Duration(float64(prompt) / rate * float64(time.Second))
}

// expected is the usual time to the first sign of the request.
func (choice *Choice) expected() time.Duration {
	if choice.Model == "" {
		return plainTime
	}
	return idleFirst + choice.reading()
}

func (state *state) pass() time.Duration {
	if state.Pass <= 0 {
		return defaultPass
	}
	return state.Pass
}

// usual is how long the server usually sends no event or answer, with what
// runs there from this process.
func (state *state) usual() time.Duration {
	if state.Model == "" {
		return plainSilence
	}
	usual := firstTime
	for choice := range state.running {
		if choice.begun {
			// Prompts of other processes may be read in every step.
			return state.pass()
		}
		usual += choice.reading()
	}
	return usual
}

// FindSilent marks the servers that have given no sign for longer than usual,
// tells the requests that run there, and returns the servers whose silence was
// not reported lately.
func (table *Table) FindSilent(now time.Duration) []Silence {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var found []Silence
	for _, known := range table.servers {
		if len(known.running) == 0 {
			continue
		}
		silent := now - known.sign
		if silent < known.usual()+silenceMargin {
			continue
		}
		again := known.reported == 0 || now-known.reported >= reportAgain
		for choice := range known.running {
			choice.notified = choice.notified && !again
			choice.tell()
		}
		if again {
			known.reported = now
			found = append(found, Silence{Server: known.Server, For: silent, Running: len(known.running)})
		}
		known.avoidTill = max(known.avoidTill, now+avoidTime)
	}
	return found
}

// tell tells the request of a silence, once until it is reported again. The
// table's mutex is held.
func (choice *Choice) tell() {
	if choice.notified {
		return
	}
	choice.notified = true
	select {
	case choice.stalled <- struct{}{}:
	default: // it has not taken the last one yet
	}
}

// forgetSilence takes back what the request has been told of a silence that is
// over. The table's mutex is held.
func (choice *Choice) forgetSilence() {
	choice.notified = false
	select {
	case <-choice.stalled:
	default: // it has taken it, or was told nothing
	}
}

// Avoid keeps requests from a group, in that epoch, for the time, and tells
// those that run there. A group that gives signs of life here is not avoided.
func (table *Table) Avoid(group shedkeel.Assignment, now, time time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, known := range table.servers {
		if known.Group != group || now-known.sign < stepTime {
			continue // it is not silent here
		}
		known.avoidTill = max(known.avoidTill, now+time)
		for choice := range known.running {
			choice.tell()
		}
	}
}
