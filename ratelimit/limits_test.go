package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestLimits checks the known limit of a server after a sequence of its answers, in the
// order in which they arrive.
func TestLimits(t *testing.T) {
	type answer struct {
		limit     float64       // the stated limit; below 0: the answer states none
		sent, now time.Duration // when the request was sent and the answer was received, in nanoseconds
	}
	cases := map[string]struct {
		answers []answer
		limited bool    // a limit is in use after the answers
		rate    float64 // Rate that Limit returns after the answers
		changes int     // number of answers that change the known limit
	}{
		"never stated":                 {[]answer{{-1, 0, 1}}, false, 0, 0},
		"stated":                       {[]answer{{2, 0, 1}}, true, 2, 1},
		"stated again":                 {[]answer{{2, 0, 1}, {2, 1, 2}}, true, 2, 1},
		"changed":                      {[]answer{{2, 0, 1}, {5, 1, 2}}, true, 5, 2},
		"limit of zero":                {[]answer{{0, 0, 1}}, true, 0, 1},
		"lifted":                       {[]answer{{2, 0, 1}, {-1, 2, 3}}, false, 0, 2},
		"an older answer arrives late": {[]answer{{2, 0, 3}, {-1, 1, 4}}, true, 2, 1},
		"stated after lift":            {[]answer{{2, 0, 1}, {-1, 2, 3}, {4, 4, 5}}, true, 4, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var limits Limits
			changes := 0
			for _, answer := range test.answers {
				stated := shedkeel.StatedLimit{Stated: answer.limit >= 0, Rate: max(answer.limit, 0)}
				if _, changed := limits.Observe("s", stated, answer.sent, answer.now); changed {
					changes++
				}
			}
			limit, limited := limits.Limit("s")
			assert.Equal(t, limited, test.limited)
			assert.Equal(t, limits.Idle(), !test.limited)
			assert.Equal(t, limit.Rate, test.rate)
			assert.Equal(t, changes, test.changes)
		})
	}
}

// TestLimitsMerge checks that a newer limit replaces the known limit and an older limit does
// not, that a changed limit keeps the earliest Since, and that Retain removes servers that are
// not listed.
func TestLimitsMerge(t *testing.T) {
	var limits Limits
	limits.Merge(shedkeel.ServerLimit{Server: "s", Rate: 2, AsOf: 10, Since: 10})
	_, changed := limits.Merge(shedkeel.ServerLimit{Server: "s", Rate: 9, AsOf: 5, Since: 5})
	assert.Assert(t, !changed, "a limit older than the known one was recorded")
	known, changed := limits.Merge(shedkeel.ServerLimit{Server: "s", Rate: 3, AsOf: 12, Since: 4})
	assert.Assert(t, changed)
	assert.Equal(t, known.Since, time.Duration(4))
	limits.Merge(shedkeel.ServerLimit{Server: "gone", Rate: 1, AsOf: 1})
	assert.Equal(t, len(limits.All()), 2)
	limits.Retain(func(server shedkeel.InstanceID) bool { return server == "s" })
	assert.Equal(t, len(limits.All()), 1)
}

// BenchmarkObserve measures Observe for answers with and without a limit, while no server
// limits its rate and while 1,000 do.
func BenchmarkObserve(b *testing.B) {
	cases := map[string]struct {
		limited int                  // servers that limit their rate; b is one of them
		answer  shedkeel.StatedLimit // what the answers of b state
	}{
		"none limited":                   {0, shedkeel.StatedLimit{}},
		"1,000 limited, no limit stated": {1000, shedkeel.StatedLimit{}},
		"1,000 limited, limit stated":    {1000, shedkeel.StatedLimit{Stated: true, Rate: 2}},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			var limits Limits
			for index := range test.limited {
				limits.Merge(shedkeel.ServerLimit{Server: shedkeel.InstanceID(rune('a' + index)), Rate: 2, AsOf: 1})
			}
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now++
				// The time 1 of the request is the AsOf of the limits, so that an answer without
				// a limit lifts none of them.
				limits.Observe("b", test.answer, 1, now)
			}
		})
	}
}
