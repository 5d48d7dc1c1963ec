package contain

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// harmlessAge is how long a part counts as harmless after it was last proven to be.
	harmlessAge = 10 * time.Minute
	// historyGeneration is the number of parts in one generation of a History.
	historyGeneration = 8192
)

// History remembers of the parts of prompts when they were last proven harmless and when a server last
// terminated under them. It holds up to two generations of parts: callers choose the IDs of parts,
// and parts that are in use are kept however many others come. The zero value is empty. Its
// methods may be called concurrently. Times are on one monotonic clock.
type History struct {
	mutex             sync.Mutex
	current, previous map[shedkeel.Subject]*partHistory
}

// partHistory is what is remembered of one part.
type partHistory struct {
	proven   bool
	provenAt time.Duration // when the part was last proven harmless, if it was
	ended    bool
	endedAt  time.Duration // when a server last terminated under it, if one has
}

// Harmless records that a part has been proven harmless.
func (history *History) Harmless(part shedkeel.Subject, now time.Duration) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	found := history.part(part)
	found.proven, found.provenAt = true, now
}

// ServerEnded records that a server has terminated under a part.
func (history *History) ServerEnded(part shedkeel.Subject, now time.Duration) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	found := history.part(part)
	found.ended, found.endedAt = true, now
}

// HarmlessSince returns when a part was last proven harmless. It returns false if that was more than
// harmlessAge ago, or never.
func (history *History) HarmlessSince(part shedkeel.Subject, now time.Duration) (time.Duration, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	found := history.part(part)
	return found.provenAt, found.proven && now-found.provenAt <= harmlessAge
}

// EndedAt returns when a server last terminated under a part. It returns false if none has, as far
// as is remembered.
func (history *History) EndedAt(part shedkeel.Subject) (time.Duration, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	found := history.part(part)
	return found.endedAt, found.ended
}

// part returns what is remembered of a part, as a part of the current generation. The caller
// must hold history.mutex.
func (history *History) part(part shedkeel.Subject) *partHistory {
	found := history.current[part]
	if found != nil {
		return found
	}
	found = history.previous[part]
	if found == nil {
		found = &partHistory{}
	}
	if history.current == nil || len(history.current) >= historyGeneration {
		history.previous, history.current = history.current, map[shedkeel.Subject]*partHistory{}
	}
	history.current[part] = found
	return found
}
