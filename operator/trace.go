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

// logBufferBytes is the size of the buffer for reading log lines, in bytes. Longer lines
// are still read in full.
const logBufferBytes = 1 << 20

// Trace collects the events about one request or one replica group from the logs of several
// nodes. A log line is an event if it contains a JSON object with an event number and a
// time.
type Trace struct {
	Request string // ID of the request; empty if Group is set
	Group   string // name of the group; empty if Request is set

	lines   []TraceLine // the events about the request or group
	events  int         // number of lines read that are events, about any request or group
	skipped int         // number of lines read that are not events, such as truncated lines or those of other programs
}

// TraceLine is one event of a log.
type TraceLine struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  int            `json:"event"` // event number
	Text   string         `json:"msg"`
	Fields map[string]any `json:"fields"` // the other fields of the log line, without its level
}

// Read reads one log. It counts the lines that are not events and skips them, and ignores
// blank lines.
func (trace *Trace) Read(log io.Reader) error {
	reader := bufio.NewReaderSize(log, logBufferBytes)
	for {
		line, err := reader.ReadString('\n')
		if strings.TrimSpace(line) != "" {
			trace.addLine(line)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// addLine counts a log line as an event or as skipped, and adds the line if it is an event
// about the trace's request or group.
func (trace *Trace) addLine(line string) {
	start := strings.IndexByte(line, '{') // a process supervisor may put text before the JSON
	fields := map[string]any{}
	if start < 0 || json.Unmarshal([]byte(line[start:]), &fields) != nil {
		trace.skipped++
		return
	}
	number, isEvent := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if !isEvent || err != nil {
		trace.skipped++
		return
	}
	trace.events++
	matches := trace.Request != "" && fields["request"] == trace.Request || trace.Group != "" && fields["group"] == trace.Group
	if !matches {
		return
	}
	parsed := TraceLine{Time: at, Node: stringOf(fields["node"]), Event: int(number), Text: stringOf(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "node", "event", "msg", "level"} {
		delete(fields, name)
	}
	trace.lines = append(trace.lines, parsed)
}

// stringOf returns the value if it is a string, and an empty string otherwise.
func stringOf(value any) string {
	text, _ := value.(string)
	return text
}

// Lines returns the collected events in order of time. If there are none, it returns an
// InvalidError that states how many events and how many other lines were read.
func (trace *Trace) Lines() ([]TraceLine, error) {
	if len(trace.lines) == 0 {
		return nil, &shedkeel.InvalidError{
			Where: trace.Request + trace.Group, What: fmt.Sprintf("none of %d events mentions it; %d lines are not events", trace.events, trace.skipped),
			Remedy: "give the logs of all nodes for that time, and the id as the caller sent it",
		}
	}
	slices.SortStableFunc(trace.lines, func(a, b TraceLine) int { return a.Time.Compare(b.Time) })
	return trace.lines, nil
}

// Skipped returns the number of lines that were not events.
func (trace *Trace) Skipped() int { return trace.skipped }

// PrintTrace prints one row per event, with the time since the first event.
func PrintTrace(writer io.Writer, lines []TraceLine) error {
	for _, line := range lines {
		var fields []string
		for _, name := range slices.SortedFunc(maps.Keys(line.Fields), cmp.Compare[string]) {
			fields = append(fields, fmt.Sprintf("%s=%v", name, fieldValue(name, line.Fields[name])))
		}
		_, err := fmt.Fprintf(writer, "%9.3fs  %-16s %d %s: %s\n", line.Time.Sub(lines[0].Time).Seconds(), line.Node, line.Event, line.Text, strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}

// durationFields are the log fields that hold durations in nanoseconds.
var durationFields = []string{"took", "first", "pause", "silent", "age"}

// fieldValue returns the value to print for a field: for durationFields a duration rounded
// to milliseconds, and for other fields the value itself.
func fieldValue(name string, value any) any {
	nanoseconds, isNumber := value.(float64)
	if isNumber && slices.Contains(durationFields, name) {
		return time.Duration(nanoseconds).Round(time.Millisecond)
	}
	return value
}
