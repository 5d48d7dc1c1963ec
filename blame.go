package shedkeel

import "context"

// Blame lists the server instances that terminated (whose process exited or restarted)
// while they ran a request. It helps to find requests that crash servers.
type Blame struct {
	Request RequestDigest `json:"request"`
	// Round increases each time that a complete answer clears the request (see
	// RequestGuard). Instances recorded in an earlier round no longer count.
	Round   uint32       `json:"round"`
	Servers []InstanceID `json:"servers"` // two instances of a server count as two; at most containThreshold of package contain
}

// Judgment says whether a request may be sent to servers, given its Blame.
type Judgment int

// The judgments, by the number of instances in the Blame (see package contain).
const (
	// Unblamed requests are sent without restriction. At most one instance has
	// terminated while it ran the request: tens of requests run on an instance when it
	// terminates, so one such instance does not show which of them is the cause.
	Unblamed Judgment = iota
	// Quarantined requests are sent by one process at a time, to one server.
	Quarantined
	// Contained requests are no longer sent to any server.
	Contained
)

// String returns the name of the judgment for logs and operators.
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

// RequestGuard limits the sending of requests that crash servers. Its records apply
// to all attempts of a request, in all processes.
type RequestGuard interface {
	// Idle reports whether no Blame lists an instance, so that the user of the guard
	// need not compute the digests of requests.
	Idle() bool
	// Judge returns the judgment of a request.
	Judge(request RequestDigest) Judgment
	// ServerEnded records that a server terminated while it ran a request.
	ServerEnded(request RequestDigest, server InstanceID)
	// RequestAnswered records that a server answered a request completely. This clears
	// the request: the servers that terminated before no longer count.
	RequestAnswered(request RequestDigest)
	// AcquireAttempt reports whether this process may send a quarantined request now. If so,
	// the caller must call done after the attempt. If not, done may be nil.
	AcquireAttempt(ctx context.Context, request RequestDigest) (done func(), allowed bool)
}
