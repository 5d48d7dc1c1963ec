package node

import (
	"log/slog"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
)

// handleRestore handles a restore of the key-value service from an older snapshot. Records that
// this node wrote after the snapshot was taken, and leases that it has acquired since then, may
// be lost. The mirror calls handleRestore before it reports the changed records.
func (node *Node) handleRestore(restore mirror.Restore) {
	node.Log.Write(event.StoreRestored, slog.String("from", restore.From.String()), slog.String("to", restore.To.String()), slog.Int("lost", restore.Lost))
	node.fleet.retainLostRecords()
	node.member.requestWrite()
	node.guard.recheckAll()
}

// retainLostRecords makes the fleet retain the records that the restored snapshot lacks for
// deletedRecordHold, in which time the owners write their records again.
func (fleet *fleet) retainLostRecords() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.outageUntil = fleet.node.Timers.Now() + deletedRecordHold
}
