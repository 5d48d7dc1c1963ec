package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/reach"
)

// reachReporter reports which backend servers this box reaches, and acts when it is cut off.
type reachReporter struct {
	node     *Node
	reported reach.Status // the status that report was last called with; only report uses it
}

// tick tells the dialer whether nodes that relay connections are stopping. While this box is cut off
// and hears no server over direct connections, tick declares the requests lost that run over them:
// what was concluded about servers from their silence is wrong.
func (reporter *reachReporter) tick() {
	dialer := reporter.node.Dialer
	if dialer == nil {
		return
	}
	dialer.SetRelaysLeaving(reporter.node.connector.relaysLeaving())
	if dialer.CutOff() && !dialer.HearsServers() {
		reporter.node.table.LoseRunning(dialer.TrustedUntil())
	}
}

// checkPaths dials some of the silent servers if this box hears no server at all, since the silence
// may be its own. No request would show this, as none is sent to silent servers.
func (reporter *reachReporter) checkPaths(stalls []dispatch.Stall) {
	dialer := reporter.node.Dialer
	if dialer == nil || dialer.HearsServers() {
		return
	}
	for _, silence := range stalls[:min(len(stalls), witnessCount)] {
		go reporter.runCheck(silence.Server.Address)
	}
}

// runCheck dials a server for the evidence that the dialer records.
func (reporter *reachReporter) runCheck(address string) {
	conn, err := reporter.node.Dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return // the dialer counts it
	}
	_ = conn.Close()
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
		node.Metrics.Scope.Gauge("connections_relayed").Update(float64(node.connector.relayed.Load()))
	}
	before := reporter.reported
	reporter.reported = status
	fields := []slog.Attr{slog.Int("servers", status.Unreachable), slog.Duration("heard", status.SinceHeard)}
	failures := int64(0)
	for outcome, count := range status.Dials {
		since := count - before.Dials[outcome]
		fields = append(fields, slog.Int64(outcome.String(), since))
		if outcome != reach.Connected {
			failures += since
		}
	}
	if failures > 0 {
		node.Log.Write(event.DialsFailed, fields...)
	}
	if status.CutOff != before.CutOff {
		reporter.logChange(status.CutOff, event.CutOff, event.CutOffEnded, status)
	}
	if status.NoPath != before.NoPath {
		reporter.logChange(status.NoPath, event.NoPath, event.NoPathEnded, status)
	}
}

// logChange logs that a state has begun or ended.
func (reporter *reachReporter) logChange(begun bool, begin, end event.Event, status reach.Status) {
	kind := end
	if begun {
		kind = begin
	}
	reporter.node.Log.Write(kind, slog.Int("servers", status.Unreachable), slog.Duration("heard", status.SinceHeard), slog.Int64("relayed", status.RelayDials[reach.Connected]))
}

// reachDump returns which backend servers this node reaches.
func (node *Node) reachDump() ReachDump {
	if node.Dialer == nil {
		return ReachDump{}
	}
	status := node.Dialer.Status()
	dump := ReachDump{Unreachable: status.Unreachable, CutOff: status.CutOff, NoPath: status.NoPath, Relayed: node.connector.relayed.Load()}
	if status.SinceHeard >= 0 {
		dump.Heard = status.SinceHeard.Round(time.Millisecond).String()
	}
	return dump
}

// exportReach exports the status as metrics.
func exportReach(scope tally.Scope, status reach.Status) {
	for path, dials := range map[string]map[reach.Outcome]int64{"direct": status.Dials, "relayed": status.RelayDials} {
		for outcome, count := range dials {
			scope.Tagged(map[string]string{"path": path, "outcome": outcome.String()}).Gauge("server_dials").Update(float64(count))
		}
	}
	scope.Gauge("servers_unreachable").Update(float64(status.Unreachable))
	scope.Gauge("servers_heard_seconds").Update(status.SinceHeard.Seconds())
	scope.Gauge("cut_off").Update(gaugeValue(status.CutOff))
	scope.Gauge("no_path").Update(gaugeValue(status.NoPath))
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(state bool) float64 {
	if state {
		return 1
	}
	return 0
}
