package program

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/keeper"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/strict"
	"shedkeel.org/shedkeel/timer"
)

// Keeper runs the program shedkeel-keeper.
func Keeper() {
	run(&cli.Command{
		Name:                  "shedkeel-keeper",
		Usage:                 "control replica groups from an entry box",
		Flags:                 daemonFlags(),
		EnableShellCompletion: true,
		Action:                runKeeper,
	})
}

// runKeeper reads the settings and runs a keeper until ctx ends. With --check it only
// checks the settings.
func runKeeper(ctx context.Context, command *cli.Command) error {
	daemon := &daemon{}
	proceed, err := daemon.begin(command)
	if err != nil || !proceed {
		return err
	}
	wireListener, err := listen("wire.listen", daemon.settings.Wire.Listen)
	if err != nil {
		return err
	}
	operators, err := listen("keeper.operator", daemon.settings.Keeper.Operator)
	if err != nil {
		return err
	}
	values := metrics.New("shedkeel_keeper")
	defer values.Close()
	timing := daemon.settings.Timing
	client := &http.Client{Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
	process := &keeper.Keeper{
		Settings: daemon.settings,
		Store:    &platform.Store{Address: daemon.settings.Platform.Store, Timeout: time.Duration(timing.StoreCall), Client: client},
		BoxList:  &platform.BoxList{Address: daemon.settings.Platform.BoxList, Timeout: time.Duration(timing.StoreCall), Client: client},
		Engines:  engine.NewControl(time.Duration(timing.OrderLife)),
		Timers:   &timer.System{},
		Log:      daemon.log,
		Metrics:  values,
		Now:      time.Now,
	}
	daemon.log.Write(event.Started)
	return daemon.finish(process.Run(ctx, keeper.Listeners{Wire: wireListener, Operator: operators}))
}
