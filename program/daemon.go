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
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
)

// Exit codes of all programs.
const (
	exitFailed  = 1
	exitInvalid = 2
)

// run runs a command line until it ends or the process receives SIGINT or SIGTERM. If
// the command fails, run exits with the error's code.
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

// daemonFlags returns the flags that all daemons have.
func daemonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "TOML `FILE` of settings; docs/OPERATIONS.md lists its keys"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
}

// daemon holds the settings and log that the daemons share.
type daemon struct {
	settings config.Settings
	log      *event.Log
}

// begin reads the settings and opens the log. It returns false if the command only
// checks the settings.
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
	daemon.log = &event.Log{Logger: log.Logger.With(slog.String("process", command.Name), slog.String("node", string(settings.Node)))}
	if command.Bool("check") {
		_, _ = fmt.Fprintln(command.Root().Writer, "settings are valid")
		return false, nil
	}
	return true, nil
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

// finish logs the end of the process, with a stack trace if it failed, and returns the
// error.
func (daemon *daemon) finish(err error) error {
	if err != nil {
		err = merry.Wrap(err) // adds a stack trace for the log
		daemon.log.Write(event.Failed, slog.String("error", err.Error()), slog.String("stack", merry.Stacktrace(err)))
		return err
	}
	daemon.log.Write(event.Stopped)
	return nil
}
