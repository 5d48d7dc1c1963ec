package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/reach"
)

const (
	// probeTimeout is how long a server may take to answer a probe; a live one answers
	// in milliseconds.
	probeTimeout = 200 * time.Millisecond
	// secondQueryDelay is how long a probe waits for the answer to its query before it
	// sends a second query. The first query may have been lost.
	secondQueryDelay = 60 * time.Millisecond
	// maxProbeOverrun is how far a probe may exceed its time-out before this process
	// counts as too slow to judge others.
	maxProbeOverrun = 60 * time.Millisecond
	// maxConcurrentProbes bounds the probes in progress. On a box with a fifth of a
	// core, 600 concurrent probes all end late, and 67 live servers count as dead.
	maxConcurrentProbes = 32
	// witnessCount is how many other servers, the witnesses, are asked at most before a
	// server counts as dead. If none of the witnesses answers either, this node may be cut
	// off.
	witnessCount = 3
)

// errInconclusive says that a failed probe does not prove a server dead, since this node
// may be cut off or too slow.
var errInconclusive = errors.New("probe inconclusive: this node may be cut off or overloaded")

// errRestarted says that the server at the address reports another start time than the one
// in the probed instance's ID. The probed instance has therefore terminated.
var errRestarted = errors.New("the server has restarted: its start time is not the recorded one")

// prober finds out whether servers are alive. Its exported fields are set before its
// first use.
type prober struct {
	Engines shedkeel.GroupEngines
	Timers  shedkeel.Timers
	Delays  *liveness.Delays // of this process; nil: not known

	once  sync.Once
	slots chan struct{} // semaphore: holds one element for each probe in progress
}

// probe asks a server for its report. It returns nil if the server answers, errRestarted if
// another instance of it answers, an error that wraps errInconclusive if the lack of an answer
// does not prove the server dead, or else the reason why it counts as dead. Witnesses are the
// addresses of other servers, which show whether this node reaches any server.
func (prober *prober) probe(ctx context.Context, instance shedkeel.Instance, witnesses []string) error {
	prober.once.Do(func() { prober.slots = make(chan struct{}, maxConcurrentProbes) })
	prober.slots <- struct{}{}
	defer func() { <-prober.slots }()
	began := prober.Timers.Now()
	report, err := prober.query(ctx, instance.Address)
	if err == nil && !report.From(instance.ID) {
		return errRestarted
	}
	if err == nil {
		return nil
	}
	now := prober.Timers.Now()
	delayed := now-began > probeTimeout+maxProbeOverrun || !prober.Delays.Proves(began, now)
	if delayed && !reach.IsRefused(err) || !prober.reachesAny(ctx, witnesses) {
		return errors.Join(errInconclusive, err)
	}
	return err
}

// probeReply is the result of one query that a probe sends.
type probeReply struct {
	report shedkeel.EngineReport
	err    error
}

// query asks a server for its report. If there is neither an answer nor an error within
// secondQueryDelay, query asks a second time and returns the report that arrives first. Once
// all queries that it has started have failed, it returns the error of the last of them. All
// queries share the time limit probeTimeout.
func (prober *prober) query(ctx context.Context, address string) (shedkeel.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	const maxQueries = 2
	answers := make(chan probeReply, maxQueries)
	go prober.runQuery(ctx, address, answers)
	var secondDue <-chan time.Time
	timer := time.NewTimer(secondQueryDelay)
	defer timer.Stop()
	secondDue = timer.C
	var err error
	for waiting := 1; waiting > 0; {
		select {
		case <-secondDue:
			secondDue = nil
			waiting++
			go prober.runQuery(ctx, address, answers)
		case answer := <-answers:
			waiting--
			err = answer.err
			if err == nil {
				return answer.report, nil
			}
		}
	}
	return shedkeel.EngineReport{}, err
}

// runQuery asks a server for its report and sends the result to answers.
func (prober *prober) runQuery(ctx context.Context, address string, answers chan<- probeReply) {
	report, err := prober.Engines.Report(ctx, address)
	answers <- probeReply{report: report, err: err}
}

// reachesAny asks up to witnessCount of the witnesses, chosen at random, and reports
// whether any of them answers without an error within probeTimeout.
func (prober *prober) reachesAny(ctx context.Context, witnesses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	queried := min(witnessCount, len(witnesses))
	answers := make(chan probeReply, queried)
	for _, index := range rand.Perm(len(witnesses))[:queried] {
		go prober.runQuery(ctx, witnesses[index], answers)
	}
	for range queried {
		if answer := <-answers; answer.err == nil {
			return true
		}
	}
	return false
}
