package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

func testTable(names ...string) *Table {
	table := &Table{Zone: "z", Random: rand.NewPCG(1, 2)}
	table.Replace(groups(names...))
	return table
}

func groups(names ...string) []Server {
	var servers []Server
	for _, name := range names {
		servers = append(servers, Server{
			Service: "llm", Model: "m", Instance: shedkeel.InstanceID(name), Address: name, Zone: "z", Slots: 4,
			Group: shedkeel.Assignment{Group: shedkeel.GroupID(name), Epoch: 1},
		})
	}
	return servers
}

var query = Query{Service: "llm", Model: "m"}

func at(now time.Duration) Query {
	at := query
	at.Now = now
	return at
}

func TestChooseLeastBusy(t *testing.T) {
	table := testTable("a", "b", "c")
	seen := map[shedkeel.InstanceID]int{}
	for range 9 {
		seen[table.Choose(query).Instance]++
	}
	assert.DeepEqual(t, seen, map[shedkeel.InstanceID]int{"a": 3, "b": 3, "c": 3})
}

func TestChooseAvoids(t *testing.T) {
	cases := map[string]struct {
		query Query
		want  shedkeel.InstanceID
	}{
		"tried servers":  {Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"a"}}, "b"},
		"other models":   {Query{Service: "llm", Model: "other"}, ""},
		"other services": {Query{Service: "other", Model: "m"}, ""},
		"all tried":      {Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"a", "b"}}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			choice := testTable("a", "b").Choose(test.query)
			if test.want == "" {
				assert.Assert(t, choice == nil)
				return
			}
			assert.Equal(t, choice.Instance, test.want)
		})
	}
}

func TestFailingServerIsAvoidedAndForgiven(t *testing.T) {
	table := testTable("a", "b")
	for range 10 {
		choice := table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}})
		choice.End(true, 0)
	}
	for range 5 {
		assert.Equal(t, table.Choose(query).Instance, shedkeel.InstanceID("b"))
	}
	now := time.Duration(0)
	for range 20 {
		now += recoverTime
		table.mutex.Lock()
		for _, known := range table.servers {
			known.forgive(now)
		}
		table.mutex.Unlock()
	}
	assert.Equal(t, table.Choose(at(now)).Instance, shedkeel.InstanceID("a"), "it was never tried again")
}

func TestSilence(t *testing.T) {
	table := testTable("a", "b")
	choice := table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}})
	waiting := table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}})
	choice.Sign(100 * time.Millisecond)
	const patience = defaultPass + silenceMargin
	assert.Equal(t, len(table.FindSilent(100*time.Millisecond+patience-1)), 0, "too early")

	now := 100*time.Millisecond + patience
	found := table.FindSilent(now)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Server.Instance, shedkeel.InstanceID("a"))
	assert.Equal(t, len(table.FindSilent(now+1)), 0, "it was found twice")
	for name, told := range map[string]<-chan struct{}{"begun": choice.Stalled, "waiting": waiting.Stalled} {
		select {
		case <-told:
		default:
			t.Errorf("the %s request was not told", name)
		}
	}
	assert.Equal(t, table.Choose(at(now)).Instance, shedkeel.InstanceID("b"), "a silent group got a request")

	choice.Sign(now + 1)
	busy := table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}, Now: now + 2})
	assert.Assert(t, busy != nil, "a sign of life must end the avoidance")
	table.FindSilent(now + 1 + patience)
	select {
	case <-choice.Stalled:
	default:
		t.Error("the second silence was not told")
	}
}

// TestSilenceIsToldAgain has a silence last: the request is told each time that
// it is reported, and nothing of it once the group has given a sign.
func TestSilenceIsToldAgain(t *testing.T) {
	table := testTable("a")
	choice := table.Choose(query)
	told := func() bool {
		select {
		case <-choice.Stalled:
			return true
		default:
			return false
		}
	}
	const began = time.Minute
	table.FindSilent(began)
	assert.Assert(t, told())
	table.FindSilent(began + reportAgain - 1)
	assert.Assert(t, !told())
	table.FindSilent(began + reportAgain)
	assert.Assert(t, told())
	table.FindSilent(began + 2*reportAgain)
	choice.Sign(began + 2*reportAgain)
	assert.Assert(t, !told(), "the silence is over")
}

// TestLongPassIsNoSilence covers groups that read the prompts of other
// processes for a whole pass: taking them for silent had two of three streams
// of a large model begun twice.
func TestLongPassIsNoSilence(t *testing.T) {
	table := &Table{Zone: "z", Random: rand.NewPCG(1, 2)}
	servers := groups("a")
	servers[0].Pass = 300 * time.Millisecond
	table.Replace(servers)
	table.Choose(query).Sign(0)
	assert.Equal(t, len(table.FindSilent(300*time.Millisecond+silenceMargin-1)), 0)
	assert.Equal(t, len(table.FindSilent(300*time.Millisecond+silenceMargin)), 1)
}

func TestLastingSilenceIsReportedAgain(t *testing.T) {
	table := testTable("a")
	table.Choose(query).Sign(0)
	const began = defaultPass + silenceMargin
	assert.Equal(t, len(table.FindSilent(began)), 1)
	assert.Equal(t, len(table.FindSilent(began+reportAgain-1)), 0)
	assert.Equal(t, len(table.FindSilent(began+reportAgain)), 1)
}

func TestNoticeOfAnotherNode(t *testing.T) {
	table := testTable("a", "b")
	group := shedkeel.Assignment{Group: "a", Epoch: 1}
	table.Avoid(group, time.Second, time.Second)
	assert.Equal(t, table.Choose(at(time.Second)).Instance, shedkeel.InstanceID("b"))
	assert.Assert(t, table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}, Now: 2 * time.Second}) != nil)

	table = testTable("a")
	choice := table.Choose(query)
	choice.Sign(time.Second)
	table.Avoid(group, time.Second+stepTime/2, time.Second)
	assert.Assert(t, table.Choose(at(time.Second+stepTime/2)) != nil, "a group that gives signs here was avoided")
}

func TestReplaceKeepsWhatIsKnown(t *testing.T) {
	table := testTable("a", "b")
	running := table.Choose(Query{Service: "llm", Model: "m", Avoid: []shedkeel.InstanceID{"b"}})
	table.Replace(groups("a", "b"))
	assert.Equal(t, table.Choose(query).Instance, shedkeel.InstanceID("b"))
	anew := groups("a")
	anew[0].Group.Epoch = 2
	table.Replace(anew)
	load := table.Load("llm", "m", 0)
	assert.Equal(t, load.OnTime, 0, "a group formed anew starts empty")
	running.End(false, 0)
	assert.Equal(t, table.Load("llm", "m", 0).Usable, 1)
}

func TestLoadCountsLateApart(t *testing.T) {
	table := testTable("a")
	table.Choose(query)
	late := query
	late.Late = true
	table.Choose(late)
	table.Choose(late)
	assert.DeepEqual(t, table.Load("llm", "m", 0), Load{Running: Running{OnTime: 1, Late: 2}, Groups: map[shedkeel.InstanceID]int{"a": 3}, Slots: 4, Usable: 1})
}
