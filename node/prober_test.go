package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/timer"
)

// fakeEngines stands in for servers: those whose addresses are in up answer, others do not.
type fakeEngines struct {
	shedkeel.GroupEngines
	up    map[string]bool
	born  map[string]int64 // the start time that a server reports
	slow  time.Duration    // by how much this node is late to notice that a query has timed out
	asked atomic.Int64     // number of queries
}

func (engines *fakeEngines) Report(ctx context.Context, address string) (shedkeel.EngineReport, error) {
	engines.asked.Add(1)
	if !engines.up[address] {
		<-ctx.Done()
		time.Sleep(engines.slow)
		return shedkeel.EngineReport{}, ctx.Err()
	}
	return shedkeel.EngineReport{Born: engines.born[address]}, nil
}

// TestProbe checks when a server counts as alive or as dead, and when a probe is
// inconclusive.
func TestProbe(t *testing.T) {
	cases := map[string]struct {
		up     []string // addresses that answer; "a" is probed, "b" and "c" are witnesses
		id     shedkeel.InstanceID
		born   int64         // the start time that the probed server reports
		slow   time.Duration // see fakeEngines
		dead   bool          // the probe returns an error
		unsure bool          // the error is errInconclusive
	}{
		"it answers":                           {up: []string{"a", "b"}},
		"it does not answer and another does":  {up: []string{"b"}, dead: true},
		"nobody answers: this node is cut off": {dead: true, unsure: true},
		"it answers, from the same start":      {up: []string{"a", "b"}, id: shedkeel.NewInstanceID("s", 7), born: 7},
		"it has started again":                 {up: []string{"a"}, id: shedkeel.NewInstanceID("s", 7), born: 8, dead: true},
		"only its record has a start time":     {up: []string{"a"}, id: shedkeel.NewInstanceID("s", 7)},
		"only its answer has a start time":     {up: []string{"a"}, id: "s", born: 8},
		"this node is slow itself":             {up: []string{"b"}, slow: 2 * maxProbeOverrun, dead: true, unsure: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			engines := &fakeEngines{up: map[string]bool{}, born: map[string]int64{"a": test.born}, slow: test.slow}
			for _, address := range test.up {
				engines.up[address] = true
			}
			prober := &prober{Engines: engines, Timers: &timer.System{}}
			err := prober.probe(t.Context(), shedkeel.Instance{ID: test.id, Address: "a"}, []string{"b", "c"})
			assert.Equal(t, err != nil, test.dead)
			assert.Equal(t, errors.Is(err, errInconclusive), test.unsure)
			if !test.dead {
				assert.Equal(t, engines.asked.Load(), int64(1), "a server that answers was asked more than once")
			}
		})
	}
}
