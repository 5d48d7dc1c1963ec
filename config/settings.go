package config

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"shedkeel.org/shedkeel"
)

// Settings are the settings of one entry box. The entry and the keeper of the box read
// the same file.
type Settings struct {
	Node     shedkeel.NodeID  `toml:"node"` // name of this entry box, unique in the fleet
	Zone     shedkeel.ZoneID  `toml:"zone"` // its availability zone
	Entry    EntrySettings    `toml:"entry"`
	Keeper   KeeperSettings   `toml:"keeper"`
	Wire     WireSettings     `toml:"wire"`
	Platform PlatformSettings `toml:"platform"`
	Timing   Timing           `toml:"timing"`
	TLS      TLSSettings      `toml:"tls"`    // for connections from callers and operators
	Limits   BoxLimits        `toml:"limits"` // of each of the two processes
	Log      LogSettings      `toml:"log"`
}

// EntrySettings are the settings of the entry, which serves callers.
type EntrySettings struct {
	Listen       string            `toml:"listen"`     // for callers
	Advertise    string            `toml:"advertise"`  // address under which callers reach the entry; empty: Listen
	Admin        string            `toml:"admin"`      // health, metrics and state, for operators
	DirectoryTTL shedkeel.Duration `toml:"keep_for"`   // how long callers may cache the addresses of entry boxes
	MaxBody      int64             `toml:"max_body"`   // largest request body, in bytes
	MaxCalls     int               `toml:"max_calls"`  // limit of concurrent requests
	DrainTime    shedkeel.Duration `toml:"drain_time"` // limit of the wait for requests in flight on a graceful stop
}

// KeeperSettings are the settings of the keeper, which controls replica groups.
type KeeperSettings struct {
	Operator    string   `toml:"operator"`     // address for operators
	OperatorKey string   `toml:"operator_key"` // secret that operators must present; required
	Peers       []string `toml:"peers"`        // wire addresses of the keepers that the keeper contacts first
}

// WireSettings are the settings of connections between the system's own processes.
type WireSettings struct {
	Listen    string      `toml:"listen"`    // address of the keeper, for its entry and other keepers
	Advertise string      `toml:"advertise"` // address under which other keepers reach the keeper; empty: Listen
	Key       string      `toml:"key"`       // shared secret, the same in all processes of the fleet
	TLS       TLSSettings `toml:"tls"`
}

// PlatformSettings holds the addresses of the platform's services.
type PlatformSettings struct {
	Store   string `toml:"store"`    // host:port of the key-value service
	BoxList string `toml:"box_list"` // host:port of the box list
}

// Timing holds the intervals and time limits of failure detection and coordination. A
// claim is the right to run a call under its idempotency key. Claims are divided into
// shards, each of which one keeper writes.
type Timing struct {
	Tick        shedkeel.Duration `toml:"tick"`         // interval at which a keeper exchanges state with other keepers and plans; keepers probe engines at every second tick
	Sync        shedkeel.Duration `toml:"sync"`         // interval at which an entry polls its keeper
	Permit      shedkeel.Duration `toml:"permit"`       // maximum age of the proof that all members of a group are healthy
	Lease       shedkeel.Duration `toml:"lease"`        // TTL of the planner's lease
	LeaseMargin shedkeel.Duration `toml:"lease_margin"` // largest clock drift between two boxes over the TTL of a lease
	OrderLife   shedkeel.Duration `toml:"order_life"`   // time after which an order must not reach an engine any more
	StoreCall   shedkeel.Duration `toml:"store_call"`   // timeout of a call to the key-value service
	ClaimBatch  shedkeel.Duration `toml:"claim_batch"`  // minimum interval between two batches of claims that are written to one shard
	Retention   shedkeel.Duration `toml:"retention"`    // minimum time for which a claim is kept
}

// TLSSettings are paths of PEM files. Without a certificate TLS is off.
type TLSSettings struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority has the certificate authorities, one of which must have signed the other
	// side's certificate. Empty: a listener requires no certificates of clients, and
	// clients trust the authorities of the system.
	Authority string `toml:"authority"`
}

// LogSettings are the settings of the log on standard error.
type LogSettings struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// DefaultSettings returns the values of keys that a file omits.
func DefaultSettings() Settings {
	return Settings{
		Entry: EntrySettings{
			DirectoryTTL: shedkeel.Duration(5 * time.Second),
			MaxBody:      8 << 20,
			MaxCalls:     4096,
			DrainTime:    shedkeel.Duration(2 * time.Minute),
		},
		Timing: Timing{
			Tick:        shedkeel.Duration(500 * time.Millisecond),
			Sync:        shedkeel.Duration(250 * time.Millisecond),
			Permit:      shedkeel.Duration(3 * time.Second),
			Lease:       shedkeel.Duration(6 * time.Second),
			LeaseMargin: shedkeel.Duration(500 * time.Millisecond),
			OrderLife:   shedkeel.Duration(time.Second),
			StoreCall:   shedkeel.Duration(2 * time.Second),
			ClaimBatch:  shedkeel.Duration(100 * time.Millisecond),
			Retention:   shedkeel.Duration(24 * time.Hour),
		},
		Log: LogSettings{Level: "info"},
	}
}

// ReadSettings reads and validates a settings file. The error is an InvalidError.
func ReadSettings(path string) (Settings, error) {
	text, err := ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, text)
}

// ParseSettings decodes and validates the text of a settings file. An empty Advertise is
// set to Listen of the same table. The name stands for the file in the error, which is an
// InvalidError.
func ParseSettings(name string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	if err := decode(name, text, &settings); err != nil {
		return Settings{}, err
	}
	if settings.Entry.Advertise == "" {
		settings.Entry.Advertise = settings.Entry.Listen
	}
	if settings.Wire.Advertise == "" {
		settings.Wire.Advertise = settings.Wire.Listen
	}
	return settings, settings.check(name)
}

// check returns an InvalidError for the first invalid value.
func (settings *Settings) check(name string) error {
	required := []struct{ key, value string }{
		{"node", string(settings.Node)},
		{"zone", string(settings.Zone)},
		{"wire.key", settings.Wire.Key},
		{"keeper.operator_key", settings.Keeper.OperatorKey},
	}
	for _, setting := range required {
		if setting.value == "" {
			return &shedkeel.InvalidError{Where: name, What: setting.key + " is missing", Remedy: "set it"}
		}
	}
	addresses := []struct{ key, value string }{
		{"entry.listen", settings.Entry.Listen},
		{"entry.advertise", settings.Entry.Advertise},
		{"entry.admin", settings.Entry.Admin},
		{"keeper.operator", settings.Keeper.Operator},
		{"wire.listen", settings.Wire.Listen},
		{"wire.advertise", settings.Wire.Advertise},
		{"platform.store", settings.Platform.Store},
		{"platform.box_list", settings.Platform.BoxList},
	}
	for _, peer := range settings.Keeper.Peers {
		addresses = append(addresses, struct{ key, value string }{"keeper.peers", peer})
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return &shedkeel.InvalidError{Where: name, What: address.key + " is no address: " + err.Error(), Remedy: "write it as IP:PORT"}
		}
	}
	if err := settings.Limits.check(name); err != nil {
		return err
	}
	return settings.checkTimes(name)
}

// checkTimes validates durations and the limits of requests.
func (settings *Settings) checkTimes(name string) error {
	timing := settings.Timing
	times := []struct {
		key   string
		value shedkeel.Duration
	}{
		{"timing.tick", timing.Tick}, {"timing.sync", timing.Sync}, {"timing.permit", timing.Permit},
		{"timing.lease", timing.Lease}, {"timing.lease_margin", timing.LeaseMargin}, {"timing.order_life", timing.OrderLife},
		{"timing.store_call", timing.StoreCall}, {"timing.claim_batch", timing.ClaimBatch}, {"timing.retention", timing.Retention},
		{"entry.keep_for", settings.Entry.DirectoryTTL}, {"entry.drain_time", settings.Entry.DrainTime},
	}
	for _, setting := range times {
		if setting.value <= 0 {
			return &shedkeel.InvalidError{Where: name, What: setting.key + " is not positive", Remedy: `write it as "500ms" or "3s"`}
		}
	}
	// A permit must outlast the sum of three times: two ticks between two rounds of probes,
	// one tick between two exchanges of a keeper, and two polls by the entry.
	if timing.Permit < 3*timing.Tick+2*timing.Sync {
		return &shedkeel.InvalidError{Where: name, What: "timing.permit is shorter than three times timing.tick plus twice timing.sync", Remedy: "lengthen it, or permits run out between renewals"}
	}
	// A keeper with a lease plans once per tick, and sends no orders in the last LeaseMargin
	// plus OrderLife of the lease's TTL. A TTL of twice LeaseMargin, OrderLife and Tick
	// together leaves at least half of the TTL for orders.
	if timing.Lease < 2*(timing.LeaseMargin+timing.OrderLife+timing.Tick) {
		return &shedkeel.InvalidError{Where: name, What: "timing.lease is too short for timing.lease_margin, timing.order_life and timing.tick", Remedy: "make it at least twice their sum"}
	}
	if settings.Entry.MaxBody <= 0 || settings.Entry.MaxCalls <= 0 {
		return &shedkeel.InvalidError{Where: name, What: "entry.max_body and entry.max_calls must be positive", Remedy: "leave them out for the defaults"}
	}
	return nil
}

// ServerConfig returns the TLS configuration for a listener, or nil if TLS is off.
func (settings TLSSettings) ServerConfig() (*tls.Config, error) {
	return settings.load()
}

// ClientConfig returns the TLS configuration for outgoing connections, or nil if TLS is off.
func (settings TLSSettings) ClientConfig() (*tls.Config, error) {
	return settings.load()
}

// load reads the files and returns a configuration for both sides of connections, or nil
// if TLS is off. With an authority, both sides must present a certificate that the
// authority signed. The error is an InvalidError.
func (settings TLSSettings) load() (*tls.Config, error) {
	if settings.Certificate == "" {
		return nil, nil //nolint:nilnil // a nil configuration is a valid result: TLS is off
	}
	pair, err := tls.LoadX509KeyPair(settings.Certificate, settings.Key)
	if err != nil {
		return nil, &shedkeel.InvalidError{Where: settings.Certificate, What: err.Error(), Remedy: "name a PEM certificate and its key"}
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if settings.Authority == "" {
		return config, nil
	}
	certificates, err := os.ReadFile(settings.Authority)
	if err != nil {
		return nil, &shedkeel.InvalidError{Where: settings.Authority, What: err.Error(), Remedy: "name a PEM file of authorities"}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(certificates) {
		return nil, &shedkeel.InvalidError{Where: settings.Authority, What: "it holds no certificate", Remedy: "name a PEM file of authorities"}
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
