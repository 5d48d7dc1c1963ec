package shedkeel_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/keeper"
	"shedkeel.org/shedkeel/operator"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/program"
)

// TestMain makes the test binary act as the programs of the project when a script runs
// them under these names.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shedkeel":         program.Operator,
		"shedkeel-entry":   program.Entry,
		"shedkeel-keeper":  program.Keeper,
		"shedkeel-standin": program.Standin,
	})
}

// fleetSlots limits the number of fleets that run at the same time, so that the
// load on the machine does not cause failures that the script did not inject. A running
// fleet holds one slot.
var fleetSlots = make(chan struct{}, 3)

// TestScenarios runs the scripts of testdata/script. Each script starts its own fleet of
// processes, with its own loopback addresses (see cmdFleet).
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": cmdFleet, "start": cmdStart, "crash": cmdSignal(syscall.SIGKILL), "terminate": cmdSignal(syscall.SIGTERM),
			"freeze": cmdSignal(syscall.SIGSTOP), "thaw": cmdSignal(syscall.SIGCONT), "ended": cmdEnded,
			"fault": cmdFault, "post": cmdPost, "cut": cmdCut(true), "join": cmdCut(false), "await": cmdAwait, "never": cmdNever,
			"call": cmdCall, "load": cmdLoad, "loaded": cmdLoaded, "runs": cmdRuns, "pause": cmdPause, "ready": cmdReady, "planner": cmdPlanner, "quiet": cmdQuiet, "monotone": cmdMonotone, "charges": cmdCharges, "charging": cmdCharging, "longcall": cmdLongCall, "longcalled": cmdLongCalled, "charged": cmdCharged, "within": cmdWithin,
		},
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = &fleet{env: env, processes: map[string]*process{}, addresses: map[string]string{}, relays: map[string]*relay{}}
			return nil
		},
	})
}

// fleetKey is the key of the fleet in the values of a testscript environment.
type fleetKey struct{}

// fleet is the fleet of one script.
type fleet struct {
	env       *testscript.Env
	host      string // first three bytes of its loopback addresses
	processes map[string]*process
	addresses map[string]string // of the stand-ins, by name
	relays    map[string]*relay // by name
	load      *load             // of the last cmdLoad; nil: none
	mark      time.Time         // when the script last ran "within mark" (see cmdWithin)
	charging  sync.WaitGroup    // the calls of cmdCharging
	longCall  chan string       // receives the result of the call of cmdLongCall
}

// process is a program of the fleet, which may have exited.
type process struct {
	command *exec.Cmd
	args    []string      // the program and its arguments, to start it again
	exited  chan struct{} // closed when the process has exited
}

// relay is a TCP relay whose connections cmdCut can make hang.
type relay struct {
	link     *standin.Relay
	listener net.Listener
}

// fleetCount is the number of fleets so far. The third byte of a fleet's loopback
// addresses is its number.
var fleetCount atomic.Int64

// fleetOf returns the fleet of a script.
func fleetOf(script *testscript.TestScript) *fleet { return script.Value(fleetKey{}).(*fleet) }

// address returns the address for a port of a host, whose number is the last byte of its
// loopback address. Node N is host N, the key-value service host 10, the box list host 11,
// plain server N host 11+N, the engine of box N host 20+N. Host 100+N has the relays to the
// keeper of node N and from node N to the key-value service.
func (fleet *fleet) address(hostNumber, port int) string {
	return fmt.Sprintf("%s.%d:%d", fleet.host, hostNumber, port)
}

// fleetOptions are the options of the command fleet, given as NAME=VALUE.
type fleetOptions struct {
	nodes, boxes, groups, members, domains int    // numbers of entry boxes, boxes with engines, groups, boxes per group, fabric domains
	unfenced                               bool   // the engines do not check the planner epoch of their orders
	token, lag, run                        string // durations: an engine's time per token, minimum interval between updates of its reported load, run time of a call to a plain server
	timeout                                string // maximum duration of a request to the model service
	policy                                 string // name of a file in policies, without .star
}

// parseFleetOptions returns the options that the arguments set, with defaults for all
// others. An unknown option or an invalid number fails the script.
func parseFleetOptions(script *testscript.TestScript, args []string) fleetOptions {
	options := fleetOptions{nodes: 3, boxes: 8, groups: 2, members: 3, domains: 1, token: "2ms", lag: "0s", run: "0s", timeout: "15s", policy: "karadere"}
	numbers := map[string]*int{"nodes": &options.nodes, "boxes": &options.boxes, "groups": &options.groups, "members": &options.members, "domains": &options.domains}
	texts := map[string]*string{"token": &options.token, "lag": &options.lag, "run": &options.run, "timeout": &options.timeout, "policy": &options.policy}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch {
		case numbers[name] != nil:
			number, err := strconv.Atoi(value)
			script.Check(err)
			*numbers[name] = number
		case texts[name] != nil:
			*texts[name] = value
		case name == "unfenced":
			options.unfenced = true
		default:
			script.Fatalf("fleet has no option %q", name)
		}
	}
	return options
}

// cmdFleet starts the stand-ins, relays, keepers and entries, and writes the configuration
// document fleet.toml, which cmdReady applies: fleet [NAME=VALUE...] [unfenced]. See
// fleetOptions for the names. cmdFleet sets ENTRYn, KEEPERn and ADMINn to the addresses of
// node n, and has the operator's program use the keeper of node 1.
func cmdFleet(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	options := parseFleetOptions(script, args)
	fleetSlots <- struct{}{} // waits for a free slot
	script.Defer(func() { <-fleetSlots })
	script.Defer(fleet.stop)
	number := fleetCount.Add(1)
	fleet.host = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, number) // the second byte differs between most test processes
	fleet.begin(script, "store", "shedkeel-standin", "store", "--listen", fleet.address(10, 2379))
	fleet.addresses["store"] = fleet.address(10, 2379)
	fleet.startBackends(script, options)
	for node := 1; node <= options.nodes; node++ {
		fleet.relay(script, fmt.Sprintf("store-%d", node), fleet.address(100+node, 2379), fleet.address(10, 2379))
		fleet.relay(script, fmt.Sprintf("wire-%d", node), fleet.address(100+node, 7401), fleet.address(node, 7401))
		script.Check(os.WriteFile(script.MkAbs(fmt.Sprintf("node-%d.toml", node)), []byte(fleet.settings(node, options)), 0o600))
		for _, kind := range []string{"keeper", "entry"} {
			cmdStart(script, false, []string{fmt.Sprintf("%s-%d", kind, node)})
		}
	}
	script.Check(os.WriteFile(script.MkAbs("fleet.toml"), []byte(fleet.document(options)), 0o600))
	policy, err := os.ReadFile(filepath.Join(sourceDir, "policies", options.policy+".star"))
	script.Check(err)
	script.Check(os.WriteFile(script.MkAbs("policy.star"), policy, 0o600))
	script.Setenv("SHEDKEEL_KEEPER", fleet.address(1, 7400))
	script.Setenv("SHEDKEEL_KEY", "operator-key")
	for node := 1; node <= options.nodes; node++ {
		script.Setenv(fmt.Sprintf("ENTRY%d", node), "http://"+fleet.address(node, 8080))
		script.Setenv(fmt.Sprintf("KEEPER%d", node), fleet.address(node, 7400))
		script.Setenv(fmt.Sprintf("ADMIN%d", node), fleet.address(node, 8081))
	}
}

// sourceDir is the folder of this package.
var sourceDir = func() string {
	dir, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return dir
}()

// startBackends starts the stand-ins of the engines, the box list and the two servers of
// the plain service. An engine takes 300 ms to load weights, and the box list shows a change
// after 1 s.
func (fleet *fleet) startBackends(script *testscript.TestScript, options fleetOptions) {
	var boxes []map[string]any
	for box := 1; box <= options.boxes; box++ {
		name := fmt.Sprintf("engine-%d", box)
		address := fleet.address(20+box, 9000)
		fleet.addresses[name] = address
		args := []string{"shedkeel-standin", "engine", "--token", options.token, "--lag", options.lag, "--load", "300ms"}
		if options.unfenced {
			args = append(args, "--unfenced")
		}
		fleet.begin(script, name, append(args, address)...)
		boxes = append(boxes, map[string]any{"id": name, "address": address, "zone": "z1", "domain": fmt.Sprintf("d%d", box%options.domains), "accelerators": 1})
	}
	text, err := json.Marshal(boxes)
	script.Check(err)
	script.Check(os.WriteFile(script.MkAbs("boxes.json"), text, 0o600))
	fleet.addresses["boxlist"] = fleet.address(11, 8500)
	fleet.begin(script, "boxlist", "shedkeel-standin", "boxes", "--lag", "1s", "--listen", fleet.address(11, 8500), script.MkAbs("boxes.json"))
	for server := 1; server <= 2; server++ {
		name := fmt.Sprintf("plain-%d", server)
		fleet.addresses[name] = fleet.address(11+server, 9100)
		fleet.begin(script, name, "shedkeel-standin", "plain", "--run", options.run, "--listen", fleet.addresses[name])
	}
}

// settings returns the settings file of a node. The node's connections to the key-value
// service, and the connections of other keepers to the node's keeper, go through relays.
// Callers may cache the addresses of entry boxes for 1 s (keep_for).
func (fleet *fleet) settings(node int, options fleetOptions) string {
	var peers []string
	for peer := 1; peer <= options.nodes; peer++ {
		peers = append(peers, strconv.Quote(fleet.address(100+peer, 7401)))
	}
	return fmt.Sprintf(`node = "node-%d"
zone = "z1"
[entry]
listen = "%s"
admin = "%s"
keep_for = "1s"
[keeper]
operator = "%s"
operator_key = "operator-key"
peers = [%s]
[wire]
listen = "%s"
advertise = "%s"
key = "wire-key"
[platform]
store = "%s"
box_list = "%s"
`, node, fleet.address(node, 8080), fleet.address(node, 8081), fleet.address(node, 7400), strings.Join(peers, ", "),
		fleet.address(node, 7401), fleet.address(100+node, 7401), fleet.address(100+node, 2379), fleet.address(11, 8500))
}

// document returns the configuration document of the fleet: the model service model, the
// plain service permits, whose calls below /fees must run at most once, and the client
// account of testerKey.
func (fleet *fleet) document(options fleetOptions) string {
	return fmt.Sprintf(`entry_boxes = %d
[policy]
file = "policy.star"
[[service]]
id = "model"
kind = "model"
groups = %d
members = %d
zones = ["z1"]
capacity = 64
timeout = "%s"
unfenced = %t
[[service]]
id = "permits"
kind = "plain"
capacity = 64
timeout = "5s"
once_paths = ["/fees"]
backends = [
  { id = "plain-1", address = "%s", zone = "z1" },
  { id = "plain-2", address = "%s", zone = "z1" },
]
[[account]]
id = "tester"
key_sha256 = "%s"
`, options.nodes, options.groups, options.members, options.timeout, options.unfenced, fleet.addresses["plain-1"], fleet.addresses["plain-2"], testerHash)
}

const (
	testerKey = "tester-key"
	// testerHash is the SHA-256 of testerKey in hex.
	testerHash = "15a90d3572ea9b973fbc4d4b0f54935cf23b94c3552b4413b8dbd0b8e83e608f"
)

// relay starts a relay that forwards connections to the address listen to the address to.
// The commands cut and join refer to the relay by its name (see cmdCut).
func (fleet *fleet) relay(script *testscript.TestScript, name, listen, to string) {
	listener, err := net.Listen("tcp", listen)
	script.Check(err)
	opened := &relay{link: &standin.Relay{To: to}, listener: listener}
	fleet.relays[name] = opened
	go opened.link.Run(listener)
}

// begin starts a process and appends its output to the file NAME.log of the script. It
// looks up the program, args[0], in the PATH of the script. The process is killed if the
// test process exits without stopping the fleet.
func (fleet *fleet) begin(script *testscript.TestScript, name string, args ...string) {
	path := ""
	for _, dir := range filepath.SplitList(script.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, args[0])); err == nil {
			path = filepath.Join(dir, args[0])
			break
		}
	}
	log, err := os.OpenFile(script.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	script.Check(err)
	defer func() { _ = log.Close() }()
	command := exec.Command(path, args[1:]...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	script.Check(command.Start())
	started := &process{command: command, args: args, exited: make(chan struct{})}
	fleet.processes[name] = started
	go started.run()
}

// cmdStart starts keepers and entries of nodes, such as keeper-1: start NAME... If a process
// of the name was started before, which may also be a stand-in, cmdStart waits until that
// process has exited and starts it again with the same arguments.
func cmdStart(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	for _, name := range args {
		if before := fleet.processes[name]; before != nil {
			<-before.exited
			fleet.begin(script, name, before.args...)
			continue
		}
		kind, node, _ := strings.Cut(name, "-") // such as keeper and 1
		fleet.begin(script, name, "shedkeel-"+kind, "--settings", script.MkAbs("node-"+node+".toml"))
	}
}

// cmdSignal returns a command that sends a signal to processes, such as crash NAME...
// For SIGKILL the command waits until the processes have exited.
func cmdSignal(signal syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(script *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			process := fleetOf(script).processes[name]
			if process == nil {
				script.Fatalf("no process %q", name)
			}
			script.Check(process.command.Process.Signal(signal))
			if signal == syscall.SIGKILL {
				<-process.exited
			}
		}
	}
}

// cmdEnded waits until a process has exited, and fails the script if the process does not
// exit within the duration: ended DURATION NAME.
func cmdEnded(script *testscript.TestScript, _ bool, args []string) {
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	select {
	case <-fleetOf(script).processes[args[1]].exited:
	case <-time.After(longest):
		script.Fatalf("process %s has not exited in time", args[1])
	}
}

// cmdFault sets the faults that stand-ins inject, in place of all earlier ones: fault JSON
// NAME... The JSON is a standin.Faults; fields that it leaves out are reset.
func cmdFault(script *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		fleetOf(script).post(script, name, "/fault", args[0])
	}
}

// cmdPost sends a POST request to a stand-in, which must answer 200: post NAME PATH [BODY].
func cmdPost(script *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	fleetOf(script).post(script, args[0], args[1], body)
}

// post sends a POST request to a stand-in and fails the script unless it gets 200.
func (fleet *fleet) post(script *testscript.TestScript, name, path, body string) {
	response, err := http.Post("http://"+fleet.addresses[name]+path, "application/json", strings.NewReader(body))
	script.Check(err)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		script.Fatalf("%s%s: status %d", name, path, response.StatusCode)
	}
}

// cmdCut returns the command cut NAME... if hang is true, and join NAME... otherwise. cut
// makes the connections of relays hang, and join lets them forward again, with the data
// held meanwhile.
func cmdCut(hang bool) func(*testscript.TestScript, bool, []string) {
	return func(script *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			fleetOf(script).relays[name].link.SetFaults(standin.Faults{Hang: hang})
		}
	}
}

// cmdPause sleeps: pause DURATION. Scripts use it for faults that must last for some
// time, not to wait until something has happened.
func cmdPause(script *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	script.Check(err)
	time.Sleep(duration)
}

// cmdAwait checks a condition about every 50 ms until it holds, and fails the script if it does
// not hold within the duration: await DURATION CONDITION... See holds for the conditions.
func cmdAwait(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	began := time.Now()
	for {
		found, held := fleet.holds(args[1:])
		if held {
			script.Logf("held after %s: %s", time.Since(began).Round(10*time.Millisecond), strings.Join(args[1:], " "))
			return
		}
		if time.Since(began) > longest {
			script.Fatalf("does not hold within %s: %s: %s", longest, strings.Join(args[1:], " "), found)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdNever checks about every 50 ms during the duration that a condition does not hold:
// never DURATION CONDITION... See holds for the conditions.
func cmdNever(script *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	script.Check(err)
	for began := time.Now(); time.Since(began) < duration; time.Sleep(50 * time.Millisecond) {
		if found, held := fleetOf(script).holds(args[1:]); held {
			script.Fatalf("condition holds, but must not: %s: %s", strings.Join(args[1:], " "), found)
		}
	}
}

// cmdReady waits until the keeper of node 1 answers, applies fleet.toml, waits until all
// entries serve, and then until all groups that the keeper of node 1 reports are whole:
// ready
func cmdReady(script *testscript.TestScript, _ bool, _ []string) {
	// Generation 0: the keeper of node 1 answers and applies no configuration yet.
	cmdAwait(script, false, []string{"20s", "generation", "1", "0"})
	script.Check(script.Exec("shedkeel", "apply", "fleet.toml"))
	for node := 1; script.Getenv(fmt.Sprintf("ENTRY%d", node)) != ""; node++ {
		cmdAwait(script, false, []string{"30s", "status", script.Getenv(fmt.Sprintf("ENTRY%d", node)), "200"})
	}
	status, err := (&operator.Client{Address: script.Getenv("KEEPER1"), Key: "operator-key"}).Status(context.Background())
	script.Check(err)
	cmdAwait(script, false, []string{"30s", "whole", "1", strconv.Itoa(len(status.Keeper.Groups))})
}

// cmdPlanner sets PLANNER to the number of the node that holds the planner lease, OTHER to
// the number of a node that does not (1, or 2 if PLANNER is 1), and SHEDKEEL_KEEPER to the
// keeper of node OTHER. If the lease has no holder or cannot be read, PLANNER is empty.
func cmdPlanner(script *testscript.TestScript, _ bool, _ []string) {
	holder := fleetOf(script).holder(context.Background())
	number := strings.TrimPrefix(holder, "node-")
	script.Setenv("PLANNER", number)
	other := "1"
	if number == "1" {
		other = "2"
	}
	script.Setenv("OTHER", other)
	script.Setenv("SHEDKEEL_KEEPER", script.Getenv("KEEPER"+other))
}

// cmdQuiet checks that no requests start to run on stand-ins during the duration: quiet
// DURATION NAME...
func cmdQuiet(script *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	script.Check(err)
	count := func() int {
		total := 0
		for _, name := range args[1:] {
			for _, runs := range fleetOf(script).runs(script, name) {
				total += runs
			}
		}
		return total
	}
	before := count()
	time.Sleep(duration)
	if after := count(); after != before {
		script.Fatalf("%d requests ran on %v within %s, want none", after-before, args[1:], duration)
	}
}

// cmdMonotone checks in the logs of all processes that each event ConfigInForce (301 in
// package event) has a higher generation than the one before, from one event Started (100)
// to the next: monotone
func cmdMonotone(script *testscript.TestScript, _ bool, _ []string) {
	for name := range fleetOf(script).processes {
		text, err := os.ReadFile(script.MkAbs(name + ".log"))
		script.Check(err)
		var generation uint64
		for line := range strings.Lines(string(text)) {
			var entry struct {
				Event      int    `json:"event"`
				Generation uint64 `json:"generation"`
			}
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			switch {
			case entry.Event == 100:
				generation = 0
			case entry.Event == 301 && entry.Generation <= generation:
				script.Fatalf("%s went from generation %d to %d", name, generation, entry.Generation)
			case entry.Event == 301:
				generation = entry.Generation
			}
		}
	}
}

// cmdWithin records the current time (within mark), or checks that at most the
// duration has passed since the recorded time (within DURATION).
func cmdWithin(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	if args[0] == "mark" {
		fleet.mark = time.Now()
		return
	}
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	took := time.Since(fleet.mark)
	script.Logf("took %s", took.Round(10*time.Millisecond))
	if took > longest {
		script.Fatalf("took %s, longer than %s", took, longest)
	}
}

// holds reports whether a condition holds now, and the observed state for error
// messages. The conditions are:
//
//	whole NODE COUNT       the node's keeper reports that many groups as whole
//	without NODE BOX       the node's keeper reports at least one group, none with the box as a member
//	generation NODE NUMBER the node's keeper applies the configuration of that generation
//	status URL CODE        a model call to the URL returns that status code; 0: the call fails
//	listens NAME           the stand-in with that name accepts connections
//	reserved NODE COUNT    the node's keeper reports that many groups with a reserve
//	obeyed NODE            the node's keeper reports at least one group, and the engine of each member reports the assignment of its group
//	planner NODE           the node holds the planner lease of zone z1
//	notplanner NODE        another node holds the planner lease of zone z1
func (fleet *fleet) holds(condition []string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second) // for all calls of one check
	defer cancel()
	switch condition[0] {
	case "status":
		code := callModel(ctx, condition[1], "probe", false) // not streamed
		return strconv.Itoa(code), strconv.Itoa(code) == condition[2]
	case "listens":
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", fleet.addresses[condition[1]])
		if err != nil {
			return err.Error(), false
		}
		return "the process listens", connection.Close() == nil
	case "planner", "notplanner":
		holder := fleet.holder(ctx)
		return holder, holder != "" && (holder == "node-"+condition[1]) == (condition[0] == "planner")
	}
	node, err := strconv.Atoi(condition[1])
	if err != nil {
		return err.Error(), false
	}
	client := &operator.Client{Address: fleet.address(node, 7400), Key: "operator-key"}
	answer, err := client.Status(ctx)
	if err != nil {
		return err.Error(), false
	}
	status := answer.Keeper
	switch condition[0] {
	case "whole":
		return fmt.Sprintf("%d whole", countWhole(*status)), strconv.Itoa(countWhole(*status)) == condition[2]
	case "generation":
		return strconv.FormatUint(status.Generation, 10), strconv.FormatUint(status.Generation, 10) == condition[2]
	case "reserved":
		count := 0
		for _, group := range status.Groups {
			if group.Group.Reserve != nil {
				count++
			}
		}
		return fmt.Sprintf("%d have a reserve", count), strconv.Itoa(count) == condition[2]
	case "obeyed":
		for _, group := range status.Groups {
			for _, member := range group.Group.Members {
				state, err := engine.NewControl(time.Second).Probe(ctx, member.Address) // waits up to 1 s
				if err != nil || state.Assigned != group.Group.Assignment() {
					return fmt.Sprintf("%s has the assignment %v, want %v: %v", member.Box, state.Assigned, group.Group.Assignment(), err), false
				}
			}
		}
		return "all members have their assignments", len(status.Groups) > 0
	case "without":
		for _, group := range status.Groups {
			for _, member := range group.Group.Members {
				if string(member.Box) == condition[2] {
					return "in group " + string(group.Group.ID), false
				}
			}
		}
		return "in no group", len(status.Groups) > 0
	}
	return "unknown condition", false
}

// countWhole returns the number of groups that a keeper reports as whole.
func countWhole(status keeper.Status) int {
	count := 0
	for _, group := range status.Groups {
		if group.State == "whole" {
			count++
		}
	}
	return count
}

// holder returns the node that holds the planner lease of zone z1. It reads the lease from
// the key-value service, and returns "" if there is no lease or the read fails.
func (fleet *fleet) holder(ctx context.Context) string {
	store := &platform.Store{Address: fleet.addresses["store"], Timeout: time.Second}
	record, err := store.Get(ctx, "shedkeel/lease/z1")
	if err != nil || record.Revision.Number == 0 {
		return ""
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(record.Value, &lease) != nil {
		return ""
	}
	return lease.Holder
}

// callModel makes a call to the service model and returns the status code, or 0 if the call
// failed or the connection broke during the answer.
func callModel(ctx context.Context, url, prompt string, stream bool) int {
	body := fmt.Sprintf(`{"model":"model","prompt":%q,"stream":%t}`, prompt, stream)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// cmdCall makes a call and checks its status and outcome: call STATUS OUTCOME METHOD URL
// [BODY [KEY]]. KEY is the idempotency key. OUTCOME is that of the header Shedkeel-Outcome,
// or cut if the connection breaks during the answer; not-run requires a Retry-After header.
// cmdCall writes the body to the file answer and sets REQUEST to the request's ID.
func cmdCall(script *testscript.TestScript, _ bool, args []string) {
	args = append(args, "", "") // BODY and KEY may be left out
	request, err := http.NewRequest(args[2], args[3], strings.NewReader(args[4]))
	script.Check(err)
	request.Header.Set("Authorization", "Bearer "+testerKey)
	if args[5] != "" {
		request.Header.Set("Idempotency-Key", args[5])
	}
	// The timeout is longer than the default timeout of requests, 15 s (see parseFleetOptions).
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	response, err := client.Do(request)
	script.Check(err)
	defer func() { _ = response.Body.Close() }()
	body, readErr := io.ReadAll(response.Body)
	script.Check(os.WriteFile(script.MkAbs("answer"), body, 0o600))
	script.Logf("%d %s after %s: %s", response.StatusCode, response.Header.Get("Shedkeel-Outcome"), time.Since(began).Round(time.Millisecond), body)
	script.Setenv("REQUEST", response.Header.Get("Shedkeel-Request"))
	outcome := response.Header.Get("Shedkeel-Outcome")
	if readErr != nil {
		outcome = "cut"
	}
	if strconv.Itoa(response.StatusCode) != args[0] || outcome != args[1] {
		script.Fatalf("got %d %s, want %s %s", response.StatusCode, outcome, args[0], args[1])
	}
	if outcome == "not-run" && response.Header.Get("Retry-After") == "" {
		script.Fatalf("the answer has the outcome not-run, but no Retry-After header")
	}
}

// cmdRuns checks how often a request ran on all the named stand-ins together: runs COUNT
// REQUEST NAME... REQUEST is the prompt, body or path by which fleet.runs counts.
func cmdRuns(script *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	script.Check(err)
	total := 0
	for _, name := range args[2:] {
		total += fleetOf(script).runs(script, name)[args[1]]
	}
	if total != want {
		script.Fatalf("%s ran %d times, want %d", args[1], total, want)
	}
}

// runs returns how often each request ran on a stand-in, by prompt for an engine and by
// body (by path if the body is empty) for a plain server.
func (fleet *fleet) runs(script *testscript.TestScript, name string) map[string]int {
	response, err := http.Get("http://" + fleet.addresses[name] + "/runs")
	script.Check(err)
	defer func() { _ = response.Body.Close() }()
	runs := map[string]int{}
	if strings.HasPrefix(name, "engine") {
		var counted struct {
			Runs map[string]int `json:"runs"`
		}
		script.Check(json.NewDecoder(response.Body).Decode(&counted))
		return counted.Runs
	}
	script.Check(json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

// run waits until the process has exited, and then closes exited.
func (process *process) run() {
	_ = process.command.Wait()
	close(process.exited)
}

// stop ends the load, kills all processes and closes the listeners of the relays.
func (fleet *fleet) stop() {
	if fleet.load != nil {
		fleet.load.stopCallers()
	}
	for _, process := range fleet.processes {
		_ = process.command.Process.Kill()
		<-process.exited
	}
	for _, relay := range fleet.relays {
		_ = relay.listener.Close()
	}
}
