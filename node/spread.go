package node

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/overload"
	"shedkeel.org/shedkeel/wire"
)

const (
	// spreadTimeout is how long a request waits for the answer of the spreader (see
	// peers.spreader); a round trip takes 2 to 4 ms. Without an answer, this node chooses
	// the group alone.
	spreadTimeout = 20 * time.Millisecond
	// spreaderBackoff is how long a node that gave no answer as a spreader is not asked
	// again, so that few requests wait in vain.
	spreaderBackoff = time.Second
)

// reservedNodes is how many of the first live nodes, in the order of compareNodes, have
// other work: to plan, and to follow the key-value service. They spread requests only if no
// other node does.
const reservedNodes = 2

// failure is the time at which something last failed. The zero value means never.
type failure struct{ at atomic.Int64 }

// record records a failure at the time now.
func (failure *failure) record(now time.Duration) { failure.at.Store(int64(now)) }

// isRecent reports whether the last failure is less than span before now.
func (failure *failure) isRecent(span, now time.Duration) bool {
	at := time.Duration(failure.at.Load())
	return at != 0 && now-at < span
}

// recommendGroup recommends the group to which a request is best sent. It asks the spreader of a
// random partition of the model's groups, or decides itself if this node is the spreader. It
// returns false if there is no spreader to ask or the spreader does not answer within
// spreadTimeout. The load is that of this node's running requests on the model's groups.
func (peers *peers) recommendGroup(ctx context.Context, query dispatch.Query, load dispatch.Load) (dispatch.Recommendation, bool) {
	query.Partitions = peers.node.table.Partitions(query.Service, query.Model)
	switch {
	case query.Partitions <= 1:
	case query.Admission != nil: // all attempts of a caller reach the controller that may have promised it capacity
		query.Partition = peers.node.table.PartitionAt(query.Service, query.Model, float64(query.Admission.Digest)/math.MaxUint64)
	default:
		query.Partition = peers.randomPartition(query.Partitions)
	}
	peer, own := peers.spreader(query.Partition, query.Now)
	settings := &peers.node.Settings
	if own {
		reporter := dispatch.Reporter{Process: string(settings.Node), Zone: settings.Zone, Running: load.RunningRequests, Groups: load.Groups, Heard: load.Heard}
		return peers.recommendFor(query, reporter, load.Outcomes), true
	}
	if peer == nil {
		return dispatch.Recommendation{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	call := &wire.SpreadCall{
		Node: string(settings.Node), Zone: string(settings.Zone), Service: string(query.Service), Model: string(query.Model), Prompt: uint32(max(query.PromptTokens, 0)), Answer: uint32(max(query.MaxAnswerTokens, 0)),
		Running: &wire.Running{OnTime: uint32(load.OnTime), Late: uint32(load.Late)},
		Part:    uint32(query.Partition), Parts: uint32(query.Partitions),
	}
	if query.Admission != nil {
		call.Admission = admissionCall(query.Admission, load.Outcomes)
	}
	for head, running := range load.Groups {
		call.Groups = append(call.Groups, &wire.GroupLoad{Instance: string(head), Running: uint32(running), IdleMs: formatAge(load.Heard[head], query.Now)})
	}
	reply, err := peer.priorityWire.Do(callCtx, &wire.Call{Kind: &wire.Call_Spread{Spread: call}})
	answer := reply.GetSpread()
	if err != nil || answer == nil {
		if ctx.Err() == nil { // the spreader failed to answer; it is not asked again for spreaderBackoff
			peer.spreadFailure.record(peers.node.Timers.Now())
		}
		return dispatch.Recommendation{}, false
	}
	return dispatch.Recommendation{Head: shedkeel.InstanceID(answer.GetInstance()), Running: parseRunning(answer.GetRunning()), Decision: parseDecision(answer.GetAdmission())}, true
}

// recommendFor recommends a group for a request of any node. If the query asks for admission, it decides
// on that too, and assigns no group to a rejected request.
func (peers *peers) recommendFor(query dispatch.Query, reporter dispatch.Reporter, outcomes dispatch.Outcomes) dispatch.Recommendation {
	if query.Admission == nil {
		return peers.node.table.Recommend(query, reporter)
	}
	var decision *overload.Decision
	query.Admit = func(estimate dispatch.Estimate) bool {
		key := admissionKey{query.Service, query.Model, query.Partition}
		decided := peers.node.admissions.decide(key, admissionReport{shedkeel.NodeID(reporter.Process), outcomes}, *query.Admission, estimate, query.Now)
		decision = &decided
		return decided.Class != overload.Reject
	}
	recommendation := peers.node.table.Recommend(query, reporter)
	recommendation.Decision = decision
	return recommendation
}

// parseRunning converts the numbers of running requests from their wire form.
func parseRunning(running *wire.Running) dispatch.RunningRequests {
	return dispatch.RunningRequests{OnTime: int(running.GetOnTime()), Late: int(running.GetLate())}
}

// randomPartition returns a random index below the number of partitions.
func (peers *peers) randomPartition(partitions int) int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return int(peers.random.Uint64() % uint64(partitions))
}

// spreader returns the spreader of a partition of a model's groups, which assigns the requests of
// all nodes to these groups, or nil and true if it is this node. If the partition has none of its
// own, or a call to it failed within spreaderBackoff, one of the first reservedNodes alive nodes
// replaces it. If calls to these failed too, spreader returns nil and false.
func (peers *peers) spreader(partition int, now time.Duration) (asked *peer, own bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, _, _ := peers.aliveWithSelf()
	candidates := []int{reservedNodes - 1, reservedNodes - 2}
	if rest := len(nodes) - reservedNodes; rest > 0 {
		candidates = append([]int{reservedNodes + partition%rest}, candidates...)
	}
	for _, place := range candidates {
		if place >= len(nodes) {
			continue
		}
		if nodes[place].ID == peers.node.Settings.Node {
			return nil, true
		}
		if peer := peers.known[nodes[place].ID]; !peer.spreadFailure.isRecent(spreaderBackoff, now) {
			return peer, false
		}
	}
	return nil, false
}

// handleSpread answers a call of another node that asks to which group a request is
// best sent.
func (peers *peers) handleSpread(call *wire.SpreadCall) *wire.Reply {
	query := dispatch.Query{
		Service: shedkeel.ServiceID(call.GetService()), Model: shedkeel.ModelID(call.GetModel()), PromptTokens: int(call.GetPrompt()), MaxAnswerTokens: int(call.GetAnswer()), Now: peers.node.Timers.Now(),
		Partition: int(call.GetPart()), Partitions: int(call.GetParts()),
	}
	reporter := dispatch.Reporter{Process: call.GetNode(), Zone: shedkeel.ZoneID(call.GetZone()), Running: parseRunning(call.GetRunning()), Groups: map[shedkeel.InstanceID]int{}, Heard: map[shedkeel.InstanceID]time.Duration{}}
	for _, group := range call.GetGroups() {
		head := shedkeel.InstanceID(group.GetInstance())
		reporter.Groups[head] = int(group.GetRunning())
		reporter.Heard[head] = parseAge(group.GetIdleMs(), query.Now)
	}
	if admission := call.GetAdmission(); admission != nil {
		request := parseAdmission(admission)
		query.Admission = &request
	}
	recommendation := peers.recommendFor(query, reporter, parseOutcomes(call.GetAdmission()))
	return &wire.Reply{Kind: &wire.Reply_Spread{Spread: &wire.SpreadReply{
		Instance: string(recommendation.Head), Running: &wire.Running{OnTime: uint32(recommendation.Running.OnTime), Late: uint32(recommendation.Running.Late)},
		Admission: admissionReply(recommendation.Decision),
	}}}
}
