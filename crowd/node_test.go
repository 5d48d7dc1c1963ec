package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// configText is the configuration. Its argument is the version.
const configText = `{"version":%d,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":8000,"max_attempts":2,"service":"plain"},
  {"name":"r2","host":"h.example","path_prefix":"/fee/","kind":"unsafe","timeout_ms":8000,"max_attempts":1,"service":"plain"}],
 "services":[{"name":"plain","health_path":"/health","max_connections":10000}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"shop","api_keys":["stays"]}]}`

const settingsText = `node = "node-0"
capacity = 1
zone = "z"
store = %q
[listen]
callers = %q
directory = %q
readiness = %q
control = %q
metrics = %q
[wire]
key = "crowd"
`

// sampleInterval is how often the use of the process is looked at.
const sampleInterval = 50 * time.Millisecond

// boxSettingsText are the settings of an entry box whose key-value service is away.
const boxSettingsText = `node = "box-0"
zone = "z"
[entry]
listen = %q
admin = %q
[keeper]
operator = %q
operator_key = "operators"
[wire]
listen = %q
key = "crowd"
[platform]
store = "127.0.0.1:1"
box_list = "127.0.0.1:1"
`

// processCount is how many processes were started.
var processCount atomic.Int32

// process is a running process.
type process struct {
	addresses map[string]string // of the listeners
	command   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	stopped   chan struct{} // closed when the test stops looking at it
	sampling  sync.WaitGroup
	use       use
	requests  atomic.Int64 // ordinary requests sent
}

// use is the most that a process used.
type use struct {
	resident    int64 // bytes of memory, as the kernel counts them
	memory      int64 // resident at one time, and the bytes that wait unread in the kernel
	descriptors int
	lives       bool
}

// build builds the program and returns its path.
func build(t *testing.T, program string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), program)
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "shedkeel.org/shedkeel/cmd/"+program).CombinedOutput()
	assert.NilError(t, err, string(output))
	return binary
}

// startNode starts the store, two backend servers and a node, and waits until it answers.
func startNode(t *testing.T, binary string) *process {
	t.Helper()
	return startNodeWith(t, binary, "")
}

// startNodeWith is startNode with more settings.
func startNodeWith(t *testing.T, binary, settings string) *process {
	t.Helper()
	data := standin.NewStore()
	store := httptest.NewServer((&platformstandin.Store{Data: data}).Handler())
	t.Cleanup(store.Close)
	_, err := data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: fmt.Appendf(nil, configText, 1)}}})
	assert.NilError(t, err)
	fleet := &platformstandin.Fleet{Data: data}
	for index := range 2 {
		server := &platformstandin.Server{ID: fmt.Sprint("plain-", index), Service: "plain"}
		listener := httptest.NewServer(server)
		t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		server.Address = listener.Listener.Addr().String()
		fleet.Add(server)
	}
	node := newProcess("callers", "directory", "readiness", "control", "metrics")
	text := fmt.Sprintf(settingsText, strings.TrimPrefix(store.URL, "http://"), node.addresses["callers"], node.addresses["directory"], node.addresses["readiness"], node.addresses["control"], node.addresses["metrics"])
	node.start(t, binary, text+settings)
	assert.Assert(t, node.awaitAnswer("callers"), "the node doesn't serve")
	return node
}

// newProcess returns a process that is to have the listeners.
func newProcess(listeners ...string) *process {
	process := &process{addresses: map[string]string{}, ended: make(chan struct{}), stopped: make(chan struct{})}
	// A loopback address of its own keeps the process's ports apart from those of the clients.
	host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+processCount.Add(1)/250, 1+processCount.Load()%250)
	for index, name := range listeners {
		process.addresses[name] = fmt.Sprintf("%s:%d", host, 7001+index)
	}
	return process
}

// startBox starts the program of an entry box without its other one, and waits until it answers at the listener.
func startBox(t *testing.T, binary, listener string) *process {
	t.Helper()
	process := newProcess("entry", "admin", "operator", "wire")
	addresses := process.addresses
	process.start(t, binary, fmt.Sprintf(boxSettingsText, addresses["entry"], addresses["admin"], addresses["operator"], addresses["wire"]))
	assert.Assert(t, process.awaitAnswer(listener), "the process doesn't answer")
	return process
}

// start starts the process with the text of its settings, and begins to look at its use.
func (process *process) start(t *testing.T, binary, text string) {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	process.command = exec.CommandContext(t.Context(), binary, "--settings", settings)
	log := &tail{}
	process.command.Stdout, process.command.Stderr = log, log
	assert.NilError(t, process.command.Start())
	go func() {
		_ = process.command.Wait()
		close(process.ended)
	}()
	t.Cleanup(func() {
		_ = process.command.Process.Signal(syscall.SIGKILL)
		<-process.ended
		if t.Failed() {
			t.Logf("the end of the log:\n%s", log.text())
		}
	})
	process.use.lives = true
	process.sampling.Go(process.run)
}

// run looks at the use of the process until the test stops it or the process ends.
func (process *process) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-process.ended:
			process.use.lives = false
			return
		case <-process.stopped:
			return
		case <-ticker.C:
			process.sample()
		}
	}
}

// sample takes one look.
func (process *process) sample() {
	dir := fmt.Sprint("/proc/", process.command.Process.Pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return // it has just ended
	}
	process.use.resident = max(process.use.resident, statusField(status, "VmHWM:"))
	process.use.memory = max(process.use.memory, statusField(status, "VmRSS:")+process.unread())
	if entries, err := os.ReadDir(dir + "/fd"); err == nil {
		process.use.descriptors = max(process.use.descriptors, len(entries))
	}
}

// statusField returns a field of /proc/PID/status in bytes.
func statusField(status []byte, name string) int64 {
	_, rest, _ := strings.Cut(string(status), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// unread returns the bytes that wait unread in the kernel at the node's listeners.
func (process *process) unread() int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	ports := map[string]bool{}
	for _, address := range process.addresses {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	const listening = "0A" // the state whose receive queue counts connections
	var total int64
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if _, queue, found := strings.Cut(fields[4], ":"); found && ports[port] {
			count, _ := strconv.ParseInt(queue, 16, 64)
			total += count
		}
	}
	return total
}

// stop ends the observation and returns the most that the process used.
func (process *process) stop() use {
	close(process.stopped)
	process.sampling.Wait()
	return process.use
}

// awaitAnswer sends an ordinary request to the listener, and again after each refusal or closed
// connection, until it gets an answer. It returns false if none comes in answerTime.
func (process *process) awaitAnswer(listener string) bool {
	for until := time.Now().Add(answerTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		status, err := process.request(listener, "", []byte("an ordinary body"))
		if err == nil && (status == http.StatusOK || listener == "entry" && status == http.StatusNotFound) {
			return true // an entry knows no path without a configuration, but it has judged the request
		}
	}
	return false
}

// request sends a request with the header lines over a new connection and returns the status of the
// answer.
func (process *process) request(listener, lines string, body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", process.addresses[listener], 5*time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	number := process.requests.Add(1)
	var head string
	switch listener {
	case "callers":
		head = fmt.Sprintf("POST /fee/x HTTP/1.1\r\nHost: h.example\r\nX-Shedkeel-Key: stays\r\nX-Shedkeel-Deadline-Ms: 8000\r\nX-Shedkeel-Attempt-Id: ordinary-%d\r\nContent-Length: %d\r\n%s\r\n", number, len(body), lines)
	case "admin", "operator":
		head, body = "GET /healthz HTTP/1.1\r\nHost: h.example\r\n"+lines+"\r\n", nil
	case "directory":
		head, body = "GET /shedkeel/resolve?name=h.example&zone=z HTTP/1.1\r\nHost: h.example\r\n"+lines+"\r\n", nil
	default:
		head, body = "GET /"+listener+" HTTP/1.1\r\nHost: h.example\r\n"+lines+"\r\n", nil
	}
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// tail keeps the end of what a process writes.
type tail struct {
	mutex sync.Mutex
	last  []byte
}

// maxTail is how many bytes tail keeps.
const maxTail = 4 << 10

// Write implements io.Writer.
func (tail *tail) Write(data []byte) (int, error) {
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	tail.last = append(tail.last, data...)
	if excess := len(tail.last) - maxTail; excess > 0 {
		tail.last = bytes.Clone(tail.last[excess:])
	}
	return len(data), nil
}

// text returns what was kept.
func (tail *tail) text() string {
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	return string(tail.last)
}
