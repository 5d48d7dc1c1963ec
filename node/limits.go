package node

import (
	"log/slog"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/ratelimit"
)

// badLimitEvery is how often a server is logged that states a limit which cannot
// be read.
const badLimitEvery = time.Minute

// limits is how a node takes part in the rate limits of backend servers.
type limits struct {
	node *Node
	book ratelimit.Book

	mutex sync.Mutex
	bad   map[shedkeel.InstanceID]time.Duration // when its bad limit was logged last
}

// Observe takes in what an answer of the server says.
func (limits *limits) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent time.Duration) {
	now := limits.node.Timers.Now()
	if limit.Err != nil {
		limits.logBad(server, limit.Err, now)
		return
	}
	if known, changed := limits.book.Observe(server, limit, sent, now); changed {
		limits.log(known, "")
	}
}

func (limits *limits) log(limit shedkeel.ServerLimit, from shedkeel.NodeID) {
	limits.node.Log.Write(event.LimitChanged, slog.String("server", string(limit.Server)), slog.Float64("rate", limit.Rate),
		slog.Bool("lifted", limit.Lifted), slog.String("from", string(from)))
}

// logBad logs a limit that cannot be read, unless the server's was just now.
func (limits *limits) logBad(server shedkeel.InstanceID, err error, now time.Duration) {
	limits.mutex.Lock()
	last, logged := limits.bad[server]
	due := !logged || now-last >= badLimitEvery
	if due {
		if limits.bad == nil {
			limits.bad = map[shedkeel.InstanceID]time.Duration{}
		}
		limits.bad[server] = now
	}
	limits.mutex.Unlock()
	if due {
		limits.node.Log.Write(event.LimitBad, slog.String("server", string(server)), slog.String("error", err.Error()))
	}
}

// retain forgets the servers that are not listed any more.
func (limits *limits) retain(listed func(shedkeel.InstanceID) bool) {
	limits.book.Retain(listed)
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for server := range limits.bad {
		if !listed(server) {
			delete(limits.bad, server)
		}
	}
}
