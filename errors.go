package shedkeel

import (
	"fmt"
	"time"
)

// ConflictError says that another writer was faster or that two wishes exclude
// each other.
type ConflictError struct {
	What string
}

// Error names the remedy.
func (err *ConflictError) Error() string {
	return "conflict: " + err.What + "; read the current state and try again"
}

// UnknownOutcomeError says that a write was sent and its reply was lost.
type UnknownOutcomeError struct {
	What  string
	Cause error
}

// Error names the remedy.
func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown outcome: %s (%v); read it back and look for your nonce", err.What, err.Cause)
}

// Unwrap returns the cause.
func (err *UnknownOutcomeError) Unwrap() error { return err.Cause }

// UnavailableError says that something the call needs is away and that nothing
// was done.
type UnavailableError struct {
	What       string
	RetryAfter time.Duration
	Cause      error
}

// Error names the remedy.
func (err *UnavailableError) Error() string {
	return fmt.Sprintf("unavailable: %s (%v); nothing was done, come back in %s", err.What, err.Cause, err.RetryAfter)
}

// Unwrap returns the cause.
func (err *UnavailableError) Unwrap() error { return err.Cause }

// InvalidError says that input was refused; nothing in force changed.
type InvalidError struct {
	Where  string // file, line, column or field
	What   string
	Remedy string
}

// Error names the remedy.
func (err *InvalidError) Error() string {
	return err.Where + ": " + err.What + "; " + err.Remedy
}

// NotRunError says that a request truly did not run.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration
	Overloaded bool // the caller's own limit or the queue, not a fault
	Arrived    bool // the server itself said so; else nothing was sent to it
}

// Error names the remedy.
func (err *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s; come back in %s", err.Reason, err.RetryAfter)
}

// UnknownRunError says that a request may have run and that no whole answer
// can be given.
type UnknownRunError struct {
	Reason string
	Cause  error
}

// Error names the remedy.
func (err *UnknownRunError) Error() string {
	return fmt.Sprintf("outcome unknown: %s (%v); ask the service what became of it before you send it again", err.Reason, err.Cause)
}

// Unwrap returns the cause.
func (err *UnknownRunError) Unwrap() error { return err.Cause }

// HistoryGoneError says that the key-value service has forgotten what changed
// since a revision.
type HistoryGoneError struct {
	Since Revision
}

// Error names the remedy.
func (err *HistoryGoneError) Error() string {
	return fmt.Sprintf("the changes since revision %s are forgotten; list the records anew", err.Since)
}

// LeaseGoneError says that a lease is over.
type LeaseGoneError struct{}

// Error names the remedy.
func (*LeaseGoneError) Error() string {
	return "the lease is over; get a new one and write its records again"
}
