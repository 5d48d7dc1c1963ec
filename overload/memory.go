package overload

import "time"

const (
	// memoryExpiry is how long a rejection is remembered at least, up to twice as long. Few callers
	// wait longer for an answer.
	memoryExpiry = 5 * time.Second
	// maxMemory bounds the rejections that are remembered in half of the memory.
	maxMemory = 10_000
)

// memory remembers rejected requests, so that the next attempt of a caller shows how long it has
// waited. The time that the caller has left does not show it, because callers wait for different times.
// It consists of two halves: when the recent one is full or memoryExpiry old, it becomes the former.
type memory struct {
	recent, former map[uint64]time.Duration // by digest: when the caller's first attempt began
	since          time.Duration            // when recent was started
}

// remember records that a request was rejected whose caller began its first attempt at the given time.
func (memory *memory) remember(digest uint64, began, now time.Duration) {
	memory.expire(now)
	if memory.recent == nil || len(memory.recent) >= maxMemory {
		memory.rotate(now)
	}
	memory.recent[digest] = began
}

// recall returns how long the caller of a request has waited since its first attempt, or 0 if no
// request with the digest is remembered. Each rejection is recalled once.
func (memory *memory) recall(digest uint64, now time.Duration) time.Duration {
	memory.expire(now)
	for _, half := range []map[uint64]time.Duration{memory.recent, memory.former} {
		if began, found := half[digest]; found {
			delete(half, digest)
			return now - began
		}
	}
	return 0
}

// expire forgets the former half, and both if no request was rejected for long.
func (memory *memory) expire(now time.Duration) {
	if now-memory.since >= 2*memoryExpiry {
		memory.recent = nil
	}
	if now-memory.since >= memoryExpiry {
		memory.rotate(now)
	}
}

func (memory *memory) rotate(now time.Duration) {
	memory.recent, memory.former = map[uint64]time.Duration{}, memory.recent
	memory.since = now
}
