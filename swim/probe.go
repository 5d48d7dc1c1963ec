package swim

import (
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// checkProbes asks others about nodes that do not answer, and then suspects them.
func (detector *Detector) checkProbes(now time.Duration) []shedkeel.GossipDatagram {
	var sent []shedkeel.GossipDatagram
	for _, sequence := range slices.Sorted(maps.Keys(detector.probes)) {
		probe := detector.probes[sequence]
		switch {
		case detector.peers[probe.target.id] != probe.target || probe.target.heard > probe.sent:
			delete(detector.probes, sequence)
		case now-probe.sent >= ackTime+helpTime:
			delete(detector.probes, sequence)
			detector.suspect(now, probe.target)
		case now-probe.sent >= ackTime && !probe.helped:
			probe.helped = true
			sent = append(sent, detector.pingMore(now)...)
			for _, helper := range detector.some(helpers, probe.target) {
				sent = append(sent, detector.message(now, helper, shedkeel.GossipMessage{Kind: shedkeel.GossipPingFor, Sequence: sequence, Target: probe.target.id}))
			}
		}
	}
	for sequence, relayed := range detector.relayed {
		if now-relayed.sent >= ackTime+helpTime {
			delete(detector.relayed, sequence)
		}
	}
	return sent
}

// pingMore pings one more node when one has not answered. After a loss of many
// nodes most pings go to dead ones, and one ping in a period finds them too late.
func (detector *Detector) pingMore(now time.Duration) []shedkeel.GossipDatagram {
	next := detector.next()
	if next == nil || detector.more >= mostMore {
		return nil
	}
	detector.more++
	return []shedkeel.GossipDatagram{detector.ping(now, next)}
}

// pingNext pings the next node of the round, and sometimes one that is dead. A
// node that has heard nothing for a while also pings the one that it heard last:
// in a fleet that has lost most of its nodes the next one seldom lives.
func (detector *Detector) pingNext(now time.Duration) []shedkeel.GossipDatagram {
	var sent []shedkeel.GossipDatagram
	next := detector.next()
	if next != nil {
		sent = append(sent, detector.ping(now, next))
	}
	if now-detector.heard > 2*period {
		if last := detector.heardLast(); last != nil && last != next {
			sent = append(sent, detector.ping(now, last))
		}
	}
	detector.pings++
	if detector.pings%deadEach == 0 {
		if gone := detector.someGone(); gone != nil {
			sent = append(sent, detector.ping(now, gone))
		}
	}
	return sent
}

// next returns the next node to be pinged: all that are alive are within a round,
// in an order that is another one each time. A suspected one need not be: it is
// told of the suspicion when it pings others itself.
func (detector *Detector) next() *peer {
	for range 2 {
		for len(detector.order) > 0 {
			peer := detector.order[len(detector.order)-1]
			detector.order = detector.order[:len(detector.order)-1]
			if peer.liveness == shedkeel.Alive {
				return peer
			}
		}
		detector.order = detector.shuffled(alive)
	}
	return nil
}

func alive(peer *peer) bool { return peer.liveness == shedkeel.Alive }

// gone reports whether it is settled that a node does not serve.
func gone(peer *peer) bool { return peer.liveness == shedkeel.Dead || peer.liveness == shedkeel.Left }

func (detector *Detector) heardLast() *peer {
	var last *peer
	for _, peer := range detector.listed {
		if peer.heard != never && (last == nil || peer.heard > last.heard || peer.heard == last.heard && peer.hash > last.hash) {
			last = peer
		}
	}
	return last
}

// some returns so many nodes at random that are alive, without one of them.
func (detector *Detector) some(count int, without *peer) []*peer {
	found := detector.shuffled(func(peer *peer) bool { return alive(peer) && peer != without })
	return found[:min(count, len(found))]
}

// someGone returns a node at random that is dead or has left, or nil.
func (detector *Detector) someGone() *peer {
	if found := detector.shuffled(gone); len(found) > 0 {
		return found[0]
	}
	return nil
}

// shuffled returns the nodes that fit in a random order.
func (detector *Detector) shuffled(fits func(*peer) bool) []*peer {
	var found []*peer
	for _, peer := range detector.listed {
		if fits(peer) {
			found = append(found, peer)
		}
	}
	for index := len(found) - 1; index > 0; index-- {
		other := int(detector.Random.Uint64() % uint64(index+1))
		found[index], found[other] = found[other], found[index]
	}
	return found
}

// ping sends a ping and waits for its answer.
func (detector *Detector) ping(now time.Duration, peer *peer) shedkeel.GossipDatagram {
	detector.sequence++
	detector.probes[detector.sequence] = &probe{target: peer, sent: now}
	return detector.message(now, peer, shedkeel.GossipMessage{Kind: shedkeel.GossipPing, Sequence: detector.sequence})
}

// message completes a message to a node that is known.
func (detector *Detector) message(now time.Duration, to *peer, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	message.Updates = detector.updates(now, to)
	return detector.send(to.id, message)
}

func (detector *Detector) send(to shedkeel.NodeID, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	message.From, message.Incarnation = detector.Self, detector.incarnation
	return shedkeel.GossipDatagram{To: to, Message: message}
}
