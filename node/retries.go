package node

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/retry"
)

// updateSharing passes the list of nodes on to what divides the fleet's retry budget. The list confirms this node's part
// only while the key-value service has this node's record.
func (node *Node) updateSharing() {
	listed, asOf := node.fleet.nodeIDs()
	if !node.mirror.Get(node.member.key()).Revision.Exists() {
		delete(listed, node.Settings.Node)
	}
	node.sharing.Update(listed, asOf)
}

// retryReporter logs and exports what this node's retry budget allowed and denied, for each service.
type retryReporter struct {
	node   *Node
	logged map[shedkeel.ServiceID]retry.Totals // as of the last call of report
}

// report logs the retries of each service since the last call, unless there were none.
func (reporter *retryReporter) report(now time.Duration) {
	if reporter.logged == nil {
		reporter.logged = map[shedkeel.ServiceID]retry.Totals{}
	}
	for _, current := range reporter.node.handler.Budget.Totals(now) {
		last := reporter.logged[current.Service]
		reporter.logged[current.Service] = current.Totals
		if current.Allowed == last.Allowed && current.Denied == last.Denied {
			continue
		}
		reporter.node.Log.Write(event.ServiceRetries, slog.String("service", string(current.Service)),
			slog.Int64("allowed", current.Allowed-last.Allowed), slog.Int64("denied", current.Denied-last.Denied), slog.Int64("refunded", current.Refunded-last.Refunded),
			slog.Float64("share", current.Share), slog.Int("nodes", current.Processes), slog.Int("requests", current.Requests), slog.Int("retries", current.Retries),
			slog.Any("sent", sentSince(current.Sent, last.Sent)))
	}
}

// sentSince returns how many retries of each kind were sent since an earlier count, by "reason path".
func sentSince(current, earlier map[retry.Kind]int64) map[string]int64 {
	sent := map[string]int64{}
	for kind, count := range current {
		if count > earlier[kind] {
			sent[string(kind.Reason)+" "+string(kind.Path)] = count - earlier[kind]
		}
	}
	return sent
}

// export exports the totals of each service as gauges.
func (reporter *retryReporter) export(scope tally.Scope, now time.Duration) {
	for _, current := range reporter.node.handler.Budget.Totals(now) {
		tagged := scope.Tagged(map[string]string{"service": string(current.Service)})
		tagged.Gauge("retries_allowed").Update(float64(current.Allowed))
		tagged.Gauge("retries_denied").Update(float64(current.Denied))
		tagged.Gauge("retries_refunded").Update(float64(current.Refunded))
		tagged.Gauge("retry_share").Update(current.Share)
		tagged.Gauge("retry_nodes").Update(float64(current.Processes))
		for kind, count := range current.Sent {
			tagged.Tagged(map[string]string{"reason": string(kind.Reason), "path": string(kind.Path)}).Gauge("retries_sent").Update(float64(count))
		}
	}
}
