package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Cold holds the backend servers that are cold: they have started lately and take fewer
// requests until they are warm. The zero value is empty. It is safe for concurrent use.
type Cold struct {
	mutex   sync.RWMutex
	servers map[shedkeel.InstanceID]shedkeel.ColdServer
}

// Note records that a server is cold, and reports whether that changed anything. Until is
// never moved to an earlier time.
func (cold *Cold) Note(server shedkeel.ColdServer) bool {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	before, known := cold.servers[server.Server]
	if known {
		server.Until = max(server.Until, before.Until)
	}
	if known && server == before {
		return false
	}
	if cold.servers == nil {
		cold.servers = map[shedkeel.InstanceID]shedkeel.ColdServer{}
	}
	cold.servers[server.Server] = server
	return true
}

// Server returns the record of a server, and whether it is cold now.
func (cold *Cold) Server(server shedkeel.InstanceID, now time.Duration) (shedkeel.ColdServer, bool) {
	cold.mutex.RLock()
	defer cold.mutex.RUnlock()
	known, found := cold.servers[server]
	return known, found && known.Until > now
}

// All returns the servers that are cold now, ordered by ID.
func (cold *Cold) All(now time.Duration) []shedkeel.ColdServer {
	cold.mutex.RLock()
	defer cold.mutex.RUnlock()
	found := slices.DeleteFunc(slices.Collect(maps.Values(cold.servers)), func(server shedkeel.ColdServer) bool { return server.Until <= now })
	slices.SortFunc(found, func(a, b shedkeel.ColdServer) int { return cmp.Compare(a.Server, b.Server) })
	return found
}

// Expire removes the servers that are warm now and returns their IDs.
func (cold *Cold) Expire(now time.Duration) []shedkeel.InstanceID {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	var warm []shedkeel.InstanceID
	for server, known := range cold.servers {
		if known.Until <= now {
			warm = append(warm, server)
			delete(cold.servers, server)
		}
	}
	return warm
}
