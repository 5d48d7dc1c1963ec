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
	answerTime = 150 * time.Millisecond
	// heardTime is for how long a peer counts as within reach after it
	// answered: those that know nothing are asked each 0.4 s at most.
	heardTime = time.Second
	// awayFails is how many questions in a row fail until the service counts as out
	// of this process's reach: one answer is lost now and then.
	awayFails = 2
)

// outage is what a process sees of an outage of the service. The zero value is
// none.
type outage struct {
	mutex   sync.Mutex
	sent    time.Duration // when the question that is open was sent; 0: none is
	due     time.Duration // when its answer is due
	failing time.Duration // since when questions fail; 0: the last one was answered
	fails   int           // questions that have failed in a row
	heard   time.Duration // when a peer answered last; 0: never
	proven  time.Duration // when the question was sent that the service answered last; 0: never
}

// ask notes a question to the service that may wait for so long.
func (outage *outage) ask(now, wait time.Duration) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.sent, outage.due = now, now+wait+answerTime
}

// take notes the end of the question.
func (outage *outage) take(err error) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	switch {
	case err == nil:
		outage.failing, outage.proven, outage.fails = 0, outage.sent, 0
	case outage.failing == 0:
		outage.failing, outage.fails = outage.sent, 1
	default:
		outage.fails++
	}
	outage.sent = 0
}

// hear notes that a peer answered.
func (outage *outage) hear(now time.Duration) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.heard = now
}

// answered reports whether a peer has ever answered.
func (outage *outage) answered() bool {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	return outage.heard != 0
}

// since returns since when the service has given no answer.
func (outage *outage) since(now time.Duration) (since time.Duration, away bool) {
	switch {
	case outage.failing != 0:
		return outage.failing, true
	case outage.sent != 0 && now >= outage.due:
		return outage.sent, true
	}
	return 0, false
}

// Away reports whether this process is to follow the service and gets no answer.
func (follower *Follower) Away() bool {
	now := follower.Timers.Now()
	if follower.Choose() != nil {
		return false
	}
	outage := &follower.outage
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	return outage.fails >= awayFails || outage.sent != 0 && now >= outage.due
}

// Answered returns when the question was sent that the service itself answered
// last, not a peer; 0: it never did.
func (follower *Follower) Answered() time.Duration {
	outage := &follower.outage
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	return outage.proven
}

// Outage returns since when the service is away for all, as far as this
// process can tell: it gets no answer, and peers that it reaches have no news
// either. A process that reaches no peer may be the only one that is cut off.
// One that has started and knows nothing, as its peers do, leaves the service to
// those that were asked first: for its callers that is the same.
func (follower *Follower) Outage() (since time.Duration, away bool) {
	now := follower.Timers.Now()
	alone := len(follower.Others()) == 0
	outage := &follower.outage
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	if !alone && (outage.heard == 0 || now-outage.heard > heardTime) {
		return 0, false
	}
	if since, away := outage.since(now); away {
		return since, true
	}
	return follower.starting(now)
}
