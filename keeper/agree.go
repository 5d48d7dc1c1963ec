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

// tendLease makes the write that the lease wants, if any.
func (zone *zonePlanner) tendLease(ctx context.Context) {
	keeper := zone.keeper
	now := keeper.Timers.Now()
	keeper.mutex.Lock()
	record := keeper.table.Record(zone.leaseKey())
	place, candidate := member.Place(keeper.Settings.Node, leaseRank+string(zone.zone), zone.zone, keeper.table.Live(now))
	keeper.mutex.Unlock()
	if err := zone.lease.Observe(record.Revision, record.Value, now); err != nil {
		keeper.Log.Write(event.RecordBad, slog.String("error", err.Error()))
		return
	}
	if _, held := zone.lease.Held(now, 0); !candidate && !held {
		return
	}
	write, wanted := zone.lease.Wanted(now, place)
	if !wanted {
		return
	}
	revision, err := keeper.Store.Swap(ctx, zone.leaseKey(), write.Revision, write.Value)
	if err == nil {
		keeper.noteStore(nil)
		zone.lease.Written(revision, write.Value)
		zone.publish(zone.leaseKey(), write.Value, revision)
		return
	}
	zone.lease.Failed()
	var conflict *shedkeel.ConflictError
	if errors.As(err, &conflict) {
		zone.rereadLease(ctx)
		return
	}
	keeper.noteStore(err)
}

func (zone *zonePlanner) rereadLease(ctx context.Context) {
	record, err := zone.keeper.Store.Get(ctx, zone.leaseKey())
	if err != nil {
		return
	}
	// Whatever the write was, the read tells what holds now.
	_ = zone.lease.Reset(record.Revision, record.Value, zone.keeper.Timers.Now())
	if record.Revision.Exists() {
		zone.publish(zone.leaseKey(), record.Value, record.Revision)
	}
}

// publish spreads a record that was just written or read.
func (zone *zonePlanner) publish(key string, value []byte, revision shedkeel.Revision) {
	record, err := member.ParseRecord(shedkeel.Record{Key: key, Value: value, Revision: revision})
	if err == nil {
		zone.keeper.merge(record)
	}
}

// fence writes the placement once under the new epoch, so that a former holder
// cannot change it any more, before anything is planned on it.
func (zone *zonePlanner) fence(ctx context.Context) bool {
	record, err := zone.keeper.Store.Get(ctx, zone.placementKey())
	if err != nil {
		zone.keeper.noteStore(err)
		return false
	}
	placement := shedkeel.Placement{Zone: zone.zone}
	if record.Revision.Exists() {
		if err := json.Unmarshal(record.Value, &placement); err != nil {
			zone.keeper.Log.Write(event.RecordBad, slog.String("error", err.Error()))
			return false
		}
	}
	if inForce := zone.inForce(); inForce.Generation > placement.Generation {
		placement = inForce // the service was restored from older data
	}
	zone.placement = placement
	zone.revision = record.Revision
	zone.fenced = zone.agree(ctx, placement.With(zone.fallback()))
	return zone.fenced
}

func (zone *zonePlanner) inForce() shedkeel.Placement {
	zone.keeper.mutex.Lock()
	defer zone.keeper.mutex.Unlock()
	var placement shedkeel.Placement
	_ = json.Unmarshal(zone.keeper.table.Record(zone.placementKey()).Value, &placement)
	return placement
}

// agree writes a placement by compare-and-swap on the one before it.
func (zone *zonePlanner) agree(ctx context.Context, next shedkeel.Placement) bool {
	keeper := zone.keeper
	next.Zone = zone.zone
	next.Generation = zone.placement.Generation + 1
	next.PlannerEpoch = zone.epoch
	next.Nonce = shedkeel.NewNonce()
	value, err := json.Marshal(next)
	if err == nil {
		err = next.Validate()
	}
	if err != nil {
		keeper.Log.Write(event.PlacementFailed, slog.String("zone", string(zone.zone)), slog.String("error", err.Error()))
		return false
	}
	if _, held := zone.lease.Held(keeper.Timers.Now(), 0); !held {
		return false
	}
	mine := func(stored []byte) bool {
		var placement shedkeel.Placement
		return json.Unmarshal(stored, &placement) == nil && placement.Nonce == next.Nonce
	}
	revision, err := platform.SettleSwap(ctx, keeper.Store, zone.placementKey(), zone.revision, value, mine)
	if err != nil {
		zone.fenced = false // read it again before the next plan
		keeper.Log.Write(event.PlacementFailed, slog.String("zone", string(zone.zone)), slog.String("error", err.Error()))
		return false
	}
	zone.placement = next
	zone.revision = revision
	zone.publish(zone.placementKey(), value, revision)
	keeper.Log.Write(event.PlacementAgreed, slog.String("zone", string(zone.zone)), slog.Uint64("generation", next.Generation), slog.Int("groups", len(next.Groups)))
	return true
}

func (zone *zonePlanner) drop() {
	if zone.epoch == 0 {
		return
	}
	zone.keeper.Log.Write(event.LeaseLost, slog.String("zone", string(zone.zone)), slog.Uint64("epoch", zone.epoch))
	zone.setEpoch(0)
	zone.fenced = false
}
