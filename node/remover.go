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
	// removerTick is how often a node looks whose records are to be removed.
	removerTick = 500 * time.Millisecond
	// removerTurn is how much later than the one before it a node removes a record.
	// It is several times what a removal takes to be known to all.
	removerTurn = time.Second
	// removeAgain is how long after a node has removed a record it does so again,
	// if the removal failed or the node wrote it anew and is dead in this one's view
	// still.
	removeAgain = 10 * time.Second
)

// remover removes the records of dead nodes from the key-value service, where they
// go with no lease, so that a fleet at rest makes no calls to stay listed. Any node
// may: for each dead one all that live have an order of their own, and the next
// takes its turn while the record stands. Callers are not sent to dead nodes
// meanwhile.
//
// Where one node alone did it, and stood still for 4 s, ten of 66 nodes that had
// lost power were named for 8 s.
type remover struct {
	node *Node

	mutex sync.Mutex
	due   map[shedkeel.NodeID]time.Duration // when this node removes the record of one
}

// tick removes the records whose turn has come.
func (remover *remover) tick(now time.Duration) {
	node := remover.node
	state := node.mirror.State()
	if !state.Known || now-state.AsOf > troubleAge || node.stopping.Load() || node.gossip.isolated() {
		return
	}
	for _, record := range remover.take(node.peers.listed(), now) {
		go remover.runRemoval(record)
	}
}

// take returns the nodes whose records this one removes now.
func (remover *remover) take(nodes []nodeRecord, now time.Duration) []nodeRecord {
	remover.mutex.Lock()
	defer remover.mutex.Unlock()
	alive := slices.DeleteFunc(slices.Clone(nodes), func(record nodeRecord) bool { return !remover.node.gossip.serves(record.ID) })
	before := remover.due
	remover.due = map[shedkeel.NodeID]time.Duration{}
	var found []nodeRecord
	for _, record := range nodes {
		if !record.Watched || remover.node.gossip.liveness(record.ID) != shedkeel.Dead {
			continue
		}
		due, known := before[record.ID]
		if !known {
			due = now + removerTurn*time.Duration(remover.turn(alive, record.ID))
		}
		if now >= due {
			found = append(found, record)
			due = now + removeAgain
		}
		remover.due[record.ID] = due
	}
	return found
}

// turn returns how many of the nodes that live come before this one in the order
// in which they remove a dead one's record.
func (remover *remover) turn(alive []nodeRecord, dead shedkeel.NodeID) int {
	rank := pairHash(dead, remover.node.Settings.Node)
	turn := 0
	for _, record := range alive {
		if pairHash(dead, record.ID) < rank {
			turn++
		}
	}
	return turn
}

// runRemoval removes the record of a dead node, if it is the one that was seen. A
// node that lives after all finds its record gone and writes it again.
func (remover *remover) runRemoval(record nodeRecord) {
	node := remover.node
	key := nodePrefix + string(record.ID)
	seen := node.mirror.Get(key)
	if !seen.Revision.Exists() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := node.Store.Commit(ctx, shedkeel.Change{If: []shedkeel.Condition{{Key: key, Revision: seen.Revision}}, Remove: []string{key}})
	fields := []slog.Attr{slog.String("of", string(record.ID))}
	if err != nil {
		fields = append(fields, slog.String("error", err.Error()))
	}
	node.Log.Write(event.NodeDead, fields...)
}
