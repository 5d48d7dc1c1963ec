package operator

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// firstLog and secondLog are the logs of nodes a and b. Together they hold 4 events and 3
// other lines.
const firstLog = `{"time":"2026-01-02T03:04:05.300Z","level":"WARN","msg":"server or group has gone silent","node":"a","event":620,"group":"m/d/1","silent":190000000}
{"time":"2026-01-02T03:04:05.500Z","level":"INFO","msg":"request answered","node":"a","event":610,"first":120000000,"request":"r1"}
not a line of ours
{"time":"2026-01-02T03:04:05.6
`

const secondLog = `  3.2 node {"time":"2026-01-02T03:04:05.100Z","level":"WARN","msg":"request refused or failed","node":"b","event":611,"reason":"full","request":"r1"}
{"time":"2026-01-02T03:04:05.100Z","level":"WARN","msg":"request refused or failed","node":"b","event":611,"request":"r2"}
{"no":"event"}
`

// TestTrace reads the logs of two nodes, with text before an event, a truncated line
// and lines that are not events. The lines found must be printed in order of time.
func TestTrace(t *testing.T) {
	cases := map[string]struct {
		trace     Trace
		want      string // printed lines
		wantError string // part of the error of Lines; empty: none
	}{
		"a request over two nodes": {
			trace: Trace{Request: "r1"},
			want: "    0.000s  b                611 request refused or failed: reason=full request=r1\n" +
				"    0.400s  a                610 request answered: first=120ms request=r1\n",
		},
		"a group": {
			trace: Trace{Group: "m/d/1"},
			want:  "    0.000s  a                620 server or group has gone silent: group=m/d/1 silent=190ms\n",
		},
		"an unknown id": {
			trace:     Trace{Request: "r9"},
			wantError: "none of 4 events mentions it; 3 lines are not events",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, test.trace.Read(strings.NewReader(firstLog)))
			assert.NilError(t, test.trace.Read(strings.NewReader(secondLog)))
			assert.Equal(t, test.trace.Skipped(), 3)
			lines, err := test.trace.Lines()
			if test.wantError != "" {
				assert.ErrorContains(t, err, test.wantError)
				return
			}
			assert.NilError(t, err)
			var printed bytes.Buffer
			assert.NilError(t, PrintTrace(&printed, lines))
			assert.Equal(t, printed.String(), test.want)
		})
	}
}
