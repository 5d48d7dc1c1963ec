package node

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
	"shedkeel.org/shedkeel/timer"
)

const (
	// planTick is how often a leader plans.
	planTick = 50 * time.Millisecond
	// planAge is how old what a leader knows may be for it to give orders.
	planAge = 2 * time.Second
	// usageEvery is how often the use of servers is logged.
	usageEvery = 2 * time.Second
)

// controller plans replica groups while its node leads.
type controller struct {
	node   *Node
	prober prober
	paces  paces
	demand demands
	lease  lease // its end ends this node's leading

	mutex    sync.Mutex
	resigned bool
	leads    bool
	term     uint64
	epochs   uint64
	planners map[shedkeel.ServiceID]*formation.Planner
	suspects map[shedkeel.Assignment]time.Duration // noticed then, not yet probed
	followed map[shedkeel.Assignment]time.Duration // when a notice was last taken
	probing  map[shedkeel.InstanceID]bool
	dead     map[shedkeel.InstanceID]time.Duration // probed again then
	vacant   time.Duration                         // since when no one leads
	stray    time.Duration                         // since when the one that leads is not listed; 0: it is
	told     time.Duration                         // when the use of servers was logged last
	sized    time.Duration                         // when the size of the fleet was looked at last
	// era is that of the key-value service that this node follows, and since is since when
	// it does. Only the planning loop uses them.
	era   int64
	since time.Duration
	// kept are the loads as written last. Only the planning loop uses it.
	kept map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID
}

func (controller *controller) prepare() {
	controller.lease = lease{node: controller.node, ttl: leadTTL}
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.suspects = map[shedkeel.Assignment]time.Duration{}
	controller.followed = map[shedkeel.Assignment]time.Duration{}
	controller.probing = map[shedkeel.InstanceID]bool{}
	controller.kept = map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID{}
	controller.prober = prober{Engines: controller.node.Engines, Timers: controller.node.Timers}
	controller.paces = paces{controller: controller, slow: map[shedkeel.InstanceID]float64{}}
	controller.demand = demands{controller: controller}
	controller.dead = map[shedkeel.InstanceID]time.Duration{}
}

func (controller *controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := controller.node.Timers.Now()
		controller.noteEra(now)
		if controller.leading(now) {
			controller.plan(ctx, now)
			controller.keepSize(ctx, now)
		} else {
			controller.elect(ctx, now)
		}
		timer.Sleep(ctx, planTick)
	}
}

// noteEra notes since when this node follows the present era of the service, which may
// have lost what was written.
func (controller *controller) noteEra(now time.Duration) {
	state := controller.node.mirror.State()
	if state.Known && (controller.since == 0 || controller.era != state.At.Era) {
		controller.era, controller.since = state.At.Era, now
		clear(controller.kept)
	}
}

// settled reports whether the backend servers have had the time to write their records
// again since the service came back from an older copy. Until then an older record may
// tell of a server as free that is a member of a group.
func (controller *controller) settled(now time.Duration) bool {
	return controller.era == 0 || now-controller.since >= lapseHold
}

// nextEpoch returns an epoch that no other formation has. The mutex is held.
func (controller *controller) nextEpoch() uint64 {
	controller.epochs++
	return controller.term*termEpochs + controller.epochs
}

// plan gives the orders that are due.
func (controller *controller) plan(ctx context.Context, now time.Duration) {
	node := controller.node
	view := node.fleet.view.Load()
	if now-node.mirror.State().AsOf > planAge || view == nil {
		return
	}
	if !controller.settled(now) {
		return
	}
	services := node.fleet.groupServices()
	tellUsage := now-controller.told >= usageEvery
	if tellUsage {
		controller.told = now
		controller.tellWaits(now)
	}
	controller.probeSuspects(ctx, slices.Concat(slices.Collect(maps.Values(services))...), now)
	for id, instances := range services {
		controller.mutex.Lock()
		planner := controller.planner(id, view.Service(id).Engine, now)
		dead := map[shedkeel.InstanceID]bool{}
		for instance := range controller.dead {
			dead[instance] = true
		}
		slow := maps.Clone(controller.paces.slow)
		demand := controller.demand.of(id)
		actions := planner.Plan(formation.Input{
			Now: now, Engine: view.Service(id).Engine, Instances: instances, Dead: dead, Probed: maps.Clone(controller.probing), Slow: slow, Stalled: controller.stalled(now), Demand: demand, Traffic: node.front.Served() > 0,
		})
		loading := planner.Loading()
		if tellUsage {
			controller.tellUsage(planner)
		}
		controller.mutex.Unlock()
		for _, action := range actions {
			go controller.runOrder(ctx, planner, action)
		}
		controller.keepLoads(ctx, id, loading)
	}
}

// tellUsage logs what servers are used for. The mutex is held.
func (controller *controller) tellUsage(planner *formation.Planner) {
	for _, usage := range planner.Usage() {
		controller.node.Log.Write(event.DomainUsage, slog.String("domain", string(usage.Domain)), slog.Any("serving", usage.Serving), slog.Any("spare", usage.Spare),
			slog.Int("loading", usage.Loading), slog.Int("empty", usage.Empty), slog.Int("lost", usage.Lost))
	}
}

// planner returns the planner of a service. A new one goes on with the loads
// that its forerunner ordered. The mutex is held.
func (controller *controller) planner(id shedkeel.ServiceID, engine *shedkeel.Engine, now time.Duration) *formation.Planner {
	if planner := controller.planners[id]; planner != nil {
		return planner
	}
	planner := &formation.Planner{NextEpoch: controller.nextEpoch}
	controller.planners[id] = planner
	record := controller.node.mirror.Get(loadsPrefix + string(id))
	if !record.Revision.Exists() {
		return planner
	}
	var loading map[shedkeel.InstanceID]shedkeel.ModelID
	if controller.node.fleet.read(record, &loading) != nil {
		return planner
	}
	planner.Adopt(loading, engine, now)
	controller.kept[id] = loading
	return planner
}

// runOrder gives one order and tells the planner what became of it.
func (controller *controller) runOrder(ctx context.Context, planner *formation.Planner, action formation.Action) {
	node := controller.node
	order := action.Order
	if !controller.lease.valid(node.Timers.Now()) {
		return // another may lead by now
	}
	err := node.Engines.Order(ctx, order)
	outcome := "taken"
	var refused *shedkeel.ConflictError
	controller.mutex.Lock()
	switch {
	case err == nil:
		planner.Confirm(order)
	case errors.As(err, &refused):
		planner.Refuse(order)
		outcome = err.Error()
	default:
		planner.Unanswered(order, node.Timers.Now())
		outcome = err.Error()
	}
	controller.mutex.Unlock()
	node.Log.Write(event.OrderGiven, slog.String("order", string(order.Kind)), slog.String("to", string(order.To)), slog.String("group", string(order.Group)),
		slog.Uint64("epoch", order.Epoch), slog.String("reason", action.Reason), slog.String("outcome", outcome))
}
