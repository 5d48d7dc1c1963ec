package program

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/entry"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/timer"
)

// Entry runs the program shedkeel-entry.
func Entry() {
	run(&cli.Command{
		Name:                  "shedkeel-entry",
		Usage:                 "serve callers on an entry box",
		Flags:                 daemonFlags(),
		EnableShellCompletion: true,
		Action:                runEntry,
	})
}

// runEntry reads the settings and runs an entry until ctx ends. With --check it only checks
// the settings.
func runEntry(ctx context.Context, command *cli.Command) error {
	daemon := &daemon{}
	proceed, err := daemon.begin(command)
	if err != nil || !proceed {
		return err
	}
	callers, err := listen("entry.listen", daemon.settings.Entry.Listen)
	if err != nil {
		return err
	}
	admin, err := listen("entry.admin", daemon.settings.Entry.Admin)
	if err != nil {
		return err
	}
	values := metrics.New("shedkeel_entry")
	defer values.Close()
	transport := &engine.Transport{}
	defer transport.Close()
	seed := rand.Uint64()
	process := &entry.Entry{
		Settings:     daemon.settings,
		Incarnation:  shedkeel.NewIncarnation(time.Now()),
		Backend:      transport,
		Timers:       &timer.System{},
		Random:       rand.NewPCG(seed, seed),
		Log:          daemon.log,
		Metrics:      values,
		NewAttemptID: shedkeel.NewNonce,
	}
	daemon.log.Write(event.Started)
	return daemon.finish(process.Run(ctx, entry.Listeners{Callers: callers, Admin: admin}))
}
