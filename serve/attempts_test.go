package serve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/event"
)

// scriptedAttempt is the answer to one attempt of a stream. The test decides when its events arrive.
// Events name the attempt: "data: a3" is event 3 of the first.
type scriptedAttempt struct {
	name    string
	context context.Context //nolint:containedctx // that of the attempt's request
	next    int             // number of the next event
	data    chan []byte     // what has arrived and is not read yet; closed at the end
	rest    []byte
	err     error // of the end; set before data is closed
}

// Read implements io.Reader. Like that of net/http, it may return data that have arrived or the error of the
// context if both are there.
func (attempt *scriptedAttempt) Read(buffer []byte) (int, error) {
	for len(attempt.rest) == 0 {
		select {
		case data, open := <-attempt.data:
			if !open {
				return 0, attempt.err
			}
			attempt.rest = data
		case <-attempt.context.Done():
			return 0, attempt.context.Err()
		}
	}
	count := copy(buffer, attempt.rest)
	attempt.rest = attempt.rest[count:]
	return count, nil
}

func (attempt *scriptedAttempt) Close() error { return nil }

// sendEvent makes the next event arrive.
func (attempt *scriptedAttempt) sendEvent() {
	attempt.data <- fmt.Appendf(nil, "id: %d\ndata: %s%d\n\n", attempt.next, attempt.name, attempt.next)
	attempt.next++
}

// end ends the answer, regularly after the last event and otherwise with a lost connection.
func (attempt *scriptedAttempt) end() {
	attempt.err = io.EOF
	if attempt.next <= orderEvents {
		attempt.err = io.ErrUnexpectedEOF
	}
	close(attempt.data)
}

// scriptBackend is a shedkeel.Backend whose answers a test scripts.
type scriptBackend struct {
	mutex    sync.Mutex
	attempts []*scriptedAttempt
}

func (backend *scriptBackend) Send(request *http.Request) (*http.Response, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	attempt := &scriptedAttempt{name: string(rune('a' + len(backend.attempts))), context: request.Context(), next: 1, data: make(chan []byte, orderEvents)}
	if _, err := fmt.Sscan(request.Header.Get("After"), &attempt.next); err == nil {
		attempt.next++
	}
	backend.attempts = append(backend.attempts, attempt)
	header := http.Header{"Id": {request.Header.Get("Id")}, "Seal": {request.Header.Get("To")}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: attempt}, nil
}

// attempt returns the attempt with the index, or nil.
func (backend *scriptBackend) attempt(index int) *scriptedAttempt {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if index >= len(backend.attempts) {
		return nil
	}
	return backend.attempts[index]
}

const (
	orderEvents = 5 // of the whole stream
	orderBefore = 2 // events of the first attempt before it stalls
)

// freezer is the writer of a log that stands still at the line of a hedge until thaw is closed, and with
// it the goroutine of the stream: that of a process that freezes just then.
type freezer struct{ thaw chan struct{} }

func (freezer *freezer) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(event.StreamMoved.Text)) {
		<-freezer.thaw
	}
	return len(line), nil
}

// orders returns all interleavings of two texts.
func orders(first, second string) []string {
	if first == "" || second == "" {
		return []string{first + second}
	}
	var found []string
	for _, rest := range orders(first[1:], second) {
		found = append(found, first[:1]+rest)
	}
	for _, rest := range orders(first, second[1:]) {
		found = append(found, second[:1]+rest)
	}
	return found
}

// TestOrdersOfTwoAttempts guards against a stream that gets events of an attempt that was given up, or is left
// without an attempt and without an end. A stream stalls after event 2 and is begun at a second server,
// and the process stands still. Then come, in all orders, the events and ends of both attempts; the process goes on
// at each point of each order, and in a second round the caller leaves at each point.
func TestOrdersOfTwoAttempts(t *testing.T) {
	count := 0
	for firstEvents := range orderEvents - orderBefore + 1 {
		for secondEvents := range orderEvents - orderBefore + 1 {
			for _, order := range orders(strings.Repeat("a", firstEvents)+"A", strings.Repeat("b", secondEvents)+"B") {
				for point := range len(order) + 1 {
					playOrder(t, order[:point]+"t"+order[point:])
					playOrder(t, order[:point]+"c"+order[point:]+"t")
					playOrder(t, "t"+order[:point]+"c"+order[point:])
					count += 3
				}
			}
		}
	}
	t.Logf("%d orders", count)
}

// playOrder plays the steps of an order. a and b: the next event of an attempt arrives; A and B: its answer ends; t: the
// process goes on; c: the caller leaves.
func playOrder(t *testing.T, order string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		backend, frozen := &scriptBackend{}, &freezer{thaw: make(chan struct{})}
		harness := newHarness(t)
		log, err := event.NewLog(frozen, "info")
		assert.NilError(t, err)
		harness.Backend, harness.Log = backend, log
		config := testConfig()
		config.Routes[0].Timeout = time.Hour
		view := NewView(config)
		harness.CurrentConfig = func() ConfigState { return ConfigState{View: view, ProvenAt: harness.clock.Now()} }
		caller, leave := context.WithCancel(t.Context())
		defer leave()
		recorder := httptest.NewRecorder()
		var ended, broken atomic.Bool
		go func() {
			defer func() { broken.Store(recover() != nil); ended.Store(true) }()
			request := httptest.NewRequestWithContext(caller, http.MethodPost, "/s/x", strings.NewReader("prompt"))
			request.Host = "h"
			request.Header = http.Header{"Id": {"r1"}, "Key": {"k1"}, "Model": {"m"}}
			harness.ServeHTTP(recorder, request)
		}()
		synctest.Wait()
		for range orderBefore {
			backend.attempt(0).sendEvent()
			synctest.Wait()
		}
		for backend.attempt(1) == nil {
			time.Sleep(10 * time.Millisecond) // until the first attempt counts as stalled
		}
		for _, step := range order {
			switch step {
			case 'a', 'b':
				backend.attempt(int(step - 'a')).sendEvent()
			case 'A', 'B':
				backend.attempt(int(step - 'A')).end()
			case 't':
				close(frozen.thaw)
			case 'c':
				leave()
			}
			synctest.Wait()
		}
		assert.Assert(t, ended.Load(), "order %s: both attempts have ended, and the stream goes on; the caller got\n%s", order, recorder.Body)
		checkOneRun(t, order, recorder.Body.String(), broken.Load())
	})
}

// checkOneRun checks that a caller got events of the first attempt, and then of the second only from the event
// on with which that one began, and that only a whole stream ended regularly.
func checkOneRun(t *testing.T, order, body string, broken bool) {
	t.Helper()
	whole := map[string]string{}
	for _, name := range []string{"a", "b"} {
		var text strings.Builder
		for number := 1; number <= orderEvents; number++ {
			run := name
			if number <= orderBefore {
				run = "a"
			}
			fmt.Fprintf(&text, "id: %d\ndata: %s%d\n\n", number, run, number)
		}
		whole[name] = text.String()
	}
	part := strings.HasPrefix(whole["a"], body) || strings.HasPrefix(whole["b"], body)
	assert.Assert(t, part, "order %s: the caller got\n%s", order, body)
	complete := body == whole["a"] || body == whole["b"]
	assert.Assert(t, broken || complete, "order %s: a part ended as a whole stream:\n%s", order, body)
	assert.Assert(t, !broken || !complete || strings.Contains(order, "c"), "order %s: a whole stream was broken off", order)
}

// TestFailedStreamEndsAtOnce guards against a stream that has no attempt left and holds its caller until the
// deadline, because its servers answered with a failure.
func TestFailedStreamEndsAtOnce(t *testing.T) {
	cases := map[string][]step{
		"failure twice":            {{status: 500}, {status: 500}},
		"failure, then lost":       {{status: 500}, {err: errAnswerLost}},
		"failure, then refused":    {{status: 500}, {status: 503, notRun: true}, {status: 503, notRun: true}},
		"lost, then failure":       {{err: errAnswerLost}, {status: 500}},
		"failure inside an answer": {{events: 5, cutAfter: 2}, {status: 500}},
	}
	for name, steps := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, steps...)
			began := time.Now()
			got := harness.post("/s/x", "prompt", "Model", "m")
			assert.Equal(t, time.Since(began), time.Duration(0))
			assert.Assert(t, got.broken || got.Code >= 500, "status %d", got.Code)
		})
	}
}

// TestEventsWithoutIDsAreNotRepeated guards against a stream that is begun anew, and so repeats events, after its
// server broke off: without an ID of the last event, no server can resume behind it.
func TestEventsWithoutIDsAreNotRepeated(t *testing.T) {
	cases := map[string]struct {
		first  step
		second step
		want   string
		broken bool
		sent   int
	}{
		"no IDs, cut off":               {step{events: 3, anonymous: 1, cutAfter: 2}, step{events: 3, anonymous: 1}, "data: 1\n\ndata: 2\n\n", true, 1},
		"no IDs, stalled":               {step{events: 3, anonymous: 1, stallAfter: 2}, step{events: 3, anonymous: 1}, "data: 1\n\ndata: 2\n\n", true, 1},
		"no IDs, cut off at once":       {step{err: errAnswerLost}, step{events: 2, anonymous: 1}, "data: 1\n\ndata: 2\n\n", false, 2},
		"last event without, cut off":   {step{events: 3, anonymous: 2, cutAfter: 2}, step{events: 3}, "id: 1\ndata: 1\n\ndata: 2\n\n", true, 1},
		"comment behind, cut off":       {step{events: 3, cutAfter: 2, comment: ": wait\n\n"}, step{events: 3}, "id: 1\ndata: 1\n\n: wait\n\nid: 2\ndata: 2\n\n: wait\n\nid: 3\ndata: 3\n\n", false, 2},
		"no IDs, whole":                 {step{events: 2, anonymous: 1}, step{}, "data: 1\n\ndata: 2\n\n", false, 1},
		"comment behind the last event": {step{events: 1, comment: ": done\n\n"}, step{}, "id: 1\ndata: 1\n\n: done\n\n", false, 1},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.first, test.second)
			got := harness.post("/s/x", "prompt", "Model", "m")
			assert.Equal(t, got.Body.String(), test.want)
			assert.Equal(t, got.broken, test.broken)
			harness.backend.mutex.Lock()
			defer harness.backend.mutex.Unlock()
			assert.Equal(t, len(harness.backend.requests), test.sent)
		})
	}
}

// TestRefusedHedgeIsReplaced guards against a stalled stream that waits until its deadline because the only
// server that was asked beside its own refused it.
func TestRefusedHedgeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t, step{events: 5, stallAfter: 2}, step{status: 503, notRun: true}, step{events: 5})
		got := harness.post("/s/x", "prompt", "Model", "m")
		assert.Assert(t, !got.broken)
		assert.Equal(t, got.Body.String(), events(1, 5))
		assert.Equal(t, len(harness.backend.requests), 3)
	})
}
