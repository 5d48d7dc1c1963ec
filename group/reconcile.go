package group

import (
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
)

// Reconcile returns load orders for members that have not joined their group, and release orders
// for boxes that report a group but are members of none. Boxes that have never answered, and
// members whose box has restarted since it became a member, get no order. Reconcile keeps no state:
// it returns an order, which may be lost, again until the probes show its effect.
func Reconcile(input shedkeel.PlanInput) []shedkeel.Order {
	var orders []shedkeel.Order
	members := map[shedkeel.BoxID]bool{}
	for _, group := range input.Placement.Groups {
		service := input.Config.Service(group.Service)
		unfenced := service != nil && service.Unfenced
		for _, member := range group.Members {
			members[member.Box] = true
			view, listed := input.Boxes[member.Box]
			if !listed || view.LastReply < 0 || view.State.Boot != member.Boot || hasJoined(view.State, group.Assignment()) {
				continue
			}
			orders = append(orders, shedkeel.Order{
				Kind: shedkeel.OrderLoad, Box: member.Box, Address: member.Address, Service: group.Service,
				Assignment: group.Assignment(), Peers: addresses(group), Unfenced: unfenced,
			})
		}
	}
	return append(orders, releaseOrders(input, members)...)
}

// hasJoined reports whether the box has accepted the load order: it is loading or
// ready under the assignment.
func hasJoined(state shedkeel.BoxState, assignment shedkeel.Assignment) bool {
	joining := state.Phase == shedkeel.PhaseLoading || state.Phase == shedkeel.PhaseReady
	return joining && state.Assigned == assignment
}

// addresses returns the addresses of the group's members in order.
func addresses(group shedkeel.Group) []string {
	var addresses []string
	for _, member := range group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// releaseOrders returns release orders for the boxes that report an assignment
// but are not in members, which holds the members of all groups of the placement.
func releaseOrders(input shedkeel.PlanInput, members map[shedkeel.BoxID]bool) []shedkeel.Order {
	var orders []shedkeel.Order
	for _, id := range slices.Sorted(maps.Keys(input.Boxes)) {
		view := input.Boxes[id]
		if members[id] || view.LastReply < 0 || view.State.Assigned.Group == "" {
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

// ProbeVerdict returns the verdict on a group from one round of probes. The first that applies is:
// VerdictBroken if a member refused the connection, answered under another boot or assignment, or
// is not ready; VerdictNoReply if one did not answer; VerdictDraining if one is leaving;
// VerdictWhole.
func ProbeVerdict(group shedkeel.Group, answers map[shedkeel.BoxID]shedkeel.BoxState, refused map[shedkeel.BoxID]bool) shedkeel.Verdict {
	verdict := shedkeel.VerdictWhole
	for _, member := range group.Members {
		state, answered := answers[member.Box]
		switch {
		case refused[member.Box]:
			return shedkeel.VerdictBroken
		case !answered:
			verdict = shedkeel.VerdictNoReply
			continue
		case state.Boot != member.Boot || state.Assigned != group.Assignment() || state.Phase != shedkeel.PhaseReady:
			return shedkeel.VerdictBroken
		case state.Leaving && verdict == shedkeel.VerdictWhole:
			verdict = shedkeel.VerdictDraining
		}
	}
	return verdict
}
