package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// failureRetention is how long a failed dial is kept. An address that is in use is dialed
// again much sooner.
const failureRetention = 5 * time.Second

// paths holds the evidence of which servers this box reaches over direct connections. The
// zero value has none.
type paths struct {
	lastHeard atomic.Int64 // when a server was last heard, as a time.Duration; 0: never

	mutex    sync.Mutex
	failures map[string]time.Duration // addresses whose latest dial failed, and when it did
}

// heard records that a server was heard over a direct connection.
func (paths *paths) heard(now time.Duration) { paths.lastHeard.Store(int64(now)) }

// heardAt returns when a server was last heard; 0: never.
func (paths *paths) heardAt() time.Duration { return time.Duration(paths.lastHeard.Load()) }

// connected records a direct dial that succeeded.
func (paths *paths) connected(address string, now time.Duration) {
	paths.heard(now)
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	delete(paths.failures, address)
}

// failed records a direct dial that failed. It forgets failures older than failureRetention.
func (paths *paths) failed(address string, now time.Duration) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if paths.failures == nil {
		paths.failures = map[string]time.Duration{}
	}
	paths.failures[address] = now
	for other, at := range paths.failures {
		if now-at > failureRetention {
			delete(paths.failures, other)
		}
	}
}

// unreachable returns the number of addresses whose latest dial failed within the last
// failureRetention.
func (paths *paths) unreachable(now time.Duration) int {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	count := 0
	for _, at := range paths.failures {
		if now-at <= failureRetention {
			count++
		}
	}
	return count
}
