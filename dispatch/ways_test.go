package dispatch

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// sizes has TestWaysOfBackingOff play all sizes and seeds.
var sizes = flag.Bool("sizes", false, "compare ways of backing off at all sizes")

// way is how nodes act on a backoff that a server states.
type way struct {
	heeds bool // later requests go elsewhere
	tells bool // all nodes are told
	trial bool // the first request after it goes alone while others have room
}

// ways are those that are compared. The last one stands.
var ways = []struct {
	name string
	way  way
}{
	{"forgotten with the request", way{}},
	{"told to all nodes", way{heeds: true, tells: true}},
	{"each node for itself", way{heeds: true}},
	{"told to all nodes, first one alone", way{heeds: true, tells: true, trial: true}},
	{"each node for itself, first one alone", way{heeds: true, trial: true}},
}

// play is a fleet of nodes before servers that ask for backoffs, in virtual time.
type play struct {
	way     way
	random  *rand.Rand
	nodes   []*Table
	servers []*backingServer
	events  events
	now     time.Duration

	sent, served, turned, broken int
	late                         int // served, but after more than one sending
}

// backingServer runs so many requests at once and turns others away. While it is
// troubled it turns all away.
type backingServer struct {
	id       shedkeel.InstanceID
	running  int
	from, to time.Duration // troubled in between
	stated   map[int][]statement
}

// statement is a backoff that a node was told.
type statement struct {
	from, until time.Duration
	came        int
}

const (
	// playSlots is how many requests a server runs at once, playTime for how long.
	playSlots = 8
	playTime  = 150 * time.Millisecond
	// playLength is how long requests come.
	playLength = 20 * time.Second
	// playDials is to how many servers one request may be sent.
	playDials = 4
)

type playEvent struct {
	at  time.Duration
	run func()
}

type events []playEvent

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at < events[j].at }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(event any)    { *events = append(*events, event.(playEvent)) }
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

func (play *play) after(wait time.Duration, run func()) {
	heap.Push(&play.events, playEvent{play.now + wait, run})
}

// newPlay returns a play of so many nodes and servers, of which some are troubled.
func newPlay(way way, seed uint64, nodes, servers, troubled int) *play {
	play := &play{way: way, random: rand.New(rand.NewPCG(seed, 11))}
	var listed []Server
	for index := range servers {
		server := &backingServer{id: shedkeel.InstanceID(fmt.Sprint("s", index)), stated: map[int][]statement{}}
		if index < troubled {
			server.from = 4*time.Second + time.Duration(play.random.Int64N(int64(time.Second)))
			server.to = server.from + time.Duration(2+play.random.IntN(8))*time.Second
		}
		play.servers = append(play.servers, server)
		listed = append(listed, Server{Service: "s", Instance: server.id, Slots: playSlots})
	}
	for index := range nodes {
		table := &Table{Random: rand.NewPCG(seed, uint64(index))}
		table.Replace(listed)
		play.nodes = append(play.nodes, table)
	}
	return play
}

// run has requests come at a rate, evenly spread at random.
func (play *play) run(rate float64) {
	for at := time.Duration(0); at < playLength; at += time.Duration(play.random.ExpFloat64() / rate * float64(time.Second)) {
		heap.Push(&play.events, playEvent{at, func() { play.send(play.random.IntN(len(play.nodes)), nil) }})
		play.sent++
	}
	for len(play.events) > 0 {
		event := heap.Pop(&play.events).(playEvent)
		play.now = event.at
		event.run()
	}
}

// send sends a request that was turned away by the tried servers.
func (play *play) send(node int, tried []shedkeel.InstanceID) {
	choice := play.nodes[node].Choose(Query{Service: "s", Avoid: tried, Now: play.now})
	if choice == nil || len(tried) == playDials {
		return
	}
	link := time.Millisecond + time.Duration(play.random.Int64N(int64(time.Millisecond)))
	play.after(link, func() { play.arrive(node, choice, tried, link) })
}

// arrive has a request come to its server.
func (play *play) arrive(node int, choice *Choice, tried []shedkeel.InstanceID, link time.Duration) {
	server := play.servers[0]
	for _, other := range play.servers {
		if other.id == choice.Instance {
			server = other
		}
	}
	for index := range server.stated[node] {
		stated := &server.stated[node][index]
		if play.now < stated.from+500*time.Millisecond || play.now > stated.until {
			continue
		}
		if stated.came++; stated.came == 3 {
			play.broken++
		}
	}
	if server.running >= playSlots || play.now >= server.from && play.now < server.to {
		length := 3 * time.Second
		if play.now >= server.to {
			length = 500 * time.Millisecond // it is only full
		}
		play.turned++
		server.stated[node] = append(server.stated[node], statement{play.now, play.now + length, 0})
		play.after(link, func() { play.turnedAway(node, choice, length, tried) })
		return
	}
	server.running++
	play.after(playTime, func() {
		server.running--
		choice.Sign(play.now)
		choice.End(false, play.now)
		play.served++
		if len(tried) > 0 {
			play.late++
		}
	})
}

// turnedAway has a node take in that a server turned a request away.
func (play *play) turnedAway(node int, choice *Choice, length time.Duration, tried []shedkeel.InstanceID) {
	choice.End(true, play.now)
	until := play.now + length
	if play.way.heeds {
		play.heed(node, choice.Instance, until)
	}
	if play.way.tells {
		for other := range play.nodes {
			play.after(5*time.Millisecond, func() { play.heed(other, choice.Instance, until) })
		}
	}
	play.send(node, append(tried[:len(tried):len(tried)], choice.Instance))
}

func (play *play) heed(node int, server shedkeel.InstanceID, until time.Duration) {
	table := play.nodes[node]
	table.BackOff(server, until, play.now)
	if !play.way.trial {
		table.conditions[server].unproven = false
	}
}

// TestWaysOfBackingOff compares ways in which nodes act on backoffs: some or all of the
// servers turn requests away for 2 to 9 s and ask for 3 s, and a server that is full
// asks for half a second. The way that stands sends no server more than it has asked
// for, and serves as many requests as any other that does not, within two in a hundred.
func TestWaysOfBackingOff(t *testing.T) {
	nodes, seeds := []int{9}, 3
	if *sizes {
		nodes, seeds = []int{9, 66}, 10
	}
	const servers = 12
	for _, count := range nodes {
		for _, troubled := range []int{2, 6, servers} {
			for _, load := range []float64{0.5, 0.9} {
				best, kept, broken := 0.0, 0.0, 0
				for _, candidate := range ways {
					var sum play
					for seed := range seeds {
						play := newPlay(candidate.way, uint64(seed), count, servers, troubled)
						play.run(load * servers * playSlots / playTime.Seconds())
						sum.sent += play.sent
						sum.served += play.served
						sum.turned += play.turned
						sum.broken += play.broken
						sum.late += play.late
					}
					served := float64(sum.served) / float64(sum.sent)
					t.Logf("%2d nodes, %2d of %d troubled, load %.1f, %-38s served %.3f (%.3f at once), turned away %6.1f/s, broken %d",
						count, troubled, servers, load, candidate.name, served, float64(sum.served-sum.late)/float64(sum.sent), float64(sum.turned)/playLength.Seconds()/float64(seeds), sum.broken)
					if sum.broken == 0 {
						best = max(best, served)
					}
					kept, broken = served, sum.broken
				}
				assert.Equal(t, broken, 0)
				assert.Assert(t, kept >= best-0.02, "%.3f served, %.3f another way", kept, best)
			}
		}
	}
}
