package shedkeel

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Record is a key of the key-value service with its value.
type Record struct {
	Key           string
	Value         []byte
	Revision      Revision // of the key's last change, including its removal; zero: the key does not exist
	Removed       bool     // the record stands for the removal of the key, at Revision or earlier
	LostInRestore bool     // with Removed: the key is missing because the key-value service was restored from an older backup
}

// Condition holds if the key has the revision. With the zero revision, it holds if
// the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a value to write. The key-value service removes the key when the lease ends.
// With the zero lease, the key stays until a Transaction removes it.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxTransactionEntries is the maximum total number of conditions, puts and removals
// in one transaction.
const MaxTransactionEntries = 32

// Transaction is a set of changes that is applied as a whole if every condition holds,
// and not at all otherwise. It has at most MaxTransactionEntries entries.
type Transaction struct {
	If     []Condition
	Put    []Put
	Remove []string
}

// Changes are the changes of the keys with a prefix since a revision.
type Changes struct {
	Records  []Record
	Revision Revision // revision from which to read further changes
	// More is set if the answer was about as large as an answer of the key-value service
	// can be. The key-value service may then already have further changes, which a call
	// of RecordSource.Changes from Revision on returns without waiting.
	More bool
}

// RecordSource reads records of the key-value service and follows their changes. Its
// methods return an UnavailableError if the key-value service does not reply.
type RecordSource interface {
	// List returns all records whose keys have the prefix, and the revision from which
	// to follow changes. Some records may be newer than this revision.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Changes returns the changes after a revision. If there are none, Changes waits
	// for them up to the given time. It returns a CompactedError if the key-value
	// service no longer has these changes, for example because the key-value service
	// is in a later era.
	Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// GetStale reads a key. The result may be some seconds old. The call costs the
	// key-value service a tenth of what Store.Get costs.
	GetStale(ctx context.Context, key string) (Record, error)
}

// LeasedStore writes records that are removed when their lease ends. Leases of an earlier
// era have ended. All methods return an UnavailableError if the key-value service was not
// available and nothing was changed, and an UnknownOutcomeError if the reply was lost, so
// that the change may or may not have taken effect.
type LeasedStore interface {
	// Commit applies all changes or none, and returns the new revision. It returns a
	// ConflictError if a condition does not hold or its revision is of an earlier era, a
	// LeaseEndedError if the lease of a put has ended, and an UnknownOutcomeError also if a
	// later era became known during the call.
	Commit(ctx context.Context, change Transaction) (Revision, error)
	// Grant returns a new lease and the time to live that the key-value service gave it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew restarts the lease's time to live when the key-value service receives the
	// call. It returns a LeaseEndedError if the lease has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Release ends the lease and removes its records. It does nothing for a lease of an
	// earlier era, and returns a LeaseEndedError if the key-value service does not know the
	// lease.
	Release(ctx context.Context, lease LeaseID) error
}

// StoreCall is the kind of a call to the key-value service.
type StoreCall string

// The kinds of calls, with the methods of RecordSource, LeasedStore and Store that make
// them.
const (
	CallGet      StoreCall = "get"       // Store.Get
	CallGetStale StoreCall = "get_stale" // GetStale
	CallList     StoreCall = "list"      // List and Store.Watch, one call per page of the list
	CallChanges  StoreCall = "watch"     // Changes and Store.Watch, one call per wait for changes
	CallCommit   StoreCall = "commit"    // Commit and Store.Swap
	CallGrant    StoreCall = "grant"     // Grant
	CallRenew    StoreCall = "renew"     // Renew
	CallRelease  StoreCall = "release"   // Release
)

// CallCounter counts the calls of this process to the key-value service.
type CallCounter interface {
	// Calls returns the number of calls so far by kind.
	Calls() map[StoreCall]int64
}

// GroupEngines is the client with which the program shedkeel-node calls engines (see
// package platform): it queries their load and sends them orders of the type GroupOrder.
// Keepers use Engines instead.
type GroupEngines interface {
	// Report requests the load of an engine.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Order sends an order. It returns a ConflictError if the engine rejects the
	// order, and an UnknownOutcomeError if no reply arrives: the engine may still
	// carry out the order seconds later.
	Order(ctx context.Context, order GroupOrder) error
}

// Store is the part of the key-value service that keepers use: reads and conditional
// writes of single keys, and watches. The program shedkeel-node uses RecordSource and
// LeasedStore instead.
type Store interface {
	// Get reads a key. It returns a record with the zero revision if the key does not
	// exist, and an UnavailableError if the key-value service does not reply.
	Get(ctx context.Context, key string) (Record, error)
	// Swap writes the value if the key still has the revision (zero: does not
	// exist) and returns the new revision. It returns a ConflictError if the key
	// has another revision, an UnavailableError if the key-value service was not
	// available and nothing was written, and an UnknownOutcomeError if the reply was lost.
	Swap(ctx context.Context, key string, revision Revision, value []byte) (Revision, error)
	// Watch calls seen for the current records with the prefix and for each later
	// change, until the context ends, the key-value service fails or was restored from an
	// older backup, or it no longer has the next changes. A removed record has the zero
	// revision. The error is an UnavailableError.
	Watch(ctx context.Context, prefix string, seen func(Record)) error
}

// BoxList is the platform's list of boxes, including those that are leaving. The
// list lags behind the actual state.
type BoxList interface {
	// Boxes returns the current list.
	Boxes(ctx context.Context) ([]Box, error)
}

// Engines is the client with which keepers call engines (see package engine): it probes
// their state and sends them orders of the type Order. The program shedkeel-node uses
// GroupEngines instead.
type Engines interface {
	// Probe requests the state of an engine.
	Probe(ctx context.Context, address string) (BoxState, error)
	// SendOrder sends an order. It returns a ConflictError if the engine rejects the
	// order, as it does after an order with a higher planner epoch, and an
	// UnknownOutcomeError if no reply arrives.
	SendOrder(ctx context.Context, order Order) error
}

// Backend sends a request to a backend server. It never retries.
type Backend interface {
	// Send returns the response, whose body the caller must close. It returns a
	// NotRunError if no byte of the request was written, and an UnknownRunError if some
	// may have been written.
	Send(request *http.Request) (*http.Response, error)
}

// ServerDialer opens connections to backend servers.
type ServerDialer interface {
	// DialContext opens a TCP connection to the backend server at the address, host:port.
	// Its error means that no connection was opened, so that nothing was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ServerPaths tells how requests can reach backend servers.
type ServerPaths interface {
	// Relayed reports whether new connections to the server are opened through another node.
	Relayed(address string) bool
	// Trusted reports whether open connections of each kind can be used: direct ones, and those
	// through other nodes. Otherwise they may be dead.
	Trusted() (direct, relayed bool)
}

// ServerCheck finds out whether a backend server whose connection broke has
// terminated.
type ServerCheck interface {
	// Stopped reports whether the address refuses connections, which proves that no
	// process listens there. A missing reply proves nothing.
	Stopped(ctx context.Context, address string) bool
}

// HealthCheck asks backend servers for signs of life. Its connections carry nothing else, but for those of SharedHealth.
type HealthCheck interface {
	// Connect opens a connection for later checks of the address, unless one is open. It returns when that
	// is done or has failed, or when ctx ends.
	Connect(ctx context.Context, address string)
	// Disconnect closes the connections to the address.
	Disconnect(address string)
	// Health sends a health check with the path to the address. The error means that no
	// answer came.
	Health(ctx context.Context, address, path string) (Health, error)
	// SharedHealth is Health over a connection of those that carry requests, which may be older.
	SharedHealth(ctx context.Context, address, path string) (Health, error)
	// Report asks the model engine at the address for its load report, which needs no slot of the engine. The
	// error means that no answer came.
	Report(ctx context.Context, address string) (Health, error)
}

// Timers is a clock with periodic timers. Times are durations on a monotonic
// clock that also advances while the machine is suspended.
type Timers interface {
	// Now returns the current time of the clock.
	Now() time.Duration
	// Subscribe calls tick at every interval until cancel is called. Calls for one
	// subscription never overlap.
	Subscribe(interval time.Duration, tick func(now time.Duration)) (cancel func())
}

// Random is a source of pseudo-random numbers. Whoever creates it chooses the seed, so
// that a simulation can be repeated.
type Random interface {
	Uint64() uint64
}

// Planner assigns the boxes of an availability zone to groups.
type Planner interface {
	// Plan returns the placement to commit next and the orders that carry out the
	// current placement, that of the input.
	Plan(input PlanInput) PlanOutput
}

// BoxView is what the planner knows about a box.
type BoxView struct {
	Box       Box
	State     BoxState
	LastReply time.Duration // when the last probe to which the box replied was sent; negative: never
}

// PlanInput is the complete input of a planner.
type PlanInput struct {
	Now        time.Duration // time of planning, on the clock of BoxView.LastReply
	Zone       ZoneID
	Config     Config
	Parameters PlannerParameters // result of the policy program
	Boxes      map[BoxID]BoxView
	Placement  Placement // the current placement of the zone
}

// Decision is a record of an action that the planner took or decided against, with
// the reason.
type Decision struct {
	Group  GroupID `json:"group"`
	Box    BoxID   `json:"box"` // "": the decision concerns the whole group
	Action string  `json:"action"`
	Reason string  `json:"reason"`
}

// PlanOutput is the result of a planner.
type PlanOutput struct {
	Changed   bool // Placement differs from that of the input
	Placement Placement
	Orders    []Order
	Decisions []Decision
}
