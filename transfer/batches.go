package transfer

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

const (
	// MinBatchRecords is the number of records from which changes are compressed together.
	// Similar records compress well, but for a few of them compression saves too little to
	// be worth its time.
	MinBatchRecords = 32
	// maxCachedBatches is how many compressed batches are kept. Processes that have the
	// same upstream request the same changes from it, some of them a little later.
	maxCachedBatches = 4
)

// Batch identifies the changes after the revision Since, up to and including At.
type Batch struct {
	Since, At   shedkeel.Revision
	Differences bool // the receiver accepts differences
}

// BatchCache compresses batches of changes, each one once for all processes that request
// it. The zero value is ready for use.
type BatchCache struct {
	mutex  sync.Mutex
	cached []compressedBatch // newest last
}

// compressedBatch is a batch and its compressed records.
type compressedBatch struct {
	batch Batch
	data  []byte
}

// Encode puts the records of a batch into the reply, compressed if possible. It calls
// encode to get the records unless the batch is cached.
func (cache *BatchCache) Encode(reply *wire.RelayReply, batch Batch, encode func() []*wire.StoreRecord) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	for _, cached := range cache.cached {
		if cached.batch == batch {
			reply.Packed = cached.data
			return
		}
	}
	records := encode()
	data := compressRecords(records)
	if data == nil {
		reply.Records = records
		return
	}
	if len(cache.cached) == maxCachedBatches {
		cache.cached = slices.Delete(cache.cached, 0, 1)
	}
	cache.cached = append(cache.cached, compressedBatch{batch, data})
	reply.Packed = data
}

// compressRecords compresses records together. It returns nil if that fails, and the
// records are then sent uncompressed.
func compressRecords(records []*wire.StoreRecord) []byte {
	message, err := proto.Marshal(&wire.RelayReply{Records: records})
	if err != nil {
		return nil
	}
	data, err := Deflate(message)
	if err != nil {
		return nil // cannot happen: writes to memory do not fail
	}
	return data
}
