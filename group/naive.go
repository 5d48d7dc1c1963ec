package group

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// Naive is the plain planner that Planner is measured against: a group with
// any missing member is broken up at once, and groups are formed from whatever
// boxes of one fabric domain are free, in order of name.
type Naive struct {
	MissAfter time.Duration // zero: DefaultMissAfter
}

// Plan decides for one availability zone at one time.
func (naive *Naive) Plan(input shedkeel.PlanInput) shedkeel.PlanOutput {
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
			silent := !listed || view.Seen < 0 || input.Now-view.Seen > missAfter
			return silent || view.State.Boot != member.Boot || view.Box.Leaving || view.State.Leaving
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
		answers := view.Seen >= 0 && input.Now-view.Seen <= missAfter
		if answers && !view.Box.Leaving && !view.State.Leaving && !taken[id] {
			free[view.Box.Domain] = append(free[view.Box.Domain], view)
		}
	}
	for _, service := range input.Config.Services {
		changed = formNaively(&next, service, Share(service, input.Zone), free) || changed
	}
	return shedkeel.PlanOutput{Changed: changed, Placement: next, Orders: Reconcile(input)}
}

// formNaively makes groups until the service has enough, and reports whether
// it made any.
func formNaively(next *shedkeel.Placement, service shedkeel.Service, wanted int, free map[shedkeel.DomainID][]shedkeel.BoxView) bool {
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
				group.Members = append(group.Members, memberOf(view))
			}
			free[domain] = free[domain][service.Members:]
			next.Groups = append(next.Groups, group)
			formed = true
			count++
		}
	}
	return formed
}
