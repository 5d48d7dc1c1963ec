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

var loads = flag.Bool("loads", false, "measure all routing rules at all loads")

const (
	simTick     = 10 * time.Millisecond
	simGroups   = 30
	simSlots    = 16
	simEntries  = 9
	simLength   = 40 * time.Second
	runTime     = time.Second // mean, after the first token
	missTime    = 400 * time.Millisecond
	hitTime     = 80 * time.Millisecond
	cachePlaces = 40
	prefixes    = 900
	reportLag   = time.Second
	simDeadline = 5 * time.Second
	aimFirst    = 700 * time.Millisecond
)

// chooser is a routing rule.
type chooser interface {
	choose(entry int, affinity uint64, now time.Duration) (int, func(time.Duration), bool)
	update(entry int, targets []Target, now time.Duration)
}

// ours are the routers of all entries.
type ours struct {
	routers []*Router
	gates   []*admit.Gate // nil: nothing is refused
	maxWait time.Duration
}

// gated refuses what would wait longer than maxWait.
func gated(maxWait time.Duration) *ours {
	ours := newOurs(0)
	ours.maxWait = maxWait
	for range simEntries {
		ours.gates = append(ours.gates, &admit.Gate{})
	}
	return ours
}

func newOurs(bound float64) *ours {
	ours := &ours{}
	for entry := range simEntries {
		ours.routers = append(ours.routers, &Router{Random: rand.NewPCG(uint64(entry), 3), Bound: bound})
	}
	return ours
}

func (ours *ours) choose(entry int, affinity uint64, now time.Duration) (int, func(time.Duration), bool) {
	choice, err := ours.routers[entry].Choose(Request{Service: "s", Affinity: affinity, Now: now})
	if err != nil {
		return 0, nil, false
	}
	var group int
	_, _ = fmt.Sscanf(choice.Name, "g%d", &group)
	if ours.gates == nil {
		return group, choice.End, true
	}
	gate := ours.gates[entry]
	refused := gate.Enter(admit.Request{
		Service: "s", Account: "a", Weight: func(shedkeel.AccountID) int { return 1 }, Deadline: ours.maxWait,
		Capacity: simGroups * simSlots, Load: choice.Load, Room: choice.Capacity,
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

func (ours *ours) update(entry int, targets []Target, now time.Duration) {
	ours.routers[entry].Update("s", targets, now)
}

// simple are the plain rules: random, in turn, and least reported load.
type simple struct {
	rule    string
	random  *rand.Rand
	turn    int
	targets []Target
}

func (simple *simple) choose(_ int, _ uint64, now time.Duration) (int, func(time.Duration), bool) {
	best := -1
	simple.turn++
	offset := simple.turn
	if simple.rule == "random" {
		offset = simple.random.IntN(simGroups)
	}
	for step := range simple.targets {
		place := (offset + step) % len(simple.targets)
		target := simple.targets[place]
		if target.Until <= now {
			continue
		}
		if best < 0 || simple.rule == "least reported" && target.Reported < simple.targets[best].Reported {
			best = place
		}
	}
	return best, func(time.Duration) {}, best >= 0
}

func (simple *simple) update(_ int, targets []Target, _ time.Duration) { simple.targets = targets }

// server is a group as a queue with slots and a cache of prefixes.
type server struct {
	up      bool
	running []*job
	queue   []*job
	cache   []uint64
}

type job struct {
	arrived time.Duration
	prefix  uint64
	first   time.Duration // when its first token comes
	ends    time.Duration
	run     time.Duration
	end     func(time.Duration)
}

func (server *server) hit(prefix uint64) bool {
	place := slices.Index(server.cache, prefix)
	if place >= 0 {
		server.cache = slices.Delete(server.cache, place, place+1)
	}
	server.cache = append(server.cache, prefix)
	if len(server.cache) > cachePlaces {
		server.cache = server.cache[1:]
	}
	return place >= 0
}

// outcome is what callers got.
type outcome struct {
	offered, good, hits, begun int
	firsts                     []time.Duration
}

func (outcome *outcome) percentile(part float64) time.Duration {
	if len(outcome.firsts) == 0 {
		return 0
	}
	slices.Sort(outcome.firsts)
	return outcome.firsts[int(part*float64(len(outcome.firsts)-1))]
}

// simulate offers a load, as a part of capacity, and counts what came in time.
// In the middle third a third of the groups is gone if dark is set.
func simulate(rule chooser, load float64, dark bool) outcome {
	random := rand.New(rand.NewPCG(11, 11))
	servers := make([]*server, simGroups)
	for index := range servers {
		servers[index] = &server{up: true}
	}
	var result outcome
	capacity := float64(simGroups*simSlots) / (runTime + missTime).Seconds()
	var reports [][]Target
	lag := int(reportLag / simTick)
	for now := time.Duration(0); now < simLength; now += simTick {
		for index, server := range servers {
			server.up = !dark || index%3 != 0 || now < simLength/3 || now > simLength*2/3
			server.step(now, random, &result)
		}
		reports = append(reports, report(servers, now))
		if int(now/simTick)%25 == 0 {
			for entry := range simEntries {
				rule.update(entry, known(reports, lag, now), now)
			}
		}
		arrivals := poisson(random, load*capacity*simTick.Seconds())
		for range arrivals {
			arrive(rule, servers, random, now, &result)
		}
	}
	return result
}

func report(servers []*server, now time.Duration) []Target {
	targets := targetsOf(len(servers), 0)
	for index, server := range servers {
		targets[index].AsOf = now
		targets[index].Capacity = simSlots
		targets[index].Reported = len(server.running) + len(server.queue)
	}
	return targets
}

// known is what entries know at a time: loads late, permits in time.
func known(reports [][]Target, lag int, now time.Duration) []Target {
	targets := slices.Clone(reports[max(len(reports)-1-lag, 0)])
	for index := range targets {
		targets[index].Until = now + 3*time.Second
	}
	return targets
}

func poisson(random *rand.Rand, mean float64) int {
	count, product, limit := 0, random.Float64(), math.Exp(-mean)
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

func arrive(rule chooser, servers []*server, random *rand.Rand, now time.Duration, result *outcome) {
	result.offered++
	// A tenth of the prefixes makes up half of the requests.
	prefix := uint64(random.IntN(prefixes))
	if random.IntN(2) == 0 {
		prefix /= 10
	}
	affinity := (prefix+1)*0x9e3779b97f4a7c15 | 1
	group, end, found := rule.choose(random.IntN(simEntries), affinity, now)
	if !found {
		return
	}
	run := time.Duration(random.ExpFloat64() * float64(runTime))
	arrived := &job{arrived: now, prefix: prefix, run: run, end: end}
	if !servers[group].up {
		arrived.end(now)
		return
	}
	servers[group].queue = append(servers[group].queue, arrived)
}

func (server *server) step(now time.Duration, _ *rand.Rand, result *outcome) {
	if !server.up {
		for _, lost := range slices.Concat(server.running, server.queue) {
			lost.end(now)
		}
		server.running, server.queue, server.cache = nil, nil, nil
		return
	}
	server.running = slices.DeleteFunc(server.running, func(job *job) bool {
		if job.ends > now {
			return false
		}
		job.end(now)
		if job.ends-job.arrived <= simDeadline && job.first-job.arrived <= aimFirst {
			result.good++
		}
		return true
	})
	for len(server.queue) > 0 && len(server.running) < simSlots {
		next := server.queue[0]
		server.queue = server.queue[1:]
		if now-next.arrived > simDeadline {
			next.end(now)
			continue
		}
		prefill := missTime
		result.begun++
		if server.hit(next.prefix) {
			prefill = hitTime
			result.hits++
		}
		next.first = now + prefill
		next.ends = next.first + next.run
		result.firsts = append(result.firsts, next.first-next.arrived)
		server.running = append(server.running, next)
	}
}

// TestRoutingRules measures routing rules on lagging load. It prints its table
// with -v; -loads adds rules and loads.
func TestRoutingRules(t *testing.T) {
	rules := map[string]func() chooser{
		"random":             func() chooser { return &simple{rule: "random", random: rand.New(rand.NewPCG(5, 5))} },
		"in turn":            func() chooser { return &simple{rule: "in turn"} },
		"least reported":     func() chooser { return &simple{rule: "least reported"} },
		"ours":               func() chooser { return gated(300 * time.Millisecond) },
		"ours, no gate":      func() chooser { return newOurs(0) },
		"ours, wait of 0":    func() chooser { return gated(0) },
		"ours, wait of 1s":   func() chooser { return gated(time.Second) },
		"ours, no affinity":  func() chooser { return newOurs(-1) }, // nor gate
		"ours, bound of 3":   func() chooser { return newOurs(3) },
		"ours, bound of 1.5": func() chooser { return newOurs(1.5) },
	}
	points := []struct {
		load float64
		dark bool
	}{{0.7, false}, {1.0, false}, {3, false}}
	if *loads {
		points = append(points, []struct {
			load float64
			dark bool
		}{{1.5, false}, {0.7, true}}...)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\trule\tin time\tfirst token p50\tp95\tprefix hits")
	good := map[string]int{}
	for _, point := range points {
		for _, name := range []string{"random", "in turn", "least reported", "ours, no affinity", "ours, bound of 1.5", "ours, bound of 3", "ours, no gate", "ours, wait of 0", "ours, wait of 1s", "ours"} {
			result := simulate(rules[name](), point.load, point.dark)
			good[fmt.Sprint(point.load, point.dark, name)] = result.good
			_, _ = fmt.Fprintf(table, "%.1f%s\t%s\t%.0f%%\t%s\t%s\t%.0f%%\n", point.load, map[bool]string{true: ", a third lost and back"}[point.dark], name,
				100*float64(result.good)/float64(result.offered), result.percentile(0.5), result.percentile(0.95), 100*float64(result.hits)/float64(max(result.begun, 1)))
		}
	}
	if testing.Verbose() {
		_ = table.Flush()
	}
	for _, point := range points[:3] {
		key := func(name string) int { return good[fmt.Sprint(point.load, point.dark, name)] }
		for _, other := range []string{"random", "in turn", "least reported"} {
			assert.Assert(t, key("ours") >= key(other), "at %.1f %s does better: %d against %d", point.load, other, key(other), key("ours"))
		}
	}
}
