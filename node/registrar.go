package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

const (
	// registerBatchDelay is how long a batch that does not become full collects records of
	// nodes that start together. Each write costs one call to the key-value service, however
	// many records the write has.
	registerBatchDelay = 100 * time.Millisecond
	// registerWriteTimeout limits the time of the write of a batch.
	registerWriteTimeout = time.Second
	// registerTimeout limits the time for which a node waits until another node has written
	// the waiting node's record: the longest time of a batch, and 200 ms for the call. After
	// this time the waiting node writes the record itself.
	registerTimeout = registerBatchDelay + registerWriteTimeout + 200*time.Millisecond
)

// registrar writes the records of nodes that follow this one to the key-value service, in
// batches of at most shedkeel.MaxTransactionEntries records.
type registrar struct {
	node *Node

	mutex   sync.Mutex
	pending *registrationBatch // the batch that still accepts records; nil: there is none
}

// registrationBatch is one write of one or more records.
type registrationBatch struct {
	registrar *registrar
	puts      map[string]shedkeel.Put // by key; guarded by the registrar's mutex
	full      chan struct{}           // closed when the batch becomes full
	done      chan struct{}           // closed once the write has ended
	revision  shedkeel.Revision       // of the write; set before done is closed
	err       error                   // of the write; set before done is closed
}

// handle answers a node that asks to have its record written, once the write has ended. The
// reply states an error if the record is invalid, the write fails, or ctx ends first.
func (registrar *registrar) handle(ctx context.Context, call *wire.RegisterCall) *wire.Reply {
	record := shedkeel.Record{Key: nodePrefix + call.GetNode(), Value: call.GetRecord()}
	if _, err := registrar.node.fleet.decodeNode(record); err != nil {
		return &wire.Reply{Error: err.Error()}
	}
	batch := registrar.enqueue(shedkeel.Put{Key: record.Key, Value: record.Value})
	select {
	case <-ctx.Done():
		return &wire.Reply{Error: "the outcome of the write is not known yet"}
	case <-batch.done:
	}
	if batch.err != nil {
		return &wire.Reply{Error: batch.err.Error()}
	}
	revision := batch.revision
	return &wire.Reply{Kind: &wire.Reply_Register{Register: &wire.RegisterReply{Written: true, Era: revision.Era, Revision: revision.Number}}}
}

// enqueue adds a record to the pending batch, or to a new batch if there is none, and returns
// that batch. A record replaces an earlier record of the same node in the batch.
func (registrar *registrar) enqueue(put shedkeel.Put) *registrationBatch {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	batch := registrar.pending
	if batch == nil {
		batch = &registrationBatch{registrar: registrar, puts: map[string]shedkeel.Put{}, full: make(chan struct{}), done: make(chan struct{})}
		registrar.pending = batch
		go batch.run()
	}
	batch.puts[put.Key] = put
	if len(batch.puts) == shedkeel.MaxTransactionEntries {
		close(batch.full)
		registrar.pending = nil
	}
	return batch
}

// run writes the batch once registerBatchDelay has passed or the batch is full. After a
// success it applies the records to the mirror.
func (batch *registrationBatch) run() {
	timer := time.NewTimer(registerBatchDelay)
	select {
	case <-timer.C:
	case <-batch.full:
	}
	timer.Stop()
	change := shedkeel.Transaction{}
	for _, put := range batch.seal() {
		change.Put = append(change.Put, put)
	}
	node := batch.registrar.node
	ctx, cancel := context.WithTimeout(context.Background(), registerWriteTimeout)
	defer cancel()
	batch.revision, batch.err = node.Store.Commit(ctx, change)
	if batch.err == nil {
		var records []shedkeel.Record
		for _, put := range change.Put {
			records = append(records, shedkeel.Record{Key: put.Key, Value: put.Value, Revision: batch.revision})
		}
		node.mirror.Apply(mirrorUpdate(records...))
		node.Log.Write(event.NodesRegistered, slog.Int("nodes", len(records)))
	}
	close(batch.done)
}

// seal closes the batch to further records and returns its records by key.
func (batch *registrationBatch) seal() map[string]shedkeel.Put {
	registrar := batch.registrar
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if registrar.pending == batch {
		registrar.pending = nil
	}
	return batch.puts
}

// register asks the peer to write this node's record, and returns the revision of the
// write. It returns the error of a failed call, or a shedkeel.UnknownOutcomeError if the peer's
// reply does not confirm the write.
func (peer *peer) register(ctx context.Context, record []byte) (shedkeel.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	call := &wire.RegisterCall{Node: string(peer.node.Settings.Node), Record: record}
	reply, err := peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Register{Register: call}})
	written := reply.GetRegister()
	switch {
	case err != nil:
		return shedkeel.Revision{}, err
	case !written.GetWritten():
		return shedkeel.Revision{}, &shedkeel.UnknownOutcomeError{What: "registration at node " + string(peer.id)}
	}
	return shedkeel.Revision{Era: written.GetEra(), Number: written.GetRevision()}, nil
}
