package shedkeel

import (
	"context"
	"time"
)

// StatedLimit is the rate limit that one answer of a backend server states, in
// requests per second from all processes together. The zero value means that the
// server states no limit.
type StatedLimit struct {
	Stated bool
	Rate   float64 // requests per second; 0: the server accepts none
	Err    error   // not nil: the answer states a limit that cannot be parsed; Stated is false, and the limit known before stays in force
}

// ServerLimit is the known rate limit of a backend server. Times are durations on the
// clock of Timers.
type ServerLimit struct {
	Server InstanceID
	Rate   float64       // requests per second from all processes together
	Lifted bool          // the server no longer states a limit
	AsOf   time.Duration // time at which Rate and Lifted applied; of two ServerLimits of a server, the one with the later AsOf counts
	Since  time.Duration // time from which the server has stated limits without interruption
}

// ColdServer is a backend server that accepts fewer requests until it is warm: it has
// started recently, or the evacuation of its zone has ended recently. Until is a time on
// the clock of Timers.
type ColdServer struct {
	Server InstanceID
	Rate   float64       // requests per second from all processes together
	Until  time.Duration // time from which the server is warm
}

// Permit says whether one request may be sent to a backend server that limits its rate
// or is cold.
type Permit struct {
	Granted bool
	// Wait is how long to wait: before the request is sent if the permit is
	// granted, otherwise before a permit is requested again.
	Wait time.Duration
}

// ServerLimits records the rate limits that backend servers state, and enforces them
// and the rates of cold servers over all processes.
type ServerLimits interface {
	// Observe records the limit that an answer of the server states. sent is when the
	// request was sent, or shortly before: an answer without a limit only proves that
	// the server had none at that time.
	Observe(server InstanceID, limit StatedLimit, sent time.Duration)
	// Acquire requests a permit to send one request. The permit is granted at once if
	// the server neither limits its rate nor is cold. Otherwise it is granted only if
	// its Wait is at most maxWait, which is how long the request can wait. It is
	// refused if the wait would be longer, or if no process can decide now.
	Acquire(ctx context.Context, server InstanceID, maxWait time.Duration) Permit
}
