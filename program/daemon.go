// Package program implements the command lines of shedkeel's programs. The main
// packages only call it, so that tests can run whole programs.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/quota"
)

// Exit codes of all programs.
const (
	exitFailed  = 1 // failed for a reason without an exit code of its own
	exitInvalid = 2 // invalid input
)

// run runs a command line and cancels its context when the process receives SIGINT or
// SIGTERM. If the command fails, run prints the error and ends the process with the code
// that exitCode returns.
func run(command *cli.Command) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command.Run(ctx, os.Args)
	cancel()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, command.Name+": "+err.Error())
	os.Exit(exitCode(err))
}

// daemonFlags returns the flags of the daemons: keeper, entry and node.
func daemonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "TOML `FILE` of settings; docs/OPERATIONS.md lists its keys"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
}

// daemon is the part that the daemons have in common.
type daemon struct {
	settings config.Settings // of a keeper or entry; a node has config.NodeSettings instead
	log      *event.Log
}

// begin reads the settings of a keeper or entry and opens the log. It returns false if the
// process must end: because of an error, or because the command only checks the settings.
func (daemon *daemon) begin(command *cli.Command) (bool, error) {
	settings, err := config.ReadSettings(command.String("settings"))
	if err != nil {
		return false, err
	}
	log, err := event.NewLog(os.Stderr, settings.Log.Level)
	if err != nil {
		return false, err
	}
	daemon.settings = settings
	limitMemory(settings.Limits.Box())
	daemon.log = &event.Log{Logger: log.Logger.With(slog.String("process", command.Name), slog.String("node", string(settings.Node)))}
	if command.Bool("check") {
		_, _ = fmt.Fprintln(command.Root().Writer, "settings are valid")
		return false, nil
	}
	return true, nil
}

// limitMemory sets the soft limit of the runtime's memory for a process on the box.
func limitMemory(box quota.Box) {
	plan := quota.NewPlan(box)
	debug.SetMemoryLimit(plan.Heap)
}

// listen opens a TCP socket. Its error names the setting.
func listen(setting, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.PrependMessage(setting), merry.AppendMessage("free the address or change the setting"))
	}
	return listener, nil
}

// listenDatagrams opens a UDP socket. Its error names the setting.
func listenDatagrams(setting, address string) (net.PacketConn, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.PrependMessage(setting), merry.AppendMessage("free the address or change the setting"))
	}
	return conn, nil
}

// finish logs the end of the process, with the error and a stack trace if err is not nil,
// and returns the error.
func (daemon *daemon) finish(err error) error {
	if err != nil {
		err = merry.Wrap(err) // adds a stack trace for the log
		daemon.log.Write(event.Failed, slog.String("error", err.Error()), slog.String("stack", merry.Stacktrace(err)))
		return err
	}
	daemon.log.Write(event.Stopped)
	return nil
}
