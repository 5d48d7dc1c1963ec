package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/retry"
)

// TestRetriesAreLogged checks that a node logs what its retry budget allowed and denied, with its share
// and the number of nodes, once for each service and time.
func TestRetriesAreLogged(t *testing.T) {
	node, timers, _, lines := newTestLeader(t)
	node.handler.Budget.Set(0, 10*time.Second, 10, timers.Now())
	timers.Advance(time.Minute)
	for range 6 {
		node.handler.Budget.Allow("s", retry.Share{Processes: 2, Part: 1}, timers.Now())
	}
	for range 2 { // the second call has nothing new to log
		node.retryReporter.report(timers.Now())
	}
	assert.Equal(t, strings.Count(lines.String(), `"event":674`), 1, lines.String())
	for _, field := range []string{`"service":"s"`, `"allowed":5`, `"denied":1`, `"share":5`, `"nodes":2`} {
		assert.Assert(t, strings.Contains(lines.String(), field), "no %s in %s", field, lines.String())
	}
}
