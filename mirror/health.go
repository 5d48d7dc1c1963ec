package mirror

import (
	"errors"
	"sync"
	"time"
)

// ErrNothingKnown says that a peer lives and knows nothing yet.
var ErrNothingKnown = errors.New("the other process knows nothing yet")

const (
	// answerTime is how long an answer of the service may take before it
	// counts as away: 4 ms are usual, and some 300 ms when it is slow, which a
	// caller who is refused meanwhile waits for no longer than for its return.
	responseTimeout = 150 * time.Millisecond
	// heardTime is for how long a peer counts as within reach after it
	// answered: those that know nothing are asked each 0.4 s at most.
	peerReachableTime = time.Second
	// awayFails is how many questions in a row fail until the service counts as out
	// of this process's reach: one answer is lost now and then.
	unreachableFailures = 2
)

// outage is what a process sees of an outage of the service. The zero value is
// none.
type health struct {
	mutex   sync.Mutex
	querySent    time.Duration // when the question that is open was sent; 0: none is
	responseDue     time.Duration // when its answer is due
	failingSince time.Duration // since when questions fail; 0: the last one was answered
	failures   int           // questions that have failed in a row
	peerResponded   time.Duration // when a peer answered last; 0: never
	confirmedAt  time.Duration // when the question was sent that the service answered last; 0: never
}

// ask notes a question to the service that may wait for so long.
func (health *health) beginQuery(now, wait time.Duration) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	health.querySent, health.responseDue = now, now+wait+responseTimeout
}

// take notes the end of the question.
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

// hear notes that a peer answered.
func (health *health) notePeerResponse(now time.Duration) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	health.peerResponded = now
}

// answered reports whether a peer has ever answered.
func (health *health) anyPeerResponded() bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.peerResponded != 0
}

// since returns since when the service has given no answer.
func (health *health) unresponsiveSince(now time.Duration) (since time.Duration, unresponsive bool) {
	switch {
	case health.failingSince != 0:
		return health.failingSince, true
	case health.querySent != 0 && now >= health.responseDue:
		return health.querySent, true
	}
	return 0, false
}

// Away reports whether this process is to follow the service and gets no answer.
func (follower *Follower) Away() bool {
	now := follower.Timers.Now()
	if follower.Choose() != nil {
		return false
	}
	outage := &follower.health
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	return outage.failures >= unreachableFailures || outage.querySent != 0 && now >= outage.responseDue
}

// Answered returns when the question was sent that the service itself answered
// last, not a peer; 0: it never did.
func (follower *Follower) Answered() time.Duration {
	outage := &follower.health
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	return outage.confirmedAt
}

// Outage returns since when the service is away for all, as far as this
// process can tell: it gets no answer, and peers that it reaches have no news
// either. A process that reaches no peer may be the only one that is cut off.
// One that has started and knows nothing, as its peers do, leaves the service to
// those that were asked first: for its callers that is the same.
func (follower *Follower) Outage() (since time.Duration, away bool) {
	now := follower.Timers.Now()
	noPeers := len(follower.Others()) == 0
	outage := &follower.health
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	if !noPeers && (outage.peerResponded == 0 || now-outage.peerResponded > peerReachableTime) {
		return 0, false
	}
	if since, away := outage.unresponsiveSince(now); away {
		return since, true
	}
	return follower.bootstrappingSince(now)
}
