package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/platform"
)

// lateServer is a server whose writes the key-value service may do late. It counts orders, and states a drain, the end of a
// join and a break without one, as the platform's servers do.
type lateServer struct {
	random   *rand.Rand
	sequence int
	epoch    int
	state    string // of its membership; "": it is in no group
	draining bool
	ended    bool
	version  int // counts the states
}

// step changes the server's state.
func (server *lateServer) step() {
	server.version++
	if server.random.IntN(12) == 0 {
		server.ended = server.draining
		server.draining = true
		return
	}
	switch server.state {
	case "":
		server.sequence++
		server.epoch += 1 + server.random.IntN(3)
		server.state = "joining"
	case "joining":
		server.state = "ready"
	case "ready":
		server.sequence++
		server.state = []string{"open", "open", "", "joining"}[server.random.IntN(4)]
		if server.state == "joining" {
			server.epoch++
		}
	case "open":
		if server.random.IntN(3) == 0 {
			server.state = "broken"
			return
		}
		server.sequence++
		server.state = "closing"
	case "closing":
		server.version-- // a record of before is as good: the group serves nobody either way
		server.state = "ready"
	case "broken":
		server.sequence++
		server.state = ""
	}
}

// record returns the server's record at present.
func (server *lateServer) record() shedkeel.Record {
	key := "servers/i-1"
	if server.ended {
		return shedkeel.Record{Key: key, Removed: true}
	}
	group, state := "", "ready"
	if server.state != "" {
		group = fmt.Sprintf(`,"group":{"name":"m/d/1","epoch":%d,"rank":0,"state":%q}`, server.epoch, server.state)
	}
	if server.draining {
		state = "draining"
	}
	// The version stands in a field that the node keeps and doesn't use for ordering.
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:%d","zone":"z","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"domain":"d","seq":%d%s}`, server.version+1, state, server.sequence, group)
	return shedkeel.Record{Key: key, Value: []byte(value)}
}

// goneBack is what a node did with the records of a history.
type goneBack struct {
	writes, late   int
	back, returned int           // earlier states that came into force after later ones, of listed servers and of one that has ended
	length         time.Duration // for which they were in force
}

// play has a server write its record for a minute, two in ten writes late by 1 to 6 s and one in ten not at all.
func (back *goneBack) play(t *testing.T, seed uint64) {
	t.Helper()
	type write struct {
		at      time.Duration
		version int
		record  shedkeel.Record
	}
	random := rand.New(rand.NewPCG(seed, 5))
	server := &lateServer{random: random}
	var writes []write
	nextStep, nextBeat := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < time.Minute && !server.ended; at += 20 * time.Millisecond {
		stepped := at >= nextStep
		if stepped {
			server.step()
			nextStep = at + time.Duration(200+random.IntN(2500))*time.Millisecond
		}
		if !stepped && at < nextBeat {
			continue
		}
		nextBeat = at + 1200*time.Millisecond
		delay := time.Duration(0)
		switch drawn := random.IntN(10); {
		case drawn < 2 && !server.ended:
			delay = time.Duration(1000+random.IntN(5000)) * time.Millisecond
			back.late++
		case drawn == 2 && !server.ended:
			continue
		}
		writes = append(writes, write{at + delay, server.version, server.record()})
	}
	slices.SortStableFunc(writes, func(a, b write) int { return int(a.at - b.at) })
	node, timers := newTestNode(t)
	node.Decoder = platform.Decoder{}
	node.fleet.setView(newServiceView(shedkeel.RoutedService{ID: "s", Engine: &shedkeel.Engine{}}))
	start := timers.Now()
	latest, backSince := 0, time.Duration(0)
	for index, write := range writes {
		timers.Advance(start + write.at - timers.Now())
		write.record.Revision.Number = int64(index + 1)
		node.mirror.Apply(mirror.Update{Full: index == 0, At: write.record.Revision, AsOf: timers.Now(), Records: []shedkeel.Record{write.record}})
		back.writes++
		version := server.version // once it has ended
		if instance, listed := node.fleet.instances["servers/i-1"]; listed {
			_, _ = fmt.Sscanf(instance.Address, "10.0.0.1:%d", &version)
			version--
		}
		if backSince > 0 {
			back.length += timers.Now() - backSince
			backSince = 0
		}
		if version < latest {
			backSince = timers.Now()
			if latest == server.version && server.ended {
				back.returned++
			} else {
				back.back++
			}
		}
		latest = max(latest, version)
	}
}

// TestLateWritesUndoNothing guards against a node that goes back to an earlier state of a server, in random histories of
// orders, joins, drains and ends whose writes the key-value service does late. Only where no drain of a server has come can a write
// from before its end not be told from one of a server whose record had lapsed.
func TestLateWritesUndoNothing(t *testing.T) {
	var total goneBack
	for seed := range uint64(300) {
		total.play(t, seed)
	}
	t.Logf("%+v", total)
	assert.Assert(t, total.late > 1000)
	assert.Equal(t, total.back, 0)
	assert.Assert(t, total.returned*100 < total.late, "%d servers that had ended returned", total.returned)
}
