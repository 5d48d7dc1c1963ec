package contain

import (
	"fmt"
	"testing"

	"shedkeel.org/shedkeel"
)

// BenchmarkJudgment measures the judgment of a request while 1,000 others are contained. It
// leaves out the computation of the request's digest.
func BenchmarkJudgment(b *testing.B) {
	ledger := &Ledger{}
	for index := range 1000 {
		for _, server := range []shedkeel.InstanceID{"a", "b", "c"} { // containThreshold servers
			ledger.RecordFailure(shedkeel.Subject(fmt.Sprint(index)), server)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if Judge(ledger.Blame("innocent")) != shedkeel.Unblamed {
			b.Fatal("a request without failures is not Unblamed")
		}
	}
}
