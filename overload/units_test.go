package overload

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testNow = time.Minute // when the unit tests begin

// TestLimit guards against a limit that moves by outcomes that say nothing about it.
func TestLimit(t *testing.T) {
	const slots = 100
	full, idle := Load{Running: 90, Slots: slots}, Load{Running: 50, Slots: slots}
	cases := map[string]struct {
		load        Load
		met, missed int
		want        float64
	}{
		"no outcomes":               {full, 0, 0, initialFraction},
		"too few outcomes":          {full, 0, minOutcomes - 1, initialFraction},
		"too many misses":           {full, 80, 20, initialFraction * decrease},
		"misses, but little load":   {idle, 0, 100, initialFraction},
		"few misses":                {full, 98, 2, initialFraction + increase},
		"few misses, little load":   {idle, 100, 0, initialFraction},
		"some misses":               {full, 91, 9, initialFraction},
		"more than 1 in 10 missed":  {full, 890, 110, initialFraction * decrease},
		"fewer than 1 in 20 missed": {full, 951, 49, initialFraction + increase},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			limit := &Limit{}
			limit.Observe(test.met, test.missed, test.load, testNow)
			assert.Assert(t, math.Abs(limit.Fraction()-test.want) < 1e-9, "%v", limit.Fraction())
		})
	}
}

// TestLimitOverTime guards against a limit that leaves its bounds, that falls twice for the load before
// its fall, or that rises faster than outcomes show the effect.
func TestLimitOverTime(t *testing.T) {
	full := Load{Running: 200, Slots: 100}
	limit := &Limit{}
	limit.Observe(0, 100, full, testNow)
	once := limit.Fraction()
	limit.Observe(0, 100, full, testNow+settleTime-time.Millisecond)
	assert.Equal(t, limit.Fraction(), once, "outcomes of the load before the fall")
	limit.Observe(0, 100, full, testNow+settleTime)
	assert.Equal(t, limit.Fraction(), once*decrease)
	now := testNow + time.Hour
	for range 100 {
		now += time.Second
		limit.Observe(0, 100, full, now)
	}
	assert.Equal(t, limit.Fraction(), minFraction)
	limit.Observe(100, 0, full, now+settleTime)
	limit.Observe(100, 0, full, now+settleTime+raiseInterval-time.Millisecond)
	assert.Equal(t, limit.Fraction(), minFraction+increase)
	for range 100 {
		now += time.Second
		limit.Observe(100, 0, full, now)
	}
	assert.Equal(t, limit.Fraction(), maxFraction)
	limit.Observe(0, minOutcomes-1, full, now+time.Second)
	limit.Observe(0, minOutcomes-1, full, now+2*time.Second+time.Millisecond)
	assert.Equal(t, limit.Fraction(), maxFraction, "outcomes count after outcomeExpiry")
}

// TestMemory guards against callers that count as new after a rejection, and against memory without bound.
func TestMemory(t *testing.T) {
	cases := map[string]struct {
		after time.Duration // the rejection
		want  time.Duration
	}{
		"at once":                  {0, 100 * time.Millisecond},
		"a second later":           {time.Second, 1100 * time.Millisecond},
		"within memoryExpiry":      {memoryExpiry - time.Millisecond, memoryExpiry + 99*time.Millisecond},
		"after twice memoryExpiry": {2 * memoryExpiry, 0},
		"long after":               {time.Hour, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			memory := &memory{}
			memory.remember(7, testNow-100*time.Millisecond, testNow)
			assert.Equal(t, memory.recall(8, testNow+test.after), time.Duration(0))
			assert.Equal(t, memory.recall(7, testNow+test.after), test.want)
			assert.Equal(t, memory.recall(7, testNow+test.after), time.Duration(0), "recalled twice")
		})
	}
	memory := &memory{}
	for digest := range uint64(10 * maxMemory) {
		memory.remember(digest, testNow, testNow)
		assert.Assert(t, len(memory.recent) <= maxMemory && len(memory.former) <= maxMemory)
	}
	assert.Equal(t, memory.recall(9*maxMemory, testNow+time.Second), time.Second, "one of the last maxMemory rejections is forgotten")
}

// TestCorrection guards against expected delays that stay wrong, and against factors without bounds.
func TestCorrection(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		expected, actual time.Duration // sums
		after            time.Duration // until the correction is applied
		want             time.Duration // of 100 ms
	}{
		"nothing observed": {0, 0, 0, 100 * time.Millisecond},
		"as expected":      {10 * second, 10 * second, 0, 100 * time.Millisecond},
		"twice as long":    {8 * second, 18 * second, 0, 200 * time.Millisecond},
		"half as long":     {18 * second, 8 * second, 0, 50 * time.Millisecond},
		"much longer":      {second, 1000 * second, 0, 300 * time.Millisecond},
		"much shorter":     {1000 * second, 0, 0, 20 * time.Millisecond},
		"long ago":         {second, 1000 * second, time.Minute, 100 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			correction := &correction{}
			correction.observe(test.expected, test.actual, testNow)
			got := correction.apply(100*time.Millisecond, testNow+test.after)
			assert.Assert(t, (got-test.want).Abs() < time.Millisecond, "%s", got)
		})
	}
}

// TestClassify guards against requests that get a slot of those they must leave it to. The limit is
// 90 of 100 slots.
func TestClassify(t *testing.T) {
	const waited = 600 * time.Millisecond // more than the objective
	cases := map[string]struct {
		request  Request
		returned bool
		running  float64
		want     Decision
	}{
		"room":                         {Request{}, false, 89, Decision{Class: OnTime}},
		"full":                         {Request{}, false, 90, Decision{Reason: Full}},
		"late, room":                   {Request{Waited: waited}, false, 83, Decision{Class: Leftover, Reason: Late}},
		"late, only the reserve":       {Request{Waited: waited}, false, 84.5, Decision{Reason: Late}},
		"delayed by others":            {Request{Queueing: waited}, false, 89, Decision{Reason: Late}},
		"waited and delayed":           {Request{Waited: waited / 2, Queueing: waited / 2}, false, 89, Decision{Reason: Late}},
		"returned as promised":         {Request{Waited: waited}, true, 94, Decision{Class: OnTime}},
		"returned, above its reserve":  {Request{Waited: waited}, true, 95, Decision{Reason: Full}},
		"over the share, room":         {Request{Account: "large", Digest: 1<<16 - 1}, false, 86, Decision{Class: OnTime}},
		"over the share, full":         {Request{Account: "large", Digest: 1<<16 - 1}, false, 87, Decision{Reason: OverShare}},
		"covered part of its requests": {Request{Account: "large"}, false, 89, Decision{Class: OnTime}},
		"within the share":             {Request{Account: "small", Digest: 1<<16 - 1}, false, 89, Decision{Class: OnTime}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := &Controller{}
			now := testNow
			for range 1000 { // large asks ten times what is admitted, small a tenth of it
				now += time.Millisecond
				controller.shares.Ask("large", 0, 1, now)
				controller.shares.Ask("small", 0, 0.01, now)
				controller.shares.Admitted(0.1, now)
			}
			test.request.Objective = 500 * time.Millisecond
			load := Load{Running: test.running, Slots: 100}
			assert.DeepEqual(t, controller.classify(&test.request, test.returned, load, now), test.want)
		})
	}
	request := &Request{Objective: time.Second}
	assert.Equal(t, (&Controller{}).classify(request, false, Load{}, testNow).Class, OnTime, "the first request of a model without known slots")
	assert.Equal(t, (&Controller{}).classify(&Request{Waited: time.Hour}, false, Load{Slots: 10}, testNow).Class, OnTime, "a request without an objective is never late")
}

// TestSetRetry guards against times that callers do not honor, and against promises beyond the capacity.
func TestSetRetry(t *testing.T) {
	cases := map[string]struct {
		remaining       time.Duration
		admitted, fresh float64 // requests in the last moments
		least, most     time.Duration
		promised        bool
	}{
		"nothing admitted":    {2 * time.Second, 0, 0, 425 * time.Millisecond, 600 * time.Millisecond, false},
		"capacity to spare":   {2 * time.Second, 100, 50, minRetryAfter, minRetryAfter, true},
		"all taken by others": {2 * time.Second, 100, 200, minRetryAfter, minRetryAfter, true}, // minPromisedShare
		"little time left":    {500 * time.Millisecond, 100, 50, 150 * time.Millisecond, 150 * time.Millisecond, true},
		"no time left":        {0, 100, 50, 0, 0, true},
		"past its time":       {-time.Second, 100, 50, 0, 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := &Controller{}
			controller.admitted.add(test.admitted, testNow)
			controller.fresh.add(test.fresh, testNow)
			decision := Decision{}
			controller.setRetry(&Request{Digest: 7, Remaining: test.remaining}, &decision, testNow)
			assert.Assert(t, decision.RetryAfter >= test.least && decision.RetryAfter <= test.most, "%s", decision.RetryAfter)
			assert.Equal(t, decision.Promised, test.promised)
			assert.Equal(t, controller.counts.Promised == 1, test.promised)
		})
	}
}

// TestPromiseIsRedeemed guards against refused callers that return as told and are refused again while
// the limit is reached.
func TestPromiseIsRedeemed(t *testing.T) {
	controller, load := &Controller{}, Load{Running: 92, Slots: 100}
	for index := range uint64(100) {
		controller.Decide(Request{Digest: 100 + index, Objective: time.Second}, Load{Slots: 100}, testNow)
	}
	request := Request{Digest: 7, Objective: 100 * time.Millisecond, Remaining: 2 * time.Second}
	refused := controller.Decide(request, load, testNow)
	assert.Assert(t, refused.Class == Reject && refused.Promised, "%+v", refused)
	early := controller.Decide(request, load, testNow+refused.RetryAfter/2)
	assert.Equal(t, early.Class, Reject, "a caller that comes early gains from it")
	returned := controller.Decide(request, load, testNow+refused.RetryAfter)
	assert.Equal(t, returned.Class, OnTime)
	assert.Equal(t, returned.Due, request.Objective, "a caller that has waited beyond the objective gets another one")
	assert.Equal(t, controller.Status(testNow).Counts.Returned, int64(1))
}
