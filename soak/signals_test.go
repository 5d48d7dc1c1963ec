package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sentSignal is a signal to a process and the pause before it is sent.
type sentSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// TestSignalsWhileStopping sends more signals to a node during its graceful stop. It
// guards against a node that restores the default action of SIGHUP when its stop
// begins: a hangup then ended the node 2.7 s after SIGTERM, in the middle of answers that
// the node had time left to finish.
func TestSignalsWhileStopping(t *testing.T) {
	cases := map[string][]sentSignal{
		"a hangup":         {{300 * time.Millisecond, syscall.SIGHUP}},
		"several hangups":  {{0, syscall.SIGHUP}, {time.Millisecond, syscall.SIGHUP}, {50 * time.Millisecond, syscall.SIGHUP}, {time.Second, syscall.SIGHUP}},
		"a second SIGTERM": {{300 * time.Millisecond, syscall.SIGTERM}},
		"two more SIGTERMs, each followed by a hangup": {{100 * time.Millisecond, syscall.SIGTERM}, {0, syscall.SIGHUP}, {500 * time.Millisecond, syscall.SIGTERM}, {500 * time.Millisecond, syscall.SIGHUP}},
	}
	binary := build(t)
	for name, signals := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, binary, 1, smallFleet())
			cluster.checker.cluster = cluster
			cluster.checker.waitServed("before any signal", 20*time.Second)
			node := cluster.nodes[0]
			began := time.Now()
			node.signal(syscall.SIGTERM)
			for _, sent := range signals {
				time.Sleep(sent.after)
				node.signal(sent.signal)
			}
			assert.NilError(t, node.wait(), "the node did not stop gracefully; it ended after %s", time.Since(began))
			cluster.checker.check()
		})
	}
}

// TestSignalsWhileStarting sends hangups to a node that still reads its settings. They
// must not end the node, and after a later hangup with invalid settings it keeps the old
// settings: it must still answer calls. The settings are a named pipe at first, so that the
// node's read blocks until the test has sent the signals.
func TestSignalsWhileStarting(t *testing.T) {
	cases := map[string]struct {
		early  []sentSignal // sent before the node has read its settings
		broken bool         // the settings then become invalid and the node gets a hangup
	}{
		"a hangup":                         {[]sentSignal{{0, syscall.SIGHUP}}, false},
		"several hangups":                  {[]sentSignal{{0, syscall.SIGHUP}, {0, syscall.SIGHUP}, {20 * time.Millisecond, syscall.SIGHUP}}, false},
		"invalid settings after the start": {[]sentSignal{{0, syscall.SIGHUP}}, true},
	}
	binary := build(t)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, binary, 2, smallFleet())
			cluster.checker.cluster = cluster
			cluster.checker.waitServed("before any signal", 20*time.Second)
			node := cluster.nodes[0]
			node.end(syscall.SIGKILL)
			settings, err := os.ReadFile(node.settings)
			assert.NilError(t, err)
			regularFile := node.settings
			node.settings = filepath.Join(cluster.dir, "settings-to-come")
			assert.NilError(t, syscall.Mkfifo(node.settings, 0o600))
			cluster.startNode(node)
			pipe, err := os.OpenFile(node.settings, os.O_WRONLY, 0) // blocks until the node opens it
			assert.NilError(t, err)
			for _, sent := range test.early {
				time.Sleep(sent.after)
				node.signal(sent.signal)
			}
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, os.Rename(regularFile, node.settings)) // a later read gets a regular file
			_, err = pipe.Write(settings)
			assert.NilError(t, err)
			assert.NilError(t, pipe.Close())
			if test.broken {
				time.Sleep(500 * time.Millisecond)
				assert.NilError(t, os.WriteFile(node.settings, []byte("node = \n"), 0o600))
				node.signal(syscall.SIGHUP)
			}
			cluster.checker.waitServed("after the signals", 20*time.Second)
			node.signal(syscall.SIGTERM)
			assert.NilError(t, node.wait())
			cluster.checker.check()
		})
	}
}

// wait waits until the process has ended by itself and returns its exit error, or
// exec.ErrNotFound if it does not run.
func (process *process) wait() error {
	process.lifecycle.Lock()
	defer process.lifecycle.Unlock()
	command := process.running()
	if command == nil {
		return exec.ErrNotFound
	}
	err := command.Wait()
	process.set(nil)
	return err
}
