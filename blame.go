package shedkeel

import "context"

// Blame is what is held against one request: the servers that ended under it.
type Blame struct {
	Request RequestDigest `json:"request"`
	// Round is raised each time that the request is cleared; what is held against
	// it in an earlier round is void.
	Round   uint32       `json:"round"`
	Servers []InstanceID `json:"servers"` // each start of a server counts
}

// Judgment is what becomes of a request that servers ended under.
type Judgment int

const (
	// Unblamed requests are sent as all are: one server may have ended under
	// each of tens of them.
	Unblamed Judgment = iota
	// Quarantined requests are tried by one process at a time, at one server.
	Quarantined
	// Contained requests are sent to no server any more.
	Contained
)

// String returns the word for logs and operators.
func (judgment Judgment) String() string {
	switch judgment {
	case Quarantined:
		return "quarantined"
	case Contained:
		return "contained"
	default:
		return "unblamed"
	}
}

// RequestGuard keeps requests that end servers from ending more of them. It
// remembers over tries and processes.
type RequestGuard interface {
	// Idle reports whether nothing is held against any request, so that none
	// need be named.
	Idle() bool
	// Judge returns what becomes of a request.
	Judge(request RequestDigest) Judgment
	// Ended notes that a server has ended under a request.
	Ended(request RequestDigest, server InstanceID)
	// Answered notes that a server has answered a request whole.
	Answered(request RequestDigest)
	// Try reports whether a quarantined request may be tried now. If so, done is
	// called when the try is over.
	Try(ctx context.Context, request RequestDigest) (done func(), allowed bool)
}
