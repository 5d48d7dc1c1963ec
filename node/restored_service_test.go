package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
)

// The key-value service came back from a copy some seconds old: routes that were added
// then were refused with 404, and requests were sent to servers 2 s after they had said
// that they drain.

const (
	// maxApplyDelay is within what a change must be in force at all nodes.
	maxApplyDelay = 2 * time.Second
	// lostChanges is how many changes the service loses.
	lostChanges = 300
)

// TestRestoredServiceIsFollowed has the service come back from an older copy and checks
// that what is written next is in force in time at all nodes.
func TestRestoredServiceIsFollowed(t *testing.T) {
	cases := map[string]struct {
		restores int
		// overtaken has the service change so often before nodes reach it that its revisions
		// have overtaken those that they know.
		overtaken bool
	}{
		"revisions below those known": {1, false},
		"revisions have passed them":  {1, true},
		"twice in a row":              {2, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := newServingWorld(t)
			world.data.Snapshot()
			world.changeUnusedRecords(lostChanges)
			world.configure(2, `"key-1","key-lost"`)
			world.eventually("the lost configuration is in force", func() bool { return world.acceptingNodes("key-lost") == len(world.nodes) })
			for range test.restores {
				world.data.SetFaults(standin.Faults{Outage: true})
				time.Sleep(time.Second)
				world.data.Restore()
				if !test.overtaken {
					world.data.SetFaults(standin.Faults{})
					time.Sleep(500 * time.Millisecond)
				}
			}
			world.configure(3, `"key-3"`)
			world.fleet.Drain("plain-0")
			if test.overtaken {
				world.changeUnusedRecords(2 * lostChanges)
				world.data.SetFaults(standin.Faults{})
			}
			began := time.Now()
			world.eventually("the new key is known", func() bool { return world.acceptingNodes("key-3") == len(world.nodes) })
			assert.Assert(t, time.Since(began) < maxApplyDelay, "it took %s", time.Since(began))
			time.Sleep(maxApplyDelay - time.Since(began))
			came := world.fleet.Came("plain-0")
			for range 20 {
				for _, node := range world.nodes {
					status, body := world.send(node.callers, shedkeel.NewNonce(), "/look/x", "key-3", 0)
					assert.Equal(t, status, 200, body)
					status, _ = world.send(node.callers, shedkeel.NewNonce(), "/look/x", "key-1", 0)
					assert.Equal(t, status, 401, "the key was removed")
				}
			}
			assert.Equal(t, world.fleet.Came("plain-0"), came, "it has said that it drains")
			world.eventually("groups are planned", func() bool { return len(world.fleet.Serving()["m0"]) >= 2 })
			assert.DeepEqual(t, world.fleet.Broken(), []string(nil))
		})
	}
}

// changeUnusedRecords makes so many changes of records that nobody uses.
func (world *world) changeUnusedRecords(count int) {
	for index := range count {
		_, err := world.data.Commit(shedkeel.Change{Put: []shedkeel.Put{{Key: fmt.Sprint("other/", index%7), Value: fmt.Append(nil, index)}}})
		assert.NilError(world.t, err)
	}
}

// acceptingNodes returns how many nodes serve a request with the key.
func (world *world) acceptingNodes(key string) int {
	count := 0
	for _, node := range world.nodes {
		if status, _ := world.send(node.callers, shedkeel.NewNonce(), "/look/x", key, 0); status == 200 {
			count++
		}
	}
	return count
}
