package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJudge checks each bound of the decision. In each case one property differs from a silence that
// has just passed its limit, at a group whose last event elsewhere was 30 ms ago.
func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		alter func(*Silence)
		want  Verdict
	}{
		"works elsewhere":                        {func(*Silence) {}, Excused},
		"within the expected time":               {func(silence *Silence) { silence.Elapsed = 819 * ms; silence.Elsewhere = -1 }, Normal},
		"about to pass the limit, unknown":       {func(silence *Silence) { silence.Elapsed = 820 * ms; silence.Elsewhere = -1 }, Ask},
		"about to pass the limit, known":         {func(silence *Silence) { silence.Elapsed = 820 * ms }, Excused},
		"no answer":                              {func(silence *Silence) { silence.Elsewhere = -1 }, Stall},
		"the answer becomes too old soon":        {func(silence *Silence) { silence.Elsewhere = 180 * ms }, Ask},
		"the last event elsewhere is just valid": {func(silence *Silence) { silence.Elsewhere = 220 * ms }, Ask},
		"the last event elsewhere is too old":    {func(silence *Silence) { silence.Elsewhere = 220*ms + 1 }, Stall},
		"a longer gap between events":            {func(silence *Silence) { silence.MaxGap = 200 * ms; silence.Elsewhere = 250 * ms }, Excused},
		"a stream past its first event":          {func(silence *Silence) { silence.Responded = true }, Stall},
		"a stream past its first event, earlier": {func(silence *Silence) { silence.Responded = true; silence.Elapsed = 859 * ms }, Normal},
		"just sent within the excused time":      {func(silence *Silence) { silence.Oldest = 1700*ms - 1 }, Excused},
		"callers are about to give up":           {func(silence *Silence) { silence.Oldest = 1700 * ms }, Stall},
		"long prompts, expected to take longer":  {func(silence *Silence) { silence.Oldest = 1800 * ms; silence.Limit = 1900 * ms }, Normal},
		"this process heard a server just now":   {func(silence *Silence) { silence.Own = 200*ms - 1 }, Excused},
		"this process hears no server":           {func(silence *Silence) { silence.Own = 200 * ms }, Stall},
		"this process never heard a server":      {func(silence *Silence) { silence.Own = -1 }, Stall},
		"hears no server, within the limit":      {func(silence *Silence) { silence.Own = 200 * ms; silence.Elapsed = 859 * ms }, Normal},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			silence := Silence{Elapsed: 860 * ms, Limit: 860 * ms, Oldest: 860 * ms, MaxGap: 120 * ms, Elsewhere: 30 * ms, Own: 10 * ms}
			test.alter(&silence)
			assert.Equal(t, silence.Judge(), test.want)
		})
	}
}
