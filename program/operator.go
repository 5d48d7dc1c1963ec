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
	"shedkeel.org/shedkeel/strict"
)

// Exit codes of the operators' client.
const (
	exitConflict    = 3 // the configuration changed since it was read
	exitUnknown     = 4 // the outcome of a change is unknown
	exitUnavailable = 5 // the keeper or the key-value service does not answer
)

// exitCode returns the exit code for an error. For an *operator.Error, the HTTP status of
// the answer decides.
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

// Operator runs the program shedkeel.
func Operator() { run(operatorCommand()) }

// operatorCommand returns the command line of the operators' client.
func operatorCommand() *cli.Command {
	return &cli.Command{
		Name:                  "shedkeel",
		Usage:                 "operate a shedkeel fleet through any of its keepers or nodes",
		Description:           "Exit codes: 0 done, 1 failed, 2 invalid input, 3 the configuration changed since it was read,\n4 outcome unknown, 5 keeper or key-value service does not answer.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "keeper", Usage: "operator `ADDRESS` of a keeper, metrics address of a node, or admin address of an entry for dump and request", Value: "127.0.0.1:7400", Sources: cli.EnvVars("SHEDKEEL_KEEPER")},
			&cli.StringFlag{Name: "key", Usage: "the operators' `KEY`", Sources: cli.EnvVars("SHEDKEEL_KEY")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` of the client certificate for keepers with TLS"},
			&cli.StringFlag{Name: "certificate-key", Usage: "PEM `FILE` of the client certificate's private key"},
			&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` of the authority that signed the keepers' certificates"},
		},
		Commands: []*cli.Command{
			{Name: "apply", Usage: "make a document the configuration in force", ArgsUsage: "FILE", Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"},
				&cli.Uint64Flag{Name: "on", Usage: "refuse unless the configuration in force is `GENERATION`"},
			}, Action: apply},
			{Name: "diff", Usage: "show what applying a document would change", ArgsUsage: "FILE", Action: diff},
			{Name: "get", Usage: "print the configuration in force", Action: get},
			{Name: "status", Usage: "show groups, nodes and stranded accelerators", Action: status},
			{Name: "explain", Usage: "print the reasons for a group's state", ArgsUsage: "GROUP", Action: explain},
			{Name: "request", Usage: "print what the entry or node at --keeper recorded about a request, by its Shedkeel-Request or its own id", ArgsUsage: "ID", Action: explainRequest},
			{Name: "drain", Usage: "take a box out of service", ArgsUsage: "BOX", Action: drain},
			{Name: "undrain", Usage: "put a box back into service", ArgsUsage: "BOX", Action: undrain},
			{Name: "evacuate", Usage: "stop sending requests to the backend servers of an availability zone (fleets of nodes only)", ArgsUsage: "ZONE", Flags: []cli.Flag{
				&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's key-value service", Required: true},
				&cli.BoolFlag{Name: "withdraw", Usage: "end the evacuation of the zone"},
			}, Action: evacuate},
			{Name: "release", Usage: "send requests to backend servers again although servers have ended under them (fleets of nodes only)", ArgsUsage: "DIGEST or, with --model, PART", Flags: []cli.Flag{
				&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's key-value service", Required: true},
				&cli.StringFlag{Name: "model", Usage: "release a part of the prompts for the `MODEL`; left out: a request, by its digest"},
			}, Action: release},
			{Name: "dump", Usage: "print the state of the process at --keeper", Action: dump},
			{Name: "trace", Usage: "print the events of a request or a replica group from the logs of nodes", ArgsUsage: "[FILE...]", Flags: []cli.Flag{
				&cli.StringFlag{Name: "request", Usage: "the request's `ID`, as its caller sent it"},
				&cli.StringFlag{Name: "group", Usage: "the replica group's `NAME`"},
				&cli.StringSliceFlag{Name: "node", Usage: "metrics `ADDRESS` of a running node to read events from, in addition to the files; may be repeated"},
			}, Action: traceLogs},
			{Name: "policy", Usage: "work on policies", Commands: []*cli.Command{
				{Name: "check", Usage: "check a policy and show what it would decide", ArgsUsage: "FILE", Flags: []cli.Flag{
					&cli.IntFlag{Name: "members", Value: 8, Usage: "boxes in a group"},
					&cli.IntFlag{Name: "domain-boxes", Value: 32, Usage: "boxes in a fabric domain"},
				}, Action: checkPolicy},
			}},
			{Name: "account", Usage: "work on client accounts", Commands: []*cli.Command{
				{Name: "hash", Usage: "print the key_sha256 of a bearer key", ArgsUsage: "KEY", Action: printKeyHash},
			}},
		},
	}
}

// newOperatorClient returns a client for the process at --keeper. If --certificate is set,
// the client uses TLS 1.3 with that certificate for https addresses, and trusts only the
// authority that --authority names, if any.
func newOperatorClient(command *cli.Command) (*operator.Client, error) {
	client := &operator.Client{Address: command.String("keeper"), Key: command.String("key"), HTTP: newCommandClient()}
	settings := config.TLSSettings{Certificate: command.String("certificate"), Key: command.String("certificate-key"), Authority: command.String("authority")}
	clientTLS, err := settings.ClientConfig()
	if err != nil || clientTLS == nil {
		return client, err
	}
	client.HTTP = &http.Client{Transport: strict.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: clientTLS.Certificates, RootCAs: clientTLS.RootCAs,
	}})}
	return client, nil
}

// newCommandClient returns an HTTP client for commands, which use the proxy that the environment names, if any.
func newCommandClient() *http.Client {
	return &http.Client{Transport: strict.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
}

// argument returns the single argument of a command. Any other number of arguments
// gives an InvalidError.
func argument(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", &shedkeel.InvalidError{Where: command.Name, What: "it takes one argument", Remedy: "give " + command.ArgsUsage}
	}
	return command.Args().First(), nil
}

// printJSON prints the value as indented JSON.
func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// planChange reads the document that the argument names and the configuration in force.
// It returns a client, the configuration to apply, which keeps the generation and drains of
// the one in force, and its differences from the one in force.
func planChange(ctx context.Context, command *cli.Command) (*operator.Client, shedkeel.Config, []string, error) {
	path, err := argument(command)
	if err != nil {
		return nil, shedkeel.Config{}, nil, err
	}
	wanted, err := config.ReadDocument(path)
	if err != nil {
		return nil, wanted, nil, err
	}
	client, err := newOperatorClient(command)
	if err != nil {
		return nil, wanted, nil, err
	}
	inForce, err := client.Config(ctx)
	wanted.Generation = inForce.Generation
	wanted.Drains = inForce.Drains // documents do not contain drains
	return client, wanted, operator.Diff(inForce, wanted), err
}

// apply prints on standard error what applying a document would change, and then makes the
// document the configuration in force. It changes nothing with --dry-run or if there are
// no differences. It returns a ConflictError if the generation in force is not the one that
// --on names.
func apply(ctx context.Context, command *cli.Command) error {
	client, wanted, changes, err := planChange(ctx, command)
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
	return applyConfig(ctx, command, client, wanted)
}

// applyConfig sends a configuration and prints the accepted generation and on how many
// keepers it is in force, as JSON if --json is set.
func applyConfig(ctx context.Context, command *cli.Command, client *operator.Client, wanted shedkeel.Config) error {
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

// diff prints what applying a document would change.
func diff(ctx context.Context, command *cli.Command) error {
	_, _, changes, err := planChange(ctx, command)
	if err != nil {
		return err
	}
	for _, line := range changes {
		_, _ = fmt.Fprintln(command.Root().Writer, line)
	}
	return nil
}

// get prints the configuration in force as JSON.
func get(ctx context.Context, command *cli.Command) error {
	client, err := newOperatorClient(command)
	if err != nil {
		return err
	}
	inForce, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return printJSON(command, inForce)
}

// printAnswer calls ask and prints the answer with write, or as JSON if --json is set.
func printAnswer[Answer any](command *cli.Command, ask func(*operator.Client) (Answer, error), write func(io.Writer, Answer)) error {
	client, err := newOperatorClient(command)
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

// status prints the state of the fleet.
func status(ctx context.Context, command *cli.Command) error {
	return printAnswer(command, func(client *operator.Client) (operator.Either[keeper.Status, node.Dump], error) {
		return client.Status(ctx)
	}, operator.PrintStatus)
}

// explain prints the reasons for a group's state.
func explain(ctx context.Context, command *cli.Command) error {
	group, err := argument(command)
	if err != nil {
		return err
	}
	ask := func(client *operator.Client) (operator.Either[keeper.Explanation, node.Explanation], error) {
		return client.Explain(ctx, group)
	}
	return printAnswer(command, ask, operator.PrintExplanation)
}

// explainRequest prints what an entry or a node recorded about a request.
func explainRequest(ctx context.Context, command *cli.Command) error {
	id, err := argument(command)
	if err != nil {
		return err
	}
	ask := func(client *operator.Client) (operator.RequestReport, error) { return client.Request(ctx, id) }
	return printAnswer(command, ask, operator.PrintRequest)
}

// drain takes a box out of service.
func drain(ctx context.Context, command *cli.Command) error {
	return changeDrains(ctx, command, func(drains []shedkeel.BoxID, box shedkeel.BoxID) []shedkeel.BoxID {
		if slices.Contains(drains, box) {
			return drains
		}
		return append(slices.Clone(drains), box)
	})
}

// undrain puts a box back into service.
func undrain(ctx context.Context, command *cli.Command) error {
	return changeDrains(ctx, command, func(drains []shedkeel.BoxID, box shedkeel.BoxID) []shedkeel.BoxID {
		return slices.DeleteFunc(slices.Clone(drains), func(drained shedkeel.BoxID) bool { return drained == box })
	})
}

// changeDrains applies the configuration in force with changed drains, even if next changes
// nothing. next returns the new drains for the current ones and the box that the argument
// names.
func changeDrains(ctx context.Context, command *cli.Command, next func([]shedkeel.BoxID, shedkeel.BoxID) []shedkeel.BoxID) error {
	box, err := argument(command)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(command)
	if err != nil {
		return err
	}
	wanted, err := client.Config(ctx)
	if err != nil {
		return err
	}
	wanted.Drains = next(wanted.Drains, shedkeel.BoxID(box))
	return applyConfig(ctx, command, client, wanted)
}

// commandTimeout bounds a call of a command to the key-value service.
const commandTimeout = 5 * time.Second

// release removes the record of what is held against a request or a part of prompts. The nodes watch
// these records, and send such requests again at once. Without a record it returns an InvalidError.
func release(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	subject := shedkeel.DigestSubject(shedkeel.RequestDigest(name))
	if model := command.String("model"); model != "" {
		subject = shedkeel.PartSubject(shedkeel.ModelID(model), shedkeel.PartID(strings.ToLower(name)))
	}
	store := &platform.Store{Address: command.String("store"), Timeout: commandTimeout, Client: newCommandClient()}
	record, err := store.Get(ctx, node.BlamePrefix+string(subject))
	if err != nil {
		return err
	}
	if !record.Revision.Exists() {
		return &shedkeel.InvalidError{Where: command.Name, What: "nothing is recorded against " + name, Remedy: "give a name that status shows as recorded; what has no record is let go within a minute without evidence"}
	}
	if _, err := store.Commit(ctx, shedkeel.Transaction{Remove: []string{record.Key}}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s is released; see status\n", name)
	return err
}

// evacuate writes the evacuation record of an availability zone, or removes the record with
// --withdraw. It succeeds once the key-value service has accepted the change, also if the
// record existed before or was already removed. The nodes watch these records; the status
// command shows whether a node has received one.
func evacuate(ctx context.Context, command *cli.Command) error {
	zone, err := argument(command)
	if err != nil {
		return err
	}
	if zone == "" || strings.Contains(zone, "/") {
		return &shedkeel.InvalidError{Where: command.Name, What: "the argument names no availability zone: it is empty or contains a slash", Remedy: "give the zone as its servers' records state it"}
	}
	store := &platform.Store{Address: command.String("store"), Timeout: commandTimeout, Client: newCommandClient()}
	withdraw := command.Bool("withdraw")
	if _, err := store.Commit(ctx, platform.EvacuationChange(shedkeel.ZoneID(zone), !withdraw)); err != nil {
		return err
	}
	result := "evacuated"
	if withdraw {
		result = "taken back"
	}
	_, err = fmt.Fprintf(command.Root().Writer, "zone %s is %s; see status for its servers\n", zone, result)
	return err
}

// dump prints the state of the process at --keeper as JSON.
func dump(ctx context.Context, command *cli.Command) error {
	client, err := newOperatorClient(command)
	if err != nil {
		return err
	}
	state, err := client.Dump(ctx)
	if err != nil {
		return err
	}
	return printJSON(command, state)
}

// checkPolicy runs a policy on sample facts, with the group and domain sizes that the flags
// state, and prints the planner parameters that the policy returns as JSON.
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
	facts.GroupSize = command.Int("members")
	facts.DomainBoxes = command.Int("domain-boxes")
	parameters, err := policy.Run(shedkeel.Policy{Name: filepath.Base(path), Program: string(program)}, facts)
	if err != nil {
		return err
	}
	return printJSON(command, parameters)
}

// printKeyHash prints the SHA-256 hash of a bearer key in hexadecimal, as key_sha256 of an
// account holds it.
func printKeyHash(_ context.Context, command *cli.Command) error {
	key, err := argument(command)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(command.Root().Writer, hex.EncodeToString(sum[:]))
	return err
}
