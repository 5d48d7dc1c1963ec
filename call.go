package shedkeel

import (
	"net/http"
	"time"
)

// Call is a caller's request, in the product's own terms.
type Call struct {
	ID           string // the caller's name for this attempt
	Host         string // lower case, without port
	Path         string // for matching routes
	Target       string // path and query as the caller sent them
	Key          string // of the client account; "" if none
	KeyCount     int    // how many keys the caller sent
	Deadline     time.Duration
	Model        ModelID
	PromptTokens int
	AnswerTokens int
	LastEvent    string // the caller resumes a stream after this event
}

// Sending is one sending of a call to one backend server.
type Sending struct {
	Call      *Call
	To        InstanceID
	Account   AccountID     // "" on public routes
	Deadline  time.Duration // what is left for the backend server
	LastEvent string        // resume the stream after this event; "" from its beginning
	Priority  int           // 0 is most urgent
}

// BackendAnswer is what the head of a backend server's answer says.
type BackendAnswer struct {
	ID     string // the attempt that it answers
	Sealed bool   // it carries the backend server's signature
	NotRun bool   // the server says that it did not run the request
	Limit  StatedLimit
	// Backoff is for how long the server wants no request from this process; 0: it
	// states none.
	Backoff  time.Duration
	Draining bool  // the server is about to end
	Invalid  error // statements of the server that cannot be read; nothing is stated by them
}

// RequestDigest names what a request asks for. All tries of one and the same
// request, under whichever name and at whichever process, have the same one.
type RequestDigest string

// CallerProtocol is how callers and backend servers name things in headers.
type CallerProtocol interface {
	// Read reads the head of a caller's request. Its error is an InvalidError.
	Read(request *http.Request) (Call, error)
	// Write sets the head of a request to a backend server. The header holds
	// what the caller sent, without what concerns one connection only.
	Write(header http.Header, sending Sending)
	// Answer reads the head of a backend server's answer.
	Answer(response *http.Response) BackendAnswer
}
