package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/intake"
)

// newExchange returns an exchange with a value in each field that its digest depends on.
func newExchange() *exchange {
	return &exchange{
		handler: &Handler{DigestKey: []byte("k")},
		request: httptest.NewRequest(http.MethodPost, "/s/x", nil),
		call:    shedkeel.Call{ID: "r1", Host: "h", Target: "/s/x?a=1", Key: "k1"},
		account: &shedkeel.KeyedAccount{ID: "clerk"},
		body:    intake.NewBody([]byte("body")),
	}
}

// TestDigest checks which changes of a request change its digest.
func TestDigest(t *testing.T) {
	cases := map[string]struct {
		change func(exchange *exchange)
		same   bool // the digest stays the same
	}{
		"another ID":      {func(exchange *exchange) { exchange.call.ID = "r2" }, true},
		"resumed":         {func(exchange *exchange) { exchange.call.LastEventID = "7" }, true},
		"another key":     {func(exchange *exchange) { exchange.call.Key = "k2" }, true},
		"another account": {func(exchange *exchange) { exchange.account = &shedkeel.KeyedAccount{ID: "office"} }, false},
		"no account":      {func(exchange *exchange) { exchange.account = nil }, false},
		"another path":    {func(exchange *exchange) { exchange.call.Target = "/s/y?a=1" }, false},
		"another query":   {func(exchange *exchange) { exchange.call.Target = "/s/x?a=2" }, false},
		"another host":    {func(exchange *exchange) { exchange.call.Host = "g" }, false},
		"another body":    {func(exchange *exchange) { exchange.body = intake.NewBody([]byte("bodz")) }, false},
		"another method":  {func(exchange *exchange) { exchange.request = httptest.NewRequest(http.MethodPut, "/s/x", nil) }, false},
		// Target and account together have the same text as before, without the separator.
		"parts concatenated": {func(exchange *exchange) { exchange.call.Target, exchange.account = "/s/x?a=1clerk", nil }, false},
		"another digest key": {func(exchange *exchange) { exchange.handler = &Handler{DigestKey: []byte("other")} }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			changed := newExchange()
			test.change(changed)
			assert.Equal(t, changed.computeDigest() == newExchange().computeDigest(), test.same)
			assert.Equal(t, len(changed.computeDigest()), 2*digestBytes)
		})
	}
}

// BenchmarkDigest measures the digest of a request with a body of 2 KiB. The handler computes
// digests only while the guard has records of servers that terminated while they ran requests,
// and when a server terminates while it runs a request.
func BenchmarkDigest(b *testing.B) {
	exchange := newExchange()
	exchange.body = intake.NewBody(make([]byte, 2<<10))
	b.ReportAllocs()
	for b.Loop() {
		exchange.computeDigest()
	}
}
