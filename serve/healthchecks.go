package serve

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
)

const (
	// healthTimeout is the silence after which a second check is sent, over another connection: that of the first may be
	// dead. A full server may take as long to answer, so that the first stays and there are two at most.
	healthTimeout = engine.DeadConnTime
	// firstCheckMargin is for how long the first check may answer after the second one.
	firstCheckMargin = 100 * time.Millisecond
)

// healthChecks shares checks: answers of one server that end while a check is under way wait for
// one common check after it. The zero value is ready for use. It is safe for concurrent use.
type healthChecks struct {
	mutex   sync.Mutex
	servers map[checkTarget]*serverHealth // those without a check under way are missing
}

// checkTarget is a server and what it is asked for.
type checkTarget struct {
	address string
	path    string // of the health check; "": the load report of a model engine
	shared  bool   // over a connection of those that carry requests
}

// String returns what is asked for, for logs.
func (target checkTarget) String() string {
	switch {
	case target.path == "":
		return "a load report"
	case target.shared:
		return "a health check over a request's connection"
	}
	return "a health check"
}

// serverHealth holds the checks of one target. The mutex of healthChecks guards it.
type serverHealth struct {
	handler *Handler
	target  checkTarget
	next    *sharedCheck // to be sent after the one under way; nil: none
}

// sharedCheck is a check for which one or more requests wait.
type sharedCheck struct {
	context context.Context //nolint:containedctx // its scope is the check; it ends when nobody waits any more
	cancel  context.CancelFunc
	waiting int           // requests; the mutex of healthChecks guards it
	done    chan struct{} // closed once result is set
	result  healthResult
}

// healthResult is the result of a check.
type healthResult struct {
	asked  checkTarget
	health shedkeel.Health
	err    error
	sentAt time.Duration
}

// errNoHealthCheck is the error of a check that cannot be sent.
var errNoHealthCheck = errors.New("no health check is configured")

// errNothingListens is the error of a check of an address that refuses connections.
var errNothingListens = errors.New("connections are refused")

// String says what came, for logs.
func (result healthResult) String() string {
	if result.err != nil {
		return result.err.Error()
	}
	name, born, connected, rejected := "no name", "no start", "a new connection", ""
	if result.health.Server != "" {
		name = string(result.health.Server)
	}
	if result.health.Born != 0 {
		born = "start " + strconv.FormatInt(result.health.Born, 10)
	}
	if !result.health.ConnectedAt.IsZero() {
		connected = "a connection of " + result.health.ConnectedAt.Format("15:04:05.000000")
	}
	if result.health.Rejected {
		rejected = "a rejection, "
	}
	return rejected + name + ", " + born + ", over " + connected
}

// mayChange reports whether a later check may show more: the server gave no answer, or rejected the check.
func (result healthResult) mayChange() bool {
	if result.err != nil {
		return !errors.Is(result.err, errNoHealthCheck)
	}
	return result.health.Rejected
}

// check returns the result of a check that is sent after the call. The error is that of ctx if
// it ends first, and errPending if stop is closed first.
func (checks *healthChecks) check(ctx context.Context, handler *Handler, target checkTarget, stop <-chan struct{}) healthResult {
	shared := checks.join(handler, target)
	defer checks.leave(shared)
	select {
	case <-shared.done:
		return shared.result
	case <-stop:
		return healthResult{asked: target, err: errPending}
	case <-ctx.Done():
		return healthResult{asked: target, err: ctx.Err()}
	}
}

// newSharedCheck returns a check for which one request waits.
func newSharedCheck() *sharedCheck {
	shared := &sharedCheck{waiting: 1, done: make(chan struct{})}
	shared.context, shared.cancel = context.WithCancel(context.Background())
	return shared
}

// join returns the next check of the target, and starts it if none is under way.
func (checks *healthChecks) join(handler *Handler, target checkTarget) *sharedCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	server := checks.servers[target]
	if server == nil {
		server = &serverHealth{handler: handler, target: target}
		if checks.servers == nil {
			checks.servers = map[checkTarget]*serverHealth{}
		}
		checks.servers[target] = server
		first := newSharedCheck()
		go checks.loop(server, first)
		return first
	}
	if server.next == nil {
		server.next = newSharedCheck()
		return server.next
	}
	server.next.waiting++
	return server.next
}

// leave records that a request waits no more for the check, and gives the check up if it was the last one.
func (checks *healthChecks) leave(shared *sharedCheck) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	if shared.waiting--; shared.waiting == 0 {
		shared.cancel()
	}
}

// loop sends the checks of one target, one after the other, until nobody waits.
func (checks *healthChecks) loop(server *serverHealth, check *sharedCheck) {
	for check != nil {
		check.result = server.send(check.context)
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
		delete(checks.servers, server.target)
	}
	return next
}

// send sends one check, and waits for its answer until ctx ends or the address refuses connections. While none comes it sends
// another one every healthTimeout, in place of the last such one. The answer of the first counts for more, as its
// connection may be older than the request.
func (server *serverHealth) send(ctx context.Context) healthResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, second := make(chan healthResult, 1), make(chan healthResult)
	go func() { first <- server.sendOne(ctx) }()
	ticker := time.NewTicker(healthTimeout)
	defer ticker.Stop()
	cancelSecond := func() {}
	defer func() { cancelSecond() }()
	for {
		select {
		case result := <-first:
			return result
		case result := <-second:
			if result.err == nil {
				return server.preferFirst(first, result)
			}
			if server.handler.ServerCheck != nil && server.handler.serverEnded(server.target.address) {
				return healthResult{asked: server.target, err: errNothingListens}
			}
		case <-ticker.C:
			cancelSecond()
			cancelSecond = server.startSecond(ctx, second)
		}
	}
}

// startSecond starts runSecond, and returns a function that ends it.
func (server *serverHealth) startSecond(ctx context.Context, results chan<- healthResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go server.runSecond(ctx, results)
	return cancel
}

// runSecond sends a check and delivers its result unless ctx ends first.
func (server *serverHealth) runSecond(ctx context.Context, results chan<- healthResult) {
	result := server.sendOne(engine.WithFreshConnection(ctx))
	select {
	case results <- result:
	case <-ctx.Done():
	}
}

// preferFirst returns the result of the first check if it comes soon after that of the second, which is given.
func (server *serverHealth) preferFirst(first <-chan healthResult, second healthResult) healthResult {
	soon := time.NewTimer(firstCheckMargin)
	defer soon.Stop()
	select {
	case result := <-first:
		if result.err == nil {
			return result
		}
	case <-soon.C:
	}
	return second
}

// sendOne sends one check over one connection.
func (server *serverHealth) sendOne(ctx context.Context) healthResult {
	result := healthResult{asked: server.target, sentAt: server.handler.Timers.Now()}
	health, target := server.handler.Health, server.target
	switch {
	case target.path == "":
		result.health, result.err = health.Report(ctx, target.address)
	case target.shared:
		result.health, result.err = health.SharedHealth(ctx, target.address, target.path)
	default:
		result.health, result.err = health.Health(ctx, target.address, target.path)
	}
	return result
}
