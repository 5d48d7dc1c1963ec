package engine

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndToEndHeaders(t *testing.T) {
	cases := map[string]struct {
		header, want http.Header
	}{
		"end to end":           {http.Header{"X-A": {"1", "2"}, "Content-Length": {"3"}}, http.Header{"X-A": {"1", "2"}, "Content-Length": {"3"}}},
		"hop-by-hop":           {http.Header{"Te": {"trailers"}, "Upgrade": {"x"}, "X-A": {"1"}}, http.Header{"X-A": {"1"}}},
		"listed in Connection": {http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "X-A": {"1"}}, http.Header{"X-A": {"1"}}},
		"no headers":           {http.Header{}, http.Header{}},
		"listed in lower case": {http.Header{"Connection": {"x-hop"}, "X-Hop": {"1"}}, http.Header{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, EndToEndHeaders(test.header), test.want)
		})
	}
}
