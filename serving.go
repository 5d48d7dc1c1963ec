package shedkeel

import (
	"slices"
	"time"
)

// RouteID is the name of a route in the serving configuration.
type RouteID string

// ModelID is the name of a model that the replica groups of a service serve.
type ModelID string

// RequestKind says whether the requests of a route may run more than once, and
// whether their answers are streams.
type RequestKind string

// The kinds of request.
const (
	RequestSafe   RequestKind = "safe"   // may run more than once
	RequestOnce   RequestKind = "once"   // may run at most once
	RequestStream RequestKind = "stream" // the answer is a series of events; may run more than once if the route is Resumable
)

// Target is a service to which a route sends requests.
type Target struct {
	Service ServiceID
	Weight  int // relative share of the route's requests
}

// Route is the rule for requests to Host whose path begins with Prefix. Of several such
// routes, the one with the longest Prefix applies.
type Route struct {
	ID        RouteID
	Host      string
	Prefix    string
	Kind      RequestKind
	Resumable bool          // another server can continue a stream after the last event that the caller received
	Public    bool          // requests need no key
	Timeout   time.Duration // maximum duration of a request
	Objective time.Duration // latency objective for an answer or the first event of a stream
	MaxPause  time.Duration // objective for the time between two events of a stream; 0: none
	MaxRuns   int           // maximum number of servers on which one request may run
	Priority  int           // 0 is most urgent
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == RequestSafe || route.Kind == RequestStream && route.Resumable
}

// KeyedAccount is a client account with its API keys.
type KeyedAccount struct {
	ID       AccountID
	Keys     []string
	Priority *int // overrides the route's priority; nil: the route's applies
}

// Limits bound what a caller may send, and how long it may take. A field that is 0 states no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // for which the head of a request may arrive
	IdleTimeout   time.Duration // for which a connection may stay open without a request
}

// Model is a model that replica groups of a service serve.
type Model struct {
	ID       ModelID
	Size     int           // boxes per group
	Share    float64       // expected share of the work; the planner averages it with the measured share
	Slowdown float64       // multiplier of the times in Engine; 0 counts as 1
	Load     time.Duration // time to load the weights from the weight store
	Warmup   time.Duration // time to load the weights from the box's host memory
}

// EffectiveSlowdown returns the multiplier of the times in Engine: Slowdown, or 1 if
// Slowdown is not above 0.
func (model *Model) EffectiveSlowdown() float64 {
	if model.Slowdown <= 0 {
		return 1
	}
	return model.Slowdown
}

// ModelDemand is the demand for a model: sums over the requests of the last seconds.
// The older a request is, the less it counts.
type ModelDemand struct {
	Requests     float64
	PromptTokens float64
	AnswerTokens float64 // sum of the maximums that callers state
}

// Add returns the sum of the demands.
func (demand ModelDemand) Add(other ModelDemand) ModelDemand {
	demand.Requests += other.Requests
	demand.PromptTokens += other.PromptTokens
	demand.AnswerTokens += other.AnswerTokens
	return demand
}

// Scale returns the demand multiplied by a factor.
func (demand ModelDemand) Scale(by float64) ModelDemand {
	return ModelDemand{Requests: by * demand.Requests, PromptTokens: by * demand.PromptTokens, AnswerTokens: by * demand.AnswerTokens}
}

// Engine describes the performance of the engines of a service of replica groups. A
// step generates one token for each running request, and a pass is a fixed number of
// steps. The Slowdown of a model multiplies the times.
type Engine struct {
	Models         []Model
	Slots          int           // requests that a group runs concurrently
	StepsPerPass   int           // steps of one pass; a stream sends an event at least once per pass
	Chunk          int           // maximum prompt tokens that one step reads
	StepTime       time.Duration // duration of a step, without the time that running requests add (StepPerRequest) and the time to read prompts
	StepPerRequest time.Duration // time that each running request adds to a step
	ReadPerSecond  float64       // prompt tokens read per second; 0: the times are not known
	LoadsPerSecond float64       // maximum rate of load starts on all boxes together
	LoadsAtOnce    int           // number of concurrent loads above which each load takes longer
	FormTime       time.Duration // time that forming a group takes
}

// LongestPass returns the longest time between two events of a stream at a group
// of the model: the duration of a pass in which each step reads Chunk prompt tokens
// and all slots are in use. It returns 0 if ReadPerSecond is not above 0.
func (engine *Engine) LongestPass(model *Model) time.Duration {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	reading := time.Duration(float64(engine.Chunk) / engine.ReadPerSecond * float64(time.Second))
	step := reading + engine.StepTime + time.Duration(engine.Slots)*engine.StepPerRequest
	return time.Duration(float64(engine.StepsPerPass) * float64(step) * model.EffectiveSlowdown())
}

// Model returns the model with the ID, or nil if there is none.
func (engine *Engine) Model(id ModelID) *Model {
	for index := range engine.Models {
		if engine.Models[index].ID == id {
			return &engine.Models[index]
		}
	}
	return nil
}

// RoutedService is a service in the serving configuration. Its servers are cold for
// some time after their start: see ColdServer.
type RoutedService struct {
	ID             ServiceID
	HealthPath     string
	MaxConnections int           // maximum number of connections to one server from all processes together
	ColdRate       float64       // requests per second that a cold server accepts from all processes together; 0: as many as a warm server
	ColdTime       time.Duration // how long a server is cold if it starts while the service has traffic
	Engine         *Engine       // nil for a plain service
}

// ServingConfig is the configuration that operators write for the program
// shedkeel-node. Keepers and entries use Config instead.
type ServingConfig struct {
	Version  int64 // increases with each change
	Routes   []Route
	Services []RoutedService
	Accounts []KeyedAccount
	Limits   Limits
}

// MemberState is the state of a member of a replica group.
type MemberState string

// The states of a member. Only the first member, the head, can be open or closing.
const (
	MemberJoining MemberState = "joining" // loads the weights and joins the group
	MemberReady   MemberState = "ready"   // has joined the group
	MemberOpen    MemberState = "open"    // accepts requests
	MemberClosing MemberState = "closing" // finishes its running requests and accepts no new ones
	MemberBroken  MemberState = "broken"  // the group has failed
)

// Membership is the membership in a replica group that a backend server reports.
type Membership struct {
	Group GroupID
	Epoch uint64 // of the order with which the server joined the group
	Rank  int    // 0: the head, which receives the requests
	State MemberState
}

// same reports whether two memberships are equal or both are nil.
func (membership *Membership) same(other *Membership) bool {
	if membership == nil || other == nil {
		return membership == other
	}
	return *membership == *other
}

// Assignment returns the group and epoch of the membership.
func (membership *Membership) Assignment() Assignment {
	return Assignment{Group: membership.Group, Epoch: membership.Epoch}
}

// Instance is the decoded record that an instance of a backend server writes to the
// key-value service.
type Instance struct {
	ID       InstanceID
	Service  ServiceID
	Address  string // host:port
	Zone     ZoneID
	Slots    int           // requests that the instance runs concurrently
	Draining bool          // finishes its running requests and accepts no new ones
	ColdFor  time.Duration // time until the instance is warm, counted from when the instance wrote the record; 0: already warm
	Sequence int64         // number of orders that the instance has accepted; of two records of an instance, the newer never has the lower number
	Domain   DomainID
	Staged   []ModelID   // models whose weights are in the host memory of its box
	Models   []ModelID   // models whose weights are loaded
	Member   *Membership // nil: in no group
}

// EqualExceptSequence reports whether two records are equal except for Sequence.
func (instance *Instance) EqualExceptSequence(other *Instance) bool {
	return instance.ID == other.ID && instance.Service == other.Service && instance.Address == other.Address &&
		instance.Zone == other.Zone && instance.Slots == other.Slots && instance.Draining == other.Draining &&
		instance.ColdFor == other.ColdFor && instance.Domain == other.Domain &&
		slices.Equal(instance.Staged, other.Staged) && slices.Equal(instance.Models, other.Models) &&
		instance.Member.same(other.Member)
}

// HasStaged reports whether the model's weights are in the box's host memory.
func (instance *Instance) HasStaged(model ModelID) bool {
	for _, staged := range instance.Staged {
		if staged == model {
			return true
		}
	}
	return false
}

// GroupOrderKind is the kind of a GroupOrder.
type GroupOrderKind string

// The kinds of GroupOrder.
const (
	OrderJoin  GroupOrderKind = "join"  // load the weights and become a member of the group; replaces an earlier membership
	OrderOpen  GroupOrderKind = "open"  // to a ready head: accept requests
	OrderClose GroupOrderKind = "close" // to an open head: finish the running requests, then become ready
	OrderLeave GroupOrderKind = "leave" // end the membership immediately
	OrderStage GroupOrderKind = "stage" // load the weights into the host memory
)

// GroupOrder is an order of the program shedkeel-node to the engine of a box. (Keepers
// send orders of type Order.) The group's epoch is the fencing token of the order, except
// for OrderStage, which has none.
type GroupOrder struct {
	Kind    GroupOrderKind
	To      InstanceID
	Address string // host:port of the engine of To
	Group   GroupID
	Epoch   uint64
	Model   ModelID
	Members []InstanceID // for OrderJoin: all members, the head first
}

// EngineReport is an engine's report of its load. The report lags behind the load by some
// hundred milliseconds.
type EngineReport struct {
	Queued   int     // queued requests
	Active   int     // running requests
	Slowdown float64 // current multiplier of the engine's times; above 1: slow
	Born     int64   // time of the engine's start in Unix milliseconds; 0: not reported
}

// Health is what the process at a backend server's address states in its answer to a health check,
// whatever the status of that answer.
type Health struct {
	Server   ServerID // empty: not stated
	Born     int64    // time of the process's start in Unix milliseconds; 0: not stated
	Rejected bool     // its status was not 200: the server may answer otherwise later
	// ConnectedAt is when the connection over which the answer came was opened; zero: not known.
	ConnectedAt time.Time
}

// From reports whether the report can be from the instance with the ID, rather than from
// another instance of the same server. It returns true if the report or the ID does
// not state the time of the start.
func (report EngineReport) From(id InstanceID) bool {
	return report.Born == 0 || id.Born() == 0 || report.Born == id.Born()
}
