package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Backend servers that had asked a node for 3 s without requests got five from it in
// that time, and requests were sent to servers that had said in their answers that
// they drain.

// backoffLength is the backoff that servers ask for.
const backoffLength = 2 * time.Second

// TestBackoffIsHeeded has servers turn requests away and ask for a backoff while
// requests come to three nodes at once.
func TestBackoffIsHeeded(t *testing.T) {
	const rate, length = 40, 3*backoffLength + time.Second
	cases := map[string]struct {
		path string
		all  bool // all servers ask for it, and not only one
	}{
		"replica group":      {path: "/copy/a"},
		"plain server":       {path: "/look/a"},
		"all replica groups": {path: "/copy/a", all: true},
		"all plain servers":  {path: "/look/a", all: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newServingWorld(t)
			resting := world.limited(test.path, test.all)
			for _, server := range resting {
				world.fleet.BackOff(server, backoffLength)
			}
			// They take requests again while nodes still know of the last backoff.
			time.AfterFunc(length/2, func() {
				for _, server := range resting {
					world.fleet.BackOff(server, 0)
				}
			})
			statuses := world.press(world.nodes, test.path, rate, length)
			t.Logf("statuses %v", statuses)
			assert.DeepEqual(t, world.fleet.Broken(), []string(nil))
			assert.Equal(t, statuses[0], 0, "whoever is not served is told so")
			assert.Assert(t, statuses[http.StatusOK] > statuses[http.StatusServiceUnavailable]/3, "served again after the backoff")
			if !test.all {
				assert.Equal(t, statuses[http.StatusServiceUnavailable], 0, "others serve meanwhile")
			}
		})
	}
}

// TestDrainInAnswersIsHeeded has a server say in its answers that it drains, while its
// record still says that it is ready.
func TestDrainInAnswersIsHeeded(t *testing.T) {
	const rate, length = 40, 4 * time.Second
	for name, path := range map[string]string{"replica group": "/copy/a", "plain server": "/look/a"} {
		t.Run(name, func(t *testing.T) {
			world := newServingWorld(t)
			world.fleet.DrainByAnswers(world.limited(path, false)[0])
			statuses := world.press(world.nodes, path, rate, length)
			t.Logf("statuses %v", statuses)
			assert.DeepEqual(t, world.fleet.Broken(), []string(nil))
			assert.Equal(t, statuses[http.StatusServiceUnavailable]+statuses[0], 0, "others serve meanwhile")
		})
	}
}

// newServingWorld returns a world of three nodes that serve.
func newServingWorld(t *testing.T) *world {
	t.Helper()
	world := newWorld(t, 3)
	world.fleet.Answer = 80 * time.Millisecond // about as long as choices expect
	world.eventually("all nodes are told", func() bool { return len(world.addresses(0)) == 3 })
	for index := range world.nodes {
		world.serves(index)
	}
	return world
}
