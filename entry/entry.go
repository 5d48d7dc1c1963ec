// Package entry is the process of an entry box that callers speak to. It knows
// their accounts, chooses a backend server for each request, and tells each
// caller one of three things: the whole answer, that the request did not run,
// or that its outcome is unknown.
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
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/metrics"
	"shedkeel.org/shedkeel/route"
	"shedkeel.org/shedkeel/wire"
)

// Entry is the process of an entry box that callers speak to. Its exported
// fields are set before Run.
type Entry struct {
	Settings    config.Settings
	Incarnation string // differs after every start
	Backend     shedkeel.Backend
	Timers      shedkeel.Timers
	Random      shedkeel.Random
	Log         *event.Log
	Metrics     *metrics.Metrics
	NewAttempt  func() string // a name for a try, unique in the fleet
	Keeper      *wire.Peer    // set by Run if nil

	view     atomic.Pointer[view]
	router   route.Router
	limiter  admit.Limiter
	gate     admit.Gate
	budget   admit.Budget
	attempts attempts
	flights  flights
	history  history

	stopping   atomic.Bool
	lastNamed  atomic.Int64 // when this entry was last named in a which-entry-box answer
	calls      atomic.Int64
	mutex      sync.Mutex // guards table
	table      member.Table
	keeperAway bool
	running    sync.WaitGroup
}

// view is what requests are decided on. It is replaced as a whole.
type view struct {
	config   shedkeel.Config
	known    bool // a configuration is in force
	accounts map[string]*shedkeel.Account
	weights  map[shedkeel.AccountID]int
	nodes    []shedkeel.Node
	synced   time.Duration // when the keeper last answered
	permits  []member.Permit
}

// Listeners are the sockets that an entry serves.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
}

// Run serves until the context ends, then stops as planned: it takes itself
// out of the which-entry-box answers, serves on until callers have forgotten
// it, and finishes what is in flight.
func (entry *Entry) Run(ctx context.Context, listeners Listeners) error {
	if err := entry.begin(); err != nil {
		return err
	}
	callersTLS, err := entry.Settings.TLS.Server()
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: entry.callerHandler(), TLSConfig: callersTLS,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	admin := &http.Server{Handler: entry.adminHandler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	entry.running.Go(func() { entry.serve(callers, listeners.Callers, failed) })
	entry.running.Go(func() { _ = admin.Serve(listeners.Admin) })
	cancel := entry.Timers.Subscribe(time.Duration(entry.Settings.Timing.Sync), entry.sync)
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = entry.stop(callers)
	}
	cancel()
	_ = callers.Close()
	_ = admin.Close()
	entry.Keeper.Close()
	entry.running.Wait()
	return err
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
	bodyTimeout   = 30 * time.Second // for a caller to send its request
	writeTimeout  = 30 * time.Second // for a caller to take an answer or an event
)

func (entry *Entry) begin() error {
	entry.view.Store(&view{synced: -1})
	entry.router.Random = entry.Random
	entry.attempts.now = entry.Timers.Now
	if entry.Keeper != nil {
		return nil
	}
	clientTLS, err := entry.Settings.Wire.TLS.Client()
	if err != nil {
		return err
	}
	entry.Keeper = &wire.Peer{Address: entry.Settings.Wire.Listen, Key: entry.Settings.Wire.Key, TLS: clientTLS, Handler: entry}
	return nil
}

func (entry *Entry) serve(server *http.Server, listener net.Listener, failed chan<- error) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// stop is the planned stop.
func (entry *Entry) stop(callers *http.Server) error {
	entry.Log.Write(event.Stopping)
	entry.stopping.Store(true)
	entry.waitForgotten()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(entry.Settings.Entry.DrainTime))
	defer cancel()
	return callers.Shutdown(ctx)
}

// waitForgotten waits until no caller may hold this entry's address any more:
// until other entries have learned that it stops, and the last answer that
// named it has run out. Callers are served meanwhile.
func (entry *Entry) waitForgotten() {
	begun := entry.Timers.Now()
	forgotten := make(chan struct{})
	var once sync.Once
	cancel := entry.Timers.Subscribe(time.Duration(entry.Settings.Timing.Sync), func(now time.Duration) {
		if now >= entry.forgottenAt(begun) {
			once.Do(func() { close(forgotten) })
		}
	})
	<-forgotten
	cancel()
}

// forgottenAt is when the last answer that named this entry has run out. An
// entry that has not heard from its keeper within the permit time gives no
// such answers, so that bounds how long others may still name this one.
func (entry *Entry) forgottenAt(begun time.Duration) time.Duration {
	spread := time.Duration(entry.Settings.Timing.Permit) + member.DefaultLiveTime
	return max(begun+spread, time.Duration(entry.lastNamed.Load())) + time.Duration(entry.Settings.Entry.KeepFor)
}
