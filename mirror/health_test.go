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
	errUnreachable := errors.New("away")
	peers := []Peer{silentPeer{}}
	cases := map[string]struct {
		others []Peer
		course func(outage *health, now time.Duration)
		since  time.Duration // before the end of the course
		away   bool
	}{
		"nothing was asked": {peers, func(outage *health, now time.Duration) { outage.notePeerResponse(now) }, 0, false},
		"an answer is open": {peers, func(outage *health, now time.Duration) { outage.notePeerResponse(now); outage.beginQuery(now-responseTimeout/2, 0) }, 0, false},
		"a watch is open":   {peers, func(outage *health, now time.Duration) { outage.notePeerResponse(now); outage.beginQuery(now-watchWait, watchWait) }, 0, false},
		"no answer comes":   {peers, func(outage *health, now time.Duration) { outage.notePeerResponse(now); outage.beginQuery(now-2*responseTimeout, 0) }, 2 * responseTimeout, true},
		"it fails again": {peers, func(outage *health, now time.Duration) {
			for _, ago := range []time.Duration{5 * time.Second, 3 * time.Second} {
				outage.beginQuery(now-ago, 0)
				outage.endQuery(errUnreachable)
			}
			outage.notePeerResponse(now)
		}, 5 * time.Second, true},
		"it is back": {peers, func(outage *health, now time.Duration) {
			outage.beginQuery(now-time.Second, 0)
			outage.endQuery(errUnreachable)
			outage.beginQuery(now, 0)
			outage.endQuery(nil)
			outage.notePeerResponse(now)
		}, 0, false},
		"no peer answers": {peers, func(outage *health, now time.Duration) { outage.beginQuery(now-time.Second, 0); outage.endQuery(errUnreachable) }, 0, false},
		"a peer answered long ago": {peers, func(outage *health, now time.Duration) {
			outage.notePeerResponse(now - peerReachableTime - 1)
			outage.beginQuery(now-time.Second, 0)
			outage.endQuery(errUnreachable)
		}, 0, false},
		"there are no peers": {nil, func(outage *health, now time.Duration) { outage.beginQuery(now-time.Second, 0); outage.endQuery(errUnreachable) }, time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			timers := &timer.Manual{}
			timers.Advance(time.Minute)
			follower := &Follower{Timers: timers, Others: func() []Peer { return test.others }}
			test.course(&follower.health, timers.Now())
			since, away := follower.Outage()
			assert.Equal(t, away, test.away)
			if away {
				assert.Equal(t, since, timers.Now()-test.since)
			}
		})
	}
}
