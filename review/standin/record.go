package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the record of a case: what was sent, run and answered. It is written to a file at the end.
type record struct {
	mutex sync.Mutex
	start time.Time
	lines []string
	runs  map[string]map[string]int // by attempt and run: the event after which the run began
	moved map[string]int            // by client: its runs that went on after an event
}

// add adds a line.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.lines = append(record.lines, fmt.Sprintf("%8.3f ", time.Since(record.start).Seconds())+fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (record *record) say(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// addRun adds that a run of an attempt has begun after an event.
func (record *record) addRun(attempt, run string, after int) {
	record.add("runner: run %s of request %s begins after event %d", run, attempt, after)
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if record.runs == nil {
		record.runs = map[string]map[string]int{}
		record.moved = map[string]int{}
	}
	if record.runs[attempt] == nil {
		record.runs[attempt] = map[string]int{}
	}
	record.runs[attempt][run] = after
	if after > 0 {
		record.moved[attempt[:2]]++
	}
}

// begunAfter returns the event after which a run of an attempt began, and whether there is such a run.
func (record *record) begunAfter(attempt, run string) (after int, known bool) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	after, known = record.runs[attempt][run]
	return after, known
}

// write writes the record to a file.
func (record *record) write(path string) error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(record.lines, "\n")+"\n"), 0o600) //nolint:gosec // the person who runs the case names the file
}
