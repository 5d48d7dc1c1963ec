package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	attempt  string
	method   string
	path     string
	body     string
	deadline time.Duration
	header   map[string]string
}

// answer is what a client got.
type answer struct {
	call   call
	status int // 0: none
	seal   string
	body   string  // of an answer that is no stream
	pieces []piece // of a stream
	whole  bool    // the answer ended regularly
	reason string  // why it did not
}

// piece is one event of a stream.
type piece struct {
	number int
	run    string
}

// send sends a call to a node and passes the answer to read until ctx ends.
func (call call) send(client *http.Client, node *node, read func(answer *answer, body io.Reader, cancel func())) answer {
	result := answer{call: call}
	ctx, cancel := context.WithTimeout(context.Background(), call.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+node.ip+":8227"+call.path, strings.NewReader(call.body))
	if err != nil {
		result.reason = err.Error()
		return result
	}
	request.Host = "h.example"
	request.Header.Set("X-Shedkeel-Attempt-Id", call.attempt)
	request.Header.Set("X-Shedkeel-Deadline-Ms", strconv.FormatInt(call.deadline.Milliseconds(), 10))
	request.Header.Set("X-Shedkeel-Key", "key-1")
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		result.reason = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status, result.seal = response.StatusCode, response.Header.Get("X-Shedkeel-Response-Seal")
	read(&result, response.Body, cancel)
	return result
}

// readBody reads an answer that is no stream.
func readBody(answer *answer, body io.Reader, _ func()) {
	text, err := io.ReadAll(body)
	answer.body, answer.whole = string(text), err == nil
	if err != nil {
		answer.reason = err.Error()
	}
}

// maxPause is the gap between events after which clients give up a stream: eight times the longest
// pause that the route's gap_aim_ms allows, 300 ms.
const maxPause = 2400 * time.Millisecond

// readEvents reads a stream.
func readEvents(answer *answer, body io.Reader, cancel func()) {
	gap := time.AfterFunc(maxPause, cancel)
	defer gap.Stop()
	number := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			number, _ = strconv.Atoi(id)
		}
		if run, found := strings.CutPrefix(lines.Text(), "data: "); found {
			answer.pieces = append(answer.pieces, piece{number, run})
			gap.Reset(maxPause)
		}
	}
	answer.whole = lines.Err() == nil
	if err := lines.Err(); err != nil {
		answer.reason = err.Error()
	}
}
