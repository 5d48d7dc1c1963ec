package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/overload"
)

const (
	// prefillShare is the share of its time in which a busy group prefills prompts. In the
	// rest the group generates tokens, so its pending prefill work shrinks more slowly than
	// time passes.
	prefillShare = 0.5
	// defaultDelayPerRequest is the assumed Server.DelayPerRequest of groups that state
	// none.
	defaultDelayPerRequest = time.Millisecond
	// groupsPerPartition is the highest average number of groups in a partition, over which one
	// process spreads the requests. It is large enough that a partition nearly always has a group
	// that is not busy, and small enough that the calls of Recommend take a few hundredths of one
	// CPU core.
	groupsPerPartition = 24
	// slowThreshold is the minimum ratio of a group's latency ratio to the median of its model's
	// groups (medianLatencyRatio) at which the group counts as slow. Each process sees few
	// responses of a group, and smaller differences are due to chance.
	slowThreshold = 2.0
	// reportExpiry is how long the last report of a process counts towards the running requests of
	// all processes. Reports come with requests (Recommend), so a process that sends no report for
	// that long has few requests running.
	reportExpiry = 3 * time.Second
	// remoteZoneDelay is added to the expected wait of a group in another availability
	// zone. The round trip of the link takes 1 to 2 ms.
	remoteZoneDelay = 3 * time.Millisecond
)

// workload is an estimate of the work that all processes have given to a group: what
// Recommend assigned to the group, with the number of running requests corrected by the
// reports of the processes.
type workload struct {
	at      time.Duration // time of the estimate
	prefill time.Duration // pending prefill work
	running float64       // requests that are expected to be running
}

// remainingShare returns the share of running requests that are expected to be still running
// after the elapsed time, if streams last for the given duration on average.
func remainingShare(elapsed, duration time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / duration.Seconds())
}

// decay removes the work that is expected to be done since the last update. duration is the mean
// duration of a stream.
func (workload *workload) decay(now, duration time.Duration) {
	elapsed := max(now-workload.at, 0)
	workload.at = now
	workload.prefill = max(workload.prefill-time.Duration(prefillShare*float64(elapsed)), 0)
	workload.running *= remainingShare(elapsed, duration)
}

// RunningRequests counts the requests that run on a model. A request is late if the model's
// slots were too full at its admission for the request to get one without a wait
// (Query.Late); other requests are on time.
type RunningRequests struct {
	OnTime int
	Late   int // late requests queue behind those on time
}

// Reporter is a process that asks for the best group for a request, with its report of
// its running requests.
type Reporter struct {
	Process string
	Zone    shedkeel.ZoneID
	Running RunningRequests // requests of the process that run on the model, without the new request
	// Groups counts the process's running requests by the head of their group.
	Groups map[shedkeel.InstanceID]int
	// Heard has the time at which the process last received an event, by the head of the group.
	Heard map[shedkeel.InstanceID]time.Duration
}

// Recommendation is the answer of Recommend for one request.
type Recommendation struct {
	Head    shedkeel.InstanceID // head of the recommended group; empty: fastestGroup found none
	Running RunningRequests     // of all processes, on all groups of the model
	// Decision is the admission decision of the process that recommends, if Query.Admission
	// asks for one; nil: it made none. Recommend itself leaves it nil.
	Decision *overload.Decision
}

// report is the last report of a process on its running requests.
type report struct {
	running RunningRequests
	groups  map[shedkeel.InstanceID]float64 // running requests by head, including those assigned since the report
	at      time.Duration
}

// Recommend assigns the request to the group that fastestGroup chooses, if any and if query.Admit
// allows it, and returns the group. It also records the request as demand and replaces the reporter's last report. One process calls it
// for all requests of a partition: each process alone knows few requests of a group, and prompts
// that a group prefills at the same time delay each other.
func (table *Table) Recommend(query Query, reporter Reporter) Recommendation {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	key := poolKey{query.Service, query.Model}
	if query.Admission == nil || query.Admission.Held == 0 { // a request that was held back has been counted
		table.recordDemand(query)
	}
	current := table.recordReport(key, reporter, query.Now)
	// Running counts the requests of all unexpired reports, without this request.
	recommendation := Recommendation{Running: table.totalRunning(key, query.Now)}
	best := table.fastestGroup(query, reporter.Zone)
	if best != nil && query.Admit != nil && !query.Admit(table.estimate(query, best)) {
		return recommendation
	}
	if best != nil {
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

// recordReport replaces the last report of a process and corrects the workload of each group by the
// difference between the reported and the expected running requests. Assignments alone are a poor
// estimate, because streams last longer on groups that run more streams. The caller must hold
// table.mutex.
func (table *Table) recordReport(key poolKey, reporter Reporter, now time.Duration) report {
	if table.reports == nil {
		table.reports = map[poolKey]map[string]report{}
	}
	if table.reports[key] == nil {
		table.reports[key] = map[string]report{}
	}
	previous := table.reports[key][reporter.Process]
	duration := table.durations[key].value()
	remaining := remainingShare(now-previous.at, duration)
	for _, state := range table.pools[key] {
		state.activity.reported = max(state.activity.reported, reporter.Heard[state.Instance])
		state.assigned.decay(now, duration)
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

// totalRunning returns the sum of the running requests that all processes report for a model,
// and drops reports older than reportExpiry. The caller must hold table.mutex.
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
// partition that are usable and not saturated, or nil if there is no such group. The caller
// must hold table.mutex.
func (table *Table) fastestGroup(query Query, zone shedkeel.ZoneID) *serverState {
	members := table.pools[poolKey{query.Service, query.Model}]
	medianRatio := medianLatencyRatio(members, query.Now)
	var best *serverState
	shortest := 0.0
	for _, candidate := range members {
		if !candidate.usable(query) || candidate.limit.saturated(query.Now) || !candidate.inPartition(query) {
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
// after it has applied decayPenalties to the groups. Groups count as slow in relation to the
// median, because a traffic burst slows down all groups.
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

// expectedWait returns the estimated time to the first event in seconds, without the prefill of the
// request itself. The result is higher for a group that fails requests (expectedAttempts) or is
// slow (slowThreshold). medianRatio is the median latency ratio of the model's groups.
func (serverState *serverState) expectedWait(zone shedkeel.ZoneID, medianRatio float64, now time.Duration) float64 {
	wait := idleFirstEventTime + serverState.firstEventDelay(now)
	if serverState.Zone != zone {
		wait += remoteZoneDelay
	}
	cost := wait.Seconds() * expectedAttempts(serverState.failureRate)
	if serverState.latencyRatio >= slowThreshold*medianRatio {
		cost *= serverState.latencyRatio / medianRatio
	}
	return cost
}

// firstEventDelay returns by how much the requests that are assigned to the group are expected to
// delay the first event of another one.
func (serverState *serverState) firstEventDelay(now time.Duration) time.Duration {
	duration := serverState.duration.value()
	serverState.assigned.decay(now, duration)
	delayPerRequest := serverState.DelayPerRequest
	if delayPerRequest <= 0 {
		delayPerRequest = defaultDelayPerRequest
	}
	delay := serverState.assigned.prefill + time.Duration(serverState.assigned.running*float64(delayPerRequest))
	if queued := serverState.assigned.running + 1 - float64(serverState.Slots); serverState.Slots > 0 && queued > 0 {
		delay += time.Duration(queued / float64(serverState.Slots) * float64(duration))
	}
	return delay
}

// expectedAttempts returns the mean number of attempts until a group with that failure rate
// answers a request, but at most maxAttempts. With this factor in its cost, a group that fails
// some of its requests gets fewer requests, but still some when the other groups are full.
func expectedAttempts(failureRate float64) float64 {
	return 1 / max(1-failureRate, 1.0/maxAttempts)
}
