package node

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/reach"
)

// reachReporter reports which backend servers this box reaches. Only Node.report uses it.
type reachReporter struct {
	node     *Node
	reported map[reach.Outcome]int64 // the dials of the status that was last reported
}

// report logs the dials since the last call if any of them failed, and exports the status if
// the node has metrics.
func (reporter *reachReporter) report() {
	node := reporter.node
	if node.Dialer == nil {
		return
	}
	status := node.Dialer.Status()
	if node.Metrics != nil {
		exportReach(node.Metrics.Scope, status)
	}
	failures := int64(0)
	fields := []slog.Attr{slog.Int("servers", status.Unreachable), slog.Duration("heard", status.SinceHeard)}
	for outcome, count := range status.Dials {
		since := count - reporter.reported[outcome]
		fields = append(fields, slog.Int64(outcome.String(), since))
		if outcome != reach.Connected {
			failures += since
		}
	}
	reporter.reported = status.Dials
	if failures > 0 {
		node.Log.Write(event.DialsFailed, fields...)
	}
}

// exportReach exports the status as metrics.
func exportReach(scope tally.Scope, status reach.Status) {
	for outcome, count := range status.Dials {
		scope.Tagged(map[string]string{"outcome": outcome.String()}).Gauge("server_dials").Update(float64(count))
	}
	scope.Gauge("servers_unreachable").Update(float64(status.Unreachable))
	scope.Gauge("servers_heard_seconds").Update(status.SinceHeard.Seconds())
}
