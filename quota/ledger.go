package quota

import (
	"container/list"
	"sync"
	"time"
)

// phase is what a connection of a client is doing.
type phase int

const (
	arrived       phase = iota // nothing was sent over the connection
	resting                    // requests were answered, and nothing of another one has arrived
	receivingHead              // a head, or the first call of a process of the fleet, has arrived in part
	receivingBody              // a body has arrived in part
	serving                    // a request has arrived, and is answered
	refused                    // the client has lost what it held; its connection is about to end
	trusted                    // a process of the fleet, which the ledger doesn't bound
	gone
)

// Limit is a bound that a client has met.
type Limit string

// The limits.
const (
	LimitConnections Limit = "connections"  // of a listener
	LimitRequests    Limit = "requests"     // Plan.Requests
	LimitHead        Limit = "head_bytes"   // of one head
	LimitHeadTime    Limit = "head_time"    // from the first byte of a head to its end
	LimitBodyTime    Limit = "body_time"    // of one body
	LimitRest        Limit = "idle_time"    // of a connection without a request
	LimitTrust       Limit = "unauthorized" // time and bytes before the first call with the fleet's key
)

// Interrupter ends what a connection of a client does.
type Interrupter interface {
	// Interrupt is called when the client loses its place. A resting connection is closed. One that is
	// receiving a request is refused with a status that says that the request has not run.
	Interrupt(resting bool)
}

// Client is one connection. Its exported fields must be set before Connect.
type Client struct {
	Listener Listener
	Address  string // of the client, without its port
	Owner    Interrupter

	// Guarded by the ledger's mutex.
	phase    phase
	since    time.Duration // when the phase began
	markedAt time.Duration // when the last progressBytes had arrived
	marked   int64         // bytes that arrived since
	held     int64         // of Plan.Requests
	element  *list.Element // in the list of resting or receiving clients of the listener
}

// place is a listener's clients.
type place struct {
	count     int
	arrived   list.List // of *Client that have sent nothing, longest first
	resting   list.List // of *Client that rest or are refused, longest first
	receiving list.List // of *Client, longest without progress first
}

// Ledger records what the clients of a process hold, and decides who is refused or loses its place.
// Set Plan before use. Its methods are safe for concurrent use. Times are on one monotonic clock.
type Ledger struct {
	Plan Plan

	mutex     sync.Mutex
	held      int64
	places    map[string]*place // by name of the listener
	addresses map[string]int64  // what the clients of an address hold of Plan.Requests
	records   records
}

// MayLinger reports whether so many refused connections of the listener may stay open for a little while, beside those that it
// admits.
func (ledger *Ledger) MayLinger(listener Listener, count int64) bool {
	return count <= int64(float64(ledger.Plan.connections(listener))*lingeringPart)
}

// Connect admits a new connection to its listener, or returns false. If the listener is full, the connection that has rested
// the longest loses its place, one over which nothing was sent for a while, or a request that has stalled.
func (ledger *Ledger) Connect(client *Client, now time.Duration) bool {
	ledger.mutex.Lock()
	place := ledger.place(client.Listener)
	var victim *Client
	if place.count >= ledger.Plan.connections(client.Listener) {
		if victim = place.connectionVictim(now); victim == nil {
			ledger.records.add(client, LimitConnections, true)
			ledger.mutex.Unlock()
			return false
		}
		ledger.records.add(victim, LimitConnections, false)
	}
	wasResting := victim != nil && victim.phase != receivingHead && victim.phase != receivingBody
	if victim != nil {
		ledger.remove(victim)
	}
	place.count++
	ledger.enter(client, arrived, now)
	ledger.mutex.Unlock()
	if victim != nil {
		victim.Owner.Interrupt(wasResting)
	}
	return true
}

// connectionVictim returns the client that loses its place to a new connection, or nil.
func (place *place) connectionVictim(now time.Duration) *Client {
	if front := place.resting.Front(); front != nil {
		return front.Value.(*Client) //nolint:forcetypeassert // the list holds only clients
	}
	if silent := stalled(&place.arrived, now); silent != nil {
		return silent
	}
	return stalled(&place.receiving, now)
}

// stalled returns the client in the list that has not got on for the longest, or nil.
func stalled(clients *list.List, now time.Duration) *Client {
	front := clients.Front()
	if front == nil {
		return nil
	}
	client := front.Value.(*Client) //nolint:forcetypeassert // the list holds only clients
	if now-client.markedAt < headStallTime {
		return nil
	}
	return client
}

// hasStalled reports whether the client's request has stalled, so that others may have its room. The caller must hold the
// ledger's mutex.
func (client *Client) hasStalled(now time.Duration) bool {
	limit := stallTime
	if client.phase == receivingHead {
		limit = headStallTime
	}
	return now-client.markedAt >= limit
}

// place returns the clients of the listener. The caller must hold the mutex.
func (ledger *Ledger) place(listener Listener) *place {
	if ledger.places == nil {
		ledger.places = map[string]*place{}
		ledger.addresses = map[string]int64{}
	}
	found := ledger.places[listener.Name]
	if found == nil {
		found = &place{}
		ledger.places[listener.Name] = found
	}
	return found
}

// enter begins a phase of the client. The caller must hold the mutex.
func (ledger *Ledger) enter(client *Client, next phase, now time.Duration) {
	place := ledger.place(client.Listener)
	if client.element != nil {
		place.list(client.phase).Remove(client.element)
		client.element = nil
	}
	client.phase, client.since, client.markedAt, client.marked = next, now, now, 0
	if clients := place.list(next); clients != nil {
		client.element = clients.PushBack(client)
	}
}

// list returns the list of the clients in the phase, or nil.
func (place *place) list(phase phase) *list.List {
	switch phase {
	case arrived:
		return &place.arrived
	case resting, refused:
		return &place.resting
	case receivingHead, receivingBody:
		return &place.receiving
	}
	return nil
}

// remove takes the client out of the ledger, with what it holds. The caller must hold the mutex.
func (ledger *Ledger) remove(client *Client) {
	if client.phase == gone {
		return
	}
	ledger.hold(client, -client.held)
	if client.phase != trusted {
		ledger.place(client.Listener).count--
	}
	ledger.enter(client, gone, client.since)
}

// hold changes what the client holds. The caller must hold the mutex.
func (ledger *Ledger) hold(client *Client, size int64) {
	client.held += size
	ledger.held += size
	if held := ledger.addresses[client.Address] + size; held > 0 {
		ledger.addresses[client.Address] = held
	} else {
		delete(ledger.addresses, client.Address)
	}
}

// Disconnect removes the connection. It may be called more than once.
func (ledger *Ledger) Disconnect(client *Client) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.remove(client)
}

// Receive records that bytes of a request have arrived, and begins the request if none is under way.
func (ledger *Ledger) Receive(client *Client, bytes int, now time.Duration) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if client.phase == arrived || client.phase == resting {
		ledger.enter(client, receivingHead, now)
	}
	if client.phase != receivingHead && client.phase != receivingBody {
		return
	}
	client.marked += int64(bytes)
	if client.marked >= progressBytes {
		client.marked, client.markedAt = 0, now
		ledger.place(client.Listener).receiving.MoveToBack(client.element)
	}
}

// Reserve makes the client hold size bytes in total, and returns whether they fit. If they don't,
// clients lose their place whose requests have stalled, and then those of an address that holds
// much more, as far as that helps. A client that has lost its place gets nothing.
func (ledger *Ledger) Reserve(client *Client, size int64, now time.Duration) bool {
	var victims []*Client
	ledger.mutex.Lock()
	fits := ledger.reserve(client, size, now, &victims)
	ledger.mutex.Unlock()
	for _, victim := range victims {
		victim.Owner.Interrupt(false)
	}
	return fits
}

// reserve is Reserve without the interruptions, which it adds to victims. The caller must hold the mutex.
func (ledger *Ledger) reserve(client *Client, size int64, now time.Duration, victims *[]*Client) bool {
	if client.lost() {
		return false
	}
	limit := ledger.Plan.LargeRequests
	if size <= SmallRequest {
		limit = ledger.Plan.Requests
	}
	more := size - client.held
	for more > 0 && ledger.held+more > limit {
		victim := ledger.roomVictim(client, more, now)
		if victim == nil {
			ledger.records.add(client, LimitRequests, true)
			return false
		}
		ledger.records.add(victim, LimitRequests, true)
		ledger.release(victim, refused, now)
		*victims = append(*victims, victim)
	}
	ledger.hold(client, more)
	return true
}

// roomVictim returns the client that loses its place so that another one may hold more, or nil. The caller must
// hold the mutex.
func (ledger *Ledger) roomVictim(client *Client, more int64, now time.Duration) *Client {
	for _, place := range ledger.places {
		for element := place.receiving.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*Client) //nolint:forcetypeassert // the list holds only clients
			if now-candidate.markedAt < headStallTime {
				break
			}
			if candidate != client && candidate.held > 0 && candidate.hasStalled(now) {
				return candidate
			}
		}
	}
	heaviest, most := "", addressFactor*(ledger.addresses[client.Address]+more)
	for address, held := range ledger.addresses {
		if held > most {
			heaviest, most = address, held
		}
	}
	if heaviest == "" || heaviest == client.Address {
		return nil
	}
	return ledger.largest(heaviest)
}

// largest returns the client of the address that holds the most of those whose requests are being
// received, or nil. The caller must hold the mutex.
func (ledger *Ledger) largest(address string) *Client {
	var largest *Client
	for _, place := range ledger.places {
		for element := place.receiving.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*Client) //nolint:forcetypeassert // the list holds only clients
			if candidate.Address == address && candidate.held > 0 && (largest == nil || candidate.held > largest.held) {
				largest = candidate
			}
		}
	}
	return largest
}

// Serve records that the client's request has arrived, with the cost of its head and of the body that
// it holds. It returns false if the request doesn't fit. It is not to be served then.
func (ledger *Ledger) Serve(client *Client, cost int64, now time.Duration) bool {
	if !ledger.Reserve(client, cost+requestBytes, now) {
		return false
	}
	return ledger.begin(client, serving, now)
}

// ReceiveBody records that the client's request arrives further, so that the client may lose its place
// again. It returns false if it has lost it.
func (ledger *Ledger) ReceiveBody(client *Client, now time.Duration) bool {
	return ledger.begin(client, receivingBody, now)
}

// EndBody records that the client's request has arrived. It returns false if the client has lost its place.
func (ledger *Ledger) EndBody(client *Client, now time.Duration) bool {
	return ledger.begin(client, serving, now)
}

// Rest records that the client's request has been answered.
func (ledger *Ledger) Rest(client *Client, now time.Duration) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if client.phase != gone {
		ledger.release(client, resting, now)
	}
}

// Linger records that the client was refused and that its connection stays open for a little while, so that
// the client can read that. It returns false if another client has taken the connection's place.
func (ledger *Ledger) Linger(client *Client, now time.Duration) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if client.phase == gone {
		return false
	}
	ledger.release(client, refused, now)
	return true
}

// Trust takes a process of the fleet out of the bounds on clients.
func (ledger *Ledger) Trust(client *Client, now time.Duration) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if client.lost() || client.phase == trusted {
		return
	}
	ledger.place(client.Listener).count--
	ledger.release(client, trusted, now)
}

// release gives back what the client holds, and begins a phase. The caller must hold the mutex.
func (ledger *Ledger) release(client *Client, next phase, now time.Duration) {
	ledger.hold(client, -client.held)
	ledger.enter(client, next, now)
}

// lost reports whether the client has lost its place or what it held. The caller must hold the ledger's mutex.
func (client *Client) lost() bool { return client.phase == gone || client.phase == refused }

// begin begins a phase of the client, unless it has lost its place.
func (ledger *Ledger) begin(client *Client, next phase, now time.Duration) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if client.lost() {
		return false
	}
	if client.phase != next {
		ledger.enter(client, next, now)
	}
	return true
}

// Held returns how much of Plan.Requests the client holds.
func (ledger *Ledger) Held(client *Client) int64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return client.held
}

// Times bound how long connections of clients may stay as they are.
type Times struct {
	Rest time.Duration // without a request, or since they were opened
	Head time.Duration // from the first byte of a head, or of the first call of a process of the fleet, to its end
	// Untrusted says that the listener is for processes of the fleet, which have to show its key in these times.
	Untrusted bool
}

// Expire removes the clients of the listener that have met a bound on time, and interrupts them. Who
// reads a body bounds its time.
func (ledger *Ledger) Expire(listener Listener, times Times, now time.Duration) {
	ledger.mutex.Lock()
	place := ledger.place(listener)
	rested := append(overdue(&place.arrived, arrived, times.Rest, now), overdue(&place.resting, resting, times.Rest, now)...)
	slow := overdue(&place.receiving, receivingHead, times.Head, now)
	restLimit, headLimit := LimitRest, LimitHeadTime
	if times.Untrusted {
		restLimit, headLimit = LimitTrust, LimitTrust
	}
	for _, client := range rested {
		ledger.records.add(client, restLimit, false)
		ledger.remove(client)
	}
	for _, client := range slow {
		ledger.records.add(client, headLimit, !times.Untrusted)
		ledger.release(client, refused, now)
	}
	ledger.mutex.Unlock()
	for _, client := range rested {
		client.Owner.Interrupt(true)
	}
	for _, client := range slow {
		client.Owner.Interrupt(false)
	}
}

// overdue returns the clients in the list that have been in the phase for longer than the limit.
func overdue(clients *list.List, phase phase, limit, now time.Duration) []*Client {
	var found []*Client
	for element := clients.Front(); element != nil; element = element.Next() {
		client := element.Value.(*Client) //nolint:forcetypeassert // the list holds only clients
		if now-client.markedAt <= limit && phase != receivingHead {
			break // so do those behind it
		}
		if client.phase == phase && now-client.since > limit {
			found = append(found, client)
		}
	}
	return found
}
