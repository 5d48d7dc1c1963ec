package group

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/policy"
)

// loss is one failure in a trace.
type loss struct {
	at         time.Duration // virtual time at which it begins
	box        int           // index of the box in the fleet
	duration   time.Duration // how long the box is unreachable
	keepsState bool          // the box still has its state when it is reachable again
	notice     time.Duration // how long before the loss the box is listed as leaving; 0: unannounced
	isDomain   bool          // all boxes of the box's domain are lost
	isZone     bool          // all boxes are lost
}

// rates holds the mean number of losses a day: fail, restart and pause for each
// box, domain and zone for the whole zone.
type rates struct {
	fail, restart, pause float64
	domain, zone         float64
}

// expectedRates are those of the production fleet: each day 8 of 4,800 boxes
// fail and 370 restart; one of 40 domains loses a rack or switch every 45 days,
// and one of 7 zones fails every 60 days. A zone has about 6 of the 40 domains,
// hence the factor 6. The rate of pauses is not known; 200 a day are assumed.
var expectedRates = rates{fail: 8.0 / 4800, restart: 370.0 / 4800, pause: 200.0 / 4800, domain: 1.0 / 45 / 40 * 6, zone: 1.0 / 60 / 7}

// generateTrace draws the losses of a zone over the given length, sorted by time.
// Times between losses of a kind are exponentially distributed. Half of the
// restarts are announced five minutes ahead.
func generateTrace(random *rand.Rand, rates rates, boxes int, length time.Duration) []loss {
	var losses []loss
	addLosses := func(perDay float64, makeLoss func(at time.Duration) loss) {
		at := time.Duration(0)
		for perDay > 0 {
			at += time.Duration(-math.Log(1-random.Float64()) / perDay * 24 * float64(time.Hour))
			if at >= length {
				return
			}
			losses = append(losses, makeLoss(at))
		}
	}
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	addLosses(rates.fail*float64(boxes), func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(2*time.Hour, 6*time.Hour)}
	})
	addLosses(rates.restart*float64(boxes)/2, func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(time.Minute, 3*time.Minute)}
	})
	addLosses(rates.restart*float64(boxes)/2, func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(time.Minute, 3*time.Minute), notice: 5 * time.Minute}
	})
	addLosses(rates.pause*float64(boxes), func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(4*time.Second, 20*time.Second), keepsState: true}
	})
	addLosses(rates.domain, func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(10*time.Minute, time.Hour), isDomain: true, keepsState: random.IntN(2) == 0}
	})
	addLosses(rates.zone, func(at time.Duration) loss {
		return loss{at: at, box: random.IntN(boxes), duration: randomDuration(20*time.Minute, 2*time.Hour), isDomain: true, isZone: true}
	})
	slices.SortFunc(losses, func(a, b loss) int { return cmp.Compare(a.at, b.at) })
	return losses
}

// applyLoss makes the boxes of a loss unreachable.
func (fleet *fleet) applyLoss(loss loss) {
	first := fleet.boxes[loss.box]
	for _, box := range fleet.boxes {
		if box != first && (!loss.isDomain || box.domain != first.domain) && !loss.isZone {
			continue
		}
		box.downUntil = max(box.downUntil, fleet.now+loss.duration)
		box.losesState = box.losesState || !loss.keepsState
	}
}

// settleTicks is how many ticks without a change must pass before run skips ticks.
// It is longer than any ReplaceAfter in the parameters that are measured here.
const settleTicks = 90

// run simulates the fleet under a trace until its time is length. After settleTicks
// without a change it skips to the next event.
func (fleet *fleet) run(losses []loss, length time.Duration) {
	pending := slices.Clone(losses)
	var notices []loss
	for _, loss := range losses {
		if loss.notice > 0 {
			notices = append(notices, loss)
		}
	}
	quietTicks := 0
	for fleet.now < length {
		for len(notices) > 0 && notices[0].at-notices[0].notice <= fleet.now {
			fleet.boxes[notices[0].box].leaving = true
			notices = notices[1:]
			quietTicks = 0
		}
		for len(pending) > 0 && pending[0].at <= fleet.now {
			fleet.applyLoss(pending[0])
			pending = pending[1:]
			quietTicks = 0
		}
		if fleet.advance().Changed || !fleet.settled() {
			quietTicks = 0
		}
		quietTicks++
		if quietTicks > settleTicks {
			fleet.skipAhead(pending, notices, length)
		}
	}
}

// settled reports whether no box is leaving or loading.
func (fleet *fleet) settled() bool {
	for _, box := range fleet.boxes {
		if box.leaving || box.state.Phase == shedkeel.PhaseLoading {
			return false
		}
	}
	return true
}

// skipAhead advances to the tick before the next event: a loss, a notice, a box that
// becomes reachable again, or the end at length. The measures grow for each skipped tick
// as they do in the current one.
func (fleet *fleet) skipAhead(pending, notices []loss, length time.Duration) {
	next := length
	if len(pending) > 0 {
		next = min(next, pending[0].at)
	}
	if len(notices) > 0 {
		next = min(next, notices[0].at-notices[0].notice)
	}
	for _, box := range fleet.boxes {
		if !box.up(fleet.now) {
			next = min(next, box.downUntil)
		}
	}
	skipped := next - fleet.now - fleetTick
	if skipped <= 0 {
		return
	}
	before := *fleet
	fleet.addMeasures()
	ticks := skipped / fleetTick
	fleet.groupDown = before.groupDown + (fleet.groupDown-before.groupDown)*ticks
	fleet.stranded = before.stranded + (fleet.stranded-before.stranded)*ticks
	fleet.crossDomain = before.crossDomain + (fleet.crossDomain-before.crossDomain)*ticks
	fleet.now += ticks * fleetTick
}

var days = flag.Int("days", shortTrace, "length in days of the loss trace that planners are measured on")

const (
	// shortTrace, in days, is long enough for what TestTrace asserts. With a larger
	// -days the test also measures the candidates on which it asserts nothing.
	shortTrace   = 3
	traceDomains = 4
	traceBoxes   = 36 // in each domain: 4 groups of 8 and 4 boxes left over
	traceMembers = 8  // in each group
)

// candidate is a planner with its table and the fleet that it is measured on.
type candidate struct {
	name       string
	naive      bool
	asserted   bool // TestTrace asserts something on its result
	table      shedkeel.PlannerParameters
	groups     int  // that the service wants
	boxes      int  // in each domain; 0: traceBoxes
	noFallback bool // groups are not repaired in outages
	outages    bool // the key-value service is not available in the last hour of every 48
}

// shippedTable returns the table that the policy in policies/NAME.star gives for
// the fleet of the trace.
func shippedTable(t *testing.T, name string) shedkeel.PlannerParameters {
	t.Helper()
	program, err := os.ReadFile(filepath.Join("..", "policies", name+".star"))
	assert.NilError(t, err)
	facts := policy.SampleFacts()
	facts.GroupSize, facts.DomainBoxes, facts.Domains = traceMembers, traceBoxes, traceDomains
	table, err := policy.Run(shedkeel.Policy{Name: name, Program: string(program)}, facts)
	assert.NilError(t, err)
	return table
}

// result holds the measures of a candidate, as defined in fleet.
type result struct {
	groupDown, stranded, crossDomain time.Duration
}

// measure runs a candidate on a trace of the given length, which is the same for all
// candidates with as many boxes, and returns its measures.
func measure(candidate candidate, length time.Duration) result {
	var planner shedkeel.Planner = &Planner{}
	if candidate.naive {
		planner = &NaivePlanner{}
	}
	boxes := cmp.Or(candidate.boxes, traceBoxes)
	fleet := newFleet(planner, candidate.table, traceDomains, boxes, candidate.groups, traceMembers)
	// The boxes that are left over in each domain start without weights, like boxes
	// that have restarted and have not got a prefetch order yet.
	for index, box := range fleet.boxes {
		if index%boxes < boxes/traceMembers*traceMembers {
			box.state.Weights, box.state.Phase = "model", shedkeel.PhaseWarm
		}
	}
	for range 5 * loadTime / fleetTick {
		fleet.advance() // the first groups form; not measured
	}
	fleet.groupDown, fleet.stranded, fleet.crossDomain = 0, 0, 0
	start := fleet.now
	fleet.noFallback = candidate.noFallback
	if candidate.outages {
		fleet.isOutage = func(now time.Duration) bool { return (now-start)%(48*time.Hour) >= 47*time.Hour }
	}
	losses := generateTrace(rand.New(rand.NewPCG(7, 7)), expectedRates, len(fleet.boxes), length)
	for index := range losses {
		losses[index].at += start
	}
	fleet.run(losses, start+length)
	return result{fleet.groupDown, fleet.stranded, fleet.crossDomain}
}

// lowerBound returns the group downtime that no planner can avoid with 4 groups in each domain of
// traceBoxes boxes. Each unannounced loss of a box in a group takes the group down for the loss's
// duration, or for joinTime if a substitute that has the weights joins sooner. The loss of a domain
// or zone takes its groups down for the loss's duration.
func lowerBound(losses []loss) time.Duration {
	bound := time.Duration(0)
	for _, loss := range losses {
		if loss.notice == 0 && !loss.isDomain {
			bound += min(loss.duration, joinTime) * traceMembers * 4 / traceBoxes
		}
		if loss.isDomain && !loss.isZone {
			bound += loss.duration * 4
		}
		if loss.isZone {
			bound += loss.duration * 4 * traceDomains
		}
	}
	return bound
}

// candidates returns the planners and tables to compare. The shipped policy karadere favors group
// uptime and keeps spares that have the weights; nafha keeps no spares and lets groups span
// domains. Of 36 boxes in each of 4 domains, 16 groups leave 4 per domain over, and 18 groups need
// all, so 2 must span domains. Of 32 boxes, 16 groups leave none over.
func candidates(t *testing.T) []candidate {
	t.Helper()
	karadere, nafha := shippedTable(t, "karadere"), shippedTable(t, "nafha")
	variant := func(table shedkeel.PlannerParameters, change func(*shedkeel.PlannerParameters)) shedkeel.PlannerParameters {
		change(&table)
		return table
	}
	return []candidate{
		{asserted: true, name: "naive, 16 groups", naive: true, groups: 16},
		{asserted: true, name: "karadere, 16 groups", table: karadere, groups: 16},
		{name: "karadere without warm spares", table: variant(karadere, func(table *shedkeel.PlannerParameters) { table.WarmSpares = false }), groups: 16},
		{name: "karadere with 5 s of patience for a warm spare", table: variant(karadere, func(table *shedkeel.PlannerParameters) { table.WarmReplaceAfter = 5 * time.Second }), groups: 16},
		{name: "karadere with consolidation", table: variant(karadere, func(table *shedkeel.PlannerParameters) { table.Consolidate = true }), groups: 16},
		{name: "karadere with DomainFailureFraction 0", table: variant(karadere, func(table *shedkeel.PlannerParameters) { table.DomainFailureFraction = 0 }), groups: 16},
		{asserted: true, name: "naive, 18 groups wanted", naive: true, groups: 18},
		{asserted: true, name: "nafha, 18 groups wanted", table: nafha, groups: 18},
		{name: "nafha without cross-domain groups", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.CrossDomain = false }), groups: 18},
		{name: "nafha without patience", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.ReplaceAfter = 0 }), groups: 18},
		{name: "nafha with consolidation", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.Consolidate = true }), groups: 18},
		{name: "naive, no boxes over", naive: true, groups: 16, boxes: 32},
		{name: "nafha, no boxes over", table: nafha, groups: 16, boxes: 32},
		{name: "nafha with consolidation, no boxes over", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.Consolidate = true }), groups: 16, boxes: 32},
		{name: "nafha with DomainFailureFraction 0, no boxes over", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.DomainFailureFraction = 0 }), groups: 16, boxes: 32},
		{name: "nafha without patience, no boxes over", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.ReplaceAfter = 0 }), groups: 16, boxes: 32},
		{name: "nafha without cross-domain groups, no boxes over", table: variant(nafha, func(table *shedkeel.PlannerParameters) { table.CrossDomain = false }), groups: 16, boxes: 32},
		{name: "naive, 16 groups, service outages", naive: true, groups: 16, outages: true},
		{name: "karadere without reserves, service outages", table: karadere, groups: 16, outages: true, noFallback: true},
		{name: "karadere, 16 groups, service outages", table: karadere, groups: 16, outages: true},
	}
}

// TestTrace measures planners on one loss trace. With 16 groups, karadere must have at most a fifth
// of the group downtime of NaivePlanner and no more stranded accelerator time; with 18 groups,
// nafha must have at most half of its stranded accelerator time and no more group downtime. -v
// prints the measures (see fleet); -days lengthens the trace.
func TestTrace(t *testing.T) {
	length := time.Duration(*days) * 24 * time.Hour
	measured := candidates(t)
	if *days <= shortTrace {
		measured = slices.DeleteFunc(measured, func(candidate candidate) bool { return !candidate.asserted })
	}
	measurements := make([]result, len(measured))
	var running sync.WaitGroup
	for index, candidate := range measured {
		running.Go(func() { measurements[index] = measure(candidate, length) })
	}
	running.Wait()
	results := map[string]result{}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "planner\tgroup-minutes down\tstranded accelerator-hours\taccelerator-hours in cross-domain groups\n")
	for index, candidate := range measured {
		results[candidate.name] = measurements[index]
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\n", candidate.name, measurements[index].groupDown.Minutes(), measurements[index].stranded.Hours(), measurements[index].crossDomain.Hours())
	}
	losses := generateTrace(rand.New(rand.NewPCG(7, 7)), expectedRates, traceDomains*traceBoxes, length)
	_, _ = fmt.Fprintf(table, "lower bound of the trace (%d losses)\t%.0f\t\t\n", len(losses), lowerBound(losses).Minutes())
	if testing.Verbose() {
		_ = table.Flush()
	}
	naive, karadere := results["naive, 16 groups"], results["karadere, 16 groups"]
	assert.Assert(t, karadere.groupDown*5 <= naive.groupDown, "karadere: %s of group downtime, naive: %s", karadere.groupDown, naive.groupDown)
	assert.Assert(t, karadere.stranded <= naive.stranded, "karadere: %s of stranded accelerator time, naive: %s", karadere.stranded, naive.stranded)
	naive18Groups, nafha := results["naive, 18 groups wanted"], results["nafha, 18 groups wanted"]
	assert.Assert(t, nafha.stranded*2 <= naive18Groups.stranded, "nafha: %s of stranded accelerator time, naive: %s", nafha.stranded, naive18Groups.stranded)
	assert.Assert(t, nafha.groupDown <= naive18Groups.groupDown, "nafha: %s of group downtime, naive: %s", nafha.groupDown, naive18Groups.groupDown)
}
