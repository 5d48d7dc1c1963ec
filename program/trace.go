package program

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/operator"
)

// traceLogs prints the events about one request or group, from log files and running
// nodes. It returns an InvalidError if the command does not name either a request or a
// group, or if no event is about the one that the command names.
func traceLogs(ctx context.Context, command *cli.Command) error {
	trace := &operator.Trace{Request: command.String("request"), Group: command.String("group")}
	if (trace.Request == "") == (trace.Group == "") {
		return &shedkeel.InvalidError{Where: command.Name, What: "it needs either --request or --group", Remedy: "give one of them"}
	}
	if err := readLogs(command, trace); err != nil {
		return err
	}
	if err := askNodes(ctx, command, trace); err != nil {
		return err
	}
	lines, err := trace.Lines()
	if err != nil {
		return err
	}
	if skipped := trace.Skipped(); skipped > 0 {
		_, _ = fmt.Fprintf(command.Root().ErrWriter, "%d lines are not events and were skipped\n", skipped)
	}
	if command.Bool("json") {
		return printJSON(command, lines)
	}
	return operator.PrintTrace(command.Root().Writer, lines)
}

// askNodes adds the latest events of the named nodes. If a node does not answer or knows
// nothing about the request or group, askNodes prints the error on standard error and goes
// on to the next node.
func askNodes(ctx context.Context, command *cli.Command, trace *operator.Trace) error {
	for _, address := range command.StringSlice("node") {
		client, err := newOperatorClient(command)
		if err != nil {
			return err
		}
		client.Address = address
		if err := client.Trace(ctx, trace); err != nil {
			_, _ = fmt.Fprintf(command.Root().ErrWriter, "%s: %s\n", address, err)
		}
	}
	return nil
}

// readLogs reads the named files, or standard input if the command names neither files
// nor nodes.
func readLogs(command *cli.Command, trace *operator.Trace) error {
	if command.Args().Len() == 0 && len(command.StringSlice("node")) > 0 {
		return nil
	}
	if command.Args().Len() == 0 {
		return trace.Read(os.Stdin)
	}
	for _, path := range command.Args().Slice() {
		file, err := os.Open(path)
		if err != nil {
			return &shedkeel.InvalidError{Where: path, What: err.Error(), Remedy: "name a file that can be read"}
		}
		err = trace.Read(file)
		_ = file.Close() // the file was only read
		if err != nil {
			return err
		}
	}
	return nil
}
