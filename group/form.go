package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// Share returns how many of a service's groups one of its zones is to hold.
func Share(service shedkeel.Service, zone shedkeel.ZoneID) int {
	zones := slices.Clone(service.Zones)
	slices.Sort(zones)
	place := slices.Index(zones, zone)
	if place < 0 || service.Kind != shedkeel.KindModel {
		return 0
	}
	share := service.Groups / len(zones)
	if place < service.Groups%len(zones) {
		share++
	}
	return share
}

// consolidate breaks up one short group of each service and domain to mend the
// others: one group down in place of several.
func (round *round) consolidate() {
	for {
		donor, receiver := round.donor()
		if donor == nil {
			return
		}
		round.decide(donor.ID, "", "break up", "its sound boxes mend group "+string(receiver.ID))
		id := donor.ID
		round.next.Groups = slices.DeleteFunc(round.next.Groups, func(group shedkeel.Group) bool { return group.ID == id })
		round.changed = true
		round.findFree()
		round.mendShort(id)
	}
}

// donor returns the short group with the most members missing, if its sound
// members would mend another short one of its service and domain.
func (round *round) donor() (donor, receiver *shedkeel.Group) {
	worst := slices.Clone(round.short)
	slices.SortStableFunc(worst, func(a, b shortage) int { return cmp.Compare(len(b.bad), len(a.bad)) })
	for _, from := range worst {
		donor := round.find(from.group)
		for _, to := range slices.Backward(worst) {
			receiver := round.find(to.group)
			if from.group == to.group || donor == nil || receiver == nil {
				continue
			}
			alike := donor.Service == receiver.Service && donor.Domain == receiver.Domain
			sound := len(donor.Members) - len(from.bad)
			if alike && sound+len(round.free[receiver.Domain]) >= len(to.bad) {
				return donor, receiver
			}
		}
	}
	return nil, nil
}

func (round *round) find(id shedkeel.GroupID) *shedkeel.Group {
	for index := range round.next.Groups {
		if round.next.Groups[index].ID == id {
			return &round.next.Groups[index]
		}
	}
	return nil
}

// mendShort tries the short groups again after one was broken up.
func (round *round) mendShort(broken shedkeel.GroupID) {
	short := round.short
	round.short = nil
	for _, shortage := range short {
		group := round.find(shortage.group)
		if shortage.group != broken && group != nil {
			round.mendGroup(group)
		}
	}
}

// form makes the groups that services lack out of free boxes. Each is made
// where it leaves the fewest boxes over.
func (round *round) form() {
	for _, service := range round.input.Config.Services {
		count := 0
		for _, group := range round.next.Groups {
			if group.Service == service.ID && !group.Draining {
				count++
			}
		}
		for ; count < Share(service, round.input.Zone); count++ {
			if !round.formOne(service) {
				break
			}
		}
	}
}

func (round *round) formOne(service shedkeel.Service) bool {
	best := shedkeel.DomainID("")
	found := false
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		over := len(round.free[domain]) - round.input.Table.Spares - service.Members
		if over < 0 || round.dark[domain] {
			continue
		}
		if !found || len(round.free[domain]) < len(round.free[best]) {
			best = domain
			found = true
		}
	}
	boxes := slices.Clone(round.free[best])
	if !found {
		boxes = round.allFree()
		best = ""
		if !round.input.Table.CrossDomain || len(boxes) < service.Members+round.input.Table.Spares {
			return false
		}
	}
	sortWarmFirst(boxes, service.ID)
	group := shedkeel.Group{Service: service.ID, Domain: best, Epoch: round.epoch()}
	for _, view := range boxes[:service.Members] {
		group.Members = append(group.Members, memberOf(view))
	}
	group.ID = shedkeel.GroupID(fmt.Sprintf("%s-%d", round.input.Zone, group.Epoch))
	round.next.Groups = append(round.next.Groups, group)
	round.changed = true
	round.decide(group.ID, "", "form", "service "+string(service.ID)+" has too few groups")
	round.findFree()
	return true
}

// prefetches returns the orders that load weights ahead of need, for the boxes
// of the rules above and, if the table says so, for all spares.
func (round *round) prefetches() []shedkeel.Order {
	if round.input.Table.WarmSpares {
		for _, domain := range slices.Sorted(maps.Keys(round.free)) {
			service := round.mainService(domain)
			for _, view := range round.free[domain] {
				if _, already := round.warming[view.Box.ID]; !already && service != "" {
					round.warming[view.Box.ID] = service
				}
			}
		}
	}
	var orders []shedkeel.Order
	for _, id := range slices.Sorted(maps.Keys(round.warming)) {
		view := round.input.Boxes[id]
		service := round.input.Config.Service(round.warming[id])
		if service == nil || view.State.Weights == service.ID || view.State.Phase == shedkeel.PhaseLoading {
			continue
		}
		orders = append(orders, shedkeel.Order{Kind: shedkeel.OrderPrefetch, Box: id, Address: view.Box.Address, Service: service.ID, Unfenced: service.Unfenced})
	}
	return orders
}

// mainService returns the service that has most groups in the domain.
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
