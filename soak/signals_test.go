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

// sentSignal is a signal that a process gets, and how long after the one before.
type sentSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// TestSignalsWhileStopping sends more signals to a node that stops as planned. It
// gave hangups back to the system when its stop began, and the default action ended
// it: SIGTERM at 12.80 s, gone at 15.52 s with a hangup, in the middle of answers
// that it had grace to finish.
func TestSignalsWhileStopping(t *testing.T) {
	cases := map[string][]sentSignal{
		"a hangup":               {{300 * time.Millisecond, syscall.SIGHUP}},
		"hangups in series":      {{0, syscall.SIGHUP}, {time.Millisecond, syscall.SIGHUP}, {50 * time.Millisecond, syscall.SIGHUP}, {time.Second, syscall.SIGHUP}},
		"a second SIGTERM":       {{300 * time.Millisecond, syscall.SIGTERM}},
		"both, before and after": {{100 * time.Millisecond, syscall.SIGTERM}, {0, syscall.SIGHUP}, {500 * time.Millisecond, syscall.SIGTERM}, {500 * time.Millisecond, syscall.SIGHUP}},
	}
	binary := build(t)
	for name, signals := range cases {
		t.Run(name, func(t *testing.T) {
			world := newWorld(t, binary, 1)
			world.judge.world = world
			world.judge.waitServed("before any signal", 20*time.Second)
			node := world.nodes[0]
			began := time.Now()
			node.signal(syscall.SIGTERM)
			for _, sent := range signals {
				time.Sleep(sent.after)
				node.signal(sent.signal)
			}
			assert.NilError(t, node.wait(), "it ended early, after %s", time.Since(began))
			world.judge.check()
		})
	}
}

// TestSignalsWhileStarting sends signals to a node that still reads its settings:
// a hangup must not end it, and settings that can't be read leave it as it is.
func TestSignalsWhileStarting(t *testing.T) {
	cases := map[string]struct {
		early  []sentSignal // before it has its settings
		broken bool         // the settings are spoilt then, and it gets a hangup
	}{
		"a hangup":                    {[]sentSignal{{0, syscall.SIGHUP}}, false},
		"hangups in series":           {[]sentSignal{{0, syscall.SIGHUP}, {0, syscall.SIGHUP}, {20 * time.Millisecond, syscall.SIGHUP}}, false},
		"hangup, and broken settings": {[]sentSignal{{0, syscall.SIGHUP}}, true},
	}
	binary := build(t)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newWorld(t, binary, 2)
			world.judge.world = world
			world.judge.waitServed("before any signal", 20*time.Second)
			node := world.nodes[0]
			node.end(syscall.SIGKILL)
			settings, err := os.ReadFile(node.settings)
			assert.NilError(t, err)
			plain := node.settings
			node.settings = filepath.Join(world.dir, "settings-to-come")
			assert.NilError(t, syscall.Mkfifo(node.settings, 0o600))
			world.startNode(node)
			pipe, err := os.OpenFile(node.settings, os.O_WRONLY, 0) // waits until the node reads
			assert.NilError(t, err)
			for _, sent := range test.early {
				time.Sleep(sent.after)
				node.signal(sent.signal)
			}
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, os.Rename(plain, node.settings)) // for the next reading
			_, err = pipe.Write(settings)
			assert.NilError(t, err)
			assert.NilError(t, pipe.Close())
			if test.broken {
				time.Sleep(500 * time.Millisecond)
				assert.NilError(t, os.WriteFile(node.settings, []byte("node = \n"), 0o600))
				node.signal(syscall.SIGHUP)
			}
			world.judge.waitServed("after the signals", 20*time.Second)
			node.signal(syscall.SIGTERM)
			assert.NilError(t, node.wait())
			world.judge.check()
		})
	}
}

// wait waits until the process has ended by itself, and returns how it did.
func (process *process) wait() error {
	process.life.Lock()
	defer process.life.Unlock()
	command := process.running()
	if command == nil {
		return exec.ErrNotFound
	}
	err := command.Wait()
	process.set(nil)
	return err
}
