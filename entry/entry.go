// Package entry is the request-serving process of an entry box. It authenticates
// client accounts and forwards each request to a backend server. Each response states
// its outcome: the complete answer, that the request did not run, that it is unknown
// whether it ran, or that the entry refused it as invalid. A stream that cannot be
// completed is cut off by aborting the connection.
//
// A caller is a program that sends requests with the key of a client account. A call
// is one request of a caller; each sending of a call to a server is a try. An attempt
// is what an attempt ID names: all tries of one call if it has an idempotency key, and
// otherwise a single try.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/admit"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/intake"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/route"
	"shedkeel.org/shedkeel/wire"
)

// Entry is the request-serving process of an entry box. Set its exported fields
// before calling Run.
type Entry struct {
	Settings     config.Settings
	Incarnation  string // different for each start of the process
	Backend      shedkeel.Backend
	Timers       shedkeel.Timers
	Random       shedkeel.Random
	Log          *event.Log
	Metrics      *metrics.Metrics
	NewAttemptID func() string // returns an ID for an attempt or a request, unique in the fleet
	Keeper       *wire.Peer    // connection to the keeper on this box; set by Run if nil

	snapshot    atomic.Pointer[snapshot]
	router      route.Router
	limiter     admit.Limiter
	gate        admit.Gate
	retryBudget admit.RetryBudget
	attempts    attempts
	inFlight    inFlightCalls
	history     history
	answers     *quota.Room // for answers of servers that are read whole; nil until Run: not bounded

	stopping          atomic.Bool
	lastAdvertised    atomic.Int64 // Timers time, in nanoseconds, of the last /v1/entries answer that listed this entry
	activeCalls       atomic.Int64 // HTTP requests of callers in flight
	mutex             sync.Mutex   // guards table and keeperUnreachable
	table             member.Table
	keeperUnreachable bool
	background        sync.WaitGroup
}

// snapshot is the state that the entry uses to serve requests. A snapshot never
// changes; rebuildSnapshot replaces it by a new one.
type snapshot struct {
	config     shedkeel.Config
	configured bool                         // whether a configuration is in force
	accounts   map[string]*shedkeel.Account // by KeyHash
	weights    map[shedkeel.AccountID]int
	nodes      []shedkeel.Node
	lastSync   time.Duration // when the last sync call that a settled keeper answered was sent; negative: never
	permits    []member.Permit
}

// Listeners are the sockets on which an entry accepts connections.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
}

// Run serves until ctx is canceled, then shuts down: the entry is no longer listed in
// /v1/entries answers, keeps serving until callers have dropped its address, and waits
// for the requests in flight. Run returns an error if it cannot start, if the server
// for callers fails, or if requests are still in flight after the drain time.
func (entry *Entry) Run(ctx context.Context, listeners Listeners) error {
	if err := entry.initialize(); err != nil {
		return err
	}
	callersTLS, err := entry.Settings.TLS.ServerConfig()
	if err != nil {
		return err
	}
	gate := intake.New(entry.Settings.Limits.Box())
	gate.Timers, gate.Log = entry.Timers, entry.Log
	entry.answers = &quota.Room{Limit: gate.Ledger.Plan.UnreadAnswers}
	if entry.Metrics != nil {
		gate.Scope = entry.Metrics.Scope
	}
	callers := gate.Server(entry.callerHandler(), intake.Requests)
	admin := gate.Server(entry.adminHandler(), intake.Queries)
	callersListener := gate.Listen(intake.TLSListener(listeners.Callers, callersTLS), quota.Callers)
	adminListener := gate.Listen(listeners.Admin, quota.Operators)
	failed := make(chan error, 1)
	entry.background.Go(func() { entry.serve(callers, callersListener, failed) })
	entry.background.Go(func() { _ = admin.Serve(adminListener) })
	defer gate.Run()()
	cancel := entry.Timers.Subscribe(time.Duration(entry.Settings.Timing.Sync), entry.sync)
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = entry.shutDown(callers)
	}
	cancel()
	_ = callers.Close()
	_ = admin.Close()
	entry.Keeper.Close()
	entry.background.Wait()
	return err
}

const (
	bodyTimeout  = 30 * time.Second // maximum time for a caller to send its request body
	writeTimeout = 30 * time.Second // maximum time for a caller to receive an answer or one event of a stream
)

// initialize sets up the unexported fields, and the keeper connection if there
// is none.
func (entry *Entry) initialize() error {
	entry.snapshot.Store(&snapshot{lastSync: -1})
	entry.router.Random = entry.Random
	entry.attempts.now = entry.Timers.Now
	if entry.Keeper != nil {
		return nil
	}
	clientTLS, err := entry.Settings.Wire.TLS.ClientConfig()
	if err != nil {
		return err
	}
	entry.Keeper = &wire.Peer{Address: entry.Settings.Wire.Listen, Key: entry.Settings.Wire.Key, TLS: clientTLS, Handler: entry}
	return nil
}

// serve runs the HTTP server for callers and sends its error to failed, unless
// the server was closed.
func (entry *Entry) serve(server *http.Server, listener net.Listener, failed chan<- error) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// shutDown stops accepting requests once no caller may still use this entry's address,
// and then waits for the requests in flight. It returns an error if some are still in
// flight after the drain time.
func (entry *Entry) shutDown(callers *http.Server) error {
	entry.Log.Write(event.Stopping)
	entry.stopping.Store(true)
	entry.waitAddressExpiry()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(entry.Settings.Entry.DrainTime))
	defer cancel()
	return callers.Shutdown(ctx)
}

// waitAddressExpiry waits until no caller may still use a cached /v1/entries answer
// that lists this entry. The entry serves requests meanwhile.
func (entry *Entry) waitAddressExpiry() {
	started := entry.Timers.Now()
	expired := make(chan struct{})
	var once sync.Once
	cancel := entry.Timers.Subscribe(time.Duration(entry.Settings.Timing.Sync), func(now time.Duration) {
		if now >= entry.addressExpiry(started) {
			once.Do(func() { close(expired) })
		}
	})
	<-expired
	cancel()
}

// addressExpiry returns when the last /v1/entries answer that lists this entry expires, if
// the entry began to stop at the time started. Callers may cache an answer for the
// DirectoryTTL setting.
func (entry *Entry) addressExpiry(started time.Duration) time.Duration {
	// Other entries list this one for at most this long: a keeper without new heartbeats of this
	// node counts it as dead after DefaultLiveTime, and an entry whose last sync is older than
	// the permit time answers no /v1/entries requests.
	propagation := time.Duration(entry.Settings.Timing.Permit) + member.DefaultLiveTime
	return max(started+propagation, time.Duration(entry.lastAdvertised.Load())) + time.Duration(entry.Settings.Entry.DirectoryTTL)
}
