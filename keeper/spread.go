package keeper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/wire"
)

const (
	// maxFullExchange is the number of peers up to which a keeper exchanges with
	// all of them on every tick.
	maxFullExchange = 4
	// sampledPeers is how many random peers a keeper exchanges with on each tick if
	// it has more than maxFullExchange.
	sampledPeers = 3
	// storeWatchersPerZone is how many keepers of each zone are its store watchers,
	// which watch the key-value service and the box list. The others receive the
	// records and the leaving boxes from them by exchanges.
	storeWatchersPerZone = 2
)

// tickExchange advances this node's heartbeat if that is due, evicts dead nodes from
// the table, and fetches newer state from all other keepers, or from sampledPeers of
// them if there are more than maxFullExchange. If the entry on this box has not synced
// within the permit window, tickExchange first marks this node as stopping.
func (keeper *Keeper) tickExchange(ctx context.Context, now time.Duration) {
	keeper.mutex.Lock()
	if now-keeper.lastSync > keeper.permitWindow() {
		keeper.table.Self.Stopping = true // other entries must no longer list this box's entry for callers
	}
	keeper.table.AdvanceHeartbeat(now)
	keeper.table.EvictDead(now)
	addresses := keeper.peerAddresses(now)
	keeper.mutex.Unlock()
	if len(addresses) > maxFullExchange {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:sampledPeers]
	}
	var pending sync.WaitGroup
	for _, address := range addresses {
		pending.Go(func() { keeper.exchangeWith(ctx, address) })
	}
	pending.Wait()
}

// peerAddresses returns the wire addresses of the other keepers, from the
// settings and from the live nodes. The mutex must be held.
func (keeper *Keeper) peerAddresses(now time.Duration) []string {
	seen := map[string]bool{keeper.Settings.Wire.Advertise: true}
	var addresses []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range keeper.Settings.Keeper.Peers {
		add(address)
	}
	for _, node := range keeper.table.Live(now) {
		add(node.Wire)
	}
	return addresses
}

// exchangeWith fetches newer state from one keeper and merges it. If the settings list
// peers, this keeper is settled once the keepers that have answered and this one are
// more than half of the listed peers and this one. A keeper that is not listed counts
// like one that is.
func (keeper *Keeper) exchangeWith(ctx context.Context, address string) {
	sent := keeper.Timers.Now()
	keeper.mutex.Lock()
	request := keeper.table.ExchangeCall(sent)
	keeper.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeper.permitWindow()/2)
	defer cancel()
	reply, err := keeper.peer(address).Do(ctx, &wire.Call{Kind: &wire.Call_Exchange{Exchange: request}})
	keeper.recordPeerState(address, err)
	if err != nil {
		return
	}
	keeper.mutex.Lock()
	changed := keeper.table.MergeReply(reply.GetExchange(), sent, keeper.Timers.Now())
	for _, record := range changed {
		keeper.advertiseConfig(record)
	}
	keeper.answeredPeers[address] = true
	listed := len(keeper.Settings.Keeper.Peers)
	majority := listed > 0 && 2*(len(keeper.answeredPeers)+1) > listed+1
	keeper.mutex.Unlock()
	if majority {
		keeper.markSettled("majority of listed keepers")
	}
}

// recordPeerState stores whether the last exchange with a peer failed, and logs when
// the peer becomes unavailable or available again.
func (keeper *Keeper) recordPeerState(address string, err error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.unreachable[address] == (err != nil) {
		return
	}
	keeper.unreachable[address] = err != nil
	if err != nil {
		keeper.Log.Write(event.KeeperUnavailable, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	keeper.Log.Write(event.KeeperAvailable, slog.String("address", address))
}

// peer returns the wire peer for a keeper's address, and creates it on first use.
func (keeper *Keeper) peer(address string) *wire.Peer {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	peer := keeper.peers[address]
	if peer == nil {
		clientTLS, err := keeper.Settings.Wire.TLS.ClientConfig()
		if err != nil {
			clientTLS = nil // cannot happen: the settings were validated at start
		}
		peer = &wire.Peer{Address: address, Key: keeper.Settings.Wire.Key, TLS: clientTLS, Handler: keeper}
		keeper.peers[address] = peer
	}
	return peer
}

// loopWatchStore watches the key-value service while this keeper is a store watcher or
// not yet settled. It starts a new watch one tick after the last one ended.
func (keeper *Keeper) loopWatchStore(ctx context.Context) {
	tick := time.Duration(keeper.Settings.Timing.Tick)
	for ctx.Err() == nil {
		if keeper.isStoreWatcher() || !keeper.isSettled() {
			keeper.watchStore(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
}

func (keeper *Keeper) isSettled() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.settled
}

// isStoreWatcher reports whether this keeper is one of the store watchers of its zone.
func (keeper *Keeper) isStoreWatcher() bool {
	rank, isCandidate := member.RankOf(keeper.Settings.Node, "watch/"+string(keeper.Settings.Zone), keeper.Settings.Zone, keeper.liveNodes(keeper.Timers.Now()))
	return isCandidate && rank < storeWatchersPerZone
}

// watchStore watches the key-value service until the watch fails. Once every permit
// window, it ends the watch if this keeper is not a store watcher. After the time
// limit of a store call, it calls settleFromStore once.
func (keeper *Keeper) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := keeper.Timers.Subscribe(time.Duration(keeper.Settings.Timing.Permit), func(time.Duration) {
		if !keeper.isStoreWatcher() {
			cancel()
		}
	})
	defer stop()
	settleTimer := time.AfterFunc(time.Duration(keeper.Settings.Timing.StoreCall), func() { keeper.settleFromStore() })
	defer settleTimer.Stop()
	err := keeper.Store.Watch(ctx, member.KeyPrefix, keeper.handleStoreRecord)
	if ctx.Err() == nil {
		keeper.recordStoreState(err)
	}
}

// settleFromStore marks the keeper as settled if it can read from the key-value
// service. It covers a service without a configuration record: handleStoreRecord marks
// the keeper as settled only when the watch reports that record.
func (keeper *Keeper) settleFromStore() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(keeper.Settings.Timing.StoreCall))
	defer cancel()
	if _, err := keeper.Store.Get(ctx, member.KeyConfig); err == nil {
		keeper.recordStoreState(nil)
		keeper.markSettled("key-value service")
	}
}

// recordStoreState stores whether a call to the key-value service failed, and logs
// when the service becomes unavailable or available again.
func (keeper *Keeper) recordStoreState(err error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.storeUnavailable == (err != nil) {
		return
	}
	keeper.storeUnavailable = err != nil
	if err != nil {
		keeper.Log.Write(event.StoreUnavailable, slog.String("error", err.Error()))
		return
	}
	keeper.Log.Write(event.StoreAvailable)
}

// handleStoreRecord merges a record reported by the watch. If its generation is lower
// than that of the record in force, handleStoreRecord writes the latter back instead.
// A deleted record counts as one with generation 0. An invalid record is logged and
// ignored. A configuration that is not written back marks the keeper as settled.
func (keeper *Keeper) handleStoreRecord(stored shedkeel.Record) {
	keeper.recordStoreState(nil)
	record, err := member.ParseRecord(stored)
	if !stored.Revision.Exists() {
		record = member.Record{Key: stored.Key}
		err = nil
	}
	if err != nil {
		keeper.Log.Write(event.RecordInvalid, slog.String("error", err.Error()))
		return
	}
	keeper.mutex.Lock()
	known := keeper.table.Record(record.Key)
	keeper.mutex.Unlock()
	if record.Generation < known.Generation {
		keeper.writeBack(stored, known)
		return
	}
	keeper.mergeRecord(record)
	if record.Key == member.KeyConfig {
		keeper.markSettled("key-value service")
	}
}

// writeBack stores the record in force again after the key-value service was restored
// from older data or the key was deleted. It skips leases: the next holder overwrites
// them.
func (keeper *Keeper) writeBack(stored shedkeel.Record, known member.Record) {
	isLease := len(known.Key) > len(member.KeyLeases) && known.Key[:len(member.KeyLeases)] == member.KeyLeases
	if isLease {
		return
	}
	keeper.Log.Write(event.StoreOlder, slog.String("key", known.Key), slog.Uint64("in_force", known.Generation))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(keeper.Settings.Timing.StoreCall))
	defer cancel()
	revision, err := keeper.Store.Swap(ctx, known.Key, stored.Revision, known.Value)
	if err != nil {
		return // another keeper has written it back, or the next watch reports the old record again
	}
	known.Revision = revision
	keeper.mergeRecord(known)
	keeper.Log.Write(event.StoreHealed, slog.String("key", known.Key), slog.Uint64("generation", known.Generation))
}

// tickBoxes reads the box list if this keeper is a store watcher or holds the lease of
// any zone. If the read fails, the last list stays.
func (keeper *Keeper) tickBoxes(ctx context.Context, _ time.Duration) {
	if !keeper.holdsAnyLease() && !keeper.isStoreWatcher() {
		return
	}
	boxes, err := keeper.BoxList.Boxes(ctx)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if err != nil {
		keeper.recordBoxListError(err)
		return
	}
	keeper.unreachable["box list"] = false
	keeper.boxes = boxes
}

// holdsAnyLease reports whether this keeper held the lease of any zone at that zone's
// last tick.
func (keeper *Keeper) holdsAnyLease() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, zone := range keeper.planners {
		if zone.epoch != 0 {
			return true
		}
	}
	return false
}

// recordBoxListError logs a failed read of the box list, unless the previous read
// failed too. The mutex must be held.
func (keeper *Keeper) recordBoxListError(err error) {
	if !keeper.unreachable["box list"] {
		keeper.Log.Write(event.BoxListUnavailable, slog.String("error", err.Error()))
	}
	keeper.unreachable["box list"] = true
}
