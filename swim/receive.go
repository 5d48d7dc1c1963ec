package swim

import (
	"cmp"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// Receive handles a message and returns the datagrams to send in response.
func (detector *Detector) Receive(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	detector.init()
	if message.From == detector.Self {
		return nil
	}
	detector.lastReceived = now
	var sent []shedkeel.GossipDatagram
	if from := detector.peers[message.From]; from != nil {
		if from.liveness == shedkeel.Dead {
			sent = detector.pingDeadOrLeft(now)
		}
		detector.handleSender(now, from, message.Incarnation)
	}
	sent = append(sent, detector.handleUpdates(now, message.Updates)...)
	switch message.Kind {
	case shedkeel.GossipPing:
		ack := shedkeel.GossipMessage{Kind: shedkeel.GossipAck, Sequence: message.Sequence, Target: detector.Self}
		sent = append(sent, detector.reply(now, message.From, ack))
	case shedkeel.GossipIndirectPing:
		sent = append(sent, detector.relayPing(now, message)...)
	case shedkeel.GossipAck:
		sent = append(sent, detector.handleAck(now, message)...)
	}
	return sent
}

// handleSender records that a node has sent a message. If its incarnation is higher than
// the known one, it has refuted the suspicions of others. Otherwise only this node counts
// it as alive again; other nodes do so once it has been notified of the suspicion and has
// refuted it.
func (detector *Detector) handleSender(now time.Duration, peer *peer, incarnation uint32) {
	peer.lastReceived = now
	detector.confirmAlive(now, peer)
	switch {
	case incarnation > peer.incarnation:
		detector.markAlive(now, peer, incarnation)
	case peer.liveness == shedkeel.Suspected || peer.liveness == shedkeel.Dead:
		detector.setLiveness(peer, shedkeel.Alive) // noticePending stays set, so the node is notified of the suspicion
	}
}

// confirmAlive records that a node is alive now. If the node was Unconfirmed before, the
// update about it is sent to others.
func (detector *Detector) confirmAlive(now time.Duration, peer *peer) {
	if peer.lastAlive == never && !peer.presumedAlive {
		peer.transmitsLeft = detector.transmitLimit()
		detector.changes++
	}
	peer.lastAlive = now
}

// pingDeadOrLeft pings another node that is dead or has left after a message from a dead
// one: a network partition may have ended. With one ping in four intervals alone, 300
// nodes took 5.3 s to find each other again.
func (detector *Detector) pingDeadOrLeft(now time.Duration) []shedkeel.GossipDatagram {
	target := detector.randomDeadOrLeft()
	if target == nil || detector.extraPings >= maxExtraPings {
		return nil
	}
	detector.extraPings++
	return []shedkeel.GossipDatagram{detector.ping(now, target)}
}

// markAlive marks a node as alive in an incarnation. If others may suspect it, the update
// about it is sent to them.
func (detector *Detector) markAlive(now time.Duration, peer *peer, incarnation uint32) {
	if peer.noticePending {
		peer.transmitsLeft = detector.transmitLimit()
	}
	detector.confirmAlive(now, peer)
	detector.setLiveness(peer, shedkeel.Alive)
	peer.incarnation, peer.noticePending = incarnation, false
}

// relayPing pings a node on behalf of the sender of the message.
func (detector *Detector) relayPing(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	target := detector.peers[message.Target]
	if target == nil {
		return nil
	}
	detector.sequence++
	detector.relayedPings[detector.sequence] = relayedPing{origin: message.From, sequence: message.Sequence, sent: now}
	return []shedkeel.GossipDatagram{detector.message(now, target, shedkeel.GossipMessage{Kind: shedkeel.GossipPing, Sequence: detector.sequence})}
}

// handleAck closes a probe, or passes the answer on to the node that asked for the ping.
func (detector *Detector) handleAck(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	if probe := detector.probes[message.Sequence]; probe != nil && probe.target.id == message.Target {
		delete(detector.probes, message.Sequence)
		detector.handleSender(now, probe.target, probe.target.incarnation)
		return nil
	}
	relayedPing, found := detector.relayedPings[message.Sequence]
	if !found {
		return nil
	}
	delete(detector.relayedPings, message.Sequence)
	ack := shedkeel.GossipMessage{Kind: shedkeel.GossipAck, Sequence: relayedPing.sequence, Target: message.From}
	return []shedkeel.GossipDatagram{detector.reply(now, relayedPing.origin, ack)}
}

// reply returns a datagram to a node that may not be listed here yet.
func (detector *Detector) reply(now time.Duration, to shedkeel.NodeID, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	if peer := detector.peers[to]; peer != nil {
		return detector.message(now, peer, message)
	}
	return detector.send(to, message)
}

// handleUpdates applies the updates of a message, and refutes those about this node.
func (detector *Detector) handleUpdates(now time.Duration, updates []shedkeel.GossipUpdate) []shedkeel.GossipDatagram {
	self := shedkeel.HashNode(detector.Self)
	var sent []shedkeel.GossipDatagram
	for _, update := range updates {
		if update.Node == self {
			sent = append(sent, detector.refute(now, update)...)
			continue
		}
		if peer := detector.byHash[update.Node]; peer != nil {
			detector.handleUpdate(now, peer, update)
		}
	}
	return sent
}

// refute raises this node's incarnation and announces it, if the update reports this node as
// suspected, dead or left in its current incarnation, or in a higher one from before a
// restart. A node that is leaving does not refute.
func (detector *Detector) refute(now time.Duration, update shedkeel.GossipUpdate) []shedkeel.GossipDatagram {
	if detector.leaving || update.Liveness == shedkeel.Alive || update.Incarnation < detector.incarnation {
		return nil
	}
	detector.incarnation = update.Incarnation + 1
	return detector.announce(now)
}

// handleUpdate applies an update about another node.
func (detector *Detector) handleUpdate(now time.Duration, peer *peer, update shedkeel.GossipUpdate) {
	switch update.Liveness {
	case shedkeel.Alive:
		switch {
		case update.Incarnation > peer.incarnation:
			detector.markAlive(now, peer, update.Incarnation)
		case peer.lastAlive == never:
			detector.confirmAlive(now, peer)
		}
	case shedkeel.Suspected, shedkeel.Dead:
		detector.handleSuspicion(now, peer, update)
	case shedkeel.Left:
		if update.Incarnation >= peer.incarnation && peer.liveness != shedkeel.Left {
			detector.confirmAlive(now, peer)
			detector.setLiveness(peer, shedkeel.Left)
			peer.incarnation, peer.noticePending = update.Incarnation, true
			peer.transmitsLeft = detector.transmitLimit()
		}
	}
}

// handleSuspicion applies another node's suspicion, unless this node knows that the suspected node
// was alive after the suspicion began. It applies an older incarnation too, as its sender may not
// know the newest: if it did not, a dead node in a fleet of 300 would count as alive for up to 4.9
// s instead of 3 s.
func (detector *Detector) handleSuspicion(now time.Duration, peer *peer, update shedkeel.GossipUpdate) {
	since := now - update.Age
	switch {
	case peer.liveness == shedkeel.Left:
	case peer.lastAlive > since:
		peer.noticePending = peer.noticePending || update.Incarnation >= peer.incarnation
	case peer.liveness == shedkeel.Alive:
		peer.incarnation = max(peer.incarnation, update.Incarnation)
		detector.startSuspicion(now, peer, since)
	default:
		peer.incarnation = max(peer.incarnation, update.Incarnation)
		peer.suspectedAt = min(peer.suspectedAt, since)
	}
}

// selectUpdates returns the updates for a message: first the one about this node and the
// notice to the receiver, then recent updates, then updates about nodes that are dead or
// have left, for receivers that started after the first updates about these nodes.
func (detector *Detector) selectUpdates(now time.Duration, to *peer) []shedkeel.GossipUpdate {
	var updates []shedkeel.GossipUpdate
	if detector.ownTransmitsLeft > 0 {
		detector.ownTransmitsLeft--
		updates = append(updates, detector.ownUpdate())
	}
	if to.noticePending {
		updates = append(updates, detector.suspicionNotice(now, to))
	}
	var recent, inactive []*peer
	for _, peer := range detector.sortedPeers {
		switch {
		case peer == to:
		case peer.transmitsLeft > 0:
			recent = append(recent, peer)
		case deadOrLeft(peer):
			inactive = append(inactive, peer)
		}
	}
	slices.SortStableFunc(recent, func(a, b *peer) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	for _, peer := range recent[:min(len(recent), maxUpdates)] {
		peer.transmitsLeft--
		updates = append(updates, detector.updateAbout(now, peer))
	}
	return append(updates, detector.sampleUpdates(now, inactive, maxUpdates-len(recent))...)
}

// sampleUpdates returns updates about up to limit of the nodes, starting at a random one.
func (detector *Detector) sampleUpdates(now time.Duration, peers []*peer, limit int) []shedkeel.GossipUpdate {
	if limit <= 0 || len(peers) == 0 {
		return nil
	}
	first := int(detector.Random.Uint64() % uint64(len(peers)))
	var updates []shedkeel.GossipUpdate
	for index := range min(limit, len(peers)) {
		updates = append(updates, detector.updateAbout(now, peers[(first+index)%len(peers)]))
	}
	return updates
}

// updateAbout returns the update about a node. A dead node is reported as suspected, with
// the age of the suspicion, so that each receiver allows it refutationTime.
func (detector *Detector) updateAbout(now time.Duration, peer *peer) shedkeel.GossipUpdate {
	update := shedkeel.GossipUpdate{Node: peer.hash, Liveness: peer.liveness, Incarnation: peer.incarnation}
	if peer.liveness == shedkeel.Suspected || peer.liveness == shedkeel.Dead {
		update.Liveness, update.Age = shedkeel.Suspected, now-peer.suspectedAt
	}
	return update
}

// suspicionNotice returns the update that notifies a node that it is suspected or counts as
// left. It reports a suspicion even if this node has received a message from it since.
func (detector *Detector) suspicionNotice(now time.Duration, peer *peer) shedkeel.GossipUpdate {
	update := detector.updateAbout(now, peer)
	if update.Liveness == shedkeel.Alive {
		update.Liveness = shedkeel.Suspected
	}
	return update
}

// ownUpdate returns the update about this node.
func (detector *Detector) ownUpdate() shedkeel.GossipUpdate {
	update := shedkeel.GossipUpdate{Node: shedkeel.HashNode(detector.Self), Incarnation: detector.incarnation}
	if detector.leaving {
		update.Liveness = shedkeel.Left
	}
	return update
}
