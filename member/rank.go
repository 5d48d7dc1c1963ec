package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"shedkeel.org/shedkeel"
)

// Rank orders nodes for a key by rendezvous hashing: each node's place is
// nearly independent of the others, so that one coming or going moves little.
func Rank(key string, nodes []shedkeel.Node) []shedkeel.Node {
	type scored struct {
		node  shedkeel.Node
		score uint64
	}
	all := make([]scored, len(nodes))
	for index, node := range nodes {
		all[index] = scored{node: node, score: Score(key, string(node.ID))}
	}
	slices.SortFunc(all, func(a, b scored) int {
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

// Score returns the rendezvous weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	return mix(hash.Sum64())
}

// mix spreads a hash over all its bits: FNV alone leaves the high bits of
// similar names alike, which would give one node most keys. The constants are
// those of the splitmix64 finalizer.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// watchersPerGroup is how many nodes probe each group.
const watchersPerGroup = 2

// Watches reports whether the node should probe the group: it is one of the
// first two that rendezvous hashing gives among the live nodes of the group's
// zone, or among all live nodes when that zone has fewer than two.
func Watches(self shedkeel.NodeID, group shedkeel.GroupID, zone shedkeel.ZoneID, live []shedkeel.Node) bool {
	return slices.ContainsFunc(first(string(group), zone, live), func(node shedkeel.Node) bool { return node.ID == self })
}

// first returns the nodes that do a zone's work for the key.
func first(key string, zone shedkeel.ZoneID, live []shedkeel.Node) []shedkeel.Node {
	candidates := Candidates(zone, live)
	ranked := Rank(key, candidates)
	return ranked[:min(watchersPerGroup, len(ranked))]
}

// Candidates returns the live nodes that may work for a zone.
func Candidates(zone shedkeel.ZoneID, live []shedkeel.Node) []shedkeel.Node {
	var local []shedkeel.Node
	for _, node := range live {
		if node.Zone == zone {
			local = append(local, node)
		}
	}
	if len(local) < watchersPerGroup {
		return live
	}
	return local
}

// Place returns the node's place among those that may work for a zone under
// the key, or false when it is none of them.
func Place(self shedkeel.NodeID, key string, zone shedkeel.ZoneID, live []shedkeel.Node) (int, bool) {
	for place, node := range Rank(key, Candidates(zone, live)) {
		if node.ID == self {
			return place, true
		}
	}
	return 0, false
}
