// Package fairshare computes the max-min fair shares of client accounts while a model is short
// of capacity. It handles sustained overload in which a few large accounts request many times
// their share: accounts that request less than theirs stay covered, and capacity that they do
// not request goes to the others. Times are durations on a monotonic clock.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// period is the time between two computations of the shares.
	period = 50 * time.Millisecond
	// periods is the number of periods in the window over which rates are measured.
	periods = 10
	// window is the time over which rates are measured.
	window = periods * period
	// minHistory is the shortest history from which shares are computed.
	minHistory = 100 * time.Millisecond
	// maxAccounts bounds memory and the time that computing the shares takes.
	maxAccounts = 1000
	// idlePeriods is the number of periods after which an account without requests is removed.
	// Accounts with less than one request in a window need their average for longer than that.
	idlePeriods = 200
	// averageTime is the time constant of the averages of the measured rates.
	averageTime = 2 * time.Second
	// minCapacity is the fraction of the average rate of admitted work that counts as capacity at
	// least. Shares therefore last while little is admitted for a moment, and a lasting loss of a
	// quarter of the capacity still applies within one window.
	minCapacity = 0.75
	// headroom is the part of the capacity that is not divided, in standard deviations of the
	// admitted work. Without it, requests within their shares fill all slots, and their bursts
	// are refused.
	headroom = 1
	// minDivided is the fraction of the capacity that is divided at least, for models that admit
	// only a few requests in a window.
	minDivided = 0.5
	// tolerance is by how many standard deviations the demand of an account may exceed its share
	// while its average demand is within it. An account with a few requests in a window exceeds
	// its share by chance; one with many exceeds it noticeably with the first periods.
	tolerance = 2
	// roundingTolerance is the relative difference between two sums of the same work that is
	// due to the order of the additions.
	roundingTolerance = 1e-9
)

// Shares holds the demand and the fair shares of the accounts of one model. The zero value is
// ready to use. It is not safe for concurrent use. A time that precedes an earlier one counts
// as that one. An account counts once for each rank that it uses.
//
// The capacity is the rate of admitted work in the last 0.5 s, but at least 0.75 of its average
// with a time constant of 2 s, so that shares do not collapse when little is admitted for a
// moment. While nothing has been admitted yet, it is not known, and all demand is covered.
type Shares struct {
	accounts      map[key]*entry // nil: no history
	since         time.Duration  // start of the history
	now           time.Duration  // latest time that was passed
	index         int64          // current period, counted from time 0
	span          time.Duration  // time over which the rates were measured
	admitted      meter
	average       float64  // of the rate of admitted work, in work per second
	levels        levels   // by the demands in the window
	averageLevels levels   // by the average demands
	evicting      []*entry // less active half of the accounts, least active first
}

// Usage is the demand and the share of one account at one rank, in work (seconds of slot time)
// per second.
type Usage struct {
	Account shedkeel.AccountID
	Rank    int
	Asked   float64
	Share   float64 // at most Asked
}

type key struct {
	account shedkeel.AccountID
	rank    int
}

type entry struct {
	key
	meter
	asked   amount  // in the window before the current period
	demand  float64 // in that window, in work per second
	average float64 // of the demand, in work per second
	last    int64   // period of the last request
}

// Ask records a request of an account, whether it is admitted or not. work is the slot time in
// seconds that it is expected to take; work that is not positive and finite is ignored. Ask
// must precede Covered and Admitted for the same request.
func (shares *Shares) Ask(account shedkeel.AccountID, rank int, work float64, now time.Duration) {
	if !validWork(work) {
		return
	}
	// The shares are computed before the request counts, because it has not been admitted yet.
	shares.update(now)
	if shares.accounts == nil {
		shares.start()
	}
	id := key{account, rank}
	asking := shares.accounts[id]
	if asking == nil {
		if len(shares.accounts) >= maxAccounts {
			shares.evict()
		}
		asking = &entry{key: id}
		shares.accounts[id] = asking
	}
	asking.last = shares.index
	if shares.now >= shares.since {
		asking.current.add(work)
	}
}

// Admitted records work in seconds of slot time that was admitted for any account, also
// beyond its share. Work that is not positive and finite is ignored.
func (shares *Shares) Admitted(work float64, now time.Duration) {
	if !validWork(work) {
		return
	}
	shares.update(now)
	if shares.accounts != nil && shares.now >= shares.since {
		shares.admitted.current.add(work)
	}
}

// Covered returns the fraction of an account's demand at a rank that its share covers, from 0
// to 1. It is 1 while the history is shorter than 0.1 s, and while the capacity is not known or
// covers all demands. It is also 1 for an account whose average demand is within its share and
// whose present demand exceeds it by no more than chance explains, as with few requests.
func (shares *Shares) Covered(account shedkeel.AccountID, rank int, now time.Duration) float64 {
	shares.update(now)
	asking := shares.accounts[key{account, rank}]
	if asking == nil || len(shares.levels) == 0 {
		return 1
	}
	// The current period counts too: an account sends more requests than on average in windows
	// that end with one, and shares of earlier windows would cover too much of them.
	current := shares.now - time.Duration(shares.index)*period
	demand := asking.asked.plus(asking.current).rate(shares.span + max(current, 0))
	level := shares.levels.of(rank)
	if demand.work <= level || shares.exceedsByChance(asking, demand, level) {
		return 1
	}
	return level / demand.work
}

// exceedsByChance reports whether a demand above the level may be due to the random arrival of
// requests. The average of a history shorter than two windows is no better known than the demand.
func (shares *Shares) exceedsByChance(asking *entry, demand rate, level float64) bool {
	usual := shares.now-shares.since < 2*window || asking.average <= shares.averageLevels.of(asking.rank)
	return usual && level > 0 && demand.work-tolerance*demand.deviation <= level
}

// Usage returns the demand and the share of each account that requested work within the last
// 0.5 s, by rank and account.
func (shares *Shares) Usage(now time.Duration) []Usage {
	shares.update(now)
	usages := make([]Usage, 0, len(shares.accounts))
	for id, entry := range shares.accounts {
		if entry.demand == 0 {
			continue
		}
		usages = append(usages, Usage{id.account, id.rank, entry.demand, min(entry.demand, shares.levels.of(id.rank))})
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Account, b.Account))
	})
	return usages
}

// MaxMin returns the max-min fair shares of a capacity, in the order of the demands: no share
// exceeds its demand, and none can grow unless one that is not larger shrinks. Negative demands
// and capacities count as 0.
func MaxMin(demands []float64, capacity float64) []float64 {
	level := maxMinLevel(slices.Sorted(slices.Values(demands)), capacity)
	shares := make([]float64, len(demands))
	for index, demand := range demands {
		shares[index] = max(min(demand, level), 0)
	}
	return shares
}

// maxMinLevel returns the largest max-min fair share of demands in ascending order, or
// infinity if the capacity covers them.
func maxMinLevel(demands []float64, capacity float64) float64 {
	left := max(capacity, 0)
	for index, demand := range demands {
		equal := left / float64(len(demands)-index)
		if demand > equal {
			return equal
		}
		left -= max(demand, 0)
	}
	return math.Inf(1)
}

func validWork(work float64) bool {
	return work > 0 && !math.IsInf(work, 1)
}

// start begins the history with the next period: a node that was frozen reads all requests that
// have waited for it in its first moments, which are no measure of the demand.
func (shares *Shares) start() {
	shares.accounts = map[key]*entry{}
	shares.index = int64(shares.now / period)
	shares.since = time.Duration(shares.index+1) * period
}

// update computes the shares if a new period has begun. The history ends after a window without
// any request.
func (shares *Shares) update(now time.Duration) {
	shares.now = max(shares.now, now)
	index := int64(shares.now / period)
	if shares.accounts == nil || index == shares.index {
		return
	}
	elapsed := time.Duration(index-shares.index) * period
	history := time.Duration(index)*period - shares.since
	shares.span = min(max(history, minHistory), window)
	weight := -math.Expm1(-elapsed.Seconds() / averageTime.Seconds())
	total := 0.0
	entries := make([]*entry, 0, len(shares.accounts))
	for id, entry := range shares.accounts {
		if index-entry.last > idlePeriods {
			delete(shares.accounts, id)
			continue
		}
		entry.asked = entry.shift(shares.index, index)
		entry.demand = entry.asked.rate(shares.span).work
		entry.average += (entry.demand - entry.average) * weight
		total += entry.demand
		entries = append(entries, entry)
	}
	if total == 0 && history >= window {
		*shares = Shares{now: shares.now}
		return
	}
	admitted := shares.admitted.shift(shares.index, index).rate(shares.span)
	shares.index, shares.evicting, shares.levels, shares.averageLevels = index, nil, nil, nil
	shares.average += (admitted.work - shares.average) * weight
	capacity := max(admitted.work, minCapacity*shares.average)
	if history < minHistory || capacity == 0 || total <= capacity*(1+roundingTolerance) {
		return
	}
	divided := max(capacity-headroom*admitted.deviation, minDivided*capacity)
	shares.levels = divide(entries, divided, func(entry *entry) float64 { return entry.demand })
	shares.averageLevels = divide(entries, shares.average, func(entry *entry) float64 { return entry.average })
}

// levels is how a capacity is divided, by rank. It is empty while all demands are covered.
type levels []rankLevel

// rankLevel is the largest share of an account of a rank, in work per second.
type rankLevel struct {
	rank  int
	level float64
	left  float64 // capacity for less urgent ranks
}

// divide divides a capacity among entries by their demands.
func divide(entries []*entry, capacity float64, demand func(*entry) float64) levels {
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(demand(a), demand(b)))
	})
	// A rank without demand yet, if it is more urgent than all others, may use the whole capacity.
	result := levels{{math.MinInt, capacity, capacity}}
	for start := 0; start < len(entries); {
		rank, left, sum := entries[start].rank, result[len(result)-1].left, 0.0
		var demands []float64
		for ; start < len(entries) && entries[start].rank == rank; start++ {
			demands = append(demands, demand(entries[start]))
			sum += demand(entries[start])
		}
		result = append(result, rankLevel{rank, min(maxMinLevel(demands, left), left), max(left-sum, 0)})
	}
	return result
}

// of returns the largest share of an account of a rank, or infinity if all are covered. A rank
// without demand has what more urgent ranks leave.
func (levels levels) of(rank int) float64 {
	if len(levels) == 0 {
		return math.Inf(1)
	}
	index, found := slices.BinarySearchFunc(levels, rank, func(level rankLevel, rank int) int {
		return cmp.Compare(level.rank, rank)
	})
	if found {
		return levels[index].level
	}
	return levels[index-1].left
}

// evict removes the least active account.
func (shares *Shares) evict() {
	if len(shares.evicting) == 0 {
		for _, entry := range shares.accounts {
			shares.evicting = append(shares.evicting, entry)
		}
		slices.SortFunc(shares.evicting, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(shares.activity(a), shares.activity(b)),
				cmp.Compare(a.account, b.account), cmp.Compare(a.rank, b.rank))
		})
		shares.evicting = shares.evicting[:maxAccounts/2]
	}
	delete(shares.accounts, shares.evicting[0].key)
	shares.evicting = shares.evicting[1:]
}

// activity returns the work that an account has requested in the window and the current period.
func (shares *Shares) activity(entry *entry) float64 {
	return entry.asked.work + entry.current.work
}
