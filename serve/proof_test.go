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

// orderedHealth is a fake shedkeel.HealthCheck that records how many requests had been sent when connections were opened.
type orderedHealth struct {
	fakeHealth
	backend      *backend
	connects     []int
	disconnected int
}

func (health *orderedHealth) Connect(context.Context, string) {
	health.backend.mutex.Lock()
	defer health.backend.mutex.Unlock()
	health.connects = append(health.connects, len(health.backend.requests))
}

func (health *orderedHealth) Disconnect(string) { health.disconnected++ }

// TestCheckConnectionIsOlder guards against requests whose answers may be close-delimited and that are sent before a check connection is
// open, and against check connections where answers state their end.
func TestCheckConnectionIsOlder(t *testing.T) {
	closing, stated := step{body: "whole", unstated: true}, step{body: "whole"}
	sample := make([]step, framingSample)
	for index := range sample {
		sample[index] = stated
	}
	cases := map[string]struct {
		steps          []step
		maxConnections int
		connects       []int // for each, the requests sent before
		disconnected   int
	}{
		"from the first request on":        {[]step{closing, closing, closing}, 0, []int{0, 1, 2}, 0},
		"not where answers state an end":   {append(sample, stated, stated), 0, []int{0, 1, 2, 3, 4, 5, 6, 7}, 1},
		"again after one that states none": {append(append([]step{}, sample...), closing, closing, stated), 0, []int{0, 1, 2, 3, 4, 5, 6, 7, 9, 10}, 1},
		"not kept at a server of few":      {[]step{closing, closing}, 3, []int{0, 1}, 2},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, test.steps...)
			harness.CurrentConfig().View.Service("plain").MaxConnections = test.maxConnections
			health := &orderedHealth{fakeHealth: survivor, backend: harness.backend}
			harness.Health = health
			for range test.steps {
				assert.Equal(t, harness.post("/once/x", "body").Code, 200)
			}
			assert.DeepEqual(t, health.connects, test.connects)
			assert.Equal(t, health.disconnected, test.disconnected)
		})
	}
}

// TestOtherAnswersProveTheProcess guards against a whole answer that is cut although its server answers other requests over a
// connection from before, and against such an answer that was asked for too early or over a newer connection.
func TestOtherAnswersProveTheProcess(t *testing.T) {
	cases := map[string]struct {
		openedAgo time.Duration // age of the other request's connection at the end of the first answer
		sentAfter time.Duration // from the end of the first answer until the other request is sent
		status    int
	}{
		"older connection, later request":   {time.Minute, 100 * time.Millisecond, 200},
		"newer connection":                  {-time.Millisecond, 100 * time.Millisecond, 504},
		"older connection, earlier request": {time.Minute, -time.Millisecond, 504},
	}
	for name, test := range cases {
		runFakeTime(t, name, func(t *testing.T) {
			harness := newHarness(t, step{body: "whole", unstated: true, delay: 10 * time.Millisecond})
			harness.Health, harness.ServerCheck = silent, fixedCheck(false)
			ended := time.Now().Add(10 * time.Millisecond)
			time.AfterFunc(200*time.Millisecond, func() {
				harness.signs.observe("plain:1", ended.Add(-test.openedAgo), ended.Add(test.sentAfter))
			})
			got := harness.post("/once/x", "body")
			assert.Equal(t, got.Code, test.status, got.Body.String())
			time.Sleep(endRecheckTime + healthTimeout)
		})
	}
}
