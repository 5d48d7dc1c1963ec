package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/serve"
)

// plainServerRecord returns the record of the server i-9 of the service p, which has no replica
// groups, as the platform's servers write it. The sequence number grows with each heartbeat.
func plainServerRecord(revision shedkeel.Revision, state string, sequence int) shedkeel.Record {
	value := fmt.Sprintf(`{"service":"p","address":"10.0.0.9:1","zone":"z","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":7}`, state, sequence)
	return shedkeel.Record{Key: "servers/i-9", Value: []byte(value), Revision: revision}
}

// newServiceView returns the view of a configuration whose only service is the given one.
func newServiceView(service shedkeel.RoutedService) *serve.View {
	return serve.NewView(&shedkeel.ServingConfig{Services: []shedkeel.RoutedService{service}})
}

// TestServersAfterARestore restores the key-value service from a snapshot that may lack the
// latest record of a server or the deletion of the record, and checks whether the server may
// then get requests.
func TestServersAfterARestore(t *testing.T) {
	// The snapshot contains the write at revision old and lacks the write at lost. The restore
	// begins era 1 at the revision restored; rewritten is that of a write after the restore.
	old, lost := shedkeel.Revision{Number: 1}, shedkeel.Revision{Number: 5}
	restored, rewritten := shedkeel.Revision{Era: 1, Number: 1}, shedkeel.Revision{Era: 1, Number: 3}
	deleted := shedkeel.Record{Key: "servers/i-9", Revision: lost, Removed: true}
	cases := map[string]struct {
		before     []shedkeel.Record // written one after the other before the restore
		restored   []shedkeel.Record // content of the snapshot
		after      []shedkeel.Record // written after the restore
		wantUsable [3]int            // number of servers that may get requests: after the restore, after the later write, and after the holds have expired
	}{
		"nothing was lost":                                        {[]shedkeel.Record{plainServerRecord(old, "ready", 1)}, []shedkeel.Record{plainServerRecord(restored, "ready", 1)}, nil, [3]int{1, 1, 1}},
		"the server's drain was lost":                             {[]shedkeel.Record{plainServerRecord(old, "ready", 1), plainServerRecord(lost, "draining", 1)}, []shedkeel.Record{plainServerRecord(restored, "ready", 1)}, nil, [3]int{0, 0, 0}},
		"the record's deletion was lost":                          {[]shedkeel.Record{plainServerRecord(old, "ready", 1), deleted}, []shedkeel.Record{plainServerRecord(restored, "ready", 1)}, nil, [3]int{0, 0, 1}},
		"the only record was lost":                                {[]shedkeel.Record{plainServerRecord(lost, "ready", 1)}, nil, []shedkeel.Record{plainServerRecord(rewritten, "ready", 1)}, [3]int{1, 1, 1}},
		"the only record was lost, and the server has terminated": {[]shedkeel.Record{plainServerRecord(lost, "ready", 1)}, nil, nil, [3]int{1, 1, 0}},
		"the latest heartbeat was lost":                           {[]shedkeel.Record{plainServerRecord(old, "ready", 1), plainServerRecord(lost, "ready", 2)}, []shedkeel.Record{plainServerRecord(restored, "ready", 1)}, nil, [3]int{1, 1, 1}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Decoder = platform.Decoder{}
			node.fleet.setView(newServiceView(shedkeel.RoutedService{ID: "p"}))
			node.mirror.Apply(mirror.Update{Full: true, At: old, AsOf: timers.Now()})
			for _, record := range test.before {
				node.mirror.Apply(mirror.Update{At: record.Revision, AsOf: timers.Now(), Records: []shedkeel.Record{record}})
				node.fleet.tick(timers.Now())
			}
			usable := func() int { return node.table.Load("p", "", timers.Now()).Usable } // a service without groups has no models
			node.mirror.Apply(mirror.Update{Full: true, At: restored, AsOf: timers.Now(), Records: test.restored})
			node.fleet.tick(timers.Now())
			assert.Equal(t, usable(), test.wantUsable[0], "after the restore")
			node.mirror.Apply(mirror.Update{At: rewritten, AsOf: timers.Now(), Records: test.after})
			node.fleet.tick(timers.Now())
			assert.Equal(t, usable(), test.wantUsable[1], "after the later write")
			timers.Advance(max(deletedRecordHold, restoredServerHold))
			node.mirror.Apply(mirror.Update{At: rewritten, AsOf: timers.Now()})
			node.fleet.tick(timers.Now())
			assert.Equal(t, usable(), test.wantUsable[2], "after the holds have expired")
		})
	}
}

// TestOrdersAreKnownAfterARestore checks that the planner does not use a server's older group
// membership from the restored snapshot if the node knows that the server has accepted later
// orders. The node must use every record that arrives after the snapshot, even one that states
// fewer orders.
func TestOrdersAreKnownAfterARestore(t *testing.T) {
	node, timers := newTestNode(t)
	node.Decoder = platform.Decoder{}
	node.fleet.setView(newServiceView(shedkeel.RoutedService{ID: "s", Engine: &shedkeel.Engine{}}))
	// member returns the server's record after it joined its group in the epoch and accepted
	// this number of orders in all, which is the record's sequence number.
	member := func(revision shedkeel.Revision, epoch, orders int) shedkeel.Record {
		value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":7,"domain":"d",`+
			`"group":{"name":"m/d/1","epoch":%d,"rank":0,"state":"open"}}`, orders, epoch)
		return shedkeel.Record{Key: "servers/i-1", Value: []byte(value), Revision: revision}
	}
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 9}, Records: []shedkeel.Record{member(shedkeel.Revision{Number: 9}, 6, 4)}})                                     // epoch 6, 4 orders
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 5}, AsOf: timers.Now(), Records: []shedkeel.Record{member(shedkeel.Revision{Era: 1, Number: 5}, 5, 2)}}) // the snapshot has epoch 5 and 2 orders
	assert.Equal(t, node.fleet.groupServices()["s"][0].Member.Epoch, uint64(6))
	assert.Equal(t, node.fleet.highestEpoch(), uint64(6))
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Era: 1, Number: 6}, AsOf: timers.Now(), Records: []shedkeel.Record{member(shedkeel.Revision{Era: 1, Number: 6}, 7, 6)}}) // epoch 7, 6 orders
	assert.Equal(t, node.fleet.groupServices()["s"][0].Member.Epoch, uint64(7))
	node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Era: 1, Number: 7}, AsOf: timers.Now(), Records: []shedkeel.Record{member(shedkeel.Revision{Era: 1, Number: 7}, 8, 1)}}) // epoch 8, but only 1 order
	assert.Equal(t, node.fleet.groupServices()["s"][0].Member.Epoch, uint64(8), "within an era the later record wins")
}

// TestLeadEndsWithTheEra restores a snapshot that contains the leader's record. The lease
// that the record names may belong to another node now, so the record must not make any node
// the leader. New terms must be above all terms of the earlier era, also those that the
// snapshot lacks.
func TestLeadEndsWithTheEra(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	var lastChange shedkeel.Transaction
	store.commit = func(change shedkeel.Transaction) (int64, error) { lastChange = change; return 2, nil } // 2: the write's revision
	elect(t, node, timers)
	assert.Assert(t, node.controller.leading(timers.Now()))
	lead := node.mirror.Get(leaderKey) // the snapshot contains this record
	lead.Revision = shedkeel.Revision{Era: 1, Number: 2}
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{lead}})
	assert.Assert(t, !node.controller.leading(timers.Now()))
	assert.Equal(t, node.controller.leader(), shedkeel.NodeID(""))
	assert.Assert(t, !node.member.lease.valid(timers.Now()))

	store.granted.Era = 1 // later leases are of the new era
	elect(t, node, timers)
	assert.DeepEqual(t, lastChange.If[0], shedkeel.Condition{Key: leaderKey, Revision: lead.Revision})
	assert.Equal(t, lastChange.Put[0].Lease.Era, int64(1))
	assert.Assert(t, node.controller.nextTerm(shedkeel.Record{}) > termsPerEra, "no term is stored, but servers may have stored terms of the first era")
}

// TestNodeIsListedAgain checks that a node writes its record again after a restore of the
// key-value service.
func TestNodeIsListedAgain(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	writes := 0
	store.commit = func(shedkeel.Transaction) (int64, error) { writes++; return 3, nil } // 3: the write's revision
	// newListedCandidate has listed the node; the next renewal is not due at this time.
	node.member.lastAttempt = timers.Now()
	node.member.dirty.Store(false)
	node.member.tick(t.Context())
	assert.Equal(t, writes, 0, "no write is due while the node is listed")
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 1}, AsOf: timers.Now()})
	node.member.tick(t.Context())
	assert.Equal(t, writes, 1, "writes after the restore")
}

// TestBlamesOutliveARestore checks that the blame of a request is written again after the
// key-value service has lost the blame in a restore, and that the request stays contained
// although the restored snapshot lacks the blame.
func TestBlamesOutliveARestore(t *testing.T) {
	node, timers := newTestNode(t)
	store := &blameStore{}
	node.Store = store
	node.peers.update([]nodeRecord{node.ownRecord()})
	for _, server := range []shedkeel.InstanceID{"a", "b", "c"} { // three servers terminate, so the request is contained
		node.guard.ServerEnded(shedkeel.GuardedRequest{Digest: "r"}, server)
	}
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	writeBlames := func() { // the second call of writePending must not write the blame once more
		timers.Advance(writeStagger)
		node.mirror.Apply(mirror.Update{At: node.mirror.State().At, AsOf: timers.Now()})
		node.guard.writePending(context.Background(), timers.Now())
		node.guard.writePending(context.Background(), timers.Now())
	}
	writeBlames()
	assert.Equal(t, len(store.changes), 1, "writes before the restore")
	store.era = 1
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 1}, AsOf: timers.Now()})
	assert.Equal(t, node.guard.Judge(shedkeel.GuardedRequest{Digest: "r"}).Judgment, shedkeel.Contained)
	writeBlames()
	assert.Equal(t, len(store.changes), 2, "the blame is written again")
}

// TestLoadsAreStoredAgain checks that the leader stores running model loads again after a restore
// of the key-value service, and otherwise does not store the same loads twice.
func TestLoadsAreStoredAgain(t *testing.T) {
	node, timers, store := newListedCandidate(t)
	writes := 0
	store.commit = func(shedkeel.Transaction) (int64, error) { writes++; return 3, nil } // 3: the write's revision
	loading := map[shedkeel.InstanceID]shedkeel.ModelID{"a": "m"}
	storeLoads := func() {
		node.controller.trackEra(timers.Now())
		node.controller.storeLoads(t.Context(), "s", loading)
	}
	storeLoads()
	storeLoads()
	assert.Equal(t, writes, 1, "the second call stores nothing")
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: 1, Number: 1}, AsOf: timers.Now()})
	storeLoads()
	assert.Equal(t, writes, 2, "the loads are stored again after the restore")
}

// TestRemovals checks in which cases a server is withheld from requests after its removed record
// has reappeared, and that the server is no longer withheld after restoredServerHold.
func TestRemovals(t *testing.T) {
	cases := map[string]struct {
		era      int64         // era of the record with which the server returns; the record was removed in era 0
		at       time.Duration // from the removal until the return
		withheld bool          // after the return, for restoredServerHold
	}{
		"in the same era":                     {0, time.Second, false},
		"in a later era":                      {1, time.Second, true},
		"in a later era, after the retention": {1, removalRetention, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var removals removals
			removals.recordRemoval("a", 0, 0) // in era 0, at time 0
			removals.expire(test.at)
			removals.recordReturn("a", test.era, test.at)
			assert.Equal(t, removals.withheld("a"), test.withheld)
			assert.Equal(t, removals.expire(test.at+restoredServerHold), test.withheld)
			assert.Assert(t, !removals.withheld("a"))
			removals.recordReturn("a", test.era, test.at+restoredServerHold)
			assert.Assert(t, !removals.withheld("a"), "a server that has returned may write its record again")
		})
	}
}

// TestPlannerWaitsForRecordsAfterARestore restores the key-value service while a node follows
// it, or before the node starts. recordsRewritten must return false, so that the node does not
// plan, until servers have had time to write their records again. On the basis of an older
// record the planner could order a member of a serving group to become a standby.
func TestPlannerWaitsForRecordsAfterARestore(t *testing.T) {
	cases := map[string]struct {
		before, after int64 // era of the key-value service at the node's start and at the end; they differ if it is restored meanwhile
		groups        bool  // servers are in groups when the node starts: the record of one of them may have been written late
		wantWaits     bool  // the planner waits for deletedRecordHold
	}{
		"no restore":                          {0, 0, false, false},
		"a restore":                           {0, 1, false, true},
		"a later restore":                     {2, 3, false, true},
		"a restore before the node started":   {1, 1, false, true},
		"groups from before the node started": {0, 0, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers, _ := newListedCandidate(t)
			node.controller.eraSince = 0 // the node has not followed any era yet
			if test.groups {
				node.fleet.instances = map[string]shedkeel.Instance{"servers/a": {Member: &shedkeel.Membership{Group: "m/d/1", Epoch: 3}}}
			}
			apply := func(era int64) {
				node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Era: era, Number: 9}, AsOf: timers.Now()})
				node.controller.trackEra(timers.Now())
			}
			apply(test.before)
			if test.after != test.before {
				timers.Advance(time.Minute) // the node follows the first era for longer than deletedRecordHold
				apply(test.after)
			}
			assert.Equal(t, node.controller.recordsRewritten(timers.Now()), !test.wantWaits)
			timers.Advance(deletedRecordHold - 1) // one nanosecond before the end
			assert.Equal(t, node.controller.recordsRewritten(timers.Now()), !test.wantWaits)
			timers.Advance(1)
			assert.Assert(t, node.controller.recordsRewritten(timers.Now()))
		})
	}
}

// TestLateRecordIsOutdated gives a node a server's record that the server wrote before the known one, as when the
// key-value service carries a write out late. Such a record must not show a member of a group as a free server.
func TestLateRecordIsOutdated(t *testing.T) {
	const group = `,"group":{"name":"m/d/1","epoch":%d,"rank":0,"state":"open"}`
	const then = " then "
	cases := map[string]struct {
		known, late string // the ends of the records, from their sequence numbers on; the known ones are separated by then
		wantEpoch   uint64 // of the server's membership afterwards; 0: it has none
	}{
		"in its former group":                         {`"seq":9` + fmt.Sprintf(group, 7), `"seq":8` + fmt.Sprintf(group, 6), 7},
		"in no group":                                 {`"seq":9` + fmt.Sprintf(group, 7), `"seq":8`, 7},
		"in a later group":                            {`"seq":9` + fmt.Sprintf(group, 7), `"seq":8` + fmt.Sprintf(group, 8), 8},
		"as many orders, in no group":                 {`"seq":9` + fmt.Sprintf(group, 7), `"seq":9`, 0},
		"a later start, in no group":                  {`"seq":9,"born":7` + fmt.Sprintf(group, 7), `"seq":1,"born":8`, 0},
		"an earlier start, in no group":               {`"seq":9,"born":7` + fmt.Sprintf(group, 7), `"seq":10,"born":6`, 7},
		"in a group that it has left":                 {`"seq":8` + fmt.Sprintf(group, 7) + then + `"seq":9`, `"seq":8` + fmt.Sprintf(group, 7), 0},
		"as many orders, in a group that it has left": {`"seq":9` + fmt.Sprintf(group, 7) + then + `"seq":9`, `"seq":9` + fmt.Sprintf(group, 7), 0},
		"in a later group than the one it has left":   {`"seq":8` + fmt.Sprintf(group, 7) + then + `"seq":9`, `"seq":1` + fmt.Sprintf(group, 8), 0}, // joined and left before the known record
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Decoder = platform.Decoder{}
			node.fleet.setView(newServiceView(shedkeel.RoutedService{ID: "s", Engine: &shedkeel.Engine{}}))
			for number, end := range append(strings.Split(test.known, then), test.late) {
				value := `{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"domain":"d",` + end + `}`
				revision := shedkeel.Revision{Number: int64(number + 1)}
				node.mirror.Apply(mirror.Update{Full: number == 0, At: revision, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: "servers/i-1", Value: []byte(value), Revision: revision}}})
			}
			epoch := uint64(0)
			if member := node.fleet.groupServices()["s"][0].Member; member != nil {
				epoch = member.Epoch
			}
			assert.Equal(t, epoch, test.wantEpoch)
		})
	}
}

// TestLateRecordReturnsNoServer guards against requests to a server that drains or has left, after the key-value service
// has carried an earlier write of its record out late.
func TestLateRecordReturnsNoServer(t *testing.T) {
	removed := shedkeel.Record{Key: "servers/i-9", Removed: true}
	record := func(state string, sequence int) shedkeel.Record {
		return plainServerRecord(shedkeel.Revision{}, state, sequence)
	}
	cases := map[string]struct {
		records    []shedkeel.Record // one after the other, a second apart
		wantUsable int
	}{
		"it drains, with as many orders":              {[]shedkeel.Record{record("ready", 4), record("draining", 4), record("ready", 4)}, 0},
		"it drains, with more orders":                 {[]shedkeel.Record{record("ready", 3), record("draining", 4), record("ready", 3)}, 0},
		"it has drained and left":                     {[]shedkeel.Record{record("draining", 4), removed, record("ready", 4)}, 0},
		"it has left":                                 {[]shedkeel.Record{record("ready", 4), removed, record("ready", 3)}, 0},
		"its record lapsed, and it writes it again":   {[]shedkeel.Record{record("ready", 4), removed, record("ready", 4)}, 1},
		"it lives and has drained no more":            {[]shedkeel.Record{record("draining", 4), record("ready", 5)}, 1},
		"it has started again without a stated start": {slices.Concat([]shedkeel.Record{record("draining", 40)}, slices.Repeat([]shedkeel.Record{record("ready", 1)}, int(maxWriteDelay/time.Second)+1)), 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			node.Decoder = platform.Decoder{}
			node.fleet.setView(newServiceView(shedkeel.RoutedService{ID: "p"}))
			for index, record := range test.records {
				record.Revision.Number = int64(index + 1)
				timers.Advance(time.Second)
				node.mirror.Apply(mirror.Update{Full: index == 0, At: record.Revision, AsOf: timers.Now(), Records: []shedkeel.Record{record}})
				node.fleet.tick(timers.Now())
			}
			assert.Equal(t, node.table.Load("p", "", timers.Now()).Usable, test.wantUsable)
		})
	}
}
