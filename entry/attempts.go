package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"shedkeel.org/shedkeel/wire"
)

const (
	// attemptRetention is how long an attempt and its answer are kept for retries by
	// the caller, counted from when the attempt began.
	attemptRetention = 10 * time.Minute
	// maxAttemptBytes limits the total size of the kept answer bodies.
	maxAttemptBytes = 64 << 20
	// maxAttempts limits the number of attempts remembered.
	maxAttempts = 100_000
)

// attempts stores the results of calls with an idempotency key, by attempt ID. The
// zero value is usable once now is set. Attempts that are running are never removed,
// so the limits above can be exceeded while the oldest attempt is still running.
type attempts struct {
	now func() time.Duration

	mutex     sync.Mutex
	byID      map[string]*attempt
	order     []string // oldest first
	bodyBytes int
}

// attempt is the state and, once known, the answer of one attempt.
type attempt struct {
	state  wire.AnswerReply_State
	began  time.Duration
	answer answer
}

// answer is the complete response of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// begin adds an attempt in state RUNNING. Call it before the attempt is sent.
func (attempts *attempts) begin(id string) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	if attempts.byID == nil {
		attempts.byID = map[string]*attempt{}
	}
	attempts.byID[id] = &attempt{state: wire.AnswerReply_RUNNING, began: attempts.now()}
	attempts.order = append(attempts.order, id)
	attempts.trim()
}

// end stores the final state of an attempt. State NEVER_SENT says that the attempt did
// not run. After it, the attempt must not be sent any more, since another attempt may
// already run in its place. end ignores an attempt that is no longer remembered.
func (attempts *attempts) end(id string, state wire.AnswerReply_State, answer answer) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	stored := attempts.byID[id]
	if stored == nil {
		return
	}
	stored.state = state
	stored.answer = answer
	attempts.bodyBytes += len(answer.body)
	attempts.trim()
}

// find returns the state and answer of an attempt, or UNKNOWN if the attempt is
// not remembered.
func (attempts *attempts) find(id string) (wire.AnswerReply_State, answer) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	stored := attempts.byID[id]
	if stored == nil {
		return wire.AnswerReply_UNKNOWN, answer{}
	}
	return stored.state, stored.answer
}

// trim removes attempts, the oldest first, while the oldest is expired or a limit is
// exceeded. It stops at an attempt that is still running. The mutex must be held.
func (attempts *attempts) trim() {
	for len(attempts.order) > 0 {
		oldest := attempts.byID[attempts.order[0]]
		expired := attempts.now()-oldest.began > attemptRetention
		full := attempts.bodyBytes > maxAttemptBytes || len(attempts.order) > maxAttempts
		if oldest.state == wire.AnswerReply_RUNNING || !expired && !full {
			return
		}
		attempts.bodyBytes -= len(oldest.answer.body)
		delete(attempts.byID, attempts.order[0])
		attempts.order = attempts.order[1:]
	}
}

// answerReply returns the reply to a keeper that asks for the result of an attempt.
// The state is UNKNOWN if the attempt is not remembered or the header of its answer
// cannot be encoded.
func (attempts *attempts) answerReply(id string) *wire.AnswerReply {
	state, kept := attempts.find(id)
	reply := &wire.AnswerReply{State: state, Status: uint32(kept.status), Body: kept.body}
	if state == wire.AnswerReply_KEPT {
		header, err := json.Marshal(kept.header)
		if err != nil {
			return &wire.AnswerReply{State: wire.AnswerReply_UNKNOWN}
		}
		reply.Header = header
	}
	return reply
}

// answerFromWire decodes a kept answer from another entry.
func answerFromWire(reply *wire.AnswerReply) (answer, error) {
	kept := answer{status: int(reply.GetStatus()), body: bytes.Clone(reply.GetBody())}
	return kept, json.Unmarshal(reply.GetHeader(), &kept.header)
}
