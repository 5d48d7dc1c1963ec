package contain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// detectorHarness is a collector that is the only node.
type detectorHarness struct {
	*PartDetector
	now time.Duration
}

func newDetector() *detectorHarness {
	return &detectorHarness{PartDetector: &PartDetector{Ledger: &Ledger{}}, now: time.Hour}
}

// end lets a server terminate while it ran one request with each list of parts; onTrial says whether the
// first request was on trial.
func (harness *detectorHarness) end(server shedkeel.InstanceID, onTrial bool, requests ...[]shedkeel.Subject) {
	for index, parts := range requests {
		request := shedkeel.GuardedRequest{Parts: parts, OnTrial: onTrial && index == 0}
		harness.Collect(harness.ServerEnded(request, server, harness.now, time.Time{}), harness.now, time.Time{})
	}
}

// judge returns the judgment of a part after the detector has settled.
func (harness *detectorHarness) judge(part shedkeel.Subject) shedkeel.Judgment {
	harness.now += settleTime
	harness.Conclude(harness.now)
	return harness.Ledger.Judge(part)
}

// TestDetection checks the judgments of the parts d, u and k after servers have terminated. k is
// known to be harmless.
func TestDetection(t *testing.T) {
	d, u, k := part("d"), part("u"), part("k")
	type ended struct {
		after    time.Duration // since the server before
		onTrial  bool
		requests [][]shedkeel.Subject
	}
	with := func(parts ...shedkeel.Subject) []shedkeel.Subject { return parts }
	second := time.Second
	// lostAtOnce returns the loss of that many servers at once, half of which run a request with the parts.
	lostAtOnce := func(parts []shedkeel.Subject, count int) (lost []ended) {
		for range count / 2 {
			lost = append(lost, ended{0, false, [][]shedkeel.Subject{parts}}, ended{0, false, [][]shedkeel.Subject{nil}})
		}
		return lost
	}
	cases := map[string]struct {
		ends    []ended
		d, u, k shedkeel.Judgment
	}{
		"one server":                         {[]ended{{0, false, [][]shedkeel.Subject{with(k, d)}}}, shedkeel.Quarantined, shedkeel.Unblamed, shedkeel.Unblamed},
		"two suspects at one server":         {[]ended{{0, false, [][]shedkeel.Subject{with(k, d), with(k, u)}}}, shedkeel.Quarantined, shedkeel.Quarantined, shedkeel.Unblamed},
		"three with it in common":            {[]ended{{0, false, [][]shedkeel.Subject{with(k, d)}}, {second, false, [][]shedkeel.Subject{with(k, d)}}, {second, false, [][]shedkeel.Subject{with(d), with(k)}}}, shedkeel.Contained, shedkeel.Unblamed, shedkeel.Unblamed},
		"three, another end between":         {[]ended{{0, false, [][]shedkeel.Subject{with(d)}}, {second, false, [][]shedkeel.Subject{with(k)}}, {second, false, [][]shedkeel.Subject{with(d)}}, {second, false, [][]shedkeel.Subject{with(d)}}}, shedkeel.Quarantined, shedkeel.Unblamed, shedkeel.Unblamed},
		"three of six lost at once":          {[]ended{{0, false, [][]shedkeel.Subject{with(d)}}, {0, false, [][]shedkeel.Subject{with(k)}}, {0, false, [][]shedkeel.Subject{with(d)}}, {0, false, [][]shedkeel.Subject{with(u)}}, {0, false, [][]shedkeel.Subject{with(d)}}, {0, false, [][]shedkeel.Subject{nil}}}, shedkeel.Quarantined, shedkeel.Quarantined, shedkeel.Unblamed},
		"two suspects have all in common":    {[]ended{{0, false, [][]shedkeel.Subject{with(d, u)}}, {second, false, [][]shedkeel.Subject{with(d, u)}}, {second, false, [][]shedkeel.Subject{with(d, u)}}}, shedkeel.Quarantined, shedkeel.Quarantined, shedkeel.Unblamed},
		"two deadly ones, each tried":        {[]ended{{0, false, [][]shedkeel.Subject{with(d)}}, {second, false, [][]shedkeel.Subject{with(u)}}, {second, true, [][]shedkeel.Subject{with(d)}}, {second, true, [][]shedkeel.Subject{with(u)}}, {second, true, [][]shedkeel.Subject{with(d)}}, {second, true, [][]shedkeel.Subject{with(u)}}}, shedkeel.Contained, shedkeel.Contained, shedkeel.Unblamed},
		"tried beside another suspect":       {[]ended{{0, false, [][]shedkeel.Subject{with(k)}}, {0, false, [][]shedkeel.Subject{with(d)}}, {second, false, [][]shedkeel.Subject{with(d)}}, {second, true, [][]shedkeel.Subject{with(d), with(u)}}}, shedkeel.Quarantined, shedkeel.Quarantined, shedkeel.Unblamed},
		"tried beside it, four servers":      {[]ended{{0, false, [][]shedkeel.Subject{with(k)}}, {0, false, [][]shedkeel.Subject{with(d)}}, {second, false, [][]shedkeel.Subject{with(d)}}, {second, true, [][]shedkeel.Subject{with(d), with(u)}}, {second, true, [][]shedkeel.Subject{with(d)}}}, shedkeel.Contained, shedkeel.Unblamed, shedkeel.Unblamed},
		"tried with a full record":           {append(lostAtOnce(with(d), 2*maxPartServers), ended{second, true, [][]shedkeel.Subject{with(d)}}), shedkeel.Contained, shedkeel.Unblamed, shedkeel.Unblamed},
		"harmless before, one server":        {[]ended{{0, false, [][]shedkeel.Subject{with(k)}}}, shedkeel.Unblamed, shedkeel.Unblamed, shedkeel.Unblamed},
		"harmless before, three at once":     {[]ended{{0, false, [][]shedkeel.Subject{with(k)}}, {0, false, [][]shedkeel.Subject{with(k)}}, {0, false, [][]shedkeel.Subject{with(k)}}}, shedkeel.Unblamed, shedkeel.Unblamed, shedkeel.Unblamed},
		"harmless before, three in turn":     {[]ended{{0, false, [][]shedkeel.Subject{with(k)}}, {second, false, [][]shedkeel.Subject{with(k)}}, {second, false, [][]shedkeel.Subject{with(k)}}}, shedkeel.Unblamed, shedkeel.Unblamed, shedkeel.Contained},
		"harmless before, a suspect as well": {[]ended{{0, false, [][]shedkeel.Subject{with(k, d)}}, {second, false, [][]shedkeel.Subject{with(k)}}, {second, false, [][]shedkeel.Subject{with(k)}}}, shedkeel.Quarantined, shedkeel.Unblamed, shedkeel.Unblamed},
		"requests without parts":             {[]ended{{0, false, [][]shedkeel.Subject{nil}}, {second, false, [][]shedkeel.Subject{nil}}, {second, false, [][]shedkeel.Subject{nil}}}, shedkeel.Unblamed, shedkeel.Unblamed, shedkeel.Unblamed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newDetector()
			harness.PartsHarmless(with(k), harness.now-time.Minute)
			for index, ended := range test.ends {
				harness.now += ended.after
				harness.end(shedkeel.InstanceID(fmt.Sprint("s", index)), ended.onTrial, ended.requests...)
			}
			assert.Equal(t, harness.judge(d), test.d)
			assert.Equal(t, harness.judge(u), test.u)
			assert.Equal(t, harness.judge(k), test.k)
		})
	}
}

// TestHarmlessNodeRefutes checks that a node which knows a part to be harmless clears a record that
// suspects it, once, and that the collector then knows it as well.
func TestHarmlessNodeRefutes(t *testing.T) {
	collector, knowing := newDetector(), newDetector()
	knowing.PartsHarmless([]shedkeel.Subject{part("k")}, knowing.now)
	collector.end("s0", false, []shedkeel.Subject{part("k")})
	blame := collector.Ledger.Blame(part("k"))
	assert.Equal(t, Judge(blame), shedkeel.Quarantined)
	cleared, _, refuted := knowing.Merge(blame, knowing.now)
	assert.Assert(t, refuted)
	_, changed, _ := collector.Merge(cleared, collector.now)
	assert.Assert(t, changed)
	assert.Equal(t, collector.judge(part("k")), shedkeel.Unblamed)
	collector.end("s1", false, []shedkeel.Subject{part("k")})
	assert.Equal(t, collector.judge(part("k")), shedkeel.Unblamed, "the collector has not learned that the part is harmless")
	blame.WasHarmless, blame.Round = true, 9
	_, _, refuted = knowing.Merge(blame, knowing.now)
	assert.Assert(t, !refuted, "a part that has become deadly was refuted by what was known before")
}

// TestWithdrawnRequestCounts checks that a server terminates under a part although the request with it
// was withdrawn shortly before, but not long before.
func TestWithdrawnRequestCounts(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		count int
	}{"shortly": {withdrawalTime / 2, 2}, "long": {2 * withdrawalTime, 1}} {
		t.Run(name, func(t *testing.T) {
			harness := newDetector()
			harness.end("s0", false, []shedkeel.Subject{part("d")})
			harness.Withdrawn(part("d"), "s1", harness.now)
			harness.now += test.pause
			harness.end("s1", false, nil)
			assert.Equal(t, len(harness.Ledger.Blame(part("d")).Servers), test.count)
		})
	}
}

// TestTrials checks that a suspect is tried by one request at a time, not before the reports of the last
// termination have arrived, and away from other trials.
func TestTrials(t *testing.T) {
	harness := newDetector()
	d, u := []shedkeel.Subject{part("d")}, []shedkeel.Subject{part("u")}
	harness.end("s0", false, d, u)
	assert.Equal(t, harness.AllowTrial(d, harness.now).Wait, settleTime)
	harness.now += settleTime
	assert.Assert(t, harness.AllowTrial(d, harness.now).Allowed)
	harness.PlaceTrial(d, "s1")
	decision := harness.AllowTrial(d, harness.now)
	assert.Assert(t, !decision.Allowed && decision.Wait == 0)
	decision = harness.AllowTrial(u, harness.now)
	assert.Assert(t, decision.Allowed)
	assert.DeepEqual(t, decision.Avoid, []shedkeel.InstanceID{"s1"})
	harness.EndTrial(d)
	assert.Assert(t, harness.AllowTrial(d, harness.now).Allowed)
	harness.now += trialExpiry
	assert.Assert(t, harness.AllowTrial(d, harness.now).Allowed, "a trial whose end was lost blocks the part")
	assert.Assert(t, harness.AllowTrial([]shedkeel.Subject{part("other")}, harness.now).Allowed)
}

// TestPartsAreLetGo checks that a quarantined part is cleared and a contained one is tried again after a
// while without evidence, later each time, and that one termination then contains it again.
func TestPartsAreLetGo(t *testing.T) {
	harness := newDetector()
	d, owns := part("d"), func(shedkeel.Subject) bool { return true }
	harness.end("s0", false, []shedkeel.Subject{d})
	harness.now += quarantineAge
	harness.Review(owns, harness.now)
	assert.Equal(t, harness.judge(d), shedkeel.Unblamed)
	for index := range containThreshold {
		harness.now += time.Second
		harness.end(shedkeel.InstanceID(fmt.Sprint("a", index)), false, []shedkeel.Subject{d})
	}
	wait := 2 * containAge // the part is in its second round
	for round := range 3 {
		assert.Equal(t, harness.judge(d), shedkeel.Contained, "round %d", round)
		harness.now += wait - time.Second
		harness.Review(owns, harness.now)
		assert.Equal(t, harness.judge(d), shedkeel.Contained, "round %d", round)
		harness.now += time.Second
		harness.Review(func(shedkeel.Subject) bool { return false }, harness.now)
		assert.Equal(t, harness.judge(d), shedkeel.Contained, "a node that does not decide has released the part")
		harness.Review(owns, harness.now)
		assert.Equal(t, harness.judge(d), shedkeel.Quarantined, "round %d", round)
		harness.end(shedkeel.InstanceID(fmt.Sprint("b", round)), true, []shedkeel.Subject{d})
		wait *= 2
	}
	harness.PartsHarmless([]shedkeel.Subject{d}, harness.now)
	assert.Equal(t, harness.judge(d), shedkeel.Unblamed)
	assert.Assert(t, harness.Ledger.Idle())
}

// TestContainedPartExplainsItsServers checks that servers which a contained part has terminated do not
// count against digests and other parts.
func TestContainedPartExplainsItsServers(t *testing.T) {
	harness := newDetector()
	d, u := part("d"), part("u")
	for index := range containThreshold {
		server := shedkeel.InstanceID(fmt.Sprint("s", index))
		harness.now += time.Second
		harness.end(server, false, []shedkeel.Subject{d})
		harness.Ledger.RecordFailure("digest", server)
	}
	harness.end("s2", false, []shedkeel.Subject{u})
	assert.Equal(t, harness.Ledger.Judge("digest"), shedkeel.Contained)
	assert.Equal(t, harness.judge(d), shedkeel.Contained)
	assert.Equal(t, harness.judge(u), shedkeel.Unblamed)
	assert.Equal(t, harness.Ledger.Judge("digest"), shedkeel.Unblamed)
	harness.Ledger.RecordFailure("digest", "other")
	assert.Equal(t, harness.Ledger.Judge("digest"), shedkeel.Unblamed, "the record of a digest is full of servers that are explained")
}

// TestHistoryIsBounded checks that a flood of other parts does not drop a part that is in use.
func TestHistoryIsBounded(t *testing.T) {
	history := &History{}
	for index := range 5 * historyGeneration {
		history.Harmless(part(fmt.Sprint("flood", index)), time.Hour)
		history.Harmless(part("used"), time.Hour)
	}
	assert.Assert(t, len(history.current)+len(history.previous) <= 2*historyGeneration)
	_, harmless := history.HarmlessSince(part("used"), time.Hour)
	assert.Assert(t, harmless)
	_, harmless = history.HarmlessSince(part("used"), time.Hour+harmlessAge+1)
	assert.Assert(t, !harmless, "knowledge does not grow old")
}

// BenchmarkPartsHarmless measures what an answered request costs while no part is suspected.
func BenchmarkPartsHarmless(b *testing.B) {
	detector := &PartDetector{Ledger: &Ledger{}}
	parts := []shedkeel.Subject{part("first"), part("second")}
	b.ReportAllocs()
	for b.Loop() {
		detector.PartsHarmless(parts, time.Hour)
	}
}
