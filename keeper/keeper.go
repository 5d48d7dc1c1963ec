// Package keeper is the control process of an entry box. It follows the
// platform, spreads agreed records between boxes, probes groups, and, for a
// zone whose lease it holds, plans groups and orders boxes. It is a thin shell
// around the packages member, lease, group and claim.
package keeper

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/claim"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/group"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/wire"
)

// Keeper is the control process of one entry box. Its exported fields are set
// before Run.
type Keeper struct {
	Settings config.Settings
	Store    shedkeel.Store
	BoxList  shedkeel.BoxList
	Engines  shedkeel.Engines
	Timers   shedkeel.Timers
	Log      *event.Log
	Metrics  *metrics.Metrics
	Now      func() time.Time // wall clock, for claims' retention and reports

	mutex    sync.Mutex
	table    member.Table
	settled  bool
	heard    map[string]bool // peers that answered an exchange
	entry    *wire.Session   // of the entry on this box
	entryAs  string          // its incarnation
	synced   time.Duration   // when the entry last asked
	boxes    []shedkeel.Box
	zones    map[shedkeel.ZoneID]*zonePlanner
	verdicts map[shedkeel.GroupID]shedkeel.Verdict
	downtime map[shedkeel.GroupID]time.Duration
	sequence uint64
	peers    map[string]*wire.Peer
	away     map[string]bool
	storeOut bool

	committers []*claim.Committer
	probes     *prober
	running    sync.WaitGroup
}

// slowTicks is how many ticks lie between two rounds of probes, which cost most
// of a keeper's processor time, and between two readings of the box list, which
// lags by more than that.
const slowTicks = 2

// Listeners are the sockets that a keeper serves.
type Listeners struct {
	Wire     net.Listener
	Operator net.Listener
}

// Run serves until the context ends.
func (keeper *Keeper) Run(ctx context.Context, listeners Listeners) error {
	if err := keeper.begin(); err != nil {
		return err
	}
	serverTLS, err := keeper.Settings.Wire.TLS.Server()
	if err != nil {
		return err
	}
	server := &wire.Server{Key: keeper.Settings.Wire.Key, TLS: serverTLS, Handler: keeper}
	keeper.running.Go(func() { _ = server.Run(listeners.Wire) })
	operators := &http.Server{Handler: keeper.operatorHandler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	operatorTLS, err := keeper.Settings.TLS.Server()
	if err != nil {
		return err
	}
	operators.TLSConfig = operatorTLS
	keeper.running.Go(func() { serveHTTP(operators, listeners.Operator) })
	keeper.loops(ctx)
	<-ctx.Done()
	_ = listeners.Wire.Close()
	_ = operators.Close()
	keeper.mutex.Lock()
	for _, peer := range keeper.peers {
		peer.Close()
	}
	keeper.mutex.Unlock()
	keeper.running.Wait()
	return nil
}

func serveHTTP(server *http.Server, listener net.Listener) {
	if server.TLSConfig != nil {
		_ = server.ServeTLS(listener, "", "")
		return
	}
	_ = server.Serve(listener)
}

func (keeper *Keeper) begin() error {
	settings := keeper.Settings
	keeper.table.Self = shedkeel.Node{
		ID: settings.Node, Incarnation: shedkeel.NewIncarnation(keeper.Now()), Zone: settings.Zone,
		Wire: settings.Wire.Advertise, Entry: settings.Entry.Advertise,
		Stopping: true, // until the entry on this box says otherwise
	}
	keeper.table.Beat(keeper.Timers.Now())
	keeper.heard = map[string]bool{}
	keeper.peers = map[string]*wire.Peer{}
	keeper.away = map[string]bool{}
	keeper.zones = map[shedkeel.ZoneID]*zonePlanner{}
	keeper.verdicts = map[shedkeel.GroupID]shedkeel.Verdict{}
	keeper.downtime = map[shedkeel.GroupID]time.Duration{}
	keeper.probes = &prober{engines: keeper.Engines, timers: keeper.Timers, timeout: time.Duration(settings.Timing.Tick), views: map[shedkeel.BoxID]shedkeel.BoxView{}}
	for shard := range claim.Shards {
		committer := claim.NewCommitter()
		committer.Store = keeper.Store
		committer.Prefix = member.KeyClaims + claim.ShardName(shard) + "/"
		committer.Batch = time.Duration(settings.Timing.ClaimBatch)
		committer.Retention = time.Duration(settings.Timing.Retention)
		committer.Nonce = shedkeel.NewNonce
		committer.Wall = keeper.Now
		keeper.committers = append(keeper.committers, committer)
	}
	return nil
}

// loops starts the keeper's goroutines.
func (keeper *Keeper) loops(ctx context.Context) {
	for _, committer := range keeper.committers {
		keeper.running.Go(func() { committer.Run(ctx) })
	}
	keeper.running.Go(func() { keeper.loopWatch(ctx) })
	tick := time.Duration(keeper.Settings.Timing.Tick)
	parts := []struct {
		every time.Duration
		run   func(context.Context, time.Duration)
	}{
		{tick, keeper.tickExchange}, {tick, keeper.tickPlan},
		{slowTicks * tick, keeper.tickProbe}, {slowTicks * tick, keeper.tickBoxes},
	}
	for _, part := range parts {
		cancel := keeper.Timers.Subscribe(part.every, func(now time.Duration) { part.run(ctx, now) })
		keeper.running.Go(func() {
			<-ctx.Done()
			cancel()
		})
	}
}

// live returns the nodes heard of lately.
func (keeper *Keeper) live(now time.Duration) []shedkeel.Node {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.table.Live(now)
}

// merge takes in a record that was read or written here.
func (keeper *Keeper) merge(record member.Record) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.table.MergeRecord(record) {
		keeper.noteConfig(record)
	}
}

// noteConfig logs a configuration that came into force. The mutex is held.
func (keeper *Keeper) noteConfig(record member.Record) {
	if record.Key == member.KeyConfig {
		keeper.table.Self.Config = record.Generation
		keeper.Log.Write(event.ConfigInForce, slog.Uint64("generation", record.Generation))
	}
}

// settle notes that the keeper knows what is in force.
func (keeper *Keeper) settle(how string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if !keeper.settled {
		keeper.settled = true
		keeper.Log.Write(event.Settled, slog.String("by", how))
	}
}

// window is how old the proof may be that a group is whole.
func (keeper *Keeper) window() time.Duration { return time.Duration(keeper.Settings.Timing.Permit) }

// judge works out the permits as an entry does. The mutex is held.
func (keeper *Keeper) judge(now time.Duration) []member.Permit {
	judge := member.Judge{Now: now, Window: keeper.window(), Drains: map[shedkeel.BoxID]bool{}, Digests: keeper.table.Digests()}
	if config, known := keeper.table.Config(); known {
		for _, box := range config.Drains {
			judge.Drains[box] = true
		}
	}
	return judge.Permits(keeper.table.Placements())
}

// planner returns a new planner of the kind that runs in this process.
func (keeper *Keeper) planner() shedkeel.Planner { return &group.Planner{} }
