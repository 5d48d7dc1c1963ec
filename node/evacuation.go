package node

import (
	"log/slog"
	"maps"
	"slices"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// applyEvacuation applies the record with which operators evacuate an availability zone; they
// remove the record to end the evacuation. It skips a record that names no zone, and reports
// whether the set of evacuated zones has changed. The caller holds the mutex.
func (fleet *fleet) applyEvacuation(record shedkeel.Record, zone shedkeel.ZoneID) bool {
	fields := []slog.Attr{slog.String("zone", string(zone)), slog.Int("servers", fleet.serversIn(zone))}
	wasEvacuated := fleet.evacuated[zone]
	switch {
	case zone == "":
		fleet.skipRecord(record, &shedkeel.InvalidError{Where: record.Key, What: "it names no availability zone", Remedy: "write it below the zone's name"})
		return false
	case record.LostInRestore && wasEvacuated: // no operator has ended the evacuation, so it stays in force
		fleet.node.Log.Write(event.EvacuationLost, fields...)
		return false
	case wasEvacuated != record.Removed: // the zone is in the state that the record requests
		return false
	case record.Removed:
		delete(fleet.evacuated, zone)
		fleet.evacuationEndedAt[zone] = fleet.node.Timers.Now()
		fleet.node.Log.Write(event.EvacuationEnded, fields...)
	default:
		fleet.evacuated[zone] = true
		fleet.node.Log.Write(event.EvacuationBegun, fields...)
	}
	return true
}

// serversIn counts the backend servers of an availability zone. The caller holds the
// mutex.
func (fleet *fleet) serversIn(zone shedkeel.ZoneID) int {
	count := 0
	for _, instance := range fleet.instances {
		if instance.Zone == zone {
			count++
		}
	}
	return count
}

// evacuations returns the evacuated availability zones, sorted by name, for operators.
func (fleet *fleet) evacuations() []EvacuationDump {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	found := []EvacuationDump{}
	for _, zone := range slices.Sorted(maps.Keys(fleet.evacuated)) {
		found = append(found, EvacuationDump{Zone: zone, Servers: fleet.serversIn(zone)})
	}
	return found
}
