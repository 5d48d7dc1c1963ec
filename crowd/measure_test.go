package crowd

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

var (
	measured    = flag.String("measure", "", "path of a node's program: measures it beside some crowds in place of the checks")
	memoryMB    = flag.Int("memory", 0, "limits.memory_mb of the measured node; 0: not stated")
	descriptors = flag.Int("descriptors", 0, "limits.descriptors of the measured node; 0: not stated")
	grown       = flag.Int("grown", 1, "by how much the measured crowds are larger")
)

// measuredCrowds are the crowds that TestMeasure measures, at the callers' listener.
var measuredCrowds = []string{"", "short lines", "body short of its end", "whole bodies", "at rest"}

// probes are the ordinary requests that are sent beside a measured crowd, by the size of their bodies.
var probes = map[string]int{"small": 16, "256 KiB": 256 << 10, "4 MiB": maxBody}

// TestMeasure prints what a node uses beside crowds, and how many ordinary requests are answered there without
// another try. It checks nothing.
func TestMeasure(t *testing.T) {
	if *measured == "" {
		t.Skip("measures only with -measure PROGRAM")
	}
	limits := "[limits]\n"
	if *memoryMB > 0 {
		limits += fmt.Sprintf("memory_mb = %d\n", *memoryMB)
	}
	if *descriptors > 0 {
		limits += fmt.Sprintf("descriptors = %d\n", *descriptors)
	}
	for _, name := range measuredCrowds {
		t.Run(name, func(t *testing.T) {
			node := startNodeWith(t, *measured, limits)
			crowd := &crowd{done: make(chan struct{})}
			if kind, found := kinds["callers"][name]; found {
				kind.clients *= *grown
				crowd.add(node, "callers", kind)
			}
			time.Sleep(actTime / 4)
			outcomes := sendProbes(t, node)
			close(crowd.done)
			crowd.clients.Wait()
			use := node.stop()
			t.Logf("%q: %.0f MB, %d descriptors, lives: %t; %v", name, float64(use.memory)/1e6, use.descriptors, use.lives, outcomes)
		})
	}
}

// sendProbes sends ordinary requests for actTime, and returns how many of each size were answered with 200, refused with 503,
// or got something else.
func sendProbes(t *testing.T, node *process) map[string][3]int {
	t.Helper()
	outcomes := map[string][3]int{}
	var mutex sync.Mutex
	var sending sync.WaitGroup
	for name, size := range probes {
		sending.Go(func() {
			for until := time.Now().Add(actTime); time.Now().Before(until); time.Sleep(actTime / 20) {
				status, err := node.request("callers", "", bytes.Repeat([]byte("x"), size))
				mutex.Lock()
				counts := outcomes[name]
				switch {
				case err == nil && status == http.StatusOK:
					counts[0]++
				case err == nil && status == http.StatusServiceUnavailable:
					counts[1]++
				default:
					counts[2]++
					t.Log(name, status, err)
				}
				outcomes[name] = counts
				mutex.Unlock()
			}
		})
	}
	sending.Wait()
	return outcomes
}
