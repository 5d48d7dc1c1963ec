package formation

import (
	"cmp"
	"iter"
	"slices"

	"shedkeel.org/shedkeel"
)

// Group is a replica group as its members report it. Members are in the order of the
// list, not by rank.
type Group struct {
	Group   shedkeel.GroupID
	Epoch   uint64
	Model   shedkeel.ModelID
	State   shedkeel.MemberState // state of the head; "" if the head is not listed
	Members []shedkeel.InstanceID
}

// LatestEpochs returns the highest epoch that the backend servers report for each
// group. Formations of the group with lower epochs have been replaced.
func LatestEpochs(instances iter.Seq[shedkeel.Instance]) map[shedkeel.GroupID]uint64 {
	epochs := map[shedkeel.GroupID]uint64{}
	for instance := range instances {
		if member := instance.Member; member != nil {
			epochs[member.Group] = max(epochs[member.Group], member.Epoch)
		}
	}
	return epochs
}

// Groups returns the replica groups that the backend servers report, sorted by
// ID, each with the members of its highest epoch. The standby formations of spares count as
// groups, with an empty Model.
func Groups(instances []shedkeel.Instance) []Group {
	epochs := LatestEpochs(slices.Values(instances))
	byID := map[shedkeel.GroupID]*Group{}
	for _, instance := range instances {
		if instance.Member == nil || instance.Member.Epoch != epochs[instance.Member.Group] {
			continue
		}
		group := byID[instance.Member.Group]
		if group == nil {
			group = &Group{Group: instance.Member.Group, Epoch: instance.Member.Epoch, Model: ModelOf(instance.Member.Group)}
			byID[group.Group] = group
		}
		group.Members = append(group.Members, instance.ID)
		if instance.Member.Rank == 0 {
			group.State = instance.Member.State
		}
	}
	var found []Group
	for _, group := range byID {
		found = append(found, *group)
	}
	slices.SortFunc(found, func(a, b Group) int { return cmp.Compare(a.Group, b.Group) })
	return found
}
