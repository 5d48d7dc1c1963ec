// Package swim is a failure detector for the nodes of a fleet, by the SWIM protocol.
// Each node pings a random other node a few times a second and asks others to ping a
// node that does not answer (an indirect ping). Each message carries updates about
// other nodes. A suspected node refutes the suspicion by raising its incarnation.
//
// The load of a node does not depend on the size of the fleet, no node has a special
// role, and the detector does not use the platform's key-value service.
package swim

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// pingInterval is the time between two pings. In a large fleet each node is pinged
	// by some other node within an interval with a probability of 0.63 or more, so that
	// no more than one in a hundred failures stays unnoticed for 4.6 intervals.
	pingInterval = 200 * time.Millisecond
	// ackTimeout is how long a node may take to answer a ping before others are asked
	// to ping it. An answer usually takes 3 ms, but a box that has used up its CPU quota
	// stalls for up to 100 ms.
	ackTimeout = 150 * time.Millisecond
	// indirectTimeout is how much longer the node may take to answer an indirect ping
	// before it is suspected.
	indirectTimeout = 250 * time.Millisecond
	// indirectProbes is how many nodes are asked to ping a node that does not answer.
	// If 3 in 100 datagrams are lost, one ping in 11,000 then has no answer, direct or
	// indirect.
	indirectProbes = 3
	// suspicionTimeout is for how long a node may refute a suspicion. With the timeouts
	// above, no node that stalls for less than 2 s is declared dead.
	suspicionTimeout = 1600 * time.Millisecond
	// refutationTime is the minimum time between the receipt of a suspicion and the
	// declaration of a death, however old the suspicion is. It is long enough for a
	// refutation to arrive from any of 300 nodes. Without this minimum, a node that had
	// been cut off spread suspicions that were old enough to take effect at once.
	refutationTime = 800 * time.Millisecond
	// isolationTimeout is the time without a datagram after which a node counts itself
	// as cut off. While it is cut off, it neither suspects others nor declares them dead.
	isolationTimeout = 700 * time.Millisecond
	// stallThreshold is the time between two ticks above which a node takes itself to have
	// stalled: others may suspect it, and its open probes prove nothing about their
	// targets.
	stallThreshold = 600 * time.Millisecond
	// startupTrustTime is for how long after its own start a node presumes newly listed nodes to be
	// alive, as all of a fleet may start together. A node listed later counts as alive once any
	// node has received a message from it: its record may be late or old, and without this rule a
	// dead node counted as alive for another 2.3 s.
	startupTrustTime = 3 * time.Second
	// announceFanout is to how many nodes a node sends an update about itself at once.
	announceFanout = 5
	// maxExtraPings bounds the additional pings per interval that a node sends when
	// pings have no answer, or when it receives a message from a dead node.
	maxExtraPings = 8
	// deadPingRounds is the number of ping intervals between additional pings to a
	// random node that is dead or has left. Regular pings skip such a node, although
	// it may be alive and unaware that it counts as dead. After a network partition
	// both sides find each other by these pings.
	deadPingRounds = 4
	// maxUpdates bounds the updates of a message to what one datagram of 1.1 kB holds.
	maxUpdates = 50
	// retransmitFactor, times the binary logarithm of the number of nodes, is how often a
	// node sends an update (see transmitLimit).
	retransmitFactor = 3
)

// Detector is the failure detector of one node. Its exported fields must be set before
// its first use.
type Detector struct {
	Self   shedkeel.NodeID
	Random shedkeel.Random // must not be shared

	peers            map[shedkeel.NodeID]*peer
	byHash           map[uint64]*peer // by HashNode
	sortedPeers      []*peer          // by hash, so that a seed always gives the same run
	round            []*peer          // still to be pinged in this round
	incarnation      uint32
	leaving          bool
	ownTransmitsLeft int // how often the update about this node is still to be sent
	probes           map[uint64]*probe
	relayedPings     map[uint64]relayedPing
	sequence         uint64
	startedAt        time.Duration // when Tick was called first
	lastTick         time.Duration // when Tick was called last; 0: never
	nextPingAt       time.Duration // when the next ping is due
	pingRounds       int
	extraPings       int           // pings of this interval beside the regular one
	lastReceived     time.Duration // when a datagram came last
	lastContact      time.Duration // when something other than a peer responded last (see NoteContact)
	changes          uint64
}

// peer is the state of another node as this node knows it.
type peer struct {
	id               shedkeel.NodeID
	hash             uint64
	liveness         shedkeel.Liveness
	incarnation      uint32
	noticePending    bool          // this node is to notify it that it is suspected or counts as left
	suspectedAt      time.Duration // when the suspicion began
	suspicionHeardAt time.Duration // when this node received or raised the suspicion
	lastReceived     time.Duration // when a datagram came from it last
	lastAlive        time.Duration // when a message or an update last confirmed that it is alive
	presumedAlive    bool          // listed during this node's start: counts as alive though nothing confirms it
	transmitsLeft    int           // how often the update about it is still to be sent
}

// probe is a ping without an answer so far.
type probe struct {
	target   *peer
	sent     time.Duration
	indirect bool // others were asked to ping the target
}

// relayedPing is a ping that this node sends on behalf of another one.
type relayedPing struct {
	origin   shedkeel.NodeID // who asked for it
	sequence uint64          // of the origin's request
	sent     time.Duration
}

// never is the time of an event that has not happened.
const never = math.MinInt64 / 2

// SetPeers replaces the set of monitored nodes. It drops the state of nodes that are no
// longer in the set.
func (detector *Detector) SetPeers(ids []shedkeel.NodeID) {
	oldPeers := detector.peers
	detector.peers = make(map[shedkeel.NodeID]*peer, len(ids))
	detector.byHash = make(map[uint64]*peer, len(ids))
	for _, id := range ids {
		if id == detector.Self {
			continue
		}
		known := oldPeers[id]
		if known == nil {
			known = &peer{id: id, hash: shedkeel.HashNode(id), lastReceived: never, lastAlive: never, presumedAlive: detector.startingUp()}
		}
		detector.peers[id] = known
		detector.byHash[known.hash] = known
	}
	detector.sortedPeers = slices.SortedFunc(maps.Values(detector.peers), func(a, b *peer) int { return cmp.Compare(a.hash, b.hash) })
	detector.round = slices.DeleteFunc(detector.round, func(peer *peer) bool { return detector.peers[peer.id] != peer })
}

// NoteContact records that something other than a peer has responded to this node, which is
// therefore not cut off.
func (detector *Detector) NoteContact(now time.Duration) {
	detector.lastContact = max(detector.lastContact, now)
}

// Liveness returns the liveness of a node. A node that is not monitored is Alive. One
// that was listed after this node's start is Unconfirmed until this node receives a
// message from it, or an update by a node that has received one.
func (detector *Detector) Liveness(id shedkeel.NodeID) shedkeel.Liveness {
	peer := detector.peers[id]
	switch {
	case peer == nil:
		return shedkeel.Alive
	case peer.lastAlive == never && !peer.presumedAlive && !deadOrLeft(peer):
		return shedkeel.Unconfirmed
	}
	return peer.liveness
}

// startingUp reports whether Tick has not been called yet, or was first called less than
// startupTrustTime before its last call.
func (detector *Detector) startingUp() bool {
	return detector.lastTick == 0 || detector.lastTick-detector.startedAt < startupTrustTime
}

// Changes returns how many times the liveness of any node has changed.
func (detector *Detector) Changes() uint64 { return detector.changes }

// setLiveness sets the liveness of a node and counts the change.
func (detector *Detector) setLiveness(peer *peer, liveness shedkeel.Liveness) {
	if peer.liveness != liveness {
		peer.liveness = liveness
		detector.changes++
	}
}

// Isolated reports whether this node is cut off: it receives nothing, neither from peers
// nor from anything else.
func (detector *Detector) Isolated(now time.Duration) bool {
	return now-max(detector.lastReceived, detector.lastContact) > isolationTimeout
}

// Leave returns the datagrams that announce to some other nodes that this node stops.
func (detector *Detector) Leave(now time.Duration) []shedkeel.GossipDatagram {
	detector.leaving = true
	return detector.announce(now)
}

// Tick checks open probes and suspicions, pings the next node if it is time, and returns
// the datagrams to send.
func (detector *Detector) Tick(now time.Duration) []shedkeel.GossipDatagram {
	detector.init()
	var sent []shedkeel.GossipDatagram
	if detector.lastTick == 0 || now-detector.lastTick > stallThreshold {
		sent = detector.resume(now)
	}
	if detector.lastTick == 0 {
		detector.startedAt = now
	}
	detector.lastTick = now
	sent = append(sent, detector.checkProbes(now)...)
	detector.checkSuspects(now)
	if now >= detector.nextPingAt {
		detector.nextPingAt = now + pingInterval
		detector.extraPings = 0
		sent = append(sent, detector.pingNext(now)...)
	}
	return sent
}

// init allocates the maps at the first use of the detector.
func (detector *Detector) init() {
	if detector.probes == nil {
		detector.probes = map[uint64]*probe{}
		detector.relayedPings = map[uint64]relayedPing{}
	}
}

// resume resets the detector at its start and after this node has stalled. After a stall
// others may suspect this node, so it raises its incarnation to refute them, and its open
// probes prove nothing about their targets.
func (detector *Detector) resume(now time.Duration) []shedkeel.GossipDatagram {
	clear(detector.probes)
	clear(detector.relayedPings)
	detector.lastReceived = now
	for _, peer := range detector.sortedPeers {
		if peer.liveness == shedkeel.Suspected {
			peer.suspicionHeardAt = now
		}
	}
	if detector.lastTick != 0 && !detector.leaving {
		detector.incarnation++
	}
	return detector.announce(now)
}

// announce returns pings to some other nodes, which carry the update about this node.
func (detector *Detector) announce(now time.Duration) []shedkeel.GossipDatagram {
	detector.init()
	detector.ownTransmitsLeft = detector.transmitLimit()
	var sent []shedkeel.GossipDatagram
	for _, peer := range detector.randomAlivePeers(announceFanout, nil) {
		sent = append(sent, detector.ping(now, peer))
	}
	return sent
}

// suspect raises a suspicion of a node that is alive, unless this node itself is cut off.
func (detector *Detector) suspect(now time.Duration, peer *peer) {
	if peer.liveness == shedkeel.Alive && !detector.Isolated(now) {
		detector.startSuspicion(now, peer, now)
	}
}

// startSuspicion marks a node as suspected since the given time, and schedules updates to
// others and a notice to the node itself.
func (detector *Detector) startSuspicion(now time.Duration, peer *peer, since time.Duration) {
	detector.setLiveness(peer, shedkeel.Suspected)
	peer.suspectedAt, peer.suspicionHeardAt, peer.noticePending = since, now, true
	peer.transmitsLeft = detector.transmitLimit()
}

// checkSuspects declares nodes dead that have not refuted a suspicion in time.
func (detector *Detector) checkSuspects(now time.Duration) {
	isolated := detector.Isolated(now)
	for _, peer := range detector.sortedPeers {
		if peer.liveness != shedkeel.Suspected {
			continue
		}
		if isolated {
			peer.suspicionHeardAt = now // no refutation could arrive
		}
		if now-peer.suspectedAt >= suspicionTimeout && now-peer.suspicionHeardAt >= refutationTime {
			detector.setLiveness(peer, shedkeel.Dead)
		}
	}
}

// transmitLimit returns how many times this node sends an update. The number grows with
// the logarithm of the size of the fleet, as the number of steps does in which gossip
// reaches all nodes.
func (detector *Detector) transmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(detector.peers)+2))))
}
