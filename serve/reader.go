package serve

import (
	"container/list"
	"context"
	"slices"
	"sync"
)

// smallAnswerBytes is the size up to which the answer of a server is read without waiting for
// ReaderBudget. Most answers are smaller, and must not wait for callers that read slowly.
const smallAnswerBytes = 64 << 10

// ReaderBudget bounds the bytes that this process keeps for callers until they read them: events
// that were received and not yet written, and complete answers until they are written. It
// handles many callers that read slowly at the same time, on a box with little memory.
//
// The total may exceed Limit by freeEventBytes for each attempt of a stream, by answers of up to
// smallAnswerBytes, and by the part of an answer with a stated length that exceeds Limit/2. The zero
// value is ready for use. It is safe for concurrent use.
type ReaderBudget struct {
	Limit int64 // in bytes; 0: no bound. Set before use.

	mutex   sync.Mutex
	held    int64     // bytes kept for callers, and bytes reserved
	waiters list.List // of *readerWaiter, longest waiting first
}

// unreadBytes are the bytes that one request keeps in the budget. The fields other than budget
// are guarded by budget.mutex.
type unreadBytes struct {
	budget   *ReaderBudget
	kept     int64           // events or answers of this request
	reserved int64           // for what is being read from servers
	waiters  []*readerWaiter // of this request; also in budget.waiters
	ended    bool            // the request has ended: nothing more is counted
}

// readerWaiter waits for a reservation.
type readerWaiter struct {
	owner   *unreadBytes
	size    int64         // bytes to reserve
	event   bool          // for an event of a stream: granted without a reservation once the owner keeps nothing
	element *list.Element // in ReaderBudget.waiters; nil: not waiting any more
	granted chan struct{} // closed when the reservation is granted
}

// Held returns the bytes that are kept for callers now, with those reserved for what is being
// read from servers.
func (budget *ReaderBudget) Held() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held
}

// reserveEvent waits until the stream may read its next event, whose expected size is given. A
// stream that keeps no event never waits, and reserves nothing. reserveEvent returns the bytes
// reserved, which the caller must pass to keep. The error is that of ctx if it ends first.
func (unread *unreadBytes) reserveEvent(ctx context.Context, size int64) (int64, error) {
	return unread.reserve(ctx, &readerWaiter{owner: unread, size: size, event: true}, func() {})
}

// reserveAnswer waits until an answer of the size may be read, and calls beforeWait first if it
// has to wait. A request that keeps an answer already never waits, so that requests cannot wait
// for each other. Result and error are those of reserveEvent.
func (unread *unreadBytes) reserveAnswer(ctx context.Context, size int64, beforeWait func()) (int64, error) {
	return unread.reserve(ctx, &readerWaiter{owner: unread, size: size}, beforeWait)
}

// reserveMore reserves further bytes for an answer that is being read, if they fit, and returns whether
// they do.
func (unread *unreadBytes) reserveMore(size int64) bool {
	budget := unread.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !unread.ended && !budget.fits(size) {
		return false
	}
	budget.add(unread, 0, size)
	return true
}

// freeEventBytes is the size up to which an event of a stream is read without a reservation: a longer one may have no end.
const freeEventBytes = 16 << 10

// reserveEventPart raises what is reserved for an event that is being read to its size so far. It returns errBudgetUsedUp if the
// budget has no more.
func (unread *unreadBytes) reserveEventPart(reserved *int64, size int64) error {
	if size <= max(*reserved, freeEventBytes) {
		return nil
	}
	if !unread.reserveMore(size - *reserved) {
		return errBudgetUsedUp
	}
	*reserved = size
	return nil
}

// reserve waits for the waiter's reservation without holding the mutex, and returns its size.
func (unread *unreadBytes) reserve(ctx context.Context, waiter *readerWaiter, beforeWait func()) (int64, error) {
	budget := unread.budget
	if budget.tryGrant(waiter) {
		return waiter.size, nil
	}
	beforeWait()
	select {
	case <-waiter.granted:
		return waiter.size, nil
	case <-ctx.Done():
		budget.withdraw(waiter)
		return 0, ctx.Err()
	}
}

// tryGrant grants the waiter's reservation if it need not wait, and returns whether it did.
// Otherwise the waiter is queued.
func (budget *ReaderBudget) tryGrant(waiter *readerWaiter) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	unread := waiter.owner
	switch {
	case unread.ended || waiter.event && unread.kept == 0:
		waiter.size = 0
		return true
	case budget.waiters.Len() == 0 && budget.fits(waiter.size), !waiter.event && (waiter.size <= smallAnswerBytes || unread.kept > 0):
		budget.add(unread, 0, waiter.size)
		return true
	}
	waiter.granted = make(chan struct{})
	waiter.element = budget.waiters.PushBack(waiter)
	unread.waiters = append(unread.waiters, waiter)
	return false
}

// fits reports whether the bytes may be reserved within the bound. At most half of the bound must
// be free: otherwise, a large answer would wait until no other request kept anything. The caller
// must hold the mutex.
func (budget *ReaderBudget) fits(size int64) bool {
	return budget.Limit <= 0 || budget.held+min(size, budget.Limit/2) <= budget.Limit
}

// add changes the bytes that the request keeps and has reserved, unless it has ended, and grants
// the reservations that become possible. The caller must hold the mutex.
func (budget *ReaderBudget) add(unread *unreadBytes, kept, reserved int64) {
	if unread.ended {
		return
	}
	unread.kept += kept
	unread.reserved += reserved
	budget.held += kept + reserved
	if kept+reserved < 0 {
		budget.grantWaiters(unread)
	}
}

// grantWaiters grants the reservations of the request's stream if it keeps no event any more, and
// then those that fit, in the order of arrival. The caller must hold the mutex.
func (budget *ReaderBudget) grantWaiters(released *unreadBytes) {
	for _, waiter := range slices.Clone(released.waiters) {
		if released.kept == 0 && waiter.event {
			waiter.size = 0
			budget.grant(waiter)
		}
	}
	for element := budget.waiters.Front(); element != nil; element = budget.waiters.Front() {
		waiter := element.Value.(*readerWaiter) //nolint:forcetypeassert // the list holds only waiters
		if !budget.fits(waiter.size) {
			return
		}
		budget.grant(waiter)
	}
}

// grant ends the wait of the waiter with its reservation. The caller must hold the mutex.
func (budget *ReaderBudget) grant(waiter *readerWaiter) {
	budget.dequeue(waiter)
	budget.add(waiter.owner, 0, waiter.size)
	close(waiter.granted)
}

// dequeue removes the waiter from the queue. The caller must hold the mutex.
func (budget *ReaderBudget) dequeue(waiter *readerWaiter) {
	budget.waiters.Remove(waiter.element)
	waiter.element = nil
	waiter.owner.waiters = slices.DeleteFunc(waiter.owner.waiters, func(other *readerWaiter) bool { return other == waiter })
}

// withdraw ends the wait of the waiter without a reservation, and takes back a reservation that
// was granted in the meantime. Waiters behind it may fit then.
func (budget *ReaderBudget) withdraw(waiter *readerWaiter) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if waiter.element == nil {
		budget.add(waiter.owner, 0, -waiter.size)
		return
	}
	budget.dequeue(waiter)
	budget.grantWaiters(waiter.owner)
}

// keep replaces a reservation by the bytes that were read, 0 if none were.
func (unread *unreadBytes) keep(reserved, size int64) {
	unread.budget.mutex.Lock()
	defer unread.budget.mutex.Unlock()
	unread.budget.add(unread, size, -reserved)
}

// release records that the request no longer keeps these bytes.
func (unread *unreadBytes) release(size int64) { unread.keep(0, -size) }

// end releases all bytes of the request when it ends. Later calls for the request, by attempts
// that are canceled and still return, have no effect and do not wait.
func (unread *unreadBytes) end() {
	unread.budget.mutex.Lock()
	defer unread.budget.mutex.Unlock()
	unread.budget.add(unread, -unread.kept, -unread.reserved)
	unread.ended = true
}
