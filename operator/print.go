package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/keeper"
	"shedkeel.org/shedkeel/node"
)

// PrintStatus prints the state of the fleet, as a keeper or node reports it, as text and
// tables.
func PrintStatus(writer io.Writer, status Either[keeper.Status, node.Dump]) {
	if status.Node != nil {
		printNodeStatus(writer, status.Node)
		return
	}
	printKeeperStatus(writer, status.Keeper)
}

// printKeeperStatus prints a keeper's status.
func printKeeperStatus(writer io.Writer, status *keeper.Status) {
	counts := map[string]int{}
	for _, group := range status.Groups {
		counts[group.State]++
	}
	_, _ = fmt.Fprintf(writer, "configuration %d, seen by %s\n", status.Generation, status.Node)
	_, _ = fmt.Fprintf(writer, "groups: %d whole, %d short, %d loading, %d draining\n", counts["whole"], counts["short"], counts["loading"], counts["draining"])
	if status.BoxesKnown {
		_, _ = fmt.Fprintf(writer, "stranded accelerators: %d\n", status.StrandedAccelerators)
	} else {
		_, _ = fmt.Fprintln(writer, "stranded accelerators: unknown here; ask a keeper that reads the box list")
	}
	if status.StoreUnavailable {
		_, _ = fmt.Fprintln(writer, "the key-value service does not answer: nothing new can be agreed")
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nGROUP\tSERVICE\tZONE\tDOMAIN\tEPOCH\tSTATE\tDOWN\tMEMBERS\tREASON")
	for _, group := range status.Groups {
		boxes := make([]string, len(group.Group.Members))
		for index, member := range group.Group.Members {
			boxes[index] = string(member.Box)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", group.Group.ID, group.Group.Service, group.Zone,
			cmp.Or(string(group.Group.Domain), "(several)"), group.Group.Epoch, group.State, status.DownFor[group.Group.ID], strings.Join(boxes, ","), group.Reason)
	}
	_, _ = fmt.Fprintln(table, "\nNODE\tZONE\tENTRY\tCONFIGURATION\tSTATE")
	for _, node := range status.Nodes {
		state := "serving"
		if node.Stopping {
			state = "stopping"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", node.ID, node.Zone, node.Entry, node.Config, state)
	}
	_ = table.Flush()
}

// PrintExplanation prints the reasons for a group's state.
func PrintExplanation(writer io.Writer, explanation Either[keeper.Explanation, node.Explanation]) {
	if explanation.Node != nil {
		printNodeExplanation(writer, explanation.Node)
		return
	}
	printKeeperExplanation(writer, explanation.Keeper)
}

// printKeeperExplanation prints a keeper's explanation of a group.
func printKeeperExplanation(writer io.Writer, explanation *keeper.Explanation) {
	group := explanation.Group
	_, _ = fmt.Fprintf(writer, "group %s of %s at epoch %d is %s", group.Group.ID, group.Group.Service, group.Group.Epoch, cmp.Or(group.State, "gone"))
	if group.Reason != "" {
		_, _ = fmt.Fprintf(writer, ": %s", group.Reason)
	}
	_, _ = fmt.Fprintf(writer, "\nplanned by %s\n", cmp.Or(explanation.Planner, "nobody"))
	for _, finding := range explanation.Findings {
		_, _ = fmt.Fprintln(writer, "found by "+finding)
	}
	for _, decision := range explanation.Decisions {
		_, _ = fmt.Fprintf(writer, "decided: %s %s: %s\n", decision.Action, decision.Box, decision.Reason)
	}
}

// PrintRequest prints what an entry or a node recorded about a request.
func PrintRequest(writer io.Writer, report RequestReport) {
	if report.Entry == nil {
		_ = PrintTrace(writer, report.Lines)
		return
	}
	record := report.Entry
	_, _ = fmt.Fprintf(writer, "request %s of account %s to %s took %s: %s\n", record.ID, record.Account, record.Service, record.Took, record.Result)
	for number, try := range record.Tries {
		_, _ = fmt.Fprintf(writer, "try %d: server %s with load %d: %s\n", number+1, try.Server, try.Load, try.Result)
	}
}

// Diff returns the differences between two configurations, one text for each added (+),
// removed (-) or changed (~) service, account or drain, and for a changed number of entry
// boxes or policy. The text of a changed service or account has three lines: its name, its
// old form and its new form. Generations and nonces are not compared.
func Diff(from, to shedkeel.Config) []string {
	var lines []string
	if from.EntryBoxes != to.EntryBoxes {
		lines = append(lines, fmt.Sprintf("~ entry_boxes %d -> %d", from.EntryBoxes, to.EntryBoxes))
	}
	if from.Policy != to.Policy {
		lines = append(lines, fmt.Sprintf("~ policy %q -> %q", from.Policy.Name, to.Policy.Name))
	}
	lines = append(lines, diffNamed("service", textsByName(from.Services, func(service shedkeel.Service) string { return string(service.ID) }),
		textsByName(to.Services, func(service shedkeel.Service) string { return string(service.ID) }))...)
	lines = append(lines, diffNamed("account", textsByName(from.Accounts, func(account shedkeel.Account) string { return string(account.ID) }),
		textsByName(to.Accounts, func(account shedkeel.Account) string { return string(account.ID) }))...)
	return append(lines, diffNamed("drain", textsByName(from.Drains, func(box shedkeel.BoxID) string { return string(box) }),
		textsByName(to.Drains, func(box shedkeel.BoxID) string { return string(box) }))...)
}

// textsByName maps the name of each item to its printed form.
func textsByName[Item any](items []Item, name func(Item) string) map[string]string {
	texts := map[string]string{}
	for _, item := range items {
		texts[name(item)] = fmt.Sprintf("%+v", item)
	}
	return texts
}

// diffNamed returns the differences between two maps, from the names to the printed forms
// of items of a kind, in order of name.
func diffNamed(kind string, from, to map[string]string) []string {
	names := slices.Concat(slices.Collect(maps.Keys(from)), slices.Collect(maps.Keys(to)))
	slices.Sort(names)
	var lines []string
	for _, name := range slices.Compact(names) {
		before, had := from[name]
		after, has := to[name]
		switch {
		case !had:
			lines = append(lines, "+ "+kind+" "+name)
		case !has:
			lines = append(lines, "- "+kind+" "+name)
		case before != after:
			lines = append(lines, "~ "+kind+" "+name+"\n    "+before+"\n    "+after)
		}
	}
	return lines
}
