package program

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/node"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/timer"
)

const (
	// storeTimeout bounds one call to the key-value service, which answers in
	// 4 ms at rest and in some 300 ms when it is slow.
	storeTimeout = 700 * time.Millisecond
	// watchMargin is how much later than it should a watch may answer: the
	// service adds some 280 ms when it is slow.
	watchMargin = 400 * time.Millisecond
	// orderTimeout bounds a report or an order, which engines answer in
	// milliseconds.
	orderTimeout = 300 * time.Millisecond
	// backendDial bounds a connection to a backend server: within a region it
	// stands in milliseconds.
	backendDial = 250 * time.Millisecond
	// backendIdle is how long a connection to a backend server rests before
	// it is closed.
	backendIdle = 4 * time.Second
)

// Node is the program shedkeel-node.
func Node() {
	run(&cli.Command{
		Name:                  "shedkeel-node",
		Usage:                 "serve callers and control replica groups on an entry box whose platform keeps what must last",
		Flags:                 daemonFlags(),
		EnableShellCompletion: true,
		Action:                runNode,
	})
}

func runNode(ctx context.Context, command *cli.Command) error {
	hangups := catchHangups()
	settings, err := config.ReadNodeSettings(command.String("settings"))
	if err != nil {
		return err
	}
	if command.Bool("check") {
		_, err := fmt.Fprintln(command.Root().Writer, "settings are valid")
		return err
	}
	log, err := event.NewBoundedLog(os.Stdout, settings.Log.Level)
	if err != nil {
		return err
	}
	defer log.Close()
	log = log.With(slog.String("node", string(settings.Node)))
	listeners, err := listenNode(settings)
	if err != nil {
		return err
	}
	values := metrics.New("shedkeel_node")
	defer values.Close()
	transport := &engine.Transport{DialTimeout: backendDial, IdleTimeout: backendIdle}
	defer transport.Close()
	seed := rand.Uint64()
	process := &node.Node{
		Settings: settings, Incarnation: shedkeel.NewIncarnation(time.Now()),
		Store: &platform.Store{Address: settings.Store, Timeout: storeTimeout, WatchMargin: watchMargin, Client: plainClient(4),
			Malformed: func(err error) { log.Write(event.StoreEraBad, slog.String("error", err.Error())) }},
		Decoder:  platform.Decoder{},
		Protocol: platform.Callers{},
		Backend:  transport,
		Check:    transport,
		Engines:  &platform.Engines{Timeout: orderTimeout, Client: plainClient(1)},
		Timers:   &timer.System{},
		Random:   rand.NewPCG(seed, seed),
		Log:      log,
		Metrics:  values,
	}
	process.Prepare()
	reload := &reloader{hangups: hangups, path: command.String("settings"), process: process, log: log}
	go reload.run(ctx)
	faces := node.Faces{
		Directory: &platform.Directory{Addresses: process.Addresses, Keep: min(node.DirectoryKeep, time.Duration(settings.Bounds.Directory))},
		Readiness: &platform.Readiness{Ready: process.Ready},
	}
	daemon := &daemon{log: log}
	return daemon.finish(process.Run(ctx, listeners, faces))
}

// catchHangups takes hangups in from before the settings are read until the process
// is gone. The system's own action ends a process: one that stopped as planned was
// ended by it in the middle of answers, 2.7 s into its grace time.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1) // one that waits stands for all since
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloader reads the settings again on SIGHUP.
type reloader struct {
	hangups <-chan os.Signal
	path    string
	process *node.Node
	log     *event.Log
}

func (reloader *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloader.hangups:
		}
		settings, err := config.ReadNodeSettings(reloader.path)
		if err != nil {
			reloader.log.Write(event.ReloadFailed, slog.String("error", err.Error()))
			continue
		}
		reloader.process.Reload(settings)
	}
}

// plainClient is a client that keeps so many connections to each server.
func plainClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, IdleConnTimeout: backendIdle, DisableCompression: true}}
}

func listenNode(settings config.NodeSettings) (node.Listeners, error) {
	var listeners node.Listeners
	var err error
	if listeners.Callers, err = listen("listen.callers", settings.Listen.Callers); err != nil {
		return listeners, err
	}
	if listeners.Directory, err = listen("listen.directory", settings.Listen.Directory); err != nil {
		return listeners, err
	}
	if listeners.Readiness, err = listen("listen.readiness", settings.Listen.Readiness); err != nil {
		return listeners, err
	}
	if listeners.Control, err = listen("listen.control", settings.Listen.Control); err != nil {
		return listeners, err
	}
	if listeners.Gossip, err = listenDatagrams("listen.gossip", settings.Listen.Gossip); err != nil {
		return listeners, err
	}
	if settings.Listen.Metrics == "" {
		return listeners, nil
	}
	listeners.Metrics, err = listen("listen.metrics", settings.Listen.Metrics)
	return listeners, err
}
