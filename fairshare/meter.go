package fairshare

import (
	"math"
	"time"
)

// amount is the work of some requests.
type amount struct {
	work    float64
	squares float64 // sum of the squared work of each request
}

func (amount *amount) add(work float64) {
	amount.work += work
	amount.squares += work * work
}

func (amount amount) plus(other amount) amount {
	amount.work += other.work
	amount.squares += other.squares
	return amount
}

// rate is work per second, and its standard deviation if requests arrive independently.
type rate struct {
	work      float64
	deviation float64
}

func (amount amount) rate(span time.Duration) rate {
	return rate{amount.work / span.Seconds(), math.Sqrt(amount.squares) / span.Seconds()}
}

// meter sums the requests of the current period and of the window before it.
type meter struct {
	current amount
	past    [periods]amount // by period modulo periods
}

// shift ends the period from, starts the period to and returns the sum of the window before to.
func (meter *meter) shift(from, to int64) amount {
	meter.past[from%periods] = meter.current
	meter.current = amount{}
	for skipped := from + 1; skipped < min(to, from+1+periods); skipped++ {
		meter.past[skipped%periods] = amount{}
	}
	total := amount{}
	for _, past := range meter.past {
		total = total.plus(past)
	}
	return total
}
