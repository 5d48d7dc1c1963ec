package node

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

const (
	// paceEvery is how often the planner asks each member of a group for its
	// pace. Each question costs what a probe costs.
	paceEvery = 2 * time.Second
	// paceParts is into how many parts the members are split that are asked
	// one after the other, so that the questions come evenly.
	paceParts = 10
	// paceTimeout is how long an answer may take; a server that gives none is
	// left to the probes.
	paceTimeout = 200 * time.Millisecond
	// slowPace is the pace from which a member counts as slow. Members of one
	// service vary by some tenths; slow ones take several times as long.
	slowPace = 2.0
	// soundPace is the pace below which a slow member counts as sound again.
	soundPace = 1.3
)

// paces asks the members of groups how slow they are: a group works at the
// pace of its slowest member, and each node alone sees few of its requests.
//
// The planner replaces slow members by it: 0.016 +- 0.002 of the worth of a day
// on which servers turn slow four times (3 pairs of plays). The questions cost
// 0.002 of the worth of any day.
type paces struct {
	controller *controller
	part       int
	slow       map[shedkeel.InstanceID]float64 // slow ones and their pace
}

// tick asks one part of the members while the node plans.
func (paces *paces) tick(now time.Duration) {
	controller := paces.controller
	if !controller.leading(now) {
		return
	}
	paces.part++
	services := controller.node.fleet.groupServices()
	for _, instances := range services {
		paces.askPart(instances)
	}
	paces.forgetGone(services)
}

// forgetGone forgets slow servers that are no longer listed.
func (paces *paces) forgetGone(services map[shedkeel.ServiceID][]shedkeel.Instance) {
	listed := map[shedkeel.InstanceID]bool{}
	for _, instances := range services {
		for _, instance := range instances {
			listed[instance.ID] = true
		}
	}
	paces.controller.mutex.Lock()
	defer paces.controller.mutex.Unlock()
	maps.DeleteFunc(paces.slow, func(id shedkeel.InstanceID, _ float64) bool { return !listed[id] })
}

func (paces *paces) askPart(instances []shedkeel.Instance) {
	for index, instance := range instances {
		if index%paceParts == paces.part%paceParts && (instance.Member != nil || paces.isSlow(instance.ID)) {
			go paces.runAsk(instance)
		}
	}
}

func (paces *paces) isSlow(id shedkeel.InstanceID) bool {
	paces.controller.mutex.Lock()
	defer paces.controller.mutex.Unlock()
	_, slow := paces.slow[id]
	return slow
}

func (paces *paces) runAsk(instance shedkeel.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), paceTimeout)
	defer cancel()
	report, err := paces.controller.node.Engines.Report(ctx, instance.Address)
	if err != nil || !report.From(instance.ID) {
		return // probes find out whether it lives, once its group is silent
	}
	paces.take(instance.ID, report.Pace)
}

// take takes in the pace that a server tells.
func (paces *paces) take(id shedkeel.InstanceID, pace float64) {
	wasSlow := paces.isSlow(id)
	slow := pace >= slowPace || wasSlow && pace > soundPace
	if slow == wasSlow {
		return
	}
	paces.controller.mutex.Lock()
	if slow {
		paces.slow[id] = pace
	} else {
		delete(paces.slow, id)
	}
	paces.controller.mutex.Unlock()
	paces.controller.node.Log.Write(event.PaceChanged, slog.String("server", string(id)), slog.Float64("pace", pace), slog.Bool("slow", slow))
}
