package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// window is the PermitInput.Window in the tests.
const window = 3 * time.Second

// oneGroup returns a placement with group g of boxes a and b under epoch 4.
func oneGroup(draining bool) []shedkeel.Placement {
	return []shedkeel.Placement{{Zone: "z", Groups: []shedkeel.Group{{
		ID: "g", Service: "s", Epoch: 4, Draining: draining, Members: []shedkeel.Member{{Box: "a"}, {Box: "b"}},
	}}}}
}

// foundBy returns a watcher's digest with one verdict on group g under the given
// epoch.
func foundBy(watcher shedkeel.NodeID, epoch uint64, verdict shedkeel.Verdict, asOf time.Duration) Digest {
	return Digest{Watcher: watcher, AsOf: asOf, Verdicts: []GroupVerdict{{Group: "g", Epoch: epoch, Verdict: verdict}}}
}

// TestPermits checks when a group has a permit, until when, and when it counts as
// broken. The group's current epoch is 4. The time now-1 is 1 ns before now.
func TestPermits(t *testing.T) {
	const now = 100 * time.Second
	whole, silent, broken, draining := shedkeel.VerdictWhole, shedkeel.VerdictNoReply, shedkeel.VerdictBroken, shedkeel.VerdictDraining
	cases := map[string]struct {
		digests  []Digest
		drains   map[shedkeel.BoxID]bool // boxes that operators drain
		draining bool                    // the group is draining
		until    time.Duration           // expected Until; 0: no permit
		broken   bool                    // expected Broken
	}{
		"no findings":                        {nil, nil, false, 0, false},
		"whole":                              {[]Digest{foundBy("w1", 4, whole, now)}, nil, false, now + window, false},
		"whole under another epoch":          {[]Digest{foundBy("w1", 3, whole, now)}, nil, false, 0, false},
		"whole two windows ago":              {[]Digest{foundBy("w1", 4, whole, now-2*window)}, nil, false, now - window, false},
		"whole, found by two watchers":       {[]Digest{foundBy("w1", 4, whole, now-time.Second), foundBy("w2", 4, whole, now)}, nil, false, now + window, false},
		"broken after whole":                 {[]Digest{foundBy("w1", 4, whole, now-1), foundBy("w2", 4, broken, now)}, nil, false, 0, true},
		"whole after broken":                 {[]Digest{foundBy("w1", 4, whole, now), foundBy("w2", 4, broken, now-1)}, nil, false, now + window, false},
		"silent soon after whole":            {[]Digest{foundBy("w1", 4, whole, now-time.Second), foundBy("w2", 4, silent, now)}, nil, false, now - time.Second + window, false},
		"silent two windows after whole":     {[]Digest{foundBy("w1", 4, whole, now-2*window), foundBy("w2", 4, silent, now)}, nil, false, 0, true},
		"only found silent":                  {[]Digest{foundBy("w1", 4, silent, now)}, nil, false, 0, true},
		"a member reports that it leaves":    {[]Digest{foundBy("w1", 4, whole, now-1), foundBy("w2", 4, draining, now)}, nil, false, 0, false},
		"an operator drains a member":        {[]Digest{foundBy("w1", 4, whole, now)}, map[shedkeel.BoxID]bool{"b": true}, false, 0, false},
		"a watcher reports a leaving member": {[]Digest{foundBy("w1", 4, whole, now), {Watcher: "w2", AsOf: now, Leaving: []shedkeel.BoxID{"a"}}}, nil, false, 0, false},
		"another box leaves":                 {[]Digest{foundBy("w1", 4, whole, now), {Watcher: "w2", AsOf: now, Leaving: []shedkeel.BoxID{"c"}}}, nil, false, now + window, false},
		"an old report of a leaving member":  {[]Digest{foundBy("w1", 4, whole, now), {Watcher: "w2", AsOf: now - 20*window, Leaving: []shedkeel.BoxID{"a"}}}, nil, false, now + window, false},
		"the group is draining":              {[]Digest{foundBy("w1", 4, whole, now)}, nil, true, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			input := PermitInput{Now: now, Window: window, Drains: test.drains, Digests: test.digests}
			permits := input.Permits(oneGroup(test.draining))
			assert.Equal(t, len(permits), 1)
			assert.Equal(t, permits[0].Until, test.until, permits[0].Reason)
			assert.Equal(t, permits[0].Broken, test.broken, permits[0].Reason)
		})
	}
}

// TestPermitsAgainstReference compares permits with referenceAllowed on random
// digests: 1 to 5 of up to 4 watchers, under the current epoch or the one before,
// and up to 5 s old, which is longer than the window. More than a tenth of the sets of
// digests must give a permit, so that the comparison covers both results.
func TestPermitsAgainstReference(t *testing.T) {
	allowed := 0
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 4))
		now := 100 * time.Second
		var digests []Digest
		for range 1 + random.IntN(5) {
			age := time.Duration(random.IntN(5000)) * time.Millisecond
			digests = append(digests, foundBy(shedkeel.NodeID(rune('a'+random.IntN(4))), 3+uint64(random.IntN(2)), shedkeel.Verdict(random.IntN(4)), now-age))
		}
		input := PermitInput{Now: now, Window: window, Digests: digests}
		allows := input.Permits(oneGroup(false))[0].Until > now
		assert.Equal(t, allows, referenceAllowed(digests, now), "seed %d: %v", seed, digests)
		if allows {
			allowed++
		}
	}
	assert.Assert(t, allowed > 500, "%d of 5000 sets of digests gave a permit, want more than 500", allowed)
}

// referenceAllowed is an independent implementation of the rule for permits that
// works on the verdicts one by one: a permit that has not expired needs a whole
// verdict within the window and no newer broken or draining verdict, all under
// epoch 4.
func referenceAllowed(digests []Digest, now time.Duration) bool {
	for _, digest := range digests {
		verdict := digest.Verdicts[0]
		if verdict.Epoch != 4 || verdict.Verdict != shedkeel.VerdictWhole || now-digest.AsOf >= window {
			continue
		}
		contradicted := false
		for _, other := range digests {
			contradicts := other.Verdicts[0].Verdict == shedkeel.VerdictBroken || other.Verdicts[0].Verdict == shedkeel.VerdictDraining
			if other.Verdicts[0].Epoch == 4 && contradicts && other.AsOf > digest.AsOf {
				contradicted = true
			}
		}
		if !contradicted {
			return true
		}
	}
	return false
}
