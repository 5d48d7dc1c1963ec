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
	// followBackoff is how long a node is not followed that has not answered, or with
	// a copy that was too old.
	followBackoff = 2 * time.Second
	// maxSourceAge is how old the copy of a node may be that others follow: its
	// copy is up to two watches old, and what has changed is let gather for 0.1 s.
	maxSourceAge = 1200 * time.Millisecond
	// maxRelayAge is the same for a relay, which follows the source by questions
	// that wait.
	maxRelayAge = maxSourceAge + mirror.RelayWait
	// maxDirectFollowers is up to how many nodes all follow the source itself.
	// Beyond it relays stand between: a change of all servers of 295 boxes, 0.1
	// MB, then leaves the source 13 times in place of 294, and its link of 200
	// Mbit/s takes 0.05 s for it in place of 1.2.
	maxDirectFollowers = 96
	// followersPerRelay is how many nodes of an availability zone one relay is for.
	followersPerRelay = 24
	// minRelayCapacity is the least that a relay has of the capacity of the node
	// with most: small boxes have a tenth of a large one's link too.
	minRelayCapacity = 0.5
)

// sourceIndexes are the places of the nodes that relays, or in a small fleet all, may
// follow. It follows the key-value service itself, so that calls don't grow with
// nodes. The node in the first place plans already.
var sourceIndexes = [...]int{1, 0}

// hasRelays reports whether relays stand between the source and the others in a
// fleet of so many nodes.
func hasRelays(nodes int) bool { return nodes > maxDirectFollowers }

// relayIndexes returns the places of the nodes that others follow in the place of
// the source: of each availability zone the first in order that are large
// enough, none of them with work for all.
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
	for place, node := range nodes {
		wanted := (inZone[node.Zone] + followersPerRelay - 1) / followersPerRelay
		fit := node.Capacity >= minRelayCapacity*nodes[0].Capacity && !node.Stopping
		if place < helpers || !fit || taken[node.Zone] >= wanted {
			continue
		}
		taken[node.Zone]++
		relays = append(relays, place)
	}
	return relays
}

// followOrder returns the places of the nodes whose copies a node may follow,
// the best first, and its own for the service itself. What is not a relay
// follows one of its own availability zone, and another one when none there
// answers; each node has an order of its own, so that the followers of a relay
// that is lost spread over the others.
func followOrder(nodes []nodeRecord, own int) []int {
	return followOrderWithRelays(nodes, relayIndexes(nodes), own)
}

// followOrderWithRelays is followOrder where the relays are known.
func followOrderWithRelays(nodes []nodeRecord, relays []int, own int) []int {
	if place := slices.Index(relays, own); own < helpers || place >= 0 {
		// Where neither source has a way to the service, the first relay does, and
		// the others follow it.
		return slices.Concat(sourceIndexes[:], relays[:place+1])
	}
	far := func(place int) bool { return nodes[place].Zone != nodes[own].Zone }
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b int) int {
		return compareRelays(nodes[own].ID, far(a), far(b), nodes[a].ID, nodes[b].ID)
	})
	return append(relays, sourceIndexes[:]...)
}

// compareRelays orders two relays for a node: those of its own availability zone
// come first, then in an order of its own.
func compareRelays(own shedkeel.NodeID, farA, farB bool, a, b shedkeel.NodeID) int {
	switch {
	case farA && !farB:
		return 1
	case farB && !farA:
		return -1
	}
	return cmp.Compare(pairHash(own, a), pairHash(own, b))
}

// pairHash is a number of two names that is the same in all processes. The names
// of a fleet's nodes are much alike, so the bits of the hash are mixed.
func pairHash[A, B ~string](a A, b B) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(a) + "\x00" + string(b))) // it never fails
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	mixed ^= mixed >> 33
	return mixed
}

// choose returns the node whose mirror this node follows, or nil if it is to
// follow the service itself.
func (peers *peers) choose() mirror.Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, own, listed := peers.withOwn()
	var first *peer
	for _, place := range followOrder(nodes, own) {
		if place >= len(nodes) {
			continue
		}
		if place == own {
			return peers.startupSeed(listed && len(nodes) >= peers.node.member.expectedNodes()/2)
		}
		followed := peers.known[nodes[place].ID]
		if !followed.failed.within(followBackoff, peers.node.Timers.Now()) {
			return followed
		}
		if first == nil {
			first = followed
		}
	}
	return first // none answers; the copy will be stale, and its turn to ask the service comes
}

// startupSeed returns whom a node follows that would follow the service itself: a seed
// while this node is not listed or knows few of the others, and so not its place.
func (peers *peers) startupSeed(settled bool) mirror.Peer {
	if settled || peers.isSeed() {
		return nil
	}
	for _, seed := range peers.seeds {
		if !seed.failed.within(followBackoff, peers.node.Timers.Now()) {
			return seed
		}
	}
	return nil
}

// isSeed reports whether other nodes ask this one at their start.
func (peers *peers) isSeed() bool {
	settings := &peers.node.Settings
	return slices.Contains(settings.Seeds, settings.Listen.Control)
}

// hops returns through how many other processes a copy may come here.
func (peers *peers) hops() int {
	if hasRelays(peers.node.fleet.nodeCount()) {
		return 2
	}
	return 1
}
