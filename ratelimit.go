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
	Err    error   // the stated limit cannot be parsed; it is ignored
}

// ServerLimit is the known rate limit of a backend server. Times are durations on the
// clock of Timers.
type ServerLimit struct {
	Server InstanceID
	Rate   float64       // requests per second from all processes together
	Lifted bool          // the server no longer states a limit
	AsOf   time.Duration // time at which Rate and Lifted applied; of two ServerLimits, the later one counts
	Since  time.Duration // time of the first limit that the server stated since it last stated none
}

// ColdServer is a backend server that has started recently and accepts fewer
// requests until it is warm. Until is a time on the clock of Timers.
type ColdServer struct {
	Server InstanceID
	Rate   float64       // requests per second from all processes together
	Until  time.Duration // time from which the server is warm
}

// Permit is the reply to a request for permission to send one request to a backend
// server that limits its rate.
type Permit struct {
	Granted bool
	// Wait is how long to wait: before the request is sent if the permit is
	// granted, otherwise before a permit is requested again.
	Wait time.Duration
}

// ServerLimits records the rate limits of backend servers and enforces them over
// all processes.
type ServerLimits interface {
	// Observe records the limit that an answer of the server states. sent is the
	// time at which the request was sent.
	Observe(server InstanceID, limit StatedLimit, sent time.Duration)
	// Acquire requests a permit to send one request. patience is how long the
	// request can wait.
	Acquire(ctx context.Context, server InstanceID, patience time.Duration) Permit
}
