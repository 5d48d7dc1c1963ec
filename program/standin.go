package program

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// Standin runs the program shedkeel-standin, for tests and the demo.
func Standin() {
	run(&cli.Command{
		Name:  "shedkeel-standin",
		Usage: "run stand-ins for the systems that shedkeel depends on (tests and demo only)",
		Commands: []*cli.Command{
			{Name: "store", Usage: "run a key-value service", Flags: []cli.Flag{listenFlag()}, Action: runStoreStandin},
			{Name: "boxes", Usage: "run a box list from a JSON file of boxes", ArgsUsage: "FILE", Flags: []cli.Flag{
				listenFlag(), &cli.DurationFlag{Name: "lag", Usage: "delay until a change is visible"},
			}, Action: runBoxListStandin},
			{Name: "engine", Usage: "run model engines, one on each address", ArgsUsage: "ADDRESS...", Flags: []cli.Flag{
				&cli.DurationFlag{Name: "load", Value: 300 * time.Millisecond, Usage: "time to load weights"},
				&cli.DurationFlag{Name: "join", Value: 50 * time.Millisecond, Usage: "time to join a group"},
				&cli.DurationFlag{Name: "token", Value: 5 * time.Millisecond, Usage: "time between tokens"},
				&cli.DurationFlag{Name: "lag", Usage: "minimum time between updates of the reported load"},
				&cli.IntFlag{Name: "slots", Value: 64, Usage: "requests that run at once"},
				&cli.IntFlag{Name: "weights", Value: 8, Usage: "loads that the weight store serves at once"},
				&cli.BoolFlag{Name: "unfenced", Usage: "accept orders with an outdated planner epoch"},
			}, Action: runEngineStandins},
			{Name: "plain", Usage: "run a plain service", Flags: []cli.Flag{
				listenFlag(), &cli.DurationFlag{Name: "run", Usage: "how long a call runs"},
			}, Action: runPlainStandin},
			{Name: "relay", Usage: "forward connections, until a fault set through the control address cuts them", Flags: []cli.Flag{
				listenFlag(), &cli.StringFlag{Name: "to", Required: true}, &cli.StringFlag{Name: "control", Required: true},
			}, Action: runRelay},
			{Name: "call", Usage: "make one HTTP call and print the answer", ArgsUsage: "METHOD URL [BODY]", Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "header", Aliases: []string{"H"}, Usage: "`NAME: VALUE`"},
				&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second},
			}, Action: makeCall},
		},
	})
}

// listenFlag returns the flag for the address to serve on.
func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` to serve on"}
}

// serveUntil serves each handler on its address until the context ends. It returns an error
// if an address cannot be listened on.
func serveUntil(ctx context.Context, handlers map[string]http.Handler) error {
	for address, handler := range handlers {
		listener, err := listen("--listen", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
	}
	<-ctx.Done()
	return nil
}

// runStoreStandin serves a stand-in key-value service.
func runStoreStandin(ctx context.Context, command *cli.Command) error {
	return serveUntil(ctx, map[string]http.Handler{command.String("listen"): (&platformstandin.Store{Data: standin.NewStore()}).Handler()})
}

// runBoxListStandin serves a box list read from a JSON file.
func runBoxListStandin(ctx context.Context, command *cli.Command) error {
	path, err := argument(command)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var boxes []shedkeel.Box
	if err := json.Unmarshal(text, &boxes); err != nil {
		return err
	}
	list := &standin.BoxList{Lag: command.Duration("lag"), Boxes: boxes}
	return serveUntil(ctx, map[string]http.Handler{command.String("listen"): list.Handler()})
}

// runEngineStandins serves a stand-in engine on each address. The engines share one weight
// store, which serves up to --weights loads at once, but at least one.
func runEngineStandins(ctx context.Context, command *cli.Command) error {
	weights := make(chan struct{}, max(command.Int("weights"), 1))
	handlers := map[string]http.Handler{}
	for _, address := range command.Args().Slice() {
		engine := &standin.Engine{
			LoadTime: command.Duration("load"), JoinTime: command.Duration("join"), TokenTime: command.Duration("token"),
			ReportInterval: command.Duration("lag"), Slots: command.Int("slots"), Unfenced: command.Bool("unfenced"), WeightStoreSlots: weights,
			BootPrefix: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
		}
		engine.Init()
		handlers[address] = engine.Handler()
	}
	return serveUntil(ctx, handlers)
}

// runPlainStandin serves a stand-in plain service.
func runPlainStandin(ctx context.Context, command *cli.Command) error {
	plain := &standin.Plain{RunTime: command.Duration("run")}
	return serveUntil(ctx, map[string]http.Handler{command.String("listen"): plain.Handler()})
}

// runRelay runs a TCP relay, and the HTTP interface that sets its faults.
func runRelay(ctx context.Context, command *cli.Command) error {
	relay := &standin.Relay{To: command.String("to")}
	listener, err := listen("--listen", command.String("listen"))
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	go relay.Run(listener)
	return serveUntil(ctx, map[string]http.Handler{command.String("control"): relay.Control()})
}

// makeCall makes one HTTP call and prints the answer's status, its Shedkeel-Outcome header,
// its Retry-After header if it has one, and its body. It returns an error if no complete
// answer arrives within --timeout.
func makeCall(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	arguments := command.Args()
	request, err := http.NewRequestWithContext(ctx, arguments.Get(0), arguments.Get(1), strings.NewReader(arguments.Get(2)))
	if err != nil {
		return err
	}
	for _, header := range command.StringSlice("header") {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Add(name, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = fmt.Printf("%d %s", response.StatusCode, response.Header.Get("Shedkeel-Outcome"))
	if after := response.Header.Get("Retry-After"); after != "" {
		_, _ = fmt.Printf(" retry-after=%s", after)
	}
	_, _ = fmt.Println()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("response body is incomplete: %w", err)
	}
	return nil
}
