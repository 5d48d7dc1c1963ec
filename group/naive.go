package group

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// NaivePlanner is a simple planner that Planner is compared with. It removes a group as soon as a
// member is silent, restarted, leaving or no longer listed, and forms groups from the free boxes of
// one fabric domain by ID. It ignores operators' drains and the policy's parameters
// (PlanInput.Parameters).
type NaivePlanner struct {
	MissAfter time.Duration // zero: DefaultMissAfter
}

// Plan returns the next placement of one availability zone, and the orders that
// Reconcile derives from the placement in the input, which is the committed one.
func (naive *NaivePlanner) Plan(input shedkeel.PlanInput) shedkeel.PlanOutput {
	missAfter := naive.MissAfter
	if missAfter == 0 {
		missAfter = DefaultMissAfter
	}
	next := input.Placement.Clone()
	next.Zone = input.Zone
	before := len(next.Groups)
	next.Groups = slices.DeleteFunc(next.Groups, func(group shedkeel.Group) bool {
		return slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool {
			view, listed := input.Boxes[member.Box]
			missing := !listed || view.LastReply < 0 || input.Now-view.LastReply > missAfter
			return missing || view.State.Boot != member.Boot || view.Box.Leaving || view.State.Leaving
		})
	})
	changed := len(next.Groups) != before
	taken := map[shedkeel.BoxID]bool{}
	for _, group := range next.Groups {
		for _, member := range group.Members {
			taken[member.Box] = true
		}
	}
	free := map[shedkeel.DomainID][]shedkeel.BoxView{}
	for _, id := range slices.Sorted(maps.Keys(input.Boxes)) {
		view := input.Boxes[id]
		responding := view.LastReply >= 0 && input.Now-view.LastReply <= missAfter
		if responding && !view.Box.Leaving && !view.State.Leaving && !taken[id] {
			free[view.Box.Domain] = append(free[view.Box.Domain], view)
		}
	}
	for _, service := range input.Config.Services {
		changed = formMissingGroups(&next, service, GroupsInZone(service, input.Zone), free) || changed
	}
	return shedkeel.PlanOutput{Changed: changed, Placement: next, Orders: Reconcile(input)}
}

// formMissingGroups forms groups until the service has the wanted number or free
// boxes run out, and reports whether it formed any. It removes the boxes that it
// uses from free.
func formMissingGroups(next *shedkeel.Placement, service shedkeel.Service, wanted int, free map[shedkeel.DomainID][]shedkeel.BoxView) bool {
	count := 0
	for _, group := range next.Groups {
		if group.Service == service.ID {
			count++
		}
	}
	formed := false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for count < wanted && len(free[domain]) >= service.Members {
			next.NextEpoch = max(next.NextEpoch, 1)
			group := shedkeel.Group{Service: service.ID, Domain: domain, Epoch: next.NextEpoch}
			next.NextEpoch++
			group.ID = shedkeel.GroupID(fmt.Sprintf("%s-%d", next.Zone, group.Epoch))
			for _, view := range free[domain][:service.Members] {
				group.Members = append(group.Members, memberFromView(view))
			}
			free[domain] = free[domain][service.Members:]
			next.Groups = append(next.Groups, group)
			formed = true
			count++
		}
	}
	return formed
}
