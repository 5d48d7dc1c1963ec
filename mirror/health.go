package mirror

import (
	"errors"
	"sync"
	"time"
)

// ErrNoCopy means that a peer is running and has no copy yet.
var ErrNoCopy = errors.New("peer has no copy of the records yet")

const (
	// responseTimeout is how long the service may take to respond before it counts
	// as not responding. It usually takes 4 ms. When it is slow it takes some 300 ms,
	// which counts as an outage too: a caller that is refused meanwhile waits no longer
	// than until the service responds again.
	responseTimeout = 150 * time.Millisecond
	// peerReachableTime is for how long a peer counts as reachable after a response.
	// A process without a copy queries its peers at least every 0.4 s.
	peerReachableTime = time.Second
	// unreachableFailures is how many queries in a row must fail until this process
	// reports that it cannot reach the service. A single response may be lost.
	unreachableFailures = 2
)

// health tracks whether the service and the peers respond to this process. All times
// are those of the Follower's Timers. The zero value means that nothing has been queried.
type health struct {
	mutex         sync.Mutex
	querySent     time.Duration // when the open query was sent; 0: none is open
	responseDue   time.Duration // when its response is due
	failingSince  time.Duration // when the first failed query was sent; 0: the last one succeeded
	failures      int           // consecutive failed queries
	peerResponded time.Duration // when a peer responded last; 0: never
	confirmedAt   time.Duration // when the last successful query was sent; 0: none has succeeded
}

// beginQuery records a query to the service, which may hold it for up to wait.
func (health *health) beginQuery(now, wait time.Duration) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	health.querySent, health.responseDue = now, now+wait+responseTimeout
}

// endQuery records the result of the query that beginQuery recorded.
func (health *health) endQuery(err error) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	switch {
	case err == nil:
		health.failingSince, health.confirmedAt, health.failures = 0, health.querySent, 0
	case health.failingSince == 0:
		health.failingSince, health.failures = health.querySent, 1
	default:
		health.failures++
	}
	health.querySent = 0
}

// notePeerResponse records that a peer responded.
func (health *health) notePeerResponse(now time.Duration) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	health.peerResponded = now
}

// anyPeerResponded reports whether a peer has ever responded.
func (health *health) anyPeerResponded() bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.peerResponded != 0
}

// unresponsiveSince returns since when the service has not responded, if it does not.
func (health *health) unresponsiveSince(now time.Duration) (since time.Duration, unresponsive bool) {
	switch {
	case health.failingSince != 0:
		return health.failingSince, true
	case health.querySent != 0 && now >= health.responseDue:
		return health.querySent, true
	}
	return 0, false
}

// SourceUnreachable reports whether this process has no upstream, so that it follows the
// service itself, and gets no response from it.
func (follower *Follower) SourceUnreachable() bool {
	now := follower.Timers.Now()
	if follower.Upstream() != nil {
		return false
	}
	health := &follower.health
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.failures >= unreachableFailures || health.querySent != 0 && now >= health.responseDue
}

// LastConfirmed returns when this process sent the last query to which the service itself,
// and not a peer, responded. It returns 0 if the service has never responded.
func (follower *Follower) LastConfirmed() time.Duration {
	health := &follower.health
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.confirmedAt
}

// Outage reports whether the service is down for all processes, as far as this one can tell, and
// since when. A process that has recently reached no peer may itself be cut off and reports no
// outage; one that has no peers relies on its own queries. A process without a copy that leaves the
// queries to others (bootstrappingSince) reports one, as it cannot serve its callers.
func (follower *Follower) Outage() (since time.Duration, unresponsive bool) {
	now := follower.Timers.Now()
	noPeers := len(follower.Peers()) == 0
	health := &follower.health
	health.mutex.Lock()
	defer health.mutex.Unlock()
	if !noPeers && (health.peerResponded == 0 || now-health.peerResponded > peerReachableTime) {
		return 0, false
	}
	if since, unresponsive := health.unresponsiveSince(now); unresponsive {
		return since, true
	}
	return follower.bootstrappingSince(now)
}
