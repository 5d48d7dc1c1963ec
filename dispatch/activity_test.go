package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/liveness"
)

// fleetSimulation runs boxes in virtual time, with three boxes for each replica group of a model.
// The number of requests is constant: a box sends one when another ends.
type fleetSimulation struct {
	boxes    int
	perGroup int  // requests for each group; those above simulatedSlots wait
	asks     bool // boxes ask the spreader of the first partition about silent groups
	// Faults, from simulatedFault on.
	deadGroup   bool                      // the first group sends no events
	cutOffBox   bool                      // the first box receives no events
	lostReports bool                      // other spreaders take over, which have received no reports
	frozen      time.Duration             // for which the spreaders do not answer
	waiting     []func(now time.Duration) // the reports that they receive meanwhile, and handle at the end

	tables    []*Table // of the boxes
	spreaders []*Table // by partition
	groups    []*simulatedGroup
	random    *rand.Rand
	found     map[simulatedPair]simulatedStall // first stalls that FindStalled returned
}

// simulatedPair is a box and a group.
type simulatedPair struct {
	box  int
	head shedkeel.InstanceID
}

// simulatedStall is when a box found a stall, and how long the group had sent nothing to it.
type simulatedStall struct{ At, Elapsed time.Duration }

// simulatedGroup is an engine. Each pass sends an event of each of the first simulatedSlots streams.
type simulatedGroup struct {
	head     shedkeel.InstanceID
	streams  []*simulatedStream
	nextPass time.Duration
}

type simulatedStream struct {
	box    int
	choice *Choice
	events int // that remain
}

const (
	simulatedSlots   = 34
	simulatedStep    = 5 * time.Millisecond
	simulatedTick    = 20 * time.Millisecond // between two checks of a box for silence
	simulatedStart   = time.Minute
	simulatedWatch   = simulatedStart + 2*time.Second // all streams begin at once; stalls count from here on
	simulatedFault   = simulatedStart + 3*time.Second
	simulatedEnd     = simulatedStart + 5*time.Second
	simulatedQueue   = 60 // requests for each group, so that a request waits for about 0.9 s
	simulatedNoQueue = 24
	// simulatedRecovery is how long after a fault of the spreaders stalls may be found: inquiries sent
	// before its end had no answer, or new spreaders have few reports.
	simulatedRecovery = liveness.AskAhead + simulatedTick
)

// run simulates until simulatedEnd and returns the stalls found.
func (simulation *fleetSimulation) run() map[simulatedPair]simulatedStall {
	simulation.random = rand.New(rand.NewPCG(7, 7))
	simulation.found = map[simulatedPair]simulatedStall{}
	for number := range simulation.boxes / 3 {
		simulation.groups = append(simulation.groups, &simulatedGroup{head: shedkeel.InstanceID(fmt.Sprint(number))})
	}
	for range simulation.boxes {
		simulation.tables = append(simulation.tables, simulation.newTable())
	}
	simulation.replaceSpreaders()
	for range len(simulation.groups) * simulation.perGroup {
		simulation.send(simulatedStart)
	}
	for now := simulatedStart; now < simulatedEnd; now += simulatedStep {
		simulation.changeSpreaders(now)
		for index, group := range simulation.groups {
			isDead := simulation.deadGroup && index == 0 && now >= simulatedFault
			if now >= group.nextPass && !isDead {
				simulation.pass(group, now)
			}
		}
		for box := range simulation.tables {
			if (now+time.Duration(box)*simulatedStep)%simulatedTick == 0 {
				simulation.check(box, now)
			}
		}
	}
	return simulation.found
}

func (simulation *fleetSimulation) newTable() *Table {
	var servers []Server
	for _, group := range simulation.groups {
		servers = append(servers, Server{Service: "s", Model: "m", Instance: group.head, Zone: "z", Slots: simulatedSlots, PrefillRate: 46_000, Group: shedkeel.Assignment{Group: shedkeel.GroupID(group.head)}})
	}
	table := &Table{Zone: "z", Random: rand.NewPCG(7, 7)}
	table.Replace(servers)
	return table
}

// replaceSpreaders starts all spreaders anew.
func (simulation *fleetSimulation) replaceSpreaders() {
	simulation.spreaders = nil
	for range simulation.tables[0].Partitions("s", "m") {
		simulation.spreaders = append(simulation.spreaders, simulation.newTable())
	}
}

// changeSpreaders begins and ends the faults of spreaders.
func (simulation *fleetSimulation) changeSpreaders(now time.Duration) {
	if simulation.lostReports && now == simulatedFault {
		simulation.replaceSpreaders()
	}
	if !simulation.isFrozen(now) {
		for _, handle := range simulation.waiting {
			handle(now)
		}
		simulation.waiting = nil
	}
}

func (simulation *fleetSimulation) isFrozen(now time.Duration) bool {
	return now >= simulatedFault && now < simulatedFault+simulation.frozen
}

// send has a random box report to a random spreader and send a request to the group with the fewest
// requests, unless the box avoids the group.
func (simulation *fleetSimulation) send(now time.Duration) {
	box := simulation.random.IntN(simulation.boxes)
	table := simulation.tables[box]
	query := Query{Service: "s", Model: "m", PromptTokens: 674, Now: now}
	load := table.Load("s", "m", now)
	spreader := simulation.spreaders[simulation.random.IntN(len(simulation.spreaders))]
	report := func(at time.Duration) {
		for head := range load.Heard {
			load.Heard[head] += at - now // reports state ages, which count from their arrival
		}
		spreader.Recommend(query, Reporter{Process: fmt.Sprint(box), Zone: "z", Running: load.RunningRequests, Groups: load.Groups, Heard: load.Heard})
	}
	if simulation.isFrozen(now) {
		simulation.waiting = append(simulation.waiting, report)
	} else {
		report(now)
	}
	query.Preferred = slices.MinFunc(simulation.groups, func(a, b *simulatedGroup) int { return len(a.streams) - len(b.streams) }).head
	choice := table.Choose(query)
	if choice == nil {
		return // the box avoids all groups
	}
	group := simulation.groups[slices.IndexFunc(simulation.groups, func(group *simulatedGroup) bool { return group.head == choice.Instance })]
	group.streams = append(group.streams, &simulatedStream{box: box, choice: choice, events: 5 + simulation.random.IntN(24)})
}

// pass runs one pass of five steps of the group's engine.
func (simulation *fleetSimulation) pass(group *simulatedGroup, now time.Duration) {
	running := min(len(group.streams), simulatedSlots)
	group.nextPass = now + 5*(6070*time.Microsecond+time.Duration(running)*241*time.Microsecond)
	var remaining []*simulatedStream
	for index, stream := range group.streams {
		isCutOff := simulation.cutOffBox && stream.box == 0 && now >= simulatedFault
		if index < running && !isCutOff {
			stream.choice.RecordResponse(now)
			stream.events--
		}
		if stream.events > 0 {
			remaining = append(remaining, stream)
		} else {
			stream.choice.End(false, now)
		}
	}
	ended := len(group.streams) - len(remaining)
	group.streams = remaining
	for range ended {
		simulation.send(now)
	}
}

// check is what a box does at each tick.
func (simulation *fleetSimulation) check(box int, now time.Duration) {
	table := simulation.tables[box]
	if simulation.asks {
		for _, inquiry := range table.Inquiries(now) {
			if !simulation.isFrozen(now) {
				table.RecordActivity(inquiry, simulation.spreaders[0].Activity(inquiry))
			}
		}
	}
	for _, stall := range table.FindStalled(now) {
		pair := simulatedPair{box, stall.Server.Instance}
		if _, known := simulation.found[pair]; !known && now >= simulatedWatch {
			simulation.found[pair] = simulatedStall{now, stall.Elapsed}
		}
	}
}

// TestQueuesAreNoStalls has requests queue at working groups, so that first events take longer than
// from an idle group. No group may be found stalled, except while the spreaders do not know or tell
// what other boxes receive. With several partitions, each spreader gets a part of the reports, and
// sometimes none of a group in time: one in a hundred of the false alarms may remain.
func TestQueuesAreNoStalls(t *testing.T) {
	cases := map[string]struct {
		lostReports bool
		frozen      time.Duration
	}{
		"spreaders work":                         {},
		"other spreaders take over":              {lostReports: true},
		"all spreaders freeze and resume":        {frozen: 300 * time.Millisecond},
		"spreaders freeze, and others take over": {lostReports: true, frozen: 100 * time.Millisecond},
	}
	for _, boxes := range []int{9, 66, 300} {
		without := (&fleetSimulation{boxes: boxes, perGroup: simulatedQueue}).run()
		for name, test := range cases {
			t.Run(fmt.Sprint(name, ", boxes ", boxes), func(t *testing.T) {
				t.Parallel()
				simulation := &fleetSimulation{boxes: boxes, perGroup: simulatedQueue, asks: true, lostReports: test.lostReports, frozen: test.frozen}
				found := simulation.run()
				faultEnd := simulatedFault + test.frozen + simulatedRecovery
				outside := 0
				for _, stall := range found {
					if stall.At < simulatedFault || stall.At > faultEnd {
						outside++
					}
				}
				allowed := 0
				if len(simulation.spreaders) > 1 {
					allowed = len(without) / 100
				}
				t.Logf("stalls found: %d without inquiries, %d with, %d of them outside the fault", len(without), len(found), outside)
				assert.Assert(t, outside <= allowed, "%v", found)
				assert.Assert(t, len(without) > boxes || boxes == 9, "the queues are too short to guard against anything")
			})
		}
	}
}

// TestFaultsAreFoundAsBefore checks that inquiries delay no finding of a real fault by a tick: a
// dead group, and a box that receives nothing while others do.
func TestFaultsAreFoundAsBefore(t *testing.T) {
	for _, boxes := range []int{9, 66, 300} {
		for name, fault := range map[string]fleetSimulation{"dead group": {deadGroup: true}, "cut-off box": {cutOffBox: true}} {
			t.Run(fmt.Sprint(name, ", boxes ", boxes), func(t *testing.T) {
				t.Parallel()
				without, with := fault, fault
				without.boxes, without.perGroup = boxes, simulatedNoQueue
				with.boxes, with.perGroup, with.asks = boxes, simulatedNoQueue, true
				found := without.run()
				assert.Assert(t, len(found) > 0, "the fault was not found")
				assert.DeepEqual(t, with.run(), found)
			})
		}
	}
}

// TestDeadGroupIsFoundInQueue has a group die while requests queue there. Requests that were sent
// before do not delay its finding beyond the time that an idle group would have had. Reports that a
// frozen spreader handles late may delay it while they make the last event seem recent.
func TestDeadGroupIsFoundInQueue(t *testing.T) {
	for frozen, delay := range map[time.Duration]time.Duration{0: 0, 800 * time.Millisecond: defaultMaxEventGap + 100*time.Millisecond} {
		testDeadGroupInQueue(t, frozen, delay)
	}
}

// testDeadGroupInQueue has a group die in a queue, and the spreaders freeze at the same time.
func testDeadGroupInQueue(t *testing.T, frozen, delay time.Duration) {
	t.Helper()
	simulation := &fleetSimulation{boxes: 66, perGroup: simulatedQueue, asks: true, deadGroup: true, frozen: frozen}
	first, longest := simulatedEnd, time.Duration(0)
	for pair, stall := range simulation.run() {
		if pair.head == simulation.groups[0].head {
			first = min(first, stall.At)
			longest = max(longest, min(stall.Elapsed, stall.At-simulatedFault)) // since the fault or a later request
		}
	}
	t.Logf("spreaders frozen for %s: first found %s after the fault, longest silence after it %s", frozen, first-simulatedFault, longest)
	assert.Assert(t, first <= simulatedFault+defaultMaxEventGap+stallMargin+simulatedTick)
	prefill := (&Server{PrefillRate: 46_000}).prefillTime(674 * 10) // no box has more prompts there
	assert.Assert(t, longest <= delay+maxFirstEventTime+prefill+stallMargin+simulatedTick)
}

// TestExcusedSilence checks when the silence of a server is found to be a stall, and that it is
// asked about only where the answer could matter. Another server sends events to this process
// unless the case says otherwise, and the answers say that others heard the server 30 ms ago.
func TestExcusedSilence(t *testing.T) {
	const limit = maxFirstEventTime + stallMargin
	cases := map[string]struct {
		alter    func(*Table, *Choice) // before the silence begins
		hears    bool                  // this process receives events of another server
		answers  bool                  // inquiries are answered
		stalled  time.Duration         // first tick at which the stall is found
		inquires bool
	}{
		"works for others":              {func(*Table, *Choice) {}, true, true, 1700 * time.Millisecond, true},
		"no answer":                     {func(*Table, *Choice) {}, true, false, limit, true},
		"this box hears nothing":        {func(*Table, *Choice) {}, false, true, limit, false},
		"a stream past its first event": {func(_ *Table, choice *Choice) { choice.RecordResponse(time.Minute) }, true, true, defaultMaxEventGap + stallMargin, false},
		"only relayed events arrive": {func(table *Table, _ *Choice) {
			for _, state := range table.servers {
				for running := range state.running {
					running.SetRelayed()
				}
			}
		}, true, true, limit, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := testTable("silent", "other")
			silent := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"other"}, Now: time.Minute})
			other := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"silent"}, Now: time.Minute})
			test.alter(table, silent)
			asked, stalled := time.Duration(0), time.Duration(0)
			for now := time.Minute; stalled == 0; now += simulatedTick {
				if test.hears {
					other.RecordResponse(now)
				}
				for _, inquiry := range table.Inquiries(now) {
					assert.Assert(t, asked == 0 || now-asked >= liveness.AskAhead, "asked too often")
					assert.DeepEqual(t, inquiry.Instances, []shedkeel.InstanceID{"silent"})
					asked = now
					if test.answers {
						table.RecordActivity(inquiry, []time.Duration{now - 30*time.Millisecond})
					}
				}
				for _, stall := range table.FindStalled(now) {
					if stall.Server.Instance == "silent" {
						stalled = now - time.Minute
					}
				}
			}
			assert.Equal(t, stalled, test.stalled)
			assert.Equal(t, asked != 0, test.inquires)
		})
	}
}

// TestActivity checks that a process knows the latest event of a group among its own and those that
// others report, that an older report does not replace it, and that choosing a group is no event.
func TestActivity(t *testing.T) {
	table := testTable("a", "b", "c")
	report := func(heard map[shedkeel.InstanceID]time.Duration) {
		table.Recommend(at(time.Minute), Reporter{Process: "p", Heard: heard})
	}
	choice := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b", "c"}, Now: time.Second})
	inquiry := &Inquiry{Service: "llm", Model: "m", Instances: []shedkeel.InstanceID{"a", "b", "unknown"}}
	assert.DeepEqual(t, table.Activity(inquiry), []time.Duration{0, 0, 0})
	report(map[shedkeel.InstanceID]time.Duration{"a": 3 * time.Second, "b": 4 * time.Second})
	report(map[shedkeel.InstanceID]time.Duration{"b": 2 * time.Second})
	assert.DeepEqual(t, table.Activity(inquiry), []time.Duration{3 * time.Second, 4 * time.Second, 0})
	choice.RecordResponse(5 * time.Second)
	assert.DeepEqual(t, table.Activity(inquiry), []time.Duration{5 * time.Second, 4 * time.Second, 0})
	assert.DeepEqual(t, table.Load("llm", "m", time.Minute).Heard, map[shedkeel.InstanceID]time.Duration{"a": 5 * time.Second})
}
