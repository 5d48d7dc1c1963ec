package mirror

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/timer"
)

// TestOutage tells an outage of the service from a process that is cut off and
// from an answer that takes its time.
func TestOutage(t *testing.T) {
	errAway := errors.New("away")
	peers := []Peer{silentPeer{}}
	cases := map[string]struct {
		others []Peer
		course func(outage *outage, now time.Duration)
		since  time.Duration // before the end of the course
		away   bool
	}{
		"nothing was asked": {peers, func(outage *outage, now time.Duration) { outage.hear(now) }, 0, false},
		"an answer is open": {peers, func(outage *outage, now time.Duration) { outage.hear(now); outage.ask(now-answerTime/2, 0) }, 0, false},
		"a watch is open":   {peers, func(outage *outage, now time.Duration) { outage.hear(now); outage.ask(now-watchWait, watchWait) }, 0, false},
		"no answer comes":   {peers, func(outage *outage, now time.Duration) { outage.hear(now); outage.ask(now-2*answerTime, 0) }, 2 * answerTime, true},
		"it fails again": {peers, func(outage *outage, now time.Duration) {
			for _, ago := range []time.Duration{5 * time.Second, 3 * time.Second} {
				outage.ask(now-ago, 0)
				outage.take(errAway)
			}
			outage.hear(now)
		}, 5 * time.Second, true},
		"it is back": {peers, func(outage *outage, now time.Duration) {
			outage.ask(now-time.Second, 0)
			outage.take(errAway)
			outage.ask(now, 0)
			outage.take(nil)
			outage.hear(now)
		}, 0, false},
		"no peer answers": {peers, func(outage *outage, now time.Duration) { outage.ask(now-time.Second, 0); outage.take(errAway) }, 0, false},
		"a peer answered long ago": {peers, func(outage *outage, now time.Duration) {
			outage.hear(now - heardTime - 1)
			outage.ask(now-time.Second, 0)
			outage.take(errAway)
		}, 0, false},
		"there are no peers": {nil, func(outage *outage, now time.Duration) { outage.ask(now-time.Second, 0); outage.take(errAway) }, time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			timers := &timer.Manual{}
			timers.Advance(time.Minute)
			follower := &Follower{Timers: timers, Others: func() []Peer { return test.others }}
			test.course(&follower.outage, timers.Now())
			since, away := follower.Outage()
			assert.Equal(t, away, test.away)
			if away {
				assert.Equal(t, since, timers.Now()-test.since)
			}
		})
	}
}
