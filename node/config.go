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
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/transfer"
	"shedkeel.org/shedkeel/wire"
)

// activeConfigCopy is the configuration in force as operators wrote it. The key-value service
// may have an older one, when it has come back from a copy and they have not written
// theirs again; nodes that start then are told by others. The zero value is none.
type activeConfigCopy struct {
	mutex      sync.Mutex
	value      []byte
	compressed []byte // the same compressed; nil: not yet

	newerThanStore atomic.Bool // the service has an older one
	fetching       atomic.Bool // another node is being asked for a newer one
}

func (kept *activeConfigCopy) set(value []byte) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	kept.value, kept.compressed = value, nil
}

// compress returns the configuration as it is told, or nil if there is none.
func (kept *activeConfigCopy) compress() []byte {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	if kept.compressed == nil && kept.value != nil {
		packed, err := transfer.Deflate(kept.value)
		if err != nil {
			return nil // memory never fails to be written to
		}
		kept.compressed = packed
	}
	return kept.compressed
}

// configVersion returns the configVersion of the configuration in force; 0: none.
func (fleet *fleet) configVersion() int64 {
	if view := fleet.view.Load(); view != nil {
		return view.Config.Version
	}
	return 0
}

// applyConfigRecord takes in the configuration that the key-value service has, and reports
// whether it is in force now.
func (fleet *fleet) applyConfigRecord(record shedkeel.Record) bool {
	if record.Gone {
		fleet.skipped(record, &shedkeel.InvalidError{Where: record.Key, What: "it was removed", Remedy: "write a configuration"})
		return false
	}
	config, err := fleet.node.Decoder.Config(record.Value)
	if err != nil {
		fleet.skipped(record, err)
		return false
	}
	fleet.activeConfig.newerThanStore.Store(config.Version < fleet.configVersion())
	return fleet.activateConfig(config, record)
}

// activateConfig puts a configuration in force if it is newer than the one that is. The mutex
// is held.
func (fleet *fleet) activateConfig(config *shedkeel.ServingConfig, record shedkeel.Record) bool {
	if fleet.view.Load() != nil && config.Version <= fleet.configVersion() {
		fleet.skipped(record, &shedkeel.InvalidError{Where: record.Key, What: "its version is not newer than the one in force", Remedy: "raise it"})
		return false
	}
	fleet.view.Store(serve.NewView(config))
	fleet.activeConfig.set(record.Value)
	fleet.node.Log.Write(event.ViewChanged, slog.Int64("version", config.Version), slog.String("revision", record.Revision.String()), slog.Int("routes", len(config.Routes)))
	return true
}

// newerConfig returns the configuration in force, compressed, for a node that has an
// older one, where the key-value service has an older one too. Otherwise nil.
func (fleet *fleet) newerConfig(version int64) []byte {
	if version >= fleet.configVersion() || !fleet.activeConfig.newerThanStore.Load() {
		return nil
	}
	return fleet.activeConfig.compress()
}

// receiveConfig takes in the configuration that another node has in force.
func (fleet *fleet) receiveConfig(packed []byte, from shedkeel.NodeID) {
	record := shedkeel.Record{Key: fleet.node.Decoder.ConfigKey()}
	value, err := transfer.Inflate(packed, transfer.MaxValue)
	if err != nil {
		fleet.skipped(record, fmt.Errorf("node %s: %w", from, err))
		return
	}
	record.Value = value
	config, err := fleet.node.Decoder.Config(value)
	if err != nil {
		fleet.skipped(record, fmt.Errorf("node %s: %w", from, err))
		return
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.activateConfig(config, record) {
		fleet.activeConfig.newerThanStore.Store(true)
		fleet.propagate(true, false)
	}
}

// fetchConfig asks a node that has a newer configuration in force for it.
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

func (peer *peer) runFetchConfig() {
	defer peer.node.fleet.activeConfig.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at := peer.node.mirror.State().At
	_, _ = peer.requestUpdate(ctx, &wire.RelayCall{SinceEra: at.Era, Since: at.Number}) // what it tells else is followed elsewhere
}
