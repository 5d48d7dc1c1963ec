package swim

import (
	"cmp"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// Receive takes a message in.
func (detector *Detector) Receive(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	detector.prepare()
	if message.From == detector.Self {
		return nil
	}
	detector.heard = now
	var sent []shedkeel.GossipDatagram
	if from := detector.peers[message.From]; from != nil {
		if from.liveness == shedkeel.Dead {
			sent = detector.pingGone(now)
		}
		detector.hear(now, from, message.Incarnation)
	}
	sent = append(sent, detector.takeUpdates(now, message.Updates)...)
	switch message.Kind {
	case shedkeel.GossipPing:
		answer := shedkeel.GossipMessage{Kind: shedkeel.GossipAck, Sequence: message.Sequence, Target: detector.Self}
		sent = append(sent, detector.answer(now, message.From, answer))
	case shedkeel.GossipPingFor:
		sent = append(sent, detector.pingFor(now, message)...)
	case shedkeel.GossipAck:
		sent = append(sent, detector.takeAck(now, message)...)
	}
	return sent
}

// hear notes that a node has sent something. A higher incarnation refutes what
// others say of it. With the same one only this node knows better.
func (detector *Detector) hear(now time.Duration, peer *peer, incarnation uint32) {
	peer.heard = now
	detector.prove(now, peer)
	switch {
	case incarnation > peer.incarnation:
		detector.revive(now, peer, incarnation)
	case peer.liveness == shedkeel.Suspected || peer.liveness == shedkeel.Dead:
		detector.stand(peer, shedkeel.Alive) // and it is told that it was suspected
	}
}

// prove notes that a node lived just now. Others are told of one of which nothing
// was known.
func (detector *Detector) prove(now time.Duration, peer *peer) {
	if peer.proven == never && !peer.trusted {
		peer.untold = detector.tellings()
		detector.changes++
	}
	peer.proven = now
}

// pingGone pings another dead node when one was heard: a cut may have ended. By one
// in four pings alone it took 300 nodes 5.3 s to find each other again.
func (detector *Detector) pingGone(now time.Duration) []shedkeel.GossipDatagram {
	gone := detector.someGone()
	if gone == nil || detector.more >= mostMore {
		return nil
	}
	detector.more++
	return []shedkeel.GossipDatagram{detector.ping(now, gone)}
}

// revive takes a node for alive in an incarnation, and tells others if they may
// suspect it.
func (detector *Detector) revive(now time.Duration, peer *peer, incarnation uint32) {
	if peer.accused {
		peer.untold = detector.tellings()
	}
	detector.prove(now, peer)
	detector.stand(peer, shedkeel.Alive)
	peer.incarnation, peer.accused = incarnation, false
}

// pingFor pings a node in the sender's place.
func (detector *Detector) pingFor(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	target := detector.peers[message.Target]
	if target == nil {
		return nil
	}
	detector.sequence++
	detector.relayed[detector.sequence] = relayed{origin: message.From, sequence: message.Sequence, sent: now}
	return []shedkeel.GossipDatagram{detector.message(now, target, shedkeel.GossipMessage{Kind: shedkeel.GossipPing, Sequence: detector.sequence})}
}

// takeAck ends a probe, or passes the answer on to who asked for it.
func (detector *Detector) takeAck(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	if probe := detector.probes[message.Sequence]; probe != nil && probe.target.id == message.Target {
		delete(detector.probes, message.Sequence)
		detector.hear(now, probe.target, probe.target.incarnation)
		return nil
	}
	relayed, found := detector.relayed[message.Sequence]
	if !found {
		return nil
	}
	delete(detector.relayed, message.Sequence)
	answer := shedkeel.GossipMessage{Kind: shedkeel.GossipAck, Sequence: relayed.sequence, Target: message.From}
	return []shedkeel.GossipDatagram{detector.answer(now, relayed.origin, answer)}
}

// answer answers a node, which may not be listed yet.
func (detector *Detector) answer(now time.Duration, to shedkeel.NodeID, message shedkeel.GossipMessage) shedkeel.GossipDatagram {
	if peer := detector.peers[to]; peer != nil {
		return detector.message(now, peer, message)
	}
	return detector.send(to, message)
}

// takeUpdates takes in what another node says, and refutes what it says of this
// one.
func (detector *Detector) takeUpdates(now time.Duration, updates []shedkeel.GossipUpdate) []shedkeel.GossipDatagram {
	self := shedkeel.HashNode(detector.Self)
	var sent []shedkeel.GossipDatagram
	for _, update := range updates {
		if update.Node == self {
			sent = append(sent, detector.refute(now, update)...)
			continue
		}
		if peer := detector.names[update.Node]; peer != nil {
			detector.takeUpdate(now, peer, update)
		}
	}
	return sent
}

// refute raises this node's incarnation if it is suspected.
func (detector *Detector) refute(now time.Duration, update shedkeel.GossipUpdate) []shedkeel.GossipDatagram {
	if detector.leaving || update.Liveness == shedkeel.Alive || update.Incarnation < detector.incarnation {
		return nil
	}
	detector.incarnation = update.Incarnation + 1
	return detector.announce(now)
}

func (detector *Detector) takeUpdate(now time.Duration, peer *peer, update shedkeel.GossipUpdate) {
	switch update.Liveness {
	case shedkeel.Alive:
		switch {
		case update.Incarnation > peer.incarnation:
			detector.revive(now, peer, update.Incarnation)
		case peer.proven == never:
			detector.prove(now, peer)
		}
	case shedkeel.Suspected, shedkeel.Dead:
		detector.hearSuspicion(now, peer, update)
	case shedkeel.Left:
		if update.Incarnation >= peer.incarnation && peer.liveness != shedkeel.Left {
			detector.prove(now, peer)
			detector.stand(peer, shedkeel.Left)
			peer.incarnation, peer.accused = update.Incarnation, true
			peer.untold = detector.tellings()
		}
	}
}

// hearSuspicion takes in that another node suspects one, unless this node knows of
// a sign of life since then. Who suspects may not have heard of the newest
// incarnation: where that alone made a suspicion void, a dead one of 300 nodes was
// named for up to 4.9 s in place of 3.
func (detector *Detector) hearSuspicion(now time.Duration, peer *peer, update shedkeel.GossipUpdate) {
	since := now - update.Age
	switch {
	case peer.liveness == shedkeel.Left:
	case peer.proven > since:
		peer.accused = peer.accused || update.Incarnation >= peer.incarnation
	case peer.liveness == shedkeel.Alive:
		peer.incarnation = max(peer.incarnation, update.Incarnation)
		detector.takeSuspicion(now, peer, since)
	default:
		peer.incarnation = max(peer.incarnation, update.Incarnation)
		peer.since = min(peer.since, since)
	}
}

// updates returns what is told with a message: first what it says of its
// receiver, then what is news, then who is gone, for those that have started since.
func (detector *Detector) updates(now time.Duration, to *peer) []shedkeel.GossipUpdate {
	var told []shedkeel.GossipUpdate
	if detector.ownUntold > 0 {
		detector.ownUntold--
		told = append(told, detector.ownUpdate())
	}
	if to.accused {
		told = append(told, detector.accusation(now, to))
	}
	var fresh, stale []*peer
	for _, peer := range detector.listed {
		switch {
		case peer == to:
		case peer.untold > 0:
			fresh = append(fresh, peer)
		case gone(peer):
			stale = append(stale, peer)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *peer) int { return cmp.Compare(b.untold, a.untold) })
	for _, peer := range fresh[:min(len(fresh), mostUpdates)] {
		peer.untold--
		told = append(told, detector.update(now, peer))
	}
	return append(told, detector.sample(now, stale, mostUpdates-len(fresh))...)
}

// sample tells of so many of the nodes, those after a random one.
func (detector *Detector) sample(now time.Duration, peers []*peer, most int) []shedkeel.GossipUpdate {
	if most <= 0 || len(peers) == 0 {
		return nil
	}
	first := int(detector.Random.Uint64() % uint64(len(peers)))
	var told []shedkeel.GossipUpdate
	for index := range min(most, len(peers)) {
		told = append(told, detector.update(now, peers[(first+index)%len(peers)]))
	}
	return told
}

// update says how a node stands. One that is dead is told as suspected for as long
// as it has been.
func (detector *Detector) update(now time.Duration, peer *peer) shedkeel.GossipUpdate {
	update := shedkeel.GossipUpdate{Node: peer.hash, Liveness: peer.liveness, Incarnation: peer.incarnation}
	if peer.liveness == shedkeel.Suspected || peer.liveness == shedkeel.Dead {
		update.Liveness, update.Age = shedkeel.Suspected, now-peer.since
	}
	return update
}

// accusation tells a node what is said of it, though this one has heard it since.
func (detector *Detector) accusation(now time.Duration, peer *peer) shedkeel.GossipUpdate {
	update := detector.update(now, peer)
	if update.Liveness == shedkeel.Alive {
		update.Liveness = shedkeel.Suspected
	}
	return update
}

// ownUpdate is what this node says of itself.
func (detector *Detector) ownUpdate() shedkeel.GossipUpdate {
	update := shedkeel.GossipUpdate{Node: shedkeel.HashNode(detector.Self), Incarnation: detector.incarnation}
	if detector.leaving {
		update.Liveness = shedkeel.Left
	}
	return update
}
