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
	// relayTimeoutMargin is added to the wait of a long poll of another node's mirror; the
	// sum is the time-out of the call.
	relayTimeoutMargin = 400 * time.Millisecond
	// copyTimeoutMargin takes the place of relayTimeoutMargin in a request for a complete
	// copy. It is longer because many nodes that start together request complete copies
	// from a few nodes.
	copyTimeoutMargin = 3 * time.Second
)

// Relay requests the changes since a revision from the peer's mirror, or a complete copy if the
// revision is zero. The peer answers once there are changes, or after the wait. The update's AsOf
// is minus the age of the peer's copy; mirror.Follower adds the time at which it sent the
// request.
func (peer *peer) Relay(ctx context.Context, since shedkeel.Revision, wait time.Duration) (mirror.Update, error) {
	update, err := peer.fetchUpdate(ctx, since, wait)
	if err != nil && ctx.Err() == nil || err == nil && (update.SourceUnreachable || -update.AsOf > peer.maxCopyAge()) {
		peer.followFailure.record(peer.node.Timers.Now()) // the peer is not followed for followBackoff
	}
	return update, err
}

// maxCopyAge returns the maximum age of the peer's copy for the peer to be followed:
// maxRelayAge in a fleet with relays, even if the peer is a source, else maxSourceAge.
func (peer *peer) maxCopyAge() time.Duration {
	if peer.node.peers.hops() > 1 {
		return maxRelayAge
	}
	return maxSourceAge
}

// fetchUpdate requests changed records as differences from their former values. A
// difference can't be applied if this node has another former value, for example because
// the key-value service itself has sent this node a value meanwhile. fetchUpdate then requests
// complete records, without a wait.
func (peer *peer) fetchUpdate(ctx context.Context, since shedkeel.Revision, wait time.Duration) (mirror.Update, error) {
	margin := relayTimeoutMargin
	if !since.Exists() {
		margin = copyTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	update, err := peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: since.Era, Since: since.Number, WaitMs: uint32(wait.Milliseconds()), Differences: true})
	if errors.Is(err, transfer.ErrBaseMismatch) {
		return peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: since.Era, Since: since.Number})
	}
	return update, err
}

// HasCopy asks whether the peer's mirror has a copy. The peer answers once its mirror has
// one, or after the wait. The answer also states how many nodes the peer knows. This node
// stores the largest such number as a hint of the fleet's size.
func (peer *peer) HasCopy(ctx context.Context, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeoutMargin)
	defer cancel()
	reply, err := peer.callRelay(ctx, &wire.RelayCall{WaitMs: uint32(wait.Milliseconds()), OnlyKnown: true})
	if err != nil {
		return false, err
	}
	hint := &peer.node.member.nodeCountHint
	hint.Store(max(hint.Load(), int64(reply.GetNodes())))
	return reply.GetKnown(), nil
}

// requestUpdate sends one relay call and decodes the reply. It applies a newer configuration
// in the reply. It returns mirror.ErrNoCopy if the peer has no copy.
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
		return mirror.Update{}, mirror.ErrNoCopy
	}
	at := shedkeel.Revision{Era: relay.GetEra(), Number: relay.GetAt()}
	update := mirror.Update{Full: relay.GetWhole(), At: at, SourceUnreachable: relay.GetAway(), AsOf: -time.Duration(relay.GetAgeMs()) * time.Millisecond}
	records, err := transfer.DecodeRecords(relay)
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

// callRelay sends one relay call.
func (peer *peer) callRelay(ctx context.Context, call *wire.RelayCall) (*wire.RelayReply, error) {
	call.Node = string(peer.node.Settings.Node)
	reply, err := peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Relay{Relay: call}})
	return reply.GetRelay(), err
}

// decodeRecord decodes a record of the era. If the record is encoded as a difference, it is
// applied to the value that this node has.
func (peer *peer) decodeRecord(sent *wire.StoreRecord, era int64) (shedkeel.Record, error) {
	if sent.GetBase() != 0 {
		return transfer.ApplyDifference(sent, era, peer.node.mirror.Get(sent.GetKey()))
	}
	return transfer.Decode(sent, era)
}

// handleRelay answers a relay call once the mirror has changes that the calling node lacks, or
// any copy for OnlyKnown, at the latest after the call's wait or when ctx ends. The reply to
// OnlyKnown, or of a node without a copy, states only whether there is a copy and how many nodes
// this node knows. The calling node is recorded as a subscriber.
func (peers *peers) handleRelay(ctx context.Context, call *wire.RelayCall) *wire.Reply {
	own := &peers.node.mirror
	peers.node.subscribers.note(shedkeel.NodeID(call.GetNode()), peers.node.Timers.Now())
	changed := own.Changed() // requested before the state is read, so that no change in between is missed
	state := own.State()
	since := shedkeel.Revision{Era: call.GetSinceEra(), Number: call.GetSince()}
	peers.fetchConfig(shedkeel.NodeID(call.GetNode()), call.GetConfig())
	unavailable := own.State().Known && peers.node.follower.SourceUnreachable() // the reply then comes without a wait, so that the caller asks the next node at once
	if !unavailable && (!state.Known || !call.GetOnlyKnown() && !state.At.After(since)) {
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
	update := own.UpdateSince(since)
	config := peers.node.fleet.newerConfig(call.GetConfig())
	now := peers.node.Timers.Now()
	if update.Full {
		reply := peers.snapshots.Encode(update, now)
		reply.Config = config
		return &wire.Reply{Kind: &wire.Reply_Relay{Relay: reply}}
	}
	reply := transfer.EncodeReply(update, now)
	reply.Away, reply.Config = unavailable, config
	encode := func() []*wire.StoreRecord { return peers.encodeRecords(update.Records, since, call.GetDifferences()) }
	if len(update.Records) < transfer.MinBatchRecords {
		reply.Records = encode()
	} else {
		peers.batches.Encode(reply, transfer.Batch{Since: since, At: update.At, Differences: call.GetDifferences()}, encode)
	}
	return &wire.Reply{Kind: &wire.Reply_Relay{Relay: reply}}
}

// encodeRecords encodes records for a node that asks, each as encodeRecord does.
func (peers *peers) encodeRecords(records []shedkeel.Record, since shedkeel.Revision, differences bool) []*wire.StoreRecord {
	var encoded []*wire.StoreRecord
	for _, record := range records {
		encoded = append(encoded, peers.encodeRecord(record, since, differences))
	}
	return encoded
}

// knownNodeCount returns how many nodes this node knows: the larger of fleet.nodeCount and
// subscribers.count. It leaves out fleet.nodeCount while this node has no copy, because
// fleet.nodeCount returns assumedNodes while no node is listed.
func (peers *peers) knownNodeCount() uint32 {
	listed := 0
	if peers.node.mirror.State().Known {
		listed = peers.node.fleet.nodeCount()
	}
	return uint32(max(listed, peers.node.subscribers.count(peers.node.Timers.Now())))
}

// encodeRecord encodes a record for a node that asks for the changes after since: as the
// difference from the former value if the node can apply one, else complete. A difference saves
// most of the bytes of a server's heartbeat, which changes only one number.
func (peers *peers) encodeRecord(record shedkeel.Record, since shedkeel.Revision, differences bool) *wire.StoreRecord {
	former := peers.node.mirror.Previous(record.Key)
	usable := former.Revision.Exists() && !former.Revision.After(since) && record.Revision.After(former.Revision)
	if differences && !record.Removed && usable {
		if encoded := transfer.EncodeDifference(record, former); encoded != nil {
			return encoded
		}
	}
	return peers.encoder.Encode(record)
}

// mirrorUpdate returns a mirror update of records that this node wrote itself. The update does
// not prove that the mirror's other records are current. Its AsOf is therefore 0, which leaves
// the mirror's AsOf unchanged, because Mirror.Apply keeps the later of the two.
func mirrorUpdate(records ...shedkeel.Record) mirror.Update {
	return mirror.Update{Records: records}
}
