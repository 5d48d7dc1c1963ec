package node

import (
	"context"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/contain"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

const (
	// reviewInterval is the time between two reviews of the parts that are quarantined or contained.
	reviewInterval = time.Second
	// maxTrialRequests is how often a request asks for a trial of its parts before it is refused.
	maxTrialRequests = 3
)

// The collector of a model is the node that nodes tell of the servers that have terminated under
// requests for the model. It finds the parts of prompts that terminate servers, tells them to all nodes
// and allows the trials. If it does not answer, nodes tell the next of the model's deciders, which
// knows the records but not the reports.

// collectors returns the nodes that may be the collector of a model, in the order in which they are
// asked until one answers.
func (guard *guard) collectors(model shedkeel.ModelID) []shedkeel.NodeID {
	return guard.node.peers.deciders(shedkeel.PartSubject(model, ""))
}

// isCollector reports whether this node is the first of the collectors of a subject's model.
func (guard *guard) isCollector(subject shedkeel.Subject) bool {
	model, _, _ := subject.Part()
	collectors := guard.collectors(model)
	return len(collectors) > 0 && collectors[0] == guard.node.Settings.Node
}

// ask sends a call to the collector of a model, and merges the records of the reply. It returns false if
// no collector has answered within the timeout.
func (guard *guard) ask(ctx context.Context, model shedkeel.ModelID, call *wire.PartsCall, timeout time.Duration) (*wire.PartsReply, bool) {
	call.Node = string(guard.node.Settings.Node)
	for _, id := range guard.collectors(model) {
		if id == guard.node.Settings.Node {
			return guard.answerParts(call), true
		}
		peer := guard.node.peers.peer(id)
		if peer == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		reply, err := peer.priorityWire.Do(callCtx, &wire.Call{Kind: &wire.Call_Parts{Parts: call}})
		cancel()
		if err == nil {
			guard.mergeParts(blamesOf(reply.GetParts().GetRecords()))
			return reply.GetParts(), true
		}
	}
	return nil, false
}

// runTellCollector sends a call to the collector of a model. If none answers, the records of the call
// are sent to all nodes later (see resendUnwritten).
func (guard *guard) runTellCollector(model shedkeel.ModelID, call *wire.PartsCall) {
	_, _ = guard.ask(context.Background(), model, call, blameTimeout)
}

// reportEnd records that a server has terminated under a request, and reports the parts to the
// collector. Requests without parts are reported as well: a part under which other servers have
// terminated is not the cause there.
func (guard *guard) reportEnd(request shedkeel.GuardedRequest, server shedkeel.InstanceID) {
	report := guard.detector.ServerEnded(request, server, guard.node.Timers.Now(), time.Now())
	call := &wire.PartsCall{Kind: wire.PartsCall_ENDED, Servers: []string{string(server)}, Harmless: textsOf(report.Harmless), Tried: string(report.Tried)}
	for _, suspect := range report.Suspects {
		call.Records = append(call.Records, newPartRecord(suspect))
	}
	go guard.runReportEnd(request.Model, call)
}

// runReportEnd sends the report of a terminated server to the collector of a model. Unless the
// collector knows the suspects to be harmless, it then acts on them.
func (guard *guard) runReportEnd(model shedkeel.ModelID, call *wire.PartsCall) {
	guard.runTellCollector(model, call)
	for _, record := range call.GetRecords() {
		blame := guard.ledger.Blame(shedkeel.Subject(record.GetSubject()))
		if blame.Round == record.GetRound() {
			guard.blameChanged(blame)
		}
	}
}

// reportWithdrawn tells the collector that this node has canceled requests with a part at servers.
func (guard *guard) reportWithdrawn(part shedkeel.Subject, servers []shedkeel.InstanceID) {
	model, _, _ := part.Part()
	go guard.runTellCollector(model, &wire.PartsCall{Kind: wire.PartsCall_WITHDRAWN, Parts: []string{string(part)}, Servers: textsOf(servers)})
}

// PartsHarmless clears the parts of a request, as an answer proves them harmless.
func (guard *guard) PartsHarmless(parts []shedkeel.Subject) {
	for _, blame := range guard.detector.PartsHarmless(parts, guard.node.Timers.Now()) {
		guard.blameChanged(blame)
		guard.tellCleared(blame)
	}
}

// tellCleared tells the collector that a part is harmless.
func (guard *guard) tellCleared(blame shedkeel.Blame) {
	model, _, _ := blame.Subject.Part()
	go guard.runTellCollector(model, &wire.PartsCall{Kind: wire.PartsCall_CLEARED, Records: []*wire.PartRecord{newPartRecord(blame)}})
}

// mergeParts merges records of parts, and tells the collector of those parts that this node knows to
// be harmless. It returns the records that changed otherwise.
func (guard *guard) mergeParts(blames []shedkeel.Blame) (changed []shedkeel.Blame) {
	for _, blame := range blames {
		if _, _, isPart := blame.Subject.Part(); !isPart {
			continue // a node of another version
		}
		merged, isChanged, refuted := guard.detector.Merge(blame, guard.node.Timers.Now())
		switch {
		case refuted:
			guard.blameChanged(merged)
			guard.tellCleared(merged)
		case isChanged:
			guard.blameChanged(merged)
			changed = append(changed, merged)
		}
	}
	return changed
}

// tellParts sends records of parts to all live nodes.
func (guard *guard) tellParts(blames []shedkeel.Blame) {
	if len(blames) == 0 {
		return
	}
	call := &wire.PartsCall{Kind: wire.PartsCall_TELL, Node: string(guard.node.Settings.Node)}
	for _, blame := range blames {
		call.Records = append(call.Records, newPartRecord(blame))
	}
	for _, peer := range guard.node.peers.alivePeers() {
		go peer.runTellParts(call)
	}
}

// runTellParts sends records to the peer. A peer that misses them is told again, or reads them from
// the key-value service (see resendUnwritten).
func (peer *peer) runTellParts(call *wire.PartsCall) {
	ctx, cancel := context.WithTimeout(context.Background(), blameTimeout)
	defer cancel()
	_, _ = peer.priorityWire.Do(ctx, &wire.Call{Kind: &wire.Call_Parts{Parts: call}})
}

// sendAgain sends a blame to all nodes that may have missed it. A blame of a part is sent by the deciders
// of the part alone: all nodes hold it as unwritten.
func (guard *guard) sendAgain(blame shedkeel.Blame) {
	if _, _, isPart := blame.Subject.Part(); isPart {
		if slices.Contains(guard.node.peers.deciders(blame.Subject), guard.node.Settings.Node) {
			guard.tellParts([]shedkeel.Blame{blame})
		}
		return
	}
	guard.send(blame, true)
}

// handleParts answers a call of another node.
func (guard *guard) handleParts(call *wire.PartsCall) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Parts{Parts: guard.answerParts(call)}}
}

// answerParts answers a call, which may be this node's own.
func (guard *guard) answerParts(call *wire.PartsCall) *wire.PartsReply {
	now := guard.node.Timers.Now()
	switch call.GetKind() {
	case wire.PartsCall_TELL:
		guard.mergeParts(blamesOf(call.GetRecords()))
	case wire.PartsCall_CLEARED:
		guard.tellParts(guard.mergeParts(blamesOf(call.GetRecords())))
	case wire.PartsCall_ENDED:
		return guard.collect(call, now)
	case wire.PartsCall_WITHDRAWN:
		for _, part := range call.GetParts() {
			for _, server := range call.GetServers() {
				guard.detector.Withdrawn(shedkeel.Subject(part), shedkeel.InstanceID(server), now)
			}
		}
	case wire.PartsCall_TRY:
		return guard.answerTry(call, now)
	case wire.PartsCall_PLACED:
		for _, server := range call.GetServers() {
			guard.detector.PlaceTrial(namesOf[shedkeel.Subject](call.GetParts()), shedkeel.InstanceID(server))
		}
	case wire.PartsCall_DONE:
		guard.detector.EndTrial(namesOf[shedkeel.Subject](call.GetParts()))
	}
	return &wire.PartsReply{}
}

// collect records the report of a terminated server and tells all nodes what follows from it.
func (guard *guard) collect(call *wire.PartsCall, now time.Duration) *wire.PartsReply {
	reply := &wire.PartsReply{}
	for _, server := range call.GetServers() {
		report := contain.Ending{
			Server: shedkeel.InstanceID(server), Suspects: blamesOf(call.GetRecords()),
			Harmless: namesOf[shedkeel.Subject](call.GetHarmless()), Tried: shedkeel.Subject(call.GetTried()),
		}
		changed, refuted := guard.detector.Collect(report, now, time.Now())
		for _, blame := range changed {
			guard.blameChanged(blame)
		}
		guard.tellParts(changed)
		for _, blame := range refuted {
			reply.Records = append(reply.Records, newPartRecord(blame))
		}
	}
	return reply
}

// answerTry decides about a trial for another node.
func (guard *guard) answerTry(call *wire.PartsCall, now time.Duration) *wire.PartsReply {
	guard.tellParts(guard.mergeParts(blamesOf(call.GetRecords())))
	guard.conclude(now)
	parts := namesOf[shedkeel.Subject](call.GetParts())
	decision := guard.detector.AllowTrial(parts, now)
	reply := &wire.PartsReply{Allowed: decision.Allowed, WaitMs: uint32(decision.Wait.Milliseconds()), Avoid: textsOf(decision.Avoid)}
	for _, part := range parts {
		if blame := guard.ledger.Blame(part); blame.Round > 0 || len(blame.Servers) > 0 {
			reply.Records = append(reply.Records, newPartRecord(blame))
		}
	}
	return reply
}

// conclude contains the parts that are found to terminate servers, and tells all nodes.
func (guard *guard) conclude(now time.Duration) {
	contained := guard.detector.Conclude(now)
	for _, blame := range contained {
		guard.blameChanged(blame)
	}
	guard.tellParts(contained)
}

// reviewParts concludes which parts terminate servers, and lets go those without recent evidence.
func (guard *guard) reviewParts(now time.Duration) {
	if guard.ledger.Idle() {
		return
	}
	guard.conclude(now)
	if now-guard.reviewedAt < reviewInterval {
		return
	}
	guard.reviewedAt = now
	changed := guard.detector.Review(guard.isCollector, now)
	for _, blame := range changed {
		guard.blameChanged(blame)
	}
	guard.tellParts(changed)
}

// acquireParts reports whether a request with quarantined parts may be sent to a server now, as
// the collector decides. If no collector answers, it may not.
func (guard *guard) acquireParts(ctx context.Context, request shedkeel.GuardedRequest) (shedkeel.Trial, bool) {
	trial := shedkeel.Trial{Placed: func(shedkeel.InstanceID) {}, Done: func() {}}
	for range maxTrialRequests {
		call := &wire.PartsCall{Kind: wire.PartsCall_TRY}
		for _, part := range request.Parts {
			if guard.ledger.Judge(part) != shedkeel.Unblamed {
				call.Parts = append(call.Parts, string(part))
				call.Records = append(call.Records, newPartRecord(guard.ledger.Blame(part)))
			}
		}
		if len(call.GetParts()) == 0 {
			return trial, true
		}
		reply, answered := guard.ask(ctx, request.Model, call, trialTimeout)
		switch {
		case !answered:
			return trial, false
		case reply.GetAllowed():
			trial.Avoid = namesOf[shedkeel.InstanceID](reply.GetAvoid())
			trial.Placed = func(server shedkeel.InstanceID) {
				go guard.runTellCollector(request.Model, &wire.PartsCall{Kind: wire.PartsCall_PLACED, Parts: call.GetParts(), Servers: []string{string(server)}})
			}
			trial.Done = func() {
				go guard.runTellCollector(request.Model, &wire.PartsCall{Kind: wire.PartsCall_DONE, Parts: call.GetParts()})
			}
			return trial, true
		case reply.GetWaitMs() == 0:
			return trial, false
		}
		timer.Sleep(ctx, time.Duration(reply.GetWaitMs())*time.Millisecond)
	}
	return trial, false
}

// newPartRecord returns a blame as it is sent to other nodes.
func newPartRecord(blame shedkeel.Blame) *wire.PartRecord {
	record := &wire.PartRecord{Subject: string(blame.Subject), Round: blame.Round, Servers: textsOf(blame.Servers), Contained: blame.Contained, WasHarmless: blame.WasHarmless}
	if !blame.Since.IsZero() {
		record.SinceMs = blame.Since.UnixMilli()
	}
	return record
}

// blamesOf returns the blames that another node has sent.
func blamesOf(records []*wire.PartRecord) []shedkeel.Blame {
	var blames []shedkeel.Blame
	for _, record := range records {
		blame := shedkeel.Blame{
			Subject: shedkeel.Subject(record.GetSubject()), Round: record.GetRound(), Servers: namesOf[shedkeel.InstanceID](record.GetServers()),
			Contained: record.GetContained(), WasHarmless: record.GetWasHarmless(),
		}
		if record.GetSinceMs() != 0 {
			blame.Since = time.UnixMilli(record.GetSinceMs())
		}
		blames = append(blames, blame)
	}
	return blames
}

// textsOf returns names as texts.
func textsOf[Name ~string](names []Name) []string {
	var texts []string
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return texts
}

// namesOf returns texts as names.
func namesOf[Name ~string](texts []string) []Name {
	var names []Name
	for _, text := range texts {
		names = append(names, Name(text))
	}
	return names
}
