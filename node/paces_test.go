package node

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// TestSlowAndRecoveredPaces checks from which reported pace a server counts as slow or normal
// again (see slowThreshold and recoveredThreshold), and that a server that is no longer listed
// does not count as slow.
func TestSlowAndRecoveredPaces(t *testing.T) {
	cases := map[string]struct {
		reported []float64 // paces in the order in which they are reported
		slow     bool      // the server counts as slow after the last report
	}{
		"normal":                   {[]float64{1}, false},
		"report without a pace":    {[]float64{0}, false},
		"somewhat slow":            {[]float64{1.9}, false},
		"slow":                     {[]float64{1, 5}, true},
		"slow, and not yet normal": {[]float64{5, 1.4}, true},
		"slow, and normal again":   {[]float64{5, 1.2}, false},
		"slow again after a while": {[]float64{5, 1.2, 5}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			log, err := event.NewLog(io.Discard, "info")
			assert.NilError(t, err)
			controller := &controller{node: &Node{Log: log}}
			paces := &paces{controller: controller, slow: map[shedkeel.InstanceID]float64{}}
			for _, pace := range test.reported {
				paces.update("a", pace)
			}
			assert.Equal(t, paces.isSlow("a"), test.slow)
			paces.removeUnlisted(map[shedkeel.ServiceID][]shedkeel.Instance{"llm": {{ID: "b"}}}) // only b is listed
			assert.Assert(t, !paces.isSlow("a"), "a server that is no longer listed counts as slow")
		})
	}
}
