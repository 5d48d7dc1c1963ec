package node

import (
	"cmp"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// nodePrefix is below where nodes write that they live.
const nodePrefix = "shedkeel/nodes/"

// nodeRecord is how a node describes itself to others.
type nodeRecord struct {
	ID          shedkeel.NodeID `json:"id"`
	Incarnation string          `json:"incarnation"`
	Zone        shedkeel.ZoneID `json:"zone"`
	Callers     string          `json:"callers"`
	Control     string          `json:"control"`
	Gossip      string          `json:"gossip,omitempty"` // for datagrams; empty: of a version without
	Capacity    float64         `json:"capacity"`         // part of a processor core
	Stopping    bool            `json:"stopping"`
	// Watched says that the record stays until another node finds this one dead.
	// Without it, the record goes with a lease.
	Watched bool `json:"watched"`
}

// equalsExceptIncarnation reports whether two records say the equalsExceptIncarnation of a node, whichever start of it
// wrote them.
func (record nodeRecord) equalsExceptIncarnation(other nodeRecord) bool {
	record.Incarnation = other.Incarnation
	return record == other
}

func (fleet *fleet) applyNode(record shedkeel.Record, now time.Duration) bool {
	if record.Gone {
		return fleet.removeOrRetain(record.Key, now, func() { delete(fleet.nodes, record.Key) })
	}
	node, err := fleet.decodeNode(record)
	if err != nil {
		if record.Key == fleet.node.member.key() {
			fleet.node.member.dirty.Store(true) // another writer spoilt it
		}
		return false // what was known of the node stays
	}
	delete(fleet.retained, record.Key)
	fleet.nodes[record.Key] = node
	return true
}

// decodeNode reads what a node tells of itself, and logs what can't be used.
func (fleet *fleet) decodeNode(record shedkeel.Record) (nodeRecord, error) {
	var node nodeRecord
	if err := fleet.read(record, &node); err != nil {
		return node, err
	}
	if err := node.validate(record.Key); err != nil {
		fleet.skipped(record, err)
		return node, err
	}
	return node, nil
}

// validate returns why nothing may be sent to the node by this record, or nil.
func (record nodeRecord) validate(key string) error {
	invalid := &shedkeel.InvalidError{Where: key, Remedy: "none is needed: the node writes it again if it lives"}
	switch {
	case record.ID == "" || key != nodePrefix+string(record.ID):
		invalid.What = "it is not the record of the node that its key names"
	case !shedkeel.IsAddress(record.Callers) || !shedkeel.IsAddress(record.Control):
		invalid.What = "callers or control is no host:port"
	case record.Gossip != "" && !shedkeel.IsAddress(record.Gossip):
		invalid.What = "gossip is no host:port"
	case record.Zone == "":
		invalid.What = "zone is missing"
	case record.Capacity < 0:
		invalid.What = "capacity is below 0"
	default:
		return nil
	}
	return invalid
}

func (fleet *fleet) sortedNodes() []nodeRecord {
	var found []nodeRecord
	for _, node := range fleet.nodes {
		found = append(found, node)
	}
	slices.SortFunc(found, compareNodes)
	return found
}

// compareNodes orders nodes by what they may do for all: those with the most
// capacity come first.
func compareNodes(a, b nodeRecord) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

func (fleet *fleet) nodeCount() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.nodes) == 0 {
		return assumedNodes
	}
	return len(fleet.nodes)
}

// servingCount returns how many nodes callers are sent to.
func (fleet *fleet) servingCount() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	count := 0
	for _, node := range fleet.nodes {
		if !node.Stopping {
			count++
		}
	}
	if count == 0 {
		return assumedNodes
	}
	return count
}

// Addresses returns the callers' addresses of the nodes that serve, those of
// the availability zone first, or none while too little is known.
//
// That a node is listed says only that it wrote so once: while the store was away
// or nobody removed its record, one that had lost power was named for seconds, and
// callers went there in vain. So the nodes' own failure detector is asked.
func (node *Node) Addresses(zone string) []string {
	fleet := &node.fleet
	fleet.mutex.Lock()
	nodes := fleet.sortedNodes()
	fleet.mutex.Unlock()
	var near, far []string
	self := false
	for _, other := range nodes {
		own := other.ID == node.Settings.Node
		self = self || own
		if other.Stopping || own && !node.Ready() || !own && !node.gossip.serves(other.ID) {
			continue
		}
		if string(other.Zone) == zone {
			near = append(near, other.Callers)
		} else {
			far = append(far, other.Callers)
		}
	}
	if !self && node.Ready() {
		near = append(near, node.Settings.Listen.Callers)
	}
	return append(near, far...)
}
