package shedkeel

import (
	"context"
	"time"
)

// StatedLimit is what one answer of a backend server says of how many requests a
// second it takes from all processes together. The zero value says that it takes
// any number.
type StatedLimit struct {
	Stated bool
	Rate   float64 // requests a second; 0: none at all
	Err    error   // it states something else than a rate; then nothing is stated
}

// ServerLimit is what is known of a backend server's rate limit.
type ServerLimit struct {
	Server InstanceID
	Rate   float64       // requests a second from all processes together
	Lifted bool          // the server states no limit any more
	At     time.Duration // when that was true
	Since  time.Duration // from when on the server has stated a limit
}

// ColdServer is a backend server that has started lately and takes fewer requests until
// it is warm.
type ColdServer struct {
	Server InstanceID
	Rate   float64       // requests a second from all processes together
	Until  time.Duration // it is warm from then on
}

// Permit is the answer to the question whether a request may be sent to a backend
// server that limits its rate.
type Permit struct {
	Granted bool
	// Wait is after what time a granted request is to be sent, or after what time
	// it is worth asking again.
	Wait time.Duration
}

// ServerLimits knows the rate limits of backend servers and shares them among
// all processes.
type ServerLimits interface {
	// Observe takes in what an answer of the server says. The request was sent at
	// that time.
	Observe(server InstanceID, limit StatedLimit, sent time.Duration)
	// Acquire asks for a permit to send one request. The request can wait so long.
	Acquire(ctx context.Context, server InstanceID, patience time.Duration) Permit
}
