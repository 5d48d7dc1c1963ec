package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
)

const (
	// sizeKey is the key under which the leader writes the size of the fleet.
	sizeKey = "shedkeel/fleet"
	// sizeCheckInterval is how often the leader checks whether the record of the fleet's
	// size must be written again.
	sizeCheckInterval = 2 * time.Second
	// sizeTolerance is the relative change of the number of nodes above which the record is
	// written again. Starting nodes need only the order of magnitude, so smaller changes do
	// not matter.
	sizeTolerance = 0.25
	// maxStartupRelays is how many relays a starting node asks, those of its own
	// availability zone first.
	maxStartupRelays = 4
)

// sizeRecord tells a starting node, which has no other records yet, how large its fleet is
// and which nodes relay the records of the key-value service to others.
type sizeRecord struct {
	Nodes  int            `json:"nodes"`
	Relays []startupRelay `json:"relays"` // the relays and the sources (see sourceIndexes); empty in a fleet without relays (see hasRelays)
}

// startupRelay is a node that starting nodes ask for a first copy of the records.
type startupRelay struct {
	Zone    shedkeel.ZoneID `json:"zone"`
	Control string          `json:"control"` // its control address
}

// newSizeRecord returns the size record of a fleet of these nodes, which are in the order of
// compareNodes.
func newSizeRecord(nodes []nodeRecord) sizeRecord {
	size := sizeRecord{Nodes: len(nodes)}
	if !hasRelays(len(nodes)) {
		return size
	}
	for _, index := range append(relayIndexes(nodes), sourceIndexes[:]...) {
		size.Relays = append(size.Relays, startupRelay{Zone: nodes[index].Zone, Control: nodes[index].Control})
	}
	return size
}

// isCloseTo reports whether a stored record need not be replaced by the current one: the
// relays are the same, and the number of nodes differs by at most sizeTolerance.
func (size sizeRecord) isCloseTo(current sizeRecord) bool {
	change := float64(current.Nodes - size.Nodes)
	return slices.Equal(size.Relays, current.Relays) && max(change, -change) <= sizeTolerance*float64(size.Nodes)
}

// maintainFleetSize writes the record of the fleet's size if the stored record is missing,
// unreadable or not close to the current one (see isCloseTo). It checks this once per
// sizeCheckInterval, but not at its first call. It logs an error; the next check tries again.
// Only the leader calls it.
func (controller *controller) maintainFleetSize(ctx context.Context, now time.Duration) {
	node := controller.node
	if now-controller.sizeCheckedAt < sizeCheckInterval {
		return
	}
	firstCheck := controller.sizeCheckedAt == 0
	controller.sizeCheckedAt = now
	if firstCheck {
		return // nodes that started together with this one may not be listed yet
	}
	var stored sizeRecord
	record := node.mirror.Get(sizeKey)
	if record.Revision.Exists() {
		_ = node.fleet.decodeRecord(record, &stored) // an unreadable record is overwritten
	}
	size := newSizeRecord(node.peers.listed())
	if stored.isCloseTo(size) {
		return
	}
	value, err := json.Marshal(size)
	if err != nil {
		return // never happens: the record can always be encoded
	}
	_, err = node.Store.Commit(ctx, shedkeel.Transaction{If: []shedkeel.Condition{{Key: sizeKey, Revision: record.Revision}}, Put: []shedkeel.Put{{Key: sizeKey, Value: value}}})
	if err != nil {
		node.Log.Write(event.FleetSizeWriteFailed, slog.String("error", err.Error()))
	}
}

// advise returns how this node gets its first copy of the records, for mirror.Follower: from
// other nodes, unless this node is a relay or a source, the fleet has no relays, or the size
// record is invalid. For a missing size record, see below. advise also raises nodeCountHint to the
// size record's number of nodes, and returns the error of a failed call to the key-value service.
func (peers *peers) advise(ctx context.Context) (mirror.Advice, error) {
	node := peers.node
	record, err := node.Store.GetStale(ctx, sizeKey)
	if err != nil {
		return mirror.Advice{}, err
	}
	if !record.Revision.Exists() { // the fleet's first start
		node.sharing.SetFirstStart()
		// Only a seed and a node without seeds list the records from the key-value service.
		return mirror.Advice{ListSource: peers.isSeed() || len(peers.seeds) == 0, FirstStart: true}, nil
	}
	var size sizeRecord
	if node.fleet.decodeRecord(record, &size) != nil {
		return mirror.Advice{ListSource: true}, nil
	}
	node.member.nodeCountHint.Store(max(node.member.nodeCountHint.Load(), int64(size.Nodes)))
	isRelay := slices.ContainsFunc(size.Relays, func(relay startupRelay) bool { return relay.Control == node.Settings.Listen.Control })
	if isRelay || len(size.Relays) == 0 {
		return mirror.Advice{ListSource: true}, nil
	}
	return mirror.Advice{Peers: peers.dialStartupRelays(size.Relays)}, nil
}

// dialStartupRelays returns peers for at most maxStartupRelays of the relays: those of this
// node's availability zone first, otherwise in the order of compareRelays. The connections to
// these peers are kept until the node stops, like those to seeds.
func (peers *peers) dialStartupRelays(relays []startupRelay) []mirror.Peer {
	own := peers.node.Settings
	slices.SortFunc(relays, func(a, b startupRelay) int {
		return compareRelays(own.Node, a.Zone != own.Zone, b.Zone != own.Zone, shedkeel.NodeID(a.Control), shedkeel.NodeID(b.Control))
	})
	var found []mirror.Peer
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, relay := range relays[:min(maxStartupRelays, len(relays))] {
		peer := peers.dial(shedkeel.NodeID(relay.Control), relay.Control)
		peers.startupRelays = append(peers.startupRelays, peer)
		found = append(found, peer)
	}
	return found
}
