package node

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/timer"
)

// fakeEngines stands in for servers. Servers whose addresses are in up answer; other servers
// do not.
type fakeEngines struct {
	shedkeel.GroupEngines
	up    map[string]bool
	born  map[string]int64 // the start times that servers report, by address; 0: none
	delay time.Duration    // delay with which this node notices that a query has timed out
	err   error            // of queries to servers that do not answer, at once; nil: they time out
	asked atomic.Int64     // number of queries
}

func (engines *fakeEngines) Report(ctx context.Context, address string) (shedkeel.EngineReport, error) {
	engines.asked.Add(1)
	if !engines.up[address] {
		if engines.err != nil {
			return shedkeel.EngineReport{}, engines.err
		}
		<-ctx.Done()
		time.Sleep(engines.delay)
		return shedkeel.EngineReport{}, ctx.Err()
	}
	return shedkeel.EngineReport{Born: engines.born[address]}, nil
}

// TestProbe checks when a server counts as alive or as dead, and when a probe is
// inconclusive. If the probed server counts as alive, the probe must have asked it only once and
// must have asked no witness.
func TestProbe(t *testing.T) {
	cases := map[string]struct {
		up               []string            // addresses that answer; "a" is probed, "b" and "c" are witnesses
		id               shedkeel.InstanceID // of the probed server; may contain its recorded start time
		born             int64               // the start time that the probed server reports; 0: none
		delay            time.Duration       // see fakeEngines
		err              error               // see fakeEngines
		delayed          bool                // this process is delayed from the start of the probe on
		wantErr          bool                // the probe must return an error
		wantInconclusive bool                // the error must wrap errInconclusive
	}{
		"the server answers, no start time is known":      {up: []string{"a", "b"}},
		"only a witness answers":                          {up: []string{"b"}, wantErr: true},
		"no server answers: this node may be cut off":     {wantErr: true, wantInconclusive: true},
		"the server answers with its recorded start time": {up: []string{"a", "b"}, id: shedkeel.NewInstanceID("s", 7), born: 7},
		"the server answers with another start time":      {up: []string{"a"}, id: shedkeel.NewInstanceID("s", 7), born: 8, wantErr: true},
		"only the record has a start time":                {up: []string{"a"}, id: shedkeel.NewInstanceID("s", 7)},
		"only the answer has a start time":                {up: []string{"a"}, id: "s", born: 8},
		"this node is delayed while it waits":             {up: []string{"b"}, delayed: true, wantErr: true, wantInconclusive: true},
		"the server refuses while this node is delayed":   {up: []string{"b"}, delayed: true, err: syscall.ECONNREFUSED, wantErr: true},
		"this node is too slow":                           {up: []string{"b"}, delay: 2 * maxProbeOverrun, wantErr: true, wantInconclusive: true}, // the probe exceeds its time-out by twice maxProbeOverrun
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			engines := &fakeEngines{up: map[string]bool{}, born: map[string]int64{"a": test.born}, delay: test.delay, err: test.err}
			for _, address := range test.up {
				engines.up[address] = true
			}
			prober := &prober{Engines: engines, Timers: &timer.System{}, Delays: &liveness.Delays{}}
			if test.delayed {
				prober.Delays.Tick(prober.Timers.Now() - 2*liveness.TickInterval)
			}
			err := prober.probe(t.Context(), shedkeel.Instance{ID: test.id, Address: "a"}, []string{"b", "c"})
			assert.Equal(t, err != nil, test.wantErr)
			assert.Equal(t, errors.Is(err, errInconclusive), test.wantInconclusive)
			if !test.wantErr {
				assert.Equal(t, engines.asked.Load(), int64(1), "queries to a server that answers and to its witnesses")
			}
		})
	}
}
