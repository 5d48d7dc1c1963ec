package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// readingShare is the part of its time in which a busy group reads prompts;
	// in the rest it writes tokens, so what waits to be read shrinks slower
	// than the clock goes.
	readingShare = 0.5
	// recentTime is how long a request that was given to a group counts as
	// running there, on average: about as long as a stream lasts.
	recentTime = time.Second
	// eachTime is how much longer a pass of a group takes for each request that
	// runs there, where the engine's times are not stated.
	eachTime = time.Millisecond
	// partGroups is how many groups of a model one process spreads requests
	// over: enough that one of them is seldom busy, few enough that the
	// questions take a few hundredths of its core.
	partGroups = 24
	// slowFrom is how many times slower than the model's others a group must
	// have answered this process to count as slow. Each process sees few of its
	// answers, and below it they differ by chance.
	slowFrom = 2.0
	// reportTime is how long it counts what a process told of its requests; one
	// that sends none for so long has few running.
	reportTime = 3 * time.Second
	// farTime is what a group in another availability zone counts more: a link
	// of 1 to 2 ms there and back.
	farTime = 3 * time.Millisecond
)

// assigned is the work that a group has of all processes, as of a moment: what
// Spread gave it, put right by what they tell.
type assigned struct {
	at      time.Duration
	reading time.Duration // prompts that still wait to be read
	running float64       // requests that are likely to run still
}

// lasting is the part of requests that still run after a time.
func lasting(passed time.Duration) float64 {
	return math.Exp(-passed.Seconds() / recentTime.Seconds())
}

// fade takes off what has been done since.
func (assigned *assigned) fade(now time.Duration) {
	passed := max(now-assigned.at, 0)
	assigned.at = now
	assigned.reading = max(assigned.reading-time.Duration(readingShare*float64(passed)), 0)
	assigned.running *= lasting(passed)
}

// Running is how many requests run on a model.
type Running struct {
	OnTime int // requests that may be on time
	Late   int // requests that wait behind them
}

// Reporter is a process that asks where a request is best sent.
type Reporter struct {
	Process string
	Zone    shedkeel.ZoneID
	Running Running // what it has running on the model, without this request
	// Groups is how much of it runs on each group, by its head.
	Groups map[shedkeel.InstanceID]int
}

// Advice is what the process that spreads the requests of all says of one.
type Advice struct {
	Head    shedkeel.InstanceID // of the group that it is best sent to; "": none may be sent to
	Running Running             // of all processes, on all groups of the model
}

// report is what a process told last of the requests that it has running.
type report struct {
	running Running
	groups  map[shedkeel.InstanceID]float64 // by head, with what it was given just then
	at      time.Duration
}

// Spread returns the group of a model that is likely to give the first event
// soonest, by the requests that were spread before, and counts this one as
// given to it.
//
// One process spreads the requests of all: each alone knows few of those that
// run on a group, and prompts that are read at once hold each other up.
func (table *Table) Spread(query Query, reporter Reporter) Advice {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	members := pool{query.Service, query.Model}
	table.note(query)
	last := table.take(members, reporter, query.Now)
	advice := Advice{Running: table.total(members, query.Now)}
	if best := table.soonest(query, reporter.Zone); best != nil {
		best.assigned.reading += best.reading(query.Prompt)
		best.assigned.running++
		best.limit.schedule(query.Now)
		last.groups[best.Instance]++
		advice.Head = best.Instance
	}
	return advice
}

// Parts returns into how many parts the groups of a model are split, each of
// which another process may spread requests over.
func (table *Table) Parts(service shedkeel.ServiceID, model shedkeel.ModelID) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return partsOf(len(table.pools[pool{service, model}]))
}

func partsOf(groups int) int { return (groups + partGroups - 1) / partGroups }

// hashOf tells the part of a group, the same in all processes.
func hashOf(group shedkeel.GroupID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(group)) // it never fails
	return hash.Sum32()
}

// take takes in the report of a process, in the place of its former one and what it
// was assigned since. The mutex is held.
//
// What was given says little of what runs: streams last longer on fuller groups.
func (table *Table) take(members pool, reporter Reporter, now time.Duration) report {
	if table.reports == nil {
		table.reports = map[pool]map[string]report{}
	}
	if table.reports[members] == nil {
		table.reports[members] = map[string]report{}
	}
	before := table.reports[members][reporter.Process]
	still := lasting(now - before.at)
	for _, known := range table.pools[members] {
		known.assigned.fade(now)
		change := float64(reporter.Groups[known.Instance]) - before.groups[known.Instance]*still
		known.assigned.running = max(known.assigned.running+change, 0)
	}
	groups := map[shedkeel.InstanceID]float64{}
	for head, running := range reporter.Groups {
		groups[head] = float64(running)
	}
	last := report{running: reporter.Running, groups: groups, at: now}
	table.reports[members][reporter.Process] = last
	return last
}

// total returns what all processes have running on a model, and forgets those
// that tell nothing any more. The mutex is held.
func (table *Table) total(members pool, now time.Duration) Running {
	var total Running
	for process, report := range table.reports[members] {
		if now-report.at > reportTime {
			delete(table.reports[members], process)
			continue
		}
		total.OnTime += report.running.OnTime
		total.Late += report.running.Late
	}
	return total
}

// soonest returns the group of the shortest wait. The mutex is held.
func (table *Table) soonest(query Query, zone shedkeel.ZoneID) *state {
	members := table.pools[pool{query.Service, query.Model}]
	usual := usualSlowness(members, query.Now)
	var best *state
	soonest := 0.0
	for _, candidate := range members {
		if !candidate.usable(query) || candidate.limit.scheduled(query.Now) || candidate.hash%uint32(max(query.Parts, 1)) != uint32(query.Part) {
			continue
		}
		wait := candidate.wait(zone, usual, query.Now)
		if best == nil || wait < soonest {
			best, soonest = candidate, wait
		}
	}
	return best
}

// usualSlowness is the median slowness of a model's groups. A crowd makes all
// of them slow; what is left of that must not count against some of them.
func usualSlowness(members []*state, now time.Duration) float64 {
	var all []float64
	for _, member := range members {
		member.forgive(now)
		all = append(all, member.slowness)
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return max(all[(len(all)-1)/2], 1)
}

// wait is about how long a first event would take, in seconds, with the sendings
// that a failing group takes. usual is how slow groups of the model are just now.
func (state *state) wait(zone shedkeel.ZoneID, usual float64, now time.Duration) float64 {
	state.assigned.fade(now)
	each := state.Each
	if each <= 0 {
		each = eachTime
	}
	wait := idleFirst + state.assigned.reading + time.Duration(state.assigned.running*float64(each))
	if queued := state.assigned.running + 1 - float64(state.Slots); state.Slots > 0 && queued > 0 {
		wait += time.Duration(queued / float64(state.Slots) * float64(recentTime))
	}
	if state.Zone != zone {
		wait += farTime
	}
	cost := wait.Seconds() * sendings(state.failures)
	if state.slowness >= slowFrom*usual {
		cost *= state.slowness / usual
	}
	return cost
}

// sendings is how often a request is sent until it is answered, on average, by
// a group that fails so large a part of them.
//
// A group that fails some requests gets fewer, and still some when the others are full.
func sendings(failing float64) float64 {
	return 1 / max(1-failing, 1.0/mostSendings)
}
