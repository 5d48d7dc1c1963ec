package route

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/admit"
)

var allLoads = flag.Bool("loads", false, "measure all routing rules at all loads")

const (
	simTick          = 10 * time.Millisecond // by which virtual time advances
	simGroups        = 30                    // each with simSlots slots
	simSlots         = 16                    // requests that a group runs concurrently
	simEntries       = 9                     // processes that receive requests and route them
	simLength        = 40 * time.Second
	meanRunTime      = time.Second            // mean time from the first token to the end of the answer
	cacheMissPrefill = 400 * time.Millisecond // from the start of a request to its first token, if its prefix is not cached
	cacheHitPrefill  = 80 * time.Millisecond  // the same, if its prefix is cached
	cacheSize        = 40                     // prefixes that a group keeps cached
	prefixes         = 900                    // number of different prefixes
	reportLag        = time.Second            // age of the load reports that entries receive
	simDeadline      = 5 * time.Second        // from the arrival of a request to the end of its answer
	firstTokenTarget = 700 * time.Millisecond // objective for the time from the arrival to the first token
)

// routingRule chooses a group for each request that arrives at an entry.
type routingRule interface {
	// choose returns the index of a group and a function to call when the request has
	// ended, or false if the request is refused.
	choose(entry int, affinity uint64, now time.Duration) (int, func(time.Duration), bool)
	// update passes the targets with their load reports to an entry.
	update(entry int, targets []Target, now time.Duration)
}

// packageRule is the rule of this package, with a router at each entry. The table calls it
// "ours".
type packageRule struct {
	routers []*Router
	gates   []*admit.Gate // nil: no admission control
	maxWait time.Duration // admit.Request.Deadline, if there are gates
}

// newGatedRule returns the rule with DefaultBound and admission control, which refuses requests
// that would wait longer than maxWait.
func newGatedRule(maxWait time.Duration) *packageRule {
	packageRule := newPackageRule(0) // DefaultBound
	packageRule.maxWait = maxWait
	for range simEntries {
		packageRule.gates = append(packageRule.gates, &admit.Gate{})
	}
	return packageRule
}

// newPackageRule returns the rule with that Router.Bound, without admission control.
func newPackageRule(bound float64) *packageRule {
	packageRule := &packageRule{}
	for entry := range simEntries {
		packageRule.routers = append(packageRule.routers, &Router{Random: rand.NewPCG(uint64(entry), 3), Bound: bound})
	}
	return packageRule
}

func (packageRule *packageRule) choose(entry int, affinity uint64, now time.Duration) (int, func(time.Duration), bool) {
	choice, err := packageRule.routers[entry].Choose(Request{Service: "s", Affinity: affinity, Now: now})
	if err != nil {
		return 0, nil, false
	}
	var group int
	_, _ = fmt.Sscanf(choice.Name, "g%d", &group)
	if packageRule.gates == nil {
		return group, choice.End, true
	}
	gate := packageRule.gates[entry]
	refused := gate.Enter(admit.Request{
		Service: "s", Account: "a", Weight: func(shedkeel.AccountID) int { return 1 }, Deadline: packageRule.maxWait,
		Capacity: simGroups * simSlots, Load: choice.Load, TargetCapacity: choice.Capacity,
	})
	if refused != nil {
		choice.End(now)
		return 0, nil, false
	}
	return group, func(ended time.Duration) {
		choice.End(ended)
		gate.Leave("s", "a", ended-now)
	}, true
}

func (packageRule *packageRule) update(entry int, targets []Target, now time.Duration) {
	packageRule.routers[entry].Update("s", targets, now)
}

// baseline implements the baseline rules: random, round robin ("in turn"), and least
// reported load.
type baseline struct {
	rule    string     // "random", "in turn" (round robin) or "least reported"
	random  *rand.Rand // for the rule "random"
	turn    int        // number of choices so far
	targets []Target   // as of the latest update of any entry: all entries share them
}

func (baseline *baseline) choose(_ int, _ uint64, now time.Duration) (int, func(time.Duration), bool) {
	// All rules look at the targets in order, from the one at offset on. The rules random and
	// in turn take the first usable target.
	best := -1
	baseline.turn++
	offset := baseline.turn
	if baseline.rule == "random" {
		offset = baseline.random.IntN(simGroups)
	}
	for step := range baseline.targets {
		place := (offset + step) % len(baseline.targets)
		target := baseline.targets[place]
		if target.UsableUntil <= now {
			continue
		}
		if best < 0 || baseline.rule == "least reported" && target.ReportedLoad < baseline.targets[best].ReportedLoad {
			best = place
		}
	}
	return best, func(time.Duration) {}, best >= 0
}

func (baseline *baseline) update(_ int, targets []Target, _ time.Duration) {
	baseline.targets = targets
}

// server simulates a replica group: a queue, slots and a cache of prefixes.
type server struct {
	up      bool
	running []*job   // at most simSlots
	queue   []*job   // requests that wait for a slot, the oldest first
	cache   []uint64 // cached prefixes, the most recently used last
}

// job is a request at a server.
type job struct {
	arrived time.Duration       // when the request arrived at an entry
	prefix  uint64              // identifies the prompt's prefix
	first   time.Duration       // when the first token is sent
	ends    time.Duration       // when the answer ends
	run     time.Duration       // time from the first token to the end of the answer
	onEnd   func(time.Duration) // informs the routing rule that the request has ended
}

// touch reports whether the prefix is cached, and makes it the most recently used prefix of the
// cache.
func (server *server) touch(prefix uint64) bool {
	place := slices.Index(server.cache, prefix)
	if place >= 0 {
		server.cache = slices.Delete(server.cache, place, place+1)
	}
	server.cache = append(server.cache, prefix)
	if len(server.cache) > cacheSize {
		server.cache = server.cache[1:]
	}
	return place >= 0
}

// outcome counts what callers observed.
type outcome struct {
	offered, inTime, hits, started int // numbers of requests; inTime: see simulate; hits: started with the prefix cached
	firstTokenTimes                []time.Duration
}

// quantile returns a quantile of the times to the first token. rank is from 0 to 1.
func (outcome *outcome) quantile(rank float64) time.Duration {
	if len(outcome.firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(outcome.firstTokenTimes)
	return outcome.firstTokenTimes[int(rank*float64(len(outcome.firstTokenTimes)-1))]
}

// simulate offers a load, as a multiple of the capacity that the groups have if no prefix is
// cached, and counts the requests answered in time: within simDeadline, with the first token
// within firstTokenTarget. With outage set, every third group is down for the middle third of the
// simulation.
func simulate(rule routingRule, load float64, outage bool) outcome {
	random := rand.New(rand.NewPCG(11, 11))
	servers := make([]*server, simGroups)
	for index := range servers {
		servers[index] = &server{up: true}
	}
	var result outcome
	capacity := float64(simGroups*simSlots) / (meanRunTime + cacheMissPrefill).Seconds()
	var reports [][]Target
	lag := int(reportLag / simTick)
	for now := time.Duration(0); now < simLength; now += simTick {
		for index, server := range servers {
			server.up = !outage || index%3 != 0 || now < simLength/3 || now > simLength*2/3
			server.step(now, random, &result)
		}
		reports = append(reports, loadReports(servers, now))
		if int(now/simTick)%25 == 0 { // entries receive reports every 250 ms
			for entry := range simEntries {
				rule.update(entry, laggedReports(reports, lag, now), now)
			}
		}
		arrivals := poisson(random, load*capacity*simTick.Seconds())
		for range arrivals {
			arrive(rule, servers, random, now, &result)
		}
	}
	return result
}

// loadReports returns the load reports of all servers. A server that is down reports a load of 0.
func loadReports(servers []*server, now time.Duration) []Target {
	targets := targetsOf(len(servers), 0) // laggedReports sets UsableUntil
	for index, server := range servers {
		targets[index].ReportedAt = now
		targets[index].Capacity = simSlots
		targets[index].ReportedLoad = len(server.running) + len(server.queue)
	}
	return targets
}

// laggedReports returns what entries know now: the reports from lag ticks ago, or the
// first reports if fewer ticks have passed, with targets that are usable for another 3 s, also
// those of servers that are down.
func laggedReports(reports [][]Target, lag int, now time.Duration) []Target {
	targets := slices.Clone(reports[max(len(reports)-1-lag, 0)])
	for index := range targets {
		targets[index].UsableUntil = now + 3*time.Second
	}
	return targets
}

// poisson draws a Poisson-distributed number with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count, product, limit := 0, random.Float64(), math.Exp(-mean)
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// arrive routes one request from a random entry and queues it at its group. The request is lost if
// the rule refuses it or the group is down.
func arrive(rule routingRule, servers []*server, random *rand.Rand, now time.Duration, result *outcome) {
	result.offered++
	// Half of the requests are for a tenth of the prefixes. The other half is for all prefixes.
	prefix := uint64(random.IntN(prefixes))
	if random.IntN(2) == 0 {
		prefix /= 10
	}
	affinity := (prefix+1)*0x9e3779b97f4a7c15 | 1 // distributes the prefixes over the slots of the Router; never 0, which is no affinity
	group, end, found := rule.choose(random.IntN(simEntries), affinity, now)
	if !found {
		return
	}
	run := time.Duration(random.ExpFloat64() * float64(meanRunTime))
	arrived := &job{arrived: now, prefix: prefix, run: run, onEnd: end}
	if !servers[group].up {
		arrived.onEnd(now)
		return
	}
	servers[group].queue = append(servers[group].queue, arrived)
}

// step ends the requests whose answers end by now and starts queued requests in free slots. It
// drops queued requests that have waited longer than simDeadline. A server that is down loses its
// requests and its cache.
func (server *server) step(now time.Duration, _ *rand.Rand, result *outcome) {
	if !server.up {
		for _, lost := range slices.Concat(server.running, server.queue) {
			lost.onEnd(now)
		}
		server.running, server.queue, server.cache = nil, nil, nil
		return
	}
	server.running = slices.DeleteFunc(server.running, func(job *job) bool {
		if job.ends > now {
			return false
		}
		job.onEnd(now)
		if job.ends-job.arrived <= simDeadline && job.first-job.arrived <= firstTokenTarget {
			result.inTime++
		}
		return true
	})
	for len(server.queue) > 0 && len(server.running) < simSlots {
		next := server.queue[0]
		server.queue = server.queue[1:]
		if now-next.arrived > simDeadline {
			next.onEnd(now)
			continue
		}
		prefill := cacheMissPrefill
		result.started++
		if server.touch(next.prefix) {
			prefill = cacheHitPrefill
			result.hits++
		}
		next.first = now + prefill
		next.ends = next.first + next.run
		result.firstTokenTimes = append(result.firstTokenTimes, next.first-next.arrived)
		server.running = append(server.running, next)
	}
}

// TestRoutingRules compares routing rules when load reports lag. The rule "ours", with
// admission control and without an outage, must answer at least as many requests in time as each
// baseline. The test prints a table with -v. With -loads, it also measures a further load and an
// outage, for which it checks nothing.
func TestRoutingRules(t *testing.T) {
	rules := map[string]func() routingRule{
		"random":             func() routingRule { return &baseline{rule: "random", random: rand.New(rand.NewPCG(5, 5))} },
		"in turn":            func() routingRule { return &baseline{rule: "in turn"} },
		"least reported":     func() routingRule { return &baseline{rule: "least reported"} },
		"ours":               func() routingRule { return newGatedRule(300 * time.Millisecond) }, // refuses requests that would wait longer
		"ours, no gate":      func() routingRule { return newPackageRule(0) },                    // DefaultBound, without admission control
		"ours, wait of 0":    func() routingRule { return newGatedRule(0) },
		"ours, wait of 1s":   func() routingRule { return newGatedRule(time.Second) },
		"ours, no affinity":  func() routingRule { return newPackageRule(-1) },  // without admission control
		"ours, bound of 3":   func() routingRule { return newPackageRule(3) },   // also without admission control
		"ours, bound of 1.5": func() routingRule { return newPackageRule(1.5) }, // also without admission control
	}
	points := []struct {
		load   float64 // as a multiple of the capacity (see simulate)
		outage bool    // a third of the groups fails
	}{{0.7, false}, {1.0, false}, {3, false}}
	if *allLoads {
		points = append(points, []struct {
			load   float64
			outage bool
		}{{1.5, false}, {0.7, true}}...)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\trule\tin time\tfirst token p50\tp95\tprefix hits")
	inTime := map[string]int{}
	for _, point := range points {
		for _, name := range []string{"random", "in turn", "least reported", "ours, no affinity", "ours, bound of 1.5", "ours, bound of 3", "ours, no gate", "ours, wait of 0", "ours, wait of 1s", "ours"} {
			result := simulate(rules[name](), point.load, point.outage)
			inTime[fmt.Sprint(point.load, point.outage, name)] = result.inTime
			_, _ = fmt.Fprintf(table, "%.1f%s\t%s\t%.0f%%\t%s\t%s\t%.0f%%\n", point.load, map[bool]string{true: ", with an outage of a third"}[point.outage], name,
				100*float64(result.inTime)/float64(result.offered), result.quantile(0.5), result.quantile(0.95), 100*float64(result.hits)/float64(max(result.started, 1)))
		}
	}
	if testing.Verbose() {
		_ = table.Flush()
	}
	for _, point := range points[:3] { // the points that are measured without -loads too
		// countInTime returns how many requests the rule answered in time at this point.
		countInTime := func(name string) int { return inTime[fmt.Sprint(point.load, point.outage, name)] }
		for _, other := range []string{"random", "in turn", "least reported"} {
			assert.Assert(t, countInTime("ours") >= countInTime(other), "at load %.1f, rule %q answered %d requests in time, ours %d", point.load, other, countInTime(other), countInTime("ours"))
		}
	}
}
