package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines may wait for a reader that is slow; some
	// 300 bytes each.
	queueLines = 2048
	// recentLines is how many lines are remembered for operators who ask a
	// running process; at some 300 bytes each they take 0.6 MB.
	recentLines = 2048
	// routineRate is how many lines a second each event has that tells of
	// nothing wrong; a node serves some 20 requests a second today.
	routineRate = 100
	// warningRate is the same for warnings and errors, so that failures are
	// never left out before what went well.
	warningRate = 400
)

// Queue writes lines in the background, so that who logs never waits for who
// reads. Lines that find it full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	out     io.Writer
	once    sync.Once

	mutex  sync.Mutex
	recent [][]byte // the latest lines, in a ring
	next   int      // where the ring goes on
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	queue := &Queue{lines: make(chan []byte, queueLines), ended: make(chan struct{}), out: out}
	go queue.run()
	return queue
}

func (queue *Queue) run() {
	defer close(queue.ended)
	for line := range queue.lines {
		_, _ = queue.out.Write(line) // a log that can't be written has nowhere to say so
	}
}

// Write takes one line. It never blocks and never fails.
func (queue *Queue) Write(line []byte) (int, error) {
	kept := bytes.Clone(line)
	queue.remember(kept)
	select {
	case queue.lines <- kept:
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

func (queue *Queue) remember(line []byte) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if len(queue.recent) < recentLines {
		queue.recent = append(queue.recent, line)
		return
	}
	queue.recent[queue.next] = line
	queue.next = (queue.next + 1) % recentLines
}

// Recent returns those of the latest lines in which the field has the value,
// oldest first, also those that found the queue full.
func (queue *Queue) Recent(field, value string) [][]byte {
	wanted := fmt.Appendf(nil, "%s:%s", quoted(field), quoted(value))
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	var found [][]byte
	for index := range queue.recent {
		line := queue.recent[(queue.next+index)%len(queue.recent)]
		if bytes.Contains(line, wanted) {
			found = append(found, line)
		}
	}
	return found
}

// quoted returns a text as the log writes it.
func quoted(text string) []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(text) // a text can always be encoded
	return bytes.TrimSpace(buffer.Bytes())
}

// Dropped returns how many lines found the queue full since it was last asked.
func (queue *Queue) Dropped() int64 { return queue.dropped.Swap(0) }

// Close writes what waits and ends. Nothing may be written afterwards.
func (queue *Queue) Close() {
	queue.once.Do(func() { close(queue.lines) })
	<-queue.ended
}

// limits bound the lines of each event.
type limits struct {
	mutex   sync.Mutex
	events  map[int]*rate.Limiter
	skipped map[int]int64
}

// allow reports whether a line of the event may be written.
func (limits *limits) allow(event Event) bool {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if limits.events == nil {
		limits.events = map[int]*rate.Limiter{}
		limits.skipped = map[int]int64{}
	}
	limiter := limits.events[event.Number]
	if limiter == nil {
		lines := routineRate
		if event.Level >= slog.LevelWarn {
			lines = warningRate
		}
		limiter = rate.NewLimiter(rate.Limit(lines), lines)
		limits.events[event.Number] = limiter
	}
	if limiter.Allow() {
		return true
	}
	limits.skipped[event.Number]++
	return false
}

// takeSkipped returns how many lines of each event were left out since it was
// last asked.
func (limits *limits) takeSkipped() map[int]int64 {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	skipped := limits.skipped
	if len(skipped) > 0 {
		limits.skipped = map[int]int64{}
	}
	return skipped
}
