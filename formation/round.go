package formation

import (
	"cmp"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// round is one planning.
type round struct {
	planner  *Planner
	input    Input
	shares   map[shedkeel.ModelID]float64 // of the work, as boxes do it
	giver    shedkeel.ModelID             // has more groups than its work needs, and gets no new ones; "": none
	byID     map[shedkeel.InstanceID]*shedkeel.Instance
	starts   map[shedkeel.ServerID]shedkeel.InstanceID // the listed start of each server
	byDomain map[shedkeel.DomainID][]*shedkeel.Instance
	domains  []shedkeel.DomainID // by name
	groups   []*observed
	byName   map[shedkeel.GroupID]*observed // the same
	used     map[shedkeel.InstanceID]bool   // in a group, forming or held back
	promised map[shedkeel.InstanceID]bool   // to a formation that is not open yet
	actions  []Action
	waits    map[waitKey]Wait
}

// index sorts the backend servers by name and by domain.
func (round *round) index() {
	round.byDomain = map[shedkeel.DomainID][]*shedkeel.Instance{}
	round.starts = map[shedkeel.ServerID]shedkeel.InstanceID{}
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		round.byID[instance.ID] = instance
		round.starts[instance.ID.Server()] = instance.ID
		round.byDomain[instance.Domain] = append(round.byDomain[instance.Domain], instance)
	}
	round.domains = slices.Sorted(maps.Keys(round.byDomain))
}

func (round *round) usable(instance *shedkeel.Instance) bool {
	return instance != nil && !instance.Draining && !round.input.Dead[instance.ID] && round.planner.passed[instance.ID] <= round.input.Now
}

// observed is a group as its members tell of it.
type observed struct {
	id      shedkeel.GroupID
	epoch   uint64 // the highest that any member tells of
	domain  shedkeel.DomainID
	model   *shedkeel.Model
	members []*shedkeel.Instance // by rank; nil: not listed in this epoch
}

// head returns the first member, or nil.
func (group *observed) head() *shedkeel.Instance {
	if len(group.members) == 0 {
		return nil
	}
	return group.members[0]
}

// assignment names the group in its epoch.
func (group *observed) assignment() shedkeel.Assignment {
	return shedkeel.Assignment{Group: group.id, Epoch: group.epoch}
}

func (group *observed) headState() shedkeel.MemberState {
	if head := group.head(); head != nil {
		return head.Member.State
	}
	return ""
}

// observe puts together the groups that the engines tell of.
func (round *round) observe() {
	byName := map[shedkeel.GroupID]*observed{}
	round.byName = byName
	epochs := LatestEpochs(slices.Values(round.input.Instances))
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if instance.Member == nil {
			continue
		}
		group := byName[instance.Member.Group]
		if group == nil {
			group = &observed{id: instance.Member.Group, model: round.modelOf(instance.Member.Group), domain: instance.Domain}
			byName[group.id] = group
			round.groups = append(round.groups, group)
		}
		round.planner.told[instance.Member.Assignment()] = round.input.Now
		group.epoch = epochs[group.id]
		round.place(instance)
		if at, left := round.planner.left[instance.Member.Assignment()]; left && instance.Member.Rank == 0 && round.input.Now-at > listedTime {
			delete(round.planner.left, instance.Member.Assignment()) // it has joined again
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
	slices.SortFunc(round.groups, func(a, b *observed) int { return cmp.Compare(a.id, b.id) })
}

// place remembers who holds a rank of a formation.
func (round *round) place(instance *shedkeel.Instance) {
	assignment := instance.Member.Assignment()
	if round.planner.placed[assignment] == nil {
		round.planner.placed[assignment] = map[int]shedkeel.InstanceID{}
	}
	round.planner.placed[assignment][instance.Member.Rank] = instance.ID
}

// startedAgain reports whether the server of an instance is listed with a later
// start: the instance itself is gone for good, whatever it last said.
func (round *round) startedAgain(id shedkeel.InstanceID) bool {
	now, listed := round.starts[id.Server()]
	return listed && now.Born() > id.Born()
}

// modelOf returns the model that a group's name tells, or nil.
func (round *round) modelOf(id shedkeel.GroupID) *shedkeel.Model {
	name, _ := parseGroup(id)
	return round.input.Engine.Model(name)
}

// give adds an order unless it was given lately.
func (round *round) give(order shedkeel.GroupOrder, reason string) {
	key := orderKey{kind: order.Kind, to: order.To, epoch: order.Epoch}
	if at, before := round.planner.sent[key]; before && round.input.Now-at < orderRepeat {
		return
	}
	round.planner.sent[key] = round.input.Now
	order.Address = round.byID[order.To].Address
	round.actions = append(round.actions, Action{Order: order, Reason: reason})
}
