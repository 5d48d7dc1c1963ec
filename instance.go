package shedkeel

import (
	"strconv"
	"strings"
)

// ServerID names a backend server. It keeps its name when it starts again.
type ServerID string

// InstanceID names one start of a backend server. A server that starts again,
// even under its name, is another instance: it knows nothing of the groups,
// epochs and orders of before, so nothing that was believed of the former
// instance may be believed of it.
type InstanceID string

// bornMark parts a server's name from the time of its start.
const bornMark = "@"

// NewInstanceID names the start of a server at a time in Unix milliseconds. 0
// says that the server does not tell when it started; its name alone counts then.
func NewInstanceID(server ServerID, born int64) InstanceID {
	if born == 0 {
		return InstanceID(server)
	}
	return InstanceID(string(server) + bornMark + strconv.FormatInt(born, 10))
}

// Server returns the name that the server keeps when it starts again.
func (id InstanceID) Server() ServerID {
	server, _ := id.parts()
	return server
}

// Born returns when the server started, in Unix milliseconds, or 0 where it
// does not tell.
func (id InstanceID) Born() int64 {
	_, born := id.parts()
	return born
}

// parts returns the server and the time of its start. A name may have the mark
// in it, of a server that does not tell when it started.
func (id InstanceID) parts() (server ServerID, born int64) {
	at := strings.LastIndex(string(id), bornMark)
	if at < 0 {
		return ServerID(id), 0
	}
	born, err := strconv.ParseInt(string(id[at+len(bornMark):]), 10, 64)
	if err != nil || born <= 0 {
		return ServerID(id), 0
	}
	return ServerID(id[:at]), born
}
