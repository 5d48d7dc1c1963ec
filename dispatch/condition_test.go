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

// plainTable returns a table of plain servers.
func plainTable(names ...shedkeel.InstanceID) *Table {
	table := &Table{Random: rand.NewPCG(1, 2)}
	var servers []Server
	for _, name := range names {
		servers = append(servers, Server{Service: "s", Instance: name, Slots: 4})
	}
	table.Replace(servers)
	return table
}

// chosen returns which servers so many requests that run together would go to.
func (table *Table) chosen(requests int, now time.Duration) []shedkeel.InstanceID {
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

// TestConditions checks where requests go after what servers have said of themselves.
func TestConditions(t *testing.T) {
	const length = 3 * time.Second
	all := []shedkeel.InstanceID{"a@1", "b@1"}
	cases := map[string]struct {
		say  func(*Table)
		at   time.Duration
		want []shedkeel.InstanceID
	}{
		"nothing":                   {func(*Table) {}, 0, all},
		"a backs off":               {func(table *Table) { table.BackOff("a@1", length, 0) }, length - 1, all[1:]},
		"a's backoff is over":       {func(table *Table) { table.BackOff("a@1", length, 0) }, length, all},
		"the later end holds":       {func(table *Table) { table.BackOff("a@1", length, 0); table.BackOff("a@1", time.Second, 0) }, length - 1, all[1:]},
		"both back off":             {func(table *Table) { table.BackOff("a@1", length, 0); table.BackOff("b@1", length, 0) }, 1, nil},
		"a drains":                  {func(table *Table) { table.Drain("a@1") }, time.Hour, all[1:]},
		"an earlier start drained":  {func(table *Table) { table.Drain("a@0") }, 0, all},
		"a drains, listed anew":     {func(table *Table) { table.Drain("a@1"); table.relist(all, 0) }, time.Hour, all[1:]},
		"a drains, long unlisted":   {func(table *Table) { table.Drain("a@1"); table.relist(all, conditionKeep) }, time.Hour, all},
		"a drains, shortly missing": {func(table *Table) { table.Drain("a@1"); table.relist(all, conditionKeep-1) }, time.Hour, all[1:]},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable(all...)
			test.say(table)
			assert.DeepEqual(t, table.chosen(6, test.at), test.want)
			_, found := table.NextPermit(Query{Service: "s", Now: test.at})
			assert.Assert(t, !found)
			assert.Equal(t, table.Load("s", "", test.at).Usable, len(test.want))
		})
	}
}

// relist has the servers unlisted for a while and then listed again.
func (table *Table) relist(servers []shedkeel.InstanceID, missing time.Duration) {
	nobody := func(shedkeel.InstanceID) bool { return false }
	table.Replace(nil)
	table.Retain(nobody, 1)
	table.Retain(nobody, 1+missing)
	var again []Server
	for _, server := range servers {
		again = append(again, Server{Service: "s", Instance: server, Slots: 4})
	}
	table.Replace(again)
}

// TestConditionsHoldForEveryChoice checks that permits and the spread of requests heed
// what a server has said, as choices do.
func TestConditionsHoldForEveryChoice(t *testing.T) {
	for name, say := range map[string]func(*Table){
		"backs off": func(table *Table) { table.BackOff("a", time.Second, 0) },
		"drains":    func(table *Table) { table.Drain("a") },
	} {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a")
			table.SetLimit("a", 2, true)
			query := Query{Service: "s"}
			next, found := table.NextPermit(query)
			assert.Assert(t, found && next == "a")
			assert.Equal(t, table.Spread(query, Reporter{}).Head, shedkeel.InstanceID("a"))
			say(table)
			_, found = table.NextPermit(query)
			assert.Assert(t, !found)
			assert.Assert(t, table.Take(query, "a") == nil)
			assert.Assert(t, table.Choose(query) == nil)
			assert.Equal(t, table.Spread(query, Reporter{}).Head, shedkeel.InstanceID(""))
		})
	}
}

// TestFirstRequestAfterABackoff checks that a server gets one request after its backoff
// and more once that was answered, while others have room.
func TestFirstRequestAfterABackoff(t *testing.T) {
	const end = time.Second
	cases := map[string]struct {
		outcome func(*Choice)
		more    bool
	}{
		"under way":  {func(*Choice) {}, false},
		"answered":   {func(choice *Choice) { choice.Sign(end) }, true},
		"failed":     {func(choice *Choice) { choice.End(true, end) }, true},
		"taken back": {func(choice *Choice) { choice.Cancel() }, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a", "b")
			table.BackOff("a", end, 0)
			table.BackOff("b", 2*end, 0)
			first := table.Choose(Query{Service: "s", Now: end})
			assert.Equal(t, first.Instance, shedkeel.InstanceID("a"))
			table.BackOff("b", 0, 0)
			table.conditions["b"].backoffTill, table.conditions["b"].unproven = 0, false
			test.outcome(first)
			table.servers[first.key()].failures = 0
			assert.Equal(t, slices.Contains(table.chosen(4, end), "a"), test.more)
		})
	}
}

// TestBackoffEnd checks when callers are to come back.
func TestBackoffEnd(t *testing.T) {
	cases := map[string]struct {
		say  func(*Table)
		end  time.Duration
		want bool
	}{
		"nobody backs off":         {func(*Table) {}, 0, false},
		"one does":                 {func(table *Table) { table.BackOff("a", time.Second, 0) }, 0, false},
		"all do":                   {func(table *Table) { table.BackOff("a", 2*time.Second, 0); table.BackOff("b", time.Second, 0) }, time.Second, true},
		"one does, another drains": {func(table *Table) { table.BackOff("a", time.Second, 0); table.Drain("b") }, time.Second, true},
		"all drain":                {func(table *Table) { table.Drain("a"); table.Drain("b") }, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := plainTable("a", "b")
			test.say(table)
			end, backsOff := table.BackoffEnd(Query{Service: "s", Now: 1})
			assert.Equal(t, backsOff, test.want)
			assert.Equal(t, end, test.end)
		})
	}
}

// BenchmarkChooseAmongBackingOff chooses among 1,001 servers of which 1,000 back off.
func BenchmarkChooseAmongBackingOff(b *testing.B) {
	for name, backing := range map[string]int{"none": 0, "all but one": 1000} {
		b.Run(name, func(b *testing.B) {
			var names []shedkeel.InstanceID
			for index := range 1001 {
				names = append(names, shedkeel.InstanceID(fmt.Sprint("s", index)))
			}
			table := plainTable(names...)
			for _, server := range names[:backing] {
				table.BackOff(server, time.Hour, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(Query{Service: "s", Now: time.Second}).Cancel()
			}
		})
	}
}
