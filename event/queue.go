package event

import (
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
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
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
