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
	// allPeers is up to how many keepers each asks all others every tick.
	allPeers = 4
	// somePeers is how many it asks when there are more.
	somePeers = 3
	// storeWatchers is how many keepers of each zone watch the key-value
	// service and the box list; the others learn from them.
	storeWatchers = 2
)

// tickExchange asks other keepers for what is newer there.
func (keeper *Keeper) tickExchange(ctx context.Context, now time.Duration) {
	keeper.mutex.Lock()
	if now-keeper.synced > keeper.window() {
		keeper.table.Self.Stopping = true // no caller should be sent to an entry that is gone
	}
	keeper.table.Beat(now)
	keeper.table.Forget(now)
	addresses := keeper.addresses(now)
	keeper.mutex.Unlock()
	if len(addresses) > allPeers {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:somePeers]
	}
	var asked sync.WaitGroup
	for _, address := range addresses {
		asked.Go(func() { keeper.exchange(ctx, address) })
	}
	asked.Wait()
}

// addresses returns the wire addresses of the other keepers: those in the
// settings and those heard of. The mutex is held.
func (keeper *Keeper) addresses(now time.Duration) []string {
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

func (keeper *Keeper) exchange(ctx context.Context, address string) {
	sent := keeper.Timers.Now()
	keeper.mutex.Lock()
	ask := keeper.table.Ask(sent)
	keeper.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeper.window()/2)
	defer cancel()
	reply, err := keeper.peer(address).Do(ctx, &wire.Call{Kind: &wire.Call_Exchange{Exchange: ask}})
	keeper.noteAway(address, err)
	if err != nil {
		return
	}
	keeper.mutex.Lock()
	changed := keeper.table.Take(reply.GetExchange(), sent, keeper.Timers.Now())
	for _, record := range changed {
		keeper.noteConfig(record)
	}
	keeper.heard[address] = true
	listed := len(keeper.Settings.Keeper.Peers)
	enough := listed > 0 && 2*(len(keeper.heard)+1) > listed+1
	keeper.mutex.Unlock()
	if enough {
		keeper.settle("majority of listed keepers")
	}
}

func (keeper *Keeper) noteAway(address string, err error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.away[address] == (err != nil) {
		return
	}
	keeper.away[address] = err != nil
	if err != nil {
		keeper.Log.Write(event.KeeperAway, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	keeper.Log.Write(event.KeeperBack, slog.String("address", address))
}

func (keeper *Keeper) peer(address string) *wire.Peer {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	peer := keeper.peers[address]
	if peer == nil {
		clientTLS, err := keeper.Settings.Wire.TLS.Client()
		if err != nil {
			clientTLS = nil // the same settings were checked when the process began
		}
		peer = &wire.Peer{Address: address, Key: keeper.Settings.Wire.Key, TLS: clientTLS, Handler: keeper}
		keeper.peers[address] = peer
	}
	return peer
}

// loopWatch follows the key-value service while this keeper is one of those
// that watch it for the zone. A keeper that is not reads it once, to settle.
func (keeper *Keeper) loopWatch(ctx context.Context) {
	tick := time.Duration(keeper.Settings.Timing.Tick)
	for ctx.Err() == nil {
		if keeper.isWatcher() || !keeper.isSettled() {
			keeper.watch(ctx)
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

// isWatcher reports whether this keeper watches the platform for its zone.
func (keeper *Keeper) isWatcher() bool {
	place, found := member.Place(keeper.Settings.Node, "watch/"+string(keeper.Settings.Zone), keeper.Settings.Zone, keeper.live(keeper.Timers.Now()))
	return found && place < storeWatchers
}

// watch follows the service until it fails or this keeper is no longer one of
// its watchers.
func (keeper *Keeper) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := keeper.Timers.Subscribe(time.Duration(keeper.Settings.Timing.Permit), func(time.Duration) {
		if !keeper.isWatcher() {
			cancel()
		}
	})
	defer stop()
	present := time.AfterFunc(time.Duration(keeper.Settings.Timing.StoreCall), func() { keeper.settleIfRead() })
	defer present.Stop()
	err := keeper.Store.Watch(ctx, member.KeyPrefix, keeper.seen)
	if ctx.Err() == nil {
		keeper.noteStore(err)
	}
}

// settleIfRead settles a keeper whose service holds no record at all.
func (keeper *Keeper) settleIfRead() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(keeper.Settings.Timing.StoreCall))
	defer cancel()
	if _, err := keeper.Store.Get(ctx, member.KeyConfig); err == nil {
		keeper.noteStore(nil)
		keeper.settle("key-value service")
	}
}

func (keeper *Keeper) noteStore(err error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.storeOut == (err != nil) {
		return
	}
	keeper.storeOut = err != nil
	if err != nil {
		keeper.Log.Write(event.StoreAway, slog.String("error", err.Error()))
		return
	}
	keeper.Log.Write(event.StoreBack)
}

// seen takes in a record of the key-value service.
func (keeper *Keeper) seen(stored shedkeel.Record) {
	keeper.noteStore(nil)
	record, err := member.ParseRecord(stored)
	if !stored.Revision.Exists() {
		record = member.Record{Key: stored.Key}
		err = nil
	}
	if err != nil {
		keeper.Log.Write(event.RecordBad, slog.String("error", err.Error()))
		return
	}
	keeper.mutex.Lock()
	known := keeper.table.Record(record.Key)
	keeper.mutex.Unlock()
	if record.Generation < known.Generation {
		keeper.heal(stored, known)
		return
	}
	keeper.merge(record)
	if record.Key == member.KeyConfig {
		keeper.settle("key-value service")
	}
}

// heal writes the record in force back when the service was restored from
// older data. Leases heal by their next holder.
func (keeper *Keeper) heal(stored shedkeel.Record, known member.Record) {
	isLease := len(known.Key) > len(member.KeyLeases) && known.Key[:len(member.KeyLeases)] == member.KeyLeases
	if isLease {
		return
	}
	keeper.Log.Write(event.StoreOlder, slog.String("key", known.Key), slog.Uint64("in_force", known.Generation))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(keeper.Settings.Timing.StoreCall))
	defer cancel()
	revision, err := keeper.Store.Swap(ctx, known.Key, stored.Revision, known.Value)
	if err != nil {
		return // another keeper was faster, or the next watch shows it again
	}
	known.Revision = revision
	keeper.merge(known)
	keeper.Log.Write(event.StoreHealed, slog.String("key", known.Key), slog.Uint64("generation", known.Generation))
}

// tickBoxes reads the box list while this keeper watches for its zone or plans
// one.
func (keeper *Keeper) tickBoxes(ctx context.Context, _ time.Duration) {
	if !keeper.plans() && !keeper.isWatcher() {
		return
	}
	boxes, err := keeper.BoxList.Boxes(ctx)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if err != nil {
		keeper.noteBoxList(err)
		return
	}
	keeper.away["box list"] = false
	keeper.boxes = boxes
}

// plans reports whether this keeper holds the lease of any zone.
func (keeper *Keeper) plans() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, zone := range keeper.zones {
		if zone.epoch != 0 {
			return true
		}
	}
	return false
}

// noteBoxList logs that the list is away, once. The mutex is held.
func (keeper *Keeper) noteBoxList(err error) {
	if !keeper.away["box list"] {
		keeper.Log.Write(event.BoxListAway, slog.String("error", err.Error()))
	}
	keeper.away["box list"] = true
}
