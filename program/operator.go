package program

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/keeper"
	"shedkeel.org/shedkeel/node"
	"shedkeel.org/shedkeel/operator"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/policy"
)

// Exit codes of the operators' client.
const (
	exitConflict    = 3 // another operator was faster
	exitUnknown     = 4 // the outcome of a change is unknown
	exitUnavailable = 5 // the keeper or the key-value service is away
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var invalid *shedkeel.InvalidError
	var conflict *shedkeel.ConflictError
	var unknown *shedkeel.UnknownOutcomeError
	var unavailable *shedkeel.UnavailableError
	var refused *operator.Error
	switch {
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &unavailable):
		return exitUnavailable
	case !errors.As(err, &refused):
		return exitFailed
	}
	switch refused.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return exitInvalid
	case http.StatusConflict:
		return exitConflict
	case http.StatusGatewayTimeout:
		return exitUnknown
	case http.StatusServiceUnavailable:
		return exitUnavailable
	}
	return exitFailed
}

// Operator is the program shedkeel.
func Operator() { run(operatorCommand()) }

func operatorCommand() *cli.Command {
	return &cli.Command{
		Name:                  "shedkeel",
		Usage:                 "operate a shedkeel fleet through any of its keepers or nodes",
		Description:           "Exit codes: 0 done, 1 failed, 2 invalid input, 3 another operator was faster,\n4 outcome unknown, 5 keeper or key-value service away.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "keeper", Usage: "operator `ADDRESS` of a keeper, metrics address of a node, or admin address of an entry for dump and request", Value: "127.0.0.1:7400", Sources: cli.EnvVars("SHEDKEEL_KEEPER")},
			&cli.StringFlag{Name: "key", Usage: "the operators' `KEY`", Sources: cli.EnvVars("SHEDKEEL_KEY")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` to show to keepers with TLS"},
			&cli.StringFlag{Name: "certificate-key", Usage: "PEM `FILE` of its key"},
			&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` of who signed the keepers' certificates"},
		},
		Commands: []*cli.Command{
			{Name: "apply", Usage: "make a document the configuration in force", ArgsUsage: "FILE", Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"},
				&cli.Uint64Flag{Name: "on", Usage: "refuse unless the configuration in force is `GENERATION`"},
			}, Action: apply},
			{Name: "diff", Usage: "show what applying a document would change", ArgsUsage: "FILE", Action: diff},
			{Name: "get", Usage: "print the configuration in force", Action: get},
			{Name: "status", Usage: "show groups, nodes and stranded accelerators", Action: status},
			{Name: "explain", Usage: "tell why a group is as it is", ArgsUsage: "GROUP", Action: explain},
			{Name: "request", Usage: "tell what the entry or node at --keeper decided on a request, by its Shedkeel-Request or its own id", ArgsUsage: "ID", Action: explainRequest},
			{Name: "drain", Usage: "take a box out of service", ArgsUsage: "BOX", Action: drain},
			{Name: "undrain", Usage: "put a box back into service", ArgsUsage: "BOX", Action: undrain},
			{Name: "evacuate", Usage: "have the backend servers of an availability zone get no requests, on the users' platform", ArgsUsage: "ZONE", Flags: []cli.Flag{
				&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's key-value service", Required: true},
				&cli.BoolFlag{Name: "withdraw", Usage: "take the zone back"},
			}, Action: evacuate},
			{Name: "dump", Usage: "print the state of the process at --keeper", Action: dump},
			{Name: "trace", Usage: "tell a request's or a group's story from the logs of nodes", ArgsUsage: "[FILE...]", Flags: []cli.Flag{
				&cli.StringFlag{Name: "request", Usage: "the request's `ID`, as its caller sent it"},
				&cli.StringFlag{Name: "group", Usage: "the replica group's `NAME`"},
				&cli.StringSliceFlag{Name: "node", Usage: "metrics `ADDRESS` of a running node to ask, beside the files; may be repeated"},
			}, Action: traceLogs},
			{Name: "policy", Usage: "work on policies", Commands: []*cli.Command{
				{Name: "check", Usage: "check a policy and show what it would decide", ArgsUsage: "FILE", Flags: []cli.Flag{
					&cli.IntFlag{Name: "members", Value: 8, Usage: "boxes in a group"},
					&cli.IntFlag{Name: "domain-boxes", Value: 32, Usage: "boxes in a fabric domain"},
				}, Action: checkPolicy},
			}},
			{Name: "account", Usage: "work on client accounts", Commands: []*cli.Command{
				{Name: "hash", Usage: "print the key_sha256 of a bearer key", ArgsUsage: "KEY", Action: hashKey},
			}},
		},
	}
}

func clientOf(command *cli.Command) (*operator.Client, error) {
	client := &operator.Client{Keeper: command.String("keeper"), Key: command.String("key")}
	settings := config.TLSSettings{Certificate: command.String("certificate"), Key: command.String("certificate-key"), Authority: command.String("authority")}
	clientTLS, err := settings.Client()
	if err != nil || clientTLS == nil {
		return client, err
	}
	client.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: clientTLS.Certificates, RootCAs: clientTLS.RootCAs,
	}}}
	return client, nil
}

// argument returns the one argument of a command.
func argument(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", &shedkeel.InvalidError{Where: command.Name, What: "it takes one argument", Remedy: "give " + command.ArgsUsage}
	}
	return command.Args().First(), nil
}

func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// change reads a document and what is in force, and returns both with what
// differs.
func change(ctx context.Context, command *cli.Command) (*operator.Client, shedkeel.Config, []string, error) {
	path, err := argument(command)
	if err != nil {
		return nil, shedkeel.Config{}, nil, err
	}
	wanted, err := config.ReadDocument(path)
	if err != nil {
		return nil, wanted, nil, err
	}
	client, err := clientOf(command)
	if err != nil {
		return nil, wanted, nil, err
	}
	inForce, err := client.Config(ctx)
	wanted.Generation = inForce.Generation
	wanted.Drains = inForce.Drains // a document does not speak of drains
	return client, wanted, operator.Diff(inForce, wanted), err
}

func apply(ctx context.Context, command *cli.Command) error {
	client, wanted, changes, err := change(ctx, command)
	if err != nil {
		return err
	}
	if on := command.Uint64("on"); command.IsSet("on") && on != wanted.Generation {
		return &shedkeel.ConflictError{What: fmt.Sprintf("generation %d is in force, not %d", wanted.Generation, on)}
	}
	for _, line := range changes {
		_, _ = fmt.Fprintln(command.Root().ErrWriter, line)
	}
	if len(changes) == 0 || command.Bool("dry-run") {
		_, _ = fmt.Fprintln(command.Root().ErrWriter, "nothing was changed")
		return nil
	}
	return send(ctx, command, client, wanted)
}

// send applies a configuration and tells how far it has come.
func send(ctx context.Context, command *cli.Command, client *operator.Client, wanted shedkeel.Config) error {
	accepted, err := client.Apply(ctx, wanted)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return printJSON(command, accepted)
	}
	_, err = fmt.Fprintf(command.Root().Writer, "generation %d accepted; in force on %d of %d keepers so far\n", accepted.Generation, accepted.InForce, accepted.Nodes)
	return err
}

func diff(ctx context.Context, command *cli.Command) error {
	_, _, changes, err := change(ctx, command)
	if err != nil {
		return err
	}
	for _, line := range changes {
		_, _ = fmt.Fprintln(command.Root().Writer, line)
	}
	return nil
}

func get(ctx context.Context, command *cli.Command) error {
	client, err := clientOf(command)
	if err != nil {
		return err
	}
	inForce, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return printJSON(command, inForce)
}

// show asks a keeper or an entry, and prints the answer as JSON or as text.
func show[Answer any](command *cli.Command, ask func(*operator.Client) (Answer, error), write func(io.Writer, Answer)) error {
	client, err := clientOf(command)
	if err != nil {
		return err
	}
	answer, err := ask(client)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return printJSON(command, answer)
	}
	write(command.Root().Writer, answer)
	return nil
}

func status(ctx context.Context, command *cli.Command) error {
	return show(command, func(client *operator.Client) (operator.Either[keeper.Status, node.Dump], error) {
		return client.Status(ctx)
	}, operator.PrintStatus)
}

func explain(ctx context.Context, command *cli.Command) error {
	group, err := argument(command)
	if err != nil {
		return err
	}
	ask := func(client *operator.Client) (operator.Either[keeper.Explanation, node.Explanation], error) {
		return client.Explain(ctx, group)
	}
	return show(command, ask, operator.PrintExplanation)
}

func explainRequest(ctx context.Context, command *cli.Command) error {
	id, err := argument(command)
	if err != nil {
		return err
	}
	ask := func(client *operator.Client) (operator.RequestStory, error) { return client.Request(ctx, id) }
	return show(command, ask, operator.PrintRequest)
}

func drain(ctx context.Context, command *cli.Command) error {
	return redrain(ctx, command, func(drains []shedkeel.BoxID, box shedkeel.BoxID) []shedkeel.BoxID {
		if slices.Contains(drains, box) {
			return drains
		}
		return append(slices.Clone(drains), box)
	})
}

func undrain(ctx context.Context, command *cli.Command) error {
	return redrain(ctx, command, func(drains []shedkeel.BoxID, box shedkeel.BoxID) []shedkeel.BoxID {
		return slices.DeleteFunc(slices.Clone(drains), func(drained shedkeel.BoxID) bool { return drained == box })
	})
}

func redrain(ctx context.Context, command *cli.Command, next func([]shedkeel.BoxID, shedkeel.BoxID) []shedkeel.BoxID) error {
	box, err := argument(command)
	if err != nil {
		return err
	}
	client, err := clientOf(command)
	if err != nil {
		return err
	}
	wanted, err := client.Config(ctx)
	if err != nil {
		return err
	}
	wanted.Drains = next(wanted.Drains, shedkeel.BoxID(box))
	return send(ctx, command, client, wanted)
}

// evacuateTimeout bounds the call to the key-value service.
const evacuateTimeout = 5 * time.Second

// evacuate writes or removes an evacuation. Nodes follow the service, so its answer
// is the acknowledgement; status tells what a node heeds.
func evacuate(ctx context.Context, command *cli.Command) error {
	zone, err := argument(command)
	if err != nil {
		return err
	}
	if zone == "" || strings.Contains(zone, "/") {
		return &shedkeel.InvalidError{Where: command.Name, What: "the argument names no availability zone", Remedy: "give a zone as its boxes name it"}
	}
	store := &platform.Store{Address: command.String("store"), Timeout: evacuateTimeout}
	withdraw := command.Bool("withdraw")
	if _, err := store.Commit(ctx, platform.Evacuation(shedkeel.ZoneID(zone), !withdraw)); err != nil {
		return err
	}
	what := "evacuated"
	if withdraw {
		what = "taken back"
	}
	_, err = fmt.Fprintf(command.Root().Writer, "zone %s is %s; see status for its servers\n", zone, what)
	return err
}

func dump(ctx context.Context, command *cli.Command) error {
	client, err := clientOf(command)
	if err != nil {
		return err
	}
	state, err := client.Dump(ctx)
	if err != nil {
		return err
	}
	return printJSON(command, state)
}

func checkPolicy(_ context.Context, command *cli.Command) error {
	path, err := argument(command)
	if err != nil {
		return err
	}
	program, err := config.ReadFile(path)
	if err != nil {
		return err
	}
	facts := policy.SampleFacts()
	facts.Members = command.Int("members")
	facts.DomainBoxes = command.Int("domain-boxes")
	table, err := policy.Run(shedkeel.Policy{Name: filepath.Base(path), Program: string(program)}, facts)
	if err != nil {
		return err
	}
	return printJSON(command, table)
}

func hashKey(_ context.Context, command *cli.Command) error {
	key, err := argument(command)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(command.Root().Writer, hex.EncodeToString(sum[:]))
	return err
}
