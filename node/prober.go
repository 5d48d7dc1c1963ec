package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// probeTimeout is how long a member may take to answer a probe; it
	// answers in milliseconds when it lives.
	probeTimeout = 200 * time.Millisecond
	// probeSecond is after how long without an answer a second probe is sent
	// beside the first, which may have been lost on its way.
	probeSecond = 60 * time.Millisecond
	// probeLate is how much later than its time-out a probe may end before
	// this process counts as too slow itself to judge others.
	probeLate = 60 * time.Millisecond
	// probesAtOnce bounds the probes under way. On a box of a fifth of a core
	// 600 at once were all late, and 67 servers that lived were taken for dead.
	probesAtOnce = 32
	// witnesses is how many other servers are asked before one is taken for
	// dead: if none of them answers either, this node is cut off.
	witnesses = 3
)

// errUnsure says that a probe proves nothing, since this node may be cut off
// or too slow.
var errUnsure = errors.New("the probe proves nothing")

// errStartedAgain says that the server that answers is not the start of it that
// was asked for, which is gone.
var errStartedAgain = errors.New("the server has started again and knows nothing of before")

// prober finds out whether servers live. Its exported fields are set before
// its first use.
type prober struct {
	Engines shedkeel.GroupEngines
	Timers  shedkeel.Timers

	once  sync.Once
	slots chan struct{}
}

// probe returns nil if the server answers, errUnsure if nothing can be said,
// or why it counts as dead. Others are addresses of servers that may be asked
// whether this node reaches any.
func (prober *prober) probe(ctx context.Context, instance shedkeel.Instance, others []string) error {
	prober.once.Do(func() { prober.slots = make(chan struct{}, probesAtOnce) })
	prober.slots <- struct{}{}
	defer func() { <-prober.slots }()
	began := prober.Timers.Now()
	report, err := prober.ask(ctx, instance.Address)
	if err == nil && !report.From(instance.ID) {
		return errStartedAgain
	}
	if err == nil {
		return nil
	}
	if prober.Timers.Now()-began > probeTimeout+probeLate || !prober.reachesAny(ctx, others) {
		return errors.Join(errUnsure, err)
	}
	return err
}

// probeAnswer is what became of one question of a probe.
type probeAnswer struct {
	report shedkeel.EngineReport
	err    error
}

// ask probes twice, the second time beside a first one that is not answered at
// once.
func (prober *prober) ask(ctx context.Context, address string) (shedkeel.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	const tries = 2
	answers := make(chan probeAnswer, tries)
	go prober.runAsk(ctx, address, answers)
	var second <-chan time.Time
	timer := time.NewTimer(probeSecond)
	defer timer.Stop()
	second = timer.C
	var err error
	for waiting := 1; waiting > 0; {
		select {
		case <-second:
			second = nil
			waiting++
			go prober.runAsk(ctx, address, answers)
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

func (prober *prober) runAsk(ctx context.Context, address string, answers chan<- probeAnswer) {
	report, err := prober.Engines.Report(ctx, address)
	answers <- probeAnswer{report: report, err: err}
}

// reachesAny reports whether one of some of the other servers answers.
func (prober *prober) reachesAny(ctx context.Context, others []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := min(witnesses, len(others))
	answers := make(chan probeAnswer, asked)
	for _, index := range rand.Perm(len(others))[:asked] {
		go prober.runAsk(ctx, others[index], answers)
	}
	for range asked {
		if answer := <-answers; answer.err == nil {
			return true
		}
	}
	return false
}
