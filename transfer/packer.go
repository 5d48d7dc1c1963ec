// Package transfer encodes records of the key-value service for other processes: large
// ones and whole copies compressed, small changes by how a value differs from the one
// before.
package transfer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

const (
	// packMin is the size of a record from which it is compressed for other
	// nodes, in bytes: a configuration of many routes would fill a slow link.
	packMin = 4 << 10
	// MaxValue bounds a value that was compressed, in bytes: the service takes values
	// of a megabyte.
	MaxValue = 4 << 20
)

// Packer compresses large records, each revision once. The zero value is ready
// for use.
type Packer struct {
	mutex sync.Mutex
	kept  map[string]packedRecord // by key, the latest revision that was asked for
}

// packedRecord is a record as it is sent.
type packedRecord struct {
	revision shedkeel.Revision
	sent     *wire.StoreRecord
}

// Pack returns the record as it is sent to other nodes.
func (packer *Packer) Pack(record shedkeel.Record) *wire.StoreRecord {
	plain := plainRecord(record)
	if len(record.Value) < packMin {
		return plain
	}
	packer.mutex.Lock()
	defer packer.mutex.Unlock()
	if known := packer.kept[record.Key]; known.sent != nil && known.revision == record.Revision {
		return known.sent
	}
	value, err := Deflate(record.Value)
	if err != nil {
		return plain // memory never fails to be written to, and plain is right too
	}
	if packer.kept == nil {
		packer.kept = map[string]packedRecord{}
	}
	packed := &wire.StoreRecord{Key: record.Key, Value: value, Revision: record.Revision.Number, Packed: true}
	packer.kept[record.Key] = packedRecord{record.Revision, packed}
	return packed
}

// plainRecord returns the record as it is.
func plainRecord(record shedkeel.Record) *wire.StoreRecord {
	return &wire.StoreRecord{Key: record.Key, Value: record.Value, Revision: record.Revision.Number, Gone: record.Gone}
}

// Deflate compresses a value.
func Deflate(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack returns a record of the era as the service has it.
func Unpack(sent *wire.StoreRecord, era int64) (shedkeel.Record, error) {
	record := shedkeel.Record{Key: sent.GetKey(), Value: sent.GetValue(), Revision: shedkeel.Revision{Era: era, Number: sent.GetRevision()}, Gone: sent.GetGone()}
	if !sent.GetPacked() {
		return record, nil
	}
	value, err := Inflate(record.Value, MaxValue)
	if err != nil {
		return record, fmt.Errorf("record %s of another node: %w", record.Key, err)
	}
	record.Value = value
	return record, nil
}

// Inflate returns what was compressed, of at most so many bytes.
func Inflate(packed []byte, most int64) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(value)) > most {
		return nil, fmt.Errorf("it has more than %d bytes", most)
	}
	return value, nil
}
