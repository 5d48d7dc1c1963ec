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
	// leaseRank is the key under which candidates for a zone's lease rank.
	leaseRank = "lease/"
	// renewals is how many renewals fit into a lease.
	renewals = 3
	// maxOrders bounds how many orders are under way at once.
	maxOrders = 64
	// keptDecisions is how many decisions of a zone are kept to explain them.
	keptDecisions = 200
)

// zonePlanner is this keeper's part in planning one zone.
type zonePlanner struct {
	keeper  *Keeper
	zone    shedkeel.ZoneID
	lease   lease.Lease
	planner shedkeel.Planner
	epoch   uint64 // under which this keeper planned last; 0: it does not plan

	// placement is what this keeper wrote or read last, with the revision
	// that its next compare-and-swap builds on.
	placement   shedkeel.Placement
	revision    shedkeel.Revision
	fenced      bool // the placement carries our epoch
	fallingBack bool // orders are for reserves in an outage
	table       shedkeel.Table
	tableOf     uint64 // generation of the configuration that the table is from
	unknown     map[shedkeel.BoxID]time.Duration
	decisions   []shedkeel.Decision
}

// tickPlan tends the leases of all zones that have groups to plan, and plans
// those that this keeper holds.
func (keeper *Keeper) tickPlan(ctx context.Context, now time.Duration) {
	var planned sync.WaitGroup
	for _, zone := range keeper.candidateZones(now) {
		planned.Go(func() { zone.tick(ctx) })
	}
	planned.Wait()
}

// candidateZones returns the planners of the zones whose lease this keeper may
// hold.
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
		_, candidate := member.Place(keeper.Settings.Node, leaseRank+string(zone), zone, live)
		if keeper.zones[zone] == nil && candidate {
			keeper.zones[zone] = keeper.newZone(zone)
		}
		if keeper.zones[zone] != nil {
			planners = append(planners, keeper.zones[zone])
		}
	}
	return planners
}

func (keeper *Keeper) newZone(zone shedkeel.ZoneID) *zonePlanner {
	timing := keeper.Settings.Timing
	return &zonePlanner{
		keeper: keeper,
		zone:   zone,
		lease: lease.Lease{
			Node: keeper.table.Self.ID, Incarnation: keeper.table.Self.Incarnation,
			TTL: time.Duration(timing.Lease), Margin: time.Duration(timing.LeaseMargin), Renew: time.Duration(timing.Lease) / renewals,
		},
		planner: keeper.planner(),
		table:   policy.DefaultTable(),
		unknown: map[shedkeel.BoxID]time.Duration{},
	}
}

func (zone *zonePlanner) leaseKey() string     { return member.KeyLeases + string(zone.zone) }
func (zone *zonePlanner) placementKey() string { return member.KeyPlacements + string(zone.zone) }

// tick renews or seeks the lease, then plans if it is held.
func (zone *zonePlanner) tick(ctx context.Context) {
	zone.tendLease(ctx)
	keeper := zone.keeper
	epoch, held := zone.lease.Held(keeper.Timers.Now(), 0)
	if !held {
		zone.drop()
		if zone.mayFallBack(keeper.Timers.Now()) {
			zone.fallBack(ctx)
		}
		return
	}
	if zone.epoch != epoch {
		zone.setEpoch(epoch)
		zone.fenced = false
		keeper.Log.Write(event.LeaseGained, slog.String("zone", string(zone.zone)), slog.Uint64("epoch", epoch))
	}
	if !zone.fenced && !zone.fence(ctx) {
		return
	}
	zone.plan(ctx)
}

// setEpoch notes under which epoch this keeper plans; 0: it does not.
func (zone *zonePlanner) setEpoch(epoch uint64) {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	zone.epoch = epoch
}

// plan decides once and gives the orders that the agreed placement calls for.
func (zone *zonePlanner) plan(ctx context.Context) {
	input, ready := zone.input(ctx)
	if !ready {
		return
	}
	output := zone.planner.Plan(input)
	zone.explain(output.Decisions)
	zone.order(ctx, zone.epoch, output.Orders)
	if output.Changed {
		zone.agree(ctx, output.Placement)
	}
}

// input gathers what the planner decides on. Members of groups that watchers
// found whole are taken to be as the group needs them; all other boxes are
// probed here.
func (zone *zonePlanner) input(ctx context.Context) (shedkeel.PlanInput, bool) {
	keeper := zone.keeper
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	config, known := keeper.table.Config()
	boxes := slices.Clone(keeper.boxes)
	permits := keeper.judge(now)
	keeper.mutex.Unlock()
	if !known || len(boxes) == 0 {
		return shedkeel.PlanInput{}, false
	}
	whole := map[shedkeel.Assignment]member.Permit{}
	for _, permit := range permits {
		if permit.Until > now {
			whole[permit.Group.Assignment()] = permit
		}
	}
	input := shedkeel.PlanInput{Zone: zone.zone, Config: config, Boxes: map[shedkeel.BoxID]shedkeel.BoxView{}, Placement: zone.placement.Clone()}
	for _, placed := range zone.placement.Groups {
		permit, found := whole[placed.Assignment()]
		if !found {
			continue
		}
		for _, place := range placed.Members {
			input.Boxes[place.Box] = shedkeel.BoxView{Seen: permit.Watched, State: shedkeel.BoxState{
				Boot: place.Boot, Phase: shedkeel.PhaseReady, Weights: placed.Service, Assigned: placed.Assignment(), Running: permit.Load,
			}}
		}
	}
	zone.look(ctx, boxes, &input)
	input.Now = keeper.Timers.Now()
	input.Table = zone.policyTable(config, boxes)
	return input, true
}

// look probes the boxes of the zone that no watcher vouched for.
func (zone *zonePlanner) look(ctx context.Context, boxes []shedkeel.Box, input *shedkeel.PlanInput) {
	known, unlisted := zone.knownBoxes(boxes)
	addresses := map[shedkeel.BoxID]string{}
	for id, box := range known {
		if _, vouched := input.Boxes[id]; !vouched {
			addresses[id] = box.Address
		}
	}
	zone.keeper.probes.probe(ctx, addresses)
	now := zone.keeper.Timers.Now()
	for id, box := range known {
		if view, vouched := input.Boxes[id]; vouched {
			view.Box = box
			input.Boxes[id] = view
			continue
		}
		view := zone.lastSeen(box)
		if unlisted[id] && (view.Seen < 0 || now-view.Seen > group.DefaultMissAfter) {
			continue // neither listed nor answering: it is gone
		}
		input.Boxes[id] = view
	}
}

// knownBoxes returns the boxes of the zone: those on the list, and the members
// of groups that the list lacks. The list lags and may be short; a member that
// answers as it should is there, whatever the list says.
func (zone *zonePlanner) knownBoxes(boxes []shedkeel.Box) (known map[shedkeel.BoxID]shedkeel.Box, unlisted map[shedkeel.BoxID]bool) {
	known = map[shedkeel.BoxID]shedkeel.Box{}
	unlisted = map[shedkeel.BoxID]bool{}
	for _, box := range boxes {
		if box.Zone == zone.zone {
			known[box.ID] = box
		}
	}
	for _, placed := range zone.placement.Groups {
		for _, place := range placed.Members {
			if _, listed := known[place.Box]; !listed {
				known[place.Box] = shedkeel.Box{ID: place.Box, Address: place.Address, Zone: zone.zone, Domain: placed.Domain}
				unlisted[place.Box] = true
			}
		}
	}
	return known, unlisted
}

// lastSeen returns what a box last said. After an order with unknown outcome it
// counts as silent until a later probe shows what the order did.
func (zone *zonePlanner) lastSeen(box shedkeel.Box) shedkeel.BoxView {
	view := zone.keeper.probes.view(box)
	since, doubtful := zone.unknown[box.ID]
	switch {
	case !doubtful:
	case view.Seen <= since:
		view.Seen = -1
	default:
		delete(zone.unknown, box.ID)
	}
	return view
}

// policyTable runs the policy when the configuration has changed. A policy
// that fails leaves the table in use.
func (zone *zonePlanner) policyTable(config shedkeel.Config, boxes []shedkeel.Box) shedkeel.Table {
	if zone.tableOf == config.Generation {
		return zone.table
	}
	zone.tableOf = config.Generation
	table, err := policy.Run(config.Policy, FactsOf(config, zone.zone, boxes))
	if err != nil {
		zone.keeper.Log.Write(event.PolicyFailed, slog.String("zone", string(zone.zone)), slog.String("error", err.Error()))
		return zone.table
	}
	zone.keeper.mutex.Lock()
	zone.table = table
	zone.keeper.mutex.Unlock()
	return table
}

// FactsOf returns what a policy is told of a zone.
func FactsOf(config shedkeel.Config, zone shedkeel.ZoneID, boxes []shedkeel.Box) policy.Facts {
	facts := policy.SampleFacts()
	facts.Zone = zone
	facts.Members = 0
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
		facts.Members = max(facts.Members, service.Members)
	}
	return facts
}

func (zone *zonePlanner) explain(decisions []shedkeel.Decision) {
	for _, decision := range decisions {
		if slices.Contains(zone.recent(), decision) {
			continue
		}
		zone.keeper.Log.Write(event.Decided, slog.String("zone", string(zone.zone)), slog.String("group", string(decision.Group)),
			slog.String("box", string(decision.Box)), slog.String("action", decision.Action), slog.String("reason", decision.Reason))
		zone.keeper.mutex.Lock()
		zone.decisions = append(zone.decisions, decision)
		if len(zone.decisions) > keptDecisions {
			zone.decisions = zone.decisions[1:]
		}
		zone.keeper.mutex.Unlock()
	}
}

// recent returns the newest decisions. A decision that is taken anew each tick
// is logged once.
func (zone *zonePlanner) recent() []shedkeel.Decision {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	return slices.Clone(zone.decisions[max(len(zone.decisions)-20, 0):])
}

// order gives orders while the lease holds for as long as an order may be
// under way.
func (zone *zonePlanner) order(ctx context.Context, epoch uint64, orders []shedkeel.Order) {
	var given sync.WaitGroup
	var mutex sync.Mutex
	slots := make(chan struct{}, maxOrders)
	for _, order := range orders {
		order.PlannerEpoch = epoch
		slots <- struct{}{}
		given.Go(func() {
			defer func() { <-slots }()
			sent, doubtful := zone.give(ctx, order)
			if doubtful {
				mutex.Lock()
				zone.unknown[order.Box] = sent
				mutex.Unlock()
			}
		})
	}
	given.Wait()
}

// give sends one order, and reports whether its outcome is unknown.
func (zone *zonePlanner) give(ctx context.Context, order shedkeel.Order) (time.Duration, bool) {
	keeper := zone.keeper
	life := time.Duration(keeper.Settings.Timing.OrderLife)
	ctx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	now := keeper.Timers.Now()
	if order.Unfenced && (zone.fallingBack || now < zone.lease.HeldSince()+zone.lease.TTL+life) {
		return now, false // a former holder's order may still be under way
	}
	if _, held := zone.lease.Held(now, life); !held && !zone.fallingBack {
		return now, false
	}
	err := keeper.Engines.Give(ctx, order)
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
