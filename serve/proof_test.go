package serve

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// afterDelay answers health checks that have waited for the delay, as a server does that has no free slot until then.
func afterDelay(delay time.Duration, health fakeHealth) fakeHealth {
	return func(ctx context.Context) (shedkeel.Health, error) {
		select {
		case <-time.After(delay):
			return health(ctx)
		case <-ctx.Done():
			return shedkeel.Health{}, ctx.Err()
		}
	}
}

// TestFinishedAnswerWaitsForProof guards against whole close-delimited answers that are cut or run again, because the server's sign of
// life comes later than a first health check waits.
func TestFinishedAnswerWaitsForProof(t *testing.T) {
	reset := fakeHealth(func(context.Context) (shedkeel.Health, error) {
		return shedkeel.Health{}, errors.New("connection reset")
	})
	until := func(times int64, first, then fakeHealth) fakeHealth {
		var checks atomic.Int64
		return func(ctx context.Context) (shedkeel.Health, error) {
			if checks.Add(1) <= times {
				return first(ctx)
			}
			return then(ctx)
		}
	}
	cases := map[string]struct {
		path   string
		answer step
		health fakeHealth
	}{
		"stream, check waits 0.6 s for a slot": {"/s/x", step{events: 3, unframed: true}, afterDelay(600*time.Millisecond, survivor)},
		"stream, server silent for 1.3 s":      {"/s/x", step{events: 3, unframed: true}, afterDelay(1300*time.Millisecond, survivor)},
		"stream, first checks are reset":       {"/s/x", step{events: 3, unframed: true}, until(3, reset, survivor)},
		"safe, check waits 0.6 s for a slot":   {"/safe/x", step{body: "whole", unstated: true}, afterDelay(600*time.Millisecond, survivor)},
		"safe, first checks are reset":         {"/safe/x", step{body: "whole", unstated: true}, until(3, reset, survivor)},
		"once, check waits 0.6 s for a slot":   {"/once/x", step{body: "whole", unstated: true}, afterDelay(600*time.Millisecond, survivor)},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.answer, step{body: "another"})
			harness.ServerCheck, harness.Health = fixedCheck(false), test.health
			got := harness.post(test.path, "prompt", "Model", "m")
			time.Sleep(endRecheckTime + healthTimeout) // checks may outlive their request
			assert.Equal(t, got.Code, 200, got.Body.String())
			assert.Assert(t, !got.broken, "the answer was cut")
			assert.Equal(t, len(harness.backend.requests), 1, "the request ran again for want of a proof")
		})
	}
}
