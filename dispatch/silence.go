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
	// silenceMargin is how much longer than usual a silence lasts that is
	// worth a second sending where the stream can still be on time: prompts of
	// other processes are read in between.
	silenceMargin = 80 * time.Millisecond
	// certainMargin is how much longer than usual a silence lasts of a group
	// that has lost a member: hardly any on a calm day does.
	certainMargin = 220 * time.Millisecond
	// savablePause is the shortest allowed pause within which a silence can be
	// noticed and the stream go on elsewhere: a first event takes some 180 ms.
	savablePause = 280 * time.Millisecond
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

// usual is how long the server usually gives no sign, with what runs there
// from this process.
func (state *state) usual() time.Duration {
	if state.Model == "" {
		return plainSilence
	}
	usual := firstTime
	reading := time.Duration(0)
	for choice := range state.running {
		if choice.begun {
			usual = stepTime
			continue
		}
		reading += choice.reading()
	}
	return usual + reading
}

// bears is how much longer than usual a silence may last before the request
// is better begun elsewhere too. One whose stream could still be on time must
// not wait; for others a false alarm would only cost.
func (choice *Choice) bears() time.Duration {
	if choice.pause >= savablePause || !choice.begun {
		return silenceMargin
	}
	return certainMargin
}

// FindSilent tells requests that their servers have given no sign for longer
// than they can bear. It marks the servers whose silence is longer than any
// usual one, and returns those that were not marked before.
func (table *Table) FindSilent(now time.Duration) []Silence {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var found []Silence
	for _, known := range table.servers {
		if len(known.running) == 0 {
			continue
		}
		silent := now - known.sign
		usual := known.usual()
		for choice := range known.running {
			if silent >= usual+choice.bears() {
				choice.tell()
			}
		}
		if silent < usual+certainMargin {
			continue
		}
		if known.avoidTill <= now {
			found = append(found, Silence{Server: known.Server, For: silent, Running: len(known.running)})
		}
		known.avoidTill = max(known.avoidTill, now+avoidTime)
	}
	return found
}

// tell tells the request once of each silence. The table's mutex is held.
func (choice *Choice) tell() {
	if choice.told {
		return
	}
	choice.told = true
	select {
	case choice.stalled <- struct{}{}:
	default: // it has not taken the last one yet
	}
}

// Avoid keeps requests from a group, in that epoch, for the time, and tells
// those that run there.
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
