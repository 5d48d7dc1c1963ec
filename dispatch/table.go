// Package dispatch chooses the backend server or replica group that a request is sent to. It weighs
// the running requests of this process, the response times and the failures of each server.
// Table.Choose chooses for the requests of this process; Table.Recommend spreads the requests of
// all processes over the groups of a model. A process is one node, with its own Table.
//
// A server is a plain server, which sends one answer to a request, or the head of a replica group,
// which sends a stream of events. Its latency ratio is the moving average of the ratio of actual to
// expected times to the first event or the answer. It is stalled if it has sent nothing for longer
// than expected while requests run there (Table.FindStalled). No new requests are sent to a server
// while it is avoided, as it is after a stall.
//
// All times are those of a shedkeel.Timers clock.
package dispatch

import (
	"strconv"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
	"shedkeel.org/shedkeel/overload"
)

const (
	// latencyWeight is the weight of the newest response in a server's latency ratio: the
	// average is mostly over the last ten responses.
	latencyWeight = 0.1
	// failureWeight is the weight of the newest outcome in a server's failure rate.
	failureWeight = 0.2
	// failureCost scales the failure rate of a plain server in its cost: a server that
	// fails every request costs 1 + failureCost times as much as one that fails none.
	// The factor is high because a request that may run only once is lost with its first
	// failure.
	failureCost = 20
	// maxAttempts bounds the expected number of attempts of a request at a group that
	// fails nearly every request.
	maxAttempts = 20
	// penaltyHalfLife is the time in which the penalties for latency and failures halve
	// (decayPenalties) while no request of this process responds or ends at the server, so
	// that the server is tried again.
	penaltyHalfLife = 2 * time.Second
	// unresponsiveCost multiplies the cost of a server with running requests that has sent
	// nothing for more than half of stallMargin beyond expectedMaxGap. After the whole
	// stallMargin the server counts as stalled and is avoided.
	unresponsiveCost = 4
	// maxPreferredCostRatio is the highest ratio of the cost of the preferred server
	// (Query.Preferred) to that of the cheapest at which the preferred one is chosen. It is still
	// chosen with two running requests, at three times the cost of an idle server, but not if it is
	// unresponsive, much slower or fails most requests.
	maxPreferredCostRatio = 3.5
	// remoteZoneCost multiplies the cost of a server in another availability zone. The
	// factor is close to 1, because the delay of the link is small compared with the time of
	// a typical answer.
	remoteZoneCost = 1.05
)

// Server is a backend server of a plain service, or a replica group that is addressed
// by its head.
type Server struct {
	Service         shedkeel.ServiceID
	Model           shedkeel.ModelID    // empty for a plain service
	Group           shedkeel.Assignment // group and epoch; empty for a plain service
	Instance        shedkeel.InstanceID
	Address         string
	Zone            shedkeel.ZoneID
	Slots           int           // requests that the server runs concurrently
	PrefillRate     float64       // prompt tokens prefilled per second; 0: not stated
	TokenTime       time.Duration // time per token of the answer at half load; 0: not stated
	MaxEventGap     time.Duration // longest time between two events of a working server; 0: not stated
	DelayPerRequest time.Duration // increase of the time between two events per running request; 0: not stated
}

// key identifies the server. A group that is formed again has another epoch and therefore
// counts as another server.
func (server *Server) key() string {
	return string(server.Instance) + "@" + string(server.Group.Group) + "@" + strconv.FormatUint(server.Group.Epoch, 10)
}

// Table holds the servers that requests may be sent to. The zero value is empty; Zone
// and Random must be set before its first use. Its methods may be called concurrently.
type Table struct {
	Zone   shedkeel.ZoneID // zone of this process
	Random shedkeel.Random
	Delays *liveness.Delays // of this process, which are no silence of the servers; nil: not known

	mutex   sync.Mutex
	servers map[string]*serverState
	pools   map[poolKey][]*serverState
	limits  map[shedkeel.InstanceID]*limit // servers that limit their rate
	// conditions holds the servers that have asked for a backoff or said that they drain.
	conditions map[shedkeel.InstanceID]*condition
	reports    map[poolKey]map[string]report // by process, for Recommend
	demand     map[poolKey]*demand           // of the requests for which Recommend was called
	// heard holds the time of each service's last event or answer over a direct connection.
	heard     map[shedkeel.ServiceID]time.Duration
	durations map[poolKey]*averageDuration // of the streams of this process
	outcomes  map[poolKey]*Outcomes
}

// poolKey identifies the servers that serve one model of a service.
type poolKey struct {
	service shedkeel.ServiceID
	model   shedkeel.ModelID
}

// serverState is what this process knows of one server.
type serverState struct {
	Server
	running       map[*Choice]struct{}
	lost          int           // how many of running are lost (see Table.LoseRunning)
	lastActivity  time.Duration // last event or answer, or the choice for the first request after an idle period
	activity      activity      // when the server sent events, to this and other processes
	latencyRatio  float64       // moving average of the ratio of actual to expected response times
	failureRate   float64       // moving average: share of requests that failed
	scoresUpdated time.Duration // when latencyRatio or failureRate last changed
	avoidUntil    time.Duration // the server is avoided before this time; set by FindStalled and AvoidGroup
	stallReported time.Duration // when FindStalled last returned the current stall; 0: not yet
	listed        bool
	assigned      workload         // work of all processes, as estimated by Recommend
	hash          uint32           // hash of the group's name; selects its partition
	limit         *limit           // nil: no rate limit
	condition     *condition       // nil: the server has stated no condition
	duration      *averageDuration // of the streams of the server's pool
}

// Replace sets the servers to choose from, the listed ones. It keeps the state of servers that
// were listed before. It drops the state of a server that is no longer listed if no requests
// run there; otherwise a later call drops that state.
func (table *Table) Replace(servers []Server) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, state := range table.servers {
		state.listed = false
	}
	if table.servers == nil {
		table.servers = map[string]*serverState{}
		table.durations = map[poolKey]*averageDuration{}
	}
	table.pools = map[poolKey][]*serverState{}
	for _, server := range servers {
		state := table.servers[server.key()]
		if state == nil {
			state = &serverState{running: map[*Choice]struct{}{}, latencyRatio: 1, hash: groupHash(server.Group.Group)}
			table.servers[server.key()] = state
		}
		state.Server = server
		state.listed = true
		state.limit = table.limits[server.Instance]
		state.condition = table.conditions[server.Instance]
		key := poolKey{server.Service, server.Model}
		if table.durations[key] == nil {
			table.durations[key] = &averageDuration{}
		}
		state.duration = table.durations[key]
		table.pools[key] = append(table.pools[key], state)
	}
	for key, state := range table.servers {
		if !state.listed && len(state.running) == 0 {
			delete(table.servers, key)
		}
	}
}

// Query describes the request that a server is chosen for.
type Query struct {
	Service         shedkeel.ServiceID
	Model           shedkeel.ModelID
	Exclude         []shedkeel.InstanceID // servers that must not be chosen, such as those already tried
	PromptTokens    int
	MaxAnswerTokens int                 // maximum length of the answer
	Preferred       shedkeel.InstanceID // the server that Recommend returned, possibly in another process; empty: none
	Late            bool                // the request is late (RunningRequests)
	UnlimitedOnly   bool                // only servers without a rate limit
	Partition       int                 // for Recommend: index of the partition of groups to choose from
	Partitions      int                 // number of partitions; 0 means 1
	Due             time.Duration       // when the first event is due, which counts in Outcomes; 0: it does not count
	Queueing        time.Duration       // expected delay of the first event by other requests, which counts in Outcomes
	Admission       *overload.Request   // what the admission of the request depends on, except for the Estimate; nil: it is not asked for
	Admit           func(Estimate) bool // for Recommend: whether the request is to be assigned to a group; nil: always
	Now             time.Duration
}

// Choice is the server chosen for a request. The caller must call End once, or Cancel if the
// request is not sent.
type Choice struct {
	Server
	ChosenAt time.Duration // when the server was chosen
	Limited  bool          // the server limits its rate, so sending requires a permit
	// Stalled receives a notice of each stall of the server that FindStalled or AvoidGroup
	// reports. If the server responds before the notice is read, the notice is taken back.
	Stalled <-chan struct{}

	table         *Table
	state         *serverState
	promptTokens  int
	due           time.Duration // see Query.Due; 0: it does not count, or it has been counted
	queueing      time.Duration // see Query.Queueing
	late          bool
	responded     bool          // the first event or the answer has arrived
	receivedAt    time.Duration // see Received; 0: not called
	relayed       bool          // the request is sent through another node
	dialing       bool          // the request waits for a connection
	lost          bool          // the answer may not arrive, for no fault of the server (see Table.LoseRunning)
	stalled       chan struct{}
	stallNotified bool // Stalled has received a notice since FindStalled last reported the current stall
}

// Choose chooses the server of the lowest cost among those that are usable and not
// rateLimited, with ties broken at random. It returns nil if there is none. If the preferred
// server of the query is among them and costs at most maxPreferredCostRatio times as much,
// Choose chooses the preferred server.
func (table *Table) Choose(query Query) *Choice {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var best, preferred *serverState
	lowest, ties, preferredCost := 0.0, uint64(0), 0.0
	for _, candidate := range table.pools[poolKey{query.Service, query.Model}] {
		if !candidate.usable(query) || candidate.rateLimited(query) {
			continue
		}
		cost := table.cost(candidate, query.Now)
		if query.Preferred != "" && candidate.Instance == query.Preferred {
			preferred, preferredCost = candidate, cost
		}
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = candidate, cost, 1
		case cost == lowest:
			ties++
			if table.Random.Uint64()%ties == 0 {
				best = candidate
			}
		}
	}
	if best == nil {
		return nil
	}
	if preferred != nil && preferredCost <= maxPreferredCostRatio*lowest {
		best = preferred
	}
	return best.startChoice(table, query)
}

// usable reports whether the server may be chosen for the request: the server is not avoided,
// does not back off or drain, and is not excluded by the query. It does not check the rate
// limit.
func (serverState *serverState) usable(query Query) bool {
	return serverState.avoidUntil <= query.Now && serverState.condition.accepts(query.Now) && !containsInstance(query.Exclude, serverState.Instance)
}

func containsInstance(instances []shedkeel.InstanceID, instance shedkeel.InstanceID) bool {
	for _, other := range instances {
		if other == instance {
			return true
		}
	}
	return false
}

// cost is what Choose minimizes: one more than the running requests of this process on the server,
// times the penalties for latency, failures, a lack of events or answers, another availability zone
// and an unanswered probe. The caller must hold table.mutex.
func (table *Table) cost(candidate *serverState, now time.Duration) float64 {
	candidate.decayPenalties(now)
	cost := float64(candidate.expecting()+1) * candidate.latencyRatio
	if candidate.Model == "" {
		cost *= 1 + failureCost*candidate.failureRate
	} else {
		cost *= expectedAttempts(candidate.failureRate)
	}
	if candidate.expecting() > 0 && table.sinceActivity(candidate, now) > candidate.expectedMaxGap()+stallMargin/2 {
		cost *= unresponsiveCost
	}
	if candidate.Zone != table.Zone {
		cost *= remoteZoneCost
	}
	return cost * candidate.condition.costFactor()
}

// decayPenalties halves the failure rate of the server and the deviation of its latency ratio
// from 1, once, if at least penaltyHalfLife has passed since either last changed.
func (serverState *serverState) decayPenalties(now time.Duration) {
	elapsed := now - serverState.scoresUpdated
	if elapsed < penaltyHalfLife {
		return
	}
	serverState.scoresUpdated = now
	serverState.failureRate /= 2
	serverState.latencyRatio = 1 + (serverState.latencyRatio-1)/2
}

// startChoice records a request as running on the server and returns the choice. If the server
// was idle, its time without activity counts from now. The caller must hold the table's mutex.
func (serverState *serverState) startChoice(table *Table, query Query) *Choice {
	if serverState.expecting() == 0 {
		serverState.lastActivity = query.Now
		serverState.stallReported = 0
	}
	stalled := make(chan struct{}, 1)
	choice := &Choice{Server: serverState.Server, Limited: serverState.limit != nil, Stalled: stalled, table: table, state: serverState, ChosenAt: query.Now, promptTokens: query.PromptTokens, due: query.Due, queueing: query.Queueing, late: query.Late, stalled: stalled}
	serverState.running[choice] = struct{}{}
	serverState.condition.requestSent(choice)
	return choice
}

// RecordResponse records that the server sent an event or an answer for this request. It ends
// the server's avoidance and takes back the unread stall notices of all requests that run
// there. The first response of the request also changes the latency ratio.
func (choice *Choice) RecordResponse(now time.Duration) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	state := choice.state
	choice.setLost(false)
	state.lastActivity = now
	state.activity.own = now
	if !choice.relayed {
		choice.table.recordHeard(state.Service, now)
	}
	state.avoidUntil = 0
	state.stallReported = 0
	state.condition.responseReceived(choice)
	for running := range state.running {
		running.clearStall()
	}
	if !choice.responded {
		choice.responded = true
		choice.countOutcome(now)
		state.recordLatency(float64(now-choice.ChosenAt)/float64(choice.expectedResponseTime()), now)
	}
}

// recordLatency adds the ratio of an actual to the expected response time to the moving
// average.
func (serverState *serverState) recordLatency(ratio float64, now time.Duration) {
	serverState.latencyRatio += latencyWeight * (ratio - serverState.latencyRatio)
	serverState.scoresUpdated = now
}

// Received records that the server has sent the answer to its end. Whatever the answer is worth, the request does not run there any
// more, and a silence of the server does not concern it.
func (choice *Choice) Received(now time.Duration) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	choice.receivedAt = now
	choice.release()
	choice.clearStall()
}

// release removes the request from those that run on the server. The caller must hold the table's mutex.
func (choice *Choice) release() {
	choice.setLost(false)
	delete(choice.state.running, choice)
	choice.state.condition.requestEnded(choice)
}

// End records that the request no longer runs on the server, and adds to the failure rate
// whether the request failed. A complete stream or answer changes the average
// duration of the server's pool.
func (choice *Choice) End(failed bool, now time.Duration) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	state := choice.state
	endedAt := now
	if choice.receivedAt != 0 {
		endedAt = choice.receivedAt
	}
	choice.recordDuration(failed, endedAt)
	choice.release()
	outcome := 0.0
	if failed {
		outcome = 1
	}
	state.failureRate += failureWeight * (outcome - state.failureRate)
	state.scoresUpdated = now
}

// Cancel releases the choice for a request that was not sent. It leaves the failure rate as it
// is.
func (choice *Choice) Cancel() {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	choice.release()
}

// Listed reports whether the last call of Replace listed the server.
func (choice *Choice) Listed() bool {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	return choice.state.listed
}

// Draining reports whether the server has said in an answer that it drains.
func (choice *Choice) Draining() bool {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	return choice.state.condition.isDraining()
}

// Load describes the requests of this process that run on the servers of a model.
type Load struct {
	RunningRequests
	Outcomes
	Groups map[shedkeel.InstanceID]int // running requests by server; servers without any are missing
	// Heard has the time of the last event or answer of each server of Groups; those that have sent
	// none are missing.
	Heard  map[shedkeel.InstanceID]time.Duration
	Slots  int // requests that the usable servers run concurrently, within their rate limits
	Usable int // servers that are not avoided, do not back off and do not drain
}

// Load returns the load of the listed servers that serve a model of a service. OnTime, Late,
// Slots and Usable leave out servers that are avoided, back off or drain; Groups includes
// such servers.
func (table *Table) Load(service shedkeel.ServiceID, model shedkeel.ModelID, now time.Duration) Load {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	load := Load{Groups: map[shedkeel.InstanceID]int{}}
	for _, state := range table.pools[poolKey{service, model}] {
		if len(state.running) > 0 {
			load.Groups[state.Instance] = len(state.running)
			load.recordHeard(state)
		}
		state.countOverdue(now)
		if state.avoidUntil > now || !state.condition.accepts(now) {
			continue
		}
		for choice := range state.running {
			if choice.lost {
				continue
			}
			if choice.late {
				load.Late++
			} else {
				load.OnTime++
			}
		}
		load.Slots += state.concurrency()
		load.Usable++
	}
	if outcomes := table.outcomes[poolKey{service, model}]; outcomes != nil {
		load.Outcomes = *outcomes
	}
	return load
}
