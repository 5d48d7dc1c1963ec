package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// limitTable returns a table of the groups a and b. Group a has a limit of two requests
// per second.
func limitTable() *Table {
	table := &Table{Random: rand.NewPCG(1, 2)}
	var servers []Server
	for _, name := range []shedkeel.InstanceID{"a", "b"} {
		servers = append(servers, Server{Service: "s", Model: "m", Instance: name, Slots: 8, Group: shedkeel.Assignment{Group: shedkeel.GroupID(name), Epoch: 1}})
	}
	table.SetLimit("a", 2, true)
	table.Replace(servers)
	return table
}

// TestLimitedServerIsHeld checks which servers are chosen while a rate-limited server
// has no permit available, and once its limit is removed.
func TestLimitedServerIsHeld(t *testing.T) {
	query := Query{Service: "s", Model: "m", Now: time.Second}
	tried := Query{Service: "s", Model: "m", Now: time.Second, Exclude: []shedkeel.InstanceID{"b"}} // only a is left
	cases := map[string]struct {
		prepare func(*Table)
		query   Query
		want    shedkeel.InstanceID // empty: none
		limited bool                // whether the chosen server has a rate limit
	}{
		"has permits":            {func(*Table) {}, tried, "a", true},
		"held":                   {func(table *Table) { table.HoldUntil("a", 2*time.Second) }, tried, "", false},
		"held, other unlimited":  {func(table *Table) { table.HoldUntil("a", 2*time.Second) }, query, "b", false},
		"held until now":         {func(table *Table) { table.HoldUntil("a", time.Second) }, tried, "a", true},
		"only unlimited servers": {func(*Table) {}, Query{Service: "s", Model: "m", UnlimitedOnly: true, Exclude: []shedkeel.InstanceID{"b"}}, "", false},
		"limit removed":          {func(table *Table) { table.HoldUntil("a", 2*time.Second); table.SetLimit("a", 0, false) }, tried, "a", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := limitTable()
			test.prepare(table)
			choice := table.Choose(test.query)
			if test.want == "" {
				assert.Assert(t, choice == nil)
				return
			}
			assert.Equal(t, choice.Instance, test.want)
			assert.Equal(t, choice.Limited, test.limited)
		})
	}
}

// TestLimitOutlivesTheGroup checks that a server keeps its limit when its group is formed
// again, that the limit reduces the slots of Load, and that a canceled choice does not count
// as load.
func TestLimitOutlivesTheGroup(t *testing.T) {
	table := limitTable()
	table.Replace([]Server{{Service: "s", Model: "m", Instance: "a", Slots: 8, Group: shedkeel.Assignment{Group: "a", Epoch: 2}}})
	choice := table.Choose(Query{Service: "s", Model: "m", Now: time.Second})
	assert.Assert(t, choice.Limited)
	assert.Equal(t, table.Load("s", "m", time.Second).OnTime, 1)
	choice.Cancel()
	assert.Equal(t, table.Load("s", "m", time.Second).OnTime, 0)
	assert.Equal(t, table.Load("s", "m", time.Second).Slots, 2, "the limit is two requests per second")
}

// TestSpreadHeedsLimits checks that Recommend recommends a rate-limited server no more often
// than its rate and permitIntervalShare admit, although the server appears idle: in 10 s, a
// server with a rate of 2 per second at most 26 times (at once, and then every 0.4 s), and at
// least 15 times.
func TestSpreadHeedsLimits(t *testing.T) {
	table := limitTable()
	recommended := map[shedkeel.InstanceID]int{}
	for now := time.Second; now < 11*time.Second; now += 50 * time.Millisecond {
		recommendation := table.Recommend(Query{Service: "s", Model: "m", Now: now}, Reporter{Process: "p"})
		recommended[recommendation.Head]++
	}
	assert.Assert(t, recommended["a"] >= 15 && recommended["a"] <= 26, "%v", recommended)
	assert.Equal(t, recommended["a"]+recommended["b"], 200) // every call has recommended a or b
}

// TestNextPermit checks that NextPermit returns the server that HoldUntil holds for the
// shorter time, and none if the query excludes both.
func TestNextPermit(t *testing.T) {
	table := limitTable()
	query := Query{Service: "s", Model: "m", Now: time.Second}
	table.SetLimit("b", 1, true) // one request per second
	table.HoldUntil("a", 3*time.Second)
	table.HoldUntil("b", 2*time.Second)
	server, found := table.NextPermit(query)
	assert.Assert(t, found)
	assert.Equal(t, server, shedkeel.InstanceID("b"))
	query.Exclude = []shedkeel.InstanceID{"a", "b"}
	_, found = table.NextPermit(query)
	assert.Assert(t, !found)
}

// BenchmarkChooseAmongLimited measures a choice among 1,000 groups that all limit their
// rate.
func BenchmarkChooseAmongLimited(b *testing.B) {
	benchmarkChoose(b, true) // with rate limits
}

// BenchmarkChooseAmongFree measures a choice among 1,000 groups without limits.
func BenchmarkChooseAmongFree(b *testing.B) {
	benchmarkChoose(b, false) // without rate limits
}

// benchmarkChoose measures a choice among 1,000 groups with or without rate limits.
func benchmarkChoose(b *testing.B, limited bool) {
	table := &Table{Random: rand.NewPCG(1, 2)}
	var servers []Server
	for index := range 1000 {
		name := shedkeel.InstanceID(rune('a' + index))
		servers = append(servers, Server{Service: "s", Model: "m", Instance: name, Slots: 8})
		if limited {
			table.SetLimit(name, 2, true) // two requests per second
		}
	}
	table.Replace(servers)
	b.ReportAllocs()
	for b.Loop() {
		table.Choose(Query{Service: "s", Model: "m", Now: time.Second}).Cancel()
	}
}
