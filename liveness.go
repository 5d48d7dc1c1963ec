package shedkeel

import "time"

// Liveness is how a node stands in the view of another.
type Liveness int

const (
	// Alive is also what a node counts as that is not judged.
	Alive Liveness = iota
	// Suspected nodes did not answer. They are dead unless they refute it soon.
	Suspected
	// Dead nodes did not refute a suspicion in time.
	Dead
	// Left nodes said themselves that they stop.
	Left
	// Unheard nodes are listed, and nobody has told of a sign of life of theirs.
	Unheard
)

// String returns the word for logs and operators. Another version of the program
// may send one that is not known here.
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
	case Unheard:
		return "unheard"
	}
	return "unknown"
}

// GossipKind is what a message between failure detectors asks.
type GossipKind int

// What a message asks for, or is.
const (
	GossipPing    GossipKind = iota + 1 // answer this
	GossipAck                           // an answer
	GossipPingFor                       // ping the target in the sender's place
)

// GossipMessage is one datagram between failure detectors.
type GossipMessage struct {
	Kind        GossipKind
	Sequence    uint64 // an answer has that of its question
	From        NodeID
	Incarnation uint32 // of the sender
	// Target is who is to be pinged in the sender's place or, in an answer, who
	// was heard.
	Target  NodeID
	Updates []GossipUpdate
}

// GossipUpdate is what one node says of another.
type GossipUpdate struct {
	Node        uint64 // HashNode of its name
	Liveness    Liveness
	Incarnation uint32        // of the node that is spoken of
	Age         time.Duration // how long ago the suspicion began
}

// GossipDatagram is a message on its way to a node.
type GossipDatagram struct {
	To      NodeID
	Message GossipMessage
}

// FailureDetector decides which nodes live. It has no clock, socket or goroutine
// of its own: times are durations on the caller's steady clock, and the datagrams
// that it returns are to be sent.
type FailureDetector interface {
	// SetPeers makes these the nodes that are judged.
	SetPeers(peers []NodeID)
	// Connect notes that something other than a peer has answered this node, so
	// that it is not itself cut off.
	Connect(now time.Duration)
	// Tick does what is due. It is called some times within a period.
	Tick(now time.Duration) []GossipDatagram
	// Receive takes a message in.
	Receive(now time.Duration, message GossipMessage) []GossipDatagram
	// Leave tells others that this node stops.
	Leave(now time.Duration) []GossipDatagram
	// Liveness returns how a node stands. One that is not judged is alive.
	Liveness(peer NodeID) Liveness
	// Changes returns how often how a node stands has changed. It only grows.
	Changes() uint64
	// Isolated reports whether this node can judge nobody, because it hears nobody
	// itself.
	Isolated(now time.Duration) bool
}
