// Package transfer encodes records of the key-value service for other processes. It
// compresses large records and full copies, and sends small changes as differences from
// the previous value.
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
	// minCompressedSize is the size in bytes from which a record is compressed for
	// other nodes: an uncompressed configuration of many routes would fill a slow
	// link.
	minCompressedSize = 4 << 10
	// MaxValueSize bounds a decompressed value, in bytes. The service accepts values of
	// one megabyte.
	MaxValueSize = 4 << 20
)

// Encoder compresses large records, each revision once. The zero value is ready for use.
type Encoder struct {
	mutex  sync.Mutex
	cached map[string]compressedRecord // by key, the latest revision that was encoded
}

// compressedRecord is a record compressed at a revision.
type compressedRecord struct {
	revision shedkeel.Revision
	message  *wire.StoreRecord
}

// Encode encodes a record for other nodes.
func (encoder *Encoder) Encode(record shedkeel.Record) *wire.StoreRecord {
	uncompressed := uncompressedRecord(record)
	if len(record.Value) < minCompressedSize {
		return uncompressed
	}
	encoder.mutex.Lock()
	defer encoder.mutex.Unlock()
	if entry := encoder.cached[record.Key]; entry.message != nil && entry.revision == record.Revision {
		return entry.message
	}
	value, err := Deflate(record.Value)
	if err != nil {
		return uncompressed // cannot happen: writes to memory do not fail
	}
	if encoder.cached == nil {
		encoder.cached = map[string]compressedRecord{}
	}
	message := &wire.StoreRecord{Key: record.Key, Value: value, Revision: record.Revision.Number, Packed: true}
	encoder.cached[record.Key] = compressedRecord{record.Revision, message}
	return message
}

// uncompressedRecord encodes a record as it is.
func uncompressedRecord(record shedkeel.Record) *wire.StoreRecord {
	return &wire.StoreRecord{Key: record.Key, Value: record.Value, Revision: record.Revision.Number, Gone: record.Removed}
}

// Deflate compresses a value.
func Deflate(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Decode decodes a record of the era that Encode encoded, and decompresses it if needed.
func Decode(message *wire.StoreRecord, era int64) (shedkeel.Record, error) {
	record := shedkeel.Record{Key: message.GetKey(), Value: message.GetValue(), Revision: shedkeel.Revision{Era: era, Number: message.GetRevision()}, Removed: message.GetGone()}
	if !message.GetPacked() {
		return record, nil
	}
	value, err := Inflate(record.Value, MaxValueSize)
	if err != nil {
		return record, fmt.Errorf("record %s from another node: %w", record.Key, err)
	}
	record.Value = value
	return record, nil
}

// Inflate decompresses a value. It fails if the value has more bytes than the limit.
func Inflate(compressed []byte, limit int64) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(value)) > limit {
		return nil, fmt.Errorf("decompressed value exceeds %d bytes", limit)
	}
	return value, nil
}
