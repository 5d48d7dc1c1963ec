package serve

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
)

// RetryReason is why a request is sent to a further server.
type RetryReason string

// The reasons for retries.
const (
	RetryRefused   RetryReason = "refused"   // the server of the last attempt did not run the request
	RetryFailed    RetryReason = "failed"    // that server answered with an error status
	RetryBroken    RetryReason = "broken"    // its answer broke off, never came or is not its own
	RetryUnreached RetryReason = "unreached" // no connection to that server was opened, but an earlier attempt had reached one
	RetrySilent    RetryReason = "silent"    // a stream's server has stalled
)

// RetryPath is how a retry reaches its server.
type RetryPath string

// The paths of retries.
const (
	PathDirect RetryPath = "direct" // over a connection of this process
	PathRelay  RetryPath = "relay"  // over a connection through another node
	PathHedge  RetryPath = "hedge"  // beside an attempt that still runs, over either kind of connection
	PathResume RetryPath = "resume" // to go on with a stream after its last event, over either kind of connection
)

// RetryKind is a reason and a path of retries.
type RetryKind struct {
	Reason RetryReason
	Path   RetryPath
}

// RetryTotals are the retries of a service since the process started.
type RetryTotals struct {
	Allowed  int64
	Denied   int64
	Refunded int64               // allowed, but no server was found for them
	Sent     map[RetryKind]int64 // allowed, and written to a connection to a server: those that the service may have seen
	Share    float64             // this process's share of FixedRetries when a retry was last asked for
	Nodes    int                 // number of processes among which FixedRetries was then divided
}

// ServiceRetries are the retries of one service.
type ServiceRetries struct {
	Service  shedkeel.ServiceID
	Requests float64 // in the window
	Retries  float64 // in the window
	RetryTotals
}

// Retries returns the retries of all services for which one was asked for, ordered by service.
func (budget *Budget) Retries(now time.Duration) []ServiceRetries {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	var found []ServiceRetries
	for service := range budget.services {
		usage := budget.usage(service, now)
		if usage.totals.Allowed+usage.totals.Denied == 0 {
			continue
		}
		totals := usage.totals
		totals.Sent = maps.Clone(totals.Sent)
		found = append(found, ServiceRetries{Service: service, Requests: sum(usage.requests), Retries: sum(usage.retries), RetryTotals: totals})
	}
	slices.SortFunc(found, func(a, b ServiceRetries) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return found
}

// recordSent counts a retry that has got a connection.
func (budget *Budget) recordSent(service shedkeel.ServiceID, kind RetryKind, now time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	usage := budget.usage(service, now)
	if usage.totals.Sent == nil {
		usage.totals.Sent = map[RetryKind]int64{}
	}
	usage.totals.Sent[kind]++
}

// attempt is one sending of a request to the chosen server.
type attempt struct {
	*dispatch.Choice
	retry       RetryReason // "": the first attempt
	resumeAfter string      // ID of the event after which the server resumes a stream; "": it starts at the beginning
	connected   bool        // recordConn was called
}

// path returns the path of the attempt, given whether its connection goes through another node.
func (attempt *attempt) path(relayed bool) RetryPath {
	switch {
	case attempt.retry == RetrySilent:
		return PathHedge
	case attempt.resumeAfter != "":
		return PathResume
	case relayed:
		return PathRelay
	}
	return PathDirect
}

// recordConn records that the attempt has got a connection, which may go through another node.
func (exchange *exchange) recordConn(attempt *attempt, relayed bool) {
	if relayed {
		attempt.SetRelayed()
	}
	if attempt.retry != "" && !attempt.connected {
		exchange.handler.Budget.recordSent(exchange.service, RetryKind{Reason: attempt.retry, Path: attempt.path(relayed)}, exchange.handler.Timers.Now())
	}
	attempt.connected = true
}

// retryReasonOf returns the reason for a retry after an attempt that failed with the error.
func retryReasonOf(err error) RetryReason {
	var notRun *shedkeel.NotRunError
	var status *statusError
	switch {
	case errors.As(err, &notRun) && notRun.ReachedServer:
		return RetryRefused
	case notRun != nil:
		return RetryUnreached
	case errors.Is(err, errServerFailed), errors.As(err, &status):
		return RetryFailed
	}
	return RetryBroken
}
