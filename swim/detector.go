// Package swim finds out which nodes of a fleet live, as the SWIM protocol does:
// each node pings another one at random a few times a second, asks others to ping
// one that does not answer, and tells what it finds with the pings that it sends
// anyway. A suspected node refutes that by raising its incarnation.
//
// What a node has to do is the same in a fleet of any size, no node has a duty
// alone, and the platform's key-value service has no part in it.
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
	// period is the pause between two pings. Among many nodes each is pinged 0.63
	// times in a period at least, so that one in a hundred deaths is first noticed
	// after 4.6 periods.
	period = 200 * time.Millisecond
	// ackTime is how long the answer to a ping may take before others are asked:
	// 3 ms are usual, and a box that has used up its share of a core stands still
	// for up to 100 ms.
	ackTime = 150 * time.Millisecond
	// helpTime is how much longer it may take by way of others.
	helpTime = 250 * time.Millisecond
	// helpers is how many others are asked to ping a node that does not answer:
	// with three datagrams in a hundred lost, one ping in 11,000 has no answer by any
	// way.
	helpers = 3
	// suspectTime is for how long a node may refute a suspicion. With the times
	// above no node is dead that stood still for less than 2 s.
	suspectTime = 1600 * time.Millisecond
	// refuteTime is how long after it has heard of a suspicion a node waits at
	// least, however old the suspicion is: in that time a refutation comes from any
	// of 300 nodes. Without it, a node that was cut off told others of suspicions
	// that were old enough to count at once.
	refuteTime = 800 * time.Millisecond
	// isolatedTime is after how long without a datagram a node takes itself for
	// cut off, and judges nobody.
	isolatedTime = 700 * time.Millisecond
	// stillTime is the pause between two ticks from which on a node has itself
	// stood still: it was suspected meanwhile, and what it waits for came to nothing.
	stillTime = 600 * time.Millisecond
	// trustTime is for how long after its own start a node takes for alive who comes to
	// be listed: all of a fleet may start together. Who is listed later is alive once
	// somebody hears it: a record that was written late, or read from an old copy, is
	// that of a dead node, which was named for another 2.3 s.
	trustTime = 3 * time.Second
	// announced is to how many nodes a node sends at once what it says of itself.
	announced = 5
	// mostMore is how many more pings a node sends in a period when there are some
	// without an answer.
	mostMore = 8
	// deadEach is how many pings one goes to a node that is dead or has left, which
	// others may have forgotten to tell that it is listed: after a cut both sides
	// find each other by it.
	deadEach = 4
	// mostUpdates bounds a message to what one datagram holds, 1.1 kB.
	mostUpdates = 50
	// tellingsEach, times the logarithm of the number of nodes, is how often an update
	// is told.
	tellingsEach = 3
)

// Detector is the failure detector of one node. Its exported fields are set
// before its first use.
type Detector struct {
	Self   shedkeel.NodeID
	Random shedkeel.Random // is not used elsewhere

	peers       map[shedkeel.NodeID]*peer
	names       map[uint64]*peer // by HashNode
	listed      []*peer          // in the order of their hashes, so that a seed gives one course
	order       []*peer          // still to be pinged in this round
	incarnation uint32
	leaving     bool
	ownUntold   int // how often what it says of itself is still to be told
	probes      map[uint64]*probe
	relayed     map[uint64]relayed
	sequence    uint64
	began       time.Duration // when Tick was called first
	ticked      time.Duration // when Tick was called last; 0: never
	due         time.Duration // when the next ping is
	pings       int
	more        int           // pings of this period beside the one that is due
	heard       time.Duration // when a datagram came last
	connected   time.Duration // when something else answered last
	changes     uint64
}

// peer is what is known of another node.
type peer struct {
	id          shedkeel.NodeID
	hash        uint64
	liveness    shedkeel.Liveness
	incarnation uint32
	accused     bool          // it is to be told that it is suspected, or that it left
	since       time.Duration // when the suspicion began
	learned     time.Duration // when this node heard of it
	heard       time.Duration // when a datagram came from it last
	proven      time.Duration // when this node learned last that it lived
	trusted     bool          // it counts as alive though nothing proves it
	untold      int           // how often how it stands is still to be told
}

// probe is a ping that is not answered yet.
type probe struct {
	target *peer
	sent   time.Duration
	helped bool // others were asked
}

// relayed is a ping that is sent in the place of another node.
type relayed struct {
	origin   shedkeel.NodeID
	sequence uint64
	sent     time.Duration
}

// never is when something was heard that was never heard.
const never = math.MinInt64 / 2

// SetPeers makes these the nodes that are judged. What was known of others is
// forgotten.
func (detector *Detector) SetPeers(ids []shedkeel.NodeID) {
	before := detector.peers
	detector.peers = make(map[shedkeel.NodeID]*peer, len(ids))
	detector.names = make(map[uint64]*peer, len(ids))
	for _, id := range ids {
		if id == detector.Self {
			continue
		}
		known := before[id]
		if known == nil {
			known = &peer{id: id, hash: shedkeel.HashNode(id), heard: never, proven: never, trusted: detector.trusting()}
		}
		detector.peers[id] = known
		detector.names[known.hash] = known
	}
	detector.listed = slices.SortedFunc(maps.Values(detector.peers), func(a, b *peer) int { return cmp.Compare(a.hash, b.hash) })
	detector.order = slices.DeleteFunc(detector.order, func(peer *peer) bool { return detector.peers[peer.id] != peer })
}

// Connect notes that something other than a peer has answered this node.
func (detector *Detector) Connect(now time.Duration) {
	detector.connected = max(detector.connected, now)
}

// Liveness returns how a node stands.
func (detector *Detector) Liveness(id shedkeel.NodeID) shedkeel.Liveness {
	peer := detector.peers[id]
	switch {
	case peer == nil:
		return shedkeel.Alive
	case peer.proven == never && !peer.trusted && !gone(peer):
		return shedkeel.Unheard
	}
	return peer.liveness
}

// trusting reports whether this node has just started.
func (detector *Detector) trusting() bool {
	return detector.ticked == 0 || detector.ticked-detector.began < trustTime
}

// Changes returns how often how a node stands has changed.
func (detector *Detector) Changes() uint64 { return detector.changes }

// stand notes how a node stands.
func (detector *Detector) stand(peer *peer, liveness shedkeel.Liveness) {
	if peer.liveness != liveness {
		peer.liveness = liveness
		detector.changes++
	}
}

// Isolated reports whether this node hears nobody.
func (detector *Detector) Isolated(now time.Duration) bool {
	return now-max(detector.heard, detector.connected) > isolatedTime
}

// Leave tells others that this node stops.
func (detector *Detector) Leave(now time.Duration) []shedkeel.GossipDatagram {
	detector.leaving = true
	return detector.announce(now)
}

// Tick does what is due.
func (detector *Detector) Tick(now time.Duration) []shedkeel.GossipDatagram {
	detector.prepare()
	var sent []shedkeel.GossipDatagram
	if detector.ticked == 0 || now-detector.ticked > stillTime {
		sent = detector.wake(now)
	}
	if detector.ticked == 0 {
		detector.began = now
	}
	detector.ticked = now
	sent = append(sent, detector.checkProbes(now)...)
	detector.checkSuspects(now)
	if now >= detector.due {
		detector.due = now + period
		detector.more = 0
		sent = append(sent, detector.pingNext(now)...)
	}
	return sent
}

// prepare makes the tables.
func (detector *Detector) prepare() {
	if detector.probes == nil {
		detector.probes = map[uint64]*probe{}
		detector.relayed = map[uint64]relayed{}
	}
}

// wake begins anew after a start, or after this node stood still: others may
// suspect it, and what did not answer meanwhile proves nothing.
func (detector *Detector) wake(now time.Duration) []shedkeel.GossipDatagram {
	clear(detector.probes)
	clear(detector.relayed)
	detector.heard = now
	for _, peer := range detector.listed {
		if peer.liveness == shedkeel.Suspected {
			peer.learned = now
		}
	}
	if detector.ticked != 0 && !detector.leaving {
		detector.incarnation++
	}
	return detector.announce(now)
}

// announce sends what this node says of itself to some others at once.
func (detector *Detector) announce(now time.Duration) []shedkeel.GossipDatagram {
	detector.prepare()
	detector.ownUntold = detector.tellings()
	var sent []shedkeel.GossipDatagram
	for _, peer := range detector.some(announced, nil) {
		sent = append(sent, detector.ping(now, peer))
	}
	return sent
}

// suspect raises a suspicion, unless this node may be the one that is cut off.
func (detector *Detector) suspect(now time.Duration, peer *peer) {
	if peer.liveness == shedkeel.Alive && !detector.Isolated(now) {
		detector.takeSuspicion(now, peer, now)
	}
}

func (detector *Detector) takeSuspicion(now time.Duration, peer *peer, since time.Duration) {
	detector.stand(peer, shedkeel.Suspected)
	peer.since, peer.learned, peer.accused = since, now, true
	peer.untold = detector.tellings()
}

// checkSuspects takes nodes for dead that have not refuted a suspicion in time.
func (detector *Detector) checkSuspects(now time.Duration) {
	isolated := detector.Isolated(now)
	for _, peer := range detector.listed {
		if peer.liveness != shedkeel.Suspected {
			continue
		}
		if isolated {
			peer.learned = now // a refutation could not come
		}
		if now-peer.since >= suspectTime && now-peer.learned >= refuteTime {
			detector.stand(peer, shedkeel.Dead)
		}
	}
}

// tellings returns how often an update is told.
func (detector *Detector) tellings() int {
	return tellingsEach * int(math.Ceil(math.Log2(float64(len(detector.peers)+2))))
}
