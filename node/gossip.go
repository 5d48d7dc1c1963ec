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
	// gossipTick is how often the failure detector is called. The detector's shortest
	// time-out is 150 ms, so a time-out ends late by at most a third of that.
	gossipTick = 50 * time.Millisecond
	// readRetryDelay is the delay after reading a datagram failed. It limits the log lines
	// of a lasting failure to ten per second.
	readRetryDelay = 100 * time.Millisecond
)

// gossip connects the failure detector to a socket, the clock and the addresses of the
// other nodes, which come from their records.
type gossip struct {
	node *Node
	conn net.PacketConn // nil: no gossip, and no node is judged

	mutex          sync.Mutex
	detector       shedkeel.FailureDetector
	addresses      map[shedkeel.NodeID]netip.AddrPort    // of the listed nodes whose records state an IP address and port for gossip
	seenChanges    uint64                                // the detector's change count at the last call of livenessChanged
	loggedExcluded map[shedkeel.NodeID]shedkeel.Liveness // listed nodes to which callers may not be sent (see mayServe), as last logged
}

// prepare creates the failure detector.
func (gossip *gossip) prepare(random shedkeel.Random) {
	gossip.detector = &swim.Detector{Self: gossip.node.Settings.Node, Random: random}
}

// setPeers sets the nodes that the failure detector judges. A node whose record states no
// IP address and port for gossip is not judged: it counts as alive while it is listed.
func (gossip *gossip) setPeers(nodes []nodeRecord) {
	addresses := map[shedkeel.NodeID]netip.AddrPort{}
	var ids []shedkeel.NodeID
	for _, record := range nodes {
		address, err := netip.ParseAddrPort(record.Gossip)
		if err != nil {
			continue // the node's version has no gossip, or the address has a host name
		}
		addresses[record.ID] = address
		ids = append(ids, record.ID)
	}
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.addresses = addresses
	gossip.detector.SetPeers(ids)
}

// run receives datagrams until the socket is closed.
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

// handleDatagram passes one datagram to the failure detector and sends the detector's
// responses. It logs and drops a datagram that can't be decoded or is not authentic, that is,
// not sealed with the fleet's key. If the datagram changes the liveness of a node,
// handleDatagram updates the alive nodes.
func (gossip *gossip) handleDatagram(datagram []byte, from net.Addr) {
	message, err := wire.OpenGossip(gossip.node.Settings.Wire.Key, datagram)
	if err != nil {
		gossip.node.Log.Write(event.GossipFailed, slog.String("from", from.String()), slog.String("error", err.Error()))
		return
	}
	gossip.mutex.Lock()
	outgoing := gossip.detector.Receive(gossip.node.Timers.Now(), message)
	changed := gossip.livenessChanged()
	gossip.mutex.Unlock()
	if changed {
		gossip.node.peers.refreshAlive()
	}
	for _, response := range outgoing {
		if response.To == message.From {
			gossip.send(response.Message, from) // the sender may not be listed here yet
			continue
		}
		gossip.sendTo(response)
	}
}

// tick calls the failure detector and sends the detector's datagrams, if there is a socket. If
// the liveness of a node changes, tick updates the alive nodes. An answer of the key-value
// service shows the detector that this node is not cut off, even if no node answers.
func (gossip *gossip) tick(now time.Duration) {
	if gossip.conn == nil {
		return
	}
	lastConfirmed := gossip.node.follower.LastConfirmed()
	gossip.mutex.Lock()
	gossip.detector.NoteContact(lastConfirmed)
	outgoing := gossip.detector.Tick(now)
	changed := gossip.livenessChanged()
	gossip.mutex.Unlock()
	if changed {
		gossip.node.peers.refreshAlive()
	}
	gossip.sendAll(outgoing)
}

// livenessChanged reports whether the liveness of any node has changed since the last
// call. The caller holds the mutex.
func (gossip *gossip) livenessChanged() bool {
	now := gossip.detector.Changes()
	changed := now != gossip.seenChanges
	gossip.seenChanges = now
	return changed
}

// leave announces to other nodes that this node stops, if there is a socket.
func (gossip *gossip) leave() {
	if gossip.conn == nil {
		return
	}
	gossip.mutex.Lock()
	outgoing := gossip.detector.Leave(gossip.node.Timers.Now())
	gossip.mutex.Unlock()
	gossip.sendAll(outgoing)
}

func (gossip *gossip) sendAll(datagrams []shedkeel.GossipDatagram) {
	for _, datagram := range datagrams {
		gossip.sendTo(datagram)
	}
}

// sendTo sends a datagram to the node that it names, or drops it if the node's address is
// not known.
func (gossip *gossip) sendTo(datagram shedkeel.GossipDatagram) {
	gossip.mutex.Lock()
	address, known := gossip.addresses[datagram.To]
	gossip.mutex.Unlock()
	if known {
		gossip.send(datagram.Message, net.UDPAddrFromAddrPort(address))
	}
}

// send sends a datagram. It logs an error but does not return the error, because the failure
// detector tolerates loss. It does not log the error that the socket is closed.
func (gossip *gossip) send(message shedkeel.GossipMessage, to net.Addr) {
	sealed, err := wire.SealGossip(gossip.node.Settings.Wire.Key, message)
	if err == nil {
		_, err = gossip.conn.WriteTo(sealed, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		gossip.node.Log.Write(event.GossipFailed, slog.String("to", to.String()), slog.String("error", err.Error()))
	}
}

// liveness returns the liveness of a node as this node sees it.
func (gossip *gossip) liveness(id shedkeel.NodeID) shedkeel.Liveness {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.detector.Liveness(id)
}

// filterAlive returns the nodes whose liveness is shedkeel.Alive.
func (gossip *gossip) filterAlive(nodes []nodeRecord) []nodeRecord {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(nodes), func(record nodeRecord) bool { return gossip.detector.Liveness(record.ID) != shedkeel.Alive })
}

// mayServeCallers reports whether callers may be sent to a node, because it is alive or only
// suspected. A suspected node is not necessarily lost: it may have paused for a moment.
func (gossip *gossip) mayServeCallers(id shedkeel.NodeID) bool { return mayServe(gossip.liveness(id)) }

// mayServe reports whether callers may be sent to a node of this liveness.
func mayServe(liveness shedkeel.Liveness) bool {
	return liveness == shedkeel.Alive || liveness == shedkeel.Suspected
}

// isolated reports whether this node is likely cut off, because it receives nothing, neither
// from other nodes nor from the key-value service. An isolated node can't judge other nodes.
func (gossip *gossip) isolated() bool {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.detector.Isolated(gossip.node.Timers.Now())
}

// logExclusions logs which listed nodes are newly excluded since the last call and which are no
// longer excluded, or nothing if there is neither. A node is excluded while callers may not be
// sent to it (see mayServe). The log line names at most maxLoggedNodes of each kind and states
// the number of all excluded nodes.
func (gossip *gossip) logExclusions(nodes []nodeRecord) {
	gossip.mutex.Lock()
	excluded := map[shedkeel.NodeID]shedkeel.Liveness{}
	for _, record := range nodes {
		if liveness := gossip.detector.Liveness(record.ID); !mayServe(liveness) {
			excluded[record.ID] = liveness
		}
	}
	logged := gossip.loggedExcluded
	gossip.loggedExcluded = excluded
	gossip.mutex.Unlock()
	lost, back := changedKeys(logged, excluded)
	if len(lost)+len(back) > 0 {
		gossip.node.Log.Write(event.NodeStatesChanged, slog.Int("unnamed", len(excluded)), slog.Any("lost", lost), slog.Any("back", back))
	}
}
