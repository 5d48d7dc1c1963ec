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
	// queueLines is how many lines may be queued while the writer is slow or blocked. At
	// about 300 bytes each the lines take 0.6 MB.
	queueLines = 2048
	// recentLines is how many lines are kept in memory for operators who query a
	// running process (see Recent). At about 300 bytes each the lines take 0.6 MB.
	recentLines = 2048
	// queueBytes and recentBytes bound the memory of the queued and of the recent lines. Lines may be long
	// since callers choose some of their texts, such as the IDs of requests.
	queueBytes  = 1 << 20
	recentBytes = 1 << 20
	// routineRate is the maximum number of lines per second, and in one burst, for each
	// event below the level warn. A node serves about 20 requests per second, so the
	// limit drops no line that is written once per request up to five times that load.
	routineRate = 100
	// warningRate is the maximum number of lines per second, and in one burst, for each
	// event of the level warn or above. It is higher than routineRate, so that failures
	// are not dropped before successes.
	warningRate = 400
)

// Queue is an io.Writer that passes lines to another writer in the background, so that
// callers never block on a slow writer. While it is full, it drops new lines and counts
// them. It also keeps the latest lines in memory (see Recent).
type Queue struct {
	lines     chan []byte
	queued    atomic.Int64 // bytes in lines
	dropped   atomic.Int64
	closed    chan struct{} // closed once Close was called and all queued lines are written
	out       io.Writer
	closeOnce sync.Once

	mutex  sync.Mutex
	recent [][]byte // ring buffer of the latest lines
	oldest int      // index of the oldest line
	count  int      // lines in the ring buffer
	bytes  int      // of these lines
}

// NewQueue returns a queue that writes to out until Close is called.
func NewQueue(out io.Writer) *Queue {
	queue := &Queue{lines: make(chan []byte, queueLines), closed: make(chan struct{}), out: out}
	go queue.run()
	return queue
}

// run writes the queued lines until the queue is closed.
func (queue *Queue) run() {
	defer close(queue.closed)
	for line := range queue.lines {
		queue.queued.Add(-int64(len(line)))
		_, _ = queue.out.Write(line) // a failure to write the log cannot be logged
	}
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (queue *Queue) Write(line []byte) (int, error) {
	cloned := bytes.Clone(line)
	queue.keepRecent(cloned)
	if queue.queued.Add(int64(len(line))) > queueBytes {
		queue.drop(line)
		return len(line), nil
	}
	select {
	case queue.lines <- cloned:
	default:
		queue.drop(line)
	}
	return len(line), nil
}

// drop counts a line that is not queued.
func (queue *Queue) drop(line []byte) {
	queue.queued.Add(-int64(len(line)))
	queue.dropped.Add(1)
}

// keepRecent adds a line to the ring buffer of recent lines. The oldest ones make room for it.
func (queue *Queue) keepRecent(line []byte) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.recent == nil {
		queue.recent = make([][]byte, recentLines)
	}
	for queue.count > 0 && (queue.count == recentLines || queue.bytes+len(line) > recentBytes) {
		queue.bytes -= len(queue.recent[queue.oldest])
		queue.recent[queue.oldest] = nil
		queue.oldest = (queue.oldest + 1) % recentLines
		queue.count--
	}
	queue.recent[(queue.oldest+queue.count)%recentLines] = line
	queue.count++
	queue.bytes += len(line)
}

// Recent returns those of the latest lines, as many as recentLines and recentBytes allow, in which the field is a string with
// the value, oldest first. The result includes lines that were dropped because the queue
// was full.
func (queue *Queue) Recent(field, value string) [][]byte {
	pattern := fmt.Appendf(nil, "%s:%s", jsonString(field), jsonString(cut(value)))
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	var found [][]byte
	for index := range queue.count {
		line := queue.recent[(queue.oldest+index)%recentLines]
		if bytes.Contains(line, pattern) {
			found = append(found, line)
		}
	}
	return found
}

// jsonString returns the text as a JSON string in the encoding of the log.
func jsonString(text string) []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(text) // encoding a string never fails
	return bytes.TrimSpace(buffer.Bytes())
}

// Dropped returns how many lines were dropped since the last call because the queue
// was full.
func (queue *Queue) Dropped() int64 { return queue.dropped.Swap(0) }

// Close waits until the queued lines are written and stops the goroutine of the
// queue. The caller must not write afterwards.
func (queue *Queue) Close() {
	queue.closeOnce.Do(func() { close(queue.lines) })
	<-queue.closed
}

// rateLimits are the rate limits of the events, by event number.
type rateLimits struct {
	mutex    sync.Mutex
	limiters map[int]*rate.Limiter
	dropped  map[int]int64 // lines dropped since the last takeDropped
}

// allow reports whether a line of the event may be written now, and counts the
// line as dropped if not.
func (limits *rateLimits) allow(event Event) bool {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if limits.limiters == nil {
		limits.limiters = map[int]*rate.Limiter{}
		limits.dropped = map[int]int64{}
	}
	limiter := limits.limiters[event.Number]
	if limiter == nil {
		limit := routineRate
		if event.Level >= slog.LevelWarn {
			limit = warningRate
		}
		limiter = rate.NewLimiter(rate.Limit(limit), limit)
		limits.limiters[event.Number] = limiter
	}
	if limiter.Allow() {
		return true
	}
	limits.dropped[event.Number]++
	return false
}

// takeDropped returns and resets the number of dropped lines by event number.
func (limits *rateLimits) takeDropped() map[int]int64 {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	dropped := limits.dropped
	if len(dropped) > 0 {
		limits.dropped = map[int]int64{}
	}
	return dropped
}
