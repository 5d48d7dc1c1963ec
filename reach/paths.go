package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureRetention is how long a failed dial is kept. An address that is in use is dialed
	// again much sooner.
	failureRetention = 5 * time.Second
	// trustTime is for how long open connections are trusted after a server was heard over one
	// of their kind.
	trustTime = 300 * time.Millisecond
	// relayRetryDelay is how long no relay is asked for an address that relays did not reach.
	relayRetryDelay = 500 * time.Millisecond
	// noPathServers is how many servers must have been out of reach in turn, also through
	// relays, before none counts as reachable.
	noPathServers = 3
)

// hearing is when a server was last heard over a connection of one kind, as a time.Duration; 0:
// never.
type hearing struct{ at atomic.Int64 }

func (hearing *hearing) record(now time.Duration) { hearing.at.Store(int64(now)) }

func (hearing *hearing) time() time.Duration { return time.Duration(hearing.at.Load()) }

// paths holds the evidence of which servers this box reaches, directly and through relays. The
// zero value has none.
type paths struct {
	direct  hearing
	relayed hearing

	mutex       sync.Mutex
	servers     map[string]evidence // by address; servers whose latest direct dial succeeded are missing
	connectedAt time.Duration       // when a direct dial last succeeded; 0: never
}

// evidence holds when attempts to reach a server last ended; 0: never.
type evidence struct {
	failed       time.Duration // a direct dial failed
	relayFailed  time.Duration // the relays did not reach the server
	relayReached time.Duration // a relay reached the server
}

// isStale reports whether nothing was tried within the last failureRetention.
func (evidence evidence) isStale(now time.Duration) bool {
	return now-max(evidence.failed, evidence.relayFailed, evidence.relayReached) > failureRetention
}

// connected records a direct dial that succeeded.
func (paths *paths) connected(address string, now time.Duration) {
	paths.direct.record(now)
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.connectedAt = now
	delete(paths.servers, address)
}

// failed records a direct dial that failed.
func (paths *paths) failed(address string, now time.Duration) {
	paths.update(address, now, func(evidence *evidence) { evidence.failed = now })
}

// relayMissed records that the relays did not reach the server.
func (paths *paths) relayMissed(address string, now time.Duration) {
	paths.update(address, now, func(evidence *evidence) { evidence.relayFailed = now })
}

// relayReached records that a relay reached the server before a direct dial succeeded.
func (paths *paths) relayReached(address string, now time.Duration) {
	paths.relayed.record(now)
	paths.update(address, now, func(evidence *evidence) {
		evidence.relayReached, evidence.relayFailed = now, 0
	})
}

// update changes the evidence about one server, and forgets all that is stale.
func (paths *paths) update(address string, now time.Duration, change func(*evidence)) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if paths.servers == nil {
		paths.servers = map[string]evidence{}
	}
	known := paths.servers[address]
	change(&known)
	paths.servers[address] = known
	for other, evidence := range paths.servers {
		if evidence.isStale(now) {
			delete(paths.servers, other)
		}
	}
}

// count returns the number of servers about which there is evidence that holds.
func (paths *paths) count(now time.Duration, holds func(evidence) bool) int {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	count := 0
	for _, evidence := range paths.servers {
		if !evidence.isStale(now) && holds(evidence) {
			count++
		}
	}
	return count
}

// unreachable returns the number of servers whose latest direct dial failed.
func (paths *paths) unreachable(now time.Duration) int {
	return paths.count(now, func(evidence evidence) bool { return evidence.failed != 0 })
}

// isFailing reports whether the latest direct dial of the address failed.
func (paths *paths) isFailing(address string, now time.Duration) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	evidence := paths.servers[address]
	return evidence.failed != 0 && !evidence.isStale(now)
}

// mayRelay reports whether relays should be asked for the address: they have not just failed
// to reach it.
func (paths *paths) mayRelay(address string, now time.Duration) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	missed := paths.servers[address].relayFailed
	return missed == 0 || now-missed >= relayRetryDelay
}

// cutOff reports whether this box is cut off from servers that others reach: since its last
// successful direct dial, one has failed to a server that a relay has reached.
func (paths *paths) cutOff(now time.Duration) bool {
	return paths.count(now, func(evidence evidence) bool {
		return min(evidence.failed, evidence.relayReached) > paths.connectedAt
	}) > 0
}

// noPath reports whether neither this box nor a relay has reached any of the last noPathServers
// servers that were dialed, and no server was heard since over an open connection.
func (paths *paths) noPath(now time.Duration) bool {
	heard := max(paths.direct.time(), paths.relayed.time())
	return paths.count(now, func(evidence evidence) bool {
		return min(evidence.failed, evidence.relayFailed) > heard
	}) >= noPathServers
}
