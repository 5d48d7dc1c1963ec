package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/transfer"
	"shedkeel.org/shedkeel/wire"
)

// maxLoggedNodes limits how many joined nodes, and how many lost nodes, one log line names.
const maxLoggedNodes = 8

// peers are the nodes that this node knows, and the clients of the other nodes.
type peers struct {
	node *Node

	mutex         sync.Mutex
	nodes         []nodeRecord                            // listed nodes in the order of compareNodes, including this node if it is listed
	alive         []nodeRecord                            // listed nodes that are alive, in the same order
	aliveVersion  atomic.Uint64                           // number of times that alive has changed
	aliveSince    time.Duration                           // when alive last changed
	lastJoin      time.Duration                           // when the last node joined the listed nodes
	granters      map[shedkeel.InstanceID]shedkeel.NodeID // cache for the method granter; nil: empty, as after a change of alive
	known         map[shedkeel.NodeID]*peer               // clients of the other listed nodes
	seeds         []*peer                                 // from the settings; asked while no other node is listed, and followed as startupSeed says
	startupRelays []*peer                                 // relays from which this node may get its first copy (see dialStartupRelays)
	// random picks the partition to ask for a recommendation (see randomPartition). The mutex
	// guards random, and nothing else uses this source of random numbers.
	random shedkeel.Random

	encoder   transfer.Encoder
	snapshots transfer.SnapshotCache
	batches   transfer.BatchCache
}

// peer is the client of one other node.
type peer struct {
	id            shedkeel.NodeID // of the other node; its address if it is a seed or a startup relay
	node          *Node           // this node, not the other one
	wire          *wire.Peer      // connection for most calls
	priorityWire  *wire.Peer      // connection for calls that must not wait while wire connects
	relayWire     *wire.Peer      // connection for the data of relayed connections
	followFailure failure         // when Relay last found the peer unfit to follow; choose passes over the peer for followBackoff
	relayFailure  failure         // when the peer last failed to open a connection to a backend server, for a reason of its own
	spreadFailure failure         // when the peer last failed to answer as a spreader; it is not asked again for spreaderBackoff
}

// prepare creates the clients of the seeds. A seed's address serves as its ID, because its
// record is not known yet.
func (peers *peers) prepare() {
	settings := &peers.node.Settings
	for _, address := range settings.Seeds {
		if address != settings.Listen.Control {
			peers.seeds = append(peers.seeds, peers.dial(shedkeel.NodeID(address), address))
		}
	}
}

// dial returns a new client of the node at the address. The client connects at its first
// call.
func (peers *peers) dial(id shedkeel.NodeID, address string) *peer {
	client := func() *wire.Peer {
		return &wire.Peer{Address: address, Key: peers.node.Settings.Wire.Key, Room: peers.node.Messages, Dial: peers.node.DialNode}
	}
	return &peer{id: id, node: peers.node, wire: client(), priorityWire: client(), relayWire: client()}
}

// update replaces the listed nodes, which are in the order of compareNodes. It closes the
// connections to nodes that are no longer listed or have another address, passes the nodes to
// the failure detector, and logs which other nodes joined and which were lost, at most
// maxLoggedNodes of each. If a node joined, update sets lastJoin.
func (peers *peers) update(nodes []nodeRecord) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	before := peers.known
	peers.nodes = nodes
	peers.known = map[shedkeel.NodeID]*peer{}
	for _, other := range nodes {
		if other.ID == peers.node.Settings.Node {
			continue
		}
		known := before[other.ID]
		if known == nil || known.wire.Address != other.Control {
			known = peers.dial(other.ID, other.Control)
		}
		peers.known[other.ID] = known
	}
	for id, peer := range before {
		if peers.known[id] != peer {
			peer.close()
		}
	}
	peers.node.gossip.setPeers(nodes)
	peers.setAlive(peers.node.gossip.filterAlive(nodes))
	joined, lost := changedKeys(before, peers.known)
	if len(joined) > 0 {
		peers.lastJoin = peers.node.Timers.Now()
	}
	peers.node.Log.Write(event.NodesChanged, slog.Int("nodes", len(nodes)), slog.Any("came", joined), slog.Any("went", lost), slog.Duration("age", peers.node.fleet.mirrorAge()))
}

// changedKeys returns the nodes that are only in after (joined) and the nodes that are only in
// before (lost), at most maxLoggedNodes of each.
func changedKeys[Value any](before, after map[shedkeel.NodeID]Value) (joined, lost []shedkeel.NodeID) {
	return missingKeys(after, before), missingKeys(before, after)
}

// missingKeys returns the nodes that the other map lacks, at most maxLoggedNodes.
func missingKeys[Value any](nodes, other map[shedkeel.NodeID]Value) []shedkeel.NodeID {
	var found []shedkeel.NodeID
	for id := range nodes {
		if _, common := other[id]; !common && len(found) < maxLoggedNodes {
			found = append(found, id)
		}
	}
	return found
}

// refreshAlive updates the alive nodes after the failure detector's view has changed.
func (peers *peers) refreshAlive() {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.setAlive(peers.node.gossip.filterAlive(peers.nodes))
}

// setAlive replaces the alive nodes, and records the change if there is one. The caller holds
// the mutex.
func (peers *peers) setAlive(alive []nodeRecord) {
	if slices.EqualFunc(peers.alive, alive, nodeRecord.equalsExceptWrite) {
		return
	}
	peers.alive = alive
	peers.granters = nil
	peers.aliveSince = peers.node.Timers.Now()
	peers.aliveVersion.Add(1)
}

// aliveFraction returns the fraction of the listed nodes that are alive, not counting
// stopping nodes, and the time of the last change of the alive nodes. The fraction is 0 if
// all listed nodes are stopping or none is listed.
func (peers *peers) aliveFraction() (fraction float64, since time.Duration) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	countServing := func(records []nodeRecord) (count int) {
		for _, record := range records {
			if !record.Stopping {
				count++
			}
		}
		return count
	}
	return float64(countServing(peers.alive)) / float64(max(countServing(peers.nodes), 1)), peers.aliveSince
}

// granter returns the node that grants the permits of a backend server, or false while no
// listed node is alive. All nodes with the same view of the alive nodes choose the same
// granter, by rendezvous hashing.
func (peers *peers) granter(server shedkeel.InstanceID) (shedkeel.NodeID, bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if granter, known := peers.granters[server]; known {
		return granter, true
	}
	if len(peers.alive) == 0 {
		return "", false
	}
	first := slices.MinFunc(peers.alive, func(a, b nodeRecord) int {
		return cmp.Compare(pairHash(server, a.ID), pairHash(server, b.ID))
	})
	if peers.granters == nil {
		peers.granters = map[shedkeel.InstanceID]shedkeel.NodeID{}
	}
	peers.granters[server] = first.ID
	return first.ID, true
}

// aliveWithSelf returns the alive nodes in the order of compareNodes, this node's index among
// them, and whether this node is listed. Its place is that of its listed record, as for all other nodes, even if
// its former process wrote that record with another capacity. An unlisted node is inserted, because its index decides
// which nodes it follows (see followOrder). Suspected nodes are left out, so that their duties
// for the whole fleet pass to the next node at once. The caller holds the mutex.
func (peers *peers) aliveWithSelf() (nodes []nodeRecord, own int, listed bool) {
	record := peers.node.ownRecord()
	if index := slices.IndexFunc(peers.alive, func(other nodeRecord) bool { return other.ID == record.ID }); index >= 0 {
		return peers.alive, index, true
	}
	index, _ := slices.BinarySearchFunc(peers.alive, record, compareNodes)
	return slices.Insert(slices.Clone(peers.alive), index, record), index, false
}

// others returns the other nodes whose mirrors may be asked: the alive ones if there are
// any, else all listed ones, else the seeds.
func (peers *peers) others() []mirror.Peer {
	asked := peers.alivePeers()
	if len(asked) == 0 {
		asked = peers.all()
	}
	if len(asked) == 0 {
		asked = peers.seeds
	}
	var found []mirror.Peer
	for _, peer := range asked {
		found = append(found, peer)
	}
	return found
}

// lastJoinTime returns when the last node joined the listed nodes.
func (peers *peers) lastJoinTime() time.Duration {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.lastJoin
}

// listed returns the listed nodes in the order of compareNodes.
func (peers *peers) listed() []nodeRecord {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.nodes
}

// peer returns the client of the node with this ID, or nil if no other listed node has the ID.
func (peers *peers) peer(id shedkeel.NodeID) *peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.known[id]
}

// all returns the clients of all other listed nodes.
func (peers *peers) all() []*peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var found []*peer
	for _, peer := range peers.known {
		found = append(found, peer)
	}
	return found
}

// alivePeers returns the clients of the other nodes that are alive.
func (peers *peers) alivePeers() []*peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var found []*peer
	for _, record := range peers.alive {
		if peer := peers.known[record.ID]; peer != nil {
			found = append(found, peer)
		}
	}
	return found
}

// close closes the connections to all other nodes, seeds and startup relays.
func (peers *peers) close() {
	for _, peer := range slices.Concat(peers.all(), peers.seeds, peers.startupRelays) {
		peer.close()
	}
}

func (peer *peer) close() {
	peer.wire.Close()
	peer.priorityWire.Close()
	peer.relayWire.Close()
}

// Name returns the node's ID. For a seed or a startup relay, whose ID is not known, it
// returns the node's address.
func (peer *peer) Name() string { return string(peer.id) }

// Handle answers a call of another node, or returns an error reply if it does not know the
// kind of the call.
func (peers *peers) Handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Relay:
		return peers.handleRelay(ctx, kind.Relay)
	case *wire.Call_Notice:
		return peers.handleNotice(kind.Notice)
	case *wire.Call_Spread:
		return peers.handleSpread(kind.Spread)
	case *wire.Call_Activity:
		return peers.handleActivity(kind.Activity)
	case *wire.Call_Demand:
		return peers.handleDemand(kind.Demand)
	case *wire.Call_Blame:
		return peers.node.guard.handle(kind.Blame)
	case *wire.Call_Parts:
		return peers.node.guard.handleParts(kind.Parts)
	case *wire.Call_Permit:
		return peers.node.limits.handlePermit(kind.Permit)
	case *wire.Call_Limit:
		return peers.node.limits.handleLimits(kind.Limit)
	case *wire.Call_Register:
		return peers.node.registrar.handle(ctx, kind.Register)
	}
	return &wire.Reply{Error: "a node answers relays, notices, spreads, activities, demands, blames, parts, permits, limits and registrations only; upgrade one side"}
}

// ownIndex returns this node's index among the listed nodes, or the number of listed nodes if
// this node is not among them.
func (peers *peers) ownIndex() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for index, node := range peers.nodes {
		if node.ID == peers.node.Settings.Node {
			return index
		}
	}
	return len(peers.nodes)
}
