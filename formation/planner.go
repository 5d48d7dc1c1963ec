// Package formation decides how replica groups are formed, repaired and given
// up where the engines themselves keep the state of their groups. It holds no
// truth of its own: a planner that has just started goes on from what the
// engines say.
//
// Three rules keep groups safe whatever becomes of orders on their way:
//
//   - each formation has an epoch that no other has, and engines refuse lower
//     epochs than they have seen;
//   - a head is ordered to open only when every member says that it is ready
//     in that very formation;
//   - a member is used elsewhere only when its head can't be serving: the head
//     has confirmed a higher epoch or that it left, or has been out of reach
//     for longer than cuts last.
package formation

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// orderRepeat is how long an order may stay without effect before it is
	// given again: an answer takes some milliseconds, the effect is listed
	// at once after it.
	orderRepeat = 500 * time.Millisecond
	// settleTime is how long no backend server may have entered a domain
	// before new groups are planned there, so that a domain is planned whole.
	settleTime = 800 * time.Millisecond
	// goneTime is how long a head must have been out of reach for the members
	// of its group to be used in others. Only time tells one that is lost from
	// one that is cut off from the planner and the list and serves on. Cuts of
	// ten seconds were seen, and it takes two more until the head is listed
	// again. Its own group can be formed anew at once.
	goneTime = 20 * time.Second
	// listedTime is within what time the list tells what became of an order that was
	// answered.
	listedTime = time.Second
	// lateTime is for how long an order without an answer may still be carried out.
	lateTime = 15 * time.Second
	// loadWindow is the span over which load orders are counted.
	loadWindow = 5 * time.Second
	// spareShare is the part of a domain that is kept free as substitutes.
	spareShare = 0.125
	// pairSpares is how many are enough for two servers that are lost together.
	pairSpares = 2
)

const (
	// unansweredMax is how many orders in a row a server may leave unanswered
	// before it is passed over: on days when a third of all answers is lost,
	// two in a row seldom are.
	unansweredMax = 2
	// unreachableTime is how long it is passed over then.
	unreachableTime = 3 * time.Second
	// absentTime is how long a group that goes on working is left alone though
	// a member is no longer listed: cut off from the service alone, it comes
	// back; leaving without a word, it serves on for some seconds.
	absentTime = 6 * time.Second
	// forgetTime is after how long nothing is remembered of a formation that no
	// listed server tells of: far longer than any server of it, cut off from
	// the service, could serve on.
	forgetTime = time.Minute
	// enough is the part of the neediest model's need from which another
	// model gets no more groups: what is left stays spare.
	enough = 0.5
)

// Input is what a planner decides on.
type Input struct {
	Now       time.Duration
	Engine    *shedkeel.Engine
	Instances []shedkeel.Instance                       // of the service, as listed
	Dead      map[shedkeel.InstanceID]bool              // they answer no probe
	Probed    map[shedkeel.InstanceID]bool              // whether they answer is being found out
	Slow      map[shedkeel.InstanceID]float64           // they work, but so many times slower
	Stalled   map[shedkeel.Assignment]bool              // groups that give their requests no sign
	Demand    map[shedkeel.ModelID]shedkeel.ModelDemand // as measured; empty: as configured
	Traffic   bool                                      // callers are being served, so loads are bounded
}

// Planner plans the groups of one service. Its exported fields are set before
// the first Plan. Its methods must not be called at once.
type Planner struct {
	NextEpoch func() uint64

	seen     map[shedkeel.InstanceID]time.Duration // when first listed
	newest   map[shedkeel.DomainID]time.Duration   // when the last one entered
	sent     map[orderKey]time.Duration
	forming  map[shedkeel.GroupID]*formingGroup
	told     map[shedkeel.Assignment]time.Duration               // when a listed server told of it last
	headless map[shedkeel.Assignment]time.Duration               // head missing since
	placed   map[shedkeel.Assignment]map[int]shedkeel.InstanceID // who the members were when last seen, by rank
	left     map[shedkeel.Assignment]time.Duration               // when their heads confirmed that they left
	reserved map[shedkeel.InstanceID]time.Duration               // of formations that were given up; not used elsewhere until then
	absent   map[shedkeel.Assignment]time.Duration               // a member missing since
	loads    []time.Duration                                     // when load orders were given
	loading  map[shedkeel.InstanceID]loading                     // ordered to load onto the host
	pending  map[shedkeel.ServerID][]pendingJoin                 // orders to join without an answer
	silent   map[shedkeel.InstanceID]int                         // orders in a row without an answer
	passed   map[shedkeel.InstanceID]time.Duration               // passed over until then
	warmed   map[shedkeel.InstanceID]time.Duration               // spares ordered to wait as standbys, and when
	indexes  int
	// A model that has too many groups gives some up, a domain at a time.
	yieldings  map[shedkeel.DomainID]*yielding
	givenUp    map[shedkeel.Assignment]bool // their members are free
	unbalanced time.Duration                // since when one has too many; 0: none has
	yielded    time.Duration                // when the last one was given up; 0: never
	last       *round                       // the latest planning, for Usage and Waits
}

// loading is a load onto a host that was ordered.
type loading struct {
	model     shedkeel.ModelID
	until     time.Duration // given up then
	confirmed bool          // the server has said that it loads
}

// pendingJoin is an order to join that may still be carried out, by a later start of
// the server too.
type pendingJoin struct {
	to         shedkeel.InstanceID
	assignment shedkeel.Assignment
	until      time.Duration
}

type orderKey struct {
	kind  shedkeel.GroupOrderKind
	to    shedkeel.InstanceID
	epoch uint64
}

// formingGroup is a formation that was ordered and is not open yet.
type formingGroup struct {
	epoch    uint64
	model    shedkeel.ModelID
	members  []shedkeel.InstanceID
	headDone bool // the head has confirmed; the others may be ordered
	done     map[shedkeel.InstanceID]bool
}

// Action is one step of a plan with its reason, for the log.
type Action struct {
	Order  shedkeel.GroupOrder
	Reason string
}

// Plan returns the orders to give now.
func (planner *Planner) Plan(input Input) []Action {
	planner.begin(input)
	round := &round{planner: planner, input: input, byID: map[shedkeel.InstanceID]*shedkeel.Instance{}, used: map[shedkeel.InstanceID]bool{}, promised: map[shedkeel.InstanceID]bool{}, waits: map[waitKey]Wait{}}
	round.shares = shares(input.Engine, input.Demand)
	round.index()
	round.observe()
	round.continueForming()
	round.mendGroups()
	round.yieldGroups()
	round.formNew()
	round.stageSpares()
	round.warmSpares()
	round.waitForServers()
	planner.last = round
	return round.actions
}

// Confirm tells that an engine took the order.
func (planner *Planner) Confirm(order shedkeel.GroupOrder) {
	delete(planner.silent, order.To)
	planner.confirmLoad(order)
	if order.Kind == shedkeel.OrderLeave {
		assignment := shedkeel.Assignment{Group: order.Group, Epoch: order.Epoch}
		planner.left[assignment] = planner.now()
		for _, yielding := range planner.yieldings {
			if yielding.group == assignment {
				planner.givenUp[assignment] = true
			}
		}
	}
	forming := planner.forming[order.Group]
	if forming == nil || order.Kind != shedkeel.OrderJoin || forming.epoch != order.Epoch {
		return
	}
	forming.done[order.To] = true
	if order.To == forming.members[0] {
		forming.headDone = true
	}
}

func (planner *Planner) confirmLoad(order shedkeel.GroupOrder) {
	if known, busy := planner.loading[order.To]; busy && order.Kind == shedkeel.OrderStage && known.model == order.Model {
		known.confirmed = true
		planner.loading[order.To] = known
	}
}

// Loading returns the models that servers were ordered to load onto their
// hosts and have not yet.
func (planner *Planner) Loading() map[shedkeel.InstanceID]shedkeel.ModelID {
	found := map[shedkeel.InstanceID]shedkeel.ModelID{}
	for id, loading := range planner.loading {
		found[id] = loading.model
	}
	return found
}

// Adopt takes over the loads that a former planner ordered: another order
// would begin them anew. It is called before the first Plan.
func (planner *Planner) Adopt(models map[shedkeel.InstanceID]shedkeel.ModelID, engine *shedkeel.Engine, now time.Duration) {
	planner.loading = map[shedkeel.InstanceID]loading{}
	for id, model := range models {
		if known := engine.Model(model); known != nil {
			planner.loading[id] = loading{model: model, until: now + known.Load + known.Load/4, confirmed: true}
		}
	}
}

// Unanswered tells that the answer to an order did not come; the order may
// still be carried out.
func (planner *Planner) Unanswered(order shedkeel.GroupOrder, now time.Duration) {
	if order.Kind == shedkeel.OrderJoin {
		join := pendingJoin{order.To, shedkeel.Assignment{Group: order.Group, Epoch: order.Epoch}, now + lateTime}
		planner.pending[order.To.Server()] = append(planner.pending[order.To.Server()], join)
	}
	planner.silent[order.To]++
	if planner.silent[order.To] >= unansweredMax {
		delete(planner.silent, order.To)
		planner.passed[order.To] = now + unreachableTime
	}
}

// Refuse tells that an engine said that an order does not fit its state.
func (planner *Planner) Refuse(order shedkeel.GroupOrder) {
	if order.Kind == shedkeel.OrderStage {
		planner.confirmLoad(order) // it is loading already, by an order whose answer was lost
		return
	}
	forming := planner.forming[order.Group]
	if forming != nil && order.Kind == shedkeel.OrderJoin && forming.epoch == order.Epoch {
		// The engine has seen a higher epoch; the next formation gets one.
		planner.giveUp(order.Group)
	}
}

// now is when the planner planned last.
func (planner *Planner) now() time.Duration {
	if planner.last == nil {
		return 0
	}
	return planner.last.input.Now
}

// giveUp gives up a formation that was ordered. The list is late, so it may not
// tell yet which of its members have joined: ordered elsewhere at once, a member
// was taken out of its group, which had come about after all, by that order's
// late execution.
func (planner *Planner) giveUp(group shedkeel.GroupID) {
	for _, member := range planner.forming[group].members {
		planner.reserved[member] = planner.now() + listedTime
	}
	delete(planner.forming, group)
}

func (planner *Planner) begin(input Input) {
	if planner.seen == nil {
		planner.seen = map[shedkeel.InstanceID]time.Duration{}
		planner.newest = map[shedkeel.DomainID]time.Duration{}
		planner.sent = map[orderKey]time.Duration{}
		planner.forming = map[shedkeel.GroupID]*formingGroup{}
		planner.told = map[shedkeel.Assignment]time.Duration{}
		planner.headless = map[shedkeel.Assignment]time.Duration{}
		planner.placed = map[shedkeel.Assignment]map[int]shedkeel.InstanceID{}
		planner.left = map[shedkeel.Assignment]time.Duration{}
		planner.reserved = map[shedkeel.InstanceID]time.Duration{}
		planner.absent = map[shedkeel.Assignment]time.Duration{}
		planner.pending = map[shedkeel.ServerID][]pendingJoin{}
		planner.silent = map[shedkeel.InstanceID]int{}
		planner.passed = map[shedkeel.InstanceID]time.Duration{}
		planner.yieldings = map[shedkeel.DomainID]*yielding{}
		planner.givenUp = map[shedkeel.Assignment]bool{}
		planner.warmed = map[shedkeel.InstanceID]time.Duration{}
	}
	if planner.loading == nil {
		planner.loading = map[shedkeel.InstanceID]loading{}
	}
	for _, instance := range input.Instances {
		if _, known := planner.seen[instance.ID]; !known {
			planner.seen[instance.ID] = input.Now
			planner.newest[instance.Domain] = input.Now
		}
		if loading, busy := planner.loading[instance.ID]; busy && instance.HasStaged(loading.model) {
			delete(planner.loading, instance.ID)
		}
	}
	maps.DeleteFunc(planner.loading, func(_ shedkeel.InstanceID, loading loading) bool { return input.Now >= loading.until })
	maps.DeleteFunc(planner.reserved, func(_ shedkeel.InstanceID, until time.Duration) bool { return input.Now >= until })
	planner.loads = slices.DeleteFunc(planner.loads, func(at time.Duration) bool { return input.Now-at > loadWindow })
	planner.forget(input.Now)
}

// forget forgets orders, standbys and formations of long ago.
func (planner *Planner) forget(now time.Duration) {
	maps.DeleteFunc(planner.sent, func(_ orderKey, at time.Duration) bool { return now-at > forgetTime })
	for server, joins := range planner.pending {
		joins = slices.DeleteFunc(joins, func(join pendingJoin) bool { return now >= join.until })
		planner.pending[server] = joins
		if len(joins) == 0 {
			delete(planner.pending, server)
		}
	}
	maps.DeleteFunc(planner.warmed, func(_ shedkeel.InstanceID, at time.Duration) bool { return now-at > warmAgain })
	for assignment, at := range planner.told {
		if now-at <= forgetTime {
			continue
		}
		delete(planner.told, assignment)
		delete(planner.placed, assignment)
		delete(planner.headless, assignment)
		delete(planner.left, assignment)
		delete(planner.givenUp, assignment)
		delete(planner.absent, assignment)
	}
}
