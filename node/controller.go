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
	// planInterval is the time between two planning rounds of a leader.
	planInterval = 50 * time.Millisecond
	// maxMirrorAge is the greatest age of the mirror's copy of the records at which a node
	// gives orders or stands for election.
	maxMirrorAge = 2 * time.Second
	// usageLogInterval is the time between two logs of how servers are used and of what the
	// planners have waited for too long.
	usageLogInterval = 2 * time.Second
)

// controller stands for election as the leader of the nodes. While its node leads, it plans
// the replica groups of all services and sends the servers their orders.
type controller struct {
	node   *Node
	prober prober
	paces  paces
	demand demands
	lease  lease // the leader's lease; while it is not valid, this node gives no orders

	mutex         sync.Mutex
	resigned      bool                                      // resign was called: this node does not stand for election again
	leads         bool                                      // this node has been elected; whether it may give orders also depends on its lease, see leading
	term          uint64                                    // the term in which this node leads or last led
	epochs        uint64                                    // number of epochs given out in the term
	planners      map[shedkeel.ServiceID]*formation.Planner // of this node's latest leadership, by service
	suspects      map[shedkeel.Assignment]time.Duration     // groups reported as not responding whose members are not probed yet, with the time of the report
	noticedAt     map[shedkeel.Assignment]time.Duration     // when a report that a group does not respond was last accepted
	probing       map[shedkeel.InstanceID]bool              // a probe of the server is in progress
	dead          map[shedkeel.InstanceID]time.Duration     // the servers that a probe found dead, with the time of their next probe
	vacantSince   time.Duration                             // since when elect has waited for this node's turn because there is no leader; 0: it does not wait
	orphanedSince time.Duration                             // since when the leader record has been invalid, as isOrphaned defines it; 0: it is valid, or elect has not checked it
	usageLoggedAt time.Duration                             // when the use of servers was last logged
	unavailable   map[modelKey]time.Duration                // the models of which no group serves, and since when
	sizeCheckedAt time.Duration                             // when maintainFleetSize last checked the size of the fleet; 0: never
	// era is the era of the key-value service that this node follows, and eraSince is when
	// the node began to follow it. Only run uses them.
	era      int64
	eraSince time.Duration
	// mayBeOutdated states that the copy with which that began may have records of servers that are older than what the
	// servers have written, and that this node has no others to compare them with. Only run uses it.
	mayBeOutdated bool
	// storedLoads are the loads of models in progress as last written to the key-value
	// service, by service. Only run uses them.
	storedLoads map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID
}

// prepare initializes the controller. It is called once, before run.
func (controller *controller) prepare() {
	controller.lease = lease{node: controller.node, ttl: leaderTTL}
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.suspects = map[shedkeel.Assignment]time.Duration{}
	controller.noticedAt = map[shedkeel.Assignment]time.Duration{}
	controller.probing = map[shedkeel.InstanceID]bool{}
	controller.storedLoads = map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID{}
	controller.prober = prober{Engines: controller.node.Engines, Timers: controller.node.Timers, Delays: &controller.node.wakeups.delays}
	controller.paces = paces{controller: controller, slow: map[shedkeel.InstanceID]float64{}}
	controller.demand = demands{controller: controller}
	controller.dead = map[shedkeel.InstanceID]time.Duration{}
	controller.unavailable = map[modelKey]time.Duration{}
}

// run plans and maintains the record of the fleet's size while this node leads, and stands
// for election while it does not, until ctx ends.
func (controller *controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := controller.node.Timers.Now()
		controller.trackEra(now)
		if controller.leading(now) {
			controller.plan(ctx, now)
			controller.maintainFleetSize(ctx, now)
		} else {
			controller.elect(ctx, now)
		}
		timer.Sleep(ctx, planInterval)
	}
}

// trackEra records when this node began to follow the current era of the key-value
// service. A new era begins when the key-value service is restored from a snapshot, which may
// lack recent writes. trackEra therefore also forgets which loads are stored, and the next
// planning round writes them again.
func (controller *controller) trackEra(now time.Duration) {
	state := controller.node.mirror.State()
	if state.Known && (controller.eraSince == 0 || controller.era != state.At.Era) {
		controller.era, controller.eraSince = state.At.Era, now
		controller.mayBeOutdated = state.At.Era != 0 || controller.node.fleet.highestEpoch() > 0
		clear(controller.storedLoads)
	}
}

// recordsRewritten reports whether the backend servers have had the time, deletedRecordHold, to write their records again
// since this node began to follow the key-value service, or since that was restored from a snapshot. Until then, an
// outdated record may show a member of a group as a free server. A fleet without groups needs not wait.
func (controller *controller) recordsRewritten(now time.Duration) bool {
	return !controller.mayBeOutdated || now-controller.eraSince >= deletedRecordHold
}

// nextEpoch returns an epoch that no other formation of a group has. The caller holds the
// mutex.
func (controller *controller) nextEpoch() uint64 {
	controller.epochs++
	return controller.term*epochsPerTerm + controller.epochs
}

// plan runs one planning round: it starts the probes that are due (see probeSuspects), sends the
// orders that the planner of each service returns, and stores the loads in progress. It does
// nothing while no configuration is known, the mirror's copy is older than maxMirrorAge, or
// recordsRewritten returns false.
func (controller *controller) plan(ctx context.Context, now time.Duration) {
	node := controller.node
	config, services := node.fleet.groupState()
	view := config.View
	if view == nil || now-config.ProvenAt > maxMirrorAge || !controller.recordsRewritten(now) {
		return
	}
	usageDue := now-controller.usageLoggedAt >= usageLogInterval
	if usageDue {
		controller.usageLoggedAt = now
		controller.logOverdueWaits(now)
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
		demand := controller.demand.forService(id)
		actions := planner.Plan(formation.Input{
			Now: now, Engine: view.Service(id).Engine, Instances: instances, Dead: dead, ProbePending: maps.Clone(controller.probing), Slow: slow, Stalled: controller.stalledGroups(now), Demand: demand, Traffic: node.handler.RequestCount() > 0,
		})
		for _, formation := range planner.Doubtful() {
			controller.suspects[formation] = now
		}
		loading := planner.Loading()
		if usageDue {
			controller.logUsage(planner)
		}
		controller.logModels(id, planner.Status(), usageDue, now)
		controller.mutex.Unlock()
		for _, action := range actions {
			go controller.runOrder(ctx, planner, action)
		}
		controller.storeLoads(ctx, id, loading)
	}
}

// logUsage logs for each domain how many servers serve, are spare, load a model, have no
// model, or are unavailable. The caller holds the mutex.
func (controller *controller) logUsage(planner *formation.Planner) {
	for _, usage := range planner.Usage() {
		controller.node.Log.Write(event.DomainUsage, slog.String("domain", string(usage.Domain)), slog.Any("serving", usage.Serving), slog.Any("spare", usage.Spare),
			slog.Int("loading", usage.Loading), slog.Int("empty", usage.Empty), slog.Int("lost", usage.Unavailable))
	}
}

// planner returns the planner of a service, and creates it if there is none. A new planner
// adopts the loads that the planner of the previous leader ordered, if the key-value service
// has a readable record of them. The caller holds the mutex.
func (controller *controller) planner(id shedkeel.ServiceID, engine *shedkeel.Engine, now time.Duration) *formation.Planner {
	if planner := controller.planners[id]; planner != nil {
		return planner
	}
	planner := &formation.Planner{NextEpoch: controller.nextEpoch, StallTime: time.Duration(controller.node.Settings.Bounds.Stall)}
	controller.planners[id] = planner
	record := controller.node.mirror.Get(loadsPrefix + string(id))
	if !record.Revision.Exists() {
		return planner
	}
	var loading map[shedkeel.InstanceID]shedkeel.ModelID
	if controller.node.fleet.decodeRecord(record, &loading) != nil {
		return planner
	}
	planner.AdoptLoads(loading, engine, now)
	controller.storedLoads[id] = loading
	return planner
}

// runOrder sends one order, then reports the outcome to the planner and logs it. If the leader's
// lease is no longer valid, it does nothing.
func (controller *controller) runOrder(ctx context.Context, planner *formation.Planner, action formation.Action) {
	node := controller.node
	order := action.Order
	if !controller.lease.valid(node.Timers.Now()) {
		return // another node may lead by now
	}
	err := node.Engines.Order(ctx, order)
	outcome := "taken"
	var refused *shedkeel.ConflictError
	controller.mutex.Lock()
	switch {
	case err == nil:
		planner.Confirmed(order)
	case errors.As(err, &refused):
		planner.Refused(order)
		outcome = err.Error()
	default:
		planner.Unanswered(order, node.Timers.Now())
		outcome = err.Error()
	}
	controller.mutex.Unlock()
	node.Log.Write(event.OrderSent, slog.String("order", string(order.Kind)), slog.String("to", string(order.To)), slog.String("group", string(order.Group)),
		slog.Uint64("epoch", order.Epoch), slog.String("reason", action.Reason), slog.String("outcome", outcome))
}
