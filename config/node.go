package config

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/quota"
)

// NodeSettings are the settings of a node of the program shedkeel-node, a process that
// both serves callers and controls replica groups.
type NodeSettings struct {
	Node   shedkeel.NodeID `toml:"node"` // unique in the fleet
	Zone   shedkeel.ZoneID `toml:"zone"` // its availability zone
	Listen NodeListen      `toml:"listen"`
	Store  string          `toml:"store"` // host:port of the key-value service
	// Seeds are control addresses of other nodes, IP:PORT. A node that starts has no
	// records and asks the seeds for them, as well as the key-value service. Some
	// seeds may be unreachable.
	Seeds []string `toml:"seeds"`
	// Capacity is the share of a processor core that the box has for the node.
	// The nodes with the largest capacity watch the key-value service and plan
	// for the whole fleet.
	Capacity float64      `toml:"capacity"`
	Wire     NodeWire     `toml:"wire"`
	Bounds   NodeBounds   `toml:"bounds"`
	Limits   NodeLimits   `toml:"limits"`
	Overload NodeOverload `toml:"overload"`
	Log      LogSettings  `toml:"log"`
}

// NodeListen are the addresses on which a node listens, each IP:PORT.
type NodeListen struct {
	Callers   string `toml:"callers"`   // serves the requests of callers
	Directory string `toml:"directory"` // answers callers that ask which node addresses to use
	Readiness string `toml:"readiness"` // answers the platform's readiness checks
	Control   string `toml:"control"`   // answers other nodes
	// Gossip receives the failure detector's datagrams from other nodes.
	// Empty: the address of Control.
	Gossip  string `toml:"gossip"`
	Metrics string `toml:"metrics"` // empty: none
}

// NodeWire are the settings of connections between nodes.
type NodeWire struct {
	Key string `toml:"key"` // shared secret, the same on all nodes
}

// NodeBounds are the time limits that the platform and its callers rely on, and the
// limits of retries and backoffs.
type NodeBounds struct {
	Grace  shedkeel.Duration `toml:"grace"`  // from SIGTERM until the platform kills the process
	Stall  shedkeel.Duration `toml:"stall"`  // for how long the head of a replica group stays open after it has lost a member
	Revoke shedkeel.Duration `toml:"revoke"` // from the removal of an API key until no request runs with it
	// RefuseStaleKeys rejects requests that need an API key unless the node has confirmed
	// within the fraction proofAgeFraction (package node) of Revoke that its configuration
	// is current. Without it, a removed key works for as long as the key-value service is
	// unreachable.
	RefuseStaleKeys bool              `toml:"refuse_stale_keys"`
	Directory       shedkeel.Duration `toml:"directory"`    // longest time for which callers may cache a directory answer
	RetryRatio      float64           `toml:"retry_ratio"`  // retries allowed per request, over all nodes
	RetryWindow     shedkeel.Duration `toml:"retry_window"` // window in which retries and requests are counted
	RetrySlack      float64           `toml:"retry_slack"`  // retries allowed in addition to the ratio
	// MaxBackoff limits the backoff that a backend server may request, so that a
	// server that states a backoff of years is used again.
	MaxBackoff shedkeel.Duration `toml:"max_backoff"`
}

// NodeOverload are the settings of the admission of requests for models.
type NodeOverload struct {
	Control string `toml:"control"` // OverloadAuto, OverloadOn or OverloadOff
}

// The values of NodeOverload.Control.
const (
	OverloadAuto = "auto" // on for routes that state a latency objective
	OverloadOn   = "on"
	OverloadOff  = "off" // requests are admitted by the slots of a model alone
)

// NodeLimits bound what a node uses. Package quota divides the box between the clients and the
// node's own needs.
type NodeLimits struct {
	BoxLimits
	// UnreadBytes bounds the bytes that wait for callers that read slowly. 0: Plan.UnreadAnswers of package quota.
	UnreadBytes int64 `toml:"unread_bytes"`
}

// BoxLimits are what the box allows a process.
type BoxLimits struct {
	MemoryMB    int64 `toml:"memory_mb"`   // 0: that of quota.DefaultBox
	Descriptors int   `toml:"descriptors"` // open files and sockets; 0: that of quota.DefaultBox
}

// check returns an InvalidError if the box is smaller than quota.MinBox.
func (limits BoxLimits) check(name string) error {
	if limits.MemoryMB != 0 && limits.MemoryMB*bytesPerMB < quota.MinBox.Memory {
		return &shedkeel.InvalidError{Where: name, What: fmt.Sprintf("limits.memory_mb is %d", limits.MemoryMB), Remedy: fmt.Sprintf("write the box's memory in MB, at least %d, or leave it out", quota.MinBox.Memory/bytesPerMB)}
	}
	if limits.Descriptors != 0 && limits.Descriptors < quota.MinBox.Descriptors {
		return &shedkeel.InvalidError{Where: name, What: fmt.Sprintf("limits.descriptors is %d", limits.Descriptors), Remedy: fmt.Sprintf("write how many files and sockets the process may open, at least %d, or leave it out", quota.MinBox.Descriptors)}
	}
	return nil
}

// Box returns the box that the limits describe.
func (limits BoxLimits) Box() quota.Box {
	return quota.Box{Memory: limits.MemoryMB * bytesPerMB, Descriptors: limits.Descriptors}
}

// bytesPerMB is the size of a megabyte in limits.memory_mb.
const bytesPerMB = 1_000_000

// DefaultNodeSettings returns the values of keys that a file omits.
func DefaultNodeSettings() NodeSettings {
	return NodeSettings{
		Bounds: NodeBounds{
			Grace: shedkeel.Duration(8 * time.Second), Stall: shedkeel.Duration(5 * time.Second), Revoke: shedkeel.Duration(5 * time.Second), RefuseStaleKeys: true, Directory: shedkeel.Duration(5 * time.Second),
			RetryRatio: 0.2, RetryWindow: shedkeel.Duration(10 * time.Second), RetrySlack: 100,
			MaxBackoff: shedkeel.Duration(10 * time.Minute),
		},
		Overload: NodeOverload{Control: OverloadAuto},
		Log:      LogSettings{Level: "info"},
	}
}

// ReadNodeSettings reads and validates a settings file. The error is an
// InvalidError. An empty Listen.Gossip is set to Listen.Control, and a Limits.UnreadBytes of 0
// to the part of the box that quota.NewPlan gives unread answers.
func ReadNodeSettings(path string) (NodeSettings, error) {
	text, err := ReadFile(path)
	if err != nil {
		return NodeSettings{}, err
	}
	settings := DefaultNodeSettings()
	if err := decode(path, text, &settings); err != nil {
		return NodeSettings{}, err
	}
	if err := settings.check(path); err != nil {
		return settings, err
	}
	if settings.Listen.Gossip == "" {
		settings.Listen.Gossip = settings.Listen.Control
	}
	if settings.Limits.UnreadBytes == 0 {
		plan := quota.NewPlan(settings.Limits.Box())
		settings.Limits.UnreadBytes = plan.UnreadAnswers
	}
	return settings, nil
}

// check returns an InvalidError if a value is invalid. If several values are invalid, the
// error may be about any of them.
func (settings *NodeSettings) check(name string) error {
	for key, value := range map[string]string{"node": string(settings.Node), "zone": string(settings.Zone), "wire.key": settings.Wire.Key} {
		if value == "" {
			return &shedkeel.InvalidError{Where: name, What: key + " is missing", Remedy: "set it"}
		}
	}
	addresses := map[string]string{
		"listen.callers": settings.Listen.Callers, "listen.directory": settings.Listen.Directory,
		"listen.readiness": settings.Listen.Readiness, "listen.control": settings.Listen.Control, "store": settings.Store,
	}
	if settings.Listen.Gossip != "" {
		addresses["listen.gossip"] = settings.Listen.Gossip
	}
	if settings.Listen.Metrics != "" {
		addresses["listen.metrics"] = settings.Listen.Metrics
	}
	for index, seed := range settings.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", index)] = seed
	}
	for key, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &shedkeel.InvalidError{Where: name, What: key + " is no address: " + err.Error(), Remedy: "write it as IP:PORT"}
		}
	}
	switch settings.Overload.Control {
	case OverloadAuto, OverloadOn, OverloadOff:
	default:
		return &shedkeel.InvalidError{Where: name, What: "overload.control is " + strconv.Quote(settings.Overload.Control), Remedy: `write "auto", "on" or "off"`}
	}
	if settings.Capacity < 0 {
		return &shedkeel.InvalidError{Where: name, What: "capacity is negative", Remedy: "write the box's share of a processor core, or leave it out"}
	}
	if settings.Limits.UnreadBytes < 0 {
		return &shedkeel.InvalidError{Where: name, What: "limits.unread_bytes is negative", Remedy: "write a tenth of the box's memory in bytes, or leave it out"}
	}
	if err := settings.Limits.check(name); err != nil {
		return err
	}
	times := map[string]shedkeel.Duration{
		"bounds.grace": settings.Bounds.Grace, "bounds.revoke": settings.Bounds.Revoke,
		"bounds.directory": settings.Bounds.Directory, "bounds.retry_window": settings.Bounds.RetryWindow,
		"bounds.max_backoff": settings.Bounds.MaxBackoff, "bounds.stall": settings.Bounds.Stall,
	}
	for key, value := range times {
		if value <= 0 {
			return &shedkeel.InvalidError{Where: name, What: key + " is not positive", Remedy: `write it as "500ms" or "3s"`}
		}
	}
	return nil
}
