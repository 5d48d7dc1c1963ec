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

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shedkeel":         program.Operator,
		"shedkeel-entry":   program.Entry,
		"shedkeel-keeper":  program.Keeper,
		"shedkeel-standin": program.Standin,
	})
}

// fleetSlots bounds how many fleets run at once, so that the machine's load
// does not become the scenario.
var fleetSlots = make(chan struct{}, 3)

// TestScenarios runs the scripts of testdata/script, each against a fleet of
// real processes on loopback addresses of its own.
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
			env.Values[worldKey{}] = &world{env: env, processes: map[string]*process{}, addresses: map[string]string{}, relays: map[string]*relay{}}
			return nil
		},
	})
}

type worldKey struct{}

// world is the fleet of one script.
type world struct {
	env       *testscript.Env
	host      string // first two bytes of its addresses
	processes map[string]*process
	addresses map[string]string // of HTTP faults and calls, by name
	relays    map[string]*relay
	loads     *load
	marked    time.Time
	charging  sync.WaitGroup
	long      chan string // how the long call ended
}

type process struct {
	command *exec.Cmd
	args    []string
	ended   chan struct{}
}

type relay struct {
	link     *standin.Relay
	listener net.Listener
}

var nextHost atomic.Int64

func worldOf(script *testscript.TestScript) *world { return script.Value(worldKey{}).(*world) }

func (world *world) address(node, port int) string {
	return fmt.Sprintf("%s.%d:%d", world.host, node, port)
}

// options of a fleet, given as NAME=VALUE.
type options struct {
	nodes, boxes, groups, members, domains int
	unfenced                               bool
	token, lag, run                        string
	timeout                                string // of the model service
	policy                                 string
}

func parseOptions(script *testscript.TestScript, args []string) options {
	wanted := options{nodes: 3, boxes: 8, groups: 2, members: 3, domains: 1, token: "2ms", lag: "0s", run: "0s", timeout: "15s", policy: "karadere"}
	numbers := map[string]*int{"nodes": &wanted.nodes, "boxes": &wanted.boxes, "groups": &wanted.groups, "members": &wanted.members, "domains": &wanted.domains}
	texts := map[string]*string{"token": &wanted.token, "lag": &wanted.lag, "run": &wanted.run, "timeout": &wanted.timeout, "policy": &wanted.policy}
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
			wanted.unfenced = true
		default:
			script.Fatalf("fleet has no option %q", name)
		}
	}
	return wanted
}

// cmdFleet starts stand-ins and entry boxes, and makes a document to apply.
func cmdFleet(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	wanted := parseOptions(script, args)
	fleetSlots <- struct{}{}
	script.Defer(func() { <-fleetSlots })
	script.Defer(world.end)
	number := nextHost.Add(1)
	world.host = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, number)
	world.begin(script, "store", "shedkeel-standin", "store", "--listen", world.address(10, 2379))
	world.addresses["store"] = world.address(10, 2379)
	world.startBackends(script, wanted)
	for node := 1; node <= wanted.nodes; node++ {
		world.relay(script, fmt.Sprintf("store-%d", node), world.address(100+node, 2379), world.address(10, 2379))
		world.relay(script, fmt.Sprintf("wire-%d", node), world.address(100+node, 7401), world.address(node, 7401))
		script.Check(os.WriteFile(script.MkAbs(fmt.Sprintf("node-%d.toml", node)), []byte(world.settings(node, wanted)), 0o600))
		for _, kind := range []string{"keeper", "entry"} {
			cmdStart(script, false, []string{fmt.Sprintf("%s-%d", kind, node)})
		}
	}
	script.Check(os.WriteFile(script.MkAbs("fleet.toml"), []byte(world.document(wanted)), 0o600))
	policy, err := os.ReadFile(filepath.Join(sourceDir, "policies", wanted.policy+".star"))
	script.Check(err)
	script.Check(os.WriteFile(script.MkAbs("policy.star"), policy, 0o600))
	script.Setenv("SHEDKEEL_KEEPER", world.address(1, 7400))
	script.Setenv("SHEDKEEL_KEY", "operator-key")
	for node := 1; node <= wanted.nodes; node++ {
		script.Setenv(fmt.Sprintf("ENTRY%d", node), "http://"+world.address(node, 8080))
		script.Setenv(fmt.Sprintf("KEEPER%d", node), world.address(node, 7400))
		script.Setenv(fmt.Sprintf("ADMIN%d", node), world.address(node, 8081))
	}
}

var sourceDir = func() string {
	dir, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return dir
}()

func (world *world) startBackends(script *testscript.TestScript, wanted options) {
	var boxes []map[string]any
	for box := 1; box <= wanted.boxes; box++ {
		name := fmt.Sprintf("engine-%d", box)
		address := world.address(20+box, 9000)
		world.addresses[name] = address
		args := []string{"shedkeel-standin", "engine", "--token", wanted.token, "--lag", wanted.lag, "--load", "300ms"}
		if wanted.unfenced {
			args = append(args, "--unfenced")
		}
		world.begin(script, name, append(args, address)...)
		boxes = append(boxes, map[string]any{"id": name, "address": address, "zone": "z1", "domain": fmt.Sprintf("d%d", box%wanted.domains), "accelerators": 1})
	}
	text, err := json.Marshal(boxes)
	script.Check(err)
	script.Check(os.WriteFile(script.MkAbs("boxes.json"), text, 0o600))
	world.addresses["boxlist"] = world.address(11, 8500)
	world.begin(script, "boxlist", "shedkeel-standin", "boxes", "--lag", "1s", "--listen", world.address(11, 8500), script.MkAbs("boxes.json"))
	for server := 1; server <= 2; server++ {
		name := fmt.Sprintf("plain-%d", server)
		world.addresses[name] = world.address(11+server, 9100)
		world.begin(script, name, "shedkeel-standin", "plain", "--run", wanted.run, "--listen", world.addresses[name])
	}
}

func (world *world) settings(node int, wanted options) string {
	var peers []string
	for peer := 1; peer <= wanted.nodes; peer++ {
		peers = append(peers, strconv.Quote(world.address(100+peer, 7401)))
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
`, node, world.address(node, 8080), world.address(node, 8081), world.address(node, 7400), strings.Join(peers, ", "),
		world.address(node, 7401), world.address(100+node, 7401), world.address(100+node, 2379), world.address(11, 8500))
}

func (world *world) document(wanted options) string {
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
`, wanted.nodes, wanted.groups, wanted.members, wanted.timeout, wanted.unfenced, world.addresses["plain-1"], world.addresses["plain-2"], testerHash)
}

const (
	testerKey  = "tester-key"
	testerHash = "15a90d3572ea9b973fbc4d4b0f54935cf23b94c3552b4413b8dbd0b8e83e608f"
)

// relay opens a link that can be cut.
func (world *world) relay(script *testscript.TestScript, name, listen, to string) {
	listener, err := net.Listen("tcp", listen)
	script.Check(err)
	opened := &relay{link: &standin.Relay{To: to}, listener: listener}
	world.relays[name] = opened
	go opened.link.Run(listener)
}

// begin starts a process whose output goes to a file of the script.
func (world *world) begin(script *testscript.TestScript, name string, args ...string) {
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
	started := &process{command: command, args: args, ended: make(chan struct{})}
	world.processes[name] = started
	go started.run()
}

// cmdStart starts a keeper or an entry of a node, or a stand-in again.
func cmdStart(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	for _, name := range args {
		if before := world.processes[name]; before != nil {
			<-before.ended
			world.begin(script, name, before.args...)
			continue
		}
		kind, node, _ := strings.Cut(name, "-")
		world.begin(script, name, "shedkeel-"+kind, "--settings", script.MkAbs("node-"+node+".toml"))
	}
}

func cmdSignal(signal syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(script *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			process := worldOf(script).processes[name]
			if process == nil {
				script.Fatalf("no process %q", name)
			}
			script.Check(process.command.Process.Signal(signal))
			if signal == syscall.SIGKILL {
				<-process.ended
			}
		}
	}
}

// cmdEnded waits for a process to end: ended DURATION NAME.
func cmdEnded(script *testscript.TestScript, _ bool, args []string) {
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	select {
	case <-worldOf(script).processes[args[1]].ended:
	case <-time.After(longest):
		script.Fatalf("%s still runs", args[1])
	}
}

// cmdFault sets the faults of stand-ins: fault JSON NAME...
func cmdFault(script *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		worldOf(script).post(script, name, "/fault", args[0])
	}
}

// cmdPost posts to a stand-in: post NAME PATH [BODY].
func cmdPost(script *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	worldOf(script).post(script, args[0], args[1], body)
}

func (world *world) post(script *testscript.TestScript, name, path, body string) {
	response, err := http.Post("http://"+world.addresses[name]+path, "application/json", strings.NewReader(body))
	script.Check(err)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		script.Fatalf("%s%s: status %d", name, path, response.StatusCode)
	}
}

// cmdCut cuts links or joins them again, by the names of their relays.
func cmdCut(hang bool) func(*testscript.TestScript, bool, []string) {
	return func(script *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			worldOf(script).relays[name].link.SetFaults(standin.Faults{Hang: hang})
		}
	}
}

// cmdPause lets time pass: pause DURATION. It is for faults that must last,
// never a proof of anything.
func cmdPause(script *testscript.TestScript, _ bool, args []string) {
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	time.Sleep(longest)
}

// cmdAwait waits until a condition holds: await DURATION CONDITION... The
// conditions are those of holds.
func cmdAwait(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	began := time.Now()
	for {
		found, held := world.holds(args[1:])
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

// cmdNever checks that a condition does not hold for a while: never DURATION
// CONDITION...
func cmdNever(script *testscript.TestScript, _ bool, args []string) {
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	for began := time.Now(); time.Since(began) < longest; time.Sleep(50 * time.Millisecond) {
		if found, held := worldOf(script).holds(args[1:]); held {
			script.Fatalf("it came to hold: %s: %s", strings.Join(args[1:], " "), found)
		}
	}
}

// cmdReady applies the fleet's document and waits until it serves everywhere.
func cmdReady(script *testscript.TestScript, _ bool, _ []string) {
	cmdAwait(script, false, []string{"20s", "generation", "1", "0"})
	script.Check(script.Exec("shedkeel", "apply", "fleet.toml"))
	for node := 1; script.Getenv(fmt.Sprintf("ENTRY%d", node)) != ""; node++ {
		cmdAwait(script, false, []string{"30s", "status", script.Getenv(fmt.Sprintf("ENTRY%d", node)), "200"})
	}
	status, err := (&operator.Client{Keeper: script.Getenv("KEEPER1"), Key: "operator-key"}).Status(context.Background())
	script.Check(err)
	cmdAwait(script, false, []string{"30s", "whole", "1", strconv.Itoa(len(status.Keeper.Groups))})
}

// cmdPlanner sets PLANNER to the number of the node that holds the lease, and
// OTHER to one that does not.
func cmdPlanner(script *testscript.TestScript, _ bool, _ []string) {
	holder := worldOf(script).holder(context.Background())
	number := strings.TrimPrefix(holder, "node-")
	script.Setenv("PLANNER", number)
	other := "1"
	if number == "1" {
		other = "2"
	}
	script.Setenv("OTHER", other)
	script.Setenv("SHEDKEEL_KEEPER", script.Getenv("KEEPER"+other))
}

// cmdQuiet checks that nothing new runs on stand-ins for a while: quiet
// DURATION NAME...
func cmdQuiet(script *testscript.TestScript, _ bool, args []string) {
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	count := func() int {
		total := 0
		for _, name := range args[1:] {
			for _, runs := range worldOf(script).runs(script, name) {
				total += runs
			}
		}
		return total
	}
	before := count()
	time.Sleep(longest)
	if after := count(); after != before {
		script.Fatalf("%d new runs on %v within %s", after-before, args[1:], longest)
	}
}

// cmdMonotone checks in the logs of all keepers and entries that no start of
// any of them ever went back to an older configuration.
func cmdMonotone(script *testscript.TestScript, _ bool, _ []string) {
	for name := range worldOf(script).processes {
		text, err := os.ReadFile(script.MkAbs(name + ".log"))
		script.Check(err)
		var inForce uint64
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
				inForce = 0
			case entry.Event == 301 && entry.Generation <= inForce:
				script.Fatalf("%s went from generation %d to %d", name, inForce, entry.Generation)
			case entry.Event == 301:
				inForce = entry.Generation
			}
		}
	}
}

// cmdWithin marks a time, or checks how long ago the mark is: within mark, or
// within DURATION.
func cmdWithin(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	if args[0] == "mark" {
		world.marked = time.Now()
		return
	}
	longest, err := time.ParseDuration(args[0])
	script.Check(err)
	took := time.Since(world.marked)
	script.Logf("took %s", took.Round(10*time.Millisecond))
	if took > longest {
		script.Fatalf("took %s, longer than %s", took, longest)
	}
}

// holds reports whether a condition holds now, and what was found:
//
//	whole NODE COUNT       so many groups are whole in the node's eyes
//	without NODE BOX       no group of the node's placement has the box
//	generation NODE COUNT  the node has that configuration in force
//	status URL CODE        a model call there gets that status
//	listens NAME           the process takes connections
//	apply FILE             the document is accepted
//	reserved NODE COUNT    so many groups have a box agreed ahead
//	obeyed NODE            each member of the node's placement is in its group
//	planner NODE           the node holds the lease of zone z1
//	notplanner NODE        another holds it
func (world *world) holds(condition []string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	switch condition[0] {
	case "status":
		code := callModel(ctx, condition[1], "probe", false)
		return strconv.Itoa(code), strconv.Itoa(code) == condition[2]
	case "listens":
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", world.addresses[condition[1]])
		if err != nil {
			return err.Error(), false
		}
		return "it listens", connection.Close() == nil
	case "planner", "notplanner":
		holder := world.holder(ctx)
		return holder, holder != "" && (holder == "node-"+condition[1]) == (condition[0] == "planner")
	}
	node, err := strconv.Atoi(condition[1])
	if err != nil {
		return err.Error(), false
	}
	client := &operator.Client{Keeper: world.address(node, 7400), Key: "operator-key"}
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
				state, err := engine.NewControl(time.Second).Probe(ctx, member.Address)
				if err != nil || state.Assigned != group.Group.Assignment() {
					return fmt.Sprintf("%s is in %v, not %v: %v", member.Box, state.Assigned, group.Group.Assignment(), err), false
				}
			}
		}
		return "all are", len(status.Groups) > 0
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
	return "no such condition", false
}

func countWhole(status keeper.Status) int {
	count := 0
	for _, group := range status.Groups {
		if group.State == "whole" {
			count++
		}
	}
	return count
}

// holder returns the holder of the lease of zone z1, from the store itself.
func (world *world) holder(ctx context.Context) string {
	store := &platform.Store{Address: world.addresses["store"], Timeout: time.Second}
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

// callModel makes one model call, and returns its status; 0 if the answer did
// not come whole.
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

// cmdCall makes one call and checks its status and outcome: call STATUS
// OUTCOME METHOD URL [BODY [KEY]]. The answer goes to the file answer.
func cmdCall(script *testscript.TestScript, _ bool, args []string) {
	args = append(args, "", "")
	request, err := http.NewRequest(args[2], args[3], strings.NewReader(args[4]))
	script.Check(err)
	request.Header.Set("Authorization", "Bearer "+testerKey)
	if args[5] != "" {
		request.Header.Set("Idempotency-Key", args[5])
	}
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
		script.Fatalf("it does not say when to come back")
	}
}

// cmdRuns checks how often something ran on stand-ins: runs COUNT WHAT NAME...
func cmdRuns(script *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	script.Check(err)
	total := 0
	for _, name := range args[2:] {
		total += worldOf(script).runs(script, name)[args[1]]
	}
	if total != want {
		script.Fatalf("%s ran %d times, want %d", args[1], total, want)
	}
}

func (world *world) runs(script *testscript.TestScript, name string) map[string]int {
	response, err := http.Get("http://" + world.addresses[name] + "/runs")
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

func (process *process) run() {
	_ = process.command.Wait()
	close(process.ended)
}

func (world *world) end() {
	if world.loads != nil {
		world.loads.end()
	}
	for _, process := range world.processes {
		_ = process.command.Process.Kill()
		<-process.ended
	}
	for _, relay := range world.relays {
		_ = relay.listener.Close()
	}
}
