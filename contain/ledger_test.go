package contain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestJudge checks the judgment for each number of terminated servers. Each instance of a
// server counts separately.
func TestJudge(t *testing.T) {
	cases := map[string]struct {
		failures []shedkeel.InstanceID // servers passed to RecordFailure, in this order
		judgment shedkeel.Judgment
	}{
		"no server":                 {nil, shedkeel.Unblamed},
		"one server":                {[]shedkeel.InstanceID{"a"}, shedkeel.Unblamed},
		"one, reported three times": {[]shedkeel.InstanceID{"a", "a", "a"}, shedkeel.Unblamed},
		"two servers":               {[]shedkeel.InstanceID{"a", "b"}, shedkeel.Quarantined},
		"one that restarted":        {[]shedkeel.InstanceID{"a@1", "a@2"}, shedkeel.Quarantined}, // two instances of the server a
		"three servers":             {[]shedkeel.InstanceID{"a", "b", "c"}, shedkeel.Contained},
		"three, two reported twice": {[]shedkeel.InstanceID{"c", "b", "b", "a", "c"}, shedkeel.Contained},
		"five servers":              {[]shedkeel.InstanceID{"a", "b", "c", "d", "e"}, shedkeel.Contained},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ledger := &Ledger{}
			for _, server := range test.failures {
				ledger.RecordFailure("r", server)
			}
			assert.Equal(t, Judge(ledger.Blame("r")), test.judgment)
			assert.Equal(t, Judge(ledger.Blame("other")), shedkeel.Unblamed)
			assert.Equal(t, ledger.Idle(), len(test.failures) == 0)
		})
	}
}

// TestClear checks that clearing drops the recorded servers, that a record of the earlier
// round that arrives late has no effect, and that later terminations count.
func TestClear(t *testing.T) {
	ledger := &Ledger{}
	ledger.RecordFailure("r", "a")
	ledger.RecordFailure("r", "b")
	before, after := ledger.Clear("r")
	assert.Equal(t, len(before.Servers), 2)
	assert.Equal(t, after.Round, uint32(1))
	assert.Assert(t, ledger.Idle())
	_, changed := ledger.Merge(shedkeel.Blame{Subject: "r", Servers: []shedkeel.InstanceID{"a", "b", "c"}})
	assert.Assert(t, !changed, "a record of an earlier round was merged")
	assert.Equal(t, Judge(ledger.Blame("r")), shedkeel.Unblamed)
	for _, server := range []shedkeel.InstanceID{"d", "e", "f"} {
		ledger.RecordFailure("r", server)
	}
	assert.Equal(t, Judge(ledger.Blame("r")), shedkeel.Contained)
	_, after = ledger.Clear("unknown")
	assert.Equal(t, after.Round, uint32(0), "an unknown request was given a round")
}

// TestLedgersAgree checks that ledgers hold the same record after they have merged the same
// records, in any order and some of them twice.
func TestLedgersAgree(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 { // sequences of records
		messages := []shedkeel.Blame{}
		source := &Ledger{}
		for step := range 8 {
			if random.IntN(4) == 0 { // a quarter of the steps clear the request
				_, record := source.Clear("r")
				messages = append(messages, record)
				continue
			}
			record, _ := source.RecordFailure("r", shedkeel.InstanceID(fmt.Sprint("s", step)))
			messages = append(messages, record)
		}
		for range 5 { // orders in which the records arrive
			random.Shuffle(len(messages), func(a, b int) { messages[a], messages[b] = messages[b], messages[a] })
			other := &Ledger{}
			for _, blame := range slices.Concat(messages, messages[:3]) { // three records arrive twice
				other.Merge(blame)
			}
			assert.DeepEqual(t, other.Blame("r"), source.Blame("r"))
			assert.Equal(t, other.Idle(), source.Idle())
		}
	}
}

// TestMemoryIsBounded checks that a full ledger evicts entries, but neither the entry of a
// contained request nor an entry that is read often.
func TestMemoryIsBounded(t *testing.T) {
	ledger := &Ledger{}
	for _, server := range []shedkeel.InstanceID{"a", "b", "c"} {
		ledger.RecordFailure("deadly", server)
	}
	for index := range 3 * maxSubjects {
		ledger.RecordFailure(shedkeel.Subject(fmt.Sprint(index)), "a")
		ledger.Blame("0") // counts as a use
	}
	assert.Equal(t, len(ledger.All()), maxSubjects)
	assert.Equal(t, Judge(ledger.Blame("deadly")), shedkeel.Contained)
	assert.Equal(t, len(ledger.Blame("0").Servers), 1, "the entry that is read often was evicted")
	assert.Equal(t, ledger.withServers.Load(), int64(maxSubjects), "not all remaining entries have servers, or withServers counts them wrong")
}
