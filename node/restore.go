package node

import (
	"log/slog"

	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
)

// restored acts on the key-value service having come back from an older copy of
// itself. What this node has written may be lost there, and leases with it. The mirror
// calls it before it tells what has changed.
func (node *Node) restored(restore mirror.Restore) {
	node.Log.Write(event.StoreRestored, slog.String("from", restore.From.String()), slog.String("to", restore.To.String()), slog.Int("lost", restore.Lost))
	node.fleet.holdLost()
	node.member.update()
	node.guard.keepAgain()
}

// holdLost has records that an older copy of the key-value service lacks be believed
// until their owners have written them again, and those that it has be compared with what
// is known.
func (fleet *fleet) holdLost() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.troubled = fleet.node.Timers.Now() + lapseHold
	fleet.copied = true
}
