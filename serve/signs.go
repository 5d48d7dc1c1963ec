package serve

import (
	"slices"
	"sync"
	"time"
)

// signs passes answers of servers to answers of the same servers that await a proof of their end. The zero value is ready
// for use. It is safe for concurrent use.
type signs struct {
	mutex   sync.Mutex
	waiting map[string][]*endWait // by address; addresses without any are missing
}

// endWait waits for a sign of the process that has sent an answer.
type endWait struct {
	address     string
	requestedAt time.Time     // when the request was sent, or earlier
	endedAt     time.Time     // when the answer had ended
	proven      chan struct{} // closed when a sign has come
}

// await returns a wait for a sign. The caller must call remove.
func (signs *signs) await(address string, requestedAt, endedAt time.Time) *endWait {
	wait := &endWait{address: address, requestedAt: requestedAt, endedAt: endedAt, proven: make(chan struct{})}
	signs.mutex.Lock()
	defer signs.mutex.Unlock()
	if signs.waiting == nil {
		signs.waiting = map[string][]*endWait{}
	}
	signs.waiting[address] = append(signs.waiting[address], wait)
	return wait
}

// remove ends a wait.
func (signs *signs) remove(wait *endWait) {
	signs.mutex.Lock()
	defer signs.mutex.Unlock()
	left := slices.DeleteFunc(signs.waiting[wait.address], func(other *endWait) bool { return other == wait })
	signs.waiting[wait.address] = left
	if len(left) == 0 {
		delete(signs.waiting, wait.address)
	}
}

// observe records that the process at the address has answered a request that was sent at sentAt over a connection
// that was opened at connectedAt. No connection outlives its process: a process that was connected before another request was sent, and
// that answers what was sent after the end of that request's answer, has run in between.
func (signs *signs) observe(address string, connectedAt, sentAt time.Time) {
	if connectedAt.IsZero() {
		return
	}
	signs.mutex.Lock()
	defer signs.mutex.Unlock()
	for _, wait := range signs.waiting[address] {
		if !connectedAt.After(wait.requestedAt) && !sentAt.Before(wait.endedAt) && !wait.isProven() {
			close(wait.proven)
		}
	}
}

// isProven reports whether a sign has come.
func (wait *endWait) isProven() bool {
	select {
	case <-wait.proven:
		return true
	default:
		return false
	}
}
