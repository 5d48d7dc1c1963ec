package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// What a cold server may get in a second, over all nodes, by the test's configuration:
// one and a half times the rate that it bears, and some more.
const (
	coldAllowed = coldRate*3/2 + 5
	coldRate    = 4
)

// TestColdServersGetLittle has servers be cold while far more requests come to three
// nodes than they bear: since their records say so, or since an evacuation of their
// zone was withdrawn.
func TestColdServersGetLittle(t *testing.T) {
	const rate, coldFor = 100, 3 * time.Second
	cases := map[string]struct {
		path   string
		server func(*world) string
		cool   func(*world, string)
	}{
		"replica group, by its record": {"/copy/a", func(world *world) string { return world.fleet.Serving()["m0"][0].ID }, func(world *world, server string) {
			world.fleet.Cool(server, coldFor)
		}},
		"plain server, by its record": {"/look/a", func(*world) string { return "plain-1" }, func(world *world, server string) {
			world.fleet.Cool(server, coldFor)
		}},
		"plain server, evacuated": {"/look/a", func(*world) string { return "plain-1" }, func(world *world, server string) {
			world.fleet.Place(server, evacuated)
			world.evacuate(evacuated, true)
			time.Sleep(evacuateTime)
			world.fleet.Limit(server, "") // its arrivals are counted from now on
			world.evacuate(evacuated, false)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newServingWorld(t)
			server := test.server(world)
			test.cool(world, server)
			told := time.Now()
			time.Sleep(evacuateTime / 2) // all nodes know it by then
			statuses := world.press(world.nodes, test.path, rate, coldFor-time.Second)
			arrivals := world.fleet.Arrivals(server)
			most := platformstandin.MostArrivals(arrivals, time.Second)
			t.Logf("statuses %v; %d arrivals in %s, most in a second %d, allowed %d", statuses, len(arrivals), time.Since(told), most, coldAllowed)
			assert.Assert(t, most <= coldAllowed, "%d requests in a second, allowed %d", most, coldAllowed)
			assert.Assert(t, most > 0, "it bears some")
			assert.Equal(t, statuses[0], 0, "whoever is not served is told so")
			assert.Assert(t, statuses[http.StatusOK] > 0)
			world.eventually("it gets more once it is warm", func() bool {
				world.press(world.nodes, test.path, rate, time.Second)
				return platformstandin.MostArrivals(world.fleet.Arrivals(server), time.Second) > coldAllowed
			})
		})
	}
}
