package shedkeel

import (
	"fmt"
	"time"
)

// ConflictError reports that another write came first, or that a request
// contradicts another request or the current state.
type ConflictError struct {
	What string // the conflict
}

// Error returns the message, which ends with what the caller can do.
func (err *ConflictError) Error() string {
	return "conflict: " + err.What + "; read the current state and try again"
}

// UnknownOutcomeError reports that a write, an order or a call was sent and its reply
// was lost, so that it may or may not have taken effect.
type UnknownOutcomeError struct {
	What  string // the write, order or call
	Cause error
}

// Error returns the message, which ends with what the caller can do.
func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown outcome: %s (%v); read it back and look for your nonce", err.What, err.Cause)
}

func (err *UnknownOutcomeError) Unwrap() error { return err.Cause }

// UnavailableError reports that something that the call needs is not available and
// that nothing was done.
type UnavailableError struct {
	What       string        // what is not available, such as the key-value service
	RetryAfter time.Duration // how long to wait before the next try
	Cause      error
}

// Error returns the message, which ends with what the caller can do.
func (err *UnavailableError) Error() string {
	return fmt.Sprintf("unavailable: %s (%v); nothing was done, come back in %s", err.What, err.Cause, err.RetryAfter)
}

func (err *UnavailableError) Unwrap() error { return err.Cause }

// InvalidError reports that input was rejected and that nothing was changed.
type InvalidError struct {
	Where  string // file, line and column, or field
	What   string // what is wrong with the input
	Remedy string // how to correct the input
}

// Error returns the message, which ends with what the caller can do.
func (err *InvalidError) Error() string {
	return err.Where + ": " + err.What + "; " + err.Remedy
}

// NotRunError reports that a request was not run and may be sent again.
type NotRunError struct {
	Reason        string
	RetryAfter    time.Duration // how long to wait before the request is sent again
	Overloaded    bool          // the cause is the account's rate limit, load shedding or overload, not a fault
	NoPath        bool          // no node reaches a backend server, as far as this node can tell; other servers need not be tried
	ReachedServer bool          // the server received the request and reported that it did not run it; otherwise nothing was sent
}

// Error returns the message, which ends with what the caller can do.
func (err *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s; come back in %s", err.Reason, err.RetryAfter)
}

// NoPathError reports that a backend server could not be reached, and that other servers
// could not be reached before it, neither by this node nor through other nodes.
type NoPathError struct {
	Cause error
}

// Error returns the message, which ends with what the caller can do.
func (err *NoPathError) Error() string {
	return fmt.Sprintf("no node reaches a backend server (%v); look at the network between them", err.Cause)
}

func (err *NoPathError) Unwrap() error { return err.Cause }

// UnknownRunError reports that a request may have run and that its complete answer
// is not available.
type UnknownRunError struct {
	Reason string
	Cause  error
}

// Error returns the message, which ends with what the caller can do.
func (err *UnknownRunError) Error() string {
	return fmt.Sprintf("outcome unknown: %s (%v); ask the service what became of it before you send it again", err.Reason, err.Cause)
}

func (err *UnknownRunError) Unwrap() error { return err.Cause }

// CompactedError reports that the key-value service no longer has the changes
// since a revision.
type CompactedError struct {
	Since Revision
}

// Error returns the message, which ends with what the caller can do.
func (err *CompactedError) Error() string {
	return fmt.Sprintf("the changes since revision %s are forgotten; list the records anew", err.Since)
}

// LeaseEndedError reports that a lease of the key-value service has ended.
type LeaseEndedError struct{}

// Error returns the message, which ends with what the caller can do.
func (*LeaseEndedError) Error() string {
	return "the lease is over; get a new one and write its records again"
}
