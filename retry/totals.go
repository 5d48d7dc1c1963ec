package retry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
)

// Reason is why a request is sent to a further server.
type Reason string

// The reasons for retries.
const (
	Refused   Reason = "refused"   // the server of the last attempt did not run the request
	Failed    Reason = "failed"    // that server answered with an error status
	Broken    Reason = "broken"    // its answer broke off, never came or is not its own
	Unreached Reason = "unreached" // no connection to that server was opened, but an earlier attempt had reached one
	Silent    Reason = "silent"    // a stream's server has stalled
)

// Path is how a retry reaches its server.
type Path string

// The paths of retries.
const (
	Direct Path = "direct" // over a connection of this process
	Relay  Path = "relay"  // over a connection through another node
	Hedge  Path = "hedge"  // beside an attempt that still runs, over either kind of connection
	Resume Path = "resume" // to go on with a stream after its last event, over either kind of connection
)

// Kind is a reason and a path of retries.
type Kind struct {
	Reason Reason
	Path   Path
}

// Totals are the retries of a service since the process started.
type Totals struct {
	Allowed   int64
	Denied    int64
	Refunded  int64          // allowed, but nothing was sent
	Sent      map[Kind]int64 // allowed, and written to a connection to a server: those that the service may have seen
	Share     float64        // retries per window that the process's share allowed when one was last asked for
	Processes int            // among which FixedRetries was divided then
}

// ServiceTotals are the retries of one service.
type ServiceTotals struct {
	Service  shedkeel.ServiceID
	Requests int // in the window
	Retries  int // in the window
	Totals
}

// Totals returns the retries of all services for which one was asked for, ordered by service.
func (budget *Budget) Totals(now time.Duration) []ServiceTotals {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	var found []ServiceTotals
	for service := range budget.services {
		usage := budget.usage(service, now)
		if usage.totals.Allowed+usage.totals.Denied == 0 {
			continue
		}
		counted := ServiceTotals{Service: service, Totals: usage.totals}
		counted.Sent = maps.Clone(counted.Sent)
		for age := range int64(windowSlots) {
			counted.Requests += usage.requests[usage.index(age)]
			counted.Retries += usage.retries[usage.index(age)]
		}
		found = append(found, counted)
	}
	slices.SortFunc(found, func(a, b ServiceTotals) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return found
}
