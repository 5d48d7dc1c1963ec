package node

import (
	"cmp"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// nodePrefix is the prefix of the keys of the nodes' records.
const nodePrefix = "shedkeel/nodes/"

// nodeRecord is what a node publishes about itself.
type nodeRecord struct {
	ID          shedkeel.NodeID `json:"id"`
	Incarnation string          `json:"incarnation"` // unique to each start of the process
	Zone        shedkeel.ZoneID `json:"zone"`
	Callers     string          `json:"callers"`          // host:port for callers' requests
	Control     string          `json:"control"`          // host:port for other nodes' calls
	Gossip      string          `json:"gossip,omitempty"` // UDP address; empty: the node's version has no gossip
	Capacity    float64         `json:"capacity"`         // in processor cores
	Stopping    bool            `json:"stopping"`
	// Watched states that the record has no lease: the record stays until another node
	// detects that the record's owner is dead and removes the record.
	Watched bool `json:"watched"`
	// Lease and Era identify the lease that the record was written with, with whose end it goes; 0: none. The
	// key-value service may do a write late, with a lease that the node no longer renews.
	Lease int64 `json:"lease,omitempty"`
	Era   int64 `json:"era,omitempty"`
	// Sequence counts the records that this process has written, so that an earlier one is known as such.
	Sequence uint64 `json:"seq,omitempty"`
}

// isBefore reports whether the same process has written the other record later.
func (record nodeRecord) isBefore(other nodeRecord) bool {
	return record.Incarnation == other.Incarnation && record.Sequence < other.Sequence
}

// equalsExceptWrite reports whether two records of one process differ in nothing but when and with which lease they were
// written.
func (record nodeRecord) equalsExceptWrite(other nodeRecord) bool {
	record.Lease, record.Era, record.Sequence = other.Lease, other.Era, other.Sequence
	return record == other
}

// statesSame reports whether two records state the same of a node, whichever process of it has written them, and with
// the same lease.
func (record nodeRecord) statesSame(other nodeRecord) bool {
	record.Incarnation, record.Sequence = other.Incarnation, other.Sequence
	return record == other
}

// applyNode applies a node's record and reports whether the listed nodes may have changed. A
// deleted record is handled by removeOrRetain. An invalid record, or one that is older than the known one, is
// skipped; if it is this node's own, this node writes its record again. The caller holds the mutex.
func (fleet *fleet) applyNode(record shedkeel.Record, now time.Duration) bool {
	if record.Removed {
		return fleet.removeOrRetain(record.Key, now, func() { delete(fleet.nodes, record.Key) })
	}
	node, err := fleet.decodeNode(record)
	if err != nil {
		if record.Key == fleet.node.member.key() {
			fleet.node.member.dirty.Store(true) // another writer has replaced this node's record by an invalid one
		}
		return false // the last valid record stays in use
	}
	if node.isBefore(fleet.nodes[record.Key]) {
		fleet.skipRecord(record, &shedkeel.InvalidError{Where: record.Key, What: "it is older than the known record of the node", Remedy: "none is needed: the node writes it again"})
		return false
	}
	delete(fleet.retained, record.Key)
	fleet.nodes[record.Key] = node
	return true
}

// decodeNode decodes and validates a node's record, and logs it if it is invalid.
func (fleet *fleet) decodeNode(record shedkeel.Record) (nodeRecord, error) {
	var node nodeRecord
	if err := fleet.decodeRecord(record, &node); err != nil {
		return node, err
	}
	if err := node.validate(record.Key); err != nil {
		fleet.skipRecord(record, err)
		return node, err
	}
	return node, nil
}

// validate returns an error that states what is wrong with the record under the key, or nil.
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

// sortedNodes returns the nodes in the order of compareNodes. The caller holds the mutex.
func (fleet *fleet) sortedNodes() []nodeRecord {
	var found []nodeRecord
	for _, node := range fleet.nodes {
		found = append(found, node)
	}
	slices.SortFunc(found, compareNodes)
	return found
}

// nodeIDs returns the IDs of the listed nodes, and as of when they are known to be current.
func (fleet *fleet) nodeIDs() (listed map[shedkeel.NodeID]bool, asOf time.Duration) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	listed = map[shedkeel.NodeID]bool{}
	for _, node := range fleet.nodes {
		listed[node.ID] = true
	}
	return listed, fleet.configState().ProvenAt
}

// compareNodes orders nodes by preference for duties that one node has for the whole
// fleet: those with the most capacity come first. Nodes of equal capacity are ordered by ID.
func compareNodes(a, b nodeRecord) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// nodeCount returns the number of listed nodes, or assumedNodes if none is listed.
func (fleet *fleet) nodeCount() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.nodes) == 0 {
		return assumedNodes
	}
	return len(fleet.nodes)
}

// servingCount returns the number of listed nodes that are not stopping, or assumedNodes
// if there is none.
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

// Addresses returns the addresses for callers of the nodes that serve, those of the given
// availability zone first. A ready node includes itself even if it is not listed. Other nodes
// that are neither alive nor suspected are left out, because a node that lost power stays listed
// until its record is removed, which an outage of the key-value service delays.
func (node *Node) Addresses(zone string) []string {
	fleet := &node.fleet
	fleet.mutex.Lock()
	nodes := fleet.sortedNodes()
	fleet.mutex.Unlock()
	var near, far []string
	selfListed := false
	for _, other := range nodes {
		own := other.ID == node.Settings.Node
		selfListed = selfListed || own
		if other.Stopping || own && !node.Ready() || !own && !node.gossip.mayServeCallers(other.ID) {
			continue
		}
		if string(other.Zone) == zone {
			near = append(near, other.Callers)
		} else {
			far = append(far, other.Callers)
		}
	}
	if !selfListed && node.Ready() {
		near = append(near, node.Settings.Listen.Callers)
	}
	return append(near, far...)
}
