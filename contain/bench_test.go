package contain

import (
	"fmt"
	"testing"

	"shedkeel.org/shedkeel"
)

// BenchmarkJudgment is what each request costs while 1,000 are contained, without
// the naming of the request.
func BenchmarkJudgment(b *testing.B) {
	ledger := &Ledger{}
	for index := range 1000 {
		for _, server := range []shedkeel.InstanceID{"a", "b", "c"} {
			ledger.Ended(shedkeel.RequestDigest(fmt.Sprint(index)), server)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if Judge(ledger.Blame("innocent")) != shedkeel.Unblamed {
			b.Fatal("an innocent request is judged")
		}
	}
}
