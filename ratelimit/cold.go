package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// ColdServers holds the backend servers that are cold: they have started recently and accept
// fewer requests until they are warm. A server is warm from the time Until of its record on.
// The zero value is empty. It is safe for concurrent use.
type ColdServers struct {
	mutex   sync.RWMutex
	servers map[shedkeel.InstanceID]shedkeel.ColdServer
}

// Add records that a server is cold, in place of an earlier record of the server, and
// reports whether the record is new or changed. It keeps the later Until of the two records.
func (servers *ColdServers) Add(server shedkeel.ColdServer) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	before, known := servers.servers[server.Server]
	if known {
		server.Until = max(server.Until, before.Until)
	}
	if known && server == before {
		return false
	}
	if servers.servers == nil {
		servers.servers = map[shedkeel.InstanceID]shedkeel.ColdServer{}
	}
	servers.servers[server.Server] = server
	return true
}

// Lookup returns the record of a server, or an empty one, and whether the server is cold now.
// A server keeps its record when it becomes warm, until Expire removes the record.
func (servers *ColdServers) Lookup(server shedkeel.InstanceID, now time.Duration) (shedkeel.ColdServer, bool) {
	servers.mutex.RLock()
	defer servers.mutex.RUnlock()
	known, found := servers.servers[server]
	return known, found && known.Until > now
}

// All returns the servers that are cold now, ordered by ID.
func (servers *ColdServers) All(now time.Duration) []shedkeel.ColdServer {
	servers.mutex.RLock()
	defer servers.mutex.RUnlock()
	found := slices.DeleteFunc(slices.Collect(maps.Values(servers.servers)), func(server shedkeel.ColdServer) bool { return server.Until <= now })
	slices.SortFunc(found, func(a, b shedkeel.ColdServer) int { return cmp.Compare(a.Server, b.Server) })
	return found
}

// Expire removes the records of the servers that are warm now and returns their IDs.
func (servers *ColdServers) Expire(now time.Duration) []shedkeel.InstanceID {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	var warm []shedkeel.InstanceID
	for server, known := range servers.servers {
		if known.Until <= now {
			warm = append(warm, server)
			delete(servers.servers, server)
		}
	}
	return warm
}
