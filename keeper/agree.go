package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/platform"
)

// maintainLease acquires or renews the zone's lease if a write is due and this keeper
// is a candidate for the lease or holds it. Before that, it takes over the lease
// record in the table if that is newer; it makes no write if that record is invalid.
// After a write conflict, it reads the stored record.
func (zone *zonePlanner) maintainLease(ctx context.Context) {
	keeper := zone.keeper
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	record := keeper.table.Record(zone.leaseKey())
	rank, candidate := member.RankOf(keeper.Settings.Node, leaseRankPrefix+string(zone.id), zone.id, keeper.table.Live(now))
	keeper.mutex.Unlock()
	if err := zone.lease.Observe(record.Revision, record.Value, now); err != nil {
		keeper.Log.Write(event.RecordInvalid, slog.String("error", err.Error()))
		return
	}
	if _, held := zone.lease.Held(now, 0); !candidate && !held {
		return
	}
	write, wanted := zone.lease.NextWrite(now, rank)
	if !wanted {
		return
	}
	revision, err := keeper.Store.Swap(ctx, zone.leaseKey(), write.Revision, write.Value)
	if err == nil {
		keeper.recordStoreState(nil)
		zone.lease.WriteSucceeded(revision, write.Value)
		zone.publish(zone.leaseKey(), write.Value, revision)
		return
	}
	zone.lease.WriteFailed()
	var conflict *shedkeel.ConflictError
	if errors.As(err, &conflict) {
		zone.rereadLease(ctx)
		return
	}
	keeper.recordStoreState(err)
}

// rereadLease takes over the stored lease record after a write conflict and merges it
// into the table. It changes nothing if the read fails.
func (zone *zonePlanner) rereadLease(ctx context.Context) {
	record, err := zone.keeper.Store.Get(ctx, zone.leaseKey())
	if err != nil {
		return
	}
	// The write that came first may be an earlier one of this keeper whose reply was
	// lost. The stored record names the holder in that case too.
	_ = zone.lease.Reset(record.Revision, record.Value, zone.keeper.Timers.Now())
	if record.Revision.Exists() {
		zone.publish(zone.leaseKey(), record.Value, record.Revision)
	}
}

// publish merges a record that this keeper just wrote or read into the table, from
// which the exchanges send it to the other keepers. It ignores a value that
// member.ParseRecord rejects.
func (zone *zonePlanner) publish(key string, value []byte, revision shedkeel.Revision) {
	record, err := member.ParseRecord(shedkeel.Record{Key: key, Value: value, Revision: revision})
	if err == nil {
		zone.keeper.mergeRecord(record)
	}
}

// fencePlacement writes the placement again under the new epoch before planning starts, so
// that later compare-and-swap writes of a former holder fail. The placement includes the
// reserve boxes that a fallback has put in use. fencePlacement reports whether the write
// succeeded.
func (zone *zonePlanner) fencePlacement(ctx context.Context) bool {
	record, err := zone.keeper.Store.Get(ctx, zone.placementKey())
	if err != nil {
		zone.keeper.recordStoreState(err)
		return false
	}
	placement := shedkeel.Placement{Zone: zone.id}
	if record.Revision.Exists() {
		if err := json.Unmarshal(record.Value, &placement); err != nil {
			zone.keeper.Log.Write(event.RecordInvalid, slog.String("error", err.Error()))
			return false
		}
	}
	if inForce := zone.mergedPlacement(); inForce.Generation > placement.Generation {
		placement = inForce // the stored one is older: the key-value service was restored from older data
	}
	zone.placement = placement
	zone.revision = record.Revision
	zone.fenced = zone.commitPlacement(ctx, placement.WithFallback(zone.currentFallback()))
	return zone.fenced
}

// mergedPlacement returns the newest placement of the zone that this keeper has
// merged, or one with generation 0 if there is none.
func (zone *zonePlanner) mergedPlacement() shedkeel.Placement {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	var placement shedkeel.Placement
	_ = json.Unmarshal(zone.keeper.table.Record(zone.placementKey()).Value, &placement)
	return placement
}

// commitPlacement gives the placement the next generation, the current epoch and a new
// nonce, and writes it by compare-and-swap on zone.revision. It writes nothing if the
// placement is invalid or the lease is no longer held. It reports whether the write
// succeeded.
func (zone *zonePlanner) commitPlacement(ctx context.Context, next shedkeel.Placement) bool {
	keeper := zone.keeper
	next.Zone = zone.id
	next.Generation = zone.placement.Generation + 1
	next.PlannerEpoch = zone.epoch
	next.Nonce = shedkeel.NewNonce()
	value, err := json.Marshal(next)
	if err == nil {
		err = next.Validate()
	}
	if err != nil {
		keeper.Log.Write(event.PlacementFailed, slog.String("zone", string(zone.id)), slog.String("error", err.Error()))
		return false
	}
	if _, held := zone.lease.Held(keeper.Timers.Now(), 0); !held {
		return false
	}
	isOurs := func(stored []byte) bool {
		var placement shedkeel.Placement
		return json.Unmarshal(stored, &placement) == nil && placement.Nonce == next.Nonce
	}
	revision, err := platform.SwapWithReadback(ctx, keeper.Store, zone.placementKey(), zone.revision, value, isOurs)
	if err != nil {
		zone.fenced = false // tick reads and fences the placement again before it plans
		keeper.Log.Write(event.PlacementFailed, slog.String("zone", string(zone.id)), slog.String("error", err.Error()))
		return false
	}
	zone.placement = next
	zone.revision = revision
	zone.publish(zone.placementKey(), value, revision)
	keeper.Log.Write(event.PlacementAgreed, slog.String("zone", string(zone.id)), slog.Uint64("generation", next.Generation), slog.Int("groups", len(next.Groups)))
	return true
}

// stepDown ends planning after the lease was lost. It does nothing if this keeper does
// not plan the zone.
func (zone *zonePlanner) stepDown() {
	if zone.epoch == 0 {
		return
	}
	zone.keeper.Log.Write(event.LeaseLost, slog.String("zone", string(zone.id)), slog.Uint64("epoch", zone.epoch))
	zone.setEpoch(0)
	zone.fenced = false
}
