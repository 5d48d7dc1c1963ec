package engine

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// PassedOn returns the headers that travel along with a request or an answer:
// all but those that concern one connection, by their names or because
// Connection names them.
func PassedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
