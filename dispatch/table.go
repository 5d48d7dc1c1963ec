// Package dispatch chooses the backend server or replica group for each
// request, by what this process has running there, how fast answers came, and
// whether the server has gone silent.
package dispatch

import (
	"strconv"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// slowWeight is the weight of the newest answer in a server's mean
	// slowness, so that about the last ten decide.
	slowWeight = 0.1
	// failWeight is the same for failures.
	failWeight = 0.2
	// failCost is how many times slower a server that fails every request
	// counts than one that fails none. Where a request may run only once, a
	// failure is its end.
	failCost = 20
	// mostSendings bounds how many sendings a request is taken to need at a group
	// that fails nearly all.
	mostSendings = 20
	// recoverTime is the time in which what is held against a server halves
	// while it gets no requests, so that it is tried again.
	recoverTime = 2 * time.Second
	// silentCost is what a server counts more that is silent for longer than
	// usual, and not yet so long that it is avoided.
	silentCost = 4
	// wishTrust is how many times more than the best server one may cost, by
	// what this process sees, that a request is wished to be sent to. Two
	// requests of its own there cost twice as much as one; a silent, slow or
	// failing server costs more.
	wishTrust = 3.5
	// farCost is what a server in another availability zone counts more: the
	// link's delay against a typical answer.
	farCost = 1.05
)

// Server is a backend server of a plain service, or a replica group by its
// head.
type Server struct {
	Service  shedkeel.ServiceID
	Model    shedkeel.ModelID // "": a plain service
	Group    shedkeel.Assignment
	Instance shedkeel.InstanceID
	Address  string
	Zone     shedkeel.ZoneID
	Slots    int
	Rate     float64       // prompt tokens read a second; 0: not stated
	Pass     time.Duration // longest time between two events while it works; 0: not stated
	Each     time.Duration // how much longer the time between two events is for each request that runs there; 0: not stated
}

// key names the server; a group formed anew is another server.
func (server *Server) key() string {
	return string(server.Instance) + "@" + string(server.Group.Group) + "@" + strconv.FormatUint(server.Group.Epoch, 10)
}

// Table holds the servers that requests may be sent to. The zero value is
// empty; Zone and Random are set before its first use.
type Table struct {
	Zone   shedkeel.ZoneID // of this process
	Random shedkeel.Random

	mutex   sync.Mutex
	servers map[string]*state
	pools   map[pool][]*state
	limits  map[shedkeel.InstanceID]*limit // of servers that limit their rate
	// conditions are of servers that have asked for a backoff or said that they drain.
	conditions map[shedkeel.InstanceID]*condition
	reports    map[pool]map[string]report // by process, for Spread
	demand     map[pool]*demand           // of what was spread
}

type pool struct {
	service shedkeel.ServiceID
	model   shedkeel.ModelID
}

// state is what is known of one server.
type state struct {
	Server
	running   map[*Choice]struct{}
	sign      time.Duration // last sign of life, or when it was given work after a rest
	slowness  float64       // mean of answer times over expected ones
	failures  float64       // part of requests that failed lately
	judged    time.Duration // when slowness and failures were last changed
	avoidTill time.Duration // silent, or said to be
	reported  time.Duration // when its silence was last returned by FindSilent; 0: not in this one
	listed    bool
	assigned  assigned   // by Spread, for all processes
	hash      uint32     // of the group's name
	limit     *limit     // nil: it takes requests at any rate
	condition *condition // nil: it has said nothing
}

// Replace makes the servers the ones to choose from. What is known of those
// that stay is kept.
func (table *Table) Replace(servers []Server) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, known := range table.servers {
		known.listed = false
	}
	if table.servers == nil {
		table.servers = map[string]*state{}
	}
	table.pools = map[pool][]*state{}
	for _, server := range servers {
		known := table.servers[server.key()]
		if known == nil {
			known = &state{running: map[*Choice]struct{}{}, slowness: 1, hash: hashOf(server.Group.Group)}
			table.servers[server.key()] = known
		}
		known.Server = server
		known.listed = true
		known.limit = table.limits[server.Instance]
		known.condition = table.conditions[server.Instance]
		members := pool{server.Service, server.Model}
		table.pools[members] = append(table.pools[members], known)
	}
	for key, known := range table.servers {
		if !known.listed && len(known.running) == 0 {
			delete(table.servers, key)
		}
	}
}

// Query is what a choice is asked for.
type Query struct {
	Service shedkeel.ServiceID
	Model   shedkeel.ModelID
	Avoid   []shedkeel.InstanceID // already tried
	Prompt  int                   // tokens to be read
	Answer  int                   // tokens to be written at most
	Wish    shedkeel.InstanceID   // where it is best sent, by what all processes send; "": not known
	Late    bool                  // it waits behind others and can't be on time
	Free    bool                  // only servers that do not limit their rate
	Part    int                   // for Spread: only groups of this part of the model's
	Parts   int                   // into so many; 0: one
	Now     time.Duration
}

// Choice is a server that a request is sent to. End must be called once.
type Choice struct {
	Server
	Began   time.Duration   // when it was chosen
	Limited bool            // the server limits its rate: a permit is needed
	Stalled <-chan struct{} // tells each time that the server is silent for longer than the request can bear

	table    *Table
	state    *state
	prompt   int
	late     bool
	begun    bool // its first event or answer has come
	stalled  chan struct{}
	notified bool // of the silence that lasts
}

// Choose returns the best server, or nil when none may be sent to.
func (table *Table) Choose(query Query) *Choice {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var best, wish *state
	lowest, ties, wishCost := 0.0, uint64(0), 0.0
	for _, candidate := range table.pools[pool{query.Service, query.Model}] {
		if !candidate.usable(query) || candidate.held(query) {
			continue
		}
		cost := table.cost(candidate, query.Now)
		if query.Wish != "" && candidate.Instance == query.Wish {
			wish, wishCost = candidate, cost
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
	if wish != nil && wishCost <= wishTrust*lowest {
		best = wish
	}
	return best.take(table, query)
}

// usable reports whether the request may be sent to the server, its rate limit apart.
func (state *state) usable(query Query) bool {
	return state.avoidTill <= query.Now && state.condition.takes(query.Now) && !avoided(query.Avoid, state.Instance)
}

func avoided(avoid []shedkeel.InstanceID, instance shedkeel.InstanceID) bool {
	for _, other := range avoid {
		if other == instance {
			return true
		}
	}
	return false
}

func (table *Table) cost(candidate *state, now time.Duration) float64 {
	candidate.forgive(now)
	cost := float64(len(candidate.running)+1) * candidate.slowness
	if candidate.Model == "" {
		cost *= 1 + failCost*candidate.failures
	} else {
		cost *= sendings(candidate.failures)
	}
	if len(candidate.running) > 0 && now-candidate.sign > candidate.usual()+silenceMargin/2 {
		cost *= silentCost
	}
	if candidate.Zone != table.Zone {
		cost *= farCost
	}
	return cost * candidate.condition.cost()
}

// forgive lets what is held against a server fade with time.
func (state *state) forgive(now time.Duration) {
	passed := now - state.judged
	if passed < recoverTime {
		return
	}
	state.judged = now
	state.failures /= 2
	state.slowness = 1 + (state.slowness-1)/2
}

func (state *state) take(table *Table, query Query) *Choice {
	if len(state.running) == 0 {
		state.sign = query.Now
		state.reported = 0
	}
	stalled := make(chan struct{}, 1)
	choice := &Choice{Server: state.Server, Limited: state.limit != nil, Stalled: stalled, table: table, state: state, Began: query.Now, prompt: query.Prompt, late: query.Late, stalled: stalled}
	state.running[choice] = struct{}{}
	state.condition.begin(choice)
	return choice
}

// Sign tells that the server has given a sign of life for this request: an
// event, or an answer.
func (choice *Choice) Sign(now time.Duration) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	state := choice.state
	state.sign = now
	state.avoidTill = 0
	state.reported = 0
	state.condition.sign(choice)
	for running := range state.running {
		running.forgetSilence()
	}
	if !choice.begun {
		choice.begun = true
		state.judge(float64(now-choice.Began)/float64(choice.expected()), now)
	}
}

func (state *state) judge(slowness float64, now time.Duration) {
	state.slowness += slowWeight * (slowness - state.slowness)
	state.judged = now
}

// End tells how the request ended there.
func (choice *Choice) End(failed bool, now time.Duration) {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	state := choice.state
	delete(state.running, choice)
	state.condition.end(choice)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	state.failures += failWeight * (outcome - state.failures)
	state.judged = now
}

// Cancel takes a choice back to which nothing was sent.
func (choice *Choice) Cancel() {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	delete(choice.state.running, choice)
	choice.state.condition.end(choice)
}

// Listed reports whether requests may still be sent to the server: neither the list of
// servers nor an answer of its own has said that it drains.
func (choice *Choice) Listed() bool {
	choice.table.mutex.Lock()
	defer choice.table.mutex.Unlock()
	return choice.state.listed && !choice.state.condition.drains()
}

// Load is what this process has running on the servers of a model.
type Load struct {
	Running
	Groups map[shedkeel.InstanceID]int // how much of it runs on each server that has any
	Slots  int                         // requests that the servers run at once
	Usable int                         // servers that may be sent to
}

// Load returns what runs on the servers that serve a model of a service.
func (table *Table) Load(service shedkeel.ServiceID, model shedkeel.ModelID, now time.Duration) Load {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	load := Load{Groups: map[shedkeel.InstanceID]int{}}
	for _, known := range table.pools[pool{service, model}] {
		if len(known.running) > 0 {
			load.Groups[known.Instance] = len(known.running)
		}
		if known.avoidTill > now || !known.condition.takes(now) {
			continue
		}
		for choice := range known.running {
			if choice.late {
				load.Late++
			} else {
				load.OnTime++
			}
		}
		load.Slots += known.places()
		load.Usable++
	}
	return load
}
