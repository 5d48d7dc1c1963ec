package node

import (
	"log/slog"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
)

// handleRestore reacts to the key-value service having been restored from an older
// snapshot. What this node wrote after the snapshot may be lost, with its leases. The
// mirror calls it before it reports the changed records.
func (node *Node) handleRestore(restore mirror.Restore) {
	node.Log.Write(event.StoreRestored, slog.String("from", restore.From.String()), slog.String("to", restore.To.String()), slog.Int("lost", restore.Lost))
	node.fleet.retainLostRecords()
	node.member.requestWrite()
	node.guard.recheckAll()
}

// retainLostRecords has the records that the restored snapshot lacks retained for
// deletedRecordHold, in which their owners write them again. The records that the snapshot
// has are compared with the known ones, which may be newer.
func (fleet *fleet) retainLostRecords() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.outageUntil = fleet.node.Timers.Now() + deletedRecordHold
	fleet.afterRestore = true
}
