package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzCompletion checks that each body leads to a response with status 200 or an
// error status, and an outcome header.
func FuzzCompletion(f *testing.F) {
	f.Add(completionBody)
	f.Add(`{"model":"model","messages":[{}],"stream":true}`)
	f.Fuzz(func(t *testing.T, body string) {
		harness := newHarness(t)
		recorder := harness.post("/v1/completions", body)
		known := recorder.Code == http.StatusOK || recorder.Code >= 400
		assert.Assert(t, known && recorder.Header().Get(HeaderOutcome) != "")
	})
}
