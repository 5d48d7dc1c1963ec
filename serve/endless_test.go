package serve

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessBody is a body that repeats a text until it is closed.
type endlessBody struct {
	text   string
	offset int
	read   atomic.Int64
	closed atomic.Bool
}

func (body *endlessBody) Read(buffer []byte) (int, error) {
	if body.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	for index := range buffer {
		buffer[index] = body.text[body.offset]
		body.offset = (body.offset + 1) % len(body.text)
	}
	body.read.Add(int64(len(buffer)))
	return len(buffer), nil
}

func (body *endlessBody) Close() error {
	body.closed.Store(true)
	return nil
}

// endlessBackend answers the first request with a body without end, and the others as its backend does.
type endlessBackend struct {
	*backend
	first atomic.Bool
	body  *endlessBody
}

func (backend *endlessBackend) Send(request *http.Request) (*http.Response, error) {
	response, err := backend.backend.Send(request)
	if err == nil && !backend.first.Swap(true) {
		_ = response.Body.Close()
		response.Body, response.ContentLength, response.TransferEncoding = backend.body, -1, []string{"chunked"}
	}
	return response, err
}

// TestBodyWithoutEnd gets a body without end from the first server. The bytes that are read must be
// bounded, the body closed, and the request sent to another server if it may run again; otherwise its
// caller must be told that its outcome is unknown.
func TestBodyWithoutEnd(t *testing.T) {
	const (
		budget  = 2 << 20
		answers = budget + 2*unstatedAnswerBytes + smallAnswerBytes
		stream  = 512 << 10 // more than maxDatalessBytes and an event of the greatest length, with buffers
	)
	line := strings.Repeat("x", 1000)
	cases := map[string]struct {
		path   string
		text   string
		status int
		sent   int // attempts that reach the backend
		bound  int64
	}{
		"safe, no length":        {"/safe/x", line, 200, 2, answers},
		"once, no length":        {"/once/x", line, 502, 1, answers},
		"stream, no line":        {"/s/x", line, 200, 2, stream},
		"stream, zero bytes":     {"/s/x", "\x00", 200, 2, stream},
		"stream, no event":       {"/s/x", line + "\n", 200, 2, stream},
		"stream, event too long": {"/s/x", "data: " + line + "\n", 200, 2, stream},
		"stream, blank lines":    {"/s/x", "\n", 200, 2, stream},
		"stream, comments":       {"/s/x", ": " + line + "\n\n", 200, 2, stream},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{}, step{events: 3})
			if !strings.HasPrefix(test.path, "/s/") {
				harness.backend.steps = nil
			}
			endless := &endlessBackend{backend: harness.backend, body: &endlessBody{text: test.text}}
			harness.Backend = endless
			harness.ReaderBudget.Limit = budget
			got := harness.post(test.path, "body", "Model", "m")
			assert.Equal(t, got.Code, test.status, got.Body.String())
			assert.Assert(t, !got.broken)
			assert.Assert(t, bytes.Count(got.Body.Bytes(), []byte("data: ")) == 3 || !strings.HasPrefix(test.path, "/s/"), "%.200s", got.Body.String())
			assert.Assert(t, endless.body.closed.Load(), "the body is still open")
			read := endless.body.read.Load()
			assert.Assert(t, read <= test.bound, "%d bytes were read", read)
			assert.Equal(t, harness.ReaderBudget.Held(), int64(0))
			harness.backend.mutex.Lock()
			defer harness.backend.mutex.Unlock()
			assert.Equal(t, len(harness.backend.requests), test.sent)
		})
	}
}

// heldBody is an event that goes on until it has so many bytes, and then nothing comes until the body is closed.
type heldBody struct {
	left   int
	read   *atomic.Int64 // of all such bodies that are not closed
	count  int64
	closed chan struct{}
}

func (body *heldBody) Read(buffer []byte) (int, error) {
	if body.left == 0 {
		<-body.closed
		return 0, io.ErrClosedPipe
	}
	count := min(len(buffer), body.left)
	for index := range buffer[:count] {
		buffer[index] = 'x'
	}
	body.left -= count
	body.count += int64(count)
	body.read.Add(int64(count))
	return count, nil
}

func (body *heldBody) Close() error {
	close(body.closed)
	body.read.Add(-body.count)
	return nil
}

// heldBackend answers all requests with such bodies.
type heldBackend struct {
	*backend
	read atomic.Int64
}

func (backend *heldBackend) Send(request *http.Request) (*http.Response, error) {
	body := &heldBody{left: 250 << 10, read: &backend.read, closed: make(chan struct{})}
	header := http.Header{"Id": {request.Header.Get("Id")}, "Seal": {request.Header.Get("To")}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: body}, nil
}

// TestEventsWithoutEndInSum guards against events without end from many servers at once, each within the bound of one: together they
// must not take up more than ReaderBudget.
func TestEventsWithoutEndInSum(t *testing.T) {
	const (
		streams = 40
		budget  = 1 << 20
	)
	harness := newHarness(t)
	backend := &heldBackend{backend: harness.backend}
	harness.Backend = backend
	harness.ReaderBudget.Limit = budget
	var serving sync.WaitGroup
	for range streams {
		serving.Go(func() { harness.post("/s/x", "", "Deadline", "700ms", "Model", "m") })
	}
	time.Sleep(300 * time.Millisecond)
	held := backend.read.Load()
	serving.Wait()
	const free = streams * (freeEventBytes + readBufferBytes)
	assert.Assert(t, held <= budget+2*free, "%d bytes are held", held) // each stream has up to two servers
	assert.Equal(t, harness.ReaderBudget.Held(), int64(0))
}
