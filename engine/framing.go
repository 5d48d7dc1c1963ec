package engine

import "net/http"

// CloseDelimited reports whether the answer to a request with the method states neither a length
// nor chunks, so that it ends with its connection. Answers without a body are not close-delimited.
func CloseDelimited(method string, response *http.Response) bool {
	return method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
