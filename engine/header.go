package engine

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders returns a copy of the header with only the end-to-end fields, which a
// proxy forwards: it removes the hop-by-hop headers and all those that Connection
// lists.
func EndToEndHeaders(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}
