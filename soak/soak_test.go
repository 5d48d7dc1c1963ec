// Package soak runs the node's real program as separate processes on loopback
// against stand-ins that speak the platform's protocol, breaks things from
// outside at random, and checks what callers and backend servers saw.
//
//	go test ./soak -seeds 50              # fifty seeds by hand
//	go test ./soak -first 17 -seconds 30  # one seed, longer
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

var (
	seeds     = flag.Int("seeds", 2, "how many seeds to run")
	first     = flag.Uint64("first", 1, "the first seed")
	seconds   = flag.Int("seconds", 10, "how long faults go on for each seed")
	processes = flag.Int("processes", 3, "how many nodes run")
	program   = flag.String("program", "", "the node's program, such as an earlier one; empty: it is built")
	callers   = flag.Int("callers", 12, "how many callers call at once")
)

// regressions are seeds that failed once, with their cause.
var regressions = map[uint64]string{
	110: "a planner took a member for free by a record of an older copy of the store",
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes seconds for each seed")
	}
	binary := build(t)
	run := map[uint64]bool{}
	for seed := range regressions {
		run[seed] = true
	}
	for count := range *seeds {
		run[*first+uint64(count)] = true
	}
	for seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			world := newWorld(t, binary, seed)
			world.soak()
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	if *program != "" {
		return *program
	}
	binary := filepath.Join(t.TempDir(), "shedkeel-node")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "shedkeel.org/shedkeel/cmd/shedkeel-node").CombinedOutput()
	assert.NilError(t, err, string(output))
	return binary
}

// world is what a seed runs in.
type world struct {
	t      *testing.T
	random *rand.Rand
	binary string
	dir    string
	data   *standin.Store
	fleet  *platformstandin.Fleet
	store  *httptest.Server
	nodes  []*process
	judge  judge

	over      chan struct{} // closed at the end
	restoring sync.Mutex    // held while the store goes back to a copy

	mutex   sync.Mutex
	deadly  int               // requests that end servers
	servers map[string]*proxy // the way to each backend server
	named   int
	version int
	faults  []string
	woken   []time.Time // when nodes started, or woke after they had stood still
}

// process is one node and the ways to and from it.
type process struct {
	name      string
	settings  string
	callers   string
	directory string
	store     *proxy
	life      sync.Mutex // held while it is started or ended
	mutex     sync.Mutex // guards command; never held while waiting
	command   *exec.Cmd  // nil: not running
}

const configText = `{"version":%d,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/copy/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"gap_aim_ms":300,"max_attempts":2,"resume_streams":true,"service":"llm"},
  {"name":"r2","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":2000,"max_attempts":2,"service":"plain"},
  {"name":"r3","host":"h.example","path_prefix":"/fee/","kind":"unsafe","timeout_ms":2000,"max_attempts":1,"service":"plain"}],
 "services":[
  {"name":"llm","health_path":"/health","max_connections":100,"engine":{"slots":16,"models":[{"name":"m0","size":2,"share":1,"pace":1,"load_s":0.5,"warmup_s":0.2}],"read_per_s":46000,"loads_per_s":4,"loads_at_once":6,"form_ms":100}},
  {"name":"plain","health_path":"/health","max_connections":50}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"shop","api_keys":["stays","key-%d"]}]}`

func newWorld(t *testing.T, binary string, seed uint64) *world {
	t.Helper()
	world := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), binary: binary, dir: t.TempDir(),
		data: standin.NewStore(), servers: map[string]*proxy{}, over: make(chan struct{}),
	}
	t.Cleanup(func() { close(world.over) })
	world.store = httptest.NewServer((&platformstandin.Store{Data: world.data}).Handler())
	t.Cleanup(world.store.Close)
	world.fleet = &platformstandin.Fleet{
		Data: world.data, CrashPrefix: deadlyPrefix, Step: 15 * time.Millisecond,
		Models: map[string]platformstandin.Timing{"m0": {Size: 2, Load: 500 * time.Millisecond, Warmup: 200 * time.Millisecond, Rejoin: 50 * time.Millisecond}},
	}
	world.configure()
	for index := range 10 {
		world.addServer("llm", fmt.Sprint("rack-", index%2))
	}
	for range 3 {
		world.addServer("plain", "")
	}
	for index := range *processes {
		world.addNode(index)
	}
	return world
}

// configure writes a configuration with a new key; the last one is removed.
func (world *world) configure() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version++
	_, err := world.data.Commit(shedkeel.Change{Put: []shedkeel.Put{{Key: "op/config", Value: fmt.Appendf(nil, configText, world.version, world.version)}}})
	assert.NilError(world.t, err)
	world.judge.keyRemoved(fmt.Sprint("key-", world.version-1))
}

// writeAgain has the operator and the servers write theirs again.
func (world *world) writeAgain() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	_, err := world.data.Commit(shedkeel.Change{Put: []shedkeel.Put{{Key: "op/config", Value: fmt.Appendf(nil, configText, world.version, world.version)}}})
	assert.NilError(world.t, err)
	world.fleet.RewriteRecords()
}

func (world *world) key() string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return fmt.Sprint("key-", world.version)
}

func (world *world) addServer(service, domain string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.named++
	server := &platformstandin.Server{ID: fmt.Sprintf("%s-%d", service, world.named), Service: service, Domain: domain}
	http := httptest.NewUnstartedServer(server)
	way := newProxy(world.t, http.Listener.Addr().String())
	server.Address = way.address()
	world.fleet.Add(server)
	http.Start()
	world.t.Cleanup(func() {
		http.CloseClientConnections()
		http.Close()
	})
	world.servers[server.ID] = way
	server.OnCrash = func() {
		way.end()
		time.AfterFunc(backTime, func() { world.serverBack(server.ID, way) })
	}
}

// backTime is how long a server that a deadly request ended is away.
const backTime = 700 * time.Millisecond

func (world *world) serverBack(id string, way *proxy) {
	select {
	case <-world.over:
		return
	default:
	}
	if err := way.begin(); err != nil {
		world.judge.breaks("server %s does not start again: %v", id, err)
		return
	}
	world.fleet.Restart(id)
}

const settingsText = `node = %q
zone = "z"
store = %q
[listen]
callers = %q
directory = %q
readiness = %q
control = %q
[wire]
key = "soak"
[bounds]
grace = "6s"
revoke = "5s"
`

func (world *world) addNode(index int) {
	process := &process{name: fmt.Sprint("node-", index), store: newProxy(world.t, strings.TrimPrefix(world.store.URL, "http://"))}
	host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, world.random.IntN(200), 10+index)
	process.callers, process.directory = host+":7001", host+":7002"
	process.settings = filepath.Join(world.dir, process.name+".toml")
	text := fmt.Sprintf(settingsText, process.name, process.store.address(), process.callers, process.directory, host+":7003", host+":7004")
	assert.NilError(world.t, os.WriteFile(process.settings, []byte(text), 0o600))
	world.nodes = append(world.nodes, process)
	world.startNode(process)
	world.t.Cleanup(func() { process.signal(syscall.SIGCONT); process.end(syscall.SIGKILL) })
}

func (world *world) startNode(process *process) {
	process.life.Lock()
	defer process.life.Unlock()
	if process.running() != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(world.dir, process.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(world.t, err)
	command := exec.CommandContext(world.t.Context(), world.binary, "--settings", process.settings)
	command.Stdout, command.Stderr = log, log
	assert.NilError(world.t, command.Start())
	_ = log.Close() // the process has its own
	process.set(command)
	world.wakes(process)
}

func (process *process) running() *exec.Cmd {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.command
}

func (process *process) set(command *exec.Cmd) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.command = command
}

// signal sends a signal to the process if it runs.
func (process *process) signal(signal syscall.Signal) {
	if command := process.running(); command != nil {
		_ = command.Process.Signal(signal) // one that has just ended needs none
	}
}

// end sends a signal that ends the process and waits until it is gone.
func (process *process) end(signal syscall.Signal) {
	process.life.Lock()
	defer process.life.Unlock()
	command := process.running()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal) // one that has just ended needs none
	_ = command.Wait()                 // how it ended is in its log
	process.set(nil)
}

// soak runs callers and faults, then checks that all is served again and that
// no promise was broken.
func (world *world) soak() {
	world.judge.world = world
	stop := make(chan struct{})
	var calling, breaking sync.WaitGroup
	world.judge.waitServed("before any fault", 20*time.Second)
	for index := range *callers {
		calling.Go(func() { world.judge.runCaller(index, stop) })
	}
	for range 2 { // faults overlap
		random := rand.New(rand.NewPCG(world.random.Uint64(), 1))
		breaking.Go(func() { world.runFaults(random, time.Duration(*seconds)*time.Second) })
	}
	breaking.Wait()
	world.judge.waitServed("after the last fault", 12*time.Second)
	close(stop)
	calling.Wait()
	time.Sleep(500 * time.Millisecond) // what was refused must not run later
	world.judge.check()
	if world.t.Failed() {
		world.t.Logf("faults:\n%s\nlogs: %s", strings.Join(world.faults, "\n"), world.keepLogs())
	}
}

// keepLogs copies the nodes' logs to where they stay.
func (world *world) keepLogs() string {
	kept, err := os.MkdirTemp("", "soak-logs-")
	if err != nil {
		return err.Error()
	}
	for _, node := range world.nodes {
		text, err := os.ReadFile(filepath.Join(world.dir, node.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, node.name+".log"), text, 0o600)
		}
		if err != nil {
			return err.Error()
		}
	}
	return kept
}
