package mirror

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/timer"
)

// TestOutage checks that Outage distinguishes an outage of the service from a process that
// is itself cut off and from a response that is not due yet.
func TestOutage(t *testing.T) {
	errUnreachable := errors.New("service unavailable")
	peers := []Peer{unresponsivePeer{}}
	cases := map[string]struct {
		others       []Peer
		events       func(health *health, now time.Duration)
		since        time.Duration // how long before the end of the events the outage began
		unresponsive bool
	}{
		"no query was sent": {peers, func(health *health, now time.Duration) { health.notePeerResponse(now) }, 0, false},
		"a response is not due yet": {peers, func(health *health, now time.Duration) {
			health.notePeerResponse(now)
			health.beginQuery(now-responseTimeout/2, 0)
		}, 0, false},
		"a watch is open": {peers, func(health *health, now time.Duration) {
			health.notePeerResponse(now)
			health.beginQuery(now-watchWait, watchWait)
		}, 0, false},
		"no response comes": {peers, func(health *health, now time.Duration) {
			health.notePeerResponse(now)
			health.beginQuery(now-2*responseTimeout, 0)
		}, 2 * responseTimeout, true},
		"queries fail again": {peers, func(health *health, now time.Duration) {
			for _, ago := range []time.Duration{5 * time.Second, 3 * time.Second} {
				health.beginQuery(now-ago, 0)
				health.endQuery(errUnreachable)
			}
			health.notePeerResponse(now)
		}, 5 * time.Second, true},
		"the service is back": {peers, func(health *health, now time.Duration) {
			health.beginQuery(now-time.Second, 0)
			health.endQuery(errUnreachable)
			health.beginQuery(now, 0)
			health.endQuery(nil)
			health.notePeerResponse(now)
		}, 0, false},
		"no peer responds": {peers, func(health *health, now time.Duration) {
			health.beginQuery(now-time.Second, 0)
			health.endQuery(errUnreachable)
		}, 0, false},
		"a peer responded long ago": {peers, func(health *health, now time.Duration) {
			health.notePeerResponse(now - peerReachableTime - 1)
			health.beginQuery(now-time.Second, 0)
			health.endQuery(errUnreachable)
		}, 0, false},
		"there are no peers": {nil, func(health *health, now time.Duration) {
			health.beginQuery(now-time.Second, 0)
			health.endQuery(errUnreachable)
		}, time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			timers := &timer.Manual{}
			timers.Advance(time.Minute)
			follower := &Follower{Timers: timers, Peers: func() []Peer { return test.others }}
			test.events(&follower.health, timers.Now())
			since, unresponsive := follower.Outage()
			assert.Equal(t, unresponsive, test.unresponsive)
			if unresponsive {
				assert.Equal(t, since, timers.Now()-test.since)
			}
		})
	}
}
