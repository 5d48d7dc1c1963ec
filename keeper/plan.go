package keeper

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
	"shedkeel.org/shedkeel/group"
	"shedkeel.org/shedkeel/lease"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/policy"
)

const (
	// leaseRankPrefix and the zone form the key by which the lease candidates are
	// ranked.
	leaseRankPrefix = "lease/"
	// renewalsPerLease is how often a lease is renewed within its TTL.
	renewalsPerLease = 3
	// maxConcurrentOrders limits the orders that a zone planner has in flight.
	maxConcurrentOrders = 64
	// maxDecisions is how many decisions per zone are kept for the explain command.
	maxDecisions = 200
)

// zonePlanner plans one availability zone while this keeper holds its lease, and may
// apply a fallback after that. Only its own tick uses its fields, except those that
// Keeper.mutex guards.
type zonePlanner struct {
	keeper  *Keeper
	id      shedkeel.ZoneID
	lease   lease.Lease
	planner shedkeel.Planner
	epoch   uint64 // lease epoch under which this keeper plans; 0: it does not plan

	// placement is the placement last written or read, and revision the one
	// that the next compare-and-swap expects.
	placement       shedkeel.Placement
	revision        shedkeel.Revision
	fenced          bool // the stored placement carries the current epoch; see fencePlacement
	inFallback      bool // sending fallback orders during an outage of the store
	policyTable     shedkeel.PlannerParameters
	tableGeneration uint64                           // configuration generation with which the policy program last ran
	unknownOutcomes map[shedkeel.BoxID]time.Duration // by box: when the call of its last order with an unknown outcome ended
	decisions       []shedkeel.Decision              // newest last, at most maxDecisions
}

// tickPlan runs one tick of each planner that candidateZones returns, all in parallel.
func (keeper *Keeper) tickPlan(ctx context.Context, now time.Duration) {
	var running sync.WaitGroup
	for _, zone := range keeper.candidateZones(now) {
		running.Go(func() { zone.tick(ctx) })
	}
	running.Wait()
}

// candidateZones returns the planners of the zones for whose lease this keeper is, or
// once was, a candidate. It creates the planner of a zone when this keeper first is a
// candidate. Only zones in which a service of the configuration may have groups count.
// There are none before the keeper is settled and knows a configuration.
func (keeper *Keeper) candidateZones(now time.Duration) []*zonePlanner {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	config, known := keeper.table.Config()
	if !known || !keeper.settled {
		return nil
	}
	live := keeper.table.Live(now)
	wanted := map[shedkeel.ZoneID]bool{}
	for _, service := range config.Services {
		for _, zone := range service.Zones {
			wanted[zone] = true
		}
	}
	var planners []*zonePlanner
	for _, zone := range slices.Sorted(maps.Keys(wanted)) {
		_, candidate := member.RankOf(keeper.Settings.Node, leaseRankPrefix+string(zone), zone, live)
		if keeper.planners[zone] == nil && candidate {
			keeper.planners[zone] = keeper.newZonePlanner(zone)
		}
		if keeper.planners[zone] != nil {
			planners = append(planners, keeper.planners[zone])
		}
	}
	return planners
}

// newZonePlanner returns a planner for the zone that does not hold the lease.
func (keeper *Keeper) newZonePlanner(zone shedkeel.ZoneID) *zonePlanner {
	timing := keeper.Settings.Timing
	return &zonePlanner{
		keeper: keeper,
		id:     zone,
		lease: lease.Lease{
			Node: keeper.table.Self.ID, Incarnation: keeper.table.Self.Incarnation,
			TTL: time.Duration(timing.Lease), Margin: time.Duration(timing.LeaseMargin), RenewInterval: time.Duration(timing.Lease) / renewalsPerLease,
		},
		planner:         keeper.newPlanner(),
		policyTable:     policy.DefaultTable(),
		unknownOutcomes: map[shedkeel.BoxID]time.Duration{},
	}
}

func (zone *zonePlanner) leaseKey() string     { return member.KeyLeases + string(zone.id) }
func (zone *zonePlanner) placementKey() string { return member.KeyPlacements + string(zone.id) }

// tick maintains the lease. If this keeper holds it, tick fences the placement, unless
// that is done already in this epoch, and plans. Otherwise it applies the fallback if
// canFallBack allows that.
func (zone *zonePlanner) tick(ctx context.Context) {
	zone.maintainLease(ctx)
	keeper := zone.keeper
	epoch, held := zone.lease.Held(keeper.Timers.Now(), 0)
	if !held {
		zone.stepDown()
		if zone.canFallBack(keeper.Timers.Now()) {
			zone.applyFallback(ctx)
		}
		return
	}
	if zone.epoch != epoch {
		zone.setEpoch(epoch)
		zone.fenced = false
		keeper.Log.Write(event.LeaseGained, slog.String("zone", string(zone.id)), slog.Uint64("epoch", epoch))
	}
	if !zone.fenced && !zone.fencePlacement(ctx) {
		return
	}
	zone.plan(ctx)
}

// setEpoch sets the epoch under the keeper's mutex.
func (zone *zonePlanner) setEpoch(epoch uint64) {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	zone.epoch = epoch
}

// plan runs the planner once, sends the orders and commits a changed placement. The
// load and release orders are those for the placement before the change, because the
// change is not agreed yet when they are sent.
func (zone *zonePlanner) plan(ctx context.Context) {
	input, ready := zone.gatherInput(ctx)
	if !ready {
		return
	}
	output := zone.planner.Plan(input)
	zone.recordDecisions(output.Decisions)
	zone.sendOrders(ctx, zone.epoch, output.Orders)
	if output.Changed {
		zone.commitPlacement(ctx, output.Placement)
	}
}

// gatherInput returns the planner's input, or false if the configuration or the box
// list is not known. Members of groups with a valid permit are taken to be in the
// state that the group needs, as of the verdict that gave the permit; gatherInput
// probes all other boxes of the zone.
func (zone *zonePlanner) gatherInput(ctx context.Context) (shedkeel.PlanInput, bool) {
	keeper := zone.keeper
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	config, known := keeper.table.Config()
	boxes := slices.Clone(keeper.boxes)
	permits := keeper.permits(now)
	keeper.mutex.Unlock()
	if !known || len(boxes) == 0 {
		return shedkeel.PlanInput{}, false
	}
	validPermits := map[shedkeel.Assignment]member.Permit{}
	for _, permit := range permits {
		if permit.Until > now {
			validPermits[permit.Group.Assignment()] = permit
		}
	}
	input := shedkeel.PlanInput{Zone: zone.id, Config: config, Boxes: map[shedkeel.BoxID]shedkeel.BoxView{}, Placement: zone.placement.Clone()}
	for _, placed := range zone.placement.Groups {
		permit, found := validPermits[placed.Assignment()]
		if !found {
			continue
		}
		for _, groupMember := range placed.Members {
			input.Boxes[groupMember.Box] = shedkeel.BoxView{LastReply: permit.WholeAt, State: shedkeel.BoxState{
				Boot: groupMember.Boot, Phase: shedkeel.PhaseReady, Weights: placed.Service, Assigned: placed.Assignment(), Running: permit.Load,
			}}
		}
	}
	zone.probeRemaining(ctx, boxes, &input)
	input.Now = keeper.Timers.Now()
	input.Parameters = zone.refreshPolicyTable(config, boxes)
	return input, true
}

// probeRemaining probes the boxes of the zone that are not yet in the input, which are
// those in no group with a valid permit, and adds the boxes of the zone to the input.
// It leaves out boxes that are not on the box list and have not answered a probe
// within group.DefaultMissAfter.
func (zone *zonePlanner) probeRemaining(ctx context.Context, boxes []shedkeel.Box, input *shedkeel.PlanInput) {
	known, unlisted := zone.zoneBoxes(boxes)
	addresses := map[shedkeel.BoxID]string{}
	for id, box := range known {
		if _, present := input.Boxes[id]; !present {
			addresses[id] = box.Address
		}
	}
	zone.keeper.prober.probeAll(ctx, addresses)
	now := zone.keeper.Timers.Now()
	for id, box := range known {
		if view, present := input.Boxes[id]; present {
			view.Box = box
			input.Boxes[id] = view
			continue
		}
		view := zone.boxView(box)
		if unlisted[id] && (view.LastReply < 0 || now-view.LastReply > group.DefaultMissAfter) {
			continue // neither on the box list nor answering probes: the box no longer exists
		}
		input.Boxes[id] = view
	}
}

// zoneBoxes returns the boxes of the zone: those on the box list, and those members of
// the zone's groups that the list lacks, which are marked in unlisted. The list lags
// and may be incomplete, so a member that answers probes counts as present even if it
// is not listed.
func (zone *zonePlanner) zoneBoxes(boxes []shedkeel.Box) (known map[shedkeel.BoxID]shedkeel.Box, unlisted map[shedkeel.BoxID]bool) {
	known = map[shedkeel.BoxID]shedkeel.Box{}
	unlisted = map[shedkeel.BoxID]bool{}
	for _, box := range boxes {
		if box.Zone == zone.id {
			known[box.ID] = box
		}
	}
	for _, placed := range zone.placement.Groups {
		for _, groupMember := range placed.Members {
			if _, listed := known[groupMember.Box]; !listed {
				known[groupMember.Box] = shedkeel.Box{ID: groupMember.Box, Address: groupMember.Address, Zone: zone.id, Domain: placed.Domain}
				unlisted[groupMember.Box] = true
			}
		}
	}
	return known, unlisted
}

// boxView returns the last state that a box reported. After an order with an unknown
// outcome, boxView reports the box as not answering until the box has answered a probe
// sent after the order's call ended, because only such an answer shows whether the
// order took effect.
func (zone *zonePlanner) boxView(box shedkeel.Box) shedkeel.BoxView {
	view := zone.keeper.prober.lastView(box)
	callEnded, outcomeUnknown := zone.unknownOutcomes[box.ID]
	switch {
	case !outcomeUnknown:
	case view.LastReply <= callEnded:
		view.LastReply = -1
	default:
		delete(zone.unknownOutcomes, box.ID)
	}
	return view
}

// refreshPolicyTable runs the policy program if the configuration has changed since
// the last run. If the program fails, the previous table stays in use until the next
// change.
func (zone *zonePlanner) refreshPolicyTable(config shedkeel.Config, boxes []shedkeel.Box) shedkeel.PlannerParameters {
	if zone.tableGeneration == config.Generation {
		return zone.policyTable
	}
	zone.tableGeneration = config.Generation
	table, err := policy.Run(config.Policy, PolicyFacts(config, zone.id, boxes))
	if err != nil {
		zone.keeper.Log.Write(event.PolicyFailed, slog.String("zone", string(zone.id)), slog.String("error", err.Error()))
		return zone.policyTable
	}
	zone.keeper.mutex.Lock()
	zone.policyTable = table
	zone.keeper.mutex.Unlock()
	return table
}

// PolicyFacts returns the facts about a zone that a policy program receives. The
// restart and weight load times are those of policy.SampleFacts.
func PolicyFacts(config shedkeel.Config, zone shedkeel.ZoneID, boxes []shedkeel.Box) policy.Facts {
	facts := policy.SampleFacts()
	facts.Zone = zone
	facts.GroupSize = 0
	domains := map[shedkeel.DomainID]int{}
	for _, box := range boxes {
		if box.Zone == zone {
			domains[box.Domain]++
		}
	}
	facts.Domains = len(domains)
	facts.DomainBoxes = 0
	for _, count := range domains {
		facts.DomainBoxes = max(facts.DomainBoxes, count)
	}
	for _, service := range config.Services {
		facts.GroupSize = max(facts.GroupSize, service.Members)
	}
	return facts
}

// recordDecisions logs the decisions and keeps them for the explain command. It
// skips a decision that is among recentDecisions, since the planner repeats its
// decisions on each tick.
func (zone *zonePlanner) recordDecisions(decisions []shedkeel.Decision) {
	for _, decision := range decisions {
		if slices.Contains(zone.recentDecisions(), decision) {
			continue
		}
		zone.keeper.Log.Write(event.PlannerDecision, slog.String("zone", string(zone.id)), slog.String("group", string(decision.Group)),
			slog.String("box", string(decision.Box)), slog.String("action", decision.Action), slog.String("reason", decision.Reason))
		zone.keeper.mutex.Lock()
		zone.decisions = append(zone.decisions, decision)
		if len(zone.decisions) > maxDecisions {
			zone.decisions = zone.decisions[1:]
		}
		zone.keeper.mutex.Unlock()
	}
}

// recentDecisions returns the newest 20 decisions.
func (zone *zonePlanner) recentDecisions() []shedkeel.Decision {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	return slices.Clone(zone.decisions[max(len(zone.decisions)-20, 0):])
}

// sendOrders sends the orders in parallel under the given planner epoch, and waits for
// all. Boxes whose order has an unknown outcome are added to unknownOutcomes.
func (zone *zonePlanner) sendOrders(ctx context.Context, epoch uint64, orders []shedkeel.Order) {
	var pending sync.WaitGroup
	var mutex sync.Mutex
	slots := make(chan struct{}, maxConcurrentOrders)
	for _, order := range orders {
		order.PlannerEpoch = epoch
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			ended, outcomeUnknown := zone.sendOrder(ctx, order)
			if outcomeUnknown {
				mutex.Lock()
				zone.unknownOutcomes[order.Box] = ended
				mutex.Unlock()
			}
		})
	}
	pending.Wait()
}

// sendOrder sends one order if the lease stays valid for the lifetime of an order or the
// planner is in fallback, and logs errors. It returns when the call ended, or the current
// time if it sent nothing, and whether the outcome of the order is unknown.
func (zone *zonePlanner) sendOrder(ctx context.Context, order shedkeel.Order) (time.Duration, bool) {
	keeper := zone.keeper
	orderLife := time.Duration(keeper.Settings.Timing.OrderLife)
	ctx, cancel := context.WithTimeout(ctx, orderLife)
	defer cancel()
	now := keeper.Timers.Now()
	if order.Unfenced && (zone.inFallback || now < zone.lease.HeldSince()+zone.lease.TTL+orderLife) {
		return now, false // the box does not check the planner epoch, and an order of another holder may still be in flight
	}
	if _, held := zone.lease.Held(now, orderLife); !held && !zone.inFallback {
		return now, false
	}
	err := keeper.Engines.SendOrder(ctx, order)
	var conflict *shedkeel.ConflictError
	var unknown *shedkeel.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		keeper.Log.Write(event.OrderRefused, slog.String("box", string(order.Box)), slog.String("error", err.Error()))
	case err != nil:
		keeper.Log.Write(event.OrderFailed, slog.String("box", string(order.Box)), slog.String("error", err.Error()))
	}
	return keeper.Timers.Now(), errors.As(err, &unknown)
}
