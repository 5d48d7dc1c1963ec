package mirror

import (
	"fmt"
	"testing"

	"shedkeel.org/shedkeel"
)

// benchRecords returns the records of count backend servers.
func benchRecords(count int) []shedkeel.Record {
	var records []shedkeel.Record
	for index := range count {
		records = append(records, shedkeel.Record{Key: fmt.Sprint("servers/i-", index), Value: make([]byte, 350), Revision: shedkeel.Revision{Number: int64(index + 1)}})
	}
	return records
}

// BenchmarkApply applies one change to a copy of 3,300 records.
func BenchmarkApply(b *testing.B) {
	const count = 3300
	mirror := &Mirror{}
	records := benchRecords(count)
	mirror.Apply(Update{Full: true, At: shedkeel.Revision{Number: count}, Records: records})
	change := Update{Records: records[:1:1]}
	b.ReportAllocs()
	for number := int64(count); b.Loop(); {
		number++
		change.At.Number = number
		change.Records[0].Revision.Number = number
		mirror.Apply(change)
	}
}

// BenchmarkSince collects one change of a copy of 3,300 records.
func BenchmarkSince(b *testing.B) {
	const count = 3300
	mirror := &Mirror{}
	records := benchRecords(count + 1)
	mirror.Apply(Update{Full: true, At: shedkeel.Revision{Number: count}, Records: records[:count]})
	mirror.Apply(Update{At: shedkeel.Revision{Number: count + 1}, Records: records[count:]})
	b.ReportAllocs()
	for b.Loop() {
		mirror.UpdateSince(shedkeel.Revision{Number: count})
	}
}
