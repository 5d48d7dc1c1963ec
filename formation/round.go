package formation

import (
	"cmp"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// round is one call of Plan: its input, indexes of it, and the orders so far.
type round struct {
	planner         *Planner
	input           Input
	shares          map[shedkeel.ModelID]float64 // each model's share of the work, as returned by workShares
	donor           shedkeel.ModelID             // the model that releases groups and gets no more than minGroups; "": none
	byID            map[shedkeel.InstanceID]*shedkeel.Instance
	listedInstances map[shedkeel.ServerID]shedkeel.InstanceID // the listed instance of each server
	byDomain        map[shedkeel.DomainID][]*shedkeel.Instance
	domains         []shedkeel.DomainID                 // sorted
	groups          []*observedGroup                    // sorted by name
	groupsByName    map[shedkeel.GroupID]*observedGroup // the same groups, by name
	// reserved holds the instances that are not free in this round: the members of a group that
	// reconcile keeps, those of a formation in progress, those that may be in a formation without
	// being listed in it, and those chosen for a new group.
	reserved  map[shedkeel.InstanceID]bool
	inForming map[shedkeel.InstanceID]bool // in a formation whose members are not all ready
	actions   []Action
	waits     map[waitKey]Wait
	status    []ModelStatus // sorted by model
}

// indexInstances indexes the backend servers by instance, server and domain.
func (round *round) indexInstances() {
	round.byDomain = map[shedkeel.DomainID][]*shedkeel.Instance{}
	round.listedInstances = map[shedkeel.ServerID]shedkeel.InstanceID{}
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		round.byID[instance.ID] = instance
		round.listedInstances[instance.ID.Server()] = instance.ID
		round.byDomain[instance.Domain] = append(round.byDomain[instance.Domain], instance)
	}
	round.domains = slices.Sorted(maps.Keys(round.byDomain))
}

// usable reports whether an instance is listed, is not draining, is not dead, and is not
// skipped for unanswered orders.
func (round *round) usable(instance *shedkeel.Instance) bool {
	return instance != nil && !instance.Draining && !round.input.Dead[instance.ID] && round.planner.skippedUntil[instance.ID] <= round.input.Now
}

// observedGroup is a group as its members report it. Its members are those of its highest
// epoch.
type observedGroup struct {
	id     shedkeel.GroupID
	epoch  uint64 // the highest that a member reports
	domain shedkeel.DomainID
	model  *shedkeel.Model
	// members holds the members by rank. An element is nil if the member is not listed in this
	// epoch. The slice is nil if the engine does not have the model or no rank is valid.
	members []*shedkeel.Instance
	serving bool // see serves
}

// head returns the member of rank 0, or nil if it is not listed.
func (group *observedGroup) head() *shedkeel.Instance {
	if len(group.members) == 0 {
		return nil
	}
	return group.members[0]
}

// assignment returns the group's name with its epoch.
func (group *observedGroup) assignment() shedkeel.Assignment {
	return shedkeel.Assignment{Group: group.id, Epoch: group.epoch}
}

// headState returns the state of the head, or "" if the head is not listed.
func (group *observedGroup) headState() shedkeel.MemberState {
	if head := group.head(); head != nil {
		return head.Member.State
	}
	return ""
}

// observeGroups builds the groups from what the engines report. It also records for each
// formation when it was last reported and by which members. A head that is still listed in a
// formation listDelay after it confirmed that it left has joined again, so observeGroups
// removes it from leftAt.
func (round *round) observeGroups() {
	byName := map[shedkeel.GroupID]*observedGroup{}
	round.groupsByName = byName
	epochs := LatestEpochs(slices.Values(round.input.Instances))
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if instance.Member == nil {
			continue
		}
		group := byName[instance.Member.Group]
		if group == nil {
			group = &observedGroup{id: instance.Member.Group, model: round.modelOfGroup(instance.Member.Group), domain: instance.Domain}
			byName[group.id] = group
			round.groups = append(round.groups, group)
		}
		round.planner.lastReported[instance.Member.Assignment()] = round.input.Now
		group.epoch = epochs[group.id]
		round.recordMember(instance)
		if at, known := round.planner.leftAt[instance.Member.Assignment()]; known && instance.Member.Rank == 0 && round.input.Now-at > listDelay {
			delete(round.planner.leftAt, instance.Member.Assignment()) // the head has joined again
		}
		if round.planner.hasRejoined(instance, round.input.Now) {
			delete(round.planner.memberLeftAt, instance.Member.Assignment())
		}
	}
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if instance.Member == nil {
			continue
		}
		group := byName[instance.Member.Group]
		if group.model == nil || instance.Member.Epoch != group.epoch || instance.Member.Rank < 0 || instance.Member.Rank >= group.model.Size {
			continue
		}
		if group.members == nil {
			group.members = make([]*shedkeel.Instance, group.model.Size)
		}
		group.members[instance.Member.Rank] = instance
	}
	for _, group := range round.groups {
		group.serving = round.serves(group)
	}
	slices.SortFunc(round.groups, func(a, b *observedGroup) int { return cmp.Compare(a.id, b.id) })
}

// recordMember stores which instance has a rank of a formation.
func (round *round) recordMember(instance *shedkeel.Instance) {
	assignment := instance.Member.Assignment()
	if round.planner.lastMembers[assignment] == nil {
		round.planner.lastMembers[assignment] = map[int]shedkeel.InstanceID{}
	}
	round.planner.lastMembers[assignment][instance.Member.Rank] = instance.ID
}

// restarted reports whether a later instance of the same server is listed. In that case the
// given instance has terminated, whatever it last reported.
func (round *round) restarted(id shedkeel.InstanceID) bool {
	current, listed := round.listedInstances[id.Server()]
	return listed && current.Born() > id.Born()
}

// modelOfGroup returns the model in a group's name, or nil if the engine has no
// such model.
func (round *round) modelOfGroup(id shedkeel.GroupID) *shedkeel.Model {
	name, _ := parseGroupName(id)
	return round.input.Engine.Model(name)
}

// addOrder adds an order to the plan unless the same order (orderKey) was sent within
// orderRetryInterval.
func (round *round) addOrder(order shedkeel.GroupOrder, reason string) {
	key := orderKey{kind: order.Kind, to: order.To, epoch: order.Epoch}
	if at, before := round.planner.sentAt[key]; before && round.input.Now-at < orderRetryInterval {
		return
	}
	round.planner.sentAt[key] = round.input.Now
	if order.Kind == shedkeel.OrderJoin {
		round.planner.joinsInFlight[key] = round.input.Now
	}
	order.Address = round.byID[order.To].Address
	round.actions = append(round.actions, Action{Order: order, Reason: reason})
}
