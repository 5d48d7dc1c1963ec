package transfer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestCopyIsKept covers a copy that is told again while more changes.
func TestCopyIsKept(t *testing.T) {
	var records []shedkeel.Record
	for number := range int64(3) {
		records = append(records, shedkeel.Record{Key: fmt.Sprint("servers/", number), Value: []byte("v"), Revision: shedkeel.Revision{Number: number + 1}})
	}
	own := &mirror.Mirror{}
	own.Apply(mirror.Update{Whole: true, At: shedkeel.Revision{Number: 3}, AsOf: time.Minute, Records: records})
	copies := &Copies{}
	now := time.Minute + time.Second
	assert.Equal(t, copies.Tell(own.Since(shedkeel.Revision{}), now).GetAgeMs(), uint64(1001))
	own.Apply(mirror.Update{At: shedkeel.Revision{Number: 9}, AsOf: now, Records: []shedkeel.Record{{Key: "a", Revision: shedkeel.Revision{Number: 9}}}})
	kept := copies.Tell(own.Since(shedkeel.Revision{}), now+copyKeep/2)
	assert.Equal(t, kept.GetAt(), int64(3), "the kept one is good for a while")
	assert.Equal(t, kept.GetAgeMs(), uint64(1001+copyKeep.Milliseconds()/2), "as old as it is")
	assert.Equal(t, copies.Tell(own.Since(shedkeel.Revision{}), now+copyKeep).GetAt(), int64(9))
}
