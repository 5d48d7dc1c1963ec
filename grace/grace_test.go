package grace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestExpect(t *testing.T) {
	type answered struct {
		size int
		took time.Duration
	}
	cases := map[string]struct {
		answered []answered
		size     int
		want     time.Duration
	}{
		"one":                        {[]answered{{1, time.Second}}, 1, time.Second},
		"of no size":                 {[]answered{{0, time.Second}}, 0, time.Second},
		"a larger request":           {[]answered{{100, time.Second}}, 300, 3 * time.Second},
		"a smaller request":          {[]answered{{100, time.Second}}, 10, time.Second},
		"one long one of few counts": {[]answered{{1, time.Second}, {1, 9 * time.Second}, {1, time.Second}}, 1, 9 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			answers := &Answers{}
			for _, answered := range test.answered {
				answers.Record("r", answered.size, answered.took)
			}
			got, known := answers.Expect("r", test.size)
			assert.Assert(t, known)
			assert.Equal(t, got, test.want)
			_, known = answers.Expect("other", test.size)
			assert.Assert(t, !known)
		})
	}
}

// TestExpectForgets checks that old answers are forgotten, that one long one among many is not what is expected, and that names
// without end leave little.
func TestExpectForgets(t *testing.T) {
	answers := &Answers{}
	for range samplesPerClass {
		answers.Record("r", 1, 9*time.Second)
	}
	for range samplesPerClass - 1 {
		answers.Record("r", 1, time.Second)
	}
	got, _ := answers.Expect("r", 1)
	assert.Equal(t, got, time.Second)
	for number := range 3 * maxClasses {
		answers.Record(time.Duration(number).String(), 1, time.Second)
	}
	assert.Assert(t, len(answers.classes) <= maxClasses)
}

func TestLatest(t *testing.T) {
	leave := Leave{At: 10 * time.Second}
	cases := map[string]struct {
		expected time.Duration
		known    bool
		limit    time.Duration
		want     time.Duration
	}{
		"expected":            {2 * time.Second, true, 5 * time.Second, 8 * time.Second},
		"its caller gives up": {8 * time.Second, true, 5 * time.Second, 5 * time.Second},
		"not known":           {0, false, 5 * time.Second, 5 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, leave.Latest(test.expected, test.known, test.limit), test.want) })
	}
}
