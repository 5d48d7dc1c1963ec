package shedkeel

import (
	"context"
	"strings"
	"time"
)

// Subject is what a Blame is about: a request, by its digest, or a part of prompts for a model.
type Subject string

// partPrefix begins the subjects that are parts of prompts. Digests have no slash.
const partPrefix = "part/"

// DigestSubject returns the subject for all requests with the digest.
func DigestSubject(digest RequestDigest) Subject { return Subject(digest) }

// PartSubject returns the subject for all requests for the model whose prompts have the part.
func PartSubject(model ModelID, part PartID) Subject {
	return Subject(partPrefix + string(model) + "/" + string(part))
}

// Part returns the model and the ID of the part that the subject is. It returns false if the
// subject is a digest.
func (subject Subject) Part() (ModelID, PartID, bool) {
	rest, isPart := strings.CutPrefix(string(subject), partPrefix)
	slash := strings.LastIndexByte(rest, '/')
	if !isPart || slash < 0 {
		return "", "", false
	}
	return ModelID(rest[:slash]), PartID(rest[slash+1:]), true
}

// Blame lists the server instances that terminated (whose process exited or restarted)
// while they ran requests of a subject. It helps to find requests that crash servers.
type Blame struct {
	Subject Subject `json:"request"`
	// Round increases each time that the subject is cleared (see RequestGuard). Instances
	// recorded in an earlier round no longer count.
	Round   uint32       `json:"round"`
	Servers []InstanceID `json:"servers"` // two instances of a server count as two; for the maximum see package contain
	// Contained is set once a part of prompts is found to terminate servers. Whether a digest is
	// contained follows from the number of servers alone.
	Contained bool `json:"contained,omitempty"`
	// WasHarmless is set if the part was known to be harmless before, so that such knowledge does not
	// refute the blame.
	WasHarmless bool      `json:"was_harmless,omitempty"`
	Since       time.Time `json:"first_end,omitzero"` // when the first of the servers terminated, by the clock of the box that noticed it; zero: not known
}

// Judgment says whether requests of a subject may be sent to servers, given its Blame.
type Judgment int

// The judgments (see package contain).
const (
	// Unblamed requests are sent without restriction. Tens of requests run on an instance when
	// it terminates, so that one such instance does not show which of them is the cause.
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

// GuardedRequest is what a RequestGuard knows of a request.
type GuardedRequest struct {
	Digest  Subject
	Parts   []Subject // of its prompt, as far as other requests may share them
	Model   ModelID   // "": the request is for no model
	Account AccountID // "" on public routes
	// OnTrial is set for an attempt that AcquireAttempt has allowed.
	OnTrial bool
}

// Ruling is the judgment of a request, with the subject that it is due to.
type Ruling struct {
	Judgment Judgment
	Subject  Subject // "" if the request is Unblamed
}

// Trial is an attempt of a quarantined request that a RequestGuard has allowed.
type Trial struct {
	Avoid  []InstanceID            // servers on which other trials run; an end there would not show which trial caused it
	Placed func(server InstanceID) // must be called with the server that the attempt is sent to
	Done   func()                  // must be called after the attempt
}

// RequestGuard limits the sending of requests that crash servers. Its records apply
// to all attempts of a request, in all processes.
type RequestGuard interface {
	// Idle reports whether no Blame lists an instance, so that the user of the guard
	// need not compute the digests of requests.
	Idle() bool
	// Judge returns the judgment of a request: the worst of those of its subjects.
	Judge(request GuardedRequest) Ruling
	// Refused records that a request was refused because of a subject, for operators.
	Refused(request GuardedRequest, subject Subject)
	// ServerEnded records that a server terminated while it ran a request.
	ServerEnded(request GuardedRequest, server InstanceID)
	// RequestAnswered records that a server answered a request completely. This clears
	// the digest: the servers that terminated before no longer count.
	RequestAnswered(request GuardedRequest)
	// PartsHarmless records that a server has answered a request with these parts completely, or
	// for so long that the parts do not terminate servers. This clears the parts.
	PartsHarmless(parts []Subject)
	// AcquireAttempt reports whether this process may send a quarantined request now. If so,
	// the caller must call Done after the attempt. It may wait for a short time.
	AcquireAttempt(ctx context.Context, request GuardedRequest) (trial Trial, allowed bool)
}
