package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
)

const (
	// planTick is how often a leader plans.
	planTick = 50 * time.Millisecond
	// planAge is how old what a leader knows may be for it to give orders.
	planAge = 2 * time.Second
	// electionStep is how much later each further node tries to lead, so that
	// they seldom write at once.
	electionStep = 60 * time.Millisecond
	// termEpochs is how many epochs one term of a leader has.
	termEpochs = 1 << 20
	// probeTimeout is how long a member may take to answer a probe; it
	// answers in milliseconds when it lives.
	probeTimeout = 200 * time.Millisecond
	// probeTries is how many probes at once a dead member does not answer; a
	// single one may be lost on its way.
	probeTries = 2
	// reviveEvery is how often a dead member is probed again.
	reviveEvery = time.Second
	// suspectPause is how long after a group was probed further notices of it
	// are passed over: those of all nodes come within it.
	suspectPause = 400 * time.Millisecond

	// stalledTime is how long a group counts as giving no sign after a notice.
	stalledTime = 2 * time.Second

	leadKey = "shedkeel/lead"
	termKey = "shedkeel/term"
	// loadsPrefix is below where the loads under way stand, by service.
	loadsPrefix = "shedkeel/loads/"
)

// leadRecord says who plans. It goes with the leader's lease.
type leadRecord struct {
	Node        shedkeel.NodeID `json:"node"`
	Incarnation string          `json:"incarnation"`
	Term        uint64          `json:"term"`
}

type termRecord struct {
	Term uint64 `json:"term"`
}

// controller plans replica groups while its node leads.
type controller struct {
	node *Node

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
	// kept are the loads as written last. Only the planning loop uses it.
	kept map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID
}

func (controller *controller) prepare() {
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.suspects = map[shedkeel.Assignment]time.Duration{}
	controller.followed = map[shedkeel.Assignment]time.Duration{}
	controller.probing = map[shedkeel.InstanceID]bool{}
	controller.kept = map[shedkeel.ServiceID]map[shedkeel.InstanceID]shedkeel.ModelID{}
	controller.dead = map[shedkeel.InstanceID]time.Duration{}
}

// suspect has the members of a group probed.
func (controller *controller) suspect(group shedkeel.Assignment) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.node.Timers.Now()
	if now-controller.followed[group] < suspectPause && controller.followed[group] != 0 {
		return
	}
	controller.followed[group] = now
	controller.suspects[group] = now
}

// resign has the node lead no longer, and not again.
func (controller *controller) resign() {
	controller.mutex.Lock()
	controller.resigned = true
	led := controller.leads
	controller.mutex.Unlock()
	if !led {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	record := controller.node.mirror.Get(leadKey)
	_, err := controller.node.Store.Commit(ctx, shedkeel.Change{If: []shedkeel.Condition{{Key: leadKey, Revision: record.Revision}}, Remove: []string{leadKey}})
	if err != nil {
		controller.node.Log.Write(event.LeadLost, slog.String("error", err.Error()))
	}
}

func (controller *controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := controller.node.Timers.Now()
		if controller.leading(now) {
			controller.plan(ctx, now)
		} else {
			controller.elect(ctx, now)
		}
		pause(ctx, planTick)
	}
}

// leading reports whether this node may give orders now.
func (controller *controller) leading(now time.Duration) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if !controller.leads {
		return false
	}
	lead := controller.lead()
	mine := lead.Node == controller.node.Settings.Node && lead.Incarnation == controller.node.Incarnation
	if mine && !controller.resigned && controller.node.member.valid(now) {
		return true
	}
	if !mine || controller.resigned {
		controller.leads = false
		controller.node.Log.Write(event.LeadLost, slog.Uint64("term", controller.term))
	}
	return false
}

// lead returns the record of who leads, as far as is known here.
func (controller *controller) lead() leadRecord {
	var lead leadRecord
	record := controller.node.mirror.Get(leadKey)
	if record.Revision == 0 {
		return lead
	}
	if err := json.Unmarshal(record.Value, &lead); err != nil {
		controller.node.Log.Write(event.RecordSkipped, slog.String("key", leadKey), slog.String("error", err.Error()))
	}
	return lead
}

// elect tries to lead where nobody does.
func (controller *controller) elect(ctx context.Context, now time.Duration) {
	node := controller.node
	state := node.mirror.State()
	controller.mutex.Lock()
	resigned := controller.resigned
	controller.mutex.Unlock()
	if resigned || !state.Known || now-state.AsOf > planAge || !node.member.valid(now) || node.mirror.Get(leadKey).Revision != 0 {
		controller.vacant = 0
		return
	}
	if controller.vacant == 0 {
		controller.vacant = now
	}
	if now-controller.vacant < time.Duration(node.peers.place())*electionStep {
		return
	}
	var term termRecord
	record := node.mirror.Get(termKey)
	if record.Revision != 0 {
		if err := json.Unmarshal(record.Value, &term); err != nil {
			node.Log.Write(event.RecordSkipped, slog.String("key", termKey), slog.String("error", err.Error()))
			return
		}
	}
	controller.tryLead(ctx, record.Revision, term.Term+1)
}

func (controller *controller) tryLead(ctx context.Context, revision int64, term uint64) {
	node := controller.node
	lead, err := json.Marshal(leadRecord{Node: node.Settings.Node, Incarnation: node.Incarnation, Term: term})
	if err != nil {
		return
	}
	next, err := json.Marshal(termRecord{Term: term})
	if err != nil {
		return
	}
	written, err := node.Store.Commit(ctx, shedkeel.Change{
		If:  []shedkeel.Condition{{Key: leadKey, Revision: 0}, {Key: termKey, Revision: revision}},
		Put: []shedkeel.Put{{Key: leadKey, Value: lead, Lease: shedkeel.LeaseID(node.member.lease.Load())}, {Key: termKey, Value: next}},
	})
	if err != nil {
		// Another was faster, or the outcome is unknown; the mirror shows
		// which.
		controller.vacant = 0
		pause(ctx, planTick)
		controller.adopt(term)
		return
	}
	node.mirror.Apply(mirrorUpdate(
		shedkeel.Record{Key: leadKey, Value: lead, Revision: written}, shedkeel.Record{Key: termKey, Value: next, Revision: written}))
	controller.adopt(term)
}

// adopt begins to lead if the record says that this node does.
func (controller *controller) adopt(term uint64) {
	lead := controller.lead()
	if lead.Node != controller.node.Settings.Node || lead.Incarnation != controller.node.Incarnation || lead.Term != term {
		return
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.leads = true
	controller.term = term
	controller.epochs = 0
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.node.Log.Write(event.LeadGained, slog.Uint64("term", term))
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
	for id, instances := range node.fleet.groupServices() {
		controller.probeSuspects(ctx, instances, now)
		controller.mutex.Lock()
		planner := controller.planner(id, view.Service(id).Engine, now)
		dead := map[shedkeel.InstanceID]bool{}
		for instance := range controller.dead {
			dead[instance] = true
		}
		actions := planner.Plan(formation.Input{
			Now: now, Engine: view.Service(id).Engine, Instances: instances, Dead: dead, Stalled: controller.stalled(now), Traffic: node.front.Served() > 0,
		})
		loading := planner.Loading()
		controller.mutex.Unlock()
		for _, action := range actions {
			go controller.runOrder(ctx, planner, action)
		}
		controller.keepLoads(ctx, id, loading)
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
	if record.Revision == 0 {
		return planner
	}
	var loading map[shedkeel.InstanceID]shedkeel.ModelID
	if err := json.Unmarshal(record.Value, &loading); err != nil {
		controller.node.Log.Write(event.RecordSkipped, slog.String("key", record.Key), slog.String("error", err.Error()))
		return planner
	}
	planner.Adopt(loading, engine, now)
	controller.kept[id] = loading
	return planner
}

// keepLoads writes which loads are under way, for the next planner.
func (controller *controller) keepLoads(ctx context.Context, id shedkeel.ServiceID, loading map[shedkeel.InstanceID]shedkeel.ModelID) {
	node := controller.node
	added := false
	for instance, model := range loading {
		added = added || controller.kept[id][instance] != model
	}
	if !added {
		return // one that has ended does no harm to the next planner
	}
	value, err := json.Marshal(loading)
	if err != nil {
		return // a map of strings can always be written
	}
	_, err = node.Store.Commit(ctx, shedkeel.Change{Put: []shedkeel.Put{{Key: loadsPrefix + string(id), Value: value}}})
	if err != nil {
		node.Log.Write(event.LoadsNotKept, slog.String("error", err.Error()))
		return
	}
	controller.kept[id] = loading
}

// stalled returns the groups that were lately said to give no sign. The mutex
// is held.
func (controller *controller) stalled(now time.Duration) map[shedkeel.Assignment]bool {
	found := map[shedkeel.Assignment]bool{}
	for group, at := range controller.followed {
		switch {
		case now-at < stalledTime:
			found[group] = true
		case now-at > time.Minute:
			delete(controller.followed, group)
		}
	}
	return found
}

// runOrder gives one order and tells the planner what became of it.
func (controller *controller) runOrder(ctx context.Context, planner *formation.Planner, action formation.Action) {
	node := controller.node
	order := action.Order
	if !node.member.valid(node.Timers.Now()) {
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

// probeSuspects probes the members of suspected groups, and dead ones again.
func (controller *controller) probeSuspects(ctx context.Context, instances []shedkeel.Instance, now time.Duration) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	suspects := controller.suspects
	controller.suspects = map[shedkeel.Assignment]time.Duration{} // each notice is followed up once
	for _, instance := range instances {
		again, dead := controller.dead[instance.ID]
		due := dead && now >= again
		if instance.Member != nil && !dead {
			_, due = suspects[shedkeel.Assignment{Group: instance.Member.Group, Epoch: instance.Member.Epoch}]
		}
		if due && !controller.probing[instance.ID] {
			controller.probing[instance.ID] = true
			go controller.runProbe(ctx, instance)
		}
	}
	for id := range controller.dead {
		if !slices.ContainsFunc(instances, func(instance shedkeel.Instance) bool { return instance.ID == id }) {
			delete(controller.dead, id)
		}
	}
}

// runProbe finds out whether a member answers.
func (controller *controller) runProbe(ctx context.Context, instance shedkeel.Instance) {
	answers := make(chan error, probeTries)
	for range probeTries {
		go controller.runTry(ctx, instance.Address, answers)
	}
	var err error
	for range probeTries {
		if err = <-answers; err == nil {
			break
		}
	}
	controller.probed(instance, err)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	delete(controller.probing, instance.ID)
}

// runTry probes once.
func (controller *controller) runTry(ctx context.Context, address string, answers chan<- error) {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := controller.node.Engines.Report(probe, address)
	answers <- err
}

func (controller *controller) probed(instance shedkeel.Instance, err error) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	_, dead := controller.dead[instance.ID]
	switch {
	case err != nil:
		controller.dead[instance.ID] = controller.node.Timers.Now() + reviveEvery
		if !dead {
			controller.node.Log.Write(event.MemberDead, slog.String("server", string(instance.ID)), slog.String("error", err.Error()))
		}
	case dead:
		delete(controller.dead, instance.ID)
		controller.node.Log.Write(event.MemberAlive, slog.String("server", string(instance.ID)))
	}
}
