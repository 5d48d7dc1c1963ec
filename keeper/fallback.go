package keeper

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/group"
	"shedkeel.org/shedkeel/member"
)

// maxFallbackGenerations is how many generations of the fallback can be based on one
// agreed placement. Fallback generations start at the placement's generation times
// this number, so that those of a newer placement are always higher.
const maxFallbackGenerations = 1 << 16

// fallbackPlanner is a planner that can replace lost members by reserve boxes while no
// new placement can be agreed.
type fallbackPlanner interface {
	// Fallback returns the lost member of each group whose reserve box must replace
	// it.
	Fallback(input shedkeel.PlanInput) map[shedkeel.GroupID]shedkeel.BoxID
}

// canFallBack reports whether this keeper may use the reserve boxes of its zone. It must
// have been the last holder of the lease that it knows of, the placement must be of its
// epoch, and the store must be unavailable.
func (zone *zonePlanner) canFallBack(now time.Duration) bool {
	keeper := zone.keeper
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	live, known := len(keeper.table.Live(now)), len(keeper.table.Nodes())
	// Unless more than half of the nodes are live, this keeper may be on the smaller side of a
	// partition.
	if !keeper.storeUnavailable || 2*live <= known {
		return false
	}
	// One TTL after the lease expired, this keeper would know of a later holder.
	return zone.lease.ExpiredFor(now, zone.lease.TTL) && zone.placement.PlannerEpoch == zone.lease.LastRecord().Epoch
}

// applyFallback replaces lost members by reserve boxes, publishes the fallback if it has
// changed, and sends its orders under the epoch of the placement. Engines refuse these
// orders once a planner with a newer epoch has sent them orders. The next agreed placement
// ends the fallback.
func (zone *zonePlanner) applyFallback(ctx context.Context) {
	planner, supported := zone.planner.(fallbackPlanner)
	input, ready := zone.gatherInput(ctx)
	if !supported || !ready {
		return
	}
	fallback := zone.currentFallback()
	lost := planner.Fallback(input)
	before := len(fallback.Lost)
	for id, box := range lost {
		if _, used := fallback.Lost[id]; !used {
			fallback.Lost[id] = box
			zone.keeper.Log.Write(event.ReserveUsed, slog.String("group", string(id)), slog.String("box", string(box)))
		}
	}
	if len(fallback.Lost) > before {
		zone.publishFallback(fallback)
	}
	if len(fallback.Lost) == 0 {
		return
	}
	input.Placement = zone.placement.WithFallback(fallback)
	zone.inFallback = true
	zone.sendOrders(ctx, zone.placement.PlannerEpoch, group.Reconcile(input))
	zone.inFallback = false
}

// currentFallback returns the fallback in force if it is based on the current
// placement, and otherwise an empty one that is. The caller may change its Lost map.
func (zone *zonePlanner) currentFallback() shedkeel.Fallback {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	fallback := shedkeel.Fallback{}
	_ = json.Unmarshal(zone.keeper.table.Record(zone.fallbackKey()).Value, &fallback)
	if fallback.Base != zone.placement.Generation {
		fallback = shedkeel.Fallback{Generation: zone.placement.Generation * maxFallbackGenerations, Zone: zone.id, Base: zone.placement.Generation}
	}
	lost := maps.Clone(fallback.Lost)
	if lost == nil {
		lost = map[shedkeel.GroupID]shedkeel.BoxID{}
	}
	fallback.Lost = lost
	return fallback
}

func (zone *zonePlanner) fallbackKey() string { return member.KeyFallbacks + string(zone.id) }

// publishFallback merges the fallback under its next generation into the table, from
// which the exchanges send it to the other keepers.
func (zone *zonePlanner) publishFallback(fallback shedkeel.Fallback) {
	fallback.Generation++
	value, err := json.Marshal(fallback)
	if err != nil {
		return
	}
	zone.keeper.mergeRecord(member.Record{Key: zone.fallbackKey(), Generation: fallback.Generation, Value: value})
}
