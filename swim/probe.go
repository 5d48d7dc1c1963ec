package swim

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// checkProbes requests indirect pings of nodes that have not answered within ackTimeout,
// and suspects those that have not answered within indirectTimeout after that.
func (detector *Detector) checkProbes(now time.Duration) []shedkeel.GossipDatagram {
	var sent []shedkeel.GossipDatagram
	for _, sequence := range slices.Sorted(maps.Keys(detector.probes)) {
		probe := detector.probes[sequence]
		switch {
		case detector.peers[probe.target.id] != probe.target || probe.target.lastReceived > probe.sent:
			delete(detector.probes, sequence)
		case now-probe.sent >= ackTimeout+indirectTimeout:
			delete(detector.probes, sequence)
			detector.suspect(now, probe.target)
		case now-probe.sent >= ackTimeout && !probe.indirect:
			probe.indirect = true
			sent = append(sent, detector.pingExtra(now)...)
			for _, relay := range detector.randomAlivePeers(indirectProbes, probe.target) {
				sent = append(sent, detector.message(now, relay, shedkeel.GossipMessage{Kind: shedkeel.GossipIndirectPing, Sequence: sequence, Target: probe.target.id}))
			}
		}
	}
	for sequence, relayedPing := range detector.relayedPings {
		if now-relayedPing.sent >= ackTimeout+indirectTimeout {
			delete(detector.relayedPings, sequence)
		}
	}
	return sent
}

// pingExtra pings one more node when another has not answered. When many nodes have failed
// at once, one ping per interval would take too long to find them all.
func (detector *Detector) pingExtra(now time.Duration) []shedkeel.GossipDatagram {
	next := detector.nextTarget()
	if next == nil || detector.extraPings >= maxExtraPings {
		return nil
	}
	detector.extraPings++
	return []shedkeel.GossipDatagram{detector.ping(now, next)}
}

// pingNext pings the next node of the round, and in some intervals also one that is dead
// or has left. A node that has received nothing for a while also pings the one that it
// heard last: if most nodes of the fleet have failed, the next one is seldom alive.
func (detector *Detector) pingNext(now time.Duration) []shedkeel.GossipDatagram {
	var sent []shedkeel.GossipDatagram
	next := detector.nextTarget()
	if next != nil {
		sent = append(sent, detector.ping(now, next))
	}
	if now-detector.lastReceived > 2*pingInterval {
		if lastHeard := detector.lastHeardPeer(); lastHeard != nil && lastHeard != next {
			sent = append(sent, detector.ping(now, lastHeard))
		}
	}
	detector.pingRounds++
	if detector.pingRounds%deadPingRounds == 0 {
		if target := detector.randomDeadOrLeft(); target != nil {
			sent = append(sent, detector.ping(now, target))
		}
	}
	return sent
}

// nextTarget returns the next node to ping, or nil. Each round pings all nodes that are
// alive, in a new random order. Suspected nodes need no ping: the answers to their own
// pings notify them of the suspicion.
func (detector *Detector) nextTarget() *peer {
	for range 2 {
		for len(detector.round) > 0 {
			peer := detector.round[len(detector.round)-1]
			detector.round = detector.round[:len(detector.round)-1]
			if peer.liveness == shedkeel.Alive {
				return peer
			}
		}
		detector.round = detector.shuffledPeers(alive)
	}
	return nil
}

func alive(peer *peer) bool { return peer.liveness == shedkeel.Alive }

// deadOrLeft reports whether a node is declared dead or has left.
func deadOrLeft(peer *peer) bool {
	return peer.liveness == shedkeel.Dead || peer.liveness == shedkeel.Left
}

// lastHeardPeer returns the node from which a datagram came last, or nil.
func (detector *Detector) lastHeardPeer() *peer {
	var latest *peer
	for _, peer := range detector.sortedPeers {
		if peer.lastReceived != never && (latest == nil || peer.lastReceived > latest.lastReceived || peer.lastReceived == latest.lastReceived && peer.hash > latest.hash) {
			latest = peer
		}
	}
	return latest
}

// randomAlivePeers returns up to count random nodes that are alive, except the excluded one.
func (detector *Detector) randomAlivePeers(count int, excluded *peer) []*peer {
	found := detector.shuffledPeers(func(peer *peer) bool { return alive(peer) && peer != excluded })
	return found[:min(count, len(found))]
}

// randomDeadOrLeft returns a random node that is dead or has left, or nil.
func (detector *Detector) randomDeadOrLeft() *peer {
	if found := detector.shuffledPeers(deadOrLeft); len(found) > 0 {
		return found[0]
	}
	return nil
}

// shuffledPeers returns the nodes that include accepts, in a random order.
func (detector *Detector) shuffledPeers(include func(*peer) bool) []*peer {
	var found []*peer
	for _, peer := range detector.sortedPeers {
		if include(peer) {
			found = append(found, peer)
		}
	}
	for index := len(found) - 1; index > 0; index-- {
		other := int(detector.Random.Uint64() % uint64(index+1))
		found[index], found[other] = found[other], found[index]
	}
	return found
}

// ping returns a ping and opens a probe for its answer.
func (detector *Detector) ping(now time.Duration, peer *peer) shedkeel.GossipDatagram {
	detector.sequence++
	detector.probes[detector.sequence] = &probe{target: peer, sent: now}
	return detector.message(now, peer, shedkeel.GossipMessage{Kind: shedkeel.GossipPing, Sequence: detector.sequence})
}

// message returns a datagram to a listed node, with updates added.
func (detector *Detector) message(now time.Duration, target *peer, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	message.Updates = detector.selectUpdates(now, target)
	return detector.send(target.id, message)
}

// send returns a datagram with the sender's fields set.
func (detector *Detector) send(to shedkeel.NodeID, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	message.From, message.Incarnation = detector.Self, detector.incarnation
	return shedkeel.GossipDatagram{To: to, Message: message}
}
