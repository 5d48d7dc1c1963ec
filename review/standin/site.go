package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

const (
	// storeTime is how long the platform's store takes for an answer.
	storeTime = 4 * time.Millisecond
	// heartbeat is how often runners write their records.
	heartbeat = 1200 * time.Millisecond
	// capacity is limits.cpu_share of the machines.
	capacity = 0.4
)

// site is a small deployment: the platform's store, runners, and nodes as processes of their own.
type site struct {
	record  record
	program string // of the node
	folder  string // for settings and logs
	host    string // prefix of all loopback addresses
	data    *standin.Store
	store   string // address of the store
	fleet   *platformstandin.Fleet
	engines map[string]*engine
	nodes   []*node

	mutex     sync.Mutex
	processes []*exec.Cmd // all that were started
}

// node is one machine with its process.
type node struct {
	name     string
	ip       string
	settings string // path
	command  *exec.Cmd
}

// settingsText is deploy/node.toml with its gaps filled.
const settingsText = `node = %[1]q
zone = "ic-a"
store = %[2]q
seeds = [ %[3]s]
capacity = %[5]g

[listen]
callers = "%[4]s:8227"
directory = "%[4]s:8224"
readiness = "%[4]s:8220"
control = "%[4]s:8229"
gossip = "%[4]s:7340"
metrics = "%[4]s:9107"

[wire]
key = "node-to-node"

[bounds]
grace = "8s"
revoke = "5000ms"
refuse_stale_keys = true
directory = "5s"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 136
`

// newSite returns a site without any part of it started.
func newSite(program, folder string) *site {
	return &site{record: record{start: time.Now()}, program: program, folder: folder, data: standin.NewStore(), engines: map[string]*engine{},
		host: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))}
}

// startStore starts the store with a configuration.
func (site *site) startStore(config string) error {
	handler := (&platformstandin.Store{Data: site.data}).Handler()
	address, err := serve(site.host+"1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeTime)
		handler.ServeHTTP(writer, request)
	}))
	if err != nil {
		return err
	}
	site.store = address
	_, err = site.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(config)}}})
	return err
}

// serve serves a handler at the address, where port 0 stands for a free one, and returns the address.
func serve(address string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startNodes starts nodes and waits until all say that they are ready.
func (site *site) startNodes(count int) error {
	for index := range count {
		name := fmt.Sprintf("front-ic-a-%02d", index+1)
		node := &node{name: name, ip: fmt.Sprintf("%s%d", site.host, 10+index), settings: filepath.Join(site.folder, name+".toml")}
		site.nodes = append(site.nodes, node)
	}
	for _, node := range site.nodes {
		if err := site.writeSettings(node, capacity); err != nil {
			return err
		}
		if err := site.startNode(node); err != nil {
			return err
		}
	}
	return waitUntil(20*time.Second, "the nodes are not ready", func() bool {
		for _, node := range site.nodes {
			if !node.ready() {
				return false
			}
		}
		return true
	})
}

// writeSettings writes the settings file of a node.
func (site *site) writeSettings(node *node, capacity float64) error {
	seeds := ""
	for _, seed := range site.nodes[:min(len(site.nodes), 3)] {
		seeds += fmt.Sprintf("%q, ", seed.ip+":8229")
	}
	site.record.add("platform: settings of %s: capacity %g", node.name, capacity)
	return os.WriteFile(node.settings, fmt.Appendf(nil, settingsText, node.name, site.store, seeds, node.ip, capacity), 0o600) //nolint:gosec // the file is in the folder of the case
}

// startNode starts the process of a node with the command of deploy/system.toml.
func (site *site) startNode(node *node) error {
	command, err := site.start(node.name, site.program, "--settings", node.settings)
	node.command = command
	return err
}

// start starts a process whose output goes to a file.
func (site *site) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(site.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600) //nolint:gosec // the file is in the folder of the case
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()                                          // the process has its own descriptor
	command := exec.CommandContext(context.Background(), program, arguments...) //nolint:gosec // the person who runs the case names the program
	command.Stdout, command.Stderr = log, log
	site.mutex.Lock()
	defer site.mutex.Unlock()
	if err := command.Start(); err != nil {
		return nil, err
	}
	site.processes = append(site.processes, command)
	site.record.add("platform: process %d of %s started", command.Process.Pid, name)
	return command, nil
}

// signal sends a signal to the process of a node.
func (site *site) signal(node *node, signal syscall.Signal) {
	site.record.add("platform: signal %q to %s", signal, node.name)
	_ = node.command.Process.Signal(signal)
}

// ready reports whether the node answers the readiness check with 200.
func (node *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.ip+":8220/shedkeel/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil waits until a condition holds. The error says what is missing.
func waitUntil(timeout time.Duration, missing string, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New(missing)
}

// recordLog adds the lines of a process's log that contain a text to the record.
func (site *site) recordLog(name, text string) {
	log, err := os.ReadFile(filepath.Join(site.folder, name+".log")) //nolint:gosec // the file is in the folder of the case
	if err != nil {
		return
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			site.record.add("log of %s: %s", name, strings.TrimSpace(line))
		}
	}
}

// finish ends all processes, writes the record and returns the exit code for the error of the case.
func (site *site) finish(err error, path string) int {
	site.mutex.Lock()
	for _, process := range site.processes {
		_ = process.Process.Kill() // fails only if it has ended
	}
	site.mutex.Unlock()
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		site.record.say("the case could not run: %s", strings.TrimSpace(err.Error()))
		code = 2
	}
	if err := site.record.write(path); err != nil {
		return 2
	}
	return code
}
