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
	// keptTime is how long the answer to a call that must not be repeated is
	// kept for the caller's repeat, and how long it is remembered that an
	// attempt was given up before it was sent.
	keptTime = 10 * time.Minute
	// keptBytes bounds the bodies of kept answers.
	keptBytes = 64 << 20
	// keptCount bounds the attempts remembered.
	keptCount = 100_000
)

// attempts remembers what became of calls that must not be repeated. The zero
// value works once now is set.
type attempts struct {
	now func() time.Duration

	mutex sync.Mutex
	known map[string]*attempt
	order []string // oldest first
	bytes int
}

type attempt struct {
	state  wire.AnswerReply_State
	began  time.Duration
	answer answer
}

// answer is a whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// begin notes an attempt that has not been sent.
func (attempts *attempts) begin(name string) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	if attempts.known == nil {
		attempts.known = map[string]*attempt{}
	}
	attempts.known[name] = &attempt{state: wire.AnswerReply_RUNNING, began: attempts.now()}
	attempts.order = append(attempts.order, name)
	attempts.trim()
}

// end notes what became of an attempt. One that was never sent must never be
// sent afterwards: another may run in its place.
func (attempts *attempts) end(name string, state wire.AnswerReply_State, answer answer) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	known := attempts.known[name]
	if known == nil {
		return
	}
	known.state = state
	known.answer = answer
	attempts.bytes += len(answer.body)
	attempts.trim()
}

// find returns what became of an attempt.
func (attempts *attempts) find(name string) (wire.AnswerReply_State, answer) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	known := attempts.known[name]
	if known == nil {
		return wire.AnswerReply_UNKNOWN, answer{}
	}
	return known.state, known.answer
}

// trim forgets the oldest attempts that have ended. The mutex is held.
func (attempts *attempts) trim() {
	for len(attempts.order) > 0 {
		oldest := attempts.known[attempts.order[0]]
		old := attempts.now()-oldest.began > keptTime
		crowded := attempts.bytes > keptBytes || len(attempts.order) > keptCount
		if oldest.state == wire.AnswerReply_RUNNING || !old && !crowded {
			return
		}
		attempts.bytes -= len(oldest.answer.body)
		delete(attempts.known, attempts.order[0])
		attempts.order = attempts.order[1:]
	}
}

// toWire returns the reply to a keeper that asks what became of an attempt.
func (attempts *attempts) toWire(name string) *wire.AnswerReply {
	state, kept := attempts.find(name)
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

func answerFromWire(reply *wire.AnswerReply) (answer, error) {
	kept := answer{status: int(reply.GetStatus()), body: bytes.Clone(reply.GetBody())}
	return kept, json.Unmarshal(reply.GetHeader(), &kept.header)
}
