package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// testTable returns a table of replica groups in zone z.
func testTable(names ...string) *Table {
	table := &Table{Zone: "z", Random: rand.NewPCG(1, 2)}
	table.Replace(groups(names...))
	return table
}

// groups returns replica groups of one model with four slots each.
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

// query is a query for the groups of testTable, at time 0.
var query = Query{Service: "llm", Model: "m"}

// at returns query with another time.
func at(now time.Duration) Query {
	at := query
	at.Now = now
	return at
}

// TestChooseLeastBusy checks that requests go to the servers with the fewest running requests.
func TestChooseLeastBusy(t *testing.T) {
	table := testTable("a", "b", "c")
	counts := map[shedkeel.InstanceID]int{}
	for range 9 {
		counts[table.Choose(query).Instance]++
	}
	assert.DeepEqual(t, counts, map[shedkeel.InstanceID]int{"a": 3, "b": 3, "c": 3})
}

// TestChooseExcludes checks that a choice leaves out servers that were tried, and those of
// other models and services.
func TestChooseExcludes(t *testing.T) {
	cases := map[string]struct {
		query Query
		want  shedkeel.InstanceID
	}{
		"tried servers":  {Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"a"}}, "b"},
		"other models":   {Query{Service: "llm", Model: "other"}, ""},
		"other services": {Query{Service: "other", Model: "m"}, ""},
		"all tried":      {Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"a", "b"}}, ""},
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

// TestFailingServerIsAvoidedAndRetried checks that a server that has failed all its requests
// gets none, and that it gets one again once its penalty has decayed.
func TestFailingServerIsAvoidedAndRetried(t *testing.T) {
	table := testTable("a", "b")
	for range 10 {
		choice := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}}) // only a is left
		choice.End(true, 0)                                                                            // the request has failed
	}
	for range 5 {
		assert.Equal(t, table.Choose(query).Instance, shedkeel.InstanceID("b"))
	}
	now := time.Duration(0)
	for range 20 { // until the penalty is negligible compared with the five requests that run on b
		now += penaltyHalfLife
		table.mutex.Lock()
		for _, state := range table.servers {
			state.decayPenalties(now)
		}
		table.mutex.Unlock()
	}
	assert.Equal(t, table.Choose(at(now)).Instance, shedkeel.InstanceID("a"), "the failing server must be tried again")
}

// TestStalledServer checks that a server which stops responding is not reported again
// immediately, that its requests are notified, that it is avoided until it responds, and that
// a request is notified again of the next stall.
func TestStalledServer(t *testing.T) {
	table := testTable("a", "b")
	// Both requests run on a.
	choice := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}})
	waiting := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}})
	choice.RecordResponse(100 * time.Millisecond)
	const timeout = defaultMaxEventGap + stallMargin
	assert.Equal(t, len(table.FindStalled(100*time.Millisecond+timeout-1)), 0, "a stall was reported too early")

	now := 100*time.Millisecond + timeout
	found := table.FindStalled(now)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Server.Instance, shedkeel.InstanceID("a"))
	assert.Equal(t, len(table.FindStalled(now+1)), 0, "the stall was reported twice")
	for name, notified := range map[string]<-chan struct{}{"responded": choice.Stalled, "waiting": waiting.Stalled} {
		select {
		case <-notified:
		default:
			t.Errorf("the %s request was not notified", name)
		}
	}
	assert.Equal(t, table.Choose(at(now)).Instance, shedkeel.InstanceID("b"), "a stalled group got a request")

	choice.RecordResponse(now + 1)
	responding := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}, Now: now + 2})
	assert.Assert(t, responding != nil, "an event must end the avoidance")
	table.FindStalled(now + 1 + timeout)
	select {
	case <-choice.Stalled:
	default:
		t.Error("the request was not notified of the second stall")
	}
}

// TestContinuingStallIsNotifiedAgain checks that a request is notified each time that a
// continuing stall is reported, and that the notice is taken back once the group responds.
func TestContinuingStallIsNotifiedAgain(t *testing.T) {
	table := testTable("a")
	choice := table.Choose(query)
	notified := func() bool {
		select {
		case <-choice.Stalled:
			return true
		default:
			return false
		}
	}
	const start = time.Minute // long enough after the choice, at time 0, for a stall
	table.FindStalled(start)
	assert.Assert(t, notified())
	table.FindStalled(start + stallReportInterval - 1)
	assert.Assert(t, !notified())
	table.FindStalled(start + stallReportInterval)
	assert.Assert(t, notified())
	table.FindStalled(start + 2*stallReportInterval)
	choice.RecordResponse(start + 2*stallReportInterval)
	assert.Assert(t, !notified(), "the stall is over")
}

// TestLongEventGapIsNoStall checks that a group counts as stalled only after its stated
// maximum time between events (MaxEventGap). An engine may spend a step on prefill for other
// processes and send no event meanwhile. If that counted as a stall, two of three streams of a
// large model would be started a second time at another group.
func TestLongEventGapIsNoStall(t *testing.T) {
	table := &Table{Zone: "z", Random: rand.NewPCG(1, 2)}
	servers := groups("a")
	servers[0].MaxEventGap = 300 * time.Millisecond
	table.Replace(servers)
	table.Choose(query).RecordResponse(0)
	assert.Equal(t, len(table.FindStalled(300*time.Millisecond+stallMargin-1)), 0)
	assert.Equal(t, len(table.FindStalled(300*time.Millisecond+stallMargin)), 1)
}

// TestContinuingStallIsReportedAgain checks that a continuing stall is returned again after
// stallReportInterval.
func TestContinuingStallIsReportedAgain(t *testing.T) {
	table := testTable("a")
	table.Choose(query).RecordResponse(0)
	const start = defaultMaxEventGap + stallMargin
	assert.Equal(t, len(table.FindStalled(start)), 1)
	assert.Equal(t, len(table.FindStalled(start+stallReportInterval-1)), 0)
	assert.Equal(t, len(table.FindStalled(start+stallReportInterval)), 1)
}

// TestAvoidNoticeOfAnotherNode checks that AvoidGroup, which is called among others when another
// node reports a group, keeps requests from the group for the given time, unless the group sent
// an event to this process within the last maxDecodeGap.
func TestAvoidNoticeOfAnotherNode(t *testing.T) {
	table := testTable("a", "b")
	group := shedkeel.Assignment{Group: "a", Epoch: 1}
	table.AvoidGroup(group, time.Second, time.Second) // from 1 s to 2 s
	assert.Equal(t, table.Choose(at(time.Second)).Instance, shedkeel.InstanceID("b"))
	assert.Assert(t, table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}, Now: 2 * time.Second}) != nil)

	table = testTable("a")
	choice := table.Choose(query)
	choice.RecordResponse(time.Second)
	table.AvoidGroup(group, time.Second+maxDecodeGap/2, time.Second)
	assert.Assert(t, table.Choose(at(time.Second+maxDecodeGap/2)) != nil, "a group that responds to this process was avoided")
}

// TestReplaceKeepsState checks that a server that stays listed keeps its running requests,
// that a group of another epoch starts without running requests, and that the end of a request
// in the former epoch leaves the group usable.
func TestReplaceKeepsState(t *testing.T) {
	table := testTable("a", "b")
	running := table.Choose(Query{Service: "llm", Model: "m", Exclude: []shedkeel.InstanceID{"b"}})
	table.Replace(groups("a", "b"))
	assert.Equal(t, table.Choose(query).Instance, shedkeel.InstanceID("b"))
	formedAgain := groups("a")
	formedAgain[0].Group.Epoch = 2
	table.Replace(formedAgain)
	load := table.Load("llm", "m", 0)
	assert.Equal(t, load.OnTime, 0, "a group that is formed again starts without load")
	running.End(false, 0)
	assert.Equal(t, table.Load("llm", "m", 0).Usable, 1)
}

// TestLoadCountsLateApart checks that Load counts late requests apart from those on time.
func TestLoadCountsLateApart(t *testing.T) {
	table := testTable("a")
	table.Choose(query)
	late := query
	late.Late = true
	table.Choose(late)
	table.Choose(late)
	assert.DeepEqual(t, table.Load("llm", "m", 0), Load{RunningRequests: RunningRequests{OnTime: 1, Late: 2}, Groups: map[shedkeel.InstanceID]int{"a": 3}, Slots: 4, Usable: 1})
}

// TestLostRequestsTellNothingOfServers checks that servers whose requests were declared lost are not
// avoided for their silence, that these requests are notified, and that an event takes that back.
func TestLostRequestsTellNothingOfServers(t *testing.T) {
	table := testTable("a")
	lost := table.Choose(query)
	silentAt := maxFirstEventTime + time.Second
	assert.Equal(t, len(table.FindStalled(silentAt)), 1)
	<-lost.Stalled
	assert.Assert(t, table.Choose(at(silentAt)) == nil, "the silent server is avoided")

	table.LoseRunning(lost.ChosenAt)
	<-lost.Stalled
	assert.Equal(t, len(table.FindStalled(silentAt+time.Minute)), 0)
	again := table.Choose(at(silentAt))
	assert.Assert(t, again != nil, "the server may be chosen again")
	table.LoseRunning(lost.ChosenAt)
	again.SetRelayed()
	table.LoseRunning(silentAt)
	assert.Equal(t, len(lost.Stalled)+len(again.Stalled), 0, "neither a lost nor a relayed request is lost again")
	assert.Equal(t, table.Load("llm", "m", silentAt).OnTime, 1, "a lost request takes no slot")
	lost.RecordResponse(silentAt)
	assert.Equal(t, table.Load("llm", "m", silentAt).OnTime, 2)
	lost.End(false, silentAt)
	assert.Equal(t, len(table.FindStalled(silentAt+time.Minute)), 1, "a request that is not lost tells of the server")
	again.End(false, silentAt)
	assert.Equal(t, table.Load("llm", "m", silentAt+time.Hour).OnTime, 0)
}
