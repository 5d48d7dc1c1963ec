package dispatch

import (
	"math"
	"time"

	"shedkeel.org/shedkeel"
)

// demandTimeConstant is the time constant of the exponential decay of demand: a request of
// that age counts for about a third. A burst of 1 s changes the demand by less than a fifth of
// the change that a lasting increase to the same rate causes.
const demandTimeConstant = 5 * time.Second

// demand is the decayed sum of the requests for a model.
type demand struct {
	at     time.Duration // time to which the sum has decayed
	amount shedkeel.ModelDemand
}

// decay reduces the demand according to the time that has passed since its last decay.
func (demand *demand) decay(now time.Duration) {
	elapsed := max(now-demand.at, 0)
	demand.at = now
	demand.amount = demand.amount.Scale(math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds()))
}

// recordDemand counts a request for which Recommend was called. The caller must hold
// table.mutex.
func (table *Table) recordDemand(query Query) {
	key := poolKey{query.Service, query.Model}
	if table.demand == nil {
		table.demand = map[poolKey]*demand{}
	}
	entry := table.demand[key]
	if entry == nil {
		entry = &demand{at: query.Now}
		table.demand[key] = entry
	}
	entry.decay(query.Now)
	entry.amount = entry.amount.Add(shedkeel.ModelDemand{Requests: 1, PromptTokens: float64(query.PromptTokens), AnswerTokens: float64(query.MaxAnswerTokens)})
}

// Demand returns the recent demand for each model of a service: a sum over the requests for
// which this process called Recommend, whether or not it found a group. Each request's part
// of the sum decays exponentially with demandTimeConstant.
func (table *Table) Demand(service shedkeel.ServiceID, now time.Duration) map[shedkeel.ModelID]shedkeel.ModelDemand {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	demands := map[shedkeel.ModelID]shedkeel.ModelDemand{}
	for key, entry := range table.demand {
		if key.service == service {
			entry.decay(now)
			demands[key.model] = entry.amount
		}
	}
	return demands
}

// MaxPartitions returns the largest number of partitions that the groups of any model of a
// service are split into, and at least 1.
func (table *Table) MaxPartitions(service shedkeel.ServiceID) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	highest := 1
	for key, groups := range table.pools {
		if key.service == service {
			highest = max(highest, partitionCount(len(groups)))
		}
	}
	return highest
}
