package transfer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestSnapshotIsReused checks that a snapshot is sent again for a while after a record
// has changed, with its own revision and age.
func TestSnapshotIsReused(t *testing.T) {
	var records []shedkeel.Record
	for number := range int64(3) {
		records = append(records, shedkeel.Record{Key: fmt.Sprint("servers/", number), Value: []byte("v"), Revision: shedkeel.Revision{Number: number + 1}})
	}
	own := &mirror.Mirror{}
	own.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 3}, AsOf: time.Minute, Records: records})
	snapshots := &SnapshotCache{}
	now := time.Minute + time.Second
	assert.Equal(t, snapshots.Encode(own.UpdateSince(shedkeel.Revision{}), now).GetAgeMs(), uint64(1001))
	own.Apply(mirror.Update{At: shedkeel.Revision{Number: 9}, AsOf: now, Records: []shedkeel.Record{{Key: "a", Revision: shedkeel.Revision{Number: 9}}}})
	cached := snapshots.Encode(own.UpdateSince(shedkeel.Revision{}), now+snapshotMaxAge/2)
	assert.Equal(t, cached.GetAt(), int64(3), "the snapshot is sent again")
	assert.Equal(t, cached.GetAgeMs(), uint64(1001+snapshotMaxAge.Milliseconds()/2), "the age counts from the snapshot")
	assert.Equal(t, snapshots.Encode(own.UpdateSince(shedkeel.Revision{}), now+snapshotMaxAge).GetAt(), int64(9))
}
