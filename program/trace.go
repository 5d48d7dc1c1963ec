package program

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/operator"
)

// traceLogs prints what logs tell of one request or group.
func traceLogs(_ context.Context, command *cli.Command) error {
	trace := &operator.Trace{Request: command.String("request"), Group: command.String("group")}
	if (trace.Request == "") == (trace.Group == "") {
		return &shedkeel.InvalidError{Where: command.Name, What: "it needs one of --request and --group", Remedy: "give one"}
	}
	if err := readLogs(command, trace); err != nil {
		return err
	}
	lines, err := trace.Lines()
	if err != nil {
		return err
	}
	if passed := trace.Passed(); passed > 0 {
		_, _ = fmt.Fprintf(command.Root().ErrWriter, "%d lines are no events and were passed over\n", passed)
	}
	if command.Bool("json") {
		return printJSON(command, lines)
	}
	return operator.PrintTrace(command.Root().Writer, lines)
}

// readLogs reads the named files, or standard input if none is named.
func readLogs(command *cli.Command, trace *operator.Trace) error {
	if command.Args().Len() == 0 {
		return trace.Read(os.Stdin)
	}
	for _, path := range command.Args().Slice() {
		file, err := os.Open(path)
		if err != nil {
			return &shedkeel.InvalidError{Where: path, What: err.Error(), Remedy: "name a file that can be read"}
		}
		err = trace.Read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return nil
}
