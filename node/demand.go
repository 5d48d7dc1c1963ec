package node

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

const (
	// demandInterval is how often the leader polls the spreaders (see peers.spreader) for
	// the demand for each model.
	demandInterval = time.Second
	// demandTimeout bounds each call to a spreader. A call normally takes some milliseconds.
	demandTimeout = 300 * time.Millisecond
	// demandLogPolls is the number of polls after which the leader logs the demand again.
	demandLogPolls = 5
)

// demands holds the demand for the models of each service: the requests that all nodes have
// recently spread, that is, assigned to groups (see peers.spreader), as dispatch.Table.Demand
// counts them.
type demands struct {
	controller *controller
	pollMutex  sync.Mutex // held during a poll
	polls      int        // number of polls so far; guarded by pollMutex

	mutex  sync.Mutex
	latest map[shedkeel.ServiceID]map[shedkeel.ModelID]shedkeel.ModelDemand // as of the last poll
}

// forService returns the demand for a service's models as of the last poll, or nil if that
// poll did not include the service or there was no poll yet.
func (demands *demands) forService(service shedkeel.ServiceID) map[shedkeel.ModelID]shedkeel.ModelDemand {
	demands.mutex.Lock()
	defer demands.mutex.Unlock()
	return maps.Clone(demands.latest[service])
}

// tick starts a poll of the demand if this node leads and no poll is running.
func (demands *demands) tick(now time.Duration) {
	if demands.controller.leading(now) && demands.pollMutex.TryLock() {
		go demands.runPoll()
	}
}

// runPoll polls the demand for the models of each service that has replica groups (see
// peers.demand). It leaves out nodes that do not answer: planners only compare the models with
// each other, for which the other answers suffice. The caller has locked pollMutex; runPoll
// unlocks it.
func (demands *demands) runPoll() {
	defer demands.pollMutex.Unlock()
	node := demands.controller.node
	polled := map[shedkeel.ServiceID]map[shedkeel.ModelID]shedkeel.ModelDemand{}
	for service := range node.fleet.groupServices() {
		polled[service] = node.peers.demand(service)
	}
	demands.polls++
	if demands.polls%demandLogPolls == 0 {
		demands.logRequests(polled)
	}
	demands.mutex.Lock()
	defer demands.mutex.Unlock()
	demands.latest = polled
}

// logRequests logs the polled number of requests for each model, by service.
func (demands *demands) logRequests(polled map[shedkeel.ServiceID]map[shedkeel.ModelID]shedkeel.ModelDemand) {
	for service, models := range polled {
		requests := map[shedkeel.ModelID]int{}
		for model, demand := range models {
			requests[model] = int(demand.Requests)
		}
		demands.controller.node.Log.Write(event.Demand, slog.String("service", string(service)), slog.Any("requests", requests))
	}
}

// demand returns the demand for the models of a service: the sum over the requests that
// this node and the other nodes that answer have spread (see peers.spreader).
func (peers *peers) demand(service shedkeel.ServiceID) map[shedkeel.ModelID]shedkeel.ModelDemand {
	total := peers.node.table.Demand(service, peers.node.Timers.Now())
	var totalMutex sync.Mutex
	var queries sync.WaitGroup
	for _, peer := range peers.spreaders(service) {
		queries.Go(func() {
			spreadByPeer := peer.demand(service)
			totalMutex.Lock()
			defer totalMutex.Unlock()
			for model, demand := range spreadByPeer {
				total[model] = total[model].Add(demand)
			}
		})
	}
	queries.Wait()
	return total
}

// spreaders returns the other live nodes that may have spread requests for a service. These are
// the first reservedNodes live nodes, which replace spreaders that do not answer, and the
// MaxPartitions nodes after them, which are the spreaders of the partitions of a model's groups
// (see peers.spreader).
func (peers *peers) spreaders(service shedkeel.ServiceID) []*peer {
	partitions := peers.node.table.MaxPartitions(service)
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes, _, _ := peers.aliveWithSelf()
	var found []*peer
	for _, record := range nodes[:min(reservedNodes+partitions, len(nodes))] {
		if peer := peers.known[record.ID]; peer != nil {
			found = append(found, peer)
		}
	}
	return found
}

// demand asks the peer for the demand for a service's models in the requests that the peer has
// spread. It returns nil if the peer does not answer within demandTimeout.
func (peer *peer) demand(service shedkeel.ServiceID) map[shedkeel.ModelID]shedkeel.ModelDemand {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	reply, err := peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Demand{Demand: &wire.DemandCall{Service: string(service)}}})
	if err != nil {
		return nil // partial demand is enough to compare models
	}
	demand := map[shedkeel.ModelID]shedkeel.ModelDemand{}
	for _, model := range reply.GetDemand().GetModels() {
		demand[shedkeel.ModelID(model.GetModel())] = shedkeel.ModelDemand{Requests: model.GetRequests(), PromptTokens: model.GetPromptTokens(), AnswerTokens: model.GetAnswerTokens()}
	}
	return demand
}

// handleDemand answers the leader's call for the demand in the requests that this node
// has spread.
func (peers *peers) handleDemand(call *wire.DemandCall) *wire.Reply {
	reply := &wire.DemandReply{}
	for model, demand := range peers.node.table.Demand(shedkeel.ServiceID(call.GetService()), peers.node.Timers.Now()) {
		reply.Models = append(reply.Models, &wire.ModelDemand{Model: string(model), Requests: demand.Requests, PromptTokens: demand.PromptTokens, AnswerTokens: demand.AnswerTokens})
	}
	return &wire.Reply{Kind: &wire.Reply_Demand{Demand: reply}}
}
