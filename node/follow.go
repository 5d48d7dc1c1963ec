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
	// followBackoff is how long choose passes over a node after peer.Relay found the node
	// unfit: the request to the node failed, the node follows the key-value service and gets
	// no response from it, or the node's copy is too old (see maxCopyAge).
	followBackoff = 2 * time.Second
	// maxSourceAge is the maximum age of a source's copy for the source to be followed.
	// Normally the copy is at most 0.8 s old: two watches of the key-value service last
	// 0.7 s, and the source collects changes for about 0.1 s before its next watch. For
	// what a source is, see sourceIndexes.
	maxSourceAge = 1200 * time.Millisecond
	// maxRelayAge is the maximum age of a relay's copy for the relay to be followed. A
	// relay follows a source by long polls that last up to mirror.RelayWait, so the relay's
	// copy may be older than the source's copy by up to mirror.RelayWait.
	maxRelayAge = maxSourceAge + mirror.RelayWait
	// maxDirectFollowers is the size of the largest fleet in which all other nodes follow a
	// source directly. In larger fleets most follow relays, which follow a source: if all
	// servers' records (0.1 MB) change at once in a fleet of 295 boxes, the source sends them
	// within 0.05 s instead of 1.2 s over its link of 200 Mbit/s.
	maxDirectFollowers = 96
	// followersPerRelay is how many nodes an availability zone has at most for each of its
	// relays, if enough of its nodes can be relays.
	followersPerRelay = 24
	// minRelayCapacity is the minimum capacity of a relay, relative to the node with
	// the most capacity. Small boxes also have only a tenth of a large box's bandwidth.
	minRelayCapacity = 0.5
)

// sourceIndexes are the positions of the two sources among the alive nodes in the order of
// compareNodes, the preferred source first. The first available source follows the key-value
// service itself, so that the calls to it don't grow with the number of nodes. The node at index
// 0 comes last because it usually is the leader as well.
var sourceIndexes = [...]int{1, 0}

// hasRelays reports whether a fleet of so many nodes has relays between the sources and
// most other nodes.
func hasRelays(nodes int) bool { return nodes > maxDirectFollowers }

// relayIndexes returns the indexes of the relays among the nodes, which are in the order of
// compareNodes, or nil if the fleet has no relays. Each availability zone has one relay for every
// followersPerRelay of its nodes, rounded up, or fewer if too few nodes qualify. The first
// reservedNodes nodes do not qualify: they have duties for the whole fleet.
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

// followOrder returns the indexes of the nodes that the node at index own may follow, the
// preferred ones first. The index own stands for the key-value service itself. The result
// contains index 1 also in a fleet of one node. The first reservedNodes nodes and the relays
// follow a source; the other nodes prefer relays, those of their own availability zone first.
func followOrder(nodes []nodeRecord, own int) []int {
	return followOrderWithRelays(nodes, relayIndexes(nodes), own)
}

// followOrderWithRelays is followOrder with the result of relayIndexes given.
func followOrderWithRelays(nodes []nodeRecord, relays []int, own int) []int {
	if relay := slices.Index(relays, own); own < reservedNodes || relay >= 0 {
		// If neither source is available, the first relay follows the key-value service
		// itself. Each other relay follows the first available relay before it, or the
		// key-value service if no relay before it is available. The first reservedNodes nodes
		// are no relays: for them, relay is -1, and the result has only the sources.
		return slices.Concat(sourceIndexes[:], relays[:relay+1])
	}
	far := func(index int) bool { return nodes[index].Zone != nodes[own].Zone }
	// The order differs from node to node, so that the followers of a lost relay spread over
	// the remaining relays.
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b int) int {
		return compareRelays(nodes[own].ID, far(a), far(b), nodes[a].ID, nodes[b].ID)
	})
	return append(relays, sourceIndexes[:]...)
}

// compareRelays orders two relays, a and b, for the node own. farA and farB state whether a
// and b are in another availability zone than own: a relay of own's zone comes before a relay
// of another zone. Otherwise a hash that differs from node to node orders the two.
func compareRelays(own shedkeel.NodeID, farA, farB bool, a, b shedkeel.NodeID) int {
	switch {
	case farA && !farB:
		return 1
	case farB && !farA:
		return -1
	}
	return cmp.Compare(pairHash(own, a), pairHash(own, b))
}

// pairHash returns a hash of two names that is the same in all processes. It mixes the
// bits of the FNV hash further: the names of a fleet's nodes are similar, and FNV hashes of names
// that differ only in their last characters differ little in the high bits, which decide the
// order of two hashes.
func pairHash[A, B ~string](a A, b B) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(a) + "\x00" + string(b))) // never fails
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd // the first round of the finalizer of MurmurHash3
	mixed ^= mixed >> 33
	return mixed
}

// choose returns the node that this node follows, or nil if this node follows the key-value
// service itself. It returns the first node in followOrder that peer.Relay has not found unfit
// within the last followBackoff, or the first of all if each was found unfit. If this node
// would follow the key-value service itself, startupSeed may return a seed instead.
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
	return preferred // all have failed recently; when this node's copy is stale, its mirror.Follower asks other nodes or the key-value service
}

// startupSeed returns the seed to follow in place of the key-value service while this node is not
// settled: it is not listed, or fewer than half of the expected nodes are alive, so its index
// among the nodes is not reliable. It returns nil if this node is settled or a seed itself, or if
// each seed has failed within the last followBackoff.
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

// isSeed reports whether this node is a seed: whether Settings.Seeds, the addresses of the
// nodes that other nodes ask when they start, contains this node's control address.
func (peers *peers) isSeed() bool {
	settings := &peers.node.Settings
	return slices.Contains(settings.Seeds, settings.Listen.Control)
}

// hops returns the maximum number of other nodes through which a change normally passes on
// its way from the key-value service to this node: a source and, in a fleet with relays, a
// relay.
func (peers *peers) hops() int {
	if hasRelays(peers.node.fleet.nodeCount()) {
		return 2
	}
	return 1
}
