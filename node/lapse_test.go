package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

// TestGoneServers deletes a server's record when the node's copy of the records has some age. The
// server must stay in use for deletedRecordHold if the copy was older than outageAge, as in an
// outage of the key-value service, else it must be removed at once. A copy of 2 s must not count
// as an outage, since copies of 1.7 s occur in a healthy fleet.
func TestGoneServers(t *testing.T) {
	cases := map[string]struct {
		age          time.Duration // of the copy when the record is deleted
		wantRetained bool          // for deletedRecordHold
	}{
		"a fresh copy":                   {300 * time.Millisecond, false},
		"an old copy in a healthy fleet": {2 * time.Second, false},
		"the key-value service was down": {4 * time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: shedkeel.Revision{Number: 1}}}})
			timers.Advance(test.age)
			node.fleet.tick(timers.Now())
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: shedkeel.Revision{Number: 2}, Removed: true}}})
			assert.Equal(t, len(node.fleet.instances) == 1, test.wantRetained)

			timers.Advance(deletedRecordHold)
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.fleet.instances), 0, "a record that is not written again stays after the hold")
		})
	}
}

// TestGoneNodes deletes a node's record after an outage of the key-value service, in which the
// node's lease may have expired. A node that is alive or suspected is retained for
// deletedRecordHold, in which it can write its record again. A node that is dead or has left must
// not be retained: it does not write its record again and would stay listed.
func TestGoneNodes(t *testing.T) {
	cases := map[string]struct {
		before       shedkeel.Liveness // of the node when its record is deleted
		after        shedkeel.Liveness // of the node a tick later
		wantRetained bool              // after that tick
	}{
		"it is alive":                           {shedkeel.Alive, shedkeel.Alive, true},
		"it is suspected":                       {shedkeel.Suspected, shedkeel.Suspected, true},
		"it is dead":                            {shedkeel.Dead, shedkeel.Dead, false},
		"it has left":                           {shedkeel.Left, shedkeel.Left, false},
		"it is found dead while it is retained": {shedkeel.Suspected, shedkeel.Dead, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			detector := &fakeDetector{liveness: map[shedkeel.NodeID]shedkeel.Liveness{"b": test.before}}
			node.gossip.detector = detector
			value, err := json.Marshal(nodeRecord{ID: "b", Zone: "z", Callers: "127.0.0.1:1", Control: "127.0.0.1:2", Gossip: "127.0.0.1:2"})
			assert.NilError(t, err)
			key := nodePrefix + "b"
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: key, Value: value, Revision: shedkeel.Revision{Number: 1}}}})
			timers.Advance(4 * time.Second) // longer than outageAge
			node.fleet.tick(timers.Now())
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: key, Revision: shedkeel.Revision{Number: 2}, Removed: true}}})
			detector.liveness["b"] = test.after
			timers.Advance(fleetTick)
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.peers.listed()) == 1, test.wantRetained)
			timers.Advance(deletedRecordHold)
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.peers.listed()), 0, "a record that is not written again stays after the hold")
		})
	}
}
