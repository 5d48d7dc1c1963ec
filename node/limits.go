package node

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/ratelimit"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

const (
	// badLimitLogInterval is the least time between two logs of an unreadable limit of
	// the same server.
	badLimitLogInterval = time.Minute
	// permitTimeout bounds a call for a permit. A request waits for that call.
	permitTimeout = 30 * time.Millisecond
	// permitRetryDelay is for how long a node sends a server no requests when the server's
	// granter is unknown or does not answer, or when the nodes disagree on the granter.
	permitRetryDelay = 200 * time.Millisecond
	// announceInterval is how often changed limits are sent to other nodes.
	announceInterval = 50 * time.Millisecond
	// announceTimeout bounds a call that sends changed limits to a node.
	announceTimeout = 500 * time.Millisecond
	// neverStatedAgeMs is the age that a node sends with a lifted limit for a cold server
	// that has never stated a limit. The age, about 35 years, is higher than that of any stated
	// limit, so a receiver that knows a limit of the server keeps it.
	neverStatedAgeMs = 1 << 40
)

// limits enforces the rate limits of backend servers over all nodes. For each server, one node,
// the granter, gives all nodes the permits to send the server requests, so that the sum of their
// requests keeps the rate. A node that sees a stated limit change reports the change to the
// granter, which reports it to all other nodes.
type limits struct {
	node    *Node
	known   ratelimit.Limits      // limits that servers state in their answers
	cold    ratelimit.ColdServers // known from servers' records, permit calls and their answers
	granter ratelimit.Granter

	mutex       sync.Mutex
	badLoggedAt map[shedkeel.InstanceID]time.Duration        // when an unreadable limit of the server was last logged
	pending     map[shedkeel.InstanceID]shedkeel.ServerLimit // changed limits that are to be sent to other nodes

	aliveVersion uint64 // peers.aliveVersion when granter last dropped the servers of other granters; only run uses it
}

// Observe processes the limit that a server states in its answer to a request that was sent
// at the time sent. It announces a changed limit. It only logs a limit that can't be parsed.
func (limits *limits) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent time.Duration) {
	now := limits.node.Timers.Now()
	if limit.Err != nil {
		limits.logBadLimit(server, limit.Err, now)
		return
	}
	if known, changed := limits.known.Observe(server, limit, sent, now); changed {
		limits.limitChanged(known, limits.node.Settings.Node)
		limits.announce(known)
	}
}

// merge processes the limit and the cold state of a server that another node has sent. It
// ignores each of the two that is invalid. If this node is the server's granter, merge
// announces a changed limit, so that all nodes get it.
func (limits *limits) merge(reported *wire.ServerLimit, from shedkeel.NodeID) {
	now := limits.node.Timers.Now()
	if cold, isCold := parseCold(reported, now); isCold {
		limits.markCold(cold)
	}
	limit, valid := parseLimit(reported, now)
	if !valid {
		return
	}
	known, changed := limits.known.Merge(limit)
	if !changed {
		return
	}
	limits.limitChanged(known, from)
	if limits.isGranter(limit.Server) {
		limits.announce(known)
	}
}

// limitChanged applies a changed limit to the dispatch table and logs it.
func (limits *limits) limitChanged(limit shedkeel.ServerLimit, from shedkeel.NodeID) {
	limits.updateTable(limit.Server)
	limits.node.Log.Write(event.LimitChanged, slog.String("server", string(limit.Server)), slog.Float64("rate", limit.Rate),
		slog.Bool("lifted", limit.Lifted), slog.String("from", string(from)))
}

// updateTable sets the server's present rate limit in the dispatch table.
func (limits *limits) updateTable(server shedkeel.InstanceID) {
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	limits.node.table.SetLimit(server, rate, limited)
}

// rate returns how many requests per second a server accepts from all nodes together,
// and whether that number is limited: the server states a limit, or it is cold. If both apply,
// the lower rate counts.
func (limits *limits) rate(server shedkeel.InstanceID, now time.Duration) (rate float64, limited bool) {
	stated, limited := limits.known.Limit(server)
	cold, isCold := limits.cold.Lookup(server, now)
	if isCold && (!limited || cold.Rate < stated.Rate) {
		return cold.Rate, true
	}
	return stated.Rate, limited
}

// markCold records that a server is cold.
func (limits *limits) markCold(cold shedkeel.ColdServer) {
	if limits.cold.Add(cold) {
		limits.updateTable(cold.Server)
	}
}

// announce queues a limit, which the next tick sends to other nodes (see announceAll).
func (limits *limits) announce(limit shedkeel.ServerLimit) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if limits.pending == nil {
		limits.pending = map[shedkeel.InstanceID]shedkeel.ServerLimit{}
	}
	limits.pending[limit.Server] = limit
}

// updateAll sets all limits in the dispatch table again, after the list of servers has
// changed.
func (limits *limits) updateAll() {
	for _, limit := range limits.known.All() {
		limits.updateTable(limit.Server)
	}
	for _, cold := range limits.cold.All(limits.node.Timers.Now()) {
		limits.updateTable(cold.Server)
	}
}

// isGranter reports whether this node is the granter of a server.
func (limits *limits) isGranter(server shedkeel.InstanceID) bool {
	granter, known := limits.node.peers.granter(server)
	return known && granter == limits.node.Settings.Node
}

// Acquire asks for a permit to send a server one request, which can wait for maxWait at
// most. The permit is granted if the server's rate is not limited. Otherwise the server's
// granter decides. If the granter is unknown or does not answer, the permit is refused with a
// wait of permitRetryDelay.
func (limits *limits) Acquire(ctx context.Context, server shedkeel.InstanceID, maxWait time.Duration) shedkeel.Permit {
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	if !limited {
		return shedkeel.Permit{Granted: true}
	}
	granter, known := limits.node.peers.granter(server)
	if known && granter == limits.node.Settings.Node {
		return limits.grant(server, rate, maxWait)
	}
	peer := limits.node.peers.peer(granter)
	if peer == nil {
		return shedkeel.Permit{Wait: permitRetryDelay}
	}
	return limits.requestPermit(ctx, peer, server, maxWait)
}

// grant decides about a permit for a server whose granter is this node. The node grants
// only a fraction of the server's rate, equal to the fraction of the listed nodes that
// it sees alive (see peers.aliveFraction): during a network partition, the nodes on the other
// side may grant the rest.
func (limits *limits) grant(server shedkeel.InstanceID, rate float64, maxWait time.Duration) shedkeel.Permit {
	fraction, settledSince := limits.node.peers.aliveFraction()
	request := ratelimit.PermitRequest{Server: server, Rate: rate * fraction, MaxWait: maxWait, SettledSince: settledSince}
	return limits.granter.Grant(request, limits.node.Timers.Now())
}

// requestPermit asks the peer, which is the server's granter, for a permit, and merges the limit
// that the answer states. Without an answer within permitTimeout it refuses the permit with a
// wait of permitRetryDelay: if a second node granted the server's rate in the granter's place,
// the server would get twice as many requests.
func (limits *limits) requestPermit(ctx context.Context, peer *peer, server shedkeel.InstanceID, maxWait time.Duration) shedkeel.Permit {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	call := &wire.PermitCall{
		Node: string(limits.node.Settings.Node), Limit: limits.wireState(server),
		PatienceMs: uint32(max(maxWait, 0).Milliseconds()),
	}
	reply, err := peer.priorityWire.Do(ctx, &wire.Call{Kind: &wire.Call_Permit{Permit: call}})
	answer := reply.GetPermit()
	if err != nil || answer == nil {
		return shedkeel.Permit{Wait: permitRetryDelay}
	}
	if answer.GetLimit() != nil {
		limits.merge(answer.GetLimit(), peer.id)
	}
	return shedkeel.Permit{Granted: answer.GetGranted(), Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond}
}

// handlePermit answers another node's request for a permit, after it has merged the limit that
// the request states. If this node is not the server's granter, it refuses the permit with a
// wait of permitRetryDelay. If the server's rate is not limited, it grants the permit only if
// the server has lifted an earlier limit, and otherwise refuses the permit with no wait.
func (limits *limits) handlePermit(call *wire.PermitCall) *wire.Reply {
	limits.merge(call.GetLimit(), shedkeel.NodeID(call.GetNode()))
	server := shedkeel.InstanceID(call.GetLimit().GetServer())
	permit := shedkeel.Permit{Wait: permitRetryDelay}
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	stated, _ := limits.known.Limit(server)
	switch {
	case !limits.isGranter(server): // this node and the sender see different nodes alive
	case limited:
		permit = limits.grant(server, rate, time.Duration(call.GetPatienceMs())*time.Millisecond)
	default:
		permit = shedkeel.Permit{Granted: stated.Lifted}
	}
	return &wire.Reply{Kind: &wire.Reply_Permit{Permit: &wire.PermitReply{
		Granted: permit.Granted, WaitMs: uint32(permit.Wait.Milliseconds()), Limit: limits.wireState(server),
	}}}
}

// wireState returns the limit and the cold state of a server in wire form, as far as this
// node knows them; nil if it knows neither.
func (limits *limits) wireState(server shedkeel.InstanceID) *wire.ServerLimit {
	now := limits.node.Timers.Now()
	stated, _ := limits.known.Limit(server)
	state := toWireLimit(stated, now)
	cold, isCold := limits.cold.Lookup(server, now)
	if !isCold {
		return state
	}
	if state == nil {
		state = &wire.ServerLimit{Server: string(server), Lifted: true, AgeMs: neverStatedAgeMs}
	}
	state.ColdMs, state.ColdRate = uint32((cold.Until - now).Milliseconds()), cold.Rate
	return state
}

// handleLimits processes the limits that another node has sent.
func (limits *limits) handleLimits(call *wire.LimitCall) *wire.Reply {
	for _, limit := range call.GetLimits() {
		limits.merge(limit, shedkeel.NodeID(call.GetNode()))
	}
	return &wire.Reply{Kind: &wire.Reply_Limit{Limit: &wire.LimitReply{}}}
}

// run sends changed limits to other nodes until ctx ends.
func (limits *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		limits.tick()
		timer.Sleep(ctx, announceInterval)
	}
}

// tick ends the reduced rates of servers that are no longer cold, and sends changed limits. If
// the set of alive nodes has changed, it also drops the permits of servers whose granter is not
// this node.
func (limits *limits) tick() {
	if version := limits.node.peers.aliveVersion.Load(); version != limits.aliveVersion {
		limits.aliveVersion = version
		limits.granter.Retain(limits.isGranter)
	}
	for _, server := range limits.cold.Expire(limits.node.Timers.Now()) {
		limits.updateTable(server)
	}
	limits.mutex.Lock()
	pending := limits.pending
	limits.pending = nil
	limits.mutex.Unlock()
	if len(pending) > 0 {
		limits.announceAll(slices.Collect(maps.Values(pending)))
	}
}

// announceAll sends each limit to its server's granter, or to all live nodes if this node is
// the granter. It drops a limit whose granter is unknown.
func (limits *limits) announceAll(changed []shedkeel.ServerLimit) {
	changes := map[*peer][]shedkeel.ServerLimit{}
	for _, limit := range changed {
		if limits.isGranter(limit.Server) {
			for _, peer := range limits.node.peers.alivePeers() {
				changes[peer] = append(changes[peer], limit)
			}
			continue
		}
		if granter, _ := limits.node.peers.granter(limit.Server); limits.node.peers.peer(granter) != nil {
			peer := limits.node.peers.peer(granter)
			changes[peer] = append(changes[peer], limit)
		}
	}
	for peer, peerLimits := range changes {
		go peer.runAnnounce(peerLimits)
	}
}

// runAnnounce sends limits to the peer. If the call fails, the peer learns the limits
// from the servers' own answers.
func (peer *peer) runAnnounce(changed []shedkeel.ServerLimit) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	call := &wire.LimitCall{Node: string(peer.node.Settings.Node)}
	for _, limit := range changed {
		call.Limits = append(call.Limits, toWireLimit(limit, peer.node.Timers.Now()))
	}
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Limit{Limit: call}})
}

// dump returns the servers that state a limit or are cold, for operators.
func (limits *limits) dump() []LimitDump {
	now := limits.node.Timers.Now()
	found := []LimitDump{}
	for _, limit := range limits.known.All() {
		dump := limits.dumpServer(limit.Server, limit.Rate)
		dump.For = (now - limit.Since).Round(time.Millisecond).String()
		found = append(found, dump)
	}
	for _, cold := range limits.cold.All(now) {
		dump := limits.dumpServer(cold.Server, cold.Rate)
		dump.Cold = (cold.Until - now).Round(time.Millisecond).String()
		found = append(found, dump)
	}
	return found
}

// dumpServer returns a dump with the fields that limited and cold servers have in common.
func (limits *limits) dumpServer(server shedkeel.InstanceID, rate float64) LimitDump {
	granter, _ := limits.node.peers.granter(server)
	usage := limits.granter.Usage(server)
	return LimitDump{Server: server, Rate: rate, Granter: granter, Granted: usage.Granted, Refused: usage.Refused}
}

// toWireLimit returns a limit in wire form, with ages in place of times, since nodes
// share no clock. It returns nil for the zero limit.
func toWireLimit(limit shedkeel.ServerLimit, now time.Duration) *wire.ServerLimit {
	if limit.Server == "" {
		return nil
	}
	return &wire.ServerLimit{
		Server: string(limit.Server), Rate: limit.Rate, Lifted: limit.Lifted,
		AgeMs: uint64(max(now-limit.AsOf, 0).Milliseconds()), SinceMs: uint64(max(now-limit.Since, 0).Milliseconds()),
	}
}

// parseLimit parses a limit that another node has sent, and reports whether it is valid: it
// names a server, and its rate is finite and not negative.
func parseLimit(reported *wire.ServerLimit, now time.Duration) (shedkeel.ServerLimit, bool) {
	limit := shedkeel.ServerLimit{
		Server: shedkeel.InstanceID(reported.GetServer()), Rate: reported.GetRate(), Lifted: reported.GetLifted(),
		AsOf: now - time.Duration(reported.GetAgeMs())*time.Millisecond, Since: now - time.Duration(reported.GetSinceMs())*time.Millisecond,
	}
	return limit, limit.Server != "" && limit.Rate >= 0 && !math.IsInf(limit.Rate, 0)
}

// parseCold parses the cold state of a server that another node has sent, and reports whether
// the server is cold: the state names the server, a remaining time and a finite rate above 0.
func parseCold(reported *wire.ServerLimit, now time.Duration) (shedkeel.ColdServer, bool) {
	cold := shedkeel.ColdServer{
		Server: shedkeel.InstanceID(reported.GetServer()), Rate: reported.GetColdRate(), Until: now + time.Duration(reported.GetColdMs())*time.Millisecond,
	}
	return cold, cold.Server != "" && reported.GetColdMs() > 0 && cold.Rate > 0 && !math.IsInf(cold.Rate, 0)
}

// logBadLimit logs that a server states an unreadable limit, unless that was logged for
// the same server within badLimitLogInterval.
func (limits *limits) logBadLimit(server shedkeel.InstanceID, err error, now time.Duration) {
	limits.mutex.Lock()
	last, logged := limits.badLoggedAt[server]
	due := !logged || now-last >= badLimitLogInterval
	if due {
		if limits.badLoggedAt == nil {
			limits.badLoggedAt = map[shedkeel.InstanceID]time.Duration{}
		}
		limits.badLoggedAt[server] = now
	}
	limits.mutex.Unlock()
	if due {
		limits.node.Log.Write(event.LimitInvalid, slog.String("server", string(server)), slog.String("error", err.Error()))
	}
}

// retain drops the stated limits, the permits and the log times of servers for which listed
// returns false.
func (limits *limits) retain(listed func(shedkeel.InstanceID) bool) {
	limits.known.Retain(listed)
	limits.granter.Retain(listed)
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for server := range limits.badLoggedAt {
		if !listed(server) {
			delete(limits.badLoggedAt, server)
		}
	}
}
