package shedkeel

import (
	"strconv"
	"strings"
)

// ServerID is the name of a backend server. It stays the same across restarts.
type ServerID string

// InstanceID identifies one instance, that is one start, of a backend server. A server
// that restarts under the same name is another instance: the new instance has lost the
// groups, epochs and orders of the former instance, so nothing that is known about the
// former instance applies to the new one.
type InstanceID string

// startSeparator separates the name of a server from the time of its start.
const startSeparator = "@"

// NewInstanceID returns the ID of the instance of a server that started at born, in
// Unix milliseconds. If born is 0, the server does not report when it started and the
// ID is the server's name alone.
func NewInstanceID(server ServerID, born int64) InstanceID {
	if born == 0 {
		return InstanceID(server)
	}
	return InstanceID(string(server) + startSeparator + strconv.FormatInt(born, 10))
}

// Server returns the name of the server, which stays the same across restarts.
func (id InstanceID) Server() ServerID {
	server, _ := id.split()
	return server
}

// Born returns the time of the instance's start in Unix milliseconds, or 0 if the
// server does not report this time.
func (id InstanceID) Born() int64 {
	_, born := id.split()
	return born
}

// split splits the ID into the name of the server and the time of the instance's
// start. The name may itself contain the separator, so the text after the last
// separator counts as a time only if it is a positive number.
func (id InstanceID) split() (server ServerID, born int64) {
	at := strings.LastIndex(string(id), startSeparator)
	if at < 0 {
		return ServerID(id), 0
	}
	born, err := strconv.ParseInt(string(id[at+len(startSeparator):]), 10, 64)
	if err != nil || born <= 0 {
		return ServerID(id), 0
	}
	return ServerID(id[:at]), born
}
