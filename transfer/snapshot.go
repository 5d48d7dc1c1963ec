package transfer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

const (
	// snapshotMaxAge is for how long a compressed snapshot is sent again although
	// records have changed since it was made. The receiver gets these changes by its next
	// request.
	snapshotMaxAge = 500 * time.Millisecond
	// maxSnapshotSize bounds a decompressed reply, in bytes.
	maxSnapshotSize = 32 << 20
)

// SnapshotCache compresses snapshots of a mirror for processes that have no copy, each
// snapshot once for all requests within snapshotMaxAge. The zero value is ready for use.
type SnapshotCache struct {
	mutex        sync.Mutex
	compressedAt time.Duration
	snapshot     mirror.Update // without its records
	data         []byte        // compressed records of the snapshot; nil: there is none
}

// Encode returns the reply with the full update, or with a cached snapshot of the same
// era that is not older than snapshotMaxAge or has the same revision. The records are
// compressed together, as similar records compress well.
func (cache *SnapshotCache) Encode(update mirror.Update, now time.Duration) *wire.RelayReply {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	expired := now-cache.compressedAt >= snapshotMaxAge && update.At != cache.snapshot.At || update.At.Era != cache.snapshot.At.Era
	if cache.data == nil || expired {
		cache.compress(update, now)
	}
	if cache.data == nil {
		reply := EncodeReply(update, now)
		reply.Records = uncompressedRecords(update.Records)
		return reply
	}
	if cache.snapshot.At == update.At {
		cache.snapshot.AsOf = update.AsOf
	}
	reply := EncodeReply(cache.snapshot, now)
	reply.Packed = cache.data
	return reply
}

// compress replaces the snapshot by the update.
func (cache *SnapshotCache) compress(update mirror.Update, now time.Duration) {
	cache.data = compressRecords(uncompressedRecords(update.Records))
	cache.compressedAt = now
	cache.snapshot = mirror.Update{Full: update.Full, At: update.At, AsOf: update.AsOf}
}

// uncompressedRecords encodes the records one by one.
func uncompressedRecords(records []shedkeel.Record) []*wire.StoreRecord {
	var messages []*wire.StoreRecord
	for _, record := range records {
		messages = append(messages, uncompressedRecord(record))
	}
	return messages
}

// DecodeRecords returns the records of a reply, decompressed if needed.
func DecodeRecords(reply *wire.RelayReply) ([]*wire.StoreRecord, error) {
	if len(reply.GetPacked()) == 0 {
		return reply.GetRecords(), nil
	}
	message, err := Inflate(reply.GetPacked(), maxSnapshotSize)
	if err != nil {
		return nil, err
	}
	var unpacked wire.RelayReply
	if err := proto.Unmarshal(message, &unpacked); err != nil {
		return nil, err
	}
	return unpacked.GetRecords(), nil
}

// EncodeReply encodes an update without its records. The age of the copy is rounded up to
// milliseconds, so that the receiver never takes the copy for newer than it is.
func EncodeReply(update mirror.Update, now time.Duration) *wire.RelayReply {
	age := now - update.AsOf
	return &wire.RelayReply{Whole: update.Full, Era: update.At.Era, At: update.At.Number, AgeMs: uint64(age.Milliseconds()) + 1, Known: true}
}
