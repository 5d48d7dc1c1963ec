package transfer

import (
	"errors"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// differenceMin is how many bytes a record must have in common with its former
// value to be told by the difference, which takes some twelve bytes.
const differenceMin = 32

// ErrOtherBase says that a record was told by how it differs from a value that
// is not known here.
var ErrOtherBase = errors.New("the record differs from a value that is not known here")

// Differ tells a record by how it differs from the value that it replaced, or
// nil if it has too little in common with it.
func Differ(record, former shedkeel.Record) *wire.StoreRecord {
	prefix := commonPrefix(record.Value, former.Value)
	suffix := commonSuffix(record.Value[prefix:], former.Value[prefix:])
	if prefix+suffix < differenceMin {
		return nil
	}
	return &wire.StoreRecord{
		Key: record.Key, Revision: record.Revision.Number, Value: record.Value[prefix : len(record.Value)-suffix],
		Base: former.Revision.Number, Prefix: uint32(prefix), Suffix: uint32(suffix),
	}
}

func commonPrefix(a, b []byte) int {
	count := 0
	for count < min(len(a), len(b)) && a[count] == b[count] {
		count++
	}
	return count
}

func commonSuffix(a, b []byte) int {
	count := 0
	for count < min(len(a), len(b)) && a[len(a)-1-count] == b[len(b)-1-count] {
		count++
	}
	return count
}

// Undiffer returns the whole record of the era. Known is the one that this process has.
func Undiffer(sent *wire.StoreRecord, era int64, known shedkeel.Record) (shedkeel.Record, error) {
	record := shedkeel.Record{Key: sent.GetKey(), Revision: shedkeel.Revision{Era: era, Number: sent.GetRevision()}}
	base := shedkeel.Revision{Era: era, Number: sent.GetBase()}
	prefix, suffix := int(sent.GetPrefix()), int(sent.GetSuffix())
	if known.Revision != base || prefix+suffix > len(known.Value) {
		return record, ErrOtherBase
	}
	record.Value = append(record.Value, known.Value[:prefix]...)
	record.Value = append(record.Value, sent.GetValue()...)
	record.Value = append(record.Value, known.Value[len(known.Value)-suffix:]...)
	return record, nil
}
