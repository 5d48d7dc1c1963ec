package serve

import (
	"errors"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/retry"
)

// attempt is one sending of a request to the chosen server.
type attempt struct {
	*dispatch.Choice
	retry       retry.Reason // why the request is sent again; "": this is its first attempt
	charge      retry.Charge // of a retry
	resumeAfter string       // ID of the event after which the server resumes a stream; "": it starts at the beginning
	connected   bool         // the attempt has got a connection
	sentAt      time.Time    // before anything of it was sent
	connectedAt time.Time    // when its connection was opened; zero: not known
}

// path returns the path of the attempt, given whether its connection goes through another node.
func (attempt *attempt) path(relayed bool) retry.Path {
	switch {
	case attempt.retry == retry.Silent:
		return retry.Hedge
	case attempt.resumeAfter != "":
		return retry.Resume
	case relayed:
		return retry.Relay
	}
	return retry.Direct
}

// recordConn records that the attempt has got a connection, which may go through another node.
func (exchange *exchange) recordConn(attempt *attempt, relayed bool) {
	attempt.SetDialing(false)
	if relayed {
		attempt.SetRelayed()
	}
	if attempt.retry != "" && !attempt.connected {
		kind := retry.Kind{Reason: attempt.retry, Path: attempt.path(relayed)}
		attempt.charge = exchange.handler.Budget.Sent(attempt.charge, kind, exchange.handler.Timers.Now())
	}
	attempt.connected = true
}

// uncountUnsent removes a failed attempt from exchange.attempts, and takes back its charge, if the
// error shows that it reached no server.
func (exchange *exchange) uncountUnsent(attempt *attempt, err error) {
	var notRun *shedkeel.NotRunError
	if !errors.As(err, &notRun) || notRun.ReachedServer {
		return
	}
	exchange.attempts--
	if attempt.retry != "" {
		exchange.handler.Budget.Refund(attempt.charge, exchange.handler.Timers.Now())
	}
}

// retryReasonOf returns the reason for a retry after an attempt that failed with the error.
func retryReasonOf(err error) retry.Reason {
	var notRun *shedkeel.NotRunError
	var status *statusError
	switch {
	case errors.As(err, &notRun) && notRun.ReachedServer:
		return retry.Refused
	case notRun != nil:
		return retry.Unreached
	case errors.Is(err, errServerFailed), errors.As(err, &status):
		return retry.Failed
	}
	return retry.Broken
}
