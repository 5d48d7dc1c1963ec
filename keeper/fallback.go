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

// fallbackSteps is how many fallbacks can follow each other on one agreed
// placement.
const fallbackSteps = 1 << 16

// outagePlanner is a planner that can decide while nothing can be agreed.
type outagePlanner interface {
	Fallback(input shedkeel.PlanInput) map[shedkeel.GroupID]shedkeel.BoxID
}

// mayFallBack reports whether this keeper may use the reserves of its zone: it
// was the last to hold the lease, the service has been out for long enough
// that any later holder would have been heard of, and it is not cut off from
// the other keepers.
func (zone *zonePlanner) mayFallBack(now time.Duration) bool {
	keeper := zone.keeper
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	live, known := len(keeper.table.Live(now)), len(keeper.table.Nodes())
	if !keeper.storeOut || 2*live <= known {
		return false
	}
	return zone.lease.LapsedFor(now, zone.lease.TTL) && zone.placement.PlannerEpoch == zone.lease.Holder().Epoch
}

// fallBack uses reserves in place of lost members and gives the orders for it,
// under the epoch of the placement. A planner with a newer epoch overrules it
// at the engines, and the next agreed placement ends it.
func (zone *zonePlanner) fallBack(ctx context.Context) {
	planner, able := zone.planner.(outagePlanner)
	input, ready := zone.input(ctx)
	if !able || !ready {
		return
	}
	fallback := zone.fallback()
	lost := planner.Fallback(input)
	before := len(fallback.Lost)
	for id, box := range lost {
		if _, used := fallback.Lost[id]; !used {
			fallback.Lost[id] = box
			zone.keeper.Log.Write(event.ReserveUsed, slog.String("group", string(id)), slog.String("box", string(box)))
		}
	}
	if len(fallback.Lost) > before {
		zone.spreadFallback(fallback)
	}
	if len(fallback.Lost) == 0 {
		return
	}
	input.Placement = zone.placement.With(fallback)
	zone.fallingBack = true
	zone.order(ctx, zone.placement.PlannerEpoch, group.Reconcile(input))
	zone.fallingBack = false
}

// fallback returns what is in use of the placement that this keeper knows.
func (zone *zonePlanner) fallback() shedkeel.Fallback {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	fallback := shedkeel.Fallback{}
	_ = json.Unmarshal(zone.keeper.table.Record(zone.fallbackKey()).Value, &fallback)
	if fallback.Base != zone.placement.Generation {
		fallback = shedkeel.Fallback{Generation: zone.placement.Generation * fallbackSteps, Zone: zone.zone, Base: zone.placement.Generation}
	}
	lost := maps.Clone(fallback.Lost)
	if lost == nil {
		lost = map[shedkeel.GroupID]shedkeel.BoxID{}
	}
	fallback.Lost = lost
	return fallback
}

func (zone *zonePlanner) fallbackKey() string { return member.KeyFallbacks + string(zone.zone) }

func (zone *zonePlanner) spreadFallback(fallback shedkeel.Fallback) {
	fallback.Generation++
	value, err := json.Marshal(fallback)
	if err != nil {
		return
	}
	zone.keeper.merge(member.Record{Key: zone.fallbackKey(), Generation: fallback.Generation, Value: value})
}
