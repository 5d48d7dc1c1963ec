// Package formation decides which replica groups to form, repair and release. The engines
// keep the state of their groups, and a new planner continues from what they report. The
// platform's list of servers (Input.Instances) lags behind the engines. All times are those
// of a shedkeel.Timers clock.
//
// An instance is one start of a backend server: a restart makes another. A formation is one
// configuration of a group: its members under one epoch. The member of rank 0, the head,
// serves requests while it is open. To stage a model is to load its weights onto a host. A
// spare is a free server kept as a substitute; on standby, it waits, warmed up, in a
// formation of its own. To release a group is to close it and have its head leave, so that
// its members are free.
//
// Three rules keep groups consistent even if orders are lost or carried out late:
//
//   - Formations have unique epochs; engines refuse epochs below the highest that they have seen.
//   - A head is ordered to open only when every member reports that it is ready in that formation.
//   - A member is used in another group only when the head of its formation can't be serving
//     (headMayServe, formerHeadMayServe).
package formation

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// orderRetryInterval is the time after which an order without effect is sent
	// again. An answer takes some milliseconds, and the list usually shows the effect
	// right after the answer.
	orderRetryInterval = 500 * time.Millisecond
	// settleTime is the minimum time since the last backend server joined a domain
	// before new groups are planned there, so that the domain is planned as a whole.
	settleTime = 800 * time.Millisecond
	// headTimeout is how long a head must be unusable (round.usable) before the members of its
	// group may be used in other groups; the group may be formed again at once. Only time tells
	// a lost head from a partitioned one that serves: partitions of 10 s occur, and the head is
	// listed up to 2 s after their end.
	headTimeout = 20 * time.Second
	// listDelay is the longest time until the list shows the effect of an answered
	// order.
	listDelay = time.Second
	// lateOrderTime is how long a server may still carry out an order that it has
	// not answered.
	lateOrderTime = 15 * time.Second
	// loadWindow is the sliding window over which ordered loads are counted for
	// Engine.LoadsPerSecond.
	loadWindow = 5 * time.Second
	// spareShare is the share of a domain's servers that are kept free as spares;
	// minSpares rounds the result.
	spareShare = 0.125
	// pairLossSpares is the number of spares that suffices to replace two servers lost
	// at the same time.
	pairLossSpares = 2
)

const (
	// maxUnanswered is the number of consecutive unanswered orders after which a server is
	// skipped. Even if a third of all answers is lost, the answers to two consecutive orders are
	// both lost in only one of nine cases.
	maxUnanswered = 2
	// unreachableBackoff is how long a server is skipped after it has left
	// maxUnanswered consecutive orders unanswered.
	unreachableBackoff = 3 * time.Second
	// unlistedGrace is how long a working group is left unchanged although a member
	// is no longer listed. A member that is merely partitioned from the list is listed
	// again, and one that leaves without notice serves for some more seconds, so an
	// immediate repair would break off requests that the group can finish.
	unlistedGrace = 6 * time.Second
	// retentionTime is how long the planner keeps the state of a formation that no
	// listed server reports. It is much longer than a partitioned head can go on
	// serving.
	retentionTime = time.Minute
	// minNeedRatio limits which models get more groups than minGroups: a domain that has
	// groups gets another one only for a model whose need (groupNeed) is at least this
	// share of the highest need of any model. The servers left over remain spares.
	minNeedRatio = 0.5
)

// Input is the state that one call of Plan decides on.
type Input struct {
	Now          time.Duration
	Engine       *shedkeel.Engine
	Instances    []shedkeel.Instance                       // instances of the service, as listed
	Dead         map[shedkeel.InstanceID]bool              // instances that answer no liveness probe
	ProbePending map[shedkeel.InstanceID]bool              // instances with a pending liveness probe
	Slow         map[shedkeel.InstanceID]float64           // instances that work, but slower by this factor
	Stalled      map[shedkeel.Assignment]bool              // groups whose requests receive no events
	Demand       map[shedkeel.ModelID]shedkeel.ModelDemand // as measured; if not usable, the configured shares apply (workShares)
	Traffic      bool                                      // callers are being served, so loads are limited
}

// Planner plans the groups of one service. Set its exported fields before the first
// call of Plan. Its methods are not safe for concurrent use.
type Planner struct {
	NextEpoch func() uint64 // returns the epoch for a new formation, higher than all earlier ones
	// StallTime is the longest time for which a head stays open after a member has left its
	// formation. It bounds how long the members of a group with a lost head wait. 0: not known;
	// they wait for headTimeout.
	StallTime time.Duration

	firstListed         map[shedkeel.InstanceID]time.Duration // when the instance was first listed
	lastArrival         map[shedkeel.DomainID]time.Duration   // when the last instance joined the domain
	sentAt              map[orderKey]time.Duration            // when the order was last sent
	forming             map[shedkeel.GroupID]*formingGroup
	lastReported        map[shedkeel.Assignment]time.Duration               // when a listed server last reported the formation
	headUnusableSince   map[shedkeel.Assignment]time.Duration               // when the head was first found unusable
	lastMembers         map[shedkeel.Assignment]map[int]shedkeel.InstanceID // the members when last listed, by rank
	leftAt              map[shedkeel.Assignment]time.Duration               // when the head confirmed that it left
	memberLeftAt        map[shedkeel.Assignment]time.Duration               // when a member of a group with a lost head was first known to have left (dissolve)
	startedAt           time.Duration                                       // time of the first call of Plan
	firstEpoch          uint64                                              // the first epoch of this planner; 0: none yet
	reservedUntil       map[shedkeel.InstanceID]time.Duration               // members of abandoned formations; not used in other groups before this time
	memberUnlistedSince map[shedkeel.Assignment]time.Duration               // when a member was first found unlisted
	loadStarts          []time.Duration                                     // when loads from the weight store were ordered, by stage or join orders
	loading             map[shedkeel.InstanceID]loading                     // loads onto hosts that were ordered and have not finished
	pendingJoins        map[shedkeel.ServerID][]pendingJoin                 // unanswered join orders
	joinsInFlight       map[orderKey]time.Duration                          // when a join order was sent whose outcome is not known yet
	unanswered          map[shedkeel.InstanceID]int                         // consecutive unanswered orders
	skippedUntil        map[shedkeel.InstanceID]time.Duration               // not used before this time
	standbyOrderedAt    map[shedkeel.InstanceID]time.Duration               // when the spare was ordered to go on standby
	loadedModel         map[shedkeel.InstanceID]shedkeel.ModelID            // the model of the formation in which the server was last ready
	lastGroupIndex      int                                                 // index in the name of the group that was named last
	// Reallocation of servers from a model with too many groups to another model, at
	// most one per domain at a time.
	reallocations    map[shedkeel.DomainID]*reallocation
	released         map[shedkeel.Assignment]bool // released formations; their members are free
	imbalanceSince   time.Duration                // when the models became imbalanced; 0: they are balanced
	lastReallocation time.Duration                // when the last reallocation ended that was not canceled; 0: never
	lastRound        *round                       // the latest call of Plan, for Usage, Waits and Status
}

// loading is an ordered load of a model's weights onto a host.
type loading struct {
	model     shedkeel.ModelID
	deadline  time.Duration // from this time on, the load is no longer tracked
	confirmed bool          // the server has confirmed the order
}

// pendingJoin is an unanswered join order. The server may still carry it out, even
// after a restart.
type pendingJoin struct {
	to         shedkeel.InstanceID
	assignment shedkeel.Assignment
	until      time.Duration // the order is assumed not to be carried out after this time
}

// orderKey identifies an order, to limit how often it is sent.
type orderKey struct {
	kind  shedkeel.GroupOrderKind
	to    shedkeel.InstanceID
	epoch uint64
}

// formingGroup is a formation in progress: it was ordered, and its members are not all ready.
type formingGroup struct {
	epoch         uint64
	model         shedkeel.ModelID
	members       []shedkeel.InstanceID // by rank, the head first
	began         time.Duration
	doubtedAt     time.Duration                // when Doubtful last returned it; 0: never
	headConfirmed bool                         // the head has confirmed its join order or is listed as joined; the others may be ordered to join
	confirmed     map[shedkeel.InstanceID]bool // members that confirmed their order to join
}

// Action is an order and the reason for it, which is logged.
type Action struct {
	Order  shedkeel.GroupOrder
	Reason string
}

// Plan returns the orders to send now.
func (planner *Planner) Plan(input Input) []Action {
	planner.update(input)
	input.Instances = planner.restoreModels(input.Instances)
	round := &round{planner: planner, input: input, byID: map[shedkeel.InstanceID]*shedkeel.Instance{}, reserved: map[shedkeel.InstanceID]bool{}, inForming: map[shedkeel.InstanceID]bool{}, waits: map[waitKey]Wait{}}
	round.shares = workShares(input.Engine, input.Demand)
	round.indexInstances()
	maps.DeleteFunc(planner.loadedModel, func(id shedkeel.InstanceID, _ shedkeel.ModelID) bool { return round.byID[id] == nil })
	round.observeGroups()
	round.continueForming()
	round.reconcileGroups()
	round.reallocateGroups()
	round.formNewGroups()
	round.stageSpares()
	round.orderStandbys()
	round.recordServerWaits()
	round.recordStatus()
	planner.lastRound = round
	return round.actions
}

// Confirmed records that an engine accepted the order. Once the head has confirmed an order to join,
// the other members may be ordered to join. Once it has confirmed an order to leave, the members of
// a group that a reallocation releases are free.
func (planner *Planner) Confirmed(order shedkeel.GroupOrder) {
	delete(planner.unanswered, order.To)
	planner.landJoin(order)
	planner.confirmLoad(order)
	assignment := shedkeel.Assignment{Group: order.Group, Epoch: order.Epoch}
	switch {
	case order.Kind != shedkeel.OrderLeave:
	case planner.lastMembers[assignment][0] != order.To:
		planner.recordMemberLeft(assignment, order.To)
	default:
		planner.leftAt[assignment] = planner.lastPlanTime()
		for _, reallocation := range planner.reallocations {
			if reallocation.releases(assignment) {
				planner.released[assignment] = true
			}
		}
	}
	forming := planner.forming[order.Group]
	if forming == nil || order.Kind != shedkeel.OrderJoin || forming.epoch != order.Epoch {
		return
	}
	forming.confirmed[order.To] = true
	if order.To == forming.members[0] {
		forming.headConfirmed = true
	}
}

// confirmLoad records that a server accepted the order, if it is the order for the load that
// the planner expects of that server. Other orders have no effect.
func (planner *Planner) confirmLoad(order shedkeel.GroupOrder) {
	if known, busy := planner.loading[order.To]; busy && order.Kind == shedkeel.OrderStage && known.model == order.Model {
		known.confirmed = true
		planner.loading[order.To] = known
	}
}

// Loading returns the models that servers were ordered to load onto their hosts and
// have not finished loading, by server.
func (planner *Planner) Loading() map[shedkeel.InstanceID]shedkeel.ModelID {
	found := map[shedkeel.InstanceID]shedkeel.ModelID{}
	for id, loading := range planner.loading {
		found[id] = loading.model
	}
	return found
}

// AdoptLoads takes over the loads of known models that a previous planner ordered, for 1.25 times
// their duration at full speed (Model.Load). Meanwhile the planner orders no load from the server:
// an order for another model seems to restart the load (docs/PLATFORM.md, "Questions"). Call
// AdoptLoads before the first call of Plan.
func (planner *Planner) AdoptLoads(models map[shedkeel.InstanceID]shedkeel.ModelID, engine *shedkeel.Engine, now time.Duration) {
	planner.loading = map[shedkeel.InstanceID]loading{}
	for id, model := range models {
		if known := engine.Model(model); known != nil {
			planner.loading[id] = loading{model: model, deadline: now + known.Load + known.Load/4, confirmed: true}
		}
	}
}

// landJoin records that the outcome of an order to join is known.
func (planner *Planner) landJoin(order shedkeel.GroupOrder) {
	delete(planner.joinsInFlight, orderKey{kind: order.Kind, to: order.To, epoch: order.Epoch})
}

// Unanswered records that an order was not answered. The server may still carry out the
// order. After maxUnanswered consecutive unanswered orders, the server is skipped for
// unreachableBackoff.
func (planner *Planner) Unanswered(order shedkeel.GroupOrder, now time.Duration) {
	planner.landJoin(order)
	if order.Kind == shedkeel.OrderJoin {
		join := pendingJoin{order.To, shedkeel.Assignment{Group: order.Group, Epoch: order.Epoch}, now + lateOrderTime}
		planner.pendingJoins[order.To.Server()] = append(planner.pendingJoins[order.To.Server()], join)
	}
	planner.unanswered[order.To]++
	if planner.unanswered[order.To] >= maxUnanswered {
		delete(planner.unanswered, order.To)
		planner.skippedUntil[order.To] = now + unreachableBackoff
	}
}

// Refused records that an engine refused the order because the order does not fit the
// engine's state. A refused order to stage counts as confirmed; a refused order to join
// abandons the formation, if it is still in progress. Other orders have no effect.
func (planner *Planner) Refused(order shedkeel.GroupOrder) {
	planner.landJoin(order)
	if order.Kind == shedkeel.OrderStage {
		planner.confirmLoad(order) // the host is loading already: an earlier answer was lost
		return
	}
	forming := planner.forming[order.Group]
	if forming != nil && order.Kind == shedkeel.OrderJoin && forming.epoch == order.Epoch {
		// The engine has seen a higher epoch. The next formation gets a new one.
		planner.abandonForming(order.Group)
	}
}

// lastPlanTime returns the time of the latest call of Plan.
func (planner *Planner) lastPlanTime() time.Duration {
	if planner.lastRound == nil {
		return 0
	}
	return planner.lastRound.input.Now
}

// abandonForming stops tracking the formation of the group. It reserves the members for listDelay: a
// member that has joined but is not listed as joined yet could otherwise be ordered into another
// group and leave this formation while it serves.
func (planner *Planner) abandonForming(group shedkeel.GroupID) {
	for _, member := range planner.forming[group].members {
		planner.reservedUntil[member] = planner.lastPlanTime() + listDelay
	}
	delete(planner.forming, group)
}

// update brings the planner's state up to date with the input, before planning.
func (planner *Planner) update(input Input) {
	if planner.firstListed == nil {
		planner.firstListed = map[shedkeel.InstanceID]time.Duration{}
		planner.lastArrival = map[shedkeel.DomainID]time.Duration{}
		planner.sentAt = map[orderKey]time.Duration{}
		planner.forming = map[shedkeel.GroupID]*formingGroup{}
		planner.lastReported = map[shedkeel.Assignment]time.Duration{}
		planner.headUnusableSince = map[shedkeel.Assignment]time.Duration{}
		planner.lastMembers = map[shedkeel.Assignment]map[int]shedkeel.InstanceID{}
		planner.leftAt = map[shedkeel.Assignment]time.Duration{}
		planner.memberLeftAt = map[shedkeel.Assignment]time.Duration{}
		planner.startedAt = input.Now
		planner.reservedUntil = map[shedkeel.InstanceID]time.Duration{}
		planner.memberUnlistedSince = map[shedkeel.Assignment]time.Duration{}
		planner.pendingJoins = map[shedkeel.ServerID][]pendingJoin{}
		planner.joinsInFlight = map[orderKey]time.Duration{}
		planner.unanswered = map[shedkeel.InstanceID]int{}
		planner.skippedUntil = map[shedkeel.InstanceID]time.Duration{}
		planner.reallocations = map[shedkeel.DomainID]*reallocation{}
		planner.released = map[shedkeel.Assignment]bool{}
		planner.standbyOrderedAt = map[shedkeel.InstanceID]time.Duration{}
		planner.loadedModel = map[shedkeel.InstanceID]shedkeel.ModelID{}
	}
	if planner.loading == nil {
		planner.loading = map[shedkeel.InstanceID]loading{}
	}
	for _, instance := range input.Instances {
		if _, known := planner.firstListed[instance.ID]; !known {
			planner.firstListed[instance.ID] = input.Now
			planner.lastArrival[instance.Domain] = input.Now
		}
		if loading, busy := planner.loading[instance.ID]; busy && instance.HasStaged(loading.model) {
			delete(planner.loading, instance.ID)
		}
	}
	maps.DeleteFunc(planner.loading, func(_ shedkeel.InstanceID, loading loading) bool { return input.Now >= loading.deadline })
	maps.DeleteFunc(planner.reservedUntil, func(_ shedkeel.InstanceID, until time.Duration) bool { return input.Now >= until })
	planner.loadStarts = slices.DeleteFunc(planner.loadStarts, func(at time.Duration) bool { return input.Now-at > loadWindow })
	planner.expire(input.Now)
}

// restoreModels records which model each server has loaded, and returns the instances with the Models
// of servers that have left their group set to it. Such a server reports none, but joins a group of that
// model without a load or a warm-up. The given instances stay as they are.
func (planner *Planner) restoreModels(instances []shedkeel.Instance) []shedkeel.Instance {
	restored := instances
	for index, instance := range instances {
		loaded := planner.loadedModel[instance.ID]
		switch {
		case instance.Member != nil && instance.Member.State != shedkeel.MemberJoining:
			planner.loadedModel[instance.ID] = formationModel(instance.Member.Group)
		case instance.Member != nil:
			delete(planner.loadedModel, instance.ID)
		case len(instance.Models) == 0 && loaded != "":
			if &restored[0] == &instances[0] {
				restored = slices.Clone(instances)
			}
			restored[index].Models = []shedkeel.ModelID{loaded}
		}
	}
	return restored
}

// newEpoch returns an epoch that is higher than all earlier ones, also those of earlier planners.
func (planner *Planner) newEpoch() uint64 {
	epoch := planner.NextEpoch()
	if planner.firstEpoch == 0 {
		planner.firstEpoch = epoch
	}
	return epoch
}

// mayJoinLater reports whether a server may still carry out an order to join a formation with a higher epoch, of this
// planner or of an earlier one, whose unanswered orders this planner doesn't know.
func (planner *Planner) mayJoinLater(server shedkeel.ServerID, epoch uint64, now time.Duration) bool {
	ofEarlier := planner.firstEpoch == 0 || epoch < planner.firstEpoch
	if ofEarlier && now-planner.startedAt < lateOrderTime {
		return true
	}
	for order := range planner.joinsInFlight {
		if order.to.Server() == server && order.epoch > epoch {
			return true
		}
	}
	return slices.ContainsFunc(planner.pendingJoins[server], func(join pendingJoin) bool { return join.assignment.Epoch > epoch })
}

// expire removes the state of orders that are older than retentionTime, of unanswered joins and those without
// a known outcome after lateOrderTime, of standby orders after standbyRetryInterval, and of formations that
// no listed server has reported for retentionTime.
func (planner *Planner) expire(now time.Duration) {
	maps.DeleteFunc(planner.sentAt, func(_ orderKey, at time.Duration) bool { return now-at > retentionTime })
	maps.DeleteFunc(planner.joinsInFlight, func(_ orderKey, at time.Duration) bool { return now-at > lateOrderTime })
	for server, joins := range planner.pendingJoins {
		joins = slices.DeleteFunc(joins, func(join pendingJoin) bool { return now >= join.until })
		planner.pendingJoins[server] = joins
		if len(joins) == 0 {
			delete(planner.pendingJoins, server)
		}
	}
	maps.DeleteFunc(planner.standbyOrderedAt, func(_ shedkeel.InstanceID, at time.Duration) bool { return now-at > standbyRetryInterval })
	for assignment, at := range planner.lastReported {
		if now-at <= retentionTime {
			continue
		}
		delete(planner.lastReported, assignment)
		delete(planner.lastMembers, assignment)
		delete(planner.headUnusableSince, assignment)
		delete(planner.leftAt, assignment)
		delete(planner.memberLeftAt, assignment)
		delete(planner.released, assignment)
		delete(planner.memberUnlistedSince, assignment)
	}
}
