package operator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
)

// maxLogLine bounds a line of a log, in bytes; longer ones are passed over.
const maxLogLine = 1 << 20

// Trace collects the log lines of one request or one replica group from the
// logs of several nodes.
type Trace struct {
	Request string // the request's id; or
	Group   string // the group's name

	lines  []TraceLine
	read   int // lines that are events
	passed int // cut or foreign lines
}

// TraceLine is one line of a log.
type TraceLine struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  int            `json:"event"`
	Text   string         `json:"msg"`
	Fields map[string]any `json:"fields"`
}

// Read reads one log. Lines that are no events are passed over and counted.
func (trace *Trace) Read(log io.Reader) error {
	reader := bufio.NewReaderSize(log, maxLogLine)
	for {
		line, err := reader.ReadString('\n')
		if strings.TrimSpace(line) != "" {
			trace.take(line)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

func (trace *Trace) take(line string) {
	start := strings.IndexByte(line, '{') // what runs the nodes may write something before
	fields := map[string]any{}
	if start < 0 || json.Unmarshal([]byte(line[start:]), &fields) != nil {
		trace.passed++
		return
	}
	number, isEvent := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if !isEvent || err != nil {
		trace.passed++
		return
	}
	trace.read++
	wanted := trace.Request != "" && fields["request"] == trace.Request || trace.Group != "" && fields["group"] == trace.Group
	if !wanted {
		return
	}
	found := TraceLine{Time: at, Node: text(fields["node"]), Event: int(number), Text: text(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "node", "event", "msg", "level"} {
		delete(fields, name)
	}
	trace.lines = append(trace.lines, found)
}

func text(value any) string {
	written, _ := value.(string) // what is no text is not shown
	return written
}

// Lines returns the lines in order of time, or an error that says what was
// searched.
func (trace *Trace) Lines() ([]TraceLine, error) {
	if len(trace.lines) == 0 {
		return nil, &shedkeel.InvalidError{
			Where: trace.Request + trace.Group, What: fmt.Sprintf("none of %d events tells of it; %d lines are no events", trace.read, trace.passed),
			Remedy: "give the logs of all nodes for that time, and the id as the caller sent it",
		}
	}
	slices.SortStableFunc(trace.lines, func(a, b TraceLine) int { return a.Time.Compare(b.Time) })
	return trace.lines, nil
}

// Passed returns how many lines were no events.
func (trace *Trace) Passed() int { return trace.passed }

// PrintTrace prints lines with the time since the first, a row each.
func PrintTrace(writer io.Writer, lines []TraceLine) error {
	for _, line := range lines {
		var fields []string
		for _, name := range slices.SortedFunc(maps.Keys(line.Fields), cmp.Compare[string]) {
			fields = append(fields, fmt.Sprintf("%s=%v", name, shown(name, line.Fields[name])))
		}
		_, err := fmt.Fprintf(writer, "%9.3fs  %-16s %d %s: %s\n", line.Time.Sub(lines[0].Time).Seconds(), line.Node, line.Event, line.Text, strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}

// durationFields are logged in nanoseconds.
var durationFields = []string{"took", "first", "pause", "silent", "age"}

func shown(name string, value any) any {
	nanoseconds, isNumber := value.(float64)
	if isNumber && slices.Contains(durationFields, name) {
		return time.Duration(nanoseconds).Round(time.Millisecond)
	}
	return value
}
