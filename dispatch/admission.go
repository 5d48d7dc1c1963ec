package dispatch

import (
	"time"

	"shedkeel.org/shedkeel"
)

// Estimate is what Recommend expects of a request before it assigns it to a group.
type Estimate struct {
	Running  float64       // requests of all processes that run on the usable groups of the partition
	Slots    int           // requests that these groups run at once
	Queueing time.Duration // delay of the first event by requests that run on the best group
	Work     float64       // slot time that the request takes, in seconds
}

// Outcomes counts requests with a Query.Due since the start of this process.
type Outcomes struct {
	Met    uint64 // the first event came in time
	Missed uint64 // it came later, or is overdue
	// Expected and Actual are the sums of the expected delays (Query.Queueing) and of the actual
	// ones, which is the time to the first event less that on an idle group.
	Expected time.Duration
	Actual   time.Duration
}

// countOutcome counts whether the first event, which comes now or is overdue, is in time. The caller
// must hold the table's mutex.
func (choice *Choice) countOutcome(now time.Duration) {
	if choice.due == 0 {
		return
	}
	key := poolKey{choice.Service, choice.Model}
	if choice.table.outcomes == nil {
		choice.table.outcomes = map[poolKey]*Outcomes{}
	}
	outcomes := choice.table.outcomes[key]
	if outcomes == nil {
		outcomes = &Outcomes{}
		choice.table.outcomes[key] = outcomes
	}
	if now <= choice.due {
		outcomes.Met++
	} else {
		outcomes.Missed++
	}
	choice.due = 0
	outcomes.Expected += choice.queueing
	outcomes.Actual += max(now-choice.ChosenAt-choice.expectedResponseTime(), 0)
}

// countOverdue counts the requests whose first event is overdue. The caller must hold the table's mutex.
func (serverState *serverState) countOverdue(now time.Duration) {
	for choice := range serverState.running {
		if now > choice.due {
			choice.countOutcome(now)
		}
	}
}

// estimate returns what is expected of a request that is sent to the given group, the best of the
// query's partition. The caller must hold table.mutex.
func (table *Table) estimate(query Query, best *serverState) Estimate {
	estimate := Estimate{
		Queueing: best.firstEventDelay(query.Now),
		Work:     (best.prefillTime(query.PromptTokens) + time.Duration(query.MaxAnswerTokens)*best.TokenTime).Seconds(),
	}
	for _, member := range table.pools[poolKey{query.Service, query.Model}] {
		if !member.usable(query) || !member.inPartition(query) {
			continue
		}
		member.assigned.decay(query.Now, member.duration.value())
		estimate.Running += member.assigned.running
		estimate.Slots += member.concurrency()
	}
	return estimate
}

// inPartition reports whether the group belongs to the query's partition.
func (serverState *serverState) inPartition(query Query) bool {
	return serverState.hash%uint32(max(query.Partitions, 1)) == uint32(query.Partition)
}

// PartitionAt returns the partition of a model's groups that a point between 0 and 1 falls on, if each
// partition has a part of that range in proportion to its groups. A change of the groups moves few
// points to another partition.
func (table *Table) PartitionAt(service shedkeel.ServiceID, model shedkeel.ModelID, point float64) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	members := table.pools[poolKey{service, model}]
	sizes := make([]int, max(partitionCount(len(members)), 1))
	for _, member := range members {
		sizes[member.hash%uint32(len(sizes))]++
	}
	below := 0
	for partition, size := range sizes {
		below += size
		if point*float64(len(members)) < float64(below) {
			return partition
		}
	}
	return 0
}
