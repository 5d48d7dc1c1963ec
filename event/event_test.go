package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCatalog checks that docs/EVENTS.md and Catalog list the same events, and that
// no number is used twice.
func TestCatalog(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| [^|]+) \|`).FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	numbers := map[int]bool{}
	for _, event := range Catalog() {
		row := fmt.Sprintf("%d | %s | %s", event.Number, event.Level, event.Text)
		assert.Assert(t, documented[row], "docs/EVENTS.md has no row: %s", row)
		assert.Assert(t, !numbers[event.Number], "number %d is used twice", event.Number)
		numbers[event.Number] = true
		delete(documented, row)
	}
	assert.Equal(t, len(documented), 0, "docs/EVENTS.md has events that the code does not define: %v", documented)
}

// TestCatalogIsComplete checks that Catalog has as many events as event.go defines.
func TestCatalogIsComplete(t *testing.T) {
	source, err := os.ReadFile("event.go")
	assert.NilError(t, err)
	defined := regexp.MustCompile(`(?m)^\t\w+ += Event\{`).FindAllString(string(source), -1)
	assert.Equal(t, len(defined), len(Catalog()))
}

// TestWrite checks that events below the level of the log are discarded, that a line
// contains its event number, that an unknown level is an error, and that a nil log
// discards events.
func TestWrite(t *testing.T) {
	var buffer bytes.Buffer
	log, err := NewLog(&buffer, "warn")
	assert.NilError(t, err)
	log.Write(Started) // of the level info
	assert.Equal(t, buffer.Len(), 0, "an event below the level was written")
	log.Write(StoreUnavailable, slog.String("error", "x")) // of the level warn
	var line map[string]any
	assert.NilError(t, json.Unmarshal(buffer.Bytes(), &line))
	assert.Equal(t, line["event"], 200.0) // the number of StoreUnavailable
	_, err = NewLog(&buffer, "loud")
	assert.ErrorContains(t, err, "debug, info, warn or error")
	(*Log)(nil).Write(Started)
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (writer *blockedWriter) Write(line []byte) (int, error) {
	<-writer.release
	return len(line), nil
}

// TestLogNeverBlocks checks that writes to a queue do not block while its writer
// does, and that the queue counts the lines that it drops.
func TestLogNeverBlocks(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	queue := NewQueue(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLines {
			_, _ = queue.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write to the queue blocked")
	}
	// Of the 2*queueLines lines, the queue holds queueLines and the blocked writer one more.
	assert.Assert(t, queue.Dropped() >= queueLines-1, "the queue did not count the lines that it dropped")
	close(writer.release)
	queue.Close()
}

// TestRateLimits checks that info events are dropped above their rate limit
// while as many warnings are written, and that the dropped lines are reported.
func TestRateLimits(t *testing.T) {
	var buffer bytes.Buffer
	log, err := NewBoundedLog(&buffer, "info")
	assert.NilError(t, err)
	for range 3 * routineRate { // fewer than warningRate
		log.With("node", "n").Write(Answered)
		log.Write(Refused)
	}
	log.Report()
	log.Close()
	count := func(number int) int {
		return bytes.Count(buffer.Bytes(), fmt.Appendf(nil, `"event":%d`, number))
	}
	// The limit allows a burst of routineRate lines, and routineRate lines per second while
	// the loop runs, which must take less than 0.5 s.
	assert.Assert(t, count(Answered.Number) < routineRate*3/2, "%d lines of an info event were written", count(Answered.Number))
	assert.Equal(t, count(Refused.Number), 3*routineRate, "a warning was dropped at a rate that is within its limit")
	assert.Equal(t, count(LinesDropped.Number), 1, "want one report, for the event Answered")
}

// TestRecent queries the recent lines of a log after more lines were written than the
// log keeps. The oldest line must be gone, and a value with characters that JSON escapes
// must be found. A nil log has no lines.
func TestRecent(t *testing.T) {
	log, err := NewBoundedLog(io.Discard, "info")
	assert.NilError(t, err)
	defer log.Close()
	log.Write(Refused, slog.String("request", "forgotten")) // later overwritten in the ring buffer
	for range recentLines {
		log.write(Answered, slog.String("request", "r")) // write has no rate limit
	}
	log.Write(Refused, slog.String("request", "a <\"> b"), slog.Int("number", 1))
	log.Write(Refused, slog.String("request", "a <\"> b"), slog.Int("number", 2))
	found := log.Recent("request", "a <\"> b")
	assert.Equal(t, len(found), 2)
	assert.Assert(t, bytes.Contains(found[0], []byte(`"number":1`)), "the oldest line must come first")
	assert.Equal(t, len(log.Recent("request", "forgotten")), 0, "the oldest line must be gone")
	// The last two lines took the place of two lines of the request r.
	assert.Equal(t, len(log.Recent("request", "r")), recentLines-2)
	assert.Equal(t, len((*Log)(nil).Recent("request", "r")), 0)
}

// TestLogIsBounded writes lines with texts that a caller has chosen, as long as a head may be, to a log whose writer
// blocks. The lines that are queued and kept must not grow with the texts.
func TestLogIsBounded(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	queue := NewQueue(writer)
	for range 4 * queueLines {
		_, _ = queue.Write(bytes.Repeat([]byte("x"), 64<<10))
	}
	assert.Assert(t, queue.queued.Load() <= queueBytes+64<<10, "the writer has one line more")
	queue.mutex.Lock()
	kept := 0
	for _, line := range queue.recent {
		kept += len(line)
	}
	assert.Equal(t, kept, queue.bytes)
	queue.mutex.Unlock()
	assert.Assert(t, kept <= recentBytes && kept > recentBytes/2)
	assert.Assert(t, queue.Dropped() > 0)
	close(writer.release)
	queue.Close()
	assert.Equal(t, queue.queued.Load(), int64(0))
}

// TestTextsAreCut checks that long texts are cut, that a line is found by the whole text, and that stack
// traces stay whole.
func TestTextsAreCut(t *testing.T) {
	log, err := NewBoundedLog(io.Discard, "info")
	assert.NilError(t, err)
	defer log.Close()
	text := strings.Repeat("\xff", 12_000)
	log.Write(Refused, slog.String("request", text), slog.String("stack", strings.Repeat("s", 3*maxFieldBytes)))
	found := log.Recent("request", text)
	assert.Equal(t, len(found), 1)
	assert.Assert(t, bytes.Contains(found[0], bytes.Repeat([]byte("s"), 3*maxFieldBytes)))
	assert.Assert(t, len(found[0]) < 8*maxFieldBytes+3*maxFieldBytes, "%d bytes", len(found[0]))
}
