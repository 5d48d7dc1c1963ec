package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopMargin guards against requests that a stopping node aborts before the last sixth of its grace time, whose servers may be
// done in time.
func TestStopMargin(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		margin := stopMargin(grace)
		assert.Assert(t, margin > 0 && margin < grace/6 && margin <= maxStopMargin, "%s of %s", margin, grace)
	}
	assert.Equal(t, stopMargin(8*time.Second), maxStopMargin)
}
