package transfer

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

const (
	// BatchMin is from how many records on changes are compressed together. Records that
	// are alike compress well; a few are not worth the time.
	BatchMin = 32
	// batchKeep is how many batches are kept: those who follow one process ask for the
	// same changes, or for the ones before.
	batchKeep = 4
)

// Batch names the changes after a revision up to another one.
type Batch struct {
	Since, At   shedkeel.Revision
	Differences bool // who asks takes differences
}

// Batches compresses changes of many records, each batch once for all that ask for it.
// The zero value is ready for use.
type Batches struct {
	mutex sync.Mutex
	kept  []packedBatch // the newest last
}

type packedBatch struct {
	batch  Batch
	packed []byte
}

// Tell puts the records of a batch into the reply, as encode returns them if they are
// not kept.
func (batches *Batches) Tell(reply *wire.RelayReply, batch Batch, encode func() []*wire.StoreRecord) {
	batches.mutex.Lock()
	defer batches.mutex.Unlock()
	for _, kept := range batches.kept {
		if kept.batch == batch {
			reply.Packed = kept.packed
			return
		}
	}
	records := encode()
	packed := packRecords(records)
	if packed == nil {
		reply.Records = records
		return
	}
	if len(batches.kept) == batchKeep {
		batches.kept = slices.Delete(batches.kept, 0, 1)
	}
	batches.kept = append(batches.kept, packedBatch{batch, packed})
	reply.Packed = packed
}

// packRecords compresses records together, or returns nil where they are to be told as
// they are.
func packRecords(records []*wire.StoreRecord) []byte {
	text, err := proto.Marshal(&wire.RelayReply{Records: records})
	if err != nil {
		return nil
	}
	packed, err := Deflate(text)
	if err != nil {
		return nil // memory never fails to be written to
	}
	return packed
}
