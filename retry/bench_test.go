package retry

import (
	"testing"
	"time"
)

// BenchmarkCountRequest measures what each request costs.
func BenchmarkCountRequest(b *testing.B) {
	budget := &Budget{Ratio: 0.2, Window: 10 * time.Second, FixedRetries: 136}
	now := time.Minute
	for b.Loop() {
		now += time.Millisecond
		budget.CountRequest("s", now)
	}
}

// BenchmarkAllow measures what each wanted retry costs, with a thousand requests a second.
func BenchmarkAllow(b *testing.B) {
	budget := &Budget{Ratio: 0.2, Window: 10 * time.Second, FixedRetries: 136}
	now := time.Minute
	for b.Loop() {
		now += time.Millisecond
		budget.CountRequest("s", now)
		budget.Allow("s", Share{Processes: 9, Part: 1}, now)
	}
}
