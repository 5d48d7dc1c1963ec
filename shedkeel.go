// Package shedkeel defines what a shedkeel fleet is made of: boxes, replica
// groups, services, client accounts and the records that are agreed through
// the platform's key-value service. All behavior that varies stands here as
// an interface; the packages below implement them.
package shedkeel

import (
	"slices"
	"time"
)

// BoxID names a box, as the platform's box list does.
type BoxID string

// GroupID names a replica group; it is unique in the fleet and never reused.
type GroupID string

// ServiceID names a service that operators created.
type ServiceID string

// ZoneID names an availability zone.
type ZoneID string

// DomainID names a fabric domain: boxes that share a fast interconnect.
type DomainID string

// AccountID names a client account.
type AccountID string

// NodeID names an entry box of the system itself, on which an entry and a
// keeper run.
type NodeID string

// Box is one machine of the platform that can be a member of a replica group.
type Box struct {
	ID           BoxID    `json:"id"`
	Address      string   `json:"address"` // host:port of its engine
	Zone         ZoneID   `json:"zone"`
	Domain       DomainID `json:"domain"`
	Accelerators int      `json:"accelerators"`
	Leaving      bool     `json:"leaving"`
}

// Assignment is what a box was ordered to be part of.
type Assignment struct {
	Group GroupID `json:"group"`
	Epoch uint64  `json:"epoch"`
}

// Phase says how far a box has come with its orders.
type Phase string

// The phases of a box.
const (
	PhaseEmpty   Phase = "empty"   // no weights, no group
	PhaseLoading Phase = "loading" // loading weights
	PhaseWarm    Phase = "warm"    // weights loaded, no group
	PhaseReady   Phase = "ready"   // weights loaded and joined to its group
)

// BoxState is what a box's engine said of itself in answer to a probe.
type BoxState struct {
	Boot     string     `json:"boot"` // differs after every start of the engine
	Phase    Phase      `json:"phase"`
	Weights  ServiceID  `json:"weights"`  // whose weights are loaded or loading
	Assigned Assignment `json:"assigned"` // the last order it took
	Leaving  bool       `json:"leaving"`
	Running  int        `json:"running"` // requests running, as reported with a lag
	Queued   int        `json:"queued"`  // requests queued, as reported with a lag
}

// Member is one box of a replica group, pinned to the engine start with which
// the group was formed.
type Member struct {
	Box     BoxID  `json:"box"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
}

// Group is one replica of a model service that spans several boxes. The first
// member takes the requests.
type Group struct {
	ID       GroupID   `json:"id"`
	Service  ServiceID `json:"service"`
	Domain   DomainID  `json:"domain"`
	Epoch    uint64    `json:"epoch"` // grows with every change of members
	Members  []Member  `json:"members"`
	Draining bool      `json:"draining"` // finishes what it runs, takes nothing new
	Reserve  *Reserve  `json:"reserve,omitempty"`
}

// Reserve is a box that was agreed ahead to take the place of one lost member
// while the key-value service is out, and the epoch that the group then has.
// It is kept for this group alone.
type Reserve struct {
	Member Member `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// WithReserve returns the group with its reserve in the place of a lost member,
// or the group itself when it has no reserve or no such member.
func (group *Group) WithReserve(lost BoxID) Group {
	if group.Reserve == nil || !group.Has(lost) {
		return *group
	}
	formed := *group
	formed.Members = slices.Clone(group.Members)
	for place := range formed.Members {
		if formed.Members[place].Box == lost {
			formed.Members[place] = group.Reserve.Member
		}
	}
	formed.Epoch = group.Reserve.Epoch
	formed.Reserve = nil
	return formed
}

// Fallback says which reserves of an agreed placement are in use while the
// key-value service is out. It is spread between keepers and never written to
// the service; the next agreed placement takes it in.
type Fallback struct {
	Generation uint64            `json:"generation"`
	Zone       ZoneID            `json:"zone"`
	Base       uint64            `json:"base"` // generation of the placement that it is about
	Lost       map[GroupID]BoxID `json:"lost"`
}

// With returns the placement with the reserves that the fallback uses. A
// fallback about another generation changes nothing.
func (placement *Placement) With(fallback Fallback) Placement {
	if fallback.Base != placement.Generation || fallback.Zone != placement.Zone {
		return *placement
	}
	formed := placement.Clone()
	for index := range formed.Groups {
		if lost, used := fallback.Lost[formed.Groups[index].ID]; used {
			formed.Groups[index] = formed.Groups[index].WithReserve(lost)
		}
	}
	return formed
}

// Assignment returns what every member of the group must have loaded.
func (group *Group) Assignment() Assignment {
	return Assignment{Group: group.ID, Epoch: group.Epoch}
}

// Has reports whether the box is a member of the group.
func (group *Group) Has(box BoxID) bool {
	return slices.ContainsFunc(group.Members, func(member Member) bool { return member.Box == box })
}

// Placement is the agreed record of one availability zone: which box belongs
// to which group. It changes by compare-and-swap as a whole.
type Placement struct {
	Generation   uint64  `json:"generation"` // grows by one with each write
	Zone         ZoneID  `json:"zone"`
	PlannerEpoch uint64  `json:"planner_epoch"` // of the lease under which it was written
	Nonce        string  `json:"nonce"`         // of its writer, to settle a lost reply
	NextEpoch    uint64  `json:"next_epoch"`    // the epoch that the next formed group gets
	Groups       []Group `json:"groups"`
}

// Validate returns a ConflictError when a box belongs to two groups.
func (placement *Placement) Validate() error {
	owner := map[BoxID]GroupID{}
	for _, group := range placement.Groups {
		members := group.Members
		if group.Reserve != nil {
			members = append(slices.Clone(members), group.Reserve.Member)
		}
		for _, member := range members {
			if other, taken := owner[member.Box]; taken {
				return &ConflictError{What: "box " + string(member.Box) + " is in groups " + string(other) + " and " + string(group.ID)}
			}
			owner[member.Box] = group.ID
		}
	}
	return nil
}

// Clone returns a copy that shares nothing with the placement.
func (placement *Placement) Clone() Placement {
	clone := *placement
	clone.Groups = slices.Clone(placement.Groups)
	for index := range clone.Groups {
		clone.Groups[index].Members = slices.Clone(clone.Groups[index].Members)
	}
	return clone
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// BackendServer is one server of a plain service.
type BackendServer struct {
	ID      BoxID  `json:"id" toml:"id"`
	Address string `json:"address" toml:"address"`
	Zone    ZoneID `json:"zone" toml:"zone"`
}

// Service is what operators create for callers to use.
type Service struct {
	ID        ServiceID       `json:"id" toml:"id"`
	Kind      ServiceKind     `json:"kind" toml:"kind"`
	Groups    int             `json:"groups" toml:"groups"`         // model: replica groups wanted over all zones
	Members   int             `json:"members" toml:"members"`       // model: boxes in a group
	Zones     []ZoneID        `json:"zones" toml:"zones"`           // model: where groups may stand
	Unfenced  bool            `json:"unfenced" toml:"unfenced"`     // model: engines do not check who orders them
	Capacity  int             `json:"capacity" toml:"capacity"`     // requests one group or server runs at once
	Timeout   Duration        `json:"timeout" toml:"timeout"`       // longest that a request may take
	MaxWait   Duration        `json:"max_wait" toml:"max_wait"`     // longest that a request may wait for its turn; 0: as long as it may take
	Backends  []BackendServer `json:"backends" toml:"backends"`     // plain: its servers
	OncePaths []string        `json:"once_paths" toml:"once_paths"` // plain: path prefixes whose calls must not be repeated
}

// Account is a client account.
type Account struct {
	ID       AccountID   `json:"id" toml:"id"`
	KeyHash  string      `json:"key_sha256" toml:"key_sha256"` // hex SHA-256 of its bearer key
	Services []ServiceID `json:"services" toml:"services"`     // what it may call; empty is everything
	Rate     float64     `json:"rate" toml:"rate"`             // requests a second over all entry boxes; 0 is no limit
	Weight   int         `json:"weight" toml:"weight"`         // its share under overload; 0 counts as 1
}

// Policy is the operators' program that says how groups are planned.
type Policy struct {
	Name    string `json:"name" toml:"name"`
	Program string `json:"program" toml:"program"` // Starlark source
}

// Config is the one agreed record of what operators had accepted.
type Config struct {
	Generation uint64    `json:"generation"` // grows by one with each accepted change
	Nonce      string    `json:"nonce"`      // of its writer, to settle a lost reply
	EntryBoxes int       `json:"entry_boxes"`
	Services   []Service `json:"services"`
	Accounts   []Account `json:"accounts"`
	Policy     Policy    `json:"policy"`
	Drains     []BoxID   `json:"drains"` // boxes that operators take out of service
}

// Service returns the service of that name, or nil.
func (config *Config) Service(id ServiceID) *Service {
	for index := range config.Services {
		if config.Services[index].ID == id {
			return &config.Services[index]
		}
	}
	return nil
}

// Node is an entry box of the system, as its keeper describes it to others.
type Node struct {
	ID          NodeID `json:"id"`
	Incarnation string `json:"incarnation"` // differs after every start of the keeper
	Zone        ZoneID `json:"zone"`
	Wire        string `json:"wire"`     // host:port for other keepers
	Entry       string `json:"entry"`    // host:port for callers
	Stopping    bool   `json:"stopping"` // its entry takes no new callers
	Heartbeat   uint64 `json:"heartbeat"`
	Config      uint64 `json:"config"` // generation of the configuration in force there
}

// Verdict is what a watcher found when it probed every member of a group.
type Verdict uint8

// The verdicts. Only VerdictWhole lets a request through; a silent member
// proves nothing, it only stops the permit from being renewed.
const (
	VerdictSilent   Verdict = iota // some member did not answer
	VerdictWhole                   // every member answered with the group's epoch and its pinned boot
	VerdictBroken                  // some member answered that it is not in the group any more, or refused the connection
	VerdictDraining                // whole, but a member is leaving
)

// String returns the verdict's name.
func (verdict Verdict) String() string {
	names := [...]string{"silent", "whole", "broken", "draining"}
	if int(verdict) < len(names) {
		return names[verdict]
	}
	return "invalid"
}

// OrderKind says what a box is ordered to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad     OrderKind = "load"     // load weights and join the group
	OrderPrefetch OrderKind = "prefetch" // load weights, join nothing
	OrderRelease  OrderKind = "release"  // leave the group, keep the weights
)

// Order is one fenced instruction to a box.
type Order struct {
	Kind         OrderKind  `json:"kind"`
	Box          BoxID      `json:"box"`
	Address      string     `json:"-"`
	Service      ServiceID  `json:"service"`
	Assignment   Assignment `json:"assignment"`
	PlannerEpoch uint64     `json:"planner_epoch"` // fences the order
	Peers        []string   `json:"peers"`         // addresses of all members, in order
	Unfenced     bool       `json:"-"`             // the box checks no fence, so time must protect it
}

// Table is what a policy program decided: the numbers that the planner uses.
type Table struct {
	Spares        int           `json:"spares"`         // boxes kept free in each fabric domain
	WarmSpares    bool          `json:"warm_spares"`    // free boxes load weights ahead of need
	Patience      time.Duration `json:"patience"`       // how long a silent member may take to come back as it was, while its substitute loads
	WarmPatience  time.Duration `json:"warm_patience"`  // the same when a substitute has the weights already
	Consolidate   bool          `json:"consolidate"`    // break up one short group to mend others
	CrossDomain   bool          `json:"cross_domain"`   // form slow groups over fabric domains rather than none
	StormFraction float64       `json:"storm_fraction"` // hold still when this part of a domain is gone at once
}
