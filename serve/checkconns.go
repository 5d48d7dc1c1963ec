package serve

import (
	"context"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
)

const (
	// connectTimeout is how long an attempt waits for its check connection. A dial takes milliseconds within a region.
	connectTimeout = 50 * time.Millisecond
	// framingRetention is for how long a service counts as one with close-delimited answers after the last one.
	framingRetention = 10 * time.Minute
	// framingSample is how many answers without a close-delimited one show that a service has none, as far as one can tell.
	framingSample = 8
	// checkConnShare is the largest part of a server's connections that idle check connections of all processes may take.
	checkConnShare = 0.25
)

// framings records which services send close-delimited answers. The zero value is ready for use. It is safe for
// concurrent use.
type framings struct {
	mutex    sync.Mutex
	services map[shedkeel.ServiceID]*framing
}

// framing is what the answers of a service have shown.
type framing struct {
	answers          int           // counted up to framingSample
	closeDelimitedAt time.Duration // when the latest close-delimited answer began; 0: there was none
}

// record records an answer of the service.
func (framings *framings) record(service shedkeel.ServiceID, closeDelimited bool, now time.Duration) {
	framings.mutex.Lock()
	defer framings.mutex.Unlock()
	if framings.services == nil {
		framings.services = map[shedkeel.ServiceID]*framing{}
	}
	known := framings.services[service]
	if known == nil {
		known = &framing{}
		framings.services[service] = known
	}
	known.answers = min(known.answers+1, framingSample)
	if closeDelimited {
		known.closeDelimitedAt = now
	}
}

// expected reports whether an answer of the service may be close-delimited: one was lately, or there were too few to tell.
func (framings *framings) expected(service shedkeel.ServiceID, now time.Duration) bool {
	framings.mutex.Lock()
	defer framings.mutex.Unlock()
	known := framings.services[service]
	return known == nil || known.answers < framingSample || known.closeDelimitedAt != 0 && now-known.closeDelimitedAt < framingRetention
}

// checkConns counts the attempts that need a check connection that is older than they are. The zero value is ready for
// use. It is safe for concurrent use.
type checkConns struct {
	mutex    sync.Mutex
	attempts map[string]int // by address; addresses without any are missing
}

// add counts an attempt at the address.
func (conns *checkConns) add(address string) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	if conns.attempts == nil {
		conns.attempts = map[string]int{}
	}
	conns.attempts[address]++
}

// done ends an attempt at the address, and reports whether it was the last one.
func (conns *checkConns) done(address string) bool {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	conns.attempts[address]--
	if conns.attempts[address] > 0 {
		return false
	}
	delete(conns.attempts, address)
	return true
}

// holdCheckConn opens a check connection to the chosen server before the request is sent, if the answer may be close-delimited:
// a check over it shows afterwards whether the process is the same. The caller must call release when the attempt has ended.
func (exchange *exchange) holdCheckConn(ctx context.Context, choice *dispatch.Choice) (release func()) {
	handler := exchange.handler
	if handler.Health == nil || !handler.framings.expected(exchange.service, handler.Timers.Now()) {
		return func() {}
	}
	address := choice.Address
	handler.checkConns.add(address)
	connecting, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	handler.Health.Connect(connecting, address)
	return func() {
		if handler.checkConns.done(address) && !exchange.mayKeepCheckConn() {
			handler.Health.Disconnect(address)
		}
	}
}

// mayKeepCheckConn reports whether a check connection may stay open while no attempt needs it.
func (exchange *exchange) mayKeepCheckConn() bool {
	handler := exchange.handler
	service := exchange.view.Service(exchange.service)
	if service == nil || !handler.framings.expected(exchange.service, handler.Timers.Now()) {
		return false
	}
	return service.MaxConnections <= 0 || float64(handler.ServingNodes()) <= checkConnShare*float64(service.MaxConnections)
}
