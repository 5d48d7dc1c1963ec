package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"shedkeel.org/shedkeel"
)

// Rank returns the nodes sorted for a key by rendezvous hashing, highest score first.
// A node that joins or leaves does not change the order of the others.
func Rank(key string, nodes []shedkeel.Node) []shedkeel.Node {
	type scoredNode struct {
		node  shedkeel.Node
		score uint64
	}
	all := make([]scoredNode, len(nodes))
	for index, node := range nodes {
		all[index] = scoredNode{node: node, score: Score(key, string(node.ID))}
	}
	slices.SortFunc(all, func(a, b scoredNode) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.node.ID, b.node.ID)
	})
	ranked := make([]shedkeel.Node, len(all))
	for index := range all {
		ranked[index] = all[index].node
	}
	return ranked
}

// Score returns the rendezvous score of a candidate for a key.
func Score(key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	return mixBits(hash.Sum64())
}

// mixBits spreads the entropy of a hash over all its bits. FNV alone leaves the
// high bits of similar names alike, so one node would get most keys. The constants
// are those of the splitmix64 finalizer.
func mixBits(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// watchersPerGroup is how many nodes probe each group, if there are as many.
const watchersPerGroup = 2

// ShouldProbe reports whether the node must probe the group. The watchers of a group
// are the first watchersPerGroup nodes that Rank gives for it among the Candidates
// of its zone.
func ShouldProbe(self shedkeel.NodeID, group shedkeel.GroupID, zone shedkeel.ZoneID, live []shedkeel.Node) bool {
	return slices.ContainsFunc(assignedNodes(string(group), zone, live), func(node shedkeel.Node) bool { return node.ID == self })
}

// assignedNodes returns the first watchersPerGroup of the nodes that Rank gives for
// the key among the Candidates of the zone.
func assignedNodes(key string, zone shedkeel.ZoneID, live []shedkeel.Node) []shedkeel.Node {
	candidates := Candidates(zone, live)
	ranked := Rank(key, candidates)
	return ranked[:min(watchersPerGroup, len(ranked))]
}

// Candidates returns the live nodes that may probe the groups of a zone or hold its
// lease: those in the zone, or all live nodes of the fleet if fewer than
// watchersPerGroup are in the zone.
func Candidates(zone shedkeel.ZoneID, live []shedkeel.Node) []shedkeel.Node {
	var inZone []shedkeel.Node
	for _, node := range live {
		if node.Zone == zone {
			inZone = append(inZone, node)
		}
	}
	if len(inZone) < watchersPerGroup {
		return live
	}
	return inZone
}

// RankOf returns the position, from 0, of the node self in the order that Rank gives
// for the key among the Candidates of a zone, or false if self is not a candidate.
func RankOf(self shedkeel.NodeID, key string, zone shedkeel.ZoneID, live []shedkeel.Node) (int, bool) {
	for position, node := range Rank(key, Candidates(zone, live)) {
		if node.ID == self {
			return position, true
		}
	}
	return 0, false
}
