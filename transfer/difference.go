package transfer

import (
	"errors"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// minCommonBytes is how many bytes a record must have in common with its previous value
// to be sent as a difference. The additional fields of a difference take some twelve
// bytes.
const minCommonBytes = 32

// ErrBaseMismatch means that a difference applies to another revision of the record than
// the receiver has, or does not fit its value.
var ErrBaseMismatch = errors.New("the difference applies to a value that this process does not have")

// EncodeDifference encodes a record as its difference from the value that it replaced: the
// common prefix and suffix, and the bytes between. It returns nil if they have too little
// in common.
func EncodeDifference(record, base shedkeel.Record) *wire.StoreRecord {
	prefix := commonPrefix(record.Value, base.Value)
	suffix := commonSuffix(record.Value[prefix:], base.Value[prefix:])
	if prefix+suffix < minCommonBytes {
		return nil
	}
	return &wire.StoreRecord{
		Key: record.Key, Revision: record.Revision.Number, Value: record.Value[prefix : len(record.Value)-suffix],
		Base: base.Revision.Number, Prefix: uint32(prefix), Suffix: uint32(suffix),
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

// ApplyDifference restores a record of the era from its difference. The base is the record
// that this process has. The error is ErrBaseMismatch if the sender encoded the difference
// from another revision, or if the difference takes more bytes from the base than it has.
func ApplyDifference(delta *wire.StoreRecord, era int64, base shedkeel.Record) (shedkeel.Record, error) {
	record := shedkeel.Record{Key: delta.GetKey(), Revision: shedkeel.Revision{Era: era, Number: delta.GetRevision()}}
	baseRevision := shedkeel.Revision{Era: era, Number: delta.GetBase()}
	prefix, suffix := int(delta.GetPrefix()), int(delta.GetSuffix())
	if base.Revision != baseRevision || prefix+suffix > len(base.Value) {
		return record, ErrBaseMismatch
	}
	record.Value = append(record.Value, base.Value[:prefix]...)
	record.Value = append(record.Value, delta.GetValue()...)
	record.Value = append(record.Value, base.Value[len(base.Value)-suffix:]...)
	return record, nil
}
