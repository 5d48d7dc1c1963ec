package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestMaxMin guards against shares that waste capacity or serve a large demand before a small one.
func TestMaxMin(t *testing.T) {
	cases := map[string]struct {
		demands  []float64
		capacity float64
		want     []float64
	}{
		"no demand":         {nil, 1, []float64{}},
		"enough":            {[]float64{1, 2}, 4, []float64{1, 2}},
		"equal":             {[]float64{5, 5}, 4, []float64{2, 2}},
		"small ones first":  {[]float64{9, 1, 9}, 7, []float64{3, 1, 3}},
		"several levels":    {[]float64{1, 2, 3, 30}, 10, []float64{1, 2, 3, 4}},
		"no capacity":       {[]float64{1, 2}, 0, []float64{0, 0}},
		"negative demand":   {[]float64{-1, 5}, 4, []float64{0, 4}},
		"negative capacity": {[]float64{1}, -1, []float64{0}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, MaxMin(test.demands, test.capacity), test.want)
		})
	}
}

// TestMaxMinProperties guards against the same with random demands: the shares add up to the
// capacity or the demands, and an account that is not covered has the largest share.
func TestMaxMinProperties(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		demands, total := make([]float64, 1+random.IntN(30)), 0.0
		for index := range demands {
			demands[index] = random.ExpFloat64()
			total += demands[index]
		}
		capacity := total * 2 * random.Float64()
		sum, largest := 0.0, 0.0
		shares := MaxMin(demands, capacity)
		for _, share := range shares {
			sum += share
			largest = max(largest, share)
		}
		assert.Assert(t, math.Abs(sum-min(total, capacity)) < 1e-9)
		for index, share := range shares {
			assert.Assert(t, share == demands[index] || share == largest, "%v of %v: %v", capacity, demands, shares)
		}
	}
}

// drive lets accounts of rank 0 ask at constant rates, in work per second, and admits at most
// the capacity. It returns the time at which it ends.
func drive(shares *Shares, demands map[shedkeel.AccountID]float64, capacity float64, from, length time.Duration) time.Duration {
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	for now := from; now < from+length; now += time.Millisecond {
		for account, demand := range demands {
			shares.Ask(account, 0, demand/1000, now)
		}
		shares.Admitted(min(total, capacity)/1000, now)
	}
	return from + length
}

// TestCoveredWithoutShortage guards against refusals for lack of history and while nothing is short.
func TestCoveredWithoutShortage(t *testing.T) {
	cases := map[string]func(shares *Shares) (now time.Duration){
		"zero value": func(*Shares) time.Duration { return 0 },
		"less than 0.1 s of history": func(shares *Shares) time.Duration {
			return drive(shares, map[shedkeel.AccountID]float64{"a": 50, "b": 1}, 10, 0, 149*time.Millisecond) // it begins at 50 ms
		},
		"demand within the capacity": func(shares *Shares) time.Duration {
			return drive(shares, map[shedkeel.AccountID]float64{"a": 9, "b": 1}, 10, 0, 3*time.Second)
		},
		"nothing admitted": func(shares *Shares) time.Duration {
			return drive(shares, map[shedkeel.AccountID]float64{"a": 9, "b": 1}, 0, 0, 3*time.Second)
		},
		"first request after a pause": func(shares *Shares) time.Duration {
			now := drive(shares, map[shedkeel.AccountID]float64{"a": 50, "b": 1}, 10, 0, 3*time.Second) + 600*time.Millisecond
			shares.Ask("a", 0, 1, now)
			return now
		},
		"one request a second": func(shares *Shares) time.Duration {
			now := time.Duration(0)
			for ; now < 10*time.Second; now += time.Second {
				shares.Ask("a", 0, 1, now)
				shares.Admitted(1, now)
			}
			shares.Ask("a", 0, 1, now)
			return now
		},
		"invalid work": func(shares *Shares) time.Duration {
			now := drive(shares, map[shedkeel.AccountID]float64{"a": 9, "b": 1}, 10, 0, time.Second)
			for _, work := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
				shares.Ask("a", 0, work, now)
				shares.Admitted(work, now)
			}
			return drive(shares, map[shedkeel.AccountID]float64{"a": 9, "b": 1}, 10, now, time.Second)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			shares := &Shares{}
			now := prepare(shares)
			assert.Equal(t, shares.Covered("a", 0, now), 1.0)
			assert.Equal(t, shares.Covered("b", 0, now), 1.0)
			assert.Equal(t, shares.Covered("unknown", 0, now), 1.0)
		})
	}
}

// TestSharesMove guards against shares that follow a change later than within 0.5 s.
func TestSharesMove(t *testing.T) {
	before := map[shedkeel.AccountID]float64{"a": 30, "b": 30, "c": 5}
	cases := map[string]struct {
		demands  map[shedkeel.AccountID]float64
		capacity float64
		want     map[shedkeel.AccountID]float64
	}{
		"a large account appears":      {map[shedkeel.AccountID]float64{"a": 30, "b": 30, "c": 5, "d": 90}, 40, map[shedkeel.AccountID]float64{"a": 35. / 3, "b": 35. / 3, "c": 5, "d": 35. / 3}},
		"a large account stops":        {map[shedkeel.AccountID]float64{"a": 60, "c": 5}, 40, map[shedkeel.AccountID]float64{"a": 35, "c": 5}},
		"a small account asks more":    {map[shedkeel.AccountID]float64{"a": 30, "b": 30, "c": 20}, 40, map[shedkeel.AccountID]float64{"a": 40. / 3, "b": 40. / 3, "c": 40. / 3}},
		"the capacity grows by a half": {before, 60, map[shedkeel.AccountID]float64{"a": 27.5, "b": 27.5, "c": 5}},
		"a quarter of it is lost":      {before, 30, map[shedkeel.AccountID]float64{"a": 12.5, "b": 12.5, "c": 5}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			shares := &Shares{}
			now := drive(shares, before, 40, 0, 3*time.Second)
			now = drive(shares, test.demands, test.capacity, now, window)
			got := shares.Usage(now)
			assert.Equal(t, len(got), len(test.demands))
			for _, usage := range got {
				want := test.want[usage.Account]
				assert.Assert(t, math.Abs(usage.Share-want) <= 0.1*want, "%s: share %.2f, want %.2f", usage.Account, usage.Share, want)
			}
		})
	}
}

// TestMomentaryStall guards against shares that collapse while nothing is admitted for up to 0.5 s.
func TestMomentaryStall(t *testing.T) {
	shares := &Shares{}
	demands := map[shedkeel.AccountID]float64{"large": 100, "small": 5}
	now := drive(shares, demands, 40, 0, 5*time.Second)
	for range periods {
		now = drive(shares, demands, 0, now, period)
		assert.Equal(t, shares.Covered("small", 0, now), 1.0)
		assert.Assert(t, shares.Covered("large", 0, now) >= 0.5*35/100)
	}
	now = drive(shares, demands, 40, now, window)
	assert.Assert(t, shares.Covered("large", 0, now) >= 0.9*35/100)
}

// TestFewRequests guards against a model that admits one request in a window and then covers nobody.
func TestFewRequests(t *testing.T) {
	shares := &Shares{}
	now := time.Duration(0)
	for ; now < 5*time.Second; now += window {
		shares.Ask("a", 0, 1, now)
		shares.Ask("b", 0, 1, now)
		shares.Admitted(1, now)
	}
	assert.Assert(t, shares.Covered("a", 0, now) > 0)
	assert.Equal(t, shares.Covered("a", 0, now), shares.Covered("b", 0, now))
}

// TestRanks guards against ranks that take capacity from more urgent ones, also in the first
// request of an account.
func TestRanks(t *testing.T) {
	shares := &Shares{}
	now := time.Duration(0)
	for ; now < 2*time.Second; now += time.Millisecond {
		shares.Ask("urgent", 0, 0.030, now)
		shares.Ask("a", 3, 0.080, now)
		shares.Ask("b", 3, 0.002, now)
		shares.Ask("last", 7, 0.001, now)
		shares.Admitted(0.040, now)
	}
	assert.Equal(t, shares.Covered("urgent", 0, now), 1.0)
	assert.Equal(t, shares.Covered("b", 3, now), 1.0)
	assert.Assert(t, math.Abs(shares.Covered("a", 3, now)-0.1) < 0.03) // 8 of 80, less headroom
	assert.Equal(t, shares.Covered("last", 7, now), 0.0)
	for rank, want := range map[int]float64{-1: 1, 0: 1, 2: 1, 3: 1, 9: 0} {
		shares.Ask("new", rank, 1, now)
		assert.Equal(t, shares.Covered("new", rank, now), want, "rank %d", rank)
	}
	var accounts []shedkeel.AccountID
	for _, usage := range shares.Usage(now) {
		accounts = append(accounts, usage.Account)
	}
	assert.DeepEqual(t, accounts, []shedkeel.AccountID{"urgent", "a", "b", "last"})
}

// TestBound guards against memory that grows with the number of accounts, and against active
// accounts that lose their state to accounts that ask once.
func TestBound(t *testing.T) {
	shares := &Shares{}
	now := drive(shares, map[shedkeel.AccountID]float64{"large": 100, "small": 5}, 40, 0, time.Second)
	for index := range 20 * maxAccounts {
		now += 10 * time.Microsecond
		shares.Ask("small", 0, 0.00005, now)
		shares.Ask("large", 0, 0.001, now)
		shares.Admitted(0.0004, now)
		shares.Ask(shedkeel.AccountID(fmt.Sprint("once-", index)), 0, 1e-9, now)
		assert.Assert(t, len(shares.accounts) <= maxAccounts)
	}
	assert.Equal(t, len(shares.accounts), maxAccounts)
	assert.Equal(t, shares.Covered("small", 0, now), 1.0)
	assert.Assert(t, math.Abs(shares.Covered("large", 0, now)-0.35) < 0.03)
	assert.Equal(t, len(shares.Usage(now+time.Second)), 0)
	assert.Assert(t, shares.accounts == nil, "accounts must be removed when there are no requests")
}

// TestManySparseAccounts guards against accounts with few requests that are all covered
// because any one of them may exceed its share by chance.
func TestManySparseAccounts(t *testing.T) {
	shares, random := &Shares{}, rand.New(rand.NewPCG(1, 1))
	within, free, seconds := 0.0, 0.0, 10.0
	for now := time.Duration(0); now < 12*time.Second; now += time.Millisecond {
		id := shedkeel.AccountID(fmt.Sprint("sparse-", random.IntN(500)))
		shares.Ask(id, 0, 0.1, now) // 100 work per second, of which 40 are admitted
		if now >= 2*time.Second {
			within += 0.1 * shares.Covered(id, 0, now)
		}
		if free += 0.04; free >= 0.1 {
			shares.Admitted(0.1, now)
			free -= 0.1
		}
	}
	assert.Assert(t, within <= 40*seconds, "work of %.1f per second within the shares", within/seconds)
}

// TestClockSteps guards against failures by times that step back or precede 0.
func TestClockSteps(t *testing.T) {
	shares := &Shares{}
	demands := map[shedkeel.AccountID]float64{"large": 100, "small": 5}
	drive(shares, demands, 40, -time.Second, 3*time.Second)
	drive(shares, demands, 40, time.Second, 6*time.Second)
	assert.Equal(t, shares.Covered("small", 0, 0), 1.0)
	assert.Assert(t, math.Abs(shares.Covered("large", 0, 0)-0.35) < 0.03)
}

// BenchmarkRequest measures what one request costs a keeper at 2,000 requests per second.
func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{24, maxAccounts} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			shares, ids := &Shares{}, make([]shedkeel.AccountID, accounts)
			for index := range ids {
				ids[index] = shedkeel.AccountID(fmt.Sprint("account-", index))
			}
			b.ReportAllocs()
			for index := range b.N {
				now, id := time.Duration(index)*500*time.Microsecond, ids[index%accounts]
				shares.Ask(id, 0, 1, now)
				if shares.Covered(id, 0, now) > 0.5 {
					shares.Admitted(0.5, now)
				}
			}
		})
	}
}
