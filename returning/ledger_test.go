package returning_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/returning"
)

const (
	start          = time.Minute            // virtual time of the first refusal
	refusalSpan    = 50 * time.Millisecond  // within which a crowd is refused
	soonest        = 100 * time.Millisecond // from a refusal to earliest
	longest        = 2600 * time.Millisecond
	callersPerBox  = 40
	capacityPerBox = 10 // reservations per second; 25 of the 40 callers fit into soonest to longest
)

var boxCounts = map[string]int{"9 boxes": 9, "66 boxes": 66, "300 boxes": 300}

// crowd holds the answers to callers that were refused together, and the times in these answers.
type crowd struct {
	answers          []answer
	promised, others []time.Duration
}

type answer struct {
	digest      uint64
	refused, at time.Duration
	promised    bool
}

// refuse refuses count callers within refusalSpan from now, with the digests from first on.
func refuse(ledger *returning.Ledger, first, count int, rate float64, now time.Duration) (crowd crowd) {
	for index := range count {
		digest, refused := uint64(first+index), now+refusalSpan*time.Duration(index)/time.Duration(count)
		at, promised := ledger.Promise(digest, refused+soonest, refused+longest, rate, refused)
		crowd.answers = append(crowd.answers, answer{digest, refused, at, promised})
		if promised {
			crowd.promised = append(crowd.promised, at)
		} else {
			crowd.others = append(crowd.others, at)
		}
	}
	return crowd
}

// redeemed returns how many callers Redeem accepts. Each returns twice at its time, but not before wake.
func redeemed(ledger *returning.Ledger, wake time.Duration, answers ...answer) (count int) {
	for _, answer := range slices.SortedFunc(slices.Values(answers), func(a, b answer) int { return cmp.Compare(a.at, b.at) }) {
		for range 2 {
			if ledger.Redeem(answer.digest, max(answer.at, wake)) {
				count++
			}
		}
	}
	return count
}

// peak returns the largest number of times in any window, both ends included.
func peak(window time.Duration, times ...time.Duration) (most int) {
	slices.Sort(times)
	first := 0
	for last := range times {
		for times[last]-times[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestCrowdReturnsSpread guards against a crowd that returns together: more reserved times in a
// second than the rate, reserved times left unused, and other times that bunch. Each caller that
// returns as told is redeemed exactly once.
func TestCrowdReturnsSpread(t *testing.T) {
	for name, boxes := range boxCounts {
		t.Run(name, func(t *testing.T) {
			var ledger returning.Ledger
			rate := capacityPerBox * boxes
			crowd := refuse(&ledger, 0, callersPerBox*boxes, float64(rate), start)
			for _, answer := range crowd.answers {
				least := answer.refused + soonest
				if !answer.promised {
					least += (longest - soonest) / 2
				}
				assert.Assert(t, answer.at >= least && answer.at <= answer.refused+longest, "%+v", answer)
			}
			assert.Assert(t, peak(time.Second, crowd.promised...) <= rate+1)
			assert.Assert(t, float64(len(crowd.promised)) >= float64(rate)*(longest-soonest).Seconds(), "%d", len(crowd.promised))
			fair := float64(len(crowd.others)) * 0.1 / ((longest - soonest) / 2).Seconds()
			assert.Assert(t, float64(peak(100*time.Millisecond, crowd.others...)) <= 1.5*fair+1)
			assert.Equal(t, ledger.Len(), len(crowd.promised))
			assert.Equal(t, redeemed(&ledger, start, crowd.answers...), len(crowd.promised))
			assert.Equal(t, ledger.Len(), 0)
		})
	}
}

// TestReservedTimesKeepRate guards against a schedule that exceeds the rate or drifts behind it.
// For a minute more callers with mixed waits are refused than the rate allows. Half of the
// reservations are redeemed as early as possible, and the others expire.
func TestReservedTimesKeepRate(t *testing.T) {
	for name, rate := range map[string]float64{"one in 10 s": 0.1, "one in 2 s": 0.5, "3": 3, "7.3": 7.3, "90": 90, "240": 240} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var ledger returning.Ledger
			var reserved []time.Duration
			due := map[uint64]time.Duration{}
			for now := start; now < start+time.Minute; now += time.Duration(float64(time.Second) / rate / 3) {
				digest, earliest := random.Uint64(), now+time.Duration(random.Int64N(int64(200*time.Millisecond)))
				if at, promised := ledger.Promise(digest, earliest, now+longest, rate, now); promised {
					reserved = append(reserved, at)
					due[digest] = at
				}
				for digest, at := range due {
					if now >= at-20*time.Millisecond {
						assert.Assert(t, digest%2 == 0 || ledger.Redeem(digest, now) == (now <= at+time.Second))
						delete(due, digest)
					}
				}
			}
			assert.Assert(t, float64(peak(time.Second, reserved...)) <= rate+1)
			fair, got := rate*time.Minute.Seconds(), float64(len(reserved))
			assert.Assert(t, got >= 0.9*fair && got <= fair+rate*longest.Seconds()+1, "%f of %f", got, fair)
		})
	}
}

// TestRedeemTimes guards against a reservation that is redeemed too early, too late or twice, and
// against an early return that moves or uses up the reservation.
func TestRedeemTimes(t *testing.T) {
	for name, test := range map[string]struct {
		offset   time.Duration // of the return from the reserved time
		redeemed bool
		again    bool // whether another return at the reserved time, or at once if that is past, is redeemed
	}{
		"at once":             {-soonest, false, true},
		"just too early":      {-20*time.Millisecond - 1, false, true},
		"early within bounds": {-20 * time.Millisecond, true, false},
		"in time":             {0, true, false},
		"late within bounds":  {time.Second, true, false},
		"just too late":       {time.Second + 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger returning.Ledger
			at, promised := ledger.Promise(7, start+soonest, start+longest, 10, start)
			assert.Assert(t, promised && at == start+soonest)
			now := at + test.offset
			assert.Equal(t, ledger.Redeem(7, now), test.redeemed)
			if test.again { // the reservation stands, whatever the new bounds and the rate
				same, promised := ledger.Promise(7, now+longest, now+2*longest, 0, now)
				assert.Assert(t, promised && same == at)
			}
			now = max(now, at)
			assert.Equal(t, ledger.Redeem(7, now), test.again)
			next, promised := ledger.Promise(7, start, now+longest, 10, now)
			assert.Assert(t, promised && next >= max(now, at+100*time.Millisecond), "a used or expired time is free again")
		})
	}
}

// TestFreeTimes guards against a free time between reserved ones that stays unused, a time in the
// past for a caller that missed its own, and a caller without a promise that is never or too soon
// promised a time.
func TestFreeTimes(t *testing.T) {
	var ledger returning.Ledger
	for digest, test := range []struct{ earliest, want time.Duration }{{0, 0}, {200, 200}, {0, 100}, {0, 300}, {450, 450}, {310, 550}} {
		at, promised := ledger.Promise(uint64(digest), start+test.earliest*time.Millisecond, start+longest, 10, start)
		assert.Assert(t, promised && at == start+test.want*time.Millisecond, "%s", at)
	}
	at, promised := ledger.Promise(0, start, start+longest, 10, start+longest/4) // the first caller missed its time
	assert.Assert(t, promised && at == start+longest/4, "%s", at)
	at, promised = ledger.Promise(0, start+longest, 2*start, 10, at)
	assert.Assert(t, promised && at == start+longest/4, "%s", at)
	told, promised := ledger.Promise(9, start+2*time.Second, start+3*time.Second, 0.01, start+longest/4)
	assert.Assert(t, !promised)
	_, promised = ledger.Promise(9, told-1, start+longest, 10, told-1)
	assert.Assert(t, !promised)
	_, promised = ledger.Promise(9, told, start+longest, 10, told)
	assert.Assert(t, promised)
}

// TestRepeatingCallersTakeNothing guards against callers that gain by retrying at once and often:
// nobody's reserved time differs from a crowd in which nobody repeats.
func TestRepeatingCallersTakeNothing(t *testing.T) {
	var calm, pressed returning.Ledger
	answers := refuse(&calm, 0, 300, 80, start).answers
	for index, answer := range answers {
		for _, repeated := range answers[max(0, index-20) : index+1] { // this caller, and the last 20 again
			assert.Assert(t, !pressed.Redeem(repeated.digest, answer.refused))
			at, promised := pressed.Promise(repeated.digest, answer.refused+soonest, answer.refused+longest, 80, answer.refused)
			assert.Assert(t, promised == repeated.promised && (!promised || at == repeated.at), "%+v: %s", repeated, at)
		}
	}
	assert.Equal(t, pressed.Len(), calm.Len())
}

// TestNothingPromised guards against reservations without capacity and against times in the past.
func TestNothingPromised(t *testing.T) {
	const half, second = start + time.Second/2, start + time.Second
	for name, test := range map[string]struct {
		rate             float64
		earliest, latest time.Duration
		least, most      time.Duration // bounds of the time returned
	}{
		"rate 0":                    {0, start, second, half, second},
		"negative rate":             {-1, start, second, half, second},
		"rate is not a number":      {math.NaN(), start, second, half, second},
		"times before now":          {0, 0, time.Second, start, start},
		"latest before earliest":    {0, second, start, second, second},
		"all taken":                 {1, start, second - 1, half - 1, second},
		"all taken for over a year": {1e-30, start, second, half, second},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger returning.Ledger
			_, _ = ledger.Promise(1, start, start, test.rate, start) // takes start where the rate is above 0
			at, promised := ledger.Promise(2, test.earliest, test.latest, test.rate, start)
			assert.Assert(t, !promised && at >= test.least && at <= test.most, "%s", at)
			assert.Assert(t, !ledger.Redeem(2, at))
		})
	}
}

// TestReservationsAreBounded guards against a ledger that grows without bound, by open or redeemed
// reservations or denied requests, and against one that stays full after they are gone.
func TestReservationsAreBounded(t *testing.T) {
	var ledger returning.Ledger
	promise := func(digest uint64, now time.Duration) bool {
		earliest := now + time.Duration(digest)*10*time.Microsecond // a free time at that rate, which shortens the search
		_, promised := ledger.Promise(digest, earliest, now+time.Second, 100_000, now)
		return promised
	}
	for digest := range uint64(30_000) {
		assert.Equal(t, promise(digest, start), digest < returning.MaxReservations)
	}
	assert.Equal(t, ledger.Len(), returning.MaxReservations)
	for digest := range uint64(30_000) { // all are redeemed, and as many are promised again
		assert.Equal(t, ledger.Redeem(digest, start+300*time.Millisecond), digest < returning.MaxReservations)
		assert.Equal(t, promise(30_000+digest, start+300*time.Millisecond), digest < returning.MaxReservations)
	}
	assert.Assert(t, ledger.Redeem(30_000, start+600*time.Millisecond))
	assert.Assert(t, !promise(70_000, start+600*time.Millisecond), "redeemed reservations are kept without bound")
	assert.Assert(t, promise(1, start+time.Minute))
	assert.Equal(t, ledger.Len(), 1)
	ledger = returning.Ledger{}
	forgotten := 0
	for digest := range uint64(30_000) {
		_, first := ledger.Promise(digest, start, start+time.Second/2, 1, start)
		assert.Equal(t, first, digest == 0)
	}
	for digest := range uint64(30_000) {
		if digest > 0 && promise(digest, start) {
			forgotten++
		}
	}
	assert.Equal(t, forgotten, 30_000-1-returning.MaxReservations)
	assert.Assert(t, promise(1, start+time.Minute))
	_, _ = ledger.Promise(2, start+time.Minute, start+time.Minute+time.Second/2, 1, start+time.Minute)
	assert.Assert(t, !promise(2, start+time.Minute), "denied requests are kept after their time")
}

// TestNodeFails guards against reservations that survive or multiply when the node that holds them
// fails after a crowd was refused: those that are lost or expired are not redeemed, the others once.
// A second crowd, refused when the fault ends, gets times that keep the rate and are not past.
func TestNodeFails(t *testing.T) {
	const rate, count = 90, 360
	for name, test := range map[string]struct {
		restarted bool
		frozen    time.Duration
	}{"restarted": {true, 0}, "frozen for 2 s": {false, 2 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			var ledger returning.Ledger
			first, wake, want := refuse(&ledger, 0, count, rate, start), start+refusalSpan+test.frozen, 0
			reserved := first.promised
			if test.restarted {
				ledger, reserved = returning.Ledger{}, nil
			}
			for _, at := range reserved {
				if at+time.Second >= wake+refusalSpan {
					want++
				}
			}
			second := refuse(&ledger, count, count, rate, wake)
			assert.Assert(t, slices.Min(second.promised) >= wake+soonest)
			assert.Assert(t, peak(time.Second, slices.Concat(reserved, second.promised)...) <= rate+1)
			assert.Equal(t, redeemed(&ledger, wake+refusalSpan, first.answers...), want)
		})
	}
}

// TestPartition guards against callers that a node redeems twice or for another node: two nodes that
// do not hear of each other refuse a crowd, half of it both, and then all return to the first node.
func TestPartition(t *testing.T) {
	const rate, count = 90, 180
	var nodes [2]returning.Ledger
	first, second := refuse(&nodes[0], 0, count, rate, start), refuse(&nodes[1], count/2, count, rate, start)
	assert.Assert(t, peak(time.Second, slices.Concat(first.promised, second.promised)...) <= 2*(rate+1))
	assert.Equal(t, redeemed(&nodes[0], start, slices.Concat(first.answers, second.answers)...), len(first.promised))
}

// TestCompareWays logs how many callers of a crowd return in the worst 100 ms, and how many are
// served, by three ways. It fails if the reservations do not return far more evenly than the fixed
// delay of package serve, or if a promised caller is not served.
func TestCompareWays(t *testing.T) {
	for name, boxes := range boxCounts {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			rate := float64(capacityPerBox * boxes)
			crowd := refuse(&returning.Ledger{}, 0, callersPerBox*boxes, rate, start)
			var fixed, uniform []time.Duration
			for _, answer := range crowd.answers {
				fixed = append(fixed, answer.refused+time.Duration(float64(700*time.Millisecond)*(1-0.25*random.Float64())))
				uniform = append(uniform, answer.refused+soonest+time.Duration(random.Int64N(int64(longest-soonest))))
			}
			all := slices.Concat(crowd.promised, crowd.others)
			names := []string{"fixed delay with jitter", "evenly, nothing reserved", "reservations", "reservations, promised callers alone"}
			for index, times := range [][]time.Duration{fixed, uniform, all, crowd.promised} {
				t.Logf("%s: peak in 100 ms %d, served %d of %d", names[index], peak(100*time.Millisecond, times...), served(times, rate), len(times))
			}
			assert.Assert(t, peak(100*time.Millisecond, all...)*4 < peak(100*time.Millisecond, fixed...))
			assert.Equal(t, served(crowd.promised, rate), len(crowd.promised))
		})
	}
}

// served returns how many callers that return at the times are served at the rate, if each
// waits for at most 100 ms and the others are refused.
func served(times []time.Duration, rate float64) (count int) {
	free := time.Duration(0)
	for _, at := range slices.Sorted(slices.Values(times)) {
		if free = max(free, at); free-at <= 100*time.Millisecond {
			count++
			free += time.Duration(float64(time.Second) / rate)
		}
	}
	return count
}

// BenchmarkPromise measures a refusal while all times are reserved, which is the longest search.
func BenchmarkPromise(b *testing.B) {
	for name, count := range map[string]int{"7500": 7500, "20000": returning.MaxReservations} {
		b.Run(name, func(b *testing.B) {
			var ledger returning.Ledger
			rate := float64(count) / (longest - soonest).Seconds()
			refuse(&ledger, 0, count-1, rate, start)
			for digest := uint64(count); b.Loop(); digest++ {
				_, _ = ledger.Promise(digest, start+soonest, start+longest-10*time.Millisecond, rate, start)
			}
		})
	}
}
