package completeness

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simulateWays = flag.Int("ways-seconds", 0, "simulate fleets of 9, 66 and 300 nodes for so many seconds with each way to prove that answers are complete; 0: skip")

// Figures of the simulated fleet: streams of 5 to 64 events of 30 ms, all close-delimited. Records state starts.
const (
	simSlots       = 6
	simDeadline    = 8 * time.Second
	simResumed     = 60 * time.Millisecond // run time of a stream that is resumed after its last event
	simCheck       = time.Millisecond      // for which a health check takes a slot
	simRoundTrip   = time.Millisecond
	simOldTimeout  = 400 * time.Millisecond
	serversPerNode = 4. / 3
)

// simWay is a way to prove that an answer is complete.
type simWay struct {
	timeout  time.Duration // of a check; 0: it waits until the request's time ends
	repeat   bool          // checks that got no answer or prove nothing are repeated
	kept     bool          // over a connection that is older than the request
	report   bool          // asks for what needs no slot
	runAgain bool          // a stream without proof is resumed elsewhere
}

var simWays = []struct {
	name string
	way  simWay
}{
	{"1 one check of 0.4 s (before)", simWay{timeout: simOldTimeout, runAgain: true}},
	{"2 checks of 0.4 s until the time ends", simWay{timeout: simOldTimeout, repeat: true, runAgain: true}},
	{"3 a check that waits, new connection", simWay{repeat: true}},
	{"4 a check that waits, older connection (plain servers)", simWay{repeat: true, kept: true}},
	{"5 a load report, older connection (model engines)", simWay{repeat: true, kept: true, report: true}},
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []*simEvent

func (events simEvents) Len() int { return len(events) }
func (events simEvents) Less(a, b int) bool {
	return events[a].at < events[b].at || events[a].at == events[b].at && events[a].seq < events[b].seq
}
func (events simEvents) Swap(a, b int)   { events[a], events[b] = events[b], events[a] }
func (events *simEvents) Push(event any) { *events = append(*events, event.(*simEvent)) } //nolint:forcetypeassert // only simulation.after pushes
func (events *simEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// simJob takes a slot of a server.
type simJob struct {
	length   time.Duration
	canceled bool
	running  bool
	done     func(cut bool) // cut: the process of the server has ended
}

// simServer is a backend server. It is back at once, under its name, when it ends.
type simServer struct {
	start   int // which process it is
	running []*simJob
	queue   []*simJob
}

// simulation is a fleet in virtual time.
type simulation struct {
	random  *rand.Rand
	way     simWay
	states  bool // health checks state the start of the server
	now     time.Duration
	events  simEvents
	seq     int
	servers []*simServer
	result  simResult
}

// simResult counts what became of the streams.
type simResult struct {
	streams, lost, late, parts, again, checks int
	delays                                    []time.Duration
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	simulation.seq++
	heap.Push(&simulation.events, &simEvent{at: simulation.now + delay, seq: simulation.seq, run: run})
}

// submit gives a job to a server.
func (simulation *simulation) submit(server *simServer, job *simJob) {
	server.queue = append(server.queue, job)
	simulation.schedule(server)
}

// schedule starts waiting jobs while there are free slots.
func (simulation *simulation) schedule(server *simServer) {
	for len(server.running) < simSlots && len(server.queue) > 0 {
		job := server.queue[0]
		server.queue = server.queue[1:]
		if job.canceled {
			continue
		}
		job.running = true
		server.running = append(server.running, job)
		simulation.after(job.length, func() {
			if !job.running {
				return
			}
			job.running = false
			server.running = slices.DeleteFunc(server.running, func(other *simJob) bool { return other == job })
			if !job.canceled {
				job.done(false)
			}
			simulation.schedule(server)
		})
	}
}

// crash ends the process of a server and starts the next one.
func (simulation *simulation) crash(server *simServer) {
	ended := slices.Concat(server.running, server.queue)
	server.running, server.queue = nil, nil
	server.start++
	for _, job := range ended {
		job.running = false
		if !job.canceled {
			job.done(true)
		}
	}
}

// simStream is one stream of a caller.
type simStream struct {
	sent     time.Duration
	attempts int
	cut      bool // its answer so far is a part
	ended    time.Duration
}

// run sends a stream to a server.
func (simulation *simulation) run(stream *simStream, length time.Duration) {
	stream.attempts++
	if stream.attempts == 2 {
		simulation.result.again++
	}
	server := simulation.servers[simulation.random.IntN(len(simulation.servers))]
	start := server.start
	simulation.submit(server, &simJob{length: length, done: func(cut bool) {
		if stream.attempts == 1 {
			stream.ended, stream.cut = simulation.now, cut
		}
		if !cut && stream.attempts > 1 {
			stream.cut = false // the second run has sent the rest
		}
		simulation.prove(stream, server, start)
	}})
}

// prove looks for a proof that the answer of the process with the start is complete.
func (simulation *simulation) prove(stream *simStream, server *simServer, start int) {
	left := simDeadline - (simulation.now - stream.sent)
	if left <= 0 {
		simulation.end(stream, false)
		return
	}
	simulation.result.checks++
	timeout := left
	if simulation.way.timeout > 0 {
		timeout = min(left, simulation.way.timeout)
	}
	decided := false
	var job *simJob
	decide := func(answered bool) {
		if decided {
			return
		}
		decided = true
		ended := server.start != start
		switch {
		case answered && !ended && (simulation.states || simulation.way.kept):
			simulation.end(stream, true)
		case ended && (simulation.states || simulation.way.kept) && (answered || simulation.way.kept):
			simulation.runAgain(stream)
		case simulation.way.repeat && (!answered || simulation.states || simulation.way.kept) && simulation.now-stream.sent < simDeadline:
			simulation.after(50*time.Millisecond, func() { simulation.prove(stream, server, start) })
		case simulation.way.runAgain:
			simulation.runAgain(stream)
		default:
			simulation.end(stream, false)
		}
	}
	simulation.after(timeout, func() {
		if job != nil {
			job.canceled = true
		}
		decide(false)
	})
	if simulation.way.report {
		simulation.after(simRoundTrip, func() { decide(true) })
		return
	}
	job = &simJob{length: simCheck, done: func(cut bool) { decide(!cut) }}
	simulation.submit(server, job)
}

// runAgain resumes a stream, if it may run again.
func (simulation *simulation) runAgain(stream *simStream) {
	if stream.attempts >= 2 || simulation.now-stream.sent >= simDeadline {
		simulation.end(stream, false)
		return
	}
	length := simResumed
	if stream.cut {
		length = time.Duration(5+simulation.random.IntN(30)) * 30 * time.Millisecond
	}
	simulation.run(stream, length)
}

// end ends a stream: its caller gets it as complete, or it is cut.
func (simulation *simulation) end(stream *simStream, complete bool) {
	result := &simulation.result
	switch {
	case complete && stream.cut:
		result.parts++
	case complete:
		result.delays = append(result.delays, simulation.now-stream.ended)
	case !stream.cut && simulation.now-stream.sent < simDeadline*7/10:
		result.lost++
	case !stream.cut:
		result.late++
	}
}

// TestWaysAtSize prints for each way and fleet how many streams that servers had finished were cut, within seven tenths of their time or later,
// how many parts passed as complete, how many streams ran twice, the checks for each stream and the delay of the last byte. It runs only with
// -ways-seconds.
func TestWaysAtSize(t *testing.T) {
	if *simulateWays == 0 {
		t.Skip("prints figures only, with -ways-seconds")
	}
	for _, load := range []struct {
		name string
		part float64 // of the slots in use on average, without checks
	}{{"calm", 0.4}, {"full", 0.93}} {
		for _, states := range []bool{true, false} {
			for _, nodes := range []int{9, 66, 300} {
				for _, way := range simWays {
					simulation := &simulation{random: rand.New(rand.NewPCG(1, 2)), way: way.way, states: states}
					result := simulation.play(nodes, load.part, time.Duration(*simulateWays)*time.Second)
					slices.Sort(result.delays)
					median, p99 := time.Duration(0), time.Duration(0)
					if len(result.delays) > 0 {
						median, p99 = result.delays[len(result.delays)/2], result.delays[len(result.delays)*99/100]
					}
					t.Logf("SIZE | %s | start stated %t | %d nodes | %s | %d streams | lost %d | cut late %d | parts %d | twice %d | checks %.2f | delay %s, %s", load.name, states, nodes, way.name,
						result.streams, result.lost, result.late, result.parts, result.again, float64(result.checks)/float64(max(result.streams, 1)), median.Round(100*time.Microsecond), p99.Round(100*time.Microsecond))
				}
			}
		}
	}
}

// play runs a fleet of so many nodes for the length, in which a hundredth of the servers ends each second.
func (simulation *simulation) play(nodes int, load float64, length time.Duration) simResult {
	for range int(float64(nodes) * serversPerNode) {
		simulation.servers = append(simulation.servers, &simServer{})
	}
	const meanRun = 34.5 * float64(30*time.Millisecond)
	gap := meanRun / (load * simSlots * float64(len(simulation.servers)))
	var arrive, fail func()
	arrive = func() {
		if simulation.now > length {
			return
		}
		simulation.result.streams++
		simulation.run(&simStream{sent: simulation.now}, time.Duration(5+simulation.random.IntN(60))*30*time.Millisecond)
		simulation.after(time.Duration(simulation.random.ExpFloat64()*gap), arrive)
	}
	fail = func() {
		simulation.crash(simulation.servers[simulation.random.IntN(len(simulation.servers))])
		simulation.after(time.Duration(simulation.random.ExpFloat64()*float64(100*time.Second)/float64(len(simulation.servers))), fail)
	}
	simulation.after(0, arrive)
	simulation.after(time.Second, fail)
	for len(simulation.events) > 0 {
		event := heap.Pop(&simulation.events).(*simEvent) //nolint:forcetypeassert // only after pushes
		if event.at > length+2*simDeadline {
			break
		}
		simulation.now = event.at
		event.run()
	}
	return simulation.result
}
