package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestEvacuationsFollowRecords checks which zones are evacuated after records of evacuations
// were written, removed, or lost when the key-value service was restored from a snapshot. An
// evacuation whose record was lost in a restore goes on, because no operator has ended it. A
// record that names no zone has no effect.
func TestEvacuationsFollowRecords(t *testing.T) {
	// record returns the record of an evacuation. gone returns the record's removal. If lost is
	// true, the record was lost in a restore of the key-value service. Otherwise an operator
	// removed it to end the evacuation.
	record := func(zone string) shedkeel.Record { return shedkeel.Record{Key: "evacuated/" + zone} }
	gone := func(zone string, lost bool) shedkeel.Record {
		return shedkeel.Record{Key: "evacuated/" + zone, Removed: true, LostInRestore: lost}
	}
	cases := map[string]struct {
		records []shedkeel.Record
		want    []EvacuationDump // the only server is in zone a
	}{
		"begun":                     {[]shedkeel.Record{record("a")}, []EvacuationDump{{Zone: "a", Servers: 1}}},
		"begun twice":               {[]shedkeel.Record{record("a"), record("a")}, []EvacuationDump{{Zone: "a", Servers: 1}}},
		"two zones":                 {[]shedkeel.Record{record("b"), record("a")}, []EvacuationDump{{Zone: "a", Servers: 1}, {Zone: "b"}}},
		"ended":                     {[]shedkeel.Record{record("a"), record("b"), gone("a", false)}, []EvacuationDump{{Zone: "b"}}},
		"ended, never begun":        {[]shedkeel.Record{gone("a", false)}, []EvacuationDump{}},
		"lost":                      {[]shedkeel.Record{record("a"), gone("a", true)}, []EvacuationDump{{Zone: "a", Servers: 1}}},
		"lost, never begun":         {[]shedkeel.Record{gone("a", true)}, []EvacuationDump{}},
		"lost, begun again, ended":  {[]shedkeel.Record{record("a"), gone("a", true), record("a"), gone("a", false)}, []EvacuationDump{}},
		"ended and begun again":     {[]shedkeel.Record{record("a"), gone("a", false), record("a")}, []EvacuationDump{{Zone: "a", Servers: 1}}},
		"no zone is named":          {[]shedkeel.Record{record("")}, []EvacuationDump{}},
		"a zone that is not listed": {[]shedkeel.Record{record("nowhere")}, []EvacuationDump{{Zone: "nowhere"}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			node.fleet.applyChanges(nil) // creates the maps
			node.fleet.instances["servers/1"] = shedkeel.Instance{ID: "1", Zone: "a"}
			for _, record := range test.records {
				node.fleet.applyChanges([]shedkeel.Record{record})
			}
			assert.DeepEqual(t, node.fleet.evacuations(), test.want)
		})
	}
}
