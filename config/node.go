package config

import (
	"fmt"
	"net"
	"time"

	"shedkeel.org/shedkeel"
)

// NodeSettings are the settings of a node that serves callers and controls
// replica groups in one process.
type NodeSettings struct {
	Node   shedkeel.NodeID `toml:"node"` // unique in the fleet
	Zone   shedkeel.ZoneID `toml:"zone"` // its availability zone
	Listen NodeListen      `toml:"listen"`
	Store  string          `toml:"store"` // host:port of the key-value service
	// Seeds are control addresses of other nodes, IP:PORT. A node that knows
	// nothing yet asks them, beside the key-value service. Some may be down.
	Seeds []string `toml:"seeds"`
	// Capacity is how much of a processor core the box has for the node. Those
	// with most follow the service and plan, for all.
	Capacity float64     `toml:"capacity"`
	Wire     NodeWire    `toml:"wire"`
	Bounds   NodeBounds  `toml:"bounds"`
	Log      LogSettings `toml:"log"`
}

// NodeListen are the addresses of a node, each IP:PORT.
type NodeListen struct {
	Callers   string `toml:"callers"`
	Directory string `toml:"directory"` // tells callers which addresses to use
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"` // for other nodes
	// Gossip is where datagrams of other nodes come that ask whether this one
	// lives. Empty: the port of Control.
	Gossip  string `toml:"gossip"`
	Metrics string `toml:"metrics"` // empty: none
}

// NodeWire is the way between nodes.
type NodeWire struct {
	Key string `toml:"key"` // the same on all nodes
}

// NodeBounds are what the platform's operators promise their callers.
type NodeBounds struct {
	Grace  shedkeel.Duration `toml:"grace"`  // from SIGTERM to the kill
	Revoke shedkeel.Duration `toml:"revoke"` // from the removal of a key until no request runs with it
	// RefuseStaleKeys has requests with keys refused before Revoke is over
	// since the node last had proof of its configuration. Without it they are
	// served by the newest configuration that the node knows, and a removed key
	// may work for as long as the key-value service is out of reach.
	RefuseStaleKeys bool              `toml:"refuse_stale_keys"`
	Directory       shedkeel.Duration `toml:"directory"`    // longest that a directory answer counts
	RetryRatio      float64           `toml:"retry_ratio"`  // repeats for each request, over all nodes
	RetryWindow     shedkeel.Duration `toml:"retry_window"` // in which they are counted
	RetrySlack      float64           `toml:"retry_slack"`  // repeats allowed besides
	// MaxBackoff is for how long a backend server that asks for a backoff gets no
	// requests at most, so that one which states years is not lost.
	MaxBackoff shedkeel.Duration `toml:"max_backoff"`
}

// DefaultNodeSettings returns what holds for keys that a file leaves out.
func DefaultNodeSettings() NodeSettings {
	return NodeSettings{
		Bounds: NodeBounds{
			Grace: shedkeel.Duration(8 * time.Second), Revoke: shedkeel.Duration(5 * time.Second), RefuseStaleKeys: true, Directory: shedkeel.Duration(5 * time.Second),
			RetryRatio: 0.2, RetryWindow: shedkeel.Duration(10 * time.Second), RetrySlack: 100,
			MaxBackoff: shedkeel.Duration(10 * time.Minute),
		},
		Log: LogSettings{Level: "info"},
	}
}

// ReadNodeSettings reads and checks a file of settings. Its error is an
// InvalidError.
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
	return settings, nil
}

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
	if settings.Capacity < 0 {
		return &shedkeel.InvalidError{Where: name, What: "capacity is negative", Remedy: "write the box's share of a processor core, or leave it out"}
	}
	times := map[string]shedkeel.Duration{
		"bounds.grace": settings.Bounds.Grace, "bounds.revoke": settings.Bounds.Revoke,
		"bounds.directory": settings.Bounds.Directory, "bounds.retry_window": settings.Bounds.RetryWindow,
		"bounds.max_backoff": settings.Bounds.MaxBackoff,
	}
	for key, value := range times {
		if value <= 0 {
			return &shedkeel.InvalidError{Where: name, What: key + " is not positive", Remedy: `write it as "500ms" or "3s"`}
		}
	}
	return nil
}
