package node

import (
	"context"
	"errors"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/transfer"
	"shedkeel.org/shedkeel/wire"
)

const (
	// relayTimeoutMargin is how much longer than its wait a question to another
	// mirror may take.
	relayTimeoutMargin = 400 * time.Millisecond
	// copyTimeoutMargin is the same for a whole copy, which many nodes that start together
	// ask of a few.
	copyTimeoutMargin = 3 * time.Second
)

// Relay asks the node's mirror.
func (peer *peer) Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (mirror.Update, error) {
	update, err := peer.fetchUpdate(ctx, since, wait)
	if err != nil && ctx.Err() == nil || err == nil && (update.Away || -update.AsOf > peer.maxCopyAge()) {
		peer.failed.note(peer.node.Timers.Now())
	}
	return update, err
}

// maxCopyAge is how old the node's copy may be for it to be followed.
func (peer *peer) maxCopyAge() time.Duration {
	if peer.node.peers.hops() > 1 {
		return maxRelayAge
	}
	return maxSourceAge
}

// fetchUpdate asks for differences first. What it has may be another value than they
// are of, where the service itself told it something meanwhile.
func (peer *peer) fetchUpdate(ctx context.Context, since shedkeel.Revision, wait time.Duration) (mirror.Update, error) {
	margin := relayTimeoutMargin
	if !since.Exists() {
		margin = copyTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	update, err := peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: since.Era, Since: since.Number, WaitMs: uint32(wait.Milliseconds()), Differences: true})
	if errors.Is(err, transfer.ErrOtherBase) {
		return peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: since.Era, Since: since.Number})
	}
	return update, err
}

// Knows asks whether the node's mirror has anything.
func (peer *peer) Knows(ctx context.Context, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeoutMargin)
	defer cancel()
	reply, err := peer.callRelay(ctx, &wire.RelayCall{WaitMs: uint32(wait.Milliseconds()), OnlyKnown: true})
	if err != nil {
		return false, err
	}
	hint := &peer.node.member.hint
	hint.Store(max(hint.Load(), int64(reply.GetNodes())))
	return reply.GetKnown(), nil
}

func (peer *peer) requestUpdate(ctx context.Context, call *wire.RelayCall) (mirror.Update, error) {
	call.Config = peer.node.fleet.configVersion()
	relay, err := peer.callRelay(ctx, call)
	if err != nil {
		return mirror.Update{}, err
	}
	if len(relay.GetConfig()) > 0 {
		peer.node.fleet.receiveConfig(relay.GetConfig(), peer.id)
	}
	if !relay.GetKnown() {
		return mirror.Update{}, mirror.ErrNothingKnown
	}
	at := shedkeel.Revision{Era: relay.GetEra(), Number: relay.GetAt()}
	update := mirror.Update{Whole: relay.GetWhole(), At: at, Away: relay.GetAway(), AsOf: -time.Duration(relay.GetAgeMs()) * time.Millisecond}
	records, err := transfer.Records(relay)
	if err != nil {
		return mirror.Update{}, err
	}
	for _, record := range records {
		unpacked, err := peer.decodeRecord(record, at.Era)
		if err != nil {
			return mirror.Update{}, err
		}
		update.Records = append(update.Records, unpacked)
	}
	return update, nil
}

func (peer *peer) callRelay(ctx context.Context, call *wire.RelayCall) (*wire.RelayReply, error) {
	call.Node = string(peer.node.Settings.Node)
	reply, err := peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Relay{Relay: call}})
	return reply.GetRelay(), err
}

// decodeRecord returns a record of the era as the service has it.
func (peer *peer) decodeRecord(sent *wire.StoreRecord, era int64) (shedkeel.Record, error) {
	if sent.GetBase() != 0 {
		return transfer.Undiffer(sent, era, peer.node.mirror.Get(sent.GetKey()))
	}
	return transfer.Unpack(sent, era)
}

func (peers *peers) handleRelay(ctx context.Context, call *wire.RelayCall) *wire.Reply {
	own := &peers.node.mirror
	peers.node.subscribers.note(shedkeel.NodeID(call.GetNode()), peers.node.Timers.Now())
	changed := own.Changed()
	state := own.State()
	since := shedkeel.Revision{Era: call.GetSinceEra(), Number: call.GetSince()}
	peers.fetchConfig(shedkeel.NodeID(call.GetNode()), call.GetConfig())
	away := own.State().Known && peers.node.follower.Away() // who asks goes on to the next node at once
	if !away && (!state.Known || !call.GetOnlyKnown() && !state.At.After(since)) {
		timer := time.NewTimer(time.Duration(call.GetWaitMs()) * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
	if call.GetOnlyKnown() || !own.State().Known {
		return &wire.Reply{Kind: &wire.Reply_Relay{Relay: &wire.RelayReply{Known: own.State().Known, Nodes: peers.knownNodeCount()}}}
	}
	update := own.Since(since)
	config := peers.node.fleet.newerConfig(call.GetConfig())
	now := peers.node.Timers.Now()
	if update.Whole {
		reply := peers.copies.Tell(update, now)
		reply.Config = config
		return &wire.Reply{Kind: &wire.Reply_Relay{Relay: reply}}
	}
	reply := transfer.Reply(update, now)
	reply.Away, reply.Config = away, config
	encode := func() []*wire.StoreRecord { return peers.encodeRecords(update.Records, since, call.GetDifferences()) }
	if len(update.Records) < transfer.BatchMin {
		reply.Records = encode()
	} else {
		peers.batches.Tell(reply, transfer.Batch{Since: since, At: update.At, Differences: call.GetDifferences()}, encode)
	}
	return &wire.Reply{Kind: &wire.Reply_Relay{Relay: reply}}
}

func (peers *peers) encodeRecords(records []shedkeel.Record, since shedkeel.Revision, differences bool) []*wire.StoreRecord {
	var told []*wire.StoreRecord
	for _, record := range records {
		told = append(told, peers.encodeRecord(record, since, differences))
	}
	return told
}

// knownNodeCount returns of how many nodes this one has heard.
func (peers *peers) knownNodeCount() uint32 {
	listed := 0
	if peers.node.mirror.State().Known {
		listed = peers.node.fleet.nodeCount()
	}
	return uint32(max(listed, peers.node.subscribers.count(peers.node.Timers.Now())))
}

// encodeRecord returns a record as it is sent to a node that asks: by the difference if
// that is what it has the former value of, else whole.
// A heartbeat of a server changes one number.
func (peers *peers) encodeRecord(record shedkeel.Record, since shedkeel.Revision, differences bool) *wire.StoreRecord {
	former := peers.node.mirror.Before(record.Key)
	usable := former.Revision.Exists() && !former.Revision.After(since) && record.Revision.After(former.Revision)
	if differences && !record.Gone && usable {
		if told := transfer.Differ(record, former); told != nil {
			return told
		}
	}
	return peers.packer.Pack(record)
}

// mirrorUpdate is an update with records that this node has written itself.
// It proves nothing of their age.
func mirrorUpdate(records ...shedkeel.Record) mirror.Update {
	return mirror.Update{Records: records}
}
