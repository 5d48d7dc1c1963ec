package shedkeel

import (
	"context"
	"net/http"
	"time"
)

// Record is one value of the key-value service.
type Record struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change; the zero value: the key does not exist
	Gone     bool     // as a change: the key was removed at the revision
	Lost     bool     // as a change: it is gone since the service came back from an older copy
}

// Condition holds while the key has the revision (the zero value: does not exist).
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a value to be written, and the lease with which it goes.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxEntries is how many conditions, puts and removals a transaction may have in all.
const MaxEntries = 32

// Change is a transaction: all of it is done if every condition holds. It has at most
// MaxEntries entries.
type Change struct {
	If     []Condition
	Put    []Put
	Remove []string
}

// Changes are what changed below a prefix after a revision.
type Changes struct {
	Records []Record
	At      Revision // to go on from
	// More says that the answer was full: later changes may stand at the service
	// already, so the answer does not prove that At is the newest revision.
	More bool
}

// RecordSource is where records are followed: the key-value service itself.
type RecordSource interface {
	// List returns all records below the prefix and the revision from which
	// to follow changes.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Changes waits for changes after a revision. It returns a
	// HistoryGoneError when they can no longer be told, as in a later era.
	Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// GetStale reads one key, as it was up to some seconds ago. It costs the
	// service a tenth of another read.
	GetStale(ctx context.Context, key string) (Record, error)
}

// LeasedStore writes records that go with a lease. A lease of an earlier era is over:
// calls with it return a LeaseGoneError.
type LeasedStore interface {
	// Commit makes all changes or none. A condition on a revision of an earlier era
	// does not hold.
	Commit(ctx context.Context, change Change) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	Renew(ctx context.Context, lease LeaseID) error
	Release(ctx context.Context, lease LeaseID) error
}

// StoreCall is a kind of call to the key-value service.
type StoreCall string

// The kinds of call.
const (
	CallGet      StoreCall = "get"
	CallGetStale StoreCall = "get_stale"
	CallList     StoreCall = "list" // each page
	CallWatch    StoreCall = "watch"
	CallCommit   StoreCall = "commit"
	CallGrant    StoreCall = "grant"
	CallRenew    StoreCall = "renew"
	CallRelease  StoreCall = "release"
)

// CallCounter counts the calls that a process has made to the key-value service.
type CallCounter interface {
	Calls() map[StoreCall]int64
}

// GroupEngines is how the engines of replica groups are asked and ordered.
type GroupEngines interface {
	// Report asks an engine for its load.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Order returns a ConflictError when the engine says that the order does
	// not fit its state, and an UnknownOutcomeError when its answer is lost:
	// the order may still be carried out seconds later.
	Order(ctx context.Context, order GroupOrder) error
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key. It returns an UnavailableError when the service does
	// not answer.
	Get(ctx context.Context, key string) (Record, error)
	// Swap writes the value if the key still has the revision (the zero value:
	// does not exist) and returns the new revision. It returns a ConflictError when
	// the key has moved, an UnavailableError when nothing was sent, and an
	// UnknownOutcomeError when the reply was lost.
	Swap(ctx context.Context, key string, revision Revision, value []byte) (Revision, error)
	// Watch calls seen for the present records below the prefix and for each
	// later change, until the context ends or the service fails.
	Watch(ctx context.Context, prefix string, seen func(Record)) error
}

// BoxList is the platform's list of live and leaving boxes. It lags.
type BoxList interface {
	Boxes(ctx context.Context) ([]Box, error)
}

// Engines is how a keeper speaks to the engines on boxes.
type Engines interface {
	// Probe asks an engine for its state.
	Probe(ctx context.Context, address string) (BoxState, error)
	// Give sends an order. It returns a ConflictError when the engine's
	// fence refused it.
	Give(ctx context.Context, order Order) error
}

// Backend sends one request to one backend server, once. It never sends it a
// second time by itself.
type Backend interface {
	// Send returns a NotRunError when not one byte of the request was
	// written, and an UnknownRunError when some may have been.
	Send(request *http.Request) (*http.Response, error)
}

// ServerCheck finds out what became of a backend server that broke off.
type ServerCheck interface {
	// Ended reports whether it is proven that nothing serves at the address any
	// more. Silence proves nothing.
	Ended(ctx context.Context, address string) bool
}

// Timers is the timer service that parts subscribe to. Times are durations on
// a clock that never steps and that also runs while the machine is suspended.
type Timers interface {
	Now() time.Duration
	// Subscribe calls tick every interval until cancel is called. Calls to
	// one subscriber never overlap.
	Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func())
}

// Random is a source of pseudo-random numbers that is seeded from outside.
type Random interface {
	Uint64() uint64
}

// Planner decides which boxes form which groups of one availability zone.
type Planner interface {
	// Plan returns the placement that should be agreed next and the orders
	// that the placement now in force calls for.
	Plan(input PlanInput) PlanOutput
}

// BoxView is what a planner knows of one box.
type BoxView struct {
	Box   Box
	State BoxState
	Seen  time.Duration // when it last answered a probe; negative: never
}

// PlanInput is everything that a planner decides on.
type PlanInput struct {
	Now       time.Duration
	Zone      ZoneID
	Config    Config
	Table     Table
	Boxes     map[BoxID]BoxView
	Placement Placement
}

// Decision is one thing that a planner did or left, and why.
type Decision struct {
	Group  GroupID `json:"group"`
	Box    BoxID   `json:"box"`
	Action string  `json:"action"`
	Reason string  `json:"reason"`
}

// PlanOutput is what a planner decided.
type PlanOutput struct {
	Changed   bool
	Placement Placement
	Orders    []Order
	Decisions []Decision
}
