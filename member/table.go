// Package member holds what one process knows of the fleet: the nodes, the records
// that were agreed by writing them to the key-value service, and the findings of the
// watchers, which are the nodes that probe groups. The processes are the keepers and
// the entries of the nodes, which exchange this state by gossip. Which of two states
// is kept depends only on their versions, so messages may arrive late, repeated or out
// of order, also after a partition.
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
	KeyFallbacks  = KeyPrefix + "fallback/" // spread by gossip only, never written to the key-value service
	KeyClaims     = "shedkeel-claims/"      // outside KeyPrefix: not spread by gossip
)

// DefaultLiveTime is how long a node counts as live after its last new heartbeat.
const DefaultLiveTime = 6 * time.Second

// Record is a record of the key-value service as this process knows it.
type Record struct {
	Key        string
	Generation uint64            // read from Value; a process never replaces a record by one with a lower Generation
	Revision   shedkeel.Revision // of the key-value service, for the next compare-and-swap
	Value      []byte
}

// GroupVerdict is a watcher's verdict on one group.
type GroupVerdict struct {
	Group   shedkeel.GroupID
	Epoch   uint64
	Verdict shedkeel.Verdict
	Load    int // requests running and queued on the group's first member, as that member reported
}

// Digest holds all findings of one watcher from one round of probes.
type Digest struct {
	Watcher     shedkeel.NodeID
	Incarnation string
	Sequence    uint64
	AsOf        time.Duration // local time at which the round of probes began, or earlier if the digest came from another process
	Verdicts    []GroupVerdict
	Leaving     []shedkeel.BoxID // boxes that the watcher's box list marks as leaving
}

// NodeState is a node and the time of its last new heartbeat, which was received from
// the node itself or through other nodes.
type NodeState struct {
	Node        shedkeel.Node
	HeartbeatAt time.Duration // local time at which a newer heartbeat or incarnation was last stored
}

// Table is the state that one process knows. Its exported fields must be set before
// use. It must not be used concurrently.
type Table struct {
	Self     shedkeel.Node // this node; zero in a process that is not a node. AdvanceHeartbeat announces changes
	LiveTime time.Duration // a node without a new heartbeat for this long counts as dead; zero: DefaultLiveTime

	nodes   map[shedkeel.NodeID]*NodeState
	records map[string]Record
	digests map[shedkeel.NodeID]Digest

	// config and placements cache the decoded records: decoding a placement takes about a
	// millisecond, and Config and Placements are called several times a tick. The
	// generations are those of the decoded records; placementGenerations has them by record
	// key, with those of the fallbacks.
	config               shedkeel.Config
	configGeneration     uint64
	placements           []shedkeel.Placement
	placementGenerations map[string]uint64
}

// heartbeatInterval is how often a node advances its heartbeat while nothing else
// about it changes. Each advance is sent to every node, so a shorter interval would
// cause more traffic.
const heartbeatInterval = 1500 * time.Millisecond

// AdvanceHeartbeat advances this node's own heartbeat if heartbeatInterval has passed
// since it last advanced or if Self has changed. A keeper calls it on every tick and
// when its entry begins to stop.
func (table *Table) AdvanceHeartbeat(now time.Duration) {
	known := table.nodes[table.Self.ID]
	if known != nil && known.Node == table.Self && now-known.HeartbeatAt < heartbeatInterval {
		return
	}
	table.Self.Heartbeat++
	table.MergeNode(table.Self, now)
}

// MergeNode stores a node if no node with its ID is known or if it is newer than the
// known one. It ignores a node with the ID of Self and another incarnation, which is
// an earlier process of this node.
func (table *Table) MergeNode(node shedkeel.Node, now time.Duration) {
	if table.nodes == nil {
		table.nodes = map[shedkeel.NodeID]*NodeState{}
	}
	if node.ID == table.Self.ID && node.Incarnation != table.Self.Incarnation {
		return
	}
	known := table.nodes[node.ID]
	if known == nil {
		table.nodes[node.ID] = &NodeState{Node: node, HeartbeatAt: now}
		return
	}
	if nodeIsNewer(node, known.Node) {
		known.Node = node
		known.HeartbeatAt = now
	}
}

// nodeIsNewer reports whether node is newer than known: by incarnation first, then
// by heartbeat.
func nodeIsNewer(node, known shedkeel.Node) bool {
	if node.Incarnation != known.Incarnation {
		return node.Incarnation > known.Incarnation
	}
	return node.Heartbeat > known.Heartbeat
}

// MergeRecord stores a record if no record of its key is known or if its generation
// is higher than the known one's, and reports whether it did. For the same generation
// it only takes over a later revision.
func (table *Table) MergeRecord(record Record) bool {
	if table.records == nil {
		table.records = map[string]Record{}
	}
	known, found := table.records[record.Key]
	if found && record.Generation <= known.Generation {
		if record.Generation == known.Generation && record.Revision.After(known.Revision) {
			// After the key-value service was restored from older data and a
			// keeper wrote the record back, the same value has a later revision.
			known.Revision = record.Revision
			table.records[record.Key] = known
		}
		return false
	}
	table.records[record.Key] = record
	return true
}

// MergeDigest stores a watcher's digest if none of this watcher is known or if it is
// newer than the known one.
func (table *Table) MergeDigest(digest Digest) {
	if table.digests == nil {
		table.digests = map[shedkeel.NodeID]Digest{}
	}
	known, found := table.digests[digest.Watcher]
	if found && !digestIsNewer(digest, known) {
		return
	}
	table.digests[digest.Watcher] = digest
}

// digestIsNewer reports whether digest is newer than known: by incarnation first,
// then by sequence.
func digestIsNewer(digest, known Digest) bool {
	if digest.Incarnation != known.Incarnation {
		return digest.Incarnation > known.Incarnation
	}
	return digest.Sequence > known.Sequence
}

// Record returns the record of the key, or one with Generation 0 if none is known.
func (table *Table) Record(key string) Record {
	record, found := table.records[key]
	if !found {
		return Record{Key: key}
	}
	return record
}

// Records returns the records whose key begins with the prefix, sorted by key.
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

// Digests returns the last digest of each watcher, sorted by watcher.
func (table *Table) Digests() []Digest {
	digests := make([]Digest, 0, len(table.digests))
	for _, digest := range table.digests {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b Digest) int { return strings.Compare(string(a.Watcher), string(b.Watcher)) })
	return digests
}

// Nodes returns all known nodes, sorted by ID.
func (table *Table) Nodes() []NodeState {
	nodes := make([]NodeState, 0, len(table.nodes))
	for _, state := range table.nodes {
		nodes = append(nodes, *state)
	}
	slices.SortFunc(nodes, func(a, b NodeState) int { return strings.Compare(string(a.Node.ID), string(b.Node.ID)) })
	return nodes
}

// Live returns the live nodes, sorted by ID. This node is always among them if
// the table knows it.
func (table *Table) Live(now time.Duration) []shedkeel.Node {
	var live []shedkeel.Node
	for _, state := range table.Nodes() {
		if table.isLive(state, now) {
			live = append(live, state.Node)
		}
	}
	return live
}

// isLive reports whether the node is this one or had a new heartbeat within
// LiveTime.
func (table *Table) isLive(state NodeState, now time.Duration) bool {
	liveTime := table.LiveTime
	if liveTime == 0 {
		liveTime = DefaultLiveTime
	}
	return state.Node.ID == table.Self.ID || now-state.HeartbeatAt < liveTime
}

// evictAfter is how long a dead node stays in the table, in multiples of
// DefaultLiveTime.
const evictAfter = 60

// EvictDead evicts nodes that have been dead for evictAfter times DefaultLiveTime,
// with their digests.
func (table *Table) EvictDead(now time.Duration) {
	for id, state := range table.nodes {
		if !table.isLive(*state, now-evictAfter*DefaultLiveTime) {
			delete(table.nodes, id)
			delete(table.digests, id)
		}
	}
}

// Config returns the configuration in force, or false if none is known or it cannot
// be decoded. The result is shared between calls and must not be changed.
func (table *Table) Config() (shedkeel.Config, bool) {
	record := table.Record(KeyConfig)
	if record.Generation == 0 {
		return shedkeel.Config{}, false
	}
	if record.Generation != table.configGeneration {
		var config shedkeel.Config
		if json.Unmarshal(record.Value, &config) != nil {
			return config, false
		}
		table.config, table.configGeneration = config, record.Generation
	}
	return table.config, true
}

// Placements returns the agreed placements of all zones, sorted by record key. The
// fallbacks, which replace lost members by reserves, are applied to them. Records
// that cannot be decoded are left out. The result is shared between calls and must
// not be changed.
func (table *Table) Placements() []shedkeel.Placement {
	records := append(table.Records(KeyPlacements), table.Records(KeyFallbacks)...)
	if table.placementsUpToDate(records) {
		return table.placements
	}
	table.placements = nil
	table.placementGenerations = map[string]uint64{}
	for _, record := range records {
		table.applyPlacementRecord(record)
		table.placementGenerations[record.Key] = record.Generation
	}
	return table.placements
}

// applyPlacementRecord decodes a placement and appends it, or decodes a fallback
// and applies it to the placements appended before. It ignores records that cannot
// be decoded.
func (table *Table) applyPlacementRecord(record Record) {
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
		table.placements[index] = table.placements[index].WithFallback(fallback)
	}
}

// placementsUpToDate reports whether the cached placements come from exactly these
// records.
func (table *Table) placementsUpToDate(records []Record) bool {
	if len(records) != len(table.placementGenerations) {
		return false
	}
	for _, record := range records {
		if table.placementGenerations[record.Key] != record.Generation {
			return false
		}
	}
	return true
}

// generationHeader decodes the field that the JSON of every agreed record has.
type generationHeader struct {
	Generation uint64 `json:"generation"`
}

// ParseRecord converts a record of the key-value service to a Record. It returns an
// InvalidError if the value is not JSON with a generation above 0.
func ParseRecord(stored shedkeel.Record) (Record, error) {
	var header generationHeader
	if err := json.Unmarshal(stored.Value, &header); err != nil || header.Generation == 0 {
		return Record{}, &shedkeel.InvalidError{Where: "key " + stored.Key, What: "its value is not JSON with a generation above 0", Remedy: "restore the key from a state dump of any keeper"}
	}
	return Record{Key: stored.Key, Generation: header.Generation, Revision: stored.Revision, Value: stored.Value}, nil
}
