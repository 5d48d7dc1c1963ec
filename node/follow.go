package node

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
)

const (
	// followBackoff is how long a node is not followed after it did not answer or its
	// copy was too old.
	followBackoff = 2 * time.Second
	// maxSourceAge is the maximum age of the copy of a source that others follow. The
	// copy is up to as old as two watches of the service last, and changes are collected
	// for 0.1 s.
	maxSourceAge = 1200 * time.Millisecond
	// maxRelayAge is the maximum age of the copy of a relay, which follows the source by long
	// polling.
	maxRelayAge = maxSourceAge + mirror.RelayWait
	// maxDirectFollowers is the largest fleet in which all nodes follow the source
	// itself. In larger fleets relays follow the source and the other nodes follow the
	// relays. In a fleet of 295 boxes the source then sends a change of all servers, 0.1
	// MB, 13 times instead of 294 times, which takes 0.05 s instead of 1.2 s over its
	// link of 200 Mbit/s.
	maxDirectFollowers = 96
	// followersPerRelay is how many nodes of an availability zone share one relay.
	followersPerRelay = 24
	// minRelayCapacity is the minimum capacity of a relay, relative to the node with
	// the most capacity. Small boxes also have only a tenth of a large box's bandwidth.
	minRelayCapacity = 0.5
)

// sourceIndexes are the indexes, in the order of the nodes, of the sources: the nodes
// that all others follow, or only the relays in a large fleet. The first available
// source follows the key-value service itself, so that the calls to the service don't
// grow with the number of nodes. The node at index 0 comes last because it usually
// is the leader as well.
var sourceIndexes = [...]int{1, 0}

// hasRelays reports whether a fleet of so many nodes has relays between the source and
// the other nodes.
func hasRelays(nodes int) bool { return nodes > maxDirectFollowers }

// relayIndexes returns the indexes of the relays. In each availability zone these are
// the first nodes in order that have enough capacity, don't stop and have no duties for
// the whole fleet.
func relayIndexes(nodes []nodeRecord) []int {
	if !hasRelays(len(nodes)) {
		return nil
	}
	inZone := map[shedkeel.ZoneID]int{}
	for _, node := range nodes {
		inZone[node.Zone]++
	}
	taken := map[shedkeel.ZoneID]int{}
	var relays []int
	for index, node := range nodes {
		wanted := (inZone[node.Zone] + followersPerRelay - 1) / followersPerRelay
		suitable := node.Capacity >= minRelayCapacity*nodes[0].Capacity && !node.Stopping
		if index < reservedNodes || !suitable || taken[node.Zone] >= wanted {
			continue
		}
		taken[node.Zone]++
		relays = append(relays, index)
	}
	return relays
}

// followOrder returns the indexes of the nodes whose copies a node may follow, the
// preferred ones first. Its own index stands for the service itself. A node that is not
// a relay prefers relays of its own availability zone to those of others. Each node has
// a different order, so that the followers of a lost relay spread over the others.
func followOrder(nodes []nodeRecord, own int) []int {
	return followOrderWithRelays(nodes, relayIndexes(nodes), own)
}

// followOrderWithRelays is followOrder with the result of relayIndexes given.
func followOrderWithRelays(nodes []nodeRecord, relays []int, own int) []int {
	if relay := slices.Index(relays, own); own < reservedNodes || relay >= 0 {
		// If neither source reaches the service, the first relay follows the service
		// itself, and the other relays follow it.
		return slices.Concat(sourceIndexes[:], relays[:relay+1])
	}
	far := func(index int) bool { return nodes[index].Zone != nodes[own].Zone }
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b int) int {
		return compareRelays(nodes[own].ID, far(a), far(b), nodes[a].ID, nodes[b].ID)
	})
	return append(relays, sourceIndexes[:]...)
}

// compareRelays orders two relays for a node: those of its own availability zone come
// first; relays that are equal in this are ordered by a hash that differs from node to node.
func compareRelays(own shedkeel.NodeID, farA, farB bool, a, b shedkeel.NodeID) int {
	switch {
	case farA && !farB:
		return 1
	case farB && !farA:
		return -1
	}
	return cmp.Compare(pairHash(own, a), pairHash(own, b))
}

// pairHash returns a hash of two names that is the same in all processes. The names of
// a fleet's nodes are similar, so the bits of the hash are mixed.
func pairHash[A, B ~string](a A, b B) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(a) + "\x00" + string(b))) // never fails
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	mixed ^= mixed >> 33
	return mixed
}

// choose returns the node whose mirror this node follows, or nil if it follows the
// service itself.
func (peers *peers) choose() mirror.Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, own, listed := peers.aliveWithSelf()
	var first *peer
	for _, index := range followOrder(nodes, own) {
		if index >= len(nodes) {
			continue
		}
		if index == own {
			return peers.startupSeed(listed && len(nodes) >= peers.node.member.expectedNodes()/2)
		}
		followed := peers.known[nodes[index].ID]
		if !followed.followFailure.isRecent(followBackoff, peers.node.Timers.Now()) {
			return followed
		}
		if first == nil {
			first = followed
		}
	}
	return first // none answers: the copy becomes stale, and the follower then asks other nodes or the service
}

// startupSeed returns the seed to follow in place of the service while this node is not
// listed or knows few other nodes, so that its index is not reliable. It returns nil if
// the node is settled or is a seed itself, or no seed answers.
func (peers *peers) startupSeed(settled bool) mirror.Peer {
	if settled || peers.isSeed() {
		return nil
	}
	for _, seed := range peers.seeds {
		if !seed.followFailure.isRecent(followBackoff, peers.node.Timers.Now()) {
			return seed
		}
	}
	return nil
}

// isSeed reports whether this node is a seed, which others ask when they start.
func (peers *peers) isSeed() bool {
	settings := &peers.node.Settings
	return slices.Contains(settings.Seeds, settings.Listen.Control)
}

// hops returns the maximum number of other processes between the service and this
// node's copy.
func (peers *peers) hops() int {
	if hasRelays(peers.node.fleet.nodeCount()) {
		return 2
	}
	return 1
}
