package formation

import (
	"cmp"
	"slices"

	"shedkeel.org/shedkeel"
)

// Group is a replica group as its members tell of it.
type Group struct {
	Group   shedkeel.GroupID
	Epoch   uint64
	Model   shedkeel.ModelID
	State   shedkeel.MemberState // of its head; "": not listed
	Members []shedkeel.InstanceID
}

// Groups returns the replica groups that backend servers tell of, by name,
// each in its highest epoch.
func Groups(instances []shedkeel.Instance) []Group {
	byName := map[shedkeel.GroupID]*Group{}
	for _, instance := range instances {
		if instance.Member == nil {
			continue
		}
		group := byName[instance.Member.Group]
		if group == nil || group.Epoch < instance.Member.Epoch {
			group = &Group{Group: instance.Member.Group, Epoch: instance.Member.Epoch, Model: ModelOf(instance.Member.Group)}
			byName[group.Group] = group
		}
		if group.Epoch != instance.Member.Epoch {
			continue
		}
		group.Members = append(group.Members, instance.ID)
		if instance.Member.Rank == 0 {
			group.State = instance.Member.State
		}
	}
	var found []Group
	for _, group := range byName {
		found = append(found, *group)
	}
	slices.SortFunc(found, func(a, b Group) int { return cmp.Compare(a.Group, b.Group) })
	return found
}
