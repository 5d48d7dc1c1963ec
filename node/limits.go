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
	// badLimitEvery is how often a server is logged that states a limit which cannot
	// be read.
	badLimitEvery = time.Minute
	// permitTimeout bounds the question for a permit, for which a request waits.
	permitTimeout = 30 * time.Millisecond
	// permitPause is for how long a server gets no requests of this node when the
	// node that grants its permits does not answer, or is not agreed on.
	permitPause = 200 * time.Millisecond
	// announceEvery is how often changed limits are told to other nodes.
	announceEvery = 50 * time.Millisecond
	// announceTimeout bounds the call that tells them.
	announceTimeout = 500 * time.Millisecond
	// neverStated is the age in milliseconds of what stands for no statement: older
	// than any.
	neverStated = 1 << 40
)

// limits is how a node takes part in the rate limits of backend servers, stated ones
// and those of cold servers. Each server has one node that grants its permits, so that
// the sum over all nodes is bounded. The node that sees a limit change tells that one,
// which tells all others; that a server is cold all nodes see in its record.
type limits struct {
	node    *Node
	book    ratelimit.Book
	cold    ratelimit.Cold
	granter ratelimit.Granter

	mutex   sync.Mutex
	bad     map[shedkeel.InstanceID]time.Duration        // when its bad limit was logged last
	pending map[shedkeel.InstanceID]shedkeel.ServerLimit // to be told to others

	views uint64 // of the nodes that answer, as the granter knows them. Only the loop uses it
}

// Observe takes in what an answer of the server says.
func (limits *limits) Observe(server shedkeel.InstanceID, limit shedkeel.StatedLimit, sent time.Duration) {
	now := limits.node.Timers.Now()
	if limit.Err != nil {
		limits.logBad(server, limit.Err, now)
		return
	}
	if known, changed := limits.book.Observe(server, limit, sent, now); changed {
		limits.changed(known, limits.node.Settings.Node)
		limits.announce(known)
	}
}

// merge takes in what another node knows. The node that grants the permits of the
// server passes it on.
func (limits *limits) merge(reported *wire.ServerLimit, from shedkeel.NodeID) {
	now := limits.node.Timers.Now()
	if cold, isCold := coldOf(reported, now); isCold {
		limits.noteCold(cold)
	}
	limit, valid := limitOf(reported, now)
	if !valid {
		return
	}
	known, changed := limits.book.Merge(limit)
	if !changed {
		return
	}
	limits.changed(known, from)
	if limits.grants(limit.Server) {
		limits.announce(known)
	}
}

// changed has choices heed a limit.
func (limits *limits) changed(limit shedkeel.ServerLimit, from shedkeel.NodeID) {
	limits.heed(limit.Server)
	limits.node.Log.Write(event.LimitChanged, slog.String("server", string(limit.Server)), slog.Float64("rate", limit.Rate),
		slog.Bool("lifted", limit.Lifted), slog.String("from", string(from)))
}

// heed has choices heed what holds for a server now.
func (limits *limits) heed(server shedkeel.InstanceID) {
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	limits.node.table.SetLimit(server, rate, limited)
}

// rate returns how many requests a second a server takes from all nodes, and whether
// that is bounded: it states a limit, or is cold.
func (limits *limits) rate(server shedkeel.InstanceID, now time.Duration) (rate float64, limited bool) {
	stated, limited := limits.book.Limit(server)
	cold, isCold := limits.cold.Server(server, now)
	if isCold && (!limited || cold.Rate < stated.Rate) {
		return cold.Rate, true
	}
	return stated.Rate, limited
}

// noteCold takes in that a server is cold.
func (limits *limits) noteCold(cold shedkeel.ColdServer) {
	if limits.cold.Note(cold) {
		limits.heed(cold.Server)
	}
}

func (limits *limits) announce(limit shedkeel.ServerLimit) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if limits.pending == nil {
		limits.pending = map[shedkeel.InstanceID]shedkeel.ServerLimit{}
	}
	limits.pending[limit.Server] = limit
}

// apply has choices heed all limits, after the list of servers has changed.
func (limits *limits) apply() {
	for _, limit := range limits.book.All() {
		limits.heed(limit.Server)
	}
	for _, cold := range limits.cold.All(limits.node.Timers.Now()) {
		limits.heed(cold.Server)
	}
}

// grants reports whether this node grants the permits of a server.
func (limits *limits) grants(server shedkeel.InstanceID) bool {
	granter, known := limits.node.peers.granter(server)
	return known && granter == limits.node.Settings.Node
}

// Acquire asks for a permit to send one request, which can wait so long.
func (limits *limits) Acquire(ctx context.Context, server shedkeel.InstanceID, patience time.Duration) shedkeel.Permit {
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	if !limited {
		return shedkeel.Permit{Granted: true}
	}
	granter, known := limits.node.peers.granter(server)
	if known && granter == limits.node.Settings.Node {
		return limits.grant(server, rate, patience)
	}
	peer := limits.node.peers.peer(granter)
	if peer == nil {
		return shedkeel.Permit{Wait: permitPause}
	}
	return limits.ask(ctx, peer, server, patience)
}

// grant grants a permit of a server that is this node's to grant: of the part of its
// rate that is the part of the nodes which this one hears, since the others may grant
// the rest of it on the other side of a cut.
func (limits *limits) grant(server shedkeel.InstanceID, rate float64, patience time.Duration) shedkeel.Permit {
	part, settled := limits.node.peers.heard()
	ask := ratelimit.Ask{Server: server, Rate: rate * part, Patience: patience, Settled: settled}
	return limits.granter.Grant(ask, limits.node.Timers.Now())
}

// ask asks another node for a permit. Where that does not answer nobody grants any:
// two nodes that each grant the server's rate would send it twice as much.
func (limits *limits) ask(ctx context.Context, peer *peer, server shedkeel.InstanceID, patience time.Duration) shedkeel.Permit {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	call := &wire.PermitCall{
		Node: string(limits.node.Settings.Node), Limit: limits.known(server),
		PatienceMs: uint32(max(patience, 0).Milliseconds()),
	}
	reply, err := peer.asked.Do(ctx, &wire.Call{Kind: &wire.Call_Permit{Permit: call}})
	answer := reply.GetPermit()
	if err != nil || answer == nil {
		return shedkeel.Permit{Wait: permitPause}
	}
	if answer.GetLimit() != nil {
		limits.merge(answer.GetLimit(), peer.id)
	}
	return shedkeel.Permit{Granted: answer.GetGranted(), Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond}
}

// takePermit answers another node's question for a permit.
func (limits *limits) takePermit(call *wire.PermitCall) *wire.Reply {
	limits.merge(call.GetLimit(), shedkeel.NodeID(call.GetNode()))
	server := shedkeel.InstanceID(call.GetLimit().GetServer())
	permit := shedkeel.Permit{Wait: permitPause}
	rate, limited := limits.rate(server, limits.node.Timers.Now())
	stated, _ := limits.book.Limit(server)
	switch {
	case !limits.grants(server): // the sender and this node see others alive
	case limited:
		permit = limits.grant(server, rate, time.Duration(call.GetPatienceMs())*time.Millisecond)
	default:
		permit = shedkeel.Permit{Granted: stated.Lifted}
	}
	return &wire.Reply{Kind: &wire.Reply_Permit{Permit: &wire.PermitReply{
		Granted: permit.Granted, WaitMs: uint32(permit.Wait.Milliseconds()), Limit: limits.known(server),
	}}}
}

// known returns what this node knows of a server, as it is told: nil where that is
// nothing.
func (limits *limits) known(server shedkeel.InstanceID) *wire.ServerLimit {
	now := limits.node.Timers.Now()
	stated, _ := limits.book.Limit(server)
	told := wireLimit(stated, now)
	cold, isCold := limits.cold.Server(server, now)
	if !isCold {
		return told
	}
	if told == nil {
		told = &wire.ServerLimit{Server: string(server), Lifted: true, AgeMs: neverStated}
	}
	told.ColdMs, told.ColdRate = uint32((cold.Until - now).Milliseconds()), cold.Rate
	return told
}

// takeLimits takes in the limits that another node tells of.
func (limits *limits) takeLimits(call *wire.LimitCall) *wire.Reply {
	for _, limit := range call.GetLimits() {
		limits.merge(limit, shedkeel.NodeID(call.GetNode()))
	}
	return &wire.Reply{Kind: &wire.Reply_Limit{Limit: &wire.LimitReply{}}}
}

// run tells other nodes of limits that have changed.
func (limits *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		limits.tick()
		timer.Sleep(ctx, announceEvery)
	}
}

// tick does what is due.
func (limits *limits) tick() {
	if views := limits.node.peers.views.Load(); views != limits.views {
		limits.views = views
		limits.granter.Retain(limits.grants)
	}
	for _, server := range limits.cold.Expire(limits.node.Timers.Now()) {
		limits.heed(server)
	}
	limits.mutex.Lock()
	pending := limits.pending
	limits.pending = nil
	limits.mutex.Unlock()
	if len(pending) > 0 {
		limits.announceAll(slices.Collect(maps.Values(pending)))
	}
}

// announceAll tells each limit to the node that grants the server's permits, or to all
// nodes where this one does.
func (limits *limits) announceAll(changed []shedkeel.ServerLimit) {
	news := map[*peer][]shedkeel.ServerLimit{}
	for _, limit := range changed {
		if limits.grants(limit.Server) {
			for _, peer := range limits.node.peers.answering() {
				news[peer] = append(news[peer], limit)
			}
			continue
		}
		if granter, _ := limits.node.peers.granter(limit.Server); limits.node.peers.peer(granter) != nil {
			peer := limits.node.peers.peer(granter)
			news[peer] = append(news[peer], limit)
		}
	}
	for peer, limits := range news {
		go peer.runAnnounce(limits)
	}
}

// runAnnounce tells a node of limits. One that does not hear of them sees them in
// the servers' own answers.
func (peer *peer) runAnnounce(changed []shedkeel.ServerLimit) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	call := &wire.LimitCall{Node: string(peer.node.Settings.Node)}
	for _, limit := range changed {
		call.Limits = append(call.Limits, wireLimit(limit, peer.node.Timers.Now()))
	}
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Limit{Limit: call}})
}

// dump returns the servers that limit their rate or are cold, for operators.
func (limits *limits) dump() []LimitDump {
	now := limits.node.Timers.Now()
	found := []LimitDump{}
	for _, limit := range limits.book.All() {
		dump := limits.dumpOf(limit.Server, limit.Rate)
		dump.For = (now - limit.Since).Round(time.Millisecond).String()
		found = append(found, dump)
	}
	for _, cold := range limits.cold.All(now) {
		dump := limits.dumpOf(cold.Server, cold.Rate)
		dump.Cold = (cold.Until - now).Round(time.Millisecond).String()
		found = append(found, dump)
	}
	return found
}

// dumpOf returns what operators are told of any server whose permits are granted.
func (limits *limits) dumpOf(server shedkeel.InstanceID, rate float64) LimitDump {
	granter, _ := limits.node.peers.granter(server)
	usage := limits.granter.Usage(server)
	return LimitDump{Server: server, Rate: rate, Granter: granter, Granted: usage.Granted, Refused: usage.Refused}
}

// wireLimit is how a limit is told: with ages, since nodes share no clock. It is nil
// where nothing is known.
func wireLimit(limit shedkeel.ServerLimit, now time.Duration) *wire.ServerLimit {
	if limit.Server == "" {
		return nil
	}
	return &wire.ServerLimit{
		Server: string(limit.Server), Rate: limit.Rate, Lifted: limit.Lifted,
		AgeMs: uint64(max(now-limit.At, 0).Milliseconds()), SinceMs: uint64(max(now-limit.Since, 0).Milliseconds()),
	}
}

// limitOf reads a limit of another node, and reports whether it is one.
func limitOf(reported *wire.ServerLimit, now time.Duration) (shedkeel.ServerLimit, bool) {
	limit := shedkeel.ServerLimit{
		Server: shedkeel.InstanceID(reported.GetServer()), Rate: reported.GetRate(), Lifted: reported.GetLifted(),
		At: now - time.Duration(reported.GetAgeMs())*time.Millisecond, Since: now - time.Duration(reported.GetSinceMs())*time.Millisecond,
	}
	return limit, limit.Server != "" && limit.Rate >= 0 && !math.IsInf(limit.Rate, 0)
}

// coldOf reads that a server is cold, and reports whether it is.
func coldOf(reported *wire.ServerLimit, now time.Duration) (shedkeel.ColdServer, bool) {
	cold := shedkeel.ColdServer{
		Server: shedkeel.InstanceID(reported.GetServer()), Rate: reported.GetColdRate(), Until: now + time.Duration(reported.GetColdMs())*time.Millisecond,
	}
	return cold, cold.Server != "" && reported.GetColdMs() > 0 && cold.Rate > 0 && !math.IsInf(cold.Rate, 0)
}

// logBad logs a limit that cannot be read, unless the server's was just now.
func (limits *limits) logBad(server shedkeel.InstanceID, err error, now time.Duration) {
	limits.mutex.Lock()
	last, logged := limits.bad[server]
	due := !logged || now-last >= badLimitEvery
	if due {
		if limits.bad == nil {
			limits.bad = map[shedkeel.InstanceID]time.Duration{}
		}
		limits.bad[server] = now
	}
	limits.mutex.Unlock()
	if due {
		limits.node.Log.Write(event.LimitBad, slog.String("server", string(server)), slog.String("error", err.Error()))
	}
}

// retain forgets the servers that are not listed any more.
func (limits *limits) retain(listed func(shedkeel.InstanceID) bool) {
	limits.book.Retain(listed)
	limits.granter.Retain(listed)
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for server := range limits.bad {
		if !listed(server) {
			delete(limits.bad, server)
		}
	}
}
