// Package member keeps what one process knows of the fleet: its nodes, the
// agreed records and what watchers found, and merges what others tell so that
// order, repeats and partitions do no harm.
package member

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
)

// The keys of the agreed records in the key-value service.
const (
	KeyPrefix     = "shedkeel/"
	KeyConfig     = KeyPrefix + "config"
	KeyPlacements = KeyPrefix + "placement/"
	KeyLeases     = KeyPrefix + "lease/"
	KeyFallbacks  = KeyPrefix + "fallback/" // spread only, never written
	KeyClaims     = "shedkeel-claims/"      // outside KeyPrefix: not spread
)

// DefaultLiveTime is how long a node is taken for live that is not heard of.
const DefaultLiveTime = 6 * time.Second

// Record is an agreed record as this process knows it.
type Record struct {
	Key        string
	Generation uint64            // from its value; a process only moves to a higher one
	Revision   shedkeel.Revision // of the key-value service, for the next compare-and-swap
	Value      []byte
}

// GroupVerdict is what a watcher found of one group.
type GroupVerdict struct {
	Group   shedkeel.GroupID
	Epoch   uint64
	Verdict shedkeel.Verdict
	Load    int // requests running and queued on its first member, as reported
}

// Digest is all that one watcher found in one round of probes.
type Digest struct {
	Watcher     shedkeel.NodeID
	Incarnation string
	Sequence    uint64
	AsOf        time.Duration // on the local clock, no later than the probes were sent
	Verdicts    []GroupVerdict
	Leaving     []shedkeel.BoxID // boxes that are listed as leaving
}

// NodeState is a node and when it was last heard of, at first or second hand.
type NodeState struct {
	Node     shedkeel.Node
	Advanced time.Duration // when its heartbeat last grew here
}

// Table is the knowledge of one process. Its exported fields are set before
// use; its methods must not be called at once.
type Table struct {
	Self     shedkeel.Node // the zero Node in a process that is no node
	LiveTime time.Duration // a node unheard of for longer is taken for dead; zero: 6 s

	nodes   map[shedkeel.NodeID]*NodeState
	records map[string]Record
	digests map[shedkeel.NodeID]Digest

	// config and placements are what the records of these generations say.
	// Reading a placement's JSON takes about a millisecond, and they are
	// asked for several times a tick.
	config       shedkeel.Config
	configOf     uint64
	placements   []shedkeel.Placement
	placementsOf map[string]uint64
}

// beatEvery is how often a node's heartbeat advances while nothing else about
// it changes. Each advance is told to every node.
const beatEvery = 1500 * time.Millisecond

// Beat advances this node's own heartbeat if it is due or the node has
// changed. It is called on every tick.
func (table *Table) Beat(now time.Duration) {
	known := table.nodes[table.Self.ID]
	if known != nil && known.Node == table.Self && now-known.Advanced < beatEvery {
		return
	}
	table.Self.Heartbeat++
	table.MergeNode(table.Self, now)
}

// MergeNode takes in what is told of a node.
func (table *Table) MergeNode(node shedkeel.Node, now time.Duration) {
	if table.nodes == nil {
		table.nodes = map[shedkeel.NodeID]*NodeState{}
	}
	if node.ID == table.Self.ID && node.Incarnation != table.Self.Incarnation {
		return
	}
	known := table.nodes[node.ID]
	if known == nil {
		table.nodes[node.ID] = &NodeState{Node: node, Advanced: now}
		return
	}
	if newerNode(node, known.Node) {
		known.Node = node
		known.Advanced = now
	}
}

func newerNode(node, known shedkeel.Node) bool {
	if node.Incarnation != known.Incarnation {
		return node.Incarnation > known.Incarnation
	}
	return node.Heartbeat > known.Heartbeat
}

// MergeRecord takes in a record if it is newer than the one known, and reports
// whether it was. An older one is never taken.
func (table *Table) MergeRecord(record Record) bool {
	if table.records == nil {
		table.records = map[string]Record{}
	}
	known, found := table.records[record.Key]
	if found && record.Generation <= known.Generation {
		if record.Generation == known.Generation && record.Revision.After(known.Revision) {
			// The same write stands at another revision after the
			// service was restored and healed.
			known.Revision = record.Revision
			table.records[record.Key] = known
		}
		return false
	}
	table.records[record.Key] = record
	return true
}

// MergeDigest takes in what a watcher found if it is newer than what is known.
func (table *Table) MergeDigest(digest Digest) {
	if table.digests == nil {
		table.digests = map[shedkeel.NodeID]Digest{}
	}
	known, found := table.digests[digest.Watcher]
	if found && !newerDigest(digest, known) {
		return
	}
	table.digests[digest.Watcher] = digest
}

func newerDigest(digest, known Digest) bool {
	if digest.Incarnation != known.Incarnation {
		return digest.Incarnation > known.Incarnation
	}
	return digest.Sequence > known.Sequence
}

// Record returns a record; its Generation is 0 when none is known.
func (table *Table) Record(key string) Record {
	record, found := table.records[key]
	if !found {
		return Record{Key: key}
	}
	return record
}

// Records returns all records whose key begins with the prefix, by key.
func (table *Table) Records(prefix string) []Record {
	var records []Record
	for key, record := range table.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// Digests returns what each watcher found last, by watcher.
func (table *Table) Digests() []Digest {
	digests := make([]Digest, 0, len(table.digests))
	for _, digest := range table.digests {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b Digest) int { return strings.Compare(string(a.Watcher), string(b.Watcher)) })
	return digests
}

// Nodes returns all nodes known, by name.
func (table *Table) Nodes() []NodeState {
	nodes := make([]NodeState, 0, len(table.nodes))
	for _, state := range table.nodes {
		nodes = append(nodes, *state)
	}
	slices.SortFunc(nodes, func(a, b NodeState) int { return strings.Compare(string(a.Node.ID), string(b.Node.ID)) })
	return nodes
}

// Live returns the nodes heard of lately, by name.
func (table *Table) Live(now time.Duration) []shedkeel.Node {
	var live []shedkeel.Node
	for _, state := range table.Nodes() {
		if table.alive(state, now) {
			live = append(live, state.Node)
		}
	}
	return live
}

func (table *Table) alive(state NodeState, now time.Duration) bool {
	liveTime := table.LiveTime
	if liveTime == 0 {
		liveTime = DefaultLiveTime
	}
	return state.Node.ID == table.Self.ID || now-state.Advanced < liveTime
}

// forgetAfter is how many live times a node that is gone is still told of.
const forgetAfter = 60

// Forget drops nodes and digests that are long out of date.
func (table *Table) Forget(now time.Duration) {
	for id, state := range table.nodes {
		if !table.alive(*state, now-forgetAfter*DefaultLiveTime) {
			delete(table.nodes, id)
			delete(table.digests, id)
		}
	}
}

// Config returns the configuration in force, or false when none is known. It is
// shared with later calls and must not be changed.
func (table *Table) Config() (shedkeel.Config, bool) {
	record := table.Record(KeyConfig)
	if record.Generation == 0 {
		return shedkeel.Config{}, false
	}
	if record.Generation != table.configOf {
		var config shedkeel.Config
		if json.Unmarshal(record.Value, &config) != nil {
			return config, false
		}
		table.config, table.configOf = config, record.Generation
	}
	return table.config, true
}

// Placements returns the agreed placements of all zones, by zone, with the
// reserves that are in use. They are shared with later calls and must not be
// changed.
func (table *Table) Placements() []shedkeel.Placement {
	records := append(table.Records(KeyPlacements), table.Records(KeyFallbacks)...)
	if table.placementsCurrent(records) {
		return table.placements
	}
	table.placements = nil
	table.placementsOf = map[string]uint64{}
	for _, record := range records {
		table.readPlacement(record)
		table.placementsOf[record.Key] = record.Generation
	}
	return table.placements
}

// readPlacement takes in a placement, or a fallback about one before it.
func (table *Table) readPlacement(record Record) {
	if strings.HasPrefix(record.Key, KeyPlacements) {
		var placement shedkeel.Placement
		if json.Unmarshal(record.Value, &placement) == nil {
			table.placements = append(table.placements, placement)
		}
		return
	}
	var fallback shedkeel.Fallback
	if json.Unmarshal(record.Value, &fallback) != nil {
		return
	}
	for index := range table.placements {
		table.placements[index] = table.placements[index].With(fallback)
	}
}

func (table *Table) placementsCurrent(records []Record) bool {
	if len(records) != len(table.placementsOf) {
		return false
	}
	for _, record := range records {
		if table.placementsOf[record.Key] != record.Generation {
			return false
		}
	}
	return true
}

// stamp is the part that all agreed records have.
type stamp struct {
	Generation uint64 `json:"generation"`
}

// ParseRecord returns a record of the key-value service as a Record, or an
// InvalidError when its value is none of ours.
func ParseRecord(stored shedkeel.Record) (Record, error) {
	var stamp stamp
	if err := json.Unmarshal(stored.Value, &stamp); err != nil || stamp.Generation == 0 {
		return Record{}, &shedkeel.InvalidError{Where: "key " + stored.Key, What: "its value is no record with a generation", Remedy: "restore the key from a state dump of any keeper"}
	}
	return Record{Key: stored.Key, Generation: stamp.Generation, Revision: stored.Revision, Value: stored.Value}, nil
}
