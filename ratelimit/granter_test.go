package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// requestPermits asks for a permit at start and then after each interval, until length has passed.
// It returns the times at which permits were granted.
func requestPermits(granter *Granter, request PermitRequest, start, interval, length time.Duration) (granted []time.Duration) {
	for now := start; now < start+length; now += interval {
		if granter.Grant(request, now).Granted {
			granted = append(granted, now)
		}
	}
	return granted
}

// TestGranterKeepsTheRate asks for a permit each millisecond. It checks that at least 90% of
// the rate is granted, less one permit, and that no window of four seconds has more permits
// than the rate and a full bucket allow, plus one.
func TestGranterKeepsTheRate(t *testing.T) {
	const start, length, window = time.Minute, 20 * time.Second, 4 * time.Second
	cases := map[string]float64{"0.5 per second": 0.5, "2 per second": 2, "20 per second": 20, "200 per second": 200}
	for name, rate := range cases {
		t.Run(name, func(t *testing.T) {
			granted := requestPermits(&Granter{}, PermitRequest{Server: "s", Rate: rate}, start, time.Millisecond, length)
			total := rate * length.Seconds()
			assert.Assert(t, float64(len(granted)) >= 0.9*total-1, "%d of %.0f used", len(granted), total)
			first := 0
			for last := range granted {
				for granted[last]-granted[first] > window {
					first++
				}
				assert.Assert(t, float64(last-first+1) <= rate*window.Seconds()+max(minBurst, rate*burstDuration.Seconds())+1, "%d permits in the window that ends at %s", last-first+1, granted[last])
			}
		})
	}
}

// TestGranterHandover checks that a process grants no permits within handoverDelay after a
// change of the set of live processes, because the previous granter may still grant them,
// and that the process does not wait if the last change was long ago.
func TestGranterHandover(t *testing.T) {
	cases := map[string]struct {
		settled time.Duration // PermitRequest.SettledSince; the permits are requested from time.Minute on
		first   time.Duration // when the bucket, which is empty at first, begins to fill
	}{
		"changed long ago": {0, time.Minute},
		"changed just now": {time.Minute, time.Minute + handoverDelay},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := PermitRequest{Server: "s", Rate: 10, SettledSince: test.settled}
			// Permits are requested every 10 ms for 3 s.
			granted := requestPermits(&Granter{}, request, time.Minute, 10*time.Millisecond, 3*time.Second)
			interval := 100 * time.Millisecond // between two permits at the rate of 10 per second
			assert.Assert(t, granted[0] >= test.first+interval && granted[0] <= test.first+2*interval, "first at %s", granted[0])
		})
	}
}

// TestGranterWaits checks that requests that can wait get permits that become valid later,
// and that refused requests get different times at which to ask again.
func TestGranterWaits(t *testing.T) {
	const now = time.Minute
	request := PermitRequest{Server: "s", Rate: 2, MaxWait: time.Second}
	granter := &Granter{}
	for index, want := range []shedkeel.Permit{
		{Granted: true, Wait: 500 * time.Millisecond},
		{Granted: true, Wait: time.Second}, // as long as MaxWait allows
		{Wait: 1500 * time.Millisecond},    // refused: the permit would become valid after MaxWait
		{Wait: 2 * time.Second},            // 500 ms after the refusal before, at a rate of 2 per second
		{Wait: maxRetryWait},               // 2.5 s without this bound
	} {
		assert.Equal(t, granter.Grant(request, now), want, "request %d", index)
	}
}

// TestGranterFollowsTheLimit checks that a changed limit applies immediately, and that a
// server with a limit of zero gets requests at probeRate, six in a minute. A bucket that has
// filled since the last permit adds up to minBurst permits. Last, the test checks that Retain
// removes the bucket. Permits are requested every 10 ms.
func TestGranterFollowsTheLimit(t *testing.T) {
	granter := &Granter{}
	request := PermitRequest{Server: "s", Rate: 5}
	// 5 permits per second in 10 s are 50, of which the last becomes valid at the end of the 10 s,
	// when no permit is requested any more: the bucket is empty at first.
	assert.Equal(t, len(requestPermits(granter, request, time.Minute, 10*time.Millisecond, 10*time.Second)), 49)
	request.Rate = 1
	reduced := len(requestPermits(granter, request, 2*time.Minute, 10*time.Millisecond, 10*time.Second))
	assert.Assert(t, reduced >= 10 && reduced <= 10+minBurst, "%d permits in 10 s at 1 per second", reduced)
	request.Rate = 0
	probes := len(requestPermits(granter, request, 3*time.Minute, 10*time.Millisecond, time.Minute))
	assert.Assert(t, probes >= 6 && probes <= 6+minBurst, "%d permits in a minute at probeRate", probes)
	granter.Retain(func(shedkeel.InstanceID) bool { return false })
	assert.Equal(t, len(granter.buckets), 0)
}

// BenchmarkGrant measures a request for a permit at a granter of 1,000 servers.
func BenchmarkGrant(b *testing.B) {
	granter := &Granter{}
	now := time.Minute
	for index := range 1000 {
		granter.Grant(PermitRequest{Server: shedkeel.InstanceID(rune('a' + index)), Rate: 2}, now) // "b" is the server with index 1
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		granter.Grant(PermitRequest{Server: "b", Rate: 2}, now)
	}
}
