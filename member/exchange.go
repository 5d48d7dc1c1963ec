package member

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

// ExchangeCall returns the call with which a keeper asks another keeper for all nodes,
// records and digests that are newer in the other's table. The call carries this
// node and the versions in this table.
func (table *Table) ExchangeCall(now time.Duration) *wire.ExchangeCall {
	return &wire.ExchangeCall{
		Self:     nodeToWire(table.Self),
		Nodes:    table.nodeVersions(now),
		Versions: table.recordVersions(),
		Digests:  table.digestVersions(),
	}
}

// HandleExchange merges the calling node and returns all nodes, records and digests that
// are newer in this table than the versions in the call.
func (table *Table) HandleExchange(call *wire.ExchangeCall, now time.Duration) *wire.ExchangeReply {
	table.MergeNode(nodeFromWire(call.GetSelf()), now)
	return &wire.ExchangeReply{
		Nodes:   table.nodesNewerThan(call.GetNodes(), now),
		Records: table.recordsNewerThan(call.GetVersions()),
		Digests: table.digestsNewerThan(call.GetDigests(), now),
	}
}

// MergeReply merges the reply to a call that was sent at the local time sent, and returns
// the records that it stored. The digests' ages are counted back from sent, not from
// the arrival of the reply, so that a slow reply never makes a digest look younger
// than it is.
func (table *Table) MergeReply(reply *wire.ExchangeReply, sent, now time.Duration) (changed []Record) {
	for _, node := range reply.GetNodes() {
		table.MergeNode(nodeFromWire(node), now)
	}
	for _, digest := range reply.GetDigests() {
		table.MergeDigest(digestFromWire(digest, sent))
	}
	for _, message := range reply.GetRecords() {
		record := Record{Key: message.GetKey(), Generation: message.GetVersion(), Revision: shedkeel.Revision{Era: message.GetEra(), Number: message.GetRevision()}, Value: message.GetValue()}
		if table.MergeRecord(record) {
			changed = append(changed, record)
		}
	}
	return changed
}

// SyncCall returns the call with which an entry (a process that takes requests from
// clients) asks its keeper for all nodes, records and digests that are newer there.
// stopping says that the entry is shutting down.
func (table *Table) SyncCall(incarnation string, stopping bool, now time.Duration) *wire.SyncCall {
	return &wire.SyncCall{
		Incarnation: incarnation, Stopping: stopping,
		Versions: table.recordVersions(), Digests: table.digestVersions(), Nodes: table.nodeVersions(now),
	}
}

// HandleSync returns all nodes, records and digests that are newer in this table
// than the versions in an entry's call.
func (table *Table) HandleSync(call *wire.SyncCall, now time.Duration) *wire.SyncReply {
	return &wire.SyncReply{
		Nodes:   table.nodesNewerThan(call.GetNodes(), now),
		Records: table.recordsNewerThan(call.GetVersions()),
		Digests: table.digestsNewerThan(call.GetDigests(), now),
	}
}

// MergeSyncReply merges a keeper's reply to an entry. See MergeReply.
func (table *Table) MergeSyncReply(reply *wire.SyncReply, sent, now time.Duration) (changed []Record) {
	return table.MergeReply(&wire.ExchangeReply{Nodes: reply.GetNodes(), Records: reply.GetRecords(), Digests: reply.GetDigests()}, sent, now)
}

// nodeVersions returns the versions of the live nodes.
func (table *Table) nodeVersions(now time.Duration) []*wire.NodeVersion {
	var versions []*wire.NodeVersion
	for _, node := range table.Live(now) {
		versions = append(versions, &wire.NodeVersion{Id: string(node.ID), Incarnation: node.Incarnation, Heartbeat: node.Heartbeat})
	}
	return versions
}

// nodesNewerThan returns the live nodes that the peer does not know or of which it
// knows an older version. It leaves out dead nodes: a peer that has evicted a dead
// node would take it for a new one and spread it again.
func (table *Table) nodesNewerThan(theirs []*wire.NodeVersion, now time.Duration) []*wire.Node {
	peerHas := map[string]shedkeel.Node{}
	for _, version := range theirs {
		peerHas[version.GetId()] = shedkeel.Node{Incarnation: version.GetIncarnation(), Heartbeat: version.GetHeartbeat()}
	}
	var newer []*wire.Node
	for _, node := range table.Live(now) {
		if known, found := peerHas[string(node.ID)]; !found || nodeIsNewer(node, known) {
			newer = append(newer, nodeToWire(node))
		}
	}
	return newer
}

// recordVersions returns the generations of the records known here.
func (table *Table) recordVersions() []*wire.Version {
	var versions []*wire.Version
	for _, record := range table.Records(KeyPrefix) {
		versions = append(versions, &wire.Version{Key: record.Key, Version: record.Generation})
	}
	return versions
}

// digestVersions returns the versions of the digests known here.
func (table *Table) digestVersions() []*wire.DigestVersion {
	var versions []*wire.DigestVersion
	for _, digest := range table.Digests() {
		versions = append(versions, &wire.DigestVersion{Watcher: string(digest.Watcher), Incarnation: digest.Incarnation, Sequence: digest.Sequence})
	}
	return versions
}

// recordsNewerThan returns the records that the peer does not know or of which it has
// a lower generation.
func (table *Table) recordsNewerThan(theirs []*wire.Version) []*wire.Record {
	peerHas := map[string]uint64{}
	for _, version := range theirs {
		peerHas[version.GetKey()] = version.GetVersion()
	}
	var newer []*wire.Record
	for _, record := range table.Records(KeyPrefix) {
		if record.Generation > peerHas[record.Key] {
			newer = append(newer, &wire.Record{Key: record.Key, Version: record.Generation, Era: record.Revision.Era, Revision: record.Revision.Number, Value: record.Value})
		}
	}
	return newer
}

// digestsNewerThan returns the digests that the peer does not know or of which it
// knows an older version.
func (table *Table) digestsNewerThan(theirs []*wire.DigestVersion, now time.Duration) []*wire.Digest {
	peerHas := map[shedkeel.NodeID]Digest{}
	for _, version := range theirs {
		watcher := shedkeel.NodeID(version.GetWatcher())
		peerHas[watcher] = Digest{Watcher: watcher, Incarnation: version.GetIncarnation(), Sequence: version.GetSequence()}
	}
	var newer []*wire.Digest
	for _, digest := range table.Digests() {
		if known, found := peerHas[digest.Watcher]; found && !digestIsNewer(digest, known) {
			continue
		}
		newer = append(newer, digestToWire(digest, now))
	}
	return newer
}

func nodeToWire(node shedkeel.Node) *wire.Node {
	return &wire.Node{
		Id: string(node.ID), Incarnation: node.Incarnation, Zone: string(node.Zone),
		Wire: node.Wire, Entry: node.Entry, Stopping: node.Stopping, Heartbeat: node.Heartbeat,
		Config: node.Config,
	}
}

func nodeFromWire(message *wire.Node) shedkeel.Node {
	return shedkeel.Node{
		ID: shedkeel.NodeID(message.GetId()), Incarnation: message.GetIncarnation(), Zone: shedkeel.ZoneID(message.GetZone()),
		Wire: message.GetWire(), Entry: message.GetEntry(), Stopping: message.GetStopping(), Heartbeat: message.GetHeartbeat(),
		Config: message.GetConfig(),
	}
}

// digestToWire encodes a digest with its age at now in place of its time, because
// the clocks of two processes cannot be compared.
func digestToWire(digest Digest, now time.Duration) *wire.Digest {
	// Round the age up, so that the digest never looks younger than it is.
	age := (now - digest.AsOf + time.Millisecond - 1) / time.Millisecond
	message := &wire.Digest{Watcher: string(digest.Watcher), Incarnation: digest.Incarnation, Sequence: digest.Sequence, AgeMs: uint64(max(age, 0))}
	for _, verdict := range digest.Verdicts {
		message.Verdicts = append(message.Verdicts, &wire.GroupVerdict{
			Group: string(verdict.Group), Epoch: verdict.Epoch, Verdict: uint32(verdict.Verdict), Load: uint32(max(verdict.Load, 0)),
		})
	}
	for _, box := range digest.Leaving {
		message.Leaving = append(message.Leaving, string(box))
	}
	return message
}

// digestFromWire decodes a digest from the reply to a call that was sent at the local
// time sent. A verdict that this version does not know is decoded as VerdictDraining,
// which grants no permit.
func digestFromWire(message *wire.Digest, sent time.Duration) Digest {
	digest := Digest{
		Watcher: shedkeel.NodeID(message.GetWatcher()), Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(),
		AsOf: sent - time.Duration(message.GetAgeMs())*time.Millisecond,
	}
	for _, verdict := range message.GetVerdicts() {
		digest.Verdicts = append(digest.Verdicts, GroupVerdict{
			Group: shedkeel.GroupID(verdict.GetGroup()), Epoch: verdict.GetEpoch(),
			Verdict: shedkeel.Verdict(min(verdict.GetVerdict(), uint32(shedkeel.VerdictDraining))), Load: int(verdict.GetLoad()),
		})
	}
	for _, box := range message.GetLeaving() {
		digest.Leaving = append(digest.Leaving, shedkeel.BoxID(box))
	}
	return digest
}
