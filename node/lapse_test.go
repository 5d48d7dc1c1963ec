package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestGoneServers has a server's record go after the copy has had some age:
// only if the service was away may it be believed for longer. On a calm day
// two nodes whose copies were 1.7 s old kept a server that had left for 2 s.
func TestGoneServers(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration // that the copy reached
		retained bool
	}{
		"a fresh copy":               {300 * time.Millisecond, false},
		"an old one in a calm fleet": {2 * time.Second, false},
		"the service was away":       {4 * time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.mirror.Apply(mirror.Update{Whole: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: shedkeel.Revision{Number: 1}}}})
			timers.Advance(test.age)
			node.fleet.tick(timers.Now())
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: shedkeel.Revision{Number: 2}, Gone: true}}})
			assert.Equal(t, len(node.fleet.instances) == 1, test.retained)

			timers.Advance(lapseHold)
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.fleet.instances), 0, "it never came back")
		})
	}
}

// TestGoneNodes has the records of nodes go while the service seems away. Leases
// may have run out, so nodes that answer are kept until they have written theirs
// again; one that does not answer was kept as well, and named for 2.3 s more.
func TestGoneNodes(t *testing.T) {
	cases := map[string]struct {
		before   shedkeel.Liveness // when its record goes
		after    shedkeel.Liveness // a tick later
		retained bool              // after that tick
	}{
		"it answers":                        {shedkeel.Alive, shedkeel.Alive, true},
		"it is suspected":                   {shedkeel.Suspected, shedkeel.Suspected, true},
		"it is dead":                        {shedkeel.Dead, shedkeel.Dead, false},
		"it has left":                       {shedkeel.Left, shedkeel.Left, false},
		"it is found dead while it is kept": {shedkeel.Suspected, shedkeel.Dead, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			found := &judged{liveness: map[shedkeel.NodeID]shedkeel.Liveness{"b": test.before}}
			node.gossip.detector = found
			value, err := json.Marshal(nodeRecord{ID: "b", Zone: "z", Callers: "127.0.0.1:1", Control: "127.0.0.1:2", Gossip: "127.0.0.1:2"})
			assert.NilError(t, err)
			key := nodePrefix + "b"
			node.mirror.Apply(mirror.Update{Whole: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: key, Value: value, Revision: shedkeel.Revision{Number: 1}}}})
			timers.Advance(4 * time.Second)
			node.fleet.tick(timers.Now())
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: key, Revision: shedkeel.Revision{Number: 2}, Gone: true}}})
			found.liveness["b"] = test.after
			timers.Advance(fleetTick)
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.peers.listed()) == 1, test.retained)
			timers.Advance(lapseHold)
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.peers.listed()), 0, "it never came back")
		})
	}
}
