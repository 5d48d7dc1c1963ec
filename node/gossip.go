package node

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/swim"
	"shedkeel.org/shedkeel/wire"
)

const (
	// gossipTick is how often the failure detector is called. Its shortest time is
	// 150 ms.
	gossipTick = 50 * time.Millisecond
	// readRetryDelay is the pause after a datagram could not be read.
	readRetryDelay = 100 * time.Millisecond
)

// gossip is the shell around a node's failure detector: its socket, its clock and
// the names of its peers. The nodes' records tell where datagrams go.
type gossip struct {
	node *Node
	conn net.PacketConn // nil: none, and nobody is judged

	mutex          sync.Mutex
	detector       shedkeel.FailureDetector
	addresses      map[shedkeel.NodeID]netip.AddrPort
	seenChanges    uint64                                // of the detector, as the node's peers know them
	loggedExcluded map[shedkeel.NodeID]shedkeel.Liveness // those that do not serve, as logged last
}

// prepare makes the failure detector.
func (gossip *gossip) prepare(random shedkeel.Random) {
	gossip.detector = &swim.Detector{Self: gossip.node.Settings.Node, Random: random}
}

// setPeers makes these the nodes that are judged. One of a version that tells no
// address for gossip is not: it counts as alive while it is listed.
func (gossip *gossip) setPeers(nodes []nodeRecord) {
	addresses := map[shedkeel.NodeID]netip.AddrPort{}
	var ids []shedkeel.NodeID
	for _, record := range nodes {
		address, err := netip.ParseAddrPort(record.Gossip)
		if err != nil {
			continue // it tells none
		}
		addresses[record.ID] = address
		ids = append(ids, record.ID)
	}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.addresses = addresses
	gossip.detector.SetPeers(ids)
}

// run takes datagrams in until the socket is closed.
func (gossip *gossip) run() {
	buffer := make([]byte, wire.MaxDatagram)
	for {
		count, from, err := gossip.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			gossip.node.Log.Write(event.GossipFailed, slog.String("error", err.Error()))
			time.Sleep(readRetryDelay)
			continue
		}
		gossip.handleDatagram(buffer[:count], from)
	}
}

// handleDatagram takes one datagram in. Forged ones are dropped: what sends them is no node
// of this fleet.
func (gossip *gossip) handleDatagram(datagram []byte, from net.Addr) {
	message, err := wire.OpenGossip(gossip.node.Settings.Wire.Key, datagram)
	if err != nil {
		gossip.node.Log.Write(event.GossipFailed, slog.String("from", from.String()), slog.String("error", err.Error()))
		return
	}
	gossip.mutex.Lock()
	sent := gossip.detector.Receive(gossip.node.Timers.Now(), message)
	changed := gossip.livenessChanged()
	gossip.mutex.Unlock()
	if changed {
		gossip.node.peers.refreshAlive()
	}
	for _, datagram := range sent {
		if datagram.To == message.From {
			gossip.send(datagram.Message, from) // which need not be listed here yet
			continue
		}
		gossip.sendTo(datagram)
	}
}

// tick has the detector do what is due.
func (gossip *gossip) tick(now time.Duration) {
	if gossip.conn == nil {
		return
	}
	answered := gossip.node.follower.Answered()
	gossip.mutex.Lock()
	gossip.detector.Connect(answered)
	sent := gossip.detector.Tick(now)
	changed := gossip.livenessChanged()
	gossip.mutex.Unlock()
	if changed {
		gossip.node.peers.refreshAlive()
	}
	gossip.sendAll(sent)
}

// livenessChanged reports whether a node stands otherwise than it did when this was last
// asked. The mutex is held.
func (gossip *gossip) livenessChanged() bool {
	now := gossip.detector.Changes()
	changed := now != gossip.seenChanges
	gossip.seenChanges = now
	return changed
}

// leave tells others that this node stops.
func (gossip *gossip) leave() {
	if gossip.conn == nil {
		return
	}
	gossip.mutex.Lock()
	sent := gossip.detector.Leave(gossip.node.Timers.Now())
	gossip.mutex.Unlock()
	gossip.sendAll(sent)
}

func (gossip *gossip) sendAll(datagrams []shedkeel.GossipDatagram) {
	for _, datagram := range datagrams {
		gossip.sendTo(datagram)
	}
}

func (gossip *gossip) sendTo(datagram shedkeel.GossipDatagram) {
	gossip.mutex.Lock()
	address, known := gossip.addresses[datagram.To]
	gossip.mutex.Unlock()
	if known {
		gossip.send(datagram.Message, net.UDPAddrFromAddrPort(address))
	}
}

// send sends a datagram. One that is lost is asked for again.
func (gossip *gossip) send(message shedkeel.GossipMessage, to net.Addr) {
	sealed, err := wire.SealGossip(gossip.node.Settings.Wire.Key, message)
	if err == nil {
		_, err = gossip.conn.WriteTo(sealed, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		gossip.node.Log.Write(event.GossipFailed, slog.String("to", to.String()), slog.String("error", err.Error()))
	}
}

// liveness returns how a node stands in the view of this one.
func (gossip *gossip) liveness(id shedkeel.NodeID) shedkeel.Liveness {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.detector.Liveness(id)
}

// filterAlive returns those of the nodes that are neither suspected nor gone.
func (gossip *gossip) filterAlive(nodes []nodeRecord) []nodeRecord {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(nodes), func(record nodeRecord) bool { return gossip.detector.Liveness(record.ID) != shedkeel.Alive })
}

// serves reports whether callers may be sent to a node: one that is alive, or
// suspected, since it may only stand still for a moment.
func (gossip *gossip) serves(id shedkeel.NodeID) bool { return mayServe(gossip.liveness(id)) }

func mayServe(liveness shedkeel.Liveness) bool {
	return liveness == shedkeel.Alive || liveness == shedkeel.Suspected
}

// isolated reports whether this node can judge nobody.
func (gossip *gossip) isolated() bool {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.detector.Isolated(gossip.node.Timers.Now())
}

// logExclusions logs which nodes are not named any more, and which are again.
func (gossip *gossip) logExclusions(nodes []nodeRecord) {
	gossip.mutex.Lock()
	now := map[shedkeel.NodeID]shedkeel.Liveness{}
	for _, record := range nodes {
		if liveness := gossip.detector.Liveness(record.ID); !mayServe(liveness) {
			now[record.ID] = liveness
		}
	}
	before := gossip.loggedExcluded
	gossip.loggedExcluded = now
	gossip.mutex.Unlock()
	lost, back := changedKeys(before, now)
	if len(lost)+len(back) > 0 {
		gossip.node.Log.Write(event.NodesJudged, slog.Int("unnamed", len(now)), slog.Any("lost", lost), slog.Any("back", back))
	}
}
