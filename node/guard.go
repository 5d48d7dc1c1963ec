package node

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/contain"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

const (
	// blamePrefix is below where stands what is held against requests, by digest.
	blamePrefix = "shedkeel/blames/"
	// blameTimeout bounds what a node tells another of a request.
	blameTimeout = 500 * time.Millisecond
	// tryTimeout bounds the question whether a request may be tried, for which its
	// caller waits.
	tryTimeout = 50 * time.Millisecond
	// tryTime is after how long a try counts as over though nothing was heard of it.
	tryTime = 10 * time.Second
	// askedNodes is how many nodes are asked in turn to decide about a request.
	askedNodes = 3
	// tellAgain is how often all nodes are told again of what the key-value service
	// does not keep yet: those that started or were cut off meanwhile don't know.
	tellAgain = time.Second
	// keepTick is how often is looked whether something is to be written.
	keepTick = 100 * time.Millisecond
	// keepTurn is how much later than the one before it a node writes what the
	// key-value service lacks: a write is known to all long before.
	keepTurn = time.Second
)

// guard keeps requests that end backend servers from ending more of them. What one
// server ended under is told to the node that decides about the request; from two
// servers on all nodes are told, and the key-value service keeps it, so that it
// outlives the loss of all nodes.
type guard struct {
	node   *Node
	ledger contain.Ledger

	mutex  sync.Mutex
	tries  map[shedkeel.RequestDigest]time.Duration // this node has allowed one until then
	unkept map[shedkeel.RequestDigest]time.Duration // not written yet as it stands, since when

	told time.Duration // when all were last told again. Only the loop uses it
}

func (guard *guard) prepare() {
	guard.tries = map[shedkeel.RequestDigest]time.Duration{}
	guard.unkept = map[shedkeel.RequestDigest]time.Duration{}
}

// Idle reports whether nothing is held against any request.
func (guard *guard) Idle() bool { return guard.ledger.Idle() }

// Judge returns what becomes of a request.
func (guard *guard) Judge(request shedkeel.RequestDigest) shedkeel.Judgment {
	return contain.Judge(guard.ledger.Blame(request))
}

// Ended notes that a server has ended under a request.
func (guard *guard) Ended(request shedkeel.RequestDigest, server shedkeel.InstanceID) {
	blame, news := guard.ledger.Ended(request, server)
	if news {
		guard.changed(blame)
		guard.spread(blame, contain.Judge(blame) != shedkeel.Unblamed)
	}
}

// Answered clears a request: what a server has answered whole ends none.
func (guard *guard) Answered(request shedkeel.RequestDigest) {
	before, now := guard.ledger.Clear(request)
	if len(before.Servers) == 0 {
		return
	}
	guard.changed(now)
	guard.spread(now, contain.Judge(before) != shedkeel.Unblamed)
}

// merge takes in what another node or the key-value service holds against a
// request, and passes on what those have not heard of.
func (guard *guard) merge(told shedkeel.Blame) {
	blame, news := guard.ledger.Merge(told)
	if news {
		guard.changed(blame)
	}
	if len(blame.Servers) > len(told.Servers) || blame.Round > told.Round {
		guard.spread(blame, contain.Judge(blame) != shedkeel.Unblamed)
	}
}

// changed acts on what is held against a request now.
func (guard *guard) changed(blame shedkeel.Blame) {
	judgment := contain.Judge(blame)
	if judgment == shedkeel.Unblamed && blame.Round == 0 {
		return // tens of requests run on each server that ends
	}
	guard.mutex.Lock()
	guard.unkept[blame.Request] = guard.node.Timers.Now()
	guard.mutex.Unlock()
	guard.node.Log.Write(event.RequestJudged, slog.String("digest", string(blame.Request)), slog.String("judgment", judgment.String()),
		slog.Any("servers", blame.Servers), slog.Uint64("round", uint64(blame.Round)))
	if judgment != shedkeel.Unblamed {
		guard.node.front.CallBack(blame.Request)
	}
}

// spread tells all nodes, or only the one that decides about the request.
func (guard *guard) spread(blame shedkeel.Blame, all bool) {
	if !all {
		go guard.runTellDecider(blame)
		return
	}
	for _, peer := range guard.node.peers.answering() {
		go peer.runTell(wire.BlameCall_TELL, blame)
	}
}

// runTellDecider tells the first node that answers of those that may decide about
// the request.
func (guard *guard) runTellDecider(blame shedkeel.Blame) {
	for _, id := range guard.node.peers.deciders(blame.Request) {
		if id == guard.node.Settings.Node {
			return
		}
		if peer := guard.node.peers.peer(id); peer != nil && peer.runTell(wire.BlameCall_TELL, blame) {
			return
		}
	}
}

// runTell tells the node something of a request, and reports whether it has heard.
// What all are told and one misses, it reads in the key-value service; a try whose
// end is not heard of counts as over some time later.
func (peer *peer) runTell(kind wire.BlameCall_Kind, blame shedkeel.Blame) bool {
	ctx, cancel := context.WithTimeout(context.Background(), blameTimeout)
	defer cancel()
	_, err := peer.wire.Do(ctx, peer.blameCall(kind, blame))
	return err == nil
}

func (peer *peer) blameCall(kind wire.BlameCall_Kind, blame shedkeel.Blame) *wire.Call {
	call := &wire.BlameCall{Kind: kind, Node: string(peer.node.Settings.Node), Request: string(blame.Request), Round: blame.Round}
	for _, server := range blame.Servers {
		call.Servers = append(call.Servers, string(server))
	}
	return &wire.Call{Kind: &wire.Call_Blame{Blame: call}}
}

// take answers another node.
func (guard *guard) take(call *wire.BlameCall) *wire.Reply {
	blame := shedkeel.Blame{Request: shedkeel.RequestDigest(call.GetRequest()), Round: call.GetRound()}
	for _, server := range call.GetServers() {
		blame.Servers = append(blame.Servers, shedkeel.InstanceID(server))
	}
	allowed := false
	switch call.GetKind() {
	case wire.BlameCall_TELL:
		guard.merge(blame)
	case wire.BlameCall_TRY:
		guard.merge(blame)
		allowed = guard.allow(blame.Request)
	case wire.BlameCall_DONE:
		guard.tried(blame.Request)
	}
	return &wire.Reply{Kind: &wire.Reply_Blame{Blame: &wire.BlameReply{Allowed: allowed}}}
}

// Try reports whether a quarantined request may be tried at a server now: one node
// decides for all, and allows one try at a time.
func (guard *guard) Try(ctx context.Context, request shedkeel.RequestDigest) (done func(), allowed bool) {
	blame := guard.ledger.Blame(request)
	for _, id := range guard.node.peers.deciders(request) {
		if id == guard.node.Settings.Node {
			return func() { guard.tried(request) }, guard.allow(request)
		}
		peer := guard.node.peers.peer(id)
		if peer == nil {
			continue
		}
		allowed, err := peer.mayTry(ctx, blame)
		if err == nil {
			return func() { go peer.runTell(wire.BlameCall_DONE, blame) }, allowed
		}
	}
	return nil, false
}

func (peer *peer) mayTry(ctx context.Context, blame shedkeel.Blame) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := peer.asked.Do(ctx, peer.blameCall(wire.BlameCall_TRY, blame))
	return reply.GetBlame().GetAllowed(), err
}

// allow reports whether a request may be tried now, and notes that it is.
func (guard *guard) allow(request shedkeel.RequestDigest) bool {
	now := guard.node.Timers.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if now < guard.tries[request] || guard.Judge(request) == shedkeel.Contained {
		return false
	}
	guard.tries[request] = now + tryTime
	return true
}

func (guard *guard) tried(request shedkeel.RequestDigest) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	delete(guard.tries, request)
}

// deciders returns the nodes that decide about a request, the next one where one
// does not answer: the same at all nodes that see the same ones alive.
func (peers *peers) deciders(request shedkeel.RequestDigest) []shedkeel.NodeID {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, _, _ := peers.withOwn()
	var ids []shedkeel.NodeID
	for _, node := range nodes {
		ids = append(ids, node.ID)
	}
	slices.SortFunc(ids, func(a, b shedkeel.NodeID) int { return cmp.Compare(pairHash(request, a), pairHash(request, b)) })
	return ids[:min(len(ids), askedNodes)]
}

// run writes what is held against requests to the key-value service.
func (guard *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		guard.keep(ctx, guard.node.Timers.Now())
		timer.Sleep(ctx, keepTick)
	}
}

// keep writes what the key-value service lacks, in this node's turn.
func (guard *guard) keep(ctx context.Context, now time.Duration) {
	guard.tellUnkept(now)
	state := guard.node.mirror.State()
	if !state.Known || now-state.AsOf > troubleAge {
		return
	}
	for request, since := range guard.unkeptNow() {
		blame := guard.ledger.Blame(request)
		record := guard.node.mirror.Get(blamePrefix + string(request))
		change, lacks := lacking(blame, record)
		if !lacks {
			guard.kept(request, since)
			continue
		}
		turn := slices.Index(guard.node.peers.deciders(request), guard.node.Settings.Node)
		if turn < 0 || now-since < time.Duration(turn)*keepTurn {
			continue
		}
		guard.write(ctx, change)
	}
}

// tellUnkept tells all nodes again of requests that the key-value service should
// keep and does not.
func (guard *guard) tellUnkept(now time.Duration) {
	if now-guard.told < tellAgain {
		return
	}
	guard.told = now
	for request, since := range guard.unkeptNow() {
		if now-since >= tellAgain {
			guard.spread(guard.ledger.Blame(request), true)
		}
	}
}

// keepAgain has all that is held against requests compared with what the key-value
// service keeps, after that has lost some of it.
func (guard *guard) keepAgain() {
	now := guard.node.Timers.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	for _, blame := range guard.ledger.All() {
		guard.unkept[blame.Request] = now
	}
}

func (guard *guard) unkeptNow() map[shedkeel.RequestDigest]time.Duration {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return maps.Clone(guard.unkept)
}

// kept notes that the key-value service says what was held against the request
// since then. More may be by now.
func (guard *guard) kept(request shedkeel.RequestDigest, since time.Duration) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.unkept[request] == since {
		delete(guard.unkept, request)
	}
}

// lacking returns the change that makes a record say what is held against a
// request, or false when it does. Only judged requests have a record.
func lacking(blame shedkeel.Blame, record shedkeel.Record) (shedkeel.Change, bool) {
	key := blamePrefix + string(blame.Request)
	exists := record.Revision.Exists()
	var written shedkeel.Blame
	readable := exists && json.Unmarshal(record.Value, &written) == nil && written.Request == blame.Request
	same := readable && written.Round >= blame.Round && len(written.Servers) >= len(blame.Servers)
	change := shedkeel.Change{If: []shedkeel.Condition{{Key: key, Revision: record.Revision}}}
	switch {
	case contain.Judge(blame) == shedkeel.Unblamed:
		change.Remove = []string{key}
		return change, exists && (!readable || written.Round <= blame.Round)
	case same:
		return change, false
	}
	value, err := json.Marshal(blame)
	if err != nil {
		return change, false // plain strings can always be written
	}
	change.Put = []shedkeel.Put{{Key: key, Value: value}}
	return change, true
}

// write makes a change and takes it in. What fails is tried again.
func (guard *guard) write(ctx context.Context, change shedkeel.Change) {
	revision, err := guard.node.Store.Commit(ctx, change)
	if err != nil {
		guard.node.Log.Write(event.BlameNotKept, slog.String("error", err.Error()))
		return
	}
	record := shedkeel.Record{Key: change.If[0].Key, Revision: revision, Gone: len(change.Remove) > 0}
	if !record.Gone {
		record.Value = change.Put[0].Value
	}
	guard.node.mirror.Apply(mirrorUpdate(record))
}

// judged returns the requests that are not sent as all are.
func (guard *guard) judged() []BlameDump {
	found := []BlameDump{}
	for _, blame := range guard.ledger.All() {
		if judgment := contain.Judge(blame); judgment != shedkeel.Unblamed {
			found = append(found, BlameDump{Request: blame.Request, Judgment: judgment.String(), Servers: blame.Servers})
		}
	}
	slices.SortFunc(found, func(a, b BlameDump) int { return cmp.Compare(a.Request, b.Request) })
	return found
}

// takeRecord takes in what the key-value service keeps. A record that was removed
// clears its request: it was answered, or an operator lets it go.
func (guard *guard) takeRecord(record shedkeel.Record) {
	request := shedkeel.RequestDigest(strings.TrimPrefix(record.Key, blamePrefix))
	if record.Lost {
		return // it is written again
	}
	if record.Gone {
		if before, now := guard.ledger.Clear(request); len(before.Servers) > 0 {
			guard.changed(now)
		}
		return
	}
	var blame shedkeel.Blame
	if err := guard.node.fleet.read(record, &blame); err != nil {
		return
	}
	if blame.Request != request {
		guard.node.fleet.skipped(record, &shedkeel.InvalidError{Where: record.Key, What: "it is not about the request that its key names", Remedy: "remove it"})
		return
	}
	if merged, news := guard.ledger.Merge(blame); news {
		guard.changed(merged)
	}
}
