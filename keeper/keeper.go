// Package keeper is the control-plane process of an entry box, a box that runs
// shedkeel itself: an entry, which is the proxy for callers, and a keeper. A keeper
// watches the key-value service, exchanges records with the other keepers, probes
// groups, and, for each availability zone whose lease it holds, plans the groups and
// sends orders to the boxes. While the key-value service is not available, the last
// holder of an expired lease may still replace lost members by reserve boxes; see
// canFallBack. The decisions are made in the packages member, lease, group and claim;
// this package connects them to clocks and sockets.
//
// A placement or configuration is agreed once it is written to the key-value service
// by compare-and-swap. The record in force of a key is the one with the highest
// generation that this keeper knows.
package keeper

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/claim"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/group"
	"shedkeel.org/shedkeel/intake"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/wire"
)

// Keeper is the control-plane process of one entry box. Set its exported fields
// before calling Run.
type Keeper struct {
	Settings config.Settings
	Store    shedkeel.Store
	BoxList  shedkeel.BoxList
	Engines  shedkeel.Engines
	Timers   shedkeel.Timers
	Log      *event.Log
	Metrics  *metrics.Metrics
	Now      func() time.Time // wall clock, for the retention of claims and the incarnation

	// mutex guards the fields below down to storeUnavailable. It also guards the
	// epoch, policyTable and decisions of each zonePlanner, which the planner's own
	// tick writes with the mutex held and may read without it.
	mutex            sync.Mutex
	table            member.Table
	settled          bool            // see markSettled
	answeredPeers    map[string]bool // by address: peers that have answered an exchange
	entrySession     *wire.Session   // connection from the entry on this box
	entryIncarnation string          // incarnation of that entry
	lastSync         time.Duration   // when the entry on this box last polled this keeper by a sync call
	boxes            []shedkeel.Box  // last box list read
	planners         map[shedkeel.ZoneID]*zonePlanner
	verdicts         map[shedkeel.GroupID]shedkeel.Verdict // this keeper's last verdict on each group that it watches
	downSince        map[shedkeel.GroupID]time.Duration    // when status first saw each group that is not whole
	digestSequence   uint64                                // Sequence of this keeper's last digest
	peers            map[string]*wire.Peer
	unreachable      map[string]bool // by wire address of a keeper: whether the last exchange failed; by "box list": whether the last read failed
	storeUnavailable bool            // whether the last call that recordStoreState was told of failed

	committers []*claim.Committer
	prober     *prober
	background sync.WaitGroup
}

// slowLoopTicks is the interval, in ticks, between probe rounds and between reads of
// the box list. Probing takes most of a keeper's processor time, so a keeper does not
// probe on every tick. Reading the box list more often would gain nothing, because the
// list lags behind the boxes by more than this interval.
const slowLoopTicks = 2

// Listeners are the sockets on which a keeper accepts connections.
type Listeners struct {
	Wire     net.Listener
	Operator net.Listener
}

// Run serves until ctx is canceled, then closes its connections and waits for
// its goroutines. It returns an error only if it cannot start.
func (keeper *Keeper) Run(ctx context.Context, listeners Listeners) error {
	if err := keeper.initialize(); err != nil {
		return err
	}
	serverTLS, err := keeper.Settings.Wire.TLS.ServerConfig()
	if err != nil {
		return err
	}
	gate := intake.New(keeper.Settings.Limits.Box())
	gate.Timers, gate.Log = keeper.Timers, keeper.Log
	if keeper.Metrics != nil {
		gate.Scope = keeper.Metrics.Scope
	}
	wireServer := &wire.Server{Key: keeper.Settings.Wire.Key, TLS: serverTLS, Handler: keeper}
	wireListener := gate.ListenCalls(listeners.Wire, quota.Peers)
	keeper.background.Go(func() { _ = wireServer.Run(wireListener) })
	operatorServer := gate.Server(keeper.operatorHandler(), intake.Commands)
	operatorTLS, err := keeper.Settings.TLS.ServerConfig()
	if err != nil {
		return err
	}
	operatorListener := gate.Listen(intake.TLSListener(listeners.Operator, operatorTLS), quota.Operators)
	keeper.background.Go(func() { _ = operatorServer.Serve(operatorListener) })
	defer gate.Run()()
	keeper.startLoops(ctx)
	<-ctx.Done()
	_ = listeners.Wire.Close()
	_ = operatorServer.Close()
	keeper.mutex.Lock()
	for _, peer := range keeper.peers {
		peer.Close()
	}
	keeper.mutex.Unlock()
	keeper.background.Wait()
	return nil
}

// initialize fills the unexported fields before the goroutines start.
func (keeper *Keeper) initialize() error {
	settings := keeper.Settings
	keeper.table.Self = shedkeel.Node{
		ID: settings.Node, Incarnation: shedkeel.NewIncarnation(keeper.Now()), Zone: settings.Zone,
		Wire: settings.Wire.Advertise, Entry: settings.Entry.Advertise,
		Stopping: true, // until the first sync call of the entry on this box
	}
	keeper.table.AdvanceHeartbeat(keeper.Timers.Now())
	keeper.answeredPeers = map[string]bool{}
	keeper.peers = map[string]*wire.Peer{}
	keeper.unreachable = map[string]bool{}
	keeper.planners = map[shedkeel.ZoneID]*zonePlanner{}
	keeper.verdicts = map[shedkeel.GroupID]shedkeel.Verdict{}
	keeper.downSince = map[shedkeel.GroupID]time.Duration{}
	keeper.prober = &prober{engines: keeper.Engines, timers: keeper.Timers, timeout: time.Duration(settings.Timing.Tick), views: map[shedkeel.BoxID]shedkeel.BoxView{}}
	for shard := range claim.Shards {
		committer := claim.NewCommitter()
		committer.Store = keeper.Store
		committer.Prefix = member.KeyClaims + claim.ShardName(shard) + "/"
		committer.BatchInterval = time.Duration(settings.Timing.ClaimBatch)
		committer.Retention = time.Duration(settings.Timing.Retention)
		committer.Nonce = shedkeel.NewNonce
		committer.WallClock = keeper.Now
		keeper.committers = append(keeper.committers, committer)
	}
	return nil
}

// startLoops starts the claim committers, the store watch and the periodic
// tasks. Each stops when ctx is canceled.
func (keeper *Keeper) startLoops(ctx context.Context) {
	for _, committer := range keeper.committers {
		keeper.background.Go(func() { committer.Run(ctx) })
	}
	keeper.background.Go(func() { keeper.loopWatchStore(ctx) })
	tick := time.Duration(keeper.Settings.Timing.Tick)
	loops := []struct {
		every time.Duration
		run   func(context.Context, time.Duration)
	}{
		{tick, keeper.tickExchange}, {tick, keeper.tickPlan},
		{slowLoopTicks * tick, keeper.tickProbe}, {slowLoopTicks * tick, keeper.tickBoxes},
	}
	for _, loop := range loops {
		cancel := keeper.Timers.Subscribe(loop.every, func(now time.Duration) { loop.run(ctx, now) })
		keeper.background.Go(func() {
			<-ctx.Done()
			cancel()
		})
	}
}

// liveNodes returns the live nodes; see member.Table.Live.
func (keeper *Keeper) liveNodes(now time.Duration) []shedkeel.Node {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.table.Live(now)
}

// mergeRecord merges a record into the table, from which the exchanges send it to the
// other keepers. If the table stores the record and it is a configuration, mergeRecord
// also advertises it.
func (keeper *Keeper) mergeRecord(record member.Record) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.table.MergeRecord(record) {
		keeper.advertiseConfig(record)
	}
}

// advertiseConfig logs a newly merged configuration and sets its generation in
// Self, which reports it to the other nodes. It ignores other records. The mutex
// must be held.
func (keeper *Keeper) advertiseConfig(record member.Record) {
	if record.Key == member.KeyConfig {
		keeper.table.Self.Config = record.Generation
		keeper.Log.Write(event.ConfigInForce, slog.Uint64("generation", record.Generation))
	}
}

// markSettled marks the keeper as settled: it knows the records in force, from the key-value
// service or from enough other keepers (see exchangeWith); source names which, for the log.
// Until then, the keeper neither plans nor reports ready, and the entry on this box ignores
// its sync replies.
func (keeper *Keeper) markSettled(source string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if !keeper.settled {
		keeper.settled = true
		keeper.Log.Write(event.KeeperSynced, slog.String("by", source))
	}
}

// permitWindow returns the maximum age of a verdict shedkeel.VerdictWhole on a group
// for which the group has a permit to receive requests.
func (keeper *Keeper) permitWindow() time.Duration {
	return time.Duration(keeper.Settings.Timing.Permit)
}

// permits computes the permits of all placed groups by the rule that entries apply
// too, member.PermitInput.Permits. The mutex must be held.
func (keeper *Keeper) permits(now time.Duration) []member.Permit {
	input := member.PermitInput{Now: now, Window: keeper.permitWindow(), Drains: map[shedkeel.BoxID]bool{}, Digests: keeper.table.Digests()}
	if config, known := keeper.table.Config(); known {
		for _, box := range config.Drains {
			input.Drains[box] = true
		}
	}
	return input.Permits(keeper.table.Placements())
}

// newPlanner returns the planner for a new zonePlanner.
func (keeper *Keeper) newPlanner() shedkeel.Planner { return &group.Planner{} }
