package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/transfer"
	"shedkeel.org/shedkeel/wire"
)

// configCopy is the active configuration as operators wrote it. The key-value service has an
// older configuration if it was restored from a snapshot and operators have not written the
// newer configuration again yet. Nodes that start in the meantime get the newer configuration
// from other nodes. The zero value has no configuration.
type configCopy struct {
	mutex      sync.Mutex
	value      []byte // value of the configuration record; nil: no configuration
	compressed []byte // value, compressed; nil: not computed yet

	newerThanStore atomic.Bool // the key-value service has an older configuration than this node
	fetching       atomic.Bool // a request to another node for a newer configuration is running
}

// set replaces the configuration by the value of another configuration record.
func (configCopy *configCopy) set(value []byte) {
	configCopy.mutex.Lock()
	defer configCopy.mutex.Unlock()
	configCopy.value, configCopy.compressed = value, nil
}

// compress returns the configuration in the compressed form in which nodes send it to each
// other, or nil if there is no configuration.
func (configCopy *configCopy) compress() []byte {
	configCopy.mutex.Lock()
	defer configCopy.mutex.Unlock()
	if configCopy.compressed == nil && configCopy.value != nil {
		packed, err := transfer.Deflate(configCopy.value)
		if err != nil {
			return nil // never happens: a write to memory does not fail
		}
		configCopy.compressed = packed
	}
	return configCopy.compressed
}

// configState returns the active configuration and when it was last proven current.
func (fleet *fleet) configState() serve.ConfigState {
	if config := fleet.config.Load(); config != nil {
		return *config
	}
	return serve.ConfigState{}
}

// view returns the active configuration, or nil if there is none.
func (fleet *fleet) view() *serve.View { return fleet.configState().View }

// setView makes a configuration active. Its proof is that of the former one, and so older. The caller holds the mutex.
func (fleet *fleet) setView(view *serve.View) {
	fleet.config.Store(&serve.ConfigState{View: view, ProvenAt: fleet.configState().ProvenAt})
}

// confirm records that all that was derived from the copy of the records has the changes that the key-value service had made by
// state.AsOf. The mirror calls it after each update.
func (fleet *fleet) confirm(state mirror.State) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.config.Store(&serve.ConfigState{View: fleet.view(), ProvenAt: state.AsOf})
}

// configVersion returns the version of the active configuration, or 0 if no configuration is
// active.
func (fleet *fleet) configVersion() int64 {
	if view := fleet.view(); view != nil {
		return view.Config.Version
	}
	return 0
}

// applyConfigRecord applies the key-value service's configuration record and reports whether its
// configuration became active. It skips a record that was removed, is invalid or is not newer
// (see activateConfig); the active configuration then stays in use. A valid record also updates
// newerThanStore. The caller holds the mutex.
func (fleet *fleet) applyConfigRecord(record shedkeel.Record) bool {
	if record.Removed {
		fleet.skipRecord(record, &shedkeel.InvalidError{Where: record.Key, What: "it was removed", Remedy: "write a configuration"})
		return false
	}
	config, err := fleet.node.Decoder.Config(record.Value)
	if err != nil {
		fleet.skipRecord(record, err)
		return false
	}
	fleet.activeConfig.newerThanStore.Store(config.Version < fleet.configVersion())
	return fleet.activateConfig(config, record)
}

// activateConfig makes a configuration active if none is active yet or if its version is
// higher than the active one's, and reports whether it did. Otherwise it skips the record,
// which contains the configuration. The caller holds the mutex.
func (fleet *fleet) activateConfig(config *shedkeel.ServingConfig, record shedkeel.Record) bool {
	if fleet.view() != nil && config.Version <= fleet.configVersion() {
		fleet.skipRecord(record, &shedkeel.InvalidError{Where: record.Key, What: "its version is not newer than the one in force", Remedy: "raise it"})
		return false
	}
	fleet.setView(serve.NewView(config))
	fleet.activeConfig.set(record.Value)
	fleet.node.Log.Write(event.ServingConfigInForce, slog.Int64("version", config.Version), slog.String("revision", record.Revision.String()), slog.Int("routes", len(config.Routes)))
	return true
}

// newerConfig returns the active configuration, compressed, for a node whose configuration
// has the given version. It returns nil unless the active configuration is newer than both
// that node's and the key-value service's.
func (fleet *fleet) newerConfig(version int64) []byte {
	if version >= fleet.configVersion() || !fleet.activeConfig.newerThanStore.Load() {
		return nil
	}
	return fleet.activeConfig.compress()
}

// receiveConfig activates a configuration that another node has sent. It skips one that is
// invalid or not newer than the active configuration. Nodes send only configurations that are
// newer than the key-value service's (see newerConfig).
func (fleet *fleet) receiveConfig(packed []byte, from shedkeel.NodeID) {
	record := shedkeel.Record{Key: fleet.node.Decoder.ConfigKey()}
	value, err := transfer.Inflate(packed, transfer.MaxValueSize)
	if err != nil {
		fleet.skipRecord(record, fmt.Errorf("node %s: %w", from, err))
		return
	}
	record.Value = value
	config, err := fleet.node.Decoder.Config(value)
	if err != nil {
		fleet.skipRecord(record, fmt.Errorf("node %s: %w", from, err))
		return
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.activateConfig(config, record) {
		fleet.activeConfig.newerThanStore.Store(true)
		fleet.propagate(true, false) // the dispatch table depends on the configuration; the nodes have not changed
	}
}

// fetchConfig processes the version that the node with the ID has stated for its configuration.
// If that version is newer than this node's, fetchConfig starts a request for that node's
// configuration. It does nothing if this node has no configuration yet, a fetch is running, or
// the other node is not listed.
func (peers *peers) fetchConfig(id shedkeel.NodeID, version int64) {
	fleet := &peers.node.fleet
	own := fleet.configVersion()
	if own == 0 || version <= own || !fleet.activeConfig.fetching.CompareAndSwap(false, true) {
		return
	}
	peer := peers.peer(id)
	if peer == nil {
		fleet.activeConfig.fetching.Store(false)
		return
	}
	go peer.runFetchConfig()
}

// runFetchConfig asks the peer for an update and waits at most a second for the reply. If the
// peer's configuration is newer than this node's and than the key-value service's, the reply
// contains that configuration (see newerConfig), and requestUpdate applies it.
func (peer *peer) runFetchConfig() {
	defer peer.node.fleet.activeConfig.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at := peer.node.mirror.State().At
	_, _ = peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: at.Era, Since: at.Number}) // the records in the reply are ignored: node.follower requests them itself
}
