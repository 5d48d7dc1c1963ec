package serve

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// healthTimeout bounds a health check. It leaves time for one retransmission, and for a slot of a
// server whose slots are all in use.
const healthTimeout = 400 * time.Millisecond

// healthChecks shares health checks: answers of one server that end while a check is under way wait for
// one common check after it. The zero value is ready for use. It is safe for concurrent use.
type healthChecks struct {
	mutex   sync.Mutex
	servers map[string]*serverHealth // by address; those without a check under way are missing
}

// serverHealth holds the checks of one server. The mutex of healthChecks guards it.
type serverHealth struct {
	handler *Handler
	address string
	path    string
	next    *sharedCheck // to be sent after the one under way; nil: none
}

// sharedCheck is a health check for which one or more requests wait.
type sharedCheck struct {
	done   chan struct{} // closed once result is set
	result healthResult
}

// healthResult is the result of a health check.
type healthResult struct {
	health shedkeel.Health
	err    error
	sentAt time.Duration
}

// String says what came, for logs.
func (result healthResult) String() string {
	if result.err != nil {
		return result.err.Error()
	}
	name, born, age := "no name", "no start", "a new connection"
	if result.health.Server != "" {
		name = string(result.health.Server)
	}
	if result.health.Born != 0 {
		born = "start " + strconv.FormatInt(result.health.Born, 10)
	}
	if result.health.ConnectionAge > 0 {
		age = "a connection of age " + result.health.ConnectionAge.String()
	}
	return name + ", " + born + ", over " + age
}

// unanswered reports whether the check was sent and got no answer.
func (result healthResult) unanswered() bool {
	return result.err != nil && !errors.Is(result.err, errNoHealthCheck)
}

// check returns the result of a health check that is sent after the call. The error is that of ctx if
// it ends first.
func (checks *healthChecks) check(ctx context.Context, handler *Handler, address, path string) healthResult {
	shared := checks.join(handler, address, path)
	select {
	case <-shared.done:
		return shared.result
	case <-ctx.Done():
		return healthResult{err: ctx.Err()}
	}
}

// join returns the next check of the server, and starts it if none is under way.
func (checks *healthChecks) join(handler *Handler, address, path string) *sharedCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	server := checks.servers[address]
	if server == nil {
		server = &serverHealth{handler: handler, address: address, path: path}
		if checks.servers == nil {
			checks.servers = map[string]*serverHealth{}
		}
		checks.servers[address] = server
		first := &sharedCheck{done: make(chan struct{})}
		go checks.loop(server, first)
		return first
	}
	if server.next == nil {
		server.next = &sharedCheck{done: make(chan struct{})}
	}
	return server.next
}

// loop sends the checks of one server, one after the other, until nobody waits.
func (checks *healthChecks) loop(server *serverHealth, check *sharedCheck) {
	for check != nil {
		check.result = server.send()
		close(check.done)
		check = checks.takeNext(server)
	}
}

// takeNext returns the check to send next, or nil if nobody waits.
func (checks *healthChecks) takeNext(server *serverHealth) *sharedCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	next := server.next
	server.next = nil
	if next == nil {
		delete(checks.servers, server.address)
	}
	return next
}

// send sends one health check.
func (server *serverHealth) send() healthResult {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	result := healthResult{sentAt: server.handler.Timers.Now()}
	result.health, result.err = server.handler.Health.Health(ctx, server.address, server.path)
	return result
}
