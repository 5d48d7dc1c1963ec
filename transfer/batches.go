package transfer

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

const (
	// BatchMin is the number of records from which changes are compressed together.
	// Similar records compress well; a few are not worth the time.
	BatchMin = 32
	// maxCachedBatches is how many compressed batches are kept. Processes that follow
	// the same one request the same changes, or the ones just before.
	maxCachedBatches = 4
)

// Batch identifies the changes after one revision up to another.
type Batch struct {
	Since, At   shedkeel.Revision
	Differences bool // the receiver accepts differences
}

// Batches compresses batches of changes, each one once for all processes that request
// it. The zero value is ready for use.
type Batches struct {
	mutex  sync.Mutex
	cached []compressedBatch // newest last
}

// compressedBatch is a batch and its compressed records.
type compressedBatch struct {
	batch Batch
	data  []byte
}

// Tell puts the records of a batch into the reply. It calls encode for them unless the
// batch is cached.
func (batches *Batches) Tell(reply *wire.RelayReply, batch Batch, encode func() []*wire.StoreRecord) {
	batches.mutex.Lock()
	defer batches.mutex.Unlock()
	for _, cached := range batches.cached {
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
	if len(batches.cached) == maxCachedBatches {
		batches.cached = slices.Delete(batches.cached, 0, 1)
	}
	batches.cached = append(batches.cached, compressedBatch{batch, data})
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
