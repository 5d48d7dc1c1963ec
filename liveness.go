package shedkeel

import "time"

// Liveness is the state of a node in the view of another node's failure detector.
type Liveness int

const (
	// Alive is also the state of nodes that the detector does not monitor.
	Alive Liveness = iota
	// Suspected nodes answered neither a ping of this or another node nor the indirect
	// pings that followed. They become dead unless they refute the suspicion in time.
	Suspected
	// Dead nodes did not refute the suspicion in time.
	Dead
	// Left nodes announced that they stop.
	Left
	// Unconfirmed nodes were first listed as peers after this node's startup period
	// (startupTrustTime in package swim), and neither a message from them nor a report of
	// another node has shown yet that they are alive. Nodes that are listed during the
	// startup period are presumed alive, since the whole fleet may be starting.
	Unconfirmed
)

// String returns the name of the state for logs and operators; that of Unconfirmed is
// "unheard". It returns "unknown" for a state that only another version of the program
// defines.
func (liveness Liveness) String() string {
	switch liveness {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	case Left:
		return "left"
	case Unconfirmed:
		return "unheard"
	}
	return "unknown"
}

// GossipKind is the kind of a message between failure detectors.
type GossipKind int

// The kinds of gossip messages.
const (
	GossipPing         GossipKind = iota + 1 // requests an ack
	GossipAck                                // answers a ping
	GossipIndirectPing                       // requests that the receiver pings Target on behalf of the sender
)

// GossipMessage is the content of a datagram between failure detectors.
type GossipMessage struct {
	Kind        GossipKind
	Sequence    uint64 // an ack repeats the number of its ping
	From        NodeID
	Incarnation uint32 // of the sender
	// Target is the node to ping in a GossipIndirectPing, and the node that answered in
	// a GossipAck.
	Target  NodeID
	Updates []GossipUpdate
}

// GossipUpdate is a report about the state of a node. Nodes pass on the reports that
// they receive, with the messages that they send.
type GossipUpdate struct {
	Node        uint64 // HashNode of the name of the node
	Liveness    Liveness
	Incarnation uint32        // of the node that the update is about
	Age         time.Duration // of a suspected node: time since the suspicion began
}

// GossipDatagram is a message to send to a node.
type GossipDatagram struct {
	To      NodeID
	Message GossipMessage
}

// FailureDetector decides which nodes are alive. It has no clock, socket or
// goroutine of its own: times are durations on the caller's monotonic clock, and
// the caller must send the datagrams that the methods return.
type FailureDetector interface {
	// SetPeers replaces the set of monitored nodes, and drops the state of all others.
	SetPeers(peers []NodeID)
	// NoteContact records that a host other than a peer answered this node at the given
	// time, which shows that this node was not isolated then.
	NoteContact(now time.Duration)
	// Tick returns the datagrams that are due. The caller calls it several times
	// per protocol period.
	Tick(now time.Duration) []GossipDatagram
	// Receive processes a message and returns the datagrams to send in response.
	Receive(now time.Duration, message GossipMessage) []GossipDatagram
	// Leave returns the datagrams that announce to some other nodes that this node stops.
	Leave(now time.Duration) []GossipDatagram
	// Liveness returns the state of a node. Nodes that are not monitored are alive.
	Liveness(peer NodeID) Liveness
	// Changes returns how many times the state of any node has changed so far.
	Changes() uint64
	// Isolated reports whether this node has received nothing from other hosts for so
	// long that this node is likely cut off itself and cannot judge other nodes.
	Isolated(now time.Duration) bool
}
