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
	// registerBatchDelay is for how long the records of nodes are let gather that start
	// together: each write costs a call, however many records it has.
	registerBatchDelay = 100 * time.Millisecond
	// registerWriteTimeout bounds the write.
	registerWriteTimeout = time.Second
	// registerTimeout bounds a node's question to have its record written. Later it
	// does so itself.
	registerTimeout = registerBatchDelay + registerWriteTimeout + 200*time.Millisecond
)

// registrar writes the records of nodes that follow this one to the key-value
// service, as many with one call as it takes.
type registrar struct {
	node *Node

	mutex   sync.Mutex
	pending *registrationBatch // still takes records; nil: there is none
}

// registrationBatch is one write of several records.
type registrationBatch struct {
	registrar *registrar
	puts      map[string]shedkeel.Put // by key; the registrar's mutex guards it
	full      chan struct{}           // closed once it takes no more
	done      chan struct{}           // closed once the outcome is known
	revision  shedkeel.Revision
	err       error
}

// handle answers a node that asks to have its record written.
func (registrar *registrar) handle(ctx context.Context, call *wire.RegisterCall) *wire.Reply {
	record := shedkeel.Record{Key: nodePrefix + call.GetNode(), Value: call.GetRecord()}
	if _, err := registrar.node.fleet.decodeNode(record); err != nil {
		return &wire.Reply{Error: err.Error()}
	}
	registration := registrar.enqueue(shedkeel.Put{Key: record.Key, Value: record.Value})
	select {
	case <-ctx.Done():
		return &wire.Reply{Error: "the outcome of the write is not known yet"}
	case <-registration.done:
	}
	if registration.err != nil {
		return &wire.Reply{Error: registration.err.Error()}
	}
	revision := registration.revision
	return &wire.Reply{Kind: &wire.Reply_Register{Register: &wire.RegisterReply{Written: true, Era: revision.Era, Revision: revision.Number}}}
}

// enqueue has a record written with the next write, and returns that.
func (registrar *registrar) enqueue(put shedkeel.Put) *registrationBatch {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	joined := registrar.pending
	if joined == nil {
		joined = &registrationBatch{registrar: registrar, puts: map[string]shedkeel.Put{}, full: make(chan struct{}), done: make(chan struct{})}
		registrar.pending = joined
		go joined.run()
	}
	joined.puts[put.Key] = put
	if len(joined.puts) == shedkeel.MaxEntries {
		close(joined.full)
		registrar.pending = nil
	}
	return joined
}

// run writes the records once they have gathered.
func (registration *registrationBatch) run() {
	timer := time.NewTimer(registerBatchDelay)
	select {
	case <-timer.C:
	case <-registration.full:
	}
	timer.Stop()
	change := shedkeel.Change{}
	for _, put := range registration.seal() {
		change.Put = append(change.Put, put)
	}
	node := registration.registrar.node
	ctx, cancel := context.WithTimeout(context.Background(), registerWriteTimeout)
	defer cancel()
	registration.revision, registration.err = node.Store.Commit(ctx, change)
	if registration.err == nil {
		var records []shedkeel.Record
		for _, put := range change.Put {
			records = append(records, shedkeel.Record{Key: put.Key, Value: put.Value, Revision: registration.revision})
		}
		node.mirror.Apply(mirrorUpdate(records...))
		node.Log.Write(event.NodesRegistered, slog.Int("nodes", len(records)))
	}
	close(registration.done)
}

// seal ends the gathering and returns what is to be written.
func (registration *registrationBatch) seal() map[string]shedkeel.Put {
	registrar := registration.registrar
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if registrar.pending == registration {
		registrar.pending = nil
	}
	return registration.puts
}

// register asks the node to write the record of this one, and returns the revision at
// which it stands.
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
