package group

import (
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// Reconcile returns the orders that bring the boxes to where the agreed
// placement has them. It keeps no state: an order that was lost is given
// again when the next probe shows that it was not followed.
func Reconcile(input shedkeel.PlanInput) []shedkeel.Order {
	var orders []shedkeel.Order
	member := map[shedkeel.BoxID]bool{}
	for _, group := range input.Placement.Groups {
		service := input.Config.Service(group.Service)
		unfenced := service != nil && service.Unfenced
		for _, place := range group.Members {
			member[place.Box] = true
			view, listed := input.Boxes[place.Box]
			if !listed || view.Seen < 0 || view.State.Boot != place.Boot || follows(view.State, group.Assignment()) {
				continue
			}
			orders = append(orders, shedkeel.Order{
				Kind: shedkeel.OrderLoad, Box: place.Box, Address: place.Address, Service: group.Service,
				Assignment: group.Assignment(), Peers: addresses(group), Unfenced: unfenced,
			})
		}
	}
	return append(orders, releases(input, member)...)
}

// follows reports whether the box has taken the order to join.
func follows(state shedkeel.BoxState, assignment shedkeel.Assignment) bool {
	joining := state.Phase == shedkeel.PhaseLoading || state.Phase == shedkeel.PhaseReady
	return joining && state.Assigned == assignment
}

func addresses(group shedkeel.Group) []string {
	var addresses []string
	for _, member := range group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// releases returns orders for the boxes that still believe themselves in a
// group that the placement does not have them in.
func releases(input shedkeel.PlanInput, member map[shedkeel.BoxID]bool) []shedkeel.Order {
	var orders []shedkeel.Order
	for _, id := range slices.Sorted(maps.Keys(input.Boxes)) {
		view := input.Boxes[id]
		if member[id] || view.Seen < 0 || view.State.Assigned.Group == "" {
			continue
		}
		service := input.Config.Service(view.State.Weights)
		orders = append(orders, shedkeel.Order{
			Kind: shedkeel.OrderRelease, Box: id, Address: view.Box.Address, Service: view.State.Weights,
			Assignment: view.State.Assigned, Unfenced: service != nil && service.Unfenced,
		})
	}
	return orders
}

// Inspect compares what the members of a group answered with what the group
// must be, and returns the verdict. A member without an answer is left out of
// the map; refused holds members that refused the connection.
func Inspect(group shedkeel.Group, answers map[shedkeel.BoxID]shedkeel.BoxState, refused map[shedkeel.BoxID]bool) shedkeel.Verdict {
	verdict := shedkeel.VerdictWhole
	for _, member := range group.Members {
		state, answered := answers[member.Box]
		switch {
		case refused[member.Box]:
			return shedkeel.VerdictBroken
		case !answered:
			verdict = shedkeel.VerdictSilent
			continue
		case state.Boot != member.Boot || state.Assigned != group.Assignment() || state.Phase != shedkeel.PhaseReady:
			return shedkeel.VerdictBroken
		case state.Leaving && verdict == shedkeel.VerdictWhole:
			verdict = shedkeel.VerdictDraining
		}
	}
	return verdict
}
