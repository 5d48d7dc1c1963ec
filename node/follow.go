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
	// followBackoff is how long a node is not followed after it failed to answer, could
	// not reach its own source, or had too old a copy.
	followBackoff = 2 * time.Second
	// maxSourceAge is the maximum age of a source's copy for the source to be followed.
	// Normally the copy is at most as old as two watches of the service last (0.7 s) plus
	// about 0.1 s for which the source collects changes before its next watch.
	maxSourceAge = 1200 * time.Millisecond
	// maxRelayAge is the maximum age of a relay's copy for the relay to be followed. A
	// relay follows the source by long polls that last up to mirror.RelayWait.
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
// the first nodes in order that have enough capacity, are not stopping and are not among
// the reservedNodes, which have duties for the whole fleet.
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
// preferred ones first. The node's own index in the result means that it follows the
// service itself. A node that is not a relay prefers relays of its own availability zone
// to those of others. Each node has a different order, so that the followers of a lost
// relay spread over the remaining relays.
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
	var preferred *peer
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
		if preferred == nil {
			preferred = followed
		}
	}
	return preferred // all failed recently: once the copy is stale, the follower asks other nodes or the service
}

// startupSeed returns the seed to follow in place of the service while this node is not
// settled, that is, while it is not listed or knows less than half of the expected nodes.
// Its index among the nodes is then not reliable. startupSeed returns nil if this node is
// settled or is a seed itself, or if all seeds have failed recently.
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
