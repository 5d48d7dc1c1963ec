package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/platform"
	"shedkeel.org/shedkeel/serve"
)

// serverRecord returns the record of a group member as the platform's servers write it. The
// number is that of its revision, born is when the instance of the server started, in Unix
// milliseconds, and rank 0 is the head.
func serverRecord(number, born int64, rank int, state shedkeel.MemberState) shedkeel.Record {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.%d:1","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"seq":1,"born":%d,"domain":"d",`+
		`"group":{"name":"m/d/1","epoch":5,"rank":%d,"state":%q}}`, rank+1, born, rank, state)
	return shedkeel.Record{Key: fmt.Sprintf("servers/i-%d", rank), Value: []byte(value), Revision: shedkeel.Revision{Number: number}}
}

// newGroupNode returns a node that knows a group of two members and may send requests to
// its head, and a function that advances the clock, applies records and runs the fleet's tick.
// The records have the revisions 2 and 3, and the instances have started at 7 (see serverRecord).
func newGroupNode(t *testing.T) (*Node, func(time.Duration, ...shedkeel.Record)) {
	t.Helper()
	node, timers := newTestNode(t)
	node.Decoder = platform.Decoder{}
	node.fleet.setView(serve.NewView(&shedkeel.ServingConfig{Services: []shedkeel.RoutedService{{ID: "s", Engine: &shedkeel.Engine{Slots: 8, Models: []shedkeel.Model{{ID: "m", Size: 2}}}}}}))
	apply := func(after time.Duration, records ...shedkeel.Record) {
		timers.Advance(after)
		node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: records})
		node.fleet.tick(timers.Now())
	}
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	apply(0, serverRecord(2, 7, 0, shedkeel.MemberOpen), serverRecord(3, 7, 1, shedkeel.MemberReady))
	return node, apply
}

// usableGroups returns the number of groups of the model m that may get requests.
func (node *Node) usableGroups() int { return node.table.Load("s", "m", node.Timers.Now()).Usable }

// TestRecordThatBecomesUnreadable corrupts the record of a server. The server gets no
// requests itself, and keeps its place in its group until its next heartbeat or, if none
// arrives, for unreadableRecordHold. Valid records that arrive together with an unreadable one
// are applied.
func TestRecordThatBecomesUnreadable(t *testing.T) {
	corrupt := shedkeel.Record{Key: "servers/i-0", Value: []byte(`{"service":7}`), Revision: shedkeel.Revision{Number: 4}} // a number in place of a string
	t.Run("the next heartbeat comes", func(t *testing.T) {
		node, apply := newGroupNode(t)
		assert.Equal(t, node.usableGroups(), 1)
		apply(0, corrupt)
		assert.Equal(t, node.usableGroups(), 0, "a server with an unreadable record got requests")
		assert.Equal(t, len(node.fleet.instances), 2, "a corrupt write removed a member of the group")
		apply(1200*time.Millisecond, serverRecord(5, 7, 0, shedkeel.MemberOpen)) // the latest time of the next heartbeat (see unreadableRecordHold)
		assert.Equal(t, node.usableGroups(), 1)
		apply(2 * unreadableRecordHold)
		assert.Equal(t, len(node.fleet.instances), 2) // the hold has ended with the heartbeat
	})
	t.Run("no heartbeat comes", func(t *testing.T) {
		node, apply := newGroupNode(t)
		apply(0, corrupt)
		apply(unreadableRecordHold/2, shedkeel.Record{Key: "servers/i-0", Value: []byte(`[]`), Revision: shedkeel.Revision{Number: 5}}) // unreadable too: a list in place of an object
		assert.Equal(t, len(node.fleet.instances), 2)
		apply(unreadableRecordHold / 2)
		assert.Equal(t, len(node.fleet.instances), 1, "a second corrupt write prolonged the hold")
	})
	t.Run("the record of a member that is not the head", func(t *testing.T) {
		node, apply := newGroupNode(t)
		apply(0, shedkeel.Record{Key: "servers/i-1", Value: []byte("\x00"), Revision: shedkeel.Revision{Number: 4}})
		assert.Equal(t, node.usableGroups(), 1, "an unreadable record of another member kept requests from the head")
	})
	t.Run("together with valid records", func(t *testing.T) {
		node, apply := newGroupNode(t)
		// The unreadable record is that of a server that is not listed.
		apply(0, shedkeel.Record{Key: "servers/odd", Value: []byte(`null`), Revision: shedkeel.Revision{Number: 4}}, serverRecord(5, 7, 0, shedkeel.MemberClosing))
		assert.Equal(t, len(node.fleet.instances), 2)
		assert.Equal(t, node.usableGroups(), 0, "the valid record was not applied")
	})
}

// TestServerThatStartsAgain restarts a head under the same name. A record that the former
// instance of the server wrote and that arrives after the restart is ignored.
func TestServerThatStartsAgain(t *testing.T) {
	node, apply := newGroupNode(t)
	apply(0, serverRecord(4, 9, 0, shedkeel.MemberJoining)) // the new instance, started at 9
	assert.Equal(t, node.usableGroups(), 0)
	apply(0, serverRecord(5, 7, 0, shedkeel.MemberOpen)) // of the former instance, started at 7
	assert.Equal(t, node.usableGroups(), 0, "a record from before the restart was applied")
	apply(0, serverRecord(6, 9, 0, shedkeel.MemberOpen))
	assert.Equal(t, node.usableGroups(), 1)
}

// TestCorruptNodeRecords checks that invalid records of nodes are ignored, and that a later
// valid record is used. With the invalid records, the directory would send callers to invalid
// addresses.
func TestCorruptNodeRecords(t *testing.T) {
	valid := nodeRecord{ID: "b", Zone: "z", Callers: "10.0.0.2:1", Control: "10.0.0.2:2", Capacity: 0.5}
	for name, corrupt := range map[string]func(*nodeRecord){
		"no id":               func(record *nodeRecord) { record.ID = "" },
		"another's id":        func(record *nodeRecord) { record.ID = "c" },
		"no zone":             func(record *nodeRecord) { record.Zone = "" },
		"no callers' address": func(record *nodeRecord) { record.Callers = "" },
		"no port":             func(record *nodeRecord) { record.Control = "10.0.0.2" },
		"negative capacity":   func(record *nodeRecord) { record.Capacity = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			node, timers := newTestNode(t)
			record := valid
			corrupt(&record)
			value, err := json.Marshal(record)
			assert.NilError(t, err)
			node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: nodePrefix + "b", Value: value, Revision: shedkeel.Revision{Number: 1}}}})
			assert.Equal(t, len(node.fleet.nodes), 0)
			value, err = json.Marshal(valid)
			assert.NilError(t, err)
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 2}, AsOf: timers.Now(), Records: []shedkeel.Record{{Key: nodePrefix + "b", Value: value, Revision: shedkeel.Revision{Number: 2}}}})
			assert.Equal(t, len(node.fleet.nodes), 1)
		})
	}
}

// TestCorruptLeaderRecords corrupts the records of the leader and the term. A node still
// becomes the leader, in a term above those of the epochs that servers report.
func TestCorruptLeaderRecords(t *testing.T) {
	member := serverRecord(2, 7, 0, shedkeel.MemberOpen)
	member.Value = []byte(fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"seq":1,"group":{"name":"m/d/1","epoch":%d,"rank":0,"state":"open"}}`, 3*epochsPerTerm+8)) // an epoch of term 3
	for name, test := range map[string]struct {
		lead, term string
		next       uint64 // the term in which the node must lead; servers report epochs of term 3
	}{
		"valid records":                             {"", `{"term":3}`, 4},
		"lead can't be read":                        {`[]`, `{"term":3}`, 4},
		"lead names nobody":                         {`{"node":"nobody","term":3}`, `{"term":3}`, 4},
		"lead names this node's former incarnation": {`{"node":"node-1","incarnation":"x","lease":99}`, `{"term":3}`, 4},
		"term can't be read":                        {"", `7`, 4},
		"term is too low":                           {"", `{"term":0}`, 4},
		"term is above maxTerm":                     {"", `{"term":4611686018427387904}`, 4}, // 1<<62
		"term is above those of the epochs":         {"", `{"term":9}`, 10},
	} {
		t.Run(name, func(t *testing.T) {
			node, timers, store := newListedCandidate(t)
			node.Decoder = platform.Decoder{}
			records := []shedkeel.Record{member, {Key: termKey, Value: []byte(test.term), Revision: shedkeel.Revision{Number: 3}}}
			if test.lead != "" {
				records = append(records, shedkeel.Record{Key: leaderKey, Value: []byte(test.lead), Revision: shedkeel.Revision{Number: 4}})
			}
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 4}, AsOf: timers.Now(), Records: records})
			store.commit = func(change shedkeel.Transaction) (int64, error) {
				for _, condition := range change.If {
					assert.Equal(t, condition.Revision, node.mirror.Get(condition.Key).Revision, condition.Key)
				}
				return 5, nil // the revision that the commit creates
			}
			for range 3 { // for longer than orphanTimeout, in which the mirror stays up to date
				node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 4}, AsOf: timers.Now()})
				elect(t, node, timers)
				timers.Advance(orphanTimeout / 2)
			}
			node.mirror.Apply(mirror.Update{At: shedkeel.Revision{Number: 4}, AsOf: timers.Now()})
			elect(t, node, timers)
			lead, _ := node.controller.leaderRecord()
			assert.Equal(t, lead.Node, node.Settings.Node, "nobody leads")
			assert.Equal(t, lead.Term, test.next)
		})
	}
}
