package group

import (
	"fmt"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// fleet simulates one availability zone in virtual time: boxes that fail, pause,
// restart and leave, and a planner that runs once a tick.
type fleet struct {
	planner     shedkeel.Planner
	table       shedkeel.PlannerParameters
	config      shedkeel.Config
	boxes       []*box
	byID        map[shedkeel.BoxID]*box
	placement   shedkeel.Placement
	now         time.Duration
	activeLoads int                          // boxes that are loading weights from the weight store
	isOutage    func(now time.Duration) bool // whether the key-value service is unavailable at that time
	noFallback  bool                         // the planner's Fallback is not used in outages

	// The measures. A group is whole if it can serve requests (see isWhole).
	groupDown   time.Duration // time in which groups that the service wants were missing or not whole, summed over groups
	stranded    time.Duration // time in which boxes (one accelerator each) were up and in no whole group, summed over boxes
	crossDomain time.Duration // time in which boxes were in whole groups that span domains, summed over boxes
}

// box is a simulated box with one accelerator.
type box struct {
	id            shedkeel.BoxID
	domain        shedkeel.DomainID
	downUntil     time.Duration // unreachable until then
	losesState    bool          // it has no state once it is reachable again
	leaving       bool
	boot          int
	state         shedkeel.BoxState
	phaseEndsAt   time.Duration // when loading weights or joining a group ends
	needsLoad     bool          // it must load weights from the weight store
	holdsLoadSlot bool          // it occupies one of the store's loadSlots
}

const (
	fleetTick      = time.Second
	loadTime       = 120 * time.Second // from the weight store to a box
	joinTime       = 15 * time.Second  // for a box with the weights to be ready in a group
	loadSlots      = 4                 // boxes that the weight store serves at a time
	requestTimeout = 30 * time.Second  // the service's request timeout
)

// newFleet returns a fleet of empty boxes, boxesEach in each domain, with one service.
// The service wants the given number of groups, and each group has the given number
// of members.
func newFleet(planner shedkeel.Planner, table shedkeel.PlannerParameters, domains, boxesEach, groups, members int) *fleet {
	fleet := &fleet{
		planner: planner, table: table, isOutage: func(time.Duration) bool { return false },
		config: shedkeel.Config{Services: []shedkeel.Service{{
			ID: "model", Kind: shedkeel.KindModel, Groups: groups, Members: members, Zones: []shedkeel.ZoneID{"z"}, Timeout: shedkeel.Duration(requestTimeout),
		}}},
		placement: shedkeel.Placement{Zone: "z"},
	}
	for domain := range domains {
		for index := range boxesEach {
			fleet.boxes = append(fleet.boxes, &box{
				id: shedkeel.BoxID(fmt.Sprintf("d%02d-b%02d", domain, index)), domain: shedkeel.DomainID(fmt.Sprintf("d%02d", domain)),
				state: shedkeel.BoxState{Phase: shedkeel.PhaseEmpty, Boot: "0"},
			})
		}
	}
	fleet.byID = map[shedkeel.BoxID]*box{}
	for _, box := range fleet.boxes {
		fleet.byID[box.id] = box
	}
	return fleet
}

// up reports whether the box is reachable.
func (box *box) up(now time.Duration) bool { return now >= box.downUntil }

// views returns each box as probes would show it. An unreachable box counts as
// last seen an hour ago.
func (fleet *fleet) views() map[shedkeel.BoxID]shedkeel.BoxView {
	views := make(map[shedkeel.BoxID]shedkeel.BoxView, len(fleet.boxes))
	for _, box := range fleet.boxes {
		view := shedkeel.BoxView{Box: shedkeel.Box{ID: box.id, Address: string(box.id), Zone: "z", Domain: box.domain, Accelerators: 1, Leaving: box.leaving}, State: box.state, LastReply: fleet.now}
		if !box.up(fleet.now) {
			view.LastReply = fleet.now - time.Hour
		}
		views[box.id] = view
	}
	return views
}

// advance simulates one tick: it updates the boxes, runs the planner (in an outage
// only its Fallback), applies the orders and adds to the measures. It returns the
// planner's output, which is empty in an outage.
func (fleet *fleet) advance() shedkeel.PlanOutput {
	fleet.now += fleetTick
	for _, box := range fleet.boxes {
		fleet.updateBox(box)
	}
	input := shedkeel.PlanInput{Now: fleet.now, Zone: "z", Config: fleet.config, Parameters: fleet.table, Boxes: fleet.views(), Placement: fleet.placement.Clone()}
	var output shedkeel.PlanOutput
	if fleet.isOutage(fleet.now) {
		fleet.fallBack(input)
	} else {
		output = fleet.planner.Plan(input)
		for _, order := range output.Orders {
			fleet.applyOrder(order)
		}
		if output.Changed {
			fleet.placement = output.Placement
		}
	}
	fleet.addMeasures()
	return output
}

// fallBack runs instead of Plan while the key-value service is not available. It repairs
// groups with their reserves, as Planner.Fallback decides.
func (fleet *fleet) fallBack(input shedkeel.PlanInput) {
	planner, isPlanner := fleet.planner.(*Planner)
	if !isPlanner || fleet.noFallback {
		return
	}
	lost := planner.Fallback(input)
	fleet.placement = fleet.placement.WithFallback(shedkeel.Fallback{Zone: "z", Base: fleet.placement.Generation, Lost: lost})
	input.Placement = fleet.placement
	for _, order := range Reconcile(input) {
		fleet.applyOrder(order)
	}
}

// updateBox restarts a box that has lost its state once the box is reachable again, and
// advances a box that is loading.
func (fleet *fleet) updateBox(box *box) {
	if box.losesState && box.up(fleet.now) {
		box.losesState = false
		box.boot++
		box.leaving = false
		fleet.releaseLoadSlot(box)
		box.needsLoad = false
		box.state = shedkeel.BoxState{Phase: shedkeel.PhaseEmpty, Boot: fmt.Sprint(box.boot)}
	}
	if box.state.Phase != shedkeel.PhaseLoading || !box.up(fleet.now) {
		return
	}
	if box.needsLoad && !box.holdsLoadSlot {
		if fleet.activeLoads >= loadSlots {
			return
		}
		fleet.activeLoads++
		box.holdsLoadSlot = true
		box.phaseEndsAt = fleet.now + loadTime + joinTime
	}
	if fleet.now >= box.phaseEndsAt {
		fleet.releaseLoadSlot(box)
		box.needsLoad = false
		box.state.Phase = shedkeel.PhaseReady
		if box.state.Assigned.Group == "" {
			box.state.Phase = shedkeel.PhaseWarm
		}
	}
}

// releaseLoadSlot frees the box's slot at the weight store if it holds one.
func (fleet *fleet) releaseLoadSlot(box *box) {
	if box.holdsLoadSlot {
		fleet.activeLoads--
		box.holdsLoadSlot = false
	}
}

// applyOrder carries out an order as an engine would. An order to an unreachable
// box is lost.
func (fleet *fleet) applyOrder(order shedkeel.Order) {
	index := slices.IndexFunc(fleet.boxes, func(box *box) bool { return box.id == order.Box })
	box := fleet.boxes[index]
	if !box.up(fleet.now) {
		return
	}
	hasLoaded := box.state.Weights == order.Service && (box.state.Phase == shedkeel.PhaseWarm || box.state.Phase == shedkeel.PhaseReady)
	switch order.Kind {
	case shedkeel.OrderRelease:
		box.state.Assigned = shedkeel.Assignment{}
		if hasLoaded {
			box.state.Phase = shedkeel.PhaseWarm
		}
		return
	case shedkeel.OrderPrefetch, shedkeel.OrderLoad:
		box.state.Assigned = order.Assignment
	}
	stillLoading := box.state.Phase == shedkeel.PhaseLoading && box.state.Weights == order.Service
	box.state.Weights = order.Service
	box.state.Phase = shedkeel.PhaseLoading
	if !hasLoaded && !stillLoading {
		box.needsLoad = true
	}
	if hasLoaded {
		box.phaseEndsAt = fleet.now + joinTime
	}
}

// isWhole reports whether a group can serve requests: it is not draining, no member is
// leaving, and ProbeVerdict returns VerdictWhole for the answers of the boxes that are
// up.
func (fleet *fleet) isWhole(group shedkeel.Group) bool {
	if group.Draining {
		return false
	}
	answers := make(map[shedkeel.BoxID]shedkeel.BoxState, len(group.Members))
	for _, member := range group.Members {
		box := fleet.byID[member.Box]
		if box.leaving {
			return false
		}
		if box.up(fleet.now) {
			answers[box.id] = box.state
		}
	}
	return ProbeVerdict(group, answers, nil) == shedkeel.VerdictWhole
}

// addMeasures adds one tick to groupDown, stranded and crossDomain.
func (fleet *fleet) addMeasures() {
	serving := map[shedkeel.BoxID]bool{}
	whole := 0
	for _, group := range fleet.placement.Groups {
		if !fleet.isWhole(group) {
			continue
		}
		whole++
		for _, member := range group.Members {
			serving[member.Box] = true
			if group.Domain == "" { // the group spans domains
				fleet.crossDomain += fleetTick
			}
		}
	}
	wantedGroups := fleet.config.Services[0].Groups
	fleet.groupDown += time.Duration(max(wantedGroups-whole, 0)) * fleetTick
	for _, box := range fleet.boxes {
		if box.up(fleet.now) && !serving[box.id] {
			fleet.stranded += fleetTick
		}
	}
}
