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
	// sizeKey is where the node that plans writes how large the fleet is.
	sizeKey = "shedkeel/fleet"
	// sizeCheckInterval is how often it looks whether what stands there is still right.
	sizeCheckInterval = 2 * time.Second
	// sizeTolerance is the part by which the number of nodes must have changed for
	// it to be written again: only its magnitude matters.
	sizeTolerance = 0.25
	// maxStartupRelays is how many relays a node asks at its start, those of its own
	// availability zone first.
	maxStartupRelays = 4
)

// sizeRecord tells a node that starts, and knows nothing else, how large its
// fleet is and who lists the service's records for the others.
type sizeRecord struct {
	Nodes  int            `json:"nodes"`
	Relays []startupRelay `json:"relays"` // none in a small fleet
}

// startupRelay is a node that others ask at their start.
type startupRelay struct {
	Zone    shedkeel.ZoneID `json:"zone"`
	Control string          `json:"control"`
}

// newSizeRecord returns what stands for a fleet of these nodes.
func newSizeRecord(nodes []nodeRecord) sizeRecord {
	size := sizeRecord{Nodes: len(nodes)}
	if !hasRelays(len(nodes)) {
		return size
	}
	for _, place := range append(relayIndexes(nodes), sourceIndexes[:]...) {
		size.Relays = append(size.Relays, startupRelay{Zone: nodes[place].Zone, Control: nodes[place].Control})
	}
	return size
}

// isCloseTo reports whether what stands is still isCloseTo enough to what is.
func (size sizeRecord) isCloseTo(now sizeRecord) bool {
	change := float64(now.Nodes - size.Nodes)
	return slices.Equal(size.Relays, now.Relays) && max(change, -change) <= sizeTolerance*float64(size.Nodes)
}

// keepSize writes how large the fleet is, if that is no longer what stands. It
// is called while this node leads.
func (controller *controller) keepSize(ctx context.Context, now time.Duration) {
	node := controller.node
	if now-controller.sized < sizeCheckInterval {
		return
	}
	first := controller.sized == 0
	controller.sized = now
	if first {
		return // nodes that start with this one may not be listed yet
	}
	var standing sizeRecord
	record := node.mirror.Get(sizeKey)
	if record.Revision.Exists() {
		_ = node.fleet.read(record, &standing) // one that can't be read is written anew
	}
	size := newSizeRecord(node.peers.listed())
	if standing.isCloseTo(size) {
		return
	}
	value, err := json.Marshal(size)
	if err != nil {
		return // it can always be written
	}
	_, err = node.Store.Commit(ctx, shedkeel.Change{If: []shedkeel.Condition{{Key: sizeKey, Revision: record.Revision}}, Put: []shedkeel.Put{{Key: sizeKey, Value: value}}})
	if err != nil {
		node.Log.Write(event.SizeNotKept, slog.String("error", err.Error()))
	}
}

// advise tells how this node begins: as one that lists the service's records, or
// by what others tell that do.
func (peers *peers) advise(ctx context.Context) (mirror.Advice, error) {
	node := peers.node
	record, err := node.Store.GetStale(ctx, sizeKey)
	if err != nil {
		return mirror.Advice{}, err
	}
	if !record.Revision.Exists() { // the fleet's first start
		return mirror.Advice{List: peers.isSeed() || len(peers.seeds) == 0, First: true}, nil
	}
	var size sizeRecord
	if node.fleet.read(record, &size) != nil {
		return mirror.Advice{List: true}, nil
	}
	node.member.hint.Store(max(node.member.hint.Load(), int64(size.Nodes)))
	isRelay := slices.ContainsFunc(size.Relays, func(relay startupRelay) bool { return relay.Control == node.Settings.Listen.Control })
	if isRelay || len(size.Relays) == 0 {
		return mirror.Advice{List: true}, nil
	}
	return mirror.Advice{Peers: peers.dialStartupRelays(size.Relays)}, nil
}

// dialStartupRelays returns relays to be asked at the start, the best first. They are
// kept like seeds.
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
