package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// GroupsInZone returns how many groups of a service an availability zone must
// hold. The groups are spread evenly over the service's zones; the zones whose
// names sort first hold one more if the number does not divide evenly. It returns
// 0 for zones that the service does not list and for services that serve no model.
func GroupsInZone(service shedkeel.Service, zone shedkeel.ZoneID) int {
	zones := slices.Clone(service.Zones)
	slices.Sort(zones)
	position := slices.Index(zones, zone)
	if position < 0 || service.Kind != shedkeel.KindModel {
		return 0
	}
	share := service.Groups / len(zones)
	if position < service.Groups%len(zones) {
		share++
	}
	return share
}

// consolidate removes a short group (see shortage) if its healthy members and the
// free boxes suffice to repair another short group of the same service and domain,
// and repeats this as long as there is such a pair. Then one group is down instead of
// two.
func (round *round) consolidate() {
	for {
		donor, receiver := round.findDonor()
		if donor == nil {
			return
		}
		round.recordDecision(donor.ID, "", "break up", "its sound boxes mend group "+string(receiver.ID))
		id := donor.ID
		round.next.Groups = slices.DeleteFunc(round.next.Groups, func(group shedkeel.Group) bool { return group.ID == id })
		round.changed = true
		round.updateFreeBoxes()
		round.repairShortGroups(id)
	}
}

// findDonor returns a short group whose healthy members, with the free boxes,
// suffice to repair another short group of its service and domain, and that other
// group. It prefers the donor with the most failed members and the receiver
// with the fewest. It returns two nil pointers if there is no such pair.
func (round *round) findDonor() (donor, receiver *shedkeel.Group) {
	byFailed := slices.Clone(round.shortGroups)
	slices.SortStableFunc(byFailed, func(a, b shortage) int { return cmp.Compare(len(b.failed), len(a.failed)) })
	for _, donorShortage := range byFailed {
		donor := round.findGroup(donorShortage.group)
		for _, receiverShortage := range slices.Backward(byFailed) {
			receiver := round.findGroup(receiverShortage.group)
			if donorShortage.group == receiverShortage.group || donor == nil || receiver == nil {
				continue
			}
			compatible := donor.Service == receiver.Service && donor.Domain == receiver.Domain
			healthy := len(donor.Members) - len(donorShortage.failed)
			if compatible && healthy+len(round.free[receiver.Domain]) >= len(receiverShortage.failed) {
				return donor, receiver
			}
		}
	}
	return nil, nil
}

// findGroup returns the group with the ID in the next placement, or nil if there is
// none. The pointer is valid until groups are added or removed.
func (round *round) findGroup(id shedkeel.GroupID) *shedkeel.Group {
	for index := range round.next.Groups {
		if round.next.Groups[index].ID == id {
			return &round.next.Groups[index]
		}
	}
	return nil
}

// repairShortGroups tries again to repair the short groups after the removal of a
// group has freed its boxes; removed is the ID of that group. Groups that still
// cannot be repaired are in shortGroups again.
func (round *round) repairShortGroups(removed shedkeel.GroupID) {
	short := round.shortGroups
	round.shortGroups = nil
	for _, shortage := range short {
		group := round.findGroup(shortage.group)
		if shortage.group != removed && group != nil {
			round.repairGroup(group)
		}
	}
}

// formGroups forms the groups that services lack in this zone (see GroupsInZone), as
// far as there are free boxes. Draining groups do not count.
func (round *round) formGroups() {
	for _, service := range round.input.Config.Services {
		count := 0
		for _, group := range round.next.Groups {
			if group.Service == service.ID && !group.Draining {
				count++
			}
		}
		for ; count < GroupsInZone(service, round.input.Zone); count++ {
			if !round.formGroup(service) {
				break
			}
		}
	}
}

// formGroup forms one group of the service from free boxes and reports whether it did. Of the
// fabric domains with enough boxes for the group and Spares, it uses the one with the fewest. It
// forms no group within a domain that findSilentDomains has marked, but the boxes of such a domain
// may join a group that spans domains, if the parameters allow these.
func (round *round) formGroup(service shedkeel.Service) bool {
	best := shedkeel.DomainID("")
	found := false
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		surplus := len(round.free[domain]) - round.input.Parameters.Spares - service.Members
		if surplus < 0 || round.silentDomains[domain] {
			continue
		}
		if !found || len(round.free[domain]) < len(round.free[best]) {
			best = domain
			found = true
		}
	}
	boxes := slices.Clone(round.free[best])
	if !found {
		boxes = round.allFreeBoxes()
		best = ""
		if !round.input.Parameters.CrossDomain || len(boxes) < service.Members+round.input.Parameters.Spares {
			return false
		}
	}
	sortWarmFirst(boxes, service.ID)
	group := shedkeel.Group{Service: service.ID, Domain: best, Epoch: round.nextEpoch()}
	for _, view := range boxes[:service.Members] {
		group.Members = append(group.Members, memberFromView(view))
	}
	group.ID = shedkeel.GroupID(fmt.Sprintf("%s-%d", round.input.Zone, group.Epoch))
	round.next.Groups = append(round.next.Groups, group)
	round.changed = true
	round.recordDecision(group.ID, "", "form", "service "+string(service.ID)+" has too few groups")
	round.updateFreeBoxes()
	return true
}

// prefetchOrders returns the orders to load weights for boxes that are in no group
// yet: for the substitutes that repairs have chosen and, if the parameter WarmSpares
// is set, for all free boxes. A free box that is no chosen substitute loads the
// weights of the mainService of its domain.
func (round *round) prefetchOrders() []shedkeel.Order {
	if round.input.Parameters.WarmSpares {
		for _, domain := range slices.Sorted(maps.Keys(round.free)) {
			service := round.mainService(domain)
			for _, view := range round.free[domain] {
				if _, planned := round.prefetch[view.Box.ID]; !planned && service != "" {
					round.prefetch[view.Box.ID] = service
				}
			}
		}
	}
	var orders []shedkeel.Order
	for _, id := range slices.Sorted(maps.Keys(round.prefetch)) {
		view := round.input.Boxes[id]
		service := round.input.Config.Service(round.prefetch[id])
		if service == nil || view.State.Weights == service.ID || view.State.Phase == shedkeel.PhaseLoading {
			continue
		}
		orders = append(orders, shedkeel.Order{Kind: shedkeel.OrderPrefetch, Box: id, Address: view.Box.Address, Service: service.ID, Unfenced: service.Unfenced})
	}
	return orders
}

// mainService returns the service with the most groups in the domain, or "" if the
// domain has no groups. Of several such services it returns the one whose ID sorts
// first.
func (round *round) mainService(domain shedkeel.DomainID) shedkeel.ServiceID {
	counts := map[shedkeel.ServiceID]int{}
	for _, group := range round.next.Groups {
		if group.Domain == domain {
			counts[group.Service]++
		}
	}
	best := shedkeel.ServiceID("")
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[service] > counts[best] {
			best = service
		}
	}
	return best
}
