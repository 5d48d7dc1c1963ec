package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// prefillShare is the share of its time in which a busy group prefills prompts. In the
	// rest the group generates tokens, so its pending prefill work shrinks more slowly than
	// time passes.
	prefillShare = 0.5
	// meanStreamDuration is the assumed mean duration of a stream. The expected number of
	// running requests decays with it as the time constant.
	meanStreamDuration = time.Second
	// defaultDelayPerRequest is the assumed increase of a group's step time per running
	// request, for groups that state no Server.DelayPerRequest.
	defaultDelayPerRequest = time.Millisecond
	// groupsPerPartition is the highest average number of groups in a partition of a
	// model's groups, over which one process spreads requests. It is large enough that a
	// partition nearly always has a group that is not busy, and small enough that the calls
	// of Recommend take a few hundredths of one CPU core.
	groupsPerPartition = 24
	// slowThreshold is the lowest ratio of a group's latency ratio to the median of the
	// model's groups at which the group counts as slow. Each process sees few responses of
	// a group, and smaller differences are due to chance.
	slowThreshold = 2.0
	// reportExpiry is how long the last report of a process counts towards the running
	// requests of all processes. A process that sends no report for that long has few
	// requests running.
	reportExpiry = 3 * time.Second
	// remoteZoneDelay is added to the expected wait of a group in another availability
	// zone. The round trip of the link takes 1 to 2 ms.
	remoteZoneDelay = 3 * time.Millisecond
)

// workload is an estimate of the work that all processes have given to a group: what
// Recommend assigned to the group, corrected by the reports of the processes.
type workload struct {
	at      time.Duration // time of the estimate
	prefill time.Duration // pending prefill work
	running float64       // requests that are expected to be running
}

// remainingShare is the share of requests that are expected to be still running after the
// elapsed time.
func remainingShare(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / meanStreamDuration.Seconds())
}

// decay removes the work that is expected to be done since the last update.
func (workload *workload) decay(now time.Duration) {
	elapsed := max(now-workload.at, 0)
	workload.at = now
	workload.prefill = max(workload.prefill-time.Duration(prefillShare*float64(elapsed)), 0)
	workload.running *= remainingShare(elapsed)
}

// RunningRequests counts the requests that run on a model.
type RunningRequests struct {
	OnTime int // requests that may be on time
	Late   int // requests that can't be on time; they queue behind those that may be
}

// Reporter is a process that asks for the best group for a request, with its report of
// its running requests.
type Reporter struct {
	Process string
	Zone    shedkeel.ZoneID
	Running RunningRequests // requests of the process that run on the model, without the new request
	// Groups counts the process's running requests by the head of their group.
	Groups map[shedkeel.InstanceID]int
}

// Recommendation is the answer of Recommend for one request.
type Recommendation struct {
	Head    shedkeel.InstanceID // head of the recommended group; empty: no group is usable
	Running RunningRequests     // of all processes, on all groups of the model
}

// report is the last report of a process on its running requests.
type report struct {
	running RunningRequests
	groups  map[shedkeel.InstanceID]float64 // running requests by head, including those assigned since the report
	at      time.Duration
}

// Recommend returns the group of a model that is expected to send the first event for the
// request soonest, given the requests assigned to the groups before, and assigns this request
// to that group. First it records the request as demand and replaces the reporter's last
// report.
//
// For each partition of a model's groups, one process calls Recommend for the requests of all
// processes. Each process alone knows few of the requests that run on a group, and prompts
// that a group prefills at the same time delay each other.
func (table *Table) Recommend(query Query, reporter Reporter) Recommendation {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	key := poolKey{query.Service, query.Model}
	table.recordDemand(query)
	current := table.recordReport(key, reporter, query.Now)
	recommendation := Recommendation{Running: table.totalRunning(key, query.Now)}
	if best := table.fastestGroup(query, reporter.Zone); best != nil {
		best.assigned.prefill += best.prefillTime(query.PromptTokens)
		best.assigned.running++
		best.limit.recordAssignment(query.Now)
		current.groups[best.Instance]++
		recommendation.Head = best.Instance
	}
	return recommendation
}

// Partitions returns the number of partitions that the groups of a model are split into. The
// requests for each partition may be spread by a different process.
func (table *Table) Partitions(service shedkeel.ServiceID, model shedkeel.ModelID) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return partitionCount(len(table.pools[poolKey{service, model}]))
}

func partitionCount(groups int) int { return (groups + groupsPerPartition - 1) / groupsPerPartition }

// groupHash selects the partition of a group. All processes must compute the same value.
func groupHash(group shedkeel.GroupID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(group)) // Write never returns an error
	return hash.Sum32()
}

// recordReport replaces the last report of a process. It adds to each group's workload the
// difference between the running requests that the process reports and those expected to be
// still running of its previous report and of the assignments since. The caller must hold
// table.mutex.
//
// Assignments alone are a poor estimate of the running requests, because streams last longer
// on groups that run more of them.
func (table *Table) recordReport(key poolKey, reporter Reporter, now time.Duration) report {
	if table.reports == nil {
		table.reports = map[poolKey]map[string]report{}
	}
	if table.reports[key] == nil {
		table.reports[key] = map[string]report{}
	}
	previous := table.reports[key][reporter.Process]
	remaining := remainingShare(now - previous.at)
	for _, state := range table.pools[key] {
		state.assigned.decay(now)
		change := float64(reporter.Groups[state.Instance]) - previous.groups[state.Instance]*remaining
		state.assigned.running = max(state.assigned.running+change, 0)
	}
	groups := map[shedkeel.InstanceID]float64{}
	for head, running := range reporter.Groups {
		groups[head] = float64(running)
	}
	current := report{running: reporter.Running, groups: groups, at: now}
	table.reports[key][reporter.Process] = current
	return current
}

// totalRunning returns the running requests of all processes on a model, and drops reports older
// than reportExpiry. The caller must hold table.mutex.
func (table *Table) totalRunning(key poolKey, now time.Duration) RunningRequests {
	var total RunningRequests
	for process, report := range table.reports[key] {
		if now-report.at > reportExpiry {
			delete(table.reports[key], process)
			continue
		}
		total.OnTime += report.running.OnTime
		total.Late += report.running.Late
	}
	return total
}

// fastestGroup returns the group with the lowest expectedWait among those of the query's
// partition that are usable and not saturated, or nil if there is none. The caller must hold
// table.mutex.
func (table *Table) fastestGroup(query Query, zone shedkeel.ZoneID) *serverState {
	members := table.pools[poolKey{query.Service, query.Model}]
	medianRatio := medianLatencyRatio(members, query.Now)
	var best *serverState
	shortest := 0.0
	for _, candidate := range members {
		if !candidate.usable(query) || candidate.limit.saturated(query.Now) || candidate.hash%uint32(max(query.Partitions, 1)) != uint32(query.Partition) {
			continue
		}
		wait := candidate.expectedWait(zone, medianRatio, query.Now)
		if best == nil || wait < shortest {
			best, shortest = candidate, wait
		}
	}
	return best
}

// medianLatencyRatio returns the median latency ratio of a model's groups, but at least 1,
// after it has applied decayPenalties to them. Groups count as slow in relation to the median,
// because a traffic burst slows down all of them.
func medianLatencyRatio(members []*serverState, now time.Duration) float64 {
	var ratios []float64
	for _, member := range members {
		member.decayPenalties(now)
		ratios = append(ratios, member.latencyRatio)
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return max(ratios[(len(ratios)-1)/2], 1)
}

// expectedWait returns the estimated time to the first event in seconds, multiplied by
// expectedAttempts and, for a slow group, by the ratio of its latency ratio to medianRatio,
// the median of the model's groups.
func (serverState *serverState) expectedWait(zone shedkeel.ZoneID, medianRatio float64, now time.Duration) float64 {
	serverState.assigned.decay(now)
	delayPerRequest := serverState.DelayPerRequest
	if delayPerRequest <= 0 {
		delayPerRequest = defaultDelayPerRequest
	}
	wait := idleFirstEventTime + serverState.assigned.prefill + time.Duration(serverState.assigned.running*float64(delayPerRequest))
	if queued := serverState.assigned.running + 1 - float64(serverState.Slots); serverState.Slots > 0 && queued > 0 {
		wait += time.Duration(queued / float64(serverState.Slots) * float64(meanStreamDuration))
	}
	if serverState.Zone != zone {
		wait += remoteZoneDelay
	}
	cost := wait.Seconds() * expectedAttempts(serverState.failureRate)
	if serverState.latencyRatio >= slowThreshold*medianRatio {
		cost *= serverState.latencyRatio / medianRatio
	}
	return cost
}

// expectedAttempts returns the mean number of attempts until a group with that failure rate
// answers a request, but at most maxAttempts. As a factor of the cost, it makes a group that
// fails some of its requests get fewer, but still some when the other groups are full.
func expectedAttempts(failureRate float64) float64 {
	return 1 / max(1-failureRate, 1.0/maxAttempts)
}
