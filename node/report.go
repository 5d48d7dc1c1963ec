package node

import (
	"maps"
	"time"

	"github.com/uber-go/tally/v4"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// report logs how many log lines were dropped, and which nodes have been excluded from
// receiving callers, or are no longer excluded, since the last call (see logExclusions). If the
// node has metrics, report exports the current values of the node's gauges. It is called once
// per second.
func (node *Node) report(now time.Duration) {
	node.updateSharing()
	node.Log.Report()
	node.reporter.report()
	node.gossip.logExclusions(node.peers.listed())
	node.admissions.report(now)
	node.retryReporter.report(now)
	if node.Metrics == nil {
		node.wakeups.report(node.Log, nil)
		return
	}
	scope := node.Metrics.Scope
	node.wakeups.report(node.Log, scope)
	scope.Gauge("store_era").Update(float64(node.mirror.State().At.Era))
	scope.Gauge("mirror_age_seconds").Update((now - node.mirror.State().AsOf).Seconds())
	scope.Gauge("records_skipped").Update(float64(node.fleet.skippedRecords.Load()))
	scope.Gauge("nodes").Update(float64(node.fleet.nodeCount()))
	scope.Gauge("nodes_unnamed").Update(float64(len(node.excludedNodes())))
	scope.Gauge("planner_waits").Update(float64(len(node.controller.waits())))
	node.reportModels(scope, now)
	scope.Gauge("unread_bytes").Update(float64(node.handler.ReaderBudget.Held()))
	node.reportLimits(scope)
	node.retryReporter.export(scope, now)
	scope.Gauge("zones_evacuated").Update(float64(len(node.fleet.evacuations())))
	node.reportJudged(scope)
	for state, count := range node.fleet.groupStates() {
		scope.Tagged(map[string]string{"state": state}).Gauge("groups").Update(float64(count))
	}
	if counter, ok := node.Store.(shedkeel.CallCounter); ok {
		for call, count := range counter.Calls() {
			scope.Tagged(map[string]string{"call": string(call)}).Gauge("store_calls").Update(float64(count))
		}
	}
}

// reportJudged exports how many digests and parts of prompts are quarantined and contained.
func (node *Node) reportJudged(scope tally.Scope) {
	requests := map[string]int{shedkeel.Quarantined.String(): 0, shedkeel.Contained.String(): 0}
	parts := maps.Clone(requests)
	for _, blame := range node.guard.judgedSubjects() {
		if blame.Part != "" {
			parts[blame.Judgment]++
		} else {
			requests[blame.Judgment]++
		}
	}
	for judgment := range requests {
		tagged := scope.Tagged(map[string]string{"judgment": judgment})
		tagged.Gauge("requests_judged").Update(float64(requests[judgment]))
		tagged.Gauge("parts_judged").Update(float64(parts[judgment]))
	}
}

// reportLimits exports how many servers limit their rate, back off, or drain according to
// their answers, and how many permits of limited servers this node granted and refused.
func (node *Node) reportLimits(scope tally.Scope) {
	limited := node.limits.dump()
	var granted, refused int64
	for _, limit := range limited {
		granted += limit.Granted
		refused += limit.Refused
	}
	scope.Gauge("servers_limited").Update(float64(len(limited)))
	backingOff, draining := node.table.Conditions(node.Timers.Now())
	scope.Gauge("servers_backing_off").Update(float64(backingOff))
	scope.Gauge("servers_draining_by_answers").Update(float64(draining))
	scope.Gauge("permits_granted").Update(float64(granted))
	scope.Gauge("permits_refused").Update(float64(refused))
}

// headlessState is the reported state of a group whose head is not listed, or whose head
// states none of the states that groupStates knows.
const headlessState = "headless"

// groupStates counts the replica groups by the state of their heads, or as headlessState.
// Every state that it knows has an entry, also if the count is 0.
func (fleet *fleet) groupStates() map[string]int {
	counts := map[string]int{headlessState: 0}
	for _, state := range []shedkeel.MemberState{shedkeel.MemberJoining, shedkeel.MemberReady, shedkeel.MemberOpen, shedkeel.MemberClosing, shedkeel.MemberBroken} {
		counts[string(state)] = 0
	}
	fleet.mutex.Lock()
	groups := formation.Groups(fleet.sortedInstances())
	fleet.mutex.Unlock()
	for _, group := range groups {
		state := string(group.State)
		if _, known := counts[state]; !known {
			state = headlessState
		}
		counts[state]++
	}
	return counts
}
