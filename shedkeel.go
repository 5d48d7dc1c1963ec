// Package shedkeel defines the types of a shedkeel fleet, such as boxes, replica groups,
// services, client accounts and the records in the platform's key-value service, and the
// interfaces that the other packages implement and use.
//
// A Box runs an engine: a backend server that loads the weights of a model and, as a
// member of a replica group, computes the answers to requests. Two kinds of nodes control
// replica groups and serve callers:
//
//   - An entry box runs an entry, the proxy for callers, and a keeper, the control process.
//     Both use Config, Placement and Group; keepers send an Order to a Box. An entry box is
//     not a Box: it runs no engine and is in no replica group.
//   - A process of the program shedkeel-node does the work of both. It uses ServingConfig,
//     Instance and Membership, and sends a GroupOrder to a Box.
package shedkeel

import (
	"slices"
	"time"
)

// BoxID is the name of a box in the platform's box list.
type BoxID string

// GroupID is the name of a replica group. It is unique in the fleet and never
// reused.
type GroupID string

// ServiceID is the name of a service that operators created.
type ServiceID string

// ZoneID is the name of an availability zone.
type ZoneID string

// DomainID is the name of a fabric domain: a set of boxes that share a fast
// interconnect.
type DomainID string

// AccountID is the name of a client account.
type AccountID string

// NodeID is the name of a node: an entry box, or a process of the program
// shedkeel-node.
type NodeID string

// Box is a machine of the platform that can be a member of a replica group.
type Box struct {
	ID           BoxID    `json:"id"`
	Address      string   `json:"address"` // host:port of the box's engine
	Zone         ZoneID   `json:"zone"`
	Domain       DomainID `json:"domain"`
	Accelerators int      `json:"accelerators"`
	Leaving      bool     `json:"leaving"` // the platform is going to remove the box
}

// Assignment identifies the replica group that a box was ordered to join, and the
// group's epoch. The zero value is no group.
type Assignment struct {
	Group GroupID `json:"group"`
	Epoch uint64  `json:"epoch"`
}

// Phase is the progress of a box in carrying out the last order that it accepted.
type Phase string

// The phases of a box.
const (
	PhaseEmpty   Phase = "empty"   // no weights, no group
	PhaseLoading Phase = "loading" // loading weights
	PhaseWarm    Phase = "warm"    // weights loaded, no group
	PhaseReady   Phase = "ready"   // weights loaded and joined to its group
)

// BoxState is the state that a box's engine reports in reply to a probe.
type BoxState struct {
	Boot     string     `json:"boot"` // changes with every start of the engine
	Phase    Phase      `json:"phase"`
	Weights  ServiceID  `json:"weights"`  // service whose weights are loaded or being loaded
	Assigned Assignment `json:"assigned"` // from the last OrderLoad; zero after an OrderPrefetch or OrderRelease
	Leaving  bool       `json:"leaving"`
	Running  int        `json:"running"` // running requests; the report lags behind
	Queued   int        `json:"queued"`  // queued requests; the report lags behind
}

// Member is a box of a replica group. Boot is the BoxState.Boot of the engine when the
// planner chose the box: after a restart of the engine, the box no longer counts as
// this member.
type Member struct {
	Box     BoxID  `json:"box"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
}

// Group is a replica of a model service that runs on one or more boxes. The first
// member receives the requests.
type Group struct {
	ID       GroupID   `json:"id"`
	Service  ServiceID `json:"service"`
	Domain   DomainID  `json:"domain"` // "": the group may span domains
	Epoch    uint64    `json:"epoch"`  // increases with every change of the members
	Members  []Member  `json:"members"`
	Draining bool      `json:"draining"` // finishes its running requests and accepts no new ones
	Reserve  *Reserve  `json:"reserve,omitempty"`
}

// Reserve is a box that a committed placement names in advance. While the key-value
// service is not available, the box may replace one lost member of the group. Epoch is
// the group's epoch after this replacement. The box is reserved for this group alone.
type Reserve struct {
	Member Member `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// WithReserve returns a copy of the group in which the reserve replaces the lost
// member. It returns the group unchanged if it has no reserve or no such member.
func (group *Group) WithReserve(lost BoxID) Group {
	if group.Reserve == nil || !group.Has(lost) {
		return *group
	}
	formed := *group
	formed.Members = slices.Clone(group.Members)
	for index := range formed.Members {
		if formed.Members[index].Box == lost {
			formed.Members[index] = group.Reserve.Member
		}
	}
	formed.Epoch = group.Reserve.Epoch
	formed.Reserve = nil
	return formed
}

// Fallback lists the reserves of a committed placement that are in use while the
// key-value service is not available. Keepers send the fallback to each other and never
// write it to the key-value service; the next committed placement includes its effect.
type Fallback struct {
	Generation uint64            `json:"generation"` // increases with each change of the fallback and with Base
	Zone       ZoneID            `json:"zone"`
	Base       uint64            `json:"base"` // generation of the placement that the fallback applies to
	Lost       map[GroupID]BoxID `json:"lost"` // the member that each group's reserve replaces
}

// WithFallback returns the placement with the substitutions of the fallback applied. It
// returns the placement unchanged if the fallback is for another generation or zone.
func (placement *Placement) WithFallback(fallback Fallback) Placement {
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

// Assignment returns the assignment that every member of the group must have.
func (group *Group) Assignment() Assignment {
	return Assignment{Group: group.ID, Epoch: group.Epoch}
}

// Has reports whether the box is a member of the group.
func (group *Group) Has(box BoxID) bool {
	return slices.ContainsFunc(group.Members, func(member Member) bool { return member.Box == box })
}

// Placement is the committed record of one availability zone: it assigns boxes to
// groups. The keeper that holds the zone's planner lease writes the placement. Each
// change replaces the whole record by compare-and-swap.
type Placement struct {
	Generation   uint64  `json:"generation"` // increases by one with each write
	Zone         ZoneID  `json:"zone"`
	PlannerEpoch uint64  `json:"planner_epoch"` // epoch of the planner lease under which the placement was written; increases with each change of the lease's holder
	Nonce        string  `json:"nonce"`         // random ID of the write; shows whether a write took effect whose reply was lost
	NextEpoch    uint64  `json:"next_epoch"`    // next unused epoch of a Group or Reserve of the placement; 0 counts as 1
	Groups       []Group `json:"groups"`
}

// Validate returns a ConflictError if a box is a member or the reserve of more
// than one group, or is listed twice in one group.
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

// Clone returns a copy with its own groups and members. The reserves are shared.
func (placement *Placement) Clone() Placement {
	clone := *placement
	clone.Groups = slices.Clone(placement.Groups)
	for index := range clone.Groups {
		clone.Groups[index].Members = slices.Clone(clone.Groups[index].Members)
	}
	return clone
}

// ServiceKind is the kind of a service.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model" // replica groups serve a model
	KindPlain ServiceKind = "plain" // operators list the backend servers, which serve HTTP requests
)

// BackendServer is a server of a plain service.
type BackendServer struct {
	ID      BoxID  `json:"id" toml:"id"` // operators choose it; need not be in the platform's box list
	Address string `json:"address" toml:"address"`
	Zone    ZoneID `json:"zone" toml:"zone"`
}

// Service is a service that operators create for callers.
type Service struct {
	ID        ServiceID       `json:"id" toml:"id"`
	Kind      ServiceKind     `json:"kind" toml:"kind"`
	Groups    int             `json:"groups" toml:"groups"`         // model: desired number of replica groups in all zones together
	Members   int             `json:"members" toml:"members"`       // model: boxes per group
	Zones     []ZoneID        `json:"zones" toml:"zones"`           // model: zones in which groups may be placed
	Unfenced  bool            `json:"unfenced" toml:"unfenced"`     // model: engines do not check the planner epoch of their orders
	Capacity  int             `json:"capacity" toml:"capacity"`     // requests that one group or server runs concurrently
	Timeout   Duration        `json:"timeout" toml:"timeout"`       // maximum duration of a request
	MaxWait   Duration        `json:"max_wait" toml:"max_wait"`     // maximum time that a request waits in the queue; 0: up to Timeout
	Backends  []BackendServer `json:"backends" toml:"backends"`     // plain: the servers of the service
	OncePaths []string        `json:"once_paths" toml:"once_paths"` // plain: path prefixes of the calls that must run at most once; other than GET and HEAD, they need an idempotency key
}

// Account is a client account.
type Account struct {
	ID       AccountID   `json:"id" toml:"id"`
	KeyHash  string      `json:"key_sha256" toml:"key_sha256"` // hex SHA-256 of the account's bearer key
	Services []ServiceID `json:"services" toml:"services"`     // services that the account may call; empty: all
	Rate     float64     `json:"rate" toml:"rate"`             // requests per second on all entry boxes together; 0: no limit
	Weight   int         `json:"weight" toml:"weight"`         // relative share under overload; 0 counts as 1
}

// Policy is the operators' program that computes the planner's parameters.
type Policy struct {
	Name    string `json:"name" toml:"name"`
	Program string `json:"program" toml:"program"` // Starlark source
}

// Config is the committed configuration record: the configuration after the last change
// by operators that was accepted.
type Config struct {
	Generation uint64    `json:"generation"`  // increases by one with each accepted change
	Nonce      string    `json:"nonce"`       // random ID of the write; shows whether a write took effect whose reply was lost
	EntryBoxes int       `json:"entry_boxes"` // maximum number of entry boxes that run at once; each admits an equal part of an account's rate
	Services   []Service `json:"services"`
	Accounts   []Account `json:"accounts"`
	Policy     Policy    `json:"policy"`
	Drains     []BoxID   `json:"drains"` // boxes that operators are taking out of service
}

// Service returns the service with the ID, or nil if there is none.
func (config *Config) Service(id ServiceID) *Service {
	for index := range config.Services {
		if config.Services[index].ID == id {
			return &config.Services[index]
		}
	}
	return nil
}

// Node is the record of a node that its keeper sends to other keepers.
type Node struct {
	ID          NodeID `json:"id"`
	Incarnation string `json:"incarnation"` // changes with every start of the keeper
	Zone        ZoneID `json:"zone"`
	Wire        string `json:"wire"`      // host:port for other keepers
	Entry       string `json:"entry"`     // host:port for callers
	Stopping    bool   `json:"stopping"`  // callers must not use its entry: the entry is stopping, or is not in contact with the keeper
	Heartbeat   uint64 `json:"heartbeat"` // increases with each update; of two records of an incarnation, the newer has the higher value
	Config      uint64 `json:"config"`    // generation of the configuration that the node applies
}

// Verdict is the result of probing all members of a group.
type Verdict uint8

// The verdicts. Only VerdictWhole renews a group's permit to receive requests (see
// member.Permit); VerdictBroken and VerdictDraining revoke it. A missing reply does not
// prove that the group is broken, so VerdictNoReply only lets the current permit expire; if
// it lasts beyond the permit, the group counts as broken.
const (
	VerdictNoReply  Verdict = iota // some member did not reply, and the group is not broken
	VerdictWhole                   // every member replied that it is ready, with the group's Assignment and the Boot of its Member
	VerdictBroken                  // some member replied that it is not ready or has another Assignment or Boot, or refused the connection
	VerdictDraining                // as VerdictWhole, but a member is leaving
)

// String returns the name of the verdict for logs and operators, or "invalid" for a
// value that is no verdict.
func (verdict Verdict) String() string {
	names := [...]string{"silent", "whole", "broken", "draining"}
	if int(verdict) < len(names) {
		return names[verdict]
	}
	return "invalid"
}

// OrderKind is the kind of an order to a box.
type OrderKind string

// The kinds of order.
const (
	OrderLoad     OrderKind = "load"     // load the weights and join the group
	OrderPrefetch OrderKind = "prefetch" // load the weights without joining a group
	OrderRelease  OrderKind = "release"  // leave the group and keep the weights loaded
)

// Order is an instruction of a keeper to a box. (The program shedkeel-node sends orders
// of type GroupOrder.) The box rejects the order if it has accepted one with a higher
// planner epoch, unless the box is unfenced.
type Order struct {
	Kind         OrderKind  `json:"kind"`
	Box          BoxID      `json:"box"`
	Address      string     `json:"-"` // host:port of the box's engine
	Service      ServiceID  `json:"service"`
	Assignment   Assignment `json:"assignment"`
	PlannerEpoch uint64     `json:"planner_epoch"` // fencing token: epoch of the planner lease under which the order is sent; in a fallback, that of the placement
	Peers        []string   `json:"peers"`         // for OrderLoad: addresses of all members, in order
	Unfenced     bool       `json:"-"`             // the box does not check the fencing token, so the keeper first waits until orders of a former lease holder have expired
}

// PlannerParameters are the parameters of the planner, which a policy program returns
// as a table (see package policy).
type PlannerParameters struct {
	Spares     int  `json:"spares"`      // boxes to keep free in each fabric domain when a group is formed in it; for a group across domains, in all domains together
	WarmSpares bool `json:"warm_spares"` // free boxes load weights in advance
	// ReplaceAfter is how long the planner waits for a member that does not reply
	// before it replaces the member. The substitute loads the weights meanwhile.
	ReplaceAfter time.Duration `json:"patience"`
	// WarmReplaceAfter takes the place of ReplaceAfter if a substitute already has the
	// weights loaded, so that the replacement is fast.
	WarmReplaceAfter time.Duration `json:"warm_patience"`
	Consolidate      bool          `json:"consolidate"`  // dissolve one incomplete group to repair others
	CrossDomain      bool          `json:"cross_domain"` // form a slower group across fabric domains if no domain has enough boxes
	// DomainFailureFraction is the fraction of a domain's boxes that must fail to
	// reply, two boxes at least, for the domain itself to count as failed. The planner
	// replaces no members of the groups in a domain that counts as failed, and forms no
	// group from the boxes of that domain alone. 0: no domain ever counts as failed.
	DomainFailureFraction float64 `json:"storm_fraction"`
}
