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
	// paceInterval is how often the leader asks each member of a group for its pace. Each
	// call costs as much as a probe, so the leader does not ask more often.
	paceInterval = 2 * time.Second
	// paceBatches is the number of batches into which the members are split. Each tick
	// asks one batch, so that the calls are spread evenly over paceInterval.
	paceBatches = 10
	// paceTimeout is how long an answer may take. The prober finds out whether servers that
	// do not answer are dead.
	paceTimeout = 200 * time.Millisecond
	// slowThreshold is the pace from which a member counts as slow. The paces of normal
	// members of one service differ by some tenths, and slow members take several times as
	// long, so the threshold lies between the two.
	slowThreshold = 2.0
	// recoveredThreshold is the pace up to which a slow member counts as normal again.
	recoveredThreshold = 1.3
)

// paces asks the members of groups for their pace: 1 is normal, and a member with pace 2
// takes twice as long. A group works at the pace of its slowest member. The leader asks
// the members because each node alone sees few requests of a group. The planner replaces
// slow members.
type paces struct {
	controller *controller
	ticks      int                             // number of ticks so far; its remainder selects the batch
	slow       map[shedkeel.InstanceID]float64 // slow servers and the paces at which they became slow; guarded by the controller's mutex
}

// tick asks the next batch of members for their pace and forgets slow servers that are no longer
// listed. It does nothing if this node does not lead.
func (paces *paces) tick(now time.Duration) {
	controller := paces.controller
	if !controller.leading(now) {
		return
	}
	paces.ticks++
	services := controller.node.fleet.groupServices()
	for _, instances := range services {
		paces.queryBatch(instances)
	}
	paces.removeUnlisted(services)
}

// removeUnlisted forgets slow servers that are no longer listed.
func (paces *paces) removeUnlisted(services map[shedkeel.ServiceID][]shedkeel.Instance) {
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

// queryBatch asks for their pace those servers of the current batch that are members of a
// group or count as slow. Slow servers are asked even after they have left their group, so that
// they can count as normal again.
func (paces *paces) queryBatch(instances []shedkeel.Instance) {
	for index, instance := range instances {
		if index%paceBatches == paces.ticks%paceBatches && (instance.Member != nil || paces.isSlow(instance.ID)) {
			go paces.runQuery(instance)
		}
	}
}

// isSlow reports whether a server counts as slow.
func (paces *paces) isSlow(id shedkeel.InstanceID) bool {
	paces.controller.mutex.Lock()
	defer paces.controller.mutex.Unlock()
	_, slow := paces.slow[id]
	return slow
}

// runQuery asks one server for its pace. It ignores a report that another instance at the
// server's address has sent.
func (paces *paces) runQuery(instance shedkeel.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), paceTimeout)
	defer cancel()
	report, err := paces.controller.node.Engines.Report(ctx, instance.Address)
	if err != nil || !report.From(instance.ID) {
		return // the known pace stays; if the group stops responding, probes find out whether the server is alive
	}
	paces.update(instance.ID, report.Slowdown)
}

// update processes the pace that a server reports: the server counts as slow from
// slowThreshold on, until a pace of at most recoveredThreshold. A report without a pace has the
// pace 0, which counts as normal.
func (paces *paces) update(id shedkeel.InstanceID, pace float64) {
	wasSlow := paces.isSlow(id)
	slow := pace >= slowThreshold || wasSlow && pace > recoveredThreshold
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
