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
	// BlamePrefix is the key prefix of the records of blames; the subject follows.
	BlamePrefix = "shedkeel/blames/"
	// blameTimeout bounds a call that sends a blame to another node.
	blameTimeout = 500 * time.Millisecond
	// trialTimeout bounds the call that asks a decider for a trial. A request waits for that
	// call.
	trialTimeout = 50 * time.Millisecond
	// trialExpiry is the age from which a trial whose end was not reported counts as ended.
	trialExpiry = 10 * time.Second
	// deciderCount is how many nodes may decide about the trials of a request. They are
	// asked in turn until one of them answers.
	deciderCount = 3
	// resendInterval is how often blames that the key-value service does not store yet
	// are sent to all nodes again: nodes that have started or were cut off meanwhile do
	// not know these blames.
	resendInterval = time.Second
	// writeInterval is the time between two checks for blames that must be written.
	writeInterval = 100 * time.Millisecond
	// writeStagger is how much later each further decider writes a blame that the key-value
	// service lacks. By then, all nodes have long known of an earlier decider's write, so a
	// further decider writes only if no earlier one has.
	writeStagger = time.Second
)

// guard keeps requests that terminate backend servers from terminating more of them. A blame
// names a subject, that is, the requests with one digest or with one part in their prompts, and the
// instances that have terminated while running them. Blames with two or more servers are written to
// the key-value service, so that they survive the loss of all nodes. Clearing a blame begins its next
// round, without the earlier servers. parts.go handles what nodes tell each other about parts.
type guard struct {
	node     *Node
	ledger   contain.Ledger
	detector contain.PartDetector // of parts; records them in ledger

	mutex     sync.Mutex
	trials    map[shedkeel.Subject]time.Duration // until when a trial that this node has allowed counts as running
	unwritten map[shedkeel.Subject]time.Duration // when each blame that may still have to be written last changed
	refusals  map[shedkeel.Subject]*refusals     // of quarantined and contained subjects, at this node

	resentAt   time.Duration // when unwritten blames were last sent again; only run uses it
	reviewedAt time.Duration // when parts were last reviewed; only run uses it
}

// prepare initializes the guard. It is called once, before run.
func (guard *guard) prepare() {
	guard.trials = map[shedkeel.Subject]time.Duration{}
	guard.unwritten = map[shedkeel.Subject]time.Duration{}
	guard.refusals = map[shedkeel.Subject]*refusals{}
	guard.detector.Ledger = &guard.ledger
}

// Idle reports whether no blame names a server, so that all requests are unblamed.
func (guard *guard) Idle() bool { return guard.ledger.Idle() }

// Judge returns the judgment of a request: the worst of those of its digest and of its parts.
func (guard *guard) Judge(request shedkeel.GuardedRequest) shedkeel.Ruling {
	ruling := shedkeel.Ruling{}
	for _, subject := range append([]shedkeel.Subject{request.Digest}, request.Parts...) {
		if judgment := guard.ledger.Judge(subject); judgment > ruling.Judgment {
			ruling = shedkeel.Ruling{Judgment: judgment, Subject: subject}
		}
	}
	return ruling
}

// ServerEnded records that a server has terminated while running a request. If the blame of the
// digest has changed, ServerEnded sends it: to all nodes if the request is now quarantined or
// contained, otherwise to the first decider of the digest that answers. It reports the parts to
// the collector.
func (guard *guard) ServerEnded(request shedkeel.GuardedRequest, server shedkeel.InstanceID) {
	blame, changed := guard.ledger.RecordFailure(request.Digest, server)
	if changed {
		guard.blameChanged(blame)
		guard.send(blame, contain.Judge(blame) != shedkeel.Unblamed)
	}
	if request.Model != "" {
		guard.reportEnd(request, server)
	}
}

// RequestAnswered clears the blame of a request's digest, if it names a server: a request that a
// server has answered completely does not terminate servers. RequestAnswered sends the cleared blame
// to all nodes if the request was quarantined or contained, otherwise to the first decider of the
// digest that answers.
func (guard *guard) RequestAnswered(request shedkeel.GuardedRequest) {
	before, now := guard.ledger.Clear(request.Digest)
	if len(before.Servers) == 0 {
		return
	}
	guard.blameChanged(now)
	guard.send(now, contain.Judge(before) != shedkeel.Unblamed)
}

// merge merges a blame that another node has sent into the ledger. If the result has more
// servers or a later round than the sender's blame, merge sends the result to all nodes if the
// request is quarantined or contained, otherwise to the first decider that answers.
func (guard *guard) merge(received shedkeel.Blame) {
	blame, changed := guard.ledger.Merge(received)
	if changed {
		guard.blameChanged(blame)
	}
	if len(blame.Servers) > len(received.Servers) || blame.Round > received.Round {
		guard.send(blame, contain.Judge(blame) != shedkeel.Unblamed)
	}
}

// blameChanged handles a changed blame: it marks the blame as unwritten and logs the judgment.
// If the subject is quarantined or contained, it cancels those active requests of the subject
// on this node that serve.Handler.CancelCopies selects, and tells the collector of their parts. It
// ignores a blame of a digest that names at most one server and has never been cleared.
func (guard *guard) blameChanged(blame shedkeel.Blame) {
	judgment := guard.ledger.Judge(blame.Subject)
	if judgment == shedkeel.Unblamed && blame.Round == 0 {
		return // one terminated server does not show which request is the cause: tens of requests run on a server
	}
	guard.mutex.Lock()
	guard.unwritten[blame.Subject] = guard.node.Timers.Now()
	if judgment == shedkeel.Unblamed {
		delete(guard.refusals, blame.Subject)
	}
	guard.mutex.Unlock()
	guard.logJudgment(blame, judgment)
	if judgment == shedkeel.Unblamed {
		return
	}
	servers := guard.node.handler.CancelCopies(blame.Subject)
	if _, _, isPart := blame.Subject.Part(); isPart && len(servers) > 0 {
		guard.reportWithdrawn(blame.Subject, servers)
	}
}

// logJudgment logs the judgment of a subject.
func (guard *guard) logJudgment(blame shedkeel.Blame, judgment shedkeel.Judgment) {
	fields := []slog.Attr{slog.String("judgment", judgment.String()), slog.Any("servers", blame.Servers), slog.Uint64("round", uint64(blame.Round))}
	model, part, isPart := blame.Subject.Part()
	if !isPart {
		guard.node.Log.Write(event.RequestJudged, append(fields, slog.String("digest", string(blame.Subject)))...)
		return
	}
	guard.node.Log.Write(event.PartJudged, append(fields, slog.String("part", string(part)), slog.String("model", string(model)), slog.Time("since", blame.Since))...)
}

// refusals counts the requests that this node has refused because of one subject.
type refusals struct {
	count    int64
	accounts map[shedkeel.AccountID]bool // at most maxRefusedAccounts of them
}

const (
	// maxRefusedAccounts is how many refused client accounts are remembered for operators, by subject.
	maxRefusedAccounts = 8
	// maxRefusedSubjects bounds the subjects whose refusals are counted. Beyond it, counting begins anew.
	maxRefusedSubjects = 4096
)

// Refused records that this node has refused a request because of a subject, for operators. It ignores
// "": the subject was let go meanwhile.
func (guard *guard) Refused(request shedkeel.GuardedRequest, subject shedkeel.Subject) {
	if subject == "" {
		return
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if len(guard.refusals) >= maxRefusedSubjects {
		clear(guard.refusals)
	}
	found := guard.refusals[subject]
	if found == nil {
		found = &refusals{accounts: map[shedkeel.AccountID]bool{}}
		guard.refusals[subject] = found
	}
	found.count++
	if len(found.accounts) < maxRefusedAccounts && request.Account != "" {
		found.accounts[request.Account] = true
	}
}

// send sends a blame to all live nodes, or only to the first decider of the request that
// answers. It does not wait for answers.
func (guard *guard) send(blame shedkeel.Blame, toAll bool) {
	if !toAll {
		go guard.runSendToDecider(blame)
		return
	}
	for _, peer := range guard.node.peers.alivePeers() {
		go peer.runSendBlame(wire.BlameCall_TELL, blame)
	}
}

// runSendToDecider sends a blame to the deciders of the request in turn, until one of them
// answers or the next one is this node itself, which knows the blame already.
func (guard *guard) runSendToDecider(blame shedkeel.Blame) {
	for _, id := range guard.node.peers.deciders(blame.Subject) {
		if id == guard.node.Settings.Node {
			return
		}
		if peer := guard.node.peers.peer(id); peer != nil && peer.runSendBlame(wire.BlameCall_TELL, blame) {
			return
		}
	}
}

// runSendBlame sends a blame to the peer and reports whether the peer has answered within
// blameTimeout. Most callers ignore a failure: a node that misses a blame sent to all nodes
// reads the blame from the key-value service, and a trial whose end is not reported expires.
func (peer *peer) runSendBlame(kind wire.BlameCall_Kind, blame shedkeel.Blame) bool {
	ctx, cancel := context.WithTimeout(context.Background(), blameTimeout)
	defer cancel()
	_, err := peer.wire.Do(ctx, peer.newBlameCall(kind, blame))
	return err == nil
}

// newBlameCall returns the call of the kind that carries a blame.
func (peer *peer) newBlameCall(kind wire.BlameCall_Kind, blame shedkeel.Blame) *wire.Call {
	call := &wire.BlameCall{Kind: kind, Node: string(peer.node.Settings.Node), Request: string(blame.Subject), Round: blame.Round, Servers: textsOf(blame.Servers)}
	return &wire.Call{Kind: &wire.Call_Blame{Blame: call}}
}

// handle answers a blame call of another node. BlameCall_TELL sends a blame, BlameCall_TRY
// sends a blame and asks for a trial, and BlameCall_DONE reports the end of a trial.
func (guard *guard) handle(call *wire.BlameCall) *wire.Reply {
	blame := shedkeel.Blame{Subject: shedkeel.Subject(call.GetRequest()), Round: call.GetRound(), Servers: namesOf[shedkeel.InstanceID](call.GetServers())}
	allowed := false
	switch call.GetKind() {
	case wire.BlameCall_TELL:
		guard.merge(blame)
	case wire.BlameCall_TRY:
		guard.merge(blame)
		allowed = guard.allowTrial(blame.Subject)
	case wire.BlameCall_DONE:
		guard.endTrial(blame.Subject)
	}
	return &wire.Reply{Kind: &wire.Reply_Blame{Blame: &wire.BlameReply{Allowed: allowed}}}
}

// AcquireAttempt reports whether a trial of a quarantined request is allowed now: by the deciders of
// its digest, if that is quarantined, and by the collector of its parts, if any of them is.
func (guard *guard) AcquireAttempt(ctx context.Context, request shedkeel.GuardedRequest) (trial shedkeel.Trial, allowed bool) {
	done := func() {}
	if guard.ledger.Judge(request.Digest) == shedkeel.Quarantined {
		if done, allowed = guard.acquireDigest(ctx, request.Digest); !allowed {
			return trial, false
		}
	}
	trial, allowed = guard.acquireParts(ctx, request)
	if !allowed {
		done()
		return trial, false
	}
	endParts := trial.Done
	trial.Done = func() {
		done()
		endParts()
	}
	return trial, true
}

// acquireDigest reports whether a trial of a quarantined digest is allowed now. The first
// decider that answers decides for all nodes and allows one trial of the digest at a time. The
// caller must call done when an allowed trial has ended, but not after a refusal, which would end
// the trial in progress. If no decider answers, the trial is refused and done is nil.
func (guard *guard) acquireDigest(ctx context.Context, subject shedkeel.Subject) (done func(), allowed bool) {
	blame := guard.ledger.Blame(subject)
	for _, id := range guard.node.peers.deciders(subject) {
		if id == guard.node.Settings.Node {
			return func() { guard.endTrial(subject) }, guard.allowTrial(subject)
		}
		peer := guard.node.peers.peer(id)
		if peer == nil {
			continue
		}
		allowed, err := peer.requestTrial(ctx, blame)
		if err == nil {
			return func() { go peer.runSendBlame(wire.BlameCall_DONE, blame) }, allowed
		}
	}
	return nil, false
}

// requestTrial asks the peer whether it allows a trial of the request that the blame
// names. It returns an error if there is no answer within trialTimeout.
func (peer *peer) requestTrial(ctx context.Context, blame shedkeel.Blame) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := peer.priorityWire.Do(ctx, peer.newBlameCall(wire.BlameCall_TRY, blame))
	return reply.GetBlame().GetAllowed(), err
}

// allowTrial reports whether a trial of a request, an attempt to send it to a server, may start
// now: the request is not contained and no other trial of it is in progress. If so, it records
// the trial.
func (guard *guard) allowTrial(subject shedkeel.Subject) bool {
	now := guard.node.Timers.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if now < guard.trials[subject] || guard.ledger.Judge(subject) == shedkeel.Contained {
		return false
	}
	guard.trials[subject] = now + trialExpiry
	return true
}

// endTrial records that the trial of a request has ended.
func (guard *guard) endTrial(subject shedkeel.Subject) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	delete(guard.trials, subject)
}

// deciders returns the nodes that may decide about trials of a request, at most
// deciderCount, in the order in which they are asked until one answers. All nodes that
// see the same nodes alive get the same result.
func (peers *peers) deciders(subject shedkeel.Subject) []shedkeel.NodeID {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, _, _ := peers.aliveWithSelf()
	var ids []shedkeel.NodeID
	for _, node := range nodes {
		ids = append(ids, node.ID)
	}
	slices.SortFunc(ids, func(a, b shedkeel.NodeID) int { return cmp.Compare(pairHash(subject, a), pairHash(subject, b)) })
	return ids[:min(len(ids), deciderCount)]
}

// run sends unwritten blames again and writes them to the key-value service until ctx
// ends.
func (guard *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		guard.reviewParts(guard.node.Timers.Now())
		guard.writePending(ctx, guard.node.Timers.Now())
		timer.Sleep(ctx, writeInterval)
	}
}

// writePending resends unwritten blames if that is due. It does nothing more while the mirror
// has no copy or one older than outageAge. Otherwise it marks the blames whose records need no
// change as written, and writes the others when it is this node's turn: each further decider of
// a request waits for writeStagger more, and nodes that are no deciders write nothing.
func (guard *guard) writePending(ctx context.Context, now time.Duration) {
	guard.resendUnwritten(now)
	state := guard.node.mirror.State()
	if !state.Known || now-state.AsOf > outageAge {
		return
	}
	for subject, since := range guard.unwrittenBlames() {
		blame := guard.ledger.Blame(subject)
		record := guard.node.mirror.Get(BlamePrefix + string(subject))
		change, needed := recordChange(blame, record)
		if !needed {
			guard.markWritten(subject, since)
			continue
		}
		turn := slices.Index(guard.node.peers.deciders(subject), guard.node.Settings.Node)
		if turn < 0 || now-since < time.Duration(turn)*writeStagger {
			continue
		}
		guard.write(ctx, change)
	}
}

// resendUnwritten sends the unwritten blames that changed at least resendInterval ago to all
// nodes again. It does so at most once per resendInterval.
func (guard *guard) resendUnwritten(now time.Duration) {
	if now-guard.resentAt < resendInterval {
		return
	}
	guard.resentAt = now
	for subject, since := range guard.unwrittenBlames() {
		if now-since >= resendInterval {
			guard.sendAgain(guard.ledger.Blame(subject))
		}
	}
}

// recheckAll schedules all blames for comparison with the key-value service. It is called
// after a restore, in which the key-value service may have lost some of them.
func (guard *guard) recheckAll() {
	now := guard.node.Timers.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	for _, blame := range guard.ledger.All() {
		guard.unwritten[blame.Subject] = now
	}
}

// unwrittenBlames returns the requests whose blames may have to be written, with the
// times at which the blames changed.
func (guard *guard) unwrittenBlames() map[shedkeel.Subject]time.Duration {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return maps.Clone(guard.unwritten)
}

// markWritten removes a blame that changed at the time since from the unwritten ones, unless
// the blame has changed again later.
func (guard *guard) markWritten(subject shedkeel.Subject, since time.Duration) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.unwritten[subject] == since {
		delete(guard.unwritten, subject)
	}
}

// minRecordedServers is how many servers a blame names that has a record. Most parts that are
// suspected because of one server are cleared within a second.
const minRecordedServers = 2

// needsRecord reports whether the key-value service is to have a record of the blame.
func needsRecord(blame shedkeel.Blame) bool {
	return contain.Judge(blame) != shedkeel.Unblamed && len(blame.Servers) >= minRecordedServers
}

// recordChange returns the change that makes a record agree with the blame, and whether a change
// is needed. Only subjects for which needsRecord returns true have a record. The change takes effect only
// if the stored record still has the revision of the given one.
func recordChange(blame shedkeel.Blame, record shedkeel.Record) (shedkeel.Transaction, bool) {
	key := BlamePrefix + string(blame.Subject)
	exists := record.Revision.Exists()
	var written shedkeel.Blame
	// A record that is unreadable or names another request is replaced or removed.
	readable := exists && json.Unmarshal(record.Value, &written) == nil && written.Subject == blame.Subject
	current := readable && written.Round >= blame.Round && len(written.Servers) >= len(blame.Servers) && (written.Contained || !blame.Contained)
	change := shedkeel.Transaction{If: []shedkeel.Condition{{Key: key, Revision: record.Revision}}}
	switch {
	case !needsRecord(blame):
		change.Remove = []string{key}
		return change, exists && (!readable || written.Round <= blame.Round)
	case current:
		return change, false
	}
	value, err := json.Marshal(blame)
	if err != nil {
		return change, false // does not happen: a blame can always be encoded
	}
	change.Put = []shedkeel.Put{{Key: key, Value: value}}
	return change, true
}

// write commits a change and applies it to the mirror. If the commit fails, write logs the
// error, and writePending tries again. In both cases the blame stays unwritten until
// writePending finds that its record needs no change.
func (guard *guard) write(ctx context.Context, change shedkeel.Transaction) {
	revision, err := guard.node.Store.Commit(ctx, change)
	if err != nil {
		guard.node.Log.Write(event.BlameWriteFailed, slog.String("error", err.Error()))
		return
	}
	record := shedkeel.Record{Key: change.If[0].Key, Revision: revision, Removed: len(change.Remove) > 0}
	if !record.Removed {
		record.Value = change.Put[0].Value
	}
	guard.node.mirror.Apply(mirrorUpdate(record))
}

// judgedSubjects returns the quarantined and contained subjects, sorted, for operators.
func (guard *guard) judgedSubjects() []BlameDump {
	found := []BlameDump{}
	for _, blame := range guard.ledger.All() {
		judgment := guard.ledger.Judge(blame.Subject)
		if judgment == shedkeel.Unblamed {
			continue
		}
		dump := BlameDump{Request: blame.Subject, Judgment: judgment.String(), Servers: blame.Servers, Since: blame.Since, Recorded: needsRecord(blame), RefusedAccounts: []shedkeel.AccountID{}}
		dump.Model, dump.Part, _ = blame.Subject.Part()
		guard.mutex.Lock()
		if refused := guard.refusals[blame.Subject]; refused != nil {
			dump.Refused = refused.count
			dump.RefusedAccounts = slices.Sorted(maps.Keys(refused.accounts))
		}
		guard.mutex.Unlock()
		found = append(found, dump)
	}
	slices.SortFunc(found, func(a, b BlameDump) int { return cmp.Compare(a.Request, b.Request) })
	return found
}

// applyRecord processes a record of a blame from the key-value service: it merges the blame into
// the ledger, or clears the blame if the record was removed. It skips a record that is unreadable
// or names another request than its key.
func (guard *guard) applyRecord(record shedkeel.Record) {
	subject := shedkeel.Subject(strings.TrimPrefix(record.Key, BlamePrefix))
	if record.LostInRestore {
		return // recheckAll has scheduled the blame to be written again
	}
	if record.Removed { // the request was answered, or an operator has released it
		if before, now := guard.ledger.Clear(subject); len(before.Servers) > 0 {
			guard.blameChanged(now)
		}
		return
	}
	var blame shedkeel.Blame
	if err := guard.node.fleet.decodeRecord(record, &blame); err != nil {
		return
	}
	if blame.Subject != subject {
		guard.node.fleet.skipRecord(record, &shedkeel.InvalidError{Where: record.Key, What: "it is not about the request that its key names", Remedy: "remove it"})
		return
	}
	if _, _, isPart := subject.Part(); isPart {
		guard.mergeParts([]shedkeel.Blame{blame})
		return
	}
	if merged, changed := guard.ledger.Merge(blame); changed {
		guard.blameChanged(merged)
	}
}
