package shedkeel

import (
	"net/http"
	"time"
)

// Call is the head of a caller's request, independent of the protocol.
type Call struct {
	ID           string        // the caller's ID of this request; another request with the same RequestDigest may have another ID
	Host         string        // lower case, without port
	Path         string        // decoded path, for matching routes
	Target       string        // path and query as received
	Key          string        // key of the client account; "" if none
	KeyCount     int           // number of keys that the caller sent
	Deadline     time.Duration // time that the caller waits for the answer; 0: not stated
	Model        ModelID       // "" if none
	SharedParts  []PartID      // parts of the prompt that other requests may share, in order; the last part, which is the request's own, is left out
	PromptTokens int           // as stated by the caller; 0: not stated
	AnswerTokens int           // maximum that the caller states; 0: not stated
	LastEventID  string        // the caller resumes a stream after the event with this ID; "": none
}

// Attempt is a call as it is sent to one backend server.
type Attempt struct {
	Call        *Call
	Server      InstanceID
	Account     AccountID     // "" on public routes
	Deadline    time.Duration // time that remains for the backend server
	LastEventID string        // resume the stream after the event with this ID; "": start from the beginning
	Priority    int           // 0 is the most urgent
}

// BackendAnswer is the content of the header of a backend server's response.
type BackendAnswer struct {
	ID     string // Call.ID of the attempt that the response answers; "": not stated
	Signed bool   // the response carries a signature of the backend server, which is not verified
	NotRun bool   // the server states that it did not run the request
	Limit  StatedLimit
	// Backoff is how long this process must send the server no requests; 0: not
	// stated.
	Backoff     time.Duration
	Draining    bool  // the server is about to stop
	HeaderError error // names those header fields of Backoff and Draining that cannot be parsed and are ignored; nil: none. For the field of Limit see StatedLimit.Err
}

// PartID identifies a part of a prompt. Requests with the same ID have that part in common.
type PartID string

// RequestDigest is a digest of the content of a request: its method, host, target,
// client account and body. A RequestGuard treats requests with the same digest as one
// request, whatever their IDs and whichever process receives them.
type RequestDigest string

// CallerProtocol translates between the HTTP headers of callers and backend
// servers and the types of this package.
type CallerProtocol interface {
	// Read parses the head of a caller's request. Its error is an InvalidError.
	Read(request *http.Request) (Call, error)
	// Write sets the header of a request to a backend server. The header already
	// has the caller's fields, without the hop-by-hop fields. Write removes the
	// caller's key from it.
	Write(header http.Header, attempt Attempt)
	// WriteDeadline sets the time that remains until the caller's deadline in the header of such a
	// request.
	WriteDeadline(header http.Header, remaining time.Duration)
	// Answer parses the header of a backend server's response.
	Answer(response *http.Response) BackendAnswer
}
