package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/ratelimit"
)

// TestColdServersAreKnownUntilWarm records a server as cold once or twice, and checks that
// the server is cold until the latest recorded time, that Add reports changes, and that Expire
// removes the record from that time on.
func TestColdServersAreKnownUntilWarm(t *testing.T) {
	type call struct {
		until   time.Duration // ColdServer.Until, in nanoseconds
		changed bool          // what Add returns
	}
	cases := map[string]struct {
		calls []call
		until time.Duration // when the server becomes warm
	}{
		"once":                {[]call{{5, true}}, 5},
		"again, the same":     {[]call{{5, true}, {5, false}}, 5},
		"again, for longer":   {[]call{{5, true}, {7, true}}, 7},
		"again, for less":     {[]call{{5, true}, {3, false}}, 5},
		"in the past already": {[]call{{-1, true}}, -1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var cold ratelimit.ColdServers
			for _, call := range test.calls {
				assert.Equal(t, cold.Add(shedkeel.ColdServer{Server: "s", Rate: 2, Until: call.until}), call.changed)
			}
			_, isCold := cold.Lookup("s", test.until)
			assert.Assert(t, !isCold, "the server must be warm from its Until on")
			known, isCold := cold.Lookup("s", test.until-1)
			assert.Assert(t, isCold)
			assert.Equal(t, known.Rate, 2.0)
			assert.Equal(t, len(cold.All(test.until-1)), 1)
			assert.Equal(t, len(cold.All(test.until)), 0)
			assert.Equal(t, len(cold.Expire(test.until-1)), 0)
			assert.Equal(t, len(cold.Expire(test.until)), 1)
			assert.Equal(t, len(cold.All(-10)), 0, "a record that would be cold at -10 is left")
		})
	}
}
