package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

// blameStore is a key-value service that records the changes committed to it, or fails all of
// them. The first change has the revision 1001, the next one 1002.
type blameStore struct {
	Store
	unavailable bool
	changes     []shedkeel.Transaction
	era         int64 // of the revisions that Commit returns
}

func (store *blameStore) Commit(_ context.Context, change shedkeel.Transaction) (shedkeel.Revision, error) {
	if store.unavailable {
		return shedkeel.Revision{}, &shedkeel.UnavailableError{What: "store"}
	}
	store.changes = append(store.changes, change)
	return shedkeel.Revision{Era: store.era, Number: int64(1000 + len(store.changes))}, nil
}

// newBlame returns a blame of the request "r".
func newBlame(round uint32, servers ...shedkeel.InstanceID) shedkeel.Blame {
	return shedkeel.Blame{Subject: "r", Round: round, Servers: servers}
}

// blameRecord returns the record of a blame in the key-value service, at revision 5.
func blameRecord(t *testing.T, blame shedkeel.Blame) shedkeel.Record {
	t.Helper()
	value, err := json.Marshal(blame)
	assert.NilError(t, err)
	return shedkeel.Record{Key: BlamePrefix + string(blame.Subject), Value: value, Revision: shedkeel.Revision{Number: 5}}
}

// TestRecordChange guards against blames of quarantined or contained requests whose records in
// the key-value service are missing, outdated or unreadable. A blame with one server is not
// written, since tens of requests run on a server that terminates. The record of a cleared blame
// is removed, unless the record is of a later round.
func TestRecordChange(t *testing.T) {
	missing := shedkeel.Record{}
	cases := map[string]struct {
		blame   shedkeel.Blame
		record  shedkeel.Record
		puts    int // number of records that the change writes
		removes int // number of records that the change removes
	}{
		"one server":                       {newBlame(0, "a"), missing, 0, 0},
		"two servers":                      {newBlame(0, "a", "b"), missing, 1, 0},
		"two, and the record names both":   {newBlame(0, "a", "b"), blameRecord(t, newBlame(0, "a", "b")), 0, 0},
		"three, the record names two":      {newBlame(0, "a", "b", "c"), blameRecord(t, newBlame(0, "a", "b")), 1, 0},
		"two, the record names three":      {newBlame(0, "a", "b"), blameRecord(t, newBlame(0, "a", "b", "c")), 0, 0},
		"cleared, no record":               {newBlame(1), missing, 0, 0},
		"cleared, older record":            {newBlame(1), blameRecord(t, newBlame(0, "a", "b", "c")), 0, 1},
		"cleared, record of a later round": {newBlame(1), blameRecord(t, newBlame(2, "a", "b", "c")), 0, 0},
		"cleared, then two, older record":  {newBlame(1, "d", "e"), blameRecord(t, newBlame(0, "a", "b", "c")), 1, 0},
		"three, corrupt record":            {newBlame(0, "a", "b", "c"), shedkeel.Record{Key: BlamePrefix + "r", Value: []byte("{"), Revision: shedkeel.Revision{Number: 5}}, 1, 0},
		"three, record of another request": {newBlame(0, "a", "b", "c"), shedkeel.Record{Key: BlamePrefix + "r", Value: []byte(`{"request":"q"}`), Revision: shedkeel.Revision{Number: 5}}, 1, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			change, needed := recordChange(test.blame, test.record)
			assert.Equal(t, needed, test.puts+test.removes > 0)
			if needed {
				assert.Equal(t, len(change.Put), test.puts)
				assert.Equal(t, len(change.Remove), test.removes)
				assert.DeepEqual(t, change.If, []shedkeel.Condition{{Key: BlamePrefix + "r", Revision: test.record.Revision}})
			}
		})
	}
}

// TestBlameIsKeptOnceTheStoreIsBack contains a request while the key-value service is
// unavailable. The blame is written once, when the service answers again. After an operator
// has released the request by removing the record, the blame is not written again.
func TestBlameIsKeptOnceTheStoreIsBack(t *testing.T) {
	node, timers := newTestNode(t)
	store := &blameStore{unavailable: true}
	node.Store = store
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	for _, server := range []shedkeel.InstanceID{"a", "b", "c"} {
		node.guard.ServerEnded(shedkeel.GuardedRequest{Digest: "r"}, server)
	}
	node.guard.writePending(t.Context(), timers.Now())
	assert.Equal(t, len(store.changes), 0)
	store.unavailable = false
	for range 5 {
		timers.Advance(writeInterval)
		node.guard.writePending(t.Context(), timers.Now())
	}
	assert.Equal(t, len(store.changes), 1)
	assert.Equal(t, node.guard.Judge(shedkeel.GuardedRequest{Digest: "r"}).Judgment, shedkeel.Contained)

	node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: BlamePrefix + "r", Removed: true, Revision: shedkeel.Revision{Number: 2000}})) // later than the revision of the blame's record (see blameStore)
	assert.Equal(t, node.guard.Judge(shedkeel.GuardedRequest{Digest: "r"}).Judgment, shedkeel.Unblamed, "the request is judged although an operator has released it")
	for range 5 {
		timers.Advance(writeInterval)
		node.guard.writePending(t.Context(), timers.Now())
	}
	assert.Equal(t, len(store.changes), 1, "the blame of a released request was written again")
}

// TestBlameChangedDuringWriteIsWritten has a third server terminate before the guard marks the
// blame with the first two as written, as if the guard had just found their record in the
// key-value service. The next write must contain all three.
func TestBlameChangedDuringWriteIsWritten(t *testing.T) {
	node, timers := newTestNode(t)
	store := &blameStore{}
	node.Store = store
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	node.guard.ServerEnded(shedkeel.GuardedRequest{Digest: "r"}, "a")
	node.guard.ServerEnded(shedkeel.GuardedRequest{Digest: "r"}, "b")
	changedAt := node.guard.unwrittenBlames()["r"]
	timers.Advance(time.Millisecond)
	node.guard.ServerEnded(shedkeel.GuardedRequest{Digest: "r"}, "c")
	node.guard.markWritten("r", changedAt)
	node.guard.writePending(t.Context(), timers.Now())
	assert.Equal(t, len(store.changes), 1)
	var written shedkeel.Blame
	assert.NilError(t, json.Unmarshal(store.changes[0].Put[0].Value, &written))
	assert.Equal(t, len(written.Servers), 3)
}

// TestBlameRecords checks which records of blames are applied, and which are skipped.
func TestBlameRecords(t *testing.T) {
	three := `{"request":"r","round":0,"servers":["a","b","c"]}` // three servers: the request is contained
	cases := map[string]struct {
		key      string // the request that the record's key names
		value    string
		judgment shedkeel.Judgment
		skipped  int64 // records that were skipped as invalid
	}{
		"valid":                               {"r", three, shedkeel.Contained, 0},
		"about another request":               {"q", three, shedkeel.Unblamed, 1},
		"unreadable":                          {"r", "\x00", shedkeel.Unblamed, 1},
		"empty":                               {"r", "", shedkeel.Unblamed, 1},
		"a field of another type":             {"r", `{"request":"r","servers":"a"}`, shedkeel.Unblamed, 1},
		"one server named three times":        {"r", `{"request":"r","servers":["a","a","a"]}`, shedkeel.Unblamed, 0},
		"an unknown field of a newer version": {"r", `{"request":"r","servers":["a","b","c"],"since":7}`, shedkeel.Contained, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: BlamePrefix + test.key, Value: []byte(test.value), Revision: shedkeel.Revision{Number: 7}}))
			assert.Equal(t, node.guard.Judge(shedkeel.GuardedRequest{Digest: "r"}).Judgment, test.judgment)
			assert.Equal(t, node.fleet.skippedRecords.Load(), test.skipped)
		})
	}
}

// TestOneTrialAtATime checks that a node allows one trial of a quarantined request at a
// time: the next one once the first has ended or has expired, and none of a contained
// request.
func TestOneTrialAtATime(t *testing.T) {
	node, timers := newTestNode(t)
	// ask has another node send a blame call, and returns whether a trial is allowed.
	ask := func(kind wire.BlameCall_Kind, servers ...string) bool {
		return node.guard.handle(&wire.BlameCall{Kind: kind, Request: "r", Servers: servers}).GetBlame().GetAllowed()
	}
	assert.Assert(t, ask(wire.BlameCall_TRY, "a", "b"))
	assert.Equal(t, node.guard.Judge(shedkeel.GuardedRequest{Digest: "r"}).Judgment, shedkeel.Quarantined, "the blame that the call carries was not merged")
	assert.Assert(t, !ask(wire.BlameCall_TRY, "a", "b"))
	ask(wire.BlameCall_DONE)
	trial, allowed := node.guard.AcquireAttempt(t.Context(), shedkeel.GuardedRequest{Digest: "r"}) // this node is the only decider
	assert.Assert(t, allowed)
	assert.Assert(t, !ask(wire.BlameCall_TRY, "a", "b"))
	trial.Done()
	assert.Assert(t, ask(wire.BlameCall_TRY, "a", "b"))
	timers.Advance(trialExpiry + time.Millisecond)
	assert.Assert(t, ask(wire.BlameCall_TRY, "a", "b"), "no trial is allowed although the last one has expired")
	ask(wire.BlameCall_DONE)
	assert.Assert(t, !ask(wire.BlameCall_TRY, "a", "b", "c")) // three servers: the request is contained
}

// TestDecidersAgree checks that nodes which see the same nodes alive agree on the deciders of
// a request and their order, and that each node is the first decider of some requests.
func TestDecidersAgree(t *testing.T) {
	firstDeciders := map[shedkeel.NodeID]int{}
	for range 40 { // about ten requests for each of the four nodes as the first decider
		request := shedkeel.Subject(shedkeel.NewNonce())
		var agreed []shedkeel.NodeID
		for _, record := range fourNodes {
			node, _ := newListedNode(t, record.ID, fourNodes)
			deciders := node.peers.deciders(request)
			assert.Equal(t, len(deciders), deciderCount)
			if agreed != nil {
				assert.DeepEqual(t, deciders, agreed)
			}
			agreed = deciders
		}
		firstDeciders[agreed[0]]++
	}
	assert.Equal(t, len(firstDeciders), len(fourNodes), "%v", firstDeciders)
}
