// Package node is the process of an entry box of a fleet whose platform keeps
// what must last: it serves callers, follows the key-value service, tells
// other nodes what it sees, and plans replica groups while it leads.
package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/wire"
)

const (
	// DirectoryKeep is how long callers may keep an answer of the directory.
	// Some keep it three times as long. A stopping node serves on until then;
	// what it takes up later could not end within the grace time.
	DirectoryKeep = time.Second
	// maxDirectoryKeepFactor is how many times longer some callers keep an answer.
	maxDirectoryKeepFactor = 3
	// stopMargin is how long before the end of the grace time a stopping node
	// gives up what still runs.
	stopMargin = 400 * time.Millisecond
	// retryBudgetFraction is the part of the bound on repeats that is used: windows
	// slide, and requests of a second ago count less than fully.
	retryBudgetFraction = 0.7
	// proofAgeFraction is the part of the revocation bound for which a proof of the
	// configuration is good. A watch may miss changes for a second, which with
	// it stays within a bound of five. A proof is up to 1.1 s old at rest, so a
	// smaller part refuses what the platform still counts as in touch.
	proofAgeFraction = 0.76
	// silenceTick is how often running requests are checked for silence.
	silenceTick = 20 * time.Millisecond
	// expiryTick is how often requests are checked whose limit is over by the clock
	// that also runs while the box is suspended.
	expiryTick = 100 * time.Millisecond
	// callerIdleTimeout is how long a caller's connection may rest; longer than what
	// the platform's configurations allow its callers.
	callerIdleTimeout = 60 * time.Second
	// headerTimeout is how long a caller may take to send a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head, in bytes.
	maxHeaderBytes = 64 << 10
	// assumedNodes is how many nodes share the bounds while none is known.
	assumedNodes = 16
)

// Store is what a node needs of the key-value service.
type Store interface {
	shedkeel.RecordSource
	shedkeel.LeasedStore
}

// Decoder reads the platform's own records.
type Decoder interface {
	// Config decodes the record under ConfigKey.
	Config(value []byte) (*shedkeel.ServingConfig, error)
	// Instance decodes a record below InstancePrefix.
	Instance(key string, value []byte) (shedkeel.Instance, error)
	ConfigKey() string
	InstancePrefix() string
	// EvacuatedZone returns the availability zone that the record of a key asks to be
	// evacuated, or false where the key is another one's.
	EvacuatedZone(key string) (shedkeel.ZoneID, bool)
}

// Node is one node. Its exported fields are set before Run.
type Node struct {
	Settings    config.NodeSettings
	Incarnation string // differs after every start
	Store       Store
	Decoder     Decoder
	Protocol    shedkeel.CallerProtocol
	Backend     shedkeel.Backend
	Check       shedkeel.ServerCheck // nil: servers that end are not noticed as such
	Engines     shedkeel.GroupEngines
	Timers      shedkeel.Timers
	Random      shedkeel.Random
	Log         *event.Log
	Metrics     *metrics.Metrics

	mirror      mirror.Mirror
	follower    mirror.Follower
	table       dispatch.Table
	front       serve.Front
	fleet       fleet
	peers       peers
	member      membership
	gossip      gossip
	remover     remover
	subscribers subscribers
	registrar   registrar
	guard       guard
	limits      limits
	controller  controller
	stopping    atomic.Bool
	goroutines  sync.WaitGroup
}

// Listeners are the sockets that a node serves, and what answers on those that
// the platform asks.
type Listeners struct {
	Callers   net.Listener
	Directory net.Listener
	Readiness net.Listener
	Control   net.Listener
	Gossip    net.PacketConn
	Metrics   net.Listener // nil: none
}

// Faces answer the platform's own questions.
type Faces struct {
	Directory http.Handler
	Readiness http.Handler
}

// Prepare sets the node's parts up. It is called once, before Run.
func (node *Node) Prepare() {
	node.table.Zone = node.Settings.Zone
	node.table.Random = node.Random
	bounds := node.Settings.Bounds
	node.front = serve.Front{
		Protocol: node.Protocol, Backend: node.Backend, Table: &node.table, Timers: node.Timers, Log: node.Log,
		Budget:  &serve.Budget{Ratio: bounds.RetryRatio, Window: time.Duration(bounds.RetryWindow), Slack: bounds.RetrySlack, Careful: retryBudgetFraction, Began: node.Timers.Now(), Lot: rand.New(node.Random).Float64()},
		Believe: node.believe, Spread: node.peers.spread, Nodes: node.fleet.nodeCount, Serving: node.fleet.servingCount,
		Guard: &node.guard, Limits: &node.limits, Draining: node.peers.draining, Check: node.Check, DigestKey: []byte(node.Settings.Wire.Key),
		ProofAge: time.Duration(float64(bounds.Revoke) * proofAgeFraction), RefuseStaleKeys: bounds.RefuseStaleKeys, MaxBackoff: time.Duration(bounds.MaxBackoff), Outage: node.follower.Outage,
	}
	if node.Metrics != nil {
		node.front.Meter = serve.NewMeter(node.Metrics.Scope)
	}
	node.fleet.node = node
	node.peers.node = node
	node.peers.prepare()
	node.peers.random = rand.NewPCG(node.Random.Uint64(), node.Random.Uint64())
	node.registrar.node = node
	node.member.node = node
	node.gossip.node = node
	node.gossip.prepare(rand.NewPCG(node.Random.Uint64(), node.Random.Uint64()))
	node.remover.node = node
	node.limits.node = node
	node.guard.node = node
	node.guard.prepare()
	node.member.lease = lease{node: node, ttl: largeFleetTTL}
	node.controller.node = node
	node.controller.prepare()
	node.mirror.ListenRestored(node.handleRestore)
	node.mirror.Listen(node.fleet.changed)
	node.follower = mirror.Follower{Mirror: &node.mirror, Source: node.Store, Timers: node.Timers, Log: node.Log, Choose: node.peers.choose, Others: node.peers.others,
		Advise: node.peers.advise, Hops: node.peers.hops, Processes: node.fleet.nodeCount, Random: rand.NewPCG(node.Random.Uint64(), node.Random.Uint64())}
}

// Run serves until the context ends, then stops as planned.
func (node *Node) Run(ctx context.Context, listeners Listeners, faces Faces) error {
	node.Log.Write(event.Started, slog.String("incarnation", node.Incarnation))
	callers := &http.Server{Handler: &node.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	servers := []*http.Server{
		node.startServer(listeners.Directory, faces.Directory),
		node.startServer(listeners.Readiness, faces.Readiness),
	}
	if listeners.Metrics != nil {
		servers = append(servers, node.startServer(listeners.Metrics, node.adminHandler()))
	}
	node.goroutines.Go(func() { _ = callers.Serve(listeners.Callers) })
	control := &wire.Server{Key: node.Settings.Wire.Key, Handler: &node.peers}
	node.goroutines.Go(func() { _ = control.Run(listeners.Control) })
	node.gossip.conn = listeners.Gossip
	node.goroutines.Go(node.gossip.run)

	working, cancelWork := context.WithCancel(context.Background())
	node.goroutines.Go(func() { node.follower.Run(working) })
	node.goroutines.Go(func() { node.member.run(working) })
	node.goroutines.Go(func() { node.guard.run(working) })
	node.goroutines.Go(func() { node.limits.run(working) })
	node.goroutines.Go(func() { node.controller.run(working) })
	node.goroutines.Go(func() { node.controller.runLease(working) })
	cancelSilence := node.Timers.Subscribe(silenceTick, node.reportSilentServers)
	cancelReport := node.Timers.Subscribe(time.Second, node.report)
	cancelPaces := node.Timers.Subscribe(paceEvery/paceParts, node.controller.paces.tick)
	cancelDemand := node.Timers.Subscribe(demandEvery, node.controller.demand.tick)
	cancelFleet := node.Timers.Subscribe(fleetTick, node.fleet.tick)
	cancelExpiry := node.Timers.Subscribe(expiryTick, node.front.Expire)
	cancelGossip := node.Timers.Subscribe(gossipTick, node.gossip.tick)
	cancelRemover := node.Timers.Subscribe(removerTick, node.remover.tick)

	<-ctx.Done()
	err := node.stop(callers)
	cancelRemover()
	cancelGossip()
	cancelExpiry()
	cancelFleet()
	cancelDemand()
	cancelPaces()
	cancelSilence()
	cancelReport()
	cancelWork()
	for _, server := range servers {
		_ = server.Close()
	}
	_ = listeners.Control.Close()
	_ = listeners.Gossip.Close()
	node.peers.close()
	node.goroutines.Wait()
	return err
}

func (node *Node) startServer(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	node.goroutines.Go(func() { _ = server.Serve(listener) })
	return server
}

// stop takes the node out of the directory, serves on while callers may still
// hold its address, then refuses what still comes and finishes what runs.
func (node *Node) stop(callers *http.Server) error {
	begun := node.Timers.Now()
	node.Log.Write(event.Stopping)
	node.stopping.Store(true)
	node.front.Stop()
	node.controller.resign()
	node.member.requestWrite()
	node.gossip.leave()
	grace := time.Duration(node.Settings.Bounds.Grace)
	forgotten := min(maxDirectoryKeepFactor*DirectoryKeep, grace*3/8)
	time.Sleep(forgotten)
	node.front.Refuse()
	left := grace - stopMargin - (node.Timers.Now() - begun)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = callers.Close()
	}
	return err
}

// believe returns what is in force here.
func (node *Node) believe() serve.Belief {
	return serve.Belief{View: node.fleet.view.Load(), AsOf: node.mirror.State().AsOf}
}

// Ready reports whether callers should be sent here.
func (node *Node) Ready() bool {
	if node.stopping.Load() || node.fleet.view.Load() == nil {
		return false
	}
	age := node.Timers.Now() - node.mirror.State().AsOf
	return !node.front.RefuseStaleKeys || age < node.front.ProofAge
}

// reportSilentServers finds servers that have gone silent and tells the node that
// plans of groups.
func (node *Node) reportSilentServers(now time.Duration) {
	for _, silence := range node.table.FindSilent(now) {
		node.Log.Write(event.ServerSilent, slog.String("server", string(silence.Server.Instance)), slog.String("group", string(silence.Server.Group.Group)),
			slog.Uint64("epoch", silence.Server.Group.Epoch), slog.Duration("silent", silence.For), slog.Int("running", silence.Running))
		if silence.Server.Group.Group == "" {
			continue
		}
		node.peers.suspect(silence.Server.Group)
	}
}

// Reload takes in what may change in the settings while the node runs: the
// bounds. Addresses and names hold until the next start.
func (node *Node) Reload(settings config.NodeSettings) {
	bounds := settings.Bounds
	node.front.Budget.Set(bounds.RetryRatio, time.Duration(bounds.RetryWindow), bounds.RetrySlack)
	needsRestart := settings.Listen != node.Settings.Listen || settings.Store != node.Settings.Store || settings.Node != node.Settings.Node ||
		bounds.Revoke != node.Settings.Bounds.Revoke || bounds.RefuseStaleKeys != node.Settings.Bounds.RefuseStaleKeys
	node.Log.Write(event.Reloaded, slog.Bool("needs_restart", needsRestart))
}
