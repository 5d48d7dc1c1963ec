package node

import (
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
		age  time.Duration // that the copy reached
		held bool
	}{
		"a fresh copy":               {300 * time.Millisecond, false},
		"an old one in a calm fleet": {2 * time.Second, false},
		"the service was away":       {4 * time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.mirror.Apply(mirror.Update{Whole: true, At: 1, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: 1}}})
			timers.Advance(test.age)
			node.fleet.tick(timers.Now())
			node.mirror.Apply(mirror.Update{At: 2, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/a", Revision: 2, Gone: true}}})
			assert.Equal(t, len(node.fleet.instances) == 1, test.held)

			timers.Advance(lapseHold)
			node.mirror.Apply(mirror.Update{At: 2, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, len(node.fleet.instances), 0, "it never came back")
		})
	}
}
