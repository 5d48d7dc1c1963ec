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
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/reach"
	"shedkeel.org/shedkeel/strict"
	"shedkeel.org/shedkeel/timer"
)

const (
	// storeTimeout is the Timeout of calls to the key-value service, which answers in 4 ms
	// when idle and in about 300 ms when it is slow. Twice the slow time still fits.
	storeTimeout = 700 * time.Millisecond
	// watchMargin is how long after the end of its wait a watch may answer. A slow
	// service answers about 280 ms after the wait, which must not count as a failure.
	watchMargin = 400 * time.Millisecond
	// orderTimeout bounds a call for a load report and an order. Engines answer both
	// within milliseconds, so the bound leaves a wide margin.
	orderTimeout = 300 * time.Millisecond
	// backendDialTimeout bounds the dial to a backend server. A dial takes milliseconds
	// within a region, so the bound leaves a wide margin.
	backendDialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection to a backend server, an engine or the
	// key-value service is kept open.
	idleTimeout = 4 * time.Second
	// maxIdleStore is the number of idle connections to the key-value service that are kept.
	maxIdleStore = 4
)

// Node runs the program shedkeel-node.
func Node() {
	run(&cli.Command{
		Name:                  "shedkeel-node",
		Usage:                 "serve callers and control replica groups on an entry box, with durable state in the platform's key-value service",
		Flags:                 daemonFlags(),
		EnableShellCompletion: true,
		Action:                runNode,
	})
}

// runNode reads the settings and runs a node until ctx ends. It reloads the settings on
// SIGHUP. With --check it only checks the settings.
func runNode(ctx context.Context, command *cli.Command) error {
	hangups := notifyHangups()
	settings, err := config.ReadNodeSettings(command.String("settings"))
	if err != nil {
		return err
	}
	if command.Bool("check") {
		_, err := fmt.Fprintln(command.Root().Writer, "settings are valid")
		return err
	}
	limitMemory(settings.Limits.Box())
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
	timers := &timer.System{}
	dialer := &reach.Dialer{Timers: timers, Timeout: backendDialTimeout}
	transport := &engine.Transport{Dialer: dialer, Paths: dialer, IdleTimeout: idleTimeout}
	defer transport.Close()
	reports := &engine.Transport{Dialer: dialer, Paths: dialer, IdleTimeout: idleTimeout, MaxIdle: 1}
	defer reports.Close()
	checks := &engine.CheckTransport{Dialer: dialer, Paths: dialer, DialTimeout: backendDialTimeout}
	defer checks.Close()
	messages := &quota.Room{Limit: quota.NewPlan(settings.Limits.Box()).Messages}
	seed := rand.Uint64()
	process := &node.Node{
		Settings: settings, Incarnation: shedkeel.NewIncarnation(time.Now()),
		Store: &platform.Store{Address: settings.Store, Timeout: storeTimeout, WatchMargin: watchMargin, Client: newHTTPClient(),
			OnMalformedEra: func(err error) { log.Write(event.StoreEraInvalid, slog.String("error", err.Error())) }},
		Decoder:  platform.Decoder{},
		Protocol: platform.HeaderCodec{},
		Backend:  transport,
		Check:    dialer,
		Health:   &platform.HealthClient{Transport: checks, Requests: transport},
		Engines:  &platform.EngineClient{Timeout: orderTimeout, Client: &http.Client{Transport: reports}, Room: messages},
		Messages: messages,
		Dialer:   dialer,
		Timers:   timers,
		Random:   rand.NewPCG(seed, seed),
		Log:      log,
		Metrics:  values,
	}
	process.Prepare()
	reload := &reloader{hangups: hangups, path: command.String("settings"), process: process, log: log}
	go reload.run(ctx)
	handlers := node.Handlers{
		Directory: &platform.Directory{Addresses: process.Addresses, TTL: min(node.DirectoryKeep, time.Duration(settings.Bounds.Directory))},
		Readiness: &platform.Readiness{Ready: process.Ready},
	}
	daemon := &daemon{log: log}
	return daemon.finish(process.Run(ctx, listeners, handlers))
}

// notifyHangups returns a channel that receives SIGHUP. The default action of SIGHUP ends
// the process. runNode therefore calls notifyHangups before it reads the settings, and
// nothing restores the default action while the node stops: a SIGHUP 2.7 s into the grace
// period of a planned stop once ended a node that was still sending answers.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: a reload reads the latest settings
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloader reads the settings again on SIGHUP and passes them to the node.
type reloader struct {
	hangups <-chan os.Signal
	path    string
	process *node.Node
	log     *event.Log
}

// run reloads the settings on each SIGHUP until ctx ends. If the settings are invalid, run
// logs the error and the node keeps its previous settings.
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

// newHTTPClient returns an HTTP client for the key-value service that keeps idle connections for
// idleTimeout, and does not ask for compressed answers.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleStore, IdleConnTimeout: idleTimeout, DisableCompression: true})}
}

// listenNode opens the sockets that the settings name: UDP for gossip, TCP for the others.
// The metrics socket is optional.
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
