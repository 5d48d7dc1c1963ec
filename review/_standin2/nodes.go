package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (record *record) write(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the deploy file's only role.
type node struct {
	name      string
	host      string
	settings  string
	log       string
	command   *exec.Cmd
	callers   string
	directory string
	ended     chan struct{}
}

// settingsText is what deploy/node.toml gives with the settings of a small deployment.
const settingsText = `node = %q
zone = "ic-a"
store = %q
seeds = [ %s ]
capacity = 0.4

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
stall = "5000ms"
revoke = "5000ms"
refuse_stale_keys = true
directory = "5s"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 136
`

// newNode writes the settings of a node.
func newNode(directory, name, host, store string, seeds []string) (*node, error) {
	quoted := make([]string, len(seeds))
	for index, seed := range seeds {
		quoted[index] = fmt.Sprintf("%q", seed+":8229")
	}
	created := &node{name: name, host: host, settings: filepath.Join(directory, name+".toml"), log: filepath.Join(directory, name+".log"), callers: host + ":8227", directory: host + ":8224"}
	text := fmt.Sprintf(settingsText, name, store, strings.Join(quoted, ", "), host)
	return created, os.WriteFile(created.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (node *node) start() error {
	log, err := os.OpenFile(node.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	node.command = exec.CommandContext(context.Background(), "target/shedkeel-node", "--settings", node.settings)
	node.command.Stdout, node.command.Stderr = log, log
	node.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	node.ended = ended
	command := node.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// end kills the process and waits for it.
func (node *node) end() {
	if node.command == nil {
		return
	}
	_ = node.command.Process.Signal(syscall.SIGCONT)
	_ = node.command.Process.Kill()
	<-node.ended
}

// freeHost returns a prefix of loopback addresses, the first of which is free.
func freeHost() (string, error) {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+try)%120, (os.Getpid()/120+7*try)%250)
		listener, err := net.Listen("tcp", prefix+"10:8227")
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback address is free")
}

// resolve asks a node where clients may go.
func resolve(directory string) []string {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + directory + "/shedkeel/resolve?name=ficu95.example&region=tr-ic&zone=ic-a") //nolint:noctx // bounded by the client
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// outcome is what a client saw of one attempt.
type outcome struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

// send sends one attempt to a node, over a connection of its own, and reads the whole answer.
func send(ctx context.Context, address, method, path string, header map[string]string, body []byte) outcome {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Host = "ficu95.example"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(bufio.NewReader(response.Body))
	return outcome{status: response.StatusCode, header: response.Header, body: answer, complete: err == nil, err: err}
}
