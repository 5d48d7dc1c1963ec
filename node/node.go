// Package node implements the process that accepts callers' requests and forwards them to
// backend servers. A fleet runs many nodes. A node keeps no durable state of its own: its
// mirror holds a copy of the records of the platform's key-value service. The node exchanges
// its observations with other nodes, and plans the replica groups while it is the leader.
//
// To keep its copy current, a node follows another node, that is, it requests the changes
// since its last update from that node's mirror, or it follows the key-value service itself.
// Where comments speak of records, leases or what a node follows, "the service" is the
// key-value service. A node or backend server is listed while its record is in use.
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
	"shedkeel.org/shedkeel/intake"
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/reach"
	"shedkeel.org/shedkeel/retry"
	"shedkeel.org/shedkeel/serve"
	"shedkeel.org/shedkeel/wire"
)

const (
	// DirectoryKeep is how long callers may cache an answer of the directory, which tells them
	// the addresses of the nodes (see Addresses). A stopping node accepts connections until all
	// cached answers have expired, but for at most 3/8 of the grace time.
	DirectoryKeep = time.Second
	// maxDirectoryKeepFactor is how many times DirectoryKeep some callers cache an answer.
	maxDirectoryKeepFactor = 3
	// maxStopMargin is how long before the end of the grace time a stopping node ends
	// the requests that still run. Half of it is for their last answers. At the end of the grace time the platform kills the
	// process.
	maxStopMargin = 400 * time.Millisecond
	// stopMarginFraction bounds that margin for a short grace time: only requests whose servers are still at work in its
	// last sixth may be aborted.
	stopMarginFraction = 1. / 8
	// shareHold is for how long a node that can't confirm the list of nodes keeps its part of what
	// all nodes may do together. It outlasts most outages of the key-value service; a node that
	// starts waits for longer than this before it takes a part.
	shareHold = 10 * time.Second
	// proofAgeFraction is the fraction of Bounds.Revoke (3.8 s of 5 s) for which a proof of
	// the configuration stays valid. The rest covers the up to 1 s for which a watch may miss
	// changes. A proof may be 1.1 s old when the key-value service is lost, so with a smaller
	// fraction a node would refuse requests while the platform still counts it as connected.
	proofAgeFraction = 0.76
	// silenceTick is how often backend servers with running requests are checked for
	// silence.
	silenceTick = 20 * time.Millisecond
	// expiryTick is how often requests are checked for an expired time limit. The check
	// uses a clock that also advances while the box is suspended, so it finds requests whose
	// limit passed during a suspension.
	expiryTick = 100 * time.Millisecond
	// minControlledSlots is how many slots a model must have for the overload control, if it is on
	// for routes with an objective: about three groups of a large fleet.
	minControlledSlots = 64
	// assumedNodes is the number of nodes that a node assumes while none is listed, for
	// example to compute its share of the fleet's retry budget.
	assumedNodes = 16
)

// Store is the part of the key-value service's interface that a node uses.
type Store interface {
	shedkeel.RecordSource
	shedkeel.LeasedStore
}

// Decoder decodes the records that the platform and its backend servers write.
type Decoder interface {
	// Config decodes the configuration, which is the record under ConfigKey.
	Config(value []byte) (*shedkeel.ServingConfig, error)
	// Instance decodes the record of a backend server, whose key begins with InstancePrefix.
	Instance(key string, value []byte) (shedkeel.Instance, error)
	// ConfigKey returns the key of the configuration.
	ConfigKey() string
	// InstancePrefix returns the common prefix of the keys of backend servers' records.
	InstancePrefix() string
	// EvacuatedZone returns the availability zone whose evacuation a record with this key
	// requests, or false if the key belongs to another kind of record.
	EvacuatedZone(key string) (shedkeel.ZoneID, bool)
}

// Node is one node of the fleet. Set its exported fields before calling Prepare and Run.
type Node struct {
	Settings    config.NodeSettings
	Incarnation string // unique to each start of the process
	Store       Store
	Decoder     Decoder
	Protocol    shedkeel.CallerProtocol
	Backend     shedkeel.Backend
	Check       shedkeel.ServerCheck // finds out whether a server that broke off a request has terminated; nil: no check
	Health      shedkeel.HealthCheck // see serve.Handler.Health
	Engines     shedkeel.GroupEngines
	Dialer      *reach.Dialer // opens the connections of Backend; nil: no connections are relayed
	Timers      shedkeel.Timers
	Random      shedkeel.Random
	Log         *event.Log
	Metrics     *metrics.Metrics // nil: none are exported
	// Messages bounds the messages of other nodes that are read at one time, and the answers of servers to this node's own calls.
	// nil: their sum is not bounded.
	Messages *quota.Room
	// DialNode opens connections to other nodes. nil: the operating system does.
	DialNode func(ctx context.Context, network, address string) (net.Conn, error)

	mirror        mirror.Mirror
	follower      mirror.Follower
	table         dispatch.Table
	handler       serve.Handler
	sharing       retry.Sharing // of the fixed part of the retry budget
	fleet         fleet
	peers         peers
	member        membership
	gossip        gossip
	remover       remover
	subscribers   subscribers
	registrar     registrar
	guard         guard
	wakeups       wakeups
	limits        limits
	admissions    admissions
	controller    controller
	connector     connector
	gate          *intake.Gate
	reporter      reachReporter
	retryReporter retryReporter
	stopping      atomic.Bool
	goroutines    sync.WaitGroup
}

// Listeners are the sockets that a node serves.
type Listeners struct {
	Callers   net.Listener
	Directory net.Listener
	Readiness net.Listener
	Control   net.Listener
	Gossip    net.PacketConn
	Metrics   net.Listener // for metrics and the other administration endpoints; nil: none
}

// Handlers are the HTTP handlers of the endpoints that the platform calls.
type Handlers struct {
	Directory http.Handler
	Readiness http.Handler
}

// Prepare initializes the node's parts. Call it once, before Run.
func (node *Node) Prepare() {
	node.gate = intake.New(node.Settings.Limits.Box())
	node.table.Zone = node.Settings.Zone
	node.table.Random = node.Random
	node.table.Delays = &node.wakeups.delays
	bounds := node.Settings.Bounds
	node.sharing = retry.Sharing{Self: node.Settings.Node, Window: time.Duration(bounds.RetryWindow), Hold: shareHold}
	node.handler = serve.Handler{
		Protocol: node.Protocol, Backend: node.Backend, Table: &node.table, Timers: node.Timers, Delays: &node.wakeups.delays, Log: node.Log,
		Budget:        &retry.Budget{Ratio: bounds.RetryRatio, Window: time.Duration(bounds.RetryWindow), FixedRetries: bounds.RetrySlack, RandomOffset: rand.New(node.Random).Float64()},
		CurrentConfig: node.fleet.configState, Recommend: node.peers.recommendGroup, RetryShare: node.sharing.Share, ServingNodes: node.fleet.servingCount,
		Guard: &node.guard, Limits: &node.limits, OnDraining: node.peers.reportDraining, ServerCheck: node.Check, Health: node.Health, DigestKey: []byte(node.Settings.Wire.Key),
		MaxConfigAge: time.Duration(float64(bounds.Revoke) * proofAgeFraction), RefuseStaleKeys: bounds.RefuseStaleKeys, MaxBackoff: time.Duration(bounds.MaxBackoff), StoreOutage: node.follower.Outage,
		ReaderBudget: serve.ReaderBudget{Limit: node.Settings.Limits.UnreadBytes},
	}
	if control := node.Settings.Overload.Control; control != config.OverloadOff {
		node.handler.AdmitAlone = node.admissions.decideAlone
		node.handler.ControlAllRoutes = control == config.OverloadOn
		if control == config.OverloadAuto {
			node.handler.MinControlledSlots = minControlledSlots
		}
	}
	if node.Metrics != nil {
		node.handler.Meter = serve.NewMeter(node.Metrics.Scope)
	}
	node.fleet.node = node
	node.peers.node = node
	node.peers.prepare()
	node.peers.random = rand.NewPCG(node.Random.Uint64(), node.Random.Uint64())
	node.registrar.node = node
	node.member.node = node
	node.connector.node = node
	node.reporter.node = node
	node.retryReporter.node = node
	if node.Dialer != nil {
		node.Dialer.Relay = &node.connector
		node.Dialer.Delays = &node.wakeups.delays
	}
	node.gossip.node = node
	node.gossip.prepare(rand.NewPCG(node.Random.Uint64(), node.Random.Uint64()))
	node.remover.node = node
	node.limits.node = node
	node.admissions.node = node
	node.guard.node = node
	node.guard.prepare()
	node.member.lease = lease{node: node, ttl: largeFleetTTL}
	node.controller.node = node
	node.controller.prepare()
	node.mirror.ListenRestore(node.handleRestore)
	node.mirror.Listen(node.fleet.applyChanges)
	node.mirror.ListenState(node.fleet.confirm)
	node.follower = mirror.Follower{Mirror: &node.mirror, Source: node.Store, Timers: node.Timers, Log: node.Log, Upstream: node.peers.choose, Peers: node.peers.others,
		RequestAdvice: node.peers.advise, Hops: node.peers.hops, Processes: node.fleet.nodeCount, Random: rand.NewPCG(node.Random.Uint64(), node.Random.Uint64())}
}

// Run serves until the context is canceled, then shuts down gracefully. It returns an error
// only if the server for callers failed to close.
func (node *Node) Run(ctx context.Context, listeners Listeners, handlers Handlers) error {
	node.Log.Write(event.Started, slog.String("incarnation", node.Incarnation))
	node.gate.Timers, node.gate.Log, node.gate.Limits = node.Timers, node.Log, node.requestLimits
	if node.Metrics != nil {
		node.gate.Scope = node.Metrics.Scope
	}
	callers := node.gate.Server(&node.handler, intake.Requests)
	servers := []*http.Server{
		node.startServer(listeners.Directory, quota.Directory, handlers.Directory),
		node.startServer(listeners.Readiness, quota.Readiness, handlers.Readiness),
	}
	if listeners.Metrics != nil {
		servers = append(servers, node.startServer(listeners.Metrics, quota.Operators, node.adminHandler()))
	}
	callersListener := node.gate.Listen(listeners.Callers, quota.Callers)
	node.goroutines.Go(func() { _ = callers.Serve(callersListener) })
	control := &wire.Server{Key: node.Settings.Wire.Key, Handler: &node.peers, Connector: &node.connector, Room: node.Messages}
	controlListener := node.gate.ListenCalls(listeners.Control, quota.Peers)
	node.goroutines.Go(func() { _ = control.Run(controlListener) })
	cancelGate := node.gate.Run()
	defer cancelGate()
	node.gossip.conn = listeners.Gossip
	node.goroutines.Go(node.gossip.run)

	workCtx, cancelWork := context.WithCancel(context.Background())
	node.goroutines.Go(func() { node.follower.Run(workCtx) })
	node.goroutines.Go(func() { node.member.run(workCtx) })
	node.goroutines.Go(func() { node.guard.run(workCtx) })
	node.goroutines.Go(func() { node.limits.run(workCtx) })
	node.goroutines.Go(func() { node.controller.run(workCtx) })
	node.goroutines.Go(func() { node.controller.runLease(workCtx) })
	cancelSilence := node.Timers.Subscribe(silenceTick, node.reportSilentServers)
	cancelReport := node.Timers.Subscribe(time.Second, node.report)
	cancelWakeups := node.Timers.Subscribe(liveness.TickInterval, node.wakeups.tick)
	cancelPaces := node.Timers.Subscribe(paceInterval/paceBatches, node.controller.paces.tick)
	cancelDemand := node.Timers.Subscribe(demandInterval, node.controller.demand.tick)
	cancelFleet := node.Timers.Subscribe(fleetTick, node.fleet.tick)
	cancelExpiry := node.Timers.Subscribe(expiryTick, node.handler.CancelOverdue)
	cancelGossip := node.Timers.Subscribe(gossipTick, node.gossip.tick)
	cancelRemover := node.Timers.Subscribe(removerInterval, node.remover.tick)

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
	cancelWakeups()
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

// startServer serves the handler at the listener in the background.
func (node *Node) startServer(inner net.Listener, place quota.Listener, handler http.Handler) *http.Server {
	server := node.gate.Server(handler, intake.Queries)
	listener := node.gate.Listen(inner, place)
	node.goroutines.Go(func() { _ = server.Serve(listener) })
	return server
}

// requestLimits returns the limits of the active configuration on requests and their connections.
func (node *Node) requestLimits() shedkeel.Limits {
	if view := node.fleet.view(); view != nil {
		return view.Config.Limits
	}
	return shedkeel.Limits{}
}

// stop announces in this node's record and by gossip that this node stops, and resigns as leader.
// The node accepts connections while callers may have its address cached, but for at most 3/8 of the
// grace time. Until stopMargin before the end of the grace time it serves the requests that can be answered by then, and keeps the
// connections that it relays for other nodes; it then ends the requests that are left. stop returns an error only if the server
// for callers failed to close.
func (node *Node) stop(callers *http.Server) error {
	grace := time.Duration(node.Settings.Bounds.Grace)
	margin := stopMargin(grace)
	stopStarted := node.Timers.Now()
	node.Log.Write(event.Stopping)
	node.stopping.Store(true)
	node.handler.Leave(stopStarted + grace - margin)
	node.controller.resign()
	node.member.requestWrite()
	node.gossip.leave()
	time.Sleep(min(maxDirectoryKeepFactor*DirectoryKeep, grace*3/8)) // most of a short grace time remains for the running requests
	ctx, cancel := context.WithTimeout(context.Background(), grace-margin-(node.Timers.Now()-stopStarted))
	defer cancel()
	err := callers.Shutdown(ctx)
	node.connector.drain(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	node.handler.EndAll()
	ctx, cancel = context.WithTimeout(context.Background(), margin/2)
	defer cancel()
	if err := callers.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return callers.Close()
}

// stopMargin returns how long before the end of the grace time requests are aborted.
func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, time.Duration(float64(grace)*stopMarginFraction))
}

// Ready reports whether callers should be sent to this node. It returns false while the node is
// stopping or has no configuration. If Bounds.RefuseStaleKeys is set, it also returns false
// unless the configuration was proven current less than handler.MaxConfigAge ago.
func (node *Node) Ready() bool {
	config := node.fleet.configState()
	if node.stopping.Load() || config.View == nil {
		return false
	}
	age := node.Timers.Now() - config.ProvenAt
	return !node.handler.RefuseStaleKeys || age < node.handler.MaxConfigAge
}

// reportSilentServers finds out whether this box or servers have lost contact. It asks other nodes
// about silent groups, logs backend servers that stopped responding, and reports their groups as
// suspected to the leader. A server without a group is only logged.
func (node *Node) reportSilentServers(now time.Duration) {
	node.reporter.tick()
	node.peers.askActivity(now)
	stalls := node.table.FindStalled(now)
	node.reporter.checkPaths(stalls)
	for _, silence := range stalls {
		node.Log.Write(event.ServerUnresponsive, slog.String("server", string(silence.Server.Instance)), slog.String("group", string(silence.Server.Group.Group)),
			slog.Uint64("epoch", silence.Server.Group.Epoch), slog.Duration("silent", silence.Elapsed), slog.Int("running", silence.Running))
		if silence.Server.Group.Group == "" {
			continue
		}
		node.peers.reportSuspect(silence.Server.Group)
	}
}

// Reload applies the retry bounds of the new settings, the only settings that may change
// while the node runs. It logs whether the new settings also differ in a setting that needs a
// restart: Listen, Store, Node, Bounds.Revoke or Bounds.RefuseStaleKeys. It ignores
// differences in other settings.
func (node *Node) Reload(settings config.NodeSettings) {
	bounds := settings.Bounds
	node.handler.Budget.Set(bounds.RetryRatio, time.Duration(bounds.RetryWindow), bounds.RetrySlack, node.Timers.Now())
	node.sharing.SetWindow(time.Duration(bounds.RetryWindow))
	needsRestart := settings.Listen != node.Settings.Listen || settings.Store != node.Settings.Store || settings.Node != node.Settings.Node ||
		bounds.Revoke != node.Settings.Bounds.Revoke || bounds.RefuseStaleKeys != node.Settings.Bounds.RefuseStaleKeys
	node.Log.Write(event.Reloaded, slog.Bool("needs_restart", needsRestart))
}
