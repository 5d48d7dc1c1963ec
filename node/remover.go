package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

const (
	// removerInterval is how often a node checks which records it should remove.
	removerInterval = 500 * time.Millisecond
	// removalStagger is the time between the turns of two nodes to remove the same record.
	// It is several times as long as a removal takes to reach all nodes.
	removalStagger = time.Second
	// removalRetryInterval is how long after its removal of a record this node removes the
	// same record again, if the removal failed, or if the record was written again while
	// this node still considers the record's owner dead.
	removalRetryInterval = 10 * time.Second
)

// remover removes the records of dead nodes from the key-value service. In a large fleet (see
// needsNoLease) records have no lease, so that an idle fleet makes no calls to stay listed. The
// alive and suspected nodes try in turn, in the order of a hash: if a single node were
// responsible and stalled for 4 s, dead nodes would stay listed for 8 s.
type remover struct {
	node *Node

	mutex sync.Mutex
	dueAt map[shedkeel.NodeID]time.Duration // when this node removes the record of a dead node
}

// tick starts the removals that are due, unless this node is stopping or cut off, has no
// copy of the records, or has a copy older than outageAge.
func (remover *remover) tick(now time.Duration) {
	node := remover.node
	state := node.mirror.State()
	if !state.Known || now-state.AsOf > outageAge || node.stopping.Load() || node.gossip.isolated() {
		return
	}
	for _, record := range remover.dueRecords(node.peers.listed(), now) {
		go remover.runRemoval(record)
	}
}

// dueRecords returns the records of dead nodes that this node removes now, and schedules
// the removal of the other dead nodes' records: at this node's turn, which counts from the call
// that first finds the record's owner dead. It leaves out records with a lease, which the
// key-value service removes when the lease expires.
func (remover *remover) dueRecords(nodes []nodeRecord, now time.Duration) []nodeRecord {
	remover.mutex.Lock()
	defer remover.mutex.Unlock()
	live := slices.DeleteFunc(slices.Clone(nodes), func(record nodeRecord) bool { return !remover.node.gossip.mayServeCallers(record.ID) }) // alive or suspected
	previous := remover.dueAt
	remover.dueAt = map[shedkeel.NodeID]time.Duration{}
	var found []nodeRecord
	for _, record := range nodes {
		if !record.Watched || remover.node.gossip.liveness(record.ID) != shedkeel.Dead {
			continue
		}
		due, known := previous[record.ID]
		if !known {
			due = now + removalStagger*time.Duration(remover.removalRank(live, record.ID))
		}
		if now >= due {
			found = append(found, record)
			due = now + removalRetryInterval
		}
		remover.dueAt[record.ID] = due
	}
	return found
}

// removalRank returns how many of the live nodes precede this node in the order in which the
// live nodes remove a dead node's record.
func (remover *remover) removalRank(live []nodeRecord, dead shedkeel.NodeID) int {
	ownHash := pairHash(dead, remover.node.Settings.Node)
	rank := 0
	for _, record := range live {
		if pairHash(dead, record.ID) < ownHash {
			rank++
		}
	}
	return rank
}

// runRemoval removes the record of a dead node, unless the record has changed since this
// node's mirror received it, and logs the outcome. It waits for the key-value service for at
// most a second, and does nothing if the mirror lacks the record. If the node that counts as
// dead is alive after all, it notices that its record is missing and writes the record again.
func (remover *remover) runRemoval(record nodeRecord) {
	node := remover.node
	key := nodePrefix + string(record.ID)
	seen := node.mirror.Get(key)
	if !seen.Revision.Exists() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := node.Store.Commit(ctx, shedkeel.Transaction{If: []shedkeel.Condition{{Key: key, Revision: seen.Revision}}, Remove: []string{key}})
	fields := []slog.Attr{slog.String("of", string(record.ID))}
	if err != nil {
		fields = append(fields, slog.String("error", err.Error()))
	}
	node.Log.Write(event.NodeDead, fields...)
}
