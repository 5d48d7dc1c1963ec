package shedkeel

import (
	"slices"
	"time"
)

// RouteID names a route of a serving configuration.
type RouteID string

// ModelID names a model that replica groups of a service serve.
type ModelID string

// RequestKind says how often a request of a route may run.
type RequestKind string

// The kinds of request.
const (
	RequestSafe   RequestKind = "safe"   // may run more than once
	RequestOnce   RequestKind = "once"   // may run at most once
	RequestStream RequestKind = "stream" // answers with a series of events
)

// Target is one service that a route sends to, with its share of the requests.
type Target struct {
	Service ServiceID
	Weight  int
}

// Route says what becomes of requests to a host whose path begins with Prefix.
type Route struct {
	ID        RouteID
	Host      string
	Prefix    string
	Kind      RequestKind
	Resumable bool          // a stream may go on at another server from its last event
	Public    bool          // needs no key
	Timeout   time.Duration // longest that a request is held
	Objective time.Duration // an answer, or a stream's first event, is on time within it
	MaxPause  time.Duration // between two events of a stream that is on time; 0: not stated
	MaxRuns   int           // most servers that one request may run on
	Priority  int           // 0 is most urgent
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == RequestSafe || route.Kind == RequestStream && route.Resumable
}

// KeyedAccount is a client account with the keys that it may present.
type KeyedAccount struct {
	ID       AccountID
	Keys     []string
	Priority *int // goes before the route's; nil: the route's holds
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
}

// Model is one model of a service of replica groups.
type Model struct {
	ID     ModelID
	Size   int           // boxes in a group
	Share  float64       // of the work, as expected before any is measured
	Pace   float64       // factor on the engine's times; 0 counts as 1
	Load   time.Duration // from the weight store
	Warmup time.Duration // from the box's own host memory
}

// Slowdown is the factor on the engine's times, 1 where none is stated.
func (model *Model) Slowdown() float64 {
	if model.Pace <= 0 {
		return 1
	}
	return model.Pace
}

// ModelDemand is what callers ask of a model, weighed over some seconds.
type ModelDemand struct {
	Requests     float64
	PromptTokens float64
	AnswerTokens float64 // at most, as callers state
}

// Plus returns the sum.
func (demand ModelDemand) Plus(other ModelDemand) ModelDemand {
	demand.Requests += other.Requests
	demand.PromptTokens += other.PromptTokens
	demand.AnswerTokens += other.AnswerTokens
	return demand
}

// Scaled returns so many times the demand.
func (demand ModelDemand) Scaled(by float64) ModelDemand {
	return ModelDemand{Requests: by * demand.Requests, PromptTokens: by * demand.PromptTokens, AnswerTokens: by * demand.AnswerTokens}
}

// Engine describes the engines of a service of replica groups.
type Engine struct {
	Models         []Model
	Slots          int           // requests that a group runs at once
	Stride         int           // steps of one pass over all that a group runs
	Chunk          int           // prompt tokens that one step reads at most
	Step           time.Duration // of a token of one request
	StepEach       time.Duration // that each request that runs adds to a step
	ReadPerSecond  float64       // prompt tokens
	LoadsPerSecond float64       // that may begin, over all boxes
	LoadsAtOnce    int           // beyond which each takes longer
	FormTime       time.Duration
}

// LongestPass is the longest time that a group of the model works between two
// events of a stream: each step of a pass reads as much of waiting prompts as
// it may, and all places are taken. It is 0 where the engine's times are not
// stated.
func (engine *Engine) LongestPass(model *Model) time.Duration {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	reading := time.Duration(float64(engine.Chunk) / engine.ReadPerSecond * float64(time.Second))
	step := reading + engine.Step + time.Duration(engine.Slots)*engine.StepEach
	return time.Duration(float64(engine.Stride) * float64(step) * model.Slowdown())
}

// Model returns the model of that name, or nil.
func (engine *Engine) Model(id ModelID) *Model {
	for index := range engine.Models {
		if engine.Models[index].ID == id {
			return &engine.Models[index]
		}
	}
	return nil
}

// RoutedService is a service of a serving configuration.
type RoutedService struct {
	ID             ServiceID
	HealthPath     string
	MaxConnections int           // that one server takes from all callers together
	ColdRate       float64       // requests a second that a cold server takes from all processes together; 0: as many as a warm one
	ColdTime       time.Duration // for how long a server is cold after a start while callers are served
	Engine         *Engine       // nil: a plain service
}

// ServingConfig is what operators want served: routes, services, accounts.
type ServingConfig struct {
	Version  int64 // only grows
	Routes   []Route
	Services []RoutedService
	Accounts []KeyedAccount
	Limits   Limits
}

// MemberState says how far a member of a replica group has come.
type MemberState string

// The states of a member. Only the first member, the head, opens.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is what a backend server says of the replica group it is in.
type Membership struct {
	Group GroupID
	Epoch uint64
	Rank  int // 0 is the head, which takes the requests
	State MemberState
}

// same reports whether two memberships are the same; nil is none.
func (membership *Membership) same(other *Membership) bool {
	if membership == nil || other == nil {
		return membership == other
	}
	return *membership == *other
}

// Assignment names the group in its epoch.
func (membership *Membership) Assignment() Assignment {
	return Assignment{Group: membership.Group, Epoch: membership.Epoch}
}

// Instance is a backend server as it stands in the platform's list.
type Instance struct {
	ID       InstanceID
	Service  ServiceID
	Address  string // host:port
	Zone     ZoneID
	Slots    int
	Draining bool
	ColdFor  time.Duration // how much longer it is cold, when it wrote that; 0: it is warm
	Sequence int64         // rises with what the server tells of itself, and begins anew with its start
	Domain   DomainID
	Staged   []ModelID // on the box's host
	Models   []ModelID // loaded
	Member   *Membership
}

// Same reports whether two records of a server say the same, their sequence apart.
func (instance *Instance) Same(other *Instance) bool {
	return instance.ID == other.ID && instance.Service == other.Service && instance.Address == other.Address &&
		instance.Zone == other.Zone && instance.Slots == other.Slots && instance.Draining == other.Draining &&
		instance.ColdFor == other.ColdFor && instance.Domain == other.Domain &&
		slices.Equal(instance.Staged, other.Staged) && slices.Equal(instance.Models, other.Models) &&
		instance.Member.same(other.Member)
}

// HasStaged reports whether the model's weights are on the box's host.
func (instance *Instance) HasStaged(model ModelID) bool {
	for _, staged := range instance.Staged {
		if staged == model {
			return true
		}
	}
	return false
}

// GroupOrderKind says what the engine of one box is ordered to do.
type GroupOrderKind string

// The kinds of order for replica groups.
const (
	OrderJoin  GroupOrderKind = "join"  // become a member, replacing any membership
	OrderOpen  GroupOrderKind = "open"  // to a ready head: serve
	OrderClose GroupOrderKind = "close" // to an open head: finish what runs, then be ready
	OrderLeave GroupOrderKind = "leave" // give up the membership at once
	OrderStage GroupOrderKind = "stage" // load weights onto the host
)

// GroupOrder is one order to the engine of one box. Except for OrderStage it
// is fenced by the group's epoch.
type GroupOrder struct {
	Kind    GroupOrderKind
	To      InstanceID
	Address string
	Group   GroupID
	Epoch   uint64
	Model   ModelID
	Members []InstanceID // OrderJoin: all members, the head first
}

// EngineReport is what an engine says of itself, as of some hundred ms ago.
type EngineReport struct {
	Queued int
	Active int
	Pace   float64 // factor on its times now; over 1 is slow
	Born   int64   // when the server started, in Unix milliseconds; 0: it does not say
}

// From reports whether the report may come from this start of the server, and
// not from another one under the same name.
func (report EngineReport) From(id InstanceID) bool {
	return report.Born == 0 || id.Born() == 0 || report.Born == id.Born()
}
