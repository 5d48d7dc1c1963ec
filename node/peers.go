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

// maxLoggedNodes is how many nodes that came or went are named in a line.
const maxLoggedNodes = 8

// peers are the other nodes, as far as they are known.
type peers struct {
	node *Node

	mutex         sync.Mutex
	nodes         []nodeRecord                            // as compareNodes orders them, this node among them
	alive         []nodeRecord                            // those of them that answer
	views         atomic.Uint64                           // how often these have changed
	aliveSince    time.Duration                           // when they changed last
	lastJoin      time.Duration                           // when a node was listed last that was not before
	granters      map[shedkeel.InstanceID]shedkeel.NodeID // of servers that were asked about, while they don't
	known         map[shedkeel.NodeID]*peer
	seeds         []*peer // from the settings: asked while no nodes are known
	startupRelays []*peer // relays that were asked at the start
	// random is not used elsewhere, and only with the mutex held.
	random shedkeel.Random

	packer  transfer.Packer
	copies  transfer.Copies
	batches transfer.Batches
}

// peer is one other node.
type peer struct {
	id     shedkeel.NodeID
	node   *Node
	wire   *wire.Peer
	asked  *wire.Peer // for requests, which must not wait while the other one dials
	failed failure    // as a node to be followed
	mute   failure    // as the node that spreads requests
}

// prepare makes peers of the seeds. A seed's name is its address until its
// record tells another.
func (peers *peers) prepare() {
	settings := &peers.node.Settings
	for _, address := range settings.Seeds {
		if address != settings.Listen.Control {
			peers.seeds = append(peers.seeds, peers.dial(shedkeel.NodeID(address), address))
		}
	}
}

// dial returns a new peer at the address. It connects when it is first asked.
func (peers *peers) dial(id shedkeel.NodeID, address string) *peer {
	key := peers.node.Settings.Wire.Key
	return &peer{id: id, node: peers.node, wire: &wire.Peer{Address: address, Key: key}, asked: &wire.Peer{Address: address, Key: key}}
}

// update makes these the nodes that are known.
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
		same := before[other.ID]
		if same == nil || same.wire.Address != other.Control {
			same = peers.dial(other.ID, other.Control)
		}
		peers.known[other.ID] = same
	}
	for id, peer := range before {
		if peers.known[id] != peer {
			peer.close()
		}
	}
	peers.node.gossip.setPeers(nodes)
	peers.setAlive(peers.node.gossip.filterAlive(nodes))
	came, went := changedKeys(before, peers.known)
	if len(came) > 0 {
		peers.lastJoin = peers.node.Timers.Now()
	}
	peers.node.Log.Write(event.NodesChanged, slog.Int("nodes", len(nodes)), slog.Any("came", came), slog.Any("went", went), slog.Duration("age", peers.node.fleet.mirrorAge()))
}

// changedKeys returns which nodes came and which went, as far as they are logged.
func changedKeys[Value any](before, after map[shedkeel.NodeID]Value) (came, went []shedkeel.NodeID) {
	return missingKeys(after, before), missingKeys(before, after)
}

// missingKeys returns some of the nodes of one map that another lacks.
func missingKeys[Value any](of, in map[shedkeel.NodeID]Value) []shedkeel.NodeID {
	var found []shedkeel.NodeID
	for id := range of {
		if _, has := in[id]; !has && len(found) < maxLoggedNodes {
			found = append(found, id)
		}
	}
	return found
}

// refreshAlive takes in that other nodes answer than did.
func (peers *peers) refreshAlive() {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.setAlive(peers.node.gossip.filterAlive(peers.nodes))
}

// setAlive makes these the nodes that answer. The mutex is held.
func (peers *peers) setAlive(alive []nodeRecord) {
	if slices.Equal(peers.alive, alive) {
		return
	}
	peers.alive = alive
	peers.granters = nil
	peers.aliveSince = peers.node.Timers.Now()
	peers.views.Add(1)
}

// heard returns which part of the nodes that are listed and don't stop answers, and
// since when the same nodes answer.
func (peers *peers) heard() (part float64, settled time.Duration) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	goesOn := func(records []nodeRecord) (count int) {
		for _, record := range records {
			if !record.Stopping {
				count++
			}
		}
		return count
	}
	return float64(goesOn(peers.alive)) / float64(max(goesOn(peers.nodes), 1)), peers.aliveSince
}

// granter returns the node that grants the permits of a backend server, the same at
// all nodes that see the same ones alive, or false while no node is known.
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

// withOwn returns the nodes that answer in order and this one's place among them,
// though it may not be listed yet: it follows others too, once there are any. The
// mutex is held.
//
// What one node does for all passes to the next as soon as it is suspected.
func (peers *peers) withOwn() (nodes []nodeRecord, own int, listed bool) {
	record := peers.node.ownRecord()
	place, listed := slices.BinarySearchFunc(peers.alive, record, compareNodes)
	if listed {
		return peers.alive, place, true
	}
	return slices.Insert(slices.Clone(peers.alive), place, record), place, false
}

// others returns the other nodes as mirrors that may be asked: those that answer,
// if there are any.
func (peers *peers) others() []mirror.Peer {
	asked := peers.answering()
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

// lastCame returns when a node was listed last that was not before.
func (peers *peers) lastCame() time.Duration {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.lastJoin
}

// listed returns the nodes in order.
func (peers *peers) listed() []nodeRecord {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.nodes
}

// peer returns the node of that name, or nil.
func (peers *peers) peer(id shedkeel.NodeID) *peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.known[id]
}

func (peers *peers) all() []*peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var found []*peer
	for _, peer := range peers.known {
		found = append(found, peer)
	}
	return found
}

// answering returns the other nodes that answer.
func (peers *peers) answering() []*peer {
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

func (peers *peers) close() {
	for _, peer := range slices.Concat(peers.all(), peers.seeds, peers.startupRelays) {
		peer.close()
	}
}

func (peer *peer) close() {
	peer.wire.Close()
	peer.asked.Close()
}

// Name names the node.
func (peer *peer) Name() string { return string(peer.id) }

// Handle answers other nodes.
func (peers *peers) Handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Relay:
		return peers.handleRelay(ctx, kind.Relay)
	case *wire.Call_Notice:
		return peers.takeNotice(kind.Notice)
	case *wire.Call_Spread:
		return peers.takeSpread(kind.Spread)
	case *wire.Call_Demand:
		return peers.takeDemand(kind.Demand)
	case *wire.Call_Blame:
		return peers.node.guard.take(kind.Blame)
	case *wire.Call_Permit:
		return peers.node.limits.takePermit(kind.Permit)
	case *wire.Call_Limit:
		return peers.node.limits.takeLimits(kind.Limit)
	case *wire.Call_Register:
		return peers.node.registrar.handle(ctx, kind.Register)
	}
	return &wire.Reply{Error: "a node answers relays, notices, spreads, demands, blames, permits, limits and registrations only; upgrade one side"}
}

// place returns this node's place among the nodes.
func (peers *peers) place() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for index, node := range peers.nodes {
		if node.ID == peers.node.Settings.Node {
			return index
		}
	}
	return len(peers.nodes)
}
