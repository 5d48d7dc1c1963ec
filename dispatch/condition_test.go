package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// plainTable returns a table of plain servers with four slots each.
func plainTable(names ...shedkeel.InstanceID) *Table {
	table := &Table{Random: rand.NewPCG(1, 2)}
	var servers []Server
	for _, name := range names {
		servers = append(servers, Server{Service: "s", Instance: name, Slots: 4})
	}
	table.Replace(servers)
	return table
}

// chooseAll returns the distinct servers that are chosen for that many concurrent requests,
// sorted. It stops at the first request for which none is usable.
func (table *Table) chooseAll(requests int, now time.Duration) []shedkeel.InstanceID {
	var found []shedkeel.InstanceID
	for range requests {
		choice := table.Choose(Query{Service: "s", Now: now})
		if choice == nil {
			return found
		}
		defer choice.Cancel()
		if !slices.Contains(found, choice.Instance) {
			found = append(found, choice.Instance)
		}
	}
	slices.Sort(found)
	return found
}

// TestConditions checks which servers are chosen, and how many Load counts as usable, after
// servers have asked for a backoff or said that they drain. NextPermit finds none, because no
// server is rate-limited.
func TestConditions(t *testing.T) {
	const backoff = 3 * time.Second
	servers := []shedkeel.InstanceID{"a@1", "b@1"} // one instance each of the servers a and b (shedkeel.NewInstanceID)
	cases := map[string]struct {
		apply func(*Table)
		at    time.Duration // time of the choices
		want  []shedkeel.InstanceID
	}{
		"no condition":                    {func(*Table) {}, 0, servers},
		"a backs off":                     {func(table *Table) { table.BackOff("a@1", backoff, 0) }, backoff - 1, servers[1:]},
		"a's backoff is over":             {func(table *Table) { table.BackOff("a@1", backoff, 0) }, backoff, servers},
		"a later end is kept":             {func(table *Table) { table.BackOff("a@1", backoff, 0); table.BackOff("a@1", time.Second, 0) }, backoff - 1, servers[1:]},
		"both back off":                   {func(table *Table) { table.BackOff("a@1", backoff, 0); table.BackOff("b@1", backoff, 0) }, 1, nil}, // 1 ns after the calls
		"a drains":                        {func(table *Table) { table.Drain("a@1") }, time.Hour, servers[1:]},
		"an earlier instance of a drains": {func(table *Table) { table.Drain("a@0") }, 0, servers},
		"a drains, relisted":              {func(table *Table) { table.Drain("a@1"); table.relist(servers, 0) }, time.Hour, servers[1:]},
		"a drains, long unlisted":         {func(table *Table) { table.Drain("a@1"); table.relist(servers, conditionRetention) }, time.Hour, servers},
		"a drains, briefly unlisted":      {func(table *Table) { table.Drain("a@1"); table.relist(servers, conditionRetention-1) }, time.Hour, servers[1:]},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable(servers...)
			test.apply(table)
			// Six requests are enough for each usable server to be chosen.
			assert.DeepEqual(t, table.chooseAll(6, test.at), test.want)
			_, found := table.NextPermit(Query{Service: "s", Now: test.at})
			assert.Assert(t, !found)
			assert.Equal(t, table.Load("s", "", test.at).Usable, len(test.want))
		})
	}
}

// relist removes all servers, and lists the given servers after they have been missing for the
// given time.
func (table *Table) relist(servers []shedkeel.InstanceID, missing time.Duration) {
	unlisted := func(shedkeel.InstanceID) bool { return false }
	table.Replace(nil)
	table.RetainConditions(unlisted, 1) // at 1 ns, since 0 means listed (condition.unlistedSince)
	table.RetainConditions(unlisted, 1+missing)
	var relisted []Server
	for _, server := range servers {
		relisted = append(relisted, Server{Service: "s", Instance: server, Slots: 4})
	}
	table.Replace(relisted)
}

// TestConditionsHoldForEveryChoice checks that NextPermit, ChooseServer and Recommend leave
// out servers that back off or drain, as Choose does.
func TestConditionsHoldForEveryChoice(t *testing.T) {
	for name, apply := range map[string]func(*Table){
		"backs off": func(table *Table) { table.BackOff("a", time.Second, 0) },
		"drains":    func(table *Table) { table.Drain("a") },
	} {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a")
			table.SetLimit("a", 2, true) // two requests per second
			query := Query{Service: "s"}
			next, found := table.NextPermit(query)
			assert.Assert(t, found && next == "a")
			assert.Equal(t, table.Recommend(query, Reporter{}).Head, shedkeel.InstanceID("a"))
			apply(table)
			_, found = table.NextPermit(query)
			assert.Assert(t, !found)
			assert.Assert(t, table.ChooseServer(query, "a") == nil)
			assert.Assert(t, table.Choose(query) == nil)
			assert.Equal(t, table.Recommend(query, Reporter{}).Head, shedkeel.InstanceID(""))
		})
	}
}

// TestFirstRequestAfterABackoff checks that a server gets a single request after its backoff
// until that request is answered or ends, while another server has room.
func TestFirstRequestAfterABackoff(t *testing.T) {
	const end = time.Second
	cases := map[string]struct {
		outcome func(*Choice)
		more    bool // whether the server gets further requests after the outcome
	}{
		"unanswered": {func(*Choice) {}, false},
		"answered":   {func(choice *Choice) { choice.RecordResponse(end) }, true},
		"failed":     {func(choice *Choice) { choice.End(true, end) }, true},
		"canceled":   {func(choice *Choice) { choice.Cancel() }, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a", "b")
			table.BackOff("a", end, 0)
			table.BackOff("b", 2*end, 0)
			first := table.Choose(Query{Service: "s", Now: end})
			assert.Equal(t, first.Instance, shedkeel.InstanceID("a"))
			// Ends the backoff of b and its need for a probe.
			table.BackOff("b", 0, 0)
			table.conditions["b"].backoffUntil, table.conditions["b"].needsProbe = 0, false
			test.outcome(first)
			table.servers[first.key()].failureRate = 0 // so that only the condition decides
			// Of four further requests, a gets at least one unless its probe is unanswered.
			assert.Equal(t, slices.Contains(table.chooseAll(4, end), "a"), test.more)
		})
	}
}

// TestBackoffEnd checks when the first server accepts requests again after a backoff, and that
// there is no such time while a server accepts requests or all servers drain.
func TestBackoffEnd(t *testing.T) {
	cases := map[string]struct {
		apply func(*Table)
		end   time.Duration
		want  bool // whether BackoffEnd returns an end
	}{
		"none backs off":                  {func(*Table) {}, 0, false},
		"one backs off":                   {func(table *Table) { table.BackOff("a", time.Second, 0) }, 0, false},
		"all back off":                    {func(table *Table) { table.BackOff("a", 2*time.Second, 0); table.BackOff("b", time.Second, 0) }, time.Second, true},
		"one backs off, the other drains": {func(table *Table) { table.BackOff("a", time.Second, 0); table.Drain("b") }, time.Second, true},
		"all drain":                       {func(table *Table) { table.Drain("a"); table.Drain("b") }, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a", "b")
			test.apply(table)
			end, backsOff := table.BackoffEnd(Query{Service: "s", Now: 1}) // 1 ns after the calls
			assert.Equal(t, backsOff, test.want)
			assert.Equal(t, end, test.end)
		})
	}
}

// BenchmarkChooseAmongBackingOff measures a choice among 1,001 servers of which none or
// 1,000 back off.
func BenchmarkChooseAmongBackingOff(b *testing.B) {
	for name, backingOff := range map[string]int{"none": 0, "all but one": 1000} {
		b.Run(name, func(b *testing.B) {
			var names []shedkeel.InstanceID
			for index := range 1001 {
				names = append(names, shedkeel.InstanceID(fmt.Sprint("s", index)))
			}
			table := plainTable(names...)
			for _, server := range names[:backingOff] {
				table.BackOff(server, time.Hour, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(Query{Service: "s", Now: time.Second}).Cancel()
			}
		})
	}
}
