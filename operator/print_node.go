package operator

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/node"
)

// printNodeStatus prints a node's status.
func printNodeStatus(writer io.Writer, status *node.Dump) {
	states := map[shedkeel.MemberState]int{}
	for _, group := range status.Groups {
		states[group.State]++
	}
	_, _ = fmt.Fprintf(writer, "configuration %d, seen by node %s; its copy of the store is %s old\n", status.Config, status.Node, status.Age)
	_, _ = fmt.Fprintf(writer, "groups: %d open, %d forming, %d closing or broken, %d without a listed head\n", states[shedkeel.MemberOpen],
		states[shedkeel.MemberJoining]+states[shedkeel.MemberReady], states[shedkeel.MemberClosing]+states[shedkeel.MemberBroken], states[""])
	_, _ = fmt.Fprintf(writer, "%d nodes, planned by %s\n", len(status.Nodes), cmp.Or(string(status.Leader), "nobody"))
	switch {
	case status.Reach.NoPath:
		_, _ = fmt.Fprintf(writer, "node %s reaches no backend server, nor do other nodes for it: it refuses requests\n", status.Node)
	case status.Reach.CutOff:
		_, _ = fmt.Fprintf(writer, "node %s reaches backend servers through other nodes: %d out of its own reach, the last one heard %s ago\n", status.Node, status.Reach.Unreachable, cmp.Or(status.Reach.Heard, "never"))
	}
	if status.Isolated {
		_, _ = fmt.Fprintf(writer, "node %s hears no other node and no answer of the store: it judges nobody\n", status.Node)
	}
	for _, excluded := range status.ExcludedNodes {
		_, _ = fmt.Fprintf(writer, "callers are not sent to %s: %s\n", excluded.Node, excluded.Reason)
	}
	for _, blamed := range status.BlamedRequests {
		printBlamed(writer, status.Node, blamed)
	}
	for _, model := range status.Models {
		printModel(writer, model)
	}
	for _, overload := range status.Overload {
		printOverload(writer, overload)
	}
	for _, evacuation := range status.Evacuated {
		_, _ = fmt.Fprintf(writer, "zone %s is evacuated: its %d listed servers get no requests\n", evacuation.Zone, evacuation.Servers)
	}
	for _, limit := range status.Limited {
		reason := "known for " + limit.For
		if limit.Cold != "" {
			reason = "cold for " + limit.Cold + " more"
		}
		_, _ = fmt.Fprintf(writer, "server %s takes %g requests a second, %s; node %s grants them", limit.Server, limit.Rate, reason, cmp.Or(string(limit.Granter), "unknown"))
		if limit.Granter == status.Node {
			_, _ = fmt.Fprintf(writer, ": %d granted, %d refused", limit.Granted, limit.Refused)
		}
		_, _ = fmt.Fprintln(writer)
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nGROUP\tMODEL\tEPOCH\tHEAD\tMEMBERS")
	for _, group := range status.Groups {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", group.Group, group.Model, group.Epoch, cmp.Or(string(group.State), "not listed"), joinNames(group.Members))
	}
	_, _ = fmt.Fprintln(table, "\nSERVER IN NO GROUP\tSERVICE\tSTATE\tWEIGHTS ON ITS HOST")
	for _, server := range status.Servers {
		state := "ready"
		if server.Draining {
			state = "draining"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", server.Server, server.Service, state, cmp.Or(joinNames(server.Staged), "-"))
	}
	_ = table.Flush()
}

// printBlamed prints what is held against a request or a part of prompts, and how to release it.
func printBlamed(writer io.Writer, observer shedkeel.NodeID, blamed node.BlameDump) {
	name, release := "request "+string(blamed.Request), "shedkeel release --store ADDRESS "+string(blamed.Request)
	if blamed.Part != "" {
		name = fmt.Sprintf("part %s of prompts for model %s", blamed.Part, blamed.Model)
		release = fmt.Sprintf("shedkeel release --store ADDRESS --model %s %s", blamed.Model, blamed.Part)
	}
	_, _ = fmt.Fprintf(writer, "%s is %s: servers ended under it: %s\n", name, blamed.Judgment, joinNames(blamed.Servers))
	if !blamed.Since.IsZero() {
		_, _ = fmt.Fprintf(writer, "  since %s\n", blamed.Since.UTC().Format(time.RFC3339))
	}
	if blamed.Refused > 0 {
		_, _ = fmt.Fprintf(writer, "  node %s has refused %d requests for it; client accounts: %s\n", observer, blamed.Refused, cmp.Or(joinNames(blamed.RefusedAccounts), "none"))
	}
	if blamed.Recorded {
		_, _ = fmt.Fprintf(writer, "  to let it go: %s\n", release)
	}
}

// joinNames joins names with commas.
func joinNames[Name ~string](names []Name) string {
	texts := make([]string, len(names))
	for index, name := range names {
		texts[index] = string(name)
	}
	return strings.Join(texts, ",")
}

// printNodeExplanation prints what a node knows about a group: its members, what the
// planner waits for, and the node's latest events about the group.
func printNodeExplanation(writer io.Writer, explanation *node.Explanation) {
	_, _ = fmt.Fprintf(writer, "group %s, seen by node %s; planned by %s\n", explanation.Group, explanation.Node, cmp.Or(string(explanation.Leader), "nobody"))
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nMEMBER\tRANK\tEPOCH\tSTATE\tFOUND")
	for _, member := range explanation.Members {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", member.Server, member.Rank, member.Epoch, member.State, findings(member))
	}
	_ = table.Flush()
	printWaits(writer, explanation.Waits)
	_, _ = fmt.Fprintln(writer)
	trace := &Trace{Group: string(explanation.Group)}
	for _, line := range explanation.Events {
		trace.addLine(string(line))
	}
	lines, err := trace.Lines()
	if err != nil {
		_, _ = fmt.Fprintln(writer, "no event of this node tells of it; ask the node that plans")
		return
	}
	_ = PrintTrace(writer, lines)
}

// printWaits prints a table of what the planner waits for, how long each wait has lasted,
// and how long it should last at most. Without waits it prints nothing.
func printWaits(writer io.Writer, waits []node.WaitDump) {
	if len(waits) == 0 {
		return
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nTHE PLANNER WAITS\tABOUT\tFOR\tAT MOST")
	for _, wait := range waits {
		about := cmp.Or(string(wait.Server), string(wait.Group), "domain "+string(wait.Domain))
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", wait.Reason, about, wait.For, wait.Bound)
	}
	_ = table.Flush()
}

// findings describes the problems found with a member, and returns "-" if there are
// none.
func findings(member node.MemberDump) string {
	var found []string
	if member.Draining {
		found = append(found, "draining")
	}
	if member.Dead {
		found = append(found, "answers no probe")
	}
	if member.Slow > 0 {
		found = append(found, fmt.Sprintf("%.1f times slower than it should be", member.Slow))
	}
	return cmp.Or(strings.Join(found, ", "), "-")
}

// printModel prints how many groups a model has, and why it has fewer than its work needs.
func printModel(writer io.Writer, model node.ModelDump) {
	_, _ = fmt.Fprintf(writer, "model %s of %s: %d groups serve, %d are forming, %d wanted, %d possible, %d of them without a load\n", model.Model, model.Service, model.Standing, model.Forming, model.Wanted, model.Possible, model.Prepared)
	if model.Reason != "" {
		_, _ = fmt.Fprintf(writer, "  for %s: %s\n", model.For, model.Reason)
	}
}

// printOverload prints the admission of requests for a model.
func printOverload(writer io.Writer, overload node.OverloadDump) {
	state := "has capacity"
	if overload.Short {
		state = "is short of capacity"
	}
	_, _ = fmt.Fprintf(writer, "model %s of %s (partition %d) %s: %.0f requests on %.0f slots, limit %.2f of them\n", overload.Model, overload.Service, overload.Partition, state, overload.Running, overload.Slots, overload.Limit)
	if len(overload.Over) > 0 {
		_, _ = fmt.Fprintf(writer, "  accounts over their share: %v\n", overload.Over)
	}
}
