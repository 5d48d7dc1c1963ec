package quota

import "sync/atomic"

// Room bounds in sum what a process holds at one time of the messages of other processes and of the answers to its own calls, each of
// which has a bound of its own. nil bounds nothing. It is safe for concurrent use.
type Room struct {
	Limit int64 // in bytes. Set before use.

	held atomic.Int64
}

// Reserve reserves the bytes, and returns whether they fit. If so, the caller must release them.
func (room *Room) Reserve(size int64) bool {
	if room == nil {
		return true
	}
	if room.held.Add(size) > room.Limit {
		room.held.Add(-size)
		return false
	}
	return true
}

// Release returns reserved bytes.
func (room *Room) Release(size int64) {
	if room != nil {
		room.held.Add(-size)
	}
}
