package node

import (
	"log/slog"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
)

// handleRestore acts on the key-value service having come back from an older copy of
// itself. What this node has written may be lost there, and leases with it. The mirror
// calls it before it tells what has changed.
func (node *Node) handleRestore(restore mirror.Restore) {
	node.Log.Write(event.StoreRestored, slog.String("from", restore.From.String()), slog.String("to", restore.To.String()), slog.Int("lost", restore.Lost))
	node.fleet.retainLostRecords()
	node.member.requestWrite()
	node.guard.keepAgain()
}

// retainLostRecords has records that an older copy of the key-value service lacks be believed
// until their owners have written them again, and those that it has be compared with what
// is known.
func (fleet *fleet) retainLostRecords() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.outageUntil = fleet.node.Timers.Now() + lapseHold
	fleet.afterRestore = true
}
