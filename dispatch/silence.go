package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// stepTime is the longest usual time between two events of a group whose
	// engine reads no prompts: five tokens of some 10 ms.
	stepTime = 60 * time.Millisecond
	// firstTime is the longest usual time to the first event of a short
	// prompt on an idle group.
	firstTime = 300 * time.Millisecond
	// silenceMargin is what the silence may exceed the expected time by:
	// prompts of other processes are read in between.
	silenceMargin = 100 * time.Millisecond
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

func (choice *Choice) reading() time.Duration {
	rate := choice.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	return time.Duration(float64(choice.prompt) / rate * float64(time.Second))
}

// expected is the usual time to the first sign of the request.
func (choice *Choice) expected() time.Duration {
	if choice.Model == "" {
		return plainTime
	}
	return idleFirst + choice.reading()
}

// patience is how long the server may give no sign.
func (state *state) patience() time.Duration {
	if state.Model == "" {
		return plainSilence
	}
	patience := firstTime
	reading := time.Duration(0)
	for choice := range state.running {
		if choice.begun {
			patience = stepTime
			continue
		}
		reading += choice.reading()
	}
	return patience + reading + silenceMargin
}

// FindSilent marks the servers that have given no sign for longer than is
// usual with what runs there, and returns those that were not marked before.
func (table *Table) FindSilent(now time.Duration) []Silence {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var found []Silence
	for _, known := range table.servers {
		silent := now - known.sign
		if len(known.running) == 0 || silent < known.patience() {
			continue
		}
		if known.avoidTill <= now {
			found = append(found, Silence{Server: known.Server, For: silent, Running: len(known.running)})
		}
		known.avoid(now + avoidTime)
	}
	return found
}

// avoid keeps requests from the server until then, and tells those that run
// there. The table's mutex is held.
func (state *state) avoid(until time.Duration) {
	state.avoidTill = max(state.avoidTill, until)
	select {
	case <-state.stalled:
	default:
		close(state.stalled)
	}
}

// Avoid keeps requests from a group, in that epoch, for the time.
func (table *Table) Avoid(group shedkeel.Assignment, now, time time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, known := range table.servers {
		if known.Group == group && known.avoidTill < now+time {
			known.avoid(now + time)
		}
	}
}
